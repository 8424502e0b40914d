/* Rollouts: requests of operators, and the steps that the leader decides and
 * commits. Every control host counts the elapsed time of the running ones, so
 * that a new leader continues without a gap. */
#include "core_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"

/* Longest time that a host which has just started adds to the committed one:
 * the interval of the commits and a restart of all control hosts. */
enum { RESTART_MAX_MS = BB_ROLLOUT_CHECKPOINT_MS + 3000 };

BB_GAUGE(running_gauge, "baobab_core_rollouts_running",
         "Rollouts that are running");
BB_GAUGE(share_gauge, "baobab_core_rollout_share_permille",
         "Share of the target in the rollout that changed last");
BB_GAUGE(state_gauge, "baobab_core_rollout_state",
         "State of the rollout that changed last: 0 running, 1 completed, "
         "2 rolled back");
BB_COUNTER(begun_total, "baobab_core_rollouts_begun_total",
           "Rollouts that were begun with this host as leader");
BB_COUNTER(repeated_total, "baobab_core_rollouts_repeated_total",
           "Rollout requests that had been accepted before");
BB_COUNTER(conflicts_total, "baobab_core_rollouts_conflicts_total",
           "Rollout requests refused because another one is running");
BB_COUNTER(steps_total, "baobab_core_rollout_steps_total",
           "Steps of rollouts that this host committed as leader");

/* A committed rollout. */
struct core_rollout {
    fleet_rollout committed; /* without its texts */
    char *target;
    struct bb_rollout *decision; /* NULL: it is not running */
    bool is_step_proposed;
};

static void
destroy_rollout(void *data)
{
    struct core_rollout *r = data;

    g_free(r->target);
    g_free(r->decision);
    g_free(r);
}

/* Frees a copy of a rollout; NULL is allowed. */
static void
destroy_copy(fleet_rollout *r)
{
    if (r != NULL) {
        g_free(r->service);
        g_free(r->baseline);
        g_free(r->target);
        g_free(r);
    }
}

/* Returns a copy of a rollout with its texts. */
static fleet_rollout *
copy_rollout(const fleet_rollout *r)
{
    fleet_rollout *c = g_new(fleet_rollout, 1);

    *c = *r;
    c->service = g_strdup(r->service);
    c->baseline = g_strdup(r->baseline);
    c->target = g_strdup(r->target);
    return c;
}

/* Creates the tables. */
void
core_rollouts_init(struct bb_core *c)
{
    c->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        destroy_rollout);
    c->evidence = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        core_evidence_destroy);
}

/* Frees the tables. */
void
core_rollouts_clear(struct bb_core *c)
{
    g_hash_table_destroy(c->rollouts);
    g_hash_table_destroy(c->evidence);
}

/* Returns the committed rollout of a service, or NULL. */
static const fleet_rollout *
find_committed(const struct bb_core *c, const char *service)
{
    for (u_int i = 0; i < c->committed_state.rollouts.rollouts_len; i++) {
        const fleet_rollout *r = &c->committed_state.rollouts.rollouts_val[i];

        if (strcmp(r->service, service) == 0) {
            return r;
        }
    }
    return NULL;
}

/* Returns whether a rollout request asks for the rollout that is committed. */
static bool
is_same_request(const fleet_rollout *a, const fleet_rollout *b)
{
    return strcmp(a->target, b->target) == 0 &&
           a->duration_ms == b->duration_ms;
}

/* Returns the time since a rollout began, as of now, at a host that has just
 * started: the committed one, or that of the wall clock if it is higher. As
 * clocks may be wrong, by no more than RESTART_MAX_MS. */
static uint64_t
estimate_elapsed_ms(const fleet_rollout *r)
{
    uint64_t wall_ms = bb_clock_wall_now_us() / BB_US_PER_MS;
    uint64_t passed_ms =
        wall_ms > r->started_wall_ms ? wall_ms - r->started_wall_ms : 0;

    return CLAMP(passed_ms, r->elapsed_ms, r->elapsed_ms + RESTART_MAX_MS);
}

/* Applies a committed rollout that is new or has changed. `is_first` tells
 * that this host has just started. */
static void
apply_committed(struct bb_core *c, const fleet_rollout *next, bool is_first,
                uint64_t now_us)
{
    struct core_rollout *r = g_hash_table_lookup(c->rollouts, next->service);
    bool is_new = r == NULL || strcmp(r->target, next->target) != 0 ||
                  r->committed.duration_ms != next->duration_ms ||
                  next->step < r->committed.step;

    if (is_new) {
        r = g_new0(struct core_rollout, 1);
        r->target = g_strdup(next->target);
        g_hash_table_replace(c->rollouts, g_strdup(next->service), r);
    }
    else if (r->committed.step == next->step &&
             r->committed.elapsed_ms == next->elapsed_ms) {
        return;
    }
    if (is_new || r->committed.step != next->step) {
        bb_log_info(
            "rollout.step",
            "service %s target %s baseline %s: %s, share %u permille, "
            "step %u, after %" G_GUINT64_FORMAT " of %" G_GUINT64_FORMAT " ms",
            next->service, next->target, next->baseline,
            bb_rollout_state_name(next->state), next->share_permille,
            next->step, (guint64)next->elapsed_ms, (guint64)next->duration_ms);
        bb_counter_set(&share_gauge, next->share_permille);
        bb_counter_set(&state_gauge, next->state);
    }
    r->committed = *next;
    r->committed.service = r->committed.baseline = r->committed.target = NULL;
    if (next->state != BB_ROLLOUT_RUNNING) {
        g_free(r->decision);
        r->decision = NULL;
        return;
    }
    if (r->decision == NULL) {
        r->decision = g_new0(struct bb_rollout, 1);
        bb_rollout_init(r->decision, &c->settings.rollout_bounds,
                        next->duration_ms);
    }
    bb_rollout_committed(
        r->decision, next->state, next->step, next->share_permille,
        is_first ? estimate_elapsed_ms(next) : next->elapsed_ms, now_us);
}

/* Applies the rollouts of the state that was committed; `is_first`: it is the
 * first one since this host started. */
void
core_rollouts_committed(struct bb_core *c, bool is_first)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t running = 0;

    for (u_int i = 0; i < c->committed_state.rollouts.rollouts_len; i++) {
        const fleet_rollout *r = &c->committed_state.rollouts.rollouts_val[i];

        if (r->state <= BB_ROLLOUT_ROLLED_BACK) {
            apply_committed(c, r, is_first, now_us);
            running += r->state == BB_ROLLOUT_RUNNING;
        }
    }
    c->running_rollouts = running;
    bb_counter_set(&running_gauge, running);
}

/* Frees a proposal and reports its outcome. */
void
core_finish_rollout_proposal(struct bb_core *c, struct core_proposal *p,
                             enum bb_core_proposal_outcome outcome)
{
    struct core_rollout *r =
        g_hash_table_lookup(c->rollouts, p->rollout->service);

    if (p->is_step && r != NULL) {
        r->is_step_proposed = false;
    }
    if (!p->is_step) {
        bb_log_info("rollout.answered",
                    "service %s target %s duration %" G_GUINT64_FORMAT
                    " ms: outcome %u",
                    p->rollout->service, p->rollout->target,
                    (guint64)p->rollout->duration_ms, outcome);
    }
    bb_counter_add(&conflicts_total,
                   !p->is_step && outcome == BB_CORE_PROPOSAL_STALE);
    if (p->done != NULL) {
        p->done(p->context, outcome, c->committed_state.config_version);
    }
    destroy_copy(p->rollout);
    g_free(p);
}

/* Proposes the state with the proposal's rollout in place of the service's
 * earlier one. */
static void
propose_rollout(struct bb_core *c, struct core_proposal *p, uint64_t now_us,
                struct bb_quorum_output *out)
{
    fleet_replicated_state next = c->committed_state;
    u_int count = next.rollouts.rollouts_len;
    fleet_rollout *list = g_new(fleet_rollout, count + 1);
    u_int at = count;

    for (u_int i = 0; i < count; i++) {
        list[i] = next.rollouts.rollouts_val[i];
        if (strcmp(list[i].service, p->rollout->service) == 0) {
            at = i;
        }
    }
    list[at] = *p->rollout;
    next.rollouts.rollouts_val = list;
    next.rollouts.rollouts_len = at == count ? count + 1 : count;
    if (next.rollouts.rollouts_len > FLEET_ROLLOUTS_MAX) {
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_TOO_LARGE);
    }
    else {
        core_propose_state(c, p, &next, now_us, out);
    }
    g_free(list);
}

/* Search for the version that a service uses without a rollout. */
struct baseline_search {
    const char *service;
    const char *excluded; /* version */
    const fleet_instance *found;
    bool has_excluded; /* an upstream has the excluded version */
};

/* Returns whether an upstream started before another one. A start that is not
 * stated is the latest. */
static bool
started_before(const fleet_instance *a, const fleet_instance *b)
{
    return a->started_ms != 0 &&
           (b->started_ms == 0 || a->started_ms < b->started_ms);
}

/* Considers one upstream in the search for the baseline. */
static void
visit_baseline(void *context, const fleet_instance *i)
{
    struct baseline_search *s = context;

    if (strcmp(i->service, s->service) != 0 ||
        (i->state != BB_INSTANCE_READY && i->state != BB_INSTANCE_DOWN)) {
        return;
    }
    if (bb_instance_has_version(i, s->excluded)) {
        s->has_excluded = true;
    }
    else if (s->found == NULL || started_before(i, s->found)) {
        s->found = i;
    }
}

/* Sets the baseline of a new rollout: the version that the service's last
 * rollout left in force, or else that of the earliest upstream of another
 * version than the target. Returns false if no upstream is known, as after a
 * restart of the control hosts. */
static bool
set_baseline(struct bb_core *c, fleet_rollout *r)
{
    const fleet_rollout *earlier = find_committed(c, r->service);
    struct baseline_search s = {.service = r->service, .excluded = r->target};

    g_free(r->baseline);
    r->baseline = NULL;
    if (earlier != NULL) {
        r->baseline = g_strdup(earlier->state == BB_ROLLOUT_COMPLETED
                                   ? earlier->target
                                   : earlier->baseline);
        return true;
    }
    bb_instance_table_foreach(c->instances, visit_baseline, &s);
    if (s.found != NULL) {
        r->baseline = bb_instance_copy_version(s.found);
    }
    else if (s.has_excluded) {
        r->baseline = g_strdup(r->target);
    }
    return r->baseline != NULL;
}

/* Processes the request to begin a rollout. */
static void
process_begin(struct bb_core *c, struct core_proposal *p, uint64_t now_us,
              struct bb_quorum_output *out)
{
    const fleet_rollout *earlier = find_committed(c, p->rollout->service);

    if (earlier != NULL && is_same_request(earlier, p->rollout)) {
        bb_counter_add(&repeated_total, 1);
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_ACCEPTED);
        return;
    }
    if (earlier != NULL && earlier->state == BB_ROLLOUT_RUNNING) {
        /* As for a stale configuration, a majority confirms it first. */
        p->confirmation_round = bb_quorum_start_read(&c->quorum, now_us, out);
        g_queue_push_tail(&c->stale_proposals, p);
        return;
    }
    if (!set_baseline(c, p->rollout)) {
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_UNKNOWN);
        return;
    }
    if (strcmp(p->rollout->baseline, p->rollout->target) == 0) {
        /* The target is in force. */
        p->rollout->state = BB_ROLLOUT_COMPLETED;
        p->rollout->share_permille = BB_ROLLOUT_PERMILLE;
    }
    bb_counter_add(&begun_total, 1);
    propose_rollout(c, p, now_us, out);
}

/* Processes a proposal of a rollout or a step. A step is dropped if another
 * one was committed since it was decided. */
void
core_process_rollout_proposal(struct bb_core *c, struct core_proposal *p,
                              uint64_t now_us, struct bb_quorum_output *out)
{
    const fleet_rollout *r = find_committed(c, p->rollout->service);

    if (!p->is_step) {
        process_begin(c, p, now_us, out);
        return;
    }
    if (r == NULL || r->state != BB_ROLLOUT_RUNNING ||
        strcmp(r->target, p->rollout->target) != 0 ||
        r->elapsed_ms > p->rollout->elapsed_ms || r->step > p->rollout->step) {
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_STALE);
        return;
    }
    bb_counter_add(&steps_total, 1);
    propose_rollout(c, p, now_us, out);
}

/* Search for the ready upstreams of a rollout's target. */
struct target_count {
    const char *service;
    const char *target;
    uint32_t count;
};

/* Counts one upstream if it is a ready one of the target. */
static void
visit_target(void *context, const fleet_instance *i)
{
    struct target_count *t = context;

    t->count += i->state == BB_INSTANCE_READY &&
                strcmp(i->service, t->service) == 0 &&
                bb_instance_has_version(i, t->target);
}

/* Queues a step, before what operators have proposed. */
static void
queue_step(struct bb_core *c, const fleet_rollout *from,
           const struct bb_rollout_step *next, uint64_t now_us)
{
    struct core_proposal *p = g_new0(struct core_proposal, 1);

    if (next->step != from->step) {
        bb_log_info("rollout.decided",
                    "service %s target %s: %s, share %u permille: %s",
                    from->service, from->target,
                    bb_rollout_state_name(next->state), next->share_permille,
                    next->reason);
    }
    p->is_step = true;
    p->rollout = copy_rollout(from);
    p->rollout->state = next->state;
    p->rollout->step = next->step;
    p->rollout->share_permille = next->share_permille;
    p->rollout->elapsed_ms = next->elapsed_ms;
    p->deadline_us =
        now_us + (uint64_t)BB_CORE_PROPOSAL_TIMEOUT_MS * BB_US_PER_MS;
    g_queue_push_head(&c->proposals, p);
}

/* Prepares the running rollouts for the decisions of this host, which has
 * become the leader. */
void
core_resume_rollouts(struct bb_core *c, uint64_t now_us)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->rollouts);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_rollout *r = value;

        if (r->decision != NULL) {
            bb_rollout_resume(r->decision, now_us);
        }
    }
}

/* On the leader, decides on the running rollouts and proposes their steps. */
void
core_decide_rollouts(struct bb_core *c, uint64_t now_us)
{
    bool has_step = false;

    if (c->quorum.role != BB_QUORUM_LEADER || now_us < c->rollout_due_us) {
        return;
    }
    c->rollout_due_us =
        now_us + (uint64_t)BB_CORE_ROLLOUT_INTERVAL_MS * BB_US_PER_MS;
    for (u_int i = 0; i < c->committed_state.rollouts.rollouts_len; i++) {
        const fleet_rollout *from =
            &c->committed_state.rollouts.rollouts_val[i];
        struct core_rollout *r =
            g_hash_table_lookup(c->rollouts, from->service);
        struct target_count t = {.service = from->service,
                                 .target = from->target};
        struct bb_rollout_step next;

        if (r == NULL || r->decision == NULL || r->is_step_proposed) {
            continue;
        }
        bb_instance_table_foreach(c->instances, visit_target, &t);
        if (bb_rollout_decide(r->decision, t.count, now_us, &next)) {
            queue_step(c, from, &next, now_us);
            r->is_step_proposed = true;
            has_step = true;
        }
    }
    if (has_step) {
        core_process_requests(c, now_us);
    }
}

/* Returns when evidence is to be sent on or the leader decides next, or
 * UINT64_MAX. */
uint64_t
core_rollouts_due_us(const struct bb_core *c)
{
    uint64_t due_us =
        c->evidence_due_us != 0 ? c->evidence_due_us : UINT64_MAX;

    if (c->quorum.role == BB_QUORUM_LEADER && c->running_rollouts > 0) {
        due_us = MIN(due_us, c->rollout_due_us);
    }
    return due_us;
}

/* Adds evidence to the decision on its rollout, if that is running. */
void
core_rollout_add_evidence(struct bb_core *c, const fleet_rollout_evidence *e,
                          uint64_t now_us)
{
    struct core_rollout *r = g_hash_table_lookup(c->rollouts, e->service);
    const fleet_rollout *committed = find_committed(c, e->service);
    struct bb_rollout_evidence out = {
        .upstream_id = bb_hash64(e->upstream_id, strlen(e->upstream_id), 0),
        .route_id = e->route_id,
        .responses = e->responses,
        .failures = e->failures,
        .in_flight = e->in_flight};
    bool is_target;

    if (r == NULL || r->decision == NULL || committed == NULL) {
        return;
    }
    is_target = strcmp(e->software_version, committed->target) == 0;
    if (!is_target && strcmp(e->software_version, committed->baseline) != 0) {
        return;
    }
    out.version = is_target ? BB_ROLLOUT_TARGET : BB_ROLLOUT_BASELINE;
    for (u_int i = 0; i < MIN(e->durations.durations_len,
                              (u_int)BB_ROLLOUT_DURATION_CLASSES);
         i++) {
        out.durations[i] = e->durations.durations_val[i];
    }
    bb_rollout_add_evidence(r->decision, &out, now_us);
}

/* Returns the committed configuration, which the caller unreferences, or NULL
 * if there is none. */
GBytes *
bb_core_committed_config(const struct bb_core *c)
{
    return c->committed_state.config_version == 0
               ? NULL
               : g_bytes_new(c->committed_state.config.config_val,
                             c->committed_state.config.config_len);
}

/* Begins a rollout of a service, which the caller has validated. `done` is
 * called once, possibly before this returns; BB_CORE_PROPOSAL_STALE means that
 * another rollout of the service is running. A request that repeats the
 * newest one of the service is accepted again. */
void
bb_core_begin_rollout(struct bb_core *c, const char *service,
                      const char *target, uint64_t duration_ms,
                      bb_core_proposal_callback done, void *context)
{
    uint64_t now_us = bb_clock_now_us();
    struct core_proposal *p;

    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, BB_CORE_PROPOSAL_NOT_LEADER,
             c->committed_state.config_version);
        return;
    }
    p = g_new0(struct core_proposal, 1);
    p->rollout = g_new0(fleet_rollout, 1);
    p->rollout->service = g_strdup(service);
    p->rollout->target = g_strdup(target);
    p->rollout->duration_ms = duration_ms;
    p->rollout->started_wall_ms = bb_clock_wall_now_us() / BB_US_PER_MS;
    p->done = done;
    p->context = context;
    p->deadline_us =
        now_us + (uint64_t)BB_CORE_PROPOSAL_TIMEOUT_MS * BB_US_PER_MS;
    g_queue_push_tail(&c->proposals, p);
    core_process_requests(c, now_us);
    core_schedule_timer(c);
}

/* Reports the committed rollout of a service, or that no majority confirmed
 * the read, and frees the read. */
void
core_finish_rollout_read(struct bb_core *c, struct core_config_read *r,
                         bool is_confirmed)
{
    if (r->rollout_done != NULL) {
        r->rollout_done(r->context, is_confirmed,
                        is_confirmed ? find_committed(c, r->service) : NULL);
    }
    g_free(r->service);
    g_free(r);
}

/* Reads the newest rollout of a service. `done` is called once, possibly
 * before this returns; at once with is_confirmed false if this host is not the
 * leader. */
void
bb_core_read_rollout(struct bb_core *c, const char *service,
                     bb_core_rollout_callback done, void *context)
{
    struct core_config_read *r;

    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, false, NULL);
        return;
    }
    r = g_new0(struct core_config_read, 1);
    r->service = g_strdup(service);
    r->rollout_done = done;
    r->context = context;
    core_start_read(c, r);
}
