/* Failure detection over a simulated network. Each member has a detector and
 * its own copy of all members' records. A datagram carries all records of the
 * sender; it may be lost or late. */
#include <string.h>

#include "common/clock.h"
#include "common/random.h"
#include "decide/swim.h"
#include "unit.h"

enum {
    SEED = 5,
    MEMBERS_MAX = 40,
    DATAGRAMS_MAX = 4096,
    TICK_US = 20 * BB_US_PER_MS
};

/* A member's copy of a record. */
struct view {
    uint64_t sequence;
    enum bb_swim_state state;
};

/* A datagram on its way: a ping, its acknowledgement, or a ping request. */
struct datagram {
    uint64_t arrival_us;
    uint32_t from;
    uint32_t to;
    uint32_t target; /* member that is to be pinged or has responded */
    uint32_t requester;
    enum {
        DATAGRAM_FREE,
        DATAGRAM_PING,
        DATAGRAM_ACK,
        DATAGRAM_PING_REQUEST
    } kind;
    struct view views[MEMBERS_MAX];
};

static struct {
    struct bb_random *random;
    struct bb_swim swim[MEMBERS_MAX];
    struct view views[MEMBERS_MAX][MEMBERS_MAX];
    bool is_up[MEMBERS_MAX];
    uint64_t delay_us[MEMBERS_MAX];
    uint32_t count;
    uint32_t loss_percent;
    uint64_t now_us;
    uint32_t dead_count; /* changes of a view to dead */
    struct datagram datagrams[DATAGRAMS_MAX];
} net;

static void
send_datagram(uint32_t from, uint32_t to, int kind, uint32_t target,
              uint32_t requester)
{
    if (bb_random_below(net.random, 100) < net.loss_percent) {
        return;
    }
    for (uint32_t i = 0; i < DATAGRAMS_MAX; i++) {
        struct datagram *d = &net.datagrams[i];

        if (d->kind == DATAGRAM_FREE) {
            d->arrival_us = net.now_us + BB_US_PER_MS + net.delay_us[from];
            d->from = from;
            d->to = to;
            d->kind = kind;
            d->target = target;
            d->requester = requester;
            memcpy(d->views, net.views[from], sizeof(d->views));
            return;
        }
    }
    CU_FAIL("too many datagrams under way");
}

/* Merges a received copy of a record into a member's own one; a member refutes
 * a copy of its own record that would override it. */
static void
merge_view(uint32_t at, uint32_t about, struct view v)
{
    struct view *own = &net.views[at][about];
    struct bb_swim_refutation r;

    if (about == at) {
        r = bb_swim_decide_refutation(1, own->sequence, 1, v.sequence,
                                      v.state);
        if (r.is_needed) {
            own->sequence = r.sequence;
        }
        return;
    }
    if (v.sequence < own->sequence ||
        (v.sequence == own->sequence && v.state <= own->state)) {
        return;
    }
    net.dead_count += v.state == BB_SWIM_DEAD && own->state != BB_SWIM_DEAD;
    *own = v;
    CU_ASSERT_TRUE(bb_swim_set_peer(&net.swim[at], about + 1, 1, v.sequence,
                                    v.state, net.now_us));
}

/* Delivers a datagram: merges its records, then responds or forwards it. */
static void
deliver(struct datagram *slot)
{
    struct datagram d = *slot;

    slot->kind = DATAGRAM_FREE;
    if (!net.is_up[d.to]) {
        return;
    }
    for (uint32_t i = 0; i < net.count; i++) {
        merge_view(d.to, i, d.views[i]);
    }
    switch (d.kind) {
    case DATAGRAM_PING:
        send_datagram(d.to, d.from, DATAGRAM_ACK, d.to, d.requester);
        break;
    case DATAGRAM_PING_REQUEST:
        send_datagram(d.to, d.target, DATAGRAM_PING, d.target, d.from);
        break;
    case DATAGRAM_ACK:
        bb_swim_record_ack(&net.swim[d.to], d.target + 1, net.now_us);
        if (d.requester != d.to) {
            send_datagram(d.to, d.requester, DATAGRAM_ACK, d.target,
                          d.requester);
        }
        break;
    case DATAGRAM_FREE:
        break;
    }
}

/* Carries out an action of a member's detector. */
static void
execute_action(uint32_t at, const struct bb_swim_action *a)
{
    uint32_t target = (uint32_t)a->id - 1;
    struct view v = net.views[at][target];

    switch (a->kind) {
    case BB_SWIM_PING:
        send_datagram(at, target, DATAGRAM_PING, target, at);
        break;
    case BB_SWIM_PING_REQUEST:
        send_datagram(at, (uint32_t)a->via - 1, DATAGRAM_PING_REQUEST, target,
                      at);
        break;
    case BB_SWIM_MARK_SUSPECT:
        v.state = BB_SWIM_SUSPECT;
        net.views[at][target] = v;
        break;
    case BB_SWIM_MARK_DEAD:
        v.state = BB_SWIM_DEAD;
        net.views[at][target] = v;
        net.dead_count++;
        for (uint32_t i = 0; i < net.count; i++) {
            if (i != at && i != target) {
                send_datagram(at, i, DATAGRAM_PING, i, at);
            }
        }
        break;
    }
}

static void
run_until(uint64_t end_us)
{
    static struct bb_swim_actions actions;

    for (; net.now_us < end_us; net.now_us += BB_US_PER_MS) {
        for (uint32_t i = 0; i < DATAGRAMS_MAX; i++) {
            if (net.datagrams[i].kind != DATAGRAM_FREE &&
                net.datagrams[i].arrival_us <= net.now_us) {
                deliver(&net.datagrams[i]);
            }
        }
        for (uint32_t i = 0; i < net.count && net.now_us % TICK_US == 0; i++) {
            if (!net.is_up[i]) {
                continue;
            }
            bb_swim_tick(&net.swim[i], net.now_us, bb_random_u64(net.random),
                         &actions);
            for (uint32_t a = 0; a < actions.count; a++) {
                execute_action(i, &actions.items[a]);
            }
        }
    }
}

static void
start_member(uint32_t i)
{
    const struct bb_swim_settings settings = bb_swim_default_settings();

    bb_swim_init(&net.swim[i], &settings, i + 1, net.now_us,
                 bb_random_u64(net.random));
    net.is_up[i] = true;
    for (uint32_t n = 0; n < net.count; n++) {
        (void)bb_swim_set_peer(&net.swim[i], n + 1, 1,
                               net.views[i][n].sequence, BB_SWIM_ALIVE,
                               net.now_us);
        net.views[i][n].state = BB_SWIM_ALIVE;
    }
}

static void
start_members(uint32_t count, uint32_t loss_percent)
{
    bb_random_destroy(net.random);
    memset(&net, 0, sizeof(net));
    net.random = bb_random_create(SEED);
    net.count = count;
    net.loss_percent = loss_percent;
    for (uint32_t i = 0; i < count; i++) {
        start_member(i);
    }
}

/* Guards against a dead member that is not marked dead by all others within
 * 3 s. */
static void
test_dead_member_is_marked_within_3_s(void)
{
    for (uint32_t count = 2; count <= MEMBERS_MAX; count += 19) {
        for (uint32_t round = 0; round < 10; round++) {
            start_members(count, 0);
            run_until(3 * BB_US_PER_S + round * 77 * BB_US_PER_MS);
            CU_ASSERT_EQUAL(net.dead_count, 0);
            net.is_up[0] = false;
            run_until(net.now_us + 3 * BB_US_PER_S);
            for (uint32_t i = 1; i < count; i++) {
                CU_ASSERT_EQUAL(net.views[i][0].state, BB_SWIM_DEAD);
            }
            CU_ASSERT_EQUAL(net.dead_count, count - 1);
        }
    }
}

/* Guards against a member that is declared dead because it responds late. A
 * delay of 300 ms is within the probe timeout; with 900 ms it is suspected and
 * refutes that each time. */
static void
test_slow_member_is_not_declared_dead(void)
{
    start_members(16, 0);
    net.delay_us[3] = 300 * BB_US_PER_MS;
    run_until(30 * BB_US_PER_S);
    CU_ASSERT_EQUAL(net.dead_count, 0);
    CU_ASSERT_EQUAL(net.views[3][3].sequence, 0);
    net.delay_us[3] = 900 * BB_US_PER_MS;
    run_until(60 * BB_US_PER_S);
    CU_ASSERT_EQUAL(net.dead_count, 0);
}

/* Guards against a live member that is declared dead because datagrams are
 * lost: 30% of all, for ten minutes. */
static void
test_loss_causes_no_death(void)
{
    start_members(16, 30);
    run_until(600ULL * BB_US_PER_S);
    CU_ASSERT_EQUAL(net.dead_count, 0);
}

/* Guards against members that are declared dead because most others restart at
 * once, and against members that stay marked dead after they return. */
static void
test_31_members_restart_at_once(void)
{
    enum { RESTARTED = 31 };

    start_members(MEMBERS_MAX, 0);
    run_until(5 * BB_US_PER_S);
    for (uint32_t i = 0; i < RESTARTED; i++) {
        net.is_up[i] = false;
    }
    run_until(10 * BB_US_PER_S);
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        enum bb_swim_state expected =
            i < RESTARTED ? BB_SWIM_DEAD : BB_SWIM_ALIVE;

        CU_ASSERT_EQUAL(net.views[MEMBERS_MAX - 1][i].state, expected);
    }
    for (uint32_t i = 0; i < RESTARTED; i++) {
        start_member(i);
    }
    run_until(13 * BB_US_PER_S);
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        for (uint32_t n = 0; n < MEMBERS_MAX; n++) {
            CU_ASSERT_EQUAL(net.views[i][n].state, BB_SWIM_ALIVE);
        }
    }
}

/* Guards against a member that cannot refute a suspicion, or a record of an
 * earlier incarnation. */
static void
test_refutation(void)
{
    CU_ASSERT_FALSE(
        bb_swim_decide_refutation(2, 5, 2, 5, BB_SWIM_ALIVE).is_needed);
    CU_ASSERT_FALSE(
        bb_swim_decide_refutation(2, 5, 1, 9, BB_SWIM_DEAD).is_needed);
    CU_ASSERT_EQUAL(
        bb_swim_decide_refutation(2, 5, 2, 5, BB_SWIM_SUSPECT).sequence, 6);
    CU_ASSERT_EQUAL(
        bb_swim_decide_refutation(2, 5, 2, 8, BB_SWIM_ALIVE).sequence, 9);
    CU_ASSERT_EQUAL(
        bb_swim_decide_refutation(2, 5, 4, 1, BB_SWIM_ALIVE).incarnation, 5);
}

static const struct bb_unit_test tests[] = {
    {"a dead member is marked within 3 s",
     test_dead_member_is_marked_within_3_s},
    {"a slow member is not declared dead",
     test_slow_member_is_not_declared_dead},
    {"lost datagrams cause no death", test_loss_causes_no_death},
    {"31 members restart at once", test_31_members_restart_at_once},
    {"refutation", test_refutation},
};

BB_UNIT_MAIN("swim", tests)
