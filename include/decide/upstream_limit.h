/* Request rate of an upstream that is degraded and states how many requests a
 * second it takes from all nodes together, while callers go on sending at the
 * usual rate. Decides which of its statements holds, when the next request may
 * be sent to it, and when refused callers come back.
 *
 * Rates are in thousandths of a request a second (mrps); times are
 * microseconds of one clock. The caller serialises the calls. */
#ifndef BB_DECIDE_UPSTREAM_LIMIT_H
#define BB_DECIDE_UPSTREAM_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Requests may be sent earlier than the rate allows by this time, after a
     * pause: callers do not arrive evenly. */
    BB_UPSTREAM_LIMIT_BURST_US = 250 * 1000,
    /* Latest return of a refused caller. */
    BB_RETURN_SCHEDULE_MAX_US = 10 * 1000 * 1000
};

/* What a response states about the limit of its upstream. */
enum bb_limit_statement {
    BB_LIMIT_NONE,   /* the upstream has no limit */
    BB_LIMIT_STATED, /* it has this one */
    BB_LIMIT_INVALID /* unreadable; says nothing */
};

struct bb_limit_report {
    enum bb_limit_statement statement;
    uint32_t rate_mrps; /* if stated; 0: no requests */
};

struct bb_upstream_limit {
    bool is_limited;
    uint32_t rate_mrps;
    uint64_t began_us;
    uint64_t stated_us; /* when a response stated a limit last */
    uint64_t next_us;   /* from when on the rate allows the next request */
};

/* Return times of callers that were refused because of a limit. */
struct bb_return_schedule {
    uint64_t next_us;
};

bool bb_upstream_limit_update(struct bb_upstream_limit *l,
                              const struct bb_limit_report *r,
                              uint64_t sent_us, uint64_t now_us);
void bb_upstream_limit_count(struct bb_upstream_limit *l, uint64_t now_us);
uint64_t bb_upstream_limit_wait_us(const struct bb_upstream_limit *l,
                                   uint32_t ahead, uint64_t now_us);
uint64_t bb_upstream_limit_interval_us(uint32_t rate_mrps);
uint64_t bb_return_schedule_take(struct bb_return_schedule *s,
                                 uint32_t rate_mrps, uint64_t wait_us,
                                 uint64_t now_us);

#endif
