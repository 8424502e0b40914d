/* Consensus of the control hosts on the sequence of configurations: Raft with
 * pre-votes, log compaction and replacement of one disk at a time. The state
 * is a plain struct that can be copied. The module does no I/O: each step
 * returns what to write, send and apply, and the responses to callers.
 *
 * A host is a fixed position, 0 to host_count - 1. A disk is identified by its
 * disk ID, a random number that an empty disk gets; only disks that the log
 * lists as voters may vote. Times are microseconds of one clock that never
 * goes back.
 *
 * After each step the caller, in this order: writes what the persist fields of
 * the output describe (one record, all or nothing); sends the messages;
 * applies the entries; passes on the responses. Once the write is synced, it
 * feeds BB_AGREE_EVENT_SYNCED with the sequence number. Whatever depends on a
 * write is returned only by the step for that event or a later one. An append
 * message must be fed to bb_agree_step only after the payloads that its
 * entries name by digest are synced. */
#ifndef BB_DECIDE_AGREE_H
#define BB_DECIDE_AGREE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"

/* The sizes of the log (BB_AGREE_LOG_MAX) in entries and of the history
 * (BB_AGREE_HISTORY_MAX) in configurations. The state explorer of the tests
 * builds the module with smaller values, always for both, so that fewer steps
 * reach compaction. */
#ifndef BB_AGREE_LOG_ENTRIES
#define BB_AGREE_LOG_ENTRIES 128
#define BB_AGREE_HISTORY_CONFIGS 64
#endif

enum {
    BB_AGREE_HOSTS_MAX = 7,
    /* Progress is tracked in one slot for each host's voting disk, and one
     * for a disk that is about to replace a voter. */
    BB_AGREE_JOINING_SLOT = BB_AGREE_HOSTS_MAX,
    BB_AGREE_SLOTS,
    BB_AGREE_LOG_MAX = BB_AGREE_LOG_ENTRIES,         /* entries */
    BB_AGREE_HISTORY_MAX = BB_AGREE_HISTORY_CONFIGS, /* configurations */
    BB_AGREE_BATCH_MAX = 8,                          /* entries of a message */
    BB_AGREE_PENDING_PROPOSALS_MAX = 16,
    BB_AGREE_PENDING_READS_MAX = 8,
    BB_AGREE_MESSAGES_MAX = 24,
    /* A step responds at most to all pending requests and the one that it was
     * called with; one more is spare. */
    BB_AGREE_RESPONSES_MAX =
        BB_AGREE_PENDING_PROPOSALS_MAX + BB_AGREE_PENDING_READS_MAX + 2,
    BB_AGREE_NO_HOST = UINT8_MAX, /* also stands for no slot */
    BB_AGREE_HEARTBEAT_INTERVAL_US = 100 * 1000,
    /* The election timeout is chosen at random between these bounds. */
    BB_AGREE_ELECTION_TIMEOUT_MIN_US = 400 * 1000,
    BB_AGREE_ELECTION_TIMEOUT_MAX_US = 800 * 1000,
    /* Between the identity requests of a disk that is not a voter. */
    BB_AGREE_IDENTITY_INTERVAL_US = 250 * 1000
};

enum bb_agree_role {
    BB_AGREE_FOLLOWER,
    BB_AGREE_PRE_CANDIDATE,
    BB_AGREE_CANDIDATE,
    BB_AGREE_LEADER
};

enum bb_agree_entry_kind {
    BB_AGREE_NOOP,   /* first entry of a leader's term */
    BB_AGREE_CONFIG, /* a new configuration */
    BB_AGREE_VOTER   /* replaces the voting disk of a host */
};

/* A log entry; fields without use in a kind are 0. */
struct bb_agree_entry {
    uint64_t term;
    uint64_t revision;       /* config: of this configuration */
    uint64_t base_revision;  /* config: revision it was made from */
    uint64_t version;        /* config: set by the operator, 0 if none */
    uint64_t disk_id;        /* voter: of the new disk */
    struct bb_digest digest; /* config: of the content */
    uint8_t kind;            /* enum bb_agree_entry_kind */
    uint8_t host;            /* voter: whose disk is replaced */
    uint8_t unused[6];
};

/* The fields of a configuration entry that are kept after compaction. */
struct bb_agree_config {
    uint64_t revision;
    uint64_t base_revision;
    uint64_t version;
    struct bb_digest digest;
};

/* The state as of the last entry that was compacted. */
struct bb_agree_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t
        highest_version; /* highest version of all configurations so far */
    uint64_t voters[BB_AGREE_HOSTS_MAX]; /* disk ID by host */
    struct bb_agree_config in_force;     /* last configuration */
    uint64_t history_count;
    struct bb_agree_config history[BB_AGREE_HISTORY_MAX]; /* oldest first */
};

/* The first voters of the cluster. Host 0 creates it once all configured hosts
 * have reported an empty disk. A disk that joined by a snapshot knows only the
 * id: its first_revision is 1, whatever the cluster was formed with, and its
 * voters are all 0. */
struct bb_agree_formation {
    uint64_t id;             /* random; 0: the cluster is not formed yet */
    uint64_t first_revision; /* not 0 once the cluster is formed */
    uint64_t voters[BB_AGREE_HOSTS_MAX]; /* disk ID by host */
};

/* The state that must survive a restart. */
struct bb_agree_durable {
    uint64_t disk_id; /* of this host's disk */
    struct bb_agree_formation formation;
    uint64_t term;
    uint64_t voted_for;    /* disk ID, 0 if none in this term */
    uint64_t commit_index; /* index of the last entry known to be committed */
    struct bb_agree_snapshot snapshot;
    uint64_t log_count;
    /* The first one follows the last entry of the snapshot. */
    struct bb_agree_entry log[BB_AGREE_LOG_MAX];
};

/* The kinds up to BB_AGREE_FORM are accepted from any formation. */
enum bb_agree_message_kind {
    BB_AGREE_IDENTITY, /* asks for the formation and disk ID of a host */
    BB_AGREE_IDENTITY_RESPONSE,
    BB_AGREE_FORM, /* carries the formation to an empty disk it lists */
    BB_AGREE_PRE_VOTE,
    BB_AGREE_PRE_VOTE_RESPONSE,
    BB_AGREE_VOTE,
    BB_AGREE_VOTE_RESPONSE,
    BB_AGREE_APPEND,
    BB_AGREE_APPEND_RESPONSE,
    BB_AGREE_SNAPSHOT,
    BB_AGREE_MESSAGE_KIND_COUNT
};

/* A message between hosts; fields without use in a kind are 0. */
struct bb_agree_message {
    uint8_t kind;  /* enum bb_agree_message_kind */
    uint8_t from;  /* host */
    uint8_t to;    /* host */
    uint8_t is_ok; /* responses: vote granted, or log matched */
    /* Append: a quorum responded to the leader within the last
     * BB_AGREE_ELECTION_TIMEOUT_MIN_US. */
    uint8_t has_recent_quorum;
    uint8_t count; /* append: entries */
    uint8_t unused[2];
    uint64_t disk_id;   /* of the sender's disk */
    uint64_t formation; /* id of the sender's formation, 0 if none */
    /* The sender's term. Pre-vote: the term after it. Vote and pre-vote
     * responses: as in the request. */
    uint64_t term;
    uint64_t nonce; /* identity: copied from the request to its response */
    /* Vote, pre-vote: of the sender's last entry. Append: of the entry before
     * the first one sent. Snapshot: of its last entry. Response to an append
     * or a snapshot: of the last entry that equals the leader's; if refused,
     * the leader continues after it. */
    uint64_t index;
    /* Vote, pre-vote, append, snapshot: of the entry at index. Vote and
     * pre-vote responses: the sender's own term. */
    uint64_t index_term;
    uint64_t commit_index; /* append, snapshot: the leader's commit index */
    uint64_t round; /* append, snapshot and their responses: heartbeat round */
    union {
        struct bb_agree_entry entries[BB_AGREE_BATCH_MAX];
        struct bb_agree_formation formation;
        struct bb_agree_snapshot snapshot;
    } body;
};

struct bb_agree_proposal {
    uint64_t ticket; /* chosen by the caller, returned with the response */
    /* Revision that the content was made from; for the first configuration of
     * the cluster, the first revision - 1. */
    uint64_t base_revision;
    uint64_t version;        /* set by the operator, 0 if none */
    struct bb_digest digest; /* of the content */
};

enum bb_agree_result {
    BB_AGREE_ACCEPTED,   /* proposal: committed and applied on the leader */
    BB_AGREE_CONFIRMED,  /* read: the leader led when the read began */
    BB_AGREE_STALE_BASE, /* a newer configuration than the base exists */
    BB_AGREE_VERSION_CONFLICT, /* the version is not above all earlier ones */
    BB_AGREE_NOT_LEADER,
    BB_AGREE_BUSY, /* the log is too full, or too many requests are pending */
    BB_AGREE_UNKNOWN /* leadership lost; may yet be accepted */
};

struct bb_agree_response {
    uint64_t ticket;
    /* Accepted: of the proposal. Confirmed: in force. Stale base, conflict:
     * of the last configuration in the log. Without meaning otherwise. */
    uint64_t revision;
    enum bb_agree_result result;
};

enum bb_agree_event_kind {
    BB_AGREE_EVENT_MESSAGE,
    BB_AGREE_EVENT_TICK,
    BB_AGREE_EVENT_PROPOSAL,
    BB_AGREE_EVENT_READ,
    BB_AGREE_EVENT_SYNCED,     /* a write and all before it are synced */
    BB_AGREE_EVENT_SYNC_FAILED /* the host stops taking part */
};

struct bb_agree_event {
    enum bb_agree_event_kind kind;
    uint64_t now_us;
    uint64_t random_bits; /* fresh random bits for each event */
    union {
        const struct bb_agree_message *message;
        struct bb_agree_proposal proposal;
        uint64_t ticket;         /* read */
        uint64_t write_sequence; /* synced */
    } as;
};

/* What the caller has to do after a step. */
struct bb_agree_output {
    bool must_persist;          /* write the durable state */
    bool must_persist_snapshot; /* write all of it, not only the changed
                                   entries */
    uint64_t
        persist_from_index;  /* first log index that changed, 0: no entry */
    uint64_t write_sequence; /* of this write */
    /* Apply the configuration of the snapshot before the range below. */
    bool must_apply_snapshot;
    uint64_t
        apply_first_index; /* range of log indices; none if first > last */
    uint64_t apply_last_index;
    uint32_t message_count;
    uint32_t response_count;
    struct bb_agree_message messages[BB_AGREE_MESSAGES_MAX];
    struct bb_agree_response responses[BB_AGREE_RESPONSES_MAX];
};

/* A leader's view of the log on one disk. */
struct bb_agree_progress {
    uint64_t disk_id; /* 0: the slot is not in use */
    uint64_t
        match_index; /* last index synced there that equals the leader's log */
    uint64_t next_index;         /* first index to send */
    uint64_t acknowledged_round; /* highest heartbeat round responded to */
};

/* A proposal that gets its response once its entry is applied. */
struct bb_agree_pending_proposal {
    uint64_t ticket;
    uint64_t index; /* of the entry */
};

/* A read that is confirmed once a quorum has responded to its round. */
struct bb_agree_pending_read {
    uint64_t ticket;
    uint64_t round;
};

/* Faults injected by tests, which the explorer must detect. */
struct bb_agree_faults {
    uint8_t responds_before_sync;
    uint8_t votes_with_empty_disk;
    uint8_t unused[6];
};

/* The state of one host. */
struct bb_agree {
    uint8_t self; /* own host */
    uint8_t host_count;
    uint8_t role;         /* enum bb_agree_role */
    uint8_t leader;       /* host, BB_AGREE_NO_HOST if unknown */
    uint8_t votes;        /* bit by slot; granted in this election */
    uint8_t joining_host; /* host of the joining disk, or BB_AGREE_NO_HOST */
    uint8_t is_storage_failed;
    uint8_t empty_hosts; /* bit by host that reported an empty disk */
    /* Host whose vote response waits for the sync. This host itself: vote
     * requests wait for the sync of its own vote. BB_AGREE_NO_HOST: none. */
    uint8_t pending_vote_to;
    uint8_t has_pending_append_response; /* one waits for the sync */
    uint8_t append_is_ok;                /* not used */
    uint8_t pending_proposal_count;
    uint8_t pending_read_count;
    uint8_t unused[3];
    struct bb_agree_faults faults;
    uint64_t first_revision;
    uint64_t write_sequence;         /* of the last write requested */
    uint64_t synced_sequence;        /* of the last write synced */
    uint64_t applied_index;          /* log index */
    struct bb_agree_config in_force; /* as of the applied index */
    uint64_t append_match_index; /* last index that equals the leader's log */
    uint64_t append_round;       /* highest heartbeat round received */
    uint64_t round;              /* last heartbeat round sent as a leader */
    uint64_t confirmed_round;    /* highest round that a quorum responded to */
    uint64_t nonce;              /* of identity requests; new at each start */
    /* ID of each empty disk, by host, from identity responses. */
    uint64_t reported_disk_ids[BB_AGREE_HOSTS_MAX];
    struct bb_agree_progress progress[BB_AGREE_SLOTS];
    struct bb_agree_pending_proposal
        pending_proposals[BB_AGREE_PENDING_PROPOSALS_MAX];
    struct bb_agree_pending_read pending_reads[BB_AGREE_PENDING_READS_MAX];
    /* Times; safety does not depend on them. */
    uint64_t election_due_us;
    uint64_t heartbeat_due_us;
    uint64_t identity_due_us;
    uint64_t leader_last_heard_us; /* last append of the leader */
    /* When a quorum last responded to this leader. */
    uint64_t last_quorum_us;
    /* Last time at which a quorum is known to have responded to the cluster's
     * leader, this host or another. */
    uint64_t cluster_quorum_us;
    uint64_t last_heard_us[BB_AGREE_HOSTS_MAX]; /* last message, by host */
    struct bb_agree_durable durable;
};

struct bb_agree_settings {
    uint8_t self;            /* 0 to host_count - 1 */
    uint8_t host_count;      /* 1 to BB_AGREE_HOSTS_MAX */
    uint64_t first_revision; /* of a new formation; 0 means 1 */
};

void bb_agree_init(struct bb_agree *a, const struct bb_agree_settings *s,
                   const struct bb_agree_durable *d, uint64_t now_us,
                   uint64_t random_bits);
void bb_agree_step(struct bb_agree *a, const struct bb_agree_event *event,
                   struct bb_agree_output *out);
bool bb_agree_is_voter(const struct bb_agree *a);
uint64_t bb_agree_last_index(const struct bb_agree *a);
const struct bb_agree_entry *bb_agree_get_entry(const struct bb_agree *a,
                                                uint64_t index);
struct bb_agree_config bb_agree_config_in_force(const struct bb_agree *a);
struct bb_agree_config bb_agree_committed_config(const struct bb_agree *a);
const char *bb_agree_role_name(enum bb_agree_role role);
const char *bb_agree_result_name(enum bb_agree_result result);

#endif
