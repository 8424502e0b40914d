/* Evidence of nodes for rollouts on its way to the leader. */
#include "core_internal.h"

#include "common/clock.h"

/* Frees summed evidence. */
void
core_evidence_destroy(void *data)
{
    fleet_rollout_evidence *e = data;

    g_free(e->service);
    g_free(e->software_version);
    g_free(e->upstream_id);
    g_free(e->durations.durations_val);
    g_free(e);
}

/* Returns the sum that a report belongs to, created if there is none. The key
 * holds a separator that is not in any text of a configuration or
 * announcement. */
static fleet_rollout_evidence *
find_sum(struct bb_core *c, const fleet_rollout_evidence *e)
{
    char *key = g_strdup_printf("%s\x1f%s\x1f%s\x1f%" G_GINT64_MODIFIER "x",
                                e->service, e->software_version,
                                e->upstream_id, (guint64)e->route_id);
    fleet_rollout_evidence *sum = g_hash_table_lookup(c->evidence, key);

    if (sum != NULL || g_hash_table_size(c->evidence) >= FLEET_EVIDENCE_MAX) {
        g_free(key);
        return sum;
    }
    sum = g_new0(fleet_rollout_evidence, 1);
    sum->service = g_strdup(e->service);
    sum->software_version = g_strdup(e->software_version);
    sum->upstream_id = g_strdup(e->upstream_id);
    sum->route_id = e->route_id;
    sum->durations.durations_val = g_new0(u_int, FLEET_SIZE_CLASSES_MAX);
    g_hash_table_insert(c->evidence, key, sum);
    return sum;
}

/* Adds a report to those that are sent on. Drops it if there are too many. */
static void
add_to_batch(struct bb_core *c, const fleet_rollout_evidence *e)
{
    fleet_rollout_evidence *sum = find_sum(c, e);
    u_int classes =
        MIN(e->durations.durations_len, (u_int)FLEET_SIZE_CLASSES_MAX);

    if (sum == NULL) {
        return;
    }
    sum->responses += e->responses;
    sum->failures += e->failures;
    sum->in_flight += e->in_flight;
    sum->durations.durations_len = MAX(sum->durations.durations_len, classes);
    for (u_int i = 0; i < classes; i++) {
        sum->durations.durations_val[i] += e->durations.durations_val[i];
    }
}

/* Processes reports: the leader uses them, another host sends those of its
 * nodes on to the leader. */
void
core_receive_evidence(struct core_link *from, const fleet_message *m)
{
    struct bb_core *c = from->core;
    uint64_t now_us = bb_clock_now_us();
    const fleet_rollout_evidence *list =
        m->fleet_message_u.rollout_evidence.rollout_evidence_val;
    u_int count = m->fleet_message_u.rollout_evidence.rollout_evidence_len;

    for (u_int i = 0; i < count; i++) {
        if (c->quorum.role == BB_QUORUM_LEADER) {
            core_rollout_add_evidence(c, &list[i], now_us);
        }
        else if (from->kind == CORE_LINK_NODE) {
            add_to_batch(c, &list[i]);
        }
    }
    if (c->evidence_due_us == 0 && g_hash_table_size(c->evidence) > 0) {
        c->evidence_due_us =
            now_us + (uint64_t)BB_CORE_EVIDENCE_BATCH_MS * BB_US_PER_MS;
        core_schedule_timer(c);
    }
}

/* Sends the summed evidence that is due to the leader. It is dropped if the
 * leader is not known or not connected: it would be too old later. */
void
core_send_evidence(struct bb_core *c, uint64_t now_us)
{
    struct core_peer *p = core_find_peer_by_disk(c, c->quorum.leader);
    struct core_link *l = p != NULL ? core_active_link(p) : NULL;
    fleet_message m = {.kind = FLEET_ROLLOUT_EVIDENCE};
    fleet_rollout_evidence *list;
    u_int count = 0;
    GHashTableIter it;
    gpointer value;

    if (c->evidence_due_us == 0 || now_us < c->evidence_due_us) {
        return;
    }
    c->evidence_due_us = 0;
    list = g_new(fleet_rollout_evidence, g_hash_table_size(c->evidence));
    g_hash_table_iter_init(&it, c->evidence);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        list[count++] = *(fleet_rollout_evidence *)value;
    }
    m.fleet_message_u.rollout_evidence.rollout_evidence_val = list;
    m.fleet_message_u.rollout_evidence.rollout_evidence_len = count;
    if (l != NULL && count > 0) {
        (void)bb_fleet_connection_send(l->connection, &m);
    }
    g_free(list);
    g_hash_table_remove_all(c->evidence);
}
