/* A control host: runs the quorum protocol (decide/quorum.h) on its durable
 * state and timer. */
#include "core_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"
#include "common/random.h"

BB_GAUGE(leader_gauge, "baobab_core_is_leader",
         "1 while this control host leads");
BB_GAUGE(commit_index_gauge, "baobab_core_revision",
         "Index of the newest entry known to be committed");
BB_GAUGE(has_quorum_gauge, "baobab_core_in_touch",
         "1 while a leader with a majority is heard");
BB_COUNTER(elections_total, "baobab_core_elections_total",
           "Times this control host became the leader");

static void on_timer(uv_timer_t *t);
static void on_write_done(void *context, bool is_written);

/* Lists the known control hosts in the state to be stored. `list` receives
 * them and must live as long as `s`; the strings are not copied. */
static void
collect_known_hosts(struct bb_core *c, fleet_stored_state *s, fleet_host *list)
{
    GHashTableIter it;
    gpointer value;

    s->known.known_val = list;
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           s->known.known_len < FLEET_HOSTS_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL) {
            list[s->known.known_len++] = *p->host;
        }
    }
}

/* Returns the content of the newest entry, compressed without a base. The
 * result is cached until the content changes. */
static const fleet_compressed_content *
compress_for_store(struct bb_core *c)
{
    uint64_t content_id = c->quorum.durable.entry.content_id;

    if (c->compressed_content.content_id != content_id) {
        bb_compressed_content_clear(&c->compressed_content);
        memset(&c->compressed_content, 0, sizeof(c->compressed_content));
        if (content_id != 0) {
            (void)bb_content_store_compress(c->content_store, content_id, 0,
                                            &c->compressed_content);
        }
    }
    return &c->compressed_content;
}

/* Starts the pending write of the durable state, unless one is in progress or
 * the delay after a failure has not passed. */
static void
start_pending_write(struct bb_core *c)
{
    const struct bb_quorum_durable *d = &c->quorum.durable;
    fleet_host known[FLEET_HOSTS_MAX];
    fleet_stored_state s = {.disk_id = d->disk_id,
                            .term = d->term,
                            .voted_for = d->voted_for,
                            .entry = {.term = d->entry.term,
                                      .index = d->entry.index,
                                      .content_id = d->entry.content_id}};

    if (!c->is_write_pending || bb_fleet_store_is_busy(c->store) ||
        bb_clock_now_us() < c->store_retry_due_us) {
        return;
    }
    s.entry.voters.voters_len = (u_int)d->entry.voter_count;
    s.entry.voters.voters_val = (u_quad_t *)d->entry.voters;
    collect_known_hosts(c, &s, known);
    s.content = *compress_for_store(c);
    c->is_write_pending = false;
    c->writing_sequence = c->quorum.write_sequence;
    if (!bb_fleet_store_write(c->store, &s, on_write_done, c)) {
        c->is_write_pending = true;
    }
}

/* Reports a finished write to the quorum, or schedules the next attempt. */
static void
on_write_done(void *context, bool is_written)
{
    struct bb_core *c = context;
    uint64_t now_us = bb_clock_now_us();
    struct bb_quorum_output out = {0};

    if (!is_written) {
        c->is_write_pending = true;
        c->store_retry_due_us =
            now_us + (uint64_t)BB_CORE_STORE_RETRY_MS * BB_US_PER_MS;
        core_schedule_timer(c);
        return;
    }
    c->store_retry_due_us = 0;
    c->is_disk_id_stored = true;
    bb_quorum_on_write_synced(&c->quorum, c->writing_sequence, now_us, &out);
    core_apply_output(c, &out);
}

/* Decodes the content of the committed entry, unless it is the one published
 * before, and sends it to the connected nodes. */
void
core_publish_committed(struct bb_core *c)
{
    uint64_t content_id = c->quorum.durable.entry.content_id;
    fleet_replicated_state next;
    bool is_new_config;
    bool is_first = c->published_content_id == 0;

    c->commit_index = c->quorum.durable.entry.index;
    bb_counter_set(&commit_index_gauge, c->commit_index);
    if (content_id == c->published_content_id) {
        return;
    }
    if (!bb_replicated_state_decode(
            bb_content_store_get(c->content_store, content_id), &next)) {
        bb_log_warning("core.unreadable",
                       "cannot decode the committed configuration, content "
                       "%016" G_GINT64_MODIFIER
                       "x; nodes keep the previous one",
                       content_id);
        bb_replicated_state_clear(&next);
        return;
    }
    is_new_config = next.config_version != c->committed_state.config_version;
    bb_replicated_state_clear(&c->committed_state);
    c->committed_state = next;
    c->published_content_id = content_id;
    core_rollouts_committed(c, is_first);
    if (is_new_config) {
        bb_log_info("core.in_force",
                    "configuration version %" G_GUINT64_FORMAT
                    " is in force, index %" G_GUINT64_FORMAT
                    ", term %" G_GUINT64_FORMAT,
                    (guint64)c->committed_state.config_version,
                    c->commit_index, c->quorum.durable.term);
    }
    for (guint i = 0; i < c->links->len; i++) {
        core_send_update(c, g_ptr_array_index(c->links, i));
    }
}

/* Carries out the output of a step of the quorum: starts the write, then sends
 * the messages. The write is delayed if another one is in progress or failed
 * shortly before; the messages are sent anyway. This is safe, as the
 * quorum outputs votes and vote requests only once the write they depend on is
 * synced, and acknowledges only the synced entry. */
void
core_apply_output(struct bb_core *c, struct bb_quorum_output *out)
{
    uint64_t now_us = bb_clock_now_us();

    if (out->became_leader) {
        c->leader_since_us = now_us;
        core_resume_rollouts(c, now_us);
        bb_counter_add(&elections_total, 1);
        bb_log_info("core.leader",
                    "this host became the leader in term %" G_GUINT64_FORMAT,
                    c->quorum.durable.term);
    }
    bb_counter_set(&leader_gauge, c->quorum.role == BB_QUORUM_LEADER);
    c->is_write_pending = c->is_write_pending || out->must_persist;
    start_pending_write(c);
    for (uint32_t i = 0; i < out->message_count; i++) {
        core_send_quorum_message(c, &out->messages[i]);
    }
    if (out->lost_leadership) {
        bb_log_info("core.not_leader",
                    "this host is no longer the leader, the term is "
                    "%" G_GUINT64_FORMAT,
                    c->quorum.durable.term);
        core_fail_requests(c);
    }
    if (out->has_committed) {
        core_publish_committed(c);
        core_finish_committed_proposal(c);
    }
    core_process_requests(c, now_us);
    core_process_leases(c, now_us);
    core_schedule_timer(c);
}

/* Returns the peer at a seed address if it is connected, else NULL. */
static const struct core_peer *
find_connected_seed(const struct bb_core *c, const struct bb_address *seed)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct bb_address at = *seed;
    const struct core_peer *p;

    at.port = c->settings.peer_address.port;
    p = g_hash_table_lookup(c->peers, bb_address_format(&at, text));
    return p != NULL && p->host != NULL && p->disconnected_since_us == 0
               ? p
               : NULL;
}

/* Bootstraps the cluster, with the seed hosts as voters, once all of them are
 * connected and have empty disks. After BB_CORE_BOOTSTRAP_WAIT_MS more than
 * half of them suffice, as one may be gone for good; the leader completes the
 * voters. Only the first seed host does this, so that no second cluster is
 * created. */
static void
try_bootstrap(struct bb_core *c, uint64_t now_us)
{
    const struct bb_address_list *seeds = &c->settings.seeds;
    uint64_t disk_ids[BB_QUORUM_VOTERS_MAX];
    uint32_t count = 0;
    bool has_waited = now_us - c->created_us >=
                      (uint64_t)BB_CORE_BOOTSTRAP_WAIT_MS * BB_US_PER_MS;
    struct bb_quorum_output out = {0};

    if (!c->settings.may_bootstrap || c->quorum.durable.entry.index != 0 ||
        !c->is_disk_id_stored || seeds->count == 0 ||
        strcmp(seeds->items[0].ip, c->settings.ip) != 0) {
        return;
    }
    disk_ids[count++] = c->quorum.durable.disk_id;
    for (uint32_t i = 1; i < seeds->count && count < BB_QUORUM_VOTERS_MAX;
         i++) {
        const struct core_peer *p = find_connected_seed(c, &seeds->items[i]);

        if (p != NULL && !p->host->is_empty) {
            return;
        }
        if (p != NULL) {
            disk_ids[count++] = p->host->disk_id;
        }
        else if (!has_waited) {
            return;
        }
    }
    if (2 * count <= seeds->count) {
        return;
    }
    bb_log_info("core.forming", "bootstrapping the cluster with %u voters",
                count);
    if (bb_quorum_bootstrap(&c->quorum, disk_ids, count, now_us, &out)) {
        core_apply_output(c, &out);
    }
}

/* Returns a peer that said hello as a candidate. */
static struct bb_voter_candidate
describe_peer(const struct bb_core *c, const struct core_peer *p,
              uint64_t now_us)
{
    return (struct bb_voter_candidate){
        .disk_id = p->host->disk_id,
        .zone = bb_hash64(p->host->zone, strlen(p->host->zone), 0),
        /* 0 means connected, hence the 1. */
        .absent_us =
            p->disconnected_since_us == 0
                ? 0
                : now_us - MAX(p->disconnected_since_us, c->leader_since_us) +
                      1};
}

/* Returns a voter that is not a known peer as a candidate: it counts as absent
 * since this host became the leader. */
static struct bb_voter_candidate
describe_unknown_voter(const struct bb_core *c, uint64_t disk_id,
                       uint64_t now_us)
{
    /* The host may run with a new disk at the same address. */
    const char *address_text =
        g_hash_table_lookup(c->disk_addresses, &disk_id);
    const struct core_peer *p =
        address_text != NULL ? g_hash_table_lookup(c->peers, address_text)
                             : NULL;

    return (struct bb_voter_candidate){
        .disk_id = disk_id,
        .is_disk_replaced =
            p != NULL && p->host != NULL && p->disconnected_since_us == 0,
        .absent_us = now_us - c->leader_since_us + 1};
}

static bool
is_voter(const struct bb_quorum_entry *e, uint64_t disk_id)
{
    for (uint64_t i = 0; i < e->voter_count; i++) {
        if (e->voters[i] == disk_id) {
            return true;
        }
    }
    return false;
}

/* Lists this host, all voters, and the connected peers, as far as there is
 * room. Peers are kept after their hosts have gone for good: those take no
 * room. Returns the count. */
static uint32_t
list_candidates(struct bb_core *c, uint64_t now_us,
                struct bb_voter_candidate hosts[BB_VOTERS_CANDIDATES_MAX])
{
    const struct bb_quorum_entry *e = &c->quorum.durable.entry;
    uint64_t self = c->quorum.durable.disk_id;
    uint32_t count = 0;
    GHashTableIter it;
    gpointer value;

    hosts[count++] = (struct bb_voter_candidate){
        .disk_id = self,
        .zone = bb_hash64(c->self.zone, strlen(c->self.zone), 0)};
    for (uint64_t i = 0; i < e->voter_count; i++) {
        const struct core_peer *p = core_find_peer_by_disk(c, e->voters[i]);

        if (e->voters[i] != self) {
            hosts[count++] =
                p != NULL ? describe_peer(c, p, now_us)
                          : describe_unknown_voter(c, e->voters[i], now_us);
        }
    }
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           count < BB_VOTERS_CANDIDATES_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL && p->disconnected_since_us == 0 &&
            !is_voter(e, p->host->disk_id)) {
            hosts[count++] = describe_peer(c, p, now_us);
        }
    }
    return count;
}

/* On the leader, adds or removes one voter if a voter is lost or the number of
 * voters is not the target. */
static void
update_voters(struct bb_core *c, uint64_t now_us)
{
    const struct bb_quorum_entry *e = &c->quorum.durable.entry;
    struct bb_voter_candidate hosts[BB_VOTERS_CANDIDATES_MAX];
    uint32_t count;
    struct bb_voters current = {.count = (uint32_t)e->voter_count};
    struct bb_voters next;
    struct bb_quorum_output out = {0};

    if (!bb_quorum_can_propose(&c->quorum) || c->active_proposal != NULL) {
        return;
    }
    count = list_candidates(c, now_us, hosts);
    memcpy(current.disk_ids, e->voters, sizeof(current.disk_ids));
    if (bb_voters_plan_change(hosts, count, &current,
                              c->quorum.durable.disk_id,
                              c->settings.target_voter_count, &next) &&
        bb_quorum_set_voters(&c->quorum, next.disk_ids, next.count, now_us,
                             &out)) {
        bb_log_info("core.voters", "%u voters instead of %u", next.count,
                    current.count);
        core_apply_output(c, &out);
    }
}

/* Sets the timer to the earliest due time of all periodic work. */
void
core_schedule_timer(struct bb_core *c)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t due_us =
        MIN(bb_quorum_next_tick_us(&c->quorum), c->status_due_us);
    uint64_t connect_us = core_connect_due_us(c);
    uint64_t requests_us = core_requests_due_us(c);
    uint64_t leases_us = bb_lease_queue_due_us(&c->leases, now_us);

    due_us = MIN(due_us, connect_us);
    due_us = MIN(due_us, requests_us);
    due_us = MIN(due_us, leases_us);
    if (c->quorum.role == BB_QUORUM_LEADER || c->settings.may_bootstrap) {
        due_us = MIN(due_us, c->voter_plan_due_us);
    }
    if (c->store_retry_due_us != 0) {
        due_us = MIN(due_us, c->store_retry_due_us);
    }
    if (c->batch_due_us != 0) {
        due_us = MIN(due_us, c->batch_due_us);
    }
    if (c->state_due_us != 0) {
        due_us = MIN(due_us, c->state_due_us);
    }
    due_us = MIN(due_us, c->digest_due_us);
    due_us = MIN(due_us, core_rollouts_due_us(c));
    (void)uv_timer_start(
        &c->timer, on_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Runs all work that is due, and starts the timer again. */
static void
on_timer(uv_timer_t *t)
{
    struct bb_core *c = t->data;
    uint64_t now_us = bb_clock_now_us();
    struct bb_quorum_output out = {0};
    bool has_quorum;

    core_connect_peers(c, now_us);
    if (c->batch_due_us != 0 && now_us >= c->batch_due_us) {
        core_send_changed_instances(c);
    }
    if (c->state_due_us != 0 && now_us >= c->state_due_us) {
        core_send_due_states(c, now_us);
    }
    if (now_us >= c->digest_due_us) {
        c->digest_due_us =
            now_us + (uint64_t)BB_CORE_DIGEST_INTERVAL_MS * BB_US_PER_MS;
        core_broadcast_digest(c, now_us);
    }
    if (c->store_retry_due_us != 0 && now_us >= c->store_retry_due_us) {
        c->store_retry_due_us = 0;
    }
    if (now_us >= bb_quorum_next_tick_us(&c->quorum)) {
        bb_quorum_tick(&c->quorum, now_us, bb_random_global_u64(), &out);
    }
    core_apply_output(c, &out);
    if (now_us >= core_rollouts_due_us(c)) {
        core_send_evidence(c, now_us);
        core_decide_rollouts(c, now_us);
    }
    if (now_us >= c->voter_plan_due_us) {
        c->voter_plan_due_us =
            now_us + (uint64_t)BB_CORE_VOTER_PLAN_INTERVAL_MS * BB_US_PER_MS;
        try_bootstrap(c, now_us);
        update_voters(c, now_us);
    }
    has_quorum = bb_quorum_has_recent_quorum(&c->quorum, now_us);
    if (has_quorum != c->had_quorum) {
        c->had_quorum = has_quorum;
        bb_counter_set(&has_quorum_gauge, has_quorum);
        bb_log_info(has_quorum ? "core.in_touch" : "core.out_of_touch",
                    "term %" G_GUINT64_FORMAT, c->quorum.durable.term);
        c->status_due_us = now_us;
    }
    if (now_us >= c->status_due_us) {
        c->status_due_us =
            now_us + (uint64_t)BB_CORE_STATUS_INTERVAL_MS * BB_US_PER_MS;
        core_broadcast_status(c);
    }
    core_schedule_timer(c);
}

/* Initialises the quorum, the content store and the peers from the stored
 * state, or chooses a new disk ID if there is none. */
static void
restore_state(struct bb_core *c, const fleet_stored_state *s, bool has_state)
{
    struct bb_quorum_durable d = {.disk_id = bb_random_global_u64() | 1};
    uint64_t now_us = bb_clock_now_us();

    if (has_state) {
        d.disk_id = s->disk_id;
        d.term = s->term;
        d.voted_for = s->voted_for;
        d.entry.term = s->entry.term;
        d.entry.index = s->entry.index;
        d.entry.content_id = s->entry.content_id;
        d.entry.voter_count =
            MIN(s->entry.voters.voters_len, BB_QUORUM_VOTERS_MAX);
        for (uint64_t i = 0; i < d.entry.voter_count; i++) {
            d.entry.voters[i] = s->entry.voters.voters_val[i];
        }
        if (s->content.content_id != 0) {
            (void)bb_content_store_add_compressed(c->content_store,
                                                  &s->content);
        }
        for (u_int i = 0; i < s->known.known_len; i++) {
            const fleet_host *h = &s->known.known_val[i];
            struct bb_address at = {.port = (uint16_t)h->peer_port};

            g_strlcpy(at.ip, h->ip, sizeof(at.ip));
            (void)core_add_peer(c, &at);
            core_record_disk_address(c, h->disk_id, &at);
        }
        /* An entry is stored only after the disk ID was synced. */
        c->is_disk_id_stored = d.entry.index != 0;
    }
    c->self.disk_id = d.disk_id;
    c->self.is_empty = d.entry.index == 0;
    bb_quorum_init(&c->quorum, &d, now_us, bb_random_global_u64());
    /* Also what was read: an earlier process may not have synced it. */
    c->is_write_pending = true;
    bb_log_info("core.start",
                "disk %016" G_GINT64_MODIFIER "x, term %" G_GUINT64_FORMAT
                ", index %" G_GUINT64_FORMAT "%s",
                d.disk_id, d.term, d.entry.index,
                has_state ? "" : ", no stored state");
}

/* Starts a control host. Returns NULL and sets the error if the data folder
 * cannot be used (BB_FLEET_ERROR_STORE) or the peer address cannot be bound
 * (BB_NET_ERROR_LISTEN). Both codes are 1: only the message tells them apart.
 */
struct bb_core *
bb_core_create(uv_loop_t *loop, const struct bb_core_settings *s,
               struct bb_error *e)
{
    struct bb_core *c = g_new0(struct bb_core, 1);
    fleet_stored_state stored = {0};
    bool has_state = false;

    c->loop = loop;
    c->settings = *s;
    c->created_us = bb_clock_now_us();
    c->content_store = bb_content_store_create();
    c->instances = bb_instance_table_create();
    c->changed_for_nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->changed_for_hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->links = g_ptr_array_new();
    c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     core_destroy_peer);
    c->disk_addresses =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    core_rollouts_init(c);
    g_queue_init(&c->proposals);
    g_queue_init(&c->stale_proposals);
    g_queue_init(&c->reads);
    (void)uv_timer_init(loop, &c->timer);
    c->timer.data = c;
    c->quota = core_quota_create(c);
    c->self = (fleet_host){.ip = g_strdup(s->ip),
                           .peer_port = s->peer_address.port,
                           .operator_port = s->operator_address.port,
                           .zone = g_strdup(s->zone),
                           .region = g_strdup(s->region)};
    c->store =
        bb_fleet_store_open(loop, s->data_folder, &stored, &has_state, e);
    if (c->store == NULL) {
        goto fail;
    }
    restore_state(c, &stored, has_state);
    xdr_free((xdrproc_t)xdr_fleet_stored_state, (char *)&stored);
    c->listener = bb_listener_create(loop, &s->peer_address,
                                     core_accept_connection, c, e);
    if (c->listener == NULL) {
        goto fail;
    }
    bb_core_set_seeds(c, &s->seeds);
    start_pending_write(c);
    core_schedule_timer(c);
    return c;
fail:
    bb_core_destroy(c);
    return NULL;
}

/* Replaces the seed addresses and connects to those that are new. Their ports
 * are replaced by that of peer_address in the settings. Hosts that are known
 * already stay known. */
void
bb_core_set_seeds(struct bb_core *c, const struct bb_address_list *seeds)
{
    c->settings.seeds = *seeds;
    for (uint32_t i = 0; i < seeds->count; i++) {
        struct bb_address at = seeds->items[i];

        at.port = c->settings.peer_address.port;
        (void)core_add_peer(c, &at);
    }
    core_schedule_timer(c);
}

static void
free_core(uv_handle_t *h)
{
    struct bb_core *c = h->data;

    g_hash_table_destroy(c->peers);
    g_hash_table_destroy(c->disk_addresses);
    g_hash_table_destroy(c->changed_for_nodes);
    g_hash_table_destroy(c->changed_for_hosts);
    g_ptr_array_free(c->links, TRUE);
    bb_content_store_destroy(c->content_store);
    bb_instance_table_destroy(c->instances);
    bb_fleet_frame_destroy(c->instances_frame);
    core_rollouts_clear(c);
    bb_replicated_state_clear(&c->committed_state);
    bb_compressed_content_clear(&c->compressed_content);
    g_free(c->self.ip);
    g_free(c->self.zone);
    g_free(c->self.region);
    g_free(c);
}

/* Stops a control host. Pending proposals end as BB_CORE_PROPOSAL_UNKNOWN and
 * reads as unconfirmed, unless they were cancelled. NULL is allowed. */
void
bb_core_destroy(struct bb_core *c)
{
    if (c == NULL) {
        return;
    }
    /* First, so that a write in progress does not call back into `c`. */
    bb_fleet_store_close(c->store);
    core_fail_requests(c);
    core_close_links(c);
    bb_listener_destroy(c->listener);
    core_quota_destroy(c->quota);
    uv_close((uv_handle_t *)&c->timer, free_core);
}

/* Stores the operator address of the leader, and in *is_self whether this host
 * is the leader. Returns false, with the address unchanged, if no leader with
 * a majority has been heard recently. */
bool
bb_core_find_leader(struct bb_core *c, struct bb_address *operator_address,
                    bool *is_self)
{
    const struct core_peer *p;

    *is_self = c->quorum.role == BB_QUORUM_LEADER;
    if (*is_self) {
        *operator_address = c->settings.operator_address;
        return true;
    }
    if (!bb_quorum_has_recent_quorum(&c->quorum, bb_clock_now_us())) {
        return false;
    }
    p = core_find_peer_by_disk(c, c->quorum.leader);
    if (p == NULL || p->host == NULL) {
        return false;
    }
    g_strlcpy(operator_address->ip, p->host->ip, sizeof(operator_address->ip));
    operator_address->port = (uint16_t)p->host->operator_port;
    return true;
}
