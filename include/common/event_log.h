/* Structured event log: one JSON object per line, written through a ring
 * buffer of fixed size to a file descriptor that is never waited for. Lines
 * above the rate limit, or for which the ring has no space, are dropped and
 * counted. Part of both is reserved for failures. One log per process, used by
 * one thread. */
#ifndef BB_COMMON_EVENT_LOG_H
#define BB_COMMON_EVENT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    BB_EVENT_LOG_RING_BYTES = 128 * 1024,
    /* Rate limit, as a token bucket that holds BB_EVENT_LOG_BURST_S seconds;
     * log.dropped lines do not count. The target is at most 2 MB of log per
     * host in a minute under full load; these constants allow each process 2.6
     * MB: 64 s (a minute and the burst) at 40 KiB/s. */
    BB_EVENT_LOG_BYTES_PER_S = 40 * 1024,
    BB_EVENT_LOG_BURST_S = 4,
    /* Part of the ring and of the token bucket that only failures may use. */
    BB_EVENT_LOG_RESERVED_PERCENT = 50,
    /* Time within which the caller should flush after a wake. */
    BB_EVENT_LOG_FLUSH_INTERVAL_MS = 100
};

enum bb_event_class { BB_EVENT_ORDINARY, BB_EVENT_FAILURE };

/* Called just before lines are added to the empty ring. The receiver should
 * call bb_event_log_flush within BB_EVENT_LOG_FLUSH_INTERVAL_MS, but not in
 * the callback, where the ring is still empty. */
typedef void (*bb_event_log_wake)(void *context);

void bb_event_log_start(int fd, const char *host, bb_event_log_wake wake,
                        void *context);
bool bb_event_log_is_started(void);
void bb_event_log_format_line(GString *lines, const char *event,
                              const char *id, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void bb_event_log_write(enum bb_event_class c, const char *lines,
                        size_t size_bytes);
bool bb_event_log_flush(void);
uint64_t bb_event_log_dropped_lines(void);

#endif
