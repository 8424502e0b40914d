/* Lifecycle, scheduler thread and public functions of the mesh. */
#include "mesh/mesh.h"

#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "mesh_internal.h"

enum {
    /* Rate and burst of the FETCH calls that this process serves. */
    FETCH_RATE_PER_S = 100,
    FETCH_BURST = 32,
    DEAD_RETENTION_US = 600 * BB_US_PER_S,
    EXPIRY_INTERVAL_US = BB_US_PER_S,
    MIN_REVISION_RETRY_MS = 200,
    MIN_REVISION_PEERS_MAX = 16
};

BB_GAUGE(members_gauge, "baobab_members", "Entries of the endpoint table");
BB_GAUGE(held_gauge, "baobab_held_revision", "Revision held by this process");
BB_GAUGE(highest_gauge, "baobab_highest_revision",
         "Highest revision known to this process");

/* Initialises a condition variable whose timeouts use the monotonic clock. */
static void
init_condition(pthread_cond_t *c)
{
    pthread_condattr_t a;

    (void)pthread_condattr_init(&a);
    (void)pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
    (void)pthread_cond_init(c, &a);
    (void)pthread_condattr_destroy(&a);
}

/* Opens the gossip socket and creates the gossip state machine that uses it.
 * Returns false with BB_MESH_ERROR_SOCKET if the socket cannot be opened. */
static bool
create_gossip(struct bb_mesh *mesh, struct bb_error *e)
{
    struct bb_gossip_settings settings = {
        .members = mesh->members,
        .self = mesh->settings.self,
        .seed = bb_random_u64(mesh->random),
        .send = bb_gossip_socket_send,
    };

    mesh->socket =
        bb_gossip_socket_create(&mesh->settings.gossip_bind_address, e);
    if (mesh->socket == NULL) {
        return bb_error_wrap(e, BB_MESH_ERROR_SOCKET, e, "mesh");
    }
    if (settings.self.gossip_address.port == 0) {
        settings.self.gossip_address = mesh->settings.gossip_bind_address;
        settings.self.gossip_address.port =
            bb_gossip_socket_get_port(mesh->socket);
        mesh->settings.self.gossip_address = settings.self.gossip_address;
    }
    settings.context = mesh->socket;
    mesh->gossip = bb_gossip_create(&settings, mesh->created_us);
    return true;
}

/* Creates the mesh and opens its gossip socket, without starting threads.
 * Returns NULL with BB_MESH_ERROR_SOCKET if the socket cannot be opened. */
struct bb_mesh *
bb_mesh_create(const struct bb_mesh_settings *settings, struct bb_error *e)
{
    struct bb_mesh *mesh = g_new0(struct bb_mesh, 1);

    mesh->settings = *settings;
    mesh->is_control_host = settings->self.role == BB_ROLE_CONTROL;
    mesh->created_us = bb_clock_now_us();
    mesh->members = bb_member_table_create();
    mesh->pool = bb_rpc_pool_create();
    mesh->random = bb_random_create(settings->seed);
    (void)pthread_mutex_init(&mesh->lock, NULL);
    (void)pthread_mutex_init(&mesh->apply_lock, NULL);
    (void)pthread_mutex_init(&mesh->cache_lock, NULL);
    init_condition(&mesh->scheduler_wakeup);
    init_condition(&mesh->task_queued);
    init_condition(&mesh->join_ended);
    g_queue_init(&mesh->tasks);
    mesh->call_state_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    bb_pull_bucket_init(&mesh->pull_bucket, FETCH_RATE_PER_S, FETCH_BURST,
                        mesh->created_us);
    if (!create_gossip(mesh, e)) {
        bb_mesh_destroy(mesh);
        return NULL;
    }
    return mesh;
}

/* Queues the tasks that are due. Returns true if a change of the members since
 * the last call may affect routes. */
static bool
schedule_due_tasks(struct bb_mesh *mesh, uint64_t now_us)
{
    uint64_t routing_change;
    bool is_changed;

    mesh_refresh_view(mesh);
    mesh_schedule_join(mesh, now_us);
    mesh_schedule_push(mesh, now_us);
    mesh_schedule_pull(mesh, now_us);
    mesh_schedule_reports(mesh, now_us);
    mesh_schedule_sync(mesh, now_us);
    if (now_us >= mesh->next_expiry_us) {
        mesh->next_expiry_us = now_us + EXPIRY_INTERVAL_US;
        (void)bb_member_table_expire(mesh->members, now_us, DEAD_RETENTION_US);
        bb_counter_set(&members_gauge, mesh->view.members.count);
        bb_counter_set(&highest_gauge,
                       bb_gossip_get_highest_revision(mesh->gossip));
    }
    routing_change = bb_member_table_get_routing_change_number(mesh->members);
    is_changed = routing_change != mesh->routing_change;
    mesh->routing_change = routing_change;
    return is_changed;
}

/* Thread function of the scheduler: on every tick, and when woken up, queues
 * the tasks that are due. */
static void *
run_scheduler(void *argument)
{
    struct bb_mesh *mesh = argument;
    const struct bb_mesh_callbacks *c = &mesh->settings.callbacks;

    (void)pthread_mutex_lock(&mesh->lock);
    while (!mesh->is_stopping) {
        struct timespec until;

        (void)pthread_mutex_unlock(&mesh->lock);
        if (schedule_due_tasks(mesh, bb_clock_now_us()) &&
            c->members_changed != NULL) {
            c->members_changed(c->context);
        }
        until = bb_clock_to_timespec(bb_clock_now_us() +
                                     TICK_INTERVAL_MS * BB_US_PER_MS);
        (void)pthread_mutex_lock(&mesh->lock);
        bb_counter_set(&held_gauge, mesh->held_revision);
        while (!mesh->is_stopping && !mesh->is_wakeup_pending &&
               pthread_cond_timedwait(&mesh->scheduler_wakeup, &mesh->lock,
                                      &until) != ETIMEDOUT) {
        }
        mesh->is_wakeup_pending = false;
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    return NULL;
}

/* Starts the threads. Returns false with BB_MESH_ERROR_THREAD, or with
 * BB_GOSSIP_ERROR_START for the gossip thread, if one cannot be started; those
 * started before run until bb_mesh_stop. */
bool
bb_mesh_start(struct bb_mesh *mesh, struct bb_error *e)
{
    int result = pthread_create(&mesh->scheduler, NULL, run_scheduler, mesh);

    if (result != 0) {
        goto fail;
    }
    mesh->thread_count = 1;
    for (int i = 0; i < WORKER_COUNT; i++) {
        result =
            pthread_create(&mesh->workers[i], NULL, mesh_run_worker, mesh);
        if (result != 0) {
            goto fail;
        }
        mesh->thread_count++;
    }
    return bb_gossip_socket_start(mesh->socket, mesh->gossip, e);
fail:
    return bb_error_set(e, BB_MESH_ERROR_THREAD,
                        "cannot start a mesh thread: %s", g_strerror(result));
}

/* Stops the threads after the running calls have ended. With is_leaving, first
 * tells the zone's members that this process is leaving. May be called
 * again. */
void
bb_mesh_stop(struct bb_mesh *mesh, bool is_leaving)
{
    uint32_t count = mesh->thread_count;
    struct task *task;

    if (is_leaving && mesh->gossip != NULL) {
        bb_gossip_leave(mesh->gossip, bb_clock_now_us());
    }
    (void)pthread_mutex_lock(&mesh->lock);
    mesh->is_stopping = true;
    mesh->thread_count = 0;
    (void)pthread_cond_broadcast(&mesh->scheduler_wakeup);
    (void)pthread_cond_broadcast(&mesh->task_queued);
    (void)pthread_cond_broadcast(&mesh->join_ended);
    (void)pthread_mutex_unlock(&mesh->lock);
    if (count > 0) {
        (void)pthread_join(mesh->scheduler, NULL);
    }
    for (uint32_t i = 1; i < count; i++) {
        (void)pthread_join(mesh->workers[i - 1], NULL);
    }
    while ((task = g_queue_pop_head(&mesh->tasks)) != NULL) {
        mesh_free_task(task);
    }
    /* Only the thread stops: other threads of the process may still change
     * this process's record, which sends datagrams. */
    if (mesh->socket != NULL) {
        bb_gossip_socket_stop(mesh->socket);
    }
}

/* Stops and frees the mesh. The RPC server that it is registered with must be
 * destroyed first. NULL is allowed. */
void
bb_mesh_destroy(struct bb_mesh *mesh)
{
    if (mesh == NULL) {
        return;
    }
    bb_mesh_stop(mesh, false);
    bb_gossip_socket_destroy(mesh->socket);
    mesh_clear_payload_cache(mesh);
    bb_gossip_destroy(mesh->gossip);
    bb_member_list_clear(&mesh->view.members);
    bb_rpc_pool_destroy(mesh->pool);
    bb_member_table_destroy(mesh->members);
    bb_random_destroy(mesh->random);
    g_hash_table_destroy(mesh->call_state_by_host);
    (void)pthread_cond_destroy(&mesh->scheduler_wakeup);
    (void)pthread_cond_destroy(&mesh->task_queued);
    (void)pthread_cond_destroy(&mesh->join_ended);
    (void)pthread_mutex_destroy(&mesh->lock);
    (void)pthread_mutex_destroy(&mesh->apply_lock);
    (void)pthread_mutex_destroy(&mesh->cache_lock);
    g_free(mesh);
}

/* Announces that this process holds a revision. Called by a control host when
 * the revision is committed, and by a node that loads a revision from its data
 * folder at start. From then on the encode_payload callback must be able to
 * encode it. A revision that is not newer than the held one changes nothing.
 */
void
bb_mesh_announce_revision(struct bb_mesh *mesh, uint64_t revision,
                          const struct bb_digest *digest)
{
    mesh_set_held_revision(mesh, revision, digest);
}

/* Replaces this process's record, except its incarnation, sequence, state and
 * applied revision, and pings the relays at once so that they learn of it. The
 * held revision never falls. All other fields are taken from the given record,
 * so it must be complete. */
void
bb_mesh_update_self(struct bb_mesh *mesh, const struct bb_member *record)
{
    struct target relays[BB_RELAYS_PER_ZONE];
    size_t count;

    bb_gossip_update_self(mesh->gossip, record, bb_clock_now_us());
    (void)pthread_mutex_lock(&mesh->lock);
    count = mesh->view.relay_count;
    memcpy(relays, mesh->view.relays, sizeof(relays));
    mesh->is_wakeup_pending = true;
    (void)pthread_cond_signal(&mesh->scheduler_wakeup);
    (void)pthread_mutex_unlock(&mesh->lock);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(relays[i].host, mesh->settings.self.host) != 0) {
            bb_gossip_ping_now(mesh->gossip, relays[i].host,
                               bb_clock_now_us());
        }
    }
}

/* Copies this process's record. */
void
bb_mesh_get_self(struct bb_mesh *mesh, struct bb_member *out)
{
    bb_gossip_get_self(mesh->gossip, out);
}

/* Copies the member table, sorted by host. The caller frees the list with
 * bb_member_list_clear. */
void
bb_mesh_copy_members(struct bb_mesh *mesh, struct bb_member_list *out)
{
    (void)bb_member_table_select(mesh->members, &(struct bb_member_query){0},
                                 out);
}

/* Returns the highest revision known to this process, held or not. */
uint64_t
bb_mesh_get_highest_revision(struct bb_mesh *mesh)
{
    return bb_gossip_get_highest_revision(mesh->gossip);
}

/* Queues a JOIN to all control hosts and to at most MIN_REVISION_PEERS_MAX
 * other members of the zone, whose responses name the revision that this host
 * held. Call with the lock held. */
static void
request_min_revision(struct bb_mesh *mesh)
{
    const struct bb_member *self = &mesh->settings.self;
    const struct bb_member_query q = {.zone = self->zone};
    struct target control_hosts[BB_CONTROL_HOSTS_MAX];
    size_t count = mesh_list_control_hosts_to_call(mesh, NULL, control_hosts);
    struct bb_member_list peers;

    for (size_t i = 0; i < count; i++) {
        if (strcmp(control_hosts[i].host, self->host) != 0) {
            (void)mesh_enqueue_join(mesh, &control_hosts[i]);
        }
    }
    (void)bb_member_table_select(mesh->members, &q, &peers);
    for (size_t i = 0, asked = 0;
         i < peers.count && asked < MIN_REVISION_PEERS_MAX; i++) {
        if (peers.items[i].state == BB_MEMBER_ALIVE &&
            strcmp(peers.items[i].host, self->host) != 0) {
            struct target to = mesh_target_from_member(&peers.items[i]);

            asked += mesh_enqueue_join(mesh, &to);
        }
    }
    bb_member_list_clear(&peers);
}

/* Waits until no JOIN call is pending, until_us is reached, or the mesh stops.
 * Call with the lock held. */
static void
wait_for_joins(struct bb_mesh *mesh, uint64_t until_us)
{
    struct timespec until = bb_clock_to_timespec(until_us);

    while (!mesh->is_stopping && mesh->pending_join_count > 0 &&
           pthread_cond_timedwait(&mesh->join_ended, &mesh->lock, &until) !=
               ETIMEDOUT) {
    }
}

/* Finds the lowest revision that this node may serve, which is the highest one
 * that its host is known to have held, by calling other members of the zone
 * and control hosts until an authoritative response arrives. Returns false if
 * there was no such response within timeout_ms (milliseconds for the whole
 * wait) or before the mesh was stopped: the node must not serve yet, and the
 * caller retries. *revision is then the highest one known so far. Call after
 * bb_mesh_start. */
bool
bb_mesh_find_min_revision(struct bb_mesh *mesh, uint32_t timeout_ms,
                          uint64_t *revision)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS;
    bool is_known;
    bool was_seen;
    uint64_t heard;

    (void)pthread_mutex_lock(&mesh->lock);
    do {
        struct timespec pause;

        request_min_revision(mesh);
        wait_for_joins(mesh, end_us);
        if (mesh->is_min_revision_known || mesh->is_stopping) {
            break;
        }
        pause = bb_clock_to_timespec(bb_clock_now_us() +
                                     MIN_REVISION_RETRY_MS * BB_US_PER_MS);
        (void)pthread_cond_timedwait(&mesh->join_ended, &mesh->lock, &pause);
    } while (bb_clock_now_us() < end_us);
    is_known = mesh->is_min_revision_known;
    *revision = mesh->min_revision;
    (void)pthread_mutex_unlock(&mesh->lock);
    heard = bb_member_table_get_held_revision(
        mesh->members, mesh->settings.self.host, &was_seen);
    *revision = MAX(*revision, heard);
    return is_known;
}
