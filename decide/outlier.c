#include "decide/outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PERCENT = 100,
    /* Shares are whole percentages; this one means exactly one third. */
    ONE_THIRD_PERCENT = 33,
    WEIGHT_RETURNING_PERMILLE = 500,
    /* A call is slow from this multiple of the usual latency. The multiple
     * must be between 1 and 10, as a slowdown by a factor of 10 must be
     * detected. */
    SLOW_FACTOR = 4,
    /* Shorter calls are never slow: such differences come from scheduling and
     * do no harm. */
    SLOW_MIN_US = 3000,
    /* A gatekeeper is ejected at this score; a slow call adds one point, so
     * four slow calls in a row eject. If 5% of the calls are slow by nature
     * but not classed as long, four in a row are rarer than one in 100,000. */
    EJECT_POINTS = 4,
    FAILURE_POINTS = 2,
    GOOD_POINTS = 2,
    /* Latencies needed before the usual latency of a gatekeeper is used. */
    OBSERVATIONS_MIN = 4,
    /* First ejection time, and how many times it doubles at most. */
    EJECT_BASE_US = 300000,
    EJECT_DOUBLINGS_MAX = 2,
    /* Ejection time after the gatekeeper refused a call because its upstream
     * is slow. It does not grow, as a probe that is refused again costs only a
     * round trip. */
    EJECT_REPORTED_SLOW_US = 250000,
    /* Good calls in a row that end the probing stage and the returning
     * stage. */
    GOOD_PROBES_TO_RETURN = 1,
    GOOD_CALLS_TO_NORMAL = 4,
    /* After this time in the normal stage, the next ejection lasts
     * EJECT_BASE_US again. */
    EJECTIONS_RESET_US = 10000000,
    BASELINE_INTERVAL_US = 20000
};

static const double usual_ewma_weight = 0.05;
static const double recent_ewma_weight = 0.3;

/* Initialises an empty set that ejects at most a share of its gatekeepers at a
 * time, in percent, rounded down. 33 means exactly one third. */
void
bb_outliers_init(struct bb_outliers *o, uint32_t max_ejected_percent)
{
    memset(o, 0, sizeof(*o));
    o->max_ejected_percent = max_ejected_percent;
}

/* Returns the gatekeeper with a key, or NULL if it is unknown. */
static struct bb_outlier_gatekeeper *
find_gatekeeper(struct bb_outliers *o, uint64_t key)
{
    for (uint32_t i = 0; i < o->count; i++) {
        if (o->gatekeepers[i].key == key) {
            return &o->gatekeepers[i];
        }
    }
    return NULL;
}

/* Adds a gatekeeper. Returns false if the set is full or has it already. */
bool
bb_outliers_add(struct bb_outliers *o, uint64_t key)
{
    if (o->count == BB_OUTLIER_GATEKEEPERS_MAX ||
        find_gatekeeper(o, key) != NULL) {
        return false;
    }
    o->gatekeepers[o->count++] = (struct bb_outlier_gatekeeper){.key = key};
    return true;
}

/* Removes a gatekeeper. */
void
bb_outliers_remove(struct bb_outliers *o, uint64_t key)
{
    struct bb_outlier_gatekeeper *g = find_gatekeeper(o, key);

    if (g != NULL) {
        *g = o->gatekeepers[--o->count];
    }
}

/* Returns the number of gatekeepers that count as ejected: those that get no
 * calls or only probes. */
uint32_t
bb_outliers_count_ejected(const struct bb_outliers *o)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < o->count; i++) {
        count += o->gatekeepers[i].stage == BB_OUTLIER_EJECTED ||
                 o->gatekeepers[i].stage == BB_OUTLIER_PROBING;
    }
    return count;
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/* Computes by how much the service as a whole is slower than usual for a
 * class: the lower median over its gatekeepers, never below 0. Each gatekeeper
 * is compared with its own usual latency, so that distant gatekeepers can be
 * compared with near ones. */
static void
update_class_baseline(struct bb_outliers *o, int work_class)
{
    double slowdowns[BB_OUTLIER_GATEKEEPERS_MAX];
    double highest = 0;
    uint32_t n = 0;

    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_gatekeeper *g = &o->gatekeepers[i];

        if (g->observations[work_class] >= OBSERVATIONS_MIN) {
            slowdowns[n++] =
                g->recent_log_us[work_class] - g->usual_log_us[work_class];
            highest = g->usual_log_us[work_class] > highest
                          ? g->usual_log_us[work_class]
                          : highest;
        }
    }
    o->slowdown_log[work_class] = 0;
    o->highest_usual_us[work_class] = (uint64_t)llround(exp(highest));
    if (n > 0) {
        qsort(slowdowns, n, sizeof(slowdowns[0]), compare_doubles);
        o->slowdown_log[work_class] =
            slowdowns[(n - 1) / 2] > 0 ? slowdowns[(n - 1) / 2] : 0;
    }
}

/* Computes the baselines of all classes, at most every BASELINE_INTERVAL_US.
 */
static void
update_baselines(struct bb_outliers *o, uint64_t now_us)
{
    if (o->baselines_updated_us != 0 &&
        now_us < o->baselines_updated_us + BASELINE_INTERVAL_US) {
        return;
    }
    o->baselines_updated_us = now_us;
    for (int work_class = 0; work_class < BB_ADMISSION_CLASS_COUNT;
         work_class++) {
        update_class_baseline(o, work_class);
    }
}

/* Returns whether a duration in microseconds is slow for a gatekeeper: at
 * least SLOW_FACTOR times its usual latency, scaled by the slowdown of the
 * whole service. A gatekeeper with few observations is compared with the
 * highest usual latency of the others. */
static bool
is_slow(const struct bb_outliers *o, const struct bb_outlier_gatekeeper *g,
        enum bb_admission_class work_class, uint64_t latency_us)
{
    double usual_us =
        g->observations[work_class] >= OBSERVATIONS_MIN
            ? exp(g->usual_log_us[work_class] + o->slowdown_log[work_class])
            : (double)o->highest_usual_us[work_class] *
                  exp(o->slowdown_log[work_class]);

    return latency_us >= SLOW_MIN_US && usual_us > 1 &&
           (double)latency_us >= SLOW_FACTOR * usual_us;
}

/* Returns how many gatekeepers may be ejected at a time. */
static uint32_t
max_ejected(const struct bb_outliers *o)
{
    if (o->max_ejected_percent == ONE_THIRD_PERCENT) {
        return o->count / 3;
    }
    return (uint32_t)((uint64_t)o->count * o->max_ejected_percent / PERCENT);
}

/* Returns whether another gatekeeper may be ejected. */
static bool
can_eject_more(const struct bb_outliers *o)
{
    return bb_outliers_count_ejected(o) < max_ejected(o);
}

/* Moves a gatekeeper to a stage, and resets its score and its good calls. */
static void
set_stage(struct bb_outlier_gatekeeper *g, enum bb_outlier_stage stage,
          uint64_t now_us)
{
    g->stage = stage;
    g->stage_since_us = now_us;
    g->good_streak = 0;
    g->score = 0;
}

/* Ejects a gatekeeper. Each ejection in a row lasts twice as long as the one
 * before, with at most EJECT_DOUBLINGS_MAX doublings. */
static void
eject(struct bb_outlier_gatekeeper *g, uint64_t now_us)
{
    uint32_t doublings = g->ejections < EJECT_DOUBLINGS_MAX
                             ? g->ejections
                             : (uint32_t)EJECT_DOUBLINGS_MAX;

    set_stage(g, BB_OUTLIER_EJECTED, now_us);
    g->eject_until_us = now_us + ((uint64_t)EJECT_BASE_US << doublings);
    g->ejections++;
}

/* Starts probing a gatekeeper whose ejection time has passed. */
static void
begin_probing_if_due(struct bb_outlier_gatekeeper *g, uint64_t now_us)
{
    if (g->stage == BB_OUTLIER_EJECTED && now_us >= g->eject_until_us) {
        set_stage(g, BB_OUTLIER_PROBING, now_us);
    }
}

/* Records a slow or failed call that was sent in the current stage, worth some
 * points of the score. One such call ejects a probed gatekeeper again, and a
 * returning one if the limit of ejected gatekeepers allows it. */
static void
record_bad_call(struct bb_outliers *o, struct bb_outlier_gatekeeper *g,
                uint32_t points, uint64_t now_us)
{
    g->good_streak = 0;
    switch (g->stage) {
    case BB_OUTLIER_EJECTED:
        break;
    case BB_OUTLIER_PROBING:
        eject(g, now_us);
        break;
    case BB_OUTLIER_RETURNING:
        if (can_eject_more(o)) {
            eject(g, now_us);
        }
        break;
    case BB_OUTLIER_NORMAL:
        g->score = g->score + points < EJECT_POINTS ? g->score + points
                                                    : (uint32_t)EJECT_POINTS;
        if (g->score == EJECT_POINTS && can_eject_more(o)) {
            eject(g, now_us);
        }
        break;
    }
}

/* Records a good call that was sent in the current stage, which may advance
 * the gatekeeper to the next stage of its return. */
static void
record_good_call(struct bb_outlier_gatekeeper *g, uint64_t now_us)
{
    g->score = g->score > GOOD_POINTS ? g->score - GOOD_POINTS : 0;
    g->good_streak++;
    switch (g->stage) {
    case BB_OUTLIER_EJECTED: /* got the call because all others were full */
    case BB_OUTLIER_PROBING:
        if (g->good_streak >= GOOD_PROBES_TO_RETURN) {
            set_stage(g, BB_OUTLIER_RETURNING, now_us);
        }
        break;
    case BB_OUTLIER_RETURNING:
        if (g->good_streak >= GOOD_CALLS_TO_NORMAL) {
            set_stage(g, BB_OUTLIER_NORMAL, now_us);
        }
        break;
    case BB_OUTLIER_NORMAL:
        if (now_us >= g->stage_since_us + EJECTIONS_RESET_US) {
            g->ejections = 0;
        }
        break;
    }
}

/* Adds a latency in microseconds to the averages. The usual one follows a rise
 * in limited steps, so that it does not adapt to a slow period before that is
 * detected. */
static void
update_latency(struct bb_outlier_gatekeeper *g,
               enum bb_admission_class work_class, uint64_t latency_us)
{
    double value = log((double)latency_us);
    double limit = g->usual_log_us[work_class] + log(SLOW_FACTOR);

    if (g->observations[work_class] == 0) {
        g->usual_log_us[work_class] = value;
        g->recent_log_us[work_class] = value;
    }
    g->recent_log_us[work_class] +=
        (value - g->recent_log_us[work_class]) * recent_ewma_weight;
    g->usual_log_us[work_class] +=
        ((value < limit ? value : limit) - g->usual_log_us[work_class]) *
        (g->observations[work_class] < OBSERVATIONS_MIN ? recent_ewma_weight
                                                        : usual_ewma_weight);
    if (g->observations[work_class] < UINT32_MAX) {
        g->observations[work_class]++;
    }
}

/* Records a call that is sent to a gatekeeper at now_us. bb_outlier_finish and
 * bb_outlier_cancel find it by that time. */
void
bb_outlier_start(struct bb_outliers *o, uint64_t key,
                 enum bb_admission_class work_class, uint64_t now_us)
{
    struct bb_outlier_gatekeeper *g = find_gatekeeper(o, key);

    if (g == NULL) {
        return;
    }
    begin_probing_if_due(g, now_us);
    g->outstanding++;
    for (uint32_t i = 0; i < BB_OUTLIER_TRACKED_CALLS_MAX; i++) {
        if (g->calls[i].start_us == 0) {
            g->calls[i] = (struct bb_outlier_call){
                .start_us = now_us > 0 ? now_us : 1,
                .work_class = work_class,
            };
            return;
        }
    }
}

/* Removes a call from the outstanding ones. Returns true if it was already
 * counted as slow. */
static bool
remove_call(struct bb_outlier_gatekeeper *g, uint64_t start_us)
{
    if (g->outstanding > 0) {
        g->outstanding--;
    }
    for (uint32_t i = 0; i < BB_OUTLIER_TRACKED_CALLS_MAX; i++) {
        if (g->calls[i].start_us == (start_us > 0 ? start_us : 1)) {
            bool was_counted_slow = g->calls[i].is_counted_slow;

            g->calls[i] = (struct bb_outlier_call){0};
            return was_counted_slow;
        }
    }
    return false;
}

/* Records the end of a call: a response, or a failure of the connection or the
 * upstream. start_us is the now_us given to bb_outlier_start. A refusal by the
 * gatekeeper is neither; report it with bb_outlier_cancel. */
void
bb_outlier_finish(struct bb_outliers *o, uint64_t key,
                  enum bb_admission_class work_class, uint64_t start_us,
                  bool is_failure, uint64_t now_us)
{
    struct bb_outlier_gatekeeper *g = find_gatekeeper(o, key);
    uint64_t latency_us = now_us > start_us ? now_us - start_us : 1;
    bool was_counted_slow;
    bool was_slow;

    if (g == NULL) {
        return;
    }
    update_baselines(o, now_us);
    was_counted_slow = remove_call(g, start_us);
    was_slow = is_slow(o, g, work_class, latency_us);
    if (!is_failure) {
        update_latency(g, work_class, latency_us);
    }
    if (start_us < g->stage_since_us || was_counted_slow) {
        return;
    }
    if (is_failure) {
        record_bad_call(o, g, FAILURE_POINTS, now_us);
    }
    else if (was_slow) {
        record_bad_call(o, g, 1, now_us);
    }
    else {
        record_good_call(g, now_us);
    }
}

/* Ejects a gatekeeper that refused a call because its upstream is slow: the
 * gatekeeper sees all calls to the upstream and detects this sooner than one
 * entry node. Returns false if it is not ejected now: it is ejected already,
 * unknown, or no more gatekeepers may be ejected. */
bool
bb_outlier_report_slow(struct bb_outliers *o, uint64_t key, uint64_t now_us)
{
    struct bb_outlier_gatekeeper *g = find_gatekeeper(o, key);

    if (g == NULL || g->stage == BB_OUTLIER_EJECTED ||
        (g->stage != BB_OUTLIER_PROBING && !can_eject_more(o))) {
        return false;
    }
    set_stage(g, BB_OUTLIER_EJECTED, now_us);
    g->eject_until_us = now_us + EJECT_REPORTED_SLOW_US;
    return true;
}

/* Returns whether a gatekeeper may refuse a first attempt because its upstream
 * is slow. It may not if the ejected gatekeepers reach the limit without it:
 * if the whole service is slow, a refusal would only cost a round trip. */
bool
bb_outlier_may_refuse_as_slow(const struct bb_outliers *o, uint64_t key)
{
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_gatekeeper *g = &o->gatekeepers[i];

        if (g->key == key && (g->stage == BB_OUTLIER_EJECTED ||
                              g->stage == BB_OUTLIER_PROBING)) {
            return true;
        }
    }
    return can_eject_more(o);
}

/* Removes a call that was cancelled or refused before it ran. It counts
 * neither as good nor as bad. start_us is the now_us given to
 * bb_outlier_start. */
void
bb_outlier_cancel(struct bb_outliers *o, uint64_t key, uint64_t start_us)
{
    struct bb_outlier_gatekeeper *g = find_gatekeeper(o, key);

    if (g != NULL) {
        (void)remove_call(g, start_us);
    }
}

/* Counts outstanding calls of a gatekeeper that are already slow as bad ones,
 * each of them once. */
static void
count_slow_outstanding(struct bb_outliers *o, struct bb_outlier_gatekeeper *g,
                       uint64_t now_us)
{
    for (uint32_t j = 0; j < BB_OUTLIER_TRACKED_CALLS_MAX; j++) {
        struct bb_outlier_call *c = &g->calls[j];

        if (c->start_us != 0 && !c->is_counted_slow && now_us > c->start_us &&
            is_slow(o, g, c->work_class, now_us - c->start_us)) {
            c->is_counted_slow = true;
            if (c->start_us >= g->stage_since_us) {
                record_bad_call(o, g, 1, now_us);
            }
        }
    }
}

/* Starts probing gatekeepers whose ejection time has passed, and counts
 * outstanding calls that are already slow, without waiting for their
 * responses. To be called every few milliseconds while calls are outstanding,
 * or before each pick. */
void
bb_outliers_tick(struct bb_outliers *o, uint64_t now_us)
{
    update_baselines(o, now_us);
    for (uint32_t i = 0; i < o->count; i++) {
        struct bb_outlier_gatekeeper *g = &o->gatekeepers[i];

        begin_probing_if_due(g, now_us);
        if (g->outstanding > 0) {
            count_slow_outstanding(o, g, now_us);
        }
    }
}

/* Returns whether a call sent in the current stage is outstanding. */
static bool
has_outstanding_probe(const struct bb_outlier_gatekeeper *g)
{
    for (uint32_t j = 0; j < BB_OUTLIER_TRACKED_CALLS_MAX; j++) {
        if (g->calls[j].start_us != 0 &&
            g->calls[j].start_us >= g->stage_since_us) {
            return true;
        }
    }
    return false;
}

/* Returns the weight of a gatekeeper in permille for struct
 * bb_route_candidate: full in the normal stage or if the key is unknown,
 * WEIGHT_RETURNING_PERMILLE while it returns, BB_ROUTE_WEIGHT_PROBE_PERMILLE
 * once its ejection time has passed and no probe of it is outstanding,
 * otherwise 0. */
uint32_t
bb_outlier_weight(const struct bb_outliers *o, uint64_t key, uint64_t now_us)
{
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_gatekeeper *g = &o->gatekeepers[i];

        if (g->key != key) {
            continue;
        }
        switch (g->stage) {
        case BB_OUTLIER_NORMAL:
            return BB_ROUTE_WEIGHT_FULL_PERMILLE;
        case BB_OUTLIER_EJECTED:
            return now_us >= g->eject_until_us ? BB_ROUTE_WEIGHT_PROBE_PERMILLE
                                               : 0;
        case BB_OUTLIER_PROBING:
            return has_outstanding_probe(g) ? 0
                                            : BB_ROUTE_WEIGHT_PROBE_PERMILLE;
        case BB_OUTLIER_RETURNING:
            return WEIGHT_RETURNING_PERMILLE;
        }
    }
    return BB_ROUTE_WEIGHT_FULL_PERMILLE;
}

/* Sets a candidate's weight and the age of its oldest outstanding short call.
 * To be called before each pick. */
void
bb_outlier_update_candidate(const struct bb_outliers *o,
                            struct bb_route_candidate *c, uint64_t now_us)
{
    c->weight_permille = bb_outlier_weight(o, c->key, now_us);
    c->oldest_short_call_age_us = 0;
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_gatekeeper *g = &o->gatekeepers[i];

        for (uint32_t j = 0;
             g->key == c->key && j < BB_OUTLIER_TRACKED_CALLS_MAX; j++) {
            const struct bb_outlier_call *call = &g->calls[j];

            if (call->start_us != 0 &&
                call->work_class == BB_ADMISSION_CLASS_SHORT &&
                now_us > call->start_us &&
                now_us - call->start_us > c->oldest_short_call_age_us) {
                c->oldest_short_call_age_us = now_us - call->start_us;
            }
        }
    }
}
