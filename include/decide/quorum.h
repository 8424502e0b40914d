/* A replicated register for hosts that are not listed in any settings: Raft
 * whose log is a single entry, which each new entry replaces. The entry itself
 * lists the disks that vote on it. The state is a plain struct that can be
 * copied; calls report events and return messages and writes.
 *
 * Disks are known by random ids. A host whose disk was lost returns with
 * another id, so it has no vote until a leader has brought it up to date and
 * added it to the voters.
 *
 * Voters change by one at a time, and only after the previous entry has been
 * committed in the leader's own term: any majority of one set then shares a
 * disk with any majority of the next.
 *
 * After each call that returns an output, the caller starts a write of the
 * durable state if the output asks for one, then sends the messages. It reads
 * the sequence number of the write from write_sequence and passes it to
 * bb_quorum_on_write_synced once the write is synced. An append message must
 * be passed to bb_quorum_receive only once the content that its entry names
 * can be written together with the entry.
 *
 * Times are microseconds of one clock that never goes back and is never 0.
 * Each call needs fresh random bits, all 64 of them. */
#ifndef BB_DECIDE_QUORUM_H
#define BB_DECIDE_QUORUM_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BB_QUORUM_VOTERS_MAX = 8,
    BB_QUORUM_PEERS_MAX = 24,
    BB_QUORUM_MESSAGES_MAX = 2 * BB_QUORUM_PEERS_MAX + 8,
    /* Between the appends of a leader. Two to four missed appends start an
     * election, depending on the random election timeout. */
    BB_QUORUM_HEARTBEAT_INTERVAL_US = 350 * 1000,
    /* The election timeout is chosen at random between these bounds. */
    BB_QUORUM_ELECTION_TIMEOUT_MIN_US = 900 * 1000,
    BB_QUORUM_ELECTION_TIMEOUT_MAX_US = 1500 * 1000,
    /* Least delay of an election after a start, so that connections to the
     * others are open by then. */
    BB_QUORUM_STARTUP_DELAY_US = 120 * 1000,
    /* Upper bound of the random delay of an election after a start (added to
     * the one above) or after the connection to the leader was lost. */
    BB_QUORUM_EARLY_ELECTION_MAX_US = 300 * 1000,
    /* A candidate waits for votes for a random time of 0.5 to 1.5 times this,
     * a pre-candidate for pre-votes of 1 to 2 times this. */
    BB_QUORUM_VOTE_TIMEOUT_US = 400 * 1000,
    /* A leader steps down when a majority has not responded for longer than
     * this. */
    BB_QUORUM_STEP_DOWN_TIMEOUT_US = 1400 * 1000
};

enum bb_quorum_role {
    BB_QUORUM_FOLLOWER,
    BB_QUORUM_PRE_CANDIDATE,
    BB_QUORUM_CANDIDATE,
    BB_QUORUM_LEADER
};

/* The content ID of the register and its voters. */
struct bb_quorum_entry {
    uint64_t term;
    uint64_t index;      /* 0: there is no entry yet */
    uint64_t content_id; /* 0: the empty content of the first entry */
    uint64_t voter_count;
    uint64_t voters[BB_QUORUM_VOTERS_MAX]; /* disks */
};

/* The state that must survive a restart. */
struct bb_quorum_durable {
    uint64_t disk_id; /* id of this host's disk; never 0 */
    uint64_t term;
    uint64_t voted_for; /* disk, 0: none in this term */
    struct bb_quorum_entry entry;
};

enum bb_quorum_message_kind {
    BB_QUORUM_PRE_VOTE,
    BB_QUORUM_PRE_VOTE_RESPONSE,
    BB_QUORUM_VOTE,
    BB_QUORUM_VOTE_RESPONSE,
    BB_QUORUM_APPEND,
    BB_QUORUM_APPEND_RESPONSE,
    BB_QUORUM_MESSAGE_KIND_COUNT
};

struct bb_quorum_message {
    uint32_t kind; /* enum bb_quorum_message_kind */
    bool is_ok;    /* responses: vote granted, or append accepted */
    /* Append: a majority responded to the leader within the last
     * BB_QUORUM_ELECTION_TIMEOUT_MIN_US. */
    bool has_recent_quorum;
    uint64_t from; /* disk */
    uint64_t to;   /* disk */
    uint64_t term;
    uint64_t round; /* append and its response: heartbeat round, for reads */
    /* Append: last index committed in the leader's term, 0: none yet. */
    uint64_t commit_index;
    /* Append: the leader's entry. Vote and pre-vote: only term and index, of
     * the candidate's entry. Append response: only term and index, of the
     * entry that is synced. */
    struct bb_quorum_entry entry;
};

/* Another host that can be reached, voter or not. */
struct bb_quorum_peer {
    uint64_t disk_id;
    uint64_t match_index; /* last index synced there, of the leader's term */
    uint64_t acknowledged_round; /* highest heartbeat round responded to */
    uint64_t last_heard_us;      /* last append response, 0: none */
};

/* What the caller has to do. Calls only add to it: it must be zeroed before
 * the first call, and again once it has been carried out. */
struct bb_quorum_output {
    bool must_persist; /* write the durable state */
    bool became_leader;
    bool lost_leadership;
    bool has_committed; /* the current entry is now known to be committed */
    uint32_t message_count;
    struct bb_quorum_message messages[BB_QUORUM_MESSAGES_MAX];
};

/* Faults injected by tests. The random simulation must detect the first
 * two. */
struct bb_quorum_faults {
    bool responds_before_sync;
    bool votes_for_older_entry;
    bool changes_voters_before_commit; /* no test injects it */
};

/* The state of one host. */
struct bb_quorum {
    struct bb_quorum_durable durable;
    enum bb_quorum_role role;
    uint64_t leader; /* disk, 0: unknown */
    /* Leader: last index committed in its term, 0: none yet. Follower: last
     * index known to be committed. */
    uint64_t commit_index;
    bool is_committed;        /* the current entry is known to be committed */
    uint64_t write_sequence;  /* of the last write requested */
    uint64_t synced_sequence; /* of the last write synced */
    uint64_t synced_term;     /* of the synced entry */
    uint64_t synced_index;
    uint64_t synced_vote_term; /* not used */
    /* Disk whose vote response waits for a sync. This host's own disk: vote
     * requests wait for the sync of its own vote. 0: none. */
    uint64_t pending_vote_to;
    uint64_t pending_vote_sequence;   /* of the write that is waited for */
    bool has_pending_append_response; /* an append response waits for a sync */
    uint64_t pending_append_sequence;
    uint64_t append_round; /* heartbeat round of the leader's last append */
    uint64_t round;        /* last heartbeat round sent as a leader */
    uint64_t election_due_us;
    uint64_t heartbeat_due_us;
    uint64_t leader_last_heard_us;        /* last append of the leader */
    bool leader_has_recent_quorum;        /* as of its last append */
    uint64_t votes[BB_QUORUM_VOTERS_MAX]; /* disks that granted theirs */
    uint32_t vote_count;
    uint32_t peer_count;
    struct bb_quorum_peer peers[BB_QUORUM_PEERS_MAX];
    /* When a majority last responded to this leader. */
    uint64_t last_quorum_us;
    struct bb_quorum_faults faults;
};

/* The caller must start a write of the state, with sequence number
 * write_sequence, also if it read the state from its disk. */
void bb_quorum_init(struct bb_quorum *q, const struct bb_quorum_durable *d,
                    uint64_t now_us, uint64_t random_bits);
void bb_quorum_set_peers(struct bb_quorum *q, const uint64_t *disks,
                         uint32_t count);
bool bb_quorum_bootstrap(struct bb_quorum *q, const uint64_t *voters,
                         uint32_t count, uint64_t now_us,
                         struct bb_quorum_output *out);
void bb_quorum_tick(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
                    struct bb_quorum_output *out);
void bb_quorum_receive(struct bb_quorum *q, const struct bb_quorum_message *m,
                       uint64_t now_us, uint64_t random_bits,
                       struct bb_quorum_output *out);
void bb_quorum_on_write_synced(struct bb_quorum *q, uint64_t sequence,
                               uint64_t now_us, struct bb_quorum_output *out);
void bb_quorum_on_connection_lost(struct bb_quorum *q, uint64_t disk,
                                  uint64_t now_us, uint64_t random_bits);
bool bb_quorum_propose(struct bb_quorum *q, uint64_t content_id,
                       uint64_t now_us, struct bb_quorum_output *out);
bool bb_quorum_set_voters(struct bb_quorum *q, const uint64_t *voters,
                          uint32_t count, uint64_t now_us,
                          struct bb_quorum_output *out);
uint64_t bb_quorum_start_read(struct bb_quorum *q, uint64_t now_us,
                              struct bb_quorum_output *out);
bool bb_quorum_is_round_confirmed(const struct bb_quorum *q, uint64_t round);
bool bb_quorum_can_propose(const struct bb_quorum *q);
bool bb_quorum_has_recent_quorum(const struct bb_quorum *q, uint64_t now_us);
uint64_t bb_quorum_next_tick_us(const struct bb_quorum *q);

#endif
