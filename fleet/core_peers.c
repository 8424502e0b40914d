/* Connections of a control host to other control hosts and from nodes. */
#include "core_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/random.h"

BB_GAUGE(nodes_gauge, "baobab_core_nodes", "Nodes connected to this host");
BB_GAUGE(hosts_gauge, "baobab_core_hosts",
         "Other control hosts that are connected");

/* An encoded state that is not acknowledged within this time is sent again. */
enum { CONTENT_RESEND_MS = 1500 };

static void on_message(void *context, struct bb_fleet_connection *f,
                       fleet_message *m);
static void on_ended(void *context, struct bb_fleet_connection *f);
static void on_opened(void *context, struct bb_fleet_connection *f);

static const struct bb_fleet_connection_events connection_events = {
    .connected = on_opened, .message = on_message, .ended = on_ended};

/* Returns a deep copy, to be freed with destroy_host. */
static fleet_host *
copy_host(const fleet_host *h)
{
    fleet_host *c = g_new(fleet_host, 1);

    *c = *h;
    c->ip = g_strdup(h->ip);
    c->zone = g_strdup(h->zone);
    c->region = g_strdup(h->region);
    return c;
}

static void
destroy_host(fleet_host *h)
{
    if (h != NULL) {
        g_free(h->ip);
        g_free(h->zone);
        g_free(h->region);
        g_free(h);
    }
}

/* Frees a peer; its connections must be closed. */
void
core_destroy_peer(void *data)
{
    struct core_peer *p = data;

    destroy_host(p->host);
    g_free(p);
}

/* Returns the peer whose last hello had this disk ID, or NULL. */
struct core_peer *
core_find_peer_by_disk(struct bb_core *c, uint64_t disk_id)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_peer *p = value;

        if (p->host != NULL && p->host->disk_id == disk_id) {
            return p;
        }
    }
    return NULL;
}

/* Returns the control host at an address, added if it is not known yet.
 * Returns NULL for this host's own IP. */
struct core_peer *
core_add_peer(struct bb_core *c, const struct bb_address *at)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct core_peer *p;

    if (strcmp(at->ip, c->settings.ip) == 0) {
        return NULL;
    }
    (void)bb_address_format(at, text);
    p = g_hash_table_lookup(c->peers, text);
    if (p == NULL) {
        p = g_new0(struct core_peer, 1);
        p->address = *at;
        p->disconnected_since_us = bb_clock_now_us();
        g_hash_table_insert(c->peers, g_strdup(text), p);
    }
    return p;
}

/* Records the address at which a disk was last in use. */
void
core_record_disk_address(struct bb_core *c, uint64_t disk_id,
                         const struct bb_address *at)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    uint64_t *key = g_new(uint64_t, 1);

    *key = disk_id;
    g_hash_table_replace(c->disk_addresses, key,
                         g_strdup(bb_address_format(at, text)));
}

/* Returns the connection on which to send to a peer, or NULL: the outgoing one
 * if the peer's hello has arrived on it, else the incoming one. */
struct core_link *
core_active_link(const struct core_peer *p)
{
    if (p->outgoing != NULL && p->outgoing->has_received_hello) {
        return p->outgoing;
    }
    return p->incoming;
}

/* Tells the quorum which disks are connected, and updates the gauges. */
void
core_update_connected_peers(struct bb_core *c)
{
    uint64_t disk_ids[BB_QUORUM_PEERS_MAX];
    uint32_t count = 0;
    uint64_t nodes = 0;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           count < BB_QUORUM_PEERS_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL && core_active_link(p) != NULL) {
            disk_ids[count++] = p->host->disk_id;
        }
    }
    bb_quorum_set_peers(&c->quorum, disk_ids, count);
    for (guint i = 0; i < c->links->len; i++) {
        const struct core_link *l = g_ptr_array_index(c->links, i);

        nodes += l->kind == CORE_LINK_NODE;
    }
    bb_counter_set(&nodes_gauge, nodes);
    bb_counter_set(&hosts_gauge, count);
}

/* Creates a link without a connection and adds it to the list. */
static struct core_link *
create_link(struct bb_core *c, bool is_outgoing)
{
    struct core_link *l = g_new0(struct core_link, 1);

    l->core = c;
    l->id = ++c->last_link_id;
    l->is_outgoing = is_outgoing;
    g_ptr_array_add(c->links, l);
    return l;
}

/* Removes and frees a link and closes its connection. If it was the last link
 * to a peer, the peer counts as disconnected and, if it leads, an election
 * starts early. */
static void
destroy_link(struct core_link *l)
{
    struct bb_core *c = l->core;
    struct core_peer *p = l->peer;
    uint64_t now_us = bb_clock_now_us();

    g_ptr_array_remove_fast(c->links, l);
    bb_lease_queue_forget(&c->leases, l->id);
    bb_fleet_connection_close(l->connection);
    if (p != NULL) {
        bool was_connected = core_active_link(p) != NULL;

        if (p->outgoing == l) {
            p->outgoing = NULL;
            p->connect_due_us =
                now_us + (uint64_t)p->connect_delay_ms * BB_US_PER_MS;
        }
        if (p->incoming == l) {
            p->incoming = NULL;
        }
        p->sent_content_id = 0;
        if (was_connected && core_active_link(p) == NULL && p->host != NULL) {
            p->disconnected_since_us = now_us;
            p->connect_due_us = now_us;
            bb_log_info("core.host_lost", "%s", p->address.ip);
            bb_quorum_on_connection_lost(&c->quorum, p->host->disk_id, now_us,
                                         bb_random_global_u64());
        }
    }
    core_update_connected_peers(c);
    g_free(l->name);
    g_free(l);
    core_schedule_timer(c);
}

/* Opens the outgoing connections that are due. Waits until the disk ID is
 * durable, as the hello names it. */
void
core_connect_peers(struct bb_core *c, uint64_t now_us)
{
    GHashTableIter it;
    gpointer value;

    if (!c->is_disk_id_stored) {
        return;
    }
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_peer *p = value;
        struct core_link *l;

        if (p->outgoing != NULL || now_us < p->connect_due_us) {
            continue;
        }
        p->connect_delay_ms = MIN(
            MAX(2 * p->connect_delay_ms, (uint32_t)BB_CORE_RECONNECT_MIN_MS),
            (uint32_t)BB_CORE_RECONNECT_MAX_MS);
        l = create_link(c, true);
        l->kind = CORE_LINK_CONTROL;
        l->peer = p;
        p->outgoing = l;
        l->connection = bb_fleet_connection_open(c->loop, &p->address,
                                                 BB_CORE_CONNECT_TIMEOUT_MS,
                                                 &connection_events, l);
        if (l->connection == NULL) {
            p->outgoing = NULL;
            p->connect_due_us =
                now_us + (uint64_t)p->connect_delay_ms * BB_US_PER_MS;
            g_ptr_array_remove_fast(c->links, l);
            g_free(l);
        }
    }
}

/* Returns when the next outgoing connection is due, or UINT64_MAX. */
uint64_t
core_connect_due_us(struct bb_core *c)
{
    uint64_t due_us = UINT64_MAX;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct core_peer *p = value;

        if (p->outgoing == NULL && c->is_disk_id_stored) {
            due_us = MIN(due_us, p->connect_due_us);
        }
    }
    return due_us;
}

/* Accepts a connection from a control host or a node. */
void
core_accept_connection(void *context, struct bb_stream *s)
{
    struct bb_core *c = context;
    struct core_link *l = create_link(c, false);

    l->connection = bb_fleet_connection_accept(s, &connection_events, l);
}

/* Closes the connections of all links and frees the links. */
void
core_close_links(struct bb_core *c)
{
    while (c->links->len > 0) {
        struct core_link *l = g_ptr_array_index(c->links, 0);

        g_ptr_array_remove_index_fast(c->links, 0);
        bb_fleet_connection_close(l->connection);
        g_free(l->name);
        g_free(l);
    }
}

/* Sends the hello of this control host, with whether its durable state is
 * empty. */
static void
send_hello(struct core_link *l)
{
    struct bb_core *c = l->core;
    fleet_message m = {.kind = FLEET_HELLO};

    c->self.is_empty = c->quorum.durable.entry.index == 0;
    m.fleet_message_u.hello =
        (fleet_hello){.is_control = TRUE, .host = c->self};
    (void)bb_fleet_connection_send(l->connection, &m);
}

/* Sends the list of control hosts, this one first. Hosts disconnected for
 * longer than BB_CORE_PEER_EXPIRY_MS are left out. */
static void
send_hosts(struct core_link *l)
{
    struct bb_core *c = l->core;
    uint64_t now_us = bb_clock_now_us();
    fleet_host hosts[FLEET_HOSTS_MAX];
    fleet_message m = {.kind = FLEET_HOSTS};
    u_int count = 0;
    GHashTableIter it;
    gpointer value;

    hosts[count++] = c->self;
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           count < FLEET_HOSTS_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL &&
            (p->disconnected_since_us == 0 ||
             now_us - p->disconnected_since_us <
                 (uint64_t)BB_CORE_PEER_EXPIRY_MS * BB_US_PER_MS)) {
            hosts[count++] = *p->host;
        }
    }
    m.fleet_message_u.hosts.hosts_val = hosts;
    m.fleet_message_u.hosts.hosts_len = count;
    (void)bb_fleet_connection_send(l->connection, &m);
}

/* Sends the committed content to a node that does not have it. */
void
core_send_update(struct bb_core *c, struct core_link *l)
{
    fleet_message m = {.kind = FLEET_UPDATE};
    fleet_update *u = &m.fleet_message_u.update;

    if (l->kind != CORE_LINK_NODE || l->state_due_us != 0 ||
        c->published_content_id == 0 ||
        l->node_content_id == c->published_content_id) {
        return;
    }
    u->commit_index = c->commit_index;
    if (bb_content_store_compress(c->content_store, c->published_content_id,
                                  l->node_content_id, &u->content)) {
        if (bb_fleet_connection_send(l->connection, &m)) {
            l->node_content_id = c->published_content_id;
        }
        bb_compressed_content_clear(&u->content);
    }
}

/* Sends the commit index and whether a quorum was recent. */
static void
send_status(struct core_link *l)
{
    struct bb_core *c = l->core;
    fleet_message m = {.kind = FLEET_STATUS};

    m.fleet_message_u.status =
        (fleet_status){.has_recent_quorum = bb_quorum_has_recent_quorum(
                           &c->quorum, bb_clock_now_us()),
                       .commit_index = c->commit_index};
    (void)bb_fleet_connection_send(l->connection, &m);
}

/* Tells all nodes whether this host has a quorum. */
void
core_broadcast_status(struct bb_core *c)
{
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->kind == CORE_LINK_NODE && l->state_due_us == 0) {
            send_status(l);
        }
    }
}

/* Compresses an encoded state for an append, against the one that the peer is
 * known to have. Returns false if the append should carry none: the peer has
 * it, or it was sent less than CONTENT_RESEND_MS ago. */
static bool
compress_for_peer(struct bb_core *c, struct core_peer *p, uint64_t content_id,
                  fleet_compressed_content *out)
{
    uint64_t now_us = bb_clock_now_us();

    if (content_id == 0 || p->acked_content_id == content_id ||
        (p->sent_content_id == content_id &&
         now_us - p->content_sent_us <
             (uint64_t)CONTENT_RESEND_MS * BB_US_PER_MS)) {
        return false;
    }
    p->sent_content_id = content_id;
    p->content_sent_us = now_us;
    return bb_content_store_compress(c->content_store, content_id,
                                     p->acked_content_id, out);
}

/* Sends a message of the quorum; drops it if the peer is not connected. */
void
core_send_quorum_message(struct bb_core *c, const struct bb_quorum_message *m)
{
    struct core_peer *p = core_find_peer_by_disk(c, m->to);
    struct core_link *l = p != NULL ? core_active_link(p) : NULL;
    fleet_message out = {.kind = FLEET_QUORUM};
    fleet_quorum_message *q = &out.fleet_message_u.quorum;
    fleet_compressed_content content = {0};

    if (l == NULL) {
        return;
    }
    *q = (fleet_quorum_message){
        .kind = m->kind,
        .is_ok = m->is_ok,
        .has_recent_quorum = m->has_recent_quorum,
        .from = m->from,
        .to = m->to,
        .term = m->term,
        .round = m->round,
        .commit_index = m->commit_index,
        .entry = {.term = m->entry.term,
                  .index = m->entry.index,
                  .content_id = m->entry.content_id,
                  .voters = {.voters_len = (u_int)m->entry.voter_count,
                             .voters_val = (u_quad_t *)m->entry.voters}}};
    if (m->kind == BB_QUORUM_APPEND &&
        compress_for_peer(c, p, m->entry.content_id, &content)) {
        q->content.content_val = &content;
        q->content.content_len = 1;
    }
    (void)bb_fleet_connection_send(l->connection, &out);
    bb_compressed_content_clear(&content);
}

/* Responds to an append whose content cannot be rebuilt here, as its base is
 * missing, so that the sender sends it again without a base. */
static void
request_full_content(struct core_link *l, const fleet_quorum_message *q)
{
    fleet_message out = {.kind = FLEET_QUORUM};

    out.fleet_message_u.quorum =
        (fleet_quorum_message){.kind = BB_QUORUM_APPEND_RESPONSE,
                               .needs_full_content = TRUE,
                               .from = l->core->quorum.durable.disk_id,
                               .to = q->from,
                               .term = q->term};
    (void)bb_fleet_connection_send(l->connection, &out);
}

/* Passes a received message to the quorum. */
static void
receive_quorum_message(struct core_link *l, const fleet_quorum_message *q)
{
    struct bb_core *c = l->core;
    struct core_peer *p = core_find_peer_by_disk(c, q->from);
    struct bb_quorum_message m = {.kind = q->kind,
                                  .is_ok = q->is_ok != FALSE,
                                  .has_recent_quorum =
                                      q->has_recent_quorum != FALSE,
                                  .from = q->from,
                                  .to = q->to,
                                  .term = q->term,
                                  .round = q->round,
                                  .commit_index = q->commit_index};
    struct bb_quorum_output out = {0};

    if (p == NULL || q->kind >= BB_QUORUM_MESSAGE_KIND_COUNT) {
        return;
    }
    m.entry.term = q->entry.term;
    m.entry.index = q->entry.index;
    m.entry.content_id = q->entry.content_id;
    m.entry.voter_count = q->entry.voters.voters_len;
    for (uint64_t i = 0; i < m.entry.voter_count; i++) {
        m.entry.voters[i] = q->entry.voters.voters_val[i];
    }
    if (q->needs_full_content) {
        p->acked_content_id = 0;
        p->sent_content_id = 0;
        return;
    }
    if (q->kind == BB_QUORUM_APPEND && q->entry.content_id != 0) {
        if (q->content.content_len == 1) {
            (void)bb_content_store_add_compressed(c->content_store,
                                                  q->content.content_val);
        }
        if (bb_content_store_get(c->content_store, q->entry.content_id) ==
            NULL) {
            request_full_content(l, q);
            return;
        }
    }
    bb_quorum_receive(&c->quorum, &m, bb_clock_now_us(),
                      bb_random_global_u64(), &out);
    if (q->kind == BB_QUORUM_APPEND_RESPONSE && m.is_ok &&
        m.entry.term == c->quorum.durable.entry.term &&
        m.entry.index == c->quorum.durable.entry.index) {
        p->acked_content_id = c->quorum.durable.entry.content_id;
    }
    core_apply_output(c, &out);
}

/* Stores what a peer says of itself in its hello. Returns whether its disk ID
 * is new. */
static bool
update_peer_host(struct bb_core *c, struct core_peer *p, const fleet_host *h)
{
    bool is_new = p->host == NULL || p->host->disk_id != h->disk_id;

    if (is_new) {
        bb_log_info("core.host",
                    "%s zone %s disk %016" G_GINT64_MODIFIER "x%s", h->ip,
                    h->zone, (guint64)h->disk_id, h->is_empty ? " empty" : "");
        p->acked_content_id = 0;
        p->sent_content_id = 0;
    }
    destroy_host(p->host);
    p->host = copy_host(h);
    core_record_disk_address(c, h->disk_id, &p->address);
    return is_new;
}

/* Sends the list of control hosts to all nodes and control hosts that sent a
 * hello. */
static void
broadcast_hosts(struct bb_core *c)
{
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->kind == CORE_LINK_NODE ||
            (l->kind == CORE_LINK_CONTROL && l->has_received_hello)) {
            send_hosts(l);
        }
    }
}

/* Returns how far a host is from a zone and region. */
static enum bb_fleet_distance
distance_between(const fleet_host *h, const fleet_host *from)
{
    if (strcmp(h->zone, from->zone) == 0) {
        return BB_FLEET_SAME_ZONE;
    }
    return strcmp(h->region, from->region) == 0 ? BB_FLEET_SAME_REGION
                                                : BB_FLEET_OTHER_REGION;
}

/* Processes the hello of a control host on an outgoing or an incoming
 * connection. */
static void
receive_control_hello(struct core_link *l, const fleet_hello *h)
{
    struct bb_core *c = l->core;
    struct bb_address at = {.port = (uint16_t)h->host.peer_port};
    struct core_peer *p = l->peer;
    bool is_new;

    g_strlcpy(at.ip, h->host.ip, sizeof(at.ip));
    if (p == NULL) {
        p = core_add_peer(c, &at);
    }
    if (p == NULL) {
        return;
    }
    if (!l->is_outgoing) {
        if (p->incoming != NULL && p->incoming != l) {
            /* Superseded by this newer connection of the same host. */
            p->incoming->peer = NULL;
        }
        p->incoming = l;
        l->peer = p;
    }
    l->kind = CORE_LINK_CONTROL;
    l->has_received_hello = true;
    p->disconnected_since_us = 0;
    p->connect_delay_ms = 0;
    p->connect_due_us = 0;
    is_new = update_peer_host(c, p, &h->host);
    bb_fleet_connection_set_distance(l->connection,
                                     distance_between(&c->self, &h->host));
    core_update_connected_peers(c);
    if (!l->is_outgoing) {
        send_hello(l);
        send_hosts(l);
        core_send_instances(l);
    }
    if (is_new) {
        broadcast_hosts(c);
    }
    core_schedule_timer(c);
}

/* Returns whether a connected control host is nearer to a node than this
 * one. */
static bool
has_nearer_host(struct bb_core *c, const fleet_host *node)
{
    enum bb_fleet_distance own = distance_between(&c->self, node);
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct core_peer *p = value;

        if (p->host != NULL && core_active_link(p) != NULL &&
            distance_between(p->host, node) < own) {
            return true;
        }
    }
    return false;
}

/* Sends a node all that it may lack. */
static void
send_node_state(struct core_link *l)
{
    l->state_due_us = 0;
    core_send_instances(l);
    if (l->node_commit_index < l->core->commit_index) {
        core_send_update(l->core, l);
    }
    send_status(l);
}

/* Sends the state to the nodes that have stayed although a nearer control host
 * was listed for them. */
void
core_send_due_states(struct bb_core *c, uint64_t now_us)
{
    c->state_due_us = 0;
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->state_due_us == 0) {
            continue;
        }
        if (now_us >= l->state_due_us) {
            send_node_state(l);
        }
        else if (c->state_due_us == 0 || l->state_due_us < c->state_due_us) {
            c->state_due_us = l->state_due_us;
        }
    }
}

/* Processes the hello of a node and sends it the current state. A node without
 * a configuration gets only the control hosts at first if one of them is
 * nearer: it then connects to that one. When all nodes return at once they
 * connect to the seeds first. A node that has a configuration gets what is
 * new at once, as the nearer host may be out of touch. */
static void
receive_node_hello(struct core_link *l, const fleet_hello *h)
{
    struct bb_core *c = l->core;

    l->kind = CORE_LINK_NODE;
    l->has_received_hello = true;
    l->node_content_id = h->content_id;
    l->node_commit_index = h->commit_index;
    bb_fleet_connection_set_distance(l->connection,
                                     distance_between(&c->self, &h->host));
    send_hello(l);
    if (h->content_id == 0 && has_nearer_host(c, &h->host)) {
        l->state_due_us = bb_clock_now_us() +
                          (uint64_t)BB_CORE_REDIRECT_WAIT_MS * BB_US_PER_MS;
        if (c->state_due_us == 0) {
            c->state_due_us = l->state_due_us;
        }
        core_schedule_timer(c);
    }
    else {
        send_node_state(l);
    }
    /* Last, as the node may leave for a nearer host once it has the list. */
    send_hosts(l);
    core_update_connected_peers(c);
}

/* Adds the control hosts that another one knows. */
static void
receive_hosts(struct core_link *l, const fleet_message *m)
{
    for (u_int i = 0; i < m->fleet_message_u.hosts.hosts_len; i++) {
        const fleet_host *h = &m->fleet_message_u.hosts.hosts_val[i];
        struct bb_address at = {.port = (uint16_t)h->peer_port};

        g_strlcpy(at.ip, h->ip, sizeof(at.ip));
        (void)core_add_peer(l->core, &at);
    }
    core_schedule_timer(l->core);
}

/* Handles a message of a control host or a node. Ignores the kinds that only
 * control hosts send to nodes. */
static void
on_message(void *context, struct bb_fleet_connection *f, fleet_message *m)
{
    struct core_link *l = context;

    (void)f;
    switch (m->kind) {
    case FLEET_HELLO:
        if (m->fleet_message_u.hello.is_control) {
            receive_control_hello(l, &m->fleet_message_u.hello);
        }
        else {
            receive_node_hello(l, &m->fleet_message_u.hello);
        }
        break;
    case FLEET_HOSTS:
        receive_hosts(l, m);
        break;
    case FLEET_INSTANCES:
        core_receive_instances(l, m);
        break;
    case FLEET_QUORUM:
        receive_quorum_message(l, &m->fleet_message_u.quorum);
        break;
    case FLEET_DIGEST:
        core_receive_digest(l, m->fleet_message_u.digest);
        break;
    case FLEET_LEASE_REQUEST:
        core_receive_lease_request(l, m->fleet_message_u.lease_request);
        break;
    case FLEET_LEASE_CONFIRM:
        core_receive_lease_confirm(l, m->fleet_message_u.lease_confirm);
        break;
    case FLEET_LEASE_CONFIRMED:
        core_receive_lease_confirmed(l, &m->fleet_message_u.lease_confirmed);
        break;
    case FLEET_QUOTA_USAGE:
    case FLEET_QUOTA_TOTALS:
        core_receive_quota(l, m);
        break;
    case FLEET_ROLLOUT_EVIDENCE:
        core_receive_evidence(l, m);
        break;
    case FLEET_UPDATE:
    case FLEET_STATUS:
    case FLEET_LEASE_GRANT:
    case FLEET_QUOTA_RATIOS:
        break;
    }
}

/* Sends the hello as soon as a link that this host opened is connected. */
static void
on_opened(void *context, struct bb_fleet_connection *f)
{
    (void)f;
    send_hello(context);
}

/* Destroys the link whose connection ended. */
static void
on_ended(void *context, struct bb_fleet_connection *f)
{
    (void)f;
    destroy_link(context);
}
