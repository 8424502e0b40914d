/* What to do about a call whose connection broke or carries no bytes: ask the
 * gatekeeper on a new connection, then wait, take the stored answer, try
 * elsewhere, or answer that the outcome is unknown. */
#ifndef BB_DECIDE_PROBE_H
#define BB_DECIDE_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/reason.h"
#include "decide/record.h"

enum { BB_PROBE_CHECK_US = 1000000 };

enum bb_probe_step {
    BB_PROBE_WAIT,        /* until bb_probe_wake_us or an event */
    BB_PROBE_QUERY,       /* send QUERY on a new connection */
    BB_PROBE_TAKE_ANSWER, /* fetch the stored answer */
    BB_PROBE_RETRY,       /* did not run: may be tried elsewhere */
    BB_PROBE_UNKNOWN      /* tell the caller that the outcome is unknown */
};

/* Seeded faults that the explorer must find; set by tests only. */
enum bb_probe_fault {
    BB_PROBE_FAULT_NONE,
    BB_PROBE_FAULT_NO_QUERY, /* retries without asking */
    BB_PROBE_FAULT_MOVES_ON  /* keyed, although not refused for good */
};

struct bb_probe {
    enum bb_probe_fault fault;
    bool is_idempotent;
    bool is_keyed;  /* another entry node may send the same id */
    bool is_broken; /* the first connection; its answer cannot come */
    bool is_query_out;
    bool is_silent;
    uint32_t queries;
    uint64_t check_us;
    uint64_t deadline_us;
    uint64_t last_byte_us;
    uint64_t next_query_us;
    enum bb_probe_step final; /* BB_PROBE_WAIT while it is open */
    enum bb_reason reason;
};

void bb_probe_init(struct bb_probe *p, bool is_idempotent, bool is_keyed,
                   uint64_t check_us, uint64_t deadline_us, uint64_t now_us);
void bb_probe_bytes(struct bb_probe *p, uint64_t now_us);
void bb_probe_broken(struct bb_probe *p, uint64_t now_us);
void bb_probe_begin(struct bb_probe *p, enum bb_begin_result result,
                    uint64_t now_us);
void bb_probe_refused(struct bb_probe *p, enum bb_reason reason);
void bb_probe_answer(struct bb_probe *p, enum bb_query_result result,
                     uint64_t now_us);
void bb_probe_query_failed(struct bb_probe *p, uint64_t now_us);
enum bb_probe_step bb_probe_step(struct bb_probe *p, uint64_t now_us,
                                 enum bb_reason *reason);
uint64_t bb_probe_wake_us(const struct bb_probe *p);

#endif
