/* Decisions of a rollout: which share of a service's requests goes to the
 * target version at which time, and whether the target is bad. Without I/O;
 * times in microseconds are on one monotonic clock.
 *
 * The share changes only when the caller reports a committed step. The elapsed
 * time of the rollout is that of the newest commit plus the time since then,
 * so another host can continue from what was committed. */
#ifndef BB_DECIDE_ROLLOUT_H
#define BB_DECIDE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    BB_ROLLOUT_PERMILLE = 1000,
    /* Classes of durations: below 1 ms, then doubling. */
    BB_ROLLOUT_DURATION_CLASSES = 16,
    /* Bounds of the evidence that is kept; what exceeds them is added to the
     * last route or upstream. */
    BB_ROLLOUT_ROUTES_MAX = 24,
    BB_ROLLOUT_UPSTREAMS_MAX = 24, /* of each version */
    /* Evidence is kept for the last 16 s, by slots of this time. */
    BB_ROLLOUT_SLOT_MS = 500,
    BB_ROLLOUT_SLOTS = 32,
    /* An upstream counts as cold for this long after its first response. */
    BB_ROLLOUT_COLD_MS = 4000,
    /* Upstreams known to a host that resumes a rollout within this time of the
     * first evidence are not new. */
    BB_ROLLOUT_RESUMED_MS = 1000,
    /* The leader commits the elapsed time at least this often, so that little
     * of it is lost if all control hosts lose power. */
    BB_ROLLOUT_CHECKPOINT_MS = 3000,
    BB_ROLLOUT_REASON_BYTES = 256
};

enum bb_rollout_state {
    BB_ROLLOUT_RUNNING,
    BB_ROLLOUT_COMPLETED,
    BB_ROLLOUT_ROLLED_BACK
};

enum bb_rollout_version { BB_ROLLOUT_BASELINE, BB_ROLLOUT_TARGET };

struct bb_rollout_bounds {
    uint32_t canary_permille; /* of all requests, that a bad version may get */
    uint32_t slack_requests;  /* besides that share */
    uint32_t rollback_ms;     /* after the 50th bad response */
};

/* Responses of one upstream on one route since the last report of a node. */
struct bb_rollout_evidence {
    enum bb_rollout_version version;
    uint64_t upstream_id; /* hash */
    uint64_t route_id;
    uint32_t responses;
    uint32_t failures;
    uint32_t in_flight; /* only of the baseline */
    uint32_t durations[BB_ROLLOUT_DURATION_CLASSES];
};

/* Sums of responses. */
struct bb_rollout_sums {
    uint32_t responses;
    uint32_t failures;
    uint32_t timed;   /* responses with a duration */
    float classes;    /* sum of their duration classes */
    float classes_sq; /* sum of the squares */
};

/* Evidence of one route and upstream. */
struct bb_rollout_cell {
    struct bb_rollout_sums slots[BB_ROLLOUT_SLOTS];
};

struct bb_rollout_upstream {
    uint64_t id;
    uint64_t first_us; /* first response; 0: unused */
};

struct bb_rollout {
    struct bb_rollout_bounds bounds;
    uint64_t duration_ms;
    /* As of the newest commit. */
    enum bb_rollout_state state;
    uint32_t step;
    uint32_t share_permille;
    uint64_t elapsed_ms;
    uint64_t committed_us; /* when that commit was received here, 0: none */
    bool is_resumed; /* it had run for a while when it became known here */
    /* Evidence received here. */
    uint64_t slot; /* number of the newest slot */
    uint64_t first_evidence_us;
    uint64_t baseline_busy_us; /* last report of the baseline in use */
    uint64_t responses[2];     /* by version, since the first evidence */
    uint64_t route_ids[BB_ROLLOUT_ROUTES_MAX];
    uint32_t route_count;
    uint32_t upstream_count[2];
    struct bb_rollout_upstream upstreams[2][BB_ROLLOUT_UPSTREAMS_MAX];
    struct bb_rollout_cell cells[2][BB_ROLLOUT_ROUTES_MAX]
                                [BB_ROLLOUT_UPSTREAMS_MAX];
    /* Of all upstreams together. */
    struct bb_rollout_cell totals[2][BB_ROLLOUT_ROUTES_MAX];
    /* Of the baseline, by route, from the last seconds before all traffic
     * moved to the target. */
    struct bb_rollout_sums last_baseline[BB_ROLLOUT_ROUTES_MAX];
};

/* A step to commit. */
struct bb_rollout_step {
    enum bb_rollout_state state;
    uint32_t step;
    uint32_t share_permille;
    uint64_t elapsed_ms;
    char reason[BB_ROLLOUT_REASON_BYTES]; /* evidence, for the log */
};

void bb_rollout_init(struct bb_rollout *r, const struct bb_rollout_bounds *b,
                     uint64_t duration_ms);
void bb_rollout_committed(struct bb_rollout *r, enum bb_rollout_state state,
                          uint32_t step, uint32_t share_permille,
                          uint64_t elapsed_ms, uint64_t now_us);
void bb_rollout_resume(struct bb_rollout *r, uint64_t now_us);
void bb_rollout_add_evidence(struct bb_rollout *r,
                             const struct bb_rollout_evidence *e,
                             uint64_t now_us);
uint64_t bb_rollout_elapsed_ms(const struct bb_rollout *r, uint64_t now_us);
bool bb_rollout_decide(struct bb_rollout *r, uint32_t ready_targets,
                       uint64_t now_us, struct bb_rollout_step *next);
uint32_t bb_rollout_duration_class(uint64_t duration_us);
const char *bb_rollout_state_name(enum bb_rollout_state state);

#endif
