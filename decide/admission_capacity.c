#include "decide/admission_capacity.h"

enum {
    PERCENT = 100,
    US_PER_MS = 1000,
    /* A request that runs this many times longer than its class usually does
     * counts as long; below the floor the difference does no harm. */
    OVERLONG_FACTOR = 8,
    OVERLONG_FLOOR_US = 5000,
    /* A short request is slow from this many medians. The upstream is slow
     * when at least half of the running short requests are, and two; or when
     * one of three is and none has ended in usual time for that long. */
    SLOW_FACTOR = 3,
    SLOW_FLOOR_US = 3000,
    SLOW_COUNT = 2,
    SLOW_RUNNING = 3,
    /* Assumed without observations, small so that nothing is refused by
     * guess. */
    SERVICE_TIME_DEFAULT_US = 1000
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Returns the most requests that may run at once, without slow start. */
uint32_t
bb_admission_full_slots(const struct bb_admission *a)
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

/* Tells whether new work may start at all. */
static bool
is_open(const struct bb_admission *a, uint64_t now_us)
{
    return a->state == BB_ADMISSION_READY && !a->is_stopping &&
           now_us >= a->shed_until_us;
}

/* Returns the slots that slow start allows at a time since it was ready. */
static uint32_t
ramped_slots(const struct bb_admission *a, uint32_t slots, uint64_t now_us)
{
    uint64_t ramp_us = (uint64_t)a->limits.slow_start_ms * US_PER_MS;
    uint64_t since_us = now_us > a->ready_us ? now_us - a->ready_us : 0;
    uint64_t allowed;

    if (since_us >= ramp_us || slots == 0) {
        return slots;
    }
    allowed = slots * since_us / ramp_us;
    return allowed == 0 ? 1 : (uint32_t)allowed;
}

/* Returns how many requests may run at this time: the limits, slow start,
 * state and shedding together. */
uint32_t
bb_admission_usable_slots(const struct bb_admission *a, uint64_t now_us)
{
    return is_open(a, now_us)
               ? ramped_slots(a, bb_admission_full_slots(a), now_us)
               : 0;
}

/* Returns how many of the usable slots long work may hold. At least one, if
 * any, so that long work is never locked out. */
uint32_t
bb_admission_long_limit(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t slots = bb_admission_usable_slots(a, now_us);
    uint64_t limit = slots * min_u32(a->limits.long_work_percent, PERCENT);

    limit /= PERCENT;
    return limit == 0 && slots > 0 ? 1 : (uint32_t)limit;
}

/* Returns the observed duration from which a short request counts as long. */
uint64_t
bb_admission_overlong_us(const struct bb_admission *a)
{
    const struct bb_estimate *e = &a->service_time[BB_ADMISSION_SHORT];
    uint64_t us = OVERLONG_FACTOR * bb_estimate_median_us(e, 0);

    if (e->total == 0) {
        return UINT64_MAX;
    }
    return us < OVERLONG_FLOOR_US ? OVERLONG_FLOOR_US : us;
}

/* Returns the duration from which a short request is slow. */
uint64_t
bb_admission_slow_us(const struct bb_admission *a)
{
    const struct bb_estimate *e = &a->service_time[BB_ADMISSION_SHORT];
    uint64_t us = SLOW_FACTOR * bb_estimate_median_us(e, 0);

    if (e->total == 0) {
        return UINT64_MAX;
    }
    return us < SLOW_FLOOR_US ? SLOW_FLOOR_US : us;
}

/* Tells whether the running short requests show that the upstream is slow. A
 * few long requests that are not declared do not make up half of them. */
bool
bb_admission_runs_slow(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t slow_us = bb_admission_slow_us(a);
    uint32_t running = 0;
    uint32_t slow = 0;

    for (uint32_t i = 0; i < a->running_count; i++) {
        const struct bb_admission_running *r = &a->running[i];

        if (r->work_class == BB_ADMISSION_SHORT) {
            running++;
            slow += now_us > r->start_us && now_us - r->start_us >= slow_us;
        }
    }
    return (slow >= SLOW_COUNT && 2 * slow >= running) ||
           (slow > 0 && running >= SLOW_RUNNING &&
            now_us - a->usual_us >= slow_us);
}

/* Counts the running requests that are long by class or by duration. */
static uint32_t
count_long(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t limit_us = bb_admission_overlong_us(a);
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->running_count; i++) {
        const struct bb_admission_running *r = &a->running[i];

        if (r->work_class == BB_ADMISSION_LONG || r->is_overlong ||
            (now_us > r->start_us && now_us - r->start_us >= limit_us)) {
            count++;
        }
    }
    return count;
}

/* Tells whether a team may run one more request. */
bool
bb_admission_team_has_room(const struct bb_admission *a, uint16_t team)
{
    if (team >= a->limits.team_count || a->limits.team_limits[team] == 0) {
        return true;
    }
    return a->team_running[team] < a->limits.team_limits[team];
}

struct bb_admission_capacity
bb_admission_capacity(const struct bb_admission *a, uint64_t now_us)
{
    return (struct bb_admission_capacity){
        .usable = bb_admission_usable_slots(a, now_us),
        .long_limit = bb_admission_long_limit(a, now_us),
        .long_running = count_long(a, now_us),
    };
}

/* Tells whether a slot is free that this request may use. */
bool
bb_admission_may_run(const struct bb_admission *a,
                     const struct bb_admission_capacity *c,
                     const struct bb_admission_request *r)
{
    if (a->running_count >= c->usable ||
        !bb_admission_team_has_room(a, r->team)) {
        return false;
    }
    return r->work_class == BB_ADMISSION_SHORT ||
           c->long_running < c->long_limit;
}

/* Returns the usual duration of a class, robust to outliers. */
uint64_t
bb_admission_service_us(const struct bb_admission *a,
                        enum bb_admission_class work_class)
{
    return bb_estimate_mean_us(&a->service_time[work_class],
                               SERVICE_TIME_DEFAULT_US);
}

/* Estimates how long a request waits with `ahead` requests of its class
 * before it in the queue: the time until that many and one more slots have
 * become free. Short work gets the slots that long work does not hold. */
uint64_t
bb_admission_expected_wait_us(const struct bb_admission *a,
                              const struct bb_admission_capacity *c,
                              enum bb_admission_class work_class,
                              uint32_t ahead)
{
    uint64_t slots = work_class == BB_ADMISSION_LONG ? c->long_limit
                     : c->usable > c->long_running
                         ? c->usable - c->long_running
                         : 1;

    if (slots == 0) {
        slots = 1;
    }
    return (ahead + 1) * bb_admission_service_us(a, work_class) / slots;
}

/* Returns the longest wait after which a request still ends by its deadline
 * if it takes the usual time; 0 if there is none. */
uint64_t
bb_admission_latest_start_us(const struct bb_admission *a,
                             const struct bb_admission_request *r,
                             uint64_t now_us)
{
    uint64_t need_us = bb_estimate_median_us(&a->service_time[r->work_class],
                                             SERVICE_TIME_DEFAULT_US);
    uint64_t left_us = r->deadline_us > now_us ? r->deadline_us - now_us : 0;

    return left_us > need_us ? left_us - need_us : 0;
}

/* Tells whether work that starts after a wait ends by its deadline. */
bool
bb_admission_is_feasible(const struct bb_admission *a,
                         const struct bb_admission_request *r,
                         uint64_t wait_us, uint64_t now_us)
{
    uint64_t need_us = bb_estimate_median_us(&a->service_time[r->work_class],
                                             SERVICE_TIME_DEFAULT_US);

    return r->deadline_us > now_us &&
           r->deadline_us - now_us >= wait_us + need_us;
}
