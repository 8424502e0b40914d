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
    BB_EVENTS_RING_BYTES = 128 * 1024,
    /* Rate limit, as a token bucket that holds BB_EVENTS_BURST_S seconds: a
     * host writes at most 2 MB during a run of one minute under full load. */
    BB_EVENTS_BYTES_PER_S = 40 * 1024,
    BB_EVENTS_BURST_S = 4,
    /* Part of the ring and of the token bucket that only failures may use. */
    BB_EVENTS_RESERVED_PERCENT = 50,
    /* Time within which the caller should flush after a wake. */
    BB_EVENTS_FLUSH_MS = 100
};

enum bb_event_class { BB_EVENT_ORDINARY, BB_EVENT_FAILURE };

/* The ring is no longer empty; bb_events_flush should be called within
 * BB_EVENTS_FLUSH_MS. */
typedef void (*bb_events_wake)(void *context);

void bb_events_start(int fd, const char *host, bb_events_wake wake,
                     void *context);
bool bb_events_is_started(void);
void bb_event_append(GString *lines, const char *event, const char *id,
                     const char *format, ...)
    __attribute__((format(printf, 4, 5)));
void bb_events_put(enum bb_event_class c, const char *lines,
                   size_t size_bytes);
bool bb_events_flush(void);
uint64_t bb_events_dropped(void);

#endif
