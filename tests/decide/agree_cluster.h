/* A cluster of hosts that run decide/agree.h over a simulated network, for
 * tests. Time is virtual, messages are delivered in order and lost only to or
 * from isolated hosts, and each write is synced at once. */
#ifndef BB_TESTS_AGREE_CLUSTER_H
#define BB_TESTS_AGREE_CLUSTER_H

#include "decide/agree.h"

enum { CLUSTER_QUEUE_SIZE = 4096, CLUSTER_RESPONSES_SIZE = 1024 };

struct cluster {
    uint8_t count;
    uint64_t now_us;
    uint64_t random;
    uint64_t first_revision;
    bool is_isolated[BB_AGREE_HOSTS_MAX];
    struct bb_agree hosts[BB_AGREE_HOSTS_MAX];
    struct bb_agree_message *queue; /* ring of messages on their way */
    uint32_t head;                  /* messages delivered or lost so far */
    uint32_t tail;                  /* messages sent so far */
    /* Ring of the responses of all hosts, in order of arrival. */
    struct bb_agree_response responses[CLUSTER_RESPONSES_SIZE];
    uint32_t response_count; /* so far */
    struct bb_agree_output out;
};

struct cluster *cluster_create(uint8_t count, uint64_t first_revision);
void cluster_destroy(struct cluster *c);
void cluster_replace_disk(struct cluster *c, uint8_t host, uint64_t disk_id);
void cluster_run(struct cluster *c, uint64_t duration_us);
void cluster_feed_event(struct cluster *c, uint8_t host,
                        struct bb_agree_event e);
uint8_t cluster_find_leader(const struct cluster *c);
struct bb_agree_response cluster_propose(struct cluster *c, uint64_t base,
                                         uint64_t version, uint8_t content);

#endif
