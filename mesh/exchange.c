/* Reports of changed records, and joining. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "mesh_internal.h"

enum { JOIN_RETRY_MS = 500, JOIN_JITTER_MS = 500, FLOORS_MS = 500 };

BB_COUNTER(records_reported_total, "baobab_mesh_records_reported_total",
           "Records sent in reports");

/* Returns where records from a process came from. */
static enum bb_member_origin
origin_of(struct bb_mesh *mesh, const char *from)
{
    const struct bb_control_host *c =
        bb_control_list_find(&mesh->settings.controls, from);

    if (c == NULL) {
        return BB_ORIGIN_ZONE;
    }
    return strcmp(c->region, mesh->settings.self.region) == 0
               ? BB_ORIGIN_CONTROL
               : BB_ORIGIN_OTHER_REGION;
}

/* Merges records that arrived by RPC; ones that are not valid are left out. */
void
mesh_take_records(struct bb_mesh *mesh, const mesh_record *records,
                  u_int count, const char *from)
{
    enum bb_member_origin origin = origin_of(mesh, from);
    uint64_t now_us = bb_clock_now_us();
    struct bb_member r;

    for (u_int i = 0; i < count; i++) {
        if (!bb_wire_to_member(&records[i], &r)) {
            continue;
        }
        if (strcmp(r.host, mesh->settings.self.host) == 0) {
            bb_gossip_check_self(mesh->gossip, &r, now_us);
            continue;
        }
        (void)bb_members_merge(mesh->members, &r, origin, now_us);
    }
}

/* Queues a report of what has changed for a peer since the last one. A peer
 * that is new starts at `first`: 0 for the whole table. */
static void
report(struct bb_mesh *mesh, const struct target *to,
       struct bb_members_query *q, uint64_t first, uint64_t now_us)
{
    struct task task = {.kind = TASK_REPORT, .to = *to};
    struct bb_member r;
    struct peer *peer;

    (void)pthread_mutex_lock(&mesh->lock);
    peer = mesh_peer(mesh, to->host);
    if (!peer->has_cursor) {
        peer->has_cursor = true;
        peer->cursor = first;
    }
    if (peer->is_reporting || now_us < peer->next_report_us) {
        goto out;
    }
    if (bb_members_get(mesh->members, to->host, &r) &&
        r.incarnation != peer->told_incarnation) {
        /* It has restarted and knows nothing of earlier reports. */
        peer->cursor = peer->told_incarnation == 0 ? peer->cursor : first;
        peer->told_incarnation = r.incarnation;
    }
    peer->next_report_us = now_us + MESH_REPORT_MS * BB_US_PER_MS;
    q->since = peer->cursor;
    task.cursor = bb_members_select(mesh->members, q, &task.records);
    if (task.records.count == 0) {
        peer->cursor = task.cursor;
        bb_member_list_clear(&task.records);
        goto out;
    }
    peer->is_reporting = mesh_enqueue(mesh, &task, false);
out:
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Reports from a relay: the records of its zone to the responsible control
 * host, and changes of routes to the members it serves. */
static void
report_from_relay(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member *self = &mesh->settings.self;
    const struct view *v = &mesh->view;
    uint64_t own = bb_relay_id_from_name(self->host);
    uint64_t ids[BB_RELAYS_PER_ZONE];
    struct target control;

    if (mesh_control_for_zone(mesh, self->zone, self->region, &control)) {
        struct bb_members_query up = {.zone = self->zone};

        report(mesh, &control, &up, 0, now_us);
    }
    for (size_t i = 0; i < v->relay_count; i++) {
        ids[i] = bb_relay_id_from_name(v->relays[i].host);
    }
    for (size_t i = 0; i < v->all.count; i++) {
        const struct bb_member *r = &v->all.items[i];
        struct bb_members_query down = {.only_routing = true};
        struct target to = mesh_target(r);

        if (r->role == BB_ROLE_NODE && r->state == BB_MEMBER_ALIVE &&
            strcmp(r->zone, self->zone) == 0 &&
            strcmp(r->host, self->host) != 0 &&
            bb_relay_choose_for_member(
                ids, v->relay_count, bb_relay_id_from_name(r->host)) == own) {
            report(mesh, &to, &down, mesh->view_version, now_us);
        }
    }
}

/* Reports from a control host to the relays of the zones that it is
 * responsible for: changes of routes outside their zone. */
static void
report_to_relays(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member_list *all = &mesh->view.all;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < all->count; i++) {
        const struct bb_member *r = &all->items[i];
        struct bb_member relays[BB_RELAYS_PER_ZONE];
        struct bb_members_query down = {.only_routing = true,
                                        .except_zone = r->zone};
        struct target to;
        size_t count;

        if (!g_hash_table_add(seen, (gpointer)r->zone) ||
            !mesh_control_for_zone(mesh, r->zone, r->region, &to) ||
            strcmp(to.host, mesh->settings.self.host) != 0) {
            continue;
        }
        count = mesh_relays_of(all, r->zone, relays);
        for (size_t n = 0; n < count; n++) {
            to = mesh_target(&relays[n]);
            report(mesh, &to, &down, 0, now_us);
        }
    }
    g_hash_table_destroy(seen);
}

/* Sends the zone floors of the own region to another region when they have
 * changed, by the one control host that is chosen for it. */
static void
report_floors(struct bb_mesh *mesh, const struct target *to, uint64_t now_us)
{
    const struct bb_member *self = &mesh->settings.self;
    struct task task = {.kind = TASK_REPORT, .to = *to};
    struct bb_zone_floor floors[BB_MEMBERS_ZONES_MAX] = {0};
    struct target sender;
    uint64_t digest;

    if (now_us < mesh->next_floor_us ||
        !mesh_receiver_of_region(mesh, self->region, self->region, &sender) ||
        strcmp(sender.host, self->host) != 0) {
        return;
    }
    mesh->next_floor_us = now_us + FLOORS_MS * BB_US_PER_MS;
    task.floor_count = bb_members_floors(mesh->members, self->region, floors,
                                         BB_MEMBERS_ZONES_MAX);
    digest = bb_hash64(floors, task.floor_count * sizeof(*floors), 0);
    (void)pthread_mutex_lock(&mesh->lock);
    if (digest != mesh->floor_digest &&
        !mesh_peer(mesh, to->host)->is_reporting) {
        task.floors = g_memdup2(floors, task.floor_count * sizeof(*floors));
        if (mesh_enqueue(mesh, &task, false)) {
            mesh_peer(mesh, to->host)->is_reporting = true;
            mesh->floor_digest = digest;
        }
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Reports between control hosts: every change to those of the own region, but
 * what came from one of these; to one of each other region the changes of
 * routes of the own region that this host learned first-hand. */
static void
report_to_controls(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_control_list *list = &mesh->settings.controls;
    const struct bb_member *self = &mesh->settings.self;

    for (uint32_t i = 0; i < list->count; i++) {
        const struct bb_control_host *c = &list->items[i];
        struct target to = {.rpc = c->rpc};
        struct bb_members_query near = {.origins = BB_ORIGIN_ZONE |
                                                   BB_ORIGIN_OTHER_REGION};
        struct bb_members_query far = {.origins = BB_ORIGIN_ZONE,
                                       .region = self->region,
                                       .only_routing = true};

        (void)g_strlcpy(to.host, c->host, sizeof(to.host));
        (void)g_strlcpy(to.region, c->region, sizeof(to.region));
        if (strcmp(c->host, self->host) == 0) {
            continue;
        }
        if (strcmp(c->region, self->region) == 0) {
            report(mesh, &to, &near, 0, now_us);
            continue;
        }
        if (mesh_receiver_of_region(mesh, c->region, self->region, &to) &&
            strcmp(to.host, c->host) == 0) {
            report(mesh, &to, &far, 0, now_us);
            report_floors(mesh, &to, now_us);
        }
    }
}

/* Queues the reports that are due. */
void
mesh_schedule_reports(struct bb_mesh *mesh, uint64_t now_us)
{
    if (mesh->is_control) {
        report_to_relays(mesh, now_us);
        report_to_controls(mesh, now_us);
    }
    else if (mesh->view.is_relay) {
        report_from_relay(mesh, now_us);
    }
}

/* Sends a report. The peer's cursor advances only when it has answered. */
void
mesh_run_report(struct bb_mesh *mesh, struct task *task)
{
    mesh_zone_floor floors[BB_MEMBERS_ZONES_MAX];
    mesh_report question = {
        .from = mesh->settings.self.host,
        .highest_revision = bb_gossip_highest(mesh->gossip),
        .floors = {.floors_val = floors,
                   .floors_len = (u_int)task->floor_count},
    };
    mesh_report_answer answer = {0};
    struct peer *peer;
    bool is_done;

    for (size_t i = 0; i < task->floor_count; i++) {
        const struct bb_zone_floor *f = &task->floors[i];

        floors[i] = (mesh_zone_floor){.zone = bb_wire_name(f->zone),
                                      .member_count = f->member_count,
                                      .roster_digest = f->roster_digest,
                                      .applied_revision = f->applied_revision};
    }
    question.records.records_val = bb_wire_records(&task->records);
    question.records.records_len = (u_int)task->records.count;
    is_done = mesh_call(mesh, &task->to, MESH_REPORT, &question, &answer);
    if (is_done) {
        bb_counter_add(&records_reported_total, task->records.count);
        bb_gossip_note_revision(mesh->gossip, answer.highest_revision);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    peer = mesh_peer(mesh, task->to.host);
    peer->is_reporting = false;
    if (is_done) {
        peer->cursor = MAX(peer->cursor, task->cursor);
    }
    else if (task->floor_count > 0) {
        mesh->floor_digest = 0;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    question.floors.floors_len = 0;
    question.floors.floors_val = NULL;
    question.from = NULL;
    xdr_free((xdrproc_t)xdr_mesh_report, (char *)&question);
}

/* Queues a JOIN to a process; call with the lock held. False if one is under
 * way. */
bool
mesh_enqueue_join(struct bb_mesh *mesh, const struct target *to)
{
    struct task task = {.kind = TASK_JOIN, .to = *to};
    struct peer *peer = mesh_peer(mesh, to->host);

    if (peer->is_joining || !mesh_enqueue(mesh, &task, true)) {
        return false;
    }
    peer->is_joining = true;
    mesh->joins_pending++;
    return true;
}

/* Queues a JOIN to a control host until one has answered; those of the own
 * region are asked in turn, then those of all. */
void
mesh_schedule_join(struct bb_mesh *mesh, uint64_t now_us)
{
    struct target controls[BB_CONTROL_HOSTS_MAX];
    const char *region = mesh->settings.self.region;
    uint64_t own = bb_relay_id_from_name(mesh->settings.self.host);
    size_t count;

    (void)pthread_mutex_lock(&mesh->lock);
    if (mesh->is_joined || now_us < mesh->next_join_us) {
        goto out;
    }
    mesh->next_join_us =
        now_us +
        (JOIN_RETRY_MS + bb_random_below(mesh->random, JOIN_JITTER_MS)) *
            BB_US_PER_MS;
    count = mesh_controls_to_ask(
        mesh, mesh->join_round % 2 == 0 ? region : NULL, controls);
    if (count > 0) {
        const struct target *to =
            &controls[(own + mesh->join_round / 2) % count];

        if (strcmp(to->host, mesh->settings.self.host) != 0) {
            (void)mesh_enqueue_join(mesh, to);
        }
    }
    mesh->join_round++;
out:
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Joins at one process and takes over what it knows. */
void
mesh_run_join(struct bb_mesh *mesh, struct task *task)
{
    struct bb_wire_endpoints storage;
    mesh_join question = {0};
    mesh_join_answer answer = {0};
    struct bb_member self;
    bool is_done;

    bb_gossip_self(mesh->gossip, &self);
    bb_wire_from_member(&self, &question.record, &storage);
    is_done = mesh_call(mesh, &task->to, MESH_JOIN, &question, &answer);
    if (is_done) {
        mesh_take_records(mesh, answer.records.records_val,
                          answer.records.records_len, task->to.host);
        bb_gossip_note_revision(mesh->gossip, answer.highest_revision);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    mesh_peer(mesh, task->to.host)->is_joining = false;
    mesh->joins_pending--;
    if (is_done) {
        mesh->floor_revision =
            MAX(mesh->floor_revision, answer.remembered_revision);
        mesh->is_floor_known |= answer.is_informed;
        mesh->is_joined |= bb_control_list_find(&mesh->settings.controls,
                                                task->to.host) != NULL;
    }
    (void)pthread_cond_broadcast(&mesh->answered);
    (void)pthread_mutex_unlock(&mesh->lock);
    xdr_free((xdrproc_t)xdr_mesh_join_answer, (char *)&answer);
}
