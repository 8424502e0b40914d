/* The sections [region NAME], [zone NAME] and [drain HOST], and [team NAME].
 */
#include <string.h>

#include "common/registry.h"
#include "merge.h"

static const struct bb_key_spec zone_keys[] = {
    {.name = "region", .is_required = true},
};

static const struct bb_key_spec team_keys[] = {
    {.name = "max-in-flight", .default_text = "0", .max = 1000000},
};

/* Appends a region, which consists of its name only. */
static void
add_region(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_region r = {0};

    (void)g_strlcpy(r.name, s->name, sizeof(r.name));
    (void)bb_section_append_item(c, s, c->regions, &r);
}

/* Appends a zone that has only its name so far. */
static void
add_zone(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_zone z = {.region = BB_INDEX_NONE};

    (void)g_strlcpy(z.name, s->name, sizeof(z.name));
    (void)bb_section_append_item(c, s, c->zones, &z);
}

/* Resolves a zone's reference to its region. */
static void
read_zone(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_zone *z = &g_array_index(c->zones, struct bb_zone, s->index);
    const char *region = bb_section_get_text(c, s, "region");

    if (region != NULL) {
        (void)bb_section_resolve_reference(c, s, "region", "region", region,
                                           &z->region);
    }
}

/* Adds a host that gets no new requests. The section has no keys. */
static void
add_drain(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_drain d = {0};

    (void)g_strlcpy(d.host, s->name, sizeof(d.host));
    (void)bb_section_append_item(c, s, c->drains, &d);
}

/* Appends a team that has only its name so far. */
static void
add_team(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_team t = {0};

    (void)g_strlcpy(t.name, s->name, sizeof(t.name));
    (void)bb_section_append_item(c, s, c->teams, &t);
}

/* Fills in the team from the keys of its section. */
static void
read_team(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_team *t = &g_array_index(c->teams, struct bb_team, s->index);

    t->max_in_flight = (uint32_t)bb_section_get_number(c, s, "max-in-flight");
}

static const struct bb_section_operations region_operations = {
    .has_name = true,
    .add = add_region,
};

static const struct bb_section_operations zone_operations = {
    .has_name = true,
    .keys = zone_keys,
    .key_count = G_N_ELEMENTS(zone_keys),
    .add = add_zone,
    .read = read_zone,
};

static const struct bb_section_operations drain_operations = {
    .has_name = true,
    .add = add_drain,
};

static const struct bb_section_operations team_operations = {
    .has_name = true,
    .keys = team_keys,
    .key_count = G_N_ELEMENTS(team_keys),
    .add = add_team,
    .read = read_team,
};

BB_PLUGIN(region, BB_PLUGIN_CONFIG_SECTION, "region", &region_operations);
BB_PLUGIN(zone, BB_PLUGIN_CONFIG_SECTION, "zone", &zone_operations);
BB_PLUGIN(drain, BB_PLUGIN_CONFIG_SECTION, "drain", &drain_operations);
BB_PLUGIN(team, BB_PLUGIN_CONFIG_SECTION, "team", &team_operations);
