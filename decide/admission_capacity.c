#include "decide/admission_capacity.h"

#include "common/clock.h"

enum {
    PERCENT = 100,
    /* A short request that runs this many times the median of its class counts
     * as long. Below OVERLONG_MIN_US, longer durations do no harm. */
    OVERLONG_FACTOR = 8,
    OVERLONG_MIN_US = 5000,
    /* A short request is slow if it runs this many times the median, and at
     * least SLOW_MIN_US. The upstream is slow if at least SLOW_COUNT_MIN and
     * half of the running short requests are slow; or if one is slow, at least
     * SLOW_RUNNING_MIN run, and no short request has finished in normal time
     * for as long as the slow threshold. */
    SLOW_FACTOR = 3,
    SLOW_MIN_US = 3000,
    SLOW_COUNT_MIN = 2,
    SLOW_RUNNING_MIN = 3,
    /* Assumed until durations are observed; small, so that no request is
     * refused on a guess. */
    DURATION_DEFAULT_US = 1000
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Returns the maximum of running requests by configuration alone, without slow
 * start, state and shedding: the lowest of the slot, connection and service
 * limits. */
uint32_t
bb_admission_configured_slots(const struct bb_admission *a)
{
    const struct bb_admission_limits *l = &a->limits;
    uint32_t slots = min_u32(l->slots, BB_ADMISSION_SLOTS_MAX);

    if (l->connections > 0) {
        slots = min_u32(slots, l->connections);
    }
    if (l->service_limit > 0) {
        slots = min_u32(slots, l->service_limit);
    }
    return slots;
}

/* Returns whether new requests may start at all. */
static bool
is_accepting_work(const struct bb_admission *a, uint64_t now_us)
{
    return a->state == BB_ADMISSION_STATE_READY && !a->is_stopping &&
           now_us >= a->shed_until_us;
}

/* Returns how many of the slots slow start allows: a share that grows linearly
 * from the time the upstream became ready, and at least one. */
static uint32_t
slow_start_slots(const struct bb_admission *a, uint32_t slots, uint64_t now_us)
{
    uint64_t ramp_us = (uint64_t)a->limits.slow_start_ms * BB_US_PER_MS;
    uint64_t since_us =
        now_us > a->ready_since_us ? now_us - a->ready_since_us : 0;
    uint64_t allowed;

    if (since_us >= ramp_us || slots == 0) {
        return slots;
    }
    allowed = slots * since_us / ramp_us;
    return allowed == 0 ? 1 : (uint32_t)allowed;
}

/* Returns how many requests may run now, by the limits, slow start, state and
 * shedding together; 0 if no request may start. */
uint32_t
bb_admission_usable_slots(const struct bb_admission *a, uint64_t now_us)
{
    return is_accepting_work(a, now_us)
               ? slow_start_slots(a, bb_admission_configured_slots(a), now_us)
               : 0;
}

/* Returns how many of the usable slots long requests may hold: at least one if
 * any is usable, so that long requests can always make progress. */
uint32_t
bb_admission_long_slot_limit(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t slots = bb_admission_usable_slots(a, now_us);
    uint64_t limit = slots * min_u32(a->limits.long_work_percent, PERCENT);

    limit /= PERCENT;
    return limit == 0 && slots > 0 ? 1 : (uint32_t)limit;
}

/* Returns the duration in microseconds from which a running short request
 * counts as long; UINT64_MAX before the first observation. */
uint64_t
bb_admission_overlong_threshold_us(const struct bb_admission *a)
{
    const struct bb_duration_stats *e =
        &a->durations[BB_ADMISSION_CLASS_SHORT];
    uint64_t us = OVERLONG_FACTOR * bb_duration_stats_median_us(e, 0);

    if (e->total == 0) {
        return UINT64_MAX;
    }
    return us < OVERLONG_MIN_US ? OVERLONG_MIN_US : us;
}

/* Returns the duration in microseconds from which a short request is slow;
 * UINT64_MAX before the first observation. */
uint64_t
bb_admission_slow_threshold_us(const struct bb_admission *a)
{
    const struct bb_duration_stats *e =
        &a->durations[BB_ADMISSION_CLASS_SHORT];
    uint64_t us = SLOW_FACTOR * bb_duration_stats_median_us(e, 0);

    if (e->total == 0) {
        return UINT64_MAX;
    }
    return us < SLOW_MIN_US ? SLOW_MIN_US : us;
}

/* Returns whether the running short requests show that the upstream is slow
 * (see SLOW_FACTOR). A few long requests that are wrongly classed as short are
 * not enough while they are less than half of the running ones and short
 * requests still finish in normal time. */
bool
bb_admission_is_upstream_slow(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t slow_us = bb_admission_slow_threshold_us(a);
    uint32_t running = 0;
    uint32_t slow = 0;

    for (uint32_t i = 0; i < a->running_count; i++) {
        const struct bb_admission_running *r = &a->running[i];

        if (r->work_class == BB_ADMISSION_CLASS_SHORT) {
            running++;
            slow += now_us > r->start_us && now_us - r->start_us >= slow_us;
        }
    }
    return (slow >= SLOW_COUNT_MIN && 2 * slow >= running) ||
           (slow > 0 && running >= SLOW_RUNNING_MIN &&
            now_us - a->last_normal_us >= slow_us);
}

/* Counts the running requests that are long by class or by duration. */
static uint32_t
count_long(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t overlong_us = bb_admission_overlong_threshold_us(a);
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->running_count; i++) {
        const struct bb_admission_running *r = &a->running[i];

        if (r->work_class == BB_ADMISSION_CLASS_LONG || r->is_overlong ||
            (now_us > r->start_us && now_us - r->start_us >= overlong_us)) {
            count++;
        }
    }
    return count;
}

/* Returns whether a team may run one more request. A request without a team,
 * or of a team without a limit, always may. */
bool
bb_admission_is_below_team_limit(const struct bb_admission *a, uint16_t team)
{
    if (team >= a->limits.team_count || a->limits.team_limits[team] == 0) {
        return true;
    }
    return a->team_running[team] < a->limits.team_limits[team];
}

/* Returns the usable slots at now_us, how many of them long requests may hold,
 * and how many long requests run. */
struct bb_admission_capacity
bb_admission_capacity(const struct bb_admission *a, uint64_t now_us)
{
    return (struct bb_admission_capacity){
        .usable = bb_admission_usable_slots(a, now_us),
        .long_limit = bb_admission_long_slot_limit(a, now_us),
        .long_running = count_long(a, now_us),
    };
}

/* Returns whether a slot is free that this request may use under the team and
 * long-work limits. */
bool
bb_admission_can_run(const struct bb_admission *a,
                     const struct bb_admission_capacity *c,
                     const struct bb_admission_request *r)
{
    if (a->running_count >= c->usable ||
        !bb_admission_is_below_team_limit(a, r->team)) {
        return false;
    }
    return r->work_class == BB_ADMISSION_CLASS_SHORT ||
           c->long_running < c->long_limit;
}

/* Returns the mean duration of a class in microseconds, with outliers clipped.
 */
uint64_t
bb_admission_mean_duration_us(const struct bb_admission *a,
                              enum bb_admission_class work_class)
{
    return bb_duration_stats_mean_us(&a->durations[work_class],
                                     DURATION_DEFAULT_US);
}

/* Estimates how long a request waits, in microseconds, with `ahead` requests
 * of its class before it in the queue: the time until ahead + 1 slots have
 * become free. Long requests use the slots of their limit, short requests the
 * slots that long requests do not hold. */
uint64_t
bb_admission_expected_wait_us(const struct bb_admission *a,
                              const struct bb_admission_capacity *c,
                              enum bb_admission_class work_class,
                              uint32_t ahead)
{
    uint64_t slots = work_class == BB_ADMISSION_CLASS_LONG ? c->long_limit
                     : c->usable > c->long_running
                         ? c->usable - c->long_running
                         : 1;

    if (slots == 0) {
        slots = 1;
    }
    return (ahead + 1) * bb_admission_mean_duration_us(a, work_class) / slots;
}

/* Returns the longest wait, in microseconds, after which a request of median
 * duration still meets its deadline; 0 if it misses it in any case. */
uint64_t
bb_admission_max_feasible_wait_us(const struct bb_admission *a,
                                  const struct bb_admission_request *r,
                                  uint64_t now_us)
{
    uint64_t duration_us = bb_duration_stats_median_us(
        &a->durations[r->work_class], DURATION_DEFAULT_US);
    uint64_t left_us = r->deadline_us > now_us ? r->deadline_us - now_us : 0;

    return left_us > duration_us ? left_us - duration_us : 0;
}

/* Returns whether a request of median duration that starts after wait_us meets
 * its deadline. */
bool
bb_admission_can_meet_deadline(const struct bb_admission *a,
                               const struct bb_admission_request *r,
                               uint64_t wait_us, uint64_t now_us)
{
    uint64_t duration_us = bb_duration_stats_median_us(
        &a->durations[r->work_class], DURATION_DEFAULT_US);

    return r->deadline_us > now_us &&
           r->deadline_us - now_us >= wait_us + duration_us;
}
