/* Plans changes to the roster of a service: the hosts whose gatekeepers may be
 * witnesses of claims (decide/claim.h). Its input is the current roster and
 * the running gatekeepers.
 *
 * Two claims of one key must share a witness as long as the first is kept. So
 * a roster changes by one host at a time, at most once in the retention time,
 * and keeps the previous list until bb_roster_can_drop_previous. The state of
 * a planner holds only what this process has observed. If it is lost, changes
 * are only delayed. Times are microseconds of one clock that never goes
 * back. */
#ifndef BB_DECIDE_ROSTER_H
#define BB_DECIDE_ROSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/claim.h"

enum {
    /* The set of ready hosts must be unchanged for this long before the first
     * roster is made of all of them, so that it is not made while more
     * gatekeepers still announce themselves. */
    BB_ROSTER_FIRST_STABLE_US = 2 * 1000 * 1000,
    /* A host is removed after being absent for this long, which is longer than
     * a restart takes, and added after being ready for this long. */
    BB_ROSTER_REMOVE_AFTER_US = 30 * 1000 * 1000,
    BB_ROSTER_ADD_AFTER_US = 30 * 1000 * 1000,
    /* Hosts tracked for a service: those of the roster and as many others. */
    BB_ROSTER_KNOWN_HOSTS_MAX = 2 * BB_ROSTER_HOSTS_MAX
};

/* The state of one host as input of a step. A host that is not in the input
 * counts as absent. */
struct bb_roster_host {
    uint64_t host;    /* hash of the host name */
    bool is_ready;    /* its gatekeeper accepts requests */
    bool is_present;  /* its gatekeeper runs, or may run, for this service */
    bool has_adopted; /* it no longer grants claims of an earlier epoch */
};

/* What a planner tracks of one host. */
struct bb_roster_known_host {
    uint64_t host;
    bool is_ready;
    bool is_present;
    bool is_in_input;         /* in the input of the current step */
    uint64_t ready_since_us;  /* if ready */
    uint64_t absent_since_us; /* if absent */
    uint64_t adopted_epoch;   /* last one it is known to have adopted */
};

/* Planner of one service. Must be zeroed before use. */
struct bb_roster_planner {
    uint64_t epoch;            /* of the current roster */
    uint64_t hosts_hash;       /* of its hosts, to detect a change */
    uint64_t hosts_changed_us; /* when this process first saw these hosts */
    bool is_adopted;         /* by all but at most one of the previous hosts */
    uint64_t adopted_us;     /* since when it is adopted */
    uint32_t ready_count;    /* for the first roster: ready hosts */
    uint64_t ready_hash;     /* for the first roster: of the ready hosts */
    uint64_t ready_since_us; /* for the first roster: of the last change */
    uint32_t known_host_count;
    struct bb_roster_known_host known_hosts[BB_ROSTER_KNOWN_HOSTS_MAX];
};

/* Input of a step. */
struct bb_roster_input {
    uint64_t now_us;
    uint64_t retention_us; /* for how long witnesses keep claims */
    /* For the first roster. Must be above the epochs of any roster that was
     * lost with all disks. */
    uint64_t first_epoch;
    const struct bb_roster *current; /* its epoch is 0 if there is none yet */
    const struct bb_roster_host *hosts;
    uint32_t host_count;
};

bool bb_roster_plan_next(struct bb_roster_planner *p,
                         const struct bb_roster_input *in,
                         struct bb_roster *next);

#endif
