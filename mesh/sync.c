/* Anti-entropy: two processes compare digests of their tables in two rounds of
 * SYNC calls, first per zone, then per hash bucket of the zones that differ,
 * and exchange the records of the buckets that differ. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "mesh_internal.h"

_Static_assert(MESH_ZONE_BUCKETS_MAX == 2 * BB_MEMBER_TABLE_BUCKET_COUNT,
               "a zone has a records and a revisions digest per bucket");

BB_COUNTER(differences_total, "baobab_mesh_sync_differences_total",
           "Comparisons of tables that found a difference");

/* Queues a synchronisation with a process unless one is pending. */
static void
enqueue_sync(struct bb_mesh *mesh, const struct target *to)
{
    struct task task = {.kind = TASK_SYNC, .to = *to};
    struct call_state *state;

    if (strcmp(to->host, mesh->settings.self.host) == 0) {
        return;
    }
    (void)pthread_mutex_lock(&mesh->lock);
    state = mesh_find_or_add_call_state(mesh, to->host);
    if (!state->is_sync_pending) {
        state->is_sync_pending = mesh_enqueue_task(mesh, &task, false);
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* Queues synchronisations with a random control host of this region and, if
 * this control host is the one chosen in its region, with one of each of the
 * other regions. */
static void
sync_control_hosts(struct bb_mesh *mesh)
{
    const struct bb_control_list *list = &mesh->settings.control_hosts;
    const struct bb_member *self = &mesh->settings.self;
    struct target same_region[BB_CONTROL_HOSTS_MAX];
    struct target to;
    size_t count =
        mesh_list_live_control_hosts(mesh, self->region, same_region);

    if (count > 0) {
        enqueue_sync(mesh, &same_region[bb_random_below(mesh->random, count)]);
    }
    if (!mesh_choose_control_host_in_region(mesh, self->region, self->region,
                                            &to) ||
        strcmp(to.host, self->host) != 0) {
        return;
    }
    for (uint32_t i = 0; i < list->count; i++) {
        if (strcmp(list->items[i].region, self->region) != 0 &&
            mesh_choose_control_host_in_region(mesh, list->items[i].region,
                                               self->region, &to)) {
            enqueue_sync(mesh, &to);
        }
    }
}

/* Queues the synchronisations that are due: relays with their control host,
 * control hosts with each other, and any process with another member of its
 * zone if the digests in gossip datagrams have differed for too long. */
void
mesh_schedule_sync(struct bb_mesh *mesh, uint64_t now_us)
{
    const struct bb_member *self = &mesh->settings.self;
    struct bb_member r;
    struct target to;
    char host[BB_NAME_BYTES];

    if (bb_gossip_take_differing_peer(mesh->gossip, now_us, host) &&
        bb_member_table_get(mesh->members, host, &r)) {
        to = mesh_target_from_member(&r);
        enqueue_sync(mesh, &to);
    }
    if (now_us < mesh->next_sync_us) {
        return;
    }
    mesh->next_sync_us = now_us + SYNC_INTERVAL_MS * BB_US_PER_MS;
    if (mesh->is_control_host) {
        sync_control_hosts(mesh);
    }
    else if (mesh->view.is_relay && mesh_choose_control_host_for_zone(
                                        mesh, self->zone, self->region, &to)) {
        enqueue_sync(mesh, &to);
    }
}

/* Fills the XDR struct of a digest, which points into `d` and `buckets`.
 * Without has_buckets, `buckets` may be NULL. */
static void
encode_digest(const struct bb_zone_digest *d, bool has_buckets,
              mesh_zone_digest *out, u_quad_t *buckets)
{
    *out = (mesh_zone_digest){.zone = bb_wire_text_to_xdr(d->zone),
                              .records_digest = d->records_digest,
                              .revisions_digest = d->revisions_digest};
    if (!has_buckets) {
        return;
    }
    for (uint32_t i = 0; i < BB_MEMBER_TABLE_BUCKET_COUNT; i++) {
        buckets[i] = d->record_bucket_digests[i];
        buckets[BB_MEMBER_TABLE_BUCKET_COUNT + i] =
            d->revision_bucket_digests[i];
    }
    out->buckets.buckets_val = buckets;
    out->buckets.buckets_len = MESH_ZONE_BUCKETS_MAX;
}

/* Returns a mask with the bit of each bucket that differs, or 0 if the other
 * side sent no buckets. */
static uint32_t
differing_bucket_mask(const struct bb_zone_digest *own,
                      const mesh_zone_digest *other, bool compare_revisions)
{
    uint32_t bits = 0;

    if (other->buckets.buckets_len != MESH_ZONE_BUCKETS_MAX) {
        return 0;
    }
    for (uint32_t i = 0; i < BB_MEMBER_TABLE_BUCKET_COUNT; i++) {
        const u_quad_t *theirs = other->buckets.buckets_val;

        if (own->record_bucket_digests[i] != theirs[i] ||
            (compare_revisions &&
             own->revision_bucket_digests[i] !=
                 theirs[BB_MEMBER_TABLE_BUCKET_COUNT + i])) {
            bits |= 1U << i;
        }
    }
    return bits;
}

/* Returns this process's digests of a zone, all zero if its table has no
 * records of the zone. */
static struct bb_zone_digest
find_own_digest(const struct bb_zone_digest *all, size_t count,
                const char *zone)
{
    struct bb_zone_digest none = {0};

    for (size_t i = 0; i < count; i++) {
        if (strcmp(all[i].zone, zone) == 0) {
            return all[i];
        }
    }
    (void)g_strlcpy(none.zone, zone, sizeof(none.zone));
    return none;
}

/* Appends the records of some buckets of a zone to a list. Appends nothing if
 * the list would exceed the limit of one message; the zone's digests will
 * still differ in the next synchronisation. */
static void
append_records(struct bb_mesh *mesh, const char *zone, uint32_t buckets,
               struct bb_member_list *list)
{
    const struct bb_member_query q = {.zone = zone, .bucket_mask = buckets};
    struct bb_member_list more;

    (void)bb_member_table_select(mesh->members, &q, &more);
    if (more.count > 0 && list->count + more.count <= MESH_RECORDS_MAX) {
        list->items =
            g_renew(struct bb_member, list->items, list->count + more.count);
        memcpy(list->items + list->count, more.items,
               more.count * sizeof(*more.items));
        list->count += more.count;
    }
    bb_member_list_clear(&more);
}

/* Returns the XDR struct of a digest, allocated on the heap; it is freed by
 * xdr_free of the message that contains it. */
static mesh_zone_digest
copy_digest(const struct bb_zone_digest *d, bool has_buckets)
{
    u_quad_t *buckets = calloc(MESH_ZONE_BUCKETS_MAX, sizeof(*buckets));
    mesh_zone_digest out;

    encode_digest(d, has_buckets && buckets != NULL, &out, buckets);
    if (out.buckets.buckets_val == NULL) {
        free(buckets);
    }
    out.zone = strdup(d->zone);
    return out;
}

/* Adds the held revisions of hosts whose records have expired, at most
 * MESH_MESSAGE_HELD_REVISIONS_MAX in no particular order; the others are left
 * out. */
static void
add_removed_hosts(struct bb_mesh *mesh, mesh_sync_response *response)
{
    struct bb_held_revision *held =
        g_new(struct bb_held_revision, MESH_MESSAGE_HELD_REVISIONS_MAX);
    size_t count = bb_member_table_list_removed_hosts(
        mesh->members, held, MESH_MESSAGE_HELD_REVISIONS_MAX);

    response->held.held_val = calloc(count + 1, sizeof(mesh_held_revision));
    for (size_t i = 0; response->held.held_val != NULL && i < count; i++) {
        response->held.held_val[i].host = strdup(held[i].host);
        response->held.held_val[i].revision = held[i].revision;
        response->held.held_len++;
    }
    g_free(held);
}

/* Adds a digest to a response, unless it is full. */
static void
add_digest(mesh_sync_response *response, const struct bb_zone_digest *d,
           bool has_buckets)
{
    if (response->zones.zones_val != NULL &&
        response->zones.zones_len < MESH_ZONES_MAX) {
        response->zones.zones_val[response->zones.zones_len++] =
            copy_digest(d, has_buckets);
    }
}

/* Returns true if a request contains a digest of the zone. */
static bool
has_zone(const mesh_sync_request *request, const char *zone)
{
    for (u_int i = 0; i < request->zones.zones_len; i++) {
        if (strcmp(request->zones.zones_val[i].zone, zone) == 0) {
            return true;
        }
    }
    return false;
}

/* SYNC: responds with this process's digests of the zones that differ and its
 * records of the buckets that differ. In the first round, where the request
 * has no buckets, zones missing from it count as different. */
void
mesh_handle_sync(struct bb_mesh *mesh, const mesh_sync_request *request,
                 mesh_sync_response *response)
{
    struct bb_zone_digest own[BB_MEMBER_TABLE_ZONES_MAX];
    size_t count = bb_member_table_compute_zone_digests(
        mesh->members, own, BB_MEMBER_TABLE_ZONES_MAX);
    struct bb_member_list list = {0};
    bool has_buckets = request->zones.zones_len > 0 &&
                       request->zones.zones_val[0].buckets.buckets_len > 0;

    response->is_authoritative = mesh_is_authoritative(mesh);
    response->highest_revision = bb_gossip_get_highest_revision(mesh->gossip);
    response->zones.zones_val =
        calloc(MESH_ZONES_MAX, sizeof(mesh_zone_digest));
    for (u_int i = 0; i < request->zones.zones_len; i++) {
        const mesh_zone_digest *z = &request->zones.zones_val[i];
        struct bb_zone_digest d = find_own_digest(own, count, z->zone);
        uint32_t bits =
            differing_bucket_mask(&d, z, request->compare_revisions);

        if (d.records_digest != z->records_digest ||
            (request->compare_revisions &&
             d.revisions_digest != z->revisions_digest)) {
            add_digest(response, &d, has_buckets);
        }
        if (bits != 0) {
            append_records(mesh, z->zone, bits, &list);
        }
    }
    for (size_t i = 0; i < count && !has_buckets; i++) {
        if (!has_zone(request, own[i].zone)) {
            add_digest(response, &own[i], false);
        }
    }
    response->records.records_val = bb_wire_members_to_xdr(&list);
    response->records.records_len = (u_int)list.count;
    bb_member_list_clear(&list);
    if (request->compare_revisions && has_buckets) {
        add_removed_hosts(mesh, response);
    }
}

/* Sends the SYNC call of the first round, with the digests of all zones and no
 * buckets. Returns false if the call fails. */
static bool
request_zone_digests(struct bb_mesh *mesh, const struct target *to,
                     bool compare_revisions, mesh_sync_response *response)
{
    struct bb_zone_digest own[BB_MEMBER_TABLE_ZONES_MAX];
    mesh_zone_digest zones[BB_MEMBER_TABLE_ZONES_MAX];
    size_t count = bb_member_table_compute_zone_digests(
        mesh->members, own, BB_MEMBER_TABLE_ZONES_MAX);
    mesh_sync_request request = {
        .from_host = mesh->settings.self.host,
        .compare_revisions = compare_revisions,
        .highest_revision = bb_gossip_get_highest_revision(mesh->gossip),
        .zones = {.zones_val = zones, .zones_len = (u_int)count},
    };

    for (size_t i = 0; i < count; i++) {
        encode_digest(&own[i], false, &zones[i], NULL);
    }
    return mesh_call(mesh, to, MESH_SYNC, &request, response);
}

/* Sends the SYNC call of the second round, with the digests and buckets of the
 * zones that differ. Returns false if the call fails. */
static bool
request_bucket_digests(struct bb_mesh *mesh, const struct target *to,
                       bool compare_revisions, const mesh_sync_response *first,
                       mesh_sync_response *response)
{
    struct bb_zone_digest own[BB_MEMBER_TABLE_ZONES_MAX];
    struct bb_zone_digest digests[BB_MEMBER_TABLE_ZONES_MAX];
    mesh_zone_digest zones[BB_MEMBER_TABLE_ZONES_MAX];
    u_quad_t buckets[BB_MEMBER_TABLE_ZONES_MAX][MESH_ZONE_BUCKETS_MAX];
    size_t count = bb_member_table_compute_zone_digests(
        mesh->members, own, BB_MEMBER_TABLE_ZONES_MAX);
    mesh_sync_request request = {
        .from_host = mesh->settings.self.host,
        .compare_revisions = compare_revisions,
        .highest_revision = bb_gossip_get_highest_revision(mesh->gossip),
        .zones = {.zones_val = zones},
    };

    for (u_int i = 0;
         i < first->zones.zones_len && i < BB_MEMBER_TABLE_ZONES_MAX; i++) {
        digests[i] =
            find_own_digest(own, count, first->zones.zones_val[i].zone);
        encode_digest(&digests[i], true, &zones[i], buckets[i]);
        request.zones.zones_len++;
    }
    return mesh_call(mesh, to, MESH_SYNC, &request, response);
}

/* Reports this process's records of the buckets that differ to the other
 * process. */
static void
send_differing_records(struct bb_mesh *mesh, const struct target *to,
                       bool compare_revisions,
                       const mesh_sync_response *response)
{
    struct bb_zone_digest own[BB_MEMBER_TABLE_ZONES_MAX];
    size_t count = bb_member_table_compute_zone_digests(
        mesh->members, own, BB_MEMBER_TABLE_ZONES_MAX);
    mesh_report_request request = {.from_host = mesh->settings.self.host};
    mesh_report_response done = {0};
    struct bb_member_list list = {0};

    for (u_int i = 0; i < response->zones.zones_len; i++) {
        const mesh_zone_digest *z = &response->zones.zones_val[i];
        struct bb_zone_digest d = find_own_digest(own, count, z->zone);
        uint32_t bits = differing_bucket_mask(&d, z, compare_revisions);

        if (bits != 0) {
            append_records(mesh, z->zone, bits, &list);
        }
    }
    if (list.count > 0) {
        request.highest_revision =
            bb_gossip_get_highest_revision(mesh->gossip);
        request.records.records_val = bb_wire_members_to_xdr(&list);
        request.records.records_len = (u_int)list.count;
        (void)mesh_call(mesh, to, MESH_REPORT, &request, &done);
    }
    request.from_host = NULL;
    xdr_free((xdrproc_t)xdr_mesh_report_request, (char *)&request);
    bb_member_list_clear(&list);
}

/* Runs TASK_SYNC: synchronises with a process. The held and applied revisions
 * are compared only within a region; between regions the zone summaries carry
 * them. */
void
mesh_run_sync(struct bb_mesh *mesh, struct task *task)
{
    mesh_sync_response first = {0};
    mesh_sync_response second = {0};
    bool compare_revisions =
        strcmp(task->to.region, mesh->settings.self.region) == 0;
    bool is_done =
        request_zone_digests(mesh, &task->to, compare_revisions, &first);

    if (is_done) {
        bb_gossip_raise_highest_revision(mesh->gossip, first.highest_revision);
    }
    if (is_done && first.zones.zones_len > 0) {
        bb_counter_add(&differences_total, 1);
        is_done = request_bucket_digests(mesh, &task->to, compare_revisions,
                                         &first, &second);
        if (is_done) {
            mesh_merge_records(mesh, second.records.records_val,
                               second.records.records_len, task->to.host);
            for (u_int i = 0; i < second.held.held_len; i++) {
                bb_member_table_raise_held_revision(
                    mesh->members, second.held.held_val[i].host,
                    second.held.held_val[i].revision);
            }
            send_differing_records(mesh, &task->to, compare_revisions,
                                   &second);
        }
    }
    (void)pthread_mutex_lock(&mesh->lock);
    mesh_find_or_add_call_state(mesh, task->to.host)->is_sync_pending = false;
    mesh->has_authoritative_sync |=
        is_done && first.is_authoritative && compare_revisions;
    (void)pthread_mutex_unlock(&mesh->lock);
    xdr_free((xdrproc_t)xdr_mesh_sync_response, (char *)&first);
    xdr_free((xdrproc_t)xdr_mesh_sync_response, (char *)&second);
}
