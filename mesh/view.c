/* Chooses relays and responsible control hosts from the member table of this
 * process. */
#include <string.h>

#include "mesh_internal.h"

/* Returns the target for RPC calls to a member. */
struct target
mesh_target_from_member(const struct bb_member *r)
{
    struct target t = {.rpc_address = r->rpc_address};

    (void)g_strlcpy(t.host, r->host, sizeof(t.host));
    (void)g_strlcpy(t.region, r->region, sizeof(t.region));
    return t;
}

/* Chooses the relays of a zone among its live nodes and returns their number.
 * A suspected node counts as live, so that a false suspicion changes no
 * relay. */
size_t
mesh_choose_relays(const struct bb_member_list *all, const char *zone,
                   struct bb_member out[BB_RELAYS_PER_ZONE])
{
    uint64_t *ids = g_new(uint64_t, all->count + 1);
    uint64_t chosen[BB_RELAYS_PER_ZONE];
    size_t live = 0;
    size_t count;

    for (size_t i = 0; i < all->count; i++) {
        const struct bb_member *r = &all->items[i];

        if (r->role == BB_ROLE_NODE && r->state <= BB_MEMBER_SUSPECT &&
            strcmp(r->zone, zone) == 0) {
            ids[live++] = bb_relay_id_from_name(r->host);
        }
    }
    count = bb_relay_choose_for_zone(ids, live, bb_relay_id_from_name(zone),
                                     chosen);
    g_free(ids);
    for (size_t i = 0; i < all->count; i++) {
        uint64_t id = bb_relay_id_from_name(all->items[i].host);

        for (size_t n = 0; n < count; n++) {
            if (chosen[n] == id) {
                out[n] = all->items[i];
            }
        }
    }
    return count;
}

/* Returns true unless the control host is known to be dead, to have left, or
 * to be unreachable. One without a record counts as live. */
static bool
is_control_host_live(struct bb_mesh *mesh, const struct bb_control_host *c)
{
    struct bb_member r;

    if (strcmp(c->host, mesh->settings.self.host) == 0) {
        return true;
    }
    if (!bb_member_table_get(mesh->members, c->host, &r)) {
        return true;
    }
    return r.state <= BB_MEMBER_SUSPECT && r.is_reachable;
}

/* Lists the control hosts of a region, or of all regions if NULL. */
static size_t
list_control_hosts(struct bb_mesh *mesh, const char *region, bool only_live,
                   struct target *out)
{
    const struct bb_control_list *list = &mesh->settings.control_hosts;
    size_t count = 0;

    for (uint32_t i = 0; i < list->count; i++) {
        const struct bb_control_host *c = &list->items[i];

        if ((region != NULL && strcmp(region, c->region) != 0) ||
            (only_live && !is_control_host_live(mesh, c))) {
            continue;
        }
        out[count] = (struct target){.rpc_address = c->rpc_address};
        (void)g_strlcpy(out[count].host, c->host, sizeof(out[count].host));
        (void)g_strlcpy(out[count].region, c->region,
                        sizeof(out[count].region));
        count++;
    }
    return count;
}

/* Lists the live control hosts of a region, or of all regions if NULL. Returns
 * their number, at most BB_CONTROL_HOSTS_MAX. */
size_t
mesh_list_live_control_hosts(struct bb_mesh *mesh, const char *region,
                             struct target *out)
{
    return list_control_hosts(mesh, region, true, out);
}

/* Lists the control hosts of a region, or of all regions if NULL, that a call
 * may reach: the live ones, or all if none is live, since the table may be out
 * of date. Returns their number. */
size_t
mesh_list_control_hosts_to_call(struct bb_mesh *mesh, const char *region,
                                struct target *out)
{
    size_t count = list_control_hosts(mesh, region, true, out);

    return count > 0 ? count : list_control_hosts(mesh, region, false, out);
}

/* Computes the relay ids of targets. */
static void
compute_target_ids(const struct target *targets, size_t count, uint64_t *ids)
{
    for (size_t i = 0; i < count; i++) {
        ids[i] = bb_relay_id_from_name(targets[i].host);
    }
}

/* Chooses the control host that is responsible for a zone of a region. Returns
 * false if no control host is live. */
bool
mesh_choose_control_host_for_zone(struct bb_mesh *mesh, const char *zone,
                                  const char *region, struct target *out)
{
    struct target same_region[BB_CONTROL_HOSTS_MAX];
    struct target all[BB_CONTROL_HOSTS_MAX];
    uint64_t same_region_ids[BB_CONTROL_HOSTS_MAX];
    uint64_t all_ids[BB_CONTROL_HOSTS_MAX];
    size_t same_region_count =
        mesh_list_live_control_hosts(mesh, region, same_region);
    size_t all_count = mesh_list_live_control_hosts(mesh, NULL, all);
    uint64_t chosen;

    compute_target_ids(same_region, same_region_count, same_region_ids);
    compute_target_ids(all, all_count, all_ids);
    chosen = bb_relay_choose_control_host(same_region_ids, same_region_count,
                                          all_ids, all_count,
                                          bb_relay_id_from_name(zone));
    for (size_t i = 0; i < all_count; i++) {
        if (all_ids[i] == chosen) {
            *out = all[i];
            return true;
        }
    }
    return false;
}

/* Chooses one live control host of a region by hashing with a key, so that all
 * hosts with the same key and members choose the same one. Returns false if
 * none is live. */
bool
mesh_choose_control_host_in_region(struct bb_mesh *mesh, const char *region,
                                   const char *key, struct target *out)
{
    struct target same_region[BB_CONTROL_HOSTS_MAX];
    uint64_t ids[BB_CONTROL_HOSTS_MAX];
    size_t count = mesh_list_live_control_hosts(mesh, region, same_region);
    uint64_t chosen = 0;

    compute_target_ids(same_region, count, ids);
    (void)bb_relay_rank(ids, count, bb_relay_id_from_name(key), &chosen, 1);
    for (size_t i = 0; i < count; i++) {
        if (ids[i] == chosen) {
            *out = same_region[i];
            return true;
        }
    }
    return false;
}

/* Returns true if this process pings the other zones on behalf of its zone: if
 * it is a relay, or the first live control host by name of a zone without
 * nodes. */
static bool
should_ping_zones(struct bb_mesh *mesh, const struct view *v)
{
    const char *first = mesh->settings.self.host;

    if (v->is_relay || !mesh->is_control_host || v->relay_count > 0) {
        return v->is_relay;
    }
    for (size_t i = 0; i < v->members.count; i++) {
        const struct bb_member *r = &v->members.items[i];

        if (r->state <= BB_MEMBER_SUSPECT && r->role == BB_ROLE_CONTROL &&
            strcmp(r->zone, mesh->settings.self.zone) == 0 &&
            strcmp(r->host, first) < 0) {
            first = r->host;
        }
    }
    return strcmp(first, mesh->settings.self.host) == 0;
}

/* If the member table has changed, copies it into the view and updates the
 * roles of this process. */
void
mesh_refresh_view(struct bb_mesh *mesh)
{
    const struct bb_member *self = &mesh->settings.self;
    struct view *v = &mesh->view;
    struct bb_member relays[BB_RELAYS_PER_ZONE];

    if (bb_member_table_get_change_number(mesh->members) ==
        mesh->view_change) {
        return;
    }
    bb_member_list_clear(&v->members);
    mesh->view_change = bb_member_table_select(
        mesh->members, &(struct bb_member_query){0}, &v->members);
    (void)pthread_mutex_lock(&mesh->lock);
    v->relay_count = mesh_choose_relays(&v->members, self->zone, relays);
    v->is_relay = false;
    for (size_t i = 0; i < v->relay_count; i++) {
        v->relays[i] = mesh_target_from_member(&relays[i]);
        v->is_relay |= strcmp(relays[i].host, self->host) == 0;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    v->pings_zones = should_ping_zones(mesh, v);
    bb_gossip_enable_zone_pings(mesh->gossip, v->pings_zones);
}
