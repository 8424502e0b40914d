/* Internals of admission: usable slots, expected waits, deadline checks and
 * the queue. For admission.c, the replay of traces and the tests. */
#ifndef BB_DECIDE_ADMISSION_CAPACITY_H
#define BB_DECIDE_ADMISSION_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"

/* Slots at one point in time, computed once for each scan of the queue. */
struct bb_admission_capacity {
    uint32_t usable;       /* max running requests */
    uint32_t long_limit;   /* usable slots that long requests may hold */
    uint32_t long_running; /* running, long by class or by duration */
};

struct bb_admission_capacity
bb_admission_capacity(const struct bb_admission *a, uint64_t now_us);
uint32_t bb_admission_configured_slots(const struct bb_admission *a);
uint64_t bb_admission_overlong_threshold_us(const struct bb_admission *a);
bool bb_admission_is_upstream_slow(const struct bb_admission *a,
                                   uint64_t now_us);
uint64_t bb_admission_slow_threshold_us(const struct bb_admission *a);
bool bb_admission_is_below_team_limit(const struct bb_admission *a,
                                      uint16_t team);
bool bb_admission_can_run(const struct bb_admission *a,
                          const struct bb_admission_capacity *c,
                          const struct bb_admission_request *r);
uint64_t bb_admission_mean_duration_us(const struct bb_admission *a,
                                       enum bb_admission_class work_class);
uint64_t bb_admission_expected_wait_us(const struct bb_admission *a,
                                       const struct bb_admission_capacity *c,
                                       enum bb_admission_class work_class,
                                       uint32_t ahead);
uint64_t
bb_admission_max_feasible_wait_us(const struct bb_admission *a,
                                  const struct bb_admission_request *r,
                                  uint64_t now_us);
bool bb_admission_can_meet_deadline(const struct bb_admission *a,
                                    const struct bb_admission_request *r,
                                    uint64_t wait_us, uint64_t now_us);

void bb_admission_enqueue(struct bb_admission *a,
                          const struct bb_admission_request *r);
void bb_admission_remove_queued(struct bb_admission *a, uint32_t position);
uint32_t bb_admission_count_ahead(const struct bb_admission *a,
                                  enum bb_admission_class work_class,
                                  uint64_t deadline_us);
bool bb_admission_evict_infeasible(struct bb_admission *a,
                                   const struct bb_admission_capacity *c,
                                   bool only_long, uint64_t now_us);
uint64_t bb_admission_max_wait_us(const struct bb_admission *a,
                                  enum bb_admission_class work_class);
uint64_t bb_admission_request_wait_us(const struct bb_admission *a,
                                      const struct bb_admission_capacity *c,
                                      const struct bb_admission_request *r);
bool bb_admission_make_queue_space(struct bb_admission *a,
                                   const struct bb_admission_capacity *c,
                                   const struct bb_admission_request *r,
                                   uint64_t now_us);

#endif
