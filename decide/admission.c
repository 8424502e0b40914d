#include "decide/admission.h"

#include <string.h>

#include "common/clock.h"
#include "decide/admission_capacity.h"

enum {
    /* Wakeups during the ramp of slow start, to use the slots added since the
     * last one. */
    SLOW_START_STEPS = 20,
    /* While the upstream is slow, one request in this interval is let through
     * as a probe: recovery is noticed soon, at the cost of few slow calls. */
    SLOW_PROBE_INTERVAL_US = 300000
};

static uint32_t
min_u32(uint32_t a, uint32_t b)
{
    return a < b ? a : b;
}

/* Initialises an empty state. Nothing is admitted until limits are configured
 * and the state is BB_ADMISSION_STATE_READY. */
void
bb_admission_init(struct bb_admission *a)
{
    memset(a, 0, sizeof(*a));
}

/* Sets new limits; the queue length is capped below BB_ADMISSION_QUEUE_MAX and
 * the team count at BB_ADMISSION_TEAMS_MAX. Requests that run above a lowered
 * limit continue; no new one starts until fewer than the limit run. now_us is
 * unused. */
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

/* Sets the state that the upstream announced. Slow start begins when it
 * becomes ready after BB_ADMISSION_STATE_NONE or BB_ADMISSION_STATE_STARTING.
 */
void
bb_admission_set_state(struct bb_admission *a, enum bb_admission_state state,
                       uint64_t now_us)
{
    if (state == BB_ADMISSION_STATE_READY &&
        (a->state == BB_ADMISSION_STATE_NONE ||
         a->state == BB_ADMISSION_STATE_STARTING)) {
        a->ready_since_us = now_us;
    }
    a->state = state;
}

/* Refuses all further requests, queued ones too, because the gatekeeper shuts
 * down. Cannot be undone. */
void
bb_admission_stop(struct bb_admission *a)
{
    a->is_stopping = true;
}

/* Starts no new requests for a duration, because the upstream sheds load.
 * Replaces an earlier duration; 0 ends shedding. */
void
bb_admission_shed(struct bb_admission *a, uint64_t duration_us,
                  uint64_t now_us)
{
    a->shed_until_us =
        duration_us < UINT64_MAX - now_us ? now_us + duration_us : UINT64_MAX;
}

/* Returns why no request at all may start now, or BB_REASON_NONE. */
static enum bb_reason
closed_reason(const struct bb_admission *a, uint64_t now_us)
{
    if (a->is_stopping) {
        return BB_REASON_SHUTTING_DOWN;
    }
    switch (a->state) {
    case BB_ADMISSION_STATE_NONE:
        return BB_REASON_NO_UPSTREAM;
    case BB_ADMISSION_STATE_STARTING:
        return BB_REASON_UPSTREAM_STARTING;
    case BB_ADMISSION_STATE_DRAINING:
    case BB_ADMISSION_STATE_LEAVING:
        return BB_REASON_UPSTREAM_DRAINING;
    case BB_ADMISSION_STATE_READY:
        break;
    }
    return now_us < a->shed_until_us ? BB_REASON_UPSTREAM_SHEDDING
                                     : BB_REASON_NONE;
}

/* Adds a request to the running ones. The caller has checked for a free slot.
 */
static void
add_running(struct bb_admission *a, const struct bb_admission_request *r,
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

/* Returns the reason for refusing a request that cannot be queued: the limit
 * that keeps it from running, or BB_REASON_QUEUE_FULL. */
static enum bb_reason
queue_refusal_reason(const struct bb_admission *a,
                     const struct bb_admission_request *r)
{
    uint32_t slots = bb_admission_configured_slots(a);

    if (!bb_admission_is_below_team_limit(a, r->team)) {
        return BB_REASON_TEAM_LIMIT;
    }
    if (a->running_count >= slots && slots < a->limits.slots) {
        return slots == a->limits.service_limit ? BB_REASON_SERVICE_LIMIT
                                                : BB_REASON_CONNECTION_LIMIT;
    }
    return BB_REASON_QUEUE_FULL;
}

/* Returns the expected wait, in microseconds, of a request that cannot run
 * now. If the wait exceeds max_wait_us by one place in the queue, first evicts
 * a queued request that cannot meet its deadline. */
static uint64_t
estimate_wait_after_eviction_us(struct bb_admission *a,
                                const struct bb_admission_capacity *c,
                                const struct bb_admission_request *r,
                                uint64_t max_wait_us, uint64_t now_us)
{
    enum bb_admission_class work_class = r->work_class;
    uint32_t ahead = bb_admission_count_ahead(a, work_class, r->deadline_us);
    uint64_t wait_us = bb_admission_expected_wait_us(a, c, work_class, ahead);

    if (wait_us > max_wait_us && ahead > 0 &&
        bb_admission_expected_wait_us(a, c, work_class, ahead - 1) <=
            max_wait_us &&
        bb_admission_evict_infeasible(
            a, c, work_class == BB_ADMISSION_CLASS_LONG, now_us)) {
        wait_us = bb_admission_request_wait_us(a, c, r);
    }
    return wait_us;
}

/* Queues a request that cannot run now, or refuses it if it would miss its
 * deadline, wait too long, or find the queue full. */
static struct bb_admission_decision
enqueue_or_refuse(struct bb_admission *a,
                  const struct bb_admission_capacity *c,
                  const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_DECISION_REFUSE};
    uint64_t max_wait_us = bb_admission_max_wait_us(a, r->work_class);
    uint64_t max_feasible_us = bb_admission_max_feasible_wait_us(a, r, now_us);
    uint64_t wait_us = estimate_wait_after_eviction_us(
        a, c, r, max_feasible_us < max_wait_us ? max_feasible_us : max_wait_us,
        now_us);

    if (wait_us > max_feasible_us ||
        !bb_admission_can_meet_deadline(a, r, 0, now_us)) {
        d.reason = BB_REASON_CANNOT_FINISH;
        return d;
    }
    if (wait_us > max_wait_us ||
        !bb_admission_make_queue_space(a, c, r, now_us)) {
        d.reason = queue_refusal_reason(a, r);
        return d;
    }
    bb_admission_enqueue(a, r);
    d.kind = BB_ADMISSION_DECISION_QUEUE;
    return d;
}

/* Returns whether any queued request could run now. */
static bool
has_runnable(const struct bb_admission *a,
             const struct bb_admission_capacity *c)
{
    for (uint32_t i = 0; i < a->queued_count; i++) {
        if (!a->queue[i].is_evicted &&
            bb_admission_can_run(a, c, &a->queue[i].request)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a request is refused because the upstream is slow and the
 * entry node can retry elsewhere. Enters the slow state if the upstream has
 * become slow. Every SLOW_PROBE_INTERVAL_US, lets one such request through as
 * a probe and starts the next interval. The slow state ends when a short
 * request that started in it finishes in normal time (see
 * bb_admission_finish). */
static bool
should_refuse_as_slow(struct bb_admission *a,
                      const struct bb_admission_request *r, uint64_t now_us)
{
    if (!a->is_slow && bb_admission_is_upstream_slow(a, now_us)) {
        a->is_slow = true;
        a->slow_since_us = now_us;
        a->next_slow_probe_us = now_us + SLOW_PROBE_INTERVAL_US;
    }
    if (!a->is_slow || !r->may_refuse_as_slow) {
        return false;
    }
    if (now_us < a->next_slow_probe_us) {
        return true;
    }
    a->next_slow_probe_us = now_us + SLOW_PROBE_INTERVAL_US;
    return false;
}

/* Decides whether an arriving request runs, waits in the queue or is refused.
 * A refused request did not run. A request that could use a free slot is not
 * refused on the estimated duration: an estimate that is too high would
 * otherwise refuse all work and never be corrected. It is refused only if its
 * deadline has passed, the gatekeeper accepts no work, or the upstream is slow
 * and the request can be retried elsewhere. */
struct bb_admission_decision
bb_admission_arrive(struct bb_admission *a,
                    const struct bb_admission_request *r, uint64_t now_us)
{
    struct bb_admission_decision d = {.kind = BB_ADMISSION_DECISION_REFUSE};
    struct bb_admission_capacity c = bb_admission_capacity(a, now_us);

    d.reason = closed_reason(a, now_us);
    if (d.reason != BB_REASON_NONE) {
        return d;
    }
    if (r->deadline_us <= now_us) {
        d.reason = BB_REASON_DEADLINE_BEFORE_RUN;
        return d;
    }
    if (should_refuse_as_slow(a, r, now_us)) {
        d.reason = BB_REASON_UPSTREAM_SLOW;
        return d;
    }
    if (!bb_admission_can_run(a, &c, r)) {
        return enqueue_or_refuse(a, &c, r, now_us);
    }
    /* Queued requests run first, unless the queue is full. */
    if (has_runnable(a, &c) &&
        a->queued_count - a->evicted_count < a->limits.queue_length &&
        a->queued_count < BB_ADMISSION_QUEUE_MAX) {
        bb_admission_enqueue(a, r);
        d.kind = BB_ADMISSION_DECISION_QUEUE;
        return d;
    }
    add_running(a, r, now_us);
    d.kind = BB_ADMISSION_DECISION_RUN;
    return d;
}

/* Returns the index of a running request, or running_count if there is none.
 */
static uint32_t
find_running(const struct bb_admission *a, uint64_t id)
{
    uint32_t i = 0;

    while (i < a->running_count && a->running[i].id != id) {
        i++;
    }
    return i;
}

/* Sets the start time of an admitted request to now, when it is sent to the
 * upstream. Returns false if the request holds no slot. */
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

/* Frees the slot of a request. If it succeeded, its duration is added to the
 * statistics of its class, and a short request that was not slow may end the
 * slow state. Duration 0 (not measured) is not added, but counts as not slow.
 * Returns false if the request holds no slot. */
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
    if (is_success && r.work_class == BB_ADMISSION_CLASS_SHORT &&
        duration_us < bb_admission_slow_threshold_us(a)) {
        a->last_normal_us = now_us;
        a->is_slow = a->is_slow && r.start_us < a->slow_since_us;
    }
    if (is_success && duration_us > 0) {
        bb_duration_stats_add(&a->durations[r.work_class], duration_us);
    }
    return true;
}

/* Removes a queued request. Returns true if it was queued, and so will not
 * run. A running request keeps its slot until bb_admission_finish. */
bool
bb_admission_cancel(struct bb_admission *a, uint64_t id)
{
    for (uint32_t i = 0; i < a->queued_count; i++) {
        if (a->queue[i].request.id == id) {
            bb_admission_remove_queued(a, i);
            return true;
        }
    }
    return false;
}

/* Removes the queued request at a position and sets its refusal in *out. */
static void
refuse_queued(struct bb_admission *a, uint32_t position, enum bb_reason reason,
              struct bb_admission_action *out)
{
    *out = (struct bb_admission_action){
        .id = a->queue[position].request.id,
        .decision = {.kind = BB_ADMISSION_DECISION_REFUSE, .reason = reason}};
    bb_admission_remove_queued(a, position);
}

/* Returns why a queued request must be refused now, or BB_REASON_NONE.
 * Shedding is temporary, so requests that can meet their deadline after it
 * stay queued. */
static enum bb_reason
queued_refusal_reason(const struct bb_admission *a,
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
        !bb_admission_can_meet_deadline(a, &q->request,
                                        a->shed_until_us - now_us, now_us)) {
        return reason;
    }
    return BB_REASON_NONE;
}

/* Marks running requests that have run so long that they count as long work.
 */
static void
mark_overlong_running(struct bb_admission *a, uint64_t now_us)
{
    uint64_t overlong_us = bb_admission_overlong_threshold_us(a);

    for (uint32_t i = 0; i < a->running_count; i++) {
        struct bb_admission_running *r = &a->running[i];

        if (now_us > r->start_us && now_us - r->start_us >= overlong_us) {
            r->is_overlong = true;
        }
    }
}

/* Returns the position of the queued request to run next: of those that may
 * use a free slot, the one with the earliest deadline that it can meet. If
 * none can meet its deadline, returns the one with the earliest deadline, as
 * the slot would stay idle otherwise. Returns queued_count if there is none.
 */
static uint32_t
find_next_runnable(const struct bb_admission *a,
                   const struct bb_admission_capacity *c, uint64_t now_us)
{
    uint32_t fallback = a->queued_count;

    for (uint32_t i = 0; i < a->queued_count; i++) {
        const struct bb_admission_request *r = &a->queue[i].request;

        if (!bb_admission_can_run(a, c, r)) {
            continue;
        }
        if (bb_admission_can_meet_deadline(a, r, 0, now_us)) {
            return i;
        }
        if (fallback == a->queued_count) {
            fallback = i;
        }
    }
    return fallback;
}

/* Returns the position of a queued request that would miss its deadline even
 * if it started now, or queued_count if there is none. */
static uint32_t
find_infeasible(const struct bb_admission *a, uint64_t now_us)
{
    uint32_t i = 0;

    while (i < a->queued_count && bb_admission_can_meet_deadline(
                                      a, &a->queue[i].request, 0, now_us)) {
        i++;
    }
    return i;
}

/* Sets *out to the next action on a queued request and removes it from the
 * queue. First refuses a request that is evicted, has expired or cannot be
 * served in the current state; otherwise runs one if it may use a free slot;
 * otherwise refuses one that can no longer meet its deadline. Returns false if
 * nothing is due. Call it after each event and at the time that
 * bb_admission_next_wakeup_us returns. */
bool
bb_admission_next_action(struct bb_admission *a, uint64_t now_us,
                         struct bb_admission_action *out)
{
    struct bb_admission_capacity c;
    uint32_t position;

    mark_overlong_running(a, now_us);
    for (uint32_t i = 0; i < a->queued_count; i++) {
        enum bb_reason reason = queued_refusal_reason(a, &a->queue[i], now_us);

        if (reason != BB_REASON_NONE) {
            refuse_queued(a, i, reason, out);
            return true;
        }
    }
    c = bb_admission_capacity(a, now_us);
    position = find_next_runnable(a, &c, now_us);
    if (position < a->queued_count) {
        *out = (struct bb_admission_action){
            .id = a->queue[position].request.id,
            .decision = {.kind = BB_ADMISSION_DECISION_RUN}};
        add_running(a, &a->queue[position].request, now_us);
        bb_admission_remove_queued(a, position);
        return true;
    }
    position = find_infeasible(a, now_us);
    if (position < a->queued_count) {
        refuse_queued(a, position, BB_REASON_CANNOT_FINISH, out);
        return true;
    }
    return false;
}

/* Returns the time at which bb_admission_next_action must be called even if no
 * event occurs: the earliest queued deadline, the end of shedding or, during
 * slow start, a part of the ramp from now (see SLOW_START_STEPS), but not
 * before now_us. UINT64_MAX if the queue is empty. */
uint64_t
bb_admission_next_wakeup_us(const struct bb_admission *a, uint64_t now_us)
{
    uint64_t ramp_us = (uint64_t)a->limits.slow_start_ms * BB_US_PER_MS;
    uint64_t wake_us = UINT64_MAX;

    if (a->queued_count == 0) {
        return wake_us;
    }
    wake_us = a->queue[0].request.deadline_us;
    if (a->shed_until_us > now_us && a->shed_until_us < wake_us) {
        wake_us = a->shed_until_us;
    }
    if (now_us < a->ready_since_us + ramp_us &&
        now_us + ramp_us / SLOW_START_STEPS < wake_us) {
        wake_us = now_us + ramp_us / SLOW_START_STEPS;
    }
    return wake_us > now_us ? wake_us : now_us;
}

/* Returns the load to be reported to entry nodes. */
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
            a, &c, BB_ADMISSION_CLASS_SHORT,
            bb_admission_count_ahead(a, BB_ADMISSION_CLASS_SHORT, UINT64_MAX));
    }
    return l;
}
