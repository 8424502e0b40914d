/* Evidence of a rollout, and the verdict on the target version.
 *
 * Failures: a likelihood ratio of the target's failure rate against an upper
 * estimate of the baseline's. Durations: the difference of the mean class, a
 * logarithm to base 2. The versions are compared within each slot and route,
 * as the target's part of the requests changes over time, and the results are
 * added over the last second, two, four and 16 seconds, for all routes
 * and for each one. A single upstream condemns no version: the failures must
 * remain without the worst one, and most upstreams must be slow. */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "rollout_internal.h"

enum {
    US_PER_MS = 1000,
    ROLLBACK_MARGIN_MS = 1000,
    ALL = -1,
    /* The newest slot is not complete. */
    SHORTEST_WINDOW_SLOTS = 2,
    SHORT_WINDOW_SLOTS = 4,
    MIDDLE_WINDOW_SLOTS = 8,
    FAILURES_MIN = 3,
    REST_FAILURES_MIN = 2,
    SINGLE_FAILURES_MIN = 8,
    SINGLE_FAILING_SLOTS = 5, /* of the middle window */
    SINGLE_SLOT_ONE_IN = 20,
    SLOW_MIN_RESPONSES = 16,
    SLOW_UPSTREAM_MIN_RESPONSES = 5,
    SINGLE_SLOW_MIN_RESPONSES = 25,
    BASELINE_MIN_RESPONSES = 5
};

/* Logarithm of the likelihood ratio from which on failures are no chance. Some
 * hundred tests are made in a rollout. */
static const double FAILURES_EVIDENCE = 9;
static const double REST_EVIDENCE = 4.5;
/* For a single upstream, and if the baseline is not known. */
static const double STRONG_EVIDENCE = 15;
static const double FAILURE_RATE_FLOOR = 0.004;
static const double FAILURE_RATE_UNKNOWN = 0.03;
static const double FAILURE_RATE_EXCESS = 0.05;
/* Classes: 3 times slower is 1.58, a cold upstream 1, a slow neighbour
 * 1.32. */
static const double SLOW_CLASSES = 1.15;
static const double SLOW_ROUTE_CLASSES = 1.2;
static const double SLOW_UPSTREAM_CLASSES = 0.8;
static const double SLOW_SINGLE_CLASSES = 1.45;
static const double SLOW_SURE_CLASSES = 0.6;
static const double SLOW_ERRORS = 3.5;
static const double VARIANCE_DEFAULT = 1;
static const double VARIANCE_FLOOR = 0.2;

/* What is compared. */
struct selection {
    uint32_t slots; /* the newest ones */
    int route;      /* or ALL */
    int only;       /* upstream of the target, or ALL */
    int without;    /* upstream of the target, or ALL: none */
};

/* Comparison of the two versions. */
struct comparison {
    double responses; /* of the target */
    double failures;
    double expected_failures;  /* of the target, at the rate of the baseline */
    double baseline_responses; /* 0: the baseline is not known */
    double baseline_failures;
    double timed;       /* responses of the target with durations */
    double difference;  /* of mean duration classes, target less baseline */
    double error;       /* standard error of it */
    uint32_t upstreams; /* of the target, with responses */
};

/* Returns the index of a slot in the ring. */
static uint32_t
slot_index(const struct bb_rollout *r, uint32_t age)
{
    return (uint32_t)((r->slot - age) % BB_ROLLOUT_SLOTS);
}

/* Clears one slot of the ring. */
static void
clear_slot(struct bb_rollout *r, uint32_t index)
{
    for (uint32_t v = 0; v < 2; v++) {
        for (uint32_t route = 0; route < r->route_count; route++) {
            memset(&r->totals[v][route].slots[index], 0,
                   sizeof(struct bb_rollout_sums));
            for (uint32_t u = 0; u < r->upstream_count[v]; u++) {
                memset(&r->cells[v][route][u].slots[index], 0,
                       sizeof(struct bb_rollout_sums));
            }
        }
    }
}

/* Starts the slots up to the current time. */
static void
advance_slots(struct bb_rollout *r, uint64_t now_us)
{
    uint64_t slot = now_us / ((uint64_t)BB_ROLLOUT_SLOT_MS * US_PER_MS);
    uint64_t from = r->slot + 1;

    if (slot <= r->slot) {
        return;
    }
    if (slot - r->slot > BB_ROLLOUT_SLOTS) {
        from = slot - BB_ROLLOUT_SLOTS + 1;
    }
    for (uint64_t i = from; i <= slot; i++) {
        clear_slot(r, (uint32_t)(i % BB_ROLLOUT_SLOTS));
    }
    r->slot = slot;
}

/* Returns the index of a route, added if it is new and there is room. */
static uint32_t
find_route(struct bb_rollout *r, uint64_t id)
{
    for (uint32_t i = 0; i < r->route_count; i++) {
        if (r->route_ids[i] == id) {
            return i;
        }
    }
    if (r->route_count == BB_ROLLOUT_ROUTES_MAX) {
        return BB_ROLLOUT_ROUTES_MAX - 1;
    }
    r->route_ids[r->route_count] = id;
    return r->route_count++;
}

/* Returns the index of an upstream, added if it is new and there is room. */
static uint32_t
find_upstream(struct bb_rollout *r, uint32_t version, uint64_t id)
{
    uint32_t count = r->upstream_count[version];

    for (uint32_t i = 0; i < count; i++) {
        if (r->upstreams[version][i].id == id) {
            return i;
        }
    }
    if (count == BB_ROLLOUT_UPSTREAMS_MAX) {
        return BB_ROLLOUT_UPSTREAMS_MAX - 1;
    }
    r->upstreams[version][count].id = id;
    r->upstream_count[version]++;
    return count;
}

/* Adds sums to others. */
static void
add_sums(struct bb_rollout_sums *to, const struct bb_rollout_sums *s)
{
    to->responses += s->responses;
    to->failures += s->failures;
    to->timed += s->timed;
    to->classes += s->classes;
    to->classes_sq += s->classes_sq;
}

/* Adds the durations of a report, less a number of classes. */
static void
add_durations(struct bb_rollout_sums *s, const struct bb_rollout_evidence *e,
              float less)
{
    for (uint32_t i = 0; i < BB_ROLLOUT_DURATION_CLASSES; i++) {
        float value = (float)i - less;

        s->timed += e->durations[i];
        s->classes += value * (float)e->durations[i];
        s->classes_sq += value * value * (float)e->durations[i];
    }
}

/* Returns whether an upstream of the target may still be cold. That must end
 * well before a bad version has to be rolled back. */
static bool
is_cold(const struct bb_rollout *r, const struct bb_rollout_upstream *u,
        uint64_t now_us)
{
    bool was_in_use =
        r->is_resumed && u->first_us - r->first_evidence_us <
                             (uint64_t)BB_ROLLOUT_RESUMED_MS * US_PER_MS;

    uint64_t cold_ms = BB_ROLLOUT_COLD_MS;

    if (r->bounds.rollback_ms < cold_ms + ROLLBACK_MARGIN_MS) {
        cold_ms = r->bounds.rollback_ms > ROLLBACK_MARGIN_MS
                      ? r->bounds.rollback_ms - ROLLBACK_MARGIN_MS
                      : 0;
    }
    return !was_in_use && now_us - u->first_us < cold_ms * US_PER_MS;
}

/* Adds a report of a node. The duration of a cold upstream of the target
 * counts as half. */
void
bb_rollout_add_evidence(struct bb_rollout *r,
                        const struct bb_rollout_evidence *e, uint64_t now_us)
{
    struct bb_rollout_sums s = {.responses = e->responses,
                                .failures = e->failures};
    struct bb_rollout_upstream *u;
    uint32_t route;
    uint32_t upstream;
    uint32_t slot;

    advance_slots(r, now_us);
    if (e->version == BB_ROLLOUT_BASELINE &&
        (e->in_flight > 0 || e->responses > 0)) {
        r->baseline_busy_us = now_us;
    }
    if (e->responses == 0) {
        return;
    }
    if (r->first_evidence_us == 0) {
        r->first_evidence_us = now_us;
    }
    r->responses[e->version] += e->responses;
    route = find_route(r, e->route_id);
    upstream = find_upstream(r, e->version, e->upstream_id);
    u = &r->upstreams[e->version][upstream];
    u->first_us = u->first_us == 0 ? now_us : u->first_us;
    add_durations(&s, e,
                  e->version == BB_ROLLOUT_TARGET && is_cold(r, u, now_us));
    slot = slot_index(r, 0);
    add_sums(&r->cells[e->version][route][upstream].slots[slot], &s);
    add_sums(&r->totals[e->version][route].slots[slot], &s);
}

/* Returns the sums of a route and version in one slot: of the upstream `only`,
 * of all but `without`, or of all if both are ALL. */
static struct bb_rollout_sums
sum_slot(const struct bb_rollout *r, uint32_t version, uint32_t route,
         uint32_t slot, int only, int without)
{
    struct bb_rollout_sums s = {0};

    if (only != ALL) {
        return r->cells[version][route][only].slots[slot];
    }
    if (without == ALL) {
        return r->totals[version][route].slots[slot];
    }
    for (uint32_t u = 0; u < r->upstream_count[version]; u++) {
        if ((int)u != without) {
            add_sums(&s, &r->cells[version][route][u].slots[slot]);
        }
    }
    return s;
}

/* Returns the sums of the baseline on a route over the last four seconds, or,
 * once all traffic has moved, those before that. */
static struct bb_rollout_sums
sum_recent_baseline(const struct bb_rollout *r, uint32_t route)
{
    struct bb_rollout_sums s = {0};

    if (r->share_permille == BB_ROLLOUT_PERMILLE) {
        return r->last_baseline[route];
    }
    for (uint32_t i = 0; i < MIDDLE_WINDOW_SLOTS; i++) {
        struct bb_rollout_sums slot = sum_slot(r, BB_ROLLOUT_BASELINE, route,
                                               slot_index(r, i), ALL, ALL);

        add_sums(&s, &slot);
    }
    return s;
}

/* Stores the sums of the baseline, which gets no more requests. */
void
rollout_keep_baseline(struct bb_rollout *r, uint64_t now_us)
{
    advance_slots(r, now_us);
    for (uint32_t route = 0; route < r->route_count; route++) {
        r->last_baseline[route] = sum_recent_baseline(r, route);
    }
}

/* Returns the variance of a mean of duration classes. */
static double
mean_variance(const struct bb_rollout_sums *s)
{
    double mean = s->classes / s->timed;
    double variance = s->classes_sq / s->timed - mean * mean;

    if (s->timed < BASELINE_MIN_RESPONSES) {
        variance = VARIANCE_DEFAULT;
    }
    return (variance > VARIANCE_FLOOR ? variance : VARIANCE_FLOOR) / s->timed;
}

/* Adds the comparison of one slot of a route. *variance receives that of the
 * sum of the differences. */
static void
add_slot(struct comparison *c, const struct bb_rollout_sums *t,
         const struct bb_rollout_sums *b, double *variance)
{
    c->responses += t->responses;
    c->failures += t->failures;
    if (b->responses > 0) {
        c->expected_failures +=
            (double)t->responses * b->failures / b->responses;
        c->baseline_responses += b->responses;
        c->baseline_failures += b->failures;
    }
    if (t->timed == 0 || b->timed < BASELINE_MIN_RESPONSES) {
        return;
    }
    c->timed += t->timed;
    c->difference += t->timed * ((double)t->classes / t->timed -
                                 (double)b->classes / b->timed);
    *variance +=
        (double)t->timed * t->timed * (mean_variance(t) + mean_variance(b));
}

/* Compares the versions. In a slot in which the baseline has too few responses
 * its last seconds are used. */
static struct comparison
compare(const struct bb_rollout *r, const struct selection *s)
{
    struct comparison c = {0};
    double variance = 0;

    for (uint32_t route = 0; route < r->route_count; route++) {
        struct bb_rollout_sums recent;

        if (s->route != ALL && (int)route != s->route) {
            continue;
        }
        recent = sum_recent_baseline(r, route);
        for (uint32_t i = 0; i < s->slots; i++) {
            uint32_t slot = slot_index(r, i);
            struct bb_rollout_sums t = sum_slot(r, BB_ROLLOUT_TARGET, route,
                                                slot, s->only, s->without);
            struct bb_rollout_sums b;

            if (t.responses == 0) {
                continue;
            }
            b = sum_slot(r, BB_ROLLOUT_BASELINE, route, slot, ALL, ALL);
            add_slot(&c, &t, b.timed < BASELINE_MIN_RESPONSES ? &recent : &b,
                     &variance);
        }
    }
    if (c.timed > 0) {
        c.difference /= c.timed;
        c.error = sqrt(variance) / c.timed;
    }
    return c;
}

/* Returns how much better the target's own failure rate explains its failures
 * than the baseline's does, as a logarithm; 0 if it is not higher. */
static double
failure_evidence(const struct comparison *c)
{
    double n = c->responses;
    double k = c->failures;
    double base = FAILURE_RATE_UNKNOWN;
    double own = n > 0 ? k / n : 0;
    double evidence;

    if (c->baseline_responses > 0) {
        base = c->expected_failures / (n + 1) +
               (1 + sqrt(c->baseline_failures)) / (c->baseline_responses + 2);
    }
    base = base > FAILURE_RATE_FLOOR ? base : FAILURE_RATE_FLOOR;
    if (own < base + FAILURE_RATE_EXCESS) {
        return 0;
    }
    evidence = k * log(own / base);
    if (n > k) {
        evidence += (n - k) * log((1 - own) / (1 - base));
    }
    return evidence;
}

/* Returns the target's upstream with the most failures, and in *count how many
 * have responses. */
static int
find_worst(const struct bb_rollout *r, const struct selection *s,
           uint32_t *count)
{
    double worst_failures = -1;
    int worst = ALL;

    *count = 0;
    for (uint32_t u = 0; u < r->upstream_count[BB_ROLLOUT_TARGET]; u++) {
        struct selection one = *s;
        struct comparison c;

        one.only = (int)u;
        c = compare(r, &one);
        *count += c.responses > 0;
        if (c.responses > 0 && c.failures > worst_failures) {
            worst = (int)u;
            worst_failures = c.failures;
        }
    }
    return worst;
}

/* Returns whether failures of the only upstream show that the version is bad:
 * they must go on for longer than those of a killed one. */
static bool
is_single_failing(const struct bb_rollout *r, const struct selection *s,
                  const struct comparison *c)
{
    uint32_t failing_slots = 0;

    for (uint32_t i = 0; i < s->slots; i++) {
        struct bb_rollout_sums sums = {0};

        for (uint32_t route = 0; route < r->route_count; route++) {
            add_sums(&sums, &r->cells[BB_ROLLOUT_TARGET][route][0]
                                 .slots[slot_index(r, i)]);
        }
        failing_slots += sums.failures > 0 &&
                         sums.failures * SINGLE_SLOT_ONE_IN >= sums.responses;
    }
    return r->upstream_count[BB_ROLLOUT_TARGET] == 1 &&
           s->slots == MIDDLE_WINDOW_SLOTS &&
           failing_slots >= SINGLE_FAILING_SLOTS &&
           failure_evidence(c) >= STRONG_EVIDENCE &&
           c->failures >= SINGLE_FAILURES_MIN;
}

/* Returns whether the target fails more often than the baseline, given their
 * comparison. Sets its `upstreams` unless there are too few failures. */
static bool
is_failing(const struct bb_rollout *r, const struct selection *s,
           struct comparison *c)
{
    struct selection others = *s;
    struct comparison rest;

    if (c->failures < FAILURES_MIN ||
        failure_evidence(c) < (c->baseline_responses > 0 ? FAILURES_EVIDENCE
                                                         : STRONG_EVIDENCE)) {
        return false;
    }
    others.without = find_worst(r, s, &c->upstreams);
    if (c->upstreams <= 1) {
        return is_single_failing(r, s, c);
    }
    rest = compare(r, &others);
    return rest.failures >= REST_FAILURES_MIN &&
           failure_evidence(&rest) >= REST_EVIDENCE;
}

/* Returns whether most of the target's upstreams are slow: all of up to three,
 * three of four, six of eight. *count receives how many have responses in the
 * last four seconds, or in the window if that is longer. */
static bool
are_most_slow(const struct bb_rollout *r, const struct selection *s,
              uint32_t *count)
{
    uint32_t slow = 0;

    *count = 0;
    for (uint32_t u = 0; u < r->upstream_count[BB_ROLLOUT_TARGET]; u++) {
        struct selection one = *s;
        struct comparison c;

        one.only = (int)u;
        c = compare(r, &one);
        slow += c.timed >= SLOW_UPSTREAM_MIN_RESPONSES &&
                c.difference >= SLOW_UPSTREAM_CLASSES;
        if (one.slots < MIDDLE_WINDOW_SLOTS) {
            one.slots = MIDDLE_WINDOW_SLOTS;
            c = compare(r, &one);
        }
        *count += c.timed >= SLOW_UPSTREAM_MIN_RESPONSES;
    }
    return *count >= 2 && slow >= *count - *count / 4;
}

/* Returns whether the target is several times slower than the baseline, given
 * their comparison. Sets its `upstreams` unless it is as fast. */
static bool
is_slow(const struct bb_rollout *r, const struct selection *s,
        struct comparison *c)
{
    if (c->timed < SLOW_MIN_RESPONSES ||
        c->difference <
            (s->route == ALL ? SLOW_CLASSES : SLOW_ROUTE_CLASSES) ||
        c->difference - SLOW_ERRORS * c->error < SLOW_SURE_CLASSES) {
        return false;
    }
    if (r->upstream_count[BB_ROLLOUT_TARGET] == 1) {
        c->upstreams = 1;
        return s->slots > SHORT_WINDOW_SLOTS &&
               c->timed >= SINGLE_SLOW_MIN_RESPONSES &&
               c->difference >= SLOW_SINGLE_CLASSES;
    }
    return are_most_slow(r, s, &c->upstreams);
}

/* Writes a comparison as a line for the log. */
static void
describe(const struct comparison *c, const char *what,
         const struct selection *s, char reason[BB_ROLLOUT_REASON_BYTES])
{
    (void)snprintf(
        reason, BB_ROLLOUT_REASON_BYTES,
        "%s: target %.0f failures of %.0f, baseline %.0f of %.0f, duration "
        "class %+.2f (error %.2f), window %u ms, route %d, %u upstreams",
        what, c->failures, c->responses, c->baseline_failures,
        c->baseline_responses, c->difference, c->error,
        s->slots * BB_ROLLOUT_SLOT_MS, s->route, c->upstreams);
}

/* Returns whether the evidence shows that the target is bad, and writes the
 * evidence to `reason`. */
bool
rollout_find_fault(struct bb_rollout *r, uint64_t now_us,
                   char reason[BB_ROLLOUT_REASON_BYTES])
{
    static const uint32_t windows[] = {SHORTEST_WINDOW_SLOTS,
                                       SHORT_WINDOW_SLOTS, MIDDLE_WINDOW_SLOTS,
                                       BB_ROLLOUT_SLOTS};

    advance_slots(r, now_us);
    for (size_t w = 0; w < sizeof(windows) / sizeof(windows[0]); w++) {
        for (int route = ALL; route < (int)r->route_count; route++) {
            const struct selection s = {.slots = windows[w],
                                        .route = route,
                                        .only = ALL,
                                        .without = ALL};
            struct comparison c = compare(r, &s);

            if (is_failing(r, &s, &c)) {
                describe(&c, "failures", &s, reason);
                return true;
            }
            if (is_slow(r, &s, &c)) {
                describe(&c, "slow", &s, reason);
                return true;
            }
        }
    }
    return false;
}

/* Writes the evidence of the last 16 s to `reason`. */
void
rollout_describe(struct bb_rollout *r, uint64_t now_us,
                 char reason[BB_ROLLOUT_REASON_BYTES])
{
    const struct selection s = {
        .slots = BB_ROLLOUT_SLOTS, .route = ALL, .only = ALL, .without = ALL};
    struct comparison c;

    advance_slots(r, now_us);
    c = compare(r, &s);
    (void)find_worst(r, &s, &c.upstreams);
    describe(&c, "no evidence against the target", &s, reason);
}
