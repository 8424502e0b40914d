/* HTTP/1.1 client with a pool of persistent connections, each of which carries
 * one request at a time. */
#ifndef BB_NET_FETCH_H
#define BB_NET_FETCH_H

#include "net/http.h"
#include "net/stream.h"

enum {
    /* Bytes of skipped responses before the connection is given up: room for
     * the responses that a peer confuses, and few enough to be read within
     * milliseconds, whatever the deadline of the request. */
    BB_FETCH_SKIPPED_MAX_BYTES = 1024 * 1024,
    /* Informational responses (1xx) that are skipped before the connection is
     * given up; servers send one or two. */
    BB_FETCH_INFORMATIONAL_MAX = 16
};

enum bb_fetch_result {
    BB_FETCH_COMPLETE,
    BB_FETCH_NOT_CONNECTED,  /* nothing was sent */
    BB_FETCH_LOST,           /* the connection ended or became unusable before
                                the response head, or skipped responses exceed
                                BB_FETCH_SKIPPED_MAX_BYTES or
                                BB_FETCH_INFORMATIONAL_MAX */
    BB_FETCH_TRUNCATED,      /* the connection ended or the bytes became
                                malformed within the response body */
    BB_FETCH_MALFORMED_HEAD, /* malformed bytes before the response head was
                               complete, also in a skipped response */
    BB_FETCH_INVALID_STATUS, /* a response with a status that is neither final
                                nor informational */
    BB_FETCH_DECLINED        /* bb_fetch_events.body declined the rest */
};

/* A request in progress. */
struct bb_fetch;
struct bb_connection_pool;

struct bb_fetch_events {
    /* The head of a response. Returns false if the response belongs to another
     * request; it is skipped, and the next one is read. If the connection
     * does not persist after it, or its length exceeds
     * BB_FETCH_SKIPPED_MAX_BYTES, the fetch ends at once with
     * BB_FETCH_LOST. */
    bool (*head)(void *context, const struct bb_http_head *h);
    /* A part of the body: what was received at once, with chunked coding
     * removed. Returns false to decline it and the rest: the connection is
     * closed, and the fetch ends with BB_FETCH_DECLINED. */
    bool (*body)(void *context, const char *data, size_t size_bytes);
    /* The last event. The fetch is already freed. */
    void (*done)(void *context, enum bb_fetch_result result);
    /* All queued bytes of the request were written; may be NULL. */
    void (*output_drained)(void *context);
};

struct bb_connection_pool_settings {
    uint32_t connect_timeout_ms;
    /* Longest idle time after which a connection is used again. 70 % of the
     * timeout in the peer's Keep-Alive field replaces it if that is less. */
    uint32_t idle_max_ms;
    /* Closes the connection after a response that has no body by its status
     * or as the response to HEAD: faulty peers send one all the same, which
     * would be read as the response to the next request. */
    bool closes_bodyless;
};

struct bb_fetch_request {
    struct bb_address address;
    const GString *head;   /* request line and fields, with the empty line */
    const char *body;      /* as much as is known, chunks already framed */
    size_t body_bytes;     /* may be 0 */
    bool is_body_complete; /* false: bb_fetch_send_body sends the rest */
    bool is_head_method;   /* the method is HEAD */
    /* Name of a field that only final responses have; an informational one
     * with it has an invalid status. NULL: none. The name must outlive the
     * fetch. */
    const char *final_field;
    uint32_t connect_timeout_ms; /* 0: that of the pool */
    /* A pooled connection that was idle for longer is not used; 0: no limit
     * for this request. */
    uint32_t idle_max_ms;
};

struct bb_connection_pool *
bb_connection_pool_create(uv_loop_t *loop,
                          const struct bb_connection_pool_settings *settings);
void bb_connection_pool_destroy(struct bb_connection_pool *p);
void bb_connection_pool_close_idle(struct bb_connection_pool *p,
                                   const struct bb_address *to);
struct bb_fetch *bb_fetch_start(struct bb_connection_pool *p,
                                const struct bb_fetch_request *r,
                                const struct bb_fetch_events *events,
                                void *context);
void bb_fetch_send_body(struct bb_fetch *f, const char *data,
                        size_t size_bytes, bool is_last);
size_t bb_fetch_queued_bytes(const struct bb_fetch *f);
void bb_fetch_pause(struct bb_fetch *f);
void bb_fetch_resume(struct bb_fetch *f);
bool bb_fetch_is_reused(const struct bb_fetch *f);
bool bb_fetch_is_connected(const struct bb_fetch *f);
void bb_fetch_cancel(struct bb_fetch *f);
const char *bb_fetch_result_name(enum bb_fetch_result result);

#endif
