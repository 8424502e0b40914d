/* Messages between control hosts and the records of their log. */

const AGREE_HOSTS_MAX = 7;
const AGREE_BATCH_MAX = 8;
const AGREE_HISTORY_MAX = 64;
const AGREE_LOG_MAX = 128;
const AGREE_DIGEST_BYTES = 32;
/* An RPC record of 1 MiB less 16 KiB for everything around the payload. */
const AGREE_PAYLOAD_MAX = 1032192;
const AGREE_INLINE_MAX = 245760; /* 240 KiB, of 252 for an argument */
const AGREE_MEMBERS_MAX = 245760;

typedef opaque agree_digest[AGREE_DIGEST_BYTES];

struct agree_entry {
    unsigned hyper term;
    unsigned hyper revision;
    unsigned hyper base;
    unsigned hyper version_label;
    unsigned hyper incarnation;
    agree_digest digest;
    unsigned int kind;
    unsigned int host;
};

struct agree_config {
    unsigned hyper revision;
    unsigned hyper base;
    unsigned hyper version_label;
    agree_digest digest;
};

struct agree_snapshot {
    unsigned hyper index;
    unsigned hyper term;
    unsigned hyper label;
    unsigned hyper members[AGREE_HOSTS_MAX];
    agree_config in_force;
    agree_config history<AGREE_HISTORY_MAX>;
};

struct agree_formation {
    unsigned hyper id;
    unsigned hyper first_revision;
    unsigned hyper members[AGREE_HOSTS_MAX];
};

/* What a message carries besides its fixed fields. */
enum agree_body_kind {
    AGREE_BODY_NONE = 0,
    AGREE_BODY_ENTRIES = 1,
    AGREE_BODY_FORMATION = 2,
    AGREE_BODY_SNAPSHOT = 3
};

union agree_body switch (agree_body_kind kind) {
case AGREE_BODY_ENTRIES:
    agree_entry entries<AGREE_BATCH_MAX>;
case AGREE_BODY_FORMATION:
    agree_formation formation;
case AGREE_BODY_SNAPSHOT:
    agree_snapshot snapshot;
default:
    void;
};

struct agree_message {
    unsigned int kind;
    unsigned int from;
    unsigned int to;
    bool is_ok;
    bool is_confirmed;
    unsigned hyper incarnation;
    unsigned hyper formation;
    unsigned hyper term;
    unsigned hyper nonce;
    unsigned hyper index;
    unsigned hyper index_term;
    unsigned hyper commit;
    unsigned hyper round;
    agree_body body;
};

/* A message with the payloads around it. `in_force` is the digest in force at
 * the sender; the receiver gets that payload before it takes the message.
 * `holder` is the host to fetch payloads from. */
struct agree_envelope {
    unsigned hyper cluster;
    agree_message message;
    agree_digest in_force;
    unsigned int holder;
    opaque payload<AGREE_INLINE_MAX>;
};

struct agree_ack {
    bool is_taken;
};

struct agree_fetch {
    unsigned hyper cluster;
    agree_digest digest;
};

struct agree_fetched {
    bool is_found;
    opaque payload<AGREE_PAYLOAD_MAX>;
};

struct agree_proposal {
    unsigned int origin;
    unsigned hyper ticket;
    unsigned hyper base;
    unsigned hyper version_label;
    agree_digest digest;
    opaque payload<AGREE_INLINE_MAX>; /* empty: fetch it from the origin */
};

struct agree_proposal_answer {
    unsigned hyper ticket;
    unsigned int result;
    unsigned hyper revision;
};

enum agree_propose_kind {
    AGREE_PROPOSE_REQUEST = 0,
    AGREE_PROPOSE_ANSWER = 1
};

union agree_propose_body switch (agree_propose_kind kind) {
case AGREE_PROPOSE_REQUEST:
    agree_proposal proposal;
case AGREE_PROPOSE_ANSWER:
    agree_proposal_answer answer;
};

struct agree_propose {
    unsigned hyper cluster;
    agree_propose_body body;
};

/* Member records, encoded by the mesh. */
struct agree_members {
    unsigned hyper cluster;
    unsigned int from;
    opaque records<AGREE_MEMBERS_MAX>;
};

/* The payload of a log record: the durable state that changed. */
struct agree_log_record {
    unsigned hyper term;
    unsigned hyper voted_for;
    unsigned hyper commit;
    unsigned hyper first_index; /* 0: the entries are unchanged */
    agree_entry entries<AGREE_LOG_MAX>;
};

/* The payload of the snapshot file: the whole durable state. */
struct agree_state_record {
    agree_formation formation;
    unsigned hyper term;
    unsigned hyper voted_for;
    unsigned hyper commit;
    agree_snapshot base;
    agree_entry entries<AGREE_LOG_MAX>;
};

program AGREE_PROGRAM {
    version AGREE_VERSION {
        agree_ack AGREE_VOTE(agree_envelope) = 1;
        agree_ack AGREE_APPEND(agree_envelope) = 2;
        agree_fetched AGREE_FETCH_PAYLOAD(agree_fetch) = 3;
        agree_ack AGREE_FORM(agree_envelope) = 4;
        agree_ack AGREE_PROPOSE(agree_propose) = 5;
        agree_ack AGREE_IDENTITY(agree_envelope) = 6;
        agree_members AGREE_EXCHANGE_MEMBERS(agree_members) = 7;
    } = 1;
} = 0x20000b01;
