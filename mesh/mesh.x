/* Membership and distribution: gossip datagrams and the RPC program between
 * nodes and control hosts. The limits are those of section 9 of the design;
 * the decoders refuse what exceeds them. */

const MESH_NAME_MAX = 63;
const MESH_IP_MAX = 16;
const MESH_DIGEST_BYTES = 32;
const MESH_DATAGRAM_MAX = 1400;
const MESH_DATAGRAM_RECORDS_MAX = 16;
const MESH_PAYLOAD_MAX = 1048576;
const MESH_RECORDS_MAX = 2048;
const MESH_ZONES_MAX = 32;
const MESH_BUCKETS_MAX = 16;
const MESH_HELD_MAX = 1024;

/* Written by hand in mesh/wire.c: the decoder of libtirpc reads the bytes that
 * fill up a string or opaque value into a static buffer, which is a data race
 * between threads. On the wire these are string<MESH_NAME_MAX> and
 * opaque<MESH_PAYLOAD_MAX>. */
#ifdef RPC_HDR
%typedef char *mesh_name;
%struct mesh_bytes {
%    u_int len;
%    char *val;
%};
%typedef struct mesh_bytes mesh_bytes;
%extern bool_t xdr_mesh_name(XDR *, mesh_name *);
%extern bool_t xdr_mesh_bytes(XDR *, mesh_bytes *);
#endif

/* 4 bytes for IPv4, 16 for IPv6, none if there is no such endpoint. */
struct mesh_endpoint {
    opaque ip<MESH_IP_MAX>;
    unsigned int port;
};

struct mesh_record {
    mesh_name host;
    mesh_name zone;
    mesh_name region;
    unsigned int role;
    mesh_endpoint http;
    mesh_endpoint rpc;
    mesh_endpoint gossip;
    unsigned hyper incarnation;
    unsigned hyper sequence;
    unsigned int state;
    unsigned hyper held_revision;
    unsigned hyper applied_revision;
    mesh_name service;
    unsigned int upstream_state;
    unsigned int slots;
    unsigned int connections;
};

/* Time since any process of the sender's zone last heard from a zone. */
struct mesh_zone_age {
    mesh_name zone;
    unsigned int age_ms;
};

enum mesh_kind {
    MESH_PING = 1,
    MESH_PING_REQ = 2,
    MESH_ACK = 3
};

/* The first record is the sender's own. The target of a PING_REQ is the host
 * to ping; that of an ACK is the host that was found alive. */
struct mesh_datagram {
    mesh_kind kind;
    unsigned int number;
    mesh_name target;
    unsigned hyper highest_revision;
    unsigned hyper table_digest;
    unsigned hyper held_digest;
    mesh_zone_age ages<MESH_ZONES_MAX>;
    mesh_record records<MESH_DATAGRAM_RECORDS_MAX>;
};

enum mesh_result {
    MESH_OK = 0,
    MESH_STALE = 1,
    MESH_NEED_SNAPSHOT = 2,
    MESH_BUSY = 3,
    MESH_NONE = 4
};

/* A full bundle, or a delta against the base revision. */
struct mesh_offer {
    mesh_name from;
    unsigned hyper revision;
    opaque digest[MESH_DIGEST_BYTES];
    bool is_delta;
    unsigned hyper base_revision;
    mesh_bytes payload;
};

struct mesh_offer_answer {
    mesh_result result;
    unsigned hyper held_revision;
};

struct mesh_fetch {
    mesh_name host;
    unsigned hyper have_revision;
};

struct mesh_fetch_answer {
    mesh_result result;
    unsigned int retry_after_ms;
    unsigned hyper held_revision;
    mesh_offer offer;
};

/* The lowest revision in force on the live members of a zone, with a digest of
 * who these are. One entry a zone crosses to the other region in place of a
 * record for each node. */
struct mesh_zone_floor {
    mesh_name zone;
    unsigned int member_count;
    unsigned hyper roster_digest;
    unsigned hyper applied_revision;
};

/* The highest revision that a host held, kept after its record is removed. */
struct mesh_held {
    mesh_name host;
    unsigned hyper revision;
};

struct mesh_report {
    mesh_name from;
    unsigned hyper highest_revision;
    mesh_zone_floor floors<MESH_ZONES_MAX>;
    mesh_held held<MESH_HELD_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

struct mesh_report_answer {
    unsigned hyper highest_revision;
};

/* Digests of the records of one zone; without buckets only the whole zone is
 * compared. */
struct mesh_zone_digest {
    mesh_name zone;
    unsigned hyper records;
    unsigned hyper held;
    unsigned hyper buckets<MESH_BUCKETS_MAX>;
};

struct mesh_sync {
    mesh_name from;
    bool compare_held;
    unsigned hyper highest_revision;
    mesh_zone_digest zones<MESH_ZONES_MAX>;
};

/* The zones that differ; with the records of the buckets that differ if the
 * question had buckets. */
struct mesh_sync_answer {
    bool is_informed;
    unsigned hyper highest_revision;
    mesh_zone_digest zones<MESH_ZONES_MAX>;
    mesh_held held<MESH_HELD_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

struct mesh_join {
    mesh_record record;
};

/* is_informed: the answering process has held records for long enough to know
 * the revision that the host held. */
struct mesh_join_answer {
    bool is_informed;
    unsigned hyper remembered_revision;
    unsigned hyper highest_revision;
    mesh_record records<MESH_RECORDS_MAX>;
};

program MESH_PROGRAM {
    version MESH_VERSION {
        mesh_offer_answer MESH_OFFER(mesh_offer) = 1;
        mesh_fetch_answer MESH_FETCH(mesh_fetch) = 2;
        mesh_report_answer MESH_REPORT(mesh_report) = 3;
        mesh_sync_answer MESH_SYNC(mesh_sync) = 4;
        mesh_join_answer MESH_JOIN(mesh_join) = 5;
    } = 1;
} = 0x20000b02;
