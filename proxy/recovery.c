/* Recovery of requests whose connection to another node broke or went silent
 * after they were sent. */
#include "common/clock.h"
#include "proxy/internal.h"

/* Returns whether sending of a streamed body has begun, so that no other
 * attempt can send it. If the attempt has no HTTP call any more, the body
 * counts as consumed. */
bool
bb_exchange_is_body_consumed(const struct bb_exchange *x,
                             const struct bb_attempt *attempt)
{
    bool is_consumed;

    if (!x->is_streaming) {
        return false;
    }
    bb_notifier_lock(x->notifier);
    is_consumed = attempt->call == NULL || attempt->call->is_body_consumed;
    bb_notifier_unlock(x->notifier);
    return is_consumed;
}

/* Called when a connection breaks after the request was sent. */
void
bb_exchange_on_connection_lost(struct bb_exchange *x,
                               struct bb_attempt *attempt)
{
    bool is_body_consumed = bb_exchange_is_body_consumed(x, attempt);
    uint64_t host_key = attempt->host_key;
    bool is_local = attempt->is_local;

    if (attempt->fetches_stored_response) {
        bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_FAILED);
        bb_exchange_refuse_as_entry(x, BB_REASON_CONNECTION_LOST,
                                    BB_RAN_UNKNOWN);
        return;
    }
    if (!is_local && !x->is_idempotent) {
        bb_call_recovery_connection_broken(&attempt->recovery,
                                           bb_clock_now_us());
        bb_http_call_release(attempt->call);
        attempt->call = NULL;
        return;
    }
    bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_FAILED);
    bb_exchange_retry_or_refuse(x, host_key,
                                is_local ? BB_REASON_UPSTREAM_BROKEN
                                         : BB_REASON_CONNECTION_LOST,
                                BB_RAN_UNKNOWN, is_body_consumed);
}

/* Fetches the response stored by the gatekeeper, on a new connection. */
static void
fetch_stored_response(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_outcome o;

    bb_http_call_release(attempt->call);
    attempt->call = NULL;
    attempt->fetches_stored_response = true;
    o = bb_attempt_start_peer(x, attempt);
    if (o.kind == BB_OUTCOME_REFUSED) {
        bb_exchange_finish_attempt(x, attempt, BB_ATTEMPT_FAILED);
        bb_exchange_refuse_as_entry(x, o.reason, BB_RAN_UNKNOWN);
    }
}

/* Queries the gatekeeper of a silent attempt. If the request has ended there,
 * its response may still be in transit on the first connection, so the query
 * is retried once before that connection is given up. */
static void
query_gatekeeper(struct bb_exchange *x, struct bb_attempt *attempt)
{
    enum bb_query_result result;
    bool has_ended;

    if (!bb_peer_rpc_query(x, attempt, &result)) {
        bb_call_recovery_query_failed(&attempt->recovery, bb_clock_now_us());
        return;
    }
    has_ended = result == BB_QUERY_DONE ||
                (result == BB_QUERY_NEVER_SEEN && x->is_idempotent);
    if (has_ended && attempt->call != NULL && !attempt->is_query_retried) {
        attempt->is_query_retried = true;
        /* Not a failure, but schedules the second query. */
        bb_call_recovery_query_failed(&attempt->recovery, bb_clock_now_us());
        return;
    }
    bb_call_recovery_query_completed(&attempt->recovery, result,
                                     bb_clock_now_us());
}

/* Performs the next step of the attempt's recovery: wait, query, fetch the
 * stored response, retry, or give up with an unknown outcome. */
void
bb_exchange_check_recovery(struct bb_exchange *x, struct bb_attempt *attempt)
{
    enum bb_reason reason;
    uint64_t host_key = attempt->host_key;
    bool is_body_consumed = bb_exchange_is_body_consumed(x, attempt);
    /* A refusal is evidence neither of a broken connection nor of slowness. */
    bool is_refused = attempt->is_refused_by_record;
    enum bb_attempt_result result =
        is_refused ? BB_ATTEMPT_REFUSED : BB_ATTEMPT_FAILED;

    switch (bb_call_recovery_step(&attempt->recovery, bb_clock_now_us(),
                                  &reason)) {
    case BB_CALL_RECOVERY_WAIT:
        break;
    case BB_CALL_RECOVERY_QUERY:
        query_gatekeeper(x, attempt);
        break;
    case BB_CALL_RECOVERY_FETCH_RESPONSE:
        if (!attempt->fetches_stored_response) {
            fetch_stored_response(x, attempt);
        }
        break;
    case BB_CALL_RECOVERY_RETRY:
        if (!is_refused) {
            bb_http_client_close_idle(x->proxy->client,
                                      &attempt->gatekeeper->http_address);
        }
        bb_exchange_finish_attempt(x, attempt, result);
        bb_exchange_retry_or_refuse(
            x, host_key, reason, x->is_idempotent ? BB_RAN_UNKNOWN : BB_RAN_NO,
            is_body_consumed);
        break;
    case BB_CALL_RECOVERY_UNKNOWN:
        bb_exchange_finish_attempt(x, attempt, result);
        bb_exchange_refuse_as_entry(x, reason, BB_RAN_UNKNOWN);
        break;
    }
}
