/* A bundle is one revision of the configuration as it is stored and sent: the
 * operators' folder and the rosters. It is encoded whole or as a delta from
 * another revision. Bundles are immutable and reference-counted. */
#ifndef BB_CONFIG_BUNDLE_H
#define BB_CONFIG_BUNDLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "config/folder.h"
#include "config/rosters.h"

enum {
    /* Largest encoded bundle or delta that fits into a message: an RPC record
     * of 1 MiB less 16 KiB for the other fields. The encoders do not check it:
     * a bundle is below it because bb_config_compile refuses a folder above
     * BB_BUNDLE_FOLDER_MAX_BYTES, but many rosters, or a delta that removes
     * many files and rosters, can exceed it. */
    BB_BUNDLE_MAX_BYTES = 1024 * 1024 - 16 * 1024,
    /* Largest encoded folder without rosters; bb_config_compile reports a
     * fault above it. The other 32 KiB are for rosters, for example 450 hosts
     * with names of 20 bytes in two lists, 22 KB before compression. */
    BB_BUNDLE_FOLDER_MAX_BYTES = BB_BUNDLE_MAX_BYTES - 32 * 1024
};

struct bb_bundle {
    uint64_t revision;       /* set by the control hosts, rises with changes */
    uint64_t version;        /* set by operators in the folder, 0 if none */
    struct bb_digest digest; /* of folder and rosters */
    struct bb_folder *folder;
    struct bb_rosters *rosters; /* never NULL */
    _Atomic uint32_t reference_count;
};

struct bb_bundle *bb_bundle_create(uint64_t revision, uint64_t version,
                                   struct bb_folder *folder);
struct bb_bundle *bb_bundle_create_with_rosters(uint64_t revision,
                                                uint64_t version,
                                                struct bb_folder *folder,
                                                struct bb_rosters *rosters);
struct bb_bundle *bb_bundle_ref(struct bb_bundle *b);
void bb_bundle_unref(struct bb_bundle *b);

void bb_bundle_encode(const struct bb_bundle *b, uint8_t **bytes,
                      size_t *size_bytes);
struct bb_bundle *bb_bundle_decode(const uint8_t *bytes, size_t size_bytes,
                                   struct bb_error *e);

void bb_bundle_encode_delta(const struct bb_bundle *base,
                            const struct bb_bundle *to, uint8_t **bytes,
                            size_t *size_bytes);
struct bb_bundle *bb_bundle_apply_delta(const struct bb_bundle *base,
                                        const uint8_t *bytes,
                                        size_t size_bytes, struct bb_error *e);

#endif
