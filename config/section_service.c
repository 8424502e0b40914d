/* The section [service NAME] and the check that calls between services have
 * no loop, which nested calls need to be free of deadlock. */
#include <string.h>

#include "common/registry.h"
#include "merge.h"

static const struct bb_key keys[] = {
    {.name = "team", .is_exclusive = true},
    {.name = "max-in-flight", .default_text = "0", .max = 100000},
    {.name = "queue-length", .default_text = "128", .max = 100000},
    {.name = "long-work-percent", .default_text = "50", .min = 1, .max = 100},
    {.name = "slow-start-ms", .default_text = "5000", .max = 600000},
    {.name = "retention-s", .default_text = "600", .min = 1, .max = 86400},
    {.name = "calls"},
};

/* Returns the compiled item of a service. */
static struct bb_service *
service_at(struct bb_compilation *c, uint16_t index)
{
    return &g_array_index(c->services, struct bb_service, index);
}

/* Adds a service. */
static void
add_service(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_service v = {.team = BB_INDEX_NONE};

    (void)g_strlcpy(v.name, s->name, sizeof(v.name));
    (void)bb_section_append(c, s, c->services, &v);
}

/* Reads the services that this one calls; a repeated name is a fault. */
static void
read_calls(struct bb_compilation *c, struct bb_section *s,
           struct bb_service *v)
{
    char **names = bb_section_list(c, s, "calls");
    uint32_t count = g_strv_length(names);

    if (count > BB_SECTIONS_MAX) {
        bb_section_fault(c, s, "calls", "has more than %d names",
                         BB_SECTIONS_MAX);
        count = 0;
    }
    v->calls = g_new0(uint16_t, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        if (g_strv_contains((const char *const *)names + i + 1, names[i])) {
            bb_section_fault(c, s, "calls", "names %s twice", names[i]);
        }
        else if (bb_section_refer(c, s, "calls", "service", names[i],
                                  &v->calls[v->call_count])) {
            v->call_count++;
        }
    }
    g_strfreev(names);
}

/* Reads the values of a service. */
static void
read_service(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_service *v = service_at(c, s->index);
    const char *team = bb_section_text(c, s, "team");

    if (team != NULL) {
        (void)bb_section_refer(c, s, "team", "team", team, &v->team);
    }
    v->max_in_flight = (uint32_t)bb_section_number(c, s, "max-in-flight");
    v->queue_length = (uint32_t)bb_section_number(c, s, "queue-length");
    v->long_work_percent =
        (uint32_t)bb_section_number(c, s, "long-work-percent");
    v->slow_start_ms = (uint32_t)bb_section_number(c, s, "slow-start-ms");
    v->retention_s = (uint32_t)bb_section_number(c, s, "retention-s");
    read_calls(c, s, v);
}

/* Marks every service from which no loop can be reached. A service is marked
 * once all those it calls are. */
static void
mark_loop_free(struct bb_compilation *c, bool *is_free)
{
    bool has_changed = true;

    while (has_changed) {
        has_changed = false;
        for (uint32_t i = 0; i < c->services->len; i++) {
            const struct bb_service *v = service_at(c, (uint16_t)i);
            bool all_free = true;

            for (uint16_t k = 0; k < v->call_count && all_free; k++) {
                all_free = is_free[v->calls[k]];
            }
            if (all_free && !is_free[i]) {
                is_free[i] = true;
                has_changed = true;
            }
        }
    }
}

/* Returns a service called by this one from which a loop can be reached. */
static uint16_t
next_in_loop(const struct bb_service *v, const bool *is_free)
{
    for (uint16_t k = 0; k < v->call_count; k++) {
        if (!is_free[v->calls[k]]) {
            return v->calls[k];
        }
    }
    return BB_INDEX_NONE;
}

/* Reports the loop that contains a service. */
static void
report_loop(struct bb_compilation *c, uint16_t start, const bool *is_free)
{
    GString *text = g_string_new(service_at(c, start)->name);
    uint16_t at = start;
    uint32_t shown = 0;

    do {
        at = next_in_loop(service_at(c, at), is_free);
        if (++shown <= 32) {
            g_string_append_printf(text, " -> %s", service_at(c, at)->name);
        }
    } while (at != start);
    bb_section_fault(c,
                     bb_section_find(c, "service", service_at(c, start)->name),
                     "calls", "the calls form a loop: %s", text->str);
    g_string_free(text, TRUE);
}

/* Reports each loop once: follows calls until a service comes up again in
 * this walk, which then lies on a loop. */
static void
check_loops(struct bb_compilation *c)
{
    bool *is_free = g_new0(bool, c->services->len + 1);
    uint32_t *walk_of = g_new0(uint32_t, c->services->len + 1);

    mark_loop_free(c, is_free);
    for (uint32_t i = 0; i < c->services->len; i++) {
        uint16_t at = (uint16_t)i;

        if (is_free[i]) {
            continue;
        }
        while (walk_of[at] == 0) {
            walk_of[at] = i + 1;
            at = next_in_loop(service_at(c, at), is_free);
        }
        if (walk_of[at] == i + 1) {
            report_loop(c, at, is_free);
        }
    }
    g_free(walk_of);
    g_free(is_free);
}

static const struct bb_section_operations operations = {
    .has_name = true,
    .keys = keys,
    .key_count = G_N_ELEMENTS(keys),
    .add = add_service,
    .read = read_service,
    .check = check_loops,
};

BB_PLUGIN(service, BB_PLUGIN_CONFIG_SECTION, "service", &operations);
