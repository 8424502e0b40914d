/* Declarations shared by the source files of struct bb_gossip. */
#ifndef BB_MESH_GOSSIP_INTERNAL_H
#define BB_MESH_GOSSIP_INTERNAL_H

#include <glib.h>
#include <pthread.h>

#include "decide/swim.h"
#include "mesh/gossip.h"
#include <mesh_protocol.h> /* generated from mesh/mesh_protocol.x */

enum { FORWARDED_PINGS_MAX = 64 };

/* A ping sent for another member's PING_REQUEST; the ACK is forwarded to it.
 */
struct forwarded_ping {
    uint32_t ping_number; /* 0 if unused */
    uint32_t requester_ping_number;
    struct bb_address requester;
    char target[BB_NAME_BYTES];
    uint64_t expires_us;
};

/* When any process of this process's zone last received a datagram from
 * another zone. */
struct zone_contact {
    char zone[BB_NAME_BYTES];
    char region[BB_NAME_BYTES]; /* empty until a member of it is known */
    uint64_t last_heard_us;
};

struct bb_gossip {
    pthread_mutex_t lock;
    struct bb_gossip_settings settings;
    struct bb_member self;
    struct bb_swim swim;
    struct bb_swim_actions actions;
    GHashTable *peer_by_id; /* uint64 -> struct bb_member */
    uint64_t peers_change;  /* change number when peers were copied */
    uint64_t random_state;  /* state of a SplitMix64 sequence */
    uint32_t last_ping_number;
    uint64_t highest_revision;
    struct forwarded_ping forwarded_pings[FORWARDED_PINGS_MAX];
    struct zone_contact zones[BB_MEMBER_TABLE_ZONES_MAX];
    uint32_t zone_count;
    bool pings_zones;
    uint64_t next_zone_ping_us;
    uint32_t zone_ping_round;
    uint64_t digests_change; /* change number when digests were computed */
    uint64_t table_digest;
    uint64_t revisions_digest;
    uint64_t differs_since_us; /* 0 if the last peer's digests were equal */
    char differing_peer[BB_NAME_BYTES];
};

struct gossip_message {
    enum mesh_datagram_kind kind;
    uint32_t ping_number;
    const char *target;
    const struct bb_member *extra_record; /* included if it is not NULL */
    /* Only the sender's record and extra_record, and no zone ages. */
    bool is_minimal;
};

void gossip_refresh_digests(struct bb_gossip *g);
void gossip_send(struct bb_gossip *g, const struct bb_address *to,
                 const char *to_region, const struct gossip_message *m,
                 uint64_t now_us);
uint64_t gossip_random_u64(struct bb_gossip *g);
void gossip_update_zone_contact(struct bb_gossip *g, const char *zone,
                                uint64_t heard_us, uint64_t now_us);
void gossip_update_zones(struct bb_gossip *g, uint64_t now_us);

#endif
