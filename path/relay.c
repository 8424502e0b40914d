/* Passes messages on between two connections. */
#include "path/relay.h"

#include <string.h>
#include <strings.h>

static const char own_prefix[] = "Baobab-";

/* Prepares an empty relay. */
void
bb_relay_init(struct bb_relay *r)
{
    memset(r, 0, sizeof(*r));
    r->fields = g_string_new(NULL);
    r->body = g_string_new(NULL);
}

/* Frees what a relay holds. */
void
bb_relay_clear(struct bb_relay *r)
{
    if (r->fields != NULL) {
        g_string_free(r->fields, TRUE);
        g_string_free(r->body, TRUE);
        r->fields = NULL;
        r->body = NULL;
    }
}

/* Drops a collected answer, so that another one can take its place. */
void
bb_relay_reset(struct bb_relay *r)
{
    r->status = 0;
    g_string_truncate(r->fields, 0);
    g_string_truncate(r->body, 0);
}

/* Returns whether a name is in a list that ends with NULL. */
static bool
is_listed(const char *const *list, const char *name)
{
    for (; list != NULL && *list != NULL; list++) {
        if (strcasecmp(*list, name) == 0) {
            return true;
        }
    }
    return false;
}

void
bb_forward_fields(const struct bb_head *h, const char *const *without,
                  GString *out)
{
    for (uint32_t i = 0; i < h->field_count; i++) {
        const char *name = h->text->str + h->fields[i].name;
        const char *value = h->text->str + h->fields[i].value;

        if (bb_head_is_hop_by_hop(h, name) || is_listed(without, name) ||
            strncasecmp(name, own_prefix, sizeof(own_prefix) - 1) == 0) {
            continue;
        }
        g_string_append(out, name);
        g_string_append(out, ": ");
        g_string_append(out, value);
        g_string_append(out, "\r\n");
    }
}

/* Writes the request line as it came. */
void
bb_forward_request_line(const struct bb_head *h, GString *out)
{
    g_string_append_printf(out, "%s %s HTTP/1.1\r\n",
                           http_method_str(h->method), bb_head_target(h));
}

/* Returns whether the body of a request is passed on in chunks: its length is
 * not known yet. */
bool
bb_forward_is_chunked(const struct bb_exchange *x)
{
    return !x->is_body_complete && !x->head.has_length;
}

/* Writes the field that frames the body of a request. */
void
bb_forward_length(const struct bb_exchange *x, GString *out)
{
    if (bb_forward_is_chunked(x)) {
        g_string_append(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (x->head.has_length) {
        g_string_append_printf(out,
                               "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                               x->head.length_bytes);
    }
    else if (x->head.is_chunked || x->body->len > 0) {
        g_string_append_printf(out,
                               "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                               (guint64)x->body_bytes);
    }
}

/* Frames a piece of a body; size 0 is the last one. */
static void
append_chunk(const char *data, size_t size_bytes, GString *out)
{
    g_string_append_printf(out, "%zx\r\n", size_bytes);
    if (size_bytes > 0) {
        g_string_append_len(out, data, (gssize)size_bytes);
    }
    g_string_append(out, "\r\n");
}

/* Sends what has arrived of a long request body, and lets its sender wait
 * while much of it is queued. */
void
bb_forward_body(struct bb_exchange *x, struct bb_fetch *f, bool is_chunked)
{
    bool is_last = x->is_body_complete;

    if (is_chunked) {
        GString *framed = g_string_new(NULL);

        if (x->body->len > 0) {
            append_chunk(x->body->str, x->body->len, framed);
        }
        if (is_last) {
            append_chunk(NULL, 0, framed);
        }
        bb_fetch_send_body(f, framed->str, framed->len, is_last);
        g_string_free(framed, TRUE);
    }
    else {
        bb_fetch_send_body(f, x->body->str, x->body->len, is_last);
    }
    g_string_truncate(x->body, 0);
    if (bb_fetch_queued_bytes(f) > BB_STREAM_HIGH_WATER_BYTES) {
        bb_exchange_pause(x);
    }
}

/* Takes the head of an answer. */
void
bb_relay_take_head(struct bb_relay *r, const struct bb_head *h,
                   bool is_headless)
{
    bb_relay_reset(r);
    r->status = h->status;
    r->is_headless = is_headless;
    r->length_bytes = h->has_length ? (int64_t)h->length_bytes : -1;
    bb_forward_fields(h, NULL, r->fields);
}

/* Sends a piece of a long answer. */
static void
send_piece(struct bb_relay *r, struct bb_exchange *x, const char *data,
           size_t size_bytes)
{
    GString *piece;

    if (r->length_bytes >= 0) {
        bb_exchange_send(x, data, size_bytes);
        return;
    }
    piece = g_string_sized_new(size_bytes + 16);
    append_chunk(data, size_bytes, piece);
    bb_exchange_send(x, piece->str, piece->len);
    g_string_free(piece, TRUE);
}

/* Takes a piece of the body. Returns whether the answer has begun to go out,
 * after which it can no longer be replaced. */
bool
bb_relay_take_body(struct bb_relay *r, struct bb_exchange *x, const char *data,
                   size_t size_bytes)
{
    if (!r->is_streaming) {
        g_string_append_len(r->body, data, (gssize)size_bytes);
        if (r->body->len <= BB_RELAY_COLLECT_BYTES) {
            return false;
        }
        r->is_streaming = true;
        bb_exchange_start(x, r->status, r->fields, r->length_bytes);
        send_piece(r, x, r->body->str, r->body->len);
        g_string_truncate(r->body, 0);
        return true;
    }
    send_piece(r, x, data, size_bytes);
    return true;
}

/* Ends a complete answer; the exchange must not be used afterwards. */
void
bb_relay_finish(struct bb_relay *r, struct bb_exchange *x)
{
    if (r->is_streaming) {
        if (r->length_bytes < 0) {
            bb_exchange_send(x, "0\r\n\r\n", 5);
        }
        bb_exchange_end(x);
        return;
    }
    if (r->is_headless) {
        bb_exchange_start(x, r->status, r->fields,
                          r->length_bytes >= 0 ? r->length_bytes : 0);
        bb_exchange_end(x);
        return;
    }
    bb_exchange_answer(x, r->status, r->fields, r->body->str, r->body->len);
}
