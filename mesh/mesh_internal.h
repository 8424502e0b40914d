/* Declarations shared by the source files of struct bb_mesh.
 *
 * Threads: the gossip thread (gossip_socket.c); the scheduler, which on every
 * tick, and when woken up, queues the tasks that are due; and a pool of
 * workers, which make the RPC calls and apply payloads. The RPC server's
 * thread runs the handlers.
 *
 * Lock order: apply_lock, lock, cache_lock, then the gossip lock and the
 * table's lock. None is held during an RPC call. Only apply_lock is held
 * during the apply_payload callback, and only cache_lock during the
 * encode_payload callback. */
#ifndef BB_MESH_MESH_INTERNAL_H
#define BB_MESH_MESH_INTERNAL_H

#include <glib.h>
#include <pthread.h>

#include "common/random.h"
#include "decide/relay.h"
#include "mesh/gossip.h"
#include "mesh/mesh.h"
#include "mesh/wire.h"
#include "traffic.h"
#include <mesh_protocol.h> /* generated from mesh/mesh_protocol.x */

enum {
    WORKER_COUNT = 6,
    TASK_QUEUE_MAX = 4096,
    TICK_INTERVAL_MS = 50,
    REPORT_INTERVAL_MS = 200,
    SYNC_INTERVAL_MS = 2000,
    CALL_TIMEOUT_MS = 500,
    /* Between regions, sending 1 MiB at 30 Mbit/s alone takes 280 ms, hence a
     * longer timeout there. */
    SAME_REGION_FETCH_TIMEOUT_MS = 300,
    OTHER_REGION_TIMEOUT_MS = 1500,
    PAYLOAD_CACHE_SIZE = 4
};

enum task_kind {
    TASK_OFFER,
    TASK_APPLY,
    TASK_FETCH,
    TASK_REPORT,
    TASK_SYNC,
    TASK_JOIN
};

/* A process to call by RPC. */
struct target {
    char host[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    struct bb_address rpc_address;
};

/* A unit of work for one worker thread. */
struct task {
    enum task_kind kind;
    struct target to;                  /* unused by TASK_APPLY */
    struct bb_mesh_payload payload;    /* TASK_APPLY */
    struct bb_member_list records;     /* TASK_REPORT */
    struct bb_zone_summary *summaries; /* TASK_REPORT */
    size_t summary_count;
    uint64_t table_change; /* TASK_REPORT: of `records` */
};

/* State of the calls from this process to another one. */
struct call_state {
    /* Change number up to which changes were reported to the other process;
     * set only if has_reported_change, and valid only for its incarnation
     * reported_incarnation (0: not known yet). */
    bool has_reported_change;
    uint64_t reported_change;
    uint64_t reported_incarnation;
    bool is_report_pending;
    uint64_t next_report_us;
    bool is_offer_pending;
    uint64_t offered_revision;
    uint64_t acknowledged_revision; /* by its last response to an offer */
    uint64_t acknowledged_incarnation;
    uint32_t offer_attempts; /* for offered_revision */
    uint64_t next_offer_us;
    bool is_join_pending;
    bool is_sync_pending;
};

/* The scheduler's copy of the member table, and the roles that follow from it.
 * Used by the scheduler only, except `relays` and `relay_count`: other threads
 * read them with the lock held, and the scheduler changes them with the lock
 * held. */
struct view {
    struct bb_member_list members;
    struct target relays[BB_RELAYS_PER_ZONE]; /* of this process's zone */
    size_t relay_count;
    bool is_relay;    /* whether this process is one of them */
    bool pings_zones; /* whether it pings other zones for its zone */
};

/* An encoded payload for receivers that hold receiver_revision. */
struct cached_payload {
    bool is_used;
    uint64_t receiver_revision;
    struct bb_mesh_payload payload;
};

struct bb_mesh {
    struct bb_mesh_settings settings;
    struct bb_member_table *members;
    struct bb_gossip *gossip;
    struct bb_gossip_socket *socket;
    struct bb_rpc_pool *pool;
    struct bb_random *random;
    bool is_control_host;
    uint64_t created_us;

    /* Protects the fields from here to has_authoritative_sync, and the relays
     * of the view. */
    pthread_mutex_t lock;
    pthread_cond_t scheduler_wakeup;
    pthread_cond_t task_queued; /* the workers wait for it */
    pthread_cond_t join_ended;  /* bb_mesh_find_min_revision waits for it */
    bool is_stopping;
    bool is_wakeup_pending;
    GQueue tasks;                   /* struct task */
    GHashTable *call_state_by_host; /* char * -> struct call_state */
    uint64_t held_revision;
    struct bb_digest held_configuration_digest;
    uint64_t invalid_revision; /* the last one found invalid */
    uint64_t invalid_until_us;
    uint64_t pending_apply_revision; /* offered and queued; 0: none */
    bool needs_snapshot;             /* the last delta could not be applied */
    struct bb_puller puller;
    struct bb_pull_bucket pull_bucket;
    bool is_joined;      /* a control host has responded to JOIN */
    uint32_t join_round; /* JOIN attempts so far */
    uint32_t pending_join_count;
    /* Whether an authoritative JOIN response has arrived. */
    bool is_min_revision_known;
    /* The highest held revision in the JOIN responses so far. */
    uint64_t min_revision;
    bool has_authoritative_sync; /* see mesh_is_authoritative */

    /* Used by the scheduler only, but see struct view. */
    struct view view;
    uint64_t view_change; /* change number of the table that view shows */
    uint64_t routing_change;
    uint64_t next_join_us;
    uint64_t next_sync_us;
    uint64_t next_expiry_us;
    uint64_t next_summary_report_us;
    uint64_t reported_summaries_digest;

    pthread_mutex_t apply_lock; /* serialises the apply_payload callback */
    /* Protects the payload cache and serialises the encode_payload
     * callback. */
    pthread_mutex_t cache_lock;
    struct cached_payload payload_cache[PAYLOAD_CACHE_SIZE];
    uint32_t next_cache_slot;

    pthread_t scheduler;
    pthread_t workers[WORKER_COUNT];
    uint32_t thread_count; /* scheduler and workers started */
};

/* tasks.c */
bool mesh_enqueue_task(struct bb_mesh *mesh, struct task *task,
                       bool is_urgent);
void mesh_free_task(struct task *task);
void *mesh_run_worker(void *mesh);
struct call_state *mesh_find_or_add_call_state(struct bb_mesh *mesh,
                                               const char *host);
bool mesh_call(struct bb_mesh *mesh, const struct target *to,
               uint32_t procedure, void *argument, void *result);
struct mesh_procedure {
    uint32_t number;
    xdrproc_t argument_codec;
    xdrproc_t result_codec;
    enum bb_traffic_kind kind;
};
const struct mesh_procedure *mesh_find_procedure(uint32_t number);

/* view.c */
void mesh_refresh_view(struct bb_mesh *mesh);
size_t mesh_choose_relays(const struct bb_member_list *all, const char *zone,
                          struct bb_member out[BB_RELAYS_PER_ZONE]);
size_t mesh_list_live_control_hosts(struct bb_mesh *mesh, const char *region,
                                    struct target *out);
size_t mesh_list_control_hosts_to_call(struct bb_mesh *mesh,
                                       const char *region, struct target *out);
bool mesh_choose_control_host_for_zone(struct bb_mesh *mesh, const char *zone,
                                       const char *region, struct target *out);
bool mesh_choose_control_host_in_region(struct bb_mesh *mesh,
                                        const char *region, const char *key,
                                        struct target *out);
struct target mesh_target_from_member(const struct bb_member *r);

/* push.c */
void mesh_schedule_push(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_offer(struct bb_mesh *mesh, struct task *task);
bool mesh_get_payload(struct bb_mesh *mesh, uint64_t receiver_revision,
                      struct bb_mesh_payload *out);
void mesh_clear_payload_cache(struct bb_mesh *mesh);
void mesh_set_held_revision(struct bb_mesh *mesh, uint64_t revision,
                            const struct bb_digest *digest);

/* pull.c */
void mesh_schedule_pull(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_fetch(struct bb_mesh *mesh, struct task *task);
enum bb_mesh_apply_result
mesh_apply_payload(struct bb_mesh *mesh,
                   const struct bb_mesh_payload *payload);
void mesh_run_apply(struct bb_mesh *mesh, struct task *task);

/* reports.c */
void mesh_schedule_reports(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_report(struct bb_mesh *mesh, struct task *task);
void mesh_schedule_join(struct bb_mesh *mesh, uint64_t now_us);
bool mesh_enqueue_join(struct bb_mesh *mesh, const struct target *to);
void mesh_run_join(struct bb_mesh *mesh, struct task *task);
void mesh_merge_records(struct bb_mesh *mesh, const mesh_record *records,
                        u_int count, const char *from);

/* rpc_handlers.c */
bool mesh_is_authoritative(struct bb_mesh *mesh);

/* sync.c */
void mesh_schedule_sync(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_sync(struct bb_mesh *mesh, struct task *task);
void mesh_handle_sync(struct bb_mesh *mesh, const mesh_sync_request *request,
                      mesh_sync_response *response);

#endif
