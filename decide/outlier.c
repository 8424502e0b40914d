#include "decide/outlier.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
    PERCENT = 100,
    WEIGHT_FULL = 1000,
    WEIGHT_PROBING = 250,
    WEIGHT_RETURNING = 500,
    /* A call is slow from this multiple of what is usual for the service.
     * Between 1 and the factor of 10 that must be detected. */
    SLOW_FACTOR = 4,
    /* Differences below this do no harm and come from scheduling. */
    SLOW_FLOOR_US = 3000,
    SCORE_EJECT = 3,
    SCORE_MAX = 6,
    OBSERVATIONS_MIN = 3,
    MEMBERS_MIN = 2,
    EJECT_BASE_US = 300000,
    EJECT_DOUBLINGS_MAX = 4,
    PROBE_GOOD = 1,
    RETURN_GOOD = 4,
    /* After this time without an ejection the next one is short again. */
    FORGET_AFTER_US = 10000000,
    BASELINE_INTERVAL_US = 50000
};

static const double latency_weight = 0.1;

/* Sets an empty set that ejects at most the given share of its members. */
void
bb_outliers_init(struct bb_outliers *o, uint32_t share_percent)
{
    memset(o, 0, sizeof(*o));
    o->share_percent = share_percent;
}

static struct bb_outlier_member *
find(struct bb_outliers *o, uint64_t key)
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
    if (o->count == BB_OUTLIER_MEMBERS_MAX || find(o, key) != NULL) {
        return false;
    }
    o->members[o->count++] = (struct bb_outlier_member){.key = key};
    return true;
}

/* Removes a gatekeeper that is gone. */
void
bb_outliers_remove(struct bb_outliers *o, uint64_t key)
{
    struct bb_outlier_member *m = find(o, key);

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

/* Computes what is usual for a class: the lower median of the members'
 * averages. 0 until enough members have been observed. */
static uint64_t
baseline(const struct bb_outliers *o, enum bb_admission_class k)
{
    double values[BB_OUTLIER_MEMBERS_MAX];
    uint32_t n = 0;

    for (uint32_t i = 0; i < o->count; i++) {
        if (o->members[i].observations[k] >= OBSERVATIONS_MIN) {
            values[n++] = o->members[i].log_latency[k];
        }
    }
    if (n < MEMBERS_MIN) {
        return 0;
    }
    qsort(values, n, sizeof(values[0]), compare_doubles);
    return (uint64_t)llround(exp(values[(n - 1) / 2]));
}

static void
update_baselines(struct bb_outliers *o, uint64_t now_us)
{
    if (o->baseline_at_us != 0 &&
        now_us < o->baseline_at_us + BASELINE_INTERVAL_US) {
        return;
    }
    o->baseline_at_us = now_us;
    for (int k = 0; k < BB_ADMISSION_CLASSES; k++) {
        o->baseline_us[k] = baseline(o, (enum bb_admission_class)k);
    }
}

static bool
is_slow(const struct bb_outliers *o, enum bb_admission_class k, uint64_t us)
{
    return o->baseline_us[k] > 0 && us >= SLOW_FLOOR_US &&
           us >= SLOW_FACTOR * o->baseline_us[k];
}

/* Tells whether one more member may be ejected. */
static bool
has_room(const struct bb_outliers *o)
{
    return (uint64_t)(bb_outliers_ejected(o) + 1) * PERCENT <=
           (uint64_t)o->count * o->share_percent;
}

/* Ejects a member, longer each time in a row. */
static void
eject(struct bb_outlier_member *m, uint64_t now_us)
{
    uint32_t doublings = m->ejections < EJECT_DOUBLINGS_MAX
                             ? m->ejections
                             : (uint32_t)EJECT_DOUBLINGS_MAX;

    m->stage = BB_OUTLIER_EJECTED;
    m->eject_until_us = now_us + ((uint64_t)EJECT_BASE_US << doublings);
    m->ejections++;
    m->score = 0;
    m->good = 0;
}

/* Takes one bad observation. During the return one is enough. */
static void
note_bad(struct bb_outliers *o, struct bb_outlier_member *m, uint64_t now_us)
{
    if (m->stage == BB_OUTLIER_EJECTED) {
        return;
    }
    if (m->stage == BB_OUTLIER_PROBING) {
        eject(m, now_us);
        return;
    }
    if (m->score < SCORE_MAX) {
        m->score++;
    }
    m->good = 0;
    if ((m->score >= SCORE_EJECT || m->stage == BB_OUTLIER_RETURNING) &&
        has_room(o)) {
        eject(m, now_us);
    }
}

/* Takes one normal observation and moves the return forward. */
static void
note_good(struct bb_outlier_member *m, uint64_t now_us)
{
    if (m->score > 0) {
        m->score--;
    }
    m->good++;
    switch (m->stage) {
    case BB_OUTLIER_PROBING:
        if (m->good >= PROBE_GOOD) {
            m->stage = BB_OUTLIER_RETURNING;
            m->good = 0;
        }
        break;
    case BB_OUTLIER_RETURNING:
        if (m->good >= RETURN_GOOD) {
            m->stage = BB_OUTLIER_NORMAL;
            m->normal_since_us = now_us;
        }
        break;
    case BB_OUTLIER_NORMAL:
        if (m->ejections > 0 &&
            now_us >= m->normal_since_us + FORGET_AFTER_US) {
            m->ejections = 0;
        }
        break;
    case BB_OUTLIER_EJECTED:
        break;
    }
}

/* Notes a call that is sent to a member. */
void
bb_outlier_start(struct bb_outliers *o, uint64_t key,
                 enum bb_admission_class work_class, uint64_t now_us)
{
    struct bb_outlier_member *m = find(o, key);

    if (m == NULL) {
        return;
    }
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
take_call(struct bb_outlier_member *m, uint64_t start_us)
{
    if (m->outstanding > 0) {
        m->outstanding--;
    }
    for (uint32_t i = 0; i < BB_OUTLIER_OUTSTANDING_MAX; i++) {
        if (m->calls[i].start_us == (start_us > 0 ? start_us : 1)) {
            bool was_counted = m->calls[i].is_counted;

            m->calls[i] = (struct bb_outlier_call){0};
            return was_counted;
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
    struct bb_outlier_member *m = find(o, key);
    uint64_t us = now_us > start_us ? now_us - start_us : 1;
    bool was_counted;

    if (m == NULL) {
        return;
    }
    update_baselines(o, now_us);
    was_counted = take_call(m, start_us);
    if (!is_failure) {
        double value = log((double)us);

        m->log_latency[work_class] =
            m->observations[work_class] == 0
                ? value
                : m->log_latency[work_class] +
                      (value - m->log_latency[work_class]) * latency_weight;
        m->observations[work_class]++;
    }
    if (!is_failure && !is_slow(o, work_class, us)) {
        note_good(m, now_us);
    }
    else if (!was_counted) {
        note_bad(o, m, now_us);
    }
}

/* Notes that a call ended without an observation: refused before it ran, or
 * cancelled. */
void
bb_outlier_cancel(struct bb_outliers *o, uint64_t key, uint64_t start_us)
{
    struct bb_outlier_member *m = find(o, key);

    if (m != NULL) {
        (void)take_call(m, start_us);
    }
}

/* Counts outstanding calls that are older than usual, without waiting for
 * their answers, and ends ejections whose time is over. */
void
bb_outliers_tick(struct bb_outliers *o, uint64_t now_us)
{
    update_baselines(o, now_us);
    for (uint32_t i = 0; i < o->count; i++) {
        struct bb_outlier_member *m = &o->members[i];

        if (m->stage == BB_OUTLIER_EJECTED && now_us >= m->eject_until_us) {
            m->stage = BB_OUTLIER_PROBING;
            m->good = 0;
        }
        for (uint32_t j = 0;
             m->outstanding > 0 && j < BB_OUTLIER_OUTSTANDING_MAX; j++) {
            struct bb_outlier_call *c = &m->calls[j];

            if (c->start_us != 0 && !c->is_counted && now_us > c->start_us &&
                is_slow(o, c->work_class, now_us - c->start_us)) {
                c->is_counted = true;
                note_bad(o, m, now_us);
            }
        }
    }
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
            return now_us >= m->eject_until_us && m->outstanding == 0
                       ? WEIGHT_PROBING
                       : 0;
        case BB_OUTLIER_PROBING:
            return m->outstanding == 0 ? WEIGHT_PROBING : 0;
        case BB_OUTLIER_RETURNING:
            return WEIGHT_RETURNING;
        }
    }
    return WEIGHT_FULL;
}
