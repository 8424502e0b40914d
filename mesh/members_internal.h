/* Declarations shared by the source files of the member table. */
#ifndef BB_MESH_MEMBERS_INTERNAL_H
#define BB_MESH_MEMBERS_INTERNAL_H

#include <glib.h>
#include <pthread.h>

#include "mesh/members.h"

struct entry {
    struct bb_member record;
    enum bb_member_origin origin;
    /* Change numbers of the last change and of the last that affects routes.
     */
    uint64_t last_change;
    uint64_t routing_change;
    uint64_t not_live_since_us; /* when it died or left; 0 while it is live */
    uint32_t gossip_sends_left; /* datagrams that are still to include it */
};

/* What the table keeps of a host after its entry has expired: the highest held
 * revision, and the last (incarnation, sequence), so that a delayed copy of an
 * old record does not add the entry again. */
struct retained_host {
    uint64_t held_revision;
    uint64_t incarnation;
    uint64_t sequence;
    bool is_removed;
};

struct bb_member_table {
    pthread_mutex_t lock;
    GHashTable *entry_by_host;    /* char * -> struct entry */
    GHashTable *retained_by_host; /* char * -> struct retained_host */
    /* Change numbers of the last change and of the last that affects routes.
     */
    uint64_t last_change;
    uint64_t routing_change;
};

/* Returns true if a member is live: alive or suspect. */
static inline bool
is_live(const struct bb_member *r)
{
    return r->state == BB_MEMBER_ALIVE || r->state == BB_MEMBER_SUSPECT;
}

#endif
