/* SWIM failure detection among the members of a zone. */
#include "decide/swim.h"

#include <string.h>

#include "common/clock.h"

enum {
    PERIOD_MS = 500,
    /* A dead peer must be marked dead within 3 s. With a period of 500 ms and
     * a probe of three pings, 100 ms apart and 400 ms in all, it is suspected
     * after 0.9 s at the latest and declared dead after 2.9 s, which leaves
     * 0.1 s for ticks and gossip. */
    PING_INTERVAL_MS = 100,
    PROBE_TIMEOUT_MS = 400,
    SUSPICION_TIMEOUT_MS = 2000,
    DEAD_PING_INTERVAL_MS = 2000,
    INDIRECT_PING_COUNT = 3,
    PINGS_PER_PROBE = 3,
    /* Random probes in a period while any peer is suspected. A suspicion can
     * be the first sign of a lost rack, and more probes find the other lost
     * members sooner. With one random probe a period, 6 of 31 lost members out
     * of 40 are not yet marked dead after 5 s. */
    SUSPICION_RANDOM_PROBES = 6
};

/* Returns the default settings; the constants above give the reasons. */
struct bb_swim_settings
bb_swim_default_settings(void)
{
    return (struct bb_swim_settings){
        .period_us = PERIOD_MS * BB_US_PER_MS,
        .ping_interval_us = PING_INTERVAL_MS * BB_US_PER_MS,
        .probe_timeout_us = PROBE_TIMEOUT_MS * BB_US_PER_MS,
        .suspicion_timeout_us = SUSPICION_TIMEOUT_MS * BB_US_PER_MS,
        .dead_ping_interval_us = DEAD_PING_INTERVAL_MS * BB_US_PER_MS,
        .indirect_ping_count = INDIRECT_PING_COUNT,
        .pings_per_probe = PINGS_PER_PROBE,
    };
}

/* Initialises a detector without peers. The first period starts at a random
 * time within one period length, so that members that start together do not
 * probe together. */
void
bb_swim_init(struct bb_swim *s, const struct bb_swim_settings *settings,
             uint64_t self, uint64_t now_us, uint64_t random_bits)
{
    *s = (struct bb_swim){
        .settings = *settings,
        .self = self,
        .next_period_us = now_us + random_bits % settings->period_us,
        .next_dead_ping_us = now_us + settings->dead_ping_interval_us,
        .random_state = random_bits,
    };
}

/* Returns the next number of the SplitMix64 sequence. */
static uint64_t
next_random(struct bb_swim *s)
{
    uint64_t z = s->random_state += 0x9e3779b97f4a7c15ULL;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* Returns the index of the first peer whose id is not below the given one. */
static uint32_t
lower_bound(const struct bb_swim *s, uint64_t id)
{
    uint32_t low = 0;
    uint32_t high = s->peer_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (s->peers[middle].id < id) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Returns a peer to be changed, or NULL if there is none with this id. */
static struct bb_swim_peer *
find_peer(struct bb_swim *s, uint64_t id)
{
    uint32_t at = lower_bound(s, id);

    return at < s->peer_count && s->peers[at].id == id ? &s->peers[at] : NULL;
}

/* Returns a peer, or NULL if there is none with this id. Valid until the next
 * peer is added or removed. */
const struct bb_swim_peer *
bb_swim_find_peer(const struct bb_swim *s, uint64_t id)
{
    uint32_t at = lower_bound(s, id);

    return at < s->peer_count && s->peers[at].id == id ? &s->peers[at] : NULL;
}

/* Ends the probe of a peer, if one is running. */
static void
end_probe(struct bb_swim *s, uint64_t id)
{
    for (uint32_t i = 0; i < BB_SWIM_PROBES_MAX; i++) {
        if (s->probes[i].id == id) {
            s->probes[i] = (struct bb_swim_probe){0};
        }
    }
}

/* Adds a peer or updates it from its merged record. The caller merges, so a
 * record is never older than the one before. The suspicion timeout starts with
 * each new suspicion. This member's own id and id 0 are ignored. Returns false
 * if the peer is new and there are BB_SWIM_PEERS_MAX already. */
bool
bb_swim_set_peer(struct bb_swim *s, uint64_t id, uint64_t incarnation,
                 uint64_t sequence, enum bb_swim_state state, uint64_t now_us)
{
    uint32_t at = lower_bound(s, id);
    struct bb_swim_peer *p = &s->peers[at];

    if (id == s->self || id == 0) {
        return true;
    }
    if (at == s->peer_count || p->id != id) {
        if (s->peer_count == BB_SWIM_PEERS_MAX) {
            return false;
        }
        memmove(p + 1, p, (s->peer_count - at) * sizeof(*p));
        s->peer_count++;
        *p = (struct bb_swim_peer){.id = id, .state = BB_SWIM_ALIVE};
    }
    if (state == BB_SWIM_SUSPECT &&
        (p->state != BB_SWIM_SUSPECT || p->incarnation != incarnation ||
         p->sequence != sequence)) {
        p->is_own_suspicion = false;
        p->suspicion_deadline_us = now_us + s->settings.suspicion_timeout_us;
    }
    p->state = state;
    p->incarnation = incarnation;
    p->sequence = sequence;
    if (state == BB_SWIM_DEAD) {
        end_probe(s, id);
    }
    return true;
}

/* Removes a peer, if there is one with this id, and its probe. */
void
bb_swim_remove_peer(struct bb_swim *s, uint64_t id)
{
    struct bb_swim_peer *p = find_peer(s, id);

    if (p == NULL) {
        return;
    }
    memmove(p, p + 1,
            (size_t)(s->peers + s->peer_count - (p + 1)) * sizeof(*p));
    s->peer_count--;
    end_probe(s, id);
}

/* Records that a peer responded to a ping, directly or through another member.
 * This ends the probe and restarts the suspicion timeout. The suspicion itself
 * is ended only by the peer's refutation, a record with a higher sequence
 * number. */
void
bb_swim_record_ack(struct bb_swim *s, uint64_t id, uint64_t now_us)
{
    struct bb_swim_peer *p = find_peer(s, id);

    end_probe(s, id);
    if (p != NULL && p->state == BB_SWIM_SUSPECT) {
        p->suspicion_deadline_us = now_us + s->settings.suspicion_timeout_us;
    }
}

/* Appends an action; returns false, without appending, if the list is full. */
static bool
add_action(struct bb_swim_actions *out, enum bb_swim_action_kind kind,
           uint64_t id, uint64_t via)
{
    if (out->count == BB_SWIM_ACTIONS_MAX) {
        return false;
    }
    out->items[out->count++] =
        (struct bb_swim_action){.kind = kind, .id = id, .via = via};
    return true;
}

/* Returns a random peer in a state, except two ids, or NULL if there is none.
 */
static struct bb_swim_peer *
pick_peer(struct bb_swim *s, enum bb_swim_state state, uint64_t except,
          uint64_t except2)
{
    struct bb_swim_peer *picked = NULL;
    uint32_t seen = 0;

    for (uint32_t i = 0; i < s->peer_count; i++) {
        struct bb_swim_peer *p = &s->peers[i];

        if (p->state == state && p->id != except && p->id != except2 &&
            next_random(s) % ++seen == 0) {
            picked = p;
        }
    }
    return picked;
}

/* Returns the next peer after this member's own id that is alive, or NULL if
 * none is. Suspected peers are skipped: members that suspect a peer ping it
 * anyway. */
static struct bb_swim_peer *
find_successor(struct bb_swim *s)
{
    uint32_t start = lower_bound(s, s->self);

    for (uint32_t i = 0; i < s->peer_count; i++) {
        struct bb_swim_peer *p = &s->peers[(start + i) % s->peer_count];

        if (p->state == BB_SWIM_ALIVE) {
            return p;
        }
    }
    return NULL;
}

/* Starts a probe of a peer, unless one is running or all BB_SWIM_PROBES_MAX
 * are in use. */
static void
start_probe(struct bb_swim *s, const struct bb_swim_peer *p, uint64_t now_us)
{
    struct bb_swim_probe *free_probe = NULL;

    for (uint32_t i = 0; i < BB_SWIM_PROBES_MAX; i++) {
        if (s->probes[i].id == p->id) {
            return;
        }
        if (s->probes[i].id == 0) {
            free_probe = &s->probes[i];
        }
    }
    if (free_probe != NULL) {
        *free_probe = (struct bb_swim_probe){
            .id = p->id,
            .next_ping_us = now_us,
            .deadline_us = now_us + s->settings.probe_timeout_us,
        };
    }
}

/* Asks random members that are alive to ping a peer. The same one is not asked
 * twice in a row. */
static void
request_pings(struct bb_swim *s, uint64_t id, uint32_t count,
              struct bb_swim_actions *out)
{
    uint64_t previous = 0;

    for (uint32_t i = 0; i < count; i++) {
        const struct bb_swim_peer *via =
            pick_peer(s, BB_SWIM_ALIVE, id, previous);

        if (via == NULL) {
            return;
        }
        previous = via->id;
        (void)add_action(out, BB_SWIM_PING_REQUEST, id, via->id);
    }
}

/* Starts this member's own suspicion of a peer, or turns one received from
 * others into its own, with a new suspicion timeout. */
static void
start_suspicion(struct bb_swim *s, struct bb_swim_peer *p, uint64_t now_us,
                struct bb_swim_actions *out)
{
    if (p->state == BB_SWIM_DEAD ||
        (p->state == BB_SWIM_SUSPECT && p->is_own_suspicion)) {
        return;
    }
    if (p->state == BB_SWIM_ALIVE) {
        p->state = BB_SWIM_SUSPECT;
        (void)add_action(out, BB_SWIM_MARK_SUSPECT, p->id, 0);
    }
    p->is_own_suspicion = true;
    p->suspicion_deadline_us = now_us + s->settings.suspicion_timeout_us;
    p->next_ping_us = now_us;
}

/* Sends the pings of a probe that are due. If its timeout has passed, ends it
 * and suspects the peer. */
static void
advance_probe(struct bb_swim *s, struct bb_swim_probe *probe, uint64_t now_us,
              struct bb_swim_actions *out)
{
    struct bb_swim_peer *p = find_peer(s, probe->id);

    if (p == NULL) {
        *probe = (struct bb_swim_probe){0};
        return;
    }
    if (now_us >= probe->deadline_us) {
        *probe = (struct bb_swim_probe){0};
        start_suspicion(s, p, now_us, out);
        return;
    }
    if (now_us < probe->next_ping_us ||
        probe->pings_sent >= s->settings.pings_per_probe) {
        return;
    }
    (void)add_action(out, BB_SWIM_PING, probe->id, 0);
    probe->pings_sent++;
    probe->next_ping_us = now_us + s->settings.ping_interval_us;
    /* Indirect pings only start once a direct one got no response. */
    if (probe->pings_sent == 2) {
        request_pings(s, probe->id, s->settings.indirect_ping_count, out);
    }
}

/* Pings a peer that this member suspects itself, and declares it dead after
 * the suspicion timeout. A suspicion received from others becomes this
 * member's own when its timeout has passed. */
static void
advance_suspicion(struct bb_swim *s, struct bb_swim_peer *p, uint64_t now_us,
                  struct bb_swim_actions *out)
{
    if (now_us >= p->suspicion_deadline_us) {
        if (p->is_own_suspicion) {
            p->state = BB_SWIM_DEAD;
            end_probe(s, p->id);
            (void)add_action(out, BB_SWIM_MARK_DEAD, p->id, 0);
            return;
        }
        /* Others suspect the peer and it has not refuted that in time. */
        start_suspicion(s, p, now_us, out);
    }
    if (p->is_own_suspicion && now_us >= p->next_ping_us) {
        p->next_ping_us = now_us + s->settings.ping_interval_us;
        (void)add_action(out, BB_SWIM_PING, p->id, 0);
        request_pings(s, p->id, 1, out);
    }
}

/* Returns the number of suspected peers. */
static uint32_t
count_suspects(const struct bb_swim *s)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < s->peer_count; i++) {
        count += s->peers[i].state == BB_SWIM_SUSPECT;
    }
    return count;
}

/* Starts the probes of a new period: the successor and random peers. */
static void
start_period(struct bb_swim *s, uint64_t now_us)
{
    const struct bb_swim_peer *successor = find_successor(s);
    uint32_t random_probes =
        count_suspects(s) > 0 ? SUSPICION_RANDOM_PROBES : 1;

    s->next_period_us += s->settings.period_us;
    if (s->next_period_us <= now_us) {
        s->next_period_us = now_us + s->settings.period_us;
    }
    if (successor == NULL) {
        return;
    }
    start_probe(s, successor, now_us);
    for (uint32_t i = 0; i < random_probes; i++) {
        const struct bb_swim_peer *other =
            pick_peer(s, BB_SWIM_ALIVE, successor->id, 0);

        if (other != NULL) {
            start_probe(s, other, now_us);
        }
    }
}

/* Advances probes and suspicions to now and fills in the actions to carry out.
 * Actions beyond BB_SWIM_ACTIONS_MAX, including BB_SWIM_MARK_DEAD, are dropped
 * for good. Must be called at least every 25 ms: SUSPICION_TIMEOUT_MS leaves
 * 0.1 s for ticks and gossip. */
void
bb_swim_tick(struct bb_swim *s, uint64_t now_us, uint64_t random_bits,
             struct bb_swim_actions *out)
{
    out->count = 0;
    s->random_state ^= random_bits;
    if (now_us >= s->next_period_us) {
        start_period(s, now_us);
    }
    for (uint32_t i = 0; i < BB_SWIM_PROBES_MAX; i++) {
        if (s->probes[i].id != 0) {
            advance_probe(s, &s->probes[i], now_us, out);
        }
    }
    for (uint32_t i = 0; i < s->peer_count; i++) {
        if (s->peers[i].state == BB_SWIM_SUSPECT) {
            advance_suspicion(s, &s->peers[i], now_us, out);
        }
    }
    if (now_us >= s->next_dead_ping_us) {
        /* This finds members that have restarted, or that a partition cut
         * off, even if no control host can be reached. */
        const struct bb_swim_peer *dead = pick_peer(s, BB_SWIM_DEAD, 0, 0);

        s->next_dead_ping_us = now_us + s->settings.dead_ping_interval_us;
        if (dead != NULL) {
            (void)add_action(out, BB_SWIM_PING, dead->id, 0);
        }
    }
}

/* Decides whether a member must change its own record because another member
 * has a copy that would override it. A suspicion or death is refuted with a
 * higher sequence number. A copy with a higher incarnation, left by an earlier
 * run of the process if the clock was set back since, needs an incarnation
 * above that. */
struct bb_swim_refutation
bb_swim_decide_refutation(uint64_t own_incarnation, uint64_t own_sequence,
                          uint64_t seen_incarnation, uint64_t seen_sequence,
                          enum bb_swim_state seen_state)
{
    if (seen_incarnation > own_incarnation) {
        return (struct bb_swim_refutation){
            .is_needed = true,
            .incarnation = seen_incarnation + 1,
            .sequence = 0,
        };
    }
    if (seen_incarnation == own_incarnation &&
        (seen_sequence > own_sequence ||
         (seen_sequence == own_sequence && seen_state != BB_SWIM_ALIVE))) {
        return (struct bb_swim_refutation){
            .is_needed = true,
            .incarnation = own_incarnation,
            .sequence = seen_sequence + 1,
        };
    }
    return (struct bb_swim_refutation){0};
}
