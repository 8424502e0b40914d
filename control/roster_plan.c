#include "control/roster_plan.h"

#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "decide/roster.h"

/* The planner state of one service. */
struct service_planner {
    struct bb_roster_planner planner;
    uint64_t epoch; /* of the roster in force */
    /* Revision in which the epoch came into force, or a later one if this
     * process did not see that. */
    uint64_t epoch_revision;
};

struct bb_roster_planner_set {
    GHashTable *service_planners; /* service name -> struct service_planner */
    /* Scratch space of a call; too large for the stack. */
    struct bb_roster current;
    struct bb_roster next;
    struct bb_roster_host hosts[BB_ROSTER_KNOWN_HOSTS_MAX];
};

/* Creates a set of planners, without any services; freed with
 * bb_roster_planner_set_destroy. */
struct bb_roster_planner_set *
bb_roster_planner_set_create(void)
{
    struct bb_roster_planner_set *p = g_new0(struct bb_roster_planner_set, 1);

    p->service_planners =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return p;
}

/* Frees a set of planners; NULL is allowed. */
void
bb_roster_planner_set_destroy(struct bb_roster_planner_set *p)
{
    if (p != NULL) {
        g_hash_table_destroy(p->service_planners);
        g_free(p);
    }
}

/* Returns the planner state of a service, which is created at first use. */
static struct service_planner *
get_service_planner(struct bb_roster_planner_set *p, const char *service)
{
    struct service_planner *s =
        g_hash_table_lookup(p->service_planners, service);

    if (s == NULL) {
        s = g_new0(struct service_planner, 1);
        (void)g_hash_table_insert(p->service_planners, g_strdup(service), s);
    }
    return s;
}

/* Returns whether the configuration drains a host. */
static bool
is_drained(const struct bb_config *c, const char *host)
{
    for (uint16_t i = 0; i < c->drain_count; i++) {
        if (strcmp(c->drains[i].host, host) == 0) {
            return true;
        }
    }
    return false;
}

/* Describes a member as a possible witness of a service; see decide/roster.h
 * for witnesses, epochs and claims. A host adopts an epoch when it applies the
 * revision that introduces it. A host that left the mesh in an orderly way
 * grants no more claims, nor does one that is dead and drained by the
 * operators; a dead one that is not drained may only be unreachable. */
static struct bb_roster_host
describe_host(const struct bb_member *m, const char *service,
              const struct bb_config *c, uint64_t epoch_revision)
{
    bool is_running =
        m->state == BB_MEMBER_ALIVE || m->state == BB_MEMBER_SUSPECT;
    bool is_serving = is_running && strcmp(m->service, service) == 0;
    bool is_drained_host = is_drained(c, m->host);

    return (struct bb_roster_host){
        .host = bb_roster_host_key(m->host),
        .is_ready = is_serving && !is_drained_host &&
                    m->state == BB_MEMBER_ALIVE && m->is_reachable &&
                    m->upstream_state == BB_UPSTREAM_READY,
        .is_present = is_serving,
        .has_adopted = m->applied_revision >= epoch_revision ||
                       m->state == BB_MEMBER_LEFT ||
                       (!is_running && is_drained_host),
    };
}

/* Returns whether a list contains a host name. */
static bool
list_has_host(const struct bb_host_list *l, const char *host)
{
    for (uint32_t i = 0; i < l->count; i++) {
        if (strcmp(l->names[i], host) == 0) {
            return true;
        }
    }
    return false;
}

/* Fills in p->hosts with the members that serve a service or are in its
 * roster; r may be NULL. Returns their number, at most
 * BB_ROSTER_KNOWN_HOSTS_MAX. */
static uint32_t
list_hosts(struct bb_roster_planner_set *p, const char *service,
           const struct bb_service_roster *r, const struct bb_config *c,
           const struct bb_member_list *members, uint64_t epoch_revision)
{
    uint32_t count = 0;

    for (size_t i = 0; i < members->count && count < BB_ROSTER_KNOWN_HOSTS_MAX;
         i++) {
        const struct bb_member *m = &members->items[i];

        if (m->role == BB_ROLE_NODE &&
            (strcmp(m->service, service) == 0 ||
             (r != NULL && (list_has_host(&r->hosts, m->host) ||
                            list_has_host(&r->previous_hosts, m->host))))) {
            p->hosts[count] = describe_host(m, service, c, epoch_revision);
            count++;
        }
    }
    return count;
}

/* Orders host names for qsort. */
static int
compare_names(const void *a, const void *b)
{
    return strcmp(a, b);
}

/* Returns the name of the host with a key (see bb_roster_host_key), looked up
 * in the current roster r, which may be NULL, and the members. Returns NULL if
 * there is none. */
static const char *
find_host_name(const struct bb_member_list *members,
               const struct bb_service_roster *r, uint64_t host_key)
{
    for (uint32_t i = 0; r != NULL && i < r->hosts.count; i++) {
        if (bb_roster_host_key(r->hosts.names[i]) == host_key) {
            return r->hosts.names[i];
        }
    }
    for (size_t i = 0; i < members->count; i++) {
        if (bb_roster_host_key(members->items[i].host) == host_key) {
            return members->items[i].host;
        }
    }
    return NULL;
}

/* Puts the planned roster of a service into a set of rosters. Returns false,
 * and logs why, if that is not possible. current may be NULL. */
static bool
put_planned_roster(const struct bb_roster *next, const char *service,
                   const struct bb_service_roster *current,
                   const struct bb_member_list *members,
                   struct bb_rosters *rosters)
{
    char(*names)[BB_NAME_BYTES] =
        g_malloc0_n(next->host_count, sizeof(names[0]));
    struct bb_service_roster item = {.epoch = next->epoch,
                                     .hosts = {names, next->host_count}};
    struct bb_error e = {0};
    bool ok = true;

    (void)g_strlcpy(item.service, service, sizeof(item.service));
    for (uint32_t i = 0; ok && i < next->host_count; i++) {
        const char *name = find_host_name(members, current, next->hosts[i]);

        ok = name != NULL;
        if (ok) {
            (void)g_strlcpy(names[i], name, sizeof(names[i]));
        }
    }
    qsort(names, next->host_count, sizeof(names[0]), compare_names);
    if (next->previous_count > 0 && current != NULL) {
        item.previous_hosts = current->hosts;
    }
    ok = ok && bb_rosters_put(rosters, &item, &e);
    if (!ok) {
        bb_log_warning(
            "roster.refused", "service %s: %s; its roster stays unchanged",
            service,
            e.code != 0
                ? e.message
                : "a planned host is neither in the roster nor a member");
    }
    g_free(names);
    return ok;
}

/* Plans the roster of one service. Returns whether it changed the set. */
static bool
plan_service(struct bb_roster_planner_set *p, const struct bb_bundle *in_force,
             const struct bb_config *config, uint16_t service,
             const struct bb_member_list *members, uint64_t now_us,
             struct bb_rosters *rosters)
{
    const struct bb_service *c = &config->services[service];
    const struct bb_service_roster *r =
        bb_rosters_find(in_force->rosters, c->name);
    struct service_planner *s = get_service_planner(p, c->name);
    struct bb_roster_input in = {
        .now_us = now_us,
        .retention_us = (uint64_t)c->retention_s * BB_US_PER_S,
        /* An epoch is never higher than the revision that introduces it, so
         * this one is above all epochs of a roster that was lost with all
         * disks. */
        .first_epoch = in_force->revision + 1,
        .current = &p->current,
        .hosts = p->hosts,
    };

    memset(&p->current, 0, sizeof(p->current));
    if (r != NULL) {
        bb_service_roster_to_hashes(r, &p->current);
        if (s->epoch != r->epoch) {
            s->epoch = r->epoch;
            s->epoch_revision = in_force->revision;
        }
    }
    in.host_count =
        list_hosts(p, c->name, r, config, members, s->epoch_revision);
    return bb_roster_plan_next(&s->planner, &in, &p->next) &&
           put_planned_roster(&p->next, c->name, r, members, rosters);
}

/* Records the state of the members and returns the rosters to propose now,
 * which the caller frees with bb_rosters_destroy, or NULL if those in force
 * stay. config is compiled from in_force. now_us is monotonic. The roster of a
 * service that is no longer configured stays unchanged, in case the service is
 * configured again. */
struct bb_rosters *
bb_roster_planner_set_update(struct bb_roster_planner_set *p,
                             const struct bb_bundle *in_force,
                             const struct bb_config *config,
                             const struct bb_member_list *members,
                             uint64_t now_us)
{
    struct bb_rosters *rosters = bb_rosters_copy(in_force->rosters);
    bool is_changed = false;

    for (uint16_t i = 0; i < config->service_count; i++) {
        is_changed =
            plan_service(p, in_force, config, i, members, now_us, rosters) ||
            is_changed;
    }
    if (!is_changed) {
        bb_rosters_destroy(rosters);
        rosters = NULL;
    }
    return rosters;
}
