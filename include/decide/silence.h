/* Tells stalled requests from slow ones at one upstream, and learns how many
 * requests the upstream accepts at once.
 *
 * Failure: an upstream drops a request that it cannot queue and never responds
 * to it, nor to anything else on that connection. A fixed timeout would cut
 * long runs, so a request counts as stalled only if all of these hold:
 * - it is older than a multiple of the 99th percentile of its class and of all
 *   requests, whichever is longer. The multiple grows with the longest runs
 * that were answered after all, so that it becomes large at an upstream with a
 * heavy tail or slow phases;
 * - several requests that were sent later have been answered;
 * - others that were at the upstream when it was sent have been answered
 *   since, so that it was not sent to an idle upstream.
 * A request is cut only at an upstream that has shown this behaviour: requests
 * that counted as stalled reached their deadlines, several within
 * BB_SILENCE_MEMORY_US and more than a tail explains; and only if it was sent
 * when about as many were there as the upstream accepts. Many that look
 * stalled at the same time are no such evidence: test_memory of proxyd has
 * slow requests in the class of fast ones. Time in which nothing is answered
 * at all does not count: a paused upstream looks the same as a dead one.
 *
 * The number of requests answered that were at the upstream when a stalled one
 * was sent is what the upstream accepted. It becomes the limit for a hold
 * time; then the limit rises in steps. A stall soon after a step doubles the
 * hold time.
 *
 * Times are microseconds of one clock. The caller serialises the calls. */
#ifndef BB_DECIDE_SILENCE_H
#define BB_DECIDE_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/balance.h"
#include "decide/duration_stats.h"

enum {
    /* Requests at the upstream that are observed; others are not. */
    BB_SILENCE_REQUESTS_MAX = 256,
    /* Responses before the durations of all requests and of a class are known.
     * A gate with 20 requests a second sees some classes only once in a few
     * seconds. */
    BB_SILENCE_MIN_SAMPLES = 50,
    BB_SILENCE_MIN_CLASS_SAMPLES = 8,
    /* Least multiple of the 99th percentile. */
    BB_SILENCE_AGE_FACTOR = 4,
    /* The multiple is this times the longest answered run, in 99th
     * percentiles. */
    BB_SILENCE_TAIL_FACTOR = 2,
    /* For durations of a few milliseconds, which a busy machine exceeds. */
    BB_SILENCE_AGE_MIN_US = 250 * 1000,
    /* Requests that were sent later and are answered. */
    BB_SILENCE_LATER_MIN = 10,
    /* Stalled requests, within BB_SILENCE_MEMORY_US and among that many
     * requests at most per stalled one, that make the upstream a silent one.
     * A tail leaves less than one in a thousand beyond the age. */
    BB_SILENCE_STALLS_MIN = 3,
    BB_SILENCE_STALL_ONE_IN = 100,
    BB_SILENCE_MEMORY_US = 60 * 1000 * 1000,
    /* How long a lowered limit holds, and the time between the steps up. */
    BB_SILENCE_HOLD_MIN_US = 4 * 1000 * 1000,
    BB_SILENCE_HOLD_MAX_US = 64 * 1000 * 1000,
    BB_SILENCE_STEP_US = 1000 * 1000
};

/* A request at the upstream. */
struct bb_silence_request {
    uint64_t id;
    uint64_t sent_us;
    uint32_t class_index;
    uint32_t ahead_answered; /* sent before it, answered after it was sent */
    uint32_t later_answered; /* sent after it and answered */
};

struct bb_silence {
    struct bb_duration_stats all;
    uint64_t all_p99_us;
    uint64_t last_answer_us;
    struct bb_duration_stats stats[BB_REQUEST_CLASS_COUNT];
    uint64_t p99_us[BB_REQUEST_CLASS_COUNT];
    /* Longest answered run in percent of the longer 99th percentile, and when
     * it was answered. */
    uint64_t tail_percent;
    uint64_t tail_us;
    struct bb_silence_request requests[BB_SILENCE_REQUESTS_MAX];
    uint32_t count;
    /* Evidence since evidence_us: stalled requests and all that have ended. */
    uint32_t stalls;
    uint32_t ended;
    uint32_t accepted; /* most that were accepted beside a stalled one */
    uint64_t evidence_us;
    bool is_silent;         /* the upstream has shown the behaviour */
    uint64_t last_stall_us; /* latest stall of a silent upstream */
    uint32_t limit;         /* requests that it accepts at once; 0: no limit */
    uint32_t lowered_to;    /* the limit when it was lowered last */
    uint64_t lowered_us;
    uint64_t next_step_us;
    uint64_t hold_us;
};

void bb_silence_init(struct bb_silence *s);
void bb_silence_send(struct bb_silence *s, uint64_t id, uint32_t class_index,
                     uint64_t now_us);
void bb_silence_answer(struct bb_silence *s, uint64_t id, uint64_t now_us);
void bb_silence_expire(struct bb_silence *s, uint64_t id, uint64_t now_us);
void bb_silence_drop(struct bb_silence *s, uint64_t id);
bool bb_silence_take_stalled(struct bb_silence *s, uint64_t now_us,
                             uint64_t *id);
uint32_t bb_silence_slots(struct bb_silence *s, uint32_t slots,
                          uint64_t now_us);

#endif
