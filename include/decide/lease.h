/* Leases under which an entry admits requests with a key. A lease says that
 * the node has, or had a short time ago, the newest configuration: a key that
 * was revoked longer ago than the time for revocation is thus refused, also by
 * a node that is cut off.
 *
 * A node asks its control host (struct bb_lease). The control host collects
 * the requests and has them confirmed by the leader, or as the leader by a
 * heartbeat round of the quorum (struct bb_lease_queue). The round begins
 * after the request has arrived, and the state that is granted is the
 * committed one when the round begins: what was committed before the node
 * asked is contained in it.
 *
 * Times are microseconds of one clock each, which does not go back. That of a
 * node must also count the time in which the host is suspended. */
#ifndef BB_DECIDE_LEASE_H
#define BB_DECIDE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Part of the time for revocation by which a lease is shorter: 1/50, 100
     * ms of 5 s. The clocks of two hosts that are adjusted in opposite
     * directions drift apart by up to 1 ms a second; the rest is a reserve. */
    BB_LEASE_MARGIN_PARTS = 50,
    BB_LEASE_MARGIN_MIN_US = 5 * 1000,
    /* Interval of requests: the shorter one of a second and a quarter of the
     * lease. A lease of 4.9 s thus has 3.9 s left, at least, when the control
     * host is lost; a silent one is noticed after 2.2 s, and an election takes
     * up to 2 s. */
    BB_LEASE_INTERVAL_MAX_US = 1000 * 1000,
    BB_LEASE_INTERVAL_PARTS = 4,
    /* Requests of a node whose grant is still accepted, and states for which
     * it keeps a grant. */
    BB_LEASE_PENDING_MAX = 32,
    BB_LEASE_GRANTS_MAX = 8,
    /* Bounds of the expected time until a lease. */
    BB_LEASE_EXPECTED_MIN_US = 200 * 1000,
    BB_LEASE_EXPECTED_MAX_US = 5000 * 1000,
    /* Requests that wait at a control host: two of each connection. */
    BB_LEASE_REQUESTS_MAX = 1024,
    /* Requests are collected for this long before a round, as those of many
     * nodes may come together. */
    BB_LEASE_COLLECT_US = 20 * 1000,
    /* Least interval between rounds of the leader, each of which sends to all
     * control hosts, and between requests to it. Their number thus does not
     * grow with that of the nodes, and a request waits for about 300 ms at
     * most besides the round trips: a node that starts lets its callers wait
     * for that. */
    BB_LEASE_ROUND_INTERVAL_US = 200 * 1000,
    BB_LEASE_ASK_INTERVAL_US = 100 * 1000,
    /* While requests wait for a leader or a commit, which the caller learns
     * from events, the step is looked for at this interval too. */
    BB_LEASE_POLL_US = 50 * 1000,
    /* A round that is not confirmed within this time is begun again. */
    BB_LEASE_ROUND_TIMEOUT_US = 1000 * 1000
};

/* A committed state. */
struct bb_state_id {
    uint64_t commit_index; /* of an entry that holds it; 0: none */
    uint64_t content_id;   /* hash of its content */
};

/* A request of this node without a grant. */
struct bb_lease_request {
    uint64_t number; /* 0: none */
    uint64_t sent_us;
};

struct bb_lease_grant {
    struct bb_state_id state; /* index 0: none */
    uint64_t sent_us;         /* of the newest request that it answers */
};

/* Leases of one node. */
struct bb_lease {
    uint64_t duration_us;
    uint64_t interval_us;
    uint64_t last_number;
    uint64_t asked_us; /* last request, 0: none */
    /* First request since the last grant, 0: none. */
    uint64_t unanswered_since_us;
    struct bb_lease_request pending[BB_LEASE_PENDING_MAX];
    struct bb_lease_grant grants[BB_LEASE_GRANTS_MAX];
};

void bb_lease_init(struct bb_lease *l, uint64_t revoke_us);
uint64_t bb_lease_ask(struct bb_lease *l, uint64_t now_us);
uint64_t bb_lease_next_ask_us(const struct bb_lease *l);
bool bb_lease_grant(struct bb_lease *l, uint64_t number,
                    const struct bb_state_id *s, uint64_t now_us);
bool bb_lease_is_valid(const struct bb_lease *l,
                       const struct bb_state_id *in_force, uint64_t now_us);
uint64_t bb_lease_expected_us(const struct bb_lease *l, uint64_t now_us);

/* A request at a control host. */
struct bb_lease_entry {
    uint64_t from;   /* connection on which it came */
    uint64_t number; /* that the other end gave it */
    uint64_t round;  /* the first one that began after it came; 0: none yet */
};

/* What a control host knows of the quorum. */
struct bb_lease_quorum {
    uint64_t term;
    uint64_t leader; /* disk ID, 0: unknown */
    bool is_leader;  /* this host is the leader */
};

enum bb_lease_step {
    BB_LEASE_IDLE,
    BB_LEASE_START_ROUND, /* of this host's quorum */
    BB_LEASE_ASK_LEADER
};

/* Requests at a control host. */
struct bb_lease_queue {
    struct bb_lease_entry entries[BB_LEASE_REQUESTS_MAX];
    uint32_t count;
    uint64_t last_round;       /* numbers the rounds of this host */
    uint64_t started_us;       /* of the last round, 0: none */
    uint64_t oldest_us;        /* of the oldest round that is not confirmed */
    uint64_t waiting_since_us; /* first request without a round, 0: none */
    struct bb_lease_quorum quorum; /* at the start of the last round */
    /* Leader: round of the quorum that confirms the last round, 0: none is in
     * progress; and the state that was committed when it began. */
    uint64_t quorum_round;
    struct bb_state_id state;
};

void bb_lease_queue_add(struct bb_lease_queue *d, uint64_t from,
                        uint64_t number, uint64_t now_us);
void bb_lease_queue_forget(struct bb_lease_queue *d, uint64_t from);
enum bb_lease_step bb_lease_queue_next_step(struct bb_lease_queue *d,
                                            const struct bb_lease_quorum *q,
                                            uint64_t now_us);
uint64_t bb_lease_queue_start(struct bb_lease_queue *d,
                              const struct bb_lease_quorum *q,
                              uint64_t now_us);
bool bb_lease_queue_take_answered(struct bb_lease_queue *d, uint64_t round,
                                  struct bb_lease_entry *out);
uint64_t bb_lease_queue_due_us(const struct bb_lease_queue *d,
                               uint64_t now_us);

#endif
