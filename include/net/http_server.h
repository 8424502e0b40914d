/* HTTP/1.1 server. Responses to pipelined requests are sent in the order of
 * the requests.
 *
 * A handler receives each request as a bb_http_exchange. It responds with
 * bb_http_exchange_start_response, bb_http_exchange_send_body and
 * bb_http_exchange_end, or with bb_http_exchange_respond. After
 * bb_http_exchange_end, bb_http_exchange_abort or bb_http_exchange_respond, or
 * after the last callback of bb_http_server_handler, the exchange belongs to
 * the server again and must not be used.
 *
 * Times in microseconds are on the monotonic clock (bb_clock_now_us). */
#ifndef BB_NET_HTTP_SERVER_H
#define BB_NET_HTTP_SERVER_H

#include "net/http.h"
#include "net/stream.h"

enum {
    /* Requests of one connection that may be without a complete response at a
     * time. */
    BB_HTTP_SERVER_PIPELINE_MAX = 32,
    /* Bytes of a body that are buffered before the handler is called, unless
     * the body is complete earlier. A request with a shorter body can be sent
     * again elsewhere. */
    BB_HTTP_SERVER_BODY_BUFFER_BYTES = 256 * 1024,
    /* Longest wait for the peer to close after it has taken the last response
     * of a connection. */
    BB_HTTP_SERVER_LINGER_MS = 1000,
    /* Longest time in which the peer takes no byte of a complete response,
     * before its rest is dropped. */
    BB_HTTP_SERVER_WRITE_TIMEOUT_MS = 10000
};

/* Length of a body that is sent in chunks. */
enum { BB_HTTP_LENGTH_CHUNKED = -1 };

/* Limits of requests, all above 0. Received bytes restart idle_timeout_ms
 * only. Neither timeout runs while a request of the connection is in progress
 * or its response is being sent. */
struct bb_http_server_limits {
    /* Longest head; a longer one gets status 431. Default: 32 KiB. */
    uint32_t request_head_max_bytes;
    /* From the first byte of a head to its end; a slower one gets status 408.
     * Default: 10 s. */
    uint32_t head_timeout_ms;
    /* Between requests, and between the pieces of the body of a request that
     * the handler has not got yet, which gets status 408 then. Default: 60 s.
     */
    uint32_t idle_timeout_ms;
    /* Longest body; a longer one gets status 413. Default: 64 MiB. */
    uint64_t request_body_max_bytes;
};

/* Why a connection ends. */
enum bb_http_server_close_reason {
    BB_HTTP_SERVER_PEER_CLOSED, /* or the connection failed */
    BB_HTTP_SERVER_IDLE_TIMEOUT,
    BB_HTTP_SERVER_WRITE_TIMEOUT,    /* BB_HTTP_SERVER_WRITE_TIMEOUT_MS */
    BB_HTTP_SERVER_LINGER_TIMEOUT,   /* BB_HTTP_SERVER_LINGER_MS */
    BB_HTTP_SERVER_CLOSING_RESPONSE, /* an earlier response said so */
    BB_HTTP_SERVER_ABORTED_RESPONSE, /* an earlier response broke off */
    BB_HTTP_SERVER_UNREADABLE_BODY,  /* malformed or too long */
    BB_HTTP_SERVER_STOPPED           /* the server is destroyed */
};

/* What is open at a server. */
struct bb_http_server_open {
    uint32_t connections;
    uint32_t closing;    /* of these, after their last response */
    uint32_t receiving;  /* requests whose head or body is incomplete */
    uint32_t waiting;    /* received, but not yet passed to the handler */
    uint32_t running;    /* passed to the handler, without a response */
    uint32_t answered;   /* response complete, behind an earlier one */
    size_t unsent_bytes; /* of responses, not yet taken by the peers */
};

struct bb_http_server;
struct bb_http_server_connection;

/* A request and its response. */
struct bb_http_exchange {
    struct bb_http_server_connection *connection;
    struct bb_http_head head;
    GString *body; /* received bytes that bb_http_exchange_drop_body has not
                      dropped */
    size_t counted_body_bytes; /* of them, in the account of net/buffers.h */
    uint64_t body_bytes;       /* received so far */
    uint64_t body_max_bytes;   /* request_body_max_bytes when it began */
    uint64_t received_us;      /* when the head was complete */
    bool is_body_complete;
    bool is_dispatched;       /* the handler was called */
    bool is_response_started; /* the head of the response was written or queued
                               */
    bool is_response_ended;   /* the response is complete or aborted */
    bool closes_connection;   /* the connection closes after the response */
    bool awaits_continue;     /* the peer sends the body after status 100 */
    bool is_paused;           /* the handler wants no more of the body yet */
    bool is_aborted; /* the connection is reset without a complete response */
    bool expects_long_response; /* set by the handler: no later request of the
                                   connection starts before the response is
                                   complete */
    GString *pending_head;      /* queued until earlier responses are written;
                                   lacks the connection field and the end */
    GString *pending_output;    /* likewise, of the body */
    uint64_t output_offset; /* of the response in the connection's output */
    void *user_data;        /* for the handler */
};

/* Callbacks for requests. Only the one that starts a request is required.
 * Without may_overlap a request starts only after the responses to earlier
 * ones of its connection are complete. */
struct bb_http_server_handler {
    /* Returns whether the request may start before the responses to earlier
     * ones of its connection are complete. None starts while one of these is
     * being written, as it would be dropped if that one breaks off. */
    bool (*may_overlap)(void *context, const struct bb_http_head *h);
    /* Starts a request once its body is complete or
     * BB_HTTP_SERVER_BODY_BUFFER_BYTES of it have arrived. */
    void (*request)(void *context, struct bb_http_exchange *x);
    /* More of the body of a started request was appended to x->body, or it is
     * now complete. */
    void (*body_received)(void *context, struct bb_http_exchange *x);
    /* All queued bytes of the response were written. */
    void (*output_drained)(void *context, struct bb_http_exchange *x);
    /* The connection was closed, by either side, before the response to a
     * started request was complete, or the server has rejected the request
     * because of its body. This is the last callback for it. */
    void (*disconnected)(void *context, struct bb_http_exchange *x,
                         enum bb_http_server_close_reason reason);
};

struct bb_http_server *
bb_http_server_create(uv_loop_t *loop, const struct bb_address *at,
                      const struct bb_http_server_handler *handler,
                      void *context, struct bb_error *e);
void bb_http_server_set_log_names(struct bb_http_server *s, const char *name,
                                  const char *request_id_field);
void bb_http_server_set_rejection_fields(struct bb_http_server *s,
                                         const char *fields);
void bb_http_server_set_limits(struct bb_http_server *s,
                               const struct bb_http_server_limits *limits);
void bb_http_server_disable_keep_alive(struct bb_http_server *s);
struct bb_http_server_open
bb_http_server_count_open(const struct bb_http_server *s);
void bb_http_server_destroy(struct bb_http_server *s);

/* length_bytes is that of the body, or BB_HTTP_LENGTH_CHUNKED. In the latter
 * case the caller frames the chunks, and sends the last one before
 * bb_http_exchange_end. */
void bb_http_exchange_start_response(struct bb_http_exchange *x,
                                     uint32_t status, const GString *fields,
                                     int64_t length_bytes);
void bb_http_exchange_send_body(struct bb_http_exchange *x, const char *data,
                                size_t size_bytes);
void bb_http_exchange_end(struct bb_http_exchange *x);
void bb_http_exchange_abort(struct bb_http_exchange *x);
void bb_http_exchange_respond(struct bb_http_exchange *x, uint32_t status,
                              const GString *fields, const char *body,
                              size_t size_bytes);
bool bb_http_exchange_is_followed(const struct bb_http_exchange *x);
bool bb_http_exchange_has_room(const struct bb_http_exchange *x);
void bb_http_exchange_drop_body(struct bb_http_exchange *x);
void bb_http_exchange_pause(struct bb_http_exchange *x);
void bb_http_exchange_resume(struct bb_http_exchange *x);

#endif
