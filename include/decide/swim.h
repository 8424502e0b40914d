/* SWIM failure detection among the members of a zone: pings, indirect pings
 * and suspicion. The state is a plain struct that can be copied. The caller
 * passes the time and random bits, carries out the actions, and spreads and
 * merges the records of the members by gossip. Members are known by a 64-bit
 * id, the hash of the host name; the others are the peers of a member.
 *
 * In every period a member probes its successor in the order of ids, so that
 * each peer is probed by someone in every period, and one random peer, or
 * several while it suspects any peer. A probe pings up to pings_per_probe
 * times and asks other members to ping too. A member suspects a peer when its
 * own probe fails, and declares it dead when no ping gets a response for the
 * whole suspicion timeout. A suspicion received from others must first last
 * for the suspicion timeout and is then checked in the same way, so no member
 * declares a peer dead that it has not tried to reach itself.
 *
 * Times are microseconds of one clock that never goes back. Each call needs
 * fresh random bits, all 64 of them. */
#ifndef BB_DECIDE_SWIM_H
#define BB_DECIDE_SWIM_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BB_SWIM_PEERS_MAX = 256,
    BB_SWIM_PROBES_MAX = 16,
    BB_SWIM_ACTIONS_MAX = 128
};

struct bb_swim_settings {
    uint64_t period_us;             /* between the starts of probes */
    uint64_t ping_interval_us;      /* between the pings of one probe */
    uint64_t probe_timeout_us;      /* from the first ping to suspicion */
    uint64_t suspicion_timeout_us;  /* from suspicion to death */
    uint64_t dead_ping_interval_us; /* between pings, each to one random dead
                                       peer */
    uint32_t indirect_ping_count;   /* members asked to ping, in each probe */
    /* Direct ones; at least 2, as indirect pings are requested with the second
     * one. */
    uint32_t pings_per_probe;
};

enum bb_swim_state { BB_SWIM_ALIVE, BB_SWIM_SUSPECT, BB_SWIM_DEAD };

/* Another member, as one member sees it. */
struct bb_swim_peer {
    uint64_t id;
    uint64_t incarnation; /* of the process; grows with each start */
    uint64_t sequence;    /* of the record, within the incarnation */
    enum bb_swim_state state;
    bool is_own_suspicion; /* a probe by this member failed */
    /* When the peer is declared dead, or the suspicion of others becomes this
     * member's own. */
    uint64_t suspicion_deadline_us;
    uint64_t next_ping_us; /* for this member's own suspicion */
};

/* A running probe of one peer. */
struct bb_swim_probe {
    uint64_t id; /* of the peer, 0 if unused */
    uint64_t next_ping_us;
    uint64_t deadline_us;
    uint32_t pings_sent;
};

/* The failure detector of one member. */
struct bb_swim {
    struct bb_swim_settings settings;
    uint64_t self;                                /* own id */
    struct bb_swim_peer peers[BB_SWIM_PEERS_MAX]; /* sorted by id */
    uint32_t peer_count;
    struct bb_swim_probe probes[BB_SWIM_PROBES_MAX];
    uint64_t next_period_us;
    uint64_t next_dead_ping_us; /* time of the next ping to a dead peer */
    /* Of the random generator; mixed with the random bits of each call. */
    uint64_t random_state;
};

enum bb_swim_action_kind {
    BB_SWIM_PING,         /* ping a peer */
    BB_SWIM_PING_REQUEST, /* ask the member `via` to ping a peer */
    BB_SWIM_MARK_SUSPECT, /* spread that a peer is suspected */
    BB_SWIM_MARK_DEAD     /* spread at once that a peer is dead */
};

struct bb_swim_action {
    enum bb_swim_action_kind kind;
    uint64_t id;  /* of the peer */
    uint64_t via; /* ping request: id of the member, otherwise 0 */
};

struct bb_swim_actions {
    struct bb_swim_action items[BB_SWIM_ACTIONS_MAX];
    uint32_t count;
};

struct bb_swim_settings bb_swim_default_settings(void);
void bb_swim_init(struct bb_swim *s, const struct bb_swim_settings *settings,
                  uint64_t self, uint64_t now_us, uint64_t random_bits);
bool bb_swim_set_peer(struct bb_swim *s, uint64_t id, uint64_t incarnation,
                      uint64_t sequence, enum bb_swim_state state,
                      uint64_t now_us);
void bb_swim_remove_peer(struct bb_swim *s, uint64_t id);
const struct bb_swim_peer *bb_swim_find_peer(const struct bb_swim *s,
                                             uint64_t id);
void bb_swim_record_ack(struct bb_swim *s, uint64_t id, uint64_t now_us);
void bb_swim_tick(struct bb_swim *s, uint64_t now_us, uint64_t random_bits,
                  struct bb_swim_actions *out);

/* The incarnation and sequence to set in this member's own record. */
struct bb_swim_refutation {
    bool is_needed; /* false: the record stays as it is */
    uint64_t incarnation;
    uint64_t sequence;
};

struct bb_swim_refutation
bb_swim_decide_refutation(uint64_t own_incarnation, uint64_t own_sequence,
                          uint64_t seen_incarnation, uint64_t seen_sequence,
                          enum bb_swim_state seen_state);

#endif
