/* Structures and functions shared by the source files of a control host. */
#ifndef BB_FLEET_CORE_INTERNAL_H
#define BB_FLEET_CORE_INTERNAL_H

#include "decide/lease.h"
#include "decide/voters.h"
#include "fleet/content.h"
#include "fleet/core.h"
#include "fleet/frame.h"
#include "fleet/instances.h"
#include "fleet/store.h"

enum {
    /* Seed of the hashes of configurations. The history of the replicated
     * state stores these hashes, so the seed must not change. */
    CONFIG_HASH_SEED = 1
};

struct core_link;
struct core_quota;

/* Another control host, known by its address. Each of the two hosts opens one
 * connection to the other. */
struct core_peer {
    struct bb_address address;
    fleet_host *host; /* from its last hello, NULL before the first one */
    struct core_link *outgoing; /* NULL: none */
    struct core_link *incoming; /* NULL: none */
    uint64_t connect_due_us;
    uint32_t connect_delay_ms;      /* after the next failure */
    uint64_t disconnected_since_us; /* 0: connected */
    uint64_t sent_content_id;       /* last one sent, 0: none */
    uint64_t content_sent_us;
    uint64_t acked_content_id; /* last one the peer is known to have */
};

/* What is at the other end. NEW: an accepted connection before its hello. */
enum core_link_kind { CORE_LINK_NEW, CORE_LINK_CONTROL, CORE_LINK_NODE };

/* A connection to another control host or from a node. */
struct core_link {
    struct bb_core *core;
    uint64_t id; /* unique in this process, never 0 */
    struct bb_fleet_connection *connection;
    enum core_link_kind kind;
    bool is_outgoing; /* opened by this host */
    bool has_received_hello;
    struct core_peer *peer;     /* of a control host, else NULL */
    uint64_t node_content_id;   /* last one a node is known to have, 0: none */
    uint64_t node_commit_index; /* of its hello */
    uint64_t state_due_us; /* when a node gets the state, if it has not left
                              for a nearer host by then; 0: it was sent */
    char *name;            /* for logs */
};

/* A configuration or a rollout that an operator proposed, or a step of a
 * rollout. */
struct core_proposal {
    uint64_t config_hash;  /* bb_hash64 with CONFIG_HASH_SEED */
    uint64_t base_version; /* version that it replaces, 0: none */
    uint64_t version;
    GBytes *config;                 /* NULL: it is of a rollout */
    fleet_rollout *rollout;         /* as it is to be committed; NULL: none */
    bool is_step;                   /* of a rollout that is running */
    bb_core_proposal_callback done; /* NULL: completed or cancelled */
    void *context;
    uint64_t deadline_us;
    /* Round of the quorum that confirms a refusal as stale; 0 if none could be
     * started. */
    uint64_t confirmation_round;
};

/* A read of the committed configuration, or of a rollout. */
struct core_config_read {
    bb_core_read_callback done; /* NULL: cancelled */
    char *service;              /* of the rollout, NULL: configuration */
    bb_core_rollout_callback rollout_done; /* NULL: cancelled */
    void *context;
    uint64_t deadline_us;
    uint64_t confirmation_round; /* round of the quorum that confirms it */
};

struct bb_core {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_listener *listener;
    struct bb_core_settings settings;
    fleet_host self;
    uint64_t created_us;
    struct bb_quorum quorum;
    struct bb_fleet_store *store;
    struct bb_content_store *content_store;
    struct bb_instance_table *instances;
    /* Gate addresses of the records that nodes and other control hosts have
     * yet to get. */
    GHashTable *changed_for_nodes;
    GHashTable *changed_for_hosts;
    /* All records, as sent to nodes that connect; what has changed since is in
     * the batch that is due. NULL: to be encoded. */
    struct bb_fleet_frame *instances_frame;
    uint64_t batch_due_us;         /* of these; 0: there are none */
    uint64_t instances_changed_us; /* last change of `instances` */
    uint64_t digest_due_us;
    uint64_t state_due_us; /* the first one of all links, 0: none */
    GHashTable *peers;     /* address text to struct core_peer */
    /* Disk ID to address text, including disks that are gone. */
    GHashTable *disk_addresses;
    GPtrArray *links; /* struct core_link */
    uint64_t last_link_id;
    struct bb_lease_queue leases; /* requests by ID of their link */
    fleet_replicated_state committed_state;
    uint64_t published_content_id; /* of committed_state, 0: none */
    uint64_t commit_index;         /* index of the newest committed entry */
    uint64_t writing_sequence;     /* of the quorum's write in progress */
    bool is_write_pending;
    bool is_disk_id_stored;
    uint64_t store_retry_due_us; /* after a failed write, 0: none */
    uint64_t status_due_us;
    uint64_t voter_plan_due_us;
    uint64_t leader_since_us;
    bool had_quorum; /* at the last check */
    struct core_quota *quota;
    GQueue proposals;       /* not yet started, struct core_proposal */
    GQueue stale_proposals; /* refused once their round is confirmed */
    GQueue reads;           /* struct core_config_read */
    struct core_proposal *active_proposal;       /* in the quorum, or NULL */
    uint64_t active_content_id;                  /* of the active proposal */
    fleet_compressed_content compressed_content; /* as last written to disk */
    GHashTable *rollouts;      /* service to struct core_rollout */
    uint64_t running_rollouts; /* of them */
    uint64_t rollout_due_us;   /* next decision of the leader */
    /* Evidence of nodes on the way to the leader, by its keys; values are
     * fleet_rollout_evidence. */
    GHashTable *evidence;
    uint64_t evidence_due_us; /* when it is sent on, 0: there is none */
};

/* core.c */
void core_apply_output(struct bb_core *c, struct bb_quorum_output *out);
void core_schedule_timer(struct bb_core *c);
void core_publish_committed(struct bb_core *c);

/* core_peers.c */
struct core_peer *core_find_peer_by_disk(struct bb_core *c, uint64_t disk_id);
struct core_peer *core_add_peer(struct bb_core *c,
                                const struct bb_address *at);
void core_record_disk_address(struct bb_core *c, uint64_t disk_id,
                              const struct bb_address *at);
void core_connect_peers(struct bb_core *c, uint64_t now_us);
uint64_t core_connect_due_us(struct bb_core *c);
void core_accept_connection(void *context, struct bb_stream *s);
void core_send_quorum_message(struct bb_core *c,
                              const struct bb_quorum_message *m);
void core_update_connected_peers(struct bb_core *c);
void core_broadcast_status(struct bb_core *c);
void core_send_due_states(struct bb_core *c, uint64_t now_us);
void core_send_update(struct bb_core *c, struct core_link *l);
void core_close_links(struct bb_core *c);
struct core_link *core_active_link(const struct core_peer *p);
void core_destroy_peer(void *data);

/* core_instances.c */
void core_send_instances(struct core_link *l);
void core_receive_instances(struct core_link *from, const fleet_message *m);
void core_send_changed_instances(struct bb_core *c);
void core_broadcast_digest(struct bb_core *c, uint64_t now_us);
void core_receive_digest(struct core_link *l, uint64_t digest);

/* core_lease.c */
void core_receive_lease_request(struct core_link *l, uint64_t number);
void core_receive_lease_confirm(struct core_link *l, uint64_t number);
void core_receive_lease_confirmed(struct core_link *l,
                                  const fleet_lease_grant *g);
void core_process_leases(struct bb_core *c, uint64_t now_us);
/* core_quota.c */
struct core_quota *core_quota_create(struct bb_core *c);
void core_quota_destroy(struct core_quota *q);
void core_receive_quota(struct core_link *l, const fleet_message *m);

/* core_requests.c */
void core_process_requests(struct bb_core *c, uint64_t now_us);
void core_fail_requests(struct bb_core *c);
uint64_t core_requests_due_us(struct bb_core *c);
void core_finish_committed_proposal(struct bb_core *c);
void core_propose_state(struct bb_core *c, struct core_proposal *p,
                        fleet_replicated_state *next, uint64_t now_us,
                        struct bb_quorum_output *out);
void core_start_read(struct bb_core *c, struct core_config_read *r);
void core_finish_proposal(struct bb_core *c, struct core_proposal *p,
                          enum bb_core_proposal_outcome outcome);

/* core_rollouts.c */
void core_rollouts_init(struct bb_core *c);
void core_rollouts_clear(struct bb_core *c);
void core_rollouts_committed(struct bb_core *c, bool is_first);
void core_process_rollout_proposal(struct bb_core *c, struct core_proposal *p,
                                   uint64_t now_us,
                                   struct bb_quorum_output *out);
void core_finish_rollout_proposal(struct bb_core *c, struct core_proposal *p,
                                  enum bb_core_proposal_outcome outcome);
void core_finish_rollout_read(struct bb_core *c, struct core_config_read *r,
                              bool is_confirmed);
void core_resume_rollouts(struct bb_core *c, uint64_t now_us);
void core_decide_rollouts(struct bb_core *c, uint64_t now_us);
uint64_t core_rollouts_due_us(const struct bb_core *c);

/* core_evidence.c */
void core_receive_evidence(struct core_link *from, const fleet_message *m);
void core_send_evidence(struct bb_core *c, uint64_t now_us);
void core_evidence_destroy(void *data);
void core_rollout_add_evidence(struct bb_core *c,
                               const fleet_rollout_evidence *e,
                               uint64_t now_us);

#endif
