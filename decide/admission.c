#include "decide/admission.h"

#include <string.h>

#include "decide/admission_capacity.h"

enum {
    US_PER_MS = 1000,
    SLOW_START_STEPS = 20,
    /* A slow upstream is tested this often, so that its recovery is seen soon
     * after at a cost of few slow calls. */
    SLOW_TEST_US = 300000
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
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
    a->shed_until_us =
        duration_us < UINT64_MAX - now_us ? now_us + duration_us : UINT64_MAX;
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

/* Returns the reason that tells which limit keeps a request waiting. */
static enum bb_reason
full_reason(const struct bb_admission *a, const struct bb_admission_request *r)
{
    uint32_t slots = bb_admission_full_slots(a);

    if (!bb_admission_team_has_room(a, r->team)) {
        return BB_REASON_TEAM_LIMIT;
    }
    if (a->running_count >= slots && slots < a->limits.slots) {
        return slots == a->limits.service_limit ? BB_REASON_SERVICE_LIMIT
                                                : BB_REASON_CONNECTION_LIMIT;
    }
    return BB_REASON_QUEUE_FULL;
}

/* Returns the expected wait of a request that may not run now. If it passes a
 * limit by one place in the queue, a queued request that cannot make its
 * deadline gives way. */
static uint64_t
wait_within(struct bb_admission *a, const struct bb_admission_capacity *c,
            const struct bb_admission_request *r, uint64_t limit_us,
            uint64_t now_us)
{
    enum bb_admission_class k = r->work_class;
    uint32_t ahead = bb_admission_count_ahead(a, k, r->deadline_us);
    uint64_t wait_us = bb_admission_expected_wait_us(a, c, k, ahead);

    if (wait_us > limit_us && ahead > 0 &&
        bb_admission_expected_wait_us(a, c, k, ahead - 1) <= limit_us &&
        bb_admission_evict(a, c, k == BB_ADMISSION_LONG, now_us)) {
        wait_us = bb_admission_wait_of(a, c, r);
    }
    return wait_us;
}

/* Queues a request that may not run now, or refuses it. */
static struct bb_admission_decision
queue_or_refuse(struct bb_admission *a, const struct bb_admission_capacity *c,
                const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_REFUSE};
    uint64_t longest_us = bb_admission_longest_wait_us(a, r->work_class);
    uint64_t latest_us = bb_admission_latest_start_us(a, r, now_us);
    uint64_t wait_us = wait_within(
        a, c, r, latest_us < longest_us ? latest_us : longest_us, now_us);

    if (wait_us > latest_us || !bb_admission_is_feasible(a, r, 0, now_us)) {
        d.reason = BB_REASON_CANNOT_FINISH;
        return d;
    }
    if (wait_us > longest_us || !bb_admission_make_room(a, c, r, now_us)) {
        d.reason = full_reason(a, r);
        return d;
    }
    bb_admission_put_queued(a, r);
    d.kind = BB_ADMISSION_QUEUE;
    return d;
}

/* Tells whether some queued request could run now. */
static bool
has_runnable(const struct bb_admission *a,
             const struct bb_admission_capacity *c)
{
    for (uint32_t i = 0; i < a->queued_count; i++) {
        if (!a->queue[i].is_evicted &&
            bb_admission_may_run(a, c, &a->queue[i].request)) {
            return true;
        }
    }
    return false;
}

/* Tells whether a request that can go elsewhere is to do so, because the
 * upstream is slow. Now and then one is let through as a test. Slowness ends
 * with a short request that started after it began and ran in the usual time.
 */
static bool
is_sent_elsewhere(struct bb_admission *a, const struct bb_admission_request *r,
                  uint64_t now_us)
{
    if (!a->is_slow && bb_admission_runs_slow(a, now_us)) {
        a->is_slow = true;
        a->slow_since_us = now_us;
        a->slow_test_us = now_us + SLOW_TEST_US;
    }
    if (!a->is_slow || !r->may_go_elsewhere) {
        return false;
    }
    if (now_us < a->slow_test_us) {
        return true;
    }
    a->slow_test_us = now_us + SLOW_TEST_US;
    return false;
}

/* Decides about a request that arrives. A refused one did not run. While a
 * slot is free that the request may use, it is refused only because its
 * deadline has passed: an estimate that is too high would otherwise refuse
 * all work and never be corrected. The exception is a slow upstream: a request
 * that can go elsewhere is told to. */
struct bb_admission_decision
bb_admission_arrive(struct bb_admission *a,
                    const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_REFUSE};
    struct bb_admission_capacity c = bb_admission_capacity(a, now_us);

    d.reason = closed_reason(a, now_us);
    if (d.reason != BB_REASON_NONE) {
        return d;
    }
    if (r->deadline_us <= now_us) {
        d.reason = BB_REASON_DEADLINE_BEFORE_RUN;
        return d;
    }
    if (is_sent_elsewhere(a, r, now_us)) {
        d.reason = BB_REASON_UPSTREAM_SLOW;
        return d;
    }
    if (!bb_admission_may_run(a, &c, r)) {
        return queue_or_refuse(a, &c, r, now_us);
    }
    /* Queued work goes first, unless the queue has no room to wait in. */
    if (has_runnable(a, &c) &&
        a->queued_count - a->evicted_count < a->limits.queue_length &&
        a->queued_count < BB_ADMISSION_QUEUE_MAX) {
        bb_admission_put_queued(a, r);
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

    if (i == a->running_count) {
        return false;
    }
    r = a->running[i];
    a->running[i] = a->running[--a->running_count];
    if (r.team < BB_ADMISSION_TEAMS_MAX) {
        a->team_running[r.team]--;
    }
    if (is_success && r.work_class == BB_ADMISSION_SHORT &&
        duration_us < bb_admission_slow_us(a)) {
        a->usual_us = now_us;
        a->is_slow = a->is_slow && r.start_us < a->slow_since_us;
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
            bb_admission_drop_queued(a, i);
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
    bb_admission_drop_queued(a, at);
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
        !bb_admission_is_feasible(a, &q->request, a->shed_until_us - now_us,
                                  now_us)) {
        return reason;
    }
    return BB_REASON_NONE;
}

/* Marks running requests that have become long by duration. */
static void
mark_overlong(struct bb_admission *a, uint64_t now_us)
{
    uint64_t limit_us = bb_admission_overlong_us(a);

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
find_next(const struct bb_admission *a, const struct bb_admission_capacity *c,
          uint64_t now_us)
{
    uint32_t fallback = a->queued_count;

    for (uint32_t i = 0; i < a->queued_count; i++) {
        const struct bb_admission_request *r = &a->queue[i].request;

        if (!bb_admission_may_run(a, c, r)) {
            continue;
        }
        if (bb_admission_is_feasible(a, r, 0, now_us)) {
            return i;
        }
        if (fallback == a->queued_count) {
            fallback = i;
        }
    }
    return fallback;
}

/* Finds a queued request that could not finish in time even if it started
 * now. Returns queued_count for none. */
static uint32_t
find_hopeless(const struct bb_admission *a, uint64_t now_us)
{
    uint32_t i = 0;

    while (i < a->queued_count &&
           bb_admission_is_feasible(a, &a->queue[i].request, 0, now_us)) {
        i++;
    }
    return i;
}

/* Gives the next action for a queued request: refuse one whose time is over,
 * run one that a slot is free for or, when no slot is, refuse one that cannot
 * finish in time any more. False if there is none at this time. This is also
 * the tick: call it at bb_admission_wake_us. */
bool
bb_admission_next(struct bb_admission *a, uint64_t now_us,
                  struct bb_admission_action *out)
{
    struct bb_admission_capacity c;
    uint32_t at;

    mark_overlong(a, now_us);
    for (uint32_t i = 0; i < a->queued_count; i++) {
        enum bb_reason reason = queued_reason(a, &a->queue[i], now_us);

        if (reason != BB_REASON_NONE) {
            refuse_queued(a, i, reason, out);
            return true;
        }
    }
    c = bb_admission_capacity(a, now_us);
    at = find_next(a, &c, now_us);
    if (at < a->queued_count) {
        *out = (struct bb_admission_action){
            .id = a->queue[at].request.id,
            .decision = {.kind = BB_ADMISSION_RUN}};
        put_running(a, &a->queue[at].request, now_us);
        bb_admission_drop_queued(a, at);
        return true;
    }
    at = find_hopeless(a, now_us);
    if (at < a->queued_count) {
        refuse_queued(a, at, BB_REASON_CANNOT_FINISH, out);
        return true;
    }
    return false;
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
    struct bb_admission_capacity c = bb_admission_capacity(a, now_us);
    struct bb_admission_load l = {
        .running = a->running_count,
        .queued = a->queued_count - a->evicted_count,
        .slots = c.usable,
    };

    if (l.running >= l.slots) {
        l.wait_us = bb_admission_expected_wait_us(
            a, &c, BB_ADMISSION_SHORT,
            bb_admission_count_ahead(a, BB_ADMISSION_SHORT, UINT64_MAX));
    }
    return l;
}
