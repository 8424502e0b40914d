/* Framing of fleet_message: a length of four bytes in network byte order, then
 * the XDR form. Lists of instance records, which repeat their texts, are
 * compressed. */
#include "fleet/frame.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <zstd.h>

#include "common/counters.h"
#include "common/log.h"

enum {
    LENGTH_PREFIX_BYTES = 4,
    COMPRESS_MIN_BYTES = 512,
    COMPRESSION_LEVEL = 1,
    KIND_COUNT = FLEET_ROLLOUT_EVIDENCE + 1
};

#define COMPRESSED_FLAG 0x80000000U /* of the length */

/* Counters of a kind of message, by distance. */
#define SENT_COUNTER(kind_, distance_)                                        \
    {                                                                         \
        .name = "baobab_fleet_sent_bytes_total",                              \
        .help = "Bytes of control messages sent, by kind and distance",       \
        .label = "kind=\"" kind_ "\",distance=\"" distance_ "\""              \
    }
#define SENT_COUNTERS(kind_)                                                  \
    {                                                                         \
        [BB_FLEET_SAME_ZONE] = SENT_COUNTER(kind_, "zone"),                   \
        [BB_FLEET_SAME_REGION] = SENT_COUNTER(kind_, "region"),               \
        [BB_FLEET_OTHER_REGION] = SENT_COUNTER(kind_, "other_region"),        \
        [BB_FLEET_DISTANCE_UNKNOWN] = SENT_COUNTER(kind_, "unknown")          \
    }

static struct bb_counter sent_bytes[KIND_COUNT][BB_FLEET_DISTANCE_COUNT] = {
    [FLEET_HELLO] = SENT_COUNTERS("hello"),
    [FLEET_HOSTS] = SENT_COUNTERS("hosts"),
    [FLEET_INSTANCES] = SENT_COUNTERS("instances"),
    [FLEET_UPDATE] = SENT_COUNTERS("update"),
    [FLEET_STATUS] = SENT_COUNTERS("status"),
    [FLEET_QUORUM] = SENT_COUNTERS("quorum"),
    [FLEET_DIGEST] = SENT_COUNTERS("digest"),
    [FLEET_LEASE_REQUEST] = SENT_COUNTERS("lease_request"),
    [FLEET_LEASE_GRANT] = SENT_COUNTERS("lease_grant"),
    [FLEET_LEASE_CONFIRM] = SENT_COUNTERS("lease_confirm"),
    [FLEET_LEASE_CONFIRMED] = SENT_COUNTERS("lease_confirmed"),
    [FLEET_QUOTA_USAGE] = SENT_COUNTERS("quota_usage"),
    [FLEET_QUOTA_TOTALS] = SENT_COUNTERS("quota_totals"),
    [FLEET_QUOTA_RATIOS] = SENT_COUNTERS("quota_ratios"),
    [FLEET_ROLLOUT_EVIDENCE] = SENT_COUNTERS("rollout_evidence")};

/* Registers the counters, which are in a table, before main runs. */
__attribute__((constructor)) static void
register_sent_bytes(void)
{
    for (size_t kind = FLEET_HELLO; kind < KIND_COUNT; kind++) {
        for (size_t d = 0; d < BB_FLEET_DISTANCE_COUNT; d++) {
            bb_counter_register(&sent_bytes[kind][d]);
        }
    }
}

BB_COUNTER(malformed_total, "baobab_fleet_malformed_total",
           "Control connections closed because of a message that cannot be "
           "decoded");

struct bb_fleet_connection {
    struct bb_stream *stream;
    const struct bb_fleet_connection_events *events;
    void *context;
    GByteArray *received; /* bytes not yet decoded */
    enum bb_fleet_distance distance;
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
deliver_message(struct bb_fleet_connection *f, const void *data,
                size_t size_bytes)
{
    fleet_message m;
    XDR x;
    bool is_valid;

    memset(&m, 0, sizeof(m));
    xdrmem_create(&x, (char *)data, (u_int)size_bytes, XDR_DECODE);
    is_valid = xdr_fleet_message(&x, &m);
    if (is_valid) {
        f->events->message(f->context, f, &m);
    }
    xdr_destroy(&x);
    xdr_free((xdrproc_t)xdr_fleet_message, (char *)&m);
    return is_valid;
}

/* Decompresses a message and delivers it. Returns false if it is malformed or
 * too long. */
static bool
deliver_compressed(struct bb_fleet_connection *f, const void *data,
                   size_t size_bytes)
{
    unsigned long long full_bytes = ZSTD_getFrameContentSize(data, size_bytes);
    char *message;
    bool is_valid;

    if (full_bytes > BB_FLEET_MESSAGE_MAX_BYTES) {
        return false; /* also the codes for an error and an unknown size */
    }
    message = g_malloc(full_bytes + 1);
    is_valid =
        ZSTD_decompress(message, full_bytes, data, size_bytes) == full_bytes &&
        deliver_message(f, message, full_bytes);
    g_free(message);
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
        const uint8_t *data = f->received->data + used + LENGTH_PREFIX_BYTES;
        uint32_t length;
        bool is_compressed;

        memcpy(&length, f->received->data + used, sizeof(length));
        length = ntohl(length);
        is_compressed = (length & COMPRESSED_FLAG) != 0;
        length &= ~COMPRESSED_FLAG;
        if (length > BB_FLEET_MESSAGE_MAX_BYTES) {
            return false;
        }
        if (f->received->len - used - LENGTH_PREFIX_BYTES < length) {
            break;
        }
        is_valid = is_compressed ? deliver_compressed(f, data, length)
                                 : deliver_message(f, data, length);
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
    f->distance = BB_FLEET_DISTANCE_UNKNOWN;
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

/* Sets how far the other end is. */
void
bb_fleet_connection_set_distance(struct bb_fleet_connection *f,
                                 enum bb_fleet_distance distance)
{
    f->distance = distance;
}

/* Creates a frame of encoded bytes behind their prefix. */
static struct bb_fleet_frame *
create_frame(fleet_message_kind kind, uint32_t prefix, const void *data,
             size_t size_bytes)
{
    struct bb_fleet_frame *frame = g_new0(struct bb_fleet_frame, 1);
    uint32_t network_prefix = htonl(prefix);

    frame->kind = kind;
    frame->bytes =
        g_byte_array_sized_new((guint)(LENGTH_PREFIX_BYTES + size_bytes));
    g_byte_array_append(frame->bytes, (const guint8 *)&network_prefix,
                        LENGTH_PREFIX_BYTES);
    g_byte_array_append(frame->bytes, data, (guint)size_bytes);
    return frame;
}

/* Creates a frame of a message that repeats itself, compressed. Returns NULL
 * if it should be sent as it is. */
static struct bb_fleet_frame *
create_compressed_frame(fleet_message_kind kind, const void *data,
                        size_t size_bytes)
{
    size_t bound = ZSTD_compressBound(size_bytes);
    struct bb_fleet_frame *frame = NULL;
    void *compressed;
    size_t n;

    if (kind != FLEET_INSTANCES || size_bytes < COMPRESS_MIN_BYTES) {
        return NULL;
    }
    compressed = g_malloc(bound);
    n = ZSTD_compress(compressed, bound, data, size_bytes, COMPRESSION_LEVEL);
    if (!ZSTD_isError(n) && n < size_bytes) {
        frame =
            create_frame(kind, (uint32_t)n | COMPRESSED_FLAG, compressed, n);
    }
    g_free(compressed);
    return frame;
}

/* Encodes a message. Returns NULL if it cannot be encoded or is longer than
 * BB_FLEET_MESSAGE_MAX_BYTES. */
struct bb_fleet_frame *
bb_fleet_frame_create(fleet_message *m)
{
    u_long size = xdr_sizeof((xdrproc_t)xdr_fleet_message, m);
    struct bb_fleet_frame *frame = NULL;
    char *data;
    XDR x;

    if (size == 0 || size > BB_FLEET_MESSAGE_MAX_BYTES) {
        return NULL;
    }
    data = g_malloc(size);
    xdrmem_create(&x, data, (u_int)size, XDR_ENCODE);
    if (xdr_fleet_message(&x, m)) {
        frame = create_compressed_frame(m->kind, data, size);
        if (frame == NULL) {
            frame = create_frame(m->kind, (uint32_t)size, data, size);
        }
    }
    xdr_destroy(&x);
    g_free(data);
    return frame;
}

/* Frees a frame; NULL is allowed. */
void
bb_fleet_frame_destroy(struct bb_fleet_frame *frame)
{
    if (frame != NULL) {
        g_byte_array_free(frame->bytes, TRUE);
        g_free(frame);
    }
}

/* Sends a frame, which the caller keeps, and counts its bytes. Returns false
 * if the connection is closed or the frame is NULL. */
bool
bb_fleet_connection_send_frame(struct bb_fleet_connection *f,
                               const struct bb_fleet_frame *frame)
{
    if (f->is_closed || frame == NULL) {
        return false;
    }
    bb_stream_write(f->stream, (const char *)frame->bytes->data,
                    frame->bytes->len);
    bb_counter_add(&sent_bytes[frame->kind][f->distance], frame->bytes->len);
    return true;
}

/* Encodes and sends a message. Returns false if it cannot be encoded, is
 * longer than BB_FLEET_MESSAGE_MAX_BYTES, or the connection is closed. */
bool
bb_fleet_connection_send(struct bb_fleet_connection *f, fleet_message *m)
{
    struct bb_fleet_frame *frame =
        f->is_closed ? NULL : bb_fleet_frame_create(m);
    bool is_sent = bb_fleet_connection_send_frame(f, frame);

    bb_fleet_frame_destroy(frame);
    return is_sent;
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
