/* Structured log of decisions. */
#include "common/event_log.h"

#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    PERCENT = 100,
    /* A pipe that polls writable takes so much without blocking. */
    PIECE_BYTES = 4096
};

BB_COUNTER(dropped_total, "baobab_log_dropped_lines_total",
           "Log lines dropped because of the budget or a slow reader");
BB_COUNTER(written_total, "baobab_log_written_bytes_total",
           "Bytes of log lines written");

static struct {
    int fd;
    const char *host;
    bool is_started;
    bool is_broken; /* the descriptor is closed */
    bb_events_wake wake;
    void *context;
    size_t head;
    size_t used;
    uint64_t tokens_bytes;
    uint64_t updated_us;
    uint64_t dropped;
    uint64_t reported; /* dropped lines that were told in a line */
    char ring[BB_EVENTS_RING_BYTES];
} events;

/* Starts the log on a descriptor; `wake` is called when lines wait and
 * bb_events_flush should be called within BB_EVENTS_FLUSH_MS. */
void
bb_events_start(int fd, const char *host, bb_events_wake wake, void *context)
{
    memset(&events, 0, sizeof(events));
    events.host = host;
    events.fd = fd;
    events.wake = wake;
    events.context = context;
    events.is_started = true;
    events.tokens_bytes = (uint64_t)BB_EVENTS_BYTES_PER_S * BB_EVENTS_BURST_S;
    events.updated_us = bb_clock_now_us();
}

/* Returns whether lines go to the ring. */
bool
bb_events_is_started(void)
{
    return events.is_started;
}

/* Appends the id of a request. Characters that JSON would escape become '?':
 * ids come from callers. */
static void
append_id(GString *lines, const char *id)
{
    g_string_append(lines, ",\"id\":\"");
    for (; *id != '\0'; id++) {
        bool is_plain = *id > ' ' && *id != '"' && *id != '\\' && *id < 127;

        g_string_append_c(lines, (gchar)(is_plain ? *id : '?'));
    }
    g_string_append_c(lines, '"');
}

/* Appends one line to a text. The format gives further members of the object,
 * such as "\"status\":%u"; id may be NULL. */
void
bb_event_append(GString *lines, const char *event, const char *id,
                const char *format, ...)
{
    va_list args;

    g_string_append_printf(
        lines,
        "{\"time_ms\":%" G_GUINT64_FORMAT ",\"host\":\"%s\",\"event\":\"%s\"",
        bb_clock_wall_us() / BB_US_PER_MS, events.host, event);
    if (id != NULL) {
        append_id(lines, id);
    }
    if (format != NULL) {
        g_string_append_c(lines, ',');
        va_start(args, format);
        g_string_append_vprintf(lines, format, args);
        va_end(args);
    }
    g_string_append(lines, "}\n");
}

/* Fills the budget for the time that has passed. */
static void
refill(void)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t most = (uint64_t)BB_EVENTS_BYTES_PER_S * BB_EVENTS_BURST_S;

    events.tokens_bytes +=
        (now_us - events.updated_us) * BB_EVENTS_BYTES_PER_S / BB_US_PER_S;
    events.tokens_bytes = MIN(events.tokens_bytes, most);
    events.updated_us = now_us;
}

static void
copy_in(const char *data, size_t size_bytes)
{
    size_t at = (events.head + events.used) % BB_EVENTS_RING_BYTES;
    size_t first = MIN(size_bytes, BB_EVENTS_RING_BYTES - at);

    memcpy(events.ring + at, data, first);
    memcpy(events.ring, data + first, size_bytes - first);
    events.used += size_bytes;
}

/* Returns whether a class may still use so much of a resource. */
static bool
may_use(enum bb_event_class c, uint64_t needed, uint64_t left, uint64_t all)
{
    uint64_t reserved =
        c == BB_EVENT_FAILURE ? 0 : all * BB_EVENTS_RESERVED_PERCENT / PERCENT;

    return left >= needed + reserved;
}

/* Puts whole lines into the ring, all of them or none. */
void
bb_events_put(enum bb_event_class c, const char *lines, size_t size_bytes)
{
    if (!events.is_started || events.is_broken || size_bytes == 0) {
        return;
    }
    refill();
    if (!may_use(c, size_bytes, events.tokens_bytes,
                 (uint64_t)BB_EVENTS_BYTES_PER_S * BB_EVENTS_BURST_S) ||
        !may_use(c, size_bytes, BB_EVENTS_RING_BYTES - events.used,
                 BB_EVENTS_RING_BYTES)) {
        for (size_t i = 0; i < size_bytes; i++) {
            events.dropped += lines[i] == '\n';
        }
        bb_counter_set(&dropped_total, events.dropped);
        return;
    }
    events.tokens_bytes -= size_bytes;
    if (events.used == 0) {
        events.wake(events.context);
    }
    copy_in(lines, size_bytes);
}

/* Adds a line about dropped lines once there is room for it. */
static void
report_dropped(void)
{
    GString *line;

    if (events.dropped == events.reported ||
        events.used > BB_EVENTS_RING_BYTES / 2) {
        return;
    }
    line = g_string_new(NULL);
    bb_event_append(line, "log.dropped", NULL, "\"lines\":%" G_GUINT64_FORMAT,
                    events.dropped - events.reported);
    events.reported = events.dropped;
    copy_in(line->str, line->len);
    g_string_free(line, TRUE);
}

/* Writes what the descriptor takes without waiting. Returns whether lines are
 * left. */
bool
bb_events_flush(void)
{
    struct pollfd p = {.fd = events.fd, .events = POLLOUT};

    report_dropped();
    while (events.used > 0 && poll(&p, 1, 0) == 1 &&
           (p.revents & POLLOUT) != 0) {
        size_t n = MIN(events.used, BB_EVENTS_RING_BYTES - events.head);
        ssize_t written = write(events.fd, events.ring + events.head,
                                MIN(n, (size_t)PIECE_BYTES));

        if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (written <= 0) {
            events.is_broken = true;
            events.used = 0;
            return false;
        }
        bb_counter_add(&written_total, (uint64_t)written);
        events.head = (events.head + (size_t)written) % BB_EVENTS_RING_BYTES;
        events.used -= (size_t)written;
    }
    return events.used > 0;
}

/* Returns how many lines were dropped. */
uint64_t
bb_events_dropped(void)
{
    return events.dropped;
}
