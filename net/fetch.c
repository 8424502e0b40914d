/* HTTP/1.1 client on a pool of kept connections. */
#include "net/fetch.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    /* Share of a peer's stated idle timeout within which its connection is
     * used again: the rest covers the way of a close that crosses. */
    KEEP_ALIVE_PERCENT = 70,
    /* A kept connection that is lost after so much idling shows that the peer
     * forgets idle ones sooner than it says. A loss after less has other
     * causes: a peer that is full or ends. */
    LOST_IDLE_LEAST_MS = 100,
    /* Then only those are used that were idle for less than this, for a time.
     */
    LOST_IDLE_LIMIT_MS = 50,
    LOST_IDLE_HOLD_MS = 10000,
    MS_PER_S = 1000
};

BB_COUNTER(opened_total, "baobab_fetch_connections_total",
           "Connections opened to other nodes and upstreams");
BB_COUNTER(reused_total, "baobab_fetch_reused_total",
           "Requests sent on a kept connection");
BB_COUNTER(lost_idle_total, "baobab_fetch_lost_idle_total",
           "Kept connections that were lost with the next request on them");
BB_COUNTER(stray_total, "baobab_fetch_stray_answers_total",
           "Answers skipped because they belong to another request");

/* Kept connections to one address, the most recently used first. */
struct target {
    struct link *idle;
    uint64_t forgets_until_us; /* the peer forgets idle connections */
};

struct bb_pool {
    uv_loop_t *loop;
    struct bb_pool_settings settings;
    GHashTable *targets; /* address text to struct target */
};

/* One connection, idle or with a fetch. */
struct link {
    struct bb_pool *pool;
    struct target *target;
    struct bb_stream *stream;
    struct bb_reader reader;
    struct bb_fetch *fetch;
    struct link *next; /* in the idle list */
    struct link *previous;
    uint64_t usable_until_us;
    uint64_t idle_since_us;
    uint64_t idle_us; /* before the present fetch, 0: a new connection */
    bool has_extra_bytes;
};

struct bb_fetch {
    struct link *link;
    const struct bb_fetch_events *events;
    void *context;
    bool is_body_sent;
    bool is_connected;
    bool is_skipping; /* the answer being read belongs to another request */
    bool has_answer;  /* a head was accepted */
    bool is_head_method;
    bool has_bytes;
};

/* Removes a link from the idle list of its target. */
static void
unlink_idle(struct link *l)
{
    if (l->previous != NULL) {
        l->previous->next = l->next;
    }
    else if (l->target->idle == l) {
        l->target->idle = l->next;
    }
    if (l->next != NULL) {
        l->next->previous = l->previous;
    }
    l->next = NULL;
    l->previous = NULL;
}

/* Closes a connection without a word to its fetch. */
static void
destroy_link(struct link *l, void (*close_stream)(struct bb_stream *))
{
    unlink_idle(l);
    if (l->stream != NULL) {
        close_stream(l->stream);
    }
    bb_reader_clear(&l->reader);
    g_free(l);
}

/* Closes all idle connections of a target. */
static void
close_idle(struct target *t)
{
    struct link *l = t->idle;

    t->idle = NULL;
    while (l != NULL) {
        struct link *next = l->next;

        l->next = NULL;
        l->previous = NULL;
        destroy_link(l, bb_stream_close);
        l = next;
    }
}

/* Ends a fetch; its connection is kept or closed before. */
static void
end_fetch(struct bb_fetch *f, enum bb_fetch_result result)
{
    const struct bb_fetch_events *events = f->events;
    void *context = f->context;

    g_free(f);
    events->done(context, result);
}

/* Returns how long a peer keeps the connection, from its Keep-Alive field. */
static uint32_t
idle_limit_ms(const struct link *l)
{
    const char *value = bb_head_get(&l->reader.head, "Keep-Alive");
    const char *timeout = value != NULL ? strstr(value, "timeout=") : NULL;
    uint32_t limit_ms = l->pool->settings.idle_max_ms;

    if (timeout != NULL) {
        unsigned long stated_s = strtoul(timeout + 8, NULL, 10);
        uint64_t stated_ms =
            (uint64_t)stated_s * MS_PER_S * KEEP_ALIVE_PERCENT / 100;

        limit_ms = stated_ms < limit_ms ? (uint32_t)stated_ms : limit_ms;
    }
    return limit_ms;
}

/* Keeps the connection of a completed answer, or closes it where more bytes
 * or a close can follow. */
static void
release_link(struct link *l, const struct bb_fetch *f)
{
    uint32_t idle_ms = idle_limit_ms(l);

    l->fetch = NULL;
    if (!l->reader.head.keeps_alive || l->reader.is_eof_framed ||
        !f->is_body_sent || l->has_extra_bytes || idle_ms == 0) {
        destroy_link(l, bb_stream_close);
        return;
    }
    bb_stream_resume(l->stream);
    bb_stream_watch(l->stream, false);
    l->idle_since_us = bb_clock_now_us();
    l->usable_until_us = l->idle_since_us + (uint64_t)idle_ms * BB_US_PER_MS;
    l->next = l->target->idle;
    if (l->next != NULL) {
        l->next->previous = l;
    }
    l->target->idle = l;
}

/* Notes that a peer lost a kept connection before any byte of an answer. */
static void
note_lost_idle(struct link *l)
{
    l->target->forgets_until_us =
        bb_clock_now_us() + (uint64_t)LOST_IDLE_HOLD_MS * BB_US_PER_MS;
    bb_counter_add(&lost_idle_total, 1);
}

/* Fails the fetch of a connection that is over. */
static void
fail_link(struct link *l, enum bb_fetch_result result)
{
    struct bb_fetch *f = l->fetch;

    if (result == BB_FETCH_LOST && f != NULL && !f->has_bytes &&
        l->idle_us >= (uint64_t)LOST_IDLE_LEAST_MS * BB_US_PER_MS) {
        note_lost_idle(l);
    }

    destroy_link(l, bb_stream_close);
    if (f != NULL) {
        end_fetch(f, result);
    }
}

static bool
take_head(void *context)
{
    struct link *l = context;
    struct bb_fetch *f = l->fetch;
    const struct bb_head *h = &l->reader.head;

    if (h->status < 200) {
        f->is_skipping = true;
        return true;
    }
    f->is_skipping = !f->events->head(f->context, h);
    if (f->is_skipping) {
        bb_counter_add(&stray_total, 1);
    }
    else {
        f->has_answer = true;
    }
    return true;
}

static void
take_body(void *context, const char *data, size_t size_bytes)
{
    struct link *l = context;

    if (!l->fetch->is_skipping) {
        l->fetch->events->body(l->fetch->context, data, size_bytes);
    }
}

static const struct bb_reader_events reader_events = {.head = take_head,
                                                      .body = take_body};

/* Deals with a complete message. Returns whether the connection still has a
 * fetch that reads on. */
static bool
finish_message(struct link *l)
{
    struct bb_fetch *f = l->fetch;

    if (f->is_skipping) {
        bool can_go_on =
            l->reader.head.status < 200 ||
            (l->reader.head.keeps_alive && !l->reader.is_eof_framed);

        f->is_skipping = false;
        if (!can_go_on) {
            fail_link(l, BB_FETCH_LOST);
            return false;
        }
        bb_reader_next(&l->reader);
        l->reader.is_headless = f->is_head_method;
        return true;
    }
    release_link(l, f);
    end_fetch(f, BB_FETCH_COMPLETE);
    return false;
}

static void
take_data(void *context, const char *data, size_t size_bytes)
{
    struct link *l = context;
    size_t used = 0;

    if (l->fetch == NULL) {
        /* Nobody asked: these bytes belong to no request. */
        bb_counter_add(&stray_total, 1);
        destroy_link(l, bb_stream_close);
        return;
    }
    l->fetch->has_bytes = true;
    while (used < size_bytes) {
        used += bb_reader_feed(&l->reader, data + used, size_bytes - used);
        if (l->reader.state == BB_READER_FAILED) {
            fail_link(l, l->fetch->has_answer ? BB_FETCH_TRUNCATED
                                              : BB_FETCH_GARBLED);
            return;
        }
        if (l->reader.state != BB_READER_DONE) {
            return;
        }
        l->has_extra_bytes = used < size_bytes && !l->fetch->is_skipping;
        if (!finish_message(l)) {
            return;
        }
    }
}

static void
take_end(void *context, int status)
{
    struct link *l = context;
    struct bb_fetch *f = l->fetch;

    if (f == NULL) {
        destroy_link(l, bb_stream_close);
        return;
    }
    if (!f->is_connected) {
        fail_link(l, BB_FETCH_NOT_CONNECTED);
        return;
    }
    if (status == 0 && f->has_answer && bb_reader_end(&l->reader)) {
        release_link(l, f);
        end_fetch(f, BB_FETCH_COMPLETE);
        return;
    }
    fail_link(l, f->has_answer ? BB_FETCH_TRUNCATED : BB_FETCH_LOST);
}

static void
take_connected(void *context)
{
    struct link *l = context;

    l->fetch->is_connected = true;
}

static void
take_drained(void *context)
{
    struct link *l = context;

    if (l->fetch != NULL && l->fetch->events->drained != NULL) {
        l->fetch->events->drained(l->fetch->context);
    }
}

static const struct bb_stream_events stream_events = {
    .connected = take_connected,
    .data = take_data,
    .ended = take_end,
    .drained = take_drained,
};

static void
free_target(void *data)
{
    close_idle(data);
    g_free(data);
}

/* Creates an empty pool. */
struct bb_pool *
bb_pool_create(uv_loop_t *loop, const struct bb_pool_settings *settings)
{
    struct bb_pool *p = g_new0(struct bb_pool, 1);

    p->loop = loop;
    p->settings = *settings;
    p->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_target);
    return p;
}

/* Closes idle connections; all fetches must have ended. */
void
bb_pool_destroy(struct bb_pool *p)
{
    if (p != NULL) {
        g_hash_table_destroy(p->targets);
        g_free(p);
    }
}

/* Returns the kept connections of an address. */
static struct target *
find_target(struct bb_pool *p, const struct bb_address *to)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct target *t;

    (void)bb_address_text(to, text);
    t = g_hash_table_lookup(p->targets, text);
    if (t == NULL) {
        t = g_new0(struct target, 1);
        g_hash_table_insert(p->targets, g_strdup(text), t);
    }
    return t;
}

/* Closes the idle connections to an address, as after a failure there. */
void
bb_pool_forget(struct bb_pool *p, const struct bb_address *to)
{
    close_idle(find_target(p, to));
}

/* Returns how long a connection may have been idle for a request. */
static uint64_t
idle_max_us(const struct target *t, const struct bb_fetch_request *r,
            uint64_t now_us)
{
    uint64_t max_us = r->idle_max_ms != 0
                          ? (uint64_t)r->idle_max_ms * BB_US_PER_MS
                          : UINT64_MAX;

    return now_us < t->forgets_until_us
               ? MIN(max_us, (uint64_t)LOST_IDLE_LIMIT_MS * BB_US_PER_MS)
               : max_us;
}

/* Takes the kept connection that was used last, if it may still be used. */
static struct link *
take_idle(struct target *t, const struct bb_fetch_request *r)
{
    uint64_t now_us = bb_clock_now_us();
    struct link *l = t->idle;

    if (l == NULL) {
        return NULL;
    }
    if (now_us - l->idle_since_us > idle_max_us(t, r, now_us)) {
        return NULL;
    }
    /* The others were used before it: they are no better. */
    if (l->usable_until_us <= now_us) {
        close_idle(t);
        return NULL;
    }
    unlink_idle(l);
    return l;
}

/* Sends a request. Events never come from within this call, but NULL is
 * returned if no connection can be opened at all. */
struct bb_fetch *
bb_fetch_start(struct bb_pool *p, const struct bb_fetch_request *r,
               const struct bb_fetch_events *events, void *context)
{
    struct target *t = find_target(p, &r->to);
    struct link *l = take_idle(t, r);
    struct bb_fetch *f = g_new0(struct bb_fetch, 1);

    f->events = events;
    f->context = context;
    f->is_head_method = r->is_head_method;
    f->is_body_sent = r->is_body_complete;
    if (l != NULL) {
        f->is_connected = true;
        l->idle_us = bb_clock_now_us() - l->idle_since_us + 1;
        bb_reader_next(&l->reader);
        bb_counter_add(&reused_total, 1);
    }
    else {
        l = g_new0(struct link, 1);
        l->pool = p;
        l->target = t;
        bb_reader_init(&l->reader, HTTP_RESPONSE, &reader_events, l);
        l->stream =
            bb_stream_connect(p->loop, &r->to, p->settings.connect_timeout_ms,
                              &stream_events, l);
        if (l->stream == NULL) {
            destroy_link(l, bb_stream_close);
            g_free(f);
            return NULL;
        }
        bb_counter_add(&opened_total, 1);
    }
    bb_stream_watch(l->stream, true);
    l->reader.is_headless = r->is_head_method;
    l->has_extra_bytes = false;
    l->fetch = f;
    f->link = l;
    if (r->body_bytes > 0) {
        GString *all = g_string_sized_new(r->head->len + r->body_bytes);

        g_string_append_len(all, r->head->str, (gssize)r->head->len);
        g_string_append_len(all, r->body, (gssize)r->body_bytes);
        bb_stream_write(l->stream, all->str, all->len);
        g_string_free(all, TRUE);
    }
    else {
        bb_stream_write(l->stream, r->head->str, r->head->len);
    }
    return f;
}

/* Sends a further piece of the request body. */
void
bb_fetch_send_body(struct bb_fetch *f, const char *data, size_t size_bytes,
                   bool is_last)
{
    if (size_bytes > 0) {
        bb_stream_write(f->link->stream, data, size_bytes);
    }
    f->is_body_sent = f->is_body_sent || is_last;
}

/* Returns how many bytes of the request wait for the socket. */
size_t
bb_fetch_queued_bytes(const struct bb_fetch *f)
{
    return bb_stream_queued_bytes(f->link->stream);
}

/* Stops reading the answer. */
void
bb_fetch_pause(struct bb_fetch *f)
{
    bb_stream_pause(f->link->stream);
}

/* Continues reading the answer. */
void
bb_fetch_resume(struct bb_fetch *f)
{
    bb_stream_resume(f->link->stream);
}

/* Gives a request up. */
void
bb_fetch_cancel(struct bb_fetch *f)
{
    struct link *l = f->link;

    l->fetch = NULL;
    destroy_link(l, bb_stream_reset);
    g_free(f);
}

/* Returns the name of a result for logs. */
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
    case BB_FETCH_GARBLED:
        return "garbled";
    }
    return "unknown";
}
