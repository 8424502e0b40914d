/* Monotonic, boot and wall clocks in microseconds. The modules in decide/
 * never call these; their callers pass the time in, which keeps them
 * deterministic. */
#ifndef BB_COMMON_CLOCK_H
#define BB_COMMON_CLOCK_H

#include <stdint.h>
#include <time.h>

enum { BB_US_PER_MS = 1000, BB_US_PER_S = 1000000, BB_NS_PER_US = 1000 };

uint64_t bb_clock_now_us(void);
uint64_t bb_clock_boot_now_us(void);
uint64_t bb_clock_wall_now_us(void);
struct timespec bb_clock_to_timespec(uint64_t time_us);
void bb_clock_sleep_us(uint64_t duration_us);

#endif
