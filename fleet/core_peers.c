/* Connections of a control host: to other control hosts and from nodes. */
#include "core_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/random.h"

BB_GAUGE(nodes_gauge, "baobab_core_nodes", "Nodes connected to this host");
BB_GAUGE(hosts_gauge, "baobab_core_hosts",
         "Other control hosts that are connected");

/* After this a content that was not acknowledged is sent again. */
enum { RESEND_MS = 1500 };

static void take_message(void *context, struct bb_frames *f, fleet_message *m);
static void take_end(void *context, struct bb_frames *f);
static void take_open(void *context, struct bb_frames *f);

static const struct bb_frames_events frames_events = {
    .opened = take_open, .message = take_message, .ended = take_end};

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

/* Frees a peer without connections. */
void
core_destroy_peer(void *data)
{
    struct core_peer *p = data;

    destroy_host(p->host);
    g_free(p);
}

/* Returns the peer whose present disk this is, or NULL. */
struct core_peer *
core_find_disk(struct bb_core *c, uint64_t disk)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_peer *p = value;

        if (p->host != NULL && p->host->disk == disk) {
            return p;
        }
    }
    return NULL;
}

/* Adds a control host by its address; returns NULL for the own one. */
struct core_peer *
core_add_peer(struct bb_core *c, const struct bb_address *at)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    struct core_peer *p;

    if (strcmp(at->ip, c->settings.ip) == 0) {
        return NULL;
    }
    (void)bb_address_text(at, text);
    p = g_hash_table_lookup(c->peers, text);
    if (p == NULL) {
        p = g_new0(struct core_peer, 1);
        p->at = *at;
        p->absent_since_us = bb_clock_now_us();
        g_hash_table_insert(c->peers, g_strdup(text), p);
    }
    return p;
}

/* Notes at which address a disk is in use. */
void
core_note_place(struct bb_core *c, uint64_t disk, const struct bb_address *at)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    uint64_t *key = g_new(uint64_t, 1);

    *key = disk;
    g_hash_table_replace(c->places, key, g_strdup(bb_address_text(at, text)));
}

/* Returns the connection on which a peer can be reached, or NULL. */
static struct core_link *
peer_link(const struct core_peer *p)
{
    if (p->out != NULL && p->out->is_introduced) {
        return p->out;
    }
    return p->in;
}

/* Tells the agreement which disks can be reached, and counts. */
void
core_update_peers(struct bb_core *c)
{
    uint64_t disks[BB_QUORUM_PEERS_MAX];
    uint32_t count = 0;
    uint64_t nodes = 0;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           count < BB_QUORUM_PEERS_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL && peer_link(p) != NULL) {
            disks[count++] = p->host->disk;
        }
    }
    bb_quorum_set_peers(&c->quorum, disks, count);
    for (guint i = 0; i < c->links->len; i++) {
        const struct core_link *l = g_ptr_array_index(c->links, i);

        nodes += l->kind == CORE_LINK_NODE;
    }
    bb_counter_set(&nodes_gauge, nodes);
    bb_counter_set(&hosts_gauge, count);
}

static struct core_link *
create_link(struct bb_core *c, bool is_own)
{
    struct core_link *l = g_new0(struct core_link, 1);

    l->core = c;
    l->is_own = is_own;
    g_ptr_array_add(c->links, l);
    return l;
}

/* Closes a connection and notes what follows from it. */
static void
drop_link(struct core_link *l)
{
    struct bb_core *c = l->core;
    struct core_peer *p = l->peer;
    uint64_t now_us = bb_clock_now_us();

    g_ptr_array_remove_fast(c->links, l);
    bb_frames_close(l->frames);
    if (p != NULL) {
        bool was_reachable = peer_link(p) != NULL;

        if (p->out == l) {
            p->out = NULL;
            p->dial_at_us = now_us + (uint64_t)p->dial_wait_ms * BB_US_PER_MS;
        }
        if (p->in == l) {
            p->in = NULL;
        }
        p->sent_content = 0;
        if (was_reachable && peer_link(p) == NULL && p->host != NULL) {
            p->absent_since_us = now_us;
            p->dial_at_us = now_us;
            bb_log_info("core.host_lost", "%s", p->at.ip);
            bb_quorum_on_leader_disconnected(&c->quorum, p->host->disk, now_us,
                                             bb_random_bits());
        }
    }
    core_update_peers(c);
    g_free(l->name);
    g_free(l);
    core_schedule(c);
}

/* Opens connections to control hosts that have none of this host's. */
void
core_dial(struct bb_core *c, uint64_t now_us)
{
    GHashTableIter it;
    gpointer value;

    if (!c->is_identity_stored) {
        return;
    }
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_peer *p = value;
        struct core_link *l;

        if (p->out != NULL || now_us < p->dial_at_us) {
            continue;
        }
        p->dial_wait_ms =
            MIN(MAX(2 * p->dial_wait_ms, (uint32_t)BB_CORE_REDIAL_MS),
                (uint32_t)BB_CORE_REDIAL_MAX_MS);
        l = create_link(c, true);
        l->kind = CORE_LINK_CONTROL;
        l->peer = p;
        p->out = l;
        l->frames = bb_frames_open(c->loop, &p->at, BB_CORE_CONNECT_MS,
                                   &frames_events, l);
        if (l->frames == NULL) {
            p->out = NULL;
            p->dial_at_us = now_us + (uint64_t)p->dial_wait_ms * BB_US_PER_MS;
            g_ptr_array_remove_fast(c->links, l);
            g_free(l);
        }
    }
}

/* Returns when core_dial has something to do. */
uint64_t
core_dial_due_us(struct bb_core *c)
{
    uint64_t due_us = UINT64_MAX;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct core_peer *p = value;

        if (p->out == NULL && c->is_identity_stored) {
            due_us = MIN(due_us, p->dial_at_us);
        }
    }
    return due_us;
}

/* Takes a connection from another host. */
void
core_accept(void *context, struct bb_stream *s)
{
    struct bb_core *c = context;
    struct core_link *l = create_link(c, false);

    l->frames = bb_frames_accept(s, &frames_events, l);
}

/* Closes all connections. */
void
core_close_links(struct bb_core *c)
{
    while (c->links->len > 0) {
        struct core_link *l = g_ptr_array_index(c->links, 0);

        g_ptr_array_remove_index_fast(c->links, 0);
        bb_frames_close(l->frames);
        g_free(l->name);
        g_free(l);
    }
}

static void
send_hello(struct core_link *l)
{
    struct bb_core *c = l->core;
    fleet_message m = {.kind = FLEET_HELLO};

    c->self.is_empty = c->quorum.durable.entry.index == 0;
    m.fleet_message_u.hello =
        (fleet_hello){.is_control = TRUE, .host = c->self};
    (void)bb_frames_send(l->frames, &m);
}

/* Sends the control hosts that were heard lately, this one first. */
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
            (p->absent_since_us == 0 ||
             now_us - p->absent_since_us <
                 (uint64_t)BB_CORE_FORGET_MS * BB_US_PER_MS)) {
            hosts[count++] = *p->host;
        }
    }
    m.fleet_message_u.hosts.hosts_val = hosts;
    m.fleet_message_u.hosts.hosts_len = count;
    (void)bb_frames_send(l->frames, &m);
}

struct instance_list {
    fleet_instance *items;
    u_int count;
};

static void
add_instance(void *context, const fleet_instance *i)
{
    struct instance_list *list = context;

    if (list->count < FLEET_INSTANCES_MAX) {
        list->items[list->count++] = *i;
    }
}

/* Sends all announcements known here, also if there is none: a node waits for
 * them. */
static void
send_instances(struct core_link *l)
{
    uint32_t n = bb_instances_count(l->core->instances);
    struct instance_list list = {.items = g_new(fleet_instance, n + 1)};
    fleet_message m = {.kind = FLEET_INSTANCES};

    bb_instances_visit(l->core->instances, add_instance, &list);
    m.fleet_message_u.instances.instances_val = list.items;
    m.fleet_message_u.instances.instances_len = list.count;
    (void)bb_frames_send(l->frames, &m);
    g_free(list.items);
}

/* Sends the configuration in force to a node that holds another one. */
void
core_send_update(struct bb_core *c, struct core_link *l)
{
    fleet_message m = {.kind = FLEET_CONTENT};
    fleet_update *u = &m.fleet_message_u.update;

    if (l->kind != CORE_LINK_NODE || c->published == 0 ||
        l->content == c->published) {
        return;
    }
    u->revision = c->revision;
    if (bb_contents_pack(c->contents, c->published, l->content, &u->content)) {
        if (bb_frames_send(l->frames, &m)) {
            l->content = c->published;
        }
        bb_content_clear(&u->content);
    }
}

static void
send_status(struct core_link *l)
{
    struct bb_core *c = l->core;
    fleet_message m = {.kind = FLEET_STATUS};

    m.fleet_message_u.status =
        (fleet_status){.is_in_touch = bb_quorum_has_recent_quorum(
                           &c->quorum, bb_clock_now_us()),
                       .revision = c->revision};
    (void)bb_frames_send(l->frames, &m);
}

/* Tells all nodes whether this host is in touch with a majority. */
void
core_send_status(struct bb_core *c)
{
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->kind == CORE_LINK_NODE) {
            send_status(l);
        }
    }
}

/* Decides whether an append carries its content, and against which base. */
static bool
attach_content(struct bb_core *c, struct core_peer *p, uint64_t content,
               fleet_content *out)
{
    uint64_t now_us = bb_clock_now_us();

    if (content == 0 || p->acked_content == content ||
        (p->sent_content == content &&
         now_us - p->sent_us < (uint64_t)RESEND_MS * BB_US_PER_MS)) {
        return false;
    }
    p->sent_content = content;
    p->sent_us = now_us;
    return bb_contents_pack(c->contents, content, p->acked_content, out);
}

/* Sends a message of the agreement. */
void
core_send_quorum(struct bb_core *c, const struct bb_quorum_message *m)
{
    struct core_peer *p = core_find_disk(c, m->to);
    struct core_link *l = p != NULL ? peer_link(p) : NULL;
    fleet_message out = {.kind = FLEET_QUORUM};
    fleet_quorum *q = &out.fleet_message_u.quorum;
    fleet_content content = {0};

    if (l == NULL) {
        return;
    }
    *q = (fleet_quorum){
        .kind = m->kind,
        .is_ok = m->is_ok,
        .is_confirmed = m->has_recent_quorum,
        .from = m->from,
        .to = m->to,
        .term = m->term,
        .round = m->round,
        .commit_index = m->commit_index,
        .entry = {.term = m->entry.term,
                  .index = m->entry.index,
                  .content = m->entry.content_id,
                  .voters = {.voters_len = (u_int)m->entry.voter_count,
                             .voters_val = (u_quad_t *)m->entry.voters}}};
    if (m->kind == BB_QUORUM_APPEND &&
        attach_content(c, p, m->entry.content_id, &content)) {
        q->content.content_val = &content;
        q->content.content_len = 1;
    }
    (void)bb_frames_send(l->frames, &out);
    bb_content_clear(&content);
}

/* Tells the sender of an append that its content cannot be rebuilt here. */
static void
ask_for_content(struct core_link *l, const fleet_quorum *q)
{
    fleet_message out = {.kind = FLEET_QUORUM};

    out.fleet_message_u.quorum =
        (fleet_quorum){.kind = BB_QUORUM_APPEND_ANSWER,
                       .wants_content = TRUE,
                       .from = l->core->quorum.durable.disk,
                       .to = q->from,
                       .term = q->term};
    (void)bb_frames_send(l->frames, &out);
}

/* Takes a message of the agreement. */
static void
take_quorum(struct core_link *l, const fleet_quorum *q)
{
    struct bb_core *c = l->core;
    struct core_peer *p = core_find_disk(c, q->from);
    struct bb_quorum_message m = {.kind = q->kind,
                                  .is_ok = q->is_ok != FALSE,
                                  .has_recent_quorum =
                                      q->is_confirmed != FALSE,
                                  .from = q->from,
                                  .to = q->to,
                                  .term = q->term,
                                  .round = q->round,
                                  .commit_index = q->commit_index};
    struct bb_quorum_output out = {0};

    if (p == NULL || q->kind >= BB_QUORUM_MESSAGE_KINDS) {
        return;
    }
    m.entry.term = q->entry.term;
    m.entry.index = q->entry.index;
    m.entry.content_id = q->entry.content;
    m.entry.voter_count = q->entry.voters.voters_len;
    for (uint64_t i = 0; i < m.entry.voter_count; i++) {
        m.entry.voters[i] = q->entry.voters.voters_val[i];
    }
    if (q->wants_content) {
        p->acked_content = 0;
        p->sent_content = 0;
        return;
    }
    if (q->kind == BB_QUORUM_APPEND && q->entry.content != 0) {
        if (q->content.content_len == 1) {
            (void)bb_contents_unpack(c->contents, q->content.content_val);
        }
        if (bb_contents_get(c->contents, q->entry.content) == NULL) {
            ask_for_content(l, q);
            return;
        }
    }
    bb_quorum_receive(&c->quorum, &m, bb_clock_now_us(), bb_random_bits(),
                      &out);
    if (q->kind == BB_QUORUM_APPEND_ANSWER && m.is_ok &&
        m.entry.term == c->quorum.durable.entry.term &&
        m.entry.index == c->quorum.durable.entry.index) {
        p->acked_content = c->quorum.durable.entry.content_id;
    }
    core_apply(c, &out);
}

/* Notes that a control host introduced itself; returns whether anything of it
 * is new. */
static bool
take_host(struct bb_core *c, struct core_peer *p, const fleet_host *h)
{
    bool is_new = p->host == NULL || p->host->disk != h->disk;

    if (is_new) {
        bb_log_info("core.host",
                    "%s zone %s disk %016" G_GINT64_MODIFIER "x%s", h->ip,
                    h->zone, (guint64)h->disk, h->is_empty ? " empty" : "");
        p->acked_content = 0;
        p->sent_content = 0;
    }
    destroy_host(p->host);
    p->host = copy_host(h);
    core_note_place(c, h->disk, &p->at);
    return is_new;
}

static void
spread_hosts(struct bb_core *c)
{
    for (guint i = 0; i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);

        if (l->kind == CORE_LINK_NODE ||
            (l->kind == CORE_LINK_CONTROL && l->is_introduced)) {
            send_hosts(l);
        }
    }
}

/* Takes the introduction of a control host on either kind of connection. */
static void
take_control_hello(struct core_link *l, const fleet_hello *h)
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
    if (!l->is_own) {
        if (p->in != NULL && p->in != l) {
            p->in->peer = NULL; /* an older connection of the same host */
        }
        p->in = l;
        l->peer = p;
    }
    l->kind = CORE_LINK_CONTROL;
    l->is_introduced = true;
    p->absent_since_us = 0;
    p->dial_wait_ms = 0;
    p->dial_at_us = 0;
    is_new = take_host(c, p, &h->host);
    core_update_peers(c);
    if (!l->is_own) {
        send_hello(l);
        send_hosts(l);
        send_instances(l);
    }
    if (is_new) {
        spread_hosts(c);
    }
    core_schedule(c);
}

/* Takes the introduction of a node and brings it up to date. */
static void
take_node_hello(struct core_link *l, const fleet_hello *h)
{
    l->kind = CORE_LINK_NODE;
    l->is_introduced = true;
    l->content = h->content;
    send_hello(l);
    send_hosts(l);
    send_instances(l);
    if (h->revision < l->core->revision) {
        core_send_update(l->core, l);
    }
    send_status(l);
    core_update_peers(l->core);
}

/* Adds control hosts that others know. */
static void
take_hosts(struct core_link *l, const fleet_message *m)
{
    for (u_int i = 0; i < m->fleet_message_u.hosts.hosts_len; i++) {
        const fleet_host *h = &m->fleet_message_u.hosts.hosts_val[i];
        struct bb_address at = {.port = (uint16_t)h->peer_port};

        g_strlcpy(at.ip, h->ip, sizeof(at.ip));
        (void)core_add_peer(l->core, &at);
    }
    core_schedule(l->core);
}

/* Merges announcements and passes on those that are new. */
static void
take_instances(struct core_link *from, fleet_message *m)
{
    struct bb_core *c = from->core;
    u_int count = m->fleet_message_u.instances.instances_len;
    fleet_instance *items = m->fleet_message_u.instances.instances_val;
    fleet_instance *changed = g_new(fleet_instance, count + 1);
    fleet_message out = {.kind = FLEET_INSTANCES};
    u_int n = 0;

    for (u_int i = 0; i < count; i++) {
        if (bb_instances_merge(c->instances, &items[i])) {
            changed[n++] = items[i];
        }
    }
    out.fleet_message_u.instances.instances_val = changed;
    out.fleet_message_u.instances.instances_len = n;
    for (guint i = 0; n > 0 && i < c->links->len; i++) {
        struct core_link *l = g_ptr_array_index(c->links, i);
        /* One of the two connections to each other control host. */
        bool is_to_peer = l->kind == CORE_LINK_CONTROL && l->peer != NULL &&
                          l->peer != from->peer && l == peer_link(l->peer);

        if (l != from && (l->kind == CORE_LINK_NODE || is_to_peer)) {
            (void)bb_frames_send(l->frames, &out);
        }
    }
    g_free(changed);
}

static void
take_message(void *context, struct bb_frames *f, fleet_message *m)
{
    struct core_link *l = context;

    (void)f;
    switch (m->kind) {
    case FLEET_HELLO:
        if (m->fleet_message_u.hello.is_control) {
            take_control_hello(l, &m->fleet_message_u.hello);
        }
        else {
            take_node_hello(l, &m->fleet_message_u.hello);
        }
        break;
    case FLEET_HOSTS:
        take_hosts(l, m);
        break;
    case FLEET_INSTANCES:
        take_instances(l, m);
        break;
    case FLEET_QUORUM:
        take_quorum(l, &m->fleet_message_u.quorum);
        break;
    case FLEET_CONTENT:
    case FLEET_STATUS:
        break;
    }
}

static void
take_open(void *context, struct bb_frames *f)
{
    (void)f;
    send_hello(context);
}

static void
take_end(void *context, struct bb_frames *f)
{
    (void)f;
    drop_link(context);
}
