/* A replicated register for hosts that are not listed anywhere: the whole
 * state is one entry, which each new entry replaces, and the entry itself
 * names the disks that vote on it. A plain struct that can be copied; events
 * go in, messages and writes come out.
 *
 * Disks are known by random identities. A host whose disk was lost comes back
 * with another identity, so no set of voters contains it until a leader has
 * brought it up to date and added it.
 *
 * Voters change by one at a time, and only after the entry before has been
 * committed in the leader's own term: any majority of one set then shares a
 * disk with any majority of the next.
 *
 * Contract of the caller after each step: start the write that `persist`
 * asks for, then send the messages. Once the write is synced it calls
 * bb_quorum_persisted with the sequence number that was given. An append is
 * fed only once the content it names is there to be written along. */
#ifndef BB_DECIDE_QUORUM_H
#define BB_DECIDE_QUORUM_H

#include <stdbool.h>
#include <stdint.h>

enum {
    BB_QUORUM_VOTERS_MAX = 8,
    BB_QUORUM_PEERS_MAX = 24,
    BB_QUORUM_MESSAGES_MAX = 2 * BB_QUORUM_PEERS_MAX + 8,
    /* A leader's interval; three missed ones start an election. */
    BB_QUORUM_HEARTBEAT_US = 350 * 1000,
    BB_QUORUM_ELECTION_MIN_US = 900 * 1000,
    BB_QUORUM_ELECTION_MAX_US = 1500 * 1000,
    /* After a start, when connections to the others are open. */
    BB_QUORUM_START_US = 120 * 1000,
    /* After the connection of the leader was lost. */
    BB_QUORUM_HURRY_MAX_US = 300 * 1000,
    /* Wait for votes before the next attempt. */
    BB_QUORUM_VOTE_WAIT_US = 400 * 1000,
    /* A leader that hears from no majority for this long steps down. */
    BB_QUORUM_STEP_DOWN_US = 1400 * 1000
};

enum bb_quorum_role {
    BB_QUORUM_FOLLOWER,
    BB_QUORUM_PRE_CANDIDATE,
    BB_QUORUM_CANDIDATE,
    BB_QUORUM_LEADER
};

/* The whole state. `content` identifies what the register holds; 0 is the
 * empty content of a new formation. */
struct bb_quorum_entry {
    uint64_t term;
    uint64_t index;
    uint64_t content;
    uint64_t voter_count;
    uint64_t voters[BB_QUORUM_VOTERS_MAX];
};

struct bb_quorum_durable {
    uint64_t disk; /* identity of the own disk */
    uint64_t term;
    uint64_t voted_for; /* disk, 0: none in this term */
    struct bb_quorum_entry entry;
};

enum bb_quorum_message_kind {
    BB_QUORUM_PRE_VOTE,
    BB_QUORUM_PRE_VOTE_ANSWER,
    BB_QUORUM_VOTE,
    BB_QUORUM_VOTE_ANSWER,
    BB_QUORUM_APPEND,
    BB_QUORUM_APPEND_ANSWER,
    BB_QUORUM_MESSAGE_KINDS
};

struct bb_quorum_message {
    uint32_t kind;
    bool is_ok;
    bool is_confirmed; /* append: a majority answered lately */
    uint64_t from;
    uint64_t to;
    uint64_t term;
    uint64_t round;        /* append: to confirm reads */
    uint64_t commit_index; /* append: in the leader's term, 0: none */
    /* Append: the leader's entry. Votes: of the candidate, without voters.
     * Append answer: term and index of what is synced. */
    struct bb_quorum_entry entry;
};

struct bb_quorum_peer {
    uint64_t disk;
    uint64_t match_index; /* synced, of the leader's term */
    uint64_t round;       /* highest answered */
    uint64_t heard_us;
};

struct bb_quorum_output {
    bool persist;
    bool became_leader;
    bool lost_leadership;
    bool committed; /* commit_index moved */
    uint32_t message_count;
    struct bb_quorum_message messages[BB_QUORUM_MESSAGES_MAX];
};

/* Faults that only tests switch on, to show that the explorer finds them. */
struct bb_quorum_faults {
    bool answers_before_sync;
    bool votes_for_older;
    bool changes_voters_early;
};

struct bb_quorum {
    struct bb_quorum_durable d;
    enum bb_quorum_role role;
    uint64_t leader;       /* disk, 0: unknown */
    uint64_t commit_index; /* of d.entry, if its term is the leader's */
    bool is_committed;     /* d.entry is known to be committed */
    uint64_t write_sequence;
    uint64_t synced_sequence;
    uint64_t synced_term; /* of the synced entry */
    uint64_t synced_index;
    uint64_t synced_vote_term;
    uint64_t owed_vote; /* disk that waits for a vote answer */
    uint64_t owed_vote_sequence;
    bool owes_append;
    uint64_t owed_append_sequence;
    uint64_t append_round;
    uint64_t round;
    uint64_t election_due_us;
    uint64_t heartbeat_due_us;
    uint64_t leader_heard_us;
    bool leader_is_confirmed; /* as of its last append */
    uint64_t votes[BB_QUORUM_VOTERS_MAX];
    uint32_t vote_count;
    uint32_t peer_count;
    struct bb_quorum_peer peers[BB_QUORUM_PEERS_MAX];
    uint64_t quorum_us; /* last time that a majority was heard */
    struct bb_quorum_faults faults;
};

void bb_quorum_init(struct bb_quorum *q, const struct bb_quorum_durable *d,
                    uint64_t now_us, uint64_t random_bits);
void bb_quorum_set_peers(struct bb_quorum *q, const uint64_t *disks,
                         uint32_t count);
bool bb_quorum_form(struct bb_quorum *q, const uint64_t *voters,
                    uint32_t count, uint64_t now_us,
                    struct bb_quorum_output *out);
void bb_quorum_tick(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
                    struct bb_quorum_output *out);
void bb_quorum_receive(struct bb_quorum *q, const struct bb_quorum_message *m,
                       uint64_t now_us, uint64_t random_bits,
                       struct bb_quorum_output *out);
void bb_quorum_persisted(struct bb_quorum *q, uint64_t sequence,
                         uint64_t now_us, struct bb_quorum_output *out);
void bb_quorum_lost_leader(struct bb_quorum *q, uint64_t disk, uint64_t now_us,
                           uint64_t random_bits);
bool bb_quorum_propose(struct bb_quorum *q, uint64_t content, uint64_t now_us,
                       struct bb_quorum_output *out);
bool bb_quorum_set_voters(struct bb_quorum *q, const uint64_t *voters,
                          uint32_t count, uint64_t now_us,
                          struct bb_quorum_output *out);
uint64_t bb_quorum_read(struct bb_quorum *q, uint64_t now_us,
                        struct bb_quorum_output *out);
bool bb_quorum_is_round_confirmed(const struct bb_quorum *q, uint64_t round);
bool bb_quorum_can_propose(const struct bb_quorum *q);
bool bb_quorum_is_in_touch(const struct bb_quorum *q, uint64_t now_us);
uint64_t bb_quorum_due_us(const struct bb_quorum *q);

#endif
