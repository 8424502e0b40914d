/* Store of the newest encoded replicated states, and their encoding. The
 * content of an entry is one encoded fleet_replicated_state. It is found by
 * its content ID, a 64-bit hash of its bytes that is never 0. States are sent
 * compressed, against an earlier one (the base) that the receiver also has. */
#ifndef BB_FLEET_CONTENT_H
#define BB_FLEET_CONTENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

enum {
    /* The store keeps this many encoded states, the newest ones. */
    BB_CONTENT_STORE_CAPACITY = 4,
    /* Largest encoded state, uncompressed, that is accepted;
     * FLEET_DATA_MAX_BYTES in fleet.x has the same value. */
    BB_CONTENT_MAX_BYTES = 16 * 1024 * 1024,
    /* Longest configuration of the operators; leaves room for the rest of the
     * replicated state. */
    BB_CONFIG_MAX_BYTES = BB_CONTENT_MAX_BYTES - 1024 * 1024,
    /* Accepted configurations that are remembered, so that a retried proposal
     * of one is acknowledged again. fleet.x has the same number as the bound
     * of fleet_replicated_state.history. */
    BB_STATE_HISTORY_MAX = 256
};

struct bb_content_store;

struct bb_content_store *bb_content_store_create(void);
void bb_content_store_destroy(struct bb_content_store *c);
uint64_t bb_content_store_add(struct bb_content_store *c, GBytes *content);
GBytes *bb_content_store_get(const struct bb_content_store *c,
                             uint64_t content_id);
bool bb_content_store_compress(struct bb_content_store *c, uint64_t content_id,
                               uint64_t base_id,
                               fleet_compressed_content *out);
bool bb_content_store_add_compressed(struct bb_content_store *c,
                                     const fleet_compressed_content *in);
void bb_compressed_content_clear(fleet_compressed_content *c);

GBytes *bb_replicated_state_encode(fleet_replicated_state *s);
bool bb_replicated_state_decode(GBytes *encoded_state,
                                fleet_replicated_state *s);
void bb_replicated_state_clear(fleet_replicated_state *s);

#endif
