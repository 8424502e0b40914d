/* Load balancing across the gatekeepers of each service: keeps their reported
 * load, latencies, ejections and the retry and hedge budgets, and calls the
 * decision modules. The modules' struct bb_route_state shares its name with
 * one of config/config.h, so only picker.c includes both.
 *
 * Lock order: the picker's lock is a leaf. */
#ifndef BB_PROXY_PICKER_H
#define BB_PROXY_PICKER_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"
#include "decide/reason.h"

enum { BB_PICK_EXCLUDED_MAX = 16 };

/* A usable gatekeeper. host_key is bb_hash_host of its host, distance a
 * value of enum bb_endpoint_distance. */
struct bb_pick_target {
    uint64_t host_key;
    uint32_t distance;
    uint32_t slots;
};

struct bb_pick_request {
    const char *service;
    const struct bb_pick_target *targets;
    uint32_t target_count;
    enum bb_admission_class work_class;
    bool is_idempotent;
    bool can_retry;      /* this is the first attempt and may be retried */
    uint64_t link_bytes; /* expected size, for the link budget */
    bool is_hedge;
    uint64_t excluded[BB_PICK_EXCLUDED_MAX];
    uint32_t excluded_count;
    uint64_t random_bits;
};

struct bb_pick_result {
    int32_t index; /* of the chosen target, or -1 with reason set */
    enum bb_reason reason;
    bool may_go_elsewhere; /* may be refused if the upstream is slow */
};

/* The result of an attempt as seen by the entry node. */
enum bb_attempt_result {
    BB_ATTEMPT_COMPLETED,
    BB_ATTEMPT_FAILED,       /* the connection or the upstream failed */
    BB_ATTEMPT_REFUSED,      /* by the gatekeeper; says nothing about speed */
    BB_ATTEMPT_REFUSED_SLOW, /* refused because the upstream is slow */
    BB_ATTEMPT_NOT_CONNECTED,
    BB_ATTEMPT_CANCELLED
};

struct bb_picker_limits {
    uint32_t retry_percent;
    uint32_t hedge_percent;
    uint32_t max_ejected_percent;
    uint64_t link_bytes_per_s;
};

struct bb_retry_request {
    const char *service;
    enum bb_reason reason;
    enum bb_ran ran;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t attempt_count;
    uint32_t retry_limit;
    uint64_t remaining_us;
    uint64_t random_bits;
};

struct bb_hedge_request {
    const char *service;
    bool is_idempotent;
    enum bb_admission_class work_class;
    uint32_t hedge_count;
    uint32_t hedge_limit;
    uint64_t elapsed_us;
    uint64_t remaining_us;
    uint64_t hedge_after_us;
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
