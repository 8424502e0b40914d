/* Claims the key of a keyed request at its witnesses before the request is
 * sent, and joins the claim that already holds the key, if any. */
#include <string.h>

#include "common/clock.h"
#include "proxy/internal.h"

/* Returns the gatekeeper of the service at the host with this key, even if its
 * upstream is unusable, or NULL. */
static const struct bb_table_gatekeeper *
find_gatekeeper(const struct bb_exchange *x, uint64_t host_key)
{
    for (uint32_t i = 0; i < x->service->gatekeeper_count; i++) {
        if (bb_host_key(x->service->gatekeepers[i].host) == host_key) {
            return &x->service->gatekeepers[i];
        }
    }
    return NULL;
}

/* Sends the claim to one witness, by RPC unless it is this node's. */
static struct bb_witness_response
send_claim(struct bb_exchange *x, const struct bb_claim_requester *q,
           uint64_t witness_host_key)
{
    struct bb_witness_response response = {.result = BB_WITNESS_UNREACHABLE};
    const struct bb_table_gatekeeper *g;

    if (witness_host_key == bb_host_key(x->proxy->host)) {
        return bb_claims_process_claim(x->proxy->claims, &q->key, &q->wanted,
                                       q->epoch);
    }
    g = find_gatekeeper(x, witness_host_key);
    if (g == NULL || !bb_peer_rpc_claim(x->proxy, &g->rpc_address, &q->key,
                                        &q->wanted, q->epoch, &response)) {
        response.result = BB_WITNESS_UNREACHABLE;
    }
    return response;
}

/* Claims the key of an exchange for the gatekeeper of an attempt. On success
 * returns BB_OUTCOME_NONE; the attempt then targets the gatekeeper that holds
 * the claim, and the exchange has the request id of that claim. Otherwise
 * returns a refusal. */
struct bb_outcome
bb_exchange_claim_key(struct bb_exchange *x, struct bb_attempt *attempt)
{
    struct bb_outcome o = {.kind = BB_OUTCOME_REFUSED,
                           .reason = BB_REASON_KEY_OWNER_UNAVAILABLE,
                           .ran = BB_RAN_NO};
    struct bb_claim wanted = {
        .request = x->id,
        .attempt = x->claim_attempt + 1,
        .gatekeeper = attempt->host_key,
        .incarnation = attempt->gatekeeper->incarnation,
    };
    struct bb_claim_requester q;
    struct bb_claim held = {0};
    enum bb_claim_step step;

    if (!bb_claims_prepare(x->proxy->claims, x->service_name,
                           &x->idempotency_key, &wanted, &q)) {
        return o;
    }
    step = bb_claim_step(&q, &held, &o.reason);
    for (uint32_t i = 0; i < q.witness_count && step == BB_CLAIM_WAIT; i++) {
        struct bb_witness_response response =
            send_claim(x, &q, q.witnesses[i]);

        (void)bb_claim_add_response(&q, q.witnesses[i], &response);
        step = bb_claim_step(&q, &held, &o.reason);
    }
    if (step != BB_CLAIM_RUN && step != BB_CLAIM_JOIN) {
        return o;
    }
    if (step == BB_CLAIM_JOIN) {
        attempt->gatekeeper = find_gatekeeper(x, held.gatekeeper);
        if (attempt->gatekeeper == NULL) {
            o.reason = BB_REASON_CONNECTION_LOST;
            o.ran = BB_RAN_UNKNOWN;
            return o;
        }
        attempt->is_local = attempt->gatekeeper->is_local;
        x->id = held.request;
        (void)bb_id_format(&x->id, x->id_text);
    }
    x->claim_attempt = held.attempt;
    attempt->incarnation = held.incarnation;
    o.kind = BB_OUTCOME_NONE;
    return o;
}

/* Queries a gatekeeper, at this node or another, for the state of the claimed
 * request. The query names the incarnation of the claim, because a restarted
 * process does not know what an earlier one ran. A gatekeeper that never saw
 * the id refuses it from then on. Returns false if there was no response. */
bool
bb_exchange_query_gatekeeper(struct bb_exchange *x,
                             const struct bb_table_gatekeeper *g,
                             uint64_t incarnation,
                             enum bb_query_result *result)
{
    const struct bb_attempt attempt = {.gatekeeper = g,
                                       .incarnation = incarnation};

    if (g->is_local) {
        *result =
            bb_gatekeeper_query(x->proxy->gatekeeper, &x->id, incarnation);
        return true;
    }
    return bb_peer_rpc_query(x, &attempt, result);
}
