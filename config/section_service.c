/* The section [service NAME], and the check that calls between services form
 * no cycle: nested calls in a cycle could deadlock. */
#include <string.h>

#include "common/registry.h"
#include "merge.h"

enum { CYCLE_CALLS_SHOWN_MAX = 32 };

/* 600000 ms are 10 minutes, 86400 s are one day. */
static const struct bb_key_spec keys[] = {
    {.name = "team", .is_exclusive = true},
    {.name = "max-in-flight", .default_text = "0", .max = 100000},
    {.name = "queue-length", .default_text = "128", .max = 100000},
    {.name = "long-work-percent", .default_text = "50", .min = 1, .max = 100},
    {.name = "slow-start-ms", .default_text = "5000", .max = 600000},
    {.name = "retention-s", .default_text = "600", .min = 1, .max = 86400},
    {.name = "calls"},
};

/* Returns the service at index. The pointer is valid until a service is
 * added. */
static struct bb_service *
get_service(struct bb_compilation *c, uint16_t index)
{
    return &g_array_index(c->services, struct bb_service, index);
}

/* Appends a service that has only its name so far. */
static void
add_service(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_service v = {.team = BB_INDEX_NONE};

    (void)g_strlcpy(v.name, s->name, sizeof(v.name));
    (void)bb_section_append_item(c, s, c->services, &v);
}

/* Resolves the services that this one calls. A duplicate name is a fault. */
static void
read_calls(struct bb_compilation *c, struct bb_section *s,
           struct bb_service *v)
{
    char **names = bb_section_get_list(c, s, "calls");
    uint32_t count = g_strv_length(names);

    if (count > BB_SECTIONS_MAX) {
        bb_section_add_fault(c, s, "calls", "has more than %d names",
                             BB_SECTIONS_MAX);
        count = 0;
    }
    v->callees = g_new0(uint16_t, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        if (g_strv_contains((const char *const *)names + i + 1, names[i])) {
            bb_section_add_fault(c, s, "calls", "names %s twice", names[i]);
        }
        else if (bb_section_resolve_reference(c, s, "calls", "service",
                                              names[i],
                                              &v->callees[v->callee_count])) {
            v->callee_count++;
        }
    }
    g_strfreev(names);
}

/* Fills in the service from the keys of its section. */
static void
read_service(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_service *v = get_service(c, s->index);
    const char *team = bb_section_get_text(c, s, "team");

    if (team != NULL) {
        (void)bb_section_resolve_reference(c, s, "team", "team", team,
                                           &v->team);
    }
    v->max_in_flight = (uint32_t)bb_section_get_number(c, s, "max-in-flight");
    v->queue_length = (uint32_t)bb_section_get_number(c, s, "queue-length");
    v->long_work_percent =
        (uint32_t)bb_section_get_number(c, s, "long-work-percent");
    v->slow_start_ms = (uint32_t)bb_section_get_number(c, s, "slow-start-ms");
    v->retention_s = (uint32_t)bb_section_get_number(c, s, "retention-s");
    read_calls(c, s, v);
}

/* Marks every service from which no cycle can be reached. A service is marked
 * once all services that it calls are marked. */
static void
mark_acyclic(struct bb_compilation *c, bool *is_acyclic)
{
    bool has_progress = true;

    while (has_progress) {
        has_progress = false;
        for (uint32_t i = 0; i < c->services->len; i++) {
            const struct bb_service *v = get_service(c, (uint16_t)i);
            bool calls_acyclic_only = true;

            for (uint16_t k = 0; k < v->callee_count && calls_acyclic_only;
                 k++) {
                calls_acyclic_only = is_acyclic[v->callees[k]];
            }
            if (calls_acyclic_only && !is_acyclic[i]) {
                is_acyclic[i] = true;
                has_progress = true;
            }
        }
    }
}

/* Returns the first service called by this one from which a cycle can be
 * reached, or BB_INDEX_NONE. */
static uint16_t
find_cyclic_callee(const struct bb_service *v, const bool *is_acyclic)
{
    for (uint16_t k = 0; k < v->callee_count; k++) {
        if (!is_acyclic[v->callees[k]]) {
            return v->callees[k];
        }
    }
    return BB_INDEX_NONE;
}

/* Adds a fault for the cycle that contains a service. Only the first
 * CYCLE_CALLS_SHOWN_MAX calls are named, with no sign that the list is cut.
 * The word "loop" must stay: operators' tools match it. */
static void
report_cycle(struct bb_compilation *c, uint16_t start, const bool *is_acyclic)
{
    GString *text = g_string_new(get_service(c, start)->name);
    uint16_t at = start;
    uint32_t shown = 0;

    do {
        at = find_cyclic_callee(get_service(c, at), is_acyclic);
        if (++shown <= CYCLE_CALLS_SHOWN_MAX) {
            g_string_append_printf(text, " -> %s", get_service(c, at)->name);
        }
    } while (at != start);
    bb_section_add_fault(
        c, bb_section_find(c, "service", get_service(c, start)->name), "calls",
        "the calls form a loop: %s", text->str);
    g_string_free(text, TRUE);
}

/* Adds one fault for each cycle that a walk finds. A walk along the calls
 * starts at each service that can reach a cycle and ends at the first service
 * that a walk has visited; if it was the same walk, that service is on a cycle
 * which is not reported yet. A service that only leads to a cycle gets no
 * fault. walk_of has the 1-based number of the walk that visited each service,
 * 0 for none. */
static void
check_call_cycles(struct bb_compilation *c)
{
    bool *is_acyclic = g_new0(bool, c->services->len + 1);
    uint32_t *walk_of = g_new0(uint32_t, c->services->len + 1);

    mark_acyclic(c, is_acyclic);
    for (uint32_t i = 0; i < c->services->len; i++) {
        uint16_t at = (uint16_t)i;

        if (is_acyclic[i]) {
            continue;
        }
        while (walk_of[at] == 0) {
            walk_of[at] = i + 1;
            at = find_cyclic_callee(get_service(c, at), is_acyclic);
        }
        if (walk_of[at] == i + 1) {
            report_cycle(c, at, is_acyclic);
        }
    }
    g_free(walk_of);
    g_free(is_acyclic);
}

static const struct bb_section_operations operations = {
    .has_name = true,
    .keys = keys,
    .key_count = G_N_ELEMENTS(keys),
    .add = add_service,
    .read = read_service,
    .check = check_call_cycles,
};

BB_PLUGIN(service, BB_PLUGIN_CONFIG_SECTION, "service", &operations);
