/* Content-addressed store of the newest replicated states, and their encoding.
 * A content is one encoded fleet_state; its ID is a 64-bit hash of its bytes,
 * never 0. Contents are sent compressed, against an earlier one (the base)
 * that the receiver also has. */
#ifndef BB_FLEET_CONTENT_H
#define BB_FLEET_CONTENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

enum {
    /* The store keeps this many contents, the newest ones. */
    BB_CONTENTS_KEPT = 4,
    /* Largest uncompressed content that is accepted. */
    BB_CONTENT_MAX_BYTES = 16 * 1024 * 1024,
    /* Accepted configurations that are remembered, so that a repeated proposal
     * of one is acknowledged again. */
    BB_STATE_HISTORY_MAX = 256
};

struct bb_contents;

struct bb_contents *bb_contents_create(void);
void bb_contents_destroy(struct bb_contents *c);
uint64_t bb_contents_add(struct bb_contents *c, GBytes *raw);
GBytes *bb_contents_get(const struct bb_contents *c, uint64_t content);
bool bb_contents_pack(const struct bb_contents *c, uint64_t content,
                      uint64_t base, fleet_content *out);
bool bb_contents_unpack(struct bb_contents *c, const fleet_content *in);
void bb_content_clear(fleet_content *c);

GBytes *bb_state_encode(fleet_state *s);
bool bb_state_decode(GBytes *raw, fleet_state *s);
void bb_state_clear(fleet_state *s);

#endif
