/* Claims of idempotency keys: the witness of this node, and the rosters that
 * list the witnesses of each service.
 *
 * Lock order: the lock of the claims is a leaf. */
#ifndef BB_PROXY_CLAIMS_H
#define BB_PROXY_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/claim.h"

struct bb_claims;

struct bb_claims *bb_claims_create(uint64_t own_host_key, uint32_t entries,
                                   uint32_t retention_s,
                                   bool restarted_without_data);
void bb_claims_set_first_start(struct bb_claims *c);
void bb_claims_destroy(struct bb_claims *c);
void bb_claims_set_roster(struct bb_claims *c, const char *service,
                          const struct bb_roster *r, uint32_t retention_s);
bool bb_claims_try_start(struct bb_claims *c, const char *service,
                         const struct bb_request_id *key,
                         const struct bb_claim *wanted,
                         struct bb_claim_requester *q);
struct bb_witness_response
bb_claims_process_claim(struct bb_claims *c, const struct bb_request_id *key,
                        const struct bb_claim *claim, uint64_t epoch);

#endif
