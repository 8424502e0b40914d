#include "common/clock.h"

#include <errno.h>

/* Returns the time of a system clock in microseconds. */
static uint64_t
read_clock_us(clockid_t id)
{
    struct timespec t = {0};

    (void)clock_gettime(id, &t);
    return (uint64_t)t.tv_sec * BB_US_PER_S +
           (uint64_t)t.tv_nsec / BB_NS_PER_US;
}

/* Returns the monotonic time in microseconds. */
uint64_t
bb_clock_now_us(void)
{
    return read_clock_us(CLOCK_MONOTONIC);
}

/* Returns the monotonic time in microseconds, including the time during which
 * the system was suspended. */
uint64_t
bb_clock_boot_now_us(void)
{
    return read_clock_us(CLOCK_BOOTTIME);
}

/* Returns the wall-clock time in microseconds since 1970. It can jump, so it
 * is used only for display, for numbers that tell the runs of a process apart
 * (incarnations), and as a seed if the kernel gives none. */
uint64_t
bb_clock_wall_now_us(void)
{
    return read_clock_us(CLOCK_REALTIME);
}

/* Converts a time or duration in microseconds to a timespec. */
struct timespec
bb_clock_to_timespec(uint64_t time_us)
{
    return (struct timespec){
        .tv_sec = (time_t)(time_us / BB_US_PER_S),
        .tv_nsec = (long)(time_us % BB_US_PER_S) * BB_NS_PER_US,
    };
}

/* Sleeps for a duration in microseconds, even if signals arrive. */
void
bb_clock_sleep_us(uint64_t duration_us)
{
    struct timespec left = bb_clock_to_timespec(duration_us);

    while (clock_nanosleep(CLOCK_MONOTONIC, 0, &left, &left) == EINTR) {
    }
}
