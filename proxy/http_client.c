#include "proxy/http_client.h"

#include <glib.h>
#include <ne_request.h>
#include <stdatomic.h>
#include <string.h>

#include "common/counters.h"
#include "proxy/session.h"

enum {
    BLOCK_BYTES = 16 * 1024,
    /* A response whose Content-Length is not above this is read before its
     * head is reported, which saves a wake-up and a write to the caller. */
    SHORT_RESPONSE_MAX_BYTES = 16 * 1024
};

BB_COUNTER(discarded_total, "baobab_late_answers_total",
           "Answers discarded because nobody waited any more");

BB_COUNTER(link_bytes_total, "baobab_link_bytes_total",
           "Bytes of requests and answers exchanged with gatekeepers in "
           "another region");

enum {
    FIELD_SEPARATOR_BYTES = 4, /* colon, space and CRLF of a field line */
    TERMINATOR_BYTES = 2       /* NULs after name and value of a field in
                                  struct bb_headers */
};

struct call {
    struct bb_http_call public; /* first, so that both have the same address */
    struct bb_http_client *client;
    struct bb_notifier *notifier;
    struct bb_work work;
    struct bb_http_call_params params;
    char *method;
    char *url;
    uint64_t body_position;
    struct bb_session *session;
    ne_request *neon_request;
    bool is_complete;
    GByteArray *body_copy; /* NULL once the body is too long */
    atomic_uint reference_count;
    atomic_bool is_released;
};

/* Drops one of the two references, of the caller and of the running thread.
 * The last one frees the call. */
static void
unref_call(struct call *call)
{
    if (atomic_fetch_sub(&call->reference_count, 1) != 1) {
        return;
    }
    bb_body_unref(call->params.body);
    bb_body_unref(call->public.response_body);
    bb_headers_destroy(call->public.headers);
    bb_headers_destroy(call->params.headers);
    bb_notifier_unref(call->notifier);
    if (call->body_copy != NULL) {
        (void)g_byte_array_free(call->body_copy, TRUE);
    }
    g_free(call->method);
    g_free(call->url);
    g_free(call);
}

/* Sets the state of the call and wakes the waiting side. */
static void
set_state(struct call *call, enum bb_http_call_state state)
{
    bb_notifier_lock(call->notifier);
    call->public.state = state;
    bb_notifier_unlock(call->notifier);
    atomic_store(&call->public.is_state_final,
                 state != BB_HTTP_CALL_SENDING_BODY);
    /* After the unlock, so that the woken thread need not wait for the lock.
     */
    bb_notifier_signal(call->notifier);
}

/* Counts bytes that cross the paid link between regions, if the peer is in
 * another region. */
static void
count_link_bytes(const struct call *call, size_t size_bytes)
{
    if (call->params.crosses_link) {
        bb_counter_add(&link_bytes_total, size_bytes);
    }
}

/* Returns the size of the fields as sent, in bytes. */
static size_t
fields_size_bytes(const struct bb_headers *h)
{
    return h->text_bytes +
           (size_t)h->field_count * (FIELD_SEPARATOR_BYTES - TERMINATOR_BYTES);
}

/* Body provider for neon. size_bytes 0 starts the body. Returns the number of
 * bytes provided, 0 at the end, or -1 on failure. */
static ssize_t
provide_body(void *data, char *buffer, size_t size_bytes)
{
    struct call *call = data;
    ssize_t count;

    if (size_bytes == 0) {
        call->body_position = 0;
        if (atomic_load(&call->is_released) && !call->params.is_replayable) {
            return -1;
        }
        bb_notifier_lock(call->notifier);
        call->public.is_body_consumed = true;
        bb_notifier_unlock(call->notifier);
        set_state(call, BB_HTTP_CALL_SENDING_BODY);
        return 0;
    }
    if (call->params.is_replayable) {
        count = bb_body_read_at(call->params.body, call->body_position, buffer,
                                size_bytes);
        call->body_position += count > 0 ? (uint64_t)count : 0;
    }
    else {
        count = bb_body_read(call->params.body, buffer, size_bytes,
                             call->params.idle_timeout_ms);
    }
    count_link_bytes(call, count > 0 ? (size_t)count : 0);
    return count >= 0 ? count : -1;
}

/* Creates neon's request. */
static ne_request *
build_request(struct call *call, struct bb_session *s)
{
    ne_request *request = ne_request_create(s->neon, call->method, call->url);

    for (uint32_t i = 0; i < call->params.headers->field_count; i++) {
        const struct bb_header h = bb_headers_at(call->params.headers, i);

        ne_add_request_header(request, h.name, h.value);
    }
    if (call->params.body != NULL) {
        ne_set_request_body_provider(request, call->params.length_bytes,
                                     provide_body, call);
        ne_set_request_flag(request, NE_REQFLAG_EXPECT100,
                            call->params.expect_continue);
    }
    return request;
}

/* Copies the status and the fields of the response. */
static void
read_response_head(struct call *call, ne_request *request)
{
    const char *length = ne_get_response_header(request, "Content-Length");
    const char *coding = ne_get_response_header(request, "Transfer-Encoding");
    const char *name;
    const char *value;
    void *cursor = NULL;
    uint64_t number;

    call->public.status = (uint32_t)ne_get_status(request)->code;
    call->public.response_length_bytes = BB_LENGTH_CHUNKED;
    while ((cursor = ne_response_header_iterate(request, cursor, &name,
                                                &value)) != NULL) {
        bb_headers_add(call->public.headers, name, value);
    }
    if (coding == NULL && length != NULL &&
        g_ascii_string_to_unsigned(length, 10, 0, INT64_MAX, &number, NULL)) {
        call->public.response_length_bytes = (int64_t)number;
    }
}

/* Appends to the copy of the response body, or frees the copy once it would
 * exceed copy_max_bytes. */
static void
append_body_copy(struct call *call, const char *block, size_t size_bytes)
{
    if (call->body_copy == NULL) {
        return;
    }
    if (call->body_copy->len + size_bytes > call->params.copy_max_bytes) {
        (void)g_byte_array_free(call->body_copy, TRUE);
        call->body_copy = NULL;
        return;
    }
    g_byte_array_append(call->body_copy, (const guint8 *)block,
                        (guint)size_bytes);
}

/* Copies the response body into its ring buffer. Returns whether the peer sent
 * it completely; with must_read_to_end that can be true although the reader of
 * the ring buffer has given up. */
static bool
read_response_body(struct call *call, ne_request *request)
{
    char block[BLOCK_BYTES];
    bool is_wanted = true;

    for (;;) {
        ssize_t count = ne_read_response_block(request, block, sizeof(block));

        if (count <= 0) {
            return count == 0;
        }
        append_body_copy(call, block, (size_t)count);
        count_link_bytes(call, (size_t)count);
        if (is_wanted &&
            bb_body_write(call->public.response_body, block, (size_t)count,
                          call->params.idle_timeout_ms) != BB_BODY_WRITTEN) {
            is_wanted = false;
            if (!call->params.must_read_to_end) {
                return false;
            }
        }
    }
}

/* Marks the response body as complete or broken. */
static void
end_response_body(struct call *call, bool is_complete)
{
    if (is_complete) {
        bb_body_finish(call->public.response_body);
    }
    else {
        bb_body_break(call->public.response_body);
    }
}

/* Calls on_finished. */
static void
report_finished(struct call *call, bool is_connected, bool is_complete)
{
    if (call->params.on_finished != NULL) {
        call->params.on_finished(call->params.finished_context, &call->public,
                                 is_connected, is_complete,
                                 is_complete ? call->body_copy : NULL);
    }
}

/* Sends the request and reads the head of the response. Returns false if there
 * is none, after reporting the final state. */
static bool
send_request(struct call *call)
{
    bool is_begun;
    bool is_connected;

    call->session = bb_session_acquire(call->client, &call->params);
    if (call->session == NULL) {
        report_finished(call, false, false);
        set_state(call, BB_HTTP_CALL_NOT_CONNECTED);
        return false;
    }
    call->neon_request = build_request(call, call->session);
    is_begun = ne_begin_request(call->neon_request) == NE_OK;
    is_connected = call->session->is_connected;
    if (is_connected) {
        count_link_bytes(call, strlen(call->method) + strlen(call->url) +
                                   fields_size_bytes(call->params.headers));
    }
    if (!is_begun) {
        report_finished(call, is_connected, false);
        set_state(call, is_connected ? BB_HTTP_CALL_LOST
                                     : BB_HTTP_CALL_NOT_CONNECTED);
        return false;
    }
    read_response_head(call, call->neon_request);
    count_link_bytes(call, fields_size_bytes(call->public.headers));
    return true;
}

/* Returns whether the response is short enough to be read completely before
 * its head is reported. */
static bool
is_response_short(const struct call *call)
{
    return call->public.response_length_bytes >= 0 &&
           call->public.response_length_bytes <= SHORT_RESPONSE_MAX_BYTES;
}

/* Reads the response body and reports the final state. */
static void
read_response(struct call *call)
{
    if (!is_response_short(call)) {
        set_state(call, BB_HTTP_CALL_HEAD_RECEIVED);
    }
    else if (!call->params.is_inline) {
        /* Wakes the waiting thread early, while the rest is read. */
        atomic_store(&call->public.is_response_arriving, true);
        bb_notifier_signal(call->notifier);
    }
    call->is_complete = read_response_body(call, call->neon_request) &&
                        ne_end_request(call->neon_request) == NE_OK;
    if (!is_response_short(call)) {
        report_finished(call, true, call->is_complete);
    }
    end_response_body(call, call->is_complete);
    if (is_response_short(call)) {
        report_finished(call, true, call->is_complete);
        set_state(call, call->is_complete ? BB_HTTP_CALL_HEAD_RECEIVED
                                          : BB_HTTP_CALL_LOST);
    }
}

/* Releases the session, the worker and this thread's reference to the call. */
static void
finish_call(struct call *call)
{
    struct bb_http_client *c = call->client;

    if (call->neon_request != NULL) {
        ne_request_destroy(call->neon_request);
    }
    if (call->is_complete) {
        bb_session_release(c, call->session);
    }
    else if (call->session != NULL) {
        bb_session_destroy(call->session);
    }
    if (!call->is_complete && atomic_load(&call->is_released)) {
        bb_counter_add(&discarded_total, 1);
    }
    /* Nobody reads the rest of the request's body. */
    if (call->params.body != NULL && call->public.is_body_consumed &&
        !call->params.is_replayable) {
        bb_body_abandon(call->params.body);
    }
    bb_workers_finish(c->workers, &call->work);
    unref_call(call);
}

/* Runs a call on a worker. */
static void
run_call(void *context)
{
    struct call *call = context;

    if (send_request(call)) {
        read_response(call);
    }
    finish_call(call);
}

/* Reads a long response on a worker, after its head was read by the thread
 * that started the call. */
static void
run_response_body(void *context)
{
    struct call *call = context;

    read_response(call);
    finish_call(call);
}

/* Runs a call that was started with is_inline, on the calling thread, which
 * saves two thread switches. Returns when a short response is complete or the
 * call has failed. A long response is handed to a worker, because the caller
 * must forward it while it arrives. */
void
bb_http_call_run_inline(struct bb_http_call *public)
{
    struct call *call = (struct call *)public;

    if (send_request(call)) {
        if (!is_response_short(call)) {
            call->work.run = run_response_body;
            if (bb_workers_hand_over(call->client->workers, &call->work)) {
                return;
            }
            report_finished(call, true, false);
            set_state(call, BB_HTTP_CALL_LOST);
        }
        else {
            read_response(call);
        }
    }
    finish_call(call);
}

/* Starts a call on a worker; with is_inline, the caller must run it with
 * bb_http_call_run_inline instead. Progress is signalled to the notifier.
 * method and url are copied, the body is referenced, and the headers are taken
 * over, even on failure. Waits for a free worker until deadline_us; returns
 * NULL, with nothing sent, if there is none. The call must be released with
 * bb_http_call_release. */
struct bb_http_call *
bb_http_call_start(struct bb_http_client *c,
                   const struct bb_http_call_params *params,
                   struct bb_notifier *notifier, uint64_t deadline_us)
{
    struct call *call = g_new0(struct call, 1);
    bool is_accepted;

    call->client = c;
    call->notifier = bb_notifier_ref(notifier);
    call->params = *params;
    call->params.body = bb_body_ref(params->body);
    call->method = g_strdup(params->method);
    call->url = g_strdup(params->url);
    call->public.headers = bb_headers_create();
    call->body_copy = params->copy_max_bytes > 0 ? g_byte_array_new() : NULL;
    call->public.response_body = bb_body_create();
    atomic_init(&call->reference_count, 2);
    call->work = (struct bb_work){
        .run = run_call,
        .context = call,
        .depth = params->depth,
    };
    is_accepted =
        params->is_inline
            ? bb_workers_begin_inline(c->workers, &call->work, deadline_us)
            : bb_workers_submit(c->workers, &call->work, deadline_us);
    if (!is_accepted) {
        atomic_store(&call->reference_count, 1);
        unref_call(call);
        return NULL;
    }
    return &call->public;
}

/* Releases a call. If it still runs, its worker is detached and the response
 * is discarded. NULL is allowed. */
void
bb_http_call_release(struct bb_http_call *public)
{
    struct call *call = (struct call *)public;

    if (call == NULL) {
        return;
    }
    atomic_store(&call->is_released, true);
    bb_body_abandon(call->public.response_body);
    bb_workers_detach(call->client->workers, &call->work);
    unref_call(call);
}
