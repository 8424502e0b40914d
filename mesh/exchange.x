/* RPC between the proxies of two nodes about single requests: whether a
 * request has run (QUERY), its cancellation (CANCEL), and the claim of a
 * request key at a witness (CLAIM). */

const BB_X_ID_BYTES = 16;

typedef opaque bb_x_id[BB_X_ID_BYTES];

struct bb_x_query {
    bb_x_id id;
    unsigned hyper incarnation;
};

struct bb_x_query_answer {
    unsigned int result; /* enum bb_query_result */
};

struct bb_x_claim {
    bb_x_id key;
    bb_x_id id;
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation;
    unsigned hyper epoch;
};

struct bb_x_claim_answer {
    unsigned int result; /* enum bb_witness_result */
    unsigned hyper epoch;
    bb_x_id id; /* of the claim that the witness holds */
    unsigned int attempt;
    unsigned hyper gatekeeper;
    unsigned hyper incarnation;
};

program BB_EXCHANGE_PROGRAM {
    version BB_EXCHANGE_VERSION {
        bb_x_query_answer BB_EXCHANGE_QUERY(bb_x_query) = 1;
        bool BB_EXCHANGE_CANCEL(bb_x_id) = 2;
        bb_x_claim_answer BB_EXCHANGE_CLAIM(bb_x_claim) = 3;
    } = 1;
} = 0x20000B03;
