/* Plans which disks vote on the replicated register (decide/quorum.h): as many
 * as the number of tolerated failures needs, spread over availability zones,
 * changed by one disk at a time. */
#ifndef BB_DECIDE_VOTERS_H
#define BB_DECIDE_VOTERS_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/quorum.h"

enum {
    /* A voter that is not connected for this long is replaced by the disk of
     * another host; longer than a restart takes, shorter than a typical
     * outage. */
    BB_VOTERS_REPLACE_AFTER_US = 3000 * 1000,
    /* The disks of all peers and this host's own. */
    BB_VOTERS_CANDIDATES_MAX = BB_QUORUM_PEERS_MAX + 1
};

/* A disk that is a voter or may become one. */
struct bb_voter_candidate {
    uint64_t disk_id;
    uint64_t zone;         /* any number that differs between zones */
    bool is_disk_replaced; /* another disk is in use at its address */
    uint64_t absent_us;    /* for how long it is not connected, 0: connected */
};

/* A set of voters, by disk. */
struct bb_voters {
    uint64_t disk_ids[BB_QUORUM_VOTERS_MAX];
    uint32_t count;
};

uint32_t bb_voters_target_count(uint32_t tolerated_hosts,
                                uint32_t tolerated_zones);
bool bb_voters_plan_change(const struct bb_voter_candidate *candidates,
                           uint32_t candidate_count,
                           const struct bb_voters *current, uint64_t self,
                           uint32_t target, struct bb_voters *next);

#endif
