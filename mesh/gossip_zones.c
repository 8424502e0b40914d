/* Reachability of other zones: pings to them, and the time since any process
 * of this member's zone last heard from each. */
#include <string.h>

#include "common/clock.h"
#include "gossip_internal.h"

/* Returns the contact of a zone. A new zone is added and counts as heard from
 * now; NULL if there are too many zones. */
static struct zone_contact *
find_or_add_zone_contact(struct bb_gossip *g, const char *zone,
                         uint64_t now_us)
{
    struct zone_contact *z;

    for (uint32_t i = 0; i < g->zone_count; i++) {
        if (strcmp(g->zones[i].zone, zone) == 0) {
            return &g->zones[i];
        }
    }
    if (g->zone_count == BB_MEMBER_TABLE_ZONES_MAX) {
        return NULL;
    }
    z = &g->zones[g->zone_count++];
    *z = (struct zone_contact){.last_heard_us = now_us};
    (void)g_strlcpy(z->zone, zone, sizeof(z->zone));
    return z;
}

/* Updates the time that another zone was last heard from, by this process or
 * by a peer. Times in the future are ignored. */
void
gossip_update_zone_contact(struct bb_gossip *g, const char *zone,
                           uint64_t heard_us, uint64_t now_us)
{
    struct zone_contact *z;

    if (strcmp(zone, g->self.zone) == 0) {
        return;
    }
    z = find_or_add_zone_contact(g, zone, now_us);
    if (z != NULL && z->last_heard_us < heard_us && heard_us <= now_us) {
        z->last_heard_us = heard_us;
    }
}

/* Pings a random live member of a zone. */
static void
ping_zone(struct bb_gossip *g, const struct zone_contact *z,
          const struct bb_member_list *list, uint64_t now_us)
{
    const struct gossip_message m = {
        .kind = MESH_PING,
        .ping_number = ++g->last_ping_number,
        .target = "",
        .is_minimal = true,
    };
    const struct bb_member *picked = NULL;
    uint32_t seen = 0; /* candidates so far, for reservoir sampling */

    for (size_t i = 0; i < list->count; i++) {
        const struct bb_member *r = &list->items[i];

        if (strcmp(r->zone, z->zone) == 0 && r->state <= BB_MEMBER_SUSPECT &&
            r->gossip_address.port != 0 &&
            gossip_random_u64(g) % ++seen == 0) {
            picked = r;
        }
    }
    if (picked != NULL) {
        gossip_send(g, &picked->gossip_address, picked->region, &m, now_us);
    }
}

/* Returns true if a zone is in another region, or its region is not known
 * yet. */
static bool
is_other_region_zone(const struct bb_gossip *g, const struct zone_contact *z)
{
    return strcmp(z->region, g->self.region) != 0;
}

/* Pings the other zones: all of this region in every round, and one of another
 * region in every second round, because traffic between regions is billed by
 * volume. */
static void
ping_zones(struct bb_gossip *g, uint64_t now_us)
{
    const struct bb_member_query q = {.except_zone = g->self.zone};
    struct bb_member_list list;
    uint32_t other_region_count = 0;
    uint32_t other_region_index = 0;
    uint32_t other_region_turn = 0;

    (void)bb_member_table_select(g->settings.members, &q, &list);
    for (size_t i = 0; i < list.count; i++) {
        (void)find_or_add_zone_contact(g, list.items[i].zone, now_us);
    }
    for (uint32_t i = 0; i < g->zone_count; i++) {
        other_region_count += is_other_region_zone(g, &g->zones[i]);
    }
    if (other_region_count > 0) {
        other_region_turn = g->zone_ping_round / 2 % other_region_count;
    }
    for (uint32_t i = 0; i < g->zone_count; i++) {
        bool is_turn = true;

        if (is_other_region_zone(g, &g->zones[i])) {
            is_turn = g->zone_ping_round % 2 == 0 &&
                      other_region_index == other_region_turn;
            other_region_index++;
        }
        if (is_turn) {
            ping_zone(g, &g->zones[i], &list, now_us);
        }
    }
    g->zone_ping_round++;
    bb_member_list_clear(&list);
}

/* Marks each zone as reachable or not by the time since it was last heard
 * from. */
static void
update_zone_reachability(struct bb_gossip *g, uint64_t now_us)
{
    for (uint32_t i = 0; i < g->zone_count; i++) {
        struct zone_contact *z = &g->zones[i];
        uint64_t limit_ms = BB_GOSSIP_UNREACHABLE_AFTER_MS;

        if (z->region[0] == '\0') {
            (void)bb_member_table_find_zone_region(g->settings.members,
                                                   z->zone, z->region);
        }
        if (is_other_region_zone(g, z)) {
            limit_ms = BB_GOSSIP_OTHER_REGION_UNREACHABLE_AFTER_MS;
        }
        bb_member_table_set_zone_reachable(g->settings.members, z->zone,
                                           now_us - z->last_heard_us <
                                               limit_ms * BB_US_PER_MS);
    }
}

/* Pings the other zones if this is enabled, and updates their reachability. */
void
gossip_update_zones(struct bb_gossip *g, uint64_t now_us)
{
    if (g->pings_zones) {
        ping_zones(g, now_us);
    }
    update_zone_reachability(g, now_us);
}
