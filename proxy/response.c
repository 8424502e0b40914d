/* Responses to callers and to other nodes. A body of unknown or large size is
 * streamed through the ring buffer. If it breaks, the connection is closed
 * without the final chunk, so that the receiver notices. */
#include <inttypes.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "proxy/internal.h"

enum { BLOCK_BYTES = 64 * 1024, BUFFERED_MAX_BYTES = 16 * 1024 };

BB_COUNTER(forwarded_total, "baobab_answers_total", "Answers passed on");
BB_COUNTER(broken_total, "baobab_answers_broken_total",
           "Answers that broke off after their head was sent");

/* A response body being streamed to the connection. */
struct body_stream {
    struct bb_body *body;
    uint32_t idle_timeout_ms;
};

/* Content reader of the HTTP library: provides the next part of the response
 * body. */
static ssize_t
read_stream(void *context, uint64_t position, char *out, size_t size)
{
    struct body_stream *s = context;
    ssize_t count = bb_body_read(s->body, out, size, s->idle_timeout_ms);

    (void)position;
    if (count > 0) {
        return count;
    }
    if (count == 0) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    bb_counter_add(&broken_total, 1);
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

/* Frees a stream and abandons its body, so that the writer stops. */
static void
free_stream(void *context)
{
    struct body_stream *s = context;

    bb_body_abandon(s->body);
    bb_body_unref(s->body);
    g_free(s);
}

/* Creates a response with a short, complete body. The library sends header and
 * body in one write. */
static struct MHD_Response *
create_buffered_response(struct bb_body *body, size_t size)
{
    char *data = g_malloc(size + 1);
    size_t count = 0;

    while (count < size) {
        ssize_t n = bb_body_read(body, data + count, size - count, 0);

        if (n <= 0) {
            break;
        }
        count += (size_t)n;
    }
    return MHD_create_response_from_buffer_with_free_callback(count, data,
                                                              g_free);
}

/* Creates the response from that of an HTTP call. */
static struct MHD_Response *
create_response(const struct bb_exchange *x, const struct bb_http_call *call)
{
    bool is_head = strcmp(x->method, "HEAD") == 0;
    uint64_t size = call->response_length_bytes >= 0
                        ? (uint64_t)call->response_length_bytes
                        : MHD_SIZE_UNKNOWN;
    struct body_stream *s;
    size_t body_bytes;

    if (!is_head && bb_body_is_complete(call->response_body, &body_bytes) &&
        body_bytes <= BUFFERED_MAX_BYTES) {
        return create_buffered_response(call->response_body, body_bytes);
    }
    s = g_new0(struct body_stream, 1);
    *s = (struct body_stream){
        .body = bb_body_ref(call->response_body),
        .idle_timeout_ms = x->idle_timeout_ms,
    };
    return MHD_create_response_from_callback(size, BLOCK_BYTES, read_stream, s,
                                             free_stream);
}

/* Adds a header field to a response. */
static void
add_header(void *context, const struct bb_header *h)
{
    (void)MHD_add_response_header(context, h->name, h->value);
}

/* Adds the proxy's own fields. Load and incarnation are sent to other nodes
 * only. */
static void
add_own_headers(const struct bb_exchange *x, struct MHD_Response *r)
{
    char text[BB_GATEKEEPER_LOAD_TEXT_BYTES];

    if (x->id_text[0] != '\0') {
        (void)MHD_add_response_header(r, BB_HEADER_ID, x->id_text);
    }
    (void)MHD_add_response_header(r, "Via", "1.1 baobab");
    if (atomic_load(&x->proxy->is_draining)) {
        (void)MHD_add_response_header(r, "Connection", "close");
    }
    if (x->is_forwarded) {
        (void)MHD_add_response_header(
            r, BB_HEADER_LOAD,
            bb_gatekeeper_format_load(x->proxy->gatekeeper, text));
        (void)g_snprintf(text, sizeof(text), "%" PRIu64,
                         x->proxy->settings.incarnation);
        (void)MHD_add_response_header(r, BB_HEADER_INCARNATION, text);
    }
}

/* Creates the response for a refusal, with its reason and whether the request
 * may have run. */
static struct MHD_Response *
create_refusal(const struct bb_exchange *x)
{
    const char *name = bb_reason_name(x->outcome.reason);
    const char *ran = x->outcome.ran == BB_RAN_NO ? "no" : "unknown";
    char *text = g_strdup_printf("refused: %s, ran: %s\n", name, ran);
    struct MHD_Response *r =
        MHD_create_response_from_buffer_with_free_callback(strlen(text), text,
                                                           g_free);

    bb_reason_count_refusal(x->outcome.reason, x->outcome.ran);
    (void)MHD_add_response_header(r, "Content-Type", "text/plain");
    (void)MHD_add_response_header(r, BB_HEADER_REFUSED, name);
    (void)MHD_add_response_header(r, BB_HEADER_RAN, ran);
    if (x->outcome.reason == BB_REASON_BAD_REQUEST) {
        (void)MHD_add_response_header(r, "Connection", "close");
    }
    return r;
}

/* Queues the response for the outcome of an exchange. Returns MHD_NO to close
 * the connection. */
enum MHD_Result
bb_exchange_respond(struct bb_exchange *x)
{
    struct MHD_Response *r = NULL;
    unsigned status = 0;
    enum MHD_Result result;

    switch (x->outcome.kind) {
    case BB_OUTCOME_RESPONSE:
        status = x->outcome.call->status;
        r = create_response(x, x->outcome.call);
        bb_headers_visit_end_to_end(x->outcome.call->headers, add_header, r);
        break;
    case BB_OUTCOME_STORED:
        status = x->outcome.stored->status;
        r = MHD_create_response_from_buffer(x->outcome.stored->body->len,
                                            x->outcome.stored->body->data,
                                            MHD_RESPMEM_MUST_COPY);
        bb_headers_visit_end_to_end(x->outcome.stored->headers, add_header, r);
        break;
    case BB_OUTCOME_REFUSED:
    case BB_OUTCOME_NONE:
        status = bb_reason_http_status(x->outcome.reason);
        r = create_refusal(x);
        break;
    }
    if (r == NULL) {
        return MHD_NO;
    }
    add_own_headers(x, r);
    bb_counter_add(&forwarded_total, 1);
    result = MHD_queue_response(x->connection, status, r);
    MHD_destroy_response(r);
    return result;
}
