/* The handlers of the mesh RPC program. They run on the thread of the RPC
 * server, so they do not block and make no RPC calls. */
#include <stdatomic.h>
#include <string.h>

#include "common/clock.h"
#include "mesh_internal.h"

enum {
    /* A control host that has run this long has received the records of its
     * zones, even without another control host to synchronise with: relays
     * report and synchronise at least every 2 s. */
    AUTHORITATIVE_AFTER_US = 5 * BB_US_PER_S
};

/* The mesh of this process; libtirpc passes no context to the dispatcher. */
static _Atomic(struct bb_mesh *) registered_mesh;

/* Queues a copy of an offered payload to be applied. Call with the lock
 * held. */
static void
queue_apply(struct bb_mesh *mesh, const mesh_offer *o)
{
    struct task task = {.kind = TASK_APPLY,
                        .payload = {.revision = o->revision,
                                    .is_delta = o->is_delta,
                                    .base_revision = o->base_revision}};
    size_t size_bytes = o->payload.len;

    memcpy(task.payload.digest.bytes, o->digest, sizeof(o->digest));
    task.payload.data = malloc(size_bytes + 1);
    if (task.payload.data == NULL) {
        return;
    }
    if (size_bytes > 0) {
        memcpy(task.payload.data, o->payload.val, size_bytes);
    }
    task.payload.size_bytes = size_bytes;
    if (mesh_enqueue_task(mesh, &task, true)) {
        mesh->pending_apply_revision = o->revision;
    }
}

/* OFFER: queues the payload if it is newer than the held revision and its base
 * is held. The response is sent before the payload is applied; the sender
 * learns of that from the applied revision in this node's record. */
static void
handle_offer(struct bb_mesh *mesh, const mesh_offer *o,
             mesh_offer_response *response)
{
    bb_gossip_raise_highest_revision(mesh->gossip, o->revision);
    (void)pthread_mutex_lock(&mesh->lock);
    response->held_revision = mesh->held_revision;
    if (mesh->settings.callbacks.apply_payload == NULL ||
        o->revision <= mesh->held_revision ||
        o->revision <= mesh->pending_apply_revision) {
        response->result = MESH_STALE;
    }
    else if (o->is_delta && (o->base_revision != mesh->held_revision ||
                             mesh->needs_snapshot)) {
        response->result = MESH_NEED_SNAPSHOT;
    }
    else {
        response->result = MESH_OK;
        queue_apply(mesh, o);
    }
    (void)pthread_mutex_unlock(&mesh->lock);
}

/* FETCH: returns the newest revision to a node that holds an older one, or
 * MESH_BUSY with the time to wait if the rate limit is reached. */
static void
handle_fetch(struct bb_mesh *mesh, const mesh_fetch_request *request,
             mesh_fetch_response *response)
{
    struct bb_mesh_payload payload = {0};
    uint64_t random_bits = bb_random_u64(mesh->random);
    mesh_offer *o = &response->offer;

    o->from_host = strdup(mesh->settings.self.host);
    response->result = MESH_NOTHING_NEWER;
    (void)pthread_mutex_lock(&mesh->lock);
    response->held_revision = mesh->held_revision;
    if (mesh->held_revision > request->held_revision) {
        response->result =
            bb_pull_bucket_try_take(&mesh->pull_bucket, bb_clock_now_us(),
                                    random_bits, &response->retry_after_ms)
                ? MESH_OK
                : MESH_BUSY;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    if (response->result != MESH_OK) {
        return;
    }
    if (!mesh_get_payload(mesh, request->held_revision, &payload)) {
        response->result = MESH_NOTHING_NEWER;
        return;
    }
    o->revision = payload.revision;
    memcpy(o->digest, payload.digest.bytes, sizeof(o->digest));
    o->is_delta = payload.is_delta;
    o->base_revision = payload.base_revision;
    o->payload.val = (char *)payload.data;
    o->payload.len = (u_int)payload.size_bytes;
}

/* REPORT: merges the records, zone summaries and held revisions. */
static void
handle_report(struct bb_mesh *mesh, const mesh_report_request *request,
              mesh_report_response *response)
{
    uint64_t now_us = bb_clock_now_us();

    bb_gossip_raise_highest_revision(mesh->gossip, request->highest_revision);
    mesh_merge_records(mesh, request->records.records_val,
                       request->records.records_len, request->from_host);
    for (u_int i = 0; i < request->held.held_len; i++) {
        bb_member_table_raise_held_revision(
            mesh->members, request->held.held_val[i].host,
            request->held.held_val[i].revision);
    }
    for (u_int i = 0; i < request->summaries.summaries_len; i++) {
        const mesh_zone_summary *w = &request->summaries.summaries_val[i];
        struct bb_zone_summary s = {
            .member_count = w->member_count,
            .live_members_digest = w->live_members_digest,
            .min_applied_revision = w->min_applied_revision};

        (void)g_strlcpy(s.zone, w->zone, sizeof(s.zone));
        (void)bb_member_table_apply_zone_summary(mesh->members, &s, now_us);
    }
    response->highest_revision = bb_gossip_get_highest_revision(mesh->gossip);
}

/* Returns true if this is a control host that can be relied on to know the
 * held revision of each host: it has synchronised with such a control host of
 * its region, or has run for AUTHORITATIVE_AFTER_US. */
bool
mesh_is_authoritative(struct bb_mesh *mesh)
{
    bool is_authoritative;

    (void)pthread_mutex_lock(&mesh->lock);
    is_authoritative =
        mesh->is_control_host &&
        (mesh->has_authoritative_sync ||
         bb_clock_now_us() - mesh->created_us >= AUTHORITATIVE_AFTER_US);
    (void)pthread_mutex_unlock(&mesh->lock);
    return is_authoritative;
}

/* JOIN: returns the revision that the host is known to have held, and all
 * records. The revision is authoritative if this process knew the host before
 * or is an authoritative control host. */
static void
handle_join(struct bb_mesh *mesh, const mesh_join_request *request,
            mesh_join_response *response)
{
    struct bb_member_list list;
    struct bb_member r;
    uint64_t now_us = bb_clock_now_us();
    bool is_known;

    response->held_revision = bb_member_table_get_held_revision(
        mesh->members, request->record.host, &is_known);
    response->highest_revision = bb_gossip_get_highest_revision(mesh->gossip);
    response->is_authoritative = is_known || mesh_is_authoritative(mesh);
    (void)bb_member_table_select(mesh->members, &(struct bb_member_query){0},
                                 &list);
    response->records.records_val = bb_wire_members_to_xdr(&list);
    response->records.records_len = (u_int)list.count;
    bb_member_list_clear(&list);
    if (bb_wire_member_from_xdr(&request->record, &r) &&
        strcmp(r.host, mesh->settings.self.host) != 0) {
        (void)bb_member_table_merge(mesh->members, &r, BB_ORIGIN_SAME_REGION,
                                    now_us);
    }
}

/* Returns the name of the host that made a call. */
static const char *
caller_host(uint32_t procedure, const void *argument)
{
    switch (procedure) {
    case MESH_OFFER:
        return ((const mesh_offer *)argument)->from_host;
    case MESH_FETCH:
        return ((const mesh_fetch_request *)argument)->from_host;
    case MESH_REPORT:
        return ((const mesh_report_request *)argument)->from_host;
    case MESH_SYNC:
        return ((const mesh_sync_request *)argument)->from_host;
    case MESH_JOIN:
        return ((const mesh_join_request *)argument)->record.host;
    default:
        return "";
    }
}

/* Returns true if a host is known to be in another region. */
static bool
is_in_other_region(struct bb_mesh *mesh, const char *host)
{
    struct bb_member r;

    return bb_member_table_get(mesh->members, host, &r) &&
           strcmp(r.region, mesh->settings.self.region) != 0;
}

/* Runs the handler of a procedure on a decoded argument. The caller must zero
 * the result first and free it with xdr_free. Returns false if the procedure
 * is unknown. */
bool
bb_mesh_dispatch(struct bb_mesh *mesh, uint32_t procedure, void *argument,
                 void *result)
{
    const struct mesh_procedure *p = mesh_find_procedure(procedure);
    bool is_other_region;

    if (p == NULL) {
        return false;
    }
    switch (procedure) {
    case MESH_OFFER:
        handle_offer(mesh, argument, result);
        break;
    case MESH_FETCH:
        handle_fetch(mesh, argument, result);
        break;
    case MESH_REPORT:
        handle_report(mesh, argument, result);
        break;
    case MESH_SYNC:
        bb_gossip_raise_highest_revision(
            mesh->gossip, ((mesh_sync_request *)argument)->highest_revision);
        mesh_handle_sync(mesh, argument, result);
        break;
    case MESH_JOIN:
        handle_join(mesh, argument, result);
        break;
    default:
        return false;
    }
    is_other_region =
        is_in_other_region(mesh, caller_host(procedure, argument));
    bb_traffic_add_message(p->kind, BB_TRAFFIC_IN,
                           xdr_sizeof(p->argument_codec, argument),
                           is_other_region);
    bb_traffic_add_message(p->kind, BB_TRAFFIC_OUT,
                           xdr_sizeof(p->result_codec, result),
                           is_other_region);
    return true;
}

/* Decodes a call, runs its handler and sends the response. */
static void
run_procedure(struct svc_req *request, SVCXPRT *transport)
{
    const struct mesh_procedure *p = mesh_find_procedure(request->rq_proc);
    struct bb_mesh *mesh = atomic_load(&registered_mesh);
    union {
        mesh_offer offer;
        mesh_fetch_request fetch;
        mesh_report_request report;
        mesh_sync_request sync;
        mesh_join_request join;
    } argument;
    union {
        mesh_offer_response offer;
        mesh_fetch_response fetch;
        mesh_report_response report;
        mesh_sync_response sync;
        mesh_join_response join;
    } result;

    if (p == NULL || mesh == NULL) {
        svcerr_noproc(transport);
        return;
    }
    memset(&argument, 0, sizeof(argument));
    memset(&result, 0, sizeof(result));
    if (!svc_getargs(transport, p->argument_codec, (char *)&argument)) {
        svcerr_decode(transport);
    }
    else if (bb_mesh_dispatch(mesh, p->number, &argument, &result)) {
        (void)svc_sendreply(transport, p->result_codec, (char *)&result);
    }
    else {
        svcerr_noproc(transport);
    }
    xdr_free(p->argument_codec, (char *)&argument);
    xdr_free(p->result_codec, (char *)&result);
}

/* Registers the mesh RPC program with the RPC server of the process. Call
 * before the server starts; destroy the server before the mesh. Returns false
 * and sets the error if libtirpc refuses. */
bool
bb_mesh_register_rpc(struct bb_mesh *mesh, struct bb_rpc_server *server,
                     struct bb_error *e)
{
    atomic_store(&registered_mesh, mesh);
    return bb_rpc_server_register_program(server, MESH_PROGRAM, MESH_VERSION,
                                          run_procedure, e);
}
