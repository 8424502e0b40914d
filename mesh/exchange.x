/* RPC between the proxies of two nodes about single requests: whether a
 * request has run (QUERY), its cancellation (CANCEL), and the claim of a
 * request key at a witness (CLAIM). */

const BB_XDR_ID_BYTES = 16;

typedef opaque bb_xdr_id[BB_XDR_ID_BYTES];

struct bb_xdr_query {
    bb_xdr_id id;
    unsigned hyper incarnation;
};

struct bb_xdr_query_response {
    unsigned int result; /* enum bb_query_result */
};

/* A struct bb_claim (decide/claim.h) for a key. */
struct bb_xdr_claim {
    bb_xdr_id key;              /* the claimed request key */
    bb_xdr_id id;               /* of the request */
    unsigned int attempt;       /* from 1 */
    unsigned hyper gatekeeper;  /* hash of the name of the host that is to
                                 * run the request */
    unsigned hyper incarnation; /* of the gatekeeper (process lifetime) */
    unsigned hyper epoch;       /* of the requester's witness roster */
};

struct bb_xdr_claim_response {
    unsigned int result; /* enum bb_witness_result */
    unsigned hyper epoch; /* of the witness */
    bb_xdr_id id; /* of the claim that the witness holds */
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation;
};

program BB_PEER_PROGRAM {
    version BB_PEER_VERSION {
        bb_xdr_query_response BB_PEER_QUERY(bb_xdr_query) = 1;
        /* Always true: the call was received. */
        bool BB_PEER_CANCEL(bb_xdr_id) = 2;
        bb_xdr_claim_response BB_PEER_CLAIM(bb_xdr_claim) = 3;
    } = 1;
} = 0x20000B03;
