/* Proposes an operators' folder together with the rosters in force.
 *
 * A roster is changed by revisions of its own, so the base that the source
 * watch knows may be older than the newest revision although no operator
 * changed anything. Such a proposal is made again against the newest one. */
#ifndef BB_CONTROL_PROPOSAL_H
#define BB_CONTROL_PROPOSAL_H

#include <stdint.h>

#include "config/folder.h"
#include "config/history.h"
#include "control/replicate.h"

enum {
    BB_PROPOSAL_TIMEOUT_MS = 3000,
    /* How long a refusal waits for the revision that it names to arrive. */
    BB_PROPOSAL_CATCH_UP_MS = 1000,
    /* Rosters change at most once a service in the retention time, but the
     * first ones of many services can follow each other at once. */
    BB_PROPOSAL_ATTEMPTS_MAX = 16
};

struct bb_proposal_target {
    struct bb_history *history; /* of accepted revisions, filled elsewhere */
    void *context;
    /* As bb_replicate_propose. */
    struct bb_replicate_result (*propose)(void *context, uint64_t base,
                                          uint64_t version,
                                          const struct bb_digest *digest,
                                          const void *payload,
                                          size_t size_bytes,
                                          uint32_t timeout_ms);
};

struct bb_replicate_result
bb_proposal_submit(const struct bb_proposal_target *t,
                   const struct bb_folder *folder, uint64_t version,
                   uint64_t base);
struct bb_replicate_result bb_proposal_send(const struct bb_proposal_target *t,
                                            const struct bb_folder *folder,
                                            const struct bb_rosters *rosters,
                                            uint64_t bundle_version,
                                            uint64_t version, uint64_t base);

#endif
