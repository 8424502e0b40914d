/* Requests of nodes for a lease (decide/lease.h). They are collected and
 * confirmed together: by a heartbeat round of the quorum if this host leads,
 * else by the leader, which treats the request of another control host like a
 * request. Without a majority nothing is answered; nodes count from the time
 * at which they sent a request, so an answer may be late. */
#include "core_internal.h"

#include "common/clock.h"
#include "common/counters.h"

BB_COUNTER(requests_total, "baobab_core_lease_requests_total",
           "Requests of nodes for a lease");
BB_COUNTER(granted_total, "baobab_core_leases_total",
           "Leases granted to nodes");
BB_COUNTER(rounds_total, "baobab_core_lease_rounds_total",
           "Rounds of this host as leader that confirmed leases");

/* Returns what this host knows of the quorum. */
static struct bb_lease_quorum
describe_quorum(const struct bb_core *c)
{
    return (struct bb_lease_quorum){.term = c->quorum.durable.term,
                                    .leader = c->quorum.leader,
                                    .is_leader =
                                        c->quorum.role == BB_QUORUM_LEADER};
}

/* Returns the link with an ID, or NULL. */
static struct core_link *
find_link(const struct bb_core *c, uint64_t id)
{
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->id == id) {
            return l;
        }
    }
    return NULL;
}

/* Answers the requests of a confirmed round. `state` was committed when the
 * round began. */
static void
answer_round(struct bb_core *c, uint64_t round,
             const struct bb_state_id *state)
{
    struct bb_lease_entry e;

    while (bb_lease_queue_take_answered(&c->leases, round, &e)) {
        struct core_link *l = find_link(c, e.from);
        fleet_lease_grant g = {.number = e.number,
                               .commit_index = state->commit_index,
                               .content_id = state->content_id};
        fleet_message m = {.kind = FLEET_LEASE_CONFIRMED};

        if (l == NULL) {
            continue;
        }
        if (l->kind == CORE_LINK_NODE) {
            m.kind = FLEET_LEASE_GRANT;
            m.fleet_message_u.lease_grant = g;
            bb_counter_add(&granted_total, 1);
        }
        else {
            m.fleet_message_u.lease_confirmed = g;
        }
        (void)bb_fleet_connection_send(l->connection, &m);
    }
}

/* Begins a heartbeat round for the waiting requests, unless the newest entry
 * is not committed yet. */
static void
start_round(struct bb_core *c, const struct bb_lease_quorum *q,
            uint64_t now_us)
{
    struct bb_quorum_output out = {0};
    /* Read before anything else can be committed. */
    const struct bb_state_id state = {
        .commit_index = c->quorum.durable.entry.index,
        .content_id = c->quorum.durable.entry.content_id};
    uint64_t quorum_round = bb_quorum_start_read(&c->quorum, now_us, &out);

    if (quorum_round == 0) {
        return;
    }
    bb_counter_add(&rounds_total, 1);
    (void)bb_lease_queue_start(&c->leases, q, now_us);
    c->leases.quorum_round = quorum_round;
    c->leases.state = state;
    core_apply_output(c, &out);
}

/* Asks the leader to confirm all waiting requests at once. */
static void
ask_leader(struct bb_core *c, const struct bb_lease_quorum *q, uint64_t now_us)
{
    const struct core_peer *p = core_find_peer_by_disk(c, q->leader);
    struct core_link *l = p != NULL ? core_active_link(p) : NULL;
    fleet_message m = {.kind = FLEET_LEASE_CONFIRM};

    if (l != NULL) {
        m.fleet_message_u.lease_confirm =
            bb_lease_queue_start(&c->leases, q, now_us);
        (void)bb_fleet_connection_send(l->connection, &m);
    }
}

/* Answers the requests whose round is confirmed, and begins the next round
 * if one is due. */
void
core_process_leases(struct bb_core *c, uint64_t now_us)
{
    struct bb_lease_quorum q = describe_quorum(c);
    enum bb_lease_step step = bb_lease_queue_next_step(&c->leases, &q, now_us);

    if (c->leases.quorum_round != 0 && q.is_leader &&
        bb_quorum_is_round_confirmed(&c->quorum, c->leases.quorum_round)) {
        c->leases.quorum_round = 0;
        answer_round(c, c->leases.last_round, &c->leases.state);
        step = bb_lease_queue_next_step(&c->leases, &q, now_us);
    }
    switch (step) {
    case BB_LEASE_IDLE:
        break;
    case BB_LEASE_START_ROUND:
        start_round(c, &q, now_us);
        break;
    case BB_LEASE_ASK_LEADER:
        ask_leader(c, &q, now_us);
        break;
    }
}

/* Takes in a request and begins a round if one is due. */
static void
add_request(struct core_link *l, uint64_t number)
{
    struct bb_core *c = l->core;

    uint64_t now_us = bb_clock_now_us();

    bb_lease_queue_add(&c->leases, l->id, number, now_us);
    core_process_leases(c, now_us);
    core_schedule_timer(c);
}

/* Receives a request of a node. */
void
core_receive_lease_request(struct core_link *l, uint64_t number)
{
    if (l->kind == CORE_LINK_NODE) {
        bb_counter_add(&requests_total, 1);
        add_request(l, number);
    }
}

/* Receives the request of another control host to confirm requests of its
 * nodes. A host that does not lead ignores it: the other one asks again once
 * it knows the leader. */
void
core_receive_lease_confirm(struct core_link *l, uint64_t number)
{
    if (l->kind == CORE_LINK_CONTROL &&
        l->core->quorum.role == BB_QUORUM_LEADER) {
        add_request(l, number);
    }
}

/* Receives the leader's confirmation of a round. */
void
core_receive_lease_confirmed(struct core_link *l, const fleet_lease_grant *g)
{
    struct bb_core *c = l->core;
    const struct bb_state_id state = {.commit_index = g->commit_index,
                                      .content_id = g->content_id};

    if (l->kind != CORE_LINK_CONTROL || c->leases.quorum.is_leader) {
        return;
    }
    answer_round(c, g->number, &state);
    core_process_leases(c, bb_clock_now_us());
    core_schedule_timer(c);
}
