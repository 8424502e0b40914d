/* RPC between the proxies of two nodes about single requests: whether a
 * request has run (QUERY), its cancellation (CANCEL), and the claim of an
 * idempotency key at a witness (CLAIM). */

const BB_PEER_ID_BYTES = 16;

typedef opaque bb_peer_id[BB_PEER_ID_BYTES];

struct bb_peer_query {
    bb_peer_id id; /* of the request */
    /* Of the gatekeeper that was to run the request (process lifetime); 0
     * (BB_INCARNATION_ANY) for any. */
    unsigned hyper incarnation;
};

struct bb_peer_query_response {
    unsigned int result; /* enum bb_query_result */
};

/* A struct bb_claim (decide/claim.h) for a key. */
struct bb_peer_claim {
    bb_peer_id key;             /* the claimed idempotency key */
    bb_peer_id id;              /* of the request */
    unsigned int attempt;       /* from 1 */
    unsigned hyper gatekeeper;  /* hash of the name of the host that is to
                                 * run the request */
    unsigned hyper incarnation; /* of the gatekeeper (process lifetime) */
    unsigned hyper epoch;       /* of the requester's witness roster */
};

/* The last four fields are the claim that the witness holds for the key. */
struct bb_peer_claim_response {
    unsigned int result;        /* enum bb_witness_result */
    unsigned hyper epoch;       /* of the roster adopted by the witness */
    bb_peer_id id;              /* of the request */
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation; /* of the gatekeeper */
};

program BB_PEER_PROGRAM {
    version BB_PEER_VERSION {
        bb_peer_query_response BB_PEER_QUERY(bb_peer_query) = 1;
        /* Always true: the call was received. */
        bool BB_PEER_CANCEL(bb_peer_id) = 2;
        bb_peer_claim_response BB_PEER_CLAIM(bb_peer_claim) = 3;
    } = 1;
} = 0x20000B03;
