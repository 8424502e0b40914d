/* Refusals that come as the answer to an attempt: by the gatekeeper of another
 * node, or by the own upstream. */
#include <string.h>

#include "common/clock.h"
#include "proxy/internal.h"

/* Returns the refusal that an answer carries, if it is one: by the gatekeeper
 * of another node, or by the own upstream. */
static bool
read_refusal(const struct bb_leg *leg, enum bb_reason *reason,
             enum bb_ran *ran)
{
    const struct bb_attempt *a = leg->attempt;
    const char *text;

    if (leg->is_local) {
        enum bb_reason r = bb_leg_upstream_refusal(a);

        *reason = r;
        *ran = BB_RAN_NO;
        return r != BB_REASON_NONE;
    }
    text = bb_headers_get(a->headers, BB_HEADER_REFUSED);
    if (text == NULL) {
        return false;
    }
    *reason = BB_REASON_UPSTREAM_BROKEN;
    (void)bb_reason_parse(text, reason);
    text = bb_headers_get(a->headers, BB_HEADER_RAN);
    *ran =
        text != NULL && strcmp(text, "no") == 0 ? BB_RAN_NO : BB_RAN_UNKNOWN;
    return true;
}

/* Returns how an attempt ended that was refused for a reason. */
enum bb_pick_end
bb_entry_refusal_end(enum bb_reason reason)
{
    return reason == BB_REASON_UPSTREAM_SLOW ? BB_PICK_SLOW : BB_PICK_REFUSED;
}

/* Returns what the record of the gatekeeper said when the request arrived;
 * false if the refusal has another cause. */
static bool
record_said(enum bb_reason reason, enum bb_begin_result *result)
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

/* Lets the probe of the leg decide what follows from the record's answer. If
 * it asks the gatekeeper again, the leg goes on without its attempt, which is
 * over. */
static void
follow_record(struct bb_exchange *x, struct bb_leg *leg,
              enum bb_begin_result result)
{
    bb_probe_begin_answered(&leg->probe, result, bb_clock_now_us());
    leg->is_refused_by_record = true;
    bb_entry_check_silence(x, leg);
    if (leg->is_used && !leg->is_stored_answer) {
        bb_attempt_release(leg->attempt);
        leg->attempt = NULL;
    }
}

/* Deals with an answer that is a refusal; false if it is none. */
bool
bb_entry_on_refusal(struct bb_exchange *x, struct bb_leg *leg)
{
    bool has_sent_body = bb_entry_is_body_gone(x, leg);
    uint64_t key = leg->key;
    enum bb_begin_result result;
    enum bb_reason reason;
    enum bb_ran ran;

    if (!read_refusal(leg, &reason, &ran)) {
        return false;
    }
    if (reason == BB_REASON_SHUTTING_DOWN && !leg->is_local) {
        bb_http_client_forget_peer(x->proxy->client, &leg->endpoint->http);
    }
    if (!x->is_idempotent && !leg->is_local && !leg->is_stored_answer &&
        record_said(reason, &result)) {
        follow_record(x, leg, result);
        return true;
    }
    bb_entry_end_leg(x, leg, bb_entry_refusal_end(reason));
    bb_entry_after_failure(x, key, reason, ran, has_sent_body);
    return true;
}
