/* Choice of relays and control hosts by rendezvous hashing, timing of pulls,
 * and the token bucket that admits pulls. */
#include "decide/relay.h"

#include <string.h>

#include "common/clock.h"
#include "common/digest.h"

enum {
    /* Seeds of the hashes, in ASCII. They must be equal on all hosts, which
     * otherwise compute different ids and choose different relays. */
    SEED_NAME = 0x6e616d65,
    SEED_WEIGHT = 0x72656e64,
    /* Bounds of the random delay of a pull. It spreads the pulls of a zone
     * whose relay is lost; the upper bound keeps two attempts within 2 s, the
     * most by which a relay that gets no calls through may delay a change. */
    DELAY_MIN_MS = 100,
    DELAY_MAX_MS = 400,
    /* The first attempts at other sources follow after a shorter delay: the
     * pulls of a zone are spread already, and an isolated control host must
     * not use up the 2 s that DELAY_MAX_MS allows for. */
    SHORT_DELAY_ATTEMPTS = BB_PULL_SOURCE_COUNT,
    SHORT_DELAY_MIN_MS = 20,
    SHORT_DELAY_MAX_MS = 100,
    /* The delay doubles every ATTEMPTS_PER_DOUBLING attempts, up to eight
     * times the usual one: a revision that no host can send must not cost
     * much. */
    ATTEMPTS_PER_DOUBLING = 4 * BB_PULL_SOURCE_COUNT,
    DOUBLINGS_MAX = 3,
    /* Random addition to the time at which a refused caller retries. */
    RETRY_JITTER_MS = 100,
    /* Refused callers are never told to wait longer, so that the longest wait
     * does not depend on how many nodes return at once. */
    RETRY_AFTER_MAX_MS = 2000,
    /* Callers that would have to wait longer get a random time that is up to
     * this much below the maximum. */
    RETRY_AFTER_MAX_JITTER_MS = 1000
};

/* Returns the id of a host or zone name; never 0. */
uint64_t
bb_relay_id_from_name(const char *name)
{
    uint64_t id = bb_hash64(name, strlen(name), SEED_NAME);

    return id == 0 ? 1 : id;
}

/* Returns the weight of a member for a key; the highest one ranks first. */
static uint64_t
rendezvous_weight(uint64_t id, uint64_t key)
{
    const uint64_t pair[] = {id, key};

    return bb_hash64(pair, sizeof(pair), SEED_WEIGHT);
}

/* Returns whether member a ranks above member b for a key. */
static bool
ranks_above(uint64_t a, uint64_t b, uint64_t key)
{
    uint64_t wa = rendezvous_weight(a, key);
    uint64_t wb = rendezvous_weight(b, key);

    return wa > wb || (wa == wb && a > b);
}

/* Stores the members that rank highest for a key, up to max of them, highest
 * first, and returns their number. The key is the id of what is chosen for,
 * such as a zone or a member. out has room for max ids, and max is above 0.
 * Does not depend on the order of the ids. */
size_t
bb_relay_rank(const uint64_t *ids, size_t count, uint64_t key, uint64_t *out,
              size_t max)
{
    size_t used = 0;

    for (size_t i = 0; i < count; i++) {
        size_t at = used;

        while (at > 0 && ranks_above(ids[i], out[at - 1], key)) {
            at--;
        }
        if (at == max) {
            continue;
        }
        used += used < max ? 1 : 0;
        memmove(out + at + 1, out + at, (used - at - 1) * sizeof(*out));
        out[at] = ids[i];
    }
    return used;
}

/* Chooses the relays of a zone from its live members. Returns their number,
 * which is less than BB_RELAYS_PER_ZONE if fewer are live. */
size_t
bb_relay_choose_for_zone(const uint64_t *live, size_t count, uint64_t zone,
                         uint64_t relays[BB_RELAYS_PER_ZONE])
{
    return bb_relay_rank(live, count, zone, relays, BB_RELAYS_PER_ZONE);
}

/* Returns the control host that pushes to the relays of a zone: one in the
 * zone's region, or in any region if none is live there; 0 if none is live. */
uint64_t
bb_relay_choose_control_host(const uint64_t *region_live, size_t region_count,
                             const uint64_t *all_live, size_t all_count,
                             uint64_t zone)
{
    uint64_t chosen = 0;

    if (region_count > 0) {
        (void)bb_relay_rank(region_live, region_count, zone, &chosen, 1);
    }
    else {
        (void)bb_relay_rank(all_live, all_count, zone, &chosen, 1);
    }
    return chosen;
}

/* Returns the relay that pushes to a member, so that each member receives a
 * change from one relay only; 0 if there are no relays. */
uint64_t
bb_relay_choose_for_member(const uint64_t *relays, size_t count,
                           uint64_t member)
{
    uint64_t chosen = 0;

    (void)bb_relay_rank(relays, count, member, &chosen, 1);
    return chosen;
}

/* Returns a random delay in [min_ms, max_ms), in microseconds. */
static uint64_t
random_delay_us(uint64_t min_ms, uint64_t max_ms, uint64_t random_bits)
{
    return min_ms * BB_US_PER_MS +
           random_bits % ((max_ms - min_ms) * BB_US_PER_MS);
}

/* Updates whether the member is behind, from the revision it holds and the
 * highest known one. When it falls behind, the first pull is due after a
 * random delay of DELAY_MIN_MS to DELAY_MAX_MS. */
void
bb_puller_update(struct bb_puller *p, uint64_t held_revision,
                 uint64_t known_revision, bool is_relay, uint64_t now_us,
                 uint64_t random_bits)
{
    p->is_relay = is_relay;
    if (held_revision >= known_revision) {
        p->is_behind = false;
        return;
    }
    if (!p->is_behind) {
        p->is_behind = true;
        p->attempt = 0;
        p->behind_since_us = now_us;
        p->next_pull_us =
            now_us + random_delay_us(DELAY_MIN_MS, DELAY_MAX_MS, random_bits);
    }
}

/* Returns whether a pull is due now; if so, stores the kind of source to pull
 * from, and the caller must report the end of the pull with bb_puller_finish.
 * Relays pull from a control host first, because the other members of the zone
 * wait for them. */
bool
bb_puller_try_start(struct bb_puller *p, uint64_t now_us,
                    enum bb_pull_source *source)
{
    uint32_t first = p->is_relay ? BB_PULL_CONTROL : BB_PULL_PEER;

    if (!p->is_behind || p->is_pulling || now_us < p->next_pull_us) {
        return false;
    }
    *source =
        (enum bb_pull_source)((first + p->attempt) % BB_PULL_SOURCE_COUNT);
    p->is_pulling = true;
    return true;
}

/* Reports the end of a pull, successful or not. If the member is still behind,
 * the next pull uses the next kind of source after a random delay, or, if this
 * one was refused, the same kind after retry_after_ms, which is ignored
 * otherwise. */
void
bb_puller_finish(struct bb_puller *p, bool is_refused, uint32_t retry_after_ms,
                 uint64_t now_us, uint64_t random_bits)
{
    uint32_t doublings;

    p->is_pulling = false;
    if (is_refused) {
        p->next_pull_us = now_us + (uint64_t)retry_after_ms * BB_US_PER_MS;
        return;
    }
    p->attempt++;
    if (p->attempt < SHORT_DELAY_ATTEMPTS) {
        p->next_pull_us =
            now_us + random_delay_us(SHORT_DELAY_MIN_MS, SHORT_DELAY_MAX_MS,
                                     random_bits);
        return;
    }
    doublings = p->attempt / ATTEMPTS_PER_DOUBLING;
    doublings = doublings < DOUBLINGS_MAX ? doublings : DOUBLINGS_MAX;
    p->next_pull_us =
        now_us + (random_delay_us(DELAY_MIN_MS, DELAY_MAX_MS, random_bits)
                  << doublings);
}

/* Initialises a bucket that is full. */
void
bb_pull_bucket_init(struct bb_pull_bucket *b, uint32_t rate_per_s,
                    uint32_t burst, uint64_t now_us)
{
    *b = (struct bb_pull_bucket){
        .rate_per_s = rate_per_s,
        .burst = burst,
        .micro_tokens = (uint64_t)burst * BB_US_PER_S,
        .refilled_us = now_us,
        .next_slot_us = now_us,
    };
}

/* Adds the tokens for the time since the last refill. */
static void
refill(struct bb_pull_bucket *b, uint64_t now_us)
{
    uint64_t full_micro_tokens = (uint64_t)b->burst * BB_US_PER_S;
    uint64_t elapsed_us = now_us - b->refilled_us;

    /* That long fills the bucket even at the lowest rate, one pull a second.
     * The check also keeps the product below from overflowing. */
    if (elapsed_us > BB_US_PER_S * (uint64_t)b->burst) {
        b->micro_tokens = full_micro_tokens;
    }
    else {
        b->micro_tokens += elapsed_us * b->rate_per_s;
        b->micro_tokens = b->micro_tokens < full_micro_tokens
                              ? b->micro_tokens
                              : full_micro_tokens;
    }
    b->refilled_us = now_us;
}

/* Takes a token. Returns true if the pull is admitted, otherwise stores after
 * how many milliseconds to retry, at most RETRY_AFTER_MAX_MS. Refused callers
 * are assigned times one after the other at the admitted rate, with jitter, so
 * that they do not all return at once. */
bool
bb_pull_bucket_try_take(struct bb_pull_bucket *b, uint64_t now_us,
                        uint64_t random_bits, uint32_t *retry_after_ms)
{
    uint64_t wait_ms;

    refill(b, now_us);
    if (b->micro_tokens >= BB_US_PER_S) {
        b->micro_tokens -= BB_US_PER_S;
        *retry_after_ms = 0;
        return true;
    }
    if (b->next_slot_us < now_us) {
        b->next_slot_us = now_us;
    }
    b->next_slot_us += BB_US_PER_S / b->rate_per_s;
    wait_ms = (b->next_slot_us - now_us) / BB_US_PER_MS;
    wait_ms += random_bits % RETRY_JITTER_MS;
    if (wait_ms > RETRY_AFTER_MAX_MS) {
        wait_ms = RETRY_AFTER_MAX_MS - random_bits % RETRY_AFTER_MAX_JITTER_MS;
    }
    *retry_after_ms = (uint32_t)wait_ms;
    return false;
}
