/* The task queue, the worker threads, and RPC calls. */
#include <string.h>

#include "common/counters.h"
#include "mesh_internal.h"

BB_COUNTER(dropped_total, "baobab_mesh_tasks_dropped_total",
           "Tasks dropped because the queue was full");

static const struct mesh_procedure procedures[] = {
    {MESH_OFFER, (xdrproc_t)xdr_mesh_offer, (xdrproc_t)xdr_mesh_offer_response,
     BB_TRAFFIC_OFFER},
    {MESH_FETCH, (xdrproc_t)xdr_mesh_fetch_request,
     (xdrproc_t)xdr_mesh_fetch_response, BB_TRAFFIC_FETCH},
    {MESH_REPORT, (xdrproc_t)xdr_mesh_report_request,
     (xdrproc_t)xdr_mesh_report_response, BB_TRAFFIC_REPORT},
    {MESH_SYNC, (xdrproc_t)xdr_mesh_sync_request,
     (xdrproc_t)xdr_mesh_sync_response, BB_TRAFFIC_SYNC},
    {MESH_JOIN, (xdrproc_t)xdr_mesh_join_request,
     (xdrproc_t)xdr_mesh_join_response, BB_TRAFFIC_JOIN},
};

/* Returns the procedure with a number; NULL if unknown. */
const struct mesh_procedure *
mesh_find_procedure(uint32_t number)
{
    for (size_t i = 0; i < G_N_ELEMENTS(procedures); i++) {
        if (procedures[i].number == number) {
            return &procedures[i];
        }
    }
    return NULL;
}

/* Frees a task and what it owns. */
void
mesh_free_task(struct task *task)
{
    free(task->payload.data);
    bb_member_list_clear(&task->records);
    g_free(task->summaries);
    g_free(task);
}

/* Queues a copy of a task and takes ownership of its data in either case.
 * Urgent tasks go to the head. Returns false, and frees the data, if the queue
 * is full or the mesh stops. Call with the lock held. */
bool
mesh_enqueue_task(struct bb_mesh *mesh, struct task *task, bool is_urgent)
{
    struct task *copy = g_new(struct task, 1);

    *copy = *task;
    if (mesh->is_stopping ||
        g_queue_get_length(&mesh->tasks) >= TASK_QUEUE_MAX) {
        bb_counter_add(&dropped_total, 1);
        mesh_free_task(copy);
        return false;
    }
    if (is_urgent) {
        g_queue_push_head(&mesh->tasks, copy);
    }
    else {
        g_queue_push_tail(&mesh->tasks, copy);
    }
    (void)pthread_cond_signal(&mesh->task_queued);
    return true;
}

/* Returns the state of the calls to a host, which is added if it is new. Call
 * with the lock held. */
struct call_state *
mesh_find_or_add_call_state(struct bb_mesh *mesh, const char *host)
{
    struct call_state *state =
        g_hash_table_lookup(mesh->call_state_by_host, host);

    if (state == NULL) {
        state = g_new0(struct call_state, 1);
        g_hash_table_insert(mesh->call_state_by_host, g_strdup(host), state);
    }
    return state;
}

/* Returns the timeout of a call in milliseconds. */
static uint32_t
call_timeout_ms(uint32_t procedure, bool is_other_region)
{
    if (is_other_region) {
        return OTHER_REGION_TIMEOUT_MS;
    }
    return procedure == MESH_FETCH ? SAME_REGION_FETCH_TIMEOUT_MS
                                   : CALL_TIMEOUT_MS;
}

/* Calls a procedure of another process and counts the traffic. The caller must
 * zero the result first and free it with xdr_free. Returns false if the call
 * fails; the error is not logged. */
bool
mesh_call(struct bb_mesh *mesh, const struct target *to, uint32_t procedure,
          void *argument, void *result)
{
    const struct mesh_procedure *p = mesh_find_procedure(procedure);
    bool is_other_region = strcmp(to->region, mesh->settings.self.region) != 0;
    const struct bb_rpc_call call = {
        .program = MESH_PROGRAM,
        .version = MESH_VERSION,
        .procedure = procedure,
        .argument_codec = p->argument_codec,
        .argument = argument,
        .result_codec = p->result_codec,
        .result = result,
        .timeout_ms = call_timeout_ms(procedure, is_other_region),
    };
    struct bb_error e = {0};
    bool is_done;

    bb_traffic_add_message(p->kind, BB_TRAFFIC_OUT,
                           xdr_sizeof(p->argument_codec, argument),
                           is_other_region);
    if (mesh->settings.transport.call != NULL) {
        is_done = mesh->settings.transport.call(
            mesh->settings.transport.context, &to->rpc_address, &call, &e);
    }
    else {
        is_done = bb_rpc_pool_call(mesh->pool, &to->rpc_address, &call, &e);
    }
    if (is_done) {
        bb_traffic_add_message(p->kind, BB_TRAFFIC_IN,
                               xdr_sizeof(p->result_codec, result),
                               is_other_region);
    }
    return is_done;
}

/* Runs one task. */
static void
run_task(struct bb_mesh *mesh, struct task *task)
{
    switch (task->kind) {
    case TASK_OFFER:
        mesh_run_offer(mesh, task);
        break;
    case TASK_APPLY:
        mesh_run_apply(mesh, task);
        break;
    case TASK_FETCH:
        mesh_run_fetch(mesh, task);
        break;
    case TASK_REPORT:
        mesh_run_report(mesh, task);
        break;
    case TASK_SYNC:
        mesh_run_sync(mesh, task);
        break;
    case TASK_JOIN:
        mesh_run_join(mesh, task);
        break;
    }
}

/* Thread function of the workers: runs tasks until the mesh stops. */
void *
mesh_run_worker(void *argument)
{
    struct bb_mesh *mesh = argument;

    (void)pthread_mutex_lock(&mesh->lock);
    while (!mesh->is_stopping) {
        struct task *task = g_queue_pop_head(&mesh->tasks);

        if (task == NULL) {
            (void)pthread_cond_wait(&mesh->task_queued, &mesh->lock);
            continue;
        }
        (void)pthread_mutex_unlock(&mesh->lock);
        run_task(mesh, task);
        mesh_free_task(task);
        (void)pthread_mutex_lock(&mesh->lock);
    }
    (void)pthread_mutex_unlock(&mesh->lock);
    return NULL;
}
