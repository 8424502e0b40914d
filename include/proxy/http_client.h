/* HTTP/1.1 requests to other nodes and to the upstream: neon sessions pooled
 * by peer, each one connection with one request at a time, so answers cannot
 * be swapped. The blocking library runs on a worker; the side that waits for
 * the answer leaves at its own deadline, after which the worker discards the
 * late answer and closes the session.
 *
 * Lock order: a watch's lock comes before the locks of bodies and workers;
 * the client's lock is a leaf. */
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

/* Where the waiting side of one or more attempts sleeps. */
struct bb_notifier;

struct bb_notifier *bb_notifier_create(void);
struct bb_notifier *bb_notifier_ref(struct bb_notifier *w);
void bb_notifier_unref(struct bb_notifier *w);
void bb_notifier_lock(struct bb_notifier *w);
void bb_notifier_unlock(struct bb_notifier *w);
void bb_notifier_signal(struct bb_notifier *w);
bool bb_notifier_wait(struct bb_notifier *w, uint64_t end_us);

enum bb_http_call_state {
    BB_HTTP_CALL_STARTED,
    BB_HTTP_CALL_SENDING_BODY,  /* the peer takes the body */
    BB_HTTP_CALL_HEAD_RECEIVED, /* the answer's head is there */
    BB_HTTP_CALL_NOT_SENT,
    BB_HTTP_CALL_LOST /* sent, and no answer will come */
};

struct bb_http_call;

/* Called by the worker exactly once, when the peer is done with the request:
 * before a short answer or a failure is reported, and after the last byte of
 * a long answer. The kept answer is NULL if it is too long or not whole; the
 * callee may take its contents. */
typedef void (*bb_http_call_finished_callback)(void *context,
                                               const struct bb_http_call *a,
                                               bool is_sent, bool is_whole,
                                               GByteArray *kept);

struct bb_http_call_params {
    struct bb_address peer;
    const char *method;
    const char *url;
    struct bb_headers *headers; /* taken over by the attempt */
    struct bb_body *body;       /* NULL without one */
    int64_t length_bytes;       /* of the body, or BB_LENGTH_CHUNKED */
    bool is_replayable;         /* the body is whole in its ring */
    bool expect_continue; /* let the peer refuse before the body is sent */
    bool use_new_connection;
    bool crosses_link; /* the peer is in another region */
    bool is_inline;    /* started by bb_http_call_run_inline, in the caller's
                          thread */
    bool must_read_to_end;   /* read the answer to its end for the callback */
    uint32_t keep_max_bytes; /* longest answer kept for the callback */
    bb_http_call_finished_callback on_finished; /* NULL: none */
    void *finished_context;
    uint32_t read_timeout_s;
    uint32_t idle_timeout_ms;
    uint32_t depth;
};

/* The watch's lock guards the state; the rest is fixed once the state is
 * BB_HTTP_CALL_HEAD_RECEIVED. */
struct bb_http_call {
    atomic_bool is_response_arriving; /* a short answer is being read */
    atomic_bool is_finished;          /* the state changes no more */
    enum bb_http_call_state state;
    bool is_body_consumed; /* guarded too: part of a body that streams is gone
                            */
    uint32_t status;
    struct bb_headers *headers;
    struct bb_body *response_body;
    int64_t response_length_bytes; /* BB_LENGTH_CHUNKED if not announced */
};

struct bb_http_client;

struct bb_http_client *bb_http_client_create(struct bb_workers *workers);
void bb_http_client_destroy(struct bb_http_client *c);
void bb_http_client_close_idle(struct bb_http_client *c,
                               const struct bb_address *peer);
struct bb_http_call *
bb_http_call_start(struct bb_http_client *c,
                   const struct bb_http_call_params *request,
                   struct bb_notifier *watch, uint64_t end_us);
void bb_http_call_run_inline(struct bb_http_call *a);
void bb_http_call_release(struct bb_http_call *a);

#endif
