/* The part of admission that measures: slots usable at a time, expected waits
 * and whether work can finish in time. For admission.c and its tests. */
#ifndef BB_DECIDE_ADMISSION_CAPACITY_H
#define BB_DECIDE_ADMISSION_CAPACITY_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/admission.h"

/* The slots at one time, computed once for a scan of the queue. */
struct bb_admission_capacity {
    uint32_t usable;
    uint32_t long_limit;
    uint32_t long_running;
};

struct bb_admission_capacity
bb_admission_capacity(const struct bb_admission *a, uint64_t now_us);
uint32_t bb_admission_full_slots(const struct bb_admission *a);
uint64_t bb_admission_overlong_us(const struct bb_admission *a);
bool bb_admission_team_has_room(const struct bb_admission *a, uint16_t team);
bool bb_admission_may_run(const struct bb_admission *a,
                          const struct bb_admission_capacity *c,
                          const struct bb_admission_request *r);
uint64_t bb_admission_service_us(const struct bb_admission *a,
                                 enum bb_admission_class work_class);
uint64_t bb_admission_expected_wait_us(const struct bb_admission *a,
                                       const struct bb_admission_capacity *c,
                                       enum bb_admission_class work_class,
                                       uint32_t ahead);
bool bb_admission_is_feasible(const struct bb_admission *a,
                              const struct bb_admission_request *r,
                              uint64_t wait_us, uint64_t now_us);

#endif
