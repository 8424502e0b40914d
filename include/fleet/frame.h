/* Connections that carry fleet_message structures, each behind its length. */
#ifndef BB_FLEET_FRAME_H
#define BB_FLEET_FRAME_H

#include <stdbool.h>

#include "fleet.h"
#include "net/stream.h"

/* Longest encoded message. A longer one is not sent; receiving its length
 * closes the connection. */
enum { BB_FRAME_MAX_BYTES = 24 * 1024 * 1024 };

struct bb_frames;

struct bb_frames_events {
    /* A connection made by bb_frames_open is established. */
    void (*opened)(void *context, struct bb_frames *f);
    /* The message is freed after the call. */
    void (*message)(void *context, struct bb_frames *f, fleet_message *m);
    /* The connection ended or received a malformed message. The receiver must
     * call bb_frames_close. */
    void (*ended)(void *context, struct bb_frames *f);
};

struct bb_frames *bb_frames_open(uv_loop_t *loop, const struct bb_address *to,
                                 uint32_t timeout_ms,
                                 const struct bb_frames_events *events,
                                 void *context);
struct bb_frames *bb_frames_accept(struct bb_stream *s,
                                   const struct bb_frames_events *events,
                                   void *context);
bool bb_frames_send(struct bb_frames *f, fleet_message *m);
void bb_frames_close(struct bb_frames *f);

#endif
