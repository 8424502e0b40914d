/* Idempotency keys that a caller may send through different entry nodes.
 * Before a keyed request runs, its entry node claims the key at the key's
 * claim set: the three gatekeepers of the service ranked highest by
 * rendezvous hashing over the roster. */
#ifndef BB_DECIDE_CLAIM_H
#define BB_DECIDE_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/id_table.h"
#include "decide/reason.h"

enum {
    BB_ROSTER_HOSTS_MAX = 512,
    BB_CLAIM_SET = 3,
    BB_CLAIM_QUORUM = 2,
    BB_CLAIM_WITNESSES_MAX = 2 * BB_CLAIM_SET
};

/* The gatekeepers of one service that may be witnesses, by a 64-bit hash of
 * their host names. While the change from the previous list is not settled,
 * a claim needs a quorum in both. */
struct bb_roster {
    uint64_t epoch;
    uint32_t host_count;
    uint64_t hosts[BB_ROSTER_HOSTS_MAX];
    uint32_t previous_count; /* 0: the change is settled */
    uint64_t previous[BB_ROSTER_HOSTS_MAX];
};

/* Where a request may run: attempt number, gatekeeper and incarnation. The
 * next attempt may be claimed only once that incarnation of the gatekeeper has
 * refused the id for good; the answer of a later incarnation does not count.
 */
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

/* Seeded faults that the explorer must find; set by tests only. */
enum bb_claim_fault {
    BB_CLAIM_FAULT_NONE,
    BB_CLAIM_FAULT_CONFIRMS_AFTER_RESTART,
    BB_CLAIM_FAULT_ONE_GRANT,
    BB_CLAIM_FAULT_NO_JOINT_RULE
};

struct bb_witness {
    enum bb_claim_fault fault;
    uint64_t epoch;
    uint64_t retention_us;
    uint64_t confirms_from_us; /* after a restart without a data folder */
    struct bb_id_table table;
};

enum bb_witness_result {
    BB_WITNESS_GRANTED,
    BB_WITNESS_HELD, /* by the claim that is returned */
    BB_WITNESS_OTHER_EPOCH,
    BB_WITNESS_CANNOT_CONFIRM,
    BB_WITNESS_FULL,
    BB_WITNESS_UNREACHABLE /* set by the requester */
};

struct bb_witness_answer {
    enum bb_witness_result result;
    uint64_t epoch;
    struct bb_claim held;
};

enum bb_claim_step {
    BB_CLAIM_ASK,    /* the witnesses that have not answered */
    BB_CLAIM_RUN,    /* send the request to the claimed gatekeeper */
    BB_CLAIM_JOIN,   /* send it under the id and to the gatekeeper held */
    BB_CLAIM_REFUSED /* ran: no, with a reason */
};

struct bb_claim_requester {
    enum bb_claim_fault fault;
    struct bb_request_id key;
    uint64_t epoch;
    struct bb_claim wanted;
    uint32_t witness_count;
    uint64_t witnesses[BB_CLAIM_WITNESSES_MAX];
    bool is_current[BB_CLAIM_WITNESSES_MAX];  /* in the present claim set */
    bool is_previous[BB_CLAIM_WITNESSES_MAX]; /* in the previous one */
    bool is_answered[BB_CLAIM_WITNESSES_MAX];
    bool is_joint;
    struct bb_witness_answer answers[BB_CLAIM_WITNESSES_MAX];
};

uint32_t bb_claim_set(const struct bb_request_id *key, const uint64_t *hosts,
                      uint32_t host_count, uint64_t set[BB_CLAIM_SET]);
bool bb_roster_may_settle(uint32_t previous_hosts, uint32_t adopted_hosts,
                          uint64_t adopted_us, uint64_t retention_us,
                          uint64_t now_us);

void bb_witness_init(struct bb_witness *w, uint64_t epoch,
                     uint64_t retention_us, bool is_restart_without_data,
                     struct bb_claim_entry *entries, uint32_t entry_count,
                     uint64_t now_us);
void bb_witness_set_epoch(struct bb_witness *w, uint64_t epoch);
struct bb_witness_answer bb_witness_claim(struct bb_witness *w,
                                          const struct bb_request_id *key,
                                          const struct bb_claim *c,
                                          uint64_t epoch, uint64_t now_us);
bool bb_witness_expire(struct bb_witness *w, uint64_t now_us);

void bb_claim_start(struct bb_claim_requester *q, const struct bb_roster *r,
                    const struct bb_request_id *key,
                    const struct bb_claim *wanted);
bool bb_claim_answer(struct bb_claim_requester *q, uint64_t witness,
                     const struct bb_witness_answer *a);
enum bb_claim_step bb_claim_step(const struct bb_claim_requester *q,
                                 struct bb_claim *held,
                                 enum bb_reason *reason);

#endif
