#include "decide/probe.h"

/* Starts watching a call that has been sent. is_keyed: its id belongs to an
 * idempotency key, so other entry nodes may send the same id.
 * check_interval_us: how long the connection may be silent before the
 * gatekeeper is queried, and how long until the next query. */
void
bb_probe_init(struct bb_probe *p, bool is_idempotent, bool is_keyed,
              uint64_t check_interval_us, uint64_t deadline_us,
              uint64_t now_us)
{
    *p = (struct bb_probe){
        .is_idempotent = is_idempotent,
        .is_keyed = is_keyed,
        .check_interval_us = check_interval_us,
        .deadline_us = deadline_us,
        .last_byte_us = now_us,
        .next_query_us = now_us + check_interval_us,
    };
}

/* Sets the final step and its reason, unless one is set already. */
static void
set_final_step(struct bb_probe *p, enum bb_probe_step step,
               enum bb_reason reason)
{
    if (p->final_step == BB_PROBE_WAIT) {
        p->final_step = step;
        p->reason = reason;
    }
}

/* To be called when bytes of the answer arrive on the call's connection. */
void
bb_probe_bytes_received(struct bb_probe *p, uint64_t now_us)
{
    p->last_byte_us = now_us;
    p->is_silent = false;
    if (!p->is_query_pending) {
        p->next_query_us = now_us + p->check_interval_us;
    }
}

/* Returns why the call's connection is given up. */
static enum bb_reason
connection_reason(const struct bb_probe *p)
{
    return p->is_broken ? BB_REASON_CONNECTION_LOST
                        : BB_REASON_CONNECTION_SILENT;
}

/* To be called when the call's connection breaks. An idempotent call is
 * retried at once, any other one leads to a query. */
void
bb_probe_connection_broken(struct bb_probe *p, uint64_t now_us)
{
    p->is_broken = true;
    if (!p->is_query_pending) {
        p->next_query_us = now_us;
    }
    if (p->is_idempotent || p->fault == BB_PROBE_FAULT_NO_QUERY) {
        set_final_step(p, BB_PROBE_RETRY, BB_REASON_CONNECTION_LOST);
    }
}

/* To be called with the answer to a query. */
void
bb_probe_query_completed(struct bb_probe *p, enum bb_query_result result,
                         uint64_t now_us)
{
    p->is_query_pending = false;
    p->next_query_us = now_us + p->check_interval_us;
    switch (result) {
    case BB_QUERY_NEVER_SEEN:
    case BB_QUERY_REFUSED:
        set_final_step(p, BB_PROBE_RETRY, connection_reason(p));
        break;
    case BB_QUERY_DONE:
        set_final_step(p, BB_PROBE_FETCH_RESPONSE, BB_REASON_NONE);
        break;
    case BB_QUERY_OTHER_INCARNATION:
        set_final_step(p, p->is_idempotent ? BB_PROBE_RETRY : BB_PROBE_UNKNOWN,
                       BB_REASON_GATEKEEPER_RESTARTED);
        break;
    case BB_QUERY_RUNNING:
    case BB_QUERY_FULL:
        break;
    }
}

/* To be called with the result of bb_record_begin at the gatekeeper, if the
 * request does not run. A keyed request, whose id another entry node may have
 * sent too, goes to another gatekeeper only after a permanent refusal: a full
 * record is queried again, and another incarnation may have run the request,
 * so the outcome is unknown. */
void
bb_probe_begin_completed(struct bb_probe *p, enum bb_begin_result result,
                         uint64_t now_us)
{
    bool is_keyed = p->is_keyed && p->fault != BB_PROBE_FAULT_RETRIES_KEYED;

    switch (result) {
    case BB_BEGIN_RUN:
        break;
    case BB_BEGIN_DUPLICATE_RUNNING:
        p->next_query_us = now_us + p->check_interval_us;
        break;
    case BB_BEGIN_DUPLICATE_DONE:
        set_final_step(p, BB_PROBE_FETCH_RESPONSE, BB_REASON_NONE);
        break;
    case BB_BEGIN_REFUSED:
        set_final_step(p, BB_PROBE_RETRY, BB_REASON_ALREADY_REFUSED);
        break;
    case BB_BEGIN_FULL:
        if (is_keyed) {
            p->next_query_us = now_us;
        }
        else {
            set_final_step(p, BB_PROBE_RETRY, BB_REASON_RECORD_FULL);
        }
        break;
    case BB_BEGIN_OTHER_INCARNATION:
        set_final_step(p, is_keyed ? BB_PROBE_UNKNOWN : BB_PROBE_RETRY,
                       BB_REASON_GATEKEEPER_RESTARTED);
        break;
    }
}

/* To be called when the gatekeeper has refused the request and recorded the
 * refusal as permanent. */
void
bb_probe_request_refused(struct bb_probe *p, enum bb_reason reason)
{
    set_final_step(p, BB_PROBE_RETRY, reason);
}

/* To be called when a query gets no answer. The next one is due after a
 * quarter of the check interval. */
void
bb_probe_query_failed(struct bb_probe *p, uint64_t now_us)
{
    p->is_query_pending = false;
    p->next_query_us = now_us + p->check_interval_us / 4;
}

/* Returns what to do now. After BB_PROBE_QUERY the caller must report the
 * result with bb_probe_query_completed or bb_probe_query_failed. Sets *reason
 * to why the call is retried or its outcome is unknown, else to
 * BB_REASON_NONE. */
enum bb_probe_step
bb_probe_step(struct bb_probe *p, uint64_t now_us, enum bb_reason *reason)
{
    if (p->final_step == BB_PROBE_WAIT && now_us >= p->deadline_us) {
        set_final_step(p, BB_PROBE_UNKNOWN,
                       p->is_broken || p->is_silent
                           ? connection_reason(p)
                           : BB_REASON_DEADLINE_RUNNING);
    }
    if (p->final_step == BB_PROBE_WAIT && !p->is_query_pending &&
        now_us >= p->next_query_us) {
        p->is_silent = true;
        if (p->fault == BB_PROBE_FAULT_NO_QUERY) {
            set_final_step(p, BB_PROBE_RETRY, connection_reason(p));
        }
        else {
            p->is_query_pending = true;
            p->queries++;
            *reason = BB_REASON_NONE;
            return BB_PROBE_QUERY;
        }
    }
    *reason = p->reason;
    return p->final_step;
}

/* Returns the time at which bb_probe_step must be called even if no event
 * occurs; 0 if the outcome is known. */
uint64_t
bb_probe_next_wakeup_us(const struct bb_probe *p)
{
    if (p->final_step != BB_PROBE_WAIT) {
        return 0;
    }
    return !p->is_query_pending && p->next_query_us < p->deadline_us
               ? p->next_query_us
               : p->deadline_us;
}
