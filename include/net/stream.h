/* Buffered TCP connections on a libuv loop. All functions and callbacks run in
 * the loop's thread. No callback is called after bb_stream_close. */
#ifndef BB_NET_STREAM_H
#define BB_NET_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"

enum {
    /* Unacknowledged data for this long ends a connection (Linux
     * TCP_USER_TIMEOUT); well below the shortest deadline of a day. */
    BB_STREAM_UNACKED_MS = 1000,
    /* Keep-alive probes find a peer that vanished while a call waits. */
    BB_STREAM_KEEPALIVE_IDLE_S = 1,
    BB_STREAM_KEEPALIVE_INTERVAL_S = 1,
    BB_STREAM_KEEPALIVE_PROBES = 2,
    BB_STREAM_BACKLOG = 512,
    /* A writer above this waits for bb_stream_events.drained. */
    BB_STREAM_HIGH_WATER_BYTES = 256 * 1024
};

enum bb_net_error {
    BB_NET_ERROR_LISTEN = 1, /* the address cannot be bound */
    BB_NET_ERROR_CONNECT,
    BB_NET_ERROR_SYSTEM
};

struct bb_stream;

struct bb_stream_events {
    void (*connected)(void *context);
    void (*data)(void *context, const char *data, size_t size_bytes);
    /* The peer ended (status 0), or the connection failed (a libuv error).
     * The stream must then be closed by its owner. */
    void (*ended)(void *context, int status);
    void (*drained)(void *context); /* may be NULL */
};

struct bb_listener;

typedef void (*bb_accept)(void *context, struct bb_stream *s);

struct bb_stream *bb_stream_connect(uv_loop_t *loop,
                                    const struct bb_address *to,
                                    uint32_t timeout_ms,
                                    const struct bb_stream_events *events,
                                    void *context);
void bb_stream_attach(struct bb_stream *s,
                      const struct bb_stream_events *events, void *context);
void bb_stream_write(struct bb_stream *s, const void *data, size_t size_bytes);
size_t bb_stream_queued_bytes(const struct bb_stream *s);
void bb_stream_watch(struct bb_stream *s, bool is_watched);
void bb_stream_pause(struct bb_stream *s);
void bb_stream_resume(struct bb_stream *s);
void bb_stream_finish(struct bb_stream *s);
void bb_stream_close(struct bb_stream *s);
void bb_stream_reset(struct bb_stream *s);

struct bb_listener *bb_listener_create(uv_loop_t *loop,
                                       const struct bb_address *at,
                                       bb_accept accept, void *context,
                                       struct bb_error *e);
void bb_listener_destroy(struct bb_listener *l);

#endif
