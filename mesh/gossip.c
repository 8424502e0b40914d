/* The gossip state machine: executes the decisions of the SWIM failure
 * detector in decide/swim.c and processes received datagrams. */
#include "mesh/gossip.h"

#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "decide/relay.h"
#include "gossip_internal.h"
#include "mesh/wire.h"
#include "traffic.h"

enum {
    FORWARD_TIMEOUT_US = BB_US_PER_S,
    /* Pings to other zones carry the highest known revision, so this interval
     * also limits how late a zone with isolated control hosts learns of a new
     * revision. */
    ZONE_PING_INTERVAL_US = BB_US_PER_S / 2
};

BB_COUNTER(invalid_total, "baobab_gossip_invalid_total",
           "Datagrams that could not be decoded or have no valid sender");
BB_COUNTER(refutations_total, "baobab_gossip_refutations_total",
           "Times this process refuted a record about itself");
BB_COUNTER(suspected_total, "baobab_gossip_suspected_total",
           "Members that this process began to suspect");
BB_COUNTER(dead_total, "baobab_gossip_dead_total",
           "Members that this process declared dead");

/* Returns the next number of the SplitMix64 sequence. */
uint64_t
gossip_random_u64(struct bb_gossip *g)
{
    uint64_t z = g->random_state += 0x9e3779b97f4a7c15ULL;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* Merges this member's record into the table. */
static void
merge_self(struct bb_gossip *g, uint64_t now_us)
{
    (void)bb_member_table_merge(g->settings.members, &g->self,
                                BB_ORIGIN_SAME_REGION, now_us);
}

/* Creates the state machine and merges this member's record into the table. */
struct bb_gossip *
bb_gossip_create(const struct bb_gossip_settings *settings, uint64_t now_us)
{
    const struct bb_swim_settings swim = bb_swim_default_settings();
    struct bb_gossip *g = g_new0(struct bb_gossip, 1);

    (void)pthread_mutex_init(&g->lock, NULL);
    g->settings = *settings;
    g->self = settings->self;
    g->self.is_reachable = true;
    g->random_state = settings->seed;
    g->highest_revision = g->self.held_revision;
    g->peer_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    bb_swim_init(&g->swim, &swim, bb_relay_id_from_name(g->self.host), now_us,
                 gossip_random_u64(g));
    merge_self(g, now_us);
    return g;
}

/* Frees the state machine; NULL is allowed. */
void
bb_gossip_destroy(struct bb_gossip *g)
{
    if (g == NULL) {
        return;
    }
    g_hash_table_destroy(g->peer_by_id);
    (void)pthread_mutex_destroy(&g->lock);
    g_free(g);
}

/* Refutes another process's copy of this member's record by raising this
 * member's incarnation or sequence, if the copy is newer or says suspect or
 * dead. Always takes over a higher held revision from the copy. */
static void
refute_if_needed(struct bb_gossip *g, const struct bb_member *seen,
                 uint64_t now_us)
{
    enum bb_swim_state state = seen->state == BB_MEMBER_ALIVE ? BB_SWIM_ALIVE
                               : seen->state == BB_MEMBER_SUSPECT
                                   ? BB_SWIM_SUSPECT
                                   : BB_SWIM_DEAD;
    struct bb_swim_refutation r =
        bb_swim_decide_refutation(g->self.incarnation, g->self.sequence,
                                  seen->incarnation, seen->sequence, state);

    bb_member_table_raise_held_revision(g->settings.members, g->self.host,
                                        seen->held_revision);
    if (!r.is_needed || g->self.state == BB_MEMBER_LEFT) {
        return;
    }
    bb_counter_add(&refutations_total, 1);
    g->self.incarnation = r.incarnation;
    g->self.sequence = r.sequence;
    merge_self(g, now_us);
}

/* Merges a record from a datagram. */
static void
merge_record(struct bb_gossip *g, const struct bb_member *r, uint64_t now_us)
{
    enum bb_member_origin origin = strcmp(r->region, g->self.region) == 0
                                       ? BB_ORIGIN_SAME_REGION
                                       : BB_ORIGIN_OTHER_REGION;

    if (strcmp(r->host, g->self.host) == 0) {
        refute_if_needed(g, r, now_us);
        return;
    }
    (void)bb_member_table_merge(g->settings.members, r, origin, now_us);
}

/* Copies one peer to the failure detector. */
static void
copy_peer(struct bb_gossip *g, const struct bb_member *r, uint64_t now_us)
{
    struct bb_member *copy = g_new(struct bb_member, 1);
    uint64_t id = bb_relay_id_from_name(r->host);
    uint64_t *key = g_new(uint64_t, 1);
    enum bb_swim_state state = r->state == BB_MEMBER_ALIVE ? BB_SWIM_ALIVE
                               : r->state == BB_MEMBER_SUSPECT
                                   ? BB_SWIM_SUSPECT
                                   : BB_SWIM_DEAD;

    *copy = *r;
    *key = id;
    (void)bb_swim_set_peer(&g->swim, id, r->incarnation, r->sequence, state,
                           now_us);
    g_hash_table_insert(g->peer_by_id, key, copy);
}

/* Copies the peers from the table to the failure detector, if the table has
 * changed. */
static void
refresh_peers(struct bb_gossip *g, uint64_t now_us)
{
    struct bb_member_table *m = g->settings.members;
    struct bb_member_list list;
    uint64_t change = bb_member_table_get_change_number(m);

    if (change == g->peers_change) {
        return;
    }
    g->peers_change = bb_member_table_select(
        m, &(struct bb_member_query){.zone = g->self.zone}, &list);
    g_hash_table_destroy(g->peer_by_id);
    g->peer_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    for (size_t i = 0; i < list.count; i++) {
        if (strcmp(list.items[i].host, g->self.host) != 0) {
            copy_peer(g, &list.items[i], now_us);
        }
    }
    bb_member_list_clear(&list);
    for (uint32_t i = g->swim.peer_count; i > 0; i--) {
        uint64_t id = g->swim.peers[i - 1].id;

        if (!g_hash_table_contains(g->peer_by_id, &id)) {
            bb_swim_remove_peer(&g->swim, id);
        }
    }
}

/* Pings a member. If it is not marked alive, includes its record, so that it
 * can refute that. */
static void
send_ping(struct bb_gossip *g, const struct bb_member *to, uint64_t now_us)
{
    const struct gossip_message m = {
        .kind = MESH_PING,
        .ping_number = ++g->last_ping_number,
        .target = to->host,
        .extra_record = to->state == BB_MEMBER_ALIVE ? NULL : to,
    };

    if (to->gossip_address.port != 0) {
        gossip_send(g, &to->gossip_address, to->region, &m, now_us);
    }
}

/* Changes the state of a peer in the table. */
static void
set_peer_state(struct bb_gossip *g, struct bb_member *peer,
               enum bb_member_state state, uint64_t now_us)
{
    peer->state = state;
    (void)bb_member_table_merge(g->settings.members, peer,
                                BB_ORIGIN_SAME_REGION, now_us);
}

/* Sends a record to all live peers at once, except the peer that it
 * describes. */
static void
broadcast_record(struct bb_gossip *g, const struct bb_member *about,
                 uint64_t now_us)
{
    GHashTableIter i;
    gpointer value;
    const struct gossip_message m = {
        .kind = MESH_PING,
        .ping_number = ++g->last_ping_number,
        .target = "",
        .extra_record = about,
    };

    g_hash_table_iter_init(&i, g->peer_by_id);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct bb_member *to = value;

        if (to != about && to->state <= BB_MEMBER_SUSPECT &&
            to->gossip_address.port != 0) {
            gossip_send(g, &to->gossip_address, to->region, &m, now_us);
        }
    }
}

/* Executes one action of the failure detector. */
static void
execute_action(struct bb_gossip *g, const struct bb_swim_action *a,
               uint64_t now_us)
{
    struct bb_member *peer = g_hash_table_lookup(g->peer_by_id, &a->id);
    const struct bb_member *via;
    struct gossip_message request = {.kind = MESH_PING_REQUEST};

    if (peer == NULL) {
        return;
    }
    switch (a->kind) {
    case BB_SWIM_PING:
        send_ping(g, peer, now_us);
        break;
    case BB_SWIM_PING_REQUEST:
        via = g_hash_table_lookup(g->peer_by_id, &a->via);
        if (via != NULL && via->gossip_address.port != 0) {
            request.ping_number = ++g->last_ping_number;
            request.target = peer->host;
            gossip_send(g, &via->gossip_address, via->region, &request,
                        now_us);
        }
        break;
    case BB_SWIM_MARK_SUSPECT:
        bb_counter_add(&suspected_total, 1);
        set_peer_state(g, peer, BB_MEMBER_SUSPECT, now_us);
        break;
    case BB_SWIM_MARK_DEAD:
        bb_counter_add(&dead_total, 1);
        set_peer_state(g, peer, BB_MEMBER_DEAD, now_us);
        broadcast_record(g, peer, now_us);
        break;
    }
}

/* Advances time: sends the pings that are due, updates the states of peers and
 * the reachability of zones. Call at least every BB_GOSSIP_TICK_INTERVAL_MS.
 */
void
bb_gossip_tick(struct bb_gossip *g, uint64_t now_us)
{
    (void)pthread_mutex_lock(&g->lock);
    gossip_refresh_digests(g);
    refresh_peers(g, now_us);
    bb_swim_tick(&g->swim, now_us, gossip_random_u64(g), &g->actions);
    for (uint32_t i = 0; i < g->actions.count; i++) {
        execute_action(g, &g->actions.items[i], now_us);
    }
    if (now_us >= g->next_zone_ping_us) {
        g->next_zone_ping_us = now_us + ZONE_PING_INTERVAL_US;
        gossip_update_zones(g, now_us);
    }
    (void)pthread_mutex_unlock(&g->lock);
}

/* Pings the target of a PING_REQUEST for its sender. Does nothing if the
 * target is unknown or too many such pings are pending. */
static void
forward_ping(struct bb_gossip *g, const struct bb_address *from,
             const mesh_datagram *d, uint64_t now_us)
{
    struct bb_member target;
    struct forwarded_ping *f = NULL;

    if (!bb_member_table_get(g->settings.members, d->target_host, &target)) {
        return;
    }
    for (int i = 0; i < FORWARDED_PINGS_MAX && f == NULL; i++) {
        if (g->forwarded_pings[i].ping_number == 0 ||
            g->forwarded_pings[i].expires_us < now_us) {
            f = &g->forwarded_pings[i];
        }
    }
    if (f == NULL) {
        return;
    }
    send_ping(g, &target, now_us);
    *f = (struct forwarded_ping){
        .ping_number = g->last_ping_number,
        .requester_ping_number = d->ping_number,
        .requester = *from,
        .expires_us = now_us + FORWARD_TIMEOUT_US,
    };
    (void)g_strlcpy(f->target, target.host, sizeof(f->target));
}

/* Forwards the ACK of a ping that was sent for another member, with the record
 * of the target. */
static void
forward_ack(struct bb_gossip *g, const mesh_datagram *d, uint64_t now_us)
{
    struct bb_member target;

    for (int i = 0; i < FORWARDED_PINGS_MAX; i++) {
        struct forwarded_ping *f = &g->forwarded_pings[i];

        if (f->ping_number == 0 || f->ping_number != d->ping_number ||
            strcmp(f->target, d->target_host) != 0) {
            continue;
        }
        f->ping_number = 0;
        if (bb_member_table_get(g->settings.members, f->target, &target)) {
            const struct gossip_message m = {
                .kind = MESH_ACK,
                .ping_number = f->requester_ping_number,
                .target = f->target,
                .extra_record = &target,
            };

            gossip_send(g, &f->requester, g->self.region, &m, now_us);
        }
        return;
    }
}

/* Compares the digests of a datagram from a peer with this member's, to find
 * peers whose tables stay different. Ignores senders of other zones. */
static void
compare_digests(struct bb_gossip *g, const struct bb_member *sender,
                const mesh_datagram *d, uint64_t now_us)
{
    if (strcmp(sender->zone, g->self.zone) != 0) {
        return;
    }
    if (d->table_digest == g->table_digest &&
        d->revisions_digest == g->revisions_digest) {
        g->differs_since_us = 0;
        return;
    }
    if (g->differs_since_us == 0) {
        g->differs_since_us = now_us;
    }
    (void)g_strlcpy(g->differing_peer, sender->host,
                    sizeof(g->differing_peer));
}

/* Processes a valid datagram whose records have been merged. */
static void
process_datagram(struct bb_gossip *g, const struct bb_address *from,
                 const struct bb_member *sender, const mesh_datagram *d,
                 uint64_t now_us)
{
    const struct gossip_message ack = {
        .kind = MESH_ACK,
        .ping_number = d->ping_number,
        .target = g->self.host,
        .is_minimal = strcmp(sender->zone, g->self.zone) != 0,
    };

    g->highest_revision = MAX(g->highest_revision, d->highest_revision);
    gossip_update_zone_contact(g, sender->zone, now_us, now_us);
    for (u_int i = 0; i < d->ages.ages_len; i++) {
        uint64_t age_us = (uint64_t)d->ages.ages_val[i].age_ms * BB_US_PER_MS;

        gossip_update_zone_contact(g, d->ages.ages_val[i].zone,
                                   age_us < now_us ? now_us - age_us : 0,
                                   now_us);
    }
    compare_digests(g, sender, d, now_us);
    switch (d->kind) {
    case MESH_PING:
        gossip_send(g, from, sender->region, &ack, now_us);
        break;
    case MESH_PING_REQUEST:
        forward_ping(g, from, d, now_us);
        break;
    case MESH_ACK:
        refresh_peers(g, now_us);
        bb_swim_record_ack(&g->swim, bb_relay_id_from_name(sender->host),
                           now_us);
        bb_swim_record_ack(&g->swim, bb_relay_id_from_name(d->target_host),
                           now_us);
        forward_ack(g, d, now_us);
        break;
    }
}

/* Processes a received datagram. Returns false, and counts it, if it is not
 * valid; a datagram with one invalid record is refused as a whole. */
bool
bb_gossip_receive(struct bb_gossip *g, const struct bb_address *from,
                  const void *data, size_t size_bytes, uint64_t now_us)
{
    struct bb_member records[MESH_DATAGRAM_RECORDS_MAX];
    mesh_datagram d = {0};
    bool is_valid =
        size_bytes <= BB_GOSSIP_DATAGRAM_MAX_BYTES &&
        bb_wire_decode((xdrproc_t)xdr_mesh_datagram, &d, data, size_bytes) &&
        d.records.records_len > 0 && d.kind >= MESH_PING && d.kind <= MESH_ACK;

    for (u_int i = 0; is_valid && i < d.records.records_len; i++) {
        is_valid =
            bb_wire_member_from_xdr(&d.records.records_val[i], &records[i]);
    }
    if (!is_valid) {
        bb_counter_add(&invalid_total, 1);
        goto out;
    }
    bb_traffic_add_message(
        (enum bb_traffic_kind)(d.kind - MESH_PING), BB_TRAFFIC_IN, size_bytes,
        strcmp(records[0].region, g->settings.self.region) != 0);
    (void)pthread_mutex_lock(&g->lock);
    for (u_int i = 0; i < d.records.records_len; i++) {
        merge_record(g, &records[i], now_us);
    }
    gossip_refresh_digests(g);
    process_datagram(g, from, &records[0], &d, now_us);
    (void)pthread_mutex_unlock(&g->lock);
out:
    xdr_free((xdrproc_t)xdr_mesh_datagram, (char *)&d);
    return is_valid;
}

/* Replaces the content of this member's record, except its incarnation,
 * sequence, state and applied revision; the held revision never falls. All
 * other fields are copied, so the record must be complete. The sequence rises
 * if the content has changed. */
void
bb_gossip_update_self(struct bb_gossip *g, const struct bb_member *record,
                      uint64_t now_us)
{
    struct bb_member next = *record;

    (void)pthread_mutex_lock(&g->lock);
    next.incarnation = g->self.incarnation;
    next.sequence = g->self.sequence;
    next.state = g->self.state;
    next.held_revision = MAX(g->self.held_revision, record->held_revision);
    next.applied_revision = g->self.applied_revision;
    if (bb_member_compare(&next, &g->self) != 0) {
        next.sequence++;
    }
    g->self = next;
    merge_self(g, now_us);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Raises the held and applied revision of this member. This needs no new
 * sequence number, since revisions are merged as maxima. */
void
bb_gossip_raise_own_revision(struct bb_gossip *g, uint64_t revision,
                             uint64_t now_us)
{
    (void)pthread_mutex_lock(&g->lock);
    g->self.held_revision = MAX(g->self.held_revision, revision);
    g->self.applied_revision = MAX(g->self.applied_revision, revision);
    g->highest_revision = MAX(g->highest_revision, revision);
    merge_self(g, now_us);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Refutes a copy of this member's record that arrived by RPC, if it is not
 * current. */
void
bb_gossip_refute_if_needed(struct bb_gossip *g, const struct bb_member *seen,
                           uint64_t now_us)
{
    (void)pthread_mutex_lock(&g->lock);
    refute_if_needed(g, seen, now_us);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Marks this member as left and sends its record to its live peers. */
void
bb_gossip_leave(struct bb_gossip *g, uint64_t now_us)
{
    (void)pthread_mutex_lock(&g->lock);
    g->self.state = BB_MEMBER_LEFT;
    merge_self(g, now_us);
    refresh_peers(g, now_us);
    broadcast_record(g, &g->self, now_us);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Pings a member at once, so that it learns of a change of this member's
 * record before the next regular ping. Does nothing if the host is unknown. */
void
bb_gossip_ping_now(struct bb_gossip *g, const char *host, uint64_t now_us)
{
    struct bb_member to;

    if (!bb_member_table_get(g->settings.members, host, &to)) {
        return;
    }
    (void)pthread_mutex_lock(&g->lock);
    gossip_refresh_digests(g);
    send_ping(g, &to, now_us);
    (void)pthread_mutex_unlock(&g->lock);
}
