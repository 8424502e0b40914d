/* A proxied request: its head, its body as it arrives, and its response.
 * libmicrohttpd calls these functions from the connection's own thread, which
 * may block. */
#include "common/clock.h"
#include "proxy/internal.h"

enum {
    MS_PER_S = 1000,
    /* The body of a refused request is read and discarded up to this size,
     * since closing the connection earlier could reset it and lose the
     * refusal. */
    DISCARD_MAX_BYTES = 1024 * 1024
};

/* Creates an exchange for a request target. bb_exchange_process adds the head.
 */
struct bb_exchange *
bb_exchange_create(struct bb_proxy *p, const char *url)
{
    struct bb_exchange *x = g_new0(struct bb_exchange, 1);

    x->proxy = p;
    x->url = g_strdup(url);
    x->headers = bb_headers_create();
    x->notifier = bb_notifier_create();
    x->idle_timeout_ms = p->settings.idle_timeout_ms;
    return x;
}

/* Ends an exchange, complete or aborted, and frees it. */
void
bb_exchange_destroy(struct bb_exchange *x)
{
    if (x->body != NULL) {
        bb_body_break(x->body); /* no effect on a complete body */
    }
    bb_exchange_release_attempts(x);
    bb_body_unref(x->body);
    bb_notifier_unref(x->notifier);
    bb_headers_destroy(x->headers);
    bb_table_unref(x->table);
    if (x->is_counted_in_flight) {
        (void)atomic_fetch_sub(&x->proxy->in_flight, 1);
    }
    g_free(x->method);
    g_free(x->url);
    g_free(x);
}

/* Sets the outcome to a refusal. Once an attempt may have run, ran must be
 * BB_RAN_UNKNOWN, which bb_exchange_refuse_as_entry takes care of. */
void
bb_exchange_refuse(struct bb_exchange *x, enum bb_reason reason,
                   enum bb_ran ran)
{
    x->outcome = (struct bb_outcome){
        .kind = BB_OUTCOME_REFUSED, .reason = reason, .ran = ran};
}

/* Enables or disables the connection's idle timeout. It is disabled while the
 * connection's thread is busy, because the library would count that as idle.
 */
static void
set_idle_timeout(struct bb_exchange *x, bool is_on)
{
    unsigned seconds =
        is_on ? (x->idle_timeout_ms + MS_PER_S - 1) / MS_PER_S : 0;

    (void)MHD_set_connection_option(x->connection,
                                    MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

/* Runs attempts with the connection's idle timeout disabled. */
static void
run_attempts(struct bb_exchange *x, bool until_sending)
{
    set_idle_timeout(x, false);
    bb_exchange_run_attempts(x, until_sending);
    set_idle_timeout(x, true);
}

/* Responds to a request that is refused or completed before its body was read.
 * A body of unknown length or of up to DISCARD_MAX_BYTES is discarded first,
 * unless the request is malformed. */
static enum MHD_Result
respond_early(struct bb_exchange *x)
{
    bool is_malformed = x->outcome.reason == BB_REASON_BAD_REQUEST;

    if (x->length_bytes == 0 || is_malformed ||
        x->length_bytes > DISCARD_MAX_BYTES) {
        return bb_exchange_respond(x);
    }
    x->is_discarding = true;
    return MHD_YES;
}

/* Called when the head has arrived. A request whose body does not fit into the
 * ring buffer is streamed, and admitted now so that a refusal comes before the
 * caller has sent the body. */
static enum MHD_Result
start_request(struct bb_exchange *x, const char *method)
{
    /* A forwarded request usually runs on this thread (is_inline), so no
     * worker is woken for it. */
    if (MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND,
                                    BB_HEADER_FORWARDED) == NULL) {
        bb_workers_wake_early(x->proxy->workers);
    }
    x->start_us = bb_clock_now_us();
    x->table = bb_current_table_get(x->proxy->current_table);
    (void)atomic_fetch_add(&x->proxy->in_flight, 1);
    x->is_counted_in_flight = true;
    bb_request_parse_head(x, method);
    if (x->outcome.kind == BB_OUTCOME_NONE && x->length_bytes != 0) {
        x->body = bb_body_create();
        x->is_streaming =
            x->length_bytes < 0 || x->length_bytes > BB_BODY_CAPACITY_BYTES;
        if (x->is_streaming) {
            run_attempts(x, true);
        }
    }
    return x->outcome.kind != BB_OUTCOME_NONE ? respond_early(x) : MHD_YES;
}

/* Returns whether the body exceeds the configured limit. */
static bool
is_body_too_large(const struct bb_exchange *x)
{
    uint64_t max = x->table != NULL ? x->table->limits.max_body_bytes : 0;

    return max > 0 && x->received_bytes > max;
}

/* Called when part of the body has arrived. Returns MHD_NO to close the
 * connection. */
static enum MHD_Result
receive_body(struct bb_exchange *x, const char *data, size_t size)
{
    enum bb_body_write_result result;

    x->received_bytes += size;
    if (x->is_discarding) {
        return x->received_bytes <= DISCARD_MAX_BYTES ? MHD_YES : MHD_NO;
    }
    if (is_body_too_large(x)) {
        bb_body_break(x->body);
        bb_exchange_release_attempts(x);
        bb_exchange_refuse(x, BB_REASON_TOO_LARGE, BB_RAN_UNKNOWN);
        return MHD_NO;
    }
    set_idle_timeout(x, false);
    result = bb_body_write(x->body, data, size, x->idle_timeout_ms);
    set_idle_timeout(x, true);
    if (result == BB_BODY_WRITE_TIMEOUT) {
        bb_body_break(x->body);
        return MHD_NO;
    }
    /* The peer has responded or closed the connection early; the outcome
     * follows. */
    x->is_discarding = result == BB_BODY_ABANDONED;
    if (x->is_discarding) {
        x->received_bytes = 0;
    }
    return MHD_YES;
}

/* Processes one callback of the HTTP library: the head, part of the body, or
 * its end. Returns MHD_NO to close the connection. */
enum MHD_Result
bb_exchange_process(struct bb_exchange *x, struct MHD_Connection *connection,
                    const char *method, const char *data, size_t *size)
{
    if (x->connection == NULL) {
        x->connection = connection;
        return start_request(x, method);
    }
    if (*size > 0) {
        size_t count = *size;

        *size = 0;
        return receive_body(x, data, count);
    }
    if (x->body != NULL) {
        bb_body_finish(x->body);
    }
    if (x->outcome.kind == BB_OUTCOME_NONE) {
        run_attempts(x, false);
    }
    return bb_exchange_respond(x);
}
