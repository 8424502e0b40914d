/* Connections to other nodes that broke or fell silent after a request was
 * sent on them. */
#include "common/clock.h"
#include "proxy/internal.h"

/* Tells whether part of a body that streams has been taken, so that no other
 * attempt can send it. */
bool
bb_entry_is_body_gone(const struct bb_exchange *x, const struct bb_leg *leg)
{
    bool is_gone;

    if (!x->is_streaming) {
        return false;
    }
    bb_watch_lock(x->watch);
    is_gone = leg->attempt == NULL || leg->attempt->has_taken_body;
    bb_watch_unlock(x->watch);
    return is_gone;
}

/* A request was sent and its connection broke. */
void
bb_entry_on_lost(struct bb_exchange *x, struct bb_leg *leg)
{
    bool has_sent_body = bb_entry_is_body_gone(x, leg);
    uint64_t key = leg->key;
    bool is_local = leg->is_local;

    if (leg->is_stored_answer) {
        bb_entry_end_leg(x, leg, BB_PICK_FAILED);
        bb_entry_refuse(x, BB_REASON_CONNECTION_LOST, BB_RAN_UNKNOWN);
        return;
    }
    if (!is_local && !x->is_idempotent) {
        bb_probe_connection_broken(&leg->probe, bb_clock_now_us());
        bb_attempt_release(leg->attempt);
        leg->attempt = NULL;
        return;
    }
    bb_entry_end_leg(x, leg, BB_PICK_FAILED);
    bb_entry_after_failure(x, key,
                           is_local ? BB_REASON_UPSTREAM_BROKEN
                                    : BB_REASON_CONNECTION_LOST,
                           BB_RAN_UNKNOWN, has_sent_body);
}

/* Fetches the answer that the gatekeeper kept, on a new connection. */
static void
take_stored(struct bb_exchange *x, struct bb_leg *leg)
{
    struct bb_outcome o;

    bb_attempt_release(leg->attempt);
    leg->attempt = NULL;
    leg->is_stored_answer = true;
    o = bb_leg_start_peer(x, leg);
    if (o.kind == BB_OUTCOME_REFUSED) {
        bb_entry_end_leg(x, leg, BB_PICK_FAILED);
        bb_entry_refuse(x, o.reason, BB_RAN_UNKNOWN);
    }
}

/* Asks the gatekeeper of a silent leg. When it says that the request is not
 * there any more, its answer may be on its way on the first connection, so
 * the gatekeeper is asked once more before that connection is given up. */
static void
query(struct bb_exchange *x, struct bb_leg *leg)
{
    enum bb_query_result result;
    bool is_over;

    if (!bb_rpc_query(x, leg, &result)) {
        bb_probe_query_failed(&leg->probe, bb_clock_now_us());
        return;
    }
    is_over = result == BB_QUERY_DONE ||
              (result == BB_QUERY_NEVER_SEEN && x->is_idempotent);
    if (is_over && leg->attempt != NULL && !leg->is_asked_again) {
        leg->is_asked_again = true;
        bb_probe_query_failed(&leg->probe, bb_clock_now_us());
        return;
    }
    bb_probe_query_answered(&leg->probe, result, bb_clock_now_us());
}

/* Watches over an attempt at another node that may have fallen silent. */
void
bb_entry_check_silence(struct bb_exchange *x, struct bb_leg *leg)
{
    enum bb_reason reason;
    uint64_t key = leg->key;
    bool has_sent_body = bb_entry_is_body_gone(x, leg);
    /* A refusal says nothing against the connection or the speed. */
    bool is_refused = leg->is_refused_by_record;
    enum bb_pick_end end = is_refused ? BB_PICK_REFUSED : BB_PICK_FAILED;

    switch (bb_probe_step(&leg->probe, bb_clock_now_us(), &reason)) {
    case BB_PROBE_WAIT:
        break;
    case BB_PROBE_QUERY:
        query(x, leg);
        break;
    case BB_PROBE_TAKE_ANSWER:
        if (!leg->is_stored_answer) {
            take_stored(x, leg);
        }
        break;
    case BB_PROBE_RETRY:
        if (!is_refused) {
            bb_http_client_forget_peer(x->proxy->client, &leg->endpoint->http);
        }
        bb_entry_end_leg(x, leg, end);
        bb_entry_after_failure(x, key, reason,
                               x->is_idempotent ? BB_RAN_UNKNOWN : BB_RAN_NO,
                               has_sent_body);
        break;
    case BB_PROBE_UNKNOWN:
        bb_entry_end_leg(x, leg, end);
        bb_entry_refuse(x, reason, BB_RAN_UNKNOWN);
        break;
    }
}
