/* A small group of agreement cores with a lossless network and virtual time,
 * for tests. Messages are delivered in order; a write is synced at once. */
#ifndef BB_TESTS_AGREE_CLUSTER_H
#define BB_TESTS_AGREE_CLUSTER_H

#include "decide/agree.h"

enum { CLUSTER_QUEUE = 4096, CLUSTER_ANSWERS = 1024 };

struct cluster {
    uint8_t count;
    uint64_t now_us;
    uint64_t random;
    uint64_t first_revision;
    bool is_cut[BB_AGREE_HOSTS_MAX];
    struct bb_agree hosts[BB_AGREE_HOSTS_MAX];
    struct bb_agree_message *queue;
    uint32_t head;
    uint32_t tail;
    struct bb_agree_answer answers[CLUSTER_ANSWERS];
    uint32_t answer_count;
    struct bb_agree_output out;
};

struct cluster *cluster_create(uint8_t count, uint64_t first_revision);
void cluster_destroy(struct cluster *c);
void cluster_replace(struct cluster *c, uint8_t host, uint64_t incarnation);
void cluster_run(struct cluster *c, uint64_t duration_us);
void cluster_event(struct cluster *c, uint8_t host, struct bb_agree_event e);
uint8_t cluster_leader(const struct cluster *c);
struct bb_agree_answer cluster_propose(struct cluster *c, uint64_t base,
                                       uint64_t version, uint8_t content);

#endif
