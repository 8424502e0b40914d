/* Adapter of the admission module. Events: configure (new limits), state
 * (announced state of the upstream), shed (the upstream sheds load), stop (the
 * gatekeeper stops), arrive, finish and cancel (of one request), tick (only
 * advances the time) and offer, which generates load for up to ten minutes of
 * virtual time. */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/registry.h"
#include "decide/admission.h"
#include "offered_load.h"
#include "replay/replay.h"

enum {
    SLOTS_MAX = 100000,
    PERCENT_MAX = 100,
    RATE_MAX = 100000,
    MS_MAX = 86400000,
    OFFER_MS_MAX = 600000
};

struct state {
    struct bb_admission admission;
    struct bb_offered_load_state offered;
};

static const char *const class_names[] = {"short", "long"};
static const char *const state_names[] = {"none", "starting", "ready",
                                          "draining", "leaving"};
static const char *const decision_names[] = {"run", "queue", "refuse"};

/* Returns an initial admission state, or NULL if out of memory. */
static void *
create(void)
{
    struct state *s = calloc(1, sizeof(*s));

    if (s != NULL) {
        bb_admission_init(&s->admission);
    }
    return s;
}

/* Adds the due actions for queued requests and the current load to the
 * result. */
static void
add_actions_and_load(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_admission_action action;
    struct bb_admission_load load;
    json_t *actions = json_array();

    while (bb_admission_next_action(&s->admission, l->now_us, &action)) {
        json_t *one = json_object();

        bb_replay_set_number(one, "id", action.id);
        bb_replay_set_string(one, "decision",
                             decision_names[action.decision.kind]);
        if (action.decision.kind == BB_ADMISSION_DECISION_REFUSE) {
            bb_replay_set_string(one, "reason",
                                 bb_reason_name(action.decision.reason));
        }
        (void)json_array_append_new(actions, one);
    }
    (void)json_object_set_new(result, "actions", actions);
    load = bb_admission_load(&s->admission, l->now_us);
    bb_replay_set_number(result, "running", load.running);
    bb_replay_set_number(result, "queued", load.queued);
    bb_replay_set_number(result, "slots", load.slots);
}

/* Replaces the admission limits. */
static bool
configure(struct state *s, struct bb_replay_line *l)
{
    struct bb_admission_limits limits = {0};
    uint64_t slots;
    uint64_t connections;
    uint64_t queue;
    uint64_t percent;
    uint64_t slow_start_ms;
    uint64_t wait_ms;
    uint64_t service_limit;

    if (!bb_replay_read_number(l, "slots", SLOTS_MAX, &slots) ||
        !bb_replay_read_number_or(l, "connections", SLOTS_MAX, 0,
                                  &connections) ||
        !bb_replay_read_number(l, "queue_length", SLOTS_MAX, &queue) ||
        !bb_replay_read_number(l, "long_work_percent", PERCENT_MAX,
                               &percent) ||
        !bb_replay_read_number_or(l, "slow_start_ms", MS_MAX, 0,
                                  &slow_start_ms) ||
        !bb_replay_read_number_or(l, "queue_wait_ms", MS_MAX, 0, &wait_ms) ||
        !bb_replay_read_number_or(l, "service_limit", SLOTS_MAX, 0,
                                  &service_limit)) {
        return false;
    }
    limits.slots = (uint32_t)slots;
    limits.connections = (uint32_t)connections;
    limits.queue_length = (uint32_t)queue;
    limits.long_work_percent = (uint32_t)percent;
    limits.slow_start_ms = (uint32_t)slow_start_ms;
    limits.queue_wait_ms = (uint32_t)wait_ms;
    limits.service_limit = (uint32_t)service_limit;
    bb_admission_configure(&s->admission, &limits, l->now_us);
    return true;
}

/* Submits one request and reports the decision. */
static bool
arrive(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_admission_request r = {.team = BB_ADMISSION_NO_TEAM};
    struct bb_admission_decision d;
    uint32_t class_index;
    uint64_t deadline_ms;

    if (!bb_replay_read_number(l, "id", BB_REPLAY_NUMBER_MAX, &r.id) ||
        !bb_replay_read_enum(l, "class", class_names, BB_ADMISSION_CLASS_COUNT,
                             BB_ADMISSION_CLASS_SHORT, &class_index) ||
        !bb_replay_read_bool_or(l, "may_go_elsewhere", false,
                                &r.may_refuse_as_slow) ||
        !bb_replay_read_number(l, "deadline_ms", MS_MAX, &deadline_ms)) {
        return false;
    }
    r.work_class = (enum bb_admission_class)class_index;
    r.deadline_us = l->now_us + deadline_ms * BB_US_PER_MS;
    d = bb_admission_arrive(&s->admission, &r, l->now_us);
    bb_replay_set_string(result, "decision", decision_names[d.kind]);
    bb_replay_set_string(result, "reason", bb_reason_name(d.reason));
    return true;
}

/* Finishes a request, or cancels it if is_cancel, and reports whether the
 * module knew it. */
static bool
finish_or_cancel(struct state *s, struct bb_replay_line *l, bool is_cancel,
                 json_t *result)
{
    uint64_t id;
    uint64_t duration_us = 0;
    bool is_known;

    if (!bb_replay_read_number(l, "id", BB_REPLAY_NUMBER_MAX, &id) ||
        (!is_cancel &&
         !bb_replay_read_number_or(l, "duration_us", BB_REPLAY_NUMBER_MAX, 0,
                                   &duration_us))) {
        return false;
    }
    is_known = is_cancel ? bb_admission_cancel(&s->admission, id)
                         : bb_admission_finish(&s->admission, id, duration_us,
                                               true, l->now_us);
    (void)json_object_set_new(result, "known", json_boolean(is_known));
    return true;
}

/* Generates load in virtual time and reports its statistics. */
static bool
offer_load(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_offered_load o;
    uint64_t for_ms;
    uint64_t deadline_ms;

    if (!bb_replay_read_number(l, "for_ms", OFFER_MS_MAX, &for_ms) ||
        !bb_replay_read_number(l, "deadline_ms", MS_MAX, &deadline_ms) ||
        !bb_replay_read_number_or(l, "short_per_s", RATE_MAX, 0,
                                  &o.rate_per_s[BB_ADMISSION_CLASS_SHORT]) ||
        !bb_replay_read_number_or(l, "long_per_s", RATE_MAX, 0,
                                  &o.rate_per_s[BB_ADMISSION_CLASS_LONG]) ||
        !bb_replay_read_number_or(l, "short_us", BB_REPLAY_NUMBER_MAX, 0,
                                  &o.service_us[BB_ADMISSION_CLASS_SHORT]) ||
        !bb_replay_read_number_or(l, "long_us", BB_REPLAY_NUMBER_MAX, 0,
                                  &o.service_us[BB_ADMISSION_CLASS_LONG]) ||
        !bb_replay_read_number_or(l, "seed", BB_REPLAY_NUMBER_MAX, 1,
                                  &o.seed)) {
        return false;
    }
    o.duration_us = for_ms * BB_US_PER_MS;
    o.deadline_us = deadline_ms * BB_US_PER_MS;
    bb_offered_load_run(&s->offered, &s->admission, &o, l->now_us, result);
    return true;
}

/* Sets the announced state of the upstream. */
static bool
change_state(struct state *s, struct bb_replay_line *l)
{
    uint32_t state_index;

    if (!bb_replay_read_enum(l, "state", state_names,
                             BB_ADMISSION_STATE_LEAVING + 1,
                             BB_ADMISSION_STATE_LEAVING + 1, &state_index)) {
        return false;
    }
    bb_admission_set_state(&s->admission, (enum bb_admission_state)state_index,
                           l->now_us);
    return true;
}

/* Reports that the upstream sheds load for a while. */
static bool
report_shedding(struct state *s, struct bb_replay_line *l)
{
    uint64_t duration_ms;

    if (!bb_replay_read_number(l, "duration_ms", MS_MAX, &duration_ms)) {
        return false;
    }
    bb_admission_shed(&s->admission, duration_ms * BB_US_PER_MS, l->now_us);
    return true;
}

/* Applies one event. Returns false with l->error set if it is unknown or
 * invalid. */
static bool
apply(void *state, const char *event, struct bb_replay_line *l, json_t *result)
{
    struct state *s = state;
    bool ok = true;

    if (l->now_us < s->offered.end_us) {
        return bb_error_set(
            l->error, BB_REPLAY_ERROR_FIELD,
            "\"at_us\" is before the end of the previous \"offer\"");
    }
    if (strcmp(event, "offer") == 0) {
        return offer_load(s, l, result);
    }
    if (strcmp(event, "configure") == 0) {
        ok = configure(s, l);
    }
    else if (strcmp(event, "state") == 0) {
        ok = change_state(s, l);
    }
    else if (strcmp(event, "shed") == 0) {
        ok = report_shedding(s, l);
    }
    else if (strcmp(event, "stop") == 0) {
        bb_admission_stop(&s->admission);
    }
    else if (strcmp(event, "arrive") == 0) {
        ok = arrive(s, l, result);
    }
    else if (strcmp(event, "finish") == 0) {
        ok = finish_or_cancel(s, l, false, result);
    }
    else if (strcmp(event, "cancel") == 0) {
        ok = finish_or_cancel(s, l, true, result);
    }
    else if (strcmp(event, "tick") != 0) {
        return bb_replay_reject_event(l, event);
    }
    if (ok) {
        add_actions_and_load(s, l, result);
    }
    return ok;
}

static const struct bb_replay_module admission = {
    .create = create, .destroy = free, .apply = apply};

BB_PLUGIN(admission, BB_PLUGIN_REPLAY_MODULE, "admission", &admission);
