/* Decides the next roster of a service's witnesses (decide/claim) from the
 * present one and the gatekeepers that are there.
 *
 * Two claims of one key must share a witness as long as the first is kept, so
 * a roster changes by one host at a time, at most once in the retention time,
 * and keeps the previous list until bb_roster_may_settle. The state holds
 * only what this process saw; without it everything takes longer. */
#ifndef BB_DECIDE_ROSTER_H
#define BB_DECIDE_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/claim.h"

enum {
    /* The first roster takes all gatekeepers at once, so it waits until no
     * more announce themselves. */
    BB_ROSTER_STABLE_US = 2 * 1000 * 1000,
    /* Longer than a restart of a host. */
    BB_ROSTER_GONE_US = 30 * 1000 * 1000,
    BB_ROSTER_NEW_US = 30 * 1000 * 1000,
    /* Hosts remembered for a service: the roster's and as many others. */
    BB_ROSTER_SEEN_MAX = 2 * BB_ROSTER_HOSTS_MAX
};

/* What is known of one host. A host that is not listed is not there. */
struct bb_roster_host {
    uint64_t host;
    bool is_ready;    /* its gatekeeper takes requests */
    bool is_there;    /* it is or may be running for this service */
    bool has_adopted; /* it grants no claims of an earlier epoch any more */
};

struct bb_roster_seen {
    uint64_t host;
    bool is_ready;
    bool is_there;
    bool is_listed; /* in the present step */
    uint64_t ready_since_us;
    uint64_t gone_since_us;
    uint64_t adopted_epoch;
};

/* Zero-initialise before use, one for each service. */
struct bb_roster_planner {
    uint64_t epoch;
    uint64_t hosts_hash; /* of the present list, to notice a change */
    uint64_t changed_us; /* of the present list, or when it was first seen */
    bool is_adopted;     /* by all but one of the previous hosts */
    uint64_t adopted_us;
    uint32_t ready_count;
    uint64_t ready_hash;
    uint64_t ready_since_us;
    uint32_t seen_count;
    struct bb_roster_seen seen[BB_ROSTER_SEEN_MAX];
};

/* What a step needs. Epoch 0 of the present roster: there is none yet. */
struct bb_roster_input {
    uint64_t now_us;
    uint64_t retention_us;
    uint64_t first_epoch; /* for the first roster */
    const struct bb_roster *present;
    const struct bb_roster_host *hosts;
    uint32_t host_count;
};

bool bb_roster_step(struct bb_roster_planner *p,
                    const struct bb_roster_input *in, struct bb_roster *next);

#endif
