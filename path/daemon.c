/* Event loop, signals, log and metrics of a long-running program. */
#include "path/daemon.h"

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "common/counters.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "common/log.h"
#include "net/http_server.h"

/* Iterations of the loop in which closed handles are released. */
enum { CLOSE_ITERATIONS = 3 };

struct bb_daemon {
    uv_loop_t loop;
    uv_signal_t signals[3];
    uv_timer_t flush_timer;
    struct bb_http_server *metrics;
    const char *page_path; /* NULL: there is no further page */
    bb_daemon_page *serve_page;
    void *page_context;
    const struct bb_daemon_events *events;
    void *context;
    bool is_stopping;
};

/* Reloads on SIGHUP. Stops on the first other signal, ignores later ones. */
static void
on_signal(uv_signal_t *s, int number)
{
    struct bb_daemon *d = s->data;

    if (number == SIGHUP) {
        bb_log_info("host.reload", "SIGHUP");
        d->events->reload(d->context);
    }
    else if (!d->is_stopping) {
        d->is_stopping = true;
        bb_log_info("host.stopping", "signal %d", number);
        d->events->stop(d->context);
    }
    else {
        bb_log_info("host.stopping", "signal %d again", number);
    }
}

/* Writes log lines; tries again after BB_EVENT_LOG_FLUSH_INTERVAL_MS while
 * some are left. */
static void
on_flush_timer(uv_timer_t *t)
{
    if (bb_event_log_flush()) {
        (void)uv_timer_start(t, on_flush_timer, BB_EVENT_LOG_FLUSH_INTERVAL_MS,
                             0);
    }
}

/* Starts the timer that writes buffered log lines. */
static void
schedule_flush(void *context)
{
    struct bb_daemon *d = context;

    if (!uv_is_active((uv_handle_t *)&d->flush_timer)) {
        (void)uv_timer_start(&d->flush_timer, on_flush_timer,
                             BB_EVENT_LOG_FLUSH_INTERVAL_MS, 0);
    }
}

/* Creates the event loop and starts signal handling and log. `program` and
 * `host_name` name the program and its host in the log; the texts, events and
 * context must stay valid until bb_daemon_destroy. SIGPIPE is ignored. */
struct bb_daemon *
bb_daemon_create(const char *program, const char *host_name,
                 const struct bb_daemon_events *events, void *context)
{
    static const int numbers[] = {SIGTERM, SIGINT, SIGHUP};
    struct bb_daemon *d = g_new0(struct bb_daemon, 1);

    d->events = events;
    d->context = context;
    (void)signal(SIGPIPE, SIG_IGN);
    (void)uv_loop_init(&d->loop);
    (void)uv_timer_init(&d->loop, &d->flush_timer);
    for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++) {
        (void)uv_signal_init(&d->loop, &d->signals[i]);
        d->signals[i].data = d;
        (void)uv_signal_start(&d->signals[i], on_signal, numbers[i]);
    }
    bb_log_init(program, host_name, true);
    bb_event_log_start(STDOUT_FILENO, host_name, schedule_flush, d);
    bb_log_info("host.start", "version " BB_VERSION);
    return d;
}

/* Returns the event loop, which the daemon owns. */
uv_loop_t *
bb_daemon_loop(struct bb_daemon *d)
{
    return &d->loop;
}

/* Serves a further page on the metrics address. The path, without a query, and
 * the context must stay valid until bb_daemon_destroy. */
void
bb_daemon_set_page(struct bb_daemon *d, const char *path,
                   bb_daemon_page *serve, void *context)
{
    d->page_path = path;
    d->serve_page = serve;
    d->page_context = context;
}

/* Returns whether the target of a request is the further page. */
static bool
is_page(const struct bb_daemon *d, const char *target)
{
    size_t path_bytes = d->page_path != NULL ? strlen(d->page_path) : 0;

    return path_bytes > 0 && strncmp(target, d->page_path, path_bytes) == 0 &&
           (target[path_bytes] == '\0' || target[path_bytes] == '?');
}

/* Responds to a request on the metrics address: the further page, and all
 * metrics for any other path. */
static void
serve_metrics(void *context, struct bb_http_exchange *x)
{
    const struct bb_daemon *d = context;
    GString *text;
    GString *fields;

    if (is_page(d, bb_http_head_target(&x->head))) {
        d->serve_page(d->page_context, x);
        return;
    }
    text = g_string_new(NULL);
    fields = g_string_new("Content-Type: text/plain; version=0.0.4\r\n");
    bb_counters_write(text);
    bb_histograms_write(text);
    bb_http_exchange_respond(x, 200, fields, text->str, text->len);
    g_string_free(text, TRUE);
    g_string_free(fields, TRUE);
}

static const struct bb_http_server_handler metrics_handler = {
    .request = serve_metrics};

/* Serves the metrics over HTTP. Returns false and sets the error if it cannot
 * listen on the address. */
bool
bb_daemon_serve_metrics(struct bb_daemon *d, const struct bb_address *at,
                        struct bb_error *e)
{
    d->metrics = bb_http_server_create(&d->loop, at, &metrics_handler, d, e);
    return d->metrics != NULL;
}

/* Runs the event loop until bb_daemon_stop. */
void
bb_daemon_run(struct bb_daemon *d)
{
    (void)uv_run(&d->loop, UV_RUN_DEFAULT);
}

/* TCP connections and the bytes queued for them. */
struct open_sockets {
    uint32_t connections;
    size_t unsent_bytes;
};

/* Callback of uv_walk: counts a TCP connection, those to other hosts
 * included. */
static void
count_socket(uv_handle_t *handle, void *context)
{
    struct open_sockets *open = context;

    if (handle->type == UV_TCP && !uv_is_closing(handle) &&
        uv_is_readable((uv_stream_t *)handle)) {
        open->connections++;
        open->unsent_bytes +=
            uv_stream_get_write_queue_size((uv_stream_t *)handle);
    }
}

/* Writes the buffered log lines and makes bb_daemon_run return. */
void
bb_daemon_stop(struct bb_daemon *d)
{
    struct open_sockets open = {0};

    uv_walk(&d->loop, count_socket, &open);
    bb_log_info("host.stop", "%s; %u connections, %zu bytes unsent",
                d->is_stopping ? "after a signal" : "without a signal",
                open.connections, open.unsent_bytes);
    (void)bb_event_log_flush();
    uv_stop(&d->loop);
}

/* Callback of uv_walk: closes a handle unless it is closing already. */
static void
close_handle(uv_handle_t *handle, void *context)
{
    (void)context;
    if (!uv_is_closing(handle)) {
        uv_close(handle, NULL);
    }
}

/* Closes the loop and frees the daemon; everything else that uses the loop
 * must be destroyed first. */
void
bb_daemon_destroy(struct bb_daemon *d)
{
    bb_http_server_destroy(d->metrics);
    uv_walk(&d->loop, close_handle, NULL);
    /* A limited number of iterations rather than until all handles are closed,
     * as a write to a stalled disk may never end. */
    for (int i = 0; i < CLOSE_ITERATIONS; i++) {
        (void)uv_run(&d->loop, UV_RUN_NOWAIT);
    }
    (void)bb_event_log_flush();
    if (uv_loop_close(&d->loop) == 0) {
        g_free(d);
    }
}

/* Reads the seed addresses from the file of live settings, a key file with
 * the key `seeds` in the group `live`. Skips invalid addresses, and ignores
 * all after the first BB_SETTINGS_LIST_MAX valid ones. Returns true if at
 * least one was read. Otherwise returns false, and logs a warning unless the
 * file name is empty; `seeds` is unchanged if the file cannot be read, else
 * empty. */
bool
bb_daemon_read_seeds(const char *file, struct bb_address_list *seeds)
{
    GKeyFile *k = g_key_file_new();
    GError *error = NULL;
    gsize count = 0;
    char **list = NULL;
    bool is_valid = false;

    g_key_file_set_list_separator(k, ',');
    if (file[0] == '\0' ||
        !g_key_file_load_from_file(k, file, G_KEY_FILE_NONE, &error)) {
        goto done;
    }
    list = g_key_file_get_string_list(k, "live", "seeds", &count, &error);
    seeds->count = 0;
    for (gsize i = 0; i < count && seeds->count < BB_SETTINGS_LIST_MAX; i++) {
        if (bb_address_parse(g_strstrip(list[i]),
                             &seeds->items[seeds->count])) {
            seeds->count++;
        }
    }
    is_valid = seeds->count > 0;
done:
    if (!is_valid && file[0] != '\0') {
        bb_log_warning("host.live_settings", "%s: %s", file,
                       error != NULL ? error->message
                                     : "no valid address in seeds");
    }
    g_clear_error(&error);
    g_strfreev(list);
    g_key_file_free(k);
    return is_valid;
}
