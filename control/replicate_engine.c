/* The engine: the thread that passes events to the consensus protocol and
 * writes its state to the store. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "replicate_internal.h"

enum { TICK_INTERVAL_US = 10 * 1000, FETCH_INTERVAL_US = 1000 * 1000 };

BB_GAUGE(revision_gauge, "baobab_agree_revision", "Revision in force here");
BB_GAUGE(term_gauge, "baobab_agree_term", "Term of the quorum protocol");
BB_COUNTER(role_changes, "baobab_agree_role_changes_total",
           "Changes of the role in the quorum protocol");

/* Copies the state shown by bb_replicate_status; called after each event. */
void
replicate_update_status(struct bb_replicate *r)
{
    const struct bb_agree *a = &r->agree;
    struct bb_agree_config c = bb_agree_config_in_force(a);
    struct bb_replicate_status *s = &r->status;
    char why[BB_REPLICATE_REASON_BYTES] = "";
    bool can_store = bb_store_is_intact(r->store, why, sizeof(why));

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
    s->payload_digest = c.digest;
    s->formation_id = a->durable.formation.id;
    s->disk_id = a->durable.disk_id;
    s->can_vote = bb_agree_is_voter(a);
    (void)g_strlcpy(s->no_vote_reason, why, sizeof(s->no_vote_reason));
    s->leader_host[0] = '\0';
    r->leader = a->leader;
    if (a->leader < r->host_count) {
        (void)g_strlcpy(s->leader_host, r->hosts[a->leader].host,
                        sizeof(s->leader_host));
    }
    s->joining_host[0] = '\0';
    if (a->role == BB_AGREE_LEADER && a->joining_host < r->host_count) {
        (void)g_strlcpy(s->joining_host, r->hosts[a->joining_host].host,
                        sizeof(s->joining_host));
    }
    r->quorum_known_us = s->can_vote ? a->cluster_quorum_us : 0;
    memcpy(r->last_heard_us, a->last_heard_us, sizeof(r->last_heard_us));
    (void)pthread_mutex_unlock(&r->lock);
}

/* Logs, counts and reports a change of the role since the last call. */
static void
report_role_change(struct bb_replicate *r)
{
    enum bb_agree_role role = r->agree.role;

    if (role == r->reported_role) {
        return;
    }
    if (role == BB_AGREE_LEADER || r->reported_role == BB_AGREE_LEADER) {
        bb_log_info("agree.role", "%s in term %" G_GUINT64_FORMAT,
                    bb_agree_role_name(role), r->agree.durable.term);
    }
    r->reported_role = role;
    bb_counter_add(&role_changes, 1);
    if (r->settings.role_changed != NULL) {
        r->settings.role_changed(r->settings.context, role,
                                 r->agree.durable.term);
    }
}

/* Writes the state changed by the last step and syncs it; false on failure,
 * which is logged. */
static bool
persist(struct bb_replicate *r)
{
    const struct bb_agree_output *out = &r->output;
    struct bb_error e = {0};
    bool is_done;

    if (!out->must_persist_snapshot) {
        is_done = bb_store_append_record(r->store, &r->agree.durable,
                                         out->persist_from_index, &e);
    }
    else {
        is_done = bb_store_write_snapshot(r->store, &r->agree.durable, &e);
    }
    if (!is_done) {
        bb_log_warning("agree.storage_failed",
                       "cannot store state, this host stops voting: %s",
                       e.message);
    }
    else if (out->must_persist_snapshot) {
        memset(r->stored_digests, 0, sizeof(r->stored_digests));
        bb_store_remove_unused_payloads(r->store, &r->agree.durable);
    }
    return is_done;
}

/* Runs one event through the protocol and carries out its output, then the
 * event that reports its write, until nothing is left to write. Messages are
 * sent before the write: none depends on a write of the same step. */
static void
run_event(struct bb_replicate *r, struct bb_agree_event e)
{
    struct bb_agree_output *out = &r->output;
    bool must_persist;

    do {
        e.now_us = bb_clock_now_us();
        /* Formation ids and nonces must differ between disks even if the seeds
         * are equal. */
        e.random_bits = bb_random_u64(r->random) ^ r->agree.durable.disk_id;
        bb_agree_step(&r->agree, &e, out);
        for (uint32_t i = 0; i < out->message_count; i++) {
            replicate_send_message(r, &out->messages[i]);
        }
        must_persist = out->must_persist;
        e.kind = BB_AGREE_EVENT_SYNCED;
        e.as.write_sequence = out->write_sequence;
        if (must_persist && !persist(r)) {
            e.kind = BB_AGREE_EVENT_SYNC_FAILED;
        }
        replicate_deliver_committed(r);
        for (uint32_t i = 0; i < out->response_count; i++) {
            replicate_send_response(r, &out->responses[i]);
        }
    } while (must_persist);
    report_role_change(r);
    replicate_update_status(r);
}

/* Tells the protocol to stop voting if the store failed outside of a step. */
static void
report_store_failure(struct bb_replicate *r)
{
    if (!r->agree.is_storage_failed &&
        !bb_store_is_intact(r->store, NULL, 0)) {
        run_event(r,
                  (struct bb_agree_event){.kind = BB_AGREE_EVENT_SYNC_FAILED});
    }
}

/* Finds a payload that must be stored before a message is processed: that of
 * an entry which is not committed yet, or the one in force at the sender.
 * Returns false if none is missing. */
static bool
find_missing_payload(struct bb_replicate *r, const struct replicate_job *job,
                     struct bb_digest *missing)
{
    const struct bb_agree_message *m = &job->message;

    for (uint8_t i = 0; m->kind == BB_AGREE_APPEND && i < m->count; i++) {
        const struct bb_agree_entry *e = &m->body.entries[i];

        if (e->kind == BB_AGREE_CONFIG && m->index + 1 + i > m->commit_index &&
            !replicate_is_payload_stored(r, &e->digest)) {
            *missing = e->digest;
            return true;
        }
    }
    *missing = job->in_force_digest;
    return (m->kind == BB_AGREE_APPEND || m->kind == BB_AGREE_SNAPSHOT) &&
           !replicate_is_payload_stored(r, &job->in_force_digest);
}

/* Passes a job to the fetcher. If too many are queued it is freed instead:
 * peers send messages again, and callers retry proposals. */
static void
queue_fetch(struct bb_replicate *r, struct replicate_job *job)
{
    if (replicate_queue_length(&r->fetch_queue) >= REPLICATE_FETCHES_MAX) {
        replicate_free_job(job);
        return;
    }
    replicate_free_job(replicate_queue_push(&r->fetch_queue, job, UINT32_MAX));
}

/* Processes a message if the payloads it names are stored. Otherwise queues it
 * for the fetcher; if only the payload of an entry is missing, the append is
 * processed without its entries, as a heartbeat. */
static void
process_message(struct bb_replicate *r, struct replicate_job *job)
{
    struct bb_digest digest;
    struct bb_agree_message heartbeat;

    if (job->payload_bytes > 0) {
        digest = bb_digest_compute(job->payload, job->payload_bytes);
        (void)bb_store_put_payload(r->store, &digest, job->payload,
                                   job->payload_bytes, NULL);
        report_store_failure(r);
        g_clear_pointer(&job->payload, g_free);
        job->payload_bytes = 0;
    }
    if (!find_missing_payload(r, job, &job->missing_digest)) {
        run_event(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                             .as.message = &job->message});
        replicate_free_job(job);
        return;
    }
    if (job->message.kind == BB_AGREE_APPEND &&
        replicate_is_payload_stored(r, &job->in_force_digest)) {
        heartbeat = job->message;
        heartbeat.count = 0;
        run_event(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                             .as.message = &heartbeat});
    }
    queue_fetch(r, job);
}

/* Makes sure that the payload of a proposal is stored. Returns false if it is
 * not; *must_fetch is true if it has to be fetched from the origin, after
 * which the job is processed again. */
static bool
store_proposal_payload(struct bb_replicate *r, const struct replicate_job *job,
                       bool *must_fetch)
{
    bool is_stored;

    *must_fetch = false;
    if (r->agree.role != BB_AGREE_LEADER) {
        return true; /* the protocol refuses it */
    }
    if (job->payload_bytes == 0) {
        *must_fetch = !bb_store_has_payload(r->store, &job->proposal.digest);
        return !*must_fetch;
    }
    is_stored = bb_store_put_payload(r->store, &job->proposal.digest,
                                     job->payload, job->payload_bytes, NULL);
    report_store_failure(r);
    return is_stored;
}

/* Processes a proposal after its payload is stored, and remembers where its
 * response has to be sent. */
static void
process_proposal(struct bb_replicate *r, struct replicate_job *job)
{
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_PROPOSAL,
                               .as.proposal = job->proposal};
    struct replicate_response_route *route;
    bool must_fetch;
    bool is_stored = store_proposal_payload(r, job, &must_fetch);

    if (must_fetch) {
        job->missing_digest = job->proposal.digest;
        job->payload_host = job->origin_host;
        job->message.from = job->origin_host;
        queue_fetch(r, job);
        return;
    }
    e.as.proposal.ticket = ++r->last_agree_ticket;
    route = &r->response_routes[r->last_agree_ticket %
                                REPLICATE_RESPONSE_ROUTES_MAX];
    *route = (struct replicate_response_route){
        .agree_ticket = r->last_agree_ticket,
        .origin_ticket = job->proposal.ticket,
        .origin_host = job->origin_host};
    if (is_stored) {
        r->payload_origins[r->origin_next++ % REPLICATE_ORIGINS_MAX] =
            (struct replicate_payload_origin){.digest = job->proposal.digest,
                                              .payload_host =
                                                  job->origin_host};
        run_event(r, e);
    }
    else {
        replicate_send_response(
            r, &(struct bb_agree_response){.ticket = r->last_agree_ticket,
                                           .result = BB_AGREE_NOT_LEADER});
    }
    replicate_free_job(job);
}

/* Delivers the revision in force if that has not happened because its payload
 * is missing, or fetches the payload; at most once a second. */
static void
deliver_or_fetch_in_force(struct bb_replicate *r, uint64_t now_us)
{
    struct bb_agree_config c = bb_agree_config_in_force(&r->agree);
    struct replicate_job *job;

    if (c.revision <= r->delivered_revision || bb_digest_is_zero(&c.digest) ||
        now_us < r->next_delivery_retry_us) {
        return;
    }
    r->next_delivery_retry_us = now_us + FETCH_INTERVAL_US;
    replicate_deliver_revision(r, &c);
    if (c.revision <= r->delivered_revision) {
        return;
    }
    job = g_new0(struct replicate_job, 1);
    job->kind = REPLICATE_JOB_FETCH;
    job->missing_digest = c.digest;
    job->payload_host = r->agree.leader;
    job->message.from = r->agree.leader;
    queue_fetch(r, job);
}

/* Processes one job and frees it or passes it on; false if the engine has to
 * stop. */
static bool
process_job(struct bb_replicate *r, struct replicate_job *job)
{
    switch (job->kind) {
    case REPLICATE_JOB_MESSAGE:
        process_message(r, job);
        return true;
    case REPLICATE_JOB_PROPOSAL:
        process_proposal(r, job);
        return true;
    case REPLICATE_JOB_FETCH:
        r->next_delivery_retry_us = 0;
        replicate_free_job(job);
        return true;
    case REPLICATE_JOB_STOP:
    default:
        replicate_free_job(job);
        return false;
    }
}

/* The engine's thread: processes jobs and ticks every TICK_INTERVAL_US until a
 * stop job arrives. */
void *
replicate_engine_run(void *argument)
{
    struct bb_replicate *r = argument;
    uint64_t next_tick_us = 0;
    bool is_running = true;

    while (is_running) {
        struct replicate_job *job = replicate_queue_pop(
            &r->job_queue, bb_clock_now_us() + TICK_INTERVAL_US);
        uint64_t now_us;

        if (job != NULL) {
            is_running = process_job(r, job);
        }
        now_us = bb_clock_now_us();
        if (is_running && now_us >= next_tick_us) {
            next_tick_us = now_us + TICK_INTERVAL_US;
            report_store_failure(r); /* other threads write payloads */
            run_event(r, (struct bb_agree_event){.kind = BB_AGREE_EVENT_TICK});
            deliver_or_fetch_in_force(r, now_us);
        }
    }
    return NULL;
}
