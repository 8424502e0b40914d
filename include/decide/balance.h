/* Load balancing: the choice of a gate, the part of baobab-proxy in front of
 * one upstream, for one attempt. Entry nodes of baobab-node choose gatekeepers
 * with decide/route_pick.h instead. Picks the gate with the lowest expected
 * response time, plus costs for distance and for the risk of failure, so that
 * it copes with uneven load and with slow, failing, cold or unreachable
 * upstreams.
 *
 * Times are microseconds of one clock. The caller serialises the calls on each
 * struct bb_gate_view. */
#ifndef BB_DECIDE_BALANCE_H
#define BB_DECIDE_BALANCE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/cost.h"

enum {
    /* Cost of a call that leaves its zone or its region, as a time: its bytes
     * are paid for, besides the added latency. */
    BB_BALANCE_CROSS_ZONE_COST_US = 200 * 1000,
    BB_BALANCE_CROSS_REGION_COST_US = 500 * 1000,
    /* A gate has headroom, so that distance alone decides, while its wait plus
     * 9/8 of its usual latency stay within this share of the time left until
     * the target, and its failures stay below the permille. */
    BB_BALANCE_HEADROOM_TIME_PERCENT = 90,
    BB_BALANCE_HEADROOM_FAILURE_PERMILLE = 200,
    /* Age from which a load report is replaced by the usual load, the moving
     * average of the reports. */
    BB_BALANCE_REPORT_STALE_US = 400 * 1000,
    /* Up to this age a report is taken to be exact. */
    BB_BALANCE_REPORT_FRESH_US = 50 * 1000,
    /* Half-life of the usual load without a new report: a gate that gets no
     * requests cannot show that it is free again. */
    BB_BALANCE_LOAD_HALF_LIFE_US = 3000 * 1000,
    /* The usual load is counted in such parts of a request. */
    BB_BALANCE_LOAD_PARTS = 16,
    /* From this number of ready gates in the zone on, no request is sent to a
     * gate of another zone just to get its first report: with many hosts, such
     * requests alone are much traffic. */
    BB_BALANCE_ENOUGH_ZONE_GATES = 3,
    /* The gate of the same host is preferred while its expected wait stays
     * within this share of the time left until the target. */
    BB_BALANCE_LOCAL_WAIT_PERCENT = 15,
    /* Half-life of a reported failure rate: an upstream that gets no requests
     * cannot show that it has recovered. */
    BB_BALANCE_FAILURE_HALF_LIFE_US = 1000 * 1000,
    /* Cost of an attempt that is certain to fail. */
    BB_BALANCE_FAILURE_COST_US = 2000 * 1000,
    BB_BALANCE_PERMILLE = 1000,
    /* First and longest suspension of an unreachable gate. */
    BB_BALANCE_SUSPEND_MIN_US = 500 * 1000,
    BB_BALANCE_SUSPEND_MAX_US = 4000 * 1000,
    /* Number of request classes: groups of requests that take about as long,
     * for which durations and latencies are averaged. */
    BB_REQUEST_CLASS_COUNT = 64,
    /* A hedge is sent only to a gate that uses at most this share of its
     * slots. */
    BB_BALANCE_HEDGE_MAX_LOAD_PERCENT = 75,
    /* Share of the time left until the target that a request may wait at the
     * first and at the second gate; from the third on there is no limit. */
    BB_BALANCE_FIRST_WAIT_PERCENT = 30,
    BB_BALANCE_SECOND_WAIT_PERCENT = 40,
    /* The same if the cost of the request is known: the estimated wait is then
     * good enough to look for another gate instead. */
    BB_BALANCE_FIRST_KNOWN_WAIT_PERCENT = 12,
    BB_BALANCE_SECOND_KNOWN_WAIT_PERCENT = 16,
    /* Full gates after which a request past its target is given up. */
    BB_BALANCE_LATE_FULL_MAX = 2,
    /* Another gate is worth a further attempt only if its expected wait is
     * shorter than this. */
    BB_BALANCE_ALTERNATIVE_WAIT_US = 10 * 1000,
    /* Divisor of the newest latency's weight in its moving average. */
    BB_BALANCE_LATENCY_EWMA_DIVISOR = 8,
    /* Unused: a gate computes the failure_permille that it reports with
     * BB_GATE_FAILURE_WEIGHT_PERMILLE of path/gate.h. */
    BB_BALANCE_FAILURE_EWMA_PERMILLE = 120
};

enum bb_gate_distance {
    BB_GATE_SAME_HOST,
    BB_GATE_SAME_ZONE,
    BB_GATE_SAME_REGION,
    BB_GATE_OTHER_REGION
};

/* What one entry node knows of one gate: the load that the gate reported, and
 * the node's own observations. */
struct bb_gate_view {
    enum bb_gate_distance distance;
    bool is_ready;                /* as the gate announced */
    uint32_t slots;               /* announced or reported */
    uint32_t running;             /* reported */
    uint32_t queued;              /* reported */
    uint32_t usual_load_parts;    /* moving average of running + queued, in
                                     1/BB_BALANCE_LOAD_PARTS */
    uint32_t mean_duration_us;    /* reported mean duration; 0: unknown */
    uint32_t failure_permille;    /* reported failure rate */
    uint64_t reported_us;         /* time of the last report; 0: none yet */
    uint32_t in_flight;           /* this node's attempts without a response */
    uint32_t in_flight_at_report; /* in_flight at reported_us */
    bool is_limited;              /* the upstream states a limit */
    uint32_t limit_mrps;    /* reported, thousandths of a request a second */
    uint64_t limit_wait_us; /* for a request that arrived at the report */
    bool has_work;          /* the gate reports its remaining work */
    uint64_t work_left_us;  /* reported, in slot time */
    /* This node's attempts since the report, and their expected durations. */
    uint32_t sent_requests;
    uint64_t sent_work_us;
    struct bb_cost_speed speed;
    uint64_t warm_at_us; /* the upstream runs slower until then */
    uint64_t suspended_until_us;
    uint64_t last_suspension_us; /* its duration; 0: none since a response */
    /* Moving average of the response time by class index; 0: none yet. */
    uint32_t class_latency_us[BB_REQUEST_CLASS_COUNT];
};

struct bb_balance_request {
    /* By route; groups requests of like duration. Any value, taken modulo
     * BB_REQUEST_CLASS_COUNT. */
    uint32_t class_index;
    uint64_t target_left_us; /* time left until the target end */
    /* Expected duration at an upstream of usual speed; 0: unknown. */
    uint64_t cost_us;
    uint64_t class_cost_us; /* the same of its class as a whole; 0: unknown */
};

/* Where a request is sent next. */
struct bb_balance_choice {
    int32_t gate;         /* index into the views, or -1 */
    uint64_t max_wait_us; /* max wait there; UINT64_MAX: no limit */
};

/* Why a gate is not the one that is chosen. */
enum bb_balance_reason {
    BB_BALANCE_CHOSEN,
    BB_BALANCE_NOT_READY,
    BB_BALANCE_NO_SLOTS,
    BB_BALANCE_SUSPENDED,
    BB_BALANCE_LIMITED, /* the last one of a gate that cannot be chosen */
    BB_BALANCE_NO_HEADROOM,
    BB_BALANCE_FARTHER,
    BB_BALANCE_NOT_SAMPLED,
    BB_BALANCE_SLOWER /* of the same rank, with a higher cost */
};

/* How a choice ranks a gate. */
struct bb_balance_rank {
    enum bb_balance_reason reason;
    uint32_t rank;    /* lowest first; 0 if it cannot be chosen */
    uint64_t cost_us; /* decides within a rank, without jitter */
};

uint64_t bb_balance_wait_us(const struct bb_gate_view *v, uint64_t now_us);
struct bb_balance_choice
bb_balance_choose(const struct bb_gate_view *const *views,
                  const bool *was_full, uint32_t count,
                  const struct bb_balance_request *r, uint64_t random_bits,
                  uint64_t now_us);
bool bb_balance_is_hopeless(uint32_t full_count, uint64_t target_left_us,
                            bool is_nested);
uint64_t bb_balance_return_us(const struct bb_gate_view *const *views,
                              uint32_t count, uint64_t now_us);
bool bb_balance_can_hedge(const struct bb_gate_view *v, uint64_t now_us);
uint32_t bb_balance_decay_failures(uint32_t permille, uint64_t age_us);
int32_t bb_balance_pick(const struct bb_gate_view *const *views,
                        uint32_t count, const struct bb_balance_request *r,
                        uint64_t random_bits, uint64_t now_us);
void bb_balance_rank_gates(const struct bb_gate_view *const *views,
                           uint32_t count, const struct bb_balance_request *r,
                           int32_t chosen, uint64_t random_bits,
                           uint64_t now_us, struct bb_balance_rank *ranks);
void bb_gate_view_update_load(struct bb_gate_view *v, uint32_t running,
                              uint32_t queued, uint32_t slots,
                              uint32_t mean_duration_us,
                              uint32_t failure_permille, uint64_t now_us);
void bb_gate_view_update_limit(struct bb_gate_view *v, bool is_limited,
                               uint32_t limit_mrps, uint64_t limit_wait_us);
void bb_gate_view_update_work(struct bb_gate_view *v, bool has_work,
                              uint64_t work_left_us);
void bb_gate_view_add_sent(struct bb_gate_view *v, uint64_t cost_us);
uint64_t bb_balance_duration_us(const struct bb_gate_view *v,
                                const struct bb_balance_request *r);
uint64_t bb_balance_limit_wait_us(const struct bb_gate_view *v,
                                  uint64_t now_us);
void bb_gate_view_add_latency(struct bb_gate_view *v, uint32_t class_index,
                              uint64_t latency_us);
void bb_gate_view_suspend(struct bb_gate_view *v, uint64_t now_us);
void bb_gate_view_resume(struct bb_gate_view *v);

#endif
