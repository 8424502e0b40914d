/* Proposes the operators' configuration folder together with the witness
 * rosters in force.
 *
 * A revision can also change only rosters, without any change by an operator.
 * In this case the base revision that the source watch knows is older, and the
 * proposal is retried against the newest revision. */
#ifndef BB_CONTROL_PROPOSAL_H
#define BB_CONTROL_PROPOSAL_H

#include <stdint.h>

#include "config/folder.h"
#include "config/history.h"
#include "control/replicate.h"

enum {
    BB_PROPOSAL_TIMEOUT_MS = 3000, /* of one attempt */
    /* How long to wait until this host has a revision: the base of a proposal,
     * or the one that a refusal names. */
    BB_PROPOSAL_CATCH_UP_TIMEOUT_MS = 1000,
    /* An attempt fails if a roster change is accepted just before it. A
     * service's roster changes at most once in its retention time, but the
     * first rosters of many services can follow each other directly. */
    BB_PROPOSAL_ATTEMPTS_MAX = 16
};

/* Where proposals go and where accepted revisions appear. */
struct bb_proposal_target {
    struct bb_bundle_history
        *history;  /* accepted revisions; filled by the caller */
    void *context; /* passed to propose */
    /* Same arguments and result as bb_replicate_propose. */
    struct bb_replicate_result (*propose)(
        void *context, uint64_t base_revision, uint64_t version,
        const struct bb_digest *digest, const void *payload, size_t size_bytes,
        uint32_t timeout_ms);
};

struct bb_replicate_result
bb_proposal_submit_folder(const struct bb_proposal_target *t,
                          const struct bb_folder *folder, uint64_t version,
                          uint64_t base_revision);
struct bb_replicate_result bb_proposal_send_bundle(
    const struct bb_proposal_target *t, const struct bb_folder *folder,
    const struct bb_rosters *rosters, uint64_t bundle_version,
    uint64_t version, uint64_t base_revision);

#endif
