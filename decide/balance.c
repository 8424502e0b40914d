#include "decide/balance.h"

#include "decide/gate_queue.h"
#include "decide/upstream_limit.h"

enum {
    PERCENT = 100,
    /* Last rank of preference; the others are values of enum bb_gate_distance.
     */
    RANK_NO_HEADROOM = BB_GATE_OTHER_REGION + 1,
    /* Upstreams get slower with load: at full load, an attempt costs 1/4 of
     * the usual latency more. */
    LOAD_COST_DIVISOR = 4,
    /* Part of the usual latency that headroom requires as a margin. */
    HEADROOM_MARGIN_DIVISOR = 8,
    /* Assumed until the gate reports a duration. */
    DEFAULT_DURATION_US = 100 * 1000,
    /* Range of the random cost that spreads attempts over equal gates. */
    JITTER_US = 4000,
    /* The jitter of each gate uses other bits of the random number: it is
     * shifted by this many bits times one of JITTER_SHIFTS factors. */
    JITTER_SHIFT_BITS = 8,
    JITTER_SHIFTS = 7
};

/* Odd multiplier that makes the top bit of a product depend on all bits. */
#define SAMPLE_MIX 0x9e3779b97f4a7c15ULL

/* Returns the attempts of this node at a gate since its last report. */
static uint32_t
sent_since_report(const struct bb_gate_view *v)
{
    return v->in_flight > v->in_flight_at_report
               ? v->in_flight - v->in_flight_at_report
               : 0;
}

/* Returns the usual load of a gate, halved for each full
 * BB_BALANCE_LOAD_HALF_LIFE_US of the last report's age. */
static uint32_t
usual_load(const struct bb_gate_view *v, uint64_t age_us)
{
    uint64_t halvings = age_us / BB_BALANCE_LOAD_HALF_LIFE_US;

    if (halvings >= 31) {
        return 0;
    }
    return ((v->usual_load_parts >> halvings) + BB_BALANCE_LOAD_PARTS / 2) /
           BB_BALANCE_LOAD_PARTS;
}

/* Estimates how many requests a gate runs and queues: the reported load, or
 * the usual one if the report is older than BB_BALANCE_REPORT_STALE_US, plus
 * this node's attempts since the report, and at least this node's attempts in
 * flight. Load: hundreds of entry nodes, each of which hears of a gate only
 * every few seconds. Without the usual load, the gates with the shortest
 * response time would look free to all of them. */
static uint32_t
estimate_load(const struct bb_gate_view *v, uint64_t now_us)
{
    uint32_t reported = v->running + v->queued;

    if (now_us - v->reported_us > BB_BALANCE_REPORT_STALE_US) {
        reported = usual_load(v, now_us - v->reported_us);
    }
    reported += sent_since_report(v);
    return reported > v->in_flight ? reported : v->in_flight;
}

/* Returns the mean remaining work of the requests at a gate, in microseconds:
 * as reported, including what this node has sent since; the mean duration if
 * the gate reports no work. Heavy tails make it longer than the mean duration
 * where long runs hold the slots. */
static uint64_t
mean_work_us(const struct bb_gate_view *v)
{
    uint64_t duration_us =
        v->mean_duration_us != 0 ? v->mean_duration_us : DEFAULT_DURATION_US;
    uint64_t requests = (uint64_t)v->running + v->queued;

    requests += v->sent_requests;
    if (!v->has_work || requests == 0) {
        return duration_us;
    }
    return (v->work_left_us + v->sent_work_us) / requests;
}

/* Returns the usual response time of a request class at a gate: as observed
 * or, before the first observation, the reported mean duration of all
 * requests. */
static uint64_t
usual_latency_us(const struct bb_gate_view *v, uint32_t class_index)
{
    uint32_t observed_us =
        v->class_latency_us[class_index % BB_REQUEST_CLASS_COUNT];

    if (observed_us != 0) {
        return observed_us;
    }
    return v->mean_duration_us != 0 ? v->mean_duration_us
                                    : DEFAULT_DURATION_US;
}

/* Returns the expected response time of a request at a gate: the usual one of
 * its class there, in proportion to how its cost differs from that of its
 * class. What an entry observes of a gate contains waits and neighbours, which
 * cost and speed do not; these are used for a gate that it has not observed.
 */
uint64_t
bb_balance_duration_us(const struct bb_gate_view *v,
                       const struct bb_balance_request *r)
{
    uint64_t usual_us = usual_latency_us(v, r->class_index);

    if (r->cost_us == 0) {
        return usual_us;
    }
    if (r->class_cost_us == 0 ||
        v->class_latency_us[r->class_index % BB_REQUEST_CLASS_COUNT] == 0) {
        return bb_cost_speed_apply(&v->speed, r->cost_us);
    }
    return usual_us * r->cost_us / r->class_cost_us;
}

/* Adds the response time of one attempt to the moving average of its request
 * class. */
void
bb_gate_view_add_latency(struct bb_gate_view *v, uint32_t class_index,
                         uint64_t latency_us)
{
    uint32_t *observed_us =
        &v->class_latency_us[class_index % BB_REQUEST_CLASS_COUNT];
    uint64_t sum;

    if (latency_us > UINT32_MAX) {
        latency_us = UINT32_MAX;
    }
    sum = *observed_us == 0 ? latency_us * BB_BALANCE_LATENCY_EWMA_DIVISOR
                            : (uint64_t)*observed_us *
                                      (BB_BALANCE_LATENCY_EWMA_DIVISOR - 1) +
                                  latency_us;
    *observed_us = (uint32_t)(sum / BB_BALANCE_LATENCY_EWMA_DIVISOR);
}

/* Estimates how long a request waits for its turn at a gate whose upstream is
 * limited: the reported wait and the turns of this node's attempts since then,
 * less the time that has passed. Other nodes' attempts since the report are
 * not known. */
uint64_t
bb_balance_limit_wait_us(const struct bb_gate_view *v, uint64_t now_us)
{
    uint64_t wait_us;
    uint64_t age_us = now_us - v->reported_us;

    if (!v->is_limited) {
        return 0;
    }
    wait_us =
        v->limit_wait_us +
        sent_since_report(v) * bb_upstream_limit_interval_us(v->limit_mrps);
    return wait_us > age_us ? wait_us - age_us : 0;
}

/* Estimates the wait for a slot at a gate, and for a turn if its upstream is
 * limited, in microseconds; UINT32_MAX if the gate has no slots. */
uint64_t
bb_balance_wait_us(const struct bb_gate_view *v, uint64_t now_us)
{
    uint32_t load = estimate_load(v, now_us);
    uint64_t duration_us = mean_work_us(v);
    uint64_t slot_wait_us;
    uint64_t limit_wait_us;

    if (v->slots == 0) {
        return UINT32_MAX;
    }
    slot_wait_us =
        load < v->slots ? 0 : (load - v->slots + 1) * duration_us / v->slots;
    limit_wait_us = bb_balance_limit_wait_us(v, now_us);
    return slot_wait_us > limit_wait_us ? slot_wait_us : limit_wait_us;
}

/* Returns the time after which a refused caller finds a free slot: the
 * shortest wait, in microseconds, at a ready gate that is not suspended. Gates
 * in another region and gates without a report count only if there is no
 * other, as they get few requests while they look free. */
uint64_t
bb_balance_return_us(const struct bb_gate_view *const *views, uint32_t count,
                     uint64_t now_us)
{
    uint64_t near_us = UINT64_MAX;
    uint64_t far_us = UINT64_MAX;

    for (uint32_t i = 0; i < count; i++) {
        const struct bb_gate_view *v = views[i];
        bool is_near =
            v->distance <= BB_GATE_SAME_REGION && v->reported_us != 0;
        uint64_t *best_us = is_near ? &near_us : &far_us;
        uint64_t wait_us;

        if (!v->is_ready || now_us < v->suspended_until_us) {
            continue;
        }
        wait_us = bb_balance_wait_us(v, now_us);
        *best_us = wait_us < *best_us ? wait_us : *best_us;
    }
    return near_us != UINT64_MAX ? near_us : far_us;
}

/* Returns whether a gate may get a hedge, the second send of a slow request:
 * it must be in the local region, have slots to spare and no limit, so that
 * the hedge takes nothing from first attempts. */
bool
bb_balance_can_hedge(const struct bb_gate_view *v, uint64_t now_us)
{
    return v->distance <= BB_GATE_SAME_REGION && !v->is_limited &&
           estimate_load(v, now_us) * PERCENT <=
               v->slots * (uint32_t)BB_BALANCE_HEDGE_MAX_LOAD_PERCENT;
}

/* Returns a failure rate halved for each full BB_BALANCE_FAILURE_HALF_LIFE_US
 * of its age. */
uint32_t
bb_balance_decay_failures(uint32_t permille, uint64_t age_us)
{
    uint64_t halvings = age_us / BB_BALANCE_FAILURE_HALF_LIFE_US;

    return halvings < 31 ? permille >> halvings : 0;
}

/* Returns the failure rate to be expected of a gate now, in permille. */
static uint32_t
decayed_failure_permille(const struct bb_gate_view *v, uint64_t now_us)
{
    return bb_balance_decay_failures(v->failure_permille,
                                     now_us - v->reported_us);
}

/* Returns the distance up to which gates without a report are explored. */
static enum bb_gate_distance
exploration_distance(const struct bb_gate_view *const *views, uint32_t count)
{
    uint32_t zone_gates = 0;

    for (uint32_t i = 0; i < count; i++) {
        zone_gates +=
            views[i]->is_ready && views[i]->distance <= BB_GATE_SAME_ZONE;
    }
    return zone_gates >= BB_BALANCE_ENOUGH_ZONE_GATES ? BB_GATE_SAME_ZONE
                                                      : BB_GATE_SAME_REGION;
}

/* Returns whether a request should be sent to a gate to get its first report:
 * it is near enough and no attempt is on its way. */
static bool
should_explore(const struct bb_gate_view *v,
               enum bb_gate_distance explore_within)
{
    return v->reported_us == 0 && v->in_flight == 0 &&
           v->distance <= explore_within;
}

/* Estimates by how much a request delays others at a gate: it holds one of the
 * slots, which matters the more, the fewer there are and the more of them are
 * in use. Nothing is added without knowledge of the cost. */
static uint64_t
delay_of_others_us(const struct bb_gate_view *v,
                   const struct bb_balance_request *r, uint64_t duration_us,
                   uint64_t load)
{
    uint64_t slots = v->slots;

    if (r->cost_us == 0 || !v->has_work) {
        return 0;
    }
    load = load < slots ? load : slots;
    return duration_us * load * load / (slots * slots * slots);
}

/* Estimates the cost of an attempt at a gate, in microseconds: wait, expected
 * duration, and the costs of distance and of the risk of failure. */
static uint64_t
estimate_cost_us(const struct bb_gate_view *v,
                 const struct bb_balance_request *r,
                 enum bb_gate_distance explore_within, uint64_t now_us)
{
    uint64_t latency_us = bb_balance_duration_us(v, r);
    uint64_t cost_us = bb_balance_wait_us(v, now_us) + latency_us;

    if (v->slots > 0) {
        uint64_t load = estimate_load(v, now_us);

        cost_us +=
            latency_us * load / (LOAD_COST_DIVISOR * (uint64_t)v->slots);
        cost_us += delay_of_others_us(v, r, latency_us, load);
    }
    if (now_us < v->warm_at_us) {
        cost_us += latency_us;
    }
    if (should_explore(v, explore_within)) {
        return 0;
    }
    cost_us += (uint64_t)BB_BALANCE_FAILURE_COST_US *
               decayed_failure_permille(v, now_us) / BB_BALANCE_PERMILLE;
    switch (v->distance) {
    case BB_GATE_SAME_HOST:
    case BB_GATE_SAME_ZONE:
        break;
    case BB_GATE_SAME_REGION:
        cost_us += BB_BALANCE_CROSS_ZONE_COST_US;
        break;
    case BB_GATE_OTHER_REGION:
        cost_us += BB_BALANCE_CROSS_REGION_COST_US;
        break;
    }
    return cost_us;
}

/* Returns why a gate cannot be chosen at all, or BB_BALANCE_CHOSEN if it can.
 * One whose upstream is limited would refuse a request that had to wait for
 * too long. */
static enum bb_balance_reason
find_obstacle(const struct bb_gate_view *v, const struct bb_balance_request *r,
              uint64_t now_us)
{
    if (!v->is_ready) {
        return BB_BALANCE_NOT_READY;
    }
    if (v->slots == 0) {
        return BB_BALANCE_NO_SLOTS;
    }
    if (now_us < v->suspended_until_us) {
        return BB_BALANCE_SUSPENDED;
    }
    return bb_balance_limit_wait_us(v, now_us) * PERCENT >
                   r->target_left_us * BB_GATE_QUEUE_WAIT_PERCENT
               ? BB_BALANCE_LIMITED
               : BB_BALANCE_CHOSEN;
}

/* Returns whether a gate can be expected to respond before the target with
 * some margin: it is not cold, and few of its requests fail. */
static bool
has_headroom(const struct bb_gate_view *v, const struct bb_balance_request *r,
             uint64_t now_us)
{
    uint64_t latency_us = bb_balance_duration_us(v, r);
    uint64_t required_us = bb_balance_wait_us(v, now_us) + latency_us +
                           latency_us / HEADROOM_MARGIN_DIVISOR;

    return decayed_failure_permille(v, now_us) <
               BB_BALANCE_HEADROOM_FAILURE_PERMILLE &&
           now_us >= v->warm_at_us &&
           required_us * PERCENT <=
               r->target_left_us * BB_BALANCE_HEADROOM_TIME_PERCENT;
}

/* Returns the rank of preference of a gate, lowest first: gates to be
 * explored, then gates with headroom by distance, then all others. The gate of
 * the same host uses no network, so it precedes the rest of the zone while its
 * wait is short. */
static uint32_t
preference_rank(const struct bb_gate_view *v,
                const struct bb_balance_request *r,
                enum bb_gate_distance explore_within, uint64_t now_us)
{
    if (should_explore(v, explore_within)) {
        return BB_GATE_SAME_HOST;
    }
    if (v->distance == BB_GATE_OTHER_REGION || !has_headroom(v, r, now_us)) {
        return RANK_NO_HEADROOM;
    }
    return v->distance == BB_GATE_SAME_HOST &&
                   bb_balance_wait_us(v, now_us) * PERCENT >
                       r->target_left_us * BB_BALANCE_LOCAL_WAIT_PERCENT
               ? BB_GATE_SAME_ZONE
               : v->distance;
}

/* Returns whether a gate takes part in a choice. All do without knowledge of
 * the cost. With it the costs of gates differ by more than the jitter, and all
 * entries would choose the gate that was best at its last report: a gate
 * whose report is not fresh takes part in every other choice only. */
static bool
is_in_sample(const struct bb_gate_view *v, const struct bb_balance_request *r,
             uint32_t index, uint64_t random_bits, uint64_t now_us)
{
    uint64_t mixed = random_bits + index * SAMPLE_MIX;

    mixed = (mixed ^ mixed >> 32) * SAMPLE_MIX;
    return r->cost_us == 0 || !v->has_work ||
           v->distance == BB_GATE_SAME_HOST ||
           now_us - v->reported_us < BB_BALANCE_REPORT_FRESH_US ||
           mixed >> 63 == 0;
}

/* Ranks one gate among the candidates of a choice. Returns why it cannot be
 * chosen, or BB_BALANCE_CHOSEN if it can. The rank is that of
 * preference_rank, doubled, plus one if the gate is not in the sample. */
static enum bb_balance_reason
rank_gate(const struct bb_gate_view *v, const struct bb_balance_request *r,
          enum bb_gate_distance explore_within, uint32_t index,
          uint64_t random_bits, uint64_t now_us, uint32_t *rank)
{
    enum bb_balance_reason obstacle = find_obstacle(v, r, now_us);
    uint32_t preference;

    *rank = 0;
    if (obstacle != BB_BALANCE_CHOSEN) {
        return obstacle;
    }
    preference = preference_rank(v, r, explore_within, now_us);
    *rank = 2 * preference + (preference != RANK_NO_HEADROOM &&
                              !is_in_sample(v, r, index, random_bits, now_us));
    return BB_BALANCE_CHOSEN;
}

/* Returns the index of the gate with the lowest cost among those of the best
 * rank (see preference_rank), or -1 if no gate is available. Of gates with
 * headroom, those in the random sample precede the others of their rank; gates
 * without are not sampled, as then the last free slot counts. random_bits
 * spreads attempts over gates of like cost. */
int32_t
bb_balance_pick(const struct bb_gate_view *const *views, uint32_t count,
                const struct bb_balance_request *r, uint64_t random_bits,
                uint64_t now_us)
{
    int32_t best = -1;
    uint64_t best_us = 0;
    uint32_t best_rank = 0;
    enum bb_gate_distance explore_within = exploration_distance(views, count);

    for (uint32_t i = 0; i < count; i++) {
        uint64_t cost_us;
        uint32_t rank;

        if (rank_gate(views[i], r, explore_within, i, random_bits, now_us,
                      &rank) != BB_BALANCE_CHOSEN) {
            continue;
        }
        if (best >= 0 && rank > best_rank) {
            continue;
        }
        cost_us = estimate_cost_us(views[i], r, explore_within, now_us) +
                  (random_bits >> (JITTER_SHIFT_BITS * (i % JITTER_SHIFTS))) %
                      JITTER_US;
        if (best < 0 || rank < best_rank || cost_us < best_us) {
            best = (int32_t)i;
            best_rank = rank;
            best_us = cost_us;
        }
    }
    return best;
}

/* Explains a choice that bb_balance_pick made with the same arguments: sets
 * ranks[] to rank, cost and reason of each gate. chosen is -1 if none was. */
void
bb_balance_rank_gates(const struct bb_gate_view *const *views, uint32_t count,
                      const struct bb_balance_request *r, int32_t chosen,
                      uint64_t random_bits, uint64_t now_us,
                      struct bb_balance_rank *ranks)
{
    enum bb_gate_distance explore_within = exploration_distance(views, count);
    uint32_t best = 0;

    for (uint32_t i = 0; i < count; i++) {
        ranks[i].reason = rank_gate(views[i], r, explore_within, i,
                                    random_bits, now_us, &ranks[i].rank);
        ranks[i].cost_us =
            estimate_cost_us(views[i], r, explore_within, now_us);
    }
    best = chosen >= 0 ? ranks[chosen].rank : 0;
    for (uint32_t i = 0; i < count; i++) {
        if (ranks[i].reason != BB_BALANCE_CHOSEN || (int32_t)i == chosen) {
            continue;
        }
        if (ranks[i].rank / 2 > best / 2) {
            ranks[i].reason = ranks[i].rank / 2 == RANK_NO_HEADROOM
                                  ? BB_BALANCE_NO_HEADROOM
                                  : BB_BALANCE_FARTHER;
        }
        else {
            ranks[i].reason = ranks[i].rank > best ? BB_BALANCE_NOT_SAMPLED
                                                   : BB_BALANCE_SLOWER;
        }
    }
}

/* Returns how long a request may wait at its next gate, in microseconds, after
 * a number of other gates were full. */
static uint64_t
max_wait_at_next_gate_us(uint32_t full_count,
                         const struct bb_balance_request *r)
{
    bool is_known = r->cost_us != 0;

    switch (full_count) {
    case 0:
        return r->target_left_us *
               (is_known ? BB_BALANCE_FIRST_KNOWN_WAIT_PERCENT
                         : BB_BALANCE_FIRST_WAIT_PERCENT) /
               PERCENT;
    case 1:
        return r->target_left_us *
               (is_known ? BB_BALANCE_SECOND_KNOWN_WAIT_PERCENT
                         : BB_BALANCE_SECOND_WAIT_PERCENT) /
               PERCENT;
    default:
        return UINT64_MAX;
    }
}

/* Chooses a gate, and how long the request may wait there. With many entry
 * nodes, each has few reports of each gate: the limit makes a gate whose queue
 * is longer than expected refuse at once, while a short wait is cheaper than a
 * search for a free slot. There is no limit if no other gate is worth an
 * attempt, if the chosen gate was full at an earlier attempt of this request,
 * or after two gates were full. was_full[i] is true if gate i refused an
 * attempt of this request as full. The gate is -1 if none is available. */
struct bb_balance_choice
bb_balance_choose(const struct bb_gate_view *const *views,
                  const bool *was_full, uint32_t count,
                  const struct bb_balance_request *r, uint64_t random_bits,
                  uint64_t now_us)
{
    struct bb_balance_choice choice = {
        .gate = bb_balance_pick(views, count, r, random_bits, now_us),
        .max_wait_us = UINT64_MAX};
    const struct bb_gate_view *best;
    uint32_t full_count = 0;
    bool has_alternative = false;

    if (choice.gate < 0 || was_full[choice.gate]) {
        return choice;
    }
    best = views[choice.gate];
    for (uint32_t i = 0; i < count; i++) {
        const struct bb_gate_view *v = views[i];

        full_count += was_full[i];
        has_alternative =
            has_alternative ||
            (v != best && !was_full[i] && v->is_ready &&
             now_us >= v->suspended_until_us &&
             (v->distance <= best->distance ||
              v->distance <= BB_GATE_SAME_REGION) &&
             bb_balance_wait_us(v, now_us) < BB_BALANCE_ALTERNATIVE_WAIT_US);
    }
    if (has_alternative) {
        choice.max_wait_us = max_wait_at_next_gate_us(full_count, r);
    }
    return choice;
}

/* Returns whether a request that full_count gates refused as full should be
 * refused at once rather than sent to another gate. Load: all gates of the
 * service are busy. Past its target, a request is queued only where no other
 * waits, so it would go from gate to gate until its deadline, while its caller
 * could come back as a new request. Not for a nested request, as its parent
 * would fail. */
bool
bb_balance_is_hopeless(uint32_t full_count, uint64_t target_left_us,
                       bool is_nested)
{
    return !is_nested && target_left_us == 0 &&
           full_count >= BB_BALANCE_LATE_FULL_MAX;
}

/* Updates a view with the load that a gate reported at now_us; slots 0 leaves
 * the slots as they are. The usual load moves half the way. */
void
bb_gate_view_update_load(struct bb_gate_view *v, uint32_t running,
                         uint32_t queued, uint32_t slots,
                         uint32_t mean_duration_us, uint32_t failure_permille,
                         uint64_t now_us)
{
    uint32_t load_parts = (running + queued) * BB_BALANCE_LOAD_PARTS;

    v->usual_load_parts = v->reported_us == 0
                              ? load_parts
                              : (v->usual_load_parts + load_parts) / 2;
    v->running = running;
    v->queued = queued;
    if (slots != 0) {
        v->slots = slots;
    }
    v->mean_duration_us = mean_duration_us;
    v->failure_permille = failure_permille;
    v->reported_us = now_us;
    v->in_flight_at_report = v->in_flight;
}

/* Updates a view with the remaining work that a gate reported together with
 * its load; has_work is false if it reported none. */
void
bb_gate_view_update_work(struct bb_gate_view *v, bool has_work,
                         uint64_t work_left_us)
{
    v->has_work = has_work;
    v->work_left_us = work_left_us;
    v->sent_work_us = 0;
    v->sent_requests = 0;
}

/* Counts an attempt at a gate; cost_us is the expected duration there. */
void
bb_gate_view_add_sent(struct bb_gate_view *v, uint64_t cost_us)
{
    v->sent_work_us += cost_us;
    v->sent_requests++;
}

/* Updates a view with the limit that a gate reported together with its load.
 */
void
bb_gate_view_update_limit(struct bb_gate_view *v, bool is_limited,
                          uint32_t limit_mrps, uint64_t limit_wait_us)
{
    v->is_limited = is_limited;
    v->limit_mrps = limit_mrps;
    v->limit_wait_us = limit_wait_us;
}

/* Suspends a gate that could not be reached, for a time that doubles with each
 * failure in a row up to BB_BALANCE_SUSPEND_MAX_US. */
void
bb_gate_view_suspend(struct bb_gate_view *v, uint64_t now_us)
{
    v->last_suspension_us = v->last_suspension_us == 0
                                ? BB_BALANCE_SUSPEND_MIN_US
                                : 2 * v->last_suspension_us;
    if (v->last_suspension_us > BB_BALANCE_SUSPEND_MAX_US) {
        v->last_suspension_us = BB_BALANCE_SUSPEND_MAX_US;
    }
    v->suspended_until_us = now_us + v->last_suspension_us;
}

/* Ends the suspension of a gate that has responded. */
void
bb_gate_view_resume(struct bb_gate_view *v)
{
    v->last_suspension_us = 0;
    v->suspended_until_us = 0;
}
