/* Planning of changes to the set of voters. */
#include "decide/voters.h"

#include <stddef.h>

/* Returns the candidate with a disk id, or NULL if there is none. */
static const struct bb_voter_candidate *
find_candidate(const struct bb_voter_candidate *candidates, uint32_t count,
               uint64_t disk)
{
    for (uint32_t i = 0; i < count; i++) {
        if (candidates[i].disk_id == disk) {
            return &candidates[i];
        }
    }
    return NULL;
}

/* Returns whether a voter counts as lost, so that it should be replaced. An
 * unknown disk (NULL) does. */
static bool
is_lost(const struct bb_voter_candidate *c)
{
    return c == NULL || c->is_disk_replaced ||
           c->absent_us >= BB_VOTERS_REPLACE_AFTER_US;
}

static bool
is_voter(const struct bb_voters *v, uint64_t disk)
{
    for (uint32_t i = 0; i < v->count; i++) {
        if (v->disk_ids[i] == disk) {
            return true;
        }
    }
    return false;
}

/* Counts the voters of a zone that are not lost. */
static uint32_t
count_live_voters(const struct bb_voter_candidate *candidates, uint32_t count,
                  const struct bb_voters *v, uint64_t zone)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < v->count; i++) {
        const struct bb_voter_candidate *c =
            find_candidate(candidates, count, v->disk_ids[i]);

        n += !is_lost(c) && c->zone == zone;
    }
    return n;
}

/* Returns the connected candidate without a vote whose zone has the fewest
 * voters, or NULL if there is none. */
static const struct bb_voter_candidate *
find_candidate_to_add(const struct bb_voter_candidate *candidates,
                      uint32_t count, const struct bb_voters *v)
{
    const struct bb_voter_candidate *best = NULL;
    uint32_t best_zone_voters = 0;

    for (uint32_t i = 0; i < count; i++) {
        uint32_t zone_voters =
            count_live_voters(candidates, count, v, candidates[i].zone);

        if (candidates[i].absent_us != 0 || candidates[i].is_disk_replaced ||
            is_voter(v, candidates[i].disk_id)) {
            continue;
        }
        if (best == NULL || zone_voters < best_zone_voters) {
            best = &candidates[i];
            best_zone_voters = zone_voters;
        }
    }
    return best;
}

/* Returns the position of the voter to remove: one that is lost, otherwise one
 * of the zone with the most voters; never this host's own disk. -1 if there is
 * none. */
static int32_t
find_voter_to_remove(const struct bb_voter_candidate *candidates,
                     uint32_t count, const struct bb_voters *v, uint64_t self)
{
    int32_t best = -1;
    uint32_t best_zone_voters = 0;

    for (uint32_t i = 0; i < v->count; i++) {
        const struct bb_voter_candidate *c =
            find_candidate(candidates, count, v->disk_ids[i]);
        uint32_t zone_voters;

        if (v->disk_ids[i] == self) {
            continue;
        }
        if (is_lost(c)) {
            return (int32_t)i;
        }
        zone_voters = count_live_voters(candidates, count, v, c->zone);
        if (best < 0 || zone_voters > best_zone_voters) {
            best = (int32_t)i;
            best_zone_voters = zone_voters;
        }
    }
    return best;
}

/* Returns how many voters are needed to keep a majority after the loss of
 * tolerated_hosts hosts or of tolerated_zones zones, whichever number is
 * larger: at least 3, and at most BB_QUORUM_VOTERS_MAX - 1, so that one more
 * can be added before a lost one is removed. At most 3 losses are tolerated,
 * even if more are asked for. */
uint32_t
bb_voters_target_count(uint32_t tolerated_hosts, uint32_t tolerated_zones)
{
    uint32_t lost =
        tolerated_hosts > tolerated_zones ? tolerated_hosts : tolerated_zones;
    uint32_t target = 2 * (lost > 0 ? lost : 1) + 1;
    uint32_t most = BB_QUORUM_VOTERS_MAX - 1;

    return target < most ? target : most;
}

/* Plans the next change of the voters, which adds or removes one disk. A disk
 * is added before the voter that it replaces is removed, so the number of
 * synced copies never falls. This host's own disk, self, is never removed.
 * Returns whether there is a change; *next is set in any case. */
bool
bb_voters_plan_change(const struct bb_voter_candidate *candidates,
                      uint32_t candidate_count,
                      const struct bb_voters *current, uint64_t self,
                      uint32_t target, struct bb_voters *next)
{
    const struct bb_voter_candidate *added =
        find_candidate_to_add(candidates, candidate_count, current);
    bool has_lost_voter = false;

    *next = *current;
    for (uint32_t i = 0; i < current->count; i++) {
        has_lost_voter = has_lost_voter ||
                         (current->disk_ids[i] != self &&
                          is_lost(find_candidate(candidates, candidate_count,
                                                 current->disk_ids[i])));
    }
    if (current->count > target) {
        int32_t removed =
            find_voter_to_remove(candidates, candidate_count, current, self);

        if (removed < 0) {
            return false;
        }
        next->disk_ids[removed] = next->disk_ids[--next->count];
        return true;
    }
    if (added != NULL && (current->count < target || has_lost_voter) &&
        current->count < BB_QUORUM_VOTERS_MAX) {
        next->disk_ids[next->count++] = added->disk_id;
        return true;
    }
    return false;
}
