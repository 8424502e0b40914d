/* Internal to config/: encoding of bundles and deltas. The encoded form is
 * {magic, uncompressed size of the body, hash, zstd frame of the body}. The
 * first three are in XDR, as is the body before compression. The hash has 64
 * bits and covers magic, size and frame. The functions that take an XDR return
 * false if the stream ends or a value in it is not allowed. */
#ifndef BB_CONFIG_BUNDLE_CODEC_H
#define BB_CONFIG_BUNDLE_CODEC_H

#include <glib.h>
#include <rpc/rpc.h>

#include "common/error.h"
#include "config/bundle.h"

enum {
    /* The last character is the version of the format: 2 since bundles carry
     * rosters. It must rise when the encoding changes. */
    BB_MAGIC_BUNDLE = 0x42424232, /* "BBB2" */
    BB_MAGIC_DELTA = 0x42424432,  /* "BBD2" */
    /* Largest XDR encoding of a name: a length of 4 bytes, then the padded
     * text. */
    BB_NAME_ENCODED_MAX_BYTES = BB_NAME_BYTES + 4,
    /* Largest encoding of all rosters, in a bundle or delta. Two names for
     * each service, as a delta can remove BB_ROSTERS_MAX rosters and add as
     * many; 16 bytes for the epoch and the counts of both lists; and all
     * hosts. */
    BB_ROSTERS_UNCOMPRESSED_MAX_BYTES =
        BB_ROSTERS_MAX * (2 * BB_NAME_ENCODED_MAX_BYTES + 16) +
        BB_ROSTERS_HOST_NAMES_MAX * BB_NAME_ENCODED_MAX_BYTES,
    /* XDR lengths and padding of one file, at most. */
    BB_FILE_ENCODED_OVERHEAD_BYTES = 16,
    /* Largest body. Two longest names for each file, as a delta can remove
     * BB_FOLDER_FILES_MAX files and add as many; 1024 bytes are more than the
     * digests, numbers and counts of the body take. */
    BB_UNCOMPRESSED_MAX_BYTES =
        BB_FOLDER_MAX_BYTES +
        2 * BB_FOLDER_FILES_MAX *
            (BB_FOLDER_FILE_NAME_MAX_BYTES + BB_FILE_ENCODED_OVERHEAD_BYTES) +
        BB_ROSTERS_UNCOMPRESSED_MAX_BYTES + 1024
};

void bb_codec_pack(uint32_t magic, const uint8_t *uncompressed,
                   size_t size_bytes, uint8_t **packed,
                   size_t *packed_size_bytes);
uint8_t *bb_codec_unpack(uint32_t magic, const uint8_t *packed,
                         size_t packed_size_bytes, size_t *size_bytes,
                         struct bb_error *e);
bool bb_codec_xdr_digest(XDR *x, struct bb_digest *d);
bool bb_codec_put_file_name(XDR *x, const char *name);
bool bb_codec_get_file_name(XDR *x,
                            char name[BB_FOLDER_FILE_NAME_MAX_BYTES + 1]);
bool bb_codec_put_file(XDR *x, const struct bb_folder_file *f);
bool bb_codec_get_file(XDR *x, struct bb_folder_builder *b,
                       struct bb_error *e);
bool bb_codec_put_name(XDR *x, const char *name);
bool bb_codec_get_name(XDR *x, char name[BB_NAME_BYTES]);
bool bb_codec_put_roster(XDR *x, const struct bb_service_roster *r);
bool bb_codec_get_roster(XDR *x, struct bb_rosters *rosters,
                         struct bb_error *e);
struct bb_bundle *bb_codec_create_bundle(uint64_t revision, uint64_t version,
                                         struct bb_folder *folder,
                                         struct bb_rosters *rosters,
                                         const struct bb_digest *expected,
                                         struct bb_error *e);

#endif
