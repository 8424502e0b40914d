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

struct bb_xdr_claim {
    bb_xdr_id key;
    bb_xdr_id id;
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation;
    unsigned hyper epoch;
};

struct bb_xdr_claim_response {
    unsigned int result; /* enum bb_witness_result */
    unsigned hyper epoch;
    bb_xdr_id id; /* of the claim that the witness holds */
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation;
};

program BB_PEER_PROGRAM {
    version BB_PEER_VERSION {
        bb_xdr_query_response BB_PEER_QUERY(bb_xdr_query) = 1;
        bool BB_PEER_CANCEL(bb_xdr_id) = 2;
        bb_xdr_claim_response BB_PEER_CLAIM(bb_xdr_claim) = 3;
    } = 1;
} = 0x20000B03;
