/* Ensures that two requests with the same idempotency key, sent through
 * different entry nodes, do not both run. Before a keyed request runs, its
 * entry node claims the key at the witnesses of the key: the three gatekeepers
 * of the service ranked highest by rendezvous hashing over the roster. The
 * claim holds once a quorum, two of the three, has granted it.
 *
 * Times are microseconds of one clock. The caller serialises the calls on each
 * struct. */
#ifndef BB_DECIDE_CLAIM_H
#define BB_DECIDE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/id_table.h"
#include "decide/reason.h"

enum {
    BB_ROSTER_HOSTS_MAX = 512,
    BB_CLAIM_SET_SIZE = 3, /* witnesses of a key in one list */
    BB_CLAIM_QUORUM = 2,
    BB_CLAIM_WITNESSES_MAX = 2 * BB_CLAIM_SET_SIZE /* of two lists */
};

/* The gatekeepers of one service that may be witnesses, by a 64-bit hash of
 * their host names. While hosts still use the previous list, a claim needs a
 * quorum of witnesses in both the current and the previous list. Used by
 * claims; decide/roster.h plans its changes. */
struct bb_roster {
    uint64_t epoch; /* raised with each change of the roster */
    uint32_t host_count;
    uint64_t hosts[BB_ROSTER_HOSTS_MAX]; /* current list */
    uint32_t previous_count; /* 0: no host uses the previous list */
    uint64_t previous[BB_ROSTER_HOSTS_MAX];
};

/* The one place where a request may run: attempt, gatekeeper, and incarnation
 * (process lifetime) of the gatekeeper. The next attempt may be claimed only
 * after that incarnation has permanently refused the request id; the response
 * of a later incarnation does not count. */
struct bb_claim {
    struct bb_request_id request;
    uint32_t attempt; /* from 1 */
    uint64_t gatekeeper;
    uint64_t incarnation;
};

struct bb_claim_entry {
    struct bb_id_slot slot;
    struct bb_claim claim;
};

/* Faults injected by tests, which the explorer must detect. */
enum bb_claim_fault {
    BB_CLAIM_FAULT_NONE,
    BB_CLAIM_FAULT_GRANTS_AFTER_RESTART, /* grants without its old claims */
    BB_CLAIM_FAULT_ONE_GRANT,            /* one grant counts as a quorum */
    BB_CLAIM_FAULT_IGNORES_PREVIOUS      /* no quorum in the previous list */
};

/* Grants the claims of keys at one gatekeeper. */
struct bb_witness {
    enum bb_claim_fault fault;
    uint64_t epoch; /* of the roster it has adopted */
    uint64_t retention_us;
    /* Grants nothing before this time; 0 unless restarted without claims. */
    uint64_t grants_from_us;
    struct bb_id_table table;
};

enum bb_witness_result {
    BB_WITNESS_GRANTED,
    BB_WITNESS_HELD,         /* another claim holds the key */
    BB_WITNESS_OTHER_EPOCH,  /* requester and witness differ in roster */
    BB_WITNESS_CANNOT_GRANT, /* restarted, its old claims may be missing */
    BB_WITNESS_FULL,         /* no space for another claim */
    BB_WITNESS_UNREACHABLE   /* no response; set by the requester */
};

struct bb_witness_response {
    enum bb_witness_result result;
    uint64_t epoch;       /* of the witness */
    struct bb_claim held; /* of BB_WITNESS_GRANTED and BB_WITNESS_HELD */
};

enum bb_claim_step {
    BB_CLAIM_WAIT, /* wait for witnesses that have not responded */
    BB_CLAIM_RUN,  /* send the request to the claimed gatekeeper */
    /* Send the request to the gatekeeper of the held claim, under the request
     * id of that claim. */
    BB_CLAIM_JOIN,
    BB_CLAIM_REFUSED /* did not run; refuse it with the reason */
};

/* One entry node's claim of one key, and the responses of the witnesses. */
struct bb_claim_requester {
    enum bb_claim_fault fault;
    struct bb_request_id key;
    uint64_t epoch;
    struct bb_claim wanted;
    uint32_t witness_count;
    uint64_t witnesses[BB_CLAIM_WITNESSES_MAX];
    bool is_current[BB_CLAIM_WITNESSES_MAX];  /* by the current list */
    bool is_previous[BB_CLAIM_WITNESSES_MAX]; /* by the previous list */
    bool has_responded[BB_CLAIM_WITNESSES_MAX];
    bool needs_both_lists; /* the roster has a previous list */
    struct bb_witness_response responses[BB_CLAIM_WITNESSES_MAX];
};

uint32_t bb_claim_select_witnesses(const struct bb_request_id *key,
                                   const uint64_t *hosts, uint32_t host_count,
                                   uint64_t set[BB_CLAIM_SET_SIZE]);
bool bb_roster_can_drop_previous(uint32_t previous_hosts,
                                 uint32_t adopted_hosts, uint64_t adopted_us,
                                 uint64_t retention_us, uint64_t now_us);

void bb_witness_init(struct bb_witness *w, uint64_t epoch,
                     uint64_t retention_us, bool is_restart_without_data,
                     struct bb_claim_entry *entries, uint32_t entry_count,
                     uint64_t now_us);
void bb_witness_set_epoch(struct bb_witness *w, uint64_t epoch);
struct bb_witness_response bb_witness_claim(struct bb_witness *w,
                                            const struct bb_request_id *key,
                                            const struct bb_claim *c,
                                            uint64_t epoch, uint64_t now_us);
bool bb_witness_expire(struct bb_witness *w, uint64_t now_us);

void bb_claim_start(struct bb_claim_requester *q, const struct bb_roster *r,
                    const struct bb_request_id *key,
                    const struct bb_claim *wanted);
bool bb_claim_add_response(struct bb_claim_requester *q, uint64_t witness,
                           const struct bb_witness_response *response);
enum bb_claim_step bb_claim_step(const struct bb_claim_requester *q,
                                 struct bb_claim *held,
                                 enum bb_reason *reason);

#endif
