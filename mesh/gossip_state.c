/* Accessors of the gossip state machine. */
#include <string.h>

#include "common/clock.h"
#include "gossip_internal.h"

enum {
    /* Longer than a change needs to spread by gossip, so that only records
     * that gossip has missed lead to a synchronisation by RPC. */
    DIFFERENCE_MIN_US = 2 * BB_US_PER_S
};

/* Copies this member's record. */
void
bb_gossip_get_self(struct bb_gossip *g, struct bb_member *out)
{
    (void)pthread_mutex_lock(&g->lock);
    *out = g->self;
    (void)pthread_mutex_unlock(&g->lock);
}

/* Turns the pings to other zones on or off. Only the relays of a zone send
 * them (see mesh/view.c), so that their number does not grow with the zone. */
void
bb_gossip_enable_zone_pings(struct bb_gossip *g, bool is_enabled)
{
    (void)pthread_mutex_lock(&g->lock);
    g->pings_zones = is_enabled;
    (void)pthread_mutex_unlock(&g->lock);
}

/* Raises the highest known revision; never lowers it. */
void
bb_gossip_raise_highest_revision(struct bb_gossip *g, uint64_t revision)
{
    (void)pthread_mutex_lock(&g->lock);
    g->highest_revision = MAX(g->highest_revision, revision);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Returns the highest known revision, held or not. */
uint64_t
bb_gossip_get_highest_revision(struct bb_gossip *g)
{
    uint64_t revision;

    (void)pthread_mutex_lock(&g->lock);
    revision = g->highest_revision;
    (void)pthread_mutex_unlock(&g->lock);
    return revision;
}

/* Copies the host name of a peer whose digests differ, if no peer's digests
 * have been equal to this member's for DIFFERENCE_MIN_US, and restarts that
 * time. Returns false otherwise. */
bool
bb_gossip_take_differing_peer(struct bb_gossip *g, uint64_t now_us,
                              char host[BB_NAME_BYTES])
{
    bool is_found = false;

    (void)pthread_mutex_lock(&g->lock);
    if (g->differs_since_us != 0 &&
        now_us - g->differs_since_us >= DIFFERENCE_MIN_US) {
        g->differs_since_us = 0;
        (void)g_strlcpy(host, g->differing_peer, BB_NAME_BYTES);
        is_found = true;
    }
    (void)pthread_mutex_unlock(&g->lock);
    return is_found;
}
