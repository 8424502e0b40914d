/* Choice of a gatekeeper for one call: near ones first, those of the other
 * region only when the local region is saturated and the byte budget of the
 * paid link between the regions allows it. The caller keeps one struct
 * bb_route_candidate for each gatekeeper of a service that it knows, one
 * struct bb_route_state for the service and one struct bb_link_budget for the
 * node, and serialises the calls on each. Times are microseconds of one clock.
 */
#ifndef BB_DECIDE_ROUTE_PICK_H
#define BB_DECIDE_ROUTE_PICK_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/reason.h"

enum {
    BB_ROUTE_CANDIDATES_MAX = 512,
    BB_ROUTE_EXCLUDED_MAX = 16,
    BB_ROUTE_WEIGHT_FULL_PERMILLE = 1000,
    /* A gatekeeper gets only probes up to this weight. */
    BB_ROUTE_WEIGHT_PROBE_PERMILLE = 250
};

enum bb_route_distance {
    BB_ROUTE_SAME_ZONE,
    BB_ROUTE_SAME_REGION,
    BB_ROUTE_OTHER_REGION,
    BB_ROUTE_DISTANCE_COUNT
};

/* What an entry node knows of one gatekeeper of a service. */
struct bb_route_candidate {
    uint64_t key; /* identifies the gatekeeper, such as a hash of its host */
    enum bb_route_distance distance;
    bool is_draining;
    uint32_t weight_permille; /* from bb_outlier_weight; 0: ejected */
    uint32_t slots;           /* reported or announced */
    uint32_t running;         /* reported */
    uint32_t queued;          /* reported */
    uint64_t reported_us;     /* when the report arrived; 0: never */
    uint32_t in_flight;       /* this node's calls without a response */
    /* Age of this node's oldest outstanding short call; 0: none. */
    uint64_t oldest_short_call_age_us;
    uint32_t in_flight_at_report; /* in_flight at reported_us */
    /* In a row; reset by a successful call with a measured latency. */
    uint32_t connect_failures;
    uint64_t last_connect_failure_us; /* time of the last failed connect */
    /* Natural log of the latency in us, as a moving average. */
    double latency_log_us[BB_ADMISSION_CLASS_COUNT];
    uint32_t observations[BB_ADMISSION_CLASS_COUNT];
};

/* Byte budget for calls to the other region over the paid link: a token bucket
 * that may become negative, as the size of a response is known only
 * afterwards. */
struct bb_link_budget {
    uint64_t bytes_per_s; /* 0: no calls to the other region */
    int64_t tokens_bytes;
    uint64_t updated_us;
};

/* Per-service state of an entry node. */
struct bb_route_state {
    bool is_zone_overflowing; /* the zone is saturated: the region is used too
                               */
    bool is_region_overflowing; /* the region is saturated: the link is used
                                   too */
    uint64_t region_saturated_since_us; /* start of saturation; 0: none */
    uint64_t round_robin_next;          /* counter of policy round_robin */
};

struct bb_route_request {
    enum bb_admission_class work_class;
    bool is_hedge;       /* needs a free slot in the local region */
    bool can_probe;      /* may probe a gatekeeper after its ejection */
    uint64_t link_bytes; /* expected size of call and response together */
    uint64_t excluded[BB_ROUTE_EXCLUDED_MAX]; /* keys tried before */
    uint32_t excluded_count;
};

struct bb_route_choice {
    int32_t index;         /* into the candidates, or -1 */
    enum bb_reason reason; /* why index is -1 */
};

/* A routing policy chooses one of usable_count (1 or more) candidates, whose
 * indexes are in usable[], and returns its position in usable[]. */
struct bb_routing_policy {
    uint32_t (*choose)(struct bb_route_state *s,
                       const struct bb_route_candidate *const *candidates,
                       const uint32_t *usable, uint32_t usable_count,
                       const struct bb_route_request *r, uint64_t random_bits,
                       uint64_t now_us);
};

void bb_route_candidate_init(struct bb_route_candidate *c, uint64_t key,
                             enum bb_route_distance distance, uint32_t slots);
void bb_route_candidate_update_load(struct bb_route_candidate *c,
                                    uint32_t running, uint32_t queued,
                                    uint32_t slots, uint64_t now_us);
void bb_route_candidate_start(struct bb_route_candidate *c);
void bb_route_candidate_finish(struct bb_route_candidate *c,
                               enum bb_admission_class work_class,
                               uint64_t latency_us, bool is_success);
void bb_route_candidate_connect_failed(struct bb_route_candidate *c,
                                       uint64_t now_us);
uint32_t bb_route_candidate_estimate_load(const struct bb_route_candidate *c,
                                          uint64_t now_us);
double
bb_route_candidate_expected_duration_us(const struct bb_route_candidate *c,
                                        enum bb_admission_class work_class,
                                        uint64_t now_us);

void bb_link_budget_configure(struct bb_link_budget *b, uint64_t bytes_per_s,
                              uint64_t now_us);
bool bb_link_budget_has_tokens(struct bb_link_budget *b, uint64_t now_us);
void bb_link_budget_charge(struct bb_link_budget *b, uint64_t size_bytes,
                           uint64_t now_us);

struct bb_route_choice
bb_route_pick(const struct bb_routing_policy *policy, struct bb_route_state *s,
              const struct bb_route_candidate *const *candidates,
              uint32_t count, const struct bb_route_request *r,
              struct bb_link_budget *link, uint64_t random_bits,
              uint64_t now_us);

#endif
