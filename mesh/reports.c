/* Client side of REPORT, which sends changed records, and of JOIN. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "mesh_internal.h"

enum {
    JOIN_RETRY_MS = 500,
    JOIN_JITTER_MS = 500,
    SUMMARY_REPORT_INTERVAL_MS = 500
};

BB_COUNTER(records_reported_total, "baobab_mesh_records_reported_total",
           "Records sent in reports");

/* Returns the origin of records that the host `from` sent by RPC. */
static enum bb_member_origin
record_origin(struct bb_mesh *mesh, const char *from)
{
    const struct bb_control_host *c =
        bb_control_list_find(&mesh->settings.control_hosts, from);

    if (c == NULL) {
        return BB_ORIGIN_SAME_REGION;
    }
    return strcmp(c->region, mesh->settings.self.region) == 0
               ? BB_ORIGIN_CONTROL_HOST
               : BB_ORIGIN_OTHER_REGION;
}

/* Merges records that the host `from` sent by RPC; invalid ones are skipped. A
 * record about this process is refuted if it is not current. */
void
mesh_merge_records(struct bb_mesh *mesh, const mesh_record *records,
                   u_int count, const char *from)
{
    enum bb_member_origin origin = record_origin(mesh, from);
    uint64_t now_us = bb_clock_now_us();
    struct bb_member r;

    for (u_int i = 0; i < count; i++) {
        if (!bb_wire_member_from_xdr(&records[i], &r)) {
            continue;
        }
        if (strcmp(r.host, mesh->settings.self.host) == 0) {
            bb_gossip_refute_if_needed(mesh->gossip, &r, now_us);
            continue;
        }
        (void)bb_member_table_merge(mesh->members, &r, origin, now_us);
    }
}

/* Queues a report of the records that changed since the last one to this
 * process, unless one is pending or was sent within the report interval.
 * start_change is the change number after which changes are reported to a new
 * or restarted process; 0 for the whole table. */
static void
queue_report(struct bb_mesh *mesh, const struct target *to,
             struct bb_member_query *q, uint64_t start_change, uint64_t now_us)
{
    struct task task = {.kind = TASK_REPORT, .to = *to};
    struct bb_member r;
    struct call_state *state;

    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, to->host);
    if (!state->has_reported_change) {
        state->has_reported_change = true;
        state->reported_change = start_change;
    }
    if (state->is_report_pending || now_us < state->next_report_us) {
        goto out;
    }
    if (bb_member_table_get(mesh->members, to->host, &r) &&
        r.incarnation != state->reported_incarnation) {
        /* The process has restarted and lost the earlier reports. */
        state->reported_change = state->reported_incarnation == 0
                                     ? state->reported_change
                                     : start_change;
        state->reported_incarnation = r.incarnation;
    }
    state->next_report_us = now_us + REPORT_INTERVAL_MS * BB_US_PER_MS;
    q->since_change = state->reported_change;
    task.table_change =
        bb_member_table_select(mesh->members, q, &task.records);
    if (task.records.count == 0) {
        state->reported_change = task.table_change;
        bb_member_list_clear(&task.records);
        goto out;
    }
    state->is_report_pending = mesh_enqueue_task(mesh, &task, false);
out:
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Queues the reports of a relay: to the responsible control host the records
 * of its zone, and to each member that it serves the changes that affect
 * routes. */
static void
report_from_relay(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member *self = &mesh->settings.self;
    const struct view *v = &mesh->view;
    uint64_t own_id = bb_relay_id_from_name(self->host);
    uint64_t ids[BB_RELAYS_PER_ZONE];
    struct target control_host;

    if (mesh_choose_control_host_for_zone(mesh, self->zone, self->region,
                                          &control_host)) {
        struct bb_member_query query = {.zone = self->zone};

        queue_report(mesh, &control_host, &query, 0, now_us);
    }
    for (size_t i = 0; i < v->relay_count; i++) {
        ids[i] = bb_relay_id_from_name(v->relays[i].host);
    }
    for (size_t i = 0; i < v->members.count; i++) {
        const struct bb_member *r = &v->members.items[i];
        struct bb_member_query query = {.only_routing_changes = true};
        struct target to = mesh_target_from_member(r);

        if (r->role == BB_ROLE_NODE && r->state == BB_MEMBER_ALIVE &&
            strcmp(r->zone, self->zone) == 0 &&
            strcmp(r->host, self->host) != 0 &&
            bb_relay_choose_for_member(ids, v->relay_count,
                                       bb_relay_id_from_name(r->host)) ==
                own_id) {
            queue_report(mesh, &to, &query, mesh->view_change, now_us);
        }
    }
}

/* Queues the reports of a control host to the relays of the zones that it is
 * responsible for: changes outside their zone that affect routes. */
static void
report_to_relays(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member_list *all = &mesh->view.members;
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < all->count; i++) {
        const struct bb_member *r = &all->items[i];
        struct bb_member relays[BB_RELAYS_PER_ZONE];
        struct bb_member_query query = {.only_routing_changes = true,
                                        .except_zone = r->zone};
        struct target to;
        size_t count;

        if (!g_hash_table_add(seen, (gpointer)r->zone) ||
            !mesh_choose_control_host_for_zone(mesh, r->zone, r->region,
                                               &to) ||
            strcmp(to.host, mesh->settings.self.host) != 0) {
            continue;
        }
        count = mesh_choose_relays(all, r->zone, relays);
        for (size_t n = 0; n < count; n++) {
            to = mesh_target_from_member(&relays[n]);
            queue_report(mesh, &to, &query, 0, now_us);
        }
    }
    g_hash_table_destroy(seen);
}

/* Queues a report of the zone summaries of this region to another region if
 * they have changed. Only one control host of this region does this. */
static void
report_zone_summaries(struct bb_mesh *mesh, const struct target *to,
                      uint64_t now_us)
{
    const struct bb_member *self = &mesh->settings.self;
    struct task task = {.kind = TASK_REPORT, .to = *to};
    struct bb_zone_summary summaries[BB_MEMBER_TABLE_ZONES_MAX] = {0};
    struct target sender;
    uint64_t digest;

    if (now_us < mesh->next_summary_report_us ||
        !mesh_choose_control_host_in_region(mesh, self->region, self->region,
                                            &sender) ||
        strcmp(sender.host, self->host) != 0) {
        return;
    }
    mesh->next_summary_report_us =
        now_us + SUMMARY_REPORT_INTERVAL_MS * BB_US_PER_MS;
    task.summary_count = bb_member_table_compute_zone_summaries(
        mesh->members, self->region, summaries, BB_MEMBER_TABLE_ZONES_MAX);
    digest = bb_hash64(summaries, task.summary_count * sizeof(*summaries), 0);
    (void)pthread_mutex_lock(&mesh->lock);
    if (digest != mesh->reported_summaries_digest &&
        !mesh_find_or_add_call_state(mesh, to->host)->is_report_pending) {
        task.summaries =
            g_memdup2(summaries, task.summary_count * sizeof(*summaries));
        if (mesh_enqueue_task(mesh, &task, false)) {
            mesh_find_or_add_call_state(mesh, to->host)->is_report_pending =
                true;
            mesh->reported_summaries_digest = digest;
        }
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Queues the reports between control hosts. Control hosts of this region get
 * every change except those received from a control host of this region. One
 * control host in each of the other regions gets this region's changes that
 * affect routes, unless they came from another control host. */
static void
report_to_control_hosts(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_control_list *list = &mesh->settings.control_hosts;
    const struct bb_member *self = &mesh->settings.self;

    for (uint32_t i = 0; i < list->count; i++) {
        const struct bb_control_host *c = &list->items[i];
        struct target to = {.rpc_address = c->rpc_address};
        struct bb_member_query same_region_query = {
            .origin_mask = BB_ORIGIN_SAME_REGION | BB_ORIGIN_OTHER_REGION};
        struct bb_member_query other_region_query = {
            .origin_mask = BB_ORIGIN_SAME_REGION,
            .region = self->region,
            .only_routing_changes = true};

        (void)g_strlcpy(to.host, c->host, sizeof(to.host));
        (void)g_strlcpy(to.region, c->region, sizeof(to.region));
        if (strcmp(c->host, self->host) == 0) {
            continue;
        }
        if (strcmp(c->region, self->region) == 0) {
            queue_report(mesh, &to, &same_region_query, 0, now_us);
            continue;
        }
        if (mesh_choose_control_host_in_region(mesh, c->region, self->region,
                                               &to) &&
            strcmp(to.host, c->host) == 0) {
            queue_report(mesh, &to, &other_region_query, 0, now_us);
            report_zone_summaries(mesh, &to, now_us);
        }
    }
}

/* Queues the reports that are due. */
void
mesh_schedule_reports(struct bb_mesh *mesh, uint64_t now_us)
{
    if (mesh->is_control_host) {
        report_to_relays(mesh, now_us);
        report_to_control_hosts(mesh, now_us);
    }
    else if (mesh->view.is_relay) {
        report_from_relay(mesh, now_us);
    }
}

/* Runs TASK_REPORT. The changes count as reported only when the other process
 * has responded; otherwise they are sent again. */
void
mesh_run_report(struct bb_mesh *mesh, struct task *task)
{
    mesh_zone_summary summaries[BB_MEMBER_TABLE_ZONES_MAX];
    mesh_report_request request = {
        .from_host = mesh->settings.self.host,
        .highest_revision = bb_gossip_get_highest_revision(mesh->gossip),
        .summaries = {.summaries_val = summaries,
                      .summaries_len = (u_int)task->summary_count},
    };
    mesh_report_response response = {0};
    struct call_state *state;
    bool is_done;

    for (size_t i = 0; i < task->summary_count; i++) {
        const struct bb_zone_summary *s = &task->summaries[i];

        summaries[i] = (mesh_zone_summary){
            .zone = bb_wire_text_to_xdr(s->zone),
            .member_count = s->member_count,
            .live_members_digest = s->live_members_digest,
            .min_applied_revision = s->min_applied_revision};
    }
    request.records.records_val = bb_wire_members_to_xdr(&task->records);
    request.records.records_len = (u_int)task->records.count;
    is_done = mesh_call(mesh, &task->to, MESH_REPORT, &request, &response);
    if (is_done) {
        bb_counter_add(&records_reported_total, task->records.count);
        bb_gossip_raise_highest_revision(mesh->gossip,
                                         response.highest_revision);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, task->to.host);
    state->is_report_pending = false;
    if (is_done) {
        state->reported_change =
            MAX(state->reported_change, task->table_change);
    }
    else if (task->summary_count > 0) {
        mesh->reported_summaries_digest = 0;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    request.summaries.summaries_len = 0;
    request.summaries.summaries_val = NULL;
    request.from_host = NULL;
    xdr_free((xdrproc_t)xdr_mesh_report_request, (char *)&request);
}

/* Queues a JOIN to a process. Returns false if one is pending or the queue is
 * full. Call with the lock held. */
bool
mesh_enqueue_join(struct bb_mesh *mesh, const struct target *to)
{
    struct task task = {.kind = TASK_JOIN, .to = *to};
    struct call_state *state = mesh_find_or_add_call_state(mesh, to->host);

    if (state->is_join_pending || !mesh_enqueue_task(mesh, &task, true)) {
        return false;
    }
    state->is_join_pending = true;
    mesh->pending_join_count++;
    return true;
}

/* Queues a JOIN to a control host if one is due, until one has responded.
 * Alternates between the control hosts of this region and all of them, each in
 * turn, starting at one that depends on this host's name. */
void
mesh_schedule_join(struct bb_mesh *mesh, uint64_t now_us)
{
    struct target control_hosts[BB_CONTROL_HOSTS_MAX];
    const char *region = mesh->settings.self.region;
    uint64_t own_id = bb_relay_id_from_name(mesh->settings.self.host);
    size_t count;

    (void)pthread_mutex_lock(&mesh->lock);
    if (mesh->is_joined || now_us < mesh->next_join_us) {
        goto out;
    }
    mesh->next_join_us =
        now_us +
        (JOIN_RETRY_MS + bb_random_below(mesh->random, JOIN_JITTER_MS)) *
            BB_US_PER_MS;
    count = mesh_list_control_hosts_to_call(
        mesh, mesh->join_round % 2 == 0 ? region : NULL, control_hosts);
    if (count > 0) {
        const struct target *to =
            &control_hosts[(own_id + mesh->join_round / 2) % count];

        if (strcmp(to->host, mesh->settings.self.host) != 0) {
            (void)mesh_enqueue_join(mesh, to);
        }
    }
    mesh->join_round++;
out:
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Runs TASK_JOIN: sends a JOIN and merges the records and revisions of the
 * response. */
void
mesh_run_join(struct bb_mesh *mesh, struct task *task)
{
    struct bb_wire_address_buffers storage;
    mesh_join_request request = {0};
    mesh_join_response response = {0};
    struct bb_member self;
    bool is_done;

    bb_gossip_get_self(mesh->gossip, &self);
    bb_wire_member_to_xdr(&self, &request.record, &storage);
    is_done = mesh_call(mesh, &task->to, MESH_JOIN, &request, &response);
    if (is_done) {
        mesh_merge_records(mesh, response.records.records_val,
                           response.records.records_len, task->to.host);
        bb_gossip_raise_highest_revision(mesh->gossip,
                                         response.highest_revision);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    mesh_find_or_add_call_state(mesh, task->to.host)->is_join_pending = false;
    mesh->pending_join_count--;
    if (is_done) {
        mesh->min_revision = MAX(mesh->min_revision, response.held_revision);
        mesh->is_min_revision_known |= response.is_authoritative;
        mesh->is_joined |= bb_control_list_find(&mesh->settings.control_hosts,
                                                task->to.host) != NULL;
    }
    (void)pthread_cond_broadcast(&mesh->join_ended);
    (void)pthread_mutex_unlock(&mesh->lock);
    xdr_free((xdrproc_t)xdr_mesh_join_response, (char *)&response);
}
