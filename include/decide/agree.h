/* The quorum protocol of the control hosts: terms, votes, log matching and
 * replacement of disks, as a plain struct that can be copied. It does no I/O:
 * an event goes in, and what to write, send, apply and answer comes out.
 *
 * Contract of the caller, in this order after each step: write what `persist`
 * names (in one record, all or nothing); send the messages; apply; answer.
 * Once the write is synced, it feeds BB_AGREE_EVENT_SYNCED with the sequence
 * number. Whatever depends on a write is put out only after that event. An
 * append message is fed only after the payloads it names are synced. */
#ifndef BB_DECIDE_AGREE_H
#define BB_DECIDE_AGREE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"

/* The explorer builds the module with a smaller window. */
#ifndef BB_AGREE_WINDOW
#define BB_AGREE_WINDOW 128
#define BB_AGREE_REVISIONS 64
#endif

enum {
    BB_AGREE_HOSTS_MAX = 7,
    BB_AGREE_JOINER = BB_AGREE_HOSTS_MAX, /* slot of the joining disk */
    BB_AGREE_SLOTS,
    BB_AGREE_LOG_MAX = BB_AGREE_WINDOW,
    BB_AGREE_HISTORY_MAX = BB_AGREE_REVISIONS,
    BB_AGREE_BATCH_MAX = 8,
    BB_AGREE_WAITING_MAX = 16,
    BB_AGREE_READS_MAX = 8,
    BB_AGREE_MESSAGES_MAX = 24,
    BB_AGREE_ANSWERS_MAX = BB_AGREE_WAITING_MAX + BB_AGREE_READS_MAX + 2,
    BB_AGREE_NO_HOST = UINT8_MAX,
    BB_AGREE_HEARTBEAT_US = 100 * 1000,
    BB_AGREE_ELECTION_MIN_US = 400 * 1000,
    BB_AGREE_ELECTION_MAX_US = 800 * 1000,
    BB_AGREE_IDENTITY_US = 250 * 1000
};

enum bb_agree_role {
    BB_AGREE_FOLLOWER,
    BB_AGREE_PRE_CANDIDATE,
    BB_AGREE_CANDIDATE,
    BB_AGREE_LEADER
};

enum bb_agree_entry_kind { BB_AGREE_NOOP, BB_AGREE_CONFIG, BB_AGREE_MEMBER };

struct bb_agree_entry {
    uint64_t term;
    uint64_t revision;
    uint64_t base;
    uint64_t version;     /* operator label, 0 if none */
    uint64_t incarnation; /* member: the disk admitted */
    struct bb_digest digest;
    uint8_t kind;
    uint8_t host; /* member: whose disk is replaced */
    uint8_t unused[6];
};

/* What is left of a configuration entry once it is compacted. */
struct bb_agree_config {
    uint64_t revision;
    uint64_t base;
    uint64_t version;
    struct bb_digest digest;
};

/* The state at the first index of the log window. */
struct bb_agree_snapshot {
    uint64_t index;
    uint64_t term;
    uint64_t label; /* highest version label accepted so far */
    uint64_t members[BB_AGREE_HOSTS_MAX]; /* incarnation by host */
    struct bb_agree_config in_force;
    uint64_t history_count;
    struct bb_agree_config history[BB_AGREE_HISTORY_MAX]; /* oldest first */
};

struct bb_agree_formation {
    uint64_t id; /* 0: not formed */
    uint64_t first_revision;
    uint64_t members[BB_AGREE_HOSTS_MAX];
};

/* What a host must find again after a restart. */
struct bb_agree_durable {
    uint64_t incarnation; /* of the disk itself */
    struct bb_agree_formation formation;
    uint64_t term;
    uint64_t voted_for; /* incarnation, 0 if none in this term */
    uint64_t commit;
    struct bb_agree_snapshot base;
    uint64_t log_count;
    struct bb_agree_entry log[BB_AGREE_LOG_MAX]; /* from base.index + 1 */
};

enum bb_agree_message_kind {
    BB_AGREE_IDENTITY,
    BB_AGREE_IDENTITY_ANSWER,
    BB_AGREE_FORM,
    BB_AGREE_PRE_VOTE,
    BB_AGREE_PRE_VOTE_ANSWER,
    BB_AGREE_VOTE,
    BB_AGREE_VOTE_ANSWER,
    BB_AGREE_APPEND,
    BB_AGREE_APPEND_ANSWER,
    BB_AGREE_SNAPSHOT,
    BB_AGREE_MESSAGE_KINDS
};

struct bb_agree_message {
    uint8_t kind;
    uint8_t from;
    uint8_t to;
    uint8_t is_ok;        /* granted, matched */
    uint8_t is_confirmed; /* append: the leader has a recent quorum */
    uint8_t count;        /* append: entries */
    uint8_t unused[2];
    uint64_t incarnation; /* of the sender's disk */
    uint64_t formation;
    uint64_t term;
    uint64_t nonce;      /* identity: ties an answer to its question */
    uint64_t index;      /* last (vote), previous (append), match (answer) */
    uint64_t index_term; /* of the entry at index */
    uint64_t commit;
    uint64_t round;
    union {
        struct bb_agree_entry entries[BB_AGREE_BATCH_MAX];
        struct bb_agree_formation formation;
        struct bb_agree_snapshot snapshot;
    } body;
};

struct bb_agree_proposal {
    uint64_t ticket; /* chosen by the caller, returned with the answer */
    uint64_t base;
    uint64_t version;
    struct bb_digest digest;
};

enum bb_agree_result {
    BB_AGREE_ACCEPTED,
    BB_AGREE_CONFIRMED, /* answer to a read */
    BB_AGREE_STALE_BASE,
    BB_AGREE_CONFLICT,
    BB_AGREE_NOT_LEADER,
    BB_AGREE_BUSY,
    BB_AGREE_UNKNOWN /* leadership lost; may yet be accepted */
};

struct bb_agree_answer {
    uint64_t ticket;
    uint64_t revision;
    enum bb_agree_result result;
};

enum bb_agree_event_kind {
    BB_AGREE_EVENT_MESSAGE,
    BB_AGREE_EVENT_TICK,
    BB_AGREE_EVENT_PROPOSAL,
    BB_AGREE_EVENT_READ,
    BB_AGREE_EVENT_SYNCED,
    BB_AGREE_EVENT_SYNC_FAILED
};

struct bb_agree_event {
    enum bb_agree_event_kind kind;
    uint64_t now_us;
    uint64_t random; /* fresh random bits for each event */
    union {
        const struct bb_agree_message *message;
        struct bb_agree_proposal proposal;
        uint64_t ticket;
        uint64_t sync_sequence;
    } with;
};

struct bb_agree_output {
    bool persist;
    bool persist_snapshot;  /* replace the stored state by a snapshot */
    uint64_t persist_from;  /* first log index that changed */
    uint64_t sync_sequence; /* of this write */
    bool apply_snapshot;    /* apply base.in_force before the range */
    uint64_t apply_first;   /* range of log indices; none if first > last */
    uint64_t apply_last;
    uint32_t message_count;
    uint32_t answer_count;
    struct bb_agree_message messages[BB_AGREE_MESSAGES_MAX];
    struct bb_agree_answer answers[BB_AGREE_ANSWERS_MAX];
};

/* What a leader knows of one disk. */
struct bb_agree_progress {
    uint64_t incarnation;
    uint64_t match; /* synced there and equal to the leader's log */
    uint64_t next;
    uint64_t round; /* highest heartbeat round answered */
};

struct bb_agree_waiting {
    uint64_t ticket;
    uint64_t index;
};

struct bb_agree_read {
    uint64_t ticket;
    uint64_t round;
};

/* Faults that only tests switch on, to show that the explorer finds them. */
struct bb_agree_faults {
    uint8_t answer_before_sync;
    uint8_t vote_with_empty_disk;
    uint8_t unused[6];
};

struct bb_agree {
    uint8_t self;
    uint8_t host_count;
    uint8_t role;
    uint8_t leader;
    uint8_t votes;  /* bit by slot */
    uint8_t joiner; /* host of the joining disk */
    uint8_t is_storage_failed;
    uint8_t empty_hosts; /* bit by host that answered as empty */
    uint8_t owes_vote;   /* host waiting for a vote answer */
    uint8_t owes_append; /* an append answer waits for the sync */
    uint8_t append_is_ok;
    uint8_t waiting_count;
    uint8_t read_count;
    uint8_t unused[3];
    struct bb_agree_faults faults;
    uint64_t first_revision;
    uint64_t write_sequence;
    uint64_t synced_sequence;
    uint64_t applied;
    struct bb_agree_config in_force; /* as of applied */
    uint64_t append_match;
    uint64_t append_round;
    uint64_t round;
    uint64_t confirmed_round; /* highest round a quorum answered */
    uint64_t nonce;
    uint64_t identities[BB_AGREE_HOSTS_MAX]; /* from identity answers */
    struct bb_agree_progress progress[BB_AGREE_SLOTS];
    struct bb_agree_waiting waiting[BB_AGREE_WAITING_MAX];
    struct bb_agree_read reads[BB_AGREE_READS_MAX];
    /* Times; safety does not depend on them. */
    uint64_t election_due_us;
    uint64_t heartbeat_due_us;
    uint64_t identity_due_us;
    uint64_t leader_heard_us;
    uint64_t quorum_us;    /* last time a quorum answered this leader */
    uint64_t confirmed_us; /* last time a quorum was known, on any host */
    uint64_t heard_us[BB_AGREE_HOSTS_MAX];
    struct bb_agree_durable d;
};

struct bb_agree_settings {
    uint8_t self; /* 0 to host_count - 1 */
    uint8_t host_count;
    uint64_t first_revision; /* of a new formation */
};

void bb_agree_restart(struct bb_agree *a, const struct bb_agree_settings *s,
                      const struct bb_agree_durable *d, uint64_t now_us,
                      uint64_t random);
void bb_agree_step(struct bb_agree *a, const struct bb_agree_event *event,
                   struct bb_agree_output *out);
bool bb_agree_is_voter(const struct bb_agree *a);
uint64_t bb_agree_last_index(const struct bb_agree *a);
const struct bb_agree_entry *bb_agree_entry_at(const struct bb_agree *a,
                                               uint64_t index);
struct bb_agree_config bb_agree_in_force(const struct bb_agree *a);
struct bb_agree_config bb_agree_committed(const struct bb_agree *a);
const char *bb_agree_role_name(enum bb_agree_role role);
const char *bb_agree_result_name(enum bb_agree_result result);

#endif
