#include "agree_cluster.h"

#include <glib.h>

enum { STEP_US = 10 * 1000 };

/* Starts an empty host with the given disk. */
void
cluster_replace(struct cluster *c, uint8_t host, uint64_t incarnation)
{
    struct bb_agree_durable *d = g_new0(struct bb_agree_durable, 1);
    const struct bb_agree_settings s = {.self = host,
                                        .host_count = c->count,
                                        .first_revision = c->first_revision};

    d->incarnation = incarnation;
    bb_agree_restart(&c->hosts[host], &s, d, c->now_us, incarnation);
    g_free(d);
}

struct cluster *
cluster_create(uint8_t count, uint64_t first_revision)
{
    struct cluster *c = g_new0(struct cluster, 1);

    c->count = count;
    c->first_revision = first_revision;
    c->random = 12345;
    c->queue = g_new0(struct bb_agree_message, CLUSTER_QUEUE);
    for (uint8_t h = 0; h < count; h++) {
        cluster_replace(c, h, 100u + h);
    }
    return c;
}

void
cluster_destroy(struct cluster *c)
{
    g_free(c->queue);
    g_free(c);
}

/* Feeds an event and the sync that follows from it. */
void
cluster_event(struct cluster *c, uint8_t host, struct bb_agree_event e)
{
    struct bb_agree_output *out = &c->out;

    do {
        c->random = c->random * 6364136223846793005u + 1442695040888963407u;
        e.now_us = c->now_us;
        e.random = c->random >> 16;
        bb_agree_step(&c->hosts[host], &e, out);
        for (uint32_t i = 0; i < out->message_count; i++) {
            c->queue[c->tail++ % CLUSTER_QUEUE] = out->messages[i];
        }
        for (uint32_t i = 0; i < out->answer_count; i++) {
            c->answers[c->answer_count++ % CLUSTER_ANSWERS] = out->answers[i];
        }
        e.kind = BB_AGREE_EVENT_SYNCED;
        e.with.sync_sequence = out->sync_sequence;
    } while (out->persist);
}

/* Runs ticks and deliveries for a time. */
void
cluster_run(struct cluster *c, uint64_t duration_us)
{
    uint64_t end_us = c->now_us + duration_us;

    while (c->now_us < end_us) {
        c->now_us += STEP_US;
        for (uint8_t h = 0; h < c->count; h++) {
            cluster_event(
                c, h, (struct bb_agree_event){.kind = BB_AGREE_EVENT_TICK});
        }
        while (c->head != c->tail) {
            struct bb_agree_message m = c->queue[c->head++ % CLUSTER_QUEUE];

            if (!c->is_cut[m.from] && !c->is_cut[m.to]) {
                cluster_event(
                    c, m.to,
                    (struct bb_agree_event){.kind = BB_AGREE_EVENT_MESSAGE,
                                            .with.message = &m});
            }
        }
    }
}

/* Returns the leader that is not cut off, or BB_AGREE_NO_HOST. */
uint8_t
cluster_leader(const struct cluster *c)
{
    for (uint8_t h = 0; h < c->count; h++) {
        if (!c->is_cut[h] && c->hosts[h].role == BB_AGREE_LEADER) {
            return h;
        }
    }
    return BB_AGREE_NO_HOST;
}

/* Proposes at the leader and returns the answer, with ticket 0 if none came
 * within a second. */
struct bb_agree_answer
cluster_propose(struct cluster *c, uint64_t base, uint64_t version,
                uint8_t content)
{
    uint32_t before = c->answer_count;
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_PROPOSAL};

    e.with.proposal = (struct bb_agree_proposal){.ticket = before + 1,
                                                 .base = base,
                                                 .version = version,
                                                 .digest.bytes = {content}};
    cluster_event(c, cluster_leader(c), e);
    for (int i = 0; i < 10 && c->answer_count == before; i++) {
        cluster_run(c, 100000);
    }
    return c->answer_count == before ? (struct bb_agree_answer){.ticket = 0}
                                     : c->answers[before % CLUSTER_ANSWERS];
}
