/* Passes requests and responses on between two connections. */
#include "path/relay.h"

#include <string.h>
#include <strings.h>

#include "net/buffers.h"

static const char baobab_prefix[] = "Baobab-";

/* Initialises an empty relay; bb_response_relay_clear frees its buffers. */
void
bb_response_relay_init(struct bb_response_relay *r)
{
    memset(r, 0, sizeof(*r));
    r->fields = g_string_new(NULL);
    r->body = g_string_new(NULL);
}

/* Frees what is buffered of the body. */
static void
drop_body(struct bb_response_relay *r)
{
    bb_buffers_remove(r->body->len);
    g_string_free(r->body, TRUE);
    r->body = g_string_new(NULL);
}

/* Frees the buffers of a relay; allowed more than once. */
void
bb_response_relay_clear(struct bb_response_relay *r)
{
    if (r->fields != NULL) {
        bb_buffers_remove(r->body->len);
        g_string_free(r->fields, TRUE);
        g_string_free(r->body, TRUE);
        r->fields = NULL;
        r->body = NULL;
    }
}

/* Drops a buffered response, so that another one can replace it. Not for one
 * that is being streamed: is_streaming and length_bytes stay. */
void
bb_response_relay_reset(struct bb_response_relay *r)
{
    r->status = 0;
    r->body_bytes = 0;
    g_string_truncate(r->fields, 0);
    drop_body(r);
}

/* Returns whether a name is in a list that ends with NULL or is NULL itself.
 * Upper and lower case are the same. */
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

/* Appends the end-to-end fields of a message to `out`, except the internal
 * ones (Baobab-) and those in `excluded`. */
void
bb_forward_fields(const struct bb_http_head *h, const char *const *excluded,
                  GString *out)
{
    for (uint32_t i = 0; i < h->field_count; i++) {
        const char *name = h->text->str + h->fields[i].name_offset;
        const char *value = h->text->str + h->fields[i].value_offset;

        if (bb_http_head_is_hop_by_hop(h, name) || is_listed(excluded, name) ||
            strncasecmp(name, baobab_prefix, sizeof(baobab_prefix) - 1) == 0) {
            continue;
        }
        g_string_append(out, name);
        g_string_append(out, ": ");
        g_string_append(out, value);
        g_string_append(out, "\r\n");
    }
}

/* Appends the request line with the received method and target. */
void
bb_forward_request_line(const struct bb_http_head *h, GString *out)
{
    g_string_append_printf(out, "%s %s HTTP/1.1\r\n",
                           http_method_str(h->method), bb_http_head_target(h));
}

/* Returns whether the body of a request is passed on with chunked framing,
 * since its length is not known yet. */
bool
bb_forward_is_chunked(const struct bb_http_exchange *x)
{
    return !x->is_body_complete && !x->head.has_content_length;
}

/* Appends the field that frames the body of a request, if it has one. */
void
bb_forward_framing(const struct bb_http_exchange *x, GString *out)
{
    if (bb_forward_is_chunked(x)) {
        g_string_append(out, "Transfer-Encoding: chunked\r\n");
    }
    else if (x->head.has_content_length) {
        g_string_append_printf(out,
                               "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                               x->head.content_length);
    }
    else if (x->head.is_chunked || x->body->len > 0) {
        g_string_append_printf(out,
                               "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                               (guint64)x->body_bytes);
    }
}

/* Appends a chunk of a body; size 0 makes the last one. */
static void
append_chunk(const char *data, size_t size_bytes, GString *out)
{
    g_string_append_printf(out, "%zx\r\n", size_bytes);
    if (size_bytes > 0) {
        g_string_append_len(out, data, (gssize)size_bytes);
    }
    g_string_append(out, "\r\n");
}

/* Sends the received part of a streamed request body to the fetch and drops it
 * from the exchange. Pauses the exchange if more than
 * BB_STREAM_HIGH_WATER_BYTES are then queued; the caller resumes it when the
 * fetch reports output_drained. */
void
bb_forward_body(struct bb_http_exchange *x, struct bb_fetch *f,
                bool is_chunked)
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
    bb_http_exchange_drop_body(x);
    if (bb_fetch_queued_bytes(f) > BB_STREAM_HIGH_WATER_BYTES) {
        bb_http_exchange_pause(x);
    }
}

/* Starts a new response with its head. is_head_response: the request was
 * HEAD. */
void
bb_response_relay_set_head(struct bb_response_relay *r,
                           const struct bb_http_head *h, bool is_head_response)
{
    bb_response_relay_reset(r);
    r->status = h->status;
    r->is_head_response = is_head_response;
    r->length_bytes = h->has_content_length ? (int64_t)h->content_length
                                            : BB_HTTP_LENGTH_CHUNKED;
    bb_forward_fields(h, NULL, r->fields);
}

/* Sends a part of a streamed response, as a chunk if its length is unknown. */
static void
send_body_part(struct bb_response_relay *r, struct bb_http_exchange *x,
               const char *data, size_t size_bytes)
{
    GString *chunk;

    if (r->length_bytes >= 0) {
        bb_http_exchange_send_body(x, data, size_bytes);
        return;
    }
    chunk = g_string_sized_new(size_bytes + 16);
    append_chunk(data, size_bytes, chunk);
    bb_http_exchange_send_body(x, chunk->str, chunk->len);
    g_string_free(chunk, TRUE);
}

/* Returns how many bytes of a response are buffered before it is streamed. */
static size_t
buffer_max_bytes(const struct bb_http_exchange *x)
{
    return bb_http_exchange_is_followed(x) && !bb_buffers_are_full()
               ? BB_RESPONSE_RELAY_FOLLOWED_BYTES
               : BB_RESPONSE_RELAY_BUFFER_BYTES;
}

/* Buffers or sends a part of the body. Returns whether the response is being
 * streamed, after which it can no longer be replaced. */
bool
bb_response_relay_append_body(struct bb_response_relay *r,
                              struct bb_http_exchange *x, const char *data,
                              size_t size_bytes)
{
    r->body_bytes += size_bytes;
    if (!r->is_streaming) {
        g_string_append_len(r->body, data, (gssize)size_bytes);
        bb_buffers_add(size_bytes);
        if (r->body->len <= buffer_max_bytes(x)) {
            return false;
        }
        r->is_streaming = true;
        bb_http_exchange_start_response(x, r->status, r->fields,
                                        r->length_bytes);
        send_body_part(r, x, r->body->str, r->body->len);
        drop_body(r);
        return true;
    }
    send_body_part(r, x, data, size_bytes);
    return true;
}

/* Returns whether a response is too long to be buffered until it is complete,
 * as far as it has arrived. */
bool
bb_response_relay_is_long(const struct bb_response_relay *r)
{
    return r->body_bytes > BB_RESPONSE_RELAY_FOLLOWED_BYTES;
}

/* Sends the rest of a complete response; the exchange must not be used
 * afterwards. */
void
bb_response_relay_finish(struct bb_response_relay *r,
                         struct bb_http_exchange *x)
{
    if (r->is_streaming) {
        if (r->length_bytes < 0) {
            bb_http_exchange_send_body(x, "0\r\n\r\n", 5);
        }
        bb_http_exchange_end(x);
        return;
    }
    if (r->is_head_response) {
        bb_http_exchange_start_response(x, r->status, r->fields,
                                        r->length_bytes >= 0 ? r->length_bytes
                                                             : 0);
        bb_http_exchange_end(x);
        return;
    }
    bb_http_exchange_respond(x, r->status, r->fields, r->body->str,
                             r->body->len);
}
