/* Functions shared by rollout.c (schedule) and rollout_verdict.c (evidence).
 */
#ifndef BB_DECIDE_ROLLOUT_INTERNAL_H
#define BB_DECIDE_ROLLOUT_INTERNAL_H

#include "decide/rollout.h"

bool rollout_find_fault(struct bb_rollout *r, uint64_t now_us,
                        char reason[BB_ROLLOUT_REASON_BYTES]);
void rollout_describe(struct bb_rollout *r, uint64_t now_us,
                      char reason[BB_ROLLOUT_REASON_BYTES]);
void rollout_keep_baseline(struct bb_rollout *r, uint64_t now_us);

#endif
