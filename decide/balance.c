/* Choice of a gate for one attempt. */
#include "decide/balance.h"

enum {
    PERCENT = 100,
    /* After the tiers that are an enum bb_distance. */
    NOT_COMFORTABLE = BB_OTHER_REGION + 1,
    /* Before the first report: an ordinary duration. */
    FIRST_SERVICE_US = 100 * 1000,
    /* Requests of equal cost are spread by so much. */
    JITTER_US = 4000
};

/* Estimates how many requests a gate holds: its report, which fades, and the
 * own ones since. */
static uint32_t
held(const struct bb_gate_view *v, uint64_t now_us)
{
    uint32_t reported = v->running + v->queued;
    uint32_t since = v->in_flight > v->in_flight_at_report
                         ? v->in_flight - v->in_flight_at_report
                         : 0;

    if (v->reported_us == 0 ||
        now_us - v->reported_us > 2 * BB_BALANCE_REPORT_HALF_US) {
        reported = reported > v->slots / 2 ? v->slots / 2 : reported;
    }
    else if (now_us - v->reported_us > BB_BALANCE_REPORT_HALF_US) {
        reported /= 2;
    }
    reported += since;
    return reported > v->in_flight ? reported : v->in_flight;
}

/* Returns the usual time to an answer of a class, from the own requests, or
 * else of all requests there. */
static uint64_t
class_us(const struct bb_gate_view *v, uint32_t class_index)
{
    uint32_t own_us = v->class_us[class_index % BB_BALANCE_CLASSES];

    if (own_us != 0) {
        return own_us;
    }
    return v->service_us != 0 ? v->service_us : FIRST_SERVICE_US;
}

/* Notes how long an answer took. */
void
bb_gate_view_answered(struct bb_gate_view *v, uint32_t class_index,
                      uint64_t took_us)
{
    uint32_t *own_us = &v->class_us[class_index % BB_BALANCE_CLASSES];
    uint64_t sum;

    if (took_us > UINT32_MAX) {
        took_us = UINT32_MAX;
    }
    sum = *own_us == 0
              ? took_us * BB_BALANCE_AVERAGE_PARTS
              : (uint64_t)*own_us * (BB_BALANCE_AVERAGE_PARTS - 1) + took_us;
    *own_us = (uint32_t)(sum / BB_BALANCE_AVERAGE_PARTS);
}

/* Estimates the wait for a slot at a gate. */
uint64_t
bb_balance_wait_us(const struct bb_gate_view *v, uint64_t now_us)
{
    uint32_t n = held(v, now_us);
    uint64_t service_us =
        v->service_us != 0 ? v->service_us : FIRST_SERVICE_US;

    if (v->slots == 0) {
        return UINT32_MAX;
    }
    return n < v->slots ? 0 : (n - v->slots + 1) * service_us / v->slots;
}

/* Returns whether a gate may get the second send of a slow request: one of the
 * own region that has room to spare, so that it takes no slot from others. */
bool
bb_balance_may_hedge(const struct bb_gate_view *v, uint64_t now_us)
{
    return v->distance <= BB_SAME_REGION &&
           held(v, now_us) * PERCENT <=
               v->slots * (uint32_t)BB_BALANCE_HEDGE_USED_PERCENT;
}

/* Returns what is left of a share of failures after a time. */
uint32_t
bb_balance_fade(uint32_t permille, uint64_t age_us)
{
    uint64_t halves = age_us / BB_BALANCE_FAILING_HALF_US;

    return halves < 31 ? permille >> halves : 0;
}

/* Returns the share of failures to be expected of a gate. */
static uint32_t
failing_permille(const struct bb_gate_view *v, uint64_t now_us)
{
    return bb_balance_fade(v->failing_permille, now_us - v->reported_us);
}

/* Returns up to which distance gates are tried out that nothing is known of.
 */
static enum bb_distance
explored_distance(const struct bb_gate_view *const *views, uint32_t count)
{
    uint32_t near_gates = 0;

    for (uint32_t i = 0; i < count; i++) {
        near_gates += views[i]->is_ready && views[i]->distance <= BB_SAME_ZONE;
    }
    return near_gates >= BB_BALANCE_NEAR_GATES ? BB_SAME_ZONE : BB_SAME_REGION;
}

/* Returns whether one request should find out what a gate near by can do. */
static bool
is_unexplored(const struct bb_gate_view *v, enum bb_distance explored)
{
    return v->reported_us == 0 && v->in_flight == 0 && v->distance <= explored;
}

/* Estimates the time to an answer, with the price of distance and the risk of
 * failure. */
static uint64_t
cost_us_of(const struct bb_gate_view *v, uint32_t class_index,
           enum bb_distance explored, uint64_t now_us)
{
    uint64_t service_us = class_us(v, class_index);
    uint64_t cost_us = bb_balance_wait_us(v, now_us) + service_us;

    if (v->slots > 0) {
        /* Upstreams run slower the fuller they are. */
        cost_us += service_us * held(v, now_us) / (4 * (uint64_t)v->slots);
    }
    if (now_us < v->cold_until_us) {
        cost_us += service_us;
    }
    if (is_unexplored(v, explored)) {
        return 0;
    }
    cost_us += (uint64_t)BB_BALANCE_FAILURE_US * failing_permille(v, now_us) /
               BB_BALANCE_PERMILLE;
    switch (v->distance) {
    case BB_SAME_HOST:
    case BB_SAME_ZONE:
        break;
    case BB_SAME_REGION:
        cost_us += BB_BALANCE_ZONE_PRICE_US;
        break;
    case BB_OTHER_REGION:
        cost_us += BB_BALANCE_REGION_PRICE_US;
        break;
    }
    return cost_us;
}

/* Returns whether a gate may be chosen. */
static bool
is_usable(const struct bb_gate_view *v, uint64_t now_us)
{
    return v->is_ready && v->slots > 0 && now_us >= v->suspended_until_us;
}

/* Returns whether a gate can be expected to answer well in time. */
static bool
is_comfortable(const struct bb_gate_view *v,
               const struct bb_balance_request *r, uint64_t now_us)
{
    uint64_t service_us = class_us(v, r->class_index);
    uint64_t needed_us =
        bb_balance_wait_us(v, now_us) + service_us + service_us / 8;

    return failing_permille(v, now_us) < BB_BALANCE_COMFORT_FAILING_PERMILLE &&
           now_us >= v->cold_until_us &&
           needed_us * PERCENT <= r->aim_left_us * BB_BALANCE_COMFORT_PERCENT;
}

/* Returns the rank of a gate by its place: near gates that can answer in time
 * first. That of the own host comes before others while its wait is short, as
 * it costs no link. */
static uint32_t
tier_of(const struct bb_gate_view *v, const struct bb_balance_request *r,
        enum bb_distance explored, uint64_t now_us)
{
    if (is_unexplored(v, explored)) {
        return BB_SAME_HOST;
    }
    if (v->distance == BB_OTHER_REGION || !is_comfortable(v, r, now_us)) {
        return NOT_COMFORTABLE;
    }
    return v->distance == BB_SAME_HOST &&
                   bb_balance_wait_us(v, now_us) * PERCENT >
                       r->aim_left_us * BB_BALANCE_OWN_WAIT_PERCENT
               ? BB_SAME_ZONE
               : v->distance;
}

/* Returns the index of the best gate, or -1: the best of the nearest ones
 * that can answer in time, or where there is none the best of all. */
int32_t
bb_balance_pick(const struct bb_gate_view *const *views, uint32_t count,
                const struct bb_balance_request *r, uint64_t random_bits,
                uint64_t now_us)
{
    int32_t best = -1;
    uint64_t best_us = 0;
    uint32_t best_tier = 0;
    enum bb_distance explored = explored_distance(views, count);

    for (uint32_t i = 0; i < count; i++) {
        uint64_t cost_us;
        uint32_t tier;

        if (!is_usable(views[i], now_us)) {
            continue;
        }
        tier = tier_of(views[i], r, explored, now_us);
        cost_us = cost_us_of(views[i], r->class_index, explored, now_us) +
                  (random_bits >> (8 * (i % 7))) % JITTER_US;
        if (best < 0 || tier < best_tier ||
            (tier == best_tier && cost_us < best_us)) {
            best = (int32_t)i;
            best_tier = tier;
            best_us = cost_us;
        }
    }
    return best;
}

/* Returns how long a request may wait at its next gate, after a number of
 * refusals. */
static uint64_t
wait_limit_us(uint32_t refusals, uint64_t aim_left_us)
{
    switch (refusals) {
    case 0:
        return aim_left_us * BB_BALANCE_FIRST_WAIT_PERCENT / PERCENT;
    case 1:
        return aim_left_us * BB_BALANCE_SECOND_WAIT_PERCENT / PERCENT;
    default:
        return UINT64_MAX;
    }
}

/* Chooses a gate, and how long the request may wait there. Answers many
 * entries that each know little of many gates: a short wait costs less than a
 * search for a free slot, and a queue that is longer than this entry thought
 * is found out at once. `has_refused` tells which gates were full for this
 * request. */
struct bb_balance_offer
bb_balance_offer(const struct bb_gate_view *const *views,
                 const bool *has_refused, uint32_t count,
                 const struct bb_balance_request *r, uint64_t random_bits,
                 uint64_t now_us)
{
    struct bb_balance_offer o = {
        .gate = bb_balance_pick(views, count, r, random_bits, now_us),
        .wait_max_us = UINT64_MAX};
    const struct bb_gate_view *best;
    uint32_t refusals = 0;
    bool has_other = false;

    if (o.gate < 0 || has_refused[o.gate]) {
        return o;
    }
    best = views[o.gate];
    for (uint32_t i = 0; i < count; i++) {
        const struct bb_gate_view *v = views[i];

        refusals += has_refused[i];
        has_other =
            has_other || (v != best && !has_refused[i] && v->is_ready &&
                          now_us >= v->suspended_until_us &&
                          (v->distance <= best->distance ||
                           v->distance <= BB_SAME_REGION) &&
                          bb_balance_wait_us(v, now_us) < BB_BALANCE_PROBE_US);
    }
    if (has_other) {
        o.wait_max_us = wait_limit_us(refusals, r->aim_left_us);
    }
    return o;
}

/* Takes the load that a gate reported with an answer. */
void
bb_gate_view_report(struct bb_gate_view *v, uint32_t running, uint32_t queued,
                    uint32_t slots, uint32_t service_us,
                    uint32_t failing_permille, uint64_t now_us)
{
    v->running = running;
    v->queued = queued;
    if (slots != 0) {
        v->slots = slots;
    }
    v->service_us = service_us;
    v->failing_permille = failing_permille;
    v->reported_us = now_us;
    v->in_flight_at_report = v->in_flight;
}

/* Leaves a gate out for a time that doubles with each failure in a row. */
void
bb_gate_view_unreachable(struct bb_gate_view *v, uint64_t now_us)
{
    v->suspend_us =
        v->suspend_us == 0 ? BB_BALANCE_SUSPEND_US : 2 * v->suspend_us;
    if (v->suspend_us > BB_BALANCE_SUSPEND_MAX_US) {
        v->suspend_us = BB_BALANCE_SUSPEND_MAX_US;
    }
    v->suspended_until_us = now_us + v->suspend_us;
}

/* Notes that a gate answered. */
void
bb_gate_view_reached(struct bb_gate_view *v)
{
    v->suspend_us = 0;
    v->suspended_until_us = 0;
}
