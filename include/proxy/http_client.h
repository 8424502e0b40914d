/* HTTP/1.1 client for other nodes and the upstream. neon sessions are pooled
 * by peer; each is a single connection with one request at a time, so
 * responses cannot be swapped. neon blocks, so calls run on workers. The
 * waiting side can leave at its own deadline, after which the worker discards
 * the late response and closes the session.
 *
 * Times ending in _us are those of bb_clock_now_us.
 *
 * Lock order: the locks of the notifier and of the client are leaves. */
#ifndef BB_PROXY_HTTP_CLIENT_H
#define BB_PROXY_HTTP_CLIENT_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "proxy/body.h"
#include "proxy/headers.h"
#include "proxy/workers.h"

/* A reference-counted mutex and condition variable, on which a request waits
 * for its HTTP calls. */
struct bb_notifier;

struct bb_notifier *bb_notifier_create(void);
struct bb_notifier *bb_notifier_ref(struct bb_notifier *n);
void bb_notifier_unref(struct bb_notifier *n);
void bb_notifier_lock(struct bb_notifier *n);
void bb_notifier_unlock(struct bb_notifier *n);
void bb_notifier_signal(struct bb_notifier *n);
bool bb_notifier_wait(struct bb_notifier *n, uint64_t deadline_us);

enum bb_http_call_state {
    BB_HTTP_CALL_STARTED,
    BB_HTTP_CALL_SENDING_BODY,  /* the peer accepts the body */
    BB_HTTP_CALL_HEAD_RECEIVED, /* status and fields are set */
    BB_HTTP_CALL_NOT_CONNECTED, /* no connection could be opened */
    BB_HTTP_CALL_LOST           /* connected, but there will be no response */
};

struct bb_http_call;

/* Called exactly once for each call that bb_http_call_start returned, on the
 * thread that runs the call, when the peer is done with the request: before a
 * short response or a failure is reported, and after the last byte of a long
 * response. is_connected is false if no connection could be opened, so nothing
 * was sent; is_complete is true if the response is complete. body_copy is a
 * copy of its body, or NULL if it is too long or incomplete; the callback may
 * take over its contents. */
typedef void (*bb_http_call_finished_callback)(void *context,
                                               const struct bb_http_call *call,
                                               bool is_connected,
                                               bool is_complete,
                                               GByteArray *body_copy);

struct bb_http_call_params {
    struct bb_address peer_address;
    const char *method;
    const char *url;
    struct bb_headers *headers; /* taken over by the call */
    struct bb_body *body;       /* NULL: no body */
    int64_t length_bytes;       /* of the body, or BB_LENGTH_CHUNKED */
    bool is_replayable;         /* the body is complete in its ring buffer */
    bool expect_continue; /* let the peer refuse before the body is sent */
    bool use_new_connection;
    bool crosses_link; /* the paid link to another region */
    bool is_inline;    /* the caller runs it with bb_http_call_run_inline */
    bool must_read_to_end;   /* even if nobody waits for it */
    uint32_t copy_max_bytes; /* longest response body copied for on_finished */
    bb_http_call_finished_callback on_finished; /* may be NULL */
    void *finished_context;
    /* Of each wait for the peer, at least 1. A pooled session keeps the value
     * of its first call. */
    uint32_t read_timeout_s;
    uint32_t idle_timeout_ms; /* of each wait for a body's other end */
    uint32_t depth; /* nesting depth of the call, for the limits of workers */
};

/* An HTTP call. The notifier's lock guards state and is_body_consumed; the
 * rest is fixed once the state is BB_HTTP_CALL_HEAD_RECEIVED. */
struct bb_http_call {
    atomic_bool is_response_arriving; /* a short response is being read */
    atomic_bool is_state_final;       /* state is final, the body may go on */
    enum bb_http_call_state state;
    /* Sending has begun, so a streamed body cannot be sent again. */
    bool is_body_consumed;
    uint32_t status;
    struct bb_headers *headers;
    struct bb_body *response_body;
    int64_t response_length_bytes; /* BB_LENGTH_CHUNKED if unknown */
};

struct bb_http_client;

struct bb_http_client *bb_http_client_create(struct bb_workers *workers);
void bb_http_client_destroy(struct bb_http_client *c);
void bb_http_client_close_idle(struct bb_http_client *c,
                               const struct bb_address *peer);
struct bb_http_call *
bb_http_call_start(struct bb_http_client *c,
                   const struct bb_http_call_params *params,
                   struct bb_notifier *notifier, uint64_t deadline_us);
void bb_http_call_run_inline(struct bb_http_call *call);
void bb_http_call_release(struct bb_http_call *call);

#endif
