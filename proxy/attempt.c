/* A single attempt of an exchange: at this node's upstream, in a slot of the
 * gatekeeper, or at the gatekeeper of another node. */
#include <inttypes.h>
#include <string.h>

#include "common/clock.h"
#include "decide/retry.h"
#include "proxy/internal.h"

enum {
    HTTP_UNAVAILABLE = 503,
    /* Makes neon's timeout, in whole seconds, end after the deadline. */
    EXTRA_TIMEOUT_S = 2,
    EXPECT_CONTINUE_MIN_BYTES = 64 * 1024,
    WORKER_WAIT_DIVISOR = 4
};

static const struct bb_outcome no_outcome = {.kind = BB_OUTCOME_NONE};

/* Returns an outcome with a refusal. */
static struct bb_outcome
refusal_outcome(enum bb_reason reason, enum bb_ran ran)
{
    return (struct bb_outcome){
        .kind = BB_OUTCOME_REFUSED, .reason = reason, .ran = ran};
}

/* Creates the header fields for the next hop: the end-to-end fields of the
 * request, and Baobab's own. The caller owns the result. */
static struct bb_headers *
create_forwarded_headers(const struct bb_exchange *x)
{
    struct bb_headers *h = bb_headers_create();
    uint64_t remaining_us =
        bb_deadline_nested_remaining_us(x->deadline_us, bb_clock_now_us());

    bb_headers_copy_end_to_end(x->headers, h);
    bb_headers_add(h, BB_HEADER_ID, x->id_text);
    bb_headers_addf(h, BB_HEADER_DEADLINE, "%" PRIu64,
                    MAX(remaining_us / BB_US_PER_MS, (uint64_t)1));
    bb_headers_addf(h, BB_HEADER_DEPTH, "%u", x->depth);
    bb_headers_add(h, "Via", "1.1 baobab");
    return h;
}

/* Appends the caller's address to X-Forwarded-For. Only the entry node does
 * so. */
static void
add_forwarded_for(const struct bb_exchange *x, struct bb_headers *h)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        x->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    struct sockaddr_storage s = {0};
    struct bb_address a;

    if (info == NULL) {
        return;
    }
    memcpy(&s, info->client_addr,
           info->client_addr->sa_family == AF_INET6
               ? sizeof(struct sockaddr_in6)
               : sizeof(struct sockaddr_in));
    if (bb_address_from_sockaddr(&s, &a)) {
        bb_headers_add(h, "X-Forwarded-For", a.ip);
    }
}

/* Returns the time until which to wait for a free worker: a share of the
 * remaining time, because the rest is needed to run the request. */
static uint64_t
worker_wait_end_us(const struct bb_exchange *x)
{
    uint64_t now_us = bb_clock_now_us();

    return x->deadline_us > now_us
               ? now_us + (x->deadline_us - now_us) / WORKER_WAIT_DIVISOR
               : now_us;
}

/* Returns the parameters that local and forwarded attempts have in common. The
 * headers are taken over. */
static struct bb_http_call_params
common_params(const struct bb_exchange *x, struct bb_headers *h)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t remaining_us =
        x->deadline_us > now_us ? x->deadline_us - now_us : 0;
    uint64_t longest_us =
        x->table != NULL
            ? (uint64_t)x->table->longest_timeout_ms * BB_US_PER_MS
            : 0;

    return (struct bb_http_call_params){
        .method = x->method,
        .url = x->url,
        .headers = h,
        .body = x->wants_stored_response ? NULL : x->body,
        .length_bytes = x->length_bytes,
        .is_replayable = !x->is_streaming,
        /* A pooled session keeps its timeout, so the timeout must suit every
         * later call on it. */
        .read_timeout_s =
            (uint32_t)(MAX(remaining_us, longest_us) / BB_US_PER_S) +
            EXTRA_TIMEOUT_S,
        .idle_timeout_ms = x->idle_timeout_ms,
        .depth = x->depth,
    };
}

/* Returns the reason of a refusal by the upstream itself, or BB_REASON_NONE if
 * the response is not one. Unknown values of the field count as
 * BB_REASON_UPSTREAM_SHEDDING. */
enum bb_reason
bb_http_call_upstream_refusal(const struct bb_http_call *call)
{
    const char *text =
        bb_headers_get(call->headers, BB_HEADER_UPSTREAM_REFUSED);

    if (call->status != HTTP_UNAVAILABLE || text == NULL) {
        return BB_REASON_NONE;
    }
    if (strcmp(text, "draining") == 0) {
        return BB_REASON_UPSTREAM_DRAINING;
    }
    if (strcmp(text, "starting") == 0) {
        return BB_REASON_UPSTREAM_STARTING;
    }
    return strcmp(text, "deadline") == 0 ? BB_REASON_DEADLINE_BEFORE_RUN
                                         : BB_REASON_UPSTREAM_SHEDDING;
}

/* Copies a response to be stored for duplicates of a recorded request. */
static struct bb_stored_response *
create_stored_response(const struct bb_http_call *call, GByteArray *body_copy)
{
    struct bb_stored_response *s = bb_stored_response_create();

    s->status = call->status;
    bb_headers_copy_end_to_end(call->headers, s->headers);
    g_byte_array_append(s->body, body_copy->data, body_copy->len);
    return s;
}

/* Releases the slot when the upstream is done with the request, even if nobody
 * waits for the response any more. */
static void
on_call_finished(void *context, const struct bb_http_call *call,
                 bool is_connected, bool is_complete, GByteArray *body_copy)
{
    struct bb_slot *slot = context;
    struct bb_gatekeeper *g = slot->gatekeeper;
    struct bb_stored_response *response = NULL;
    enum bb_slot_result result = BB_SLOT_LOST;
    enum bb_reason reason = BB_REASON_NONE;

    if (!is_connected) {
        result = BB_SLOT_NOT_CONNECTED;
    }
    else if (is_complete) {
        reason = bb_http_call_upstream_refusal(call);
        result =
            reason != BB_REASON_NONE ? BB_SLOT_REFUSED : BB_SLOT_COMPLETED;
    }
    if (result == BB_SLOT_COMPLETED && slot->is_recorded &&
        body_copy != NULL) {
        response = create_stored_response(call, body_copy);
    }
    bb_gatekeeper_release_slot(slot, result, response);
    bb_stored_response_unref(response);
    if (result == BB_SLOT_REFUSED) {
        bb_gatekeeper_on_upstream_refusal(g, reason);
    }
}

/* Returns an outcome with the stored response, whose reference it takes over,
 * or a refusal if it is NULL. */
static struct bb_outcome
outcome_from_stored(struct bb_stored_response *stored)
{
    if (stored == NULL) {
        return refusal_outcome(BB_REASON_DUPLICATE, BB_RAN_UNKNOWN);
    }
    return (struct bb_outcome){.kind = BB_OUTCOME_STORED, .stored = stored};
}

/* Sends the request to this node's upstream once the gatekeeper admits it,
 * which may take time in the queue. Returns BB_OUTCOME_NONE once it is sent
 * or a worker has taken it, otherwise the stored response of a duplicate or a
 * refusal. */
struct bb_outcome
bb_attempt_start_local(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_proxy *p = x->proxy;
    const struct bb_gatekeeper_request gatekeeper_request = {
        .service = x->service_name,
        .id = x->id,
        .is_idempotent = x->is_idempotent,
        .incarnation = x->is_forwarded ? x->incarnation : attempt->incarnation,
        .work_class = x->work_class,
        .deadline_us = x->deadline_us,
        .may_refuse_as_slow = x->is_forwarded ? x->may_refuse_as_slow
                                              : attempt->may_refuse_as_slow,
    };
    struct bb_http_call_params request;
    struct bb_gatekeeper_result g;
    struct bb_headers *h;

    if (x->wants_stored_response) {
        return outcome_from_stored(
            bb_gatekeeper_get_stored_response(p->gatekeeper, &x->id));
    }
    g = bb_gatekeeper_admit(p->gatekeeper, &gatekeeper_request);
    switch (g.decision) {
    case BB_GATEKEEPER_RUN:
        break;
    case BB_GATEKEEPER_REFUSE:
        return refusal_outcome(g.reason, g.ran);
    case BB_GATEKEEPER_STORED:
        return outcome_from_stored(g.stored);
    }
    h = create_forwarded_headers(x);
    if (!x->is_forwarded) {
        add_forwarded_for(x, h);
    }
    request = common_params(x, h);
    request.peer_address = g.slot->upstream_address;
    request.copy_max_bytes =
        x->is_idempotent ? 0 : BB_STORED_RESPONSE_MAX_BYTES;
    request.must_read_to_end = !x->is_idempotent;
    /* This thread can wait for the upstream itself, although neon's timeout
     * has whole seconds only, because the entry node enforces the deadline in
     * milliseconds. Handing the call to a worker and back would cost two
     * wake-ups. */
    request.is_inline = x->is_forwarded && !x->is_streaming;
    request.on_finished = on_call_finished;
    request.finished_context = g.slot;
    attempt->start_us = bb_clock_now_us();
    attempt->call = bb_http_call_start(p->upstream_client, &request,
                                       x->notifier, worker_wait_end_us(x));
    if (attempt->call == NULL) {
        bb_gatekeeper_release_slot(g.slot, BB_SLOT_REFUSED, NULL);
        return refusal_outcome(BB_REASON_WORKER_LIMIT, BB_RAN_NO);
    }
    if (request.is_inline) {
        bb_http_call_run_inline(attempt->call);
    }
    return no_outcome;
}

/* Sends the request to the gatekeeper of another node. Returns BB_OUTCOME_NONE
 * once a worker has taken it, or a refusal if none is free. */
struct bb_outcome
bb_attempt_start_peer(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_proxy *p = x->proxy;
    struct bb_headers *h = create_forwarded_headers(x);
    struct bb_http_call_params request = common_params(x, h);

    add_forwarded_for(x, h);
    bb_headers_add(h, BB_HEADER_FORWARDED, x->service_name);
    bb_headers_add(h, BB_HEADER_CLASS,
                   x->work_class == BB_ADMISSION_CLASS_LONG ? "long"
                                                            : "short");
    bb_headers_addf(h, BB_HEADER_REVISION, "%" PRIu64, x->table->revision);
    if (attempt->fetches_stored_response) {
        bb_headers_add(h, BB_HEADER_ATTEMPT, "stored");
        request.body = NULL;
    }
    else {
        bb_headers_addf(h, BB_HEADER_ATTEMPT, "%u", x->attempt_count);
    }
    if (attempt->may_refuse_as_slow) {
        bb_headers_add(h, BB_HEADER_ELSEWHERE, "1");
    }
    if (!x->is_idempotent) {
        bb_headers_addf(h, BB_HEADER_INCARNATION, "%" PRIu64,
                        attempt->incarnation);
    }
    request.peer_address = attempt->gatekeeper->http_address;
    request.use_new_connection = attempt->fetches_stored_response;
    request.crosses_link =
        attempt->gatekeeper->distance == BB_ROUTE_OTHER_REGION;
    request.expect_continue =
        x->is_streaming &&
        (x->length_bytes < 0 || x->length_bytes > EXPECT_CONTINUE_MIN_BYTES);
    attempt->call = bb_http_call_start(p->client, &request, x->notifier,
                                       worker_wait_end_us(x));
    return attempt->call != NULL
               ? no_outcome
               : refusal_outcome(BB_REASON_WORKER_LIMIT, BB_RAN_NO);
}

/* Tells the gatekeeper of an attempt that the response is not needed. Only
 * idempotent requests are cancelled: a duplicate of a non-idempotent request
 * may still need the response. */
void
bb_attempt_cancel(struct bb_exchange *x, const struct bb_attempt *attempt)
{
    if (!x->is_idempotent) {
        return;
    }
    if (attempt->is_local) {
        bb_proxy_cancel_local(x->proxy, &x->id);
    }
    else {
        bb_peer_rpc_cancel(x->proxy, &attempt->gatekeeper->rpc_address,
                           &x->id);
    }
}
