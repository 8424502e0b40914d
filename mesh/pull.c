/* Pulls a newer revision that this node knows of, and applies payloads. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "mesh_internal.h"

enum {
    /* An invalid revision is pulled again after this time, in case it was
     * damaged in transit. */
    INVALID_RETRY_US = 10 * BB_US_PER_S,
    OTHER_REGION_AFTER_ATTEMPTS = 2 * BB_PULL_SOURCE_COUNT
};

BB_COUNTER(pulls_total, "baobab_mesh_pulls_total", "Pulls started");
BB_COUNTER(pulls_refused_total, "baobab_mesh_pulls_refused_total",
           "Pulls that the source put off");
BB_COUNTER(applied_total, "baobab_mesh_revisions_applied_total",
           "Revisions received and applied");
BB_COUNTER(invalid_total, "baobab_mesh_revisions_invalid_total",
           "Revisions received and found invalid");

/* Picks a random other member in state ALIVE that has the revision, or a newer
 * one, in force: in this zone if there is one, else in this region, else, if
 * allowed, in another region. Returns false if there is none. */
static bool
pick_member_with_revision(struct bb_mesh *mesh, uint64_t revision,
                          bool is_other_region_allowed, struct target *out)
{
    const struct bb_member *self = &mesh->settings.self;
    const struct bb_member *picked = NULL;
    uint32_t best_proximity = 0;
    uint32_t seen = 0; /* candidates so far, for reservoir sampling */

    for (size_t i = 0; i < mesh->view.members.count; i++) {
        const struct bb_member *r = &mesh->view.members.items[i];
        uint32_t proximity = 1 + (strcmp(r->region, self->region) == 0) +
                             (strcmp(r->zone, self->zone) == 0);

        if (r->applied_revision < revision || r->state != BB_MEMBER_ALIVE ||
            strcmp(r->host, self->host) == 0 || proximity < best_proximity ||
            (proximity == 1 && !is_other_region_allowed)) {
            continue;
        }
        if (proximity > best_proximity) {
            best_proximity = proximity;
            seen = 0;
        }
        if (bb_random_below(mesh->random, ++seen) == 0) {
            picked = r;
        }
    }
    if (picked != NULL) {
        *out = mesh_target_from_member(picked);
    }
    return picked != NULL;
}

/* Picks a relay of this zone other than this host, starting with a different
 * one at each attempt. Returns false if there is none. */
static bool
pick_relay(struct bb_mesh *mesh, uint32_t attempt, struct target *out)
{
    const struct view *v = &mesh->view;

    for (size_t i = 0; i < v->relay_count; i++) {
        *out = v->relays[(attempt + i) % v->relay_count];
        if (strcmp(out->host, mesh->settings.self.host) != 0) {
            return true;
        }
    }
    return false;
}

/* Picks a control host, alternating between this region and, if allowed, the
 * others. Returns false if there is none. */
static bool
pick_control_host(struct bb_mesh *mesh, uint32_t attempt,
                  bool is_other_region_allowed, struct target *out)
{
    const char *region = mesh->settings.self.region;
    struct target all[BB_CONTROL_HOSTS_MAX];
    struct target sorted[BB_CONTROL_HOSTS_MAX];
    size_t all_count = mesh_list_control_hosts_to_call(mesh, NULL, all);
    size_t same_region_count = 0;
    size_t other_region_count = 0;
    uint32_t round = attempt / BB_PULL_SOURCE_COUNT;
    uint64_t offset =
        bb_relay_id_from_name(mesh->settings.self.host) + round / 2;

    for (size_t i = 0; i < all_count; i++) {
        if (strcmp(all[i].region, region) == 0) {
            sorted[same_region_count++] = all[i];
        }
    }
    for (size_t i = 0; i < all_count; i++) {
        if (strcmp(all[i].region, region) != 0) {
            sorted[same_region_count + other_region_count++] = all[i];
        }
    }
    if (same_region_count > 0 && (round % 2 == 0 || !is_other_region_allowed ||
                                  other_region_count == 0)) {
        *out = sorted[(offset + (is_other_region_allowed ? 0 : round)) %
                      same_region_count];
        return true;
    }
    if (other_region_count > 0) {
        *out = sorted[same_region_count + offset % other_region_count];
    }
    return other_region_count > 0;
}

/* Chooses where to pull from: a source of the given kind, else of the next
 * kind that has one. Returns false if there is no source. */
static bool
pick_source(struct bb_mesh *mesh, enum bb_pull_source kind, uint32_t attempt,
            uint64_t revision, struct target *out)
{
    /* Relays may pull from other regions at once, other members only after
     * several failed attempts, so that the traffic between regions does not
     * grow with the number of nodes. */
    bool is_other_region_allowed =
        mesh->view.is_relay || attempt >= OTHER_REGION_AFTER_ATTEMPTS;

    for (uint32_t i = 0; i < BB_PULL_SOURCE_COUNT; i++) {
        bool is_found = false;

        switch ((enum bb_pull_source)((kind + i) % BB_PULL_SOURCE_COUNT)) {
        case BB_PULL_PEER:
            is_found = pick_member_with_revision(mesh, revision,
                                                 is_other_region_allowed, out);
            break;
        case BB_PULL_RELAY:
            is_found = pick_relay(mesh, attempt, out);
            break;
        case BB_PULL_CONTROL:
            is_found =
                pick_control_host(mesh, attempt, is_other_region_allowed, out);
            break;
        case BB_PULL_SOURCE_COUNT:
            break;
        }
        if (is_found) {
            return true;
        }
    }
    return false;
}

/* Queues a FETCH if a newer revision is known and a pull is due. */
void
mesh_schedule_pull(struct bb_mesh *mesh, uint64_t now_us)
{
    uint64_t newest_known = bb_gossip_get_highest_revision(mesh->gossip);
    struct task task = {.kind = TASK_FETCH};
    enum bb_pull_source kind;

    if (mesh->settings.callbacks.apply_payload == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&mesh->lock);
    if (newest_known == mesh->invalid_revision &&
        now_us < mesh->invalid_until_us) {
        newest_known = mesh->held_revision;
    }
    bb_puller_update(&mesh->puller, mesh->held_revision, newest_known,
                     mesh->view.is_relay, now_us, bb_random_u64(mesh->random));
    if (mesh->pending_apply_revision < newest_known &&
        bb_puller_try_start(&mesh->puller, now_us, &kind)) {
        if (pick_source(mesh, kind, mesh->puller.attempt, newest_known,
                        &task.to) &&
            mesh_enqueue_task(mesh, &task, true)) {
            bb_counter_add(&pulls_total, 1);
        }
        else {
            bb_puller_finish(&mesh->puller, false, 0, now_us,
                             bb_random_u64(mesh->random));
        }
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Pings the relays of the zone, so that they learn at once which revision this
 * node now holds. */
static void
ping_relays(struct bb_mesh *mesh)
{
    struct target relays[BB_RELAYS_PER_ZONE];
    size_t count;

    (void)pthread_mutex_lock(&mesh->lock);
    count = mesh->view.relay_count;
    memcpy(relays, mesh->view.relays, sizeof(relays));
    (void)pthread_mutex_unlock(&mesh->lock);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(relays[i].host, mesh->settings.self.host) != 0) {
            bb_gossip_ping_now(mesh->gossip, relays[i].host,
                               bb_clock_now_us());
        }
    }
}

/* Records that a payload was invalid, so that the next pull is delayed, or
 * that its base is not held, so that the next pull requests a snapshot. */
static void
record_failed_apply(struct bb_mesh *mesh, enum bb_mesh_apply_result result,
                    uint64_t revision)
{
    (void)pthread_mutex_lock(&mesh->lock);
    if (result == BB_MESH_NEED_SNAPSHOT) {
        mesh->needs_snapshot = true;
    }
    if (result == BB_MESH_INVALID) {
        bb_counter_add(&invalid_total, 1);
        mesh->invalid_revision = revision;
        mesh->invalid_until_us = bb_clock_now_us() + INVALID_RETRY_US;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    if (result == BB_MESH_INVALID) {
        bb_log_warning("mesh.revision_invalid",
                       "received revision %" G_GUINT64_FORMAT
                       " is not valid and was not applied",
                       revision);
    }
}

/* Applies a payload by the apply_payload callback, one at a time. If it was
 * applied, its revision becomes the held one. A payload that is not newer than
 * the held revision is stale. */
enum bb_mesh_apply_result
mesh_apply_payload(struct bb_mesh *mesh, const struct bb_mesh_payload *payload)
{
    const struct bb_mesh_callbacks *c = &mesh->settings.callbacks;
    enum bb_mesh_apply_result result = BB_MESH_STALE;
    uint64_t held;

    (void)pthread_mutex_lock(&mesh->apply_lock);
    (void)pthread_mutex_lock(&mesh->lock);
    held = mesh->held_revision;
    (void)pthread_mutex_unlock(&mesh->lock);
    if (payload->revision > held && c->apply_payload != NULL) {
        result = c->apply_payload(c->context, payload, &held);
    }
    if (result == BB_MESH_APPLIED) {
        bb_counter_add(&applied_total, 1);
        mesh_set_held_revision(mesh, payload->revision, &payload->digest);
    }
    else if (result != BB_MESH_STALE) {
        record_failed_apply(mesh, result, payload->revision);
    }
    (void)pthread_mutex_unlock(&mesh->apply_lock);
    if (result == BB_MESH_APPLIED) {
        ping_relays(mesh);
    }
    return result;
}

/* Runs TASK_APPLY: applies a payload that was offered. */
void
mesh_run_apply(struct bb_mesh *mesh, struct task *task)
{
    (void)mesh_apply_payload(mesh, &task->payload);
    (void)pthread_mutex_lock(&mesh->lock);
    if (mesh->pending_apply_revision == task->payload.revision) {
        mesh->pending_apply_revision = 0;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Applies the payload of a FETCH response. */
static void
apply_fetched(struct bb_mesh *mesh, const mesh_offer *o)
{
    struct bb_mesh_payload payload = {
        .revision = o->revision,
        .is_delta = o->is_delta,
        .base_revision = o->base_revision,
        .data = (uint8_t *)o->payload.val,
        .size_bytes = o->payload.len,
    };

    memcpy(payload.digest.bytes, o->digest, sizeof(payload.digest.bytes));
    (void)mesh_apply_payload(mesh, &payload);
}

/* Runs TASK_FETCH: pulls from one source and applies the payload. */
void
mesh_run_fetch(struct bb_mesh *mesh, struct task *task)
{
    mesh_fetch_request request = {.from_host = mesh->settings.self.host};
    mesh_fetch_response response = {0};
    bool is_refused = false;

    (void)pthread_mutex_lock(&mesh->lock);
    request.held_revision = mesh->needs_snapshot ? 0 : mesh->held_revision;
    (void)pthread_mutex_unlock(&mesh->lock);
    if (mesh_call(mesh, &task->to, MESH_FETCH, &request, &response)) {
        is_refused = response.result == MESH_BUSY;
        bb_member_table_raise_held_revision(mesh->members, task->to.host,
                                            response.held_revision);
        if (response.result == MESH_OK) {
            apply_fetched(mesh, &response.offer);
        }
    }
    if (is_refused) {
        bb_counter_add(&pulls_refused_total, 1);
    }
    (void)pthread_mutex_lock(&mesh->lock);
    bb_puller_finish(&mesh->puller, is_refused, response.retry_after_ms,
                     bb_clock_now_us(), bb_random_u64(mesh->random));
    (void)pthread_mutex_unlock(&mesh->lock);
    xdr_free((xdrproc_t)xdr_mesh_fetch_response, (char *)&response);
}
