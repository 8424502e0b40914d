/* Who distributes to whom, and when a member that is behind pulls. Members
 * and zones are 64-bit ids (hashes of their names), so that every member with
 * the same view makes the same choice without an election. */
#ifndef BB_DECIDE_RELAY_H
#define BB_DECIDE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { BB_RELAYS_PER_ZONE = 2 };

uint64_t bb_relay_id(const char *name);
size_t bb_relay_rank(const uint64_t *ids, size_t count, uint64_t key,
                     uint64_t *out, size_t max);
size_t bb_relay_choose(const uint64_t *live, size_t count, uint64_t zone,
                       uint64_t relays[BB_RELAYS_PER_ZONE]);
uint64_t bb_relay_control_host(const uint64_t *region_live,
                               size_t region_count, const uint64_t *all_live,
                               size_t all_count, uint64_t zone);
uint64_t bb_relay_for_member(const uint64_t *relays, size_t count,
                             uint64_t member);

/* Decides when a member that is behind pulls, and which kind of source the
 * attempt uses. */
enum bb_pull_source {
    BB_PULL_PEER,    /* a member of the zone that holds the revision */
    BB_PULL_RELAY,   /* a relay of the zone */
    BB_PULL_CONTROL, /* a control host of the region, then of any region */
    BB_PULL_SOURCES
};

struct bb_puller {
    bool is_behind;
    bool is_pulling;
    bool is_relay;
    uint64_t due_us;
    uint64_t behind_since_us;
    uint32_t attempt;
};

void bb_puller_update(struct bb_puller *p, uint64_t held, uint64_t known,
                      bool is_relay, uint64_t now_us, uint64_t random_bits);
bool bb_puller_start(struct bb_puller *p, uint64_t now_us,
                     enum bb_pull_source *source);
void bb_puller_finish(struct bb_puller *p, bool is_refused,
                      uint32_t retry_after_ms, uint64_t now_us,
                      uint64_t random_bits);

/* Admits pulls at a bounded rate. */
struct bb_pull_bucket {
    uint32_t rate_per_s;
    uint32_t burst;
    uint64_t tokens_u;     /* millionths of a token */
    uint64_t refilled_us;  /* time of the last refill */
    uint64_t next_turn_us; /* when the last refused caller is expected */
};

void bb_pull_bucket_init(struct bb_pull_bucket *b, uint32_t rate_per_s,
                         uint32_t burst, uint64_t now_us);
bool bb_pull_bucket_take(struct bb_pull_bucket *b, uint64_t now_us,
                         uint64_t random_bits, uint32_t *retry_after_ms);

#endif
