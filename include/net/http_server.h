/* HTTP/1.1 server connections with ordered answers to pipelined requests.
 *
 * A handler gets each request as a bb_exchange. It answers with
 * bb_exchange_start, _send and _end, or with bb_exchange_answer. After
 * bb_exchange_end, bb_exchange_abort or the `gone` event the exchange belongs
 * to the server again and must not be used. */
#ifndef BB_NET_HTTP_SERVER_H
#define BB_NET_HTTP_SERVER_H

#include "net/http.h"
#include "net/stream.h"

enum {
    /* Requests of one connection that are worked on at a time. */
    BB_SERVER_PIPELINE_MAX = 32,
    /* A body up to here is collected before the handler is called, so that
     * the request can be sent again elsewhere. */
    BB_SERVER_COLLECT_BYTES = 256 * 1024,
    /* How long an answered connection whose request was not read in full is
     * drained, so that the close does not reset the answer away. */
    BB_SERVER_LINGER_MS = 1000
};

struct bb_server_limits {
    uint32_t head_bytes;
    uint32_t head_timeout_ms;
    uint32_t idle_timeout_ms;
    uint64_t body_bytes;
};

struct bb_server;
struct bb_server_connection;

struct bb_exchange {
    struct bb_server_connection *connection;
    struct bb_head head;
    GString *body;
    uint64_t body_bytes; /* received so far */
    uint64_t arrived_us; /* when the head was complete */
    bool is_body_complete;
    bool is_begun;   /* the handler knows it */
    bool is_started; /* the head of the answer is written */
    bool is_ended;
    bool closes;     /* the answer ends the connection */
    bool is_aborted; /* the connection ends without a whole answer */
    GString *output; /* waits for the answers before it */
    void *user;
};

/* What is not needed may be NULL; requests then never overlap. */
struct bb_server_handler {
    /* Whether the request may run before earlier ones of its connection are
     * answered. */
    bool (*may_overlap)(void *context, const struct bb_head *h);
    /* The body is complete or longer than BB_SERVER_COLLECT_BYTES. */
    void (*begin)(void *context, struct bb_exchange *x);
    /* More of a long body was appended to x->body. */
    void (*body)(void *context, struct bb_exchange *x);
    void (*drained)(void *context, struct bb_exchange *x);
    /* The peer left; only after begin and before the answer has ended. */
    void (*gone)(void *context, struct bb_exchange *x);
};

struct bb_server *bb_server_create(uv_loop_t *loop,
                                   const struct bb_address *at,
                                   const struct bb_server_handler *handler,
                                   void *context, struct bb_error *e);
void bb_server_set_limits(struct bb_server *s,
                          const struct bb_server_limits *limits);
/* Every answer from now on closes its connection; idle ones stay open for
 * requests that are on their way. */
void bb_server_drain(struct bb_server *s);
uint32_t bb_server_busy_count(const struct bb_server *s);
void bb_server_destroy(struct bb_server *s);

void bb_exchange_start(struct bb_exchange *x, uint32_t status,
                       const GString *fields, int64_t length_bytes);
void bb_exchange_send(struct bb_exchange *x, const char *data,
                      size_t size_bytes);
void bb_exchange_end(struct bb_exchange *x);
void bb_exchange_abort(struct bb_exchange *x);
void bb_exchange_answer(struct bb_exchange *x, uint32_t status,
                        const GString *fields, const char *body,
                        size_t size_bytes);
size_t bb_exchange_queued_bytes(const struct bb_exchange *x);
/* Backpressure on a long request body. */
void bb_exchange_pause(struct bb_exchange *x);
void bb_exchange_resume(struct bb_exchange *x);

#endif
