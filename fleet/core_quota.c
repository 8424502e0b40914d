/* Quotas of teams at a control host: charges the usage that its nodes and the
 * other control hosts report, and sends totals and ratios. Nothing is sent
 * while no team has a limit. */
#include "core_internal.h"

#include "common/clock.h"
#include "common/counters.h"
#include "decide/quota.h"

BB_GAUGE(limited_gauge, "baobab_core_quota_limited_teams",
         "Teams over their quota, of which nodes admit a part");
BB_GAUGE(reachable_gauge, "baobab_core_quota_share_permille",
         "Part of the quotas that the reachable nodes may use");

struct core_quota {
    struct bb_core *core;
    uv_timer_t timer;
    struct bb_quota_core *decision;
    uint64_t due_us; /* of the next totals and ratios */
    struct bb_quota_usage usage[BB_QUOTA_TEAMS_MAX];
    fleet_quota_usage totals[BB_QUOTA_TEAMS_MAX];
    struct bb_quota_ratio ratios[BB_QUOTA_TEAMS_MAX];
    fleet_quota_ratio encoded[BB_QUOTA_TEAMS_MAX];
};

/* Counts the records of nodes that are not stopped. */
static void
count_known(void *context, const fleet_instance *i)
{
    *(uint32_t *)context += i->state != BB_INSTANCE_GONE;
}

/* Returns the number of nodes that are connected to this host. */
static uint32_t
count_connected(const struct bb_core *c)
{
    uint32_t count = 0;

    for (guint i = 0; i < c->links->len; i++) {
        const struct core_link *l = g_ptr_array_index(c->links, i);

        count += l->kind == CORE_LINK_NODE;
    }
    return count;
}

/* Sends the sums of this host's nodes to the other control hosts; without
 * sums, that this host is reachable. */
static void
send_totals(struct core_quota *q, uint32_t connected, uint64_t now_us)
{
    fleet_message m = {.kind = FLEET_QUOTA_TOTALS};
    fleet_quota_totals *t = &m.fleet_message_u.quota_totals;
    uint32_t count = bb_quota_core_take_totals(q->decision, q->usage,
                                               BB_QUOTA_TEAMS_MAX, now_us);
    struct bb_fleet_frame *frame;
    GHashTableIter it;
    gpointer value;

    for (uint32_t i = 0; i < count; i++) {
        q->totals[i] = (fleet_quota_usage){.team_id = q->usage[i].team_id,
                                           .rate_mrps = q->usage[i].rate_mrps,
                                           .burst = q->usage[i].burst,
                                           .admitted = q->usage[i].admitted,
                                           .refused = q->usage[i].refused};
    }
    t->node_count = connected;
    t->teams.teams_val = q->totals;
    t->teams.teams_len = count;
    frame = bb_fleet_frame_create(&m);
    if (frame == NULL) {
        return;
    }
    g_hash_table_iter_init(&it, q->core->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct core_peer *p = value;
        struct core_link *l = core_active_link(p);

        if (p->host != NULL && l != NULL) {
            (void)bb_fleet_connection_send_frame(l->connection, frame);
        }
    }
    bb_fleet_frame_destroy(frame);
}

/* Sends the ratios of the limited teams to all nodes of this host. Also an
 * empty list, by which the nodes know that this host would tell them. */
static void
send_ratios(struct core_quota *q)
{
    fleet_message m = {.kind = FLEET_QUOTA_RATIOS};
    uint32_t count =
        bb_quota_core_ratios(q->decision, q->ratios, BB_QUOTA_TEAMS_MAX);
    struct bb_fleet_frame *frame;

    for (uint32_t i = 0; i < count; i++) {
        q->encoded[i] =
            (fleet_quota_ratio){.team_id = q->ratios[i].team_id,
                                .admitted_ppm = q->ratios[i].admitted_ppm};
    }
    m.fleet_message_u.quota_ratios.quota_ratios_val = q->encoded;
    m.fleet_message_u.quota_ratios.quota_ratios_len = count;
    bb_counter_set(&limited_gauge, count);
    frame = bb_fleet_frame_create(&m);
    if (frame == NULL) {
        return;
    }
    for (guint i = 0; i < q->core->links->len; i++) {
        struct core_link *l = g_ptr_array_index(q->core->links, i);

        if (l->kind == CORE_LINK_NODE) {
            (void)bb_fleet_connection_send_frame(l->connection, frame);
        }
    }
    bb_fleet_frame_destroy(frame);
}

/* Updates the ratios every BB_QUOTA_INTERVAL_MS, or at once if the demand of a
 * team has jumped. */
static void
on_timer(uv_timer_t *t)
{
    struct core_quota *q = t->data;
    uint64_t now_us = bb_clock_boot_now_us();
    uint32_t connected;
    uint32_t known = 0;

    if (now_us < q->due_us && !bb_quota_core_is_urgent(q->decision)) {
        return;
    }
    q->due_us =
        now_us + (uint64_t)(BB_QUOTA_INTERVAL_MS - BB_QUOTA_URGENT_MS / 2) *
                     BB_US_PER_MS;
    connected = count_connected(q->core);
    bb_instance_table_foreach(q->core->instances, count_known, &known);
    bb_quota_core_set_nodes(q->decision, connected, known);
    bb_quota_core_tick(q->decision, now_us);
    if (bb_quota_core_is_active(q->decision, now_us)) {
        bb_counter_set(&reachable_gauge,
                       bb_quota_core_share_permille(q->decision));
        send_totals(q, connected, now_us);
        send_ratios(q);
    }
}

/* Starts the quotas of a control host; nothing is known of earlier usage. */
struct core_quota *
core_quota_create(struct bb_core *c)
{
    struct core_quota *q = g_new0(struct core_quota, 1);

    q->core = c;
    q->decision = bb_quota_core_create(c->settings.quota_window_ms,
                                       bb_clock_boot_now_us());
    (void)uv_timer_init(c->loop, &q->timer);
    q->timer.data = q;
    (void)uv_timer_start(
        &q->timer, on_timer,
        (uint64_t)g_random_int_range(1, BB_QUOTA_INTERVAL_MS + 1),
        BB_QUOTA_URGENT_MS);
    return q;
}

static void
free_quota(uv_handle_t *h)
{
    struct core_quota *q = h->data;

    bb_quota_core_destroy(q->decision);
    g_free(q);
}

/* Ends the quotas. NULL is allowed. */
void
core_quota_destroy(struct core_quota *q)
{
    if (q != NULL) {
        uv_close((uv_handle_t *)&q->timer, free_quota);
    }
}

/* Charges usage of a message. */
static void
add_usage(struct core_quota *q, const fleet_quota_usage *items, u_int count,
          bool is_own_node, uint64_t now_us)
{
    for (u_int i = 0; i < count; i++) {
        const struct bb_quota_usage u = {.team_id = items[i].team_id,
                                         .rate_mrps = items[i].rate_mrps,
                                         .burst = items[i].burst,
                                         .admitted = items[i].admitted,
                                         .refused = items[i].refused};

        bb_quota_core_add_usage(q->decision, &u, is_own_node, now_us);
    }
}

/* Handles the report of a node or the totals of another control host. */
void
core_receive_quota(struct core_link *l, const fleet_message *m)
{
    struct core_quota *q = l->core->quota;
    uint64_t now_us = bb_clock_boot_now_us();

    if (m->kind == FLEET_QUOTA_USAGE && l->kind == CORE_LINK_NODE) {
        add_usage(q, m->fleet_message_u.quota_usage.quota_usage_val,
                  m->fleet_message_u.quota_usage.quota_usage_len, true,
                  now_us);
    }
    else if (m->kind == FLEET_QUOTA_TOTALS && l->kind == CORE_LINK_CONTROL &&
             l->peer != NULL && l->peer->host != NULL) {
        const fleet_quota_totals *t = &m->fleet_message_u.quota_totals;

        bb_quota_core_heard_peer(q->decision, l->peer->host->disk_id,
                                 t->node_count, now_us);
        add_usage(q, t->teams.teams_val, t->teams.teams_len, false, now_us);
    }
}
