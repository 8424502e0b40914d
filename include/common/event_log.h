/* Structured log of decisions: one JSON object a line, through a ring of fixed
 * size to a descriptor that is never waited for. Lines above the budget, or
 * that find the ring full, are dropped and counted; failures are kept before
 * ordinary lines. Used by one thread. */
#ifndef BB_COMMON_EVENT_LOG_H
#define BB_COMMON_EVENT_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    BB_EVENTS_RING_BYTES = 128 * 1024,
    /* Bytes of lines a second, averaged over BB_EVENTS_BURST_S: a host writes
     * at most 2 MB in a day of a minute under full load. */
    BB_EVENTS_BYTES_PER_S = 40 * 1024,
    BB_EVENTS_BURST_S = 4,
    /* Part of the ring and of the budget that only failures may use. */
    BB_EVENTS_RESERVED_PERCENT = 50,
    BB_EVENTS_FLUSH_MS = 100
};

enum bb_event_class { BB_EVENT_ORDINARY, BB_EVENT_FAILURE };

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
