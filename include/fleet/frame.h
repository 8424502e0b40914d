/* Connections that carry fleet_message structures, each behind its length. */
#ifndef BB_FLEET_FRAME_H
#define BB_FLEET_FRAME_H

#include <glib.h>
#include <stdbool.h>

#include "fleet.h"
#include "net/stream.h"

/* Longest encoded message, in bytes: more than one with an encoded state of
 * FLEET_DATA_MAX_BYTES. A longer one is not sent; receiving its length closes
 * the connection. */
enum { BB_FLEET_MESSAGE_MAX_BYTES = 24 * 1024 * 1024 };

/* How far the other end is, for the counters of sent bytes. */
enum bb_fleet_distance {
    BB_FLEET_SAME_ZONE,
    BB_FLEET_SAME_REGION,
    BB_FLEET_OTHER_REGION,
    BB_FLEET_DISTANCE_UNKNOWN, /* before its hello */
    BB_FLEET_DISTANCE_COUNT
};

/* An encoded message, which may be sent on many connections. */
struct bb_fleet_frame {
    fleet_message_kind kind;
    GByteArray *bytes; /* with the length in front */
};

struct bb_fleet_connection;

struct bb_fleet_connection_events {
    /* A connection made by bb_fleet_connection_open is established. */
    void (*connected)(void *context, struct bb_fleet_connection *f);
    /* The message is freed after the call. */
    void (*message)(void *context, struct bb_fleet_connection *f,
                    fleet_message *m);
    /* The connection ended or received a malformed message. The receiver must
     * call bb_fleet_connection_close. */
    void (*ended)(void *context, struct bb_fleet_connection *f);
};

struct bb_fleet_connection *bb_fleet_connection_open(
    uv_loop_t *loop, const struct bb_address *to, uint32_t timeout_ms,
    const struct bb_fleet_connection_events *events, void *context);
struct bb_fleet_connection *
bb_fleet_connection_accept(struct bb_stream *s,
                           const struct bb_fleet_connection_events *events,
                           void *context);
void bb_fleet_connection_set_distance(struct bb_fleet_connection *f,
                                      enum bb_fleet_distance distance);
struct bb_fleet_frame *bb_fleet_frame_create(fleet_message *m);
void bb_fleet_frame_destroy(struct bb_fleet_frame *frame);
bool bb_fleet_connection_send_frame(struct bb_fleet_connection *f,
                                    const struct bb_fleet_frame *frame);
bool bb_fleet_connection_send(struct bb_fleet_connection *f, fleet_message *m);
void bb_fleet_connection_close(struct bb_fleet_connection *f);

#endif
