/* Admission control: the limits hold in random runs, and the signals of an
 * upstream take effect. The rules on deadlines and long requests are tested by
 * traces: deadline_queue, long_work, drain. */
#include <string.h>

#include "common/clock.h"
#include "common/random.h"
#include "decide/admission.h"
#include "decide/admission_capacity.h"
#include "unit.h"

enum {
    SEED = 20261204,
    STEPS = 30000,
    SLOTS = 6,
    TEAMS = 2,
    TRACKED_MAX = 512
};

static struct bb_admission admission;

static const struct bb_admission_limits default_limits = {
    .slots = SLOTS,
    .connections = 130,
    .queue_length = 20,
    .long_work_percent = 67,
    .team_count = TEAMS,
};

static void
start_admission(const struct bb_admission_limits *l)
{
    bb_admission_init(&admission);
    bb_admission_configure(&admission, l, 1);
    bb_admission_set_state(&admission, BB_ADMISSION_STATE_READY, 1);
}

static struct bb_admission_decision
arrive(uint64_t id, enum bb_admission_class work_class, uint64_t deadline_us,
       uint64_t now_us)
{
    const struct bb_admission_request r = {.id = id,
                                           .work_class = work_class,
                                           .team = BB_ADMISSION_NO_TEAM,
                                           .deadline_us = deadline_us};

    return bb_admission_arrive(&admission, &r, now_us);
}

/* A request that runs or is queued, as the test expects it. */
struct tracked_request {
    uint64_t id;
    enum bb_admission_class work_class;
    uint16_t team;
    bool is_running;
};

static struct {
    struct tracked_request items[TRACKED_MAX];
    uint32_t count;
    uint64_t next_id;
} tracked;

static struct tracked_request *
find_tracked(uint64_t id)
{
    for (uint32_t i = 0; i < tracked.count; i++) {
        if (tracked.items[i].id == id) {
            return &tracked.items[i];
        }
    }
    return NULL;
}

static void
untrack(struct tracked_request *t)
{
    *t = tracked.items[--tracked.count];
}

/* Counts the running requests by the test's own account, of one team unless
 * team is BB_ADMISSION_NO_TEAM. */
static uint32_t
count_running(bool only_long, uint16_t team)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < tracked.count; i++) {
        const struct tracked_request *t = &tracked.items[i];

        n += t->is_running &&
             (!only_long || t->work_class == BB_ADMISSION_CLASS_LONG) &&
             (team == BB_ADMISSION_NO_TEAM || t->team == team);
    }
    return n;
}

/* Checks the limits that must hold after a request has started. */
static void
check_limits_after_start(const struct tracked_request *t, uint64_t now_us)
{
    CU_ASSERT_FATAL(count_running(false, BB_ADMISSION_NO_TEAM) <=
                    bb_admission_usable_slots(&admission, now_us));
    if (t->work_class == BB_ADMISSION_CLASS_LONG) {
        CU_ASSERT_FATAL(count_running(true, BB_ADMISSION_NO_TEAM) <=
                        bb_admission_long_slot_limit(&admission, now_us));
    }
    if (t->team < TEAMS && admission.limits.team_limits[t->team] > 0) {
        CU_ASSERT_FATAL(count_running(false, t->team) <=
                        admission.limits.team_limits[t->team]);
    }
}

/* Applies all actions on queued requests to the test's account. */
static void
apply_actions(uint64_t now_us)
{
    struct bb_admission_action action;

    while (bb_admission_next_action(&admission, now_us, &action)) {
        struct tracked_request *t = find_tracked(action.id);

        CU_ASSERT_PTR_NOT_NULL(t);
        if (t == NULL) {
            return;
        }
        CU_ASSERT_FALSE_FATAL(t->is_running);
        if (action.decision.kind == BB_ADMISSION_DECISION_RUN) {
            t->is_running = true;
            check_limits_after_start(t, now_us);
        }
        else {
            const struct bb_admission_request r = {.work_class = t->work_class,
                                                   .team = t->team,
                                                   .deadline_us = UINT64_MAX};
            struct bb_admission_capacity c =
                bb_admission_capacity(&admission, now_us);

            /* A queued request that could use a free slot is not refused
             * because of its estimated duration. */
            CU_ASSERT_FATAL(action.decision.reason !=
                                BB_REASON_CANNOT_FINISH ||
                            !bb_admission_can_run(&admission, &c, &r));
            untrack(t);
        }
    }
}

static void
arrive_at_random(struct bb_random *random, uint64_t now_us)
{
    const struct bb_admission_request r = {
        .id = ++tracked.next_id,
        .work_class = bb_random_below(random, 5) == 0
                          ? BB_ADMISSION_CLASS_LONG
                          : BB_ADMISSION_CLASS_SHORT,
        .team = (uint16_t)bb_random_below(random, TEAMS + 1),
        .deadline_us =
            now_us + 1 + bb_random_below(random, 400 * BB_US_PER_MS),
        .may_refuse_as_slow = bb_random_below(random, 3) == 0,
    };
    struct bb_admission_capacity c = bb_admission_capacity(&admission, now_us);
    bool may_run = bb_admission_can_run(&admission, &c, &r);
    struct bb_admission_decision d =
        bb_admission_arrive(&admission, &r, now_us);

    if (d.kind == BB_ADMISSION_DECISION_REFUSE) {
        /* A request that could run is refused only if the upstream is slow and
         * the request can be retried elsewhere. */
        CU_ASSERT_FATAL(!may_run || (d.reason == BB_REASON_UPSTREAM_SLOW &&
                                     r.may_refuse_as_slow));
        return;
    }
    CU_ASSERT_FATAL(tracked.count < TRACKED_MAX);
    tracked.items[tracked.count++] = (struct tracked_request){
        .id = r.id,
        .work_class = r.work_class,
        .team = r.team,
        .is_running = d.kind == BB_ADMISSION_DECISION_RUN};
    if (d.kind == BB_ADMISSION_DECISION_RUN) {
        check_limits_after_start(&tracked.items[tracked.count - 1], now_us);
    }
}

static void
finish_at_random(struct bb_random *random, uint64_t now_us)
{
    uint32_t at = (uint32_t)bb_random_below(random, tracked.count);
    struct tracked_request *t = &tracked.items[at];

    if (tracked.count == 0) {
        return;
    }
    if (t->is_running) {
        CU_ASSERT_TRUE(bb_admission_finish(
            &admission, t->id, 1 + bb_random_below(random, 8 * BB_US_PER_MS),
            true, now_us));
        untrack(t);
    }
    else if (bb_random_below(random, 4) == 0) {
        CU_ASSERT_TRUE(bb_admission_cancel(&admission, t->id));
        untrack(t);
    }
}

/* Changes state, shedding or limits at random. */
static void
change_state_at_random(struct bb_random *random, uint64_t now_us)
{
    struct bb_admission_limits l = default_limits;

    switch (bb_random_below(random, 6)) {
    case 0:
        bb_admission_shed(&admission,
                          bb_random_below(random, 50 * BB_US_PER_MS), now_us);
        break;
    case 1:
        bb_admission_set_state(&admission,
                               (enum bb_admission_state)bb_random_below(
                                   random, BB_ADMISSION_STATE_LEAVING + 1),
                               now_us);
        break;
    case 2:
        l.slots = 1 + (uint32_t)bb_random_below(random, 9);
        l.connections = (uint32_t)bb_random_below(random, 9);
        l.service_limit = (uint32_t)bb_random_below(random, 9);
        l.queue_length = (uint32_t)bb_random_below(random, 30);
        l.slow_start_ms = (uint32_t)bb_random_below(random, 100);
        l.team_limits[1] = (uint32_t)bb_random_below(random, 4);
        bb_admission_configure(&admission, &l, now_us);
        break;
    default:
        bb_admission_set_state(&admission, BB_ADMISSION_STATE_READY, now_us);
        break;
    }
}

/* Guards against more running requests than the limits allow, requests lost
 * from the queue, and an overfull queue, over random events. */
static void
test_limits_hold_in_random_runs(void)
{
    struct bb_random *random = bb_random_create(SEED);
    uint64_t now_us = 1;

    memset(&tracked, 0, sizeof(tracked));
    start_admission(&default_limits);
    for (int i = 0; i < STEPS; i++) {
        now_us += bb_random_below(random, 2 * BB_US_PER_MS);
        apply_actions(now_us);
        switch (bb_random_below(random, 40)) {
        case 0:
            change_state_at_random(random, now_us);
            break;
        case 1 ... 15:
            finish_at_random(random, now_us);
            break;
        default:
            arrive_at_random(random, now_us);
            break;
        }
        CU_ASSERT_FATAL(admission.queued_count - admission.evicted_count <=
                        BB_ADMISSION_QUEUE_MAX);
        apply_actions(now_us);
        CU_ASSERT_FATAL(admission.running_count + admission.queued_count ==
                        tracked.count);
    }
    bb_random_destroy(random);
}

static void
fill_slots(uint64_t now_us)
{
    for (uint64_t id = 1; id <= SLOTS; id++) {
        CU_ASSERT_EQUAL(
            arrive(id, BB_ADMISSION_CLASS_SHORT, UINT64_MAX, now_us).kind,
            BB_ADMISSION_DECISION_RUN);
    }
}

/* Guards against requests that start while the upstream sheds load or drains,
 * or too many of them during slow start. */
static void
test_state_signals_are_obeyed_at_once(void)
{
    struct bb_admission_limits l = default_limits;
    struct bb_admission_action action;

    l.slow_start_ms = 600;
    start_admission(&l);
    CU_ASSERT_EQUAL(bb_admission_usable_slots(&admission, 2), 1);
    CU_ASSERT_EQUAL(
        bb_admission_usable_slots(&admission, 300 * BB_US_PER_MS + 1), 3);
    CU_ASSERT_EQUAL(
        bb_admission_usable_slots(&admission, 600 * BB_US_PER_MS + 1), SLOTS);
    fill_slots(700 * BB_US_PER_MS);
    (void)arrive(10, BB_ADMISSION_CLASS_SHORT, 9000 * BB_US_PER_MS,
                 700 * BB_US_PER_MS);
    bb_admission_shed(&admission, 50 * BB_US_PER_MS, 700 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(arrive(11, BB_ADMISSION_CLASS_SHORT, 9000 * BB_US_PER_MS,
                           700 * BB_US_PER_MS)
                        .reason,
                    BB_REASON_UPSTREAM_SHEDDING);
    CU_ASSERT_TRUE(
        bb_admission_finish(&admission, 1, 0, true, 710 * BB_US_PER_MS));
    CU_ASSERT_FALSE(
        bb_admission_next_action(&admission, 710 * BB_US_PER_MS, &action));
    CU_ASSERT_EQUAL(
        bb_admission_next_wakeup_us(&admission, 710 * BB_US_PER_MS),
        750 * BB_US_PER_MS);
    CU_ASSERT_TRUE(
        bb_admission_next_action(&admission, 750 * BB_US_PER_MS, &action));
    CU_ASSERT_EQUAL(action.decision.kind, BB_ADMISSION_DECISION_RUN);
    (void)arrive(12, BB_ADMISSION_CLASS_SHORT, 9000 * BB_US_PER_MS,
                 751 * BB_US_PER_MS);
    bb_admission_set_state(&admission, BB_ADMISSION_STATE_DRAINING,
                           751 * BB_US_PER_MS);
    CU_ASSERT_TRUE(
        bb_admission_next_action(&admission, 751 * BB_US_PER_MS, &action));
    CU_ASSERT_EQUAL(action.decision.reason, BB_REASON_UPSTREAM_DRAINING);
    CU_ASSERT_EQUAL(admission.running_count, SLOTS);
}

/* Guards against a few outliers that raise the estimate so much that admission
 * refuses everything. */
static void
test_outliers_do_not_distort_estimate(void)
{
    struct bb_duration_stats e = {0};

    for (int i = 0; i < 95; i++) {
        bb_duration_stats_add(&e, 10 * BB_US_PER_MS);
    }
    for (int i = 0; i < 5; i++) {
        bb_duration_stats_add(&e, 60000 * BB_US_PER_MS);
    }
    CU_ASSERT_TRUE(bb_duration_stats_median_us(&e, 0) < 12 * BB_US_PER_MS);
    CU_ASSERT_TRUE(bb_duration_stats_mean_us(&e, 0) < 16 * BB_US_PER_MS);
    CU_ASSERT_TRUE(bb_duration_stats_quantile_us(&e, 990) >
                   40000 * BB_US_PER_MS);
}

static const struct bb_unit_test tests[] = {
    {"limits hold in random runs", test_limits_hold_in_random_runs},
    {"state signals are obeyed at once",
     test_state_signals_are_obeyed_at_once},
    {"outliers do not distort the estimate",
     test_outliers_do_not_distort_estimate},
};

BB_UNIT_MAIN("admission", tests)
