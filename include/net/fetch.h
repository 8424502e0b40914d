/* HTTP/1.1 client on a pool of kept connections, one request at a time on
 * each. */
#ifndef BB_NET_FETCH_H
#define BB_NET_FETCH_H

#include "net/http.h"
#include "net/stream.h"

enum bb_fetch_result {
    BB_FETCH_COMPLETE,
    BB_FETCH_NOT_CONNECTED, /* nothing was sent */
    BB_FETCH_LOST,          /* the connection ended before an answer */
    BB_FETCH_TRUNCATED,     /* it ended within an answer */
    BB_FETCH_GARBLED        /* the bytes are no answer */
};

struct bb_fetch;
struct bb_pool;

struct bb_fetch_events {
    /* Returns false for an answer that belongs to another request; it is
     * skipped, and the next one is read. */
    bool (*head)(void *context, const struct bb_head *h);
    void (*body)(void *context, const char *data, size_t size_bytes);
    /* The last event; the fetch is gone when it returns. */
    void (*done)(void *context, enum bb_fetch_result result);
    void (*drained)(void *context); /* of the request body; may be NULL */
};

struct bb_pool_settings {
    uint32_t connect_timeout_ms;
    /* Longest idle time after which a connection is used again where the
     * peer does not state its own timeout. */
    uint32_t idle_max_ms;
};

struct bb_fetch_request {
    struct bb_address to;
    const GString *head;
    const char *body;
    size_t body_bytes;
    bool is_body_complete;
    bool is_head_method;
    /* A kept connection that was idle for longer is not used; 0: any. */
    uint32_t idle_max_ms;
};

struct bb_pool *bb_pool_create(uv_loop_t *loop,
                               const struct bb_pool_settings *settings);
void bb_pool_destroy(struct bb_pool *p);
void bb_pool_forget(struct bb_pool *p, const struct bb_address *to);
struct bb_fetch *bb_fetch_start(struct bb_pool *p,
                                const struct bb_fetch_request *r,
                                const struct bb_fetch_events *events,
                                void *context);
void bb_fetch_send_body(struct bb_fetch *f, const char *data,
                        size_t size_bytes, bool is_last);
size_t bb_fetch_queued_bytes(const struct bb_fetch *f);
void bb_fetch_pause(struct bb_fetch *f);
void bb_fetch_resume(struct bb_fetch *f);
/* Closes the connection, which tells the peer to stop; no event follows. */
void bb_fetch_cancel(struct bb_fetch *f);
const char *bb_fetch_result_name(enum bb_fetch_result result);

#endif
