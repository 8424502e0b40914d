/* The engine's thread: feeds the quorum protocol and the store. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "replicate_internal.h"

enum { TICK_US = 10 * 1000, FETCH_INTERVAL_US = 1000 * 1000 };

BB_GAUGE(revision_gauge, "baobab_agree_revision", "Revision in force here");
BB_GAUGE(term_gauge, "baobab_agree_term", "Term of the quorum protocol");
BB_COUNTER(role_changes, "baobab_agree_role_changes_total",
           "Changes of the role in the quorum protocol");

/* Copies what status shows; called after each event. */
void
replicate_publish(struct bb_replicate *r)
{
    const struct bb_agree *a = &r->core;
    struct bb_agree_config c = bb_agree_config_in_force(a);
    struct bb_replicate_status *s = &r->status;
    char why[BB_REPLICATE_WHY_BYTES] = "";
    bool can_store = bb_store_can_vote(r->store, why, sizeof(why));

    if (can_store && a->durable.formation.id == 0) {
        (void)g_strlcpy(why, "the disk is empty and not admitted",
                        sizeof(why));
    }
    else if (can_store && !bb_agree_is_voter(a)) {
        (void)g_strlcpy(why, "the disk is not a member", sizeof(why));
    }
    bb_counter_set(&revision_gauge, c.revision);
    bb_counter_set(&term_gauge, a->durable.term);
    (void)pthread_mutex_lock(&r->lock);
    s->role = a->role;
    s->term = a->durable.term;
    s->revision = c.revision;
    s->version = c.version;
    s->digest = c.digest;
    s->formation = a->durable.formation.id;
    s->incarnation = a->durable.incarnation;
    s->can_vote = bb_agree_is_voter(a);
    (void)g_strlcpy(s->why_not, why, sizeof(s->why_not));
    s->leader[0] = '\0';
    r->leader = a->leader;
    if (a->leader < r->host_count) {
        (void)g_strlcpy(s->leader, r->hosts[a->leader].id, sizeof(s->leader));
    }
    s->joining[0] = '\0';
    if (a->role == BB_AGREE_LEADER && a->joining_host < r->host_count) {
        (void)g_strlcpy(s->joining, r->hosts[a->joining_host].id,
                        sizeof(s->joining));
    }
    r->confirmed_us = s->can_vote ? a->quorum_known_us : 0;
    memcpy(r->heard_us, a->last_heard_us, sizeof(r->heard_us));
    (void)pthread_mutex_unlock(&r->lock);
}

/* Reports a change of role. */
static void
report_role(struct bb_replicate *r)
{
    enum bb_agree_role role = r->core.role;

    if (role == r->role) {
        return;
    }
    if (role == BB_AGREE_LEADER || r->role == BB_AGREE_LEADER) {
        bb_log_info("agree.role", "%s in term %" G_GUINT64_FORMAT,
                    bb_agree_role_name(role), r->core.durable.term);
    }
    r->role = role;
    bb_counter_add(&role_changes, 1);
    if (r->settings.role_changed != NULL) {
        r->settings.role_changed(r->settings.context, role,
                                 r->core.durable.term);
    }
}

/* Writes what the last step changed. */
static bool
persist(struct bb_replicate *r)
{
    const struct bb_agree_output *out = &r->output;
    struct bb_error e = {0};
    bool is_done;

    if (!out->must_persist_snapshot) {
        is_done = bb_store_append(r->store, &r->core.durable,
                                  out->persist_from_index, &e);
    }
    else {
        is_done = bb_store_snapshot(r->store, &r->core.durable, &e);
    }
    if (!is_done) {
        bb_log_warning("agree.storage_failed", "the host no longer votes: %s",
                       e.message);
    }
    else if (out->must_persist_snapshot) {
        memset(r->known, 0, sizeof(r->known));
        bb_store_keep_payloads(r->store, &r->core.durable);
    }
    return is_done;
}

/* Feeds one event and those that follow from its writes. Messages go out
 * before the write: none depends on a write of the same step. */
static void
feed(struct bb_replicate *r, struct bb_agree_event e)
{
    struct bb_agree_output *out = &r->output;
    bool must_persist;

    do {
        e.now_us = bb_clock_now_us();
        /* Formation ids and nonces must differ between disks even where the
         * seeds are equal. */
        e.random = bb_random_u64(r->random) ^ r->core.durable.incarnation;
        bb_agree_step(&r->core, &e, out);
        for (uint32_t i = 0; i < out->message_count; i++) {
            replicate_send(r, &out->messages[i]);
        }
        must_persist = out->must_persist;
        e.kind = BB_AGREE_EVENT_SYNCED;
        e.as.sync_sequence = out->sync_sequence;
        if (must_persist && !persist(r)) {
            e.kind = BB_AGREE_EVENT_SYNC_FAILED;
        }
        replicate_apply(r);
        for (uint32_t i = 0; i < out->answer_count; i++) {
            replicate_answer(r, &out->answers[i]);
        }
    } while (must_persist);
    report_role(r);
    replicate_publish(r);
}

/* Stops voting after a failed write outside of a step. */
static void
check_store(struct bb_replicate *r)
{
    if (!r->core.is_storage_failed && !bb_store_can_vote(r->store, NULL, 0)) {
        feed(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_SYNC_FAILED});
    }
}

/* Finds a payload that must be stored before a message is answered: that of
 * an entry which is not committed yet, or the one in force. */
static bool
find_missing(struct bb_replicate *r, const struct replicate_job *job,
             struct bb_digest *missing)
{
    const struct bb_agree_message *m = &job->message;

    for (uint8_t i = 0; m->kind == BB_AGREE_APPEND && i < m->count; i++) {
        const struct bb_agree_entry *e = &m->body.entries[i];

        if (e->kind == BB_AGREE_CONFIG && m->index + 1 + i > m->commit_index &&
            !replicate_is_stored(r, &e->digest)) {
            *missing = e->digest;
            return true;
        }
    }
    *missing = job->in_force;
    return (m->kind == BB_AGREE_APPEND || m->kind == BB_AGREE_SNAPSHOT) &&
           !replicate_is_stored(r, &job->in_force);
}

/* Hands a job to the fetcher, or drops it if too many wait. */
static void
hold(struct bb_replicate *r, struct replicate_job *job)
{
    if (replicate_queue_length(&r->fetches) >= REPLICATE_FETCHES_MAX) {
        replicate_free_job(job);
        return;
    }
    replicate_free_job(replicate_queue_push(&r->fetches, job, UINT32_MAX));
}

/* Takes a message, once the payloads it names are stored. While entries wait
 * for their payload, the rest of the message still counts as a heartbeat. */
static void
take_message(struct bb_replicate *r, struct replicate_job *job)
{
    struct bb_digest digest;
    struct bb_agree_message heartbeat;

    if (job->payload_bytes > 0) {
        digest = bb_digest_compute(job->payload, job->payload_bytes);
        (void)bb_store_put_payload(r->store, &digest, job->payload,
                                   job->payload_bytes, NULL);
        check_store(r);
        g_clear_pointer(&job->payload, g_free);
        job->payload_bytes = 0;
    }
    if (!find_missing(r, job, &job->missing)) {
        feed(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                        .as.message = &job->message});
        replicate_free_job(job);
        return;
    }
    if (job->message.kind == BB_AGREE_APPEND &&
        replicate_is_stored(r, &job->in_force)) {
        heartbeat = job->message;
        heartbeat.count = 0;
        feed(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                        .as.message = &heartbeat});
    }
    hold(r, job);
}

/* Stores the payload that came with a proposal. One that did not is fetched
 * from its origin, and the job is then taken again. */
static bool
store_proposal(struct bb_replicate *r, const struct replicate_job *job,
               bool *must_fetch)
{
    bool is_stored;

    *must_fetch = false;
    if (r->core.role != BB_AGREE_LEADER) {
        return true; /* refused by the core */
    }
    if (job->payload_bytes == 0) {
        *must_fetch = !bb_store_has_payload(r->store, &job->proposal.digest);
        return !*must_fetch;
    }
    is_stored = bb_store_put_payload(r->store, &job->proposal.digest,
                                     job->payload, job->payload_bytes, NULL);
    check_store(r);
    return is_stored;
}

/* Takes a proposal: its payload is stored before the core sees it. */
static void
take_proposal(struct bb_replicate *r, struct replicate_job *job)
{
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_PROPOSAL,
                               .as.proposal = job->proposal};
    struct replicate_route *route;
    bool must_fetch;
    bool is_stored = store_proposal(r, job, &must_fetch);

    if (must_fetch) {
        job->missing = job->proposal.digest;
        job->holder = job->origin;
        job->message.from = job->origin;
        hold(r, job);
        return;
    }
    e.as.proposal.ticket = ++r->next_route;
    route = &r->routes[r->next_route % REPLICATE_ROUTES_MAX];
    *route = (struct replicate_route){.ticket = r->next_route,
                                      .origin_ticket = job->proposal.ticket,
                                      .origin = job->origin};
    if (is_stored) {
        r->origins[r->origin_next++ % REPLICATE_ORIGINS_MAX] =
            (struct replicate_origin){.digest = job->proposal.digest,
                                      .host = job->origin};
        feed(r, e);
    }
    else {
        replicate_answer(
            r, &(struct bb_agree_answer){.ticket = r->next_route,
                                         .result = BB_AGREE_NOT_LEADER});
    }
    replicate_free_job(job);
}

/* Looks for the payload in force if it was lost, at most once a second. */
static void
recover_payload(struct bb_replicate *r, uint64_t now_us)
{
    struct bb_agree_config c = bb_agree_config_in_force(&r->core);
    struct replicate_job *job;

    if (c.revision <= r->delivered_revision || bb_digest_is_zero(&c.digest) ||
        now_us < r->fetch_due_us) {
        return;
    }
    r->fetch_due_us = now_us + FETCH_INTERVAL_US;
    replicate_deliver(r, &c);
    if (c.revision <= r->delivered_revision) {
        return;
    }
    job = g_new0(struct replicate_job, 1);
    job->kind = REPLICATE_JOB_FETCH;
    job->missing = c.digest;
    job->holder = r->core.leader;
    job->message.from = r->core.leader;
    hold(r, job);
}

/* Carries out one job; false when the engine has to stop. */
static bool
take_job(struct bb_replicate *r, struct replicate_job *job)
{
    switch (job->kind) {
    case REPLICATE_JOB_MESSAGE:
        take_message(r, job);
        return true;
    case REPLICATE_JOB_PROPOSAL:
        take_proposal(r, job);
        return true;
    case REPLICATE_JOB_FETCH:
        r->fetch_due_us = 0;
        replicate_free_job(job);
        return true;
    case REPLICATE_JOB_STOP:
    default:
        replicate_free_job(job);
        return false;
    }
}

/* Runs the state machine until it is told to stop. */
void *
replicate_engine_run(void *argument)
{
    struct bb_replicate *r = argument;
    uint64_t tick_due_us = 0;
    bool is_running = true;

    while (is_running) {
        struct replicate_job *job =
            replicate_queue_pop(&r->jobs, bb_clock_now_us() + TICK_US);
        uint64_t now_us;

        if (job != NULL) {
            is_running = take_job(r, job);
        }
        now_us = bb_clock_now_us();
        if (is_running && now_us >= tick_due_us) {
            tick_due_us = now_us + TICK_US;
            check_store(r); /* the fetcher writes too */
            feed(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_TICK});
            recover_payload(r, now_us);
        }
    }
    return NULL;
}
