/* Choice of a gate for one attempt. Answers uneven load, upstreams of unlike
 * speed, and slow, failing, cold or silent ones: the gate with the least
 * expected time to an answer, with a price on distance. */
#ifndef BB_DECIDE_BALANCE_H
#define BB_DECIDE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* What distance costs, as a time: a call that leaves its zone or its
     * region pays for its bytes besides the way. */
    BB_BALANCE_ZONE_PRICE_US = 200 * 1000,
    BB_BALANCE_REGION_PRICE_US = 500 * 1000,
    /* A near gate is good enough while wait and one and a half times the
     * usual duration stay within this part of the time that is left. */
    BB_BALANCE_COMFORT_PERCENT = 90,
    BB_BALANCE_COMFORT_FAILING_PERMILLE = 200,
    /* A report counts half after this time. */
    BB_BALANCE_REPORT_HALF_US = 400 * 1000,
    /* With so many gates in the own zone, those of other zones are not tried
     * out before they are needed: with many hosts that alone is much traffic.
     */
    BB_BALANCE_NEAR_GATES = 3,
    /* The own host's gate comes first up to this part of the time left. */
    BB_BALANCE_OWN_WAIT_PERCENT = 15,
    /* A reported share of failures halves in this time: an upstream that is
     * left out shows no recovery by itself. */
    BB_BALANCE_FAILING_HALF_US = 1000 * 1000,
    /* Price of an answer that is certain to fail. */
    BB_BALANCE_FAILURE_US = 2000 * 1000,
    BB_BALANCE_PERMILLE = 1000,
    /* How long a gate that could not be reached is left out at first, and at
     * most. */
    BB_BALANCE_SUSPEND_US = 500 * 1000,
    BB_BALANCE_SUSPEND_MAX_US = 4000 * 1000,
    BB_BALANCE_CLASSES = 64,
    /* Part of the slots that may be in use where a second send goes. */
    BB_BALANCE_HEDGE_USED_PERCENT = 75,
    /* Part of the time left that a request may wait at the first gate, and at
     * the second one; after that it waits wherever it is answered in time. */
    BB_BALANCE_FIRST_WAIT_PERCENT = 20,
    BB_BALANCE_SECOND_WAIT_PERCENT = 30,
    /* A gate that promises no shorter wait than this is not worth another
     * try. */
    BB_BALANCE_PROBE_US = 10 * 1000,
    /* Weight of the newest answer in the averages, as one in so many. */
    BB_BALANCE_AVERAGE_PARTS = 8,
    /* Weight of the newest outcome in the failure average, in permille. */
    BB_BALANCE_OUTCOME_PERMILLE = 120
};

enum bb_distance {
    BB_SAME_HOST,
    BB_SAME_ZONE,
    BB_SAME_REGION,
    BB_OTHER_REGION
};

/* What an entry node knows of one gate. */
struct bb_gate_view {
    enum bb_distance distance;
    bool is_ready; /* by its own announcement */
    uint32_t slots;
    uint32_t running; /* reported, as the next three */
    uint32_t queued;
    uint32_t service_us;
    uint32_t failing_permille;
    uint64_t reported_us; /* 0: never */
    uint32_t in_flight;
    uint32_t in_flight_at_report;
    uint64_t cold_until_us;
    uint64_t suspended_until_us;
    uint64_t suspend_us; /* length of the last suspension */
    /* Usual time to an answer by class of requests, 0: none yet. */
    uint32_t class_us[BB_BALANCE_CLASSES];
};

struct bb_balance_request {
    uint32_t class_index;
    uint64_t aim_left_us; /* until the answer is worth less */
};

/* Where a request is sent next. */
struct bb_balance_offer {
    int32_t gate;         /* its index, or -1 */
    uint64_t wait_max_us; /* UINT64_MAX: as long as it can be in time */
};

uint64_t bb_balance_wait_us(const struct bb_gate_view *v, uint64_t now_us);
struct bb_balance_offer
bb_balance_offer(const struct bb_gate_view *const *views,
                 const bool *has_refused, uint32_t count,
                 const struct bb_balance_request *r, uint64_t random_bits,
                 uint64_t now_us);
bool bb_balance_may_hedge(const struct bb_gate_view *v, uint64_t now_us);
uint32_t bb_balance_fade(uint32_t permille, uint64_t age_us);
int32_t bb_balance_pick(const struct bb_gate_view *const *views,
                        uint32_t count, const struct bb_balance_request *r,
                        uint64_t random_bits, uint64_t now_us);
void bb_gate_view_report(struct bb_gate_view *v, uint32_t running,
                         uint32_t queued, uint32_t slots, uint32_t service_us,
                         uint32_t failing_permille, uint64_t now_us);
void bb_gate_view_answered(struct bb_gate_view *v, uint32_t class_index,
                           uint64_t took_us);
void bb_gate_view_unreachable(struct bb_gate_view *v, uint64_t now_us);
void bb_gate_view_reached(struct bb_gate_view *v);

#endif
