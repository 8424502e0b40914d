/* Finds out the outcome of a call whose connection broke or is silent: queries
 * the gatekeeper on a new connection, then waits, fetches the stored response,
 * retries elsewhere, or reports the outcome as unknown. Not to be confused
 * with the probes of decide/admission.h and decide/outlier.h, which are
 * ordinary calls sent to a slow or ejected upstream to see whether it has
 * recovered.
 *
 * Times are microseconds of one clock. One struct bb_probe for each attempt;
 * the caller serialises the calls on it. */
#ifndef BB_DECIDE_PROBE_H
#define BB_DECIDE_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/reason.h"
#include "decide/record.h"

enum { BB_PROBE_CHECK_INTERVAL_US = 1000000 };

enum bb_probe_step {
    BB_PROBE_WAIT,           /* until bb_probe_next_wakeup_us or an event */
    BB_PROBE_QUERY,          /* send QUERY on a new connection */
    BB_PROBE_FETCH_RESPONSE, /* fetch the stored response */
    BB_PROBE_RETRY,  /* did not run or is idempotent: retry elsewhere */
    BB_PROBE_UNKNOWN /* tell the caller that the outcome is unknown */
};

/* Faults injected by tests, which the explorer must detect. */
enum bb_probe_fault {
    BB_PROBE_FAULT_NONE,
    BB_PROBE_FAULT_NO_QUERY,     /* retries without a query */
    BB_PROBE_FAULT_RETRIES_KEYED /* retries keyed requests that may have run */
};

struct bb_probe {
    enum bb_probe_fault fault;
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
    enum bb_probe_step final_step; /* the outcome; BB_PROBE_WAIT if none yet */
    enum bb_reason reason;         /* of the outcome */
};

void bb_probe_init(struct bb_probe *p, bool is_idempotent, bool is_keyed,
                   uint64_t check_interval_us, uint64_t deadline_us,
                   uint64_t now_us);
void bb_probe_bytes_received(struct bb_probe *p, uint64_t now_us);
void bb_probe_connection_broken(struct bb_probe *p, uint64_t now_us);
void bb_probe_begin_completed(struct bb_probe *p, enum bb_begin_result result,
                              uint64_t now_us);
void bb_probe_request_refused(struct bb_probe *p, enum bb_reason reason);
void bb_probe_query_completed(struct bb_probe *p, enum bb_query_result result,
                              uint64_t now_us);
void bb_probe_query_failed(struct bb_probe *p, uint64_t now_us);
enum bb_probe_step bb_probe_step(struct bb_probe *p, uint64_t now_us,
                                 enum bb_reason *reason);
uint64_t bb_probe_next_wakeup_us(const struct bb_probe *p);

#endif
