/* A model of three control hosts, their disks, the network and the folders
 * that operators change, for the explorer. One action leads from a state to
 * the next; violations of the invariants are reported by text.
 *
 * The network is a set of messages: any message ever sent may arrive at any
 * later time, several times, or never. This covers loss, reordering,
 * duplication and partitions. */
#ifndef BB_TESTS_AGREE_MODEL_H
#define BB_TESTS_AGREE_MODEL_H

#include "decide/agree.h"

enum {
    MODEL_HOSTS = 3,
    MODEL_NETWORK_MAX = 96,
    MODEL_REVISIONS_MAX = 8,
    MODEL_TERMS_MAX = 10,
    MODEL_CONTENTS_MAX = 8
};

enum model_action_kind {
    MODEL_DELIVER,
    MODEL_SYNC,
    MODEL_TIMEOUT, /* election timeout, or a leader without a quorum */
    MODEL_HEARTBEAT,
    MODEL_IDENTIFY,
    MODEL_CRASH,      /* unsynced writes are lost */
    MODEL_CRASH_KEPT, /* unsynced writes happen to survive */
    MODEL_LOSE_DISK,
    MODEL_EDIT,    /* an operator changes the folder of a host */
    MODEL_PROPOSE, /* a host proposes its folder at the leader `other` */
    MODEL_READ
};

struct model_action {
    uint8_t kind;
    uint8_t host;
    uint8_t other; /* index of a message, or a leader */
};

/* How often each kind of event may still happen. */
struct model_budget {
    uint8_t timeouts;
    uint8_t heartbeats;
    uint8_t identities;
    uint8_t crashes;
    uint8_t lost_disks;
    uint8_t edits;
    uint8_t reads;
    uint8_t proposes_difference; /* seeded fault of the proposer */
};

struct model_folder {
    uint8_t content;
    uint8_t observed;
    uint8_t base;
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
    uint8_t accepted[MODEL_REVISIONS_MAX]; /* content by revision */
    uint8_t applied[MODEL_HOSTS];          /* highest by disk */
    uint8_t leaders[MODEL_TERMS_MAX];      /* host + 1 by term */
    uint8_t contents;                      /* contents handed out */
    uint8_t disk_number;
    bool is_cut_short; /* a bound of the model was reached */
    const char *violation;
};

void model_start(struct model_state *s);
bool model_elect(struct model_state *s, uint8_t host);
void model_settle(struct model_state *s);
void model_start_walk(const struct model_state *s);
void model_forget_messages(struct model_state *s);
bool model_replaced(const struct model_state *s);
uint32_t model_actions(const struct model_state *s,
                       struct model_action actions[], uint32_t max);
void model_step(struct model_state *s, struct model_action a);
uint64_t model_hash(const struct model_state *s);
void model_set_faults(struct model_state *s, struct bb_agree_faults f);
void model_print(const struct model_state *s, struct model_action a);

#endif
