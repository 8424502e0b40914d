/* Asks control hosts for the leases under which the entry admits requests with
 * a key (decide/lease.h), while the rules in force require keys. */
#ifndef BB_PROXYD_LEASE_CLIENT_H
#define BB_PROXYD_LEASE_CLIENT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "decide/lease.h"

struct lease_client;

/* Sends a request to the connected control host; nothing if there is none. */
typedef void (*lease_client_send)(void *context, uint64_t number);

struct lease_client *lease_client_create(uv_loop_t *loop, uint64_t revoke_ms,
                                         lease_client_send send,
                                         void *context);
void lease_client_set_rules(struct lease_client *c, bool requires_keys,
                            const struct bb_state_id *state);
void lease_client_connected(struct lease_client *c);
void lease_client_granted(struct lease_client *c, uint64_t number,
                          const struct bb_state_id *state);
bool lease_client_peek_lease(const struct lease_client *c);
bool lease_client_has_lease(struct lease_client *c, uint32_t *expected_ms);
void lease_client_destroy(struct lease_client *c);

#endif
