/* Claims before a keyed request is sent: asks the witnesses of its key, and
 * follows the claim that holds the key. */
#include <string.h>

#include "common/clock.h"
#include "proxy/internal.h"

/* Returns a gatekeeper of the service by key, usable or not. */
static const struct bb_endpoint *
find_gatekeeper(const struct bb_exchange *x, uint64_t key)
{
    for (uint32_t i = 0; i < x->service->gatekeeper_count; i++) {
        if (bb_hash_host(x->service->gatekeepers[i].host) == key) {
            return &x->service->gatekeepers[i];
        }
    }
    return NULL;
}

/* Asks one witness. */
static struct bb_witness_answer
ask_witness(struct bb_exchange *x, const struct bb_claim_requester *q,
            uint64_t witness)
{
    struct bb_witness_answer a = {.result = BB_WITNESS_UNREACHABLE};
    const struct bb_endpoint *e;

    if (witness == bb_hash_host(x->proxy->host)) {
        return bb_claims_request(x->proxy->claims, &q->key, &q->wanted,
                                 q->epoch);
    }
    e = find_gatekeeper(x, witness);
    if (e == NULL || !bb_rpc_claim(x->proxy, &e->rpc_address, &q->key,
                                   &q->wanted, q->epoch, &a)) {
        a.result = BB_WITNESS_UNREACHABLE;
    }
    return a;
}

/* Claims the key of an exchange for the gatekeeper of a attempt. On success
 * the attempt points at the gatekeeper where the request may run, under the id
 * of the claim that holds the key; otherwise the result is a refusal. */
struct bb_outcome
bb_exchange_claim_key(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_outcome o = {.kind = BB_OUTCOME_REFUSED,
                           .reason = BB_REASON_KEY_OWNER_UNAVAILABLE,
                           .ran = BB_RAN_NO};
    struct bb_claim wanted = {
        .request = x->id,
        .attempt = x->claim_attempt + 1,
        .gatekeeper = attempt->gatekeeper_key,
        .incarnation = attempt->endpoint->incarnation,
    };
    struct bb_claim_requester q;
    struct bb_claim held = {0};
    enum bb_claim_step step;

    if (!bb_claims_try_start(x->proxy->claims, x->service_name, &x->key,
                             &wanted, &q)) {
        return o;
    }
    step = bb_claim_step(&q, &held, &o.reason);
    for (uint32_t i = 0; i < q.witness_count && step == BB_CLAIM_ASK; i++) {
        struct bb_witness_answer a = ask_witness(x, &q, q.witnesses[i]);

        (void)bb_claim_answer(&q, q.witnesses[i], &a);
        step = bb_claim_step(&q, &held, &o.reason);
    }
    if (step != BB_CLAIM_RUN && step != BB_CLAIM_JOIN) {
        return o;
    }
    if (step == BB_CLAIM_JOIN) {
        attempt->endpoint = find_gatekeeper(x, held.gatekeeper);
        if (attempt->endpoint == NULL) {
            o.reason = BB_REASON_CONNECTION_LOST;
            o.ran = BB_RAN_UNKNOWN;
            return o;
        }
        attempt->is_local = attempt->endpoint->is_own;
        x->id = held.request;
        (void)bb_id_format(&x->id, x->id_text);
    }
    x->claim_attempt = held.attempt;
    attempt->incarnation = held.incarnation;
    o.kind = BB_OUTCOME_NONE;
    return o;
}

/* Asks the gatekeeper of a claim what became of the request. The question
 * names the incarnation of the claim: the process that runs there at present
 * may never have seen a request that an earlier one ran. An id that this
 * incarnation has not seen is refused for good by the question. False if there
 * was no answer. */
bool
bb_exchange_query_claim(struct bb_exchange *x, const struct bb_endpoint *e,
                        uint64_t incarnation, enum bb_query_result *result)
{
    const struct bb_attempt attempt = {.endpoint = e,
                                       .incarnation = incarnation};

    if (e->is_own) {
        *result =
            bb_gatekeeper_query(x->proxy->gatekeeper, &x->id, incarnation);
        return true;
    }
    return bb_rpc_query(x, &attempt, result);
}
