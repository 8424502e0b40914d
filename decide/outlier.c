#include "decide/outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PERCENT = 100,
    /* Shares are whole percentages; this one stands for exactly a third. */
    ONE_THIRD_PERCENT = 33,
    WEIGHT_FULL = 1000,
    WEIGHT_PROBING = 250,
    WEIGHT_RETURNING = 500,
    /* A call is slow from this multiple of what is usual. It lies between 1
     * and the factor of 10 that must be detected. */
    SLOW_FACTOR = 4,
    /* Differences below this do no harm and come from scheduling. */
    SLOW_FLOOR_US = 3000,
    /* Four slow calls in a row eject. With 5% of calls slow by nature and
     * not declared as long, four in a row are rarer than one in 100,000. */
    EJECT_POINTS = 4,
    FAILURE_POINTS = 2,
    GOOD_POINTS = 2,
    OBSERVATIONS_MIN = 4,
    EJECT_BASE_US = 300000,
    EJECT_DOUBLINGS_MAX = 2,
    /* After a refusal as slow; a probe that is refused again costs no more
     * than a round trip, so this does not grow. */
    EJECT_REPORTED_SLOW_US = 250000,
    GOOD_PROBES_TO_RETURN = 1,
    GOOD_CALLS_TO_NORMAL = 4,
    /* After this time without an ejection the next one is short again. */
    EJECTIONS_RESET_US = 10000000,
    BASELINE_INTERVAL_US = 20000
};

static const double usual_ewma_weight = 0.05;
static const double recent_ewma_weight = 0.3;

/* Sets an empty set that ejects at most the given share of its members. */
void
bb_outliers_init(struct bb_outliers *o, uint32_t share_percent)
{
    memset(o, 0, sizeof(*o));
    o->share_percent = share_percent;
}

static struct bb_outlier_member *
find_member(struct bb_outliers *o, uint64_t key)
{
    for (uint32_t i = 0; i < o->count; i++) {
        if (o->members[i].key == key) {
            return &o->members[i];
        }
    }
    return NULL;
}

/* Adds a gatekeeper; false if there is no room or it is there already. */
bool
bb_outliers_add(struct bb_outliers *o, uint64_t key)
{
    if (o->count == BB_OUTLIER_MEMBERS_MAX || find_member(o, key) != NULL) {
        return false;
    }
    o->members[o->count++] = (struct bb_outlier_member){.key = key};
    return true;
}

/* Removes a gatekeeper that is gone. */
void
bb_outliers_remove(struct bb_outliers *o, uint64_t key)
{
    struct bb_outlier_member *m = find_member(o, key);

    if (m != NULL) {
        *m = o->members[--o->count];
    }
}

/* Counts the members that get no calls at present. */
uint32_t
bb_outliers_ejected(const struct bb_outliers *o)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < o->count; i++) {
        count += o->members[i].stage == BB_OUTLIER_EJECTED ||
                 o->members[i].stage == BB_OUTLIER_PROBING;
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

/* Computes by how much the service is slower than usual as a whole: the lower
 * median over its members, never below 0. A member's own history stands for
 * its distance, so that members in other zones can be compared. */
static void
update_class_baseline(struct bb_outliers *o, int k)
{
    double slowdowns[BB_OUTLIER_MEMBERS_MAX];
    double highest = 0;
    uint32_t n = 0;

    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_member *m = &o->members[i];

        if (m->observations[k] >= OBSERVATIONS_MIN) {
            slowdowns[n++] = m->recent[k] - m->usual[k];
            highest = m->usual[k] > highest ? m->usual[k] : highest;
        }
    }
    o->shift[k] = 0;
    o->highest_us[k] = (uint64_t)llround(exp(highest));
    if (n > 0) {
        qsort(slowdowns, n, sizeof(slowdowns[0]), compare_doubles);
        o->shift[k] = slowdowns[(n - 1) / 2] > 0 ? slowdowns[(n - 1) / 2] : 0;
    }
}

static void
update_baselines(struct bb_outliers *o, uint64_t now_us)
{
    if (o->compared_us != 0 &&
        now_us < o->compared_us + BASELINE_INTERVAL_US) {
        return;
    }
    o->compared_us = now_us;
    for (int k = 0; k < BB_ADMISSION_CLASSES; k++) {
        update_class_baseline(o, k);
    }
}

/* Tells whether a duration is slow for a member: a multiple of its own usual
 * latency, raised by what the whole service is slower. A member without
 * history is compared with the slowest of the others. */
static bool
is_slow(const struct bb_outliers *o, const struct bb_outlier_member *m,
        enum bb_admission_class k, uint64_t us)
{
    double usual_us = m->observations[k] >= OBSERVATIONS_MIN
                          ? exp(m->usual[k] + o->shift[k])
                          : (double)o->highest_us[k] * exp(o->shift[k]);

    return us >= SLOW_FLOOR_US && usual_us > 1 &&
           (double)us >= SLOW_FACTOR * usual_us;
}

/* Returns how many members may be ejected at a time. */
static uint32_t
max_ejected(const struct bb_outliers *o)
{
    if (o->share_percent == ONE_THIRD_PERCENT) {
        return o->count / 3;
    }
    return (uint32_t)((uint64_t)o->count * o->share_percent / PERCENT);
}

static bool
can_eject_more(const struct bb_outliers *o)
{
    return bb_outliers_ejected(o) < max_ejected(o);
}

static void
set_stage(struct bb_outlier_member *m, enum bb_outlier_stage stage,
          uint64_t now_us)
{
    m->stage = stage;
    m->stage_since_us = now_us;
    m->good = 0;
    m->score = 0;
}

/* Ejects a member, longer each time in a row. */
static void
eject(struct bb_outlier_member *m, uint64_t now_us)
{
    uint32_t doublings = m->ejections < EJECT_DOUBLINGS_MAX
                             ? m->ejections
                             : (uint32_t)EJECT_DOUBLINGS_MAX;

    set_stage(m, BB_OUTLIER_EJECTED, now_us);
    m->eject_until_us = now_us + ((uint64_t)EJECT_BASE_US << doublings);
    m->ejections++;
}

/* Ends the ejection of a member whose time is over. */
static void
begin_probing_if_due(struct bb_outlier_member *m, uint64_t now_us)
{
    if (m->stage == BB_OUTLIER_EJECTED && now_us >= m->eject_until_us) {
        set_stage(m, BB_OUTLIER_PROBING, now_us);
    }
}

/* Takes one bad observation of a call that was sent in the present stage. A
 * bad probe ejects again; so does one bad call during the return. */
static void
record_bad_call(struct bb_outliers *o, struct bb_outlier_member *m,
                uint32_t points, uint64_t now_us)
{
    m->good = 0;
    switch (m->stage) {
    case BB_OUTLIER_EJECTED:
        break;
    case BB_OUTLIER_PROBING:
        eject(m, now_us);
        break;
    case BB_OUTLIER_RETURNING:
        if (can_eject_more(o)) {
            eject(m, now_us);
        }
        break;
    case BB_OUTLIER_NORMAL:
        m->score = m->score + points < EJECT_POINTS ? m->score + points
                                                    : (uint32_t)EJECT_POINTS;
        if (m->score == EJECT_POINTS && can_eject_more(o)) {
            eject(m, now_us);
        }
        break;
    }
}

/* Takes one normal observation and moves the return forward. */
static void
record_good_call(struct bb_outlier_member *m, uint64_t now_us)
{
    m->score = m->score > GOOD_POINTS ? m->score - GOOD_POINTS : 0;
    m->good++;
    switch (m->stage) {
    case BB_OUTLIER_EJECTED: /* a call for which all others were full */
    case BB_OUTLIER_PROBING:
        if (m->good >= GOOD_PROBES_TO_RETURN) {
            set_stage(m, BB_OUTLIER_RETURNING, now_us);
        }
        break;
    case BB_OUTLIER_RETURNING:
        if (m->good >= GOOD_CALLS_TO_NORMAL) {
            set_stage(m, BB_OUTLIER_NORMAL, now_us);
        }
        break;
    case BB_OUTLIER_NORMAL:
        if (now_us >= m->stage_since_us + EJECTIONS_RESET_US) {
            m->ejections = 0;
        }
        break;
    }
}

/* Adds a latency to the averages. What is usual follows a rise by a limited
 * step, so that a slow period is not learnt before it is noticed. */
static void
update_latency(struct bb_outlier_member *m, enum bb_admission_class k,
               uint64_t us)
{
    double value = log((double)us);
    double limit = m->usual[k] + log(SLOW_FACTOR);

    if (m->observations[k] == 0) {
        m->usual[k] = value;
        m->recent[k] = value;
    }
    m->recent[k] += (value - m->recent[k]) * recent_ewma_weight;
    m->usual[k] += ((value < limit ? value : limit) - m->usual[k]) *
                   (m->observations[k] < OBSERVATIONS_MIN ? recent_ewma_weight
                                                          : usual_ewma_weight);
    if (m->observations[k] < UINT32_MAX) {
        m->observations[k]++;
    }
}

/* Notes a call that is sent to a member. */
void
bb_outlier_start(struct bb_outliers *o, uint64_t key,
                 enum bb_admission_class work_class, uint64_t now_us)
{
    struct bb_outlier_member *m = find_member(o, key);

    if (m == NULL) {
        return;
    }
    begin_probing_if_due(m, now_us);
    m->outstanding++;
    for (uint32_t i = 0; i < BB_OUTLIER_OUTSTANDING_MAX; i++) {
        if (m->calls[i].start_us == 0) {
            m->calls[i] = (struct bb_outlier_call){
                .start_us = now_us > 0 ? now_us : 1,
                .work_class = work_class,
            };
            return;
        }
    }
}

/* Frees the entry of a finished call; true if it was counted as slow. */
static bool
remove_call(struct bb_outlier_member *m, uint64_t start_us)
{
    if (m->outstanding > 0) {
        m->outstanding--;
    }
    for (uint32_t i = 0; i < BB_OUTLIER_OUTSTANDING_MAX; i++) {
        if (m->calls[i].start_us == (start_us > 0 ? start_us : 1)) {
            bool was_counted_slow = m->calls[i].is_counted;

            m->calls[i] = (struct bb_outlier_call){0};
            return was_counted_slow;
        }
    }
    return false;
}

/* Notes the end of a call that started at start_us: a failure of connection
 * or upstream, or an answer. Refusals of a gatekeeper are neither; they are
 * reported with bb_outlier_cancel. */
void
bb_outlier_finish(struct bb_outliers *o, uint64_t key,
                  enum bb_admission_class work_class, uint64_t start_us,
                  bool is_failure, uint64_t now_us)
{
    struct bb_outlier_member *m = find_member(o, key);
    uint64_t us = now_us > start_us ? now_us - start_us : 1;
    bool was_counted_slow;
    bool was_slow;

    if (m == NULL) {
        return;
    }
    update_baselines(o, now_us);
    was_counted_slow = remove_call(m, start_us);
    was_slow = is_slow(o, m, work_class, us);
    if (!is_failure) {
        update_latency(m, work_class, us);
    }
    if (start_us < m->stage_since_us || was_counted_slow) {
        return;
    }
    if (is_failure) {
        record_bad_call(o, m, FAILURE_POINTS, now_us);
    }
    else if (was_slow) {
        record_bad_call(o, m, 1, now_us);
    }
    else {
        record_good_call(m, now_us);
    }
}

/* Ejects a member whose gatekeeper refused a call because its upstream is
 * slow; the gatekeeper sees all calls of the upstream and notices it sooner
 * than one entry node. False if no more may be ejected. */
bool
bb_outlier_report_slow(struct bb_outliers *o, uint64_t key, uint64_t now_us)
{
    struct bb_outlier_member *m = find_member(o, key);

    if (m == NULL || m->stage == BB_OUTLIER_EJECTED ||
        (m->stage != BB_OUTLIER_PROBING && !can_eject_more(o))) {
        return false;
    }
    set_stage(m, BB_OUTLIER_EJECTED, now_us);
    m->eject_until_us = now_us + EJECT_REPORTED_SLOW_US;
    return true;
}

/* Tells whether a first attempt to a member may be sent as one that can go
 * elsewhere. Not so when other members use up the share that may be ejected:
 * if the whole service is slow, a refusal would only cost a round trip. */
bool
bb_outlier_may_go_elsewhere(const struct bb_outliers *o, uint64_t key)
{
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_member *m = &o->members[i];

        if (m->key == key && (m->stage == BB_OUTLIER_EJECTED ||
                              m->stage == BB_OUTLIER_PROBING)) {
            return true;
        }
    }
    return can_eject_more(o);
}

/* Notes that a call ended without an observation: refused before it ran, or
 * cancelled. */
void
bb_outlier_cancel(struct bb_outliers *o, uint64_t key, uint64_t start_us)
{
    struct bb_outlier_member *m = find_member(o, key);

    if (m != NULL) {
        (void)remove_call(m, start_us);
    }
}

/* Counts the outstanding calls of a member that are older than usual. */
static void
count_slow_outstanding(struct bb_outliers *o, struct bb_outlier_member *m,
                       uint64_t now_us)
{
    for (uint32_t j = 0; j < BB_OUTLIER_OUTSTANDING_MAX; j++) {
        struct bb_outlier_call *c = &m->calls[j];

        if (c->start_us != 0 && !c->is_counted && now_us > c->start_us &&
            is_slow(o, m, c->work_class, now_us - c->start_us)) {
            c->is_counted = true;
            if (c->start_us >= m->stage_since_us) {
                record_bad_call(o, m, 1, now_us);
            }
        }
    }
}

/* Ends ejections whose time is over and counts outstanding calls that are
 * older than usual, without waiting for their answers. To be called every few
 * milliseconds while calls are outstanding, or before each pick. */
void
bb_outliers_tick(struct bb_outliers *o, uint64_t now_us)
{
    update_baselines(o, now_us);
    for (uint32_t i = 0; i < o->count; i++) {
        struct bb_outlier_member *m = &o->members[i];

        begin_probing_if_due(m, now_us);
        if (m->outstanding > 0) {
            count_slow_outstanding(o, m, now_us);
        }
    }
}

/* Tells whether a call sent since probing began is outstanding. */
static bool
has_outstanding_probe(const struct bb_outlier_member *m)
{
    for (uint32_t j = 0; j < BB_OUTLIER_OUTSTANDING_MAX; j++) {
        if (m->calls[j].start_us != 0 &&
            m->calls[j].start_us >= m->stage_since_us) {
            return true;
        }
    }
    return false;
}

/* Returns the weight of a member in permille for struct bb_candidate: 0 while
 * it is ejected or its probe is out. */
uint32_t
bb_outlier_weight(const struct bb_outliers *o, uint64_t key, uint64_t now_us)
{
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_member *m = &o->members[i];

        if (m->key != key) {
            continue;
        }
        switch (m->stage) {
        case BB_OUTLIER_NORMAL:
            return WEIGHT_FULL;
        case BB_OUTLIER_EJECTED:
            return now_us >= m->eject_until_us ? WEIGHT_PROBING : 0;
        case BB_OUTLIER_PROBING:
            return has_outstanding_probe(m) ? 0 : WEIGHT_PROBING;
        case BB_OUTLIER_RETURNING:
            return WEIGHT_RETURNING;
        }
    }
    return WEIGHT_FULL;
}

/* Sets a candidate's weight and the age of its oldest short call, before a
 * pick. */
void
bb_outlier_apply(const struct bb_outliers *o, struct bb_candidate *c,
                 uint64_t now_us)
{
    c->weight_permille = bb_outlier_weight(o, c->key, now_us);
    c->waiting_us = 0;
    for (uint32_t i = 0; i < o->count; i++) {
        const struct bb_outlier_member *m = &o->members[i];

        for (uint32_t j = 0;
             m->key == c->key && j < BB_OUTLIER_OUTSTANDING_MAX; j++) {
            const struct bb_outlier_call *k = &m->calls[j];

            if (k->start_us != 0 && k->work_class == BB_ADMISSION_SHORT &&
                now_us > k->start_us && now_us - k->start_us > c->waiting_us) {
                c->waiting_us = now_us - k->start_us;
            }
        }
    }
}
