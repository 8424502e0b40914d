/* The newest revisions of the configuration that a process holds, from which
 * deltas for receivers are encoded. Thread-safe; its lock is a leaf. */
#ifndef BB_CONFIG_HISTORY_H
#define BB_CONFIG_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/bundle.h"

enum { BB_HISTORY_REVISIONS = 64 };

/* A bundle or a delta, encoded for one receiver. */
struct bb_history_payload {
    uint64_t revision;
    struct bb_digest digest;
    bool is_delta;
    uint64_t base_revision;
    uint8_t *bytes; /* from malloc, owned by the caller */
    size_t size_bytes;
};

struct bb_history;

struct bb_history *bb_history_create(void);
void bb_history_destroy(struct bb_history *h);
bool bb_history_add(struct bb_history *h, struct bb_bundle *b);
struct bb_bundle *bb_history_newest(struct bb_history *h);
struct bb_bundle *bb_history_find(struct bb_history *h, uint64_t revision);
bool bb_history_encode(struct bb_history *h, uint64_t have_revision,
                       struct bb_history_payload *out);

#endif
