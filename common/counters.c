#include "common/counters.h"

#include <string.h>

static struct bb_counter *first_counter;

/* Orders counters by name, then by label. */
static int
compare_counters(const struct bb_counter *a, const struct bb_counter *b)
{
    int order = strcmp(a->name, b->name);

    if (order != 0) {
        return order;
    }
    return g_strcmp0(a->label, b->label);
}

/* Adds a counter to the sorted list. Not thread-safe: only for constructors
 * and start-up code that runs before other threads. */
void
bb_counter_register(struct bb_counter *c)
{
    struct bb_counter **at = &first_counter;

    while (*at != NULL && compare_counters(*at, c) < 0) {
        at = &(*at)->next;
    }
    c->next = *at;
    *at = c;
}

/* Adds an amount to a counter. */
void
bb_counter_add(struct bb_counter *c, uint64_t amount)
{
    atomic_fetch_add_explicit(&c->value, amount, memory_order_relaxed);
}

/* Sets a gauge. */
void
bb_counter_set(struct bb_counter *c, uint64_t value)
{
    atomic_store_explicit(&c->value, value, memory_order_relaxed);
}

/* Returns the current value. */
uint64_t
bb_counter_get(const struct bb_counter *c)
{
    return atomic_load_explicit(&c->value, memory_order_relaxed);
}

/* Returns the counter with a name and a label (NULL: without), or NULL. */
const struct bb_counter *
bb_counter_find(const char *name, const char *label)
{
    const struct bb_counter *c = first_counter;

    while (c != NULL &&
           (strcmp(c->name, name) != 0 || g_strcmp0(c->label, label) != 0)) {
        c = c->next;
    }
    return c;
}

/* Appends all counters in the Prometheus text format, sorted by name and
 * label. */
void
bb_counters_write(GString *out)
{
    const char *previous = "";

    for (const struct bb_counter *c = first_counter; c != NULL; c = c->next) {
        if (strcmp(previous, c->name) != 0) {
            g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
                                   c->name, c->help, c->name,
                                   c->is_gauge ? "gauge" : "counter");
            previous = c->name;
        }
        if (c->label != NULL) {
            g_string_append_printf(out, "%s{%s} %" G_GUINT64_FORMAT "\n",
                                   c->name, c->label, bb_counter_get(c));
        }
        else {
            g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n", c->name,
                                   bb_counter_get(c));
        }
    }
}
