/* Adapter of the route_pick and outlier modules, combined as in an entry node.
 * Events: add (a gatekeeper becomes a candidate), report (load of a
 * gatekeeper), drain (a gatekeeper gets no more calls), refused_slow (a
 * gatekeeper refused a call because it is slow), link (byte budget of the link
 * between the regions), start (a call begins), call (a call has ended), pick
 * (choose gatekeepers) and tick (only advances the time). */
#include <stdlib.h>
#include <string.h>

#include "common/registry.h"
#include "decide/outlier.h"
#include "decide/route_pick.h"
#include "replay/replay.h"

enum {
    GATEKEEPERS_MAX = 64,
    LOAD_MAX = 100000,
    CALLS_MAX = 100000,
    EJECTED_MAX_PERCENT = 33 /* one third */
};

struct state {
    struct bb_route_candidate candidates[GATEKEEPERS_MAX];
    uint32_t count;
    struct bb_route_state route;
    struct bb_link_budget link;
    struct bb_outliers outliers;
};

static const char *const distance_names[] = {"zone", "region", "remote"};
static const char *const policy_names[] = {"least_wait", "round_robin"};

/* Returns a state without candidates, or NULL if out of memory. */
static void *
create(void)
{
    struct state *s = calloc(1, sizeof(*s));

    if (s != NULL) {
        bb_outliers_init(&s->outliers, EJECTED_MAX_PERCENT);
    }
    return s;
}

/* Returns the candidate that an event names; NULL with an error set. */
static struct bb_route_candidate *
find_candidate(struct state *s, struct bb_replay_line *l)
{
    uint64_t id;

    if (!bb_replay_read_number(l, "gatekeeper", BB_REPLAY_NUMBER_MAX, &id)) {
        return NULL;
    }
    for (uint32_t i = 0; i < s->count; i++) {
        if (s->candidates[i].key == id) {
            return &s->candidates[i];
        }
    }
    (void)bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                       "no gatekeeper with this number was added");
    return NULL;
}

/* Adds a gatekeeper as a candidate. */
static bool
add_candidate(struct state *s, struct bb_replay_line *l)
{
    uint64_t id;
    uint64_t slots;
    uint32_t distance;

    if (!bb_replay_read_number(l, "gatekeeper", BB_REPLAY_NUMBER_MAX, &id) ||
        !bb_replay_read_number(l, "slots", LOAD_MAX, &slots) ||
        !bb_replay_read_enum(l, "tier", distance_names,
                             BB_ROUTE_DISTANCE_COUNT, BB_ROUTE_SAME_ZONE,
                             &distance)) {
        return false;
    }
    if (s->count == GATEKEEPERS_MAX || !bb_outliers_add(&s->outliers, id)) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "the gatekeeper was added before, or there are "
                            "already %d",
                            GATEKEEPERS_MAX);
    }
    bb_route_candidate_init(&s->candidates[s->count++], id,
                            (enum bb_route_distance)distance, (uint32_t)slots);
    return true;
}

/* Updates the load of a candidate. */
static bool
update_load(struct state *s, struct bb_replay_line *l)
{
    struct bb_route_candidate *c = find_candidate(s, l);
    uint64_t running;
    uint64_t queued;
    uint64_t slots;

    if (c == NULL ||
        !bb_replay_read_number(l, "running", LOAD_MAX, &running) ||
        !bb_replay_read_number(l, "queued", LOAD_MAX, &queued) ||
        !bb_replay_read_number(l, "slots", LOAD_MAX, &slots)) {
        return false;
    }
    bb_route_candidate_update_load(c, (uint32_t)running, (uint32_t)queued,
                                   (uint32_t)slots, l->now_us);
    return true;
}

/* Adds a call to a candidate: one that ends now after latency_us if
 * is_finished, else one that starts now. */
static bool
add_call(struct state *s, struct bb_replay_line *l, bool is_finished)
{
    struct bb_route_candidate *c = find_candidate(s, l);
    uint64_t latency_us = 0;
    bool is_failure = false;
    uint64_t start_us;

    if (c == NULL ||
        (is_finished &&
         (!bb_replay_read_number(l, "latency_us", l->now_us, &latency_us) ||
          !bb_replay_read_bool_or(l, "failure", false, &is_failure)))) {
        return false;
    }
    start_us = l->now_us - latency_us;
    bb_route_candidate_start(c);
    bb_outlier_start(&s->outliers, c->key, BB_ADMISSION_CLASS_SHORT, start_us);
    if (is_finished) {
        bb_route_candidate_finish(c, BB_ADMISSION_CLASS_SHORT, latency_us,
                                  !is_failure);
        bb_outlier_finish(&s->outliers, c->key, BB_ADMISSION_CLASS_SHORT,
                          start_us, is_failure, l->now_us);
    }
    return true;
}

/* Returns the next state of a 64-bit linear congruential generator. */
static uint64_t
advance_generator(uint64_t state)
{
    return state * 6364136223846793005U + 1442695040888963407U;
}

/* Picks a number of times at the same virtual time and reports how often each
 * gatekeeper was chosen; key "0" counts picks without a choice. */
static bool
pick_candidates(struct state *s, struct bb_replay_line *l, json_t *result)
{
    const struct bb_route_candidate *all[GATEKEEPERS_MAX];
    struct bb_route_request r = {0};
    struct bb_route_choice c = {0};
    json_t *counts = json_object();
    uint64_t times;
    uint64_t seed;
    uint32_t policy;

    (void)json_object_set_new(result, "chosen", counts);
    if (!bb_replay_read_number_or(l, "times", CALLS_MAX, 1, &times) ||
        !bb_replay_read_number_or(l, "seed", BB_REPLAY_NUMBER_MAX, 1, &seed) ||
        !bb_replay_read_number_or(l, "link_bytes", BB_REPLAY_NUMBER_MAX, 0,
                                  &r.link_bytes) ||
        !bb_replay_read_bool_or(l, "probe", false, &r.can_probe) ||
        !bb_replay_read_enum(l, "policy", policy_names, 2, 0, &policy)) {
        return false;
    }
    for (uint32_t i = 0; i < s->count; i++) {
        s->candidates[i].weight_permille =
            bb_outlier_weight(&s->outliers, s->candidates[i].key, l->now_us);
        all[i] = &s->candidates[i];
    }
    for (uint64_t i = 0; i < times; i++) {
        char key[32];

        seed = advance_generator(seed);
        c = bb_route_pick(
            bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, policy_names[policy]),
            &s->route, all, s->count, &r, &s->link, seed >> 32 | seed << 32,
            l->now_us);
        (void)snprintf(key, sizeof(key), "%llu",
                       c.index < 0 ? 0ULL
                                   : (unsigned long long)all[c.index]->key);
        bb_replay_set_number(
            counts, key,
            (uint64_t)json_integer_value(json_object_get(counts, key)) + 1);
    }
    bb_replay_set_string(result, "reason", bb_reason_name(c.reason));
    return true;
}

/* Adds the weight of each gatekeeper, in permille, and the number of ejected
 * ones to the result. */
static void
add_weights(struct state *s, struct bb_replay_line *l, json_t *result)
{
    json_t *weights = json_array();

    for (uint32_t i = 0; i < s->count; i++) {
        (void)json_array_append_new(
            weights, json_integer(bb_outlier_weight(
                         &s->outliers, s->candidates[i].key, l->now_us)));
    }
    (void)json_object_set_new(result, "weights", weights);
    bb_replay_set_number(result, "ejected",
                         bb_outliers_count_ejected(&s->outliers));
}

/* Applies one event. Returns false with l->error set if it is unknown or
 * invalid. */
static bool
apply(void *state, const char *event, struct bb_replay_line *l, json_t *result)
{
    struct state *s = state;
    struct bb_route_candidate *c;
    uint64_t bytes_per_s;
    bool ok = true;

    if (strcmp(event, "add") == 0) {
        ok = add_candidate(s, l);
    }
    else if (strcmp(event, "report") == 0) {
        ok = update_load(s, l);
    }
    else if (strcmp(event, "drain") == 0) {
        c = find_candidate(s, l);
        ok = c != NULL;
        if (ok) {
            c->is_draining = true;
        }
    }
    else if (strcmp(event, "refused_slow") == 0) {
        c = find_candidate(s, l);
        ok = c != NULL;
        if (ok) {
            (void)bb_outlier_report_slow(&s->outliers, c->key, l->now_us);
        }
    }
    else if (strcmp(event, "link") == 0) {
        ok = bb_replay_read_number(l, "bytes_per_s", BB_REPLAY_NUMBER_MAX,
                                   &bytes_per_s);
        if (ok) {
            bb_link_budget_configure(&s->link, bytes_per_s, l->now_us);
        }
    }
    else if (strcmp(event, "call") == 0 || strcmp(event, "start") == 0) {
        ok = add_call(s, l, strcmp(event, "call") == 0);
    }
    else if (strcmp(event, "pick") == 0) {
        ok = pick_candidates(s, l, result);
    }
    else if (strcmp(event, "tick") != 0) {
        return bb_replay_reject_event(l, event);
    }
    if (ok) {
        bb_outliers_tick(&s->outliers, l->now_us);
        add_weights(s, l, result);
    }
    return ok;
}

static const struct bb_replay_module routing = {
    .create = create, .destroy = free, .apply = apply};

BB_PLUGIN(routing, BB_PLUGIN_REPLAY_MODULE, "routing", &routing);
