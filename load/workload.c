#include "load/workload.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#include "common/clock.h"

enum {
    WORKLOAD_ERROR_FILE = 1,
    WORKLOAD_ERROR_VALUE,
    CALLS_MAX = 20000000,
    PERMILLE = 1000,
    DEFAULT_LONG_FACTOR = 50
};

/* Returns the value of a member if it is a positive whole number, else 0. */
static uint64_t
get_number(const json_t *object, const char *key)
{
    json_int_t value = json_integer_value(json_object_get(object, key));

    return value > 0 ? (uint64_t)value : 0;
}

/* Copies the value of a member if it is a string, else fallback, truncated to
 * size_bytes with the terminating zero byte. */
static void
copy_string(const json_t *object, const char *key, const char *fallback,
            char *out, size_t size_bytes)
{
    const char *value = json_string_value(json_object_get(object, key));

    (void)g_strlcpy(out, value != NULL ? value : fallback, size_bytes);
}

/* Reads the list of routes. Returns false with an error if it is invalid. */
static bool
read_routes(struct bb_workload *w, const json_t *root, struct bb_error *e)
{
    const json_t *list = json_object_get(root, "routes");

    w->route_count = (uint32_t)json_array_size(list);
    w->routes = g_new0(struct bb_load_route, w->route_count);
    for (uint32_t i = 0; i < w->route_count; i++) {
        const json_t *item = json_array_get(list, i);
        struct bb_load_route *r = &w->routes[i];

        copy_string(item, "method", "GET", r->method, sizeof(r->method));
        copy_string(item, "path", "", r->path, sizeof(r->path));
        copy_string(item, "call_path", "", r->call_path, sizeof(r->call_path));
        r->weight = get_number(item, "weight");
        r->work_us = get_number(item, "work_us");
        r->body_bytes = get_number(item, "body_bytes");
        r->response_bytes = get_number(item, "answer_bytes");
        r->deadline_ms = get_number(item, "deadline_ms");
        r->is_keyed = json_is_true(json_object_get(item, "keyed"));
        r->is_long = json_is_true(json_object_get(item, "long"));
        w->total_weight += r->weight;
        if (r->path[0] != '/') {
            return bb_error_set(e, WORKLOAD_ERROR_VALUE,
                                "route %u: path must start with /", i);
        }
    }
    if (w->total_weight == 0) {
        return bb_error_set(e, WORKLOAD_ERROR_VALUE,
                            "no route has a weight above 0");
    }
    return true;
}

/* Reads the list of rate changes, whose times must be strictly ascending. */
static bool
read_rate_changes(struct bb_workload *w, const json_t *root,
                  struct bb_error *e)
{
    const json_t *list = json_object_get(root, "swings");

    w->rate_change_count = (uint32_t)json_array_size(list);
    w->rate_changes = g_new0(struct bb_load_rate_change, w->rate_change_count);
    for (uint32_t i = 0; i < w->rate_change_count; i++) {
        const json_t *item = json_array_get(list, i);

        w->rate_changes[i].at_ms = get_number(item, "at_ms");
        w->rate_changes[i].factor =
            json_number_value(json_object_get(item, "factor"));
        if (w->rate_changes[i].factor <= 0 ||
            (i > 0 &&
             w->rate_changes[i].at_ms <= w->rate_changes[i - 1].at_ms)) {
            return bb_error_set(e, WORKLOAD_ERROR_VALUE,
                                "swing %u: factor must be above 0 and at_ms "
                                "later than that of the previous swing",
                                i);
        }
    }
    return true;
}

/* Reads a workload file. Returns false with an error and an empty workload on
 * failure; else the caller frees it with bb_workload_clear. */
bool
bb_workload_read(struct bb_workload *w, const char *path, struct bb_error *e)
{
    json_error_t json_error;
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &json_error);
    bool is_read = false;

    *w = (struct bb_workload){0};
    if (root == NULL) {
        bb_error_set(e, WORKLOAD_ERROR_FILE, "%s line %d: %s", path,
                     json_error.line, json_error.text);
        return false;
    }
    copy_string(root, "name", path, w->name, sizeof(w->name));
    w->rate = get_number(root, "rate");
    w->long_permille = get_number(root, "long_permille");
    w->long_factor = get_number(root, "long_factor");
    w->rate_change_period_ms = get_number(root, "swing_period_ms");
    if (w->long_factor == 0) {
        w->long_factor = DEFAULT_LONG_FACTOR;
    }
    is_read = read_routes(w, root, e) && read_rate_changes(w, root, e);
    json_decref(root);
    if (!is_read) {
        bb_workload_clear(w);
    }
    return is_read;
}

/* Frees the lists of a workload and empties it. */
void
bb_workload_clear(struct bb_workload *w)
{
    g_free(w->routes);
    g_free(w->rate_changes);
    *w = (struct bb_workload){0};
}

/* Returns the factor of the rate at a time since the start of the run. */
static double
rate_factor_at(const struct bb_workload *w, uint64_t at_us)
{
    uint64_t at_ms = at_us / BB_US_PER_MS;
    double factor = 1;

    if (w->rate_change_period_ms > 0) {
        at_ms %= w->rate_change_period_ms;
    }
    for (uint32_t i = 0;
         i < w->rate_change_count && w->rate_changes[i].at_ms <= at_ms; i++) {
        factor = w->rate_changes[i].factor;
    }
    return factor;
}

/* Draws a random route in proportion to the weights. */
static const struct bb_load_route *
draw_route(const struct bb_workload *w, struct bb_random *random)
{
    uint64_t point = bb_random_below(random, w->total_weight);
    uint32_t i = 0;

    while (point >= w->routes[i].weight) {
        point -= w->routes[i].weight;
        i++;
    }
    return &w->routes[i];
}

/* Returns a random number from 0 to below 1. */
static double
draw_unit_interval(struct bb_random *random)
{
    /* 53 random bits, the precision of a double. */
    return (double)(bb_random_u64(random) >> 11) / 0x1p53;
}

/* Plans all calls of a run, at most CALLS_MAX. The intervals between calls are
 * exponentially distributed; rate is the nominal rate in calls per second, to
 * which the rate changes apply. If is_paired, each proxied call is followed by
 * a direct call with the same parameters, half a nominal interval later, so
 * that both meet the same conditions. Sets count; the caller frees the result
 * with g_free. */
struct bb_load_call *
bb_workload_plan(const struct bb_workload *w, uint64_t seed, uint64_t rate,
                 uint64_t duration_ms, bool is_paired, uint32_t *count)
{
    struct bb_random *random = bb_random_create(seed);
    GArray *calls = g_array_new(FALSE, TRUE, sizeof(struct bb_load_call));
    double at_us = 0;
    double mean_us = (double)BB_US_PER_S / (double)rate;

    while (calls->len < CALLS_MAX) {
        double u = draw_unit_interval(random);
        struct bb_load_call c = {0};

        at_us += -log1p(-u) * mean_us / rate_factor_at(w, (uint64_t)at_us);
        if (at_us >= (double)duration_ms * BB_US_PER_MS) {
            break;
        }
        c.planned_us = (uint64_t)at_us;
        c.index = calls->len;
        c.route = draw_route(w, random);
        c.is_long = bb_random_below(random, PERMILLE) < w->long_permille;
        c.work_us = c.route->work_us * (c.is_long ? w->long_factor : 1);
        c.is_long |= c.route->is_long;
        g_array_append_val(calls, c);
        if (is_paired) {
            c.is_direct = true;
            c.index = calls->len;
            g_array_append_val(calls, c);
        }
    }
    if (is_paired) {
        for (guint i = 1; i < calls->len; i += 2) {
            struct bb_load_call *c =
                &g_array_index(calls, struct bb_load_call, i);

            c->planned_us += (uint64_t)(mean_us / 2);
        }
    }
    bb_random_destroy(random);
    *count = calls->len;
    return (struct bb_load_call *)(void *)g_array_free(calls, FALSE);
}
