#include "roster_keeper.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "config/compile.h"
#include "control/roster_plan.h"

enum { STEP_INTERVAL_MS = 250 };

BB_COUNTER(proposed_total, "baobab_roster_proposals_total",
           "Changes of rosters proposed by this control host");
BB_COUNTER(accepted_total, "baobab_roster_accepted_total",
           "Changes of rosters proposed here that were accepted");

struct bb_roster_keeper {
    struct bb_proposal_target target;
    struct bb_replicate *replicate;
    struct bb_mesh *mesh;
    pthread_t thread;
    /* Guards is_stopping; no other lock is taken while it is held. */
    pthread_mutex_t lock;
    pthread_cond_t stop_requested;
    bool is_stopping;
    /* Used by the thread only. */
    struct bb_roster_planner_set *planners;
    struct bb_config *in_force_config; /* of the newest revision, or NULL */
};

/* Returns whether this host is the leader and has heard a quorum recently.
 * Only the leader proposes; a second proposal from another host would only be
 * refused. */
static bool
is_leader_with_quorum(struct bb_roster_keeper *k)
{
    struct bb_replicate_status s;

    bb_replicate_status(k->replicate, &s);
    return s.role == BB_AGREE_LEADER && s.has_recent_quorum;
}

/* Proposes rosters together with the operators' files in force. After a
 * refusal, because there is a newer revision or no quorum, the next call plans
 * again from what is in force then. */
static void
propose_rosters(struct bb_roster_keeper *k, const struct bb_bundle *b,
                const struct bb_rosters *rosters)
{
    struct bb_replicate_result r;

    bb_counter_add(&proposed_total, 1);
    r = bb_proposal_send_bundle(&k->target, b->folder, rosters, b->version, 0,
                                b->revision);
    if (r.outcome == BB_REPLICATE_ACCEPTED) {
        bb_counter_add(&accepted_total, 1);
        bb_log_info("roster.accepted",
                    "revision %" G_GUINT64_FORMAT
                    " changes the witness rosters",
                    r.revision);
    }
    else if (r.outcome == BB_REPLICATE_BAD_PAYLOAD) {
        bb_log_warning(
            "roster.too_large",
            "folder and witness rosters exceed the size of a revision; the "
            "rosters stay unchanged");
    }
}

/* Compiles the configuration of a revision, unless it is the last one
 * compiled; false if it is invalid. */
static bool
compile_config(struct bb_roster_keeper *k, const struct bb_bundle *b)
{
    struct bb_config_faults faults = {0};

    if (k->in_force_config != NULL &&
        k->in_force_config->revision == b->revision) {
        return true;
    }
    bb_config_destroy(k->in_force_config);
    k->in_force_config = bb_config_compile(b->folder, &faults);
    if (k->in_force_config != NULL) {
        k->in_force_config->revision = b->revision;
    }
    bb_config_faults_clear(&faults);
    return k->in_force_config != NULL;
}

/* Plans the rosters from the current members and, on the leader, proposes them
 * if they changed. */
static void
plan_and_propose(struct bb_roster_keeper *k)
{
    struct bb_bundle *b = bb_bundle_history_newest(k->target.history);
    struct bb_member_list members = {0};
    struct bb_rosters *rosters = NULL;

    if (b != NULL && compile_config(k, b)) {
        bb_mesh_copy_members(k->mesh, &members);
        rosters = bb_roster_planner_set_update(
            k->planners, b, k->in_force_config, &members, bb_clock_now_us());
        bb_member_list_clear(&members);
    }
    if (rosters != NULL && is_leader_with_quorum(k)) {
        propose_rosters(k, b, rosters);
    }
    bb_rosters_destroy(rosters);
    bb_bundle_unref(b);
}

/* Waits for STEP_INTERVAL_MS; false if the thread has to stop. */
static bool
wait_for_next_step(struct bb_roster_keeper *k)
{
    struct timespec until = bb_clock_to_timespec(
        bb_clock_now_us() + (uint64_t)STEP_INTERVAL_MS * BB_US_PER_MS);
    int result = 0;
    bool is_stopping;

    (void)pthread_mutex_lock(&k->lock);
    while (!k->is_stopping && result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&k->stop_requested, &k->lock, &until);
    }
    is_stopping = k->is_stopping;
    (void)pthread_mutex_unlock(&k->lock);
    return !is_stopping;
}

/* The keeper's thread. */
static void *
run(void *argument)
{
    struct bb_roster_keeper *k = argument;

    while (wait_for_next_step(k)) {
        plan_and_propose(k);
    }
    return NULL;
}

/* Creates a keeper and starts its thread. target is copied; its history,
 * replicate and mesh must outlive the keeper. Returns NULL if the thread
 * cannot be started. */
struct bb_roster_keeper *
bb_roster_keeper_create(const struct bb_proposal_target *target,
                        struct bb_replicate *replicate, struct bb_mesh *mesh,
                        struct bb_error *e)
{
    struct bb_roster_keeper *k = g_new0(struct bb_roster_keeper, 1);
    pthread_condattr_t attributes;

    k->target = *target;
    k->replicate = replicate;
    k->mesh = mesh;
    k->planners = bb_roster_planner_set_create();
    (void)pthread_mutex_init(&k->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&k->stop_requested, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    if (pthread_create(&k->thread, NULL, run, k) != 0) {
        bb_error_set(e, BB_CONTROL_ERROR_START,
                     "cannot start the roster thread");
        k->is_stopping = true;
        bb_roster_keeper_destroy(k);
        k = NULL;
    }
    return k;
}

/* Stops the thread and frees the keeper; NULL is allowed. */
void
bb_roster_keeper_destroy(struct bb_roster_keeper *k)
{
    bool has_thread;

    if (k == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&k->lock);
    /* Already set if the thread did not start. */
    has_thread = !k->is_stopping;
    k->is_stopping = true;
    (void)pthread_cond_signal(&k->stop_requested);
    (void)pthread_mutex_unlock(&k->lock);
    if (has_thread) {
        (void)pthread_join(k->thread, NULL);
    }
    bb_config_destroy(k->in_force_config);
    bb_roster_planner_set_destroy(k->planners);
    (void)pthread_cond_destroy(&k->stop_requested);
    (void)pthread_mutex_destroy(&k->lock);
    g_free(k);
}
