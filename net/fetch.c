/* HTTP/1.1 client with a pool of persistent connections. */
#include "net/fetch.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    /* Share of the idle timeout stated by a peer within which its connection
     * is used again. The rest covers the transit of a close by the peer that
     * crosses a request. */
    KEEP_ALIVE_PERCENT = 70,
    /* A pooled connection that is lost with a request after at least this idle
     * time shows that the peer drops idle connections sooner than it states.
     * A loss after a shorter time has other causes, such as a peer that is
     * overloaded or stopping. */
    LOST_IDLE_MIN_MS = 100,
    /* After such a loss, for the hold time, only connections that were idle
     * for at most this long are used. */
    SHORT_IDLE_MAX_MS = 50,
    SHORT_IDLE_HOLD_MS = 10000,
    PERCENT = 100,
    MS_PER_S = 1000
};

/* Parameter of the Keep-Alive field with the peer's idle timeout in seconds.
 */
#define KEEP_ALIVE_TIMEOUT "timeout="

BB_COUNTER(opened_total, "baobab_fetch_connections_total",
           "Connections opened to other nodes and upstreams");
BB_COUNTER(reused_total, "baobab_fetch_reused_total",
           "Requests sent on a kept connection");
BB_COUNTER(lost_idle_total, "baobab_fetch_lost_idle_total",
           "Kept connections that were lost with the next request on them");
BB_COUNTER(unmatched_total, "baobab_fetch_stray_answers_total",
           "Answers skipped because they belong to another request");
BB_COUNTER(invalid_status_total, "baobab_fetch_invalid_status_total",
           "Responses with a status that is neither final nor informational");

/* Idle connections to one address, the most recently used first. */
struct idle_list {
    struct pooled_connection *idle;
    uint64_t short_idle_until_us; /* until then SHORT_IDLE_MAX_MS applies */
};

struct bb_connection_pool {
    uv_loop_t *loop;
    struct bb_connection_pool_settings settings;
    GHashTable *idle_lists; /* address text to struct idle_list */
    GString *body;          /* of the response in the bytes being parsed */
};

/* A connection that is idle or carries a fetch. */
struct pooled_connection {
    struct bb_connection_pool *pool;
    struct idle_list *idle_list;
    struct bb_stream *stream;
    struct bb_http_reader reader;
    struct bb_fetch *fetch;
    struct pooled_connection *next; /* in the idle list */
    struct pooled_connection *previous;
    uint64_t usable_until_us;
    uint64_t idle_since_us;
    uint64_t idle_before_us; /* before this fetch, 0: a new connection */
    bool has_extra_bytes;    /* bytes followed the response */
};

struct bb_fetch {
    struct pooled_connection *connection;
    const struct bb_fetch_events *events;
    void *context;
    size_t skipped_bytes; /* received before the head of the response */
    bool is_body_sent;
    bool is_connected;
    bool is_skipping_response; /* informational, or of another request */
    bool has_response;         /* its head was accepted */
    bool is_head_method;
    bool has_received_bytes;
    bool has_invalid_status; /* an informational response with final_field */
    const char *final_field;
    uint32_t informational_count;
};

/* Removes a connection from its idle list. */
static void
remove_idle(struct pooled_connection *c)
{
    if (c->previous != NULL) {
        c->previous->next = c->next;
    }
    else if (c->idle_list->idle == c) {
        c->idle_list->idle = c->next;
    }
    if (c->next != NULL) {
        c->next->previous = c->previous;
    }
    c->next = NULL;
    c->previous = NULL;
}

/* Closes and frees a connection without reporting it to its fetch. */
static void
destroy_connection(struct pooled_connection *c,
                   void (*close_stream)(struct bb_stream *))
{
    remove_idle(c);
    if (c->stream != NULL) {
        close_stream(c->stream);
    }
    bb_http_reader_clear(&c->reader);
    g_free(c);
}

/* Closes all connections of an idle list. */
static void
close_idle_connections(struct idle_list *l)
{
    struct pooled_connection *c = l->idle;

    l->idle = NULL;
    while (c != NULL) {
        struct pooled_connection *next = c->next;

        c->next = NULL;
        c->previous = NULL;
        destroy_connection(c, bb_stream_close);
        c = next;
    }
}

/* Frees a fetch, whose connection was released or destroyed before, and
 * reports its result. */
static void
end_fetch(struct bb_fetch *f, enum bb_fetch_result result)
{
    const struct bb_fetch_events *events = f->events;
    void *context = f->context;

    g_free(f);
    events->done(context, result);
}

/* Returns how long the connection may be idle before it is used again, from
 * the pool's limit and the Keep-Alive field of the response. */
static uint32_t
idle_limit_ms(const struct pooled_connection *c)
{
    const char *value = bb_http_head_get(&c->reader.head, "Keep-Alive");
    const char *timeout =
        value != NULL ? strstr(value, KEEP_ALIVE_TIMEOUT) : NULL;
    uint32_t limit_ms = c->pool->settings.idle_max_ms;

    if (timeout != NULL) {
        unsigned long stated_s =
            strtoul(timeout + strlen(KEEP_ALIVE_TIMEOUT), NULL, 10);
        uint64_t stated_ms =
            (uint64_t)stated_s * MS_PER_S * KEEP_ALIVE_PERCENT / PERCENT;

        limit_ms = stated_ms < limit_ms ? (uint32_t)stated_ms : limit_ms;
    }
    return limit_ms;
}

/* Returns the connection of a completed response to the pool, or closes it if
 * either side will close it, the request body is not complete, or bytes
 * followed the response or may do so. */
static void
release_connection(struct pooled_connection *c, const struct bb_fetch *f)
{
    uint32_t idle_ms = idle_limit_ms(c);

    c->fetch = NULL;
    if ((c->pool->settings.closes_bodyless && c->reader.is_bodyless) ||
        !c->reader.head.is_keep_alive || c->reader.is_eof_framed ||
        !f->is_body_sent || c->has_extra_bytes || idle_ms == 0) {
        destroy_connection(c, bb_stream_close);
        return;
    }
    bb_stream_resume(c->stream);
    bb_stream_set_keepalive(c->stream, false);
    c->idle_since_us = bb_clock_now_us();
    c->usable_until_us = c->idle_since_us + (uint64_t)idle_ms * BB_US_PER_MS;
    c->next = c->idle_list->idle;
    if (c->next != NULL) {
        c->next->previous = c;
    }
    c->idle_list->idle = c;
}

/* Limits the idle time of connections to a peer that dropped an idle one. */
static void
limit_idle_time(struct pooled_connection *c)
{
    c->idle_list->short_idle_until_us =
        bb_clock_now_us() + (uint64_t)SHORT_IDLE_HOLD_MS * BB_US_PER_MS;
    bb_counter_add(&lost_idle_total, 1);
}

/* Destroys a connection and ends its fetch with a failure. */
static void
fail_connection(struct pooled_connection *c, enum bb_fetch_result result)
{
    struct bb_fetch *f = c->fetch;

    if (result == BB_FETCH_LOST && f != NULL && !f->has_received_bytes &&
        c->idle_before_us >= (uint64_t)LOST_IDLE_MIN_MS * BB_US_PER_MS) {
        limit_idle_time(c);
    }

    destroy_connection(c, bb_stream_close);
    if (f != NULL) {
        end_fetch(f, result);
    }
}

/* Passes the head of a response to the fetch. Informational responses (1xx),
 * and those that the fetch refuses, are skipped. Returns false for an
 * informational one that is meant as the final one. */
static bool
on_head(void *context)
{
    struct pooled_connection *c = context;
    struct bb_fetch *f = c->fetch;
    const struct bb_http_head *h = &c->reader.head;

    if (bb_http_status_kind(h->status) == BB_HTTP_STATUS_INFORMATIONAL) {
        f->is_skipping_response = true;
        f->informational_count++;
        f->has_invalid_status = f->final_field != NULL &&
                                bb_http_head_get(h, f->final_field) != NULL;
        return !f->has_invalid_status;
    }
    f->is_skipping_response = !f->events->head(f->context, h);
    if (f->is_skipping_response) {
        bb_counter_add(&unmatched_total, 1);
    }
    else {
        f->has_response = true;
    }
    return true;
}

/* Collects body data, except that of a skipped response. */
static void
on_body(void *context, const char *data, size_t size_bytes)
{
    struct pooled_connection *c = context;

    if (!c->fetch->is_skipping_response) {
        g_string_append_len(c->pool->body, data, (gssize)size_bytes);
    }
}

static const struct bb_http_reader_events reader_events = {.head = on_head,
                                                           .body = on_body};

/* Passes the collected body data to the caller in one piece. Pieces as small
 * as the chunks of some peers would each cost a write. Returns false if the
 * caller declines the rest of the body. */
static bool
deliver_body(struct pooled_connection *c)
{
    GString *body = c->pool->body;
    bool is_wanted = true;

    if (body->len > 0) {
        is_wanted =
            c->fetch->events->body(c->fetch->context, body->str, body->len);
        g_string_truncate(body, 0);
    }
    return is_wanted;
}

/* Returns whether a response can follow the one that is being skipped, within
 * BB_FETCH_SKIPPED_MAX_BYTES. Informational responses have no body. */
static bool
can_follow_skipped(const struct pooled_connection *c)
{
    const struct bb_http_head *h = &c->reader.head;

    if (h->status < 200) {
        return true;
    }
    return h->is_keep_alive && !c->reader.is_eof_framed &&
           (c->reader.is_head_response || !h->has_content_length ||
            h->content_length <= (uint64_t)BB_FETCH_SKIPPED_MAX_BYTES);
}

/* Counts bytes that were parsed. Returns false if the connection is of no more
 * use to its fetch: it cannot bring the response, or too much came before. */
static bool
count_parsed_bytes(struct pooled_connection *c, size_t size_bytes)
{
    struct bb_fetch *f = c->fetch;

    if (f->has_response) {
        return true;
    }
    f->skipped_bytes += size_bytes;
    return f->skipped_bytes <= BB_FETCH_SKIPPED_MAX_BYTES &&
           f->informational_count <= BB_FETCH_INFORMATIONAL_MAX &&
           (!f->is_skipping_response || can_follow_skipped(c));
}

/* Ends the fetch of a complete response, or prepares for the next one if this
 * one was skipped. Returns whether the fetch continues on this connection. */
static bool
finish_message(struct pooled_connection *c)
{
    struct bb_fetch *f = c->fetch;

    if (f->is_skipping_response) {
        f->is_skipping_response = false;
        bb_http_reader_start_next(&c->reader);
        c->reader.is_head_response = f->is_head_method;
        return true;
    }
    release_connection(c, f);
    end_fetch(f, BB_FETCH_COMPLETE);
    return false;
}

/* Fails the connection of a fetch whose response could not be read. */
static void
fail_unreadable(struct pooled_connection *c)
{
    const struct bb_fetch *f = c->fetch;

    if (f->has_response) {
        fail_connection(c, BB_FETCH_TRUNCATED);
        return;
    }
    if (f->has_invalid_status ||
        c->reader.error == BB_HTTP_READER_ERROR_STATUS) {
        bb_counter_add(&invalid_status_total, 1);
        fail_connection(c, BB_FETCH_INVALID_STATUS);
        return;
    }
    fail_connection(c, BB_FETCH_MALFORMED_HEAD);
}

/* Parses received bytes and ends the fetch when its response is complete,
 * malformed or no longer to be expected. */
static void
on_data(void *context, const char *data, size_t size_bytes)
{
    struct pooled_connection *c = context;
    size_t used = 0;

    if (c->fetch == NULL) {
        /* Bytes on an idle connection belong to no request. */
        bb_counter_add(&unmatched_total, 1);
        destroy_connection(c, bb_stream_close);
        return;
    }
    c->fetch->has_received_bytes = true;
    while (used < size_bytes) {
        size_t parsed_bytes =
            bb_http_reader_feed(&c->reader, data + used, size_bytes - used);

        used += parsed_bytes;
        if (!deliver_body(c)) {
            fail_connection(c, BB_FETCH_DECLINED);
            return;
        }
        if (c->reader.state == BB_HTTP_READER_FAILED) {
            fail_unreadable(c);
            return;
        }
        if (!count_parsed_bytes(c, parsed_bytes)) {
            fail_connection(c, BB_FETCH_LOST);
            return;
        }
        if (c->reader.state != BB_HTTP_READER_DONE) {
            return;
        }
        c->has_extra_bytes =
            used < size_bytes && !c->fetch->is_skipping_response;
        if (!finish_message(c)) {
            return;
        }
    }
}

/* Ends the fetch when its connection ends, which completes a response without
 * a length. */
static void
on_ended(void *context, int status)
{
    struct pooled_connection *c = context;
    struct bb_fetch *f = c->fetch;

    if (f == NULL) {
        destroy_connection(c, bb_stream_close);
        return;
    }
    if (!f->is_connected) {
        fail_connection(c, BB_FETCH_NOT_CONNECTED);
        return;
    }
    if (status == 0 && f->has_response && bb_http_reader_finish(&c->reader)) {
        release_connection(c, f);
        end_fetch(f, BB_FETCH_COMPLETE);
        return;
    }
    fail_connection(c, f->has_response ? BB_FETCH_TRUNCATED : BB_FETCH_LOST);
}

/* Notes that the connection is established; an end before that is reported as
 * BB_FETCH_NOT_CONNECTED. */
static void
on_connected(void *context)
{
    struct pooled_connection *c = context;

    c->fetch->is_connected = true;
}

/* Tells the caller that all queued bytes were written. Does nothing on an idle
 * connection. */
static void
on_output_drained(void *context)
{
    struct pooled_connection *c = context;

    if (c->fetch != NULL && c->fetch->events->output_drained != NULL) {
        c->fetch->events->output_drained(c->fetch->context);
    }
}

static const struct bb_stream_events stream_events = {
    .connected = on_connected,
    .data = on_data,
    .ended = on_ended,
    .output_drained = on_output_drained,
};

static void
free_idle_list(void *data)
{
    close_idle_connections(data);
    g_free(data);
}

/* Creates an empty pool. */
struct bb_connection_pool *
bb_connection_pool_create(uv_loop_t *loop,
                          const struct bb_connection_pool_settings *settings)
{
    struct bb_connection_pool *p = g_new0(struct bb_connection_pool, 1);

    p->loop = loop;
    p->settings = *settings;
    p->body = g_string_new(NULL);
    p->idle_lists =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_idle_list);
    return p;
}

/* Closes the idle connections and frees the pool. All fetches must have ended
 * or been cancelled. NULL is allowed. */
void
bb_connection_pool_destroy(struct bb_connection_pool *p)
{
    if (p != NULL) {
        g_hash_table_destroy(p->idle_lists);
        g_string_free(p->body, TRUE);
        g_free(p);
    }
}

/* Returns the idle list of an address, which is created if it is missing. */
static struct idle_list *
get_idle_list(struct bb_connection_pool *p, const struct bb_address *to)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct idle_list *l;

    (void)bb_address_format(to, text);
    l = g_hash_table_lookup(p->idle_lists, text);
    if (l == NULL) {
        l = g_new0(struct idle_list, 1);
        g_hash_table_insert(p->idle_lists, g_strdup(text), l);
    }
    return l;
}

/* Closes the idle connections to an address, for use after a failure of the
 * peer. */
void
bb_connection_pool_close_idle(struct bb_connection_pool *p,
                              const struct bb_address *to)
{
    close_idle_connections(get_idle_list(p, to));
}

/* Returns how long a connection may have been idle to be used for a request.
 */
static uint64_t
idle_max_us(const struct idle_list *l, const struct bb_fetch_request *r,
            uint64_t now_us)
{
    uint64_t max_us = r->idle_max_ms != 0
                          ? (uint64_t)r->idle_max_ms * BB_US_PER_MS
                          : UINT64_MAX;

    return now_us < l->short_idle_until_us
               ? MIN(max_us, (uint64_t)SHORT_IDLE_MAX_MS * BB_US_PER_MS)
               : max_us;
}

/* Removes and returns the idle connection that was used last, or NULL if it
 * has been idle for too long or there is none. Closes all of them if this one
 * has exceeded the pool's limit or the peer's. */
static struct pooled_connection *
pop_idle_connection(struct idle_list *l, const struct bb_fetch_request *r)
{
    uint64_t now_us = bb_clock_now_us();
    struct pooled_connection *c = l->idle;

    if (c == NULL) {
        return NULL;
    }
    if (now_us - c->idle_since_us > idle_max_us(l, r, now_us)) {
        return NULL;
    }
    /* The others in the list have been idle for longer. */
    if (c->usable_until_us <= now_us) {
        close_idle_connections(l);
        return NULL;
    }
    remove_idle(c);
    return c;
}

/* Sends a request on a pooled or a new connection. `events` must outlive the
 * fetch; none is called before this returns. Returns NULL if no connection can
 * be opened. The fetch is freed just before its `done` event is called, or by
 * bb_fetch_cancel. */
struct bb_fetch *
bb_fetch_start(struct bb_connection_pool *p, const struct bb_fetch_request *r,
               const struct bb_fetch_events *events, void *context)
{
    struct idle_list *l = get_idle_list(p, &r->address);
    struct pooled_connection *c = pop_idle_connection(l, r);
    struct bb_fetch *f = g_new0(struct bb_fetch, 1);

    f->events = events;
    f->context = context;
    f->is_head_method = r->is_head_method;
    f->is_body_sent = r->is_body_complete;
    f->final_field = r->final_field;
    if (c != NULL) {
        f->is_connected = true;
        /* + 1: 0 stands for a new connection */
        c->idle_before_us = bb_clock_now_us() - c->idle_since_us + 1;
        bb_http_reader_start_next(&c->reader);
        bb_counter_add(&reused_total, 1);
    }
    else {
        c = g_new0(struct pooled_connection, 1);
        c->pool = p;
        c->idle_list = l;
        bb_http_reader_init(&c->reader, HTTP_RESPONSE, &reader_events, c);
        c->stream = bb_stream_connect(p->loop, &r->address,
                                      r->connect_timeout_ms != 0
                                          ? r->connect_timeout_ms
                                          : p->settings.connect_timeout_ms,
                                      &stream_events, c);
        if (c->stream == NULL) {
            destroy_connection(c, bb_stream_close);
            g_free(f);
            return NULL;
        }
        bb_counter_add(&opened_total, 1);
    }
    bb_stream_set_keepalive(c->stream, true);
    c->reader.is_head_response = r->is_head_method;
    c->has_extra_bytes = false;
    c->fetch = f;
    f->connection = c;
    if (r->body_bytes > 0) {
        GString *all = g_string_sized_new(r->head->len + r->body_bytes);

        g_string_append_len(all, r->head->str, (gssize)r->head->len);
        g_string_append_len(all, r->body, (gssize)r->body_bytes);
        bb_stream_write(c->stream, all->str, all->len);
        g_string_free(all, TRUE);
    }
    else {
        bb_stream_write(c->stream, r->head->str, r->head->len);
    }
    return f;
}

/* Sends a further piece of the request body, with chunks already framed. */
void
bb_fetch_send_body(struct bb_fetch *f, const char *data, size_t size_bytes,
                   bool is_last)
{
    if (size_bytes > 0) {
        bb_stream_write(f->connection->stream, data, size_bytes);
    }
    f->is_body_sent = f->is_body_sent || is_last;
}

/* Returns how many bytes of the request are queued for the socket. */
size_t
bb_fetch_queued_bytes(const struct bb_fetch *f)
{
    return bb_stream_queued_bytes(f->connection->stream);
}

/* Stops reading the response, so that the peer has to wait. */
void
bb_fetch_pause(struct bb_fetch *f)
{
    bb_stream_pause(f->connection->stream);
}

/* Continues reading the response. */
void
bb_fetch_resume(struct bb_fetch *f)
{
    bb_stream_resume(f->connection->stream);
}

/* Returns whether the connection has carried another request before. */
bool
bb_fetch_is_reused(const struct bb_fetch *f)
{
    return f->connection->idle_before_us != 0;
}

/* Returns whether the connection is established. Before that, nothing of the
 * request has been sent. */
bool
bb_fetch_is_connected(const struct bb_fetch *f)
{
    return f->is_connected;
}

/* Cancels a request and frees it; no event follows. The connection is reset,
 * which tells the peer to stop. */
void
bb_fetch_cancel(struct bb_fetch *f)
{
    struct pooled_connection *c = f->connection;

    c->fetch = NULL;
    destroy_connection(c, bb_stream_reset);
    g_free(f);
}

/* Returns the name of a result, such as "lost", for logs and reports. */
const char *
bb_fetch_result_name(enum bb_fetch_result result)
{
    switch (result) {
    case BB_FETCH_COMPLETE:
        return "complete";
    case BB_FETCH_NOT_CONNECTED:
        return "not_connected";
    case BB_FETCH_LOST:
        return "lost";
    case BB_FETCH_TRUNCATED:
        return "truncated";
    case BB_FETCH_MALFORMED_HEAD:
        return "garbled";
    case BB_FETCH_INVALID_STATUS:
        return "invalid_status";
    case BB_FETCH_DECLINED:
        return "declined";
    }
    return "unknown";
}
