/* Pushes a new revision: control hosts to relays, relays to members. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "mesh_internal.h"

enum {
    OFFER_RETRY_MS = 1000,
    OFFER_RETRY_MAX_SHIFT = 4 /* at most 16 s between offers to one member */
};

BB_COUNTER(offers_failed_total, "baobab_mesh_offers_failed_total",
           "Offers that got no answer");
BB_COUNTER(encodes_total, "baobab_mesh_payloads_encoded_total",
           "Payloads encoded for receivers");

/* Empties the payload cache. Called when the held revision changes, since the
 * cached payloads are outdated then, and by bb_mesh_destroy. */
void
mesh_clear_payload_cache(struct bb_mesh *mesh)
{
    (void)pthread_mutex_lock(&mesh->cache_lock);
    for (uint32_t i = 0; i < PAYLOAD_CACHE_SIZE; i++) {
        free(mesh->payload_cache[i].payload.data);
        mesh->payload_cache[i] = (struct cached_payload){0};
    }
    (void)pthread_mutex_unlock(&mesh->cache_lock);
}

/* Copies a payload; the caller frees out->data. Returns false if memory
 * allocation fails. */
static bool
copy_payload(const struct bb_mesh_payload *from, struct bb_mesh_payload *out)
{
    *out = *from;
    out->data = malloc(from->size_bytes + 1);
    if (out->data == NULL) {
        return false;
    }
    if (from->size_bytes > 0) {
        memcpy(out->data, from->data, from->size_bytes);
    }
    return true;
}

/* Sets *out to the newest revision, encoded for a receiver that holds
 * receiver_revision. Encodings are cached by that revision, since most
 * receivers hold the same one. The caller frees out->data. Returns false if
 * this process serves no revisions, there is nothing newer, the payload
 * exceeds MESH_PAYLOAD_MAX_BYTES, or memory allocation fails. */
bool
mesh_get_payload(struct bb_mesh *mesh, uint64_t receiver_revision,
                 struct bb_mesh_payload *out)
{
    const struct bb_mesh_callbacks *c = &mesh->settings.callbacks;
    struct cached_payload *slot = NULL;
    bool is_found = false;

    if (c->encode_payload == NULL) {
        return false;
    }
    (void)pthread_mutex_lock(&mesh->cache_lock);
    for (uint32_t i = 0; i < PAYLOAD_CACHE_SIZE && slot == NULL; i++) {
        if (mesh->payload_cache[i].is_used &&
            mesh->payload_cache[i].receiver_revision == receiver_revision) {
            slot = &mesh->payload_cache[i];
        }
    }
    if (slot == NULL) {
        struct bb_mesh_payload fresh = {0};

        if (!c->encode_payload(c->context, receiver_revision, &fresh) ||
            fresh.size_bytes > MESH_PAYLOAD_MAX_BYTES) {
            free(fresh.data);
            goto out;
        }
        bb_counter_add(&encodes_total, 1);
        slot =
            &mesh->payload_cache[mesh->next_cache_slot++ % PAYLOAD_CACHE_SIZE];
        free(slot->payload.data);
        *slot = (struct cached_payload){.is_used = true,
                                        .receiver_revision = receiver_revision,
                                        .payload = fresh};
    }
    is_found = copy_payload(&slot->payload, out);
out:
    (void)pthread_mutex_unlock(&mesh->cache_lock);
    return is_found;
}

/* Sets the revision that this process holds, gossips it and wakes the
 * scheduler. A revision that is not newer changes nothing. */
void
mesh_set_held_revision(struct bb_mesh *mesh, uint64_t revision,
                       const struct bb_digest *digest)
{
    bool is_newer;

    (void)pthread_mutex_lock(&mesh->lock);
    is_newer = revision > mesh->held_revision;
    if (is_newer) {
        mesh->held_revision = revision;
        mesh->held_configuration_digest = *digest;
        mesh->needs_snapshot = false;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    if (!is_newer) {
        return;
    }
    mesh_clear_payload_cache(mesh);
    bb_gossip_raise_own_revision(mesh->gossip, revision, bb_clock_now_us());
    (void)pthread_mutex_lock(&mesh->lock);
    mesh->is_wakeup_pending = true;
    (void)pthread_cond_signal(&mesh->scheduler_wakeup);
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Queues an offer to a member whose applied revision is older than the held
 * one, if it is due. The delay between offers of one revision doubles each
 * time, up to OFFER_RETRY_MAX_SHIFT times. */
static void
queue_offer(struct bb_mesh *mesh, const struct bb_member *r, uint64_t now_us)
{
    struct task task = {.kind = TASK_OFFER, .to = mesh_target_from_member(r)};
    struct call_state *state;

    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, r->host);
    if (state->offered_revision != mesh->held_revision) {
        state->offered_revision = mesh->held_revision;
        state->offer_attempts = 0;
        state->next_offer_us = 0;
    }
    if (r->applied_revision < mesh->held_revision &&
        !state->is_offer_pending && now_us >= state->next_offer_us) {
        uint32_t shift = MIN(state->offer_attempts, OFFER_RETRY_MAX_SHIFT);

        state->next_offer_us =
            now_us + ((uint64_t)OFFER_RETRY_MS << shift) * BB_US_PER_MS;
        state->offer_attempts++;
        state->is_offer_pending = mesh_enqueue_task(mesh, &task, false);
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Queues offers to the relays of the zones that this control host is
 * responsible for. */
static void
queue_offers_to_relays(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member_list *all = &mesh->view.members;
    struct bb_member relays[BB_RELAYS_PER_ZONE];
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

    for (size_t i = 0; i < all->count; i++) {
        const struct bb_member *r = &all->items[i];
        struct target control_host;
        size_t count;

        if (!g_hash_table_add(seen, (gpointer)r->zone) ||
            !mesh_choose_control_host_for_zone(mesh, r->zone, r->region,
                                               &control_host) ||
            strcmp(control_host.host, mesh->settings.self.host) != 0) {
            continue;
        }
        count = mesh_choose_relays(all, r->zone, relays);
        for (size_t n = 0; n < count; n++) {
            queue_offer(mesh, &relays[n], now_us);
        }
    }
    g_hash_table_destroy(seen);
}

/* Queues offers to the members of the zone that this relay serves. */
static void
queue_offers_to_members(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct view *v = &mesh->view;
    uint64_t ids[BB_RELAYS_PER_ZONE];
    uint64_t own_id = bb_relay_id_from_name(mesh->settings.self.host);

    for (size_t i = 0; i < v->relay_count; i++) {
        ids[i] = bb_relay_id_from_name(v->relays[i].host);
    }
    for (size_t i = 0; i < v->members.count; i++) {
        const struct bb_member *r = &v->members.items[i];

        if (r->role == BB_ROLE_NODE && r->state == BB_MEMBER_ALIVE &&
            strcmp(r->zone, mesh->settings.self.zone) == 0 &&
            strcmp(r->host, mesh->settings.self.host) != 0 &&
            bb_relay_choose_for_member(ids, v->relay_count,
                                       bb_relay_id_from_name(r->host)) ==
                own_id) {
            queue_offer(mesh, r, now_us);
        }
    }
}

/* Queues the offers that are due. */
void
mesh_schedule_push(struct bb_mesh *mesh, uint64_t now_us)
{
    uint64_t held;

    (void)pthread_mutex_lock(&mesh->lock);
    held = mesh->held_revision;
    (void)pthread_mutex_unlock(&mesh->lock);
    if (held == 0) {
        return;
    }
    if (mesh->is_control_host) {
        queue_offers_to_relays(mesh, now_us);
    }
    else if (mesh->view.is_relay) {
        queue_offers_to_members(mesh, now_us);
    }
}

/* Sends one OFFER to a receiver that holds receiver_revision and sets *offered
 * to the revision sent. Returns false if there is no payload for the receiver
 * or the call fails. The RPC client sends no argument above
 * BB_RPC_ARGUMENT_MAX_BYTES, so a larger offer fails here; the receiver can
 * still fetch the payload, since the limit does not apply to results. */
static bool
send_offer(struct bb_mesh *mesh, const struct target *to,
           uint64_t receiver_revision, mesh_offer_response *response,
           uint64_t *offered)
{
    struct bb_mesh_payload payload = {0};
    mesh_offer o = {.from_host = mesh->settings.self.host};
    bool is_done;

    if (!mesh_get_payload(mesh, receiver_revision, &payload)) {
        return false;
    }
    *offered = payload.revision;
    o.revision = payload.revision;
    memcpy(o.digest, payload.digest.bytes, sizeof(o.digest));
    o.is_delta = payload.is_delta;
    o.base_revision = payload.base_revision;
    o.payload.val = (char *)payload.data;
    o.payload.len = (u_int)payload.size_bytes;
    is_done = mesh_call(mesh, to, MESH_OFFER, &o, response);
    free(payload.data);
    if (!is_done) {
        bb_counter_add(&offers_failed_total, 1);
    }
    return is_done;
}

/* Runs TASK_OFFER: offers the newest revision to a member, as a delta against
 * the revision of its last response or of its record, whichever is newer. The
 * response is newer if revisions follow each other within a report interval.
 * If the member does not hold that base, offers once more: a delta against the
 * revision in its response, or a snapshot. */
void
mesh_run_offer(struct bb_mesh *mesh, struct task *task)
{
    mesh_offer_response response = {0};
    struct bb_member r = {0};
    struct call_state *state;
    uint64_t offered;
    uint64_t receiver_revision;
    bool is_done;

    (void)bb_member_table_get(mesh->members, task->to.host, &r);
    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, task->to.host);
    receiver_revision = r.applied_revision;
    if (state->acknowledged_incarnation == r.incarnation) {
        receiver_revision =
            MAX(receiver_revision, state->acknowledged_revision);
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    is_done =
        send_offer(mesh, &task->to, receiver_revision, &response, &offered);
    if (is_done && response.result == MESH_NEED_SNAPSHOT) {
        receiver_revision = response.held_revision == receiver_revision
                                ? 0
                                : response.held_revision;
        is_done = send_offer(mesh, &task->to, receiver_revision, &response,
                             &offered);
    }
    if (is_done) {
        bb_member_table_raise_held_revision(mesh->members, task->to.host,
                                            response.held_revision);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, task->to.host);
    state->is_offer_pending = false;
    if (is_done) {
        state->acknowledged_incarnation = r.incarnation;
        state->acknowledged_revision =
            response.result == MESH_OK ? offered : response.held_revision;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}
