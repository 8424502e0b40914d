/* Framing of fleet_message: a length of four bytes in network byte order, then
 * the XDR form. */
#include "fleet/frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#include "common/counters.h"
#include "common/log.h"

enum { LENGTH_PREFIX_BYTES = 4 };

BB_COUNTER(sent_bytes_total, "baobab_fleet_sent_bytes_total",
           "Bytes of control messages sent to other hosts");
BB_COUNTER(malformed_total, "baobab_fleet_malformed_total",
           "Control connections closed because of a message that cannot be "
           "decoded");

struct bb_fleet_connection {
    struct bb_stream *stream;
    const struct bb_fleet_connection_events *events;
    void *context;
    GByteArray *received; /* bytes not yet decoded */
    /* Set during a callback; a close then leaves it to the code after the
     * callback to free this. */
    bool is_in_callback;
    bool is_closed;
};

static void
free_connection(struct bb_fleet_connection *f)
{
    g_byte_array_free(f->received, TRUE);
    g_free(f);
}

/* Decodes one message and passes it to the receiver. Returns false if it is
 * malformed. */
static bool
deliver_message(struct bb_fleet_connection *f, uint8_t *data,
                uint32_t size_bytes)
{
    fleet_message m;
    XDR x;
    bool is_valid;

    memset(&m, 0, sizeof(m));
    xdrmem_create(&x, (char *)data, size_bytes, XDR_DECODE);
    is_valid = xdr_fleet_message(&x, &m);
    if (is_valid) {
        f->events->message(f->context, f, &m);
    }
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_fleet_message, (char *)&m);
    return is_valid;
}

/* Delivers all complete messages that were received and removes their bytes.
 * Returns false if one is malformed or too long. */
static bool
deliver_messages(struct bb_fleet_connection *f)
{
    uint32_t used = 0;
    bool is_valid = true;

    while (is_valid && !f->is_closed &&
           f->received->len - used >= LENGTH_PREFIX_BYTES) {
        uint32_t length;

        memcpy(&length, f->received->data + used, sizeof(length));
        length = ntohl(length);
        if (length > BB_FLEET_MESSAGE_MAX_BYTES) {
            return false;
        }
        if (f->received->len - used - LENGTH_PREFIX_BYTES < length) {
            break;
        }
        is_valid = deliver_message(
            f, f->received->data + used + LENGTH_PREFIX_BYTES, length);
        used += LENGTH_PREFIX_BYTES + length;
    }
    if (used > 0) {
        g_byte_array_remove_range(f->received, 0, used);
    }
    return is_valid;
}

/* Delivers the messages that are complete with these bytes. Frees the
 * connection if a callback closed it. */
static void
on_data(void *context, const char *data, size_t size_bytes)
{
    struct bb_fleet_connection *f = context;
    bool is_valid;

    g_byte_array_append(f->received, (const guint8 *)data, (guint)size_bytes);
    f->is_in_callback = true;
    is_valid = deliver_messages(f);
    f->is_in_callback = false;
    if (f->is_closed) {
        free_connection(f);
        return;
    }
    if (!is_valid) {
        bb_counter_add(&malformed_total, 1);
        bb_log_warning(
            "fleet.malformed",
            "closing a control connection after a malformed message: "
            "the peer has another software version, or is neither a node "
            "nor a control host");
        f->events->ended(f->context, f);
    }
}

/* Reports the end of the stream to the owner of the connection, without its
 * status. */
static void
on_ended(void *context, int status)
{
    struct bb_fleet_connection *f = context;

    (void)status;
    f->events->ended(f->context, f);
}

/* Reports to the owner that the connection is established. */
static void
on_connected(void *context)
{
    struct bb_fleet_connection *f = context;

    f->events->connected(f->context, f);
}

static const struct bb_stream_events stream_events = {
    .connected = on_connected, .data = on_data, .ended = on_ended};

/* Creates a connection that has no stream yet. */
static struct bb_fleet_connection *
create_connection(const struct bb_fleet_connection_events *events,
                  void *context)
{
    struct bb_fleet_connection *f = g_new0(struct bb_fleet_connection, 1);

    f->events = events;
    f->context = context;
    f->received = g_byte_array_new();
    return f;
}

/* Opens a connection. Events report success, a failure or the timeout. Returns
 * NULL if no socket can be created. */
struct bb_fleet_connection *
bb_fleet_connection_open(uv_loop_t *loop, const struct bb_address *to,
                         uint32_t timeout_ms,
                         const struct bb_fleet_connection_events *events,
                         void *context)
{
    struct bb_fleet_connection *f = create_connection(events, context);

    f->stream = bb_stream_connect(loop, to, timeout_ms, &stream_events, f);
    if (f->stream == NULL) {
        free_connection(f);
        return NULL;
    }
    return f;
}

/* Creates a connection on an accepted stream and takes ownership of the
 * stream. Never returns NULL. */
struct bb_fleet_connection *
bb_fleet_connection_accept(struct bb_stream *s,
                           const struct bb_fleet_connection_events *events,
                           void *context)
{
    struct bb_fleet_connection *f = create_connection(events, context);

    f->stream = s;
    bb_stream_set_events(s, &stream_events, f);
    return f;
}

/* Encodes and sends a message. Returns false if it cannot be encoded, is
 * longer than BB_FLEET_MESSAGE_MAX_BYTES, or the connection is closed. */
bool
bb_fleet_connection_send(struct bb_fleet_connection *f, fleet_message *m)
{
    u_long size = xdr_sizeof((xdrproc_t)xdr_fleet_message, m);
    uint32_t length = htonl((uint32_t)size);
    char *data;
    XDR x;
    bool is_valid;

    if (f->is_closed || size == 0 || size > BB_FLEET_MESSAGE_MAX_BYTES) {
        return false;
    }
    data = g_malloc(LENGTH_PREFIX_BYTES + size);
    memcpy(data, &length, LENGTH_PREFIX_BYTES);
    xdrmem_create(&x, data + LENGTH_PREFIX_BYTES, (u_int)size, XDR_ENCODE);
    is_valid = xdr_fleet_message(&x, m);
    xdr_destroy(&x);
    if (is_valid) {
        bb_stream_write(f->stream, data, LENGTH_PREFIX_BYTES + size);
        bb_counter_add(&sent_bytes_total, LENGTH_PREFIX_BYTES + size);
    }
    g_free(data);
    return is_valid;
}

/* Closes and frees the connection; no event follows. NULL is allowed. */
void
bb_fleet_connection_close(struct bb_fleet_connection *f)
{
    if (f == NULL || f->is_closed) {
        return;
    }
    f->is_closed = true;
    bb_stream_close(f->stream);
    if (!f->is_in_callback) {
        free_connection(f);
    }
}
