/* Buffered TCP connections on a libuv loop. All functions and callbacks run in
 * the loop's thread. No callback is called after a stream is closed. */
#ifndef BB_NET_STREAM_H
#define BB_NET_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"

enum {
    /* A connection ends if sent data is not acknowledged for this long (Linux
     * TCP_USER_TIMEOUT). Well below the usual deadlines of requests. */
    BB_STREAM_UNACKED_TIMEOUT_MS = 1000,
    /* The same while the peer responds to probes of its closed window: it is
     * not gone, and the deadline of a request is reached before. */
    BB_STREAM_WINDOW_TIMEOUT_MS = 30000,
    /* TCP keep-alive probes detect a peer that vanished while a response is
     * awaited. */
    BB_STREAM_KEEPALIVE_IDLE_S = 1,
    BB_STREAM_KEEPALIVE_INTERVAL_S = 1,
    BB_STREAM_KEEPALIVE_PROBES = 2,
    /* Between looks for the end of a paused connection, if it is watched. */
    BB_STREAM_END_CHECK_MS = 100,
    /* Connections of a listener that may wait to be accepted. */
    BB_STREAM_BACKLOG = 512,
    /* A writer with more queued bytes waits for
     * bb_stream_events.output_drained. */
    BB_STREAM_HIGH_WATER_BYTES = 256 * 1024
};

enum bb_net_error {
    BB_NET_ERROR_LISTEN = 1, /* the address cannot be bound */
    BB_NET_ERROR_CONNECT,    /* unused */
    BB_NET_ERROR_SYSTEM      /* unused */
};

struct bb_stream;

struct bb_stream_events {
    /* Only for bb_stream_connect; may be NULL. */
    void (*connected)(void *context);
    /* The data is valid during the call only. */
    void (*data)(void *context, const char *data, size_t size_bytes);
    /* The peer closed the connection (status 0), or it failed (a libuv error).
     * The owner must then close the stream. */
    void (*ended)(void *context, int status);
    /* All queued bytes were written; may be NULL. */
    void (*output_drained)(void *context);
};

struct bb_listener;

/* Receives an accepted connection, and owns it. */
typedef void (*bb_accept_callback)(void *context, struct bb_stream *s);

struct bb_stream *bb_stream_connect(uv_loop_t *loop,
                                    const struct bb_address *to,
                                    uint32_t timeout_ms,
                                    const struct bb_stream_events *events,
                                    void *context);
void bb_stream_set_events(struct bb_stream *s,
                          const struct bb_stream_events *events,
                          void *context);
void bb_stream_set_unacked_timeout(struct bb_stream *s, uint32_t ms);
void bb_stream_watch_end(struct bb_stream *s);
bool bb_stream_has_ended(const struct bb_stream *s);
void bb_stream_write(struct bb_stream *s, const void *data, size_t size_bytes);
size_t bb_stream_queued_bytes(const struct bb_stream *s);
size_t bb_stream_unacked_bytes(const struct bb_stream *s);
void bb_stream_set_keepalive(struct bb_stream *s, bool is_enabled);
void bb_stream_pause(struct bb_stream *s);
void bb_stream_resume(struct bb_stream *s);
void bb_stream_end_output(struct bb_stream *s);
void bb_stream_close(struct bb_stream *s);
void bb_stream_reset(struct bb_stream *s);

struct bb_listener *bb_listener_create(uv_loop_t *loop,
                                       const struct bb_address *at,
                                       bb_accept_callback accept,
                                       void *context, struct bb_error *e);
void bb_listener_destroy(struct bb_listener *l);

#endif
