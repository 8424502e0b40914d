/* Membership and configuration distribution: the gossip datagram, and the RPC
 * program between nodes and control hosts. Decoders refuse messages that
 * exceed the limits below. */

const MESH_NAME_MAX_BYTES = 63; /* BB_NAME_BYTES without the final zero byte */
const MESH_IP_MAX_BYTES = 16;
const MESH_DIGEST_BYTES = 32; /* BB_DIGEST_BYTES */
const MESH_DATAGRAM_RECORDS_MAX = 16;
const MESH_PAYLOAD_MAX_BYTES = 1048576;
const MESH_RECORDS_MAX = 2048; /* BB_MEMBER_TABLE_ENTRIES_MAX */
const MESH_ZONES_MAX = 32; /* BB_MEMBER_TABLE_ZONES_MAX */
const MESH_ZONE_BUCKETS_MAX = 16; /* 2 * BB_MEMBER_TABLE_BUCKET_COUNT */
const MESH_MESSAGE_HELD_REVISIONS_MAX = 1024;

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

/* An IP address of 4 bytes for IPv4 or 16 for IPv6, and a port. No bytes and
 * port 0 if the member has no such address. */
struct mesh_address {
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
    mesh_address http_address;
    mesh_address rpc_address;
    mesh_address gossip_address;
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
    MESH_PING_REQUEST = 2,
    MESH_ACK = 3
};

/* A gossip datagram of at most BB_GOSSIP_DATAGRAM_MAX_BYTES. The first record
 * is the sender's own. An ACK carries the number of the ping that it
 * acknowledges. The target of a PING_REQUEST is the host to ping for the
 * sender; that of an ACK is the host that is alive. table_digest covers the
 * records of the sender's table, revisions_digest the held and applied
 * revisions of its zone. */
struct mesh_datagram {
    mesh_datagram_kind kind;
    unsigned int ping_number;
    mesh_name target_host;
    unsigned hyper highest_revision;
    unsigned hyper table_digest;
    unsigned hyper revisions_digest;
    mesh_zone_age ages<MESH_ZONES_MAX>;
    mesh_record records<MESH_DATAGRAM_RECORDS_MAX>;
};

/* OFFER returns MESH_OK, MESH_STALE or MESH_NEED_SNAPSHOT; FETCH returns
 * MESH_OK, MESH_BUSY or MESH_NOTHING_NEWER. */
enum mesh_result {
    /* OFFER: the payload is queued, but not applied yet. FETCH: the response
     * contains the payload. */
    MESH_OK = 0,
    /* The receiver holds the offered revision or a newer one, has one queued
     * to be applied, or applies no payloads (a control host). */
    MESH_STALE = 1,
    /* The receiver does not hold the base of the delta. */
    MESH_NEED_SNAPSHOT = 2,
    /* The rate limit is reached; retry after retry_after_ms. */
    MESH_BUSY = 3,
    /* The responder holds no newer revision than the requester. */
    MESH_NOTHING_NEWER = 4
};

/* A full bundle (snapshot), or a delta against the base revision. The digest
 * is that of the resulting configuration. As an OFFER argument the encoded
 * struct has at most BB_RPC_ARGUMENT_MAX_BYTES (mesh/rpc.h); larger ones can
 * only be fetched. */
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

/* held_revision is the revision that the requester holds, or 0 to request a
 * snapshot. */
struct mesh_fetch_request {
    mesh_name from_host;
    unsigned hyper held_revision;
};

/* offer is set only with MESH_OK, except offer.from_host, which is always set;
 * retry_after_ms is set only with MESH_BUSY. */
struct mesh_fetch_response {
    mesh_result result;
    unsigned int retry_after_ms;
    unsigned hyper held_revision;
    mesh_offer offer;
};

/* Summary of the live members of a zone: their number, a digest of their names
 * and incarnations, and the lowest of their applied revisions. Sent to other
 * regions instead of one record per node, to save traffic between regions. */
struct mesh_zone_summary {
    mesh_name zone;
    unsigned int member_count;
    unsigned hyper live_members_digest;
    unsigned hyper min_applied_revision;
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
    mesh_zone_summary summaries<MESH_ZONES_MAX>;
    mesh_held_revision held<MESH_MESSAGE_HELD_REVISIONS_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

struct mesh_report_response {
    unsigned hyper highest_revision;
};

/* Digests of the records of one zone and of their held and applied revisions.
 * Buckets are sent in the second round only: first the digests of the records,
 * then those of the revisions. */
struct mesh_zone_digest {
    mesh_name zone;
    unsigned hyper records_digest;
    unsigned hyper revisions_digest;
    unsigned hyper buckets<MESH_ZONE_BUCKETS_MAX>;
};

/* One round of anti-entropy; see mesh/sync.c. compare_revisions: whether the
 * digests of the revisions are compared too. */
struct mesh_sync_request {
    mesh_name from_host;
    bool compare_revisions;
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
    mesh_held_revision held<MESH_MESSAGE_HELD_REVISIONS_MAX>;
    mesh_record records<MESH_RECORDS_MAX>;
};

/* The record of the requester. */
struct mesh_join_request {
    mesh_record record;
};

/* held_revision is the highest revision that the responder knows the requester
 * to have held. is_authoritative is true if the responder, a node or a control
 * host, knew the requester before the call, or if it is an authoritative
 * control host (see mesh_sync_response). */
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
