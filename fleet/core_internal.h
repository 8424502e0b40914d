/* Parts of a control host, for its own files. */
#ifndef BB_FLEET_CORE_INTERNAL_H
#define BB_FLEET_CORE_INTERNAL_H

#include "decide/voters.h"
#include "fleet/content.h"
#include "fleet/core.h"
#include "fleet/frame.h"
#include "fleet/instances.h"
#include "fleet/store.h"

struct core_link;

/* Another control host, known by its address. */
struct core_peer {
    struct bb_address at;
    fleet_host *host; /* as it introduced itself, or NULL */
    struct core_link *out;
    struct core_link *in;
    uint64_t dial_at_us;
    uint32_t dial_wait_ms;
    uint64_t absent_since_us; /* 0: connected */
    uint64_t sent_content;    /* last one sent */
    uint64_t sent_us;
    uint64_t acked_content; /* last one known to be there */
};

enum core_link_kind { CORE_LINK_NEW, CORE_LINK_CONTROL, CORE_LINK_NODE };

/* One connection. */
struct core_link {
    struct bb_core *core;
    struct bb_frames *frames;
    enum core_link_kind kind;
    bool is_own; /* opened by this host */
    bool is_introduced;
    struct core_peer *peer; /* of a control host */
    uint64_t content;       /* held by a node */
    char *name;             /* for logs */
};

struct core_order {
    uint64_t fingerprint;
    uint64_t base;
    uint64_t version;
    GBytes *raw;
    bb_order_done done;
    void *context;
    uint64_t deadline_us;
    uint64_t round; /* to confirm a refusal, 0: none */
};

struct core_read {
    bb_read_done done;
    void *context;
    uint64_t deadline_us;
    uint64_t round;
};

struct bb_core {
    uv_loop_t *loop;
    uv_timer_t timer;
    struct bb_listener *listener;
    struct bb_core_settings settings;
    fleet_host self;
    struct bb_quorum quorum;
    struct bb_fleet_store *store;
    struct bb_contents *contents;
    struct bb_instances *instances;
    GHashTable *peers;  /* address text to struct core_peer */
    GHashTable *places; /* disk to address text, of all disks ever seen */
    GPtrArray *links;
    fleet_state state;  /* of the committed content */
    uint64_t published; /* committed content, 0: none */
    uint64_t revision;  /* commit index of it */
    uint64_t writing_sequence;
    bool needs_write;
    bool is_identity_stored;
    uint64_t store_retry_us;
    uint64_t status_due_us;
    uint64_t plan_due_us;
    uint64_t leader_since_us;
    bool was_in_touch;
    GQueue orders;   /* waiting, struct core_order */
    GQueue refusals; /* waiting for a confirmed round */
    GQueue reads;
    struct core_order *in_flight;
    uint64_t in_flight_content;
    fleet_content stored_pack;
};

/* core.c */
void core_apply(struct bb_core *c, struct bb_quorum_output *out);
void core_schedule(struct bb_core *c);
void core_publish(struct bb_core *c);

/* core_peers.c */
struct core_peer *core_find_disk(struct bb_core *c, uint64_t disk);
struct core_peer *core_add_peer(struct bb_core *c,
                                const struct bb_address *at);
void core_note_place(struct bb_core *c, uint64_t disk,
                     const struct bb_address *at);
void core_dial(struct bb_core *c, uint64_t now_us);
uint64_t core_dial_due_us(struct bb_core *c);
void core_accept(void *context, struct bb_stream *s);
void core_send_quorum(struct bb_core *c, const struct bb_quorum_message *m);
void core_update_peers(struct bb_core *c);
void core_send_status(struct bb_core *c);
void core_send_update(struct bb_core *c, struct core_link *l);
void core_close_links(struct bb_core *c);
void core_destroy_peer(void *data);

/* core_orders.c */
void core_run_orders(struct bb_core *c, uint64_t now_us);
void core_fail_orders(struct bb_core *c);
uint64_t core_orders_due_us(struct bb_core *c);
void core_order_committed(struct bb_core *c);

#endif
