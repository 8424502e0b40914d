/* Adapter of the claim module, with witnesses 0 to 7 and one claim at a time.
 * The initial roster is hosts 0 to 2 in epoch 1. Events: claim, roster
 * (replace a host), settle (end the roster change), adopt (a witness takes
 * over the current epoch), gone (a witness becomes unreachable) and restart.
 */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/registry.h"
#include "decide/claim.h"
#include "replay/replay.h"

enum {
    WITNESS_COUNT = 8,
    ENTRIES_MAX = 64,
    RETENTION_S = 600,
    ATTEMPTS_MAX = 1000,
    INITIAL_HOST_COUNT = 3
};

struct witness {
    struct bb_witness witness;
    struct bb_claim_entry entries[ENTRIES_MAX];
    bool is_unreachable;
};

struct state {
    struct witness witnesses[WITNESS_COUNT];
    struct bb_roster roster;
};

static const char *const step_names[] = {"ask", "run", "join", "refused"};

/* Starts a witness without any claims. */
static void
start_witness(struct witness *w, uint64_t epoch, bool is_restart,
              uint64_t now_us)
{
    bb_witness_init(&w->witness, epoch, (uint64_t)RETENTION_S * BB_US_PER_S,
                    is_restart, w->entries, ENTRIES_MAX, now_us);
    w->is_unreachable = false;
}

/* Returns witnesses without claims, the first INITIAL_HOST_COUNT of them in
 * the roster, or NULL if out of memory. */
static void *
create(void)
{
    struct state *s = calloc(1, sizeof(*s));

    if (s == NULL) {
        return NULL;
    }
    s->roster.epoch = 1;
    s->roster.host_count = INITIAL_HOST_COUNT;
    for (uint64_t i = 0; i < WITNESS_COUNT; i++) {
        start_witness(&s->witnesses[i], 1, false, 0);
        if (i < INITIAL_HOST_COUNT) {
            s->roster.hosts[i] = i;
        }
    }
    return s;
}

/* Returns the witness that an event names; NULL with an error set. */
static struct witness *
find_witness(struct state *s, struct bb_replay_line *l)
{
    uint64_t i;

    return bb_replay_read_number(l, "witness", WITNESS_COUNT - 1, &i)
               ? &s->witnesses[i]
               : NULL;
}

/* Claims a key at all its witnesses and reports the next step of the
 * requester. */
static bool
claim(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct bb_claim wanted = {0};
    struct bb_claim held = {0};
    struct bb_claim_requester q;
    struct bb_request_id key;
    enum bb_reason reason;
    const char *key_text;
    const char *id_text;
    uint64_t attempt;
    enum bb_claim_step step;

    if (!bb_replay_read_string(l, "key", &key_text) ||
        !bb_replay_read_string(l, "id", &id_text) ||
        !bb_replay_read_number_or(l, "attempt", ATTEMPTS_MAX, 1, &attempt) ||
        !bb_replay_read_number(l, "gatekeeper", BB_REPLAY_NUMBER_MAX,
                               &wanted.gatekeeper) ||
        !bb_replay_read_number_or(l, "incarnation", BB_REPLAY_NUMBER_MAX, 1,
                                  &wanted.incarnation)) {
        return false;
    }
    key = bb_request_id_from_key("trace", key_text);
    wanted.request = bb_request_id_from_key("trace", id_text);
    wanted.attempt = (uint32_t)attempt;
    bb_claim_start(&q, &s->roster, &key, &wanted);
    for (uint32_t i = 0; i < q.witness_count; i++) {
        struct witness *w = &s->witnesses[q.witnesses[i]];
        struct bb_witness_response a = {.result = BB_WITNESS_UNREACHABLE};

        if (!w->is_unreachable) {
            a = bb_witness_claim(&w->witness, &key, &wanted, q.epoch,
                                 l->now_us);
        }
        (void)bb_claim_add_response(&q, q.witnesses[i], &a);
    }
    step = bb_claim_step(&q, &held, &reason);
    bb_replay_set_string(result, "step", step_names[step]);
    bb_replay_set_string(result, "reason", bb_reason_name(reason));
    bb_replay_set_number(result, "gatekeeper", held.gatekeeper);
    bb_replay_set_number(result, "attempt", held.attempt);
    return true;
}

/* Replaces one host of the roster with another, in a new epoch. */
static bool
change_roster(struct state *s, struct bb_replay_line *l)
{
    uint64_t from;
    uint64_t to;

    if (!bb_replay_read_number(l, "from", WITNESS_COUNT - 1, &from) ||
        !bb_replay_read_number(l, "to", WITNESS_COUNT - 1, &to)) {
        return false;
    }
    memcpy(s->roster.previous, s->roster.hosts, sizeof(s->roster.previous));
    s->roster.previous_count = s->roster.host_count;
    s->roster.epoch++;
    for (uint32_t i = 0; i < s->roster.host_count; i++) {
        if (s->roster.hosts[i] == from) {
            s->roster.hosts[i] = to;
        }
    }
    return true;
}

/* Applies one event. Returns false with l->error set if it is unknown or
 * invalid. */
static bool
apply(void *state, const char *event, struct bb_replay_line *l, json_t *result)
{
    struct state *s = state;
    struct witness *w;

    if (strcmp(event, "claim") == 0) {
        return claim(s, l, result);
    }
    if (strcmp(event, "roster") == 0) {
        return change_roster(s, l);
    }
    if (strcmp(event, "settle") == 0) {
        s->roster.previous_count = 0;
        return true;
    }
    if (strcmp(event, "adopt") != 0 && strcmp(event, "gone") != 0 &&
        strcmp(event, "restart") != 0) {
        return bb_replay_reject_event(l, event);
    }
    w = find_witness(s, l);
    if (w == NULL) {
        return false;
    }
    if (strcmp(event, "adopt") == 0) {
        bb_witness_set_epoch(&w->witness, s->roster.epoch);
    }
    else if (strcmp(event, "gone") == 0) {
        w->is_unreachable = true;
    }
    else {
        start_witness(w, s->roster.epoch, true, l->now_us);
    }
    return true;
}

static const struct bb_replay_module claims = {
    .create = create, .destroy = free, .apply = apply};

BB_PLUGIN(claims, BB_PLUGIN_REPLAY_MODULE, "claim", &claims);
