/* Parts of gossip shared by its source files. */
#ifndef BB_MESH_GOSSIP_INTERNAL_H
#define BB_MESH_GOSSIP_INTERNAL_H

#include <glib.h>
#include <pthread.h>

#include "decide/swim.h"
#include "mesh/gossip.h"
#include <mesh.h> /* generated from mesh/mesh.x */

enum { FORWARDS_MAX = 64 };

/* A ping sent for another member, whose answer is passed on to it. */
struct forward {
    uint32_t number; /* 0 if unused */
    uint32_t asker_number;
    struct bb_address asker;
    char target[BB_NAME_BYTES];
    uint64_t expires_us;
};

/* When any process of the own zone last heard from another zone. */
struct zone_contact {
    char zone[BB_NAME_BYTES];
    char region[BB_NAME_BYTES]; /* empty until a member of it is known */
    uint64_t heard_us;
};

struct bb_gossip {
    pthread_mutex_t lock;
    struct bb_gossip_settings settings;
    struct bb_member self;
    struct bb_swim swim;
    struct bb_swim_actions actions;
    GHashTable *peer_by_id; /* uint64 -> struct bb_member, own zone */
    uint64_t peers_version; /* of the table when peers were taken over */
    uint64_t random;        /* state of a SplitMix64 sequence */
    uint32_t next_number;
    uint64_t highest_revision;
    struct forward forwards[FORWARDS_MAX];
    struct zone_contact zones[BB_MEMBERS_ZONES_MAX];
    uint32_t zone_count;
    bool is_watching_zones;
    uint64_t next_watch_us;
    uint32_t watch_round;
    uint64_t digests_version; /* of the table when digests were computed */
    uint64_t table_digest;
    uint64_t held_digest;
    uint64_t differs_since_us; /* 0 while a recent datagram agreed */
    char differing_peer[BB_NAME_BYTES];
};

struct gossip_message {
    enum mesh_kind kind;
    uint32_t number;
    const char *target;
    const struct bb_member *extra; /* a record to carry in any case, or NULL */
    bool is_bare;                  /* no other records than the own one */
};

void gossip_refresh_digests(struct bb_gossip *g);
void gossip_send(struct bb_gossip *g, const struct bb_address *to,
                 const char *to_region, const struct gossip_message *m,
                 uint64_t now_us);
uint64_t gossip_random(struct bb_gossip *g);
void gossip_hear_zone(struct bb_gossip *g, const char *zone, uint64_t heard_us,
                      uint64_t now_us);
void gossip_check_zones(struct bb_gossip *g, uint64_t now_us);

#endif
