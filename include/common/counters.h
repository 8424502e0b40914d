/* Named 64-bit counters and gauges, written in the Prometheus text format.
 * BB_COUNTER and BB_GAUGE register them by constructor before main runs.
 * Updates are lock-free and may come from any thread. */
#ifndef BB_COMMON_COUNTERS_H
#define BB_COMMON_COUNTERS_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct bb_counter {
    const char *name;
    const char *help;
    const char *label; /* label pairs, such as reason="queue_full", or NULL */
    bool is_gauge;
    _Atomic uint64_t value;
    struct bb_counter *next;
};

void bb_counter_register(struct bb_counter *c);
void bb_counter_add(struct bb_counter *c, uint64_t amount);
void bb_counter_set(struct bb_counter *c, uint64_t value);
uint64_t bb_counter_get(const struct bb_counter *c);
const struct bb_counter *bb_counter_find(const char *name, const char *label);
void bb_counters_write(GString *out);

/* Defines and registers a counter without label. */
#define BB_COUNTER(identifier, name_, help_)                                  \
    static struct bb_counter identifier = {.name = (name_), .help = (help_)}; \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_counter_register(&identifier);                                     \
    }                                                                         \
    struct bb_counter

/* Defines and registers a gauge without label. Its value can fall. */
#define BB_GAUGE(identifier, name_, help_)                                    \
    static struct bb_counter identifier = {                                   \
        .name = (name_), .help = (help_), .is_gauge = true};                  \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_counter_register(&identifier);                                     \
    }                                                                         \
    struct bb_counter

#endif
