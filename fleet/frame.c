/* fleet_message framing: a length of four bytes, then the XDR form. */
#include "fleet/frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "common/log.h"

enum { LENGTH_BYTES = 4 };

BB_COUNTER(sent_bytes_total, "baobab_fleet_sent_bytes_total",
           "Bytes of control messages sent to other hosts");
BB_COUNTER(malformed_total, "baobab_fleet_malformed_total",
           "Control connections closed because of a message that cannot be "
           "decoded");

struct bb_frames {
    struct bb_stream *stream;
    const struct bb_frames_events *events;
    void *context;
    GByteArray *input;
    bool is_busy; /* inside a callback: freed when it returns */
    bool is_closed;
};

static void
free_frames(struct bb_frames *f)
{
    g_byte_array_free(f->input, TRUE);
    g_free(f);
}

/* Decodes and passes on one message; returns false if it is malformed. */
static bool
take_message(struct bb_frames *f, uint8_t *data, uint32_t size_bytes)
{
    fleet_message m;
    XDR x;
    bool is_good;

    memset(&m, 0, sizeof(m));
    xdrmem_create(&x, (char *)data, size_bytes, XDR_DECODE);
    is_good = xdr_fleet_message(&x, &m);
    if (is_good) {
        f->events->message(f->context, f, &m);
    }
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_fleet_message, (char *)&m);
    return is_good;
}

/* Takes all whole messages out of the input; returns false if one is
 * malformed. */
static bool
take_messages(struct bb_frames *f)
{
    uint32_t used = 0;
    bool is_good = true;

    while (is_good && !f->is_closed && f->input->len - used >= LENGTH_BYTES) {
        uint32_t length;

        memcpy(&length, f->input->data + used, sizeof(length));
        length = ntohl(length);
        if (length > BB_FRAME_MAX_BYTES) {
            return false;
        }
        if (f->input->len - used - LENGTH_BYTES < length) {
            break;
        }
        is_good =
            take_message(f, f->input->data + used + LENGTH_BYTES, length);
        used += LENGTH_BYTES + length;
    }
    if (used > 0) {
        g_byte_array_remove_range(f->input, 0, used);
    }
    return is_good;
}

static void
take_data(void *context, const char *data, size_t size_bytes)
{
    struct bb_frames *f = context;
    bool is_good;

    g_byte_array_append(f->input, (const guint8 *)data, (guint)size_bytes);
    f->is_busy = true;
    is_good = take_messages(f);
    f->is_busy = false;
    if (f->is_closed) {
        free_frames(f);
        return;
    }
    if (!is_good) {
        bb_counter_add(&malformed_total, 1);
        bb_log_warning("fleet.malformed", "closing a control connection");
        f->events->ended(f->context, f);
    }
}

static void
take_end(void *context, int status)
{
    struct bb_frames *f = context;

    (void)status;
    f->events->ended(f->context, f);
}

static void
take_connected(void *context)
{
    struct bb_frames *f = context;

    f->events->opened(f->context, f);
}

static const struct bb_stream_events stream_events = {
    .connected = take_connected, .data = take_data, .ended = take_end};

static struct bb_frames *
create_frames(const struct bb_frames_events *events, void *context)
{
    struct bb_frames *f = g_new0(struct bb_frames, 1);

    f->events = events;
    f->context = context;
    f->input = g_byte_array_new();
    return f;
}

/* Opens a connection; returns NULL if no socket is to be had. */
struct bb_frames *
bb_frames_open(uv_loop_t *loop, const struct bb_address *to,
               uint32_t timeout_ms, const struct bb_frames_events *events,
               void *context)
{
    struct bb_frames *f = create_frames(events, context);

    f->stream = bb_stream_connect(loop, to, timeout_ms, &stream_events, f);
    if (f->stream == NULL) {
        free_frames(f);
        return NULL;
    }
    return f;
}

/* Takes an accepted connection. */
struct bb_frames *
bb_frames_accept(struct bb_stream *s, const struct bb_frames_events *events,
                 void *context)
{
    struct bb_frames *f = create_frames(events, context);

    f->stream = s;
    bb_stream_attach(s, &stream_events, f);
    return f;
}

/* Sends a message; returns false if it cannot be encoded. */
bool
bb_frames_send(struct bb_frames *f, fleet_message *m)
{
    u_long size = xdr_sizeof((xdrproc_t)xdr_fleet_message, m);
    uint32_t length = htonl((uint32_t)size);
    char *data;
    XDR x;
    bool is_good;

    if (f->is_closed || size == 0 || size > BB_FRAME_MAX_BYTES) {
        return false;
    }
    data = g_malloc(LENGTH_BYTES + size);
    memcpy(data, &length, LENGTH_BYTES);
    xdrmem_create(&x, data + LENGTH_BYTES, (u_int)size, XDR_ENCODE);
    is_good = xdr_fleet_message(&x, m);
    xdr_destroy(&x);
    if (is_good) {
        bb_stream_write(f->stream, data, LENGTH_BYTES + size);
        bb_counter_add(&sent_bytes_total, LENGTH_BYTES + size);
    }
    g_free(data);
    return is_good;
}

/* Closes the connection; NULL is allowed. */
void
bb_frames_close(struct bb_frames *f)
{
    if (f == NULL || f->is_closed) {
        return;
    }
    f->is_closed = true;
    bb_stream_close(f->stream);
    if (!f->is_busy) {
        free_frames(f);
    }
}
