/* What a gate learns of the cost of requests at its upstream, and the
 * predictions for one request. Times are on the monotonic clock. */
#ifndef BB_PATH_GATE_COST_H
#define BB_PATH_GATE_COST_H

#include <stdint.h>

#include "decide/cost.h"
#include "net/http.h"

/* One model per gate; about 450 kB. */
struct bb_gate_cost {
    struct bb_cost model;
    struct bb_cost_speed speed; /* recent, against the usual of the upstream */
    /* Moving average by class of the time in which nested calls are open. It
     * is no work of the upstream, but holds a slot. */
    uint64_t nested_us[BB_COST_CLASS_COUNT];
};

/* One request at a gate. */
struct bb_run_cost {
    struct bb_cost_key key;
    uint64_t expected_us; /* on arrival; 0: unknown */
    /* Nested calls that the run makes: the time with at least one open. */
    uint32_t nested_open;
    uint64_t nested_since_us;
    uint64_t nested_us;
};

enum { BB_LEFT_RUNS_MAX = 64 };

/* The last runs that their caller has left at the upstream, with their
 * deadlines. The upstream may go on and send nested calls for them. */
struct bb_left_runs {
    struct {
        uint64_t id_hash;
        uint64_t deadline_us;
    } runs[BB_LEFT_RUNS_MAX];
    uint32_t next;
};

void bb_left_runs_add(struct bb_left_runs *l, const char *id,
                      uint64_t deadline_us);
uint64_t bb_left_runs_find(const struct bb_left_runs *l, const char *id);
void bb_run_cost_init(struct bb_run_cost *r, const struct bb_gate_cost *g,
                      uint32_t class_index, const struct bb_http_head *h,
                      const char *team);
void bb_run_cost_begin_nested(struct bb_run_cost *r, uint64_t now_us);
void bb_run_cost_end_nested(struct bb_run_cost *r, uint64_t now_us);
uint64_t bb_run_cost_left_us(const struct bb_run_cost *r,
                             const struct bb_gate_cost *g, uint64_t sent_us,
                             uint64_t now_us);
void bb_run_cost_finish(const struct bb_run_cost *r, struct bb_gate_cost *g,
                        uint64_t sent_us, uint64_t now_us);
struct bb_cost_key bb_request_cost_key(uint32_t class_index,
                                       const struct bb_http_head *h,
                                       const char *team);

#endif
