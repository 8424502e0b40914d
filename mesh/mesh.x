/* Membership and configuration distribution: the gossip datagram, and the RPC
 * program between nodes and control hosts. Decoders refuse messages that
 * exceed the limits below. */

const MESH_NAME_MAX_BYTES = 63;
const MESH_IP_MAX_BYTES = 16;
const MESH_DIGEST_BYTES = 32;
const MESH_DATAGRAM_MAX_BYTES = 1400;
const MESH_DATAGRAM_RECORDS_MAX = 16;
const MESH_PAYLOAD_MAX_BYTES = 1048576;
const MESH_RECORDS_MAX = 2048;
const MESH_ZONES_MAX = 32;
const MESH_BUCKETS_MAX = 16;
const MESH_HELD_REVISIONS_MAX = 1024;

/* The codecs of these two types are written by hand in mesh/wire.c: libtirpc
 * decodes the padding of a string or opaque value into a static buffer, which
 * is a data race between threads. The encoding is that of
 * string<MESH_NAME_MAX_BYTES> and opaque<MESH_PAYLOAD_MAX_BYTES>. */
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

/* An address: 4 bytes for IPv4, 16 for IPv6; no bytes and port 0 if the member
 * has no such endpoint. */
struct mesh_endpoint {
    opaque ip<MESH_IP_MAX_BYTES>;
    unsigned int port;
};

/* The encoded struct bb_member; role, state and upstream_state are the values
 * of its enums. */
struct mesh_record {
    mesh_name host;
    mesh_name zone;
    mesh_name region;
    unsigned int role;
    mesh_endpoint http_address;
    mesh_endpoint rpc_address;
    mesh_endpoint gossip_address;
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

/* Time since any process of the sender's zone last received a datagram from
 * the given zone. */
struct mesh_zone_age {
    mesh_name zone;
    unsigned int age_ms;
};

enum mesh_datagram_kind {
    MESH_PING = 1,
    MESH_PING_REQ = 2,
    MESH_ACK = 3
};

/* A gossip datagram. The first record is the sender's own. An ACK repeats the
 * number of the ping that it acknowledges. The target of a PING_REQ is the
 * host to ping for the sender; that of an ACK is the host that is alive. The
 * digests cover the sender's table and the held revisions of its zone. */
struct mesh_datagram {
    mesh_datagram_kind kind;
    unsigned int ping_number;
    mesh_name target_host;
    unsigned hyper highest_revision;
    unsigned hyper table_digest;
    unsigned hyper held_digest;
    mesh_zone_age ages<MESH_ZONES_MAX>;
    mesh_record records<MESH_DATAGRAM_RECORDS_MAX>;
};

/* Result of OFFER: OK, STALE or NEED_SNAPSHOT; of FETCH: OK, BUSY or NONE. */
enum mesh_result {
    /* OFFER: the payload is queued, but not applied yet. FETCH: the response
     * contains the payload. */
    MESH_OK = 0,
    /* The receiver holds the offered revision or a newer one. */
    MESH_STALE = 1,
    /* The receiver does not hold the base of the delta. */
    MESH_NEED_SNAPSHOT = 2,
    /* The rate limit is reached; retry after retry_after_ms. */
    MESH_BUSY = 3,
    /* The responder holds no newer revision than the requester. */
    MESH_NOTHING_NEWER = 4
};

/* A full bundle (snapshot), or a delta against the base revision. The digest
 * is that of the resulting configuration. As an OFFER argument it may be at
 * most 252 KiB (see mesh/rpc_client.c); larger ones can only be fetched. */
struct mesh_offer {
    mesh_name from_host;
    unsigned hyper revision;
    opaque digest[MESH_DIGEST_BYTES];
    bool is_delta;
    unsigned hyper base_revision;
    mesh_bytes payload;
};

struct mesh_offer_response {
    mesh_result result;
    unsigned hyper held_revision;
};

/* have_revision is 0 to request a snapshot. */
struct mesh_fetch_request {
    mesh_name from_host;
    unsigned hyper have_revision;
};

/* The offer is set only with MESH_OK (but its from_host always),
 * retry_after_ms only with MESH_BUSY. */
struct mesh_fetch_response {
    mesh_result result;
    unsigned int retry_after_ms;
    unsigned hyper held_revision;
    mesh_offer offer;
};

/* The lowest revision in force on the live members of a zone, with their
 * number and a digest of their names and incarnations. Sent to other regions
 * in place of one record a node, to save traffic between regions. */
struct mesh_zone_floor {
    mesh_name zone;
    unsigned int member_count;
    unsigned hyper live_members_digest;
    unsigned hyper lowest_applied_revision;
};

/* The highest revision that a host is known to have held. Kept after the
 * host's record has expired. */
struct mesh_held_revision {
    mesh_name host;
    unsigned hyper revision;
};

/* Records of the sender's table that changed since its last report to the
 * receiver, or that differed in a synchronisation. Receivers evaluate held,
 * but no sender fills it. */
struct mesh_report_request {
    mesh_name from_host;
    unsigned hyper highest_revision;
    mesh_zone_floor floors<MESH_ZONES_MAX>;
    mesh_held_revision held<MESH_HELD_REVISIONS_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

struct mesh_report_response {
    unsigned hyper highest_revision;
};

/* Digests of the records and of the held revisions of one zone. Buckets are
 * sent in the second round only: those of the records, then those of the held
 * revisions. */
struct mesh_zone_digest {
    mesh_name zone;
    unsigned hyper records_digest;
    unsigned hyper held_digest;
    unsigned hyper buckets<MESH_BUCKETS_MAX>;
};

/* One round of anti-entropy; see mesh/sync.c. */
struct mesh_sync_request {
    mesh_name from_host;
    bool compare_held_revisions;
    unsigned hyper highest_revision;
    mesh_zone_digest zones<MESH_ZONES_MAX>;
};

/* The zones whose digests differ. If the request had buckets, also the records
 * of the buckets that differ. is_authoritative is true if the responder is a
 * control host that has synchronised with an authoritative one of its region
 * or has run for AUTHORITATIVE_AFTER_US (mesh/rpc_handlers.c). */
struct mesh_sync_response {
    bool is_authoritative;
    unsigned hyper highest_revision;
    mesh_zone_digest zones<MESH_ZONES_MAX>;
    mesh_held_revision held<MESH_HELD_REVISIONS_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

/* The own record of the requester. */
struct mesh_join_request {
    mesh_record record;
};

/* held_revision is the highest one that the responder knows the requester to
 * have held. is_authoritative is true if the responder, a node or a control
 * host, knew the requester before, or if it is as in mesh_sync_response. */
struct mesh_join_response {
    bool is_authoritative;
    unsigned hyper held_revision;
    unsigned hyper highest_revision;
    mesh_record records<MESH_RECORDS_MAX>;
};

program MESH_PROGRAM {
    version MESH_VERSION {
        mesh_offer_response MESH_OFFER(mesh_offer) = 1;
        mesh_fetch_response MESH_FETCH(mesh_fetch_request) = 2;
        mesh_report_response MESH_REPORT(mesh_report_request) = 3;
        mesh_sync_response MESH_SYNC(mesh_sync_request) = 4;
        mesh_join_response MESH_JOIN(mesh_join_request) = 5;
    } = 1;
} = 0x20000b02;
