/* Admission queue of a gate, the part of baobab-proxy in front of one
 * upstream. The gatekeeper of baobab-node uses decide/admission.h instead. A
 * request runs at once if a slot is free. Otherwise it waits if its response
 * can be expected in time, or is refused at once.
 *
 * An upstream that states a limit gets no more requests a second than that,
 * whatever its slots. The most urgent go first, but the other priorities with
 * requests in the queue get a share of the rate, so that none starves.
 *
 * Requests leave the queue by priority; within a priority, those that can
 * still finish by their target end go first, in order of target end, then the
 * others in order of deadline. Of those that can finish by their target end,
 * teams are served in turn, so that a team with many requests does not hold up
 * the others; requests without a team are served like those of one more team.
 * others in order of deadline, unsafe ones before lookups.
 *
 * Times are microseconds of one clock. The caller serialises the calls. */
#ifndef BB_DECIDE_GATE_QUEUE_H
#define BB_DECIDE_GATE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/balance.h"
#include "decide/upstream_limit.h"

enum {
    BB_GATE_QUEUE_MAX = 512,
    /* A priority below this is that of a route (nested requests, or a
     * deployment without teams). Others are this times the priority of the
     * team plus 1, plus that of the route. */
    BB_GATE_QUEUE_TEAM_PRIORITY_STEP = 1024,
    /* Priorities that are told apart against starvation; the last stands for
     * all after it: of routes alone, of teams, and of routes for each of
     * these. */
    BB_GATE_QUEUE_PRIORITIES = 8,
    BB_GATE_QUEUE_TEAM_PRIORITIES = 8,
    BB_GATE_QUEUE_TEAM_ROUTE_PRIORITIES = 4,
    BB_GATE_QUEUE_STARVATION_CLASSES =
        BB_GATE_QUEUE_PRIORITIES +
        BB_GATE_QUEUE_TEAM_PRIORITIES * BB_GATE_QUEUE_TEAM_ROUTE_PRIORITIES,
    /* Teams with queued requests that an expected wait tells apart. */
    BB_GATE_QUEUE_TEAMS = 64,
    /* A priority that was passed over for so many requests of a limited
     * upstream goes first. */
    BB_GATE_QUEUE_STARVED_REQUESTS = 8,
    /* Weight of the newest duration in the moving averages. */
    BB_GATE_QUEUE_EWMA_PERCENT = 10,
    /* Share of the time left until the target that the expected wait may take:
     * durations vary, and a longer queue serves no more requests. */
    BB_GATE_QUEUE_WAIT_PERCENT = 35,
    /* The same if the remaining work of the running requests is known. At 70,
     * upstreams of unequal speed have more late responses. */
    BB_GATE_QUEUE_KNOWN_WAIT_PERCENT = 50,
    /* Share of the time left until the deadline that wait and run together may
     * take if the target will be missed. */
    BB_GATE_QUEUE_LATE_PERCENT = 35,
    /* The same if the cost is known: at 35, a request known to be long is
     * always refused while one that looks short is not. */
    BB_GATE_QUEUE_KNOWN_LATE_PERCENT = 60,
    /* Share of the mean duration that must be left until the deadline when a
     * request starts. */
    BB_GATE_QUEUE_MIN_TIME_PERCENT = 75,
    /* The same for nested requests. It is lower, as refusing one wastes the
     * work of its parent. */
    BB_GATE_QUEUE_MIN_NESTED_TIME_PERCENT = 25,
    /* Assumed until the first request has finished. */
    BB_GATE_QUEUE_DEFAULT_DURATION_US = 100 * 1000
};

enum bb_gate_queue_decision {
    BB_GATE_QUEUE_RUN,
    BB_GATE_QUEUE_WAIT,
    BB_GATE_QUEUE_REFUSE
};

struct bb_gate_queue_item {
    uint64_t id;       /* unique among the queued requests */
    uint32_t priority; /* 0: most urgent */
    /* By route; groups requests of like duration. Any value, taken modulo
     * BB_REQUEST_CLASS_COUNT. */
    uint32_t class_index;
    uint64_t team_id;   /* 0: none */
    uint64_t team_turn; /* set by the queue: when the team was served */
    bool is_unsafe; /* must not run twice: refusing it late costs its caller
                       more than a late lookup */
    bool is_nested; /* sent by an upstream that runs a request */
    uint64_t target_end_us; /* target: a response after it is late */
    uint64_t deadline_us;   /* the caller stops waiting */
    uint64_t expected_us;   /* expected duration; 0: that of its class */
    /* Time before the deadline at which it is refused at the latest if it has
     * not started, so that the refusal arrives in time. */
    uint64_t refusal_margin_us;
};

/* Remaining work of the running requests. All 0: unknown. */
struct bb_gate_work {
    uint64_t left_us;    /* sum of the expected remaining times */
    double ends_per_s;   /* sum of their reciprocals */
    double usable_slots; /* slots that become free within a usual duration,
                            those held for longer in proportion */
};

struct bb_gate_queue {
    uint32_t slots; /* max running; 0: all requests are refused */
    uint32_t running;
    uint32_t queued;
    /* Moving average by request class; 0: none yet. */
    uint64_t class_duration_us[BB_REQUEST_CLASS_COUNT];
    /* Moving average over all request classes. At first it is
     * BB_GATE_QUEUE_DEFAULT_DURATION_US. */
    uint64_t overall_mean_us;
    /* As of the caller's last bb_gate_queue_set_work. */
    struct bb_gate_work running_work;
    struct bb_upstream_limit limit;
    /* Time of the latest start by starvation class. */
    uint64_t started_us[BB_GATE_QUEUE_STARVATION_CLASSES];
    uint64_t turn; /* counts the starts of queued requests */
    /* One more than the maximum, for a request that displaces another. */
    struct bb_gate_queue_item queue[BB_GATE_QUEUE_MAX + 1];
};

void bb_gate_queue_init(struct bb_gate_queue *q, uint32_t slots);
void bb_gate_queue_set_slots(struct bb_gate_queue *q, uint32_t slots);
enum bb_gate_queue_decision
bb_gate_queue_arrive(struct bb_gate_queue *q,
                     const struct bb_gate_queue_item *r, uint64_t max_wait_us,
                     uint64_t now_us);
bool bb_gate_queue_take_next(struct bb_gate_queue *q, uint64_t now_us,
                             uint64_t *id,
                             enum bb_gate_queue_decision *decision);
bool bb_gate_queue_cancel(struct bb_gate_queue *q, uint64_t id);
void bb_gate_queue_finish(struct bb_gate_queue *q, uint32_t class_index,
                          uint64_t duration_us, bool is_success);
uint64_t bb_gate_queue_next_due_us(const struct bb_gate_queue *q,
                                   uint64_t now_us);
void bb_gate_work_add(struct bb_gate_work *w, const struct bb_gate_queue *q,
                      uint64_t left_us);
void bb_gate_queue_set_work(struct bb_gate_queue *q,
                            const struct bb_gate_work *w);
bool bb_gate_queue_is_work_known(const struct bb_gate_queue *q);
uint64_t bb_gate_queue_wait_us(const struct bb_gate_queue *q,
                               const struct bb_gate_queue_item *r,
                               uint64_t now_us);
uint64_t bb_gate_queue_work_left_us(const struct bb_gate_queue *q);
uint64_t bb_gate_queue_limit_wait_us(const struct bb_gate_queue *q,
                                     uint64_t now_us);

#endif
