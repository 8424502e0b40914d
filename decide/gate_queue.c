#include "decide/gate_queue.h"

#include <string.h>

enum {
    PERCENT = 100,
    US_PER_S = 1000 * 1000,
    /* A nested request is queued if this part of its mean duration is left
     * after the wait: 1/NESTED_MIN_RUN_DIVISOR. */
    NESTED_MIN_RUN_DIVISOR = 2
};

/* Initialises an empty queue with the slots of its upstream. */
void
bb_gate_queue_init(struct bb_gate_queue *q, uint32_t slots)
{
    memset(q, 0, sizeof(*q));
    q->slots = slots;
    q->overall_mean_us = BB_GATE_QUEUE_DEFAULT_DURATION_US;
}

/* Sets how many requests may run at once. Running requests continue, even
 * above a lowered limit. */
void
bb_gate_queue_set_slots(struct bb_gate_queue *q, uint32_t slots)
{
    q->slots = slots;
}

/* Returns the mean duration of a request class, or of all requests until
 * the class has one. */
static uint64_t
mean_duration_us(const struct bb_gate_queue *q, uint32_t class_index)
{
    uint64_t class_us =
        q->class_duration_us[class_index % BB_REQUEST_CLASS_COUNT];

    return class_us != 0 ? class_us : q->overall_mean_us;
}

/* Returns the expected duration of a request. */
static uint64_t
expected_duration_us(const struct bb_gate_queue *q,
                     const struct bb_gate_queue_item *r)
{
    return r->expected_us != 0 ? r->expected_us
                               : mean_duration_us(q, r->class_index);
}

/* Returns how much time until its deadline a request must have left to be
 * started, its refusal margin at least. Nested requests may have less, as
 * refusing them wastes the work of their parent. */
static uint64_t
min_time_us(const struct bb_gate_queue *q, const struct bb_gate_queue_item *r)
{
    uint64_t min_us = expected_duration_us(q, r) *
                      (r->is_nested ? BB_GATE_QUEUE_MIN_NESTED_TIME_PERCENT
                                    : BB_GATE_QUEUE_MIN_TIME_PERCENT) /
                      PERCENT;

    return min_us > r->refusal_margin_us ? min_us : r->refusal_margin_us;
}

/* Returns whether a request of mean duration meets its target if it starts
 * now. */
static bool
can_meet_target(const struct bb_gate_queue *q,
                const struct bb_gate_queue_item *r, uint64_t now_us)
{
    return r->target_end_us >= now_us + expected_duration_us(q, r);
}

/* Returns a number, or the last one below `count`. */
static uint32_t
limit_index(uint32_t number, uint32_t count)
{
    return number < count ? number : count - 1;
}

/* Returns the starvation class of a request. */
static uint32_t
priority_index(const struct bb_gate_queue_item *r)
{
    uint32_t team = r->priority / BB_GATE_QUEUE_TEAM_PRIORITY_STEP;
    uint32_t route = r->priority % BB_GATE_QUEUE_TEAM_PRIORITY_STEP;

    if (team == 0) {
        return limit_index(route, BB_GATE_QUEUE_PRIORITIES);
    }
    return BB_GATE_QUEUE_PRIORITIES +
           limit_index(team - 1, BB_GATE_QUEUE_TEAM_PRIORITIES) *
               BB_GATE_QUEUE_TEAM_ROUTE_PRIORITIES +
           limit_index(route, BB_GATE_QUEUE_TEAM_ROUTE_PRIORITIES);
}

/* Returns whether requests of this priority were passed over for so long that
 * the next one goes first. Without a limit none is. */
static bool
is_starved(const struct bb_gate_queue *q, const struct bb_gate_queue_item *r,
           uint64_t now_us)
{
    uint64_t since_us = q->started_us[priority_index(r)];

    if (!q->limit.is_limited) {
        return false;
    }
    if (since_us < q->limit.began_us) {
        since_us = q->limit.began_us;
    }
    return now_us - since_us >=
           BB_GATE_QUEUE_STARVED_REQUESTS *
               bb_upstream_limit_interval_us(q->limit.rate_mrps);
}

/* Returns whether a leaves the queue before b. */
static bool
has_precedence(const struct bb_gate_queue *q,
               const struct bb_gate_queue_item *a,
               const struct bb_gate_queue_item *b, uint64_t now_us)
{
    bool a_meets_target = can_meet_target(q, a, now_us);
    bool b_meets_target = can_meet_target(q, b, now_us);
    bool a_is_starved = is_starved(q, a, now_us);

    if (a_is_starved != is_starved(q, b, now_us)) {
        return a_is_starved;
    }
    if (a->priority != b->priority) {
        return a->priority < b->priority;
    }
    if (a_meets_target != b_meets_target) {
        return a_meets_target;
    }
    if (a_meets_target && a->team_turn != b->team_turn) {
        return a->team_turn < b->team_turn;
    }
    if (!a_meets_target && a->is_unsafe != b->is_unsafe) {
        return a->is_unsafe;
    }
    return a_meets_target ? a->target_end_us < b->target_end_us
                          : a->deadline_us < b->deadline_us;
}

/* Sets when the team of an arriving request was served last: as its other
 * queued requests say, or just now, as it joins the end of the turn. */
static void
set_team_turn(const struct bb_gate_queue *q, struct bb_gate_queue_item *r)
{
    r->team_turn = q->turn;
    for (uint32_t i = 0; i < q->queued; i++) {
        if (q->queue[i].team_id == r->team_id) {
            r->team_turn = q->queue[i].team_turn;
            return;
        }
    }
}

/* Moves a team whose request starts to the end of the turn. */
static void
end_team_turn(struct bb_gate_queue *q, uint64_t team_id)
{
    q->turn++;
    for (uint32_t i = 0; i < q->queued; i++) {
        if (q->queue[i].team_id == team_id) {
            q->queue[i].team_turn = q->turn;
        }
    }
}

/* Returns whether two requests of different teams take turns. */
static bool
take_turns(const struct bb_gate_queue *q, const struct bb_gate_queue_item *a,
           const struct bb_gate_queue_item *b, uint64_t now_us)
{
    return a->team_id != b->team_id && a->priority == b->priority &&
           can_meet_target(q, a, now_us) && can_meet_target(q, b, now_us) &&
           is_starved(q, a, now_us) == is_starved(q, b, now_us);
}

/* Requests of other teams that take turns with an arriving one. */
struct team_counts {
    uint64_t team_ids[BB_GATE_QUEUE_TEAMS];
    uint32_t counts[BB_GATE_QUEUE_TEAMS];
    uint64_t work_us[BB_GATE_QUEUE_TEAMS];
    uint32_t length;
};

/* Queued requests that leave before another one. */
struct requests_ahead {
    uint64_t count;
    uint64_t work_us; /* their expected durations */
};

/* Counts a request of a team; those of teams beyond the array are all ahead.
 */
static void
count_team(struct team_counts *t, uint64_t team_id, uint64_t work_us,
           struct requests_ahead *ahead)
{
    uint32_t i = 0;

    while (i < t->length && t->team_ids[i] != team_id) {
        i++;
    }
    if (i == BB_GATE_QUEUE_TEAMS) {
        ahead->count++;
        ahead->work_us += work_us;
        return;
    }
    if (i == t->length) {
        t->team_ids[i] = team_id;
        t->counts[i] = 0;
        t->work_us[i] = 0;
        t->length++;
    }
    t->counts[i]++;
    t->work_us[i] += work_us;
}

/* Returns how many queued requests leave before an arriving one. Of each other
 * team that takes turns with it, that is one for each request of its own team
 * before it and one more. */
static struct requests_ahead
count_ahead(const struct bb_gate_queue *q, const struct bb_gate_queue_item *r,
            uint64_t now_us)
{
    struct team_counts teams;
    struct requests_ahead ahead = {0};
    uint64_t own = 1;

    teams.length = 0;
    for (uint32_t i = 0; i < q->queued; i++) {
        const struct bb_gate_queue_item *other = &q->queue[i];
        uint64_t work_us = expected_duration_us(q, other);

        if (take_turns(q, r, other, now_us)) {
            count_team(&teams, other->team_id, work_us, &ahead);
        }
        else if (!has_precedence(q, r, other, now_us)) {
            ahead.count++;
            ahead.work_us += work_us;
            own += other->team_id == r->team_id;
        }
    }
    for (uint32_t i = 0; i < teams.length; i++) {
        uint64_t count = teams.counts[i] < own ? teams.counts[i] : own;

        ahead.count += count;
        ahead.work_us += teams.work_us[i] * count / teams.counts[i];
    }
    return ahead;
}

/* Adds a running request with an expected remaining time to the remaining work
 * of the slots. */
void
bb_gate_work_add(struct bb_gate_work *w, const struct bb_gate_queue *q,
                 uint64_t left_us)
{
    double left = (double)(left_us > 0 ? left_us : 1);
    double usual = (double)q->overall_mean_us;

    w->left_us += left_us;
    w->ends_per_s += US_PER_S / left;
    w->usable_slots += left > usual ? usual / left : 1;
}

/* Sets the remaining work of the running requests; w is all 0 if it is not
 * known. Call it before an arrival. */
void
bb_gate_queue_set_work(struct bb_gate_queue *q, const struct bb_gate_work *w)
{
    q->running_work = *w;
}

/* Returns whether the remaining work of the running requests is known. */
bool
bb_gate_queue_is_work_known(const struct bb_gate_queue *q)
{
    return q->running == 0 || q->running_work.left_us != 0;
}

/* Estimates the wait for a slot behind queued requests with ahead_us of work,
 * from the remaining work: the first slot is free once one of the running
 * requests ends. Slots that are held by long runs do not help with the
 * requests ahead. */
static uint64_t
work_wait_us(const struct bb_gate_queue *q, uint64_t ahead_us)
{
    const struct bb_gate_work *w = &q->running_work;
    double slots = w->usable_slots > 1 ? w->usable_slots : 1;

    return (uint64_t)(US_PER_S / w->ends_per_s + (double)ahead_us / slots);
}

/* Returns the remaining work of the running and queued requests, in
 * microseconds of slot time; 0 if that of the running ones is not known. While
 * no slot is free, it is the work of as many equal requests for which an
 * arriving request would wait as long: a few long runs next to slots that
 * become free soon delay others less than their sum says. */
uint64_t
bb_gate_queue_work_left_us(const struct bb_gate_queue *q)
{
    uint64_t queued_us = 0;
    uint64_t requests = (uint64_t)q->running + q->queued;

    if (!bb_gate_queue_is_work_known(q)) {
        return 0;
    }
    for (uint32_t i = 0; i < q->queued; i++) {
        queued_us += expected_duration_us(q, &q->queue[i]);
    }
    if (q->slots == 0 || q->running < q->slots) {
        return q->running_work.left_us + queued_us;
    }
    return work_wait_us(q, queued_us) * requests * q->slots /
           (requests - q->slots + 1);
}

/* Estimates how long a request would wait, in microseconds: the time until the
 * requests before it and itself have a slot and, if the upstream is limited,
 * their turn. */
static uint64_t
expected_wait_us(const struct bb_gate_queue *q,
                 const struct bb_gate_queue_item *r, uint64_t now_us)
{
    struct requests_ahead ahead = count_ahead(q, r, now_us);
    uint64_t slot_wait_us = 0;
    uint64_t limit_wait_us;

    if (q->running >= q->slots) {
        slot_wait_us = q->running_work.left_us != 0
                           ? work_wait_us(q, ahead.work_us)
                           : (ahead.count + 1) * q->overall_mean_us / q->slots;
    }
    limit_wait_us =
        bb_upstream_limit_wait_us(&q->limit, (uint32_t)ahead.count, now_us);
    return slot_wait_us > limit_wait_us ? slot_wait_us : limit_wait_us;
}

/* Estimates how long an arriving request would wait, in microseconds; 0 if a
 * slot is free and no limit applies. */
uint64_t
bb_gate_queue_wait_us(const struct bb_gate_queue *q,
                      const struct bb_gate_queue_item *r, uint64_t now_us)
{
    return q->slots == 0 ? 0 : expected_wait_us(q, r, now_us);
}

/* Returns whether the expected wait and duration of a request come from the
 * remaining work and its own cost, which vary less than the means of all. */
static bool
is_cost_known(const struct bb_gate_queue *q,
              const struct bb_gate_queue_item *r)
{
    return r->expected_us != 0 && q->running_work.left_us != 0;
}

/* Returns whether a request that would miss its target finds the queue empty,
 * not counting late lookups if the request is unsafe. */
static bool
is_queue_free_for(const struct bb_gate_queue *q,
                  const struct bb_gate_queue_item *r, uint64_t now_us)
{
    for (uint32_t i = 0; i < q->queued; i++) {
        const struct bb_gate_queue_item *other = &q->queue[i];

        if (!r->is_unsafe || other->is_unsafe || other->is_nested ||
            can_meet_target(q, other, now_us) ||
            has_precedence(q, other, r, now_us)) {
            return false;
        }
    }
    return true;
}

/* Returns whether a request with an expected wait should be queued. One that
 * would miss its target is queued only if the queue is empty, as it would take
 * a slot from requests that can meet theirs. A nested request is queued if
 * 1/NESTED_MIN_RUN_DIVISOR of its mean duration is left until its deadline
 * after the wait, as refusing it wastes the work of its parent. */
static bool
should_queue(const struct bb_gate_queue *q, const struct bb_gate_queue_item *r,
             uint64_t wait_us, uint64_t now_us)
{
    uint64_t mean_us = expected_duration_us(q, r);
    uint64_t left_us = r->deadline_us - now_us;

    if (r->is_nested) {
        return wait_us + mean_us / NESTED_MIN_RUN_DIVISOR <= left_us;
    }
    if (now_us + wait_us + mean_us <= r->target_end_us) {
        return wait_us * PERCENT <= (r->target_end_us - now_us) *
                                        (is_cost_known(q, r)
                                             ? BB_GATE_QUEUE_KNOWN_WAIT_PERCENT
                                             : BB_GATE_QUEUE_WAIT_PERCENT);
    }
    return is_queue_free_for(q, r, now_us) &&
           (wait_us + mean_us) * PERCENT <=
               left_us * (is_cost_known(q, r)
                              ? BB_GATE_QUEUE_KNOWN_LATE_PERCENT
                              : BB_GATE_QUEUE_LATE_PERCENT);
}

/* Returns whether the limit allows another request now. */
static bool
is_within_limit(const struct bb_gate_queue *q, uint64_t now_us)
{
    return bb_upstream_limit_wait_us(&q->limit, 0, now_us) == 0;
}

/* Takes a slot for a request that starts. */
static void
start_request(struct bb_gate_queue *q, const struct bb_gate_queue_item *r,
              uint64_t now_us)
{
    q->running++;
    q->started_us[priority_index(r)] = now_us;
    bb_upstream_limit_count(&q->limit, now_us);
}

/* Returns how many requests of a team are queued. */
static uint32_t
count_queued(const struct bb_gate_queue *q, uint64_t team_id)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        count += q->queue[i].team_id == team_id;
    }
    return count;
}

/* Makes room in a full queue for a request: has the last request of the team
 * with the most queued refused by the next bb_gate_queue_take_next. Returns
 * false if that team is the request's own, or has only requests that are more
 * urgent. */
static bool
displace(struct bb_gate_queue *q, const struct bb_gate_queue_item *r,
         uint64_t now_us)
{
    struct bb_gate_queue_item *last = NULL;
    uint64_t largest_id = r->team_id;
    uint32_t largest = count_queued(q, r->team_id);

    if (q->queued > BB_GATE_QUEUE_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < q->queued; i++) {
        uint64_t team_id = q->queue[i].team_id;

        if (team_id != largest_id) {
            uint32_t count = count_queued(q, team_id);

            if (count > largest) {
                largest = count;
                largest_id = team_id;
            }
        }
    }
    for (uint32_t i = 0; i < q->queued && largest_id != r->team_id; i++) {
        struct bb_gate_queue_item *other = &q->queue[i];

        if (other->team_id == largest_id && !other->is_nested &&
            other->priority >= r->priority &&
            (last == NULL || has_precedence(q, last, other, now_us))) {
            last = other;
        }
    }
    if (last != NULL) {
        last->deadline_us = 0;
    }
    return last != NULL;
}

/* Decides on an arriving request. BB_GATE_QUEUE_RUN takes a free slot,
 * BB_GATE_QUEUE_WAIT queues the request. It is refused if its deadline has
 * passed, its expected wait exceeds max_wait_us or is not worth waiting for,
 * or the queue is full and its team has the most requests there. */
enum bb_gate_queue_decision
bb_gate_queue_arrive(struct bb_gate_queue *q,
                     const struct bb_gate_queue_item *r, uint64_t max_wait_us,
                     uint64_t now_us)
{
    struct bb_gate_queue_item item = *r;
    uint64_t wait_us;

    if (r->deadline_us <= now_us || q->slots == 0) {
        return BB_GATE_QUEUE_REFUSE;
    }
    if (q->running < q->slots &&
        (!q->limit.is_limited ||
         (q->queued == 0 && is_within_limit(q, now_us)))) {
        start_request(q, r, now_us);
        return BB_GATE_QUEUE_RUN;
    }
    set_team_turn(q, &item);
    wait_us = expected_wait_us(q, &item, now_us);
    if (wait_us > max_wait_us || !should_queue(q, r, wait_us, now_us) ||
        (q->queued >= BB_GATE_QUEUE_MAX && !displace(q, r, now_us))) {
        return BB_GATE_QUEUE_REFUSE;
    }
    q->queue[q->queued++] = item;
    return BB_GATE_QUEUE_WAIT;
}

/* Removes the queued request at a position; the array is not ordered. */
static void
remove_queued(struct bb_gate_queue *q, uint32_t position)
{
    q->queue[position] = q->queue[--q->queued];
}

/* Returns whether a queued request should be refused now: too little time is
 * left until its deadline, or it will miss its target while the queue holds
 * enough requests that can meet theirs (meeting_target) for all slots or, if
 * the upstream is limited, for its next turn. */
static bool
should_refuse_queued(const struct bb_gate_queue *q,
                     const struct bb_gate_queue_item *r,
                     uint32_t meeting_target, uint64_t now_us)
{
    if (now_us + min_time_us(q, r) >= r->deadline_us) {
        return true;
    }
    return !r->is_nested &&
           meeting_target >= (q->limit.is_limited ? 1 : q->slots) &&
           !can_meet_target(q, r, now_us);
}

/* Removes the next queued request that is to run or to be refused, and sets
 * its id and decision; one to run takes a slot. Returns false if there is
 * none. Call it after each event and at bb_gate_queue_next_due_us, until it
 * returns false. */
bool
bb_gate_queue_take_next(struct bb_gate_queue *q, uint64_t now_us, uint64_t *id,
                        enum bb_gate_queue_decision *decision)
{
    uint32_t best = 0;
    uint32_t meeting_target = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        meeting_target += can_meet_target(q, &q->queue[i], now_us);
    }
    for (uint32_t i = 0; i < q->queued; i++) {
        const struct bb_gate_queue_item *r = &q->queue[i];

        if (q->slots == 0 ||
            should_refuse_queued(q, r, meeting_target, now_us)) {
            *id = r->id;
            *decision = BB_GATE_QUEUE_REFUSE;
            remove_queued(q, i);
            return true;
        }
        if (has_precedence(q, r, &q->queue[best], now_us)) {
            best = i;
        }
    }
    if (q->queued == 0 || q->running >= q->slots ||
        !is_within_limit(q, now_us)) {
        return false;
    }
    *id = q->queue[best].id;
    *decision = BB_GATE_QUEUE_RUN;
    start_request(q, &q->queue[best], now_us);
    end_team_turn(q, q->queue[best].team_id);
    remove_queued(q, best);
    return true;
}

/* Removes a queued request. Returns false if it is not in the queue. */
bool
bb_gate_queue_cancel(struct bb_gate_queue *q, uint64_t id)
{
    for (uint32_t i = 0; i < q->queued; i++) {
        if (q->queue[i].id == id) {
            remove_queued(q, i);
            return true;
        }
    }
    return false;
}

/* Returns a moving average with a new value added; 0 stands for no average. */
static uint64_t
update_average(uint64_t old_us, uint64_t new_us)
{
    return old_us == 0 ? new_us
                       : (old_us * (PERCENT - BB_GATE_QUEUE_EWMA_PERCENT) +
                          new_us * BB_GATE_QUEUE_EWMA_PERCENT) /
                             PERCENT;
}

/* Frees the slot of a finished request. Its duration enters the averages only
 * if it succeeded, as a failed one may have ended early. */
void
bb_gate_queue_finish(struct bb_gate_queue *q, uint32_t class_index,
                     uint64_t duration_us, bool is_success)
{
    uint64_t *class_us =
        &q->class_duration_us[class_index % BB_REQUEST_CLASS_COUNT];

    q->running -= q->running > 0;
    if (is_success) {
        *class_us = update_average(*class_us, duration_us);
        q->overall_mean_us = update_average(q->overall_mean_us, duration_us);
    }
}

/* Returns the earliest time at which a queued request may have to be refused
 * because its deadline is too near, or may start because the limit allows it;
 * 0 if the queue is empty. */
uint64_t
bb_gate_queue_next_due_us(const struct bb_gate_queue *q, uint64_t now_us)
{
    uint64_t due_us = 0;

    for (uint32_t i = 0; i < q->queued; i++) {
        uint64_t min_us = min_time_us(q, &q->queue[i]);
        uint64_t deadline_us = q->queue[i].deadline_us;
        uint64_t at_us = deadline_us > min_us ? deadline_us - min_us : 1;

        if (due_us == 0 || at_us < due_us) {
            due_us = at_us;
        }
    }
    if (q->queued > 0 && q->running < q->slots) {
        uint64_t turn_us =
            now_us + bb_upstream_limit_wait_us(&q->limit, 0, now_us);

        due_us = turn_us < due_us ? turn_us : due_us;
    }
    return due_us;
}

/* Returns how long an arriving request would wait for its turn under the
 * limit, behind all that are queued; 0 without a limit. */
uint64_t
bb_gate_queue_limit_wait_us(const struct bb_gate_queue *q, uint64_t now_us)
{
    return bb_upstream_limit_wait_us(&q->limit, q->queued, now_us);
}
