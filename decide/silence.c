#include "decide/silence.h"

#include <string.h>

enum {
    PERCENT = 100,
    P99_PERMILLE = 990,
    /* Events in the same moment have no certain order: a response may have
     * been on its way when a request was sent. */
    ORDER_MARGIN_US = 2000
};

/* Initialises the state for an upstream of which nothing is known. */
void
bb_silence_init(struct bb_silence *s)
{
    memset(s, 0, sizeof(*s));
    s->hold_us = BB_SILENCE_HOLD_MIN_US;
}

/* Returns the position of a request, s->count if it is not observed. */
static uint32_t
find_request(const struct bb_silence *s, uint64_t id)
{
    uint32_t i = 0;

    while (i < s->count && s->requests[i].id != id) {
        i++;
    }
    return i;
}

/* Removes the request at a position; the array is not ordered. */
static void
remove_request(struct bb_silence *s, uint32_t position)
{
    s->requests[position] = s->requests[--s->count];
}

/* Observes a request that is sent to the upstream, with a number that no other
 * one has. */
void
bb_silence_send(struct bb_silence *s, uint64_t id, uint32_t class_index,
                uint64_t now_us)
{
    if (s->count < BB_SILENCE_REQUESTS_MAX) {
        s->requests[s->count++] = (struct bb_silence_request){
            .id = id,
            .sent_us = now_us,
            .class_index = class_index % BB_REQUEST_CLASS_COUNT};
    }
}

/* Starts the evidence anew once it is older than BB_SILENCE_MEMORY_US. */
static void
expire_evidence(struct bb_silence *s, uint64_t now_us)
{
    if (now_us - s->evidence_us > BB_SILENCE_MEMORY_US) {
        s->evidence_us = now_us;
        s->stalls = 0;
        s->ended = 0;
        s->accepted = 0;
    }
    if (now_us - s->tail_us > BB_SILENCE_MEMORY_US) {
        s->tail_us = now_us;
        s->tail_percent /= 2;
    }
}

/* Returns the 99th percentile of a class or of all requests, whichever is
 * longer; 0 if it is not known. */
static uint64_t
usual_longest_us(const struct bb_silence *s, uint32_t class_index)
{
    uint64_t class_us = s->p99_us[class_index];

    if (s->all.total < BB_SILENCE_MIN_SAMPLES ||
        s->stats[class_index].total < BB_SILENCE_MIN_CLASS_SAMPLES) {
        return 0;
    }
    return class_us > s->all_p99_us ? class_us : s->all_p99_us;
}

/* Returns the age from which on a request of a class may count as stalled;
 * UINT64_MAX if the durations of the class are not known. */
static uint64_t
stall_age_us(const struct bb_silence *s, uint32_t class_index)
{
    uint64_t factor = BB_SILENCE_AGE_FACTOR * PERCENT;
    uint64_t usual_us = usual_longest_us(s, class_index);
    uint64_t age_us;

    if (usual_us == 0) {
        return UINT64_MAX;
    }
    if (factor < s->tail_percent * BB_SILENCE_TAIL_FACTOR) {
        factor = s->tail_percent * BB_SILENCE_TAIL_FACTOR;
    }
    age_us = usual_us * factor / PERCENT;
    return age_us > BB_SILENCE_AGE_MIN_US ? age_us : BB_SILENCE_AGE_MIN_US;
}

/* Returns whether a request was old enough to be stalled when the upstream
 * answered last. */
static bool
is_suspect(const struct bb_silence *s, const struct bb_silence_request *r)
{
    uint64_t age_us = stall_age_us(s, r->class_index);

    return age_us != UINT64_MAX && s->last_answer_us > r->sent_us &&
           s->last_answer_us - r->sent_us >= age_us;
}

/* Returns whether a request counts as stalled. */
static bool
is_stalled(const struct bb_silence *s, const struct bb_silence_request *r)
{
    return is_suspect(s, r) && r->later_answered >= BB_SILENCE_LATER_MIN &&
           r->ahead_answered > 0;
}

/* Lowers the limit to what the upstream accepted beside a stalled request, but
 * to half at most, as a request may stall for another reason. Stalled requests
 * that were sent before the limit was lowered say nothing of the present one.
 */
static void
lower_limit(struct bb_silence *s, const struct bb_silence_request *r,
            uint64_t now_us)
{
    uint32_t accepted = r->ahead_answered;

    if (s->limit == 0) {
        s->limit = s->accepted;
    }
    else if (r->sent_us < s->lowered_us) {
        return;
    }
    else {
        uint32_t least = (s->limit + 1) / 2;

        accepted = accepted > least ? accepted : least;
        s->limit = accepted < s->limit ? accepted : s->limit;
        s->hold_us = 2 * s->hold_us < BB_SILENCE_HOLD_MAX_US
                         ? 2 * s->hold_us
                         : BB_SILENCE_HOLD_MAX_US;
    }
    s->lowered_to = s->limit;
    s->lowered_us = now_us;
    s->next_step_us = now_us + s->hold_us;
}

/* Records a stalled request as evidence, and applies it to the limit if the
 * upstream is a silent one. */
static void
record_stall(struct bb_silence *s, const struct bb_silence_request *r,
             uint64_t now_us)
{
    s->stalls++;
    s->ended++;
    if (r->ahead_answered > s->accepted) {
        s->accepted = r->ahead_answered;
    }
    if (!s->is_silent && s->stalls >= BB_SILENCE_STALLS_MIN &&
        s->stalls * BB_SILENCE_STALL_ONE_IN >= s->ended) {
        s->is_silent = true;
    }
    if (s->is_silent) {
        s->last_stall_us = now_us;
        lower_limit(s, r, now_us);
    }
}

/* Adds a duration and returns the new 99th percentile. */
static uint64_t
add_duration(struct bb_duration_stats *d, uint64_t took_us)
{
    uint64_t p99_us;

    bb_duration_stats_add(d, took_us);
    p99_us = bb_duration_stats_quantile_us(d, P99_PERMILLE);
    return p99_us != 0 ? p99_us : 1;
}

/* Updates the durations with an answered request. A run that was longer than
 * all before raises the age from which on others count as stalled. */
static void
record_duration(struct bb_silence *s, const struct bb_silence_request *r,
                uint64_t now_us)
{
    uint64_t took_us = now_us - r->sent_us;
    uint64_t usual_us = usual_longest_us(s, r->class_index);

    if (usual_us != 0 && took_us >= BB_SILENCE_AGE_MIN_US &&
        took_us * PERCENT / usual_us >= s->tail_percent) {
        s->tail_percent = took_us * PERCENT / usual_us;
        s->tail_us = now_us;
    }
    s->p99_us[r->class_index] =
        add_duration(&s->stats[r->class_index], took_us);
    s->all_p99_us = add_duration(&s->all, took_us);
}

/* Records that the response to a request began. */
void
bb_silence_answer(struct bb_silence *s, uint64_t id, uint64_t now_us)
{
    uint32_t position = find_request(s, id);
    struct bb_silence_request answered;

    if (position == s->count) {
        return;
    }
    expire_evidence(s, now_us);
    answered = s->requests[position];
    remove_request(s, position);
    for (uint32_t i = 0; i < s->count; i++) {
        struct bb_silence_request *r = &s->requests[i];

        if (r->sent_us < answered.sent_us) {
            r->later_answered++;
        }
        else if (now_us - r->sent_us >= ORDER_MARGIN_US) {
            r->ahead_answered++;
        }
    }
    s->ended++;
    s->last_answer_us = now_us;
    record_duration(s, &answered, now_us);
}

/* Ends the observation of a request that is no evidence. Does nothing if it is
 * not observed. */
void
bb_silence_drop(struct bb_silence *s, uint64_t id)
{
    uint32_t position = find_request(s, id);

    if (position < s->count) {
        remove_request(s, position);
    }
}

/* Records that a request reached its deadline without a response. */
void
bb_silence_expire(struct bb_silence *s, uint64_t id, uint64_t now_us)
{
    uint32_t position = find_request(s, id);
    struct bb_silence_request r;

    if (position == s->count) {
        return;
    }
    expire_evidence(s, now_us);
    r = s->requests[position];
    remove_request(s, position);
    if (is_stalled(s, &r)) {
        record_stall(s, &r, now_us);
    }
}

/* Returns whether a stalled request is to be cut: the upstream is a silent
 * one, and had accepted as many others as it does, less one as not all of them
 * need be answered yet. */
static bool
should_cut(const struct bb_silence *s, const struct bb_silence_request *r)
{
    return s->is_silent && r->ahead_answered + 1 >= s->lowered_to &&
           is_stalled(s, r);
}

/* Removes a request that is to be cut, as it is stalled at an upstream that
 * has shown this behaviour, and sets its id. Returns false if there is none.
 * Call it until it returns false. */
bool
bb_silence_take_stalled(struct bb_silence *s, uint64_t now_us, uint64_t *id)
{
    uint32_t stalled = 0;
    uint32_t oldest = 0;

    for (uint32_t i = 0; i < s->count; i++) {
        if (should_cut(s, &s->requests[i])) {
            if (stalled == 0 ||
                s->requests[i].sent_us < s->requests[oldest].sent_us) {
                oldest = i;
            }
            stalled++;
        }
    }
    if (stalled == 0) {
        return false;
    }
    *id = s->requests[oldest].id;
    record_stall(s, &s->requests[oldest], now_us);
    remove_request(s, oldest);
    return true;
}

/* Returns how many requests are old enough to be stalled. */
static uint32_t
count_suspects(const struct bb_silence *s)
{
    uint32_t suspects = 0;

    for (uint32_t i = 0; i < s->count; i++) {
        suspects += is_suspect(s, &s->requests[i]);
    }
    return suspects;
}

/* Returns how many requests the upstream may get at once: its slots, or fewer
 * while a limit holds. Those that are old enough to be stalled do not count
 * under a limit, as they would keep others back that are the evidence. Raises
 * the limit when a step is due, and forgets it once it reaches the slots. */
uint32_t
bb_silence_slots(struct bb_silence *s, uint32_t slots, uint64_t now_us)
{
    uint32_t allowed;

    if (s->limit == 0) {
        if (s->is_silent && now_us - s->last_stall_us > BB_SILENCE_MEMORY_US) {
            s->is_silent = false;
            s->hold_us = BB_SILENCE_HOLD_MIN_US;
        }
        return slots;
    }
    if (now_us >= s->next_step_us) {
        s->limit++;
        s->next_step_us = now_us + BB_SILENCE_STEP_US;
    }
    if (s->limit >= slots && slots > 0) {
        s->limit = 0;
        return slots;
    }
    allowed = s->limit + count_suspects(s);
    return allowed < slots ? allowed : slots;
}
