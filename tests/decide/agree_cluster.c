#include "agree_cluster.h"

#include <glib.h>

enum { STEP_US = 10 * 1000 };

/* Starts a host with a new, empty disk of the given ID. */
void
cluster_replace_disk(struct cluster *c, uint8_t host, uint64_t disk_id)
{
    struct bb_agree_durable *d = g_new0(struct bb_agree_durable, 1);
    const struct bb_agree_settings s = {.self = host,
                                        .host_count = c->count,
                                        .first_revision = c->first_revision};

    d->disk_id = disk_id;
    bb_agree_init(&c->hosts[host], &s, d, c->now_us, disk_id);
    g_free(d);
}

/* Creates hosts with empty disks, of IDs from 100. The result is
 * freed with cluster_destroy. */
struct cluster *
cluster_create(uint8_t count, uint64_t first_revision)
{
    struct cluster *c = g_new0(struct cluster, 1);

    c->count = count;
    c->first_revision = first_revision;
    c->random = 12345;
    c->queue = g_new0(struct bb_agree_message, CLUSTER_QUEUE_SIZE);
    for (uint8_t h = 0; h < count; h++) {
        cluster_replace_disk(c, h, 100u + h);
    }
    return c;
}

void
cluster_destroy(struct cluster *c)
{
    g_free(c->queue);
    g_free(c);
}

/* Feeds an event to a host, and the syncs of the writes that it causes. Sets
 * the time and random bits of the event. */
void
cluster_feed_event(struct cluster *c, uint8_t host, struct bb_agree_event e)
{
    struct bb_agree_output *out = &c->out;

    do {
        c->random = c->random * 6364136223846793005u + 1442695040888963407u;
        e.now_us = c->now_us;
        e.random_bits = c->random >> 16;
        bb_agree_step(&c->hosts[host], &e, out);
        for (uint32_t i = 0; i < out->message_count; i++) {
            c->queue[c->tail++ % CLUSTER_QUEUE_SIZE] = out->messages[i];
        }
        for (uint32_t i = 0; i < out->response_count; i++) {
            c->responses[c->response_count++ % CLUSTER_RESPONSES_SIZE] =
                out->responses[i];
        }
        e.kind = BB_AGREE_EVENT_SYNCED;
        e.as.write_sequence = out->write_sequence;
    } while (out->must_persist);
}

/* Runs all hosts for a duration: every 10 ms each one gets a tick, then all
 * messages are delivered. */
void
cluster_run(struct cluster *c, uint64_t duration_us)
{
    uint64_t end_us = c->now_us + duration_us;

    while (c->now_us < end_us) {
        c->now_us += STEP_US;
        for (uint8_t h = 0; h < c->count; h++) {
            cluster_feed_event(
                c, h, (struct bb_agree_event){.kind = BB_AGREE_EVENT_TICK});
        }
        while (c->head != c->tail) {
            struct bb_agree_message m =
                c->queue[c->head++ % CLUSTER_QUEUE_SIZE];

            if (!c->is_isolated[m.from] && !c->is_isolated[m.to]) {
                cluster_feed_event(
                    c, m.to,
                    (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                            .as.message = &m});
            }
        }
    }
}

/* Returns the first leader that is not isolated, or BB_AGREE_NO_HOST. */
uint8_t
cluster_find_leader(const struct cluster *c)
{
    for (uint8_t h = 0; h < c->count; h++) {
        if (!c->is_isolated[h] && c->hosts[h].role == BB_AGREE_LEADER) {
            return h;
        }
    }
    return BB_AGREE_NO_HOST;
}

/* Proposes content at the leader, which must exist, and returns the response;
 * its ticket is 0 if none arrived within a second. */
struct bb_agree_response
cluster_propose(struct cluster *c, uint64_t base, uint64_t version,
                uint8_t content)
{
    uint32_t before = c->response_count;
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_PROPOSAL};

    e.as.proposal = (struct bb_agree_proposal){.ticket = before + 1,
                                               .base_revision = base,
                                               .version = version,
                                               .digest.bytes = {content}};
    cluster_feed_event(c, cluster_find_leader(c), e);
    for (int i = 0; i < 10 && c->response_count == before; i++) {
        cluster_run(c, 100000);
    }
    return c->response_count == before
               ? (struct bb_agree_response){.ticket = 0}
               : c->responses[before % CLUSTER_RESPONSES_SIZE];
}
