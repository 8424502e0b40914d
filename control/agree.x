/* RPC messages between control hosts, and the records that a control host
 * stores. A host number is a position in the list of control hosts,
 * ordered by name. The fields are explained at the structs of
 * decide/agree.h that the comments name. config_version is `version` there,
 * which is a keyword of the RPC language. */

const AGREE_HOSTS_MAX = 7;    /* control hosts of a cluster */
const AGREE_BATCH_MAX = 8;    /* entries of one append message */
const AGREE_HISTORY_MAX = 64; /* configurations kept in a snapshot */
const AGREE_LOG_MAX = 128;    /* entries after the snapshot */
const AGREE_DIGEST_BYTES = 32;
/* Bytes. An RPC record holds 1 MiB; 16 KiB are left for headers and the other
 * fields. */
const AGREE_PAYLOAD_MAX_BYTES = 1032192;
/* Bytes: 240 KiB, as an RPC argument holds 252 KiB. */
const AGREE_INLINE_PAYLOAD_MAX_BYTES = 245760;
/* Bytes, for the same reason. */
const AGREE_MEMBER_RECORDS_MAX_BYTES = 245760;

typedef opaque agree_digest[AGREE_DIGEST_BYTES];

/* A log entry: struct bb_agree_entry. */
struct agree_entry {
    unsigned hyper term;
    unsigned hyper revision;
    unsigned hyper base_revision;
    unsigned hyper config_version;
    unsigned hyper disk_id;
    agree_digest digest;
    unsigned int kind;
    unsigned int host;
};

/* A configuration whose log entry was compacted: struct bb_agree_config. */
struct agree_config {
    unsigned hyper revision;
    unsigned hyper base_revision;
    unsigned hyper config_version;
    agree_digest digest;
};

/* The state that replaces compacted entries: struct bb_agree_snapshot. */
struct agree_snapshot {
    unsigned hyper index;
    unsigned hyper term;
    unsigned hyper highest_version;
    unsigned hyper voters[AGREE_HOSTS_MAX];
    agree_config in_force;
    agree_config history<AGREE_HISTORY_MAX>;
};

/* The disks that formed the cluster: struct bb_agree_formation. */
struct agree_formation {
    unsigned hyper id;
    unsigned hyper first_revision;
    unsigned hyper voters[AGREE_HOSTS_MAX];
};

/* The variable part of a message. */
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

/* A message of the consensus protocol: struct bb_agree_message. */
struct agree_message {
    unsigned int kind;
    unsigned int from;
    unsigned int to;
    bool is_ok;
    bool has_recent_quorum;
    unsigned hyper disk_id;
    unsigned hyper formation;
    unsigned hyper term;
    unsigned hyper nonce;
    unsigned hyper index;
    unsigned hyper index_term;
    unsigned hyper commit_index;
    unsigned hyper round;
    agree_body body;
};

/* A message, and where to get the payloads it refers to. `in_force_digest`
 * is the digest of the last payload that the sender knows to be committed; the
 * receiver fetches that payload before it processes the message.
 * `payload_host` is the host to fetch payloads from. `payload` is the payload
 * of the last entry, or empty. */
struct agree_envelope {
    /* Hash of the names of all control hosts. */
    unsigned hyper control_hosts_hash;
    agree_message message;
    agree_digest in_force_digest;
    unsigned int payload_host;
    opaque payload<AGREE_INLINE_PAYLOAD_MAX_BYTES>;
};

/* The response to a message, which is processed later. */
struct agree_ack {
    bool is_accepted; /* queued; false: dropped */
};

/* Requests a payload by its digest. */
struct agree_fetch_request {
    /* Hash of the names of all control hosts. */
    unsigned hyper control_hosts_hash;
    agree_digest digest;
};

/* The response to a fetch; the payload is empty if it was not found. */
struct agree_fetch_response {
    bool is_found;
    opaque payload<AGREE_PAYLOAD_MAX_BYTES>;
};

/* A proposal that a host forwards to the leader. `origin_host` is that host
 * and `ticket` its number for the proposal, which the response carries too. */
struct agree_proposal {
    unsigned int origin_host;
    unsigned hyper ticket;
    unsigned hyper base_revision;
    unsigned hyper config_version;
    agree_digest digest;
    /* Empty: fetched from origin_host. */
    opaque payload<AGREE_INLINE_PAYLOAD_MAX_BYTES>;
};

/* The leader's response; `result` is an enum bb_agree_result. */
struct agree_proposal_response {
    unsigned hyper ticket;
    unsigned int result;
    unsigned hyper revision;
};

/* Carries a proposal to the leader, or the response back to its origin. */
enum agree_propose_kind {
    AGREE_PROPOSE_REQUEST = 0,
    AGREE_PROPOSE_RESPONSE = 1
};

union agree_propose_body switch (agree_propose_kind kind) {
case AGREE_PROPOSE_REQUEST:
    agree_proposal proposal;
case AGREE_PROPOSE_RESPONSE:
    agree_proposal_response response;
};

struct agree_propose_message {
    unsigned hyper control_hosts_hash;
    agree_propose_body body;
};

/* Membership records, in the encoding of mesh/. */
struct agree_members {
    unsigned hyper control_hosts_hash;
    unsigned int from_host;
    opaque records<AGREE_MEMBER_RECORDS_MAX_BYTES>;
};

/* The body of a record in the log file: the part of struct bb_agree_durable
 * that changes with each write. */
struct agree_log_record {
    unsigned hyper term;
    unsigned hyper voted_for;
    unsigned hyper commit_index;
    unsigned hyper first_index; /* 0: entries unchanged */
    agree_entry entries<AGREE_LOG_MAX>;
};

/* The body of the record in the snapshot file: all of struct bb_agree_durable
 * except the disk ID. */
struct agree_state_record {
    agree_formation formation;
    unsigned hyper term;
    unsigned hyper voted_for;
    unsigned hyper commit_index;
    agree_snapshot snapshot;
    agree_entry entries<AGREE_LOG_MAX>;
};

program AGREE_PROGRAM {
    version AGREE_VERSION {
        agree_ack AGREE_VOTE(agree_envelope) = 1;
        agree_ack AGREE_APPEND(agree_envelope) = 2;
        agree_fetch_response AGREE_FETCH_PAYLOAD(agree_fetch_request) = 3;
        agree_ack AGREE_FORM(agree_envelope) = 4;
        agree_ack AGREE_PROPOSE(agree_propose_message) = 5;
        agree_ack AGREE_IDENTITY(agree_envelope) = 6;
        agree_members AGREE_EXCHANGE_MEMBERS(agree_members) = 7;
    } = 1;
} = 0x20000b01;
