/* Schedule of the share of a rollout's target version. */
#include "decide/rollout.h"

#include <stdio.h>
#include <string.h>

#include "rollout_internal.h"

enum {
    US_PER_MS = 1000,
    /* Points of the schedule, in thousandths of the duration. A version may
     * turn bad until 750: the last step comes after that and LAST_STEP_LAG_MS,
     * the time in which evidence reaches the leader. */
    SECOND_STEP_AT = 620,
    THIRD_STEP_AT = 700,
    LAST_STEP_AT = 800,
    LAST_TURN_AT = 750,
    LAST_STEP_LAG_MS = 1300,
    LAST_STEP_LATEST_AT = 850,
    COMPLETED_LATEST_AT = 950,
    /* Shares in thousandths of canary_permille: 4%, 15% and 35% of all
     * requests at a bound of 10%. */
    FIRST_SHARE = 400,
    SECOND_SHARE = 1500,
    THIRD_SHARE = 3500,
    /* The first share is raised once the rate is known, as the slack allows
     * more of few requests: by at most this. */
    RATE_KNOWN_MS = 1500,
    RAISED_SHARE_MAX = 500,
    RAISE_MIN_PERMILLE = 10,
    /* The baseline is idle if no report says otherwise for this long, the
     * share being at 1000 for longer. Reports come every 250 ms and take up to
     * 300 ms more. */
    IDLE_REPORT_MS = 700,
    IDLE_AFTER_STEP_MS = 900,
    /* Responses of the target, and time since the first evidence (a new leader
     * has none of the earlier one's), without which a step waits. */
    EVIDENCE_MIN_RESPONSES = 15,
    EVIDENCE_MIN_MS = 1000
};

/* Returns the name of a state, as logged. */
const char *
bb_rollout_state_name(enum bb_rollout_state state)
{
    static const char *const names[] = {"running", "completed", "rolled_back"};

    return names[state];
}

/* Returns the class of a duration: 0 below 1 ms, then one more for each
 * doubling. */
uint32_t
bb_rollout_duration_class(uint64_t duration_us)
{
    uint64_t bound_us = US_PER_MS;
    uint32_t class_index = 0;

    while (class_index < BB_ROLLOUT_DURATION_CLASSES - 1 &&
           duration_us >= bound_us) {
        bound_us *= 2;
        class_index++;
    }
    return class_index;
}

/* Initialises a rollout that runs for `duration_ms`, without evidence. The
 * caller reports its committed state next. */
void
bb_rollout_init(struct bb_rollout *r, const struct bb_rollout_bounds *b,
                uint64_t duration_ms)
{
    memset(r, 0, sizeof(*r));
    r->bounds = *b;
    r->duration_ms = duration_ms;
}

/* Applies a committed step. The elapsed time never goes back: that of the step
 * dates from when it was decided. */
void
bb_rollout_committed(struct bb_rollout *r, enum bb_rollout_state state,
                     uint32_t step, uint32_t share_permille,
                     uint64_t elapsed_ms, uint64_t now_us)
{
    if (r->committed_us == 0) {
        r->is_resumed = elapsed_ms >= BB_ROLLOUT_COLD_MS;
    }
    else {
        uint64_t known_ms = bb_rollout_elapsed_ms(r, now_us);

        elapsed_ms = known_ms > elapsed_ms ? known_ms : elapsed_ms;
    }
    if (share_permille == BB_ROLLOUT_PERMILLE &&
        r->share_permille != BB_ROLLOUT_PERMILLE) {
        rollout_keep_baseline(r, now_us);
    }
    r->state = state;
    r->step = step;
    r->share_permille = share_permille;
    r->elapsed_ms = elapsed_ms;
    r->committed_us = now_us;
}

/* Prepares for decisions of this host, which has become the leader: it gets
 * reports only from now on, so the baseline counts as in use. */
void
bb_rollout_resume(struct bb_rollout *r, uint64_t now_us)
{
    r->baseline_busy_us = now_us;
}

/* Returns the time since the rollout began, as far as it is known here. */
uint64_t
bb_rollout_elapsed_ms(const struct bb_rollout *r, uint64_t now_us)
{
    return r->elapsed_ms + (now_us - r->committed_us) / US_PER_MS;
}

/* Returns a share of the schedule, as thousandths of all requests. */
static uint32_t
scale_share(const struct bb_rollout *r, uint32_t share)
{
    uint32_t permille = (uint32_t)((uint64_t)r->bounds.canary_permille *
                                   share / BB_ROLLOUT_PERMILLE);

    return permille > BB_ROLLOUT_PERMILLE ? BB_ROLLOUT_PERMILLE
           : permille == 0                ? 1
                                          : permille;
}

/* Returns a point of the schedule. */
static uint64_t
point_ms(const struct bb_rollout *r, uint64_t thousandths)
{
    return r->duration_ms * thousandths / BB_ROLLOUT_PERMILLE;
}

/* Returns when all traffic moves to the target. */
static uint64_t
last_step_ms(const struct bb_rollout *r)
{
    uint64_t at_ms = point_ms(r, LAST_STEP_AT);
    uint64_t safe_ms = point_ms(r, LAST_TURN_AT) + LAST_STEP_LAG_MS;
    uint64_t latest_ms = point_ms(r, LAST_STEP_LATEST_AT);

    at_ms = at_ms > safe_ms ? at_ms : safe_ms;
    return at_ms < latest_ms ? at_ms : latest_ms;
}

/* Returns the first share. Half of the slack is spent on it: at few requests a
 * share of 4% is too little evidence. */
static uint32_t
first_share(const struct bb_rollout *r, uint64_t now_us)
{
    uint32_t base = scale_share(r, FIRST_SHARE);
    uint32_t limit = scale_share(r, FIRST_SHARE + RAISED_SHARE_MAX);
    uint64_t known_ms = (now_us - r->first_evidence_us) / US_PER_MS;
    uint64_t responses =
        r->responses[BB_ROLLOUT_BASELINE] + r->responses[BB_ROLLOUT_TARGET];
    uint64_t expected;
    uint64_t raised;

    if (r->first_evidence_us == 0 || known_ms < RATE_KNOWN_MS ||
        responses == 0) {
        return base;
    }
    expected = responses * r->duration_ms / known_ms;
    raised = base + (uint64_t)r->bounds.slack_requests / 2 *
                        BB_ROLLOUT_PERMILLE / (expected + 1);
    return raised < limit ? (uint32_t)raised : limit;
}

/* Returns the share that the schedule asks for, given enough evidence. */
static uint32_t
planned_share(const struct bb_rollout *r, uint64_t elapsed_ms, uint64_t now_us)
{
    uint32_t share;

    if (elapsed_ms >= last_step_ms(r)) {
        return BB_ROLLOUT_PERMILLE;
    }
    if (elapsed_ms >= point_ms(r, THIRD_STEP_AT)) {
        return scale_share(r, THIRD_SHARE);
    }
    if (elapsed_ms >= point_ms(r, SECOND_STEP_AT)) {
        return scale_share(r, SECOND_SHARE);
    }
    share = first_share(r, now_us);
    return share < r->share_permille + RAISE_MIN_PERMILLE && r->step > 0
               ? r->share_permille
               : share;
}

/* Returns whether a step may raise the share: the first one, one with enough
 * evidence, or the last one if that is late. */
static bool
may_raise(const struct bb_rollout *r, uint64_t elapsed_ms, uint64_t now_us)
{
    if (r->step == 0 || elapsed_ms >= point_ms(r, LAST_STEP_LATEST_AT)) {
        return true;
    }
    return r->responses[BB_ROLLOUT_TARGET] >= EVIDENCE_MIN_RESPONSES &&
           now_us - r->first_evidence_us >=
               (uint64_t)EVIDENCE_MIN_MS * US_PER_MS;
}

/* Returns whether all traffic has moved and nothing is in flight on the
 * baseline, as far as reports tell. */
static bool
is_baseline_idle(const struct bb_rollout *r, uint64_t now_us)
{
    return now_us - r->committed_us >=
               (uint64_t)IDLE_AFTER_STEP_MS * US_PER_MS &&
           now_us - r->baseline_busy_us >=
               (uint64_t)IDLE_REPORT_MS * US_PER_MS;
}

/* Sets the step that ends the rollout. */
static bool
end_rollout(struct bb_rollout_step *next, enum bb_rollout_state state,
            const char *reason)
{
    next->state = state;
    next->share_permille =
        state == BB_ROLLOUT_COMPLETED ? BB_ROLLOUT_PERMILLE : 0;
    next->step++;
    (void)snprintf(next->reason, sizeof(next->reason), "%s", reason);
    return true;
}

/* Decides on a rollout whose traffic has moved to the target. */
static bool
decide_completion(const struct bb_rollout *r, uint64_t now_us,
                  struct bb_rollout_step *next)
{
    if (is_baseline_idle(r, now_us)) {
        return end_rollout(next, BB_ROLLOUT_COMPLETED,
                           "nothing is in flight on the baseline");
    }
    if (next->elapsed_ms >= point_ms(r, COMPLETED_LATEST_AT)) {
        return end_rollout(next, BB_ROLLOUT_COMPLETED,
                           "the deadline is near; the baseline may have "
                           "requests in flight");
    }
    return false;
}

/* Decides whether a step is to be committed now, and sets it. `ready_targets`
 * is the number of the target's upstreams that are ready: without one no step
 * raises the share, and near the deadline the rollout is rolled back. Returns
 * false if nothing changes. */
bool
bb_rollout_decide(struct bb_rollout *r, uint32_t ready_targets,
                  uint64_t now_us, struct bb_rollout_step *next)
{
    uint64_t elapsed_ms = bb_rollout_elapsed_ms(r, now_us);
    uint32_t share;

    memset(next, 0, sizeof(*next));
    next->state = r->state;
    next->step = r->step;
    next->share_permille = r->share_permille;
    next->elapsed_ms = elapsed_ms;
    if (r->state != BB_ROLLOUT_RUNNING) {
        return false;
    }
    if (rollout_find_fault(r, now_us, next->reason)) {
        next->state = BB_ROLLOUT_ROLLED_BACK;
        next->share_permille = 0;
        next->step++;
        return true;
    }
    if (r->share_permille == BB_ROLLOUT_PERMILLE) {
        return decide_completion(r, now_us, next);
    }
    if (ready_targets == 0 && elapsed_ms >= point_ms(r, COMPLETED_LATEST_AT)) {
        return end_rollout(next, BB_ROLLOUT_ROLLED_BACK,
                           "no upstream of the target is ready");
    }
    share = planned_share(r, elapsed_ms, now_us);
    if (share > r->share_permille && ready_targets > 0 &&
        may_raise(r, elapsed_ms, now_us)) {
        next->share_permille = share;
        next->step++;
        rollout_describe(r, now_us, next->reason);
        return true;
    }
    if (elapsed_ms - r->elapsed_ms >= BB_ROLLOUT_CHECKPOINT_MS) {
        (void)snprintf(next->reason, sizeof(next->reason), "elapsed time");
        return true;
    }
    return false;
}
