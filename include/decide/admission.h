/* Admission at the gatekeeper of one upstream: exact limits, a queue ordered
 * by deadline, a share of slots kept from long work, slow start, draining and
 * shedding. The caller serialises all calls. After each event it takes the
 * actions for queued requests with bb_admission_next until there is none. */
#ifndef BB_DECIDE_ADMISSION_H
#define BB_DECIDE_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/estimate.h"
#include "decide/reason.h"

enum {
    BB_ADMISSION_SLOTS_MAX = 512,
    BB_ADMISSION_QUEUE_MAX = 1024,
    BB_ADMISSION_TEAMS_MAX = 64,
    BB_ADMISSION_NO_TEAM = UINT16_MAX
};

/* The values are those of enum bb_work_class in config/config.h. */
enum bb_admission_class {
    BB_ADMISSION_SHORT,
    BB_ADMISSION_LONG,
    BB_ADMISSION_CLASSES
};

/* The values are those of enum bb_upstream_state in mesh/member.h. */
enum bb_admission_state {
    BB_ADMISSION_NONE,
    BB_ADMISSION_STARTING,
    BB_ADMISSION_READY,
    BB_ADMISSION_DRAINING,
    BB_ADMISSION_LEAVING
};

struct bb_admission_limits {
    uint32_t slots;
    uint32_t connections;       /* 0: as many as slots */
    uint32_t queue_length;      /* at most BB_ADMISSION_QUEUE_MAX */
    uint32_t long_work_percent; /* most slots that long work may hold */
    uint32_t slow_start_ms;
    uint32_t queue_wait_ms; /* longest expected wait; 0: 200 ms */
    uint32_t service_limit; /* most running requests; 0: slots */
    uint16_t team_count;
    uint32_t team_limits[BB_ADMISSION_TEAMS_MAX]; /* 0: no limit */
};

struct bb_admission_request {
    uint64_t id; /* unique among the requests of this gatekeeper */
    enum bb_admission_class work_class;
    uint16_t team; /* BB_ADMISSION_NO_TEAM if none */
    uint64_t deadline_us;
    /* The entry node can try elsewhere at once: it may be refused because the
     * upstream is slow at present. Never set for a repeated attempt. */
    bool may_go_elsewhere;
};

enum bb_admission_kind {
    BB_ADMISSION_RUN,
    BB_ADMISSION_QUEUE,
    BB_ADMISSION_REFUSE
};

struct bb_admission_decision {
    enum bb_admission_kind kind;
    enum bb_reason reason; /* for BB_ADMISSION_REFUSE; ran: no */
};

/* What to do with a request that was queued: run or refuse it. */
struct bb_admission_action {
    uint64_t id;
    struct bb_admission_decision decision;
};

struct bb_admission_running {
    uint64_t id;
    uint64_t start_us;
    enum bb_admission_class work_class;
    uint16_t team;
    bool is_overlong; /* short by class, long by observed duration */
};

struct bb_admission_queued {
    struct bb_admission_request request;
    bool is_evicted;
};

struct bb_admission {
    struct bb_admission_limits limits;
    enum bb_admission_state state;
    bool is_stopping;
    bool is_slow; /* most short requests run much longer than usual */
    uint64_t slow_since_us;
    uint64_t usual_us;     /* when a short request last ended in usual time */
    uint64_t slow_test_us; /* when the next request tests a slow upstream */
    uint64_t ready_us;     /* since when, for slow start */
    uint64_t shed_until_us;
    uint32_t running_count;
    uint32_t queued_count; /* includes evicted ones not yet taken */
    uint32_t evicted_count;
    uint32_t team_running[BB_ADMISSION_TEAMS_MAX];
    struct bb_estimate service_time[BB_ADMISSION_CLASSES];
    struct bb_admission_running running[BB_ADMISSION_SLOTS_MAX];
    struct bb_admission_queued queue[BB_ADMISSION_QUEUE_MAX];
};

/* Reported to entry nodes on every answer. */
struct bb_admission_load {
    uint32_t running;
    uint32_t queued;
    uint32_t slots; /* usable at present; 0 while draining or shedding */
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
bool bb_admission_next(struct bb_admission *a, uint64_t now_us,
                       struct bb_admission_action *out);
uint64_t bb_admission_wake_us(const struct bb_admission *a, uint64_t now_us);
struct bb_admission_load bb_admission_load(const struct bb_admission *a,
                                           uint64_t now_us);
uint32_t bb_admission_usable_slots(const struct bb_admission *a,
                                   uint64_t now_us);
uint32_t bb_admission_long_limit(const struct bb_admission *a,
                                 uint64_t now_us);

#endif
