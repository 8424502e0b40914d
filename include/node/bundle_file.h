/* The optional copy of a node's configuration on disk. */
#ifndef BB_NODE_BUNDLE_FILE_H
#define BB_NODE_BUNDLE_FILE_H

#include <stdbool.h>

#include "config/bundle.h"

enum bb_bundle_file_error {
    BB_BUNDLE_FILE_ERROR_WRITE = 1,
    BB_BUNDLE_FILE_ERROR_READ,
    BB_BUNDLE_FILE_ERROR_DAMAGED
};

bool bb_bundle_file_save(const char *folder, const struct bb_bundle *b,
                         struct bb_error *e);
struct bb_bundle *bb_bundle_file_load(const char *folder, struct bb_error *e);

#endif
