/* Adapter of the record and call recovery modules, with gatekeepers 0 to 3 and
 * one call. Events for a gatekeeper: begin, finish and query (of a request)
 * and restart (in a new incarnation with an empty record). Events for the
 * recovery, which watches one call: send (the call is sent), bytes (a part of
 * the response arrives), broken (the connection is lost), answered and
 * query_failed (result of a query to the gatekeeper) and step (only advances
 * the time). */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/registry.h"
#include "decide/call_recovery.h"
#include "decide/record.h"
#include "replay/replay.h"

enum {
    GATEKEEPER_COUNT = 4,
    ENTRIES_MAX = 64,
    RETENTION_S = 600,
    MS_MAX = 86400000
};

struct gatekeeper {
    struct bb_record record;
    struct bb_record_entry entries[ENTRIES_MAX];
};

struct state {
    struct gatekeeper gatekeepers[GATEKEEPER_COUNT];
    struct bb_call_recovery recovery;
};

static const char *const begin_names[] = {
    "run",  "duplicate_running", "duplicate_done", "refused",
    "full", "other_incarnation"};
static const char *const query_names[] = {
    "never_seen", "running", "done", "refused", "other_incarnation", "full"};
static const char *const step_names[] = {"wait", "query", "take_answer",
                                         "retry", "unknown"};
static const char *const outcome_names[] = {"done", "refused"};

enum { QUERY_NAME_COUNT = sizeof(query_names) / sizeof(query_names[0]) };

/* Starts a gatekeeper with an empty record. */
static void
start_gatekeeper(struct gatekeeper *g, uint64_t incarnation)
{
    bb_record_init(&g->record, incarnation,
                   (uint64_t)RETENTION_S * BB_US_PER_S, g->entries,
                   ENTRIES_MAX);
}

/* Returns gatekeepers in their first incarnation, or NULL if out of memory. */
static void *
create(void)
{
    struct state *s = calloc(1, sizeof(*s));

    for (uint64_t i = 0; s != NULL && i < GATEKEEPER_COUNT; i++) {
        start_gatekeeper(&s->gatekeepers[i], 1);
    }
    return s;
}

/* Returns the gatekeeper that an event names; NULL with an error set. */
static struct gatekeeper *
find_gatekeeper(struct state *s, struct bb_replay_line *l)
{
    uint64_t i;

    return bb_replay_read_number(l, "gatekeeper", GATEKEEPER_COUNT - 1, &i)
               ? &s->gatekeepers[i]
               : NULL;
}

/* Reads the request id and incarnation of a begin or query event. */
static bool
read_id(struct bb_replay_line *l, struct bb_request_id *id,
        uint64_t *incarnation)
{
    const char *text;

    if (!bb_replay_read_string(l, "id", &text) ||
        !bb_replay_read_number_or(l, "incarnation", BB_REPLAY_NUMBER_MAX,
                                  BB_INCARNATION_ANY, incarnation)) {
        return false;
    }
    *id = bb_request_id_from_key("trace", text);
    return true;
}

/* Begins a request, or queries it if is_query, after removing expired entries.
 */
static bool
begin_or_query(struct state *s, struct bb_replay_line *l, bool is_query,
               json_t *result)
{
    struct gatekeeper *g = find_gatekeeper(s, l);
    struct bb_request_id id;
    uint64_t incarnation;
    uint64_t response;

    if (g == NULL || !read_id(l, &id, &incarnation)) {
        return false;
    }
    for (int i = 0; i < ENTRIES_MAX; i++) {
        (void)bb_record_expire(&g->record, l->now_us, &response);
    }
    if (is_query) {
        bb_replay_set_string(
            result, "result",
            query_names[bb_record_query(&g->record, &id, incarnation,
                                        &response, l->now_us)]);
    }
    else {
        bb_replay_set_string(
            result, "result",
            begin_names[bb_record_begin(&g->record, &id, incarnation,
                                        &response, l->now_us)]);
    }
    bb_replay_set_number(result, "answer", response);
    return true;
}

/* Finishes a request and reports whether the gatekeeper knew it. */
static bool
finish(struct state *s, struct bb_replay_line *l, json_t *result)
{
    struct gatekeeper *g = find_gatekeeper(s, l);
    const char *text;
    uint64_t response;
    uint32_t outcome;
    struct bb_request_id id;

    if (g == NULL || !bb_replay_read_string(l, "id", &text) ||
        !bb_replay_read_enum(l, "outcome", outcome_names, 2, 0, &outcome) ||
        !bb_replay_read_number_or(l, "answer", BB_REPLAY_NUMBER_MAX, 0,
                                  &response)) {
        return false;
    }
    id = bb_request_id_from_key("trace", text);
    (void)json_object_set_new(
        result, "known",
        json_boolean(bb_record_finish(
            &g->record, &id, outcome == 0 ? BB_RECORD_DONE : BB_RECORD_REFUSED,
            response, l->now_us)));
    return true;
}

/* Starts the recovery of a call that is sent now. */
static bool
send_call(struct state *s, struct bb_replay_line *l)
{
    bool is_idempotent;
    bool is_keyed;
    uint64_t deadline_ms;

    if (!bb_replay_read_bool_or(l, "idempotent", false, &is_idempotent) ||
        !bb_replay_read_bool_or(l, "keyed", false, &is_keyed) ||
        !bb_replay_read_number(l, "deadline_ms", MS_MAX, &deadline_ms)) {
        return false;
    }
    bb_call_recovery_init(&s->recovery, is_idempotent, is_keyed,
                          BB_CALL_RECOVERY_CHECK_INTERVAL_US,
                          l->now_us + deadline_ms * BB_US_PER_MS, l->now_us);
    return true;
}

/* Passes the response to a query to the recovery. */
static bool
apply_query_result(struct state *s, struct bb_replay_line *l)
{
    uint32_t result_index;

    if (!bb_replay_read_enum(l, "result", query_names, QUERY_NAME_COUNT,
                             QUERY_NAME_COUNT, &result_index)) {
        return false;
    }
    bb_call_recovery_query_completed(
        &s->recovery, (enum bb_query_result)result_index, l->now_us);
    return true;
}

/* Restarts a gatekeeper in its next incarnation, with an empty record. */
static bool
restart(struct state *s, struct bb_replay_line *l)
{
    struct gatekeeper *g = find_gatekeeper(s, l);

    if (g != NULL) {
        start_gatekeeper(g, g->record.incarnation + 1);
    }
    return g != NULL;
}

/* Applies an event to the recovery and reports its next step. */
static bool
apply_to_recovery(struct state *s, const char *event, struct bb_replay_line *l,
                  json_t *result)
{
    enum bb_reason reason;
    bool ok = true;

    if (strcmp(event, "send") == 0) {
        ok = send_call(s, l);
    }
    else if (strcmp(event, "bytes") == 0) {
        bb_call_recovery_bytes_received(&s->recovery, l->now_us);
    }
    else if (strcmp(event, "broken") == 0) {
        bb_call_recovery_connection_broken(&s->recovery, l->now_us);
    }
    else if (strcmp(event, "answered") == 0) {
        ok = apply_query_result(s, l);
    }
    else if (strcmp(event, "query_failed") == 0) {
        bb_call_recovery_query_failed(&s->recovery, l->now_us);
    }
    else if (strcmp(event, "step") != 0) {
        return bb_replay_reject_event(l, event);
    }
    if (ok) {
        bb_replay_set_string(result, "step",
                             step_names[bb_call_recovery_step(
                                 &s->recovery, l->now_us, &reason)]);
        bb_replay_set_string(result, "reason", bb_reason_name(reason));
    }
    return ok;
}

/* Applies one event. Returns false with l->error set if it is unknown or
 * invalid. */
static bool
apply(void *state, const char *event, struct bb_replay_line *l, json_t *result)
{
    if (strcmp(event, "begin") == 0) {
        return begin_or_query(state, l, false, result);
    }
    if (strcmp(event, "query") == 0) {
        return begin_or_query(state, l, true, result);
    }
    if (strcmp(event, "finish") == 0) {
        return finish(state, l, result);
    }
    if (strcmp(event, "restart") == 0) {
        return restart(state, l);
    }
    return apply_to_recovery(state, event, l, result);
}

static const struct bb_replay_module record = {
    .create = create, .destroy = free, .apply = apply};

BB_PLUGIN(record, BB_PLUGIN_REPLAY_MODULE, "record", &record);
