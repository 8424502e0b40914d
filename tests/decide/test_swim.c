/* Failure detection with a small fake network: every member has a detector
 * and its own view of the others' records; a datagram carries the sender's
 * whole view, and may be lost or late. */
#include <string.h>

#include "common/random.h"
#include "decide/swim.h"
#include "unit.h"

enum {
    SEED = 5,
    MEMBERS_MAX = 40,
    FLIGHTS_MAX = 4096,
    MS = 1000,
    S = 1000000,
    TICK_US = 20 * MS
};

struct view {
    uint64_t sequence;
    enum bb_swim_state state;
};

/* A datagram on its way: a ping, its answer, or a request to ping. */
struct flight {
    uint64_t at_us;
    uint32_t from;
    uint32_t to;
    uint32_t target; /* who is to be pinged or was found alive */
    uint32_t asker;
    enum { FLIGHT_FREE, FLIGHT_PING, FLIGHT_ACK, FLIGHT_REQUEST } kind;
    struct view views[MEMBERS_MAX];
};

static struct {
    struct bb_random *random;
    struct bb_swim swim[MEMBERS_MAX];
    struct view views[MEMBERS_MAX][MEMBERS_MAX];
    bool is_up[MEMBERS_MAX];
    uint64_t slow_us[MEMBERS_MAX];
    uint32_t count;
    uint32_t loss_percent;
    uint64_t now_us;
    uint32_t deaths; /* views that turned to dead */
    struct flight flights[FLIGHTS_MAX];
} w;

static void
send_flight(uint32_t from, uint32_t to, int kind, uint32_t target,
            uint32_t asker)
{
    if (bb_random_below(w.random, 100) < w.loss_percent) {
        return;
    }
    for (uint32_t i = 0; i < FLIGHTS_MAX; i++) {
        struct flight *f = &w.flights[i];

        if (f->kind == FLIGHT_FREE) {
            f->at_us = w.now_us + MS + w.slow_us[from];
            f->from = from;
            f->to = to;
            f->kind = kind;
            f->target = target;
            f->asker = asker;
            memcpy(f->views, w.views[from], sizeof(f->views));
            return;
        }
    }
    CU_FAIL("too many datagrams under way");
}

static void
take_view(uint32_t at, uint32_t about, struct view v)
{
    struct view *own = &w.views[at][about];
    struct bb_swim_refutation r;

    if (about == at) {
        r = bb_swim_refute(1, own->sequence, 1, v.sequence, v.state);
        if (r.is_needed) {
            own->sequence = r.sequence;
        }
        return;
    }
    if (v.sequence < own->sequence ||
        (v.sequence == own->sequence && v.state <= own->state)) {
        return;
    }
    w.deaths += v.state == BB_SWIM_DEAD && own->state != BB_SWIM_DEAD;
    *own = v;
    CU_ASSERT_TRUE(bb_swim_set_peer(&w.swim[at], about + 1, 1, v.sequence,
                                    v.state, w.now_us));
}

static void
deliver(struct flight *f)
{
    struct flight d = *f;

    f->kind = FLIGHT_FREE;
    if (!w.is_up[d.to]) {
        return;
    }
    for (uint32_t i = 0; i < w.count; i++) {
        take_view(d.to, i, d.views[i]);
    }
    switch (d.kind) {
    case FLIGHT_PING:
        send_flight(d.to, d.from, FLIGHT_ACK, d.to, d.asker);
        break;
    case FLIGHT_REQUEST:
        send_flight(d.to, d.target, FLIGHT_PING, d.target, d.from);
        break;
    case FLIGHT_ACK:
        bb_swim_heard(&w.swim[d.to], d.target + 1, w.now_us);
        if (d.asker != d.to) {
            send_flight(d.to, d.asker, FLIGHT_ACK, d.target, d.asker);
        }
        break;
    case FLIGHT_FREE:
        break;
    }
}

static void
act(uint32_t at, const struct bb_swim_action *a)
{
    uint32_t target = (uint32_t)a->id - 1;
    struct view v = w.views[at][target];

    switch (a->kind) {
    case BB_SWIM_PING:
        send_flight(at, target, FLIGHT_PING, target, at);
        break;
    case BB_SWIM_PING_REQUEST:
        send_flight(at, (uint32_t)a->via - 1, FLIGHT_REQUEST, target, at);
        break;
    case BB_SWIM_MARK_SUSPECT:
        v.state = BB_SWIM_SUSPECT;
        w.views[at][target] = v;
        break;
    case BB_SWIM_MARK_DEAD:
        v.state = BB_SWIM_DEAD;
        w.views[at][target] = v;
        w.deaths++;
        for (uint32_t i = 0; i < w.count; i++) {
            if (i != at && i != target) {
                send_flight(at, i, FLIGHT_PING, i, at);
            }
        }
        break;
    }
}

static void
run_until(uint64_t end_us)
{
    static struct bb_swim_actions actions;

    for (; w.now_us < end_us; w.now_us += MS) {
        for (uint32_t i = 0; i < FLIGHTS_MAX; i++) {
            if (w.flights[i].kind != FLIGHT_FREE &&
                w.flights[i].at_us <= w.now_us) {
                deliver(&w.flights[i]);
            }
        }
        for (uint32_t i = 0; i < w.count && w.now_us % TICK_US == 0; i++) {
            if (!w.is_up[i]) {
                continue;
            }
            bb_swim_tick(&w.swim[i], w.now_us, bb_random_u64(w.random),
                         &actions);
            for (uint32_t a = 0; a < actions.count; a++) {
                act(i, &actions.items[a]);
            }
        }
    }
}

static void
start_member(uint32_t i)
{
    const struct bb_swim_settings settings = bb_swim_default_settings();

    bb_swim_init(&w.swim[i], &settings, i + 1, w.now_us,
                 bb_random_u64(w.random));
    w.is_up[i] = true;
    for (uint32_t n = 0; n < w.count; n++) {
        (void)bb_swim_set_peer(&w.swim[i], n + 1, 1, w.views[i][n].sequence,
                               BB_SWIM_ALIVE, w.now_us);
        w.views[i][n].state = BB_SWIM_ALIVE;
    }
}

static void
start_world(uint32_t count, uint32_t loss_percent)
{
    bb_random_destroy(w.random);
    memset(&w, 0, sizeof(w));
    w.random = bb_random_create(SEED);
    w.count = count;
    w.loss_percent = loss_percent;
    for (uint32_t i = 0; i < count; i++) {
        start_member(i);
    }
}

/* Guards against a dead member being used for longer than 3 s. */
static void
test_dead_member_is_marked_within_3_s(void)
{
    for (uint32_t count = 2; count <= MEMBERS_MAX; count += 19) {
        for (uint32_t round = 0; round < 10; round++) {
            start_world(count, 0);
            run_until(3 * S + round * 77 * MS);
            CU_ASSERT_EQUAL(w.deaths, 0);
            w.is_up[0] = false;
            run_until(w.now_us + 3 * S);
            for (uint32_t i = 1; i < count; i++) {
                CU_ASSERT_EQUAL(w.views[i][0].state, BB_SWIM_DEAD);
            }
            CU_ASSERT_EQUAL(w.deaths, count - 1);
        }
    }
}

/* Guards against declaring a member dead that answers late: 300 ms is within
 * the probe, 900 ms is suspected and refuted each time. */
static void
test_slow_member_stays(void)
{
    start_world(16, 0);
    w.slow_us[3] = 300 * MS;
    run_until(30 * S);
    CU_ASSERT_EQUAL(w.deaths, 0);
    CU_ASSERT_EQUAL(w.views[3][3].sequence, 0);
    w.slow_us[3] = 900 * MS;
    run_until(60 * S);
    CU_ASSERT_EQUAL(w.deaths, 0);
}

/* Guards against false deaths where datagrams are lost: 30% of all, for ten
 * minutes. */
static void
test_loss_causes_no_death(void)
{
    start_world(16, 30);
    run_until(600ULL * S);
    CU_ASSERT_EQUAL(w.deaths, 0);
}

/* Guards against a mass restart taking down the members that stayed, and
 * against members that stay marked dead after they return. */
static void
test_31_members_restart_at_once(void)
{
    enum { RESTARTED = 31 };

    start_world(MEMBERS_MAX, 0);
    run_until(5 * S);
    for (uint32_t i = 0; i < RESTARTED; i++) {
        w.is_up[i] = false;
    }
    run_until(10 * S);
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        enum bb_swim_state expected =
            i < RESTARTED ? BB_SWIM_DEAD : BB_SWIM_ALIVE;

        CU_ASSERT_EQUAL(w.views[MEMBERS_MAX - 1][i].state, expected);
    }
    for (uint32_t i = 0; i < RESTARTED; i++) {
        start_member(i);
    }
    run_until(13 * S);
    for (uint32_t i = 0; i < MEMBERS_MAX; i++) {
        for (uint32_t n = 0; n < MEMBERS_MAX; n++) {
            CU_ASSERT_EQUAL(w.views[i][n].state, BB_SWIM_ALIVE);
        }
    }
}

/* Guards against a member that cannot refute what is said about it. */
static void
test_refutation(void)
{
    CU_ASSERT_FALSE(bb_swim_refute(2, 5, 2, 5, BB_SWIM_ALIVE).is_needed);
    CU_ASSERT_FALSE(bb_swim_refute(2, 5, 1, 9, BB_SWIM_DEAD).is_needed);
    CU_ASSERT_EQUAL(bb_swim_refute(2, 5, 2, 5, BB_SWIM_SUSPECT).sequence, 6);
    CU_ASSERT_EQUAL(bb_swim_refute(2, 5, 2, 8, BB_SWIM_ALIVE).sequence, 9);
    CU_ASSERT_EQUAL(bb_swim_refute(2, 5, 4, 1, BB_SWIM_ALIVE).incarnation, 5);
}

static const struct bb_unit_test tests[] = {
    {"a dead member is marked within 3 s",
     test_dead_member_is_marked_within_3_s},
    {"a slow member stays", test_slow_member_stays},
    {"loss causes no death", test_loss_causes_no_death},
    {"31 members restart at once", test_31_members_restart_at_once},
    {"refutation", test_refutation},
};

BB_UNIT_MAIN("swim", tests)
