#include "decide/route_pick.h"

#include <math.h>
#include <string.h>

#include "common/clock.h"

enum {
    PERCENT = 100,
    /* Half-life of a reported load. */
    REPORT_HALF_LIFE_US = 500000,
    REPORT_HALVINGS_MAX = 20,
    /* Zone or region are saturated while the requests that run or wait at each
     * of their gatekeepers reach this share of the slots. Calls overflow to
     * the next distance from the first threshold and return below the second.
     */
    ZONE_OVERFLOW_PERCENT = 100,
    ZONE_RETURN_PERCENT = 75,
    REGION_OVERFLOW_PERCENT = 200,
    REGION_RETURN_PERCENT = 120,
    /* The region must be saturated this long before calls use the paid link,
     * so that a shorter burst costs no link bytes. */
    REGION_OVERFLOW_DELAY_US = 100000,
    CONNECT_BACKOFF_US = 200000,
    CONNECT_BACKOFF_DOUBLINGS_MAX = 5,
    LATENCY_DEFAULT_US = 1000
};

static const double latency_ewma_weight_down = 0.1;
static const double latency_ewma_weight_up = 0.3;

/* Initialises a candidate at full weight, without load or observations. */
void
bb_route_candidate_init(struct bb_route_candidate *c, uint64_t key,
                        enum bb_route_distance distance, uint32_t slots)
{
    *c = (struct bb_route_candidate){.key = key,
                                     .distance = distance,
                                     .slots = slots,
                                     .weight_permille =
                                         BB_ROUTE_WEIGHT_FULL_PERMILLE};
}

/* Updates a candidate with the load that its gatekeeper reported at now_us
 * with a response. */
void
bb_route_candidate_update_load(struct bb_route_candidate *c, uint32_t running,
                               uint32_t queued, uint32_t slots,
                               uint64_t now_us)
{
    c->running = running;
    c->queued = queued;
    c->slots = slots;
    c->reported_us = now_us;
    c->in_flight_at_report = c->in_flight;
}

/* Counts a call that is sent to a candidate. */
void
bb_route_candidate_start(struct bb_route_candidate *c)
{
    c->in_flight++;
}

/* Counts the end of a call. The latency (0: not measured) of a successful call
 * enters a moving average of its logarithm that rises faster than it falls. */
void
bb_route_candidate_finish(struct bb_route_candidate *c,
                          enum bb_admission_class work_class,
                          uint64_t latency_us, bool is_success)
{
    double *mean = &c->latency_log_us[work_class];
    double value = latency_us > 0 ? log((double)latency_us) : 0;

    if (c->in_flight > 0) {
        c->in_flight--;
    }
    if (c->in_flight_at_report > c->in_flight) {
        c->in_flight_at_report = c->in_flight;
    }
    if (!is_success || latency_us == 0) {
        return;
    }
    c->connect_failures = 0;
    if (c->observations[work_class] == 0) {
        *mean = value;
    }
    else {
        *mean += (value - *mean) * (value > *mean ? latency_ewma_weight_up
                                                  : latency_ewma_weight_down);
    }
    if (c->observations[work_class] < UINT32_MAX) {
        c->observations[work_class]++;
    }
}

/* Counts the end of a call for which no connection could be made. The
 * candidate gets no calls for a time that doubles with each failure in a row.
 */
void
bb_route_candidate_connect_failed(struct bb_route_candidate *c,
                                  uint64_t now_us)
{
    if (c->in_flight > 0) {
        c->in_flight--;
    }
    if (c->in_flight_at_report > c->in_flight) {
        c->in_flight_at_report = c->in_flight;
    }
    if (c->connect_failures < UINT32_MAX) {
        c->connect_failures++;
    }
    c->last_connect_failure_us = now_us;
}

/* Returns whether the backoff after a failed connect is over. */
static bool
is_past_connect_backoff(const struct bb_route_candidate *c, uint64_t now_us)
{
    uint32_t doublings = c->connect_failures;

    if (doublings == 0) {
        return true;
    }
    doublings = doublings - 1 < CONNECT_BACKOFF_DOUBLINGS_MAX
                    ? doublings - 1
                    : CONNECT_BACKOFF_DOUBLINGS_MAX;
    return now_us >= c->last_connect_failure_us +
                         ((uint64_t)CONNECT_BACKOFF_US << doublings);
}

/* Estimates how many requests run or wait at the gatekeeper: the reported
 * load, which decays with age, plus this node's calls since the report; at
 * least this node's calls in flight. */
uint32_t
bb_route_candidate_estimate_load(const struct bb_route_candidate *c,
                                 uint64_t now_us)
{
    uint64_t age_us = now_us > c->reported_us ? now_us - c->reported_us : 0;
    uint64_t halvings = age_us / REPORT_HALF_LIFE_US;
    uint32_t reported = 0;
    uint32_t sent_since_report = c->in_flight - c->in_flight_at_report;

    if (c->reported_us > 0 && halvings < REPORT_HALVINGS_MAX) {
        reported = (c->running + c->queued) >> halvings;
    }
    return reported + sent_since_report > c->in_flight
               ? reported + sent_since_report
               : c->in_flight;
}

/* Returns the expected duration of one more call, in microseconds: the usual
 * latency times the number of requests per slot, including this call. If a
 * short call in flight is already older than the usual latency, its age is
 * used, so that a slow gatekeeper is noticed before it responds. */
double
bb_route_candidate_expected_duration_us(const struct bb_route_candidate *c,
                                        enum bb_admission_class work_class,
                                        uint64_t now_us)
{
    double latency_us = c->observations[work_class] > 0
                            ? exp(c->latency_log_us[work_class])
                            : LATENCY_DEFAULT_US;
    double slots = c->slots > 0 ? c->slots : 1;
    double requests = bb_route_candidate_estimate_load(c, now_us) + 1.0;

    if (work_class == BB_ADMISSION_CLASS_SHORT &&
        (double)c->oldest_short_call_age_us > latency_us) {
        latency_us = (double)c->oldest_short_call_age_us;
    }
    return latency_us * requests / slots;
}

/* Returns whether the requests at a gatekeeper reach a share of its slots. */
static bool
is_saturated(const struct bb_route_candidate *c, uint32_t percent,
             uint64_t now_us)
{
    return (uint64_t)bb_route_candidate_estimate_load(c, now_us) * PERCENT >=
           (uint64_t)c->slots * percent;
}

/* Sets the rate of the byte budget, which is also the most bytes that can be
 * saved up. At the first call the budget is full; later calls keep the tokens,
 * but drop those earned since the last update. */
void
bb_link_budget_configure(struct bb_link_budget *b, uint64_t bytes_per_s,
                         uint64_t now_us)
{
    if (b->updated_us == 0) {
        b->tokens_bytes = (int64_t)bytes_per_s;
    }
    b->bytes_per_s = bytes_per_s;
    b->updated_us = now_us;
}

/* Adds the tokens since the last update; at most one second's worth is kept.
 */
static void
refill_tokens(struct bb_link_budget *b, uint64_t now_us)
{
    uint64_t elapsed_us = now_us > b->updated_us ? now_us - b->updated_us : 0;
    int64_t limit = (int64_t)b->bytes_per_s;

    if (elapsed_us > (uint64_t)BB_US_PER_S * BB_US_PER_S) {
        elapsed_us = (uint64_t)BB_US_PER_S * BB_US_PER_S;
    }
    b->tokens_bytes +=
        (int64_t)((double)elapsed_us * (double)b->bytes_per_s / BB_US_PER_S);
    if (b->tokens_bytes > limit) {
        b->tokens_bytes = limit;
    }
    b->updated_us = now_us;
}

/* Returns whether a call may use the paid link now. */
bool
bb_link_budget_has_tokens(struct bb_link_budget *b, uint64_t now_us)
{
    if (b->bytes_per_s == 0) {
        return false;
    }
    refill_tokens(b, now_us);
    return b->tokens_bytes > 0;
}

/* Charges bytes sent over the paid link; the budget may become negative. */
void
bb_link_budget_charge(struct bb_link_budget *b, uint64_t size_bytes,
                      uint64_t now_us)
{
    refill_tokens(b, now_us);
    b->tokens_bytes -= (int64_t)size_bytes;
}

/* Returns whether this call has already tried a gatekeeper. */
static bool
is_excluded(const struct bb_route_request *r, uint64_t key)
{
    for (uint32_t i = 0; i < r->excluded_count && i < BB_ROUTE_EXCLUDED_MAX;
         i++) {
        if (r->excluded[i] == key) {
            return true;
        }
    }
    return false;
}

/* Returns whether a candidate can be reached and accepts requests at all. A
 * report of no slots (starting, shedding or draining) is believed until its
 * age reaches REPORT_HALF_LIFE_US. */
static bool
is_available(const struct bb_route_candidate *c,
             const struct bb_route_request *r, uint64_t now_us)
{
    bool has_no_slots = c->slots == 0 && c->reported_us > 0 &&
                        now_us < c->reported_us + REPORT_HALF_LIFE_US;

    return !c->is_draining && !has_no_slots && !is_excluded(r, c->key) &&
           is_past_connect_backoff(c, now_us);
}

/* Returns whether a candidate is available and its weight admits this call: a
 * call that may probe needs any weight, others more than that of a probe. */
static bool
is_usable(const struct bb_route_candidate *c, const struct bb_route_request *r,
          uint64_t now_us)
{
    uint32_t weight_floor = r->can_probe ? 0 : BB_ROUTE_WEIGHT_PROBE_PERMILLE;

    return is_available(c, r, now_us) && c->weight_permille > weight_floor;
}

/* Returns whether every usable gatekeeper up to a distance is saturated. */
static bool
is_saturated_within(const struct bb_route_candidate *const *candidates,
                    uint32_t count, const struct bb_route_request *r,
                    enum bb_route_distance distance, uint32_t percent,
                    uint64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct bb_route_candidate *c = candidates[i];

        if (c->distance <= distance && is_usable(c, r, now_us) &&
            !is_saturated(c, percent, now_us)) {
            return false;
        }
    }
    return true;
}

/* Returns whether every gatekeeper of the local region is saturated or
 * unavailable. Ejected ones count as available: they are slow, but cost no
 * link bytes. */
static bool
is_region_saturated(const struct bb_route_candidate *const *candidates,
                    uint32_t count, const struct bb_route_request *r,
                    uint32_t percent, uint64_t now_us)
{
    for (uint32_t i = 0; i < count; i++) {
        const struct bb_route_candidate *c = candidates[i];

        if (c->distance != BB_ROUTE_OTHER_REGION &&
            is_available(c, r, now_us) && !is_saturated(c, percent, now_us)) {
            return false;
        }
    }
    return true;
}

/* Updates whether calls overflow from the zone and from the region, with a
 * lower threshold for the return (hysteresis). */
static void
update_overflow(struct bb_route_state *s,
                const struct bb_route_candidate *const *candidates,
                uint32_t count, const struct bb_route_request *r,
                uint64_t now_us)
{
    uint32_t zone =
        s->is_zone_overflowing ? ZONE_RETURN_PERCENT : ZONE_OVERFLOW_PERCENT;
    uint32_t region = s->is_region_overflowing ? REGION_RETURN_PERCENT
                                               : REGION_OVERFLOW_PERCENT;

    s->is_zone_overflowing = is_saturated_within(
        candidates, count, r, BB_ROUTE_SAME_ZONE, zone, now_us);
    if (!is_region_saturated(candidates, count, r, region, now_us)) {
        s->is_region_overflowing = false;
        s->region_saturated_since_us = 0;
        return;
    }
    if (s->region_saturated_since_us == 0) {
        s->region_saturated_since_us = now_us;
    }
    if (now_us >= s->region_saturated_since_us + REGION_OVERFLOW_DELAY_US) {
        s->is_region_overflowing = true;
    }
}

/* Collects the indexes of the candidates up to a distance that are usable or,
 * with only_usable false, at least available. Returns how many. */
static uint32_t
collect_candidates(const struct bb_route_candidate *const *candidates,
                   uint32_t count, const struct bb_route_request *r,
                   enum bb_route_distance distance, bool only_usable,
                   uint64_t now_us, uint32_t *indexes)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < count && n < BB_ROUTE_CANDIDATES_MAX; i++) {
        const struct bb_route_candidate *c = candidates[i];

        /* A hedge that waits in a queue does not speed up its request, and
         * takes a slot later. */
        if (r->is_hedge &&
            bb_route_candidate_estimate_load(c, now_us) >= c->slots) {
            continue;
        }
        if (c->distance <= distance &&
            (only_usable ? is_usable(c, r, now_us)
                         : is_available(c, r, now_us))) {
            indexes[n++] = i;
        }
    }
    return n;
}

/* Collects the usable candidates of the local zone or, if the zone overflows,
 * of the region. If the zone overflows and all usable ones of the region are
 * full, ejected ones are added: a slow one with a free slot is better than a
 * queue, and may have recovered. If there is none, collects the usable ones of
 * the region, and if there is none of these either, all available ones of the
 * region. Returns how many. */
static uint32_t
collect_region(const struct bb_route_state *s,
               const struct bb_route_candidate *const *candidates,
               uint32_t count, const struct bb_route_request *r,
               uint64_t now_us, uint32_t *indexes)
{
    enum bb_route_distance distance =
        s->is_zone_overflowing ? BB_ROUTE_SAME_REGION : BB_ROUTE_SAME_ZONE;
    bool is_full =
        s->is_zone_overflowing &&
        is_saturated_within(candidates, count, r, BB_ROUTE_SAME_REGION,
                            ZONE_OVERFLOW_PERCENT, now_us);
    uint32_t n = collect_candidates(candidates, count, r, distance, !is_full,
                                    now_us, indexes);

    if (n == 0) {
        n = collect_candidates(candidates, count, r, BB_ROUTE_SAME_REGION,
                               true, now_us, indexes);
    }
    if (n == 0) {
        n = collect_candidates(candidates, count, r, BB_ROUTE_SAME_REGION,
                               false, now_us, indexes);
    }
    return n;
}

/* Chooses a gatekeeper for a call, and charges r->link_bytes to the link
 * budget if it is in the other region. The caller then counts the call with
 * bb_route_candidate_start. At most BB_ROUTE_CANDIDATES_MAX candidates are
 * considered. If no gatekeeper of the local region is available, the call goes
 * to the other region at once; if all are saturated, only after
 * REGION_OVERFLOW_DELAY_US. A call that has already tried every available
 * gatekeeper of the local region gets no choice, unless the region overflows.
 * A hedge never uses the link. Without a choice the index is -1 and the reason
 * is BB_REASON_NO_UPSTREAM or BB_REASON_LINK_BUDGET. */
struct bb_route_choice
bb_route_pick(const struct bb_routing_policy *policy, struct bb_route_state *s,
              const struct bb_route_candidate *const *candidates,
              uint32_t count, const struct bb_route_request *r,
              struct bb_link_budget *link, uint64_t random_bits,
              uint64_t now_us)
{
    struct bb_route_choice choice = {.index = -1,
                                     .reason = BB_REASON_NO_UPSTREAM};
    struct bb_route_request without_exclusions = *r;
    uint32_t indexes[BB_ROUTE_CANDIDATES_MAX];
    uint32_t n;
    uint32_t position;

    /* A gatekeeper that this call has already tried still counts as part of
     * the region: excluding it must not make the region look saturated. */
    without_exclusions.excluded_count = 0;
    update_overflow(s, candidates, count, &without_exclusions, now_us);
    n = collect_region(s, candidates, count, r, now_us, indexes);
    if (n == 0 && !s->is_region_overflowing &&
        collect_region(s, candidates, count, &without_exclusions, now_us,
                       indexes) > 0) {
        return choice;
    }
    /* The first attempt of a hedged call runs in the region, so a hedge does
     * not justify the cost of the link. */
    if (!r->is_hedge && (s->is_region_overflowing || n == 0)) {
        /* The usable candidates of all distances, local ones too: the policy
         * chooses among them together. */
        uint32_t all_indexes[BB_ROUTE_CANDIDATES_MAX];
        uint32_t all_count =
            collect_candidates(candidates, count, r, BB_ROUTE_OTHER_REGION,
                               true, now_us, all_indexes);

        if (all_count > n && bb_link_budget_has_tokens(link, now_us)) {
            memcpy(indexes, all_indexes, all_count * sizeof(all_indexes[0]));
            n = all_count;
        }
        else if (all_count > n) {
            choice.reason = BB_REASON_LINK_BUDGET;
        }
    }
    if (n == 0) {
        return choice;
    }
    position =
        policy->choose(s, candidates, indexes, n, r, random_bits, now_us);
    choice.index = (int32_t)indexes[position < n ? position : 0];
    choice.reason = BB_REASON_NONE;
    if (candidates[choice.index]->distance == BB_ROUTE_OTHER_REGION) {
        bb_link_budget_charge(link, r->link_bytes, now_us);
    }
    return choice;
}
