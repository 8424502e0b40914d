/* Distribution of configurations: which members push to which, when a member
 * with an old revision pulls a newer one, and the rate at which pulls are
 * admitted. Control hosts push to the relays of a zone, and these push to its
 * other members. Members and zones are known by 64-bit ids, the hashes of
 * their names. Choices are made by rendezvous hashing, so all members with the
 * same view make the same choice without an election. Times are microseconds
 * of one clock that never goes back, unless a name ends in _ms. Each call
 * needs fresh random bits, all 64 of them. */
#ifndef BB_DECIDE_RELAY_H
#define BB_DECIDE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { BB_RELAYS_PER_ZONE = 2 };

uint64_t bb_relay_id_from_name(const char *name);
size_t bb_relay_rank(const uint64_t *ids, size_t count, uint64_t key,
                     uint64_t *out, size_t max);
size_t bb_relay_choose_for_zone(const uint64_t *live, size_t count,
                                uint64_t zone,
                                uint64_t relays[BB_RELAYS_PER_ZONE]);
uint64_t bb_relay_choose_control_host(const uint64_t *region_live,
                                      size_t region_count,
                                      const uint64_t *all_live,
                                      size_t all_count, uint64_t zone);
uint64_t bb_relay_choose_for_member(const uint64_t *relays, size_t count,
                                    uint64_t member);

/* The kinds of source that a pull may use. */
enum bb_pull_source {
    BB_PULL_PEER,    /* a member of the zone that holds the revision */
    BB_PULL_RELAY,   /* a relay of the zone */
    BB_PULL_CONTROL, /* a control host of the region, then of any region */
    BB_PULL_SOURCE_COUNT
};

/* Decides when a member pulls and from which kind of source. Must be zeroed
 * before use. */
struct bb_puller {
    bool is_behind; /* the highest known revision is not held */
    bool is_pulling;
    bool is_relay;
    uint64_t next_pull_us; /* time of the next pull, if behind */
    uint64_t behind_since_us;
    /* Pulls ended since behind_since_us; refused ones are not counted. */
    uint32_t attempt;
};

void bb_puller_update(struct bb_puller *p, uint64_t held_revision,
                      uint64_t known_revision, bool is_relay, uint64_t now_us,
                      uint64_t random_bits);
bool bb_puller_try_start(struct bb_puller *p, uint64_t now_us,
                         enum bb_pull_source *source);
void bb_puller_finish(struct bb_puller *p, bool is_refused,
                      uint32_t retry_after_ms, uint64_t now_us,
                      uint64_t random_bits);

/* Token bucket that admits pulls at a bounded rate. */
struct bb_pull_bucket {
    uint32_t rate_per_s;   /* pulls; above 0 */
    uint32_t burst;        /* pulls admitted at once by a full bucket */
    uint64_t micro_tokens; /* millionths of a token */
    uint64_t refilled_us;  /* time of the last refill */
    uint64_t next_slot_us; /* time assigned to the last refused caller */
};

void bb_pull_bucket_init(struct bb_pull_bucket *b, uint32_t rate_per_s,
                         uint32_t burst, uint64_t now_us);
bool bb_pull_bucket_try_take(struct bb_pull_bucket *b, uint64_t now_us,
                             uint64_t random_bits, uint32_t *retry_after_ms);

#endif
