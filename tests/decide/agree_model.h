/* A model of three control hosts, their disks, the network and the
 * configuration folders that operators change, for the state explorer. Each
 * action leads from one state to the next. A violated invariant is reported as
 * a text in the state.
 *
 * The network is a set of messages: any message ever sent may arrive at any
 * later time, several times, or never. This covers loss, reordering,
 * duplication and partitions. */
#ifndef BB_TESTS_AGREE_MODEL_H
#define BB_TESTS_AGREE_MODEL_H

#include "decide/agree.h"

enum {
    MODEL_HOSTS = 3,
    MODEL_HOST_ACTIONS_MAX = 16, /* except deliveries */
    MODEL_NETWORK_MAX = 96,
    MODEL_REVISIONS_MAX = 8,
    MODEL_TERMS_MAX = 10,
    MODEL_CONTENTS_MAX = 8
};

enum model_action_kind {
    MODEL_DELIVER, /* a message; it stays in the network */
    MODEL_SYNC,    /* all writes of a host */
    MODEL_TIMEOUT, /* election timeout, or a leader without a quorum */
    MODEL_HEARTBEAT,
    MODEL_REQUEST_IDENTITIES,
    MODEL_CRASH,             /* unsynced writes are lost */
    MODEL_CRASH_AFTER_WRITE, /* unsynced writes happen to survive */
    MODEL_LOSE_DISK,         /* a host restarts with an empty disk */
    MODEL_EDIT,              /* an operator changes the folder of a host */
    MODEL_PROPOSE, /* a host proposes its folder at the leader `other` */
    MODEL_READ     /* a read starts at a leader */
};

struct model_action {
    uint8_t kind;
    uint8_t host;
    uint8_t other; /* index of a message in the network, or a leader */
};

/* How often each kind of action may still happen. */
struct model_budget {
    uint8_t timeouts;
    uint8_t heartbeats;
    uint8_t identities;
    uint8_t crashes;
    uint8_t lost_disks;
    uint8_t edits;
    uint8_t reads;
    /* Not a count but an injected fault: a host proposes its folder whenever
     * it differs from the configuration in force, with that revision as base.
     * As a fault of the model, not of bb_agree, it is not among
     * bb_agree_faults; like the budget, it is hashed with the state. */
    uint8_t proposes_difference;
};

/* The folder of a host, and what decide/source.h would save about it. */
struct model_folder {
    uint8_t content; /* present one */
    uint8_t settled; /* last one that was proposed and got a response */
    uint8_t base;    /* revision that changes are based on */
    uint8_t unused;
};

struct model_state {
    struct bb_agree hosts[MODEL_HOSTS];
    struct bb_agree_durable disks[MODEL_HOSTS]; /* what is synced */
    uint64_t disk_hashes[MODEL_HOSTS];
    uint64_t host_hashes[MODEL_HOSTS]; /* including the disk's */
    uint64_t network_hash;
    uint32_t network[MODEL_NETWORK_MAX]; /* numbers of messages */
    uint32_t network_count;
    struct model_budget budget;
    struct model_folder folders[MODEL_HOSTS];
    uint8_t accepted[MODEL_REVISIONS_MAX]; /* content by revision, 0: none */
    uint8_t applied[MODEL_HOSTS]; /* highest revision that its disk applied */
    uint8_t leaders[MODEL_TERMS_MAX]; /* host + 1 by term, 0: none */
    uint8_t contents_used;            /* contents 1 to this number exist */
    uint8_t disks_used;               /* disk IDs 1 to this number exist */
    bool is_truncated;                /* an array of the model was too small */
    const char *violation; /* of the first violated invariant, or NULL */
};

void model_init(struct model_state *s);
bool model_elect(struct model_state *s, uint8_t host);
void model_sync_and_deliver_all(struct model_state *s);
void model_reclaim_message_numbers(const struct model_state *s);
void model_drop_messages(struct model_state *s);
bool model_has_admitted_replacement(const struct model_state *s);
uint32_t model_list_actions(const struct model_state *s,
                            struct model_action actions[], uint32_t max);
void model_step(struct model_state *s, struct model_action a);
uint64_t model_hash(const struct model_state *s);
void model_set_faults(struct model_state *s, struct bb_agree_faults f);
void model_print_action(const struct model_state *s, struct model_action a);

#endif
