/* Finds out the outcome of a call whose connection broke or is silent: queries
 * the gatekeeper on a new connection, then waits, fetches the stored response,
 * retries elsewhere, or reports the outcome as unknown.
 *
 * Times are microseconds of one clock. One struct bb_call_recovery for each
 * attempt; the caller serialises the calls on it. */
#ifndef BB_DECIDE_CALL_RECOVERY_H
#define BB_DECIDE_CALL_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/reason.h"
#include "decide/record.h"

enum { BB_CALL_RECOVERY_CHECK_INTERVAL_US = 1000000 };

enum bb_call_recovery_step {
    /* Until bb_call_recovery_next_wakeup_us or an event. */
    BB_CALL_RECOVERY_WAIT,
    BB_CALL_RECOVERY_QUERY,          /* send QUERY on a new connection */
    BB_CALL_RECOVERY_FETCH_RESPONSE, /* fetch the stored response */
    BB_CALL_RECOVERY_RETRY, /* did not run or is idempotent: retry elsewhere */
    BB_CALL_RECOVERY_UNKNOWN /* tell the caller that the outcome is unknown */
};

/* Faults injected by tests, which the explorer must detect. */
enum bb_call_recovery_fault {
    BB_CALL_RECOVERY_FAULT_NONE,
    BB_CALL_RECOVERY_FAULT_NO_QUERY, /* retries without a query */
    /* Retries keyed requests that may have run. */
    BB_CALL_RECOVERY_FAULT_RETRIES_KEYED
};

struct bb_call_recovery {
    enum bb_call_recovery_fault fault;
    bool is_idempotent;
    bool is_keyed;  /* another entry node may send the same id */
    bool is_broken; /* the call's connection: no response can arrive on it */
    bool is_query_pending; /* a query has been sent and has no response yet */
    bool is_silent;        /* a query was due since the last byte */
    uint32_t queries;      /* number sent */
    uint64_t check_interval_us; /* max silence, and time between queries */
    uint64_t deadline_us;
    uint64_t last_byte_us;
    uint64_t next_query_us;
    /* The outcome; BB_CALL_RECOVERY_WAIT if none yet. */
    enum bb_call_recovery_step final_step;
    enum bb_reason reason; /* of the outcome */
};

void bb_call_recovery_init(struct bb_call_recovery *r, bool is_idempotent,
                           bool is_keyed, uint64_t check_interval_us,
                           uint64_t deadline_us, uint64_t now_us);
void bb_call_recovery_bytes_received(struct bb_call_recovery *r,
                                     uint64_t now_us);
void bb_call_recovery_connection_broken(struct bb_call_recovery *r,
                                        uint64_t now_us);
void bb_call_recovery_begin_completed(struct bb_call_recovery *r,
                                      enum bb_begin_result result,
                                      uint64_t now_us);
void bb_call_recovery_request_refused(struct bb_call_recovery *r,
                                      enum bb_reason reason);
void bb_call_recovery_query_completed(struct bb_call_recovery *r,
                                      enum bb_query_result result,
                                      uint64_t now_us);
void bb_call_recovery_query_failed(struct bb_call_recovery *r,
                                   uint64_t now_us);
enum bb_call_recovery_step bb_call_recovery_step(struct bb_call_recovery *r,
                                                 uint64_t now_us,
                                                 enum bb_reason *reason);
uint64_t bb_call_recovery_next_wakeup_us(const struct bb_call_recovery *r);

#endif
