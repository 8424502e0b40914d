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
    SHORT_RESPONSE_BYTES = 16 * 1024
};

BB_COUNTER(discarded_total, "baobab_late_answers_total",
           "Answers discarded because nobody waited any more");

BB_COUNTER(link_bytes_total, "baobab_link_bytes_total",
           "Bytes of requests and answers exchanged with gatekeepers in "
           "another region");

enum {
    FIELD_SEPARATOR_BYTES = 4, /* colon, space and CRLF of a field line */
    TERMINATOR_BYTES = 2 /* two NUL bytes per field in struct bb_headers */
};

struct call {
    struct bb_http_call public; /* first, so that both have the same address */
    struct bb_http_client *client;
    struct bb_notifier *watch;
    struct bb_work work;
    struct bb_http_call_params request;
    char *method;
    char *url;
    uint64_t body_position;
    struct bb_session *session;
    ne_request *exchange;
    bool is_whole;
    GByteArray *kept; /* copy of the response body, NULL once it is too long */
    atomic_uint references;
    atomic_bool is_released;
};

/* Drops one of the two references, of the caller and of the running thread.
 * The last one frees the call. */
static void
unref_call(struct call *a)
{
    if (atomic_fetch_sub(&a->references, 1) != 1) {
        return;
    }
    bb_body_unref(a->request.body);
    bb_body_unref(a->public.response_body);
    bb_headers_destroy(a->public.headers);
    bb_headers_destroy(a->request.headers);
    bb_notifier_unref(a->watch);
    if (a->kept != NULL) {
        (void)g_byte_array_free(a->kept, TRUE);
    }
    g_free(a->method);
    g_free(a->url);
    g_free(a);
}

/* Sets the state of the call and wakes the waiting side. */
static void
set_state(struct call *a, enum bb_http_call_state state)
{
    bb_notifier_lock(a->watch);
    a->public.state = state;
    bb_notifier_unlock(a->watch);
    atomic_store(&a->public.is_finished, state != BB_HTTP_CALL_SENDING_BODY);
    /* After the unlock, so that the woken thread need not wait for the lock.
     */
    bb_notifier_signal(a->watch);
}

/* Counts bytes that cross the billed link between regions, if the peer is in
 * another region. */
static void
count_link_bytes(const struct call *a, size_t size_bytes)
{
    if (a->request.crosses_link) {
        bb_counter_add(&link_bytes_total, size_bytes);
    }
}

/* Returns the size of the fields as sent, in bytes. */
static size_t
fields_size(const struct bb_headers *h)
{
    return h->text_bytes +
           (size_t)h->count * (FIELD_SEPARATOR_BYTES - TERMINATOR_BYTES);
}

/* Body provider for neon. size_bytes 0 starts the body. Returns the number of
 * bytes provided, 0 at the end, or -1 on failure. */
static ssize_t
provide_body(void *data, char *buffer, size_t size_bytes)
{
    struct call *a = data;
    ssize_t count;

    if (size_bytes == 0) {
        a->body_position = 0;
        if (atomic_load(&a->is_released) && !a->request.is_replayable) {
            return -1;
        }
        bb_notifier_lock(a->watch);
        a->public.is_body_consumed = true;
        bb_notifier_unlock(a->watch);
        set_state(a, BB_HTTP_CALL_SENDING_BODY);
        return 0;
    }
    if (a->request.is_replayable) {
        count = bb_body_read_at(a->request.body, a->body_position, buffer,
                                size_bytes);
        a->body_position += count > 0 ? (uint64_t)count : 0;
    }
    else {
        count = bb_body_read(a->request.body, buffer, size_bytes,
                             a->request.idle_timeout_ms);
    }
    count_link_bytes(a, count > 0 ? (size_t)count : 0);
    return count >= 0 ? count : -1;
}

/* Creates neon's request. */
static ne_request *
build_request(struct call *a, struct bb_session *s)
{
    ne_request *request = ne_request_create(s->neon, a->method, a->url);

    for (uint32_t i = 0; i < a->request.headers->count; i++) {
        const struct bb_header h = bb_headers_at(a->request.headers, i);

        ne_add_request_header(request, h.name, h.value);
    }
    if (a->request.body != NULL) {
        ne_set_request_body_provider(request, a->request.length_bytes,
                                     provide_body, a);
        ne_set_request_flag(request, NE_REQFLAG_EXPECT100,
                            a->request.expect_continue);
    }
    return request;
}

/* Copies the status and the fields of the response. */
static void
read_response_head(struct call *a, ne_request *request)
{
    const char *length = ne_get_response_header(request, "Content-Length");
    const char *coding = ne_get_response_header(request, "Transfer-Encoding");
    const char *name;
    const char *value;
    void *cursor = NULL;
    uint64_t number;

    a->public.status = (uint32_t)ne_get_status(request)->code;
    a->public.response_length_bytes = BB_LENGTH_CHUNKED;
    while ((cursor = ne_response_header_iterate(request, cursor, &name,
                                                &value)) != NULL) {
        bb_headers_add(a->public.headers, name, value);
    }
    if (coding == NULL && length != NULL &&
        g_ascii_string_to_unsigned(length, 10, 0, INT64_MAX, &number, NULL)) {
        a->public.response_length_bytes = (int64_t)number;
    }
}

/* Appends to the copy of the response body, or frees the copy once it would
 * exceed keep_max_bytes. */
static void
keep_block(struct call *a, const char *block, size_t size_bytes)
{
    if (a->kept == NULL) {
        return;
    }
    if (a->kept->len + size_bytes > a->request.keep_max_bytes) {
        (void)g_byte_array_free(a->kept, TRUE);
        a->kept = NULL;
        return;
    }
    g_byte_array_append(a->kept, (const guint8 *)block, (guint)size_bytes);
}

/* Copies the response body into its ring buffer. Returns true if it is
 * complete. */
static bool
read_response_body(struct call *a, ne_request *request)
{
    char block[BLOCK_BYTES];
    bool is_read = true;

    for (;;) {
        ssize_t count = ne_read_response_block(request, block, sizeof(block));

        if (count <= 0) {
            return count == 0;
        }
        keep_block(a, block, (size_t)count);
        count_link_bytes(a, (size_t)count);
        if (is_read &&
            bb_body_write(a->public.response_body, block, (size_t)count,
                          a->request.idle_timeout_ms) != BB_BODY_WRITTEN) {
            is_read = false;
            if (!a->request.must_read_to_end) {
                return false;
            }
        }
    }
}

/* Marks the response body as complete or broken. */
static void
end_response_body(struct call *a, bool is_whole)
{
    if (is_whole) {
        bb_body_finish(a->public.response_body);
    }
    else {
        bb_body_break(a->public.response_body);
    }
}

/* Calls on_finished. */
static void
report_finished(struct call *a, bool is_sent, bool is_whole)
{
    if (a->request.on_finished != NULL) {
        a->request.on_finished(a->request.finished_context, &a->public,
                               is_sent, is_whole, is_whole ? a->kept : NULL);
    }
}

/* Sends the request and reads the head of the response. Returns false if there
 * is none, after reporting the final state. */
static bool
send_request(struct call *a)
{
    bool is_begun;
    bool is_sent;

    a->session = bb_session_acquire(a->client, &a->request);
    if (a->session == NULL) {
        report_finished(a, false, false);
        set_state(a, BB_HTTP_CALL_NOT_SENT);
        return false;
    }
    a->exchange = build_request(a, a->session);
    is_begun = ne_begin_request(a->exchange) == NE_OK;
    is_sent = a->session->is_connected;
    if (is_sent) {
        count_link_bytes(a, strlen(a->method) + strlen(a->url) +
                                fields_size(a->request.headers));
    }
    if (!is_begun) {
        report_finished(a, is_sent, false);
        set_state(a, is_sent ? BB_HTTP_CALL_LOST : BB_HTTP_CALL_NOT_SENT);
        return false;
    }
    read_response_head(a, a->exchange);
    count_link_bytes(a, fields_size(a->public.headers));
    return true;
}

/* Returns whether the response is short enough to be read completely before
 * its head is reported. */
static bool
is_response_short(const struct call *a)
{
    return a->public.response_length_bytes >= 0 &&
           a->public.response_length_bytes <= SHORT_RESPONSE_BYTES;
}

/* Reads the response body and reports the final state. */
static void
read_response(struct call *a)
{
    if (!is_response_short(a)) {
        set_state(a, BB_HTTP_CALL_HEAD_RECEIVED);
    }
    else if (!a->request.is_inline) {
        /* Wakes the waiting thread early, while the rest is read. */
        atomic_store(&a->public.is_response_arriving, true);
        bb_notifier_signal(a->watch);
    }
    a->is_whole = read_response_body(a, a->exchange) &&
                  ne_end_request(a->exchange) == NE_OK;
    if (!is_response_short(a)) {
        report_finished(a, true, a->is_whole);
    }
    end_response_body(a, a->is_whole);
    if (is_response_short(a)) {
        report_finished(a, true, a->is_whole);
        set_state(a, a->is_whole ? BB_HTTP_CALL_HEAD_RECEIVED
                                 : BB_HTTP_CALL_LOST);
    }
}

/* Releases the session, the worker and this thread's reference to the call. */
static void
clean_up(struct call *a)
{
    struct bb_http_client *c = a->client;

    if (a->exchange != NULL) {
        ne_request_destroy(a->exchange);
    }
    if (a->is_whole) {
        bb_session_release(c, a->session);
    }
    else if (a->session != NULL) {
        bb_session_destroy(a->session);
    }
    if (!a->is_whole && atomic_load(&a->is_released)) {
        bb_counter_add(&discarded_total, 1);
    }
    /* Nobody reads the rest of the request's body. */
    if (a->request.body != NULL && a->public.is_body_consumed &&
        !a->request.is_replayable) {
        bb_body_abandon(a->request.body);
    }
    bb_workers_finish(c->workers, &a->work);
    unref_call(a);
}

/* Runs a call on a worker. */
static void
run_call(void *context)
{
    struct call *a = context;

    if (send_request(a)) {
        read_response(a);
    }
    clean_up(a);
}

/* Reads a long response on a worker, after its head was read by the thread
 * that started the call. */
static void
run_response_body(void *context)
{
    struct call *a = context;

    read_response(a);
    clean_up(a);
}

/* Runs a call that was started with is_inline in the calling thread, which
 * would only wait for it. A long response is handed to a worker, because the
 * caller must pass it on at the same time. */
void
bb_http_call_run_inline(struct bb_http_call *public)
{
    struct call *a = (struct call *)public;

    if (send_request(a)) {
        if (!is_response_short(a)) {
            a->work.run = run_response_body;
            if (bb_workers_hand_over(a->client->workers, &a->work)) {
                return;
            }
            report_finished(a, true, false);
            set_state(a, BB_HTTP_CALL_LOST);
        }
        else {
            read_response(a);
        }
    }
    clean_up(a);
}

/* Starts a call, on a worker unless is_inline is set. Progress is signalled to
 * the notifier. The headers are taken over and the body is referenced. Waits
 * for a free worker until end_us; returns NULL, with nothing sent, if there is
 * none. Must be released with bb_http_call_release. */
struct bb_http_call *
bb_http_call_start(struct bb_http_client *c,
                   const struct bb_http_call_params *request,
                   struct bb_notifier *watch, uint64_t end_us)
{
    struct call *a = g_new0(struct call, 1);
    bool is_accepted;

    a->client = c;
    a->watch = bb_notifier_ref(watch);
    a->request = *request;
    a->request.body = bb_body_ref(request->body);
    a->method = g_strdup(request->method);
    a->url = g_strdup(request->url);
    a->public.headers = bb_headers_create();
    a->kept = request->keep_max_bytes > 0 ? g_byte_array_new() : NULL;
    a->public.response_body = bb_body_create();
    atomic_init(&a->references, 2);
    a->work = (struct bb_work){
        .run = run_call,
        .context = a,
        .depth = request->depth,
    };
    is_accepted = request->is_inline
                      ? bb_workers_begin_inline(c->workers, &a->work, end_us)
                      : bb_workers_submit(c->workers, &a->work, end_us);
    if (!is_accepted) {
        atomic_store(&a->references, 1);
        unref_call(a);
        return NULL;
    }
    return &a->public;
}

/* Releases a call. If it still runs, its worker is detached and the response
 * is discarded. NULL is allowed. */
void
bb_http_call_release(struct bb_http_call *public)
{
    struct call *a = (struct call *)public;

    if (a == NULL) {
        return;
    }
    atomic_store(&a->is_released, true);
    bb_body_abandon(a->public.response_body);
    bb_workers_detach(a->client->workers, &a->work);
    unref_call(a);
}
