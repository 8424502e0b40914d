/* Parts of the mesh member shared by its source files.
 *
 * Threads: gossip (gossip_socket), the scheduler, which decides what is due
 * every tick, and a small pool of workers, which make the calls and apply
 * payloads. The RPC server's thread runs the handlers.
 *
 * Lock order: apply_lock, lock, cache_lock, then the gossip lock and the
 * table's lock. None is held during a call; only apply_lock is held during
 * the receive callback and only cache_lock during the payload callback. */
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
#include <mesh.h> /* generated from mesh/mesh.x */

enum {
    MESH_WORKERS = 6,
    MESH_QUEUE_MAX = 4096,
    MESH_TICK_MS = 50,
    MESH_REPORT_MS = 200,
    MESH_SYNC_MS = 2000,
    MESH_CALL_TIMEOUT_MS = 500,
    /* Of a FETCH inside the region; one from another region can take 280 ms
     * for 1 MiB at 30 Mbit/s alone. */
    MESH_NEAR_FETCH_TIMEOUT_MS = 300,
    MESH_FAR_TIMEOUT_MS = 1500,
    MESH_CACHED_PAYLOADS = 4
};

enum task_kind {
    TASK_OFFER,
    TASK_APPLY,
    TASK_FETCH,
    TASK_REPORT,
    TASK_SYNC,
    TASK_JOIN
};

/* A process to call. */
struct target {
    char host[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    struct bb_address rpc;
};

struct task {
    enum task_kind kind;
    struct target to;
    struct bb_mesh_payload payload; /* TASK_APPLY */
    struct bb_member_list records;  /* TASK_REPORT */
    struct bb_zone_floor *floors;   /* TASK_REPORT */
    size_t floor_count;
    uint64_t cursor; /* TASK_REPORT: version of the table sent */
};

/* What this process has sent to another one. */
struct peer {
    bool has_cursor;
    uint64_t cursor; /* version of the table up to which it was told */
    uint64_t told_incarnation;
    bool is_reporting;
    uint64_t next_report_us;
    bool is_offering;
    uint64_t offered_revision;
    uint64_t taken_revision; /* by its last answer to an offer */
    uint64_t taken_incarnation;
    uint32_t offer_attempts;
    uint64_t next_offer_us;
    bool is_joining;
    bool is_syncing;
};

/* What follows from the table for this process. The scheduler's own, but the
 * relays, which it changes under the lock. */
struct view {
    struct bb_member_list all;
    struct target relays[BB_RELAYS_PER_ZONE]; /* of the own zone */
    size_t relay_count;
    bool is_relay;
    bool is_watcher; /* pings the other zones */
};

struct cached_payload {
    bool is_used;
    uint64_t have_revision;
    struct bb_mesh_payload payload;
};

struct bb_mesh {
    struct bb_mesh_settings settings;
    struct bb_members *members;
    struct bb_gossip *gossip;
    struct bb_gossip_socket *socket;
    struct bb_rpc_pool *pool;
    struct bb_random *random;
    bool is_control;
    uint64_t created_us;

    pthread_mutex_t lock;
    pthread_cond_t wake;     /* of the scheduler */
    pthread_cond_t work;     /* of the workers */
    pthread_cond_t answered; /* a JOIN ended */
    bool is_stopping;
    bool is_woken;
    GQueue tasks;             /* struct task */
    GHashTable *peer_by_host; /* text -> struct peer */
    uint64_t held_revision;
    struct bb_digest held_digest;
    uint64_t refused_revision; /* the newest one found invalid */
    uint64_t refused_until_us;
    uint64_t applying_revision; /* the highest one waiting to be applied */
    bool needs_snapshot;
    struct bb_puller puller;
    struct bb_pull_bucket bucket;
    bool is_joined;
    uint32_t join_round;
    uint32_t joins_pending;
    bool is_floor_known;
    uint64_t floor_revision;
    bool has_synced; /* with a control host that was informed */

    /* The scheduler's own. */
    struct view view;
    uint64_t view_version;
    uint64_t routing_version;
    uint64_t next_join_us;
    uint64_t next_sync_us;
    uint64_t next_expiry_us;
    uint64_t next_floor_us;
    uint64_t floor_digest;

    pthread_mutex_t apply_lock;
    pthread_mutex_t cache_lock;
    struct cached_payload cache[MESH_CACHED_PAYLOADS];
    uint32_t next_cached;

    pthread_t scheduler;
    pthread_t workers[MESH_WORKERS];
    uint32_t thread_count; /* scheduler and workers started */
};

/* tasks.c */
bool mesh_enqueue(struct bb_mesh *mesh, struct task *task, bool is_urgent);
void mesh_free_task(struct task *task);
void *mesh_run_worker(void *mesh);
struct peer *mesh_peer(struct bb_mesh *mesh, const char *host);
bool mesh_call(struct bb_mesh *mesh, const struct target *to,
               uint32_t procedure, void *argument, void *result);
struct mesh_procedure {
    uint32_t number;
    xdrproc_t argument_codec;
    xdrproc_t result_codec;
    enum bb_traffic_kind kind;
};
const struct mesh_procedure *mesh_procedure_find(uint32_t number);

/* view.c */
void mesh_refresh_view(struct bb_mesh *mesh);
size_t mesh_relays_of(const struct bb_member_list *all, const char *zone,
                      struct bb_member out[BB_RELAYS_PER_ZONE]);
size_t mesh_live_controls(struct bb_mesh *mesh, const char *region,
                          struct target *out);
size_t mesh_controls_to_ask(struct bb_mesh *mesh, const char *region,
                            struct target *out);
bool mesh_control_for_zone(struct bb_mesh *mesh, const char *zone,
                           const char *region, struct target *out);
bool mesh_receiver_of_region(struct bb_mesh *mesh, const char *region,
                             const char *key, struct target *out);
struct target mesh_target(const struct bb_member *r);

/* push.c */
void mesh_schedule_push(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_offer(struct bb_mesh *mesh, struct task *task);
bool mesh_payload_for(struct bb_mesh *mesh, uint64_t have_revision,
                      struct bb_mesh_payload *out);
void mesh_drop_cache(struct bb_mesh *mesh);
void mesh_hold(struct bb_mesh *mesh, uint64_t revision,
               const struct bb_digest *digest);

/* pull.c */
void mesh_schedule_pull(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_fetch(struct bb_mesh *mesh, struct task *task);
enum bb_mesh_receive mesh_apply(struct bb_mesh *mesh,
                                const struct bb_mesh_payload *payload);
void mesh_run_apply(struct bb_mesh *mesh, struct task *task);

/* exchange.c */
void mesh_schedule_reports(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_report(struct bb_mesh *mesh, struct task *task);
void mesh_schedule_join(struct bb_mesh *mesh, uint64_t now_us);
bool mesh_enqueue_join(struct bb_mesh *mesh, const struct target *to);
void mesh_run_join(struct bb_mesh *mesh, struct task *task);
void mesh_take_records(struct bb_mesh *mesh, const mesh_record *records,
                       u_int count, const char *from);

/* sync.c */
void mesh_schedule_sync(struct bb_mesh *mesh, uint64_t now_us);
void mesh_run_sync(struct bb_mesh *mesh, struct task *task);
bool mesh_is_informed(struct bb_mesh *mesh);
void mesh_answer_sync(struct bb_mesh *mesh, const mesh_sync *question,
                      mesh_sync_answer *answer);

#endif
