#include "offered_load.h"

#include <math.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/random.h"
#include "decide/admission_capacity.h"
#include "replay/replay.h"

enum {
    PERCENT = 100,
    PERMILLE = 1000,
    P50_PERMILLE = 500,
    P99_PERMILLE = 990,
    UNIT_STEPS = 1 << 30 /* values of a random number above 0 up to 1 */
};

/* Interval that never passes, but can still be added to a time. */
static const uint64_t never_us = UINT64_MAX / 4;

/* Statistics of one run. */
struct load_stats {
    uint64_t arrived;
    uint64_t refused;
    uint64_t refused_with_free_slot; /* refused while a slot was free */
    uint64_t late;                   /* finished after their deadline */
    uint64_t good;                   /* finished by their deadline */
    uint64_t good_us; /* service time of calls that met their deadline */
    uint64_t latency_count[BB_ADMISSION_CLASS_COUNT];
    uint64_t *latency_us[BB_ADMISSION_CLASS_COUNT]; /* of finished calls */
    uint64_t latency_capacity; /* allocated entries of each latency_us */
};

/* State of bb_offered_load_run. */
struct load_run {
    struct bb_offered_load_state *s;
    struct bb_admission *a;
    const struct bb_offered_load *load;
    struct bb_random *random;
    struct load_stats stats;
    uint64_t now_us;
    uint64_t next_us[BB_ADMISSION_CLASS_COUNT]; /* time of the next arrival */
};

/* Draws the time to the next arrival of a class; never_us if its rate is 0. */
static uint64_t
draw_interarrival_us(struct load_run *r, int class_index)
{
    double u =
        (double)(bb_random_below(r->random, UNIT_STEPS) + 1) / UNIT_STEPS;

    if (r->load->rate_per_s[class_index] == 0) {
        return never_us;
    }
    return (uint64_t)(-log(u) * BB_US_PER_S /
                      (double)r->load->rate_per_s[class_index]) +
           1;
}

/* Returns the running or queued call with an id, or NULL. */
static struct bb_offered_load_call *
find_call(struct load_run *r, uint64_t id)
{
    for (uint32_t i = 0; i < r->s->active_count; i++) {
        if (r->s->active_calls[i].id == id) {
            return &r->s->active_calls[i];
        }
    }
    return NULL;
}

/* Starts or drops queued calls as the admission module decides. */
static void
apply_actions(struct load_run *r)
{
    struct bb_admission_action action;

    while (bb_admission_next_action(r->a, r->now_us, &action)) {
        struct bb_offered_load_call *c = find_call(r, action.id);

        if (c == NULL) {
            continue;
        }
        if (action.decision.kind == BB_ADMISSION_DECISION_RUN) {
            c->finish_us = r->now_us + c->duration_us;
        }
        else {
            r->stats.refused++;
            *c = r->s->active_calls[--r->s->active_count];
        }
    }
}

/* Submits a new call to the admission module. */
static void
submit_call(struct load_run *r, enum bb_admission_class work_class)
{
    uint64_t mean_us = r->load->service_us[work_class];
    uint64_t spread_us = mean_us * 2 / 3;
    const struct bb_admission_request q = {
        .id = ++r->s->next_id,
        .work_class = work_class,
        .team = BB_ADMISSION_NO_TEAM,
        .deadline_us = r->now_us + r->load->deadline_us,
    };
    struct bb_admission_capacity c = bb_admission_capacity(r->a, r->now_us);
    bool has_slot = bb_admission_can_run(r->a, &c, &q);
    struct bb_offered_load_call call = {
        .id = q.id,
        .arrive_us = r->now_us,
        .duration_us = 1 + mean_us - mean_us / 3 +
                       bb_random_below(r->random, spread_us + 1),
        .deadline_us = q.deadline_us,
        .work_class = work_class,
    };
    struct bb_admission_decision d;

    r->stats.arrived++;
    if (r->s->active_count == BB_OFFERED_LOAD_ACTIVE_MAX) {
        r->stats.refused++;
        return;
    }
    d = bb_admission_arrive(r->a, &q, r->now_us);
    if (d.kind == BB_ADMISSION_DECISION_REFUSE) {
        r->stats.refused++;
        r->stats.refused_with_free_slot += has_slot;
        return;
    }
    if (d.kind == BB_ADMISSION_DECISION_RUN) {
        call.finish_us = r->now_us + call.duration_us;
    }
    r->s->active_calls[r->s->active_count++] = call;
}

/* Finishes a running call and adds it to the statistics. */
static void
finish_call(struct load_run *r, struct bb_offered_load_call *c)
{
    uint64_t *count = &r->stats.latency_count[c->work_class];

    (void)bb_admission_finish(r->a, c->id, c->duration_us, true, r->now_us);
    if (r->now_us <= c->deadline_us) {
        r->stats.good++;
        r->stats.good_us += c->duration_us;
    }
    else {
        r->stats.late++;
    }
    if (*count < r->stats.latency_capacity) {
        r->stats.latency_us[c->work_class][(*count)++] =
            r->now_us - c->arrive_us;
    }
    *c = r->s->active_calls[--r->s->active_count];
}

/* Returns the running call that ends first, or NULL. */
static struct bb_offered_load_call *
find_first_to_finish(struct load_run *r)
{
    struct bb_offered_load_call *first = NULL;

    for (uint32_t i = 0; i < r->s->active_count; i++) {
        struct bb_offered_load_call *c = &r->s->active_calls[i];

        if (c->finish_us > 0 &&
            (first == NULL || c->finish_us < first->finish_us)) {
            first = c;
        }
    }
    return first;
}

/* Advances to the next event and processes it. Returns false without a change
 * if that is at end_us or later, or after BB_OFFERED_LOAD_CALLS_MAX arrivals.
 */
static bool
process_next_event(struct load_run *r, uint64_t end_us)
{
    struct bb_offered_load_call *c = find_first_to_finish(r);
    uint64_t at_us = bb_admission_next_wakeup_us(r->a, r->now_us + 1);
    int class_index = r->next_us[BB_ADMISSION_CLASS_SHORT] <=
                              r->next_us[BB_ADMISSION_CLASS_LONG]
                          ? BB_ADMISSION_CLASS_SHORT
                          : BB_ADMISSION_CLASS_LONG;

    at_us = r->next_us[class_index] < at_us ? r->next_us[class_index] : at_us;
    at_us = c != NULL && c->finish_us < at_us ? c->finish_us : at_us;
    if (at_us >= end_us || r->stats.arrived >= BB_OFFERED_LOAD_CALLS_MAX) {
        return false;
    }
    r->now_us = at_us;
    if (c != NULL && c->finish_us == at_us) {
        finish_call(r, c);
    }
    else if (r->next_us[class_index] == at_us) {
        r->next_us[class_index] += draw_interarrival_us(r, class_index);
        submit_call(r, (enum bb_admission_class)class_index);
    }
    apply_actions(r);
    return true;
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return (x > y) - (x < y);
}

/* Adds a quantile of the latencies of a class, which must be sorted, to the
 * result; 0 if there are none. */
static void
add_quantile(json_t *result, const char *key, const struct load_stats *stats,
             int class_index, uint32_t permille)
{
    uint64_t count = stats->latency_count[class_index];

    bb_replay_set_number(
        result, key,
        count == 0 ? 0
                   : stats->latency_us[class_index]
                                      [(count - 1) * permille / PERMILLE]);
}

/* Adds the statistics to the result of the trace line. */
static void
add_stats(struct load_run *r, json_t *result)
{
    struct load_stats *stats = &r->stats;
    uint64_t capacity_us =
        r->load->duration_us * bb_admission_configured_slots(r->a);

    for (int i = 0; i < BB_ADMISSION_CLASS_COUNT; i++) {
        qsort(stats->latency_us[i], stats->latency_count[i], sizeof(uint64_t),
              compare_times);
    }
    bb_replay_set_number(result, "arrived", stats->arrived);
    bb_replay_set_number(result, "refused", stats->refused);
    bb_replay_set_number(result, "refused_beside_slot",
                         stats->refused_with_free_slot);
    bb_replay_set_number(result, "late", stats->late);
    bb_replay_set_number(result, "good", stats->good);
    bb_replay_set_number(
        result, "goodput_percent",
        capacity_us == 0 ? 0 : stats->good_us * PERCENT / capacity_us);
    add_quantile(result, "short_p50_us", stats, BB_ADMISSION_CLASS_SHORT,
                 P50_PERMILLE);
    add_quantile(result, "short_p99_us", stats, BB_ADMISSION_CLASS_SHORT,
                 P99_PERMILLE);
    add_quantile(result, "long_p99_us", stats, BB_ADMISSION_CLASS_LONG,
                 P99_PERMILLE);
}

/* Returns the number of latency entries to allocate for a class: twice the
 * expected calls, plus the calls that the previous run may have left active.
 */
static uint64_t
max_latency_count(const struct bb_offered_load *l)
{
    uint64_t rate = l->rate_per_s[BB_ADMISSION_CLASS_SHORT] +
                    l->rate_per_s[BB_ADMISSION_CLASS_LONG];
    uint64_t count =
        2 * rate * l->duration_us / BB_US_PER_S + BB_OFFERED_LOAD_ACTIVE_MAX;

    return count < BB_OFFERED_LOAD_CALLS_MAX ? count
                                             : BB_OFFERED_LOAD_CALLS_MAX;
}

/* Generates load from now_us on for its duration and adds its statistics to
 * result. Calls that are running or queued at the end continue in the next
 * run. If out of memory, leaves result unchanged. */
void
bb_offered_load_run(struct bb_offered_load_state *s, struct bb_admission *a,
                    const struct bb_offered_load *l, uint64_t now_us,
                    json_t *result)
{
    struct load_run r = {.s = s,
                         .a = a,
                         .load = l,
                         .random = bb_random_create(l->seed),
                         .now_us = now_us};

    r.stats.latency_capacity = max_latency_count(l);
    for (int i = 0; i < BB_ADMISSION_CLASS_COUNT; i++) {
        r.stats.latency_us[i] =
            calloc(r.stats.latency_capacity, sizeof(uint64_t));
        r.next_us[i] = now_us + draw_interarrival_us(&r, i);
        if (r.stats.latency_us[i] == NULL) {
            goto out;
        }
    }
    while (process_next_event(&r, now_us + l->duration_us)) {
    }
    s->end_us = now_us + l->duration_us;
    add_stats(&r, result);
out:
    for (int i = 0; i < BB_ADMISSION_CLASS_COUNT; i++) {
        free(r.stats.latency_us[i]);
    }
    bb_random_destroy(r.random);
}
