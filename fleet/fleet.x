/* Messages between control hosts, and between nodes and control hosts. Each is
 * sent as a length of four bytes and one fleet_message. */
const FLEET_TEXT_MAX = 255;
const FLEET_HOSTS_MAX = 64;
const FLEET_INSTANCES_MAX = 2048;
const FLEET_VOTERS_MAX = 8;
const FLEET_DATA_MAX = 16777216;

enum fleet_kind {
    FLEET_HELLO = 1,
    FLEET_HOSTS = 2,
    FLEET_INSTANCES = 3,
    FLEET_CONTENT = 4,
    FLEET_STATUS = 5,
    FLEET_QUORUM = 6
};

/* A control host. */
struct fleet_host {
    string ip<FLEET_TEXT_MAX>;
    unsigned int peer_port;
    unsigned int operator_port;
    string zone<FLEET_TEXT_MAX>;
    string region<FLEET_TEXT_MAX>;
    unsigned hyper disk;
    bool is_empty;
};

/* First message of a connection, from the side that opened it. */
struct fleet_hello {
    bool is_control;
    fleet_host host;
    unsigned hyper content; /* held by a node, 0: none */
    unsigned hyper revision;
};

/* An upstream and its gate, as its node announces them. The record with the
 * higher epoch, then sequence, holds. */
struct fleet_instance {
    string gate<FLEET_TEXT_MAX>;
    string zone<FLEET_TEXT_MAX>;
    string region<FLEET_TEXT_MAX>;
    string service<FLEET_TEXT_MAX>;
    string id<FLEET_TEXT_MAX>;
    unsigned hyper born_ms; /* start of this incarnation */
    unsigned hyper epoch;
    unsigned hyper sequence;
    unsigned int state;
    unsigned int slots;
    unsigned int cold_ms;
};

/* A content of the register, compressed against another one. */
struct fleet_content {
    unsigned hyper content;
    unsigned hyper base; /* 0: whole */
    unsigned int raw_bytes;
    opaque data<FLEET_DATA_MAX>;
};

/* A committed content for a node. */
struct fleet_update {
    unsigned hyper revision;
    fleet_content content;
};

struct fleet_status {
    bool is_in_touch;
    unsigned hyper revision;
};

struct fleet_entry {
    unsigned hyper term;
    unsigned hyper index;
    unsigned hyper content;
    unsigned hyper voters<FLEET_VOTERS_MAX>;
};

struct fleet_quorum {
    unsigned int kind;
    bool is_ok;
    bool is_confirmed;
    bool wants_content; /* the sender lacks the base of what it got */
    unsigned hyper from;
    unsigned hyper to;
    unsigned hyper term;
    unsigned hyper round;
    unsigned hyper commit_index;
    fleet_entry entry;
    fleet_content content<1>;
};

union fleet_message switch (fleet_kind kind) {
case FLEET_HELLO:
    fleet_hello hello;
case FLEET_HOSTS:
    fleet_host hosts<FLEET_HOSTS_MAX>;
case FLEET_INSTANCES:
    fleet_instance instances<FLEET_INSTANCES_MAX>;
case FLEET_CONTENT:
    fleet_update update;
case FLEET_STATUS:
    fleet_status status;
case FLEET_QUORUM:
    fleet_quorum quorum;
};

/* What the register holds. */
struct fleet_accepted {
    unsigned hyper label;
    unsigned hyper fingerprint;
};

struct fleet_state {
    unsigned hyper label;
    opaque config<FLEET_DATA_MAX>;
    fleet_accepted history<256>; /* newest last */
};

/* What a control host stores. */
struct fleet_stored {
    unsigned hyper sequence;
    unsigned hyper disk;
    unsigned hyper term;
    unsigned hyper voted_for;
    fleet_entry entry;
    fleet_host known<FLEET_HOSTS_MAX>; /* control hosts, to find them again */
    fleet_content content;
};
