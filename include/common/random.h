/* Random number generator with a seed (Mersenne Twister of GLib), which
 * threads may share. Tests and benchmarks pass a fixed seed. Not
 * cryptographic. */
#ifndef BB_COMMON_RANDOM_H
#define BB_COMMON_RANDOM_H

#include <stdint.h>

struct bb_random;

struct bb_random *bb_random_create(uint64_t seed);
void bb_random_destroy(struct bb_random *r);
uint64_t bb_random_u64(struct bb_random *r);
uint64_t bb_random_below(struct bb_random *r, uint64_t bound);
uint64_t bb_random_system_seed(void);
uint64_t bb_random_global_u64(void);

#endif
