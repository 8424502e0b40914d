#include "agent_quota.h"

#include <glib.h>

#include "common/clock.h"
#include "common/counters.h"

BB_GAUGE(alone_gauge, "baobab_quota_alone",
         "1 while this node admits requests of teams by its own part of their "
         "quota, as it hears no control host");

struct agent_quota {
    uv_timer_t timer;
    struct bb_quota_node *node;
    uint64_t due_us;                        /* of the next report */
    struct bb_fleet_connection *connection; /* NULL: none is ready */
    struct bb_quota_usage usage[BB_QUOTA_TEAMS_MAX];
    fleet_quota_usage encoded[BB_QUOTA_TEAMS_MAX];
    struct bb_quota_ratio ratios[BB_QUOTA_TEAMS_MAX];
};

G_STATIC_ASSERT((int)FLEET_TEAMS_MAX == (int)BB_QUOTA_TEAMS_MAX);

/* Sends what was counted since the last report, if anything was. */
static void
send_report(struct agent_quota *q, uint64_t now_us)
{
    fleet_message m = {.kind = FLEET_QUOTA_USAGE};
    uint32_t count = bb_quota_node_take_report(
        q->node, q->usage, q->connection != NULL ? BB_QUOTA_TEAMS_MAX : 0,
        now_us);

    if (count == 0) {
        return;
    }
    for (uint32_t i = 0; i < count; i++) {
        q->encoded[i] = (fleet_quota_usage){.team_id = q->usage[i].team_id,
                                            .rate_mrps = q->usage[i].rate_mrps,
                                            .burst = q->usage[i].burst,
                                            .admitted = q->usage[i].admitted,
                                            .refused = q->usage[i].refused};
    }
    m.fleet_message_u.quota_usage.quota_usage_val = q->encoded;
    m.fleet_message_u.quota_usage.quota_usage_len = count;
    if (!bb_fleet_connection_send(q->connection, &m)) {
        bb_quota_node_report_lost(q->node);
    }
}

/* Reports every BB_QUOTA_INTERVAL_MS, or at once if the demand of a team has
 * jumped. */
static void
on_timer(uv_timer_t *t)
{
    struct agent_quota *q = t->data;
    uint64_t now_us = bb_clock_boot_now_us();

    if (now_us < q->due_us && !bb_quota_node_is_urgent(q->node)) {
        return;
    }
    q->due_us =
        now_us + (uint64_t)(BB_QUOTA_INTERVAL_MS - BB_QUOTA_URGENT_MS / 2) *
                     BB_US_PER_MS;
    send_report(q, now_us);
    bb_counter_set(&alone_gauge, bb_quota_node_is_alone(q->node, now_us));
}

/* Starts the reports of a node. `node` is not owned; NULL: returns NULL. */
struct agent_quota *
agent_quota_create(uv_loop_t *loop, struct bb_quota_node *node)
{
    struct agent_quota *q;

    if (node == NULL) {
        return NULL;
    }
    q = g_new0(struct agent_quota, 1);
    q->node = node;
    (void)uv_timer_init(loop, &q->timer);
    q->timer.data = q;
    /* Nodes that start together report at different times. */
    (void)uv_timer_start(
        &q->timer, on_timer,
        (uint64_t)g_random_int_range(1, BB_QUOTA_INTERVAL_MS + 1),
        BB_QUOTA_URGENT_MS);
    return q;
}

static void
free_quota(uv_handle_t *h)
{
    g_free(h->data);
}

/* Ends the reports. NULL is allowed. */
void
agent_quota_destroy(struct agent_quota *q)
{
    if (q != NULL) {
        uv_close((uv_handle_t *)&q->timer, free_quota);
    }
}

/* Sets the connection that reports are sent on, NULL: none. The last report on
 * the one before may be lost. */
void
agent_quota_set_connection(struct agent_quota *q,
                           struct bb_fleet_connection *f)
{
    if (q == NULL || q->connection == f) {
        return;
    }
    if (q->connection != NULL) {
        bb_quota_node_report_lost(q->node);
    }
    q->connection = f;
}

/* Sets how many nodes are known, with this one. */
void
agent_quota_set_known(struct agent_quota *q, uint32_t node_count)
{
    if (q != NULL) {
        bb_quota_node_set_known(q->node, node_count);
    }
}

/* Records a message of the control host of any kind, and applies ratios. */
void
agent_quota_receive(struct agent_quota *q, const fleet_message *m)
{
    uint64_t now_us = bb_clock_boot_now_us();
    u_int count = m->fleet_message_u.quota_ratios.quota_ratios_len;

    if (q == NULL) {
        return;
    }
    if (m->kind != FLEET_QUOTA_RATIOS) {
        bb_quota_node_heard(q->node, now_us);
        return;
    }
    for (u_int i = 0; i < count; i++) {
        const fleet_quota_ratio *r =
            &m->fleet_message_u.quota_ratios.quota_ratios_val[i];

        q->ratios[i] = (struct bb_quota_ratio){
            .team_id = r->team_id, .admitted_ppm = r->admitted_ppm};
    }
    bb_quota_node_set_ratios(q->node, q->ratios, count, now_us);
}
