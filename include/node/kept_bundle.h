/* The optional copy of the configuration in force on a node's disk. */
#ifndef BB_NODE_KEPT_BUNDLE_H
#define BB_NODE_KEPT_BUNDLE_H

#include <stdbool.h>

#include "config/bundle.h"

enum bb_kept_error {
    BB_KEPT_ERROR_WRITE = 1,
    BB_KEPT_ERROR_READ,
    BB_KEPT_ERROR_DAMAGED
};

bool bb_kept_bundle_save(const char *folder, const struct bb_bundle *b,
                         struct bb_error *e);
struct bb_bundle *bb_kept_bundle_load(const char *folder, struct bb_error *e);

#endif
