/* Responses that are refusals, by the gatekeeper of another node or by this
 * node's upstream. */
#include <string.h>

#include "common/clock.h"
#include "proxy/internal.h"

/* Parses the refusal that a response carries. Returns false if the response is
 * not a refusal. */
static bool
parse_refusal(const struct bb_attempt *attempt, enum bb_reason *reason,
              enum bb_ran *ran)
{
    const struct bb_http_call *call = attempt->call;
    const char *text;

    if (attempt->is_local) {
        enum bb_reason r = bb_http_call_upstream_refusal(call);

        *reason = r;
        *ran = BB_RAN_NO;
        return r != BB_REASON_NONE;
    }
    text = bb_headers_get(call->headers, BB_HEADER_REFUSED);
    if (text == NULL) {
        return false;
    }
    *reason = BB_REASON_UPSTREAM_BROKEN;
    (void)bb_reason_parse(text, reason);
    text = bb_headers_get(call->headers, BB_HEADER_RAN);
    *ran =
        text != NULL && strcmp(text, "no") == 0 ? BB_RAN_NO : BB_RAN_UNKNOWN;
    return true;
}

/* Returns the attempt result for a refusal reason. */
enum bb_attempt_result
bb_attempt_result_from_reason(enum bb_reason reason)
{
    return reason == BB_REASON_UPSTREAM_SLOW ? BB_ATTEMPT_REFUSED_SLOW
                                             : BB_ATTEMPT_REFUSED;
}

/* Converts a refusal reason to the result of the gatekeeper's record. Returns
 * false if the record did not cause the refusal. */
static bool
record_result_from_reason(enum bb_reason reason, enum bb_begin_result *result)
{
    switch (reason) {
    case BB_REASON_ALREADY_REFUSED:
        *result = BB_BEGIN_REFUSED;
        return true;
    case BB_REASON_RECORD_FULL:
        *result = BB_BEGIN_FULL;
        return true;
    case BB_REASON_GATEKEEPER_RESTARTED:
        *result = BB_BEGIN_OTHER_INCARNATION;
        return true;
    default:
        return false;
    }
}

/* Passes the record's result to the attempt's recovery, which decides the next
 * step. If that is another query, the attempt goes on without its finished
 * HTTP call. */
static void
apply_record_refusal(struct bb_exchange *x, struct bb_attempt *attempt,
                     enum bb_begin_result result)
{
    bb_call_recovery_begin_completed(&attempt->recovery, result,
                                     bb_clock_now_us());
    attempt->is_refused_by_record = true;
    bb_exchange_check_recovery(x, attempt);
    if (attempt->is_active && !attempt->fetches_stored_response) {
        bb_http_call_release(attempt->call);
        attempt->call = NULL;
    }
}

/* Processes a response that is a refusal. Returns false if it is not one. */
bool
bb_exchange_process_refusal(struct bb_exchange *x, struct bb_attempt *attempt)
{
    bool is_body_consumed = bb_exchange_is_body_consumed(x, attempt);
    uint64_t host_key = attempt->host_key;
    enum bb_begin_result result;
    enum bb_reason reason;
    enum bb_ran ran;

    if (!parse_refusal(attempt, &reason, &ran)) {
        return false;
    }
    if (reason == BB_REASON_SHUTTING_DOWN && !attempt->is_local) {
        bb_http_client_close_idle(x->proxy->client,
                                  &attempt->gatekeeper->http_address);
    }
    if (!x->is_idempotent && !attempt->is_local &&
        !attempt->fetches_stored_response &&
        record_result_from_reason(reason, &result)) {
        apply_record_refusal(x, attempt, result);
        return true;
    }
    bb_exchange_finish_attempt(x, attempt,
                               bb_attempt_result_from_reason(reason));
    bb_exchange_retry_or_refuse(x, host_key, reason, ran, is_body_consumed);
    return true;
}
