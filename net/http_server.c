/* HTTP/1.1 server connections. */
#include "net/http_server.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

enum {
    DEFAULT_HEAD_BYTES = 32 * 1024,
    DEFAULT_HEAD_TIMEOUT_MS = 10000,
    DEFAULT_IDLE_TIMEOUT_MS = 60000,
    CHUNKED = -1
};

#define DEFAULT_BODY_BYTES (64ULL * 1024 * 1024)

BB_COUNTER(malformed_total, "baobab_server_malformed_total",
           "Requests refused because they could not be read");
BB_COUNTER(oversized_total, "baobab_server_oversized_total",
           "Requests refused because their head or body is too large");
BB_COUNTER(slow_head_total, "baobab_server_slow_head_total",
           "Connections closed because a head took too long");

struct bb_server {
    uv_loop_t *loop;
    struct bb_listener *listener;
    const struct bb_server_handler *handler;
    void *context;
    struct bb_server_limits limits;
    struct bb_server_connection *connections;
    uint32_t busy_count; /* exchanges that are not answered */
    bool is_draining;
};

struct bb_server_connection {
    struct bb_server *server;
    struct bb_stream *stream;
    struct bb_server_connection *next;
    struct bb_server_connection *previous;
    struct bb_reader reader;
    struct bb_exchange *current; /* whose request is being read */
    GQueue exchanges;            /* in the order of their requests */
    GString *unread;             /* bytes behind a request that must wait */
    uv_timer_t timer;
    bool is_closing; /* after the answer that is being written */
    bool is_waiting; /* parsing stopped until an exchange ends */
    bool is_feeding;
    bool is_closed;
};

static void read_on(struct bb_server_connection *c);

/* Frees an exchange. */
static void
free_exchange(struct bb_exchange *x)
{
    if (x->head.text != NULL) {
        g_string_free(x->head.text, TRUE);
    }
    g_string_free(x->body, TRUE);
    if (x->output != NULL) {
        g_string_free(x->output, TRUE);
    }
    g_free(x);
}

static void
free_connection(uv_handle_t *h)
{
    struct bb_server_connection *c = h->data;

    bb_reader_clear(&c->reader);
    g_string_free(c->unread, TRUE);
    g_free(c);
}

/* Forgets all exchanges of a connection; handlers learn that the peer is
 * gone. */
static void
drop_exchanges(struct bb_server_connection *c)
{
    struct bb_exchange *x;

    while ((x = g_queue_pop_head(&c->exchanges)) != NULL) {
        if (x->is_begun && !x->is_ended) {
            c->server->busy_count--;
            if (c->server->handler->gone != NULL) {
                c->server->handler->gone(c->server->context, x);
            }
        }
        free_exchange(x);
    }
    c->current = NULL;
}

/* Closes a connection in the given way and forgets it. */
static void
close_connection(struct bb_server_connection *c,
                 void (*close_stream)(struct bb_stream *))
{
    if (c->is_closed) {
        return;
    }
    c->is_closed = true;
    close_stream(c->stream);
    drop_exchanges(c);
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

static void
end_wait(uv_timer_t *t)
{
    struct bb_server_connection *c = t->data;

    if (c->reader.has_started && c->reader.state == BB_READER_HEAD) {
        bb_counter_add(&slow_head_total, 1);
    }
    close_connection(c, bb_stream_close);
}

/* Starts or stops the timer that fits what the connection waits for. */
static void
set_timer(struct bb_server_connection *c)
{
    const struct bb_server_limits *l = &c->server->limits;

    if (c->is_closing) {
        (void)uv_timer_start(&c->timer, end_wait, BB_SERVER_LINGER_MS, 0);
    }
    else if (c->current != NULL && !c->current->is_begun) {
        /* The peer has to go on with its body. */
        (void)uv_timer_start(&c->timer, end_wait, l->idle_timeout_ms, 0);
    }
    else if (!g_queue_is_empty(&c->exchanges)) {
        /* Requests before it are answered first, whatever is half read. */
        (void)uv_timer_stop(&c->timer);
    }
    else if (c->reader.state == BB_READER_HEAD && c->reader.has_started) {
        (void)uv_timer_start(&c->timer, end_wait, l->head_timeout_ms, 0);
    }
    else {
        (void)uv_timer_start(&c->timer, end_wait, l->idle_timeout_ms, 0);
    }
}

/* Writes out what the first exchanges of the connection have ready. */
static void
flush(struct bb_server_connection *c)
{
    struct bb_exchange *x;

    while (!c->is_closed && !c->is_closing &&
           (x = g_queue_peek_head(&c->exchanges)) != NULL) {
        if (x->output != NULL && x->output->len > 0) {
            bb_stream_write(c->stream, x->output->str, x->output->len);
            g_string_truncate(x->output, 0);
        }
        if (!x->is_ended) {
            return;
        }
        if (x->is_aborted) {
            close_connection(c, bb_stream_reset);
            return;
        }
        (void)g_queue_pop_head(&c->exchanges);
        if (x->closes || !x->is_body_complete) {
            /* Requests behind this answer count as unread. */
            bool is_read = x->is_body_complete;

            c->is_closing = true;
            if (c->current == x) {
                c->current = NULL;
            }
            free_exchange(x);
            drop_exchanges(c);
            if (is_read) {
                close_connection(c, bb_stream_finish);
            }
            else {
                set_timer(c); /* lingers until the peer has the answer */
            }
            return;
        }
        free_exchange(x);
    }
    if (!c->is_closed) {
        read_on(c);
    }
}

/* Answers a request that never reaches the handler and ends the connection
 * after it. */
static void
refuse(struct bb_server_connection *c, uint32_t status, const char *why)
{
    struct bb_exchange *x = c->current;

    if (x == NULL) {
        x = g_new0(struct bb_exchange, 1);
        x->connection = c;
        x->body = g_string_new(NULL);
        g_queue_push_tail(&c->exchanges, x);
    }
    bb_log_info("server.refused", "status %u: %s", status, why);
    x->closes = true;
    x->is_body_complete = false;
    if (!x->is_begun) {
        x->is_begun = true;
        c->server->busy_count++;
    }
    bb_exchange_answer(x, status, NULL, why, strlen(why));
}

/* Tells the handler of a request once its body is complete or too long to be
 * collected. */
static void
begin_exchange(struct bb_exchange *x)
{
    struct bb_server *s = x->connection->server;

    x->is_begun = true;
    s->busy_count++;
    s->handler->begin(s->context, x);
}

/* Takes the head of a request. */
static bool
take_head(void *context)
{
    static const char go_on[] = "HTTP/1.1 100 Continue\r\n\r\n";
    struct bb_server_connection *c = context;
    struct bb_head *h = &c->reader.head;
    struct bb_exchange *x = g_new0(struct bb_exchange, 1);

    x->connection = c;
    x->arrived_us = bb_clock_now_us();
    x->body = g_string_new(NULL);
    x->head = *h;
    x->closes = !h->keeps_alive;
    h->text = g_string_sized_new(512);
    c->current = x;
    g_queue_push_tail(&c->exchanges, x);
    if (x->head.has_length &&
        x->head.length_bytes > c->server->limits.body_bytes) {
        return false;
    }
    if (bb_head_get(&x->head, "Expect") != NULL &&
        g_queue_get_length(&c->exchanges) == 1) {
        bb_stream_write(c->stream, go_on, sizeof(go_on) - 1);
    }
    return true;
}

static void
take_body(void *context, const char *data, size_t size_bytes)
{
    struct bb_server_connection *c = context;
    struct bb_exchange *x = c->current;

    if (x == NULL || x->is_ended) {
        return; /* answered early; the rest is dropped */
    }
    x->body_bytes += size_bytes;
    if (x->body_bytes > c->server->limits.body_bytes) {
        return; /* refused after this piece */
    }
    g_string_append_len(x->body, data, (gssize)size_bytes);
}

static const struct bb_reader_events reader_events = {.head = take_head,
                                                      .body = take_body};

/* Deals with a message that cannot be read. */
static void
fail_reading(struct bb_server_connection *c)
{
    bool is_large_head = c->reader.is_oversized;
    bool is_large_body =
        c->current != NULL && c->current->head.has_length &&
        c->current->head.length_bytes > c->server->limits.body_bytes;

    if (c->current != NULL && c->current->is_begun) {
        close_connection(c, bb_stream_close);
        return;
    }
    if (is_large_head || is_large_body) {
        bb_counter_add(&oversized_total, 1);
        refuse(c, is_large_head ? 431 : 413, "the request is too large\n");
        return;
    }
    bb_counter_add(&malformed_total, 1);
    refuse(c, 400, "the request cannot be read\n");
}

/* Tells the handler about progress of the request being read. Returns whether
 * the next request may be read. */
static bool
note_progress(struct bb_server_connection *c)
{
    struct bb_exchange *x = c->current;
    struct bb_server *s = c->server;
    bool is_done = c->reader.state == BB_READER_DONE;

    if (x == NULL) {
        /* Answered before its body was complete: nothing follows. */
        return false;
    }
    if (x->body_bytes > s->limits.body_bytes) {
        bb_counter_add(&oversized_total, 1);
        if (x->is_begun) {
            close_connection(c, bb_stream_close);
        }
        else {
            refuse(c, 413, "the body is too large\n");
        }
        return false;
    }
    if (is_done) {
        x->is_body_complete = true;
        c->current = NULL;
    }
    if (x->is_begun && !x->is_ended) {
        if (s->handler->body != NULL) {
            s->handler->body(s->context, x);
        }
        return is_done;
    }
    if (!is_done && x->body->len < BB_SERVER_COLLECT_BYTES) {
        return false;
    }
    if (g_queue_peek_head(&c->exchanges) != x &&
        (s->handler->may_overlap == NULL ||
         !s->handler->may_overlap(s->context, &x->head))) {
        c->is_waiting = true;
        return false;
    }
    begin_exchange(x);
    return is_done;
}

/* Parses received bytes until they end or an exchange must finish first. */
static void
feed(struct bb_server_connection *c, const char *data, size_t size_bytes)
{
    size_t used = 0;

    c->is_feeding = true;
    while (used < size_bytes && !c->is_closing && !c->is_closed &&
           !c->is_waiting) {
        if (c->reader.state == BB_READER_DONE) {
            if (g_queue_get_length(&c->exchanges) >= BB_SERVER_PIPELINE_MAX) {
                c->is_waiting = true;
                break;
            }
            bb_reader_next(&c->reader);
        }
        c->reader.head_limit_bytes = c->server->limits.head_bytes;
        used += bb_reader_feed(&c->reader, data + used, size_bytes - used);
        if (c->reader.state == BB_READER_FAILED) {
            fail_reading(c);
            break;
        }
        if (c->reader.state == BB_READER_HEAD) {
            break; /* needs more bytes */
        }
        (void)note_progress(c);
    }
    if (!c->is_closed) {
        c->is_feeding = false;
        if (used < size_bytes && c->is_waiting) {
            g_string_append_len(c->unread, data + used,
                                (gssize)(size_bytes - used));
        }
        if (c->is_waiting) {
            bb_stream_pause(c->stream);
        }
        set_timer(c);
    }
}

/* Goes on with a request that waited for the answers before it. */
static void
read_on(struct bb_server_connection *c)
{
    struct bb_exchange *x = g_queue_peek_tail(&c->exchanges);
    GString *unread;

    if (!c->is_waiting || c->is_feeding) {
        if (!c->is_feeding) {
            set_timer(c);
        }
        return;
    }
    if (x != NULL && !x->is_begun) {
        if (g_queue_peek_head(&c->exchanges) != x) {
            return;
        }
        c->is_waiting = false;
        bb_stream_resume(c->stream);
        begin_exchange(x);
        if (c->is_closed) {
            return;
        }
    }
    c->is_waiting = false;
    bb_stream_resume(c->stream);
    unread = c->unread;
    c->unread = g_string_new(NULL);
    feed(c, unread->str, unread->len);
    g_string_free(unread, TRUE);
}

static void
take_data(void *context, const char *data, size_t size_bytes)
{
    struct bb_server_connection *c = context;

    if (c->is_closing || c->reader.state == BB_READER_FAILED) {
        return;
    }
    if (c->is_waiting) {
        g_string_append_len(c->unread, data, (gssize)size_bytes);
        return;
    }
    feed(c, data, size_bytes);
}

static void
take_end(void *context, int status)
{
    (void)status;
    close_connection(context, bb_stream_close);
}

static void
take_drained(void *context)
{
    struct bb_server_connection *c = context;
    struct bb_exchange *x = g_queue_peek_head(&c->exchanges);

    if (x != NULL && x->is_begun && !x->is_ended &&
        c->server->handler->drained != NULL) {
        c->server->handler->drained(c->server->context, x);
    }
}

static const struct bb_stream_events stream_events = {
    .data = take_data, .ended = take_end, .drained = take_drained};

static void
accept_connection(void *context, struct bb_stream *stream)
{
    struct bb_server *s = context;
    struct bb_server_connection *c = g_new0(struct bb_server_connection, 1);

    c->server = s;
    c->stream = stream;
    c->unread = g_string_new(NULL);
    bb_reader_init(&c->reader, HTTP_REQUEST, &reader_events, c);
    (void)uv_timer_init(s->loop, &c->timer);
    c->timer.data = c;
    c->next = s->connections;
    if (c->next != NULL) {
        c->next->previous = c;
    }
    s->connections = c;
    bb_stream_attach(stream, &stream_events, c);
    set_timer(c);
}

/* Listens for HTTP requests. Returns NULL and an error if it cannot. */
struct bb_server *
bb_server_create(uv_loop_t *loop, const struct bb_address *at,
                 const struct bb_server_handler *handler, void *context,
                 struct bb_error *e)
{
    struct bb_server *s = g_new0(struct bb_server, 1);

    s->loop = loop;
    s->handler = handler;
    s->context = context;
    s->limits = (struct bb_server_limits){
        .head_bytes = DEFAULT_HEAD_BYTES,
        .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
        .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
        .body_bytes = DEFAULT_BODY_BYTES,
    };
    s->listener = bb_listener_create(loop, at, accept_connection, s, e);
    if (s->listener == NULL) {
        g_free(s);
        return NULL;
    }
    return s;
}

/* Replaces the limits; they hold from the next head on. */
void
bb_server_set_limits(struct bb_server *s,
                     const struct bb_server_limits *limits)
{
    s->limits = *limits;
}

/* Lets every further answer close its connection. */
void
bb_server_drain(struct bb_server *s)
{
    s->is_draining = true;
}

/* Returns how many requests are not answered yet. */
uint32_t
bb_server_busy_count(const struct bb_server *s)
{
    return s->busy_count;
}

/* Closes all connections and the listener; NULL is allowed. */
void
bb_server_destroy(struct bb_server *s)
{
    if (s == NULL) {
        return;
    }
    while (s->connections != NULL) {
        close_connection(s->connections, bb_stream_close);
    }
    bb_listener_destroy(s->listener);
    g_free(s);
}

/* Writes answer bytes, or keeps them until the answers before are out. */
static void
put(struct bb_exchange *x, const char *data, size_t size_bytes)
{
    if (x->output == NULL) {
        x->output = g_string_sized_new(size_bytes + 256);
    }
    g_string_append_len(x->output, data, (gssize)size_bytes);
}

/* Writes the head of an answer. Fields end with CRLF each; a length of -1
 * sends the body in chunks. */
void
bb_exchange_start(struct bb_exchange *x, uint32_t status,
                  const GString *fields, int64_t length_bytes)
{
    bool has_body = status != 204 && status != 304;

    x->is_started = true;
    if (x->connection->server->is_draining &&
        g_queue_peek_tail(&x->connection->exchanges) == x) {
        x->closes = true; /* not before requests that are under way */
    }
    if (x->output == NULL) {
        x->output = g_string_sized_new(512);
    }
    g_string_append_printf(x->output, "HTTP/1.1 %u %s\r\n", status,
                           bb_http_reason(status));
    if (fields != NULL) {
        g_string_append_len(x->output, fields->str, (gssize)fields->len);
    }
    if (x->closes || !x->is_body_complete) {
        g_string_append(x->output, "Connection: close\r\n");
    }
    if (length_bytes == CHUNKED) {
        g_string_append(x->output, "Transfer-Encoding: chunked\r\n");
    }
    else if (has_body) {
        g_string_append_printf(x->output,
                               "Content-Length: %" G_GINT64_FORMAT "\r\n",
                               length_bytes);
    }
    g_string_append(x->output, "\r\n");
}

/* Sends a piece of the body; in chunks the caller has framed it already. */
void
bb_exchange_send(struct bb_exchange *x, const char *data, size_t size_bytes)
{
    put(x, data, size_bytes);
    if (g_queue_peek_head(&x->connection->exchanges) == x) {
        bb_stream_write(x->connection->stream, x->output->str, x->output->len);
        g_string_truncate(x->output, 0);
    }
}

/* Ends the answer; the exchange must not be used afterwards. */
void
bb_exchange_end(struct bb_exchange *x)
{
    struct bb_server_connection *c = x->connection;

    x->is_ended = true;
    c->server->busy_count--;
    if (g_queue_peek_head(&c->exchanges) == x) {
        flush(c);
    }
}

/* Ends an answer that cannot be completed, so that it does not look complete.
 * The exchange must not be used afterwards. */
void
bb_exchange_abort(struct bb_exchange *x)
{
    x->is_aborted = true;
    bb_exchange_end(x);
}

/* Gives a whole answer. */
void
bb_exchange_answer(struct bb_exchange *x, uint32_t status,
                   const GString *fields, const char *body, size_t size_bytes)
{
    bb_exchange_start(x, status, fields, (int64_t)size_bytes);
    if (x->head.method != HTTP_HEAD || x->head.text == NULL) {
        put(x, body, size_bytes);
    }
    bb_exchange_end(x);
}

/* Returns how many bytes of answers wait for the socket. */
size_t
bb_exchange_queued_bytes(const struct bb_exchange *x)
{
    return bb_stream_queued_bytes(x->connection->stream) +
           (x->output != NULL ? x->output->len : 0);
}

/* Stops reading a long body. */
void
bb_exchange_pause(struct bb_exchange *x)
{
    bb_stream_pause(x->connection->stream);
}

/* Continues reading a long body. */
void
bb_exchange_resume(struct bb_exchange *x)
{
    if (!x->connection->is_waiting) {
        bb_stream_resume(x->connection->stream);
    }
}
