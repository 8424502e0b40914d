#include "daemon.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

enum { NOTHING_IN_FORCE_CHECK_INTERVAL_MS = 100 };

BB_COUNTER(proposed_total, "baobab_proposals_total",
           "Configurations proposed by this control host");
BB_COUNTER(accepted_total, "baobab_proposals_accepted_total",
           "Proposals of this control host that were accepted");
BB_COUNTER(refused_total, "baobab_proposals_refused_total",
           "Proposals of this control host that were refused");
BB_COUNTER(no_quorum_total, "baobab_proposals_unanswered_total",
           "Proposals without a quorum in time");
BB_GAUGE(revision_gauge, "baobab_accepted_revision",
         "Highest accepted revision known to this control host");
BB_GAUGE(leader_gauge, "baobab_is_leader",
         "1 while this control host is the leader");

/* A folder to propose. */
struct queued_proposal {
    uint64_t base_revision;
    uint64_t version;
    struct bb_folder *folder; /* NULL: ends the proposer's thread */
};

/* Frees a queued proposal and its folder. */
static void
destroy_proposal(void *data)
{
    struct queued_proposal *p = data;

    bb_folder_destroy(p->folder);
    g_free(p);
}

/* The propose callback of the source watch: queues a copy of the folder for
 * the proposer's thread, as proposing would block the watch. */
static void
queue_proposal(void *context, const struct bb_folder *folder, uint64_t version,
               uint64_t base_revision)
{
    struct bb_control *c = context;
    struct queued_proposal *p = g_new0(struct queued_proposal, 1);

    p->base_revision = base_revision;
    p->version = version;
    p->folder = bb_folder_copy(folder);
    g_async_queue_push(c->proposal_queue, p);
}

/* The propose callback of the proposal target. */
static struct bb_replicate_result
propose_payload(void *context, uint64_t base_revision, uint64_t version,
                const struct bb_digest *digest, const void *payload,
                size_t size_bytes, uint32_t timeout_ms)
{
    struct bb_control *c = context;

    return bb_replicate_propose(c->replicate, base_revision, version, digest,
                                payload, size_bytes, timeout_ms);
}

/* Counts and logs the outcome of a proposal and converts it to the result for
 * the source watch. */
static enum bb_source_result
record_outcome(const struct queued_proposal *p,
               const struct bb_replicate_result *r)
{
    switch (r->outcome) {
    case BB_REPLICATE_ACCEPTED:
        bb_counter_add(&accepted_total, 1);
        bb_log_info("proposal.accepted", "revision %" G_GUINT64_FORMAT,
                    r->revision);
        return BB_SOURCE_RESULT_ACCEPTED;
    case BB_REPLICATE_STALE_BASE:
        bb_counter_add(&refused_total, 1);
        bb_log_warning("proposal.stale_base",
                       "the folder is based on revision %" G_GUINT64_FORMAT
                       ", but revision %" G_GUINT64_FORMAT " is the newest",
                       p->base_revision, r->revision);
        return BB_SOURCE_RESULT_STALE_BASE;
    case BB_REPLICATE_VERSION_CONFLICT:
        bb_counter_add(&refused_total, 1);
        bb_log_warning("proposal.conflict",
                       "version %" G_GUINT64_FORMAT
                       " is not above the accepted one, and the content "
                       "differs",
                       p->version);
        return BB_SOURCE_RESULT_VERSION_CONFLICT;
    case BB_REPLICATE_BAD_PAYLOAD:
        bb_counter_add(&refused_total, 1);
        bb_log_warning("proposal.bad_payload",
                       "the folder and the witness rosters are empty, have "
                       "more than %d bytes after compression, or do not match "
                       "their digest",
                       BB_REPLICATE_PAYLOAD_MAX_BYTES);
        return BB_SOURCE_RESULT_INVALID;
    case BB_REPLICATE_NO_QUORUM:
        break;
    }
    bb_counter_add(&no_quorum_total, 1);
    return BB_SOURCE_RESULT_UNKNOWN;
}

/* Tells the source watch that no revision is in force, if a quorum confirms
 * that. The watch must know this before it can propose the first
 * configuration. Returns false if no quorum was heard and the call must be
 * retried; true if one was, or if a revision is in force, which
 * add_committed_revision reports. */
static bool
report_nothing_in_force(struct bb_control *c)
{
    static const struct bb_digest none;
    struct bb_replicate_status s;

    bb_replicate_status(c->replicate, &s);
    if (s.has_recent_quorum && s.revision == 0) {
        bb_source_watch_set_in_force(c->source_watch, 0, &none);
    }
    return s.has_recent_quorum || s.revision != 0;
}

/* The proposer's thread: proposes queued folders one after the other. */
static void *
run_proposer(void *argument)
{
    struct bb_control *c = argument;
    bool is_in_force_reported = false;

    for (;;) {
        struct queued_proposal *p = g_async_queue_timeout_pop(
            c->proposal_queue,
            (guint64)NOTHING_IN_FORCE_CHECK_INTERVAL_MS * BB_US_PER_MS);
        struct bb_replicate_result r;

        is_in_force_reported =
            is_in_force_reported || report_nothing_in_force(c);
        if (p == NULL) {
            continue;
        }
        if (p->folder == NULL) {
            destroy_proposal(p);
            break;
        }
        bb_counter_add(&proposed_total, 1);
        r = bb_proposal_submit_folder(&c->proposal_target, p->folder,
                                      p->version, p->base_revision);
        bb_source_watch_report_result(c->source_watch, &p->folder->digest,
                                      p->base_revision, record_outcome(p, &r),
                                      r.revision);
        destroy_proposal(p);
    }
    return NULL;
}

/* The revision_committed callback of bb_replicate: adds a revision to the
 * history, and tells the source watch and the mesh. */
static void
add_committed_revision(void *context, uint64_t revision, uint64_t version,
                       const struct bb_digest *digest, const void *payload,
                       size_t size_bytes)
{
    struct bb_control *c = context;
    char text[BB_DIGEST_TEXT_BYTES];
    struct bb_error e = {0};
    struct bb_bundle *b = bb_bundle_decode(payload, size_bytes, &e);

    (void)digest; /* of the payload; the store verified it */
    if (b == NULL) {
        bb_log_warning("configuration.unreadable",
                       "revision %" G_GUINT64_FORMAT
                       " is not used by this host: %s",
                       revision, e.message);
        return;
    }
    b->revision = revision;
    /* A change of rosters only has version 0; the bundle holds the operators'
     * version. */
    if (version != 0) {
        b->version = version;
    }
    if (bb_bundle_history_add(c->history, b)) {
        bb_counter_set(&revision_gauge, revision);
        bb_log_info("configuration.accepted",
                    "revision %" G_GUINT64_FORMAT " digest %.12s", revision,
                    bb_digest_format(&b->digest, text));
        bb_mesh_announce_revision(c->mesh, revision, &b->digest);
    }
    bb_source_watch_set_in_force(c->source_watch, revision,
                                 &b->folder->digest);
    bb_bundle_unref(b);
}

/* The role_changed callback of bb_replicate. */
static void
record_role(void *context, enum bb_agree_role role, uint64_t term)
{
    (void)context;
    bb_counter_set(&leader_gauge, role == BB_AGREE_LEADER);
    if (role == BB_AGREE_LEADER) {
        bb_log_info("agreement.leader",
                    "this host is the leader in term %" G_GUINT64_FORMAT,
                    term);
    }
}

/* The encode_payload callback of the mesh: encodes the newest revision for a
 * member that holds receiver_revision; false if there is nothing newer. */
static bool
encode_payload(void *context, uint64_t receiver_revision,
               struct bb_mesh_payload *out)
{
    const struct bb_control *c = context;

    return bb_mesh_payload_encode(c->history, receiver_revision, out);
}

/* Creates the mesh member of this control host. */
static bool
create_mesh(struct bb_control *c, struct bb_error *e)
{
    const struct bb_control_settings *s = &c->settings;
    struct bb_mesh_settings m = {
        .self = {.role = BB_ROLE_CONTROL,
                 .rpc_address = s->rpc_address,
                 .gossip_address = s->gossip_address,
                 .incarnation = bb_clock_wall_now_us()},
        .control_hosts = s->control_hosts,
        .gossip_bind_address = s->gossip_address,
        .seed = s->seed,
        .callbacks = {.context = c, .encode_payload = encode_payload},
    };

    (void)g_strlcpy(m.self.host, s->host, sizeof(m.self.host));
    (void)g_strlcpy(m.self.zone, s->zone, sizeof(m.self.zone));
    (void)g_strlcpy(m.self.region, s->region, sizeof(m.self.region));
    c->mesh = bb_mesh_create(&m, e);
    return c->mesh != NULL;
}

/* Creates the bb_replicate, which recovers its state; its callbacks may run
 * before this returns. */
static bool
create_replicate(struct bb_control *c, struct bb_error *e)
{
    const struct bb_control_settings *s = &c->settings;
    struct bb_replicate_host hosts[BB_CONTROL_HOSTS_MAX] = {0};
    struct bb_replicate_settings r = {
        .host = s->host,
        .zone = s->zone,
        .region = s->region,
        .hosts = hosts,
        .host_count = s->control_hosts.count,
        .data_folder = s->data_folder,
        .first_revision = s->first_revision,
        .seed = s->seed,
        .context = c,
        .revision_committed = add_committed_revision,
        .role_changed = record_role,
    };

    for (uint32_t i = 0; i < s->control_hosts.count; i++) {
        const struct bb_control_host *h = &s->control_hosts.items[i];

        (void)g_strlcpy(hosts[i].host, h->host, sizeof(hosts[i].host));
        (void)g_strlcpy(hosts[i].region, h->region, sizeof(hosts[i].region));
        hosts[i].rpc_address = h->rpc_address;
    }
    c->replicate = bb_replicate_create(&r, e);
    return c->replicate != NULL;
}

/* Creates the source watch; it proposes nothing before it is started. */
static bool
create_source_watch(struct bb_control *c, struct bb_error *e)
{
    const struct bb_source_watch_settings w = {
        .folder = c->settings.config_folder,
        .data_folder = c->settings.data_folder,
        .propose = queue_proposal,
        .context = c,
    };

    c->source_watch = bb_source_watch_create(&w);
    if (c->source_watch == NULL) {
        return bb_error_set(e, BB_CONTROL_ERROR_START,
                            "cannot create the source watch");
    }
    return true;
}

/* Starts the proposer's thread; false on failure. */
static bool
start_proposer(struct bb_control *c, struct bb_error *e)
{
    c->has_proposer_thread =
        pthread_create(&c->proposer_thread, NULL, run_proposer, c) == 0;
    if (!c->has_proposer_thread) {
        return bb_error_set(e, BB_CONTROL_ERROR_START,
                            "cannot start the proposer thread");
    }
    return true;
}

/* Starts the roster keeper. */
static bool
start_roster_keeper(struct bb_control *c, struct bb_error *e)
{
    c->roster_keeper =
        bb_roster_keeper_create(&c->proposal_target, c->replicate, c->mesh, e);
    return c->roster_keeper != NULL;
}

/* Starts the administration API. */
static bool
create_admin(struct bb_control *c, struct bb_error *e)
{
    const struct bb_admin_server_settings o = {
        .listen = c->settings.admin_address,
        .token = c->settings.admin_token,
        .context = c};

    c->admin = bb_admin_server_create(&o, e);
    return c->admin != NULL;
}

/* Starts all components in the order of their dependencies. On failure returns
 * false with *e set; bb_control_stop must be called in both cases. */
bool
bb_control_start(struct bb_control *c, struct bb_error *e)
{
    c->proposal_queue = g_async_queue_new_full(destroy_proposal);
    c->history = bb_bundle_history_create();
    c->proposal_target = (struct bb_proposal_target){
        .history = c->history, .context = c, .propose = propose_payload};
    c->rpc_server = bb_rpc_server_create(&c->settings.rpc_address, e);
    return c->rpc_server != NULL && create_mesh(c, e) &&
           create_source_watch(c, e) && create_replicate(c, e) &&
           bb_replicate_register_rpc(c->replicate, c->rpc_server, e) &&
           bb_mesh_register_rpc(c->mesh, c->rpc_server, e) &&
           bb_rpc_server_start(c->rpc_server, e) && start_proposer(c, e) &&
           bb_mesh_start(c->mesh, e) &&
           bb_source_watch_start(c->source_watch, e) &&
           start_roster_keeper(c, e) && create_admin(c, e);
}

/* Stops and frees all components, even after a failed start. */
void
bb_control_stop(struct bb_control *c)
{
    bb_admin_server_destroy(c->admin);
    bb_roster_keeper_destroy(c->roster_keeper);
    if (c->has_proposer_thread) {
        g_async_queue_push(c->proposal_queue,
                           g_new0(struct queued_proposal, 1));
        (void)pthread_join(c->proposer_thread, NULL);
    }
    if (c->mesh != NULL) {
        bb_mesh_stop(c->mesh, true);
    }
    bb_rpc_server_destroy(c->rpc_server);
    bb_replicate_destroy(c->replicate);
    bb_source_watch_destroy(c->source_watch);
    bb_mesh_destroy(c->mesh);
    bb_bundle_history_destroy(c->history);
    if (c->proposal_queue != NULL) {
        g_async_queue_unref(c->proposal_queue);
    }
}
