/* The newest revisions of the configuration that a process has, from which it
 * encodes deltas for other members. Thread-safe: no other lock is taken while
 * its lock is held. */
#ifndef BB_CONFIG_HISTORY_H
#define BB_CONFIG_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/bundle.h"

enum { BB_HISTORY_REVISIONS = 64 };

/* An encoded bundle or delta that brings a receiver to the newest revision. */
struct bb_history_payload {
    uint64_t revision;
    struct bb_digest digest; /* of the bundle that results */
    bool is_delta;
    uint64_t base_revision; /* of a delta; else 0 */
    uint8_t *bytes;         /* the caller frees it with free */
    size_t size_bytes;
};

struct bb_history;

struct bb_history *bb_history_create(void);
void bb_history_destroy(struct bb_history *h);
bool bb_history_add(struct bb_history *h, struct bb_bundle *b);
struct bb_bundle *bb_history_newest(struct bb_history *h);
struct bb_bundle *bb_history_find(struct bb_history *h, uint64_t revision);
bool bb_history_encode(struct bb_history *h, uint64_t receiver_revision,
                       struct bb_history_payload *out);

#endif
