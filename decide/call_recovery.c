#include "decide/call_recovery.h"

/* Starts watching a call that has been sent. is_keyed: its id belongs to an
 * idempotency key, so other entry nodes may send the same id.
 * check_interval_us: how long the connection may be silent before the
 * gatekeeper is queried, and how long until the next query. */
void
bb_call_recovery_init(struct bb_call_recovery *r, bool is_idempotent,
                      bool is_keyed, uint64_t check_interval_us,
                      uint64_t deadline_us, uint64_t now_us)
{
    *r = (struct bb_call_recovery){
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
set_final_step(struct bb_call_recovery *r, enum bb_call_recovery_step step,
               enum bb_reason reason)
{
    if (r->final_step == BB_CALL_RECOVERY_WAIT) {
        r->final_step = step;
        r->reason = reason;
    }
}

/* Records that bytes of the response arrived on the call's connection. */
void
bb_call_recovery_bytes_received(struct bb_call_recovery *r, uint64_t now_us)
{
    r->last_byte_us = now_us;
    r->is_silent = false;
    if (!r->is_query_pending) {
        r->next_query_us = now_us + r->check_interval_us;
    }
}

/* Returns why the call's connection is given up. */
static enum bb_reason
connection_reason(const struct bb_call_recovery *r)
{
    return r->is_broken ? BB_REASON_CONNECTION_LOST
                        : BB_REASON_CONNECTION_SILENT;
}

/* To be called when the call's connection breaks. An idempotent call is
 * retried at once, any other one leads to a query. */
void
bb_call_recovery_connection_broken(struct bb_call_recovery *r, uint64_t now_us)
{
    r->is_broken = true;
    if (!r->is_query_pending) {
        r->next_query_us = now_us;
    }
    if (r->is_idempotent || r->fault == BB_CALL_RECOVERY_FAULT_NO_QUERY) {
        set_final_step(r, BB_CALL_RECOVERY_RETRY, BB_REASON_CONNECTION_LOST);
    }
}

/* To be called with the response to a query. */
void
bb_call_recovery_query_completed(struct bb_call_recovery *r,
                                 enum bb_query_result result, uint64_t now_us)
{
    r->is_query_pending = false;
    r->next_query_us = now_us + r->check_interval_us;
    switch (result) {
    case BB_QUERY_NEVER_SEEN:
    case BB_QUERY_REFUSED:
        set_final_step(r, BB_CALL_RECOVERY_RETRY, connection_reason(r));
        break;
    case BB_QUERY_DONE:
        set_final_step(r, BB_CALL_RECOVERY_FETCH_RESPONSE, BB_REASON_NONE);
        break;
    case BB_QUERY_OTHER_INCARNATION:
        set_final_step(r,
                       r->is_idempotent ? BB_CALL_RECOVERY_RETRY
                                        : BB_CALL_RECOVERY_UNKNOWN,
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
bb_call_recovery_begin_completed(struct bb_call_recovery *r,
                                 enum bb_begin_result result, uint64_t now_us)
{
    bool is_keyed =
        r->is_keyed && r->fault != BB_CALL_RECOVERY_FAULT_RETRIES_KEYED;

    switch (result) {
    case BB_BEGIN_RUN:
        break;
    case BB_BEGIN_DUPLICATE_RUNNING:
        r->next_query_us = now_us + r->check_interval_us;
        break;
    case BB_BEGIN_DUPLICATE_DONE:
        set_final_step(r, BB_CALL_RECOVERY_FETCH_RESPONSE, BB_REASON_NONE);
        break;
    case BB_BEGIN_REFUSED:
        set_final_step(r, BB_CALL_RECOVERY_RETRY, BB_REASON_ALREADY_REFUSED);
        break;
    case BB_BEGIN_FULL:
        if (is_keyed) {
            r->next_query_us = now_us;
        }
        else {
            set_final_step(r, BB_CALL_RECOVERY_RETRY, BB_REASON_RECORD_FULL);
        }
        break;
    case BB_BEGIN_OTHER_INCARNATION:
        set_final_step(
            r, is_keyed ? BB_CALL_RECOVERY_UNKNOWN : BB_CALL_RECOVERY_RETRY,
            BB_REASON_GATEKEEPER_RESTARTED);
        break;
    }
}

/* To be called when the gatekeeper has refused the request and recorded the
 * refusal as permanent. */
void
bb_call_recovery_request_refused(struct bb_call_recovery *r,
                                 enum bb_reason reason)
{
    set_final_step(r, BB_CALL_RECOVERY_RETRY, reason);
}

/* To be called when a query gets no response. The next one is due after a
 * quarter of the check interval. */
void
bb_call_recovery_query_failed(struct bb_call_recovery *r, uint64_t now_us)
{
    r->is_query_pending = false;
    r->next_query_us = now_us + r->check_interval_us / 4;
}

/* Returns what to do now. After BB_CALL_RECOVERY_QUERY the caller must report
 * the result with bb_call_recovery_query_completed or
 * bb_call_recovery_query_failed. Sets *reason to why the call is retried or
 * its outcome is unknown, else to BB_REASON_NONE. */
enum bb_call_recovery_step
bb_call_recovery_step(struct bb_call_recovery *r, uint64_t now_us,
                      enum bb_reason *reason)
{
    if (r->final_step == BB_CALL_RECOVERY_WAIT && now_us >= r->deadline_us) {
        set_final_step(r, BB_CALL_RECOVERY_UNKNOWN,
                       r->is_broken || r->is_silent
                           ? connection_reason(r)
                           : BB_REASON_DEADLINE_RUNNING);
    }
    if (r->final_step == BB_CALL_RECOVERY_WAIT && !r->is_query_pending &&
        now_us >= r->next_query_us) {
        r->is_silent = true;
        if (r->fault == BB_CALL_RECOVERY_FAULT_NO_QUERY) {
            set_final_step(r, BB_CALL_RECOVERY_RETRY, connection_reason(r));
        }
        else {
            r->is_query_pending = true;
            r->queries++;
            *reason = BB_REASON_NONE;
            return BB_CALL_RECOVERY_QUERY;
        }
    }
    *reason = r->reason;
    return r->final_step;
}

/* Returns the time at which bb_call_recovery_step must be called even if no
 * event occurs; 0 if the outcome is known. */
uint64_t
bb_call_recovery_next_wakeup_us(const struct bb_call_recovery *r)
{
    if (r->final_step != BB_CALL_RECOVERY_WAIT) {
        return 0;
    }
    return !r->is_query_pending && r->next_query_us < r->deadline_us
               ? r->next_query_us
               : r->deadline_us;
}
