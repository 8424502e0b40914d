/* The newest revisions of the configuration that a process has, from which it
 * encodes deltas for other members. Thread-safe: no other lock is taken while
 * its lock is held. */
#ifndef BB_CONFIG_HISTORY_H
#define BB_CONFIG_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/bundle.h"

enum {
    /* Revisions kept. A receiver further behind gets the whole bundle. */
    BB_BUNDLE_HISTORY_MAX = 64
};

/* An encoded bundle or delta that brings a receiver to the newest revision. */
struct bb_bundle_history_update {
    uint64_t revision;
    struct bb_digest digest; /* of the bundle that results */
    bool is_delta;
    uint64_t base_revision; /* of a delta; else 0 */
    /* Allocated with malloc, as the mesh requires; the caller frees it with
     * free. */
    uint8_t *bytes;
    size_t size_bytes;
};

struct bb_bundle_history;

struct bb_bundle_history *bb_bundle_history_create(void);
void bb_bundle_history_destroy(struct bb_bundle_history *h);
bool bb_bundle_history_add(struct bb_bundle_history *h, struct bb_bundle *b);
struct bb_bundle *bb_bundle_history_newest(struct bb_bundle_history *h);
struct bb_bundle *bb_bundle_history_find(struct bb_bundle_history *h,
                                         uint64_t revision);
bool bb_bundle_history_encode_update(struct bb_bundle_history *h,
                                     uint64_t receiver_revision,
                                     struct bb_bundle_history_update *out);

#endif
