/* Choice of the disks that vote. */
#include "decide/voters.h"

#include <stddef.h>

static const struct bb_voter_host *
find_host(const struct bb_voter_host *hosts, uint32_t count, uint64_t disk)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i].disk == disk) {
            return &hosts[i];
        }
    }
    return NULL;
}

/* Returns whether a voter can be expected to be gone. */
static bool
is_gone(const struct bb_voter_host *h)
{
    return h == NULL || h->is_replaced || h->absent_us >= BB_VOTERS_REPLACE_US;
}

static bool
has_vote(const struct bb_voters *v, uint64_t disk)
{
    for (uint32_t i = 0; i < v->count; i++) {
        if (v->disks[i] == disk) {
            return true;
        }
    }
    return false;
}

/* Counts the voters of a zone that are not gone. */
static uint32_t
count_zone(const struct bb_voter_host *hosts, uint32_t count,
           const struct bb_voters *v, uint64_t zone)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->count; i++) {
        const struct bb_voter_host *h = find_host(hosts, count, v->disks[i]);

        n += !is_gone(h) && h->zone == zone;
    }
    return n;
}

/* Returns the host standing by whose zone has the fewest voters, or NULL. */
static const struct bb_voter_host *
find_joiner(const struct bb_voter_host *hosts, uint32_t count,
            const struct bb_voters *v)
{
    const struct bb_voter_host *best = NULL;
    uint32_t best_zone = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t zone = count_zone(hosts, count, v, hosts[i].zone);

        if (hosts[i].absent_us != 0 || hosts[i].is_replaced ||
            has_vote(v, hosts[i].disk)) {
            continue;
        }
        if (best == NULL || zone < best_zone) {
            best = &hosts[i];
            best_zone = zone;
        }
    }
    return best;
}

/* Returns the position of the voter to drop: one that is gone, else one of
 * the zone with the most voters; never the own disk. -1 if there is none. */
static int32_t
find_leaver(const struct bb_voter_host *hosts, uint32_t count,
            const struct bb_voters *v, uint64_t self)
{
    int32_t best = -1;
    uint32_t best_zone = 0;

    for (uint32_t i = 0; i < v->count; i++) {
        const struct bb_voter_host *h = find_host(hosts, count, v->disks[i]);
        uint32_t zone;

        if (v->disks[i] == self) {
            continue;
        }
        if (is_gone(h)) {
            return (int32_t)i;
        }
        zone = count_zone(hosts, count, v, h->zone);
        if (best < 0 || zone > best_zone) {
            best = (int32_t)i;
            best_zone = zone;
        }
    }
    return best;
}

/* Returns how many voters survive the loss of some hosts or zones. */
uint32_t
bb_voters_target(uint32_t lost_hosts, uint32_t lost_zones)
{
    uint32_t lost = lost_hosts > lost_zones ? lost_hosts : lost_zones;
    uint32_t target = 2 * (lost > 0 ? lost : 1) + 1;
    uint32_t most = BB_QUORUM_VOTERS_MAX - 1;

    return target < most ? target : most;
}

/* Plans the next change by one disk. A joiner is added before the voter it
 * replaces is dropped, so the number of synced copies never falls. Returns
 * false if nothing is to be changed. */
bool
bb_voters_plan(const struct bb_voter_host *hosts, uint32_t host_count,
               const struct bb_voters *now, uint64_t self, uint32_t target,
               struct bb_voters *next)
{
    const struct bb_voter_host *joiner = find_joiner(hosts, host_count, now);
    bool has_gone = false;

    *next = *now;
    for (uint32_t i = 0; i < now->count; i++) {
        has_gone =
            has_gone || (now->disks[i] != self &&
                         is_gone(find_host(hosts, host_count, now->disks[i])));
    }
    if (now->count > target) {
        int32_t leaver = find_leaver(hosts, host_count, now, self);

        if (leaver < 0) {
            return false;
        }
        next->disks[leaver] = next->disks[--next->count];
        return true;
    }
    if (joiner != NULL && (now->count < target || has_gone) &&
        now->count < BB_QUORUM_VOTERS_MAX) {
        next->disks[next->count++] = joiner->disk;
        return true;
    }
    return false;
}
