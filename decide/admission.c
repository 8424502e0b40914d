#include "decide/admission.h"

#include <string.h>

enum {
    PERCENT = 100,
    US_PER_MS = 1000,
    /* A standing queue longer than this would take more than a second to
     * drain after a burst at 70% load, and serves callers no better. */
    QUEUE_WAIT_MS_DEFAULT = 300,
    /* A request that runs this many times longer than its class usually does
     * counts as long; below the floor the difference does no harm. */
    OVERLONG_FACTOR = 8,
    OVERLONG_FLOOR_US = 5000,
    /* Assumed without observations, small so that nothing is refused by
     * guess. */
    SERVICE_TIME_DEFAULT_US = 1000,
    SLOW_START_STEPS = 20
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Returns the most requests that may run at once, without slow start. */
static uint32_t
full_slots(const struct bb_admission *a)
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
    return is_open(a, now_us) ? ramped_slots(a, full_slots(a), now_us) : 0;
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
static uint64_t
overlong_us(const struct bb_admission *a)
{
    const struct bb_estimate *e = &a->service_time[BB_ADMISSION_SHORT];
    uint64_t us = OVERLONG_FACTOR * bb_estimate_median_us(e, 0);

    if (e->total == 0) {
        return UINT64_MAX;
    }
    return us < OVERLONG_FLOOR_US ? OVERLONG_FLOOR_US : us;
}

/* Counts the running requests that are long by class or by duration. */
static uint32_t
count_long(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t limit_us = overlong_us(a);
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
static bool
team_has_room(const struct bb_admission *a, uint16_t team)
{
    if (team >= a->limits.team_count || a->limits.team_limits[team] == 0) {
        return true;
    }
    return a->team_running[team] < a->limits.team_limits[team];
}

/* The slots at one time, computed once for a scan of the queue. */
struct capacity {
    uint32_t usable;
    uint32_t long_limit;
    uint32_t long_running;
};

static struct capacity
capacity_at(const struct bb_admission *a, uint64_t now_us)
{
    return (struct capacity){
        .usable = bb_admission_usable_slots(a, now_us),
        .long_limit = bb_admission_long_limit(a, now_us),
        .long_running = count_long(a, now_us),
    };
}

/* Tells whether a slot is free that this request may use. */
static bool
may_run(const struct bb_admission *a, const struct capacity *c,
        const struct bb_admission_request *r)
{
    if (a->running_count >= c->usable || !team_has_room(a, r->team)) {
        return false;
    }
    return r->work_class == BB_ADMISSION_SHORT ||
           c->long_running < c->long_limit;
}

/* Returns the usual duration of a class, robust to outliers. */
static uint64_t
service_us(const struct bb_admission *a, enum bb_admission_class work_class)
{
    return bb_estimate_mean_us(&a->service_time[work_class],
                               SERVICE_TIME_DEFAULT_US);
}

/* Estimates how long a request waits with `ahead` requests of its class
 * before it in the queue: the time until that many and one more slots have
 * become free. Short work gets the slots that long work does not hold. */
static uint64_t
wait_us(const struct bb_admission *a, const struct capacity *c,
        enum bb_admission_class work_class, uint32_t ahead)
{
    uint64_t slots = work_class == BB_ADMISSION_LONG ? c->long_limit
                     : c->usable > c->long_running
                         ? c->usable - c->long_running
                         : 1;

    if (slots == 0) {
        slots = 1;
    }
    return (ahead + 1) * service_us(a, work_class) / slots;
}

/* Tells whether work that starts after a wait ends by its deadline. */
static bool
is_feasible(const struct bb_admission *a, const struct bb_admission_request *r,
            uint64_t wait, uint64_t now_us)
{
    uint64_t need_us = bb_estimate_median_us(&a->service_time[r->work_class],
                                             SERVICE_TIME_DEFAULT_US);

    return r->deadline_us > now_us &&
           r->deadline_us - now_us >= wait + need_us;
}

/* Sets an empty state; nothing is admitted before configure and ready. */
void
bb_admission_init(struct bb_admission *a)
{
    memset(a, 0, sizeof(*a));
}

/* Takes new limits. Running requests above a lowered limit go on; no new one
 * starts until the limits hold again. */
void
bb_admission_configure(struct bb_admission *a,
                       const struct bb_admission_limits *limits,
                       uint64_t now_us)
{
    (void)now_us;
    a->limits = *limits;
    a->limits.queue_length =
        min_u32(limits->queue_length, BB_ADMISSION_QUEUE_MAX - 1);
    if (a->limits.team_count > BB_ADMISSION_TEAMS_MAX) {
        a->limits.team_count = BB_ADMISSION_TEAMS_MAX;
    }
}

/* Takes the state that the upstream announced. Slow start begins when it
 * becomes ready after it was gone or starting. */
void
bb_admission_set_state(struct bb_admission *a, enum bb_admission_state state,
                       uint64_t now_us)
{
    if (state == BB_ADMISSION_READY &&
        (a->state == BB_ADMISSION_NONE || a->state == BB_ADMISSION_STARTING)) {
        a->ready_us = now_us;
    }
    a->state = state;
}

/* Stops admission for good: the gatekeeper shuts down. */
void
bb_admission_stop(struct bb_admission *a)
{
    a->is_stopping = true;
}

/* The upstream asks for no new work for a time; 0 ends it. */
void
bb_admission_shed(struct bb_admission *a, uint64_t duration_us,
                  uint64_t now_us)
{
    a->shed_until_us = now_us + duration_us;
}

/* Returns why nothing may start, or BB_REASON_NONE. */
static enum bb_reason
closed_reason(const struct bb_admission *a, uint64_t now_us)
{
    if (a->is_stopping) {
        return BB_REASON_SHUTTING_DOWN;
    }
    switch (a->state) {
    case BB_ADMISSION_NONE:
        return BB_REASON_NO_UPSTREAM;
    case BB_ADMISSION_STARTING:
        return BB_REASON_UPSTREAM_STARTING;
    case BB_ADMISSION_DRAINING:
    case BB_ADMISSION_LEAVING:
        return BB_REASON_UPSTREAM_DRAINING;
    case BB_ADMISSION_READY:
        break;
    }
    return now_us < a->shed_until_us ? BB_REASON_UPSTREAM_SHEDDING
                                     : BB_REASON_NONE;
}

/* Marks a request as running; a free slot was checked before. */
static void
put_running(struct bb_admission *a, const struct bb_admission_request *r,
            uint64_t now_us)
{
    a->running[a->running_count++] = (struct bb_admission_running){
        .id = r->id,
        .start_us = now_us,
        .work_class = r->work_class,
        .team = r->team,
    };
    if (r->team < BB_ADMISSION_TEAMS_MAX) {
        a->team_running[r->team]++;
    }
}

/* Inserts a request by deadline; equal ones stay in order of arrival. */
static void
put_queued(struct bb_admission *a, const struct bb_admission_request *r)
{
    uint32_t at = a->queued_count;

    while (at > 0 && a->queue[at - 1].request.deadline_us > r->deadline_us) {
        at--;
    }
    memmove(&a->queue[at + 1], &a->queue[at],
            (a->queued_count - at) * sizeof(a->queue[0]));
    a->queue[at] = (struct bb_admission_queued){.request = *r};
    a->queued_count++;
}

/* Takes one request out of the queue. */
static void
drop_queued(struct bb_admission *a, uint32_t at)
{
    if (a->queue[at].is_evicted) {
        a->evicted_count--;
    }
    a->queued_count--;
    memmove(&a->queue[at], &a->queue[at + 1],
            (a->queued_count - at) * sizeof(a->queue[0]));
}

/* Counts queued requests of a class, those before a deadline only. */
static uint32_t
count_ahead(const struct bb_admission *a, enum bb_admission_class work_class,
            uint64_t deadline_us)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < a->queued_count; i++) {
        const struct bb_admission_queued *q = &a->queue[i];

        if (q->request.deadline_us > deadline_us) {
            break;
        }
        if (!q->is_evicted && q->request.work_class == work_class) {
            count++;
        }
    }
    return count;
}

/* Marks the queued request that is least able to make its deadline, if there
 * is one that cannot. Only the class that needs room is searched, if the
 * class itself is at its limit. */
static bool
evict_infeasible(struct bb_admission *a, const struct capacity *c,
                 bool only_long, uint64_t now_us)
{
    uint32_t ahead[BB_ADMISSION_CLASSES] = {0};

    for (uint32_t i = 0; i < a->queued_count; i++) {
        struct bb_admission_queued *q = &a->queue[i];
        enum bb_admission_class k = q->request.work_class;

        if (q->is_evicted) {
            continue;
        }
        if ((!only_long || k == BB_ADMISSION_LONG) &&
            !is_feasible(a, &q->request, wait_us(a, c, k, ahead[k]), now_us)) {
            q->is_evicted = true;
            a->evicted_count++;
            return true;
        }
        ahead[k]++;
    }
    return false;
}

/* Returns the reason that tells which limit keeps a request waiting. */
static enum bb_reason
full_reason(const struct bb_admission *a, const struct bb_admission_request *r)
{
    uint32_t slots = full_slots(a);

    if (!team_has_room(a, r->team)) {
        return BB_REASON_TEAM_LIMIT;
    }
    if (a->running_count >= slots && slots < a->limits.slots) {
        return slots == a->limits.service_limit ? BB_REASON_SERVICE_LIMIT
                                                : BB_REASON_CONNECTION_LIMIT;
    }
    return BB_REASON_QUEUE_FULL;
}

/* Returns how many long requests the queue may hold. */
static uint32_t
long_queue_limit(const struct bb_admission *a)
{
    uint64_t limit = (uint64_t)a->limits.queue_length *
                     min_u32(a->limits.long_work_percent, PERCENT) / PERCENT;

    return limit == 0 && a->limits.queue_length > 0 ? 1 : (uint32_t)limit;
}

/* Returns the longest wait for which a class is queued. Long work is allowed
 * two of its own durations, because it would never be queued otherwise. */
static uint64_t
longest_wait_us(const struct bb_admission *a, enum bb_admission_class k)
{
    uint64_t limit_ms = a->limits.queue_wait_ms > 0 ? a->limits.queue_wait_ms
                                                    : QUEUE_WAIT_MS_DEFAULT;
    uint64_t limit_us = limit_ms * US_PER_MS;
    uint64_t two_us = 2 * service_us(a, k);

    return two_us > limit_us ? two_us : limit_us;
}

/* Tells whether the queue has room, evicting a request that cannot make its
 * deadline if that is needed. */
static bool
make_room(struct bb_admission *a, const struct capacity *c,
          const struct bb_admission_request *r, uint64_t now_us)
{
    uint32_t queued = a->queued_count - a->evicted_count;
    bool is_long_full =
        r->work_class == BB_ADMISSION_LONG &&
        count_ahead(a, BB_ADMISSION_LONG, UINT64_MAX) >= long_queue_limit(a);

    if (a->queued_count >= BB_ADMISSION_QUEUE_MAX) {
        return false;
    }
    if (queued < a->limits.queue_length && !is_long_full) {
        return true;
    }
    return a->limits.queue_length > 0 &&
           evict_infeasible(a, c, is_long_full, now_us);
}

/* Queues a request that may not run now, or refuses it. */
static struct bb_admission_decision
queue_or_refuse(struct bb_admission *a, const struct capacity *c,
                const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_REFUSE};
    enum bb_admission_class k = r->work_class;
    uint64_t wait = wait_us(a, c, k, count_ahead(a, k, r->deadline_us));

    if (!is_feasible(a, r, wait, now_us)) {
        d.reason = BB_REASON_CANNOT_FINISH;
    }
    else if (wait > longest_wait_us(a, k) || !make_room(a, c, r, now_us)) {
        d.reason = full_reason(a, r);
    }
    else {
        put_queued(a, r);
        d.kind = BB_ADMISSION_QUEUE;
    }
    return d;
}

/* Tells whether some queued request could run now. */
static bool
has_runnable(const struct bb_admission *a, const struct capacity *c)
{
    for (uint32_t i = 0; i < a->queued_count; i++) {
        if (!a->queue[i].is_evicted && may_run(a, c, &a->queue[i].request)) {
            return true;
        }
    }
    return false;
}

/* Decides about a request that arrives. A refused one did not run. While a
 * slot is free that the request may use, it is refused only because its
 * deadline has passed: an estimate that is too high would otherwise refuse
 * all work and never be corrected. */
struct bb_admission_decision
bb_admission_arrive(struct bb_admission *a,
                    const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_REFUSE};
    struct capacity c = capacity_at(a, now_us);

    d.reason = closed_reason(a, now_us);
    if (d.reason != BB_REASON_NONE) {
        return d;
    }
    if (r->deadline_us <= now_us) {
        d.reason = BB_REASON_DEADLINE_BEFORE_RUN;
        return d;
    }
    if (!may_run(a, &c, r)) {
        return queue_or_refuse(a, &c, r, now_us);
    }
    /* Queued work goes first, unless the queue has no room to wait in. */
    if (has_runnable(a, &c) &&
        a->queued_count - a->evicted_count < a->limits.queue_length) {
        put_queued(a, r);
        d.kind = BB_ADMISSION_QUEUE;
        return d;
    }
    put_running(a, r, now_us);
    d.kind = BB_ADMISSION_RUN;
    return d;
}

/* Returns the position of a running request, or its count if unknown. */
static uint32_t
find_running(const struct bb_admission *a, uint64_t id)
{
    uint32_t i = 0;

    while (i < a->running_count && a->running[i].id != id) {
        i++;
    }
    return i;
}

/* Notes that a request that was told to run is sent to the upstream now, for
 * its observed duration. False if it does not hold a slot. */
bool
bb_admission_start(struct bb_admission *a, uint64_t id, uint64_t now_us)
{
    uint32_t i = find_running(a, id);

    if (i == a->running_count) {
        return false;
    }
    a->running[i].start_us = now_us;
    return true;
}

/* Frees the slot of a request. The observed duration (0: not measured) enters
 * the estimate if the request succeeded. False if it holds no slot. */
bool
bb_admission_finish(struct bb_admission *a, uint64_t id, uint64_t duration_us,
                    bool is_success, uint64_t now_us)
{
    uint32_t i = find_running(a, id);
    struct bb_admission_running r;

    (void)now_us;
    if (i == a->running_count) {
        return false;
    }
    r = a->running[i];
    a->running[i] = a->running[--a->running_count];
    if (r.team < BB_ADMISSION_TEAMS_MAX) {
        a->team_running[r.team]--;
    }
    if (is_success && duration_us > 0) {
        bb_estimate_add(&a->service_time[r.work_class], duration_us);
    }
    return true;
}

/* Drops a queued request. True if it was queued: it will not run. A running
 * request keeps its slot until it is finished. */
bool
bb_admission_cancel(struct bb_admission *a, uint64_t id)
{
    for (uint32_t i = 0; i < a->queued_count; i++) {
        if (a->queue[i].request.id == id) {
            drop_queued(a, i);
            return true;
        }
    }
    return false;
}

/* Takes a request out of the queue as refused. */
static void
refuse_queued(struct bb_admission *a, uint32_t at, enum bb_reason reason,
              struct bb_admission_action *out)
{
    *out = (struct bb_admission_action){
        .id = a->queue[at].request.id,
        .decision = {.kind = BB_ADMISSION_REFUSE, .reason = reason}};
    drop_queued(a, at);
}

/* Returns the reason for which a queued request must be refused at once, or
 * BB_REASON_NONE. Shedding passes, so the queue is kept for it. */
static enum bb_reason
queued_reason(const struct bb_admission *a,
              const struct bb_admission_queued *q, uint64_t now_us)
{
    enum bb_reason reason = closed_reason(a, now_us);

    if (reason != BB_REASON_NONE && reason != BB_REASON_UPSTREAM_SHEDDING) {
        return reason;
    }
    if (q->request.deadline_us <= now_us) {
        return BB_REASON_DEADLINE_BEFORE_RUN;
    }
    if (q->is_evicted) {
        return BB_REASON_CANNOT_FINISH;
    }
    if (reason == BB_REASON_UPSTREAM_SHEDDING &&
        !is_feasible(a, &q->request, a->shed_until_us - now_us, now_us)) {
        return reason;
    }
    return BB_REASON_NONE;
}

/* Marks running requests that have become long by duration. */
static void
mark_overlong(struct bb_admission *a, uint64_t now_us)
{
    uint64_t limit_us = overlong_us(a);

    for (uint32_t i = 0; i < a->running_count; i++) {
        struct bb_admission_running *r = &a->running[i];

        if (now_us > r->start_us && now_us - r->start_us >= limit_us) {
            r->is_overlong = true;
        }
    }
}

/* Finds the queued request to run next: the earliest deadline among those
 * that may use a free slot and can finish in time; if none can, the earliest
 * of all, since the slot would stay idle. Returns queued_count for none. */
static uint32_t
find_next(const struct bb_admission *a, const struct capacity *c,
          uint64_t now_us)
{
    uint32_t fallback = a->queued_count;

    for (uint32_t i = 0; i < a->queued_count; i++) {
        const struct bb_admission_request *r = &a->queue[i].request;

        if (!may_run(a, c, r)) {
            continue;
        }
        if (is_feasible(a, r, 0, now_us)) {
            return i;
        }
        if (fallback == a->queued_count) {
            fallback = i;
        }
    }
    return fallback;
}

/* Gives the next action for a queued request: refuse one whose time is over
 * or run one that a slot is free for. False if there is none at this time.
 * This is also the tick: call it at bb_admission_wake_us. */
bool
bb_admission_next(struct bb_admission *a, uint64_t now_us,
                  struct bb_admission_action *out)
{
    struct capacity c;
    uint32_t at;

    mark_overlong(a, now_us);
    for (uint32_t i = 0; i < a->queued_count; i++) {
        enum bb_reason reason = queued_reason(a, &a->queue[i], now_us);

        if (reason != BB_REASON_NONE) {
            refuse_queued(a, i, reason, out);
            return true;
        }
    }
    c = capacity_at(a, now_us);
    at = find_next(a, &c, now_us);
    if (at == a->queued_count) {
        return false;
    }
    /* A feasible request overtakes one that cannot finish any more. */
    for (uint32_t i = 0; i < at; i++) {
        const struct bb_admission_request *r = &a->queue[i].request;

        if (may_run(a, &c, r) && !is_feasible(a, r, 0, now_us)) {
            refuse_queued(a, i, BB_REASON_CANNOT_FINISH, out);
            return true;
        }
    }
    *out = (struct bb_admission_action){
        .id = a->queue[at].request.id, .decision = {.kind = BB_ADMISSION_RUN}};
    put_running(a, &a->queue[at].request, now_us);
    drop_queued(a, at);
    return true;
}

/* Returns when bb_admission_next should be called again without an event:
 * the earliest queued deadline, the end of shedding or the next slot of slow
 * start; UINT64_MAX if the queue is empty. */
uint64_t
bb_admission_wake_us(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t ramp_us = (uint64_t)a->limits.slow_start_ms * US_PER_MS;
    uint64_t wake_us = UINT64_MAX;

    if (a->queued_count == 0) {
        return wake_us;
    }
    wake_us = a->queue[0].request.deadline_us;
    if (a->shed_until_us > now_us && a->shed_until_us < wake_us) {
        wake_us = a->shed_until_us;
    }
    if (now_us < a->ready_us + ramp_us &&
        now_us + ramp_us / SLOW_START_STEPS < wake_us) {
        wake_us = now_us + ramp_us / SLOW_START_STEPS;
    }
    return wake_us > now_us ? wake_us : now_us;
}

/* Returns the load that entry nodes are told. */
struct bb_admission_load
bb_admission_load(const struct bb_admission *a, uint64_t now_us)
{
    struct capacity c = capacity_at(a, now_us);
    struct bb_admission_load l = {
        .running = a->running_count,
        .queued = a->queued_count - a->evicted_count,
        .slots = c.usable,
    };

    if (l.running >= l.slots) {
        l.wait_us = wait_us(a, &c, BB_ADMISSION_SHORT,
                            count_ahead(a, BB_ADMISSION_SHORT, UINT64_MAX));
    }
    return l;
}
