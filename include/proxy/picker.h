/* Load balancing across the gatekeepers of each service: keeps their reported
 * load, latencies, ejections and the retry and hedge budgets, and calls the
 * decision modules. Times ending in _us are those of bb_clock_now_us.
 *
 * Lock order: the picker's lock is a leaf. */
#ifndef BB_PROXY_PICKER_H
#define BB_PROXY_PICKER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/reason.h"
#include "decide/route_pick.h"
#include "proxy/table.h"

/* A usable gatekeeper, as passed to the picker. */
struct bb_pick_target {
    uint64_t host_key; /* bb_host_key of its host */
    enum bb_route_distance distance;
    uint32_t slots; /* announced by the upstream */
};

struct bb_pick_request {
    const char *service;
    const struct bb_pick_target *targets;
    uint32_t target_count;
    enum bb_admission_class work_class;
    bool is_idempotent;
    bool can_retry;      /* this is the first attempt and may be retried */
    uint64_t link_bytes; /* expected bytes of request and response, for the
                            budget of the paid link */
    bool is_hedge;
    uint64_t excluded[BB_ROUTE_EXCLUDED_MAX]; /* host keys not to be picked */
    uint32_t excluded_count;
    uint64_t random_bits; /* for the choice among the targets */
};

struct bb_pick_result {
    int32_t index; /* of the chosen target, or -1 with reason set */
    enum bb_reason reason;
    /* The gatekeeper may refuse the attempt because its upstream is slow; the
     * entry node can then retry at another gatekeeper. */
    bool may_refuse_as_slow;
};

/* The result of an attempt as seen by the entry node. */
enum bb_attempt_result {
    BB_ATTEMPT_COMPLETED,
    BB_ATTEMPT_FAILED,       /* the connection or the upstream failed */
    BB_ATTEMPT_REFUSED,      /* refused for a reason other than slowness */
    BB_ATTEMPT_REFUSED_SLOW, /* refused because the upstream is slow */
    BB_ATTEMPT_NOT_CONNECTED,
    BB_ATTEMPT_CANCELLED /* cancelled, or ended with a stored response */
};

struct bb_picker_limits {
    uint32_t retry_budget_percent; /* of first attempts; 0: no retries */
    uint32_t hedge_budget_percent; /* of first attempts; 0: no hedges */
    uint32_t max_ejected_percent;  /* of a service's gatekeepers; 0: none */
    uint64_t link_bytes_per_s; /* of the paid link; 0: no use of the link */
};

/* An attempt that was refused or failed. */
struct bb_retry_request {
    const char *service;
    enum bb_reason reason; /* of the refusal or failure */
    enum bb_ran ran;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t attempt_count; /* made so far, from 1 */
    uint32_t retry_limit;   /* max retries of the request */
    uint64_t remaining_us;  /* until the deadline */
    uint64_t random_bits;   /* for the jitter of the delay */
};

/* A request with one active attempt that has no response yet. */
struct bb_hedge_request {
    const char *service;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t hedge_count;    /* tried so far */
    uint32_t hedge_limit;    /* max hedges of the request */
    uint64_t elapsed_us;     /* since the request arrived */
    uint64_t remaining_us;   /* until the deadline */
    uint64_t hedge_after_us; /* configured delay; 0: from observed latencies */
};

struct bb_picker;

struct bb_picker *bb_picker_create(const char *policy);
void bb_picker_destroy(struct bb_picker *p);
void bb_picker_configure(struct bb_picker *p,
                         const struct bb_picker_limits *l);
struct bb_pick_result bb_picker_pick(struct bb_picker *p,
                                     const struct bb_pick_request *q,
                                     uint64_t now_us);
void bb_picker_finish_attempt(struct bb_picker *p, const char *service,
                              uint64_t host_key,
                              enum bb_admission_class work_class,
                              uint64_t start_us, enum bb_attempt_result result,
                              uint64_t now_us);
void bb_picker_update_load(struct bb_picker *p, const char *service,
                           uint64_t host_key, const char *load,
                           uint64_t now_us);
void bb_picker_count_first_attempt(struct bb_picker *p);
bool bb_picker_try_retry(struct bb_picker *p, const struct bb_retry_request *q,
                         uint64_t *delay_us, enum bb_reason *reason);
uint64_t bb_picker_hedge_delay_us(struct bb_picker *p,
                                  const struct bb_hedge_request *q);
bool bb_picker_try_hedge(struct bb_picker *p,
                         const struct bb_hedge_request *q);

#endif
