/* TCP connections that detect a vanished peer within a bounded time. */
#include "net/stream.h"

#include <glib.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/ioctl.h>

#include "net/buffers.h"

enum {
    READ_BUFFER_BYTES = 64 * 1024,
    /* While the buffers are full: what is read before a pause is held. */
    READ_FULL_BYTES = 4 * 1024,
    /* Less does not close the window of a peer that does not read. */
    WINDOW_MIN_BYTES = 16 * 1024,
    WINDOW_CHECK_MS = 200,
    /* Probes of a closed window without a response that a living peer may be
     * behind. */
    WINDOW_PROBES_MAX = 1
};

struct bb_stream {
    uv_tcp_t tcp;
    uv_connect_t connect;
    uv_shutdown_t shutdown;
    uv_timer_t *connect_timer;
    uv_timer_t *window_timer; /* NULL: never needed */
    uv_timer_t *end_timer;    /* NULL: never needed */
    size_t burst_bytes;       /* written since nothing was unacknowledged */
    bool is_window_closed;    /* BB_STREAM_WINDOW_TIMEOUT_MS applies */
    const struct bb_stream_events *events;
    void *context;
    size_t queued_bytes;
    uint32_t unacked_timeout_ms;
    bool has_timed_out; /* ends after one more turn of the loop */
    bool is_connected;
    bool is_paused;
    bool is_end_watched;  /* also while paused */
    bool is_output_ended; /* bb_stream_end_output was called */
    bool is_closed;
};

struct write_request {
    uv_write_t request;
    struct bb_stream *stream;
    size_t size_bytes;
    char data[];
};

struct bb_listener {
    uv_tcp_t tcp;
    bb_accept_callback accept;
    void *context;
};

/* Shared by all reads, as the data is consumed within the callback. */
static char read_buffer[READ_BUFFER_BYTES];

/* Frees a stream once libuv has closed its handle. */
static void
free_stream(uv_handle_t *h)
{
    g_free(h->data);
}

/* Frees a timer that was allocated separately from its stream. */
static void
free_timer(uv_handle_t *h)
{
    g_free(h);
}

/* Stops and frees a timer of a stream, if there is one. */
static void
destroy_timer(uv_timer_t **t)
{
    if (*t != NULL) {
        uv_close((uv_handle_t *)*t, free_timer);
        *t = NULL;
    }
}

/* Stops and frees all timers of a stream. */
static void
destroy_timers(struct bb_stream *s)
{
    destroy_timer(&s->connect_timer);
    destroy_timer(&s->window_timer);
    destroy_timer(&s->end_timer);
}

/* Starts a timer of a stream, created if there is none, unless it runs. */
static void
start_timer(struct bb_stream *s, uv_timer_t **t, uv_timer_cb on_timer,
            uint32_t due_ms, uint32_t repeat_ms)
{
    if (*t == NULL) {
        *t = g_new0(uv_timer_t, 1);
        (void)uv_timer_init(s->tcp.loop, *t);
        (*t)->data = s;
    }
    if (!uv_is_active((uv_handle_t *)*t)) {
        (void)uv_timer_start(*t, on_timer, due_ms, repeat_ms);
    }
}

/* Reports the end of the connection to its owner, or closes a connection that
 * has none. */
static void
report_ended(struct bb_stream *s, int status)
{
    if (s->is_closed) {
        return;
    }
    if (s->events == NULL) {
        bb_stream_close(s);
        return;
    }
    s->events->ended(s->context, status);
}

/* Disables Nagle's algorithm and sets the timeouts that detect a vanished
 * peer. */
static void
set_options(struct bb_stream *s)
{
    int fd = -1;
    unsigned unacked_ms = s->unacked_timeout_ms;
    int idle_s = BB_STREAM_KEEPALIVE_IDLE_S;
    int interval_s = BB_STREAM_KEEPALIVE_INTERVAL_S;
    int probes = BB_STREAM_KEEPALIVE_PROBES;

    (void)uv_tcp_nodelay(&s->tcp, 1);
    if (uv_fileno((uv_handle_t *)&s->tcp, &fd) != 0) {
        return;
    }
    /* Best effort: without them, deadlines still bound every request. */
    (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                     sizeof(unacked_ms));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
                     sizeof(interval_s));
    (void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
}

/* Gives libuv the read buffer, which all streams share. */
static void
provide_buffer(uv_handle_t *h, size_t suggested, uv_buf_t *out)
{
    (void)h;
    (void)suggested;
    *out = uv_buf_init(read_buffer, bb_buffers_are_full()
                                        ? (unsigned)READ_FULL_BYTES
                                        : (unsigned)READ_BUFFER_BYTES);
}

/* Returns 0 or the libuv error of a connection that libuv reports as ended.
 * libuv reports UV_EOF also for a reset that follows data within one wake-up,
 * so the error is read from the socket. */
static int
end_status(const uv_stream_t *h)
{
    int fd = -1;
    int error = 0;
    socklen_t size = sizeof(error);

    if (uv_fileno((const uv_handle_t *)h, &fd) != 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
        return UV_EIO;
    }
    return error == 0 ? 0 : uv_translate_sys_error(error);
}

/* Returns whether the peer responds, but takes no bytes: all that its window
 * allowed is acknowledged, and so are the probes of the window. */
static bool
has_closed_window(const struct bb_stream *s)
{
    int fd = -1;
    struct tcp_info info = {0};
    socklen_t length = sizeof(info);

    return uv_fileno((const uv_handle_t *)&s->tcp, &fd) == 0 &&
           getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0 &&
           info.tcpi_unacked == 0 && info.tcpi_probes <= WINDOW_PROBES_MAX;
}

/* Adapts the timeout for unacknowledged bytes to the window of the peer. Linux
 * applies TCP_USER_TIMEOUT also to bytes that wait for a closed window. */
static void
on_window_timer(uv_timer_t *t)
{
    struct bb_stream *s = t->data;
    bool is_done = bb_stream_unacked_bytes(s) == 0;
    bool is_closed = !is_done && has_closed_window(s);
    unsigned ms = is_closed ? (unsigned)BB_STREAM_WINDOW_TIMEOUT_MS
                            : s->unacked_timeout_ms;
    int fd = -1;

    if (is_closed != s->is_window_closed &&
        uv_fileno((uv_handle_t *)&s->tcp, &fd) == 0) {
        s->is_window_closed = is_closed;
        (void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
    }
    if (is_done) {
        s->burst_bytes = 0;
        (void)uv_timer_stop(t);
    }
}

/* Watches the window of the peer once so much was written that it may close.
 * Not with another timeout than the default, which allows for peers that do
 * not read. */
static void
watch_window(struct bb_stream *s, size_t size_bytes)
{
    s->burst_bytes += size_bytes;
    if (s->burst_bytes < WINDOW_MIN_BYTES ||
        s->unacked_timeout_ms != BB_STREAM_UNACKED_TIMEOUT_MS) {
        return;
    }
    start_timer(s, &s->window_timer, on_window_timer, WINDOW_CHECK_MS,
                WINDOW_CHECK_MS);
}

/* Passes received bytes or the end of the connection to the owner. */
static void
on_read(uv_stream_t *h, ssize_t n, const uv_buf_t *buffer)
{
    struct bb_stream *s = h->data;

    if (n == 0 || s->is_closed) {
        return;
    }
    if (n < 0) {
        (void)uv_read_stop(h);
        report_ended(s, n == UV_EOF ? end_status(h) : (int)n);
        return;
    }
    if (s->events != NULL) {
        s->events->data(s->context, buffer->base, (size_t)n);
    }
}

/* Starts reading on an established connection. */
static void
start_reading(struct bb_stream *s)
{
    s->is_connected = true;
    set_options(s);
    (void)uv_read_start((uv_stream_t *)&s->tcp, provide_buffer, on_read);
}

/* Starts reading if the connection is established, or reports the libuv
 * error. */
static void
on_connect_done(uv_connect_t *request, int status)
{
    struct bb_stream *s = request->handle->data;

    if (s->is_closed) {
        return;
    }
    destroy_timer(&s->connect_timer);
    if (status != 0) {
        report_ended(s, status);
        return;
    }
    start_reading(s);
    if (s->events->connected != NULL) {
        s->events->connected(s->context);
    }
}

/* Reports UV_ETIMEDOUT: the connection was not established in time. */
static void
on_connect_timeout(uv_timer_t *t)
{
    struct bb_stream *s = t->data;

    if (!s->has_timed_out) {
        /* A loop that is late has not seen yet what was established. */
        s->has_timed_out = true;
        (void)uv_timer_start(t, on_connect_timeout, 1, 0);
        return;
    }
    destroy_timer(&s->connect_timer);
    report_ended(s, UV_ETIMEDOUT);
}

/* Creates a stream that is not connected. */
static struct bb_stream *
create_stream(uv_loop_t *loop)
{
    struct bb_stream *s = g_new0(struct bb_stream, 1);

    (void)uv_tcp_init(loop, &s->tcp);
    s->tcp.data = s;
    s->unacked_timeout_ms = BB_STREAM_UNACKED_TIMEOUT_MS;
    return s;
}

/* Opens a connection. `connected` reports success, `ended` a failure or the
 * timeout. Returns NULL if the attempt cannot be started. */
struct bb_stream *
bb_stream_connect(uv_loop_t *loop, const struct bb_address *to,
                  uint32_t timeout_ms, const struct bb_stream_events *events,
                  void *context)
{
    struct sockaddr_storage address;
    struct bb_stream *s = create_stream(loop);

    s->events = events;
    s->context = context;
    if (bb_address_to_sockaddr(to, &address) == 0 ||
        uv_tcp_connect(&s->connect, &s->tcp, (struct sockaddr *)&address,
                       on_connect_done) != 0) {
        bb_stream_close(s);
        return NULL;
    }
    start_timer(s, &s->connect_timer, on_connect_timeout, timeout_ms, 0);
    return s;
}

/* Sets the receiver of the events of an accepted connection. */
void
bb_stream_set_events(struct bb_stream *s,
                     const struct bb_stream_events *events, void *context)
{
    s->events = events;
    s->context = context;
}

/* Replaces BB_STREAM_UNACKED_TIMEOUT_MS for an accepted connection; for use in
 * bb_accept_callback. */
void
bb_stream_set_unacked_timeout(struct bb_stream *s, uint32_t ms)
{
    s->unacked_timeout_ms = ms;
}

/* Makes the stream report the end of an accepted connection also while it is
 * paused, within BB_STREAM_END_CHECK_MS and although received bytes are left
 * unread. For an owner that drops them when the peer closes. */
void
bb_stream_watch_end(struct bb_stream *s)
{
    s->is_end_watched = true;
}

/* Ends a queued write: reports a failure or, once the queue is empty, tells
 * the owner. */
static void
on_write_done(uv_write_t *request, int status)
{
    struct write_request *w = (struct write_request *)request;
    struct bb_stream *s = w->stream;

    bb_buffers_remove(w->size_bytes);
    if (status != UV_ECANCELED && !s->is_closed) {
        s->queued_bytes -= w->size_bytes;
        if (status != 0) {
            report_ended(s, status);
        }
        else if (s->queued_bytes == 0 && s->events != NULL &&
                 s->events->output_drained != NULL) {
            s->events->output_drained(s->context);
        }
    }
    g_free(w);
}

/* Writes as much as the socket accepts and queues a copy of the rest. If the
 * queued write fails later, `ended` reports it after this returns. If libuv
 * refuses to queue it, the bytes are dropped and nothing is reported. */
void
bb_stream_write(struct bb_stream *s, const void *data, size_t size_bytes)
{
    size_t done = 0;
    struct write_request *w;
    uv_buf_t buffer;

    watch_window(s, size_bytes);
    if (s->is_connected && s->queued_bytes == 0) {
        uv_buf_t now = uv_buf_init((char *)data, (unsigned)size_bytes);
        int n = uv_try_write((uv_stream_t *)&s->tcp, &now, 1);

        done = n > 0 ? (size_t)n : 0;
    }
    if (done == size_bytes) {
        return;
    }
    w = g_malloc(sizeof(*w) + size_bytes - done);
    w->stream = s;
    w->size_bytes = size_bytes - done;
    memcpy(w->data, (const char *)data + done, w->size_bytes);
    s->queued_bytes += w->size_bytes;
    bb_buffers_add(w->size_bytes);
    buffer = uv_buf_init(w->data, (unsigned)w->size_bytes);
    if (uv_write(&w->request, (uv_stream_t *)&s->tcp, &buffer, 1,
                 on_write_done) != 0) {
        s->queued_bytes -= w->size_bytes;
        bb_buffers_remove(w->size_bytes);
        g_free(w);
    }
}

/* Returns how many bytes are queued for the socket. */
size_t
bb_stream_queued_bytes(const struct bb_stream *s)
{
    return s->queued_bytes;
}

/* Returns how many written bytes the peer has not acknowledged: those queued
 * here and, where the platform tells them, those in the kernel. */
size_t
bb_stream_unacked_bytes(const struct bb_stream *s)
{
    int fd = -1;
    int unacked_bytes = 0;

    if (uv_fileno((const uv_handle_t *)&s->tcp, &fd) != 0 ||
        ioctl(fd, SIOCOUTQ, &unacked_bytes) != 0) {
        return s->queued_bytes;
    }
    return s->queued_bytes + (size_t)unacked_bytes;
}

/* Switches TCP keep-alive probes on or off. They are on only while a response
 * is awaited, as probes of an idle connection would be needless traffic. */
void
bb_stream_set_keepalive(struct bb_stream *s, bool is_enabled)
{
    int fd = -1;
    int on = is_enabled ? 1 : 0;

    if (uv_fileno((uv_handle_t *)&s->tcp, &fd) == 0) {
        (void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    }
}

/* Returns whether the peer has closed or reset the connection, although
 * received bytes may be unread. */
bool
bb_stream_has_ended(const struct bb_stream *s)
{
    struct pollfd p = {.events = POLLRDHUP};

    return uv_fileno((const uv_handle_t *)&s->tcp, &p.fd) == 0 &&
           poll(&p, 1, 0) > 0 &&
           (p.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

/* Reports the end of a paused connection. libuv reports it only to a stream
 * that reads. */
static void
on_end_timer(uv_timer_t *t)
{
    struct bb_stream *s = t->data;

    if (!bb_stream_has_ended(s)) {
        return;
    }
    (void)uv_timer_stop(t);
    report_ended(s, end_status((uv_stream_t *)&s->tcp));
}

/* Stops reading until bb_stream_resume, so that TCP flow control makes the
 * peer wait. */
void
bb_stream_pause(struct bb_stream *s)
{
    if (s->is_paused || !s->is_connected) {
        return;
    }
    s->is_paused = true;
    (void)uv_read_stop((uv_stream_t *)&s->tcp);
    if (s->is_end_watched) {
        start_timer(s, &s->end_timer, on_end_timer, BB_STREAM_END_CHECK_MS,
                    BB_STREAM_END_CHECK_MS);
    }
}

/* Continues reading after bb_stream_pause. */
void
bb_stream_resume(struct bb_stream *s)
{
    if (s->is_paused && !s->is_closed) {
        s->is_paused = false;
        if (s->end_timer != NULL) {
            (void)uv_timer_stop(s->end_timer);
        }
        (void)uv_read_start((uv_stream_t *)&s->tcp, provide_buffer, on_read);
    }
}

/* Callback of uv_shutdown; a failure also ends the reading. */
static void
on_output_ended(uv_shutdown_t *request, int status)
{
    (void)request;
    (void)status;
}

/* Tells the peer that no more bytes follow those queued. Reading goes on. */
void
bb_stream_end_output(struct bb_stream *s)
{
    if (!s->is_closed && !s->is_output_ended) {
        s->is_output_ended = true;
        (void)uv_shutdown(&s->shutdown, (uv_stream_t *)&s->tcp,
                          on_output_ended);
    }
}

/* Closes and frees the connection. Queued bytes are dropped. */
void
bb_stream_close(struct bb_stream *s)
{
    if (s->is_closed) {
        return;
    }
    s->is_closed = true;
    destroy_timers(s);
    uv_close((uv_handle_t *)&s->tcp, free_stream);
}

/* Closes and frees the connection by a TCP reset, which also reaches a peer
 * that does not read. */
void
bb_stream_reset(struct bb_stream *s)
{
    if (s->is_closed) {
        return;
    }
    if (s->is_connected && uv_tcp_close_reset(&s->tcp, free_stream) == 0) {
        s->is_closed = true;
        destroy_timers(s);
        return;
    }
    bb_stream_close(s);
}

/* Accepts a connection and passes it to the owner of the listener. */
static void
on_connection(uv_stream_t *h, int status)
{
    struct bb_listener *l = h->data;
    struct bb_stream *s;

    if (status != 0) {
        return;
    }
    s = create_stream(h->loop);
    if (uv_accept(h, (uv_stream_t *)&s->tcp) != 0) {
        bb_stream_close(s);
        return;
    }
    l->accept(l->context, s);
    if (!s->is_closed) {
        start_reading(s);
    }
}

static void
free_listener(uv_handle_t *h)
{
    g_free(h->data);
}

/* Listens on an address and calls `accept` for each connection. Returns NULL
 * and sets the error (BB_NET_ERROR_LISTEN) on failure. */
struct bb_listener *
bb_listener_create(uv_loop_t *loop, const struct bb_address *at,
                   bb_accept_callback accept, void *context,
                   struct bb_error *e)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct sockaddr_storage address;
    struct bb_listener *l = g_new0(struct bb_listener, 1);
    int status;

    (void)uv_tcp_init(loop, &l->tcp);
    l->tcp.data = l;
    l->accept = accept;
    l->context = context;
    (void)bb_address_to_sockaddr(at, &address);
    status = uv_tcp_bind(&l->tcp, (struct sockaddr *)&address, 0);
    if (status == 0) {
        status = uv_listen((uv_stream_t *)&l->tcp, BB_STREAM_BACKLOG,
                           on_connection);
    }
    if (status != 0) {
        (void)bb_error_set(e, BB_NET_ERROR_LISTEN, "cannot listen on %s: %s",
                           bb_address_format(at, text), uv_strerror(status));
        bb_listener_destroy(l);
        return NULL;
    }
    return l;
}

/* Stops listening and frees the listener. NULL is allowed. */
void
bb_listener_destroy(struct bb_listener *l)
{
    if (l != NULL) {
        uv_close((uv_handle_t *)&l->tcp, free_listener);
    }
}
