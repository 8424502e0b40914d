/* Messages between control hosts, and between nodes and control hosts. Each is
 * sent as a length of four bytes in network byte order and one fleet_message;
 * the highest bit of the length marks one that is compressed with zstd.
 *
 * The content of an entry is one encoded fleet_replicated_state; a content ID
 * is a 64-bit hash of its bytes, 0 for none. A disk ID is a random identity
 * that a control host stores on its disk; a lost disk is replaced by one with
 * another ID. */
const FLEET_TEXT_MAX_BYTES = 255;
const FLEET_HOSTS_MAX = 64;
const FLEET_INSTANCES_MAX = 2048;
const FLEET_VOTERS_MAX = 8; /* equal to BB_QUORUM_VOTERS_MAX */
const FLEET_TEAMS_MAX = 4096; /* of one message */
const FLEET_ROLLOUTS_MAX = 64;
const FLEET_EVIDENCE_MAX = 1024;
const FLEET_SIZE_CLASSES_MAX = 16;
const FLEET_DATA_MAX_BYTES = 16777216; /* equal to BB_CONTENT_MAX_BYTES */

enum fleet_message_kind {
    FLEET_HELLO = 1,
    FLEET_HOSTS = 2,
    FLEET_INSTANCES = 3,
    FLEET_UPDATE = 4,
    FLEET_STATUS = 5,
    FLEET_QUORUM = 6,
    FLEET_DIGEST = 7,
    FLEET_LEASE_REQUEST = 8,
    FLEET_LEASE_GRANT = 9,
    FLEET_LEASE_CONFIRM = 10,
    FLEET_LEASE_CONFIRMED = 11,
    FLEET_QUOTA_USAGE = 12,
    FLEET_QUOTA_TOTALS = 13,
    FLEET_QUOTA_RATIOS = 14,
    FLEET_ROLLOUT_EVIDENCE = 15
};

/* A control host, or a node in its hello (ip, zone and region only). */
struct fleet_host {
    string ip<FLEET_TEXT_MAX_BYTES>;
    unsigned int peer_port;     /* for other hosts and nodes */
    unsigned int operator_port; /* for the operators' HTTP interface */
    string zone<FLEET_TEXT_MAX_BYTES>;
    string region<FLEET_TEXT_MAX_BYTES>;
    unsigned hyper disk_id;
    bool is_empty; /* its disk holds no entry yet */
};

/* First message of a connection, sent by the side that opened it; the other
 * side responds with its own hello. */
struct fleet_hello {
    bool is_control; /* false: a node */
    fleet_host host;
    unsigned hyper content_id;   /* of the state that a node has, 0: none */
    unsigned hyper commit_index; /* commit index of that state, 0: none */
};

/* Instance record: an upstream and its gate (the node's proxy in front of it),
 * as announced by the node. Of two records of a gate the one with the higher
 * incarnation, then the higher sequence, wins. */
struct fleet_instance {
    string gate_address<FLEET_TEXT_MAX_BYTES>; /* "IP:PORT", key of the record */
    string zone<FLEET_TEXT_MAX_BYTES>;
    string region<FLEET_TEXT_MAX_BYTES>;
    string service<FLEET_TEXT_MAX_BYTES>;
    string id<FLEET_TEXT_MAX_BYTES>; /* of the upstream, as it announced it */
    unsigned hyper started_ms; /* wall clock at the upstream's start */
    /* Number of the run of the node process: its start in milliseconds since
     * 1970, raised above that of an earlier run if the clock went back. */
    unsigned hyper incarnation;
    unsigned hyper sequence; /* counts the announcements of the process */
    unsigned int state;   /* enum bb_instance_state */
    unsigned int slots;   /* requests that it runs at a time */
    unsigned int warmup_ms; /* remaining warm-up time; 0: warm */
    /* Of the upstream; empty: not stated, or rollouts are off. */
    opaque software_version<FLEET_TEXT_MAX_BYTES>;
};

/* An encoded state, compressed with zstd, possibly against another one. */
struct fleet_compressed_content {
    unsigned hyper content_id;
    unsigned hyper base_id; /* content ID of the base, 0: none */
    unsigned int uncompressed_bytes;
    opaque data<FLEET_DATA_MAX_BYTES>;
};

/* The committed state, sent to a node. */
struct fleet_update {
    unsigned hyper commit_index; /* of the entry that holds the content */
    fleet_compressed_content content;
};

/* Sent to nodes at intervals, and when the sender gains or loses its quorum. */
struct fleet_status {
    bool has_recent_quorum; /* the sender hears a leader with a majority */
    unsigned hyper commit_index;
};

/* Entry of the quorum protocol (decide/quorum.h): struct bb_quorum_entry. */
struct fleet_entry {
    unsigned hyper term;
    unsigned hyper index;
    unsigned hyper content_id;
    unsigned hyper voters<FLEET_VOTERS_MAX>; /* disk IDs */
};

/* Message of the quorum protocol (decide/quorum.h): struct
 * bb_quorum_message. */
struct fleet_quorum_message {
    unsigned int kind; /* enum bb_quorum_message_kind */
    bool is_ok;
    bool has_recent_quorum;
    bool needs_full_content; /* the sender lacks the base of the content it got */
    unsigned hyper from; /* disk ID */
    unsigned hyper to;   /* disk ID */
    unsigned hyper term;
    unsigned hyper round; /* heartbeat round, for reads */
    unsigned hyper commit_index;
    fleet_entry entry;
    /* Append: content of the entry, if the receiver may lack it. */
    fleet_compressed_content content<1>;
};

/* Grant of a lease to a node, and confirmation by the leader to another control
 * host: all that was committed when the request was received has an index up
 * to commit_index. An entry with a higher index may hold the same content, as
 * changes of the voters are entries too, so the content is named as well. */
struct fleet_lease_grant {
    unsigned hyper number; /* of the request */
    unsigned hyper commit_index;
    unsigned hyper content_id;
};

/* Use of a team's quota since the sender's last message. */
struct fleet_quota_usage {
    unsigned hyper team_id;
    unsigned int rate_mrps;
    unsigned int burst;
    int admitted; /* less those that gave their credit back */
    unsigned int refused;
};

/* Sums of the nodes that report to a control host, sent to the others. */
struct fleet_quota_totals {
    unsigned int node_count;
    fleet_quota_usage teams<FLEET_TEAMS_MAX>;
};

/* Share of a team's requests that each entry admits. */
struct fleet_quota_ratio {
    unsigned hyper team_id;
    unsigned int admitted_ppm; /* millionths */
};

/* Responses of one version's upstreams since the sender's last message. */
struct fleet_rollout_evidence {
    string service<FLEET_TEXT_MAX_BYTES>;
    string software_version<FLEET_TEXT_MAX_BYTES>;
    string upstream_id<FLEET_TEXT_MAX_BYTES>;
    unsigned hyper route_id; /* 64-bit hash of the route's name */
    unsigned int responses;
    unsigned int failures; /* 5xx of the upstream, lost responses */
    unsigned int in_flight;
    /* Responses by duration; the bounds are those of decide/rollout.h. */
    unsigned int durations<FLEET_SIZE_CLASSES_MAX>;
};

union fleet_message switch (fleet_message_kind kind) {
case FLEET_HELLO:
    fleet_hello hello;
case FLEET_HOSTS:
    fleet_host hosts<FLEET_HOSTS_MAX>;
case FLEET_INSTANCES:
    fleet_instance instances<FLEET_INSTANCES_MAX>;
case FLEET_UPDATE:
    fleet_update update;
case FLEET_STATUS:
    fleet_status status;
case FLEET_QUORUM:
    fleet_quorum_message quorum;
case FLEET_DIGEST:
    /* Of all instance records of a control host, sent to the others. */
    unsigned hyper digest;
case FLEET_LEASE_REQUEST:
    unsigned hyper lease_request; /* its number */
case FLEET_LEASE_GRANT:
    fleet_lease_grant lease_grant;
case FLEET_LEASE_CONFIRM:
    unsigned hyper lease_confirm; /* its number */
case FLEET_LEASE_CONFIRMED:
    fleet_lease_grant lease_confirmed;
case FLEET_QUOTA_USAGE:
    fleet_quota_usage quota_usage<FLEET_TEAMS_MAX>;
case FLEET_QUOTA_TOTALS:
    fleet_quota_totals quota_totals;
case FLEET_QUOTA_RATIOS:
    fleet_quota_ratio quota_ratios<FLEET_TEAMS_MAX>;
case FLEET_ROLLOUT_EVIDENCE:
    fleet_rollout_evidence rollout_evidence<FLEET_EVIDENCE_MAX>;
};

/* A configuration that was accepted earlier. */
struct fleet_accepted_version {
    unsigned hyper config_version; /* the operators' version */
    unsigned hyper config_hash;
};

/* A rollout of a service, the newest one of that service. */
struct fleet_rollout {
    string service<FLEET_TEXT_MAX_BYTES>;
    string baseline<FLEET_TEXT_MAX_BYTES>; /* version before it */
    string target<FLEET_TEXT_MAX_BYTES>;
    unsigned int state; /* enum bb_rollout_state */
    unsigned int step;  /* counts the changes of the share */
    unsigned int share_permille; /* of the target */
    unsigned hyper duration_ms;
    unsigned hyper elapsed_ms; /* at this commit */
    /* Wall clock of the leader; a restarted host estimates the time that has
     * passed by it. */
    unsigned hyper started_wall_ms;
};

/* The replicated state. Each commit replaces it as a whole. */
struct fleet_replicated_state {
    unsigned hyper config_version;          /* the operators' version */
    opaque config<FLEET_DATA_MAX_BYTES>; /* as the operators sent it */
    fleet_accepted_version history<256>; /* newest last; the bound is
                                            BB_STATE_HISTORY_MAX */
    fleet_rollout rollouts<FLEET_ROLLOUTS_MAX>;
};

/* The durable state of a control host. */
struct fleet_stored_state {
    unsigned hyper sequence; /* number of the write; the highest one counts */
    unsigned hyper disk_id;
    unsigned hyper term;
    unsigned hyper voted_for; /* disk ID, 0: none in this term */
    fleet_entry entry;
    fleet_host known<FLEET_HOSTS_MAX>; /* other control hosts to connect to */
    fleet_compressed_content content;
};
