/* Structured event log. */
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
    /* A pipe that polls writable accepts this much (PIPE_BUF) without
     * blocking. */
    WRITE_CHUNK_BYTES = 4096
};

BB_COUNTER(dropped_total, "baobab_log_dropped_lines_total",
           "Log lines dropped because of the budget or a slow reader");
BB_COUNTER(written_total, "baobab_log_written_bytes_total",
           "Bytes of log lines written");

static struct {
    int fd;
    const char *host;
    bool is_started;
    bool is_broken; /* a write failed; further lines are discarded */
    bb_event_log_wake wake;
    void *context;
    size_t head;           /* offset of the oldest byte in the ring */
    size_t used;           /* bytes in the ring */
    uint64_t tokens_bytes; /* of the token bucket */
    uint64_t updated_us;   /* when the tokens were last refilled */
    uint64_t dropped;      /* lines */
    uint64_t reported;     /* dropped lines that log.dropped has reported */
    char ring[BB_EVENT_LOG_RING_BYTES];
} event_log;

/* Starts the log on a descriptor. `host` is written to each line; it is not
 * copied. `wake` is called just before lines are added to the empty ring. */
void
bb_event_log_start(int fd, const char *host, bb_event_log_wake wake,
                   void *context)
{
    memset(&event_log, 0, sizeof(event_log));
    event_log.host = host;
    event_log.fd = fd;
    event_log.wake = wake;
    event_log.context = context;
    event_log.is_started = true;
    event_log.tokens_bytes =
        (uint64_t)BB_EVENT_LOG_BYTES_PER_S * BB_EVENT_LOG_BURST_S;
    event_log.updated_us = bb_clock_now_us();
}

/* Returns whether bb_event_log_start was called. */
bool
bb_event_log_is_started(void)
{
    return event_log.is_started;
}

/* Appends the ID of a request as a JSON member. Characters that JSON would
 * have to escape become '?', as IDs come from callers. */
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

/* Formats one line and appends it to a text. The format gives further JSON
 * members, such as "\"status\":%u"; it and id may be NULL. The event and the
 * formatted values must need no escaping. */
void
bb_event_log_format_line(GString *lines, const char *event, const char *id,
                         const char *format, ...)
{
    va_list args;

    g_string_append_printf(
        lines,
        "{\"time_ms\":%" G_GUINT64_FORMAT ",\"host\":\"%s\",\"event\":\"%s\"",
        bb_clock_wall_now_us() / BB_US_PER_MS, event_log.host, event);
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

/* Adds the tokens of the time since the last call. */
static void
refill_budget(void)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t capacity_bytes =
        (uint64_t)BB_EVENT_LOG_BYTES_PER_S * BB_EVENT_LOG_BURST_S;

    event_log.tokens_bytes += (now_us - event_log.updated_us) *
                              BB_EVENT_LOG_BYTES_PER_S / BB_US_PER_S;
    event_log.tokens_bytes = MIN(event_log.tokens_bytes, capacity_bytes);
    event_log.updated_us = now_us;
}

/* Copies bytes behind those in the ring, which must have space for them. */
static void
append_to_ring(const char *data, size_t size_bytes)
{
    size_t at = (event_log.head + event_log.used) % BB_EVENT_LOG_RING_BYTES;
    size_t first = MIN(size_bytes, BB_EVENT_LOG_RING_BYTES - at);

    memcpy(event_log.ring + at, data, first);
    memcpy(event_log.ring, data + first, size_bytes - first);
    event_log.used += size_bytes;
}

/* Returns whether lines of a class may use `needed` of a resource of which
 * `left` of `all` are free. */
static bool
has_capacity(enum bb_event_class c, uint64_t needed, uint64_t left,
             uint64_t all)
{
    uint64_t reserved = c == BB_EVENT_FAILURE
                            ? 0
                            : all * BB_EVENT_LOG_RESERVED_PERCENT / PERCENT;

    return left >= needed + reserved;
}

/* Writes complete lines to the ring, or drops all of them if the rate limit or
 * the free space does not allow them. */
void
bb_event_log_write(enum bb_event_class c, const char *lines, size_t size_bytes)
{
    if (!event_log.is_started || event_log.is_broken || size_bytes == 0) {
        return;
    }
    refill_budget();
    if (!has_capacity(c, size_bytes, event_log.tokens_bytes,
                      (uint64_t)BB_EVENT_LOG_BYTES_PER_S *
                          BB_EVENT_LOG_BURST_S) ||
        !has_capacity(c, size_bytes, BB_EVENT_LOG_RING_BYTES - event_log.used,
                      BB_EVENT_LOG_RING_BYTES)) {
        for (size_t i = 0; i < size_bytes; i++) {
            event_log.dropped += lines[i] == '\n';
        }
        bb_counter_set(&dropped_total, event_log.dropped);
        return;
    }
    event_log.tokens_bytes -= size_bytes;
    if (event_log.used == 0) {
        event_log.wake(event_log.context);
    }
    append_to_ring(lines, size_bytes);
}

/* Writes the line log.dropped with the number of lines dropped since the last
 * one, once the ring is at most half full. */
static void
report_dropped(void)
{
    GString *line;

    if (event_log.dropped == event_log.reported ||
        event_log.used > BB_EVENT_LOG_RING_BYTES / 2) {
        return;
    }
    line = g_string_new(NULL);
    bb_event_log_format_line(line, "log.dropped", NULL,
                             "\"lines\":%" G_GUINT64_FORMAT,
                             event_log.dropped - event_log.reported);
    event_log.reported = event_log.dropped;
    append_to_ring(line->str, line->len);
    g_string_free(line, TRUE);
}

/* Writes as much of the ring as the descriptor accepts without blocking.
 * Returns whether lines are left. After a write error the log discards all
 * lines and this returns false. */
bool
bb_event_log_flush(void)
{
    struct pollfd p = {.fd = event_log.fd, .events = POLLOUT};

    report_dropped();
    while (event_log.used > 0 && poll(&p, 1, 0) == 1 &&
           (p.revents & POLLOUT) != 0) {
        size_t n =
            MIN(event_log.used, BB_EVENT_LOG_RING_BYTES - event_log.head);
        ssize_t written = write(event_log.fd, event_log.ring + event_log.head,
                                MIN(n, (size_t)WRITE_CHUNK_BYTES));

        if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (written <= 0) {
            event_log.is_broken = true;
            event_log.used = 0;
            return false;
        }
        bb_counter_add(&written_total, (uint64_t)written);
        event_log.head =
            (event_log.head + (size_t)written) % BB_EVENT_LOG_RING_BYTES;
        event_log.used -= (size_t)written;
    }
    return event_log.used > 0;
}

/* Returns how many lines were dropped since the start of the log. */
uint64_t
bb_event_log_dropped_lines(void)
{
    return event_log.dropped;
}
