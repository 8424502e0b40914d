/* A control host: the agreement on its disk and its timers. */
#include "core_internal.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"
#include "common/random.h"

BB_GAUGE(leader_gauge, "baobab_core_is_leader",
         "1 while this control host leads");
BB_GAUGE(revision_gauge, "baobab_core_revision",
         "Index of the newest entry known to be committed");
BB_GAUGE(in_touch_gauge, "baobab_core_in_touch",
         "1 while a leader with a majority is heard");
BB_COUNTER(elections_total, "baobab_core_elections_total",
           "Times this control host became the leader");

static void run_timer(uv_timer_t *t);
static void end_write(void *context, bool is_written);

/* Copies the known control hosts into the stored form. */
static void
list_known(struct bb_core *c, fleet_stored *s, fleet_host *list)
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

/* Returns the whole compressed form of the entry's content, made once. */
static const fleet_content *
pack_for_store(struct bb_core *c)
{
    uint64_t content = c->quorum.durable.entry.content_id;

    if (c->stored_pack.content != content) {
        bb_content_clear(&c->stored_pack);
        memset(&c->stored_pack, 0, sizeof(c->stored_pack));
        if (content != 0) {
            (void)bb_contents_pack(c->contents, content, 0, &c->stored_pack);
        }
    }
    return &c->stored_pack;
}

/* Starts the write that is due, unless one is under way. */
static void
start_write(struct bb_core *c)
{
    const struct bb_quorum_durable *d = &c->quorum.durable;
    fleet_host known[FLEET_HOSTS_MAX];
    fleet_stored s = {.disk = d->disk,
                      .term = d->term,
                      .voted_for = d->voted_for,
                      .entry = {.term = d->entry.term,
                                .index = d->entry.index,
                                .content = d->entry.content_id}};

    if (!c->needs_write || bb_fleet_store_is_busy(c->store) ||
        bb_clock_now_us() < c->store_retry_us) {
        return;
    }
    s.entry.voters.voters_len = (u_int)d->entry.voter_count;
    s.entry.voters.voters_val = (u_quad_t *)d->entry.voters;
    list_known(c, &s, known);
    s.content = *pack_for_store(c);
    c->needs_write = false;
    c->writing_sequence = c->quorum.write_sequence;
    if (!bb_fleet_store_write(c->store, &s, end_write, c)) {
        c->needs_write = true;
    }
}

/* Takes the end of a write. */
static void
end_write(void *context, bool is_written)
{
    struct bb_core *c = context;
    uint64_t now_us = bb_clock_now_us();
    struct bb_quorum_output out = {0};

    if (!is_written) {
        c->needs_write = true;
        c->store_retry_us =
            now_us + (uint64_t)BB_CORE_STORE_RETRY_MS * BB_US_PER_MS;
        core_schedule(c);
        return;
    }
    c->store_retry_us = 0;
    c->is_identity_stored = true;
    bb_quorum_on_write_synced(&c->quorum, c->writing_sequence, now_us, &out);
    core_apply(c, &out);
}

/* Makes the committed content known to nodes and readers. */
void
core_publish(struct bb_core *c)
{
    uint64_t content = c->quorum.durable.entry.content_id;

    c->revision = c->quorum.durable.entry.index;
    bb_counter_set(&revision_gauge, c->revision);
    if (content == c->published) {
        return;
    }
    bb_state_clear(&c->state);
    if (!bb_state_decode(bb_contents_get(c->contents, content), &c->state)) {
        bb_log_warning("core.unreadable", "content %016" G_GINT64_MODIFIER "x",
                       content);
        return;
    }
    c->published = content;
    bb_log_info("core.in_force",
                "version %" G_GUINT64_FORMAT " index %" G_GUINT64_FORMAT
                " term %" G_GUINT64_FORMAT,
                (guint64)c->state.label, c->revision, c->quorum.durable.term);
    for (guint i = 0; i < c->links->len; i++) {
        core_send_update(c, g_ptr_array_index(c->links, i));
    }
}

/* Carries out what a step of the agreement asked for. */
void
core_apply(struct bb_core *c, struct bb_quorum_output *out)
{
    uint64_t now_us = bb_clock_now_us();

    if (out->became_leader) {
        c->leader_since_us = now_us;
        bb_counter_add(&elections_total, 1);
        bb_log_info("core.leader",
                    "this host leads in term %" G_GUINT64_FORMAT,
                    c->quorum.durable.term);
    }
    bb_counter_set(&leader_gauge, c->quorum.role == BB_QUORUM_LEADER);
    c->needs_write = c->needs_write || out->must_persist;
    start_write(c);
    for (uint32_t i = 0; i < out->message_count; i++) {
        core_send_quorum(c, &out->messages[i]);
    }
    if (out->lost_leadership) {
        bb_log_info("core.not_leader", "term %" G_GUINT64_FORMAT,
                    c->quorum.durable.term);
        core_fail_orders(c);
    }
    if (out->has_committed) {
        core_publish(c);
        core_order_committed(c);
    }
    core_run_orders(c, now_us);
    core_schedule(c);
}

/* Founds the register once all seed hosts are there with empty disks. Only
 * the first seed does, so there is one formation. */
static void
try_form(struct bb_core *c, uint64_t now_us)
{
    const struct bb_address_list *seeds = &c->settings.seeds;
    uint64_t disks[BB_QUORUM_VOTERS_MAX];
    uint32_t count = 0;
    struct bb_quorum_output out = {0};

    if (!c->settings.may_form || c->quorum.durable.entry.index != 0 ||
        !c->is_identity_stored || seeds->count == 0 ||
        strcmp(seeds->items[0].ip, c->settings.ip) != 0) {
        return;
    }
    disks[count++] = c->quorum.durable.disk;
    for (uint32_t i = 1; i < seeds->count && count < BB_QUORUM_VOTERS_MAX;
         i++) {
        char text[BB_ADDRESS_TEXT_BYTES];
        struct bb_address at = seeds->items[i];
        const struct core_peer *p;

        at.port = c->settings.peers.port;
        p = g_hash_table_lookup(c->peers, bb_address_text(&at, text));
        if (p == NULL || p->host == NULL || p->absent_since_us != 0 ||
            !p->host->is_empty) {
            return;
        }
        disks[count++] = p->host->disk;
    }
    bb_log_info("core.forming", "%u voters", count);
    if (bb_quorum_form(&c->quorum, disks, count, now_us, &out)) {
        core_apply(c, &out);
    }
}

/* Lets the leader change the voters where a host is lost or has come. */
static void
plan_voters(struct bb_core *c, uint64_t now_us)
{
    const struct bb_quorum_entry *e = &c->quorum.durable.entry;
    struct bb_voter_host hosts[BB_VOTERS_HOSTS_MAX];
    uint32_t count = 0;
    struct bb_voters now = {.count = (uint32_t)e->voter_count};
    struct bb_voters next;
    GHashTableIter it;
    gpointer value;
    struct bb_quorum_output out = {0};

    if (!bb_quorum_can_propose(&c->quorum) || c->in_flight != NULL) {
        return;
    }
    hosts[count++] = (struct bb_voter_host){
        .disk = c->quorum.durable.disk,
        .zone = bb_hash64(c->self.zone, strlen(c->self.zone), 0)};
    g_hash_table_iter_init(&it, c->peers);
    while (g_hash_table_iter_next(&it, NULL, &value) &&
           count < BB_VOTERS_HOSTS_MAX - BB_QUORUM_VOTERS_MAX) {
        const struct core_peer *p = value;

        if (p->host != NULL) {
            hosts[count++] = (struct bb_voter_host){
                .disk = p->host->disk,
                .zone = bb_hash64(p->host->zone, strlen(p->host->zone), 0),
                .absent_us =
                    p->absent_since_us == 0
                        ? 0
                        : now_us -
                              MAX(p->absent_since_us, c->leader_since_us) + 1};
        }
    }
    memcpy(now.disks, e->voters, sizeof(now.disks));
    for (uint32_t i = 0; i < now.count; i++) {
        if (now.disks[i] != c->quorum.durable.disk &&
            core_find_disk(c, now.disks[i]) == NULL) {
            const char *place = g_hash_table_lookup(c->places, &now.disks[i]);
            const struct core_peer *p =
                place != NULL ? g_hash_table_lookup(c->peers, place) : NULL;

            hosts[count++] = (struct bb_voter_host){
                .disk = now.disks[i],
                .is_disk_replaced =
                    p != NULL && p->host != NULL && p->absent_since_us == 0,
                .absent_us = now_us - c->leader_since_us + 1};
        }
    }
    if (bb_voters_plan_change(hosts, count, &now, c->quorum.durable.disk,
                              c->settings.voters, &next) &&
        bb_quorum_set_voters(&c->quorum, next.disks, next.count, now_us,
                             &out)) {
        bb_log_info("core.voters", "%u voters, were %u", next.count,
                    now.count);
        core_apply(c, &out);
    }
}

/* Sets the timer to the next thing that is due. */
void
core_schedule(struct bb_core *c)
{
    uint64_t now_us = bb_clock_now_us();
    uint64_t due_us =
        MIN(bb_quorum_next_tick_us(&c->quorum), c->status_due_us);
    uint64_t dial_us = core_dial_due_us(c);
    uint64_t orders_us = core_orders_due_us(c);

    due_us = MIN(due_us, dial_us);
    due_us = MIN(due_us, orders_us);
    if (c->quorum.role == BB_QUORUM_LEADER || c->settings.may_form) {
        due_us = MIN(due_us, c->plan_due_us);
    }
    if (c->store_retry_us != 0) {
        due_us = MIN(due_us, c->store_retry_us);
    }
    (void)uv_timer_start(
        &c->timer, run_timer,
        due_us > now_us ? (due_us - now_us) / BB_US_PER_MS + 1 : 1, 0);
}

/* Does whatever is due. */
static void
run_timer(uv_timer_t *t)
{
    struct bb_core *c = t->data;
    uint64_t now_us = bb_clock_now_us();
    struct bb_quorum_output out = {0};
    bool is_in_touch;

    core_dial(c, now_us);
    if (c->store_retry_us != 0 && now_us >= c->store_retry_us) {
        c->store_retry_us = 0;
    }
    if (now_us >= bb_quorum_next_tick_us(&c->quorum)) {
        bb_quorum_tick(&c->quorum, now_us, bb_random_bits(), &out);
    }
    core_apply(c, &out);
    if (now_us >= c->plan_due_us) {
        c->plan_due_us = now_us + (uint64_t)BB_CORE_PLAN_MS * BB_US_PER_MS;
        try_form(c, now_us);
        plan_voters(c, now_us);
    }
    is_in_touch = bb_quorum_has_recent_quorum(&c->quorum, now_us);
    if (is_in_touch != c->was_in_touch) {
        c->was_in_touch = is_in_touch;
        bb_counter_set(&in_touch_gauge, is_in_touch);
        bb_log_info(is_in_touch ? "core.in_touch" : "core.out_of_touch",
                    "term %" G_GUINT64_FORMAT, c->quorum.durable.term);
        c->status_due_us = now_us;
    }
    if (now_us >= c->status_due_us) {
        c->status_due_us = now_us + (uint64_t)BB_CORE_STATUS_MS * BB_US_PER_MS;
        core_send_status(c);
    }
    core_schedule(c);
}

/* Takes over what the disk holds. */
static void
restore(struct bb_core *c, const fleet_stored *s, bool has_state)
{
    struct bb_quorum_durable d = {.disk = bb_random_bits() | 1};
    uint64_t now_us = bb_clock_now_us();

    if (has_state) {
        d.disk = s->disk;
        d.term = s->term;
        d.voted_for = s->voted_for;
        d.entry.term = s->entry.term;
        d.entry.index = s->entry.index;
        d.entry.content_id = s->entry.content;
        d.entry.voter_count =
            MIN(s->entry.voters.voters_len, BB_QUORUM_VOTERS_MAX);
        for (uint64_t i = 0; i < d.entry.voter_count; i++) {
            d.entry.voters[i] = s->entry.voters.voters_val[i];
        }
        if (s->content.content != 0) {
            (void)bb_contents_unpack(c->contents, &s->content);
        }
        for (u_int i = 0; i < s->known.known_len; i++) {
            const fleet_host *h = &s->known.known_val[i];
            struct bb_address at = {.port = (uint16_t)h->peer_port};

            g_strlcpy(at.ip, h->ip, sizeof(at.ip));
            (void)core_add_peer(c, &at);
            core_note_place(c, h->disk, &at);
        }
        c->is_identity_stored = true;
    }
    c->self.disk = d.disk;
    c->self.is_empty = d.entry.index == 0;
    bb_quorum_init(&c->quorum, &d, now_us, bb_random_bits());
    if (!has_state) {
        /* The identity must be durable before others count on it. */
        c->quorum.write_sequence++;
        c->needs_write = true;
    }
    bb_log_info("core.start",
                "disk %016" G_GINT64_MODIFIER "x term %" G_GUINT64_FORMAT
                " index %" G_GUINT64_FORMAT "%s",
                d.disk, d.term, d.entry.index,
                has_state ? "" : ", the disk is empty");
}

/* Starts a control host. Returns NULL and an error if its data folder or its
 * address cannot be used. */
struct bb_core *
bb_core_create(uv_loop_t *loop, const struct bb_core_settings *s,
               struct bb_error *e)
{
    struct bb_core *c = g_new0(struct bb_core, 1);
    fleet_stored stored = {0};
    bool has_state = false;

    c->loop = loop;
    c->settings = *s;
    c->contents = bb_contents_create();
    c->instances = bb_instances_create();
    c->links = g_ptr_array_new();
    c->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     core_destroy_peer);
    c->places =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    g_queue_init(&c->orders);
    g_queue_init(&c->refusals);
    g_queue_init(&c->reads);
    (void)uv_timer_init(loop, &c->timer);
    c->timer.data = c;
    c->self = (fleet_host){.ip = g_strdup(s->ip),
                           .peer_port = s->peers.port,
                           .operator_port = s->operators.port,
                           .zone = g_strdup(s->zone),
                           .region = g_strdup(s->region)};
    c->store =
        bb_fleet_store_open(loop, s->data_folder, &stored, &has_state, e);
    if (c->store == NULL) {
        goto fail;
    }
    restore(c, &stored, has_state);
    xdr_free((xdrproc_t)xdr_fleet_stored, (char *)&stored);
    c->listener = bb_listener_create(loop, &s->peers, core_accept, c, e);
    if (c->listener == NULL) {
        goto fail;
    }
    bb_core_set_seeds(c, &s->seeds);
    start_write(c);
    core_schedule(c);
    return c;
fail:
    bb_core_destroy(c);
    return NULL;
}

/* Replaces the seed addresses; hosts known already stay known. */
void
bb_core_set_seeds(struct bb_core *c, const struct bb_address_list *seeds)
{
    c->settings.seeds = *seeds;
    for (uint32_t i = 0; i < seeds->count; i++) {
        struct bb_address at = seeds->items[i];

        at.port = c->settings.peers.port;
        (void)core_add_peer(c, &at);
    }
    core_schedule(c);
}

static void
free_core(uv_handle_t *h)
{
    struct bb_core *c = h->data;

    g_hash_table_destroy(c->peers);
    g_hash_table_destroy(c->places);
    g_ptr_array_free(c->links, TRUE);
    bb_contents_destroy(c->contents);
    bb_instances_destroy(c->instances);
    bb_state_clear(&c->state);
    bb_content_clear(&c->stored_pack);
    g_free(c->self.ip);
    g_free(c->self.zone);
    g_free(c->self.region);
    g_free(c);
}

/* Stops a control host; orders and reads get no answer. NULL is allowed. */
void
bb_core_destroy(struct bb_core *c)
{
    if (c == NULL) {
        return;
    }
    /* First: the end of a write under way must find nothing of this. */
    bb_fleet_store_close(c->store);
    core_fail_orders(c);
    core_close_links(c);
    bb_listener_destroy(c->listener);
    uv_close((uv_handle_t *)&c->timer, free_core);
}

/* Finds the host that leads, as far as known and heard of lately. */
bool
bb_core_leader(struct bb_core *c, struct bb_address *operators, bool *is_self)
{
    const struct core_peer *p;

    *is_self = c->quorum.role == BB_QUORUM_LEADER;
    if (*is_self) {
        *operators = c->settings.operators;
        return true;
    }
    if (!bb_quorum_has_recent_quorum(&c->quorum, bb_clock_now_us())) {
        return false;
    }
    p = core_find_disk(c, c->quorum.leader);
    if (p == NULL || p->host == NULL) {
        return false;
    }
    g_strlcpy(operators->ip, p->host->ip, sizeof(operators->ip));
    operators->port = (uint16_t)p->host->operator_port;
    return true;
}
