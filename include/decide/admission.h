/* Admission control at the gatekeeper, the part of baobab-node in front of one
 * upstream: concurrency limits, a queue ordered by deadline, a cap on the
 * slots that long requests may hold, slow start, draining and load shedding.
 * The gate of baobab-proxy uses decide/gate_queue.h instead.
 *
 * Times are microseconds of one monotonic clock. The module takes no locks:
 * the caller serialises all calls. After each event the caller calls
 * bb_admission_next_action until it returns false, and runs or refuses the
 * queued requests that it returns. */
#ifndef BB_DECIDE_ADMISSION_H
#define BB_DECIDE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/duration_stats.h"
#include "decide/reason.h"

enum {
    BB_ADMISSION_SLOTS_MAX = 512,
    BB_ADMISSION_QUEUE_MAX = 1024,
    BB_ADMISSION_TEAMS_MAX = 64,
    BB_ADMISSION_NO_TEAM = UINT16_MAX
};

/* Short or long request, as configured for its route. The values are those of
 * enum bb_work_class in config/config.h. */
enum bb_admission_class {
    BB_ADMISSION_CLASS_SHORT,
    BB_ADMISSION_CLASS_LONG,
    BB_ADMISSION_CLASS_COUNT
};

/* State announced by the upstream. The values are those of enum
 * bb_upstream_state in mesh/member.h. */
enum bb_admission_state {
    BB_ADMISSION_STATE_NONE,     /* no upstream is announced */
    BB_ADMISSION_STATE_STARTING, /* accepts no requests yet */
    BB_ADMISSION_STATE_READY,    /* accepts requests */
    BB_ADMISSION_STATE_DRAINING, /* only finishes running requests */
    BB_ADMISSION_STATE_LEAVING   /* treated as draining */
};

struct bb_admission_limits {
    uint32_t slots;       /* max running; capped at BB_ADMISSION_SLOTS_MAX */
    uint32_t connections; /* max connections; 0: as many as slots */
    /* max queued; capped at BB_ADMISSION_QUEUE_MAX - 1 */
    uint32_t queue_length;
    uint32_t long_work_percent; /* max share of slots for long requests */
    uint32_t slow_start_ms;     /* ramp-up time; 0: none */
    /* Max expected wait; 0: 200 ms. bb_admission_max_wait_us raises it for
     * requests of long mean duration. */
    uint32_t queue_wait_ms;
    uint32_t service_limit; /* max running, set by service; 0: no limit */
    uint16_t team_count;
    /* Max running, indexed by the team of the request; 0: no limit. */
    uint32_t team_limits[BB_ADMISSION_TEAMS_MAX];
};

struct bb_admission_request {
    uint64_t id; /* unique among the requests of this gatekeeper */
    enum bb_admission_class work_class;
    uint16_t team; /* BB_ADMISSION_NO_TEAM if none */
    uint64_t deadline_us;
    /* The entry node can retry at another gatekeeper at once, so the request
     * may be refused while the upstream is slow. Never set for a retry. */
    bool may_refuse_as_slow;
};

enum bb_admission_decision_kind {
    BB_ADMISSION_DECISION_RUN,
    BB_ADMISSION_DECISION_QUEUE,
    BB_ADMISSION_DECISION_REFUSE
};

struct bb_admission_decision {
    enum bb_admission_decision_kind kind;
    enum bb_reason
        reason; /* of BB_ADMISSION_DECISION_REFUSE; it did not run */
};

/* Run or refuse a queued request; the decision is never
 * BB_ADMISSION_DECISION_QUEUE. */
struct bb_admission_action {
    uint64_t id;
    struct bb_admission_decision decision;
};

struct bb_admission_running {
    uint64_t id;
    uint64_t start_us;
    enum bb_admission_class work_class;
    uint16_t team;
    bool is_overlong; /* has run so long that it counts as long work */
};

struct bb_admission_queued {
    struct bb_admission_request request;
    bool is_evicted; /* bb_admission_next_action refuses it */
};

struct bb_admission {
    struct bb_admission_limits limits;
    enum bb_admission_state state;
    bool is_stopping;
    bool is_slow; /* short requests run much longer than usual */
    uint64_t slow_since_us;
    uint64_t last_normal_us;     /* last end of a normal short request */
    uint64_t next_slow_probe_us; /* next probe while is_slow */
    uint64_t ready_since_us;     /* when the upstream became ready */
    uint64_t shed_until_us;
    uint32_t running_count;
    uint32_t queued_count;  /* includes the evicted ones */
    uint32_t evicted_count; /* still in the queue, to be refused */
    uint32_t team_running[BB_ADMISSION_TEAMS_MAX];
    struct bb_duration_stats durations[BB_ADMISSION_CLASS_COUNT];
    struct bb_admission_running running[BB_ADMISSION_SLOTS_MAX];
    struct bb_admission_queued queue[BB_ADMISSION_QUEUE_MAX]; /* by deadline */
};

/* Load of one gatekeeper, reported to entry nodes with every response. */
struct bb_admission_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots; /* usable now; 0 while no request may start */
    /* Expected queue wait of one more short request; 0 if a slot is free. */
    uint64_t wait_us;
};

void bb_admission_init(struct bb_admission *a);
void bb_admission_configure(struct bb_admission *a,
                            const struct bb_admission_limits *limits,
                            uint64_t now_us);
void bb_admission_set_state(struct bb_admission *a,
                            enum bb_admission_state state, uint64_t now_us);
void bb_admission_stop(struct bb_admission *a);
void bb_admission_shed(struct bb_admission *a, uint64_t duration_us,
                       uint64_t now_us);
struct bb_admission_decision
bb_admission_arrive(struct bb_admission *a,
                    const struct bb_admission_request *r, uint64_t now_us);
bool bb_admission_start(struct bb_admission *a, uint64_t id, uint64_t now_us);
bool bb_admission_finish(struct bb_admission *a, uint64_t id,
                         uint64_t duration_us, bool is_success,
                         uint64_t now_us);
bool bb_admission_cancel(struct bb_admission *a, uint64_t id);
bool bb_admission_next_action(struct bb_admission *a, uint64_t now_us,
                              struct bb_admission_action *out);
uint64_t bb_admission_next_wakeup_us(const struct bb_admission *a,
                                     uint64_t now_us);
struct bb_admission_load bb_admission_load(const struct bb_admission *a,
                                           uint64_t now_us);
uint32_t bb_admission_usable_slots(const struct bb_admission *a,
                                   uint64_t now_us);
uint32_t bb_admission_long_slot_limit(const struct bb_admission *a,
                                      uint64_t now_us);

#endif
