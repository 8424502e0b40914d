#include "proxy/http_client.h"

#include <arpa/inet.h>
#include <glib.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <stdatomic.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    IDLE_SESSIONS_MAX = 64, /* per peer */
    IDLE_MAX_US = 5 * BB_US_PER_S,
    CONNECT_TIMEOUT_S = 1,
    BLOCK_BYTES = 16 * 1024,
    /* An answer announced as no longer than this is read before its head is
     * reported: one wake-up instead of two, and one write to the caller. */
    SHORT_ANSWER_BYTES = 16 * 1024
};

BB_COUNTER(connections_total, "baobab_http_connections_total",
           "Connections opened to nodes and upstreams");
BB_COUNTER(discarded_total, "baobab_late_answers_total",
           "Answers discarded because nobody waited any more");

/* One neon session, used for a single connection: neon would silently send a
 * request again on a new connection when an idle one turns out closed, which
 * runs non-idempotent work twice. */
struct session {
    ne_session *neon;
    ne_inet_addr *address;
    const ne_inet_addr *addresses[1];
    char key[BB_ADDRESS_TEXT_BYTES];
    uint64_t idle_since_us;
    bool is_connected;
    bool is_closed;
};

struct bb_http_client {
    pthread_mutex_t lock;
    struct bb_workers *workers;
    GHashTable *idle_by_peer; /* text -> GQueue of session */
    ne_inet_addr *unusable_address;
};

struct attempt {
    struct bb_attempt public; /* first, so that both addresses are equal */
    struct bb_http_client *client;
    struct bb_watch *watch;
    struct bb_work work;
    struct bb_attempt_request request;
    char *method;
    char *url;
    uint64_t body_position;
    GByteArray *kept; /* a copy of the answer, while it is short enough */
    atomic_uint references;
    atomic_bool is_released;
};

/* Frees a session and closes its connection. */
static void
destroy_session(struct session *s)
{
    ne_session_destroy(s->neon);
    ne_iaddr_free(s->address);
    g_free(s);
}

/* Frees the idle sessions of one peer. */
static void
destroy_queue(void *data)
{
    GQueue *queue = data;
    struct session *s;

    while ((s = g_queue_pop_head(queue)) != NULL) {
        destroy_session(s);
    }
    g_queue_free(queue);
}

/* Notes that neon has connected. */
static void
on_status(void *data, ne_session_status status,
          const ne_session_status_info *info)
{
    struct session *s = data;

    (void)info;
    if (status == ne_status_connected) {
        s->is_connected = true;
    }
}

/* Notes that neon has closed the connection. */
static void
on_close(void *data)
{
    struct session *s = data;

    s->is_closed = true;
}

/* Converts an address to neon's form. */
static ne_inet_addr *
to_neon_address(const struct bb_address *a)
{
    unsigned char raw[sizeof(struct in6_addr)];

    if (inet_pton(AF_INET, a->ip, raw) == 1) {
        return ne_iaddr_make(ne_iaddr_ipv4, raw);
    }
    return inet_pton(AF_INET6, a->ip, raw) == 1
               ? ne_iaddr_make(ne_iaddr_ipv6, raw)
               : NULL;
}

/* Creates a session that connects on its first request. */
static struct session *
create_session(const struct bb_attempt_request *r)
{
    struct session *s = g_new0(struct session, 1);
    bool is_v6 = strchr(r->peer.ip, ':') != NULL;
    char host[INET6_ADDRSTRLEN + 2];

    s->address = to_neon_address(&r->peer);
    if (s->address == NULL) {
        g_free(s);
        return NULL;
    }
    (void)g_snprintf(host, sizeof(host), is_v6 ? "[%s]" : "%s", r->peer.ip);
    s->neon = ne_session_create("http", host, r->peer.port);
    s->addresses[0] = s->address;
    ne_set_addrlist(s->neon, s->addresses, 1);
    ne_set_connect_timeout(s->neon, CONNECT_TIMEOUT_S);
    ne_set_read_timeout(s->neon, (int)MAX(r->read_timeout_s, 1U));
    ne_set_notifier(s->neon, on_status, s);
    ne_hook_close_conn(s->neon, on_close, s);
    (void)bb_address_text(&r->peer, s->key);
    bb_counter_add(&connections_total, 1);
    return s;
}

/* Takes the session that was used last and closes those idle for long. */
static struct session *
take_session(struct bb_http_client *c, const struct bb_attempt_request *r)
{
    uint64_t now_us = bb_clock_now_us();
    char key[BB_ADDRESS_TEXT_BYTES];
    struct session *s = NULL;
    GQueue *queue;

    (void)pthread_mutex_lock(&c->lock);
    queue =
        g_hash_table_lookup(c->idle_by_peer, bb_address_text(&r->peer, key));
    if (queue != NULL) {
        while ((s = g_queue_peek_tail(queue)) != NULL &&
               now_us - s->idle_since_us > IDLE_MAX_US) {
            destroy_session(g_queue_pop_tail(queue));
        }
        s = r->use_new_connection ? NULL : g_queue_pop_head(queue);
    }
    (void)pthread_mutex_unlock(&c->lock);
    return s != NULL ? s : create_session(r);
}

/* Keeps a session for the next request, or closes it. */
static void
put_session(struct bb_http_client *c, struct session *s)
{
    GQueue *queue;

    if (!s->is_closed) {
        /* No local address means no second connection; see struct session. */
        ne_set_localaddr(s->neon, c->unusable_address);
        s->idle_since_us = bb_clock_now_us();
        (void)pthread_mutex_lock(&c->lock);
        queue = g_hash_table_lookup(c->idle_by_peer, s->key);
        if (queue == NULL) {
            queue = g_queue_new();
            g_hash_table_insert(c->idle_by_peer, g_strdup(s->key), queue);
        }
        if (g_queue_get_length(queue) < IDLE_SESSIONS_MAX) {
            g_queue_push_head(queue, s);
            s = NULL;
        }
        (void)pthread_mutex_unlock(&c->lock);
    }
    if (s != NULL) {
        destroy_session(s);
    }
}

/* Creates a client whose requests run on the given workers. */
struct bb_http_client *
bb_http_client_create(struct bb_workers *workers)
{
    /* TEST-NET-1 is assigned to no interface, so binding to it fails. */
    static const unsigned char unusable[] = {192, 0, 2, 1};
    struct bb_http_client *c = g_new0(struct bb_http_client, 1);

    (void)ne_sock_init();
    (void)pthread_mutex_init(&c->lock, NULL);
    c->workers = workers;
    c->idle_by_peer =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, destroy_queue);
    c->unusable_address = ne_iaddr_make(ne_iaddr_ipv4, unusable);
    return c;
}

/* Closes the idle sessions and frees the client; no request may run. NULL is
 * allowed. */
void
bb_http_client_destroy(struct bb_http_client *c)
{
    if (c == NULL) {
        return;
    }
    g_hash_table_destroy(c->idle_by_peer);
    ne_iaddr_free(c->unusable_address);
    (void)pthread_mutex_destroy(&c->lock);
    g_free(c);
    ne_sock_exit();
}

/* Closes the idle sessions of a peer, after one of them fell silent. */
void
bb_http_client_forget_peer(struct bb_http_client *c,
                           const struct bb_address *peer)
{
    char key[BB_ADDRESS_TEXT_BYTES];

    (void)pthread_mutex_lock(&c->lock);
    (void)g_hash_table_remove(c->idle_by_peer, bb_address_text(peer, key));
    (void)pthread_mutex_unlock(&c->lock);
}

/* Gives one of the two references back; the last one frees the attempt. */
static void
unref_attempt(struct attempt *a)
{
    if (atomic_fetch_sub(&a->references, 1) != 1) {
        return;
    }
    bb_body_unref(a->request.body);
    bb_body_unref(a->public.answer);
    bb_headers_destroy(a->public.headers);
    bb_headers_destroy(a->request.headers);
    bb_watch_unref(a->watch);
    if (a->kept != NULL) {
        (void)g_byte_array_free(a->kept, TRUE);
    }
    g_free(a->method);
    g_free(a->url);
    g_free(a);
}

/* Moves the attempt to a state and wakes the waiting side. */
static void
set_state(struct attempt *a, enum bb_attempt_state state)
{
    bb_watch_lock(a->watch);
    a->public.state = state;
    bb_watch_unlock(a->watch);
    /* After the unlock, or the woken thread would wait for the lock. */
    bb_watch_signal(a->watch);
}

/* Provides neon with the next part of the request's body. */
static ssize_t
provide_body(void *data, char *buffer, size_t size_bytes)
{
    struct attempt *a = data;
    ssize_t count;

    if (size_bytes == 0) {
        a->body_position = 0;
        if (atomic_load(&a->is_released) && !a->request.is_replayable) {
            return -1;
        }
        bb_watch_lock(a->watch);
        a->public.has_taken_body = true;
        bb_watch_unlock(a->watch);
        set_state(a, BB_ATTEMPT_SENDING);
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
    return count >= 0 ? count : -1;
}

/* Builds neon's request. */
static ne_request *
build_request(struct attempt *a, struct session *s)
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

/* Copies status and fields of the answer. */
static void
read_head(struct attempt *a, ne_request *request)
{
    const char *length = ne_get_response_header(request, "Content-Length");
    const char *coding = ne_get_response_header(request, "Transfer-Encoding");
    const char *name;
    const char *value;
    void *cursor = NULL;
    uint64_t number;

    a->public.status = (uint32_t)ne_get_status(request)->code;
    a->public.answer_length_bytes = BB_LENGTH_CHUNKED;
    while ((cursor = ne_response_header_iterate(request, cursor, &name,
                                                &value)) != NULL) {
        bb_headers_add(a->public.headers, name, value);
    }
    if (coding == NULL && length != NULL &&
        g_ascii_string_to_unsigned(length, 10, 0, INT64_MAX, &number, NULL)) {
        a->public.answer_length_bytes = (int64_t)number;
    }
}

/* Adds to the copy of the answer, or drops it once it is too long. */
static void
keep(struct attempt *a, const char *block, size_t size_bytes)
{
    if (a->kept == NULL) {
        return;
    }
    if (a->kept->len + size_bytes > a->request.keep_bytes) {
        (void)g_byte_array_free(a->kept, TRUE);
        a->kept = NULL;
        return;
    }
    g_byte_array_append(a->kept, (const guint8 *)block, (guint)size_bytes);
}

/* Moves the answer's body into its ring; true if it came whole. */
static bool
read_answer(struct attempt *a, ne_request *request)
{
    char block[BLOCK_BYTES];
    bool is_read = true;

    for (;;) {
        ssize_t count = ne_read_response_block(request, block, sizeof(block));

        if (count <= 0) {
            return count == 0;
        }
        keep(a, block, (size_t)count);
        if (is_read &&
            bb_body_write(a->public.answer, block, (size_t)count,
                          a->request.idle_timeout_ms) != BB_BODY_WRITTEN) {
            is_read = false;
            if (!a->request.must_finish) {
                return false;
            }
        }
    }
}

/* Ends the answer's body, complete or cut. */
static void
end_answer(struct attempt *a, bool is_whole)
{
    if (is_whole) {
        bb_body_finish(a->public.answer);
    }
    else {
        bb_body_break(a->public.answer);
    }
}

/* Tells the request's owner that the peer is done with it. */
static void
report_finished(struct attempt *a, bool is_sent, bool is_whole)
{
    if (a->request.finished != NULL) {
        a->request.finished(a->request.finished_context, &a->public, is_sent,
                            is_whole, is_whole ? a->kept : NULL);
    }
}

/* Sends the request and reads the answer on one session. Returns whether the
 * session can be used again. */
static bool
exchange(struct attempt *a, struct session *s)
{
    ne_request *request = build_request(a, s);
    bool is_short;
    bool is_whole = false;

    if (ne_begin_request(request) != NE_OK) {
        report_finished(a, s->is_connected, false);
        set_state(a, s->is_connected ? BB_ATTEMPT_LOST : BB_ATTEMPT_NOT_SENT);
        goto out;
    }
    read_head(a, request);
    is_short = a->public.answer_length_bytes >= 0 &&
               a->public.answer_length_bytes <= SHORT_ANSWER_BYTES;
    if (!is_short) {
        set_state(a, BB_ATTEMPT_HEAD);
    }
    is_whole = read_answer(a, request) && ne_end_request(request) == NE_OK;
    if (!is_short) {
        report_finished(a, true, is_whole);
    }
    end_answer(a, is_whole);
    if (is_short) {
        report_finished(a, true, is_whole);
        set_state(a, is_whole ? BB_ATTEMPT_HEAD : BB_ATTEMPT_LOST);
    }
out:
    ne_request_destroy(request);
    return is_whole;
}

/* Runs an attempt on a worker. */
static void
run_attempt(void *context)
{
    struct attempt *a = context;
    struct bb_http_client *c = a->client;
    struct session *s = take_session(c, &a->request);

    bool is_reusable = false;

    if (s == NULL) {
        report_finished(a, false, false);
        set_state(a, BB_ATTEMPT_NOT_SENT);
    }
    else {
        is_reusable = exchange(a, s);
        if (is_reusable) {
            put_session(c, s);
        }
        else {
            destroy_session(s);
        }
    }
    if (!is_reusable && atomic_load(&a->is_released)) {
        bb_counter_add(&discarded_total, 1);
    }
    /* Nobody takes the rest of the request's body. */
    if (a->request.body != NULL && a->public.has_taken_body &&
        !a->request.is_replayable) {
        bb_body_abandon(a->request.body);
    }
    bb_workers_done(c->workers, &a->work);
    unref_attempt(a);
}

/* Starts a request on a worker; its progress is signalled to the watch. The
 * fields are taken over and the body referenced. Returns NULL, with nothing
 * sent, if no worker is free until end_us. */
struct bb_attempt *
bb_attempt_start(struct bb_http_client *c,
                 const struct bb_attempt_request *request,
                 struct bb_watch *watch, uint64_t end_us)
{
    struct attempt *a = g_new0(struct attempt, 1);

    a->client = c;
    a->watch = bb_watch_ref(watch);
    a->request = *request;
    a->request.body = bb_body_ref(request->body);
    a->method = g_strdup(request->method);
    a->url = g_strdup(request->url);
    a->public.headers = bb_headers_create();
    a->kept = request->keep_bytes > 0 ? g_byte_array_new() : NULL;
    a->public.answer = bb_body_create();
    atomic_init(&a->references, 2);
    a->work = (struct bb_work){
        .run = run_attempt,
        .context = a,
        .depth = request->depth,
    };
    if (!bb_workers_submit(c->workers, &a->work, end_us)) {
        atomic_store(&a->references, 1);
        unref_attempt(a);
        return NULL;
    }
    return &a->public;
}

/* Leaves an attempt: if it still runs, its worker is detached and what comes
 * is discarded. NULL is allowed. */
void
bb_attempt_release(struct bb_attempt *public)
{
    struct attempt *a = (struct attempt *)public;

    if (a == NULL) {
        return;
    }
    atomic_store(&a->is_released, true);
    bb_body_abandon(a->public.answer);
    bb_workers_detach(a->client->workers, &a->work);
    unref_attempt(a);
}
