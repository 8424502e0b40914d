/* HTTP/1.1 server with pipelining. */
#include "net/http_server.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/event_log.h"
#include "common/log.h"
#include "net/buffers.h"

enum {
    DEFAULT_HEAD_BYTES = 32 * 1024,
    DEFAULT_HEAD_TIMEOUT_MS = 10000,
    DEFAULT_IDLE_TIMEOUT_MS = 60000,
    /* Counted for a request and what its handler keeps of it. */
    EXCHANGE_BYTES = 8 * 1024,
    /* In place of BB_STREAM_HIGH_WATER_BYTES while the buffers are full. */
    FULL_HIGH_WATER_BYTES = 16 * 1024
};

#define DEFAULT_BODY_BYTES (64ULL * 1024 * 1024)

BB_COUNTER(malformed_total, "baobab_server_malformed_total",
           "Requests refused because they could not be read");
BB_COUNTER(oversized_total, "baobab_server_oversized_total",
           "Requests refused because their head or body is too large");
BB_COUNTER(slow_request_total, "baobab_server_slow_head_total",
           "Requests refused because they did not arrive in time");

BB_COUNTER(peer_left_total, "baobab_server_peer_left_total",
           "Requests dropped because their peer left before they were read");

/* What the timer of a connection waits for. */
enum timer_kind {
    TIMER_NONE,  /* stopped: a request is in progress */
    TIMER_IDLE,  /* bytes of the peer */
    TIMER_HEAD,  /* the end of a head */
    TIMER_WRITE, /* the peer to take bytes that are queued here */
    TIMER_LINGER /* the peer to close */
};

struct bb_http_server {
    uv_loop_t *loop;
    struct bb_listener *listener;
    const struct bb_http_server_handler *handler;
    void *context;
    const char *name;             /* in the log */
    const char *request_id_field; /* NULL: requests have no id in the log */
    const char *rejection_fields; /* of responses without the handler */
    struct bb_http_server_limits limits;
    struct bb_http_server_connection *connections;
    bool is_keep_alive_disabled;
};

struct bb_http_server_connection {
    struct bb_http_server *server;
    struct bb_stream *stream;
    struct bb_http_server_connection *next;
    struct bb_http_server_connection *previous;
    struct bb_http_reader reader;
    struct bb_http_exchange
        *receiving;     /* its request is incomplete, or NULL */
    GQueue exchanges;   /* in the order of their requests */
    GString *unparsed;  /* received while parsing is paused */
    size_t input_bytes; /* left of those being parsed */
    /* The last exchange that ended, while bytes of its response are queued for
     * the socket, else NULL; named in the log if they are dropped. */
    struct bb_http_exchange *unsent;
    uint64_t output_bytes; /* written so far */
    uv_timer_t timer;
    enum timer_kind timer_kind;
    size_t unacked_bytes;      /* at the last timeout; 0: none since the
                                  timer was started */
    uint64_t unacked_since_us; /* since when unacked_bytes is the same */
    bool has_timed_out;        /* closes after one more turn of the loop */
    bool is_last_request_read; /* nothing behind it is parsed */
    bool is_closing;           /* no further response is written */
    bool is_parsing_paused;    /* until an exchange ends */
    bool is_parsing;           /* inside parse_input */
    bool is_closed;
};

static void resume_parsing(struct bb_http_server_connection *c);
static void update_timer(struct bb_http_server_connection *c);
static void reject_request(struct bb_http_server_connection *c,
                           uint32_t status, const char *reason);

/* Frees what is queued of the body of a response. */
static void
free_output(struct bb_http_exchange *x)
{
    if (x->pending_output != NULL) {
        bb_buffers_remove(x->pending_output->len);
        g_string_free(x->pending_output, TRUE);
        x->pending_output = NULL;
    }
}

/* Counts the bytes that are held of the body of a request. */
static void
count_body(struct bb_http_exchange *x)
{
    bb_buffers_remove(x->counted_body_bytes);
    x->counted_body_bytes = x->body->len;
    bb_buffers_add(x->counted_body_bytes);
}

/* Creates an exchange, the last one of its connection. */
static struct bb_http_exchange *
create_exchange(struct bb_http_server_connection *c)
{
    struct bb_http_exchange *x = g_new0(struct bb_http_exchange, 1);

    bb_buffers_add(EXCHANGE_BYTES);
    x->connection = c;
    x->body = g_string_new(NULL);
    g_queue_push_tail(&c->exchanges, x);
    return x;
}

/* Frees an exchange. */
static void
free_exchange(struct bb_http_exchange *x)
{
    bb_buffers_remove(EXCHANGE_BYTES + x->counted_body_bytes);
    if (x->head.text != NULL) {
        g_string_free(x->head.text, TRUE);
    }
    g_string_free(x->body, TRUE);
    if (x->pending_head != NULL) {
        g_string_free(x->pending_head, TRUE);
    }
    free_output(x);
    g_free(x);
}

static void
free_connection(uv_handle_t *h)
{
    struct bb_http_server_connection *c = h->data;

    bb_http_reader_clear(&c->reader);
    g_string_free(c->unparsed, TRUE);
    g_free(c);
}

/* Returns the name of a reason in the log. */
static const char *
close_reason_name(enum bb_http_server_close_reason r)
{
    static const char *const names[] = {
        [BB_HTTP_SERVER_PEER_CLOSED] = "peer_closed",
        [BB_HTTP_SERVER_IDLE_TIMEOUT] = "idle_timeout",
        [BB_HTTP_SERVER_WRITE_TIMEOUT] = "write_timeout",
        [BB_HTTP_SERVER_LINGER_TIMEOUT] = "linger_timeout",
        [BB_HTTP_SERVER_CLOSING_RESPONSE] = "closing_response",
        [BB_HTTP_SERVER_ABORTED_RESPONSE] = "aborted_response",
        [BB_HTTP_SERVER_UNREADABLE_BODY] = "unreadable_body",
        [BB_HTTP_SERVER_STOPPED] = "server_stopped"};

    return names[r];
}

/* Returns how far an exchange has come, for the log. */
static const char *
exchange_state_name(const struct bb_http_exchange *x)
{
    if (x->is_response_ended) {
        return "answered";
    }
    if (x->is_dispatched) {
        return "running";
    }
    return x->is_body_complete ? "waiting" : "receiving";
}

/* Logs a request whose connection this server closes before its response was
 * written. */
static void
log_dropped_request(const struct bb_http_exchange *x,
                    enum bb_http_server_close_reason reason)
{
    const struct bb_http_server *s = x->connection->server;
    const char *id = s->request_id_field != NULL && x->head.text != NULL
                         ? bb_http_head_get(&x->head, s->request_id_field)
                         : NULL;
    GString *line = g_string_new(NULL);

    bb_event_log_format_line(
        line, "server.request_dropped", id,
        "\"server\":\"%s\",\"reason\":\"%s\",\"state\":\"%s\","
        "\"age_us\":%" G_GUINT64_FORMAT,
        s->name, close_reason_name(reason), exchange_state_name(x),
        bb_clock_now_us() - x->received_us);
    bb_event_log_write(BB_EVENT_FAILURE, line->str, line->len);
    g_string_free(line, TRUE);
}

/* Frees the exchange whose response was being sent. */
static void
forget_unsent(struct bb_http_server_connection *c)
{
    if (c->unsent != NULL) {
        free_exchange(c->unsent);
        c->unsent = NULL;
    }
}

/* Frees an exchange that has ended, but keeps it while bytes of its response
 * are queued. */
static void
free_ended_exchange(struct bb_http_exchange *x)
{
    struct bb_http_server_connection *c = x->connection;

    if (bb_stream_queued_bytes(c->stream) == 0) {
        free_exchange(x);
        return;
    }
    forget_unsent(c);
    c->unsent = x;
}

/* Frees all exchanges of a connection. The handler is told of those whose
 * response it has not completed. */
static void
discard_exchanges(struct bb_http_server_connection *c,
                  enum bb_http_server_close_reason reason)
{
    struct bb_http_exchange *x;

    while ((x = g_queue_pop_head(&c->exchanges)) != NULL) {
        if (reason != BB_HTTP_SERVER_PEER_CLOSED && !x->is_aborted) {
            log_dropped_request(x, reason);
        }
        if (x->is_dispatched && !x->is_response_ended &&
            c->server->handler->disconnected != NULL) {
            c->server->handler->disconnected(c->server->context, x, reason);
        }
        free_exchange(x);
    }
    c->receiving = NULL;
}

/* Closes and frees a connection; its stream is closed by `close_stream`. */
static void
close_connection(struct bb_http_server_connection *c,
                 void (*close_stream)(struct bb_stream *),
                 enum bb_http_server_close_reason reason)
{
    if (c->is_closed) {
        return;
    }
    c->is_closed = true;
    close_stream(c->stream);
    if (c->unsent != NULL && reason != BB_HTTP_SERVER_PEER_CLOSED) {
        log_dropped_request(c->unsent, reason);
    }
    forget_unsent(c);
    discard_exchanges(c, reason);
    if (c->previous != NULL) {
        c->previous->next = c->next;
    }
    else {
        c->server->connections = c->next;
    }
    if (c->next != NULL) {
        c->next->previous = c->previous;
    }
    uv_close((uv_handle_t *)&c->timer, free_connection);
}

/* Returns the timeout of a kind of timer. */
static uint32_t
timeout_ms(const struct bb_http_server_connection *c, enum timer_kind kind)
{
    switch (kind) {
    case TIMER_IDLE:
        return c->server->limits.idle_timeout_ms;
    case TIMER_HEAD:
        return c->server->limits.head_timeout_ms;
    case TIMER_WRITE: /* then looks whether the peer has taken some */
    case TIMER_LINGER:
        return BB_HTTP_SERVER_LINGER_MS;
    case TIMER_NONE:
        break;
    }
    return 0;
}

/* Returns whether the peer has yet to take bytes of a response, and has taken
 * some within BB_HTTP_SERVER_WRITE_TIMEOUT_MS. */
static bool
is_sending(struct bb_http_server_connection *c)
{
    size_t unacked_bytes = bb_stream_unacked_bytes(c->stream);
    uint64_t now_us = bb_clock_now_us();

    if (unacked_bytes != c->unacked_bytes) {
        c->unacked_bytes = unacked_bytes;
        c->unacked_since_us = now_us;
    }
    return unacked_bytes > 0 &&
           now_us - c->unacked_since_us <
               (uint64_t)BB_HTTP_SERVER_WRITE_TIMEOUT_MS * BB_US_PER_MS;
}

/* Closes a connection whose timeout has passed, with a response if a request
 * has begun to arrive; not while the peer takes bytes of a response. */
static void
on_timeout(uv_timer_t *t)
{
    struct bb_http_server_connection *c = t->data;
    enum timer_kind kind = c->timer_kind;
    bool awaits_request =
        kind == TIMER_HEAD || (kind == TIMER_IDLE && c->receiving != NULL);

    if (!c->has_timed_out) {
        /* A loop that is late has not read yet what arrived in time. */
        c->has_timed_out = true;
        (void)uv_timer_start(t, on_timeout, 1, 0);
        return;
    }
    if (!awaits_request && is_sending(c)) {
        c->has_timed_out = false;
        (void)uv_timer_start(t, on_timeout, timeout_ms(c, kind), 0);
        return;
    }
    c->timer_kind = TIMER_NONE;
    if (awaits_request) {
        bb_counter_add(&slow_request_total, 1);
        reject_request(c, 408, "the request did not arrive in time\n");
        return;
    }
    close_connection(c, bb_stream_close,
                     kind == TIMER_WRITE    ? BB_HTTP_SERVER_WRITE_TIMEOUT
                     : kind == TIMER_LINGER ? BB_HTTP_SERVER_LINGER_TIMEOUT
                                            : BB_HTTP_SERVER_IDLE_TIMEOUT);
}

/* Returns what a connection waits for. No timer runs while an earlier request
 * than the one being received is in progress. */
static enum timer_kind
choose_timer(const struct bb_http_server_connection *c)
{
    const struct bb_http_exchange *first =
        g_queue_peek_head((GQueue *)&c->exchanges);

    if (first != NULL && (first != c->receiving || first->is_dispatched)) {
        return TIMER_NONE;
    }
    if (bb_stream_queued_bytes(c->stream) > 0) {
        return TIMER_WRITE;
    }
    if (c->is_closing) {
        return TIMER_LINGER;
    }
    if (first == NULL && c->reader.state == BB_HTTP_READER_HEAD &&
        c->reader.has_started) {
        return TIMER_HEAD;
    }
    return TIMER_IDLE;
}

/* Starts or stops the timer as the state of the connection requires. Only the
 * idle timeout starts anew while the state is the same. */
static void
update_timer(struct bb_http_server_connection *c)
{
    enum timer_kind kind = choose_timer(c);

    if (kind == c->timer_kind && kind != TIMER_IDLE) {
        return;
    }
    c->has_timed_out = false;
    c->unacked_bytes = 0;
    if (kind == TIMER_NONE) {
        (void)uv_timer_stop(&c->timer);
    }
    else {
        (void)uv_timer_start(&c->timer, on_timeout, timeout_ms(c, kind), 0);
    }
    c->timer_kind = kind;
}

/* Decides whether the first exchange closes its connection, and completes the
 * head of its response accordingly. This is decided only when the head is
 * written, as requests that arrive while the response waits for earlier ones
 * are passed to the handler. Once the close is announced none is. */
static void
complete_head(struct bb_http_exchange *x)
{
    struct bb_http_server_connection *c = x->connection;

    if (!x->is_body_complete ||
        (c->server->is_keep_alive_disabled &&
         g_queue_get_length(&c->exchanges) == 1 && c->unparsed->len == 0 &&
         c->input_bytes == 0)) {
        x->closes_connection = true;
    }
    if (x->closes_connection) {
        c->is_last_request_read = true;
        g_string_append(x->pending_head, "Connection: close\r\n");
    }
    g_string_append(x->pending_head, "\r\n");
}

/* Writes bytes to a connection. */
static void
write_bytes(struct bb_http_server_connection *c, const char *data,
            size_t size_bytes)
{
    c->output_bytes += size_bytes;
    bb_stream_write(c->stream, data, size_bytes);
}

/* Tells the peer to send the body of the first exchange if it waits for
 * that. */
static void
write_continue(struct bb_http_exchange *x)
{
    static const char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

    if (x->awaits_continue && !x->is_response_started && x->body_bytes == 0 &&
        !x->is_body_complete) {
        write_bytes(x->connection, continue_response,
                    sizeof(continue_response) - 1);
    }
    x->awaits_continue = false;
}

/* Writes what is queued of the response of the first exchange. */
static void
write_output(struct bb_http_exchange *x)
{
    struct bb_http_server_connection *c = x->connection;
    const GString *body = x->pending_output;

    if (x->pending_head != NULL) {
        complete_head(x);
        if (body != NULL) {
            g_string_append_len(x->pending_head, body->str, (gssize)body->len);
        }
        x->output_offset = c->output_bytes;
        write_bytes(c, x->pending_head->str, x->pending_head->len);
        g_string_free(x->pending_head, TRUE);
        x->pending_head = NULL;
    }
    else if (body != NULL && body->len > 0) {
        write_bytes(c, body->str, body->len);
    }
    free_output(x);
}

/* Drops what is queued of a response of which nothing was written. */
static void
drop_output(struct bb_http_exchange *x)
{
    if (x->pending_head != NULL) {
        g_string_free(x->pending_head, TRUE);
        x->pending_head = NULL;
    }
    free_output(x);
}

/* Tells the handler that nothing is queued for the socket, if the first
 * exchange was dispatched and its response is incomplete. */
static void
report_output_drained(struct bb_http_server_connection *c)
{
    struct bb_http_exchange *x = g_queue_peek_head(&c->exchanges);

    if (x != NULL && x->is_dispatched && !x->is_response_ended &&
        bb_stream_queued_bytes(c->stream) == 0 &&
        c->server->handler->output_drained != NULL) {
        c->server->handler->output_drained(c->server->context, x);
    }
}

/* Stops reading while parsing is paused or the handler has paused the body
 * being received, so that the peer has to wait; else continues. */
static void
update_reading(struct bb_http_server_connection *c)
{
    const struct bb_http_exchange *x = c->receiving;

    if (!c->is_closing &&
        (c->is_parsing_paused ||
         (x != NULL && x->is_paused && !x->is_response_ended))) {
        bb_stream_pause(c->stream);
    }
    else {
        bb_stream_resume(c->stream);
    }
}

/* Ends a connection after its last response. Received bytes are read and
 * dropped until the peer closes too, for at most BB_HTTP_SERVER_LINGER_MS
 * after the last byte was written: unread ones would turn the close into a
 * reset, which can overtake the response (RFC 9112, 9.6). */
static void
finish_connection(struct bb_http_exchange *x,
                  enum bb_http_server_close_reason reason)
{
    struct bb_http_server_connection *c = x->connection;

    c->is_closing = true;
    if (c->receiving == x) {
        c->receiving = NULL;
    }
    free_ended_exchange(x);
    discard_exchanges(c, reason);
    bb_stream_end_output(c->stream);
    update_reading(c);
    update_timer(c);
}

/* Ends a connection whose first response has broken off: by a reset, which
 * also reaches a peer that does not read, unless responses were written before
 * it. These the peer may not have read yet, and a reset can drop them there,
 * even acknowledged ones. */
static void
abort_connection(struct bb_http_exchange *x)
{
    struct bb_http_server_connection *c = x->connection;

    if (x->output_offset > 0) {
        (void)g_queue_pop_head(&c->exchanges);
        finish_connection(x, BB_HTTP_SERVER_ABORTED_RESPONSE);
        return;
    }
    close_connection(c, bb_stream_reset, BB_HTTP_SERVER_ABORTED_RESPONSE);
}

/* Writes the queued output of the first exchanges, in order, up to the first
 * one that has not ended. Closes the connection or resumes parsing as
 * needed. */
static void
flush_responses(struct bb_http_server_connection *c)
{
    struct bb_http_exchange *x;

    while (!c->is_closed && !c->is_closing &&
           (x = g_queue_peek_head(&c->exchanges)) != NULL) {
        write_continue(x);
        write_output(x);
        if (!x->is_response_ended) {
            report_output_drained(c); /* the stream reports what it queued */
            break;
        }
        if (x->is_aborted) {
            abort_connection(x);
            return;
        }
        (void)g_queue_pop_head(&c->exchanges);
        if (x->closes_connection) {
            finish_connection(x, BB_HTTP_SERVER_CLOSING_RESPONSE);
            return;
        }
        free_ended_exchange(x);
    }
    if (!c->is_closed) {
        resume_parsing(c);
    }
}

/* Responds to a request without calling the handler, and closes the connection
 * after the response. */
static void
reject_request(struct bb_http_server_connection *c, uint32_t status,
               const char *reason)
{
    struct bb_http_exchange *x = c->receiving;
    GString *fields;

    if (x == NULL) {
        x = create_exchange(c);
    }
    bb_log_info("server.refused", "status %u: %s", status, reason);
    x->closes_connection = true;
    x->is_body_complete = false;
    x->is_dispatched = true;
    c->receiving = NULL;
    c->is_last_request_read = true;
    fields = g_string_new(c->server->rejection_fields);
    bb_http_exchange_respond(x, status, fields, reason, strlen(reason));
    g_string_free(fields, TRUE);
}

/* Passes a request to the handler, unless its peer has left: a loop that is
 * late reads both at once. Handlers that are not told of a disconnect respond
 * at once, also to a peer that has only ended its output. */
static void
dispatch_request(struct bb_http_exchange *x)
{
    struct bb_http_server *s = x->connection->server;

    if (s->handler->disconnected != NULL &&
        bb_stream_has_ended(x->connection->stream)) {
        bb_counter_add(&peer_left_total, 1);
        close_connection(x->connection, bb_stream_close,
                         BB_HTTP_SERVER_PEER_CLOSED);
        return;
    }
    x->is_dispatched = true;
    s->handler->request(s->context, x);
}

/* Creates the exchange of a request whose head is complete. Returns false if
 * its declared length exceeds the limit. */
static bool
on_head(void *context)
{
    struct bb_http_server_connection *c = context;
    struct bb_http_head *h = &c->reader.head;
    struct bb_http_exchange *x = create_exchange(c);

    /* The next head has a time limit of its own. */
    (void)uv_timer_stop(&c->timer);
    c->timer_kind = TIMER_NONE;
    x->received_us = bb_clock_now_us();
    x->body_max_bytes = c->server->limits.request_body_max_bytes;
    x->head = *h;
    x->closes_connection = !h->is_keep_alive;
    c->is_last_request_read = !h->is_keep_alive;
    h->text = g_string_sized_new(512);
    c->receiving = x;
    if (x->head.has_content_length &&
        x->head.content_length > x->body_max_bytes) {
        return false;
    }
    x->awaits_continue = bb_http_head_get(&x->head, "Expect") != NULL;
    if (g_queue_get_length(&c->exchanges) == 1) {
        write_continue(x);
    }
    return true;
}

/* Appends data to the body of the request that is being received. */
static void
on_body(void *context, const char *data, size_t size_bytes)
{
    struct bb_http_server_connection *c = context;
    struct bb_http_exchange *x = c->receiving;

    if (x == NULL || x->is_response_ended) {
        return; /* the response has ended; the rest is dropped */
    }
    x->body_bytes += size_bytes;
    if (x->body_bytes > x->body_max_bytes) {
        return; /* advance_request rejects it */
    }
    g_string_append_len(x->body, data, (gssize)size_bytes);
    count_body(x);
}

static const struct bb_http_reader_events reader_events = {.head = on_head,
                                                           .body = on_body};

/* Rejects the request being received because of its body. The handler is told
 * if it has the request. A response that was written in part is broken off;
 * one that is complete stands. */
static void
reject_body(struct bb_http_server_connection *c, uint32_t status,
            const char *reason)
{
    struct bb_http_exchange *x = c->receiving;

    if (x->is_response_ended) {
        return;
    }
    if (x->is_dispatched && c->server->handler->disconnected != NULL) {
        c->server->handler->disconnected(c->server->context, x,
                                         BB_HTTP_SERVER_UNREADABLE_BODY);
    }
    if (x->is_response_started && x->pending_head == NULL) {
        bb_http_exchange_abort(x);
        return;
    }
    drop_output(x);
    reject_request(c, status, reason);
}

/* Rejects a request that the reader refused. */
static void
reject_unreadable(struct bb_http_server_connection *c)
{
    const struct bb_http_exchange *x = c->receiving;
    bool is_long_body = x != NULL && x->head.has_content_length &&
                        x->head.content_length > x->body_max_bytes;
    bool is_oversized = c->reader.is_oversized || is_long_body;
    uint32_t status = c->reader.is_oversized ? 431 : is_long_body ? 413 : 400;
    const char *reason = is_oversized ? "the request is too large\n"
                                      : "the request cannot be read\n";

    bb_counter_add(is_oversized ? &oversized_total : &malformed_total, 1);
    if (x != NULL) {
        reject_body(c, status, reason);
    }
    else {
        reject_request(c, status, reason);
    }
}

/* Returns whether an earlier request of the connection expects a long response
 * that is not complete. */
static bool
is_behind_long_response(const struct bb_http_exchange *x)
{
    for (const GList *l = x->connection->exchanges.head; l->data != x;
         l = l->next) {
        const struct bb_http_exchange *earlier = l->data;

        if (earlier->expects_long_response && !earlier->is_response_ended) {
            return true;
        }
    }
    return false;
}

/* Returns whether a request may be passed to the handler before the responses
 * to earlier ones of its connection are complete. */
static bool
may_overlap(const struct bb_http_exchange *x)
{
    const struct bb_http_server *s = x->connection->server;
    const struct bb_http_exchange *first =
        g_queue_peek_head(&x->connection->exchanges);
    bool is_response_open = first->is_response_started &&
                            first->pending_head == NULL &&
                            !first->is_response_ended;

    return s->handler->may_overlap != NULL && !is_response_open &&
           !bb_buffers_are_full() && !is_behind_long_response(x) &&
           s->handler->may_overlap(s->context, &x->head);
}

/* Passes the request being received to the handler once its body is complete
 * or BB_HTTP_SERVER_BODY_BUFFER_BYTES of it are buffered, or reports more of
 * its body. Pauses parsing if the request has to wait for earlier responses.
 */
static void
advance_request(struct bb_http_server_connection *c)
{
    struct bb_http_exchange *x = c->receiving;
    struct bb_http_server *s = c->server;
    bool is_done = c->reader.state == BB_HTTP_READER_DONE;

    if (x == NULL) {
        /* The response ended before the body was complete; the connection
         * closes. */
        return;
    }
    if (x->is_response_ended) {
        /* It waits for earlier ones; the body is dropped. */
        if (is_done) {
            x->is_body_complete = true;
            c->receiving = NULL;
        }
        return;
    }
    if (x->body_bytes > x->body_max_bytes) {
        bb_counter_add(&oversized_total, 1);
        reject_body(c, 413, "the body is too large\n");
        return;
    }
    if (is_done) {
        x->is_body_complete = true;
        c->receiving = NULL;
    }
    if (x->is_dispatched) {
        if (s->handler->body_received != NULL) {
            s->handler->body_received(s->context, x);
        }
        return;
    }
    if (!is_done && x->body->len < BB_HTTP_SERVER_BODY_BUFFER_BYTES) {
        return;
    }
    if (g_queue_peek_head(&c->exchanges) != x && !may_overlap(x)) {
        c->is_parsing_paused = true;
        return;
    }
    dispatch_request(x);
}

/* Parses received bytes until they end, or until an earlier exchange must
 * finish first; the rest is then kept in `unparsed`. */
static void
parse_input(struct bb_http_server_connection *c, const char *data,
            size_t size_bytes)
{
    size_t used = 0;

    c->is_parsing = true;
    while (used < size_bytes && !c->is_closing && !c->is_closed &&
           !c->is_parsing_paused) {
        if (c->is_last_request_read && c->receiving == NULL) {
            break;
        }
        if (c->reader.state == BB_HTTP_READER_DONE) {
            if (g_queue_get_length(&c->exchanges) >=
                BB_HTTP_SERVER_PIPELINE_MAX) {
                c->is_parsing_paused = true;
                break;
            }
            bb_http_reader_start_next(&c->reader);
        }
        if (!c->reader.has_started) {
            c->reader.head_limit_bytes =
                c->server->limits.request_head_max_bytes;
        }
        used +=
            bb_http_reader_feed(&c->reader, data + used, size_bytes - used);
        c->input_bytes = size_bytes - used;
        if (c->reader.state == BB_HTTP_READER_FAILED) {
            reject_unreadable(c);
            break;
        }
        if (c->reader.state == BB_HTTP_READER_HEAD) {
            break; /* needs more bytes */
        }
        advance_request(c);
    }
    if (!c->is_closed) {
        c->is_parsing = false;
        c->input_bytes = 0;
        if (used < size_bytes && c->is_parsing_paused) {
            g_string_append_len(c->unparsed, data + used,
                                (gssize)(size_bytes - used));
        }
        update_reading(c);
        update_timer(c);
    }
}

/* Dispatches a request that waited for earlier responses, and continues to
 * parse what was received since. */
static void
resume_parsing(struct bb_http_server_connection *c)
{
    struct bb_http_exchange *x = g_queue_peek_tail(&c->exchanges);
    GString *unparsed;

    if (!c->is_parsing_paused || c->is_parsing) {
        if (!c->is_parsing) {
            update_timer(c);
        }
        return;
    }
    if (x != NULL && !x->is_dispatched) {
        if (g_queue_peek_head(&c->exchanges) != x) {
            return;
        }
        c->is_parsing_paused = false;
        update_reading(c);
        dispatch_request(x);
        if (c->is_closed) {
            return;
        }
    }
    c->is_parsing_paused = false;
    unparsed = c->unparsed;
    c->unparsed = g_string_new(NULL);
    parse_input(c, unparsed->str, unparsed->len);
    g_string_free(unparsed, TRUE);
}

/* Parses received data, or keeps it while parsing is paused. Drops it if the
 * connection is closing or its parser has failed. */
static void
on_data(void *context, const char *data, size_t size_bytes)
{
    struct bb_http_server_connection *c = context;

    if (c->is_closing || c->reader.state == BB_HTTP_READER_FAILED) {
        return;
    }
    if (c->is_parsing_paused) {
        g_string_append_len(c->unparsed, data, (gssize)size_bytes);
        return;
    }
    parse_input(c, data, size_bytes);
}

/* Closes a connection that the peer closed or that failed. */
static void
on_ended(void *context, int status)
{
    (void)status;
    close_connection(context, bb_stream_close, BB_HTTP_SERVER_PEER_CLOSED);
}

/* Notes that all queued bytes were written. */
static void
on_output_drained(void *context)
{
    struct bb_http_server_connection *c = context;

    forget_unsent(c);
    update_timer(c);
    report_output_drained(c);
}

static const struct bb_stream_events stream_events = {
    .data = on_data, .ended = on_ended, .output_drained = on_output_drained};

/* Sets up the reader and the timer of a new connection. */
static void
accept_connection(void *context, struct bb_stream *stream)
{
    struct bb_http_server *s = context;
    struct bb_http_server_connection *c =
        g_new0(struct bb_http_server_connection, 1);

    c->server = s;
    c->stream = stream;
    c->unparsed = g_string_new(NULL);
    bb_http_reader_init(&c->reader, HTTP_REQUEST, &reader_events, c);
    (void)uv_timer_init(s->loop, &c->timer);
    c->timer.data = c;
    c->next = s->connections;
    if (c->next != NULL) {
        c->next->previous = c;
    }
    s->connections = c;
    bb_stream_set_events(stream, &stream_events, c);
    /* A caller that does not read for a while is not gone. */
    bb_stream_set_unacked_timeout(stream, BB_HTTP_SERVER_WRITE_TIMEOUT_MS);
    bb_stream_watch_end(stream);
    update_timer(c);
}

/* Listens for HTTP requests, with default limits. `handler` must outlive the
 * server. Returns NULL and sets the error if the address cannot be bound. */
struct bb_http_server *
bb_http_server_create(uv_loop_t *loop, const struct bb_address *at,
                      const struct bb_http_server_handler *handler,
                      void *context, struct bb_error *e)
{
    struct bb_http_server *s = g_new0(struct bb_http_server, 1);

    s->loop = loop;
    s->handler = handler;
    s->context = context;
    s->name = "http";
    s->limits = (struct bb_http_server_limits){
        .request_head_max_bytes = DEFAULT_HEAD_BYTES,
        .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
        .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
        .request_body_max_bytes = DEFAULT_BODY_BYTES,
    };
    s->listener = bb_listener_create(loop, at, accept_connection, s, e);
    if (s->listener == NULL) {
        g_free(s);
        return NULL;
    }
    return s;
}

/* Sets how the server and its requests are named in the log. The texts must
 * outlive the server; `request_id_field` may be NULL. */
void
bb_http_server_set_log_names(struct bb_http_server *s, const char *name,
                             const char *request_id_field)
{
    s->name = name;
    s->request_id_field = request_id_field;
}

/* Sets fields, each ended by CRLF, of the responses to requests that are
 * rejected without a call of the handler. The text must outlive the server. */
void
bb_http_server_set_rejection_fields(struct bb_http_server *s,
                                    const char *fields)
{
    s->rejection_fields = fields;
}

/* Replaces the limits, also for open connections, but not for requests that
 * have begun to arrive. */
void
bb_http_server_set_limits(struct bb_http_server *s,
                          const struct bb_http_server_limits *limits)
{
    s->limits = *limits;
}

/* Makes each further response close its connection, unless later requests of
 * the connection have arrived when it is written. Idle connections stay open,
 * for requests that the peer may have sent already. */
void
bb_http_server_disable_keep_alive(struct bb_http_server *s)
{
    s->is_keep_alive_disabled = true;
}

/* Counts what is open, from the connections themselves. */
struct bb_http_server_open
bb_http_server_count_open(const struct bb_http_server *s)
{
    struct bb_http_server_open open = {0};

    for (const struct bb_http_server_connection *c = s->connections; c != NULL;
         c = c->next) {
        open.connections++;
        open.closing += c->is_closing;
        open.unsent_bytes += bb_stream_unacked_bytes(c->stream);
        open.answered += c->unsent != NULL;
        open.receiving += c->reader.state == BB_HTTP_READER_HEAD &&
                          c->reader.has_started && !c->is_closing;
        for (const GList *l = c->exchanges.head; l != NULL; l = l->next) {
            const struct bb_http_exchange *x = l->data;

            if (x->is_response_ended) {
                open.answered++;
            }
            else if (x->is_dispatched) {
                open.running++;
            }
            else if (x->is_body_complete) {
                open.waiting++;
            }
            else {
                open.receiving++;
            }
        }
    }
    return open;
}

/* Closes all connections and the listener, and frees the server. The handler
 * is told of requests without a complete response. NULL is allowed. */
void
bb_http_server_destroy(struct bb_http_server *s)
{
    if (s == NULL) {
        return;
    }
    while (s->connections != NULL) {
        close_connection(s->connections, bb_stream_close,
                         BB_HTTP_SERVER_STOPPED);
    }
    bb_listener_destroy(s->listener);
    g_free(s);
}

/* Queues bytes of the response body in the exchange. */
static void
append_output(struct bb_http_exchange *x, const char *data, size_t size_bytes)
{
    if (x->pending_output == NULL) {
        x->pending_output = g_string_sized_new(size_bytes);
    }
    g_string_append_len(x->pending_output, data, (gssize)size_bytes);
    bb_buffers_add(size_bytes);
}

/* Queues the head of a response. Each of the `fields` (NULL: none) ends with
 * CRLF; length and connection fields are added. With
 * BB_HTTP_LENGTH_CHUNKED the body is sent in chunks, which the caller frames,
 * including the last one. */
void
bb_http_exchange_start_response(struct bb_http_exchange *x, uint32_t status,
                                const GString *fields, int64_t length_bytes)
{
    bool has_body = status != 204 && status != 304;

    x->is_response_started = true;
    x->pending_head = g_string_sized_new(512);
    g_string_append_printf(x->pending_head, "HTTP/1.1 %u %s\r\n", status,
                           bb_http_reason_phrase(status));
    if (fields != NULL) {
        g_string_append_len(x->pending_head, fields->str, (gssize)fields->len);
    }
    if (length_bytes == BB_HTTP_LENGTH_CHUNKED) {
        g_string_append(x->pending_head, "Transfer-Encoding: chunked\r\n");
    }
    else if (has_body) {
        g_string_append_printf(x->pending_head,
                               "Content-Length: %" G_GINT64_FORMAT "\r\n",
                               length_bytes);
    }
}

/* Sends a piece of the body, with chunks already framed. It is queued until
 * earlier responses are written. */
void
bb_http_exchange_send_body(struct bb_http_exchange *x, const char *data,
                           size_t size_bytes)
{
    append_output(x, data, size_bytes);
    if (g_queue_peek_head(&x->connection->exchanges) == x) {
        write_output(x);
    }
}

/* Ends the response. The exchange must not be used afterwards. */
void
bb_http_exchange_end(struct bb_http_exchange *x)
{
    struct bb_http_server_connection *c = x->connection;

    x->is_response_ended = true;
    if (g_queue_peek_head(&c->exchanges) == x) {
        flush_responses(c);
    }
}

/* Ends a response that cannot be completed: the connection ends in the middle
 * of it or, if nothing of it was written yet, 502 takes its place. The
 * exchange must not be used afterwards. */
void
bb_http_exchange_abort(struct bb_http_exchange *x)
{
    if (x->pending_head != NULL) {
        drop_output(x);
        bb_http_exchange_respond(x, 502, NULL, NULL, 0);
        return;
    }
    x->is_aborted = true;
    bb_http_exchange_end(x);
}

/* Sends a complete response and ends it. The body is left out for a HEAD
 * request. The exchange must not be used afterwards. */
void
bb_http_exchange_respond(struct bb_http_exchange *x, uint32_t status,
                         const GString *fields, const char *body,
                         size_t size_bytes)
{
    bb_http_exchange_start_response(x, status, fields, (int64_t)size_bytes);
    if (x->head.method != HTTP_HEAD || x->head.text == NULL) {
        append_output(x, body, size_bytes);
    }
    bb_http_exchange_end(x);
}

/* Returns how many response bytes are queued, in the exchange and for the
 * socket of its connection. */
static size_t
count_queued_bytes(const struct bb_http_exchange *x)
{
    return bb_stream_queued_bytes(x->connection->stream) +
           (x->pending_output != NULL ? x->pending_output->len : 0);
}

/* Returns whether later requests of the connection wait for the response. */
bool
bb_http_exchange_is_followed(const struct bb_http_exchange *x)
{
    return g_queue_peek_tail(&x->connection->exchanges) != x;
}

/* Returns whether more of a response that is being received should be read:
 * not if much of it is queued, and while the buffers of the process are full
 * only if the peer takes it. Else the handler pauses until output_drained. */
bool
bb_http_exchange_has_room(const struct bb_http_exchange *x)
{
    size_t queued_bytes = count_queued_bytes(x);
    bool is_first = g_queue_peek_head(&x->connection->exchanges) == x;

    if (bb_buffers_are_full()) {
        return is_first && queued_bytes <= FULL_HIGH_WATER_BYTES;
    }
    return queued_bytes <= BB_STREAM_HIGH_WATER_BYTES;
}

/* Frees what is held of the body, as it was passed on. */
void
bb_http_exchange_drop_body(struct bb_http_exchange *x)
{
    g_string_free(x->body, TRUE);
    x->body = g_string_new(NULL);
    count_body(x);
}

/* Stops reading a long request body, so that the peer has to wait. */
void
bb_http_exchange_pause(struct bb_http_exchange *x)
{
    x->is_paused = true;
    update_reading(x->connection);
}

/* Continues reading a long request body. */
void
bb_http_exchange_resume(struct bb_http_exchange *x)
{
    x->is_paused = false;
    update_reading(x->connection);
}
