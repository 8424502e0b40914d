/* The content of a configuration folder: an immutable, sorted set of small
 * files with their digests. */
#ifndef BB_CONFIG_FOLDER_H
#define BB_CONFIG_FOLDER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/digest.h"
#include "common/error.h"

enum {
    /* Bound the memory for a folder before it is parsed. The encoded folder
     * must also fit into BB_BUNDLE_FOLDER_MAX_BYTES, which is below 1 MiB,
     * so a folder of 4 MiB is accepted only if it compresses to less than a
     * quarter. */
    BB_FOLDER_FILES_MAX = 4096,
    BB_FOLDER_MAX_BYTES = 4 * 1024 * 1024,
    BB_FOLDER_FILE_MAX_BYTES = 256 * 1024,
    BB_FOLDER_FILE_NAME_MAX_BYTES = 255
};

/* Error codes of the functions in include/config/. */
enum bb_config_error {
    BB_CONFIG_ERROR_SOURCE = 1, /* the folder on disk cannot be used */
    BB_CONFIG_ERROR_LIMIT,      /* too many files, bytes or rosters */
    BB_CONFIG_ERROR_NAME,       /* a file name that is not allowed */
    BB_CONFIG_ERROR_DAMAGED,    /* encoded bytes are damaged */
    BB_CONFIG_ERROR_BASE,       /* a delta from another base revision */
    BB_CONFIG_ERROR_DIGEST      /* content does not match its digest */
};

/* Why a folder on disk cannot be used as the source of the configuration at
 * the moment. */
enum bb_folder_outage {
    BB_FOLDER_OUTAGE_NONE,
    BB_FOLDER_OUTAGE_MISSING,
    BB_FOLDER_OUTAGE_UNREADABLE, /* also a file over a limit or of a refused
                                    name */
    BB_FOLDER_OUTAGE_EMPTY,
    /* A file is truncated or changes while it is read, or one that
     * `[configuration] files=` lists is missing. */
    BB_FOLDER_OUTAGE_HALF_WRITTEN
};

struct bb_folder_file {
    char *name;
    char *data; /* followed by a zero byte that size_bytes leaves out */
    size_t size_bytes;
    struct bb_digest digest;
};

struct bb_folder {
    struct bb_folder_file *files; /* in ascending order of the names' bytes */
    uint32_t file_count;
    size_t size_bytes;       /* of all contents, without names */
    struct bb_digest digest; /* of all names and contents */
};

/* Collects files for a folder. */
struct bb_folder_builder;

struct bb_folder_builder *bb_folder_builder_create(void);
bool bb_folder_builder_add(struct bb_folder_builder *b, const char *name,
                           const void *data, size_t size_bytes,
                           struct bb_error *e);
struct bb_folder *bb_folder_builder_finish(struct bb_folder_builder *b,
                                           struct bb_error *e);
void bb_folder_builder_destroy(struct bb_folder_builder *b);

enum bb_folder_outage bb_folder_read(const char *path,
                                     struct bb_folder **folder,
                                     struct bb_error *e);
bool bb_folder_is_ignored_name(const char *name);
const struct bb_folder_file *bb_folder_find_file(const struct bb_folder *f,
                                                 const char *name);
struct bb_folder *bb_folder_copy(const struct bb_folder *f);
void bb_folder_destroy(struct bb_folder *f);
const char *bb_folder_outage_name(enum bb_folder_outage o);

#endif
