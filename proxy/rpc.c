/* RPC program of mesh/peer_protocol.x: QUERY, CANCEL and CLAIM between nodes.
 * libtirpc passes no context to handlers, so the registered proxy is global; a
 * process has one RPC server. */
#include <string.h>

#include "common/clock.h"
#include "peer_protocol.h"
#include "proxy/internal.h"

enum {
    CALL_TIMEOUT_MS = 400, /* of QUERY and CLAIM */
    CANCEL_TIMEOUT_MS = 500
};

static _Atomic(struct bb_proxy *) registered_proxy;

/* Serves QUERY: returns the state of a request at this node's gatekeeper. */
static void
serve_query(struct bb_proxy *p, SVCXPRT *transport)
{
    bb_peer_query q = {0};
    bb_peer_query_response response = {0};
    struct bb_request_id id;

    if (!svc_getargs(transport, (xdrproc_t)xdr_bb_peer_query, (char *)&q)) {
        svcerr_decode(transport);
        return;
    }
    memcpy(id.bytes, q.id, sizeof(id.bytes));
    response.result =
        (u_int)bb_gatekeeper_query(p->gatekeeper, &id, q.incarnation);
    (void)svc_sendreply(transport, (xdrproc_t)xdr_bb_peer_query_response,
                        (char *)&response);
}

/* Serves CANCEL: cancels a request at this node's gatekeeper. The response
 * only says that the call was received. */
static void
serve_cancel(struct bb_proxy *p, SVCXPRT *transport)
{
    bb_peer_id raw = {0};
    struct bb_request_id id;
    bool_t is_received = TRUE;

    if (!svc_getargs(transport, (xdrproc_t)xdr_bb_peer_id, (char *)raw)) {
        svcerr_decode(transport);
        return;
    }
    memcpy(id.bytes, raw, sizeof(id.bytes));
    bb_proxy_cancel_local(p, &id);
    (void)svc_sendreply(transport, (xdrproc_t)xdr_bool, (char *)&is_received);
}

/* Serves CLAIM: processes a claim at this node's witness. */
static void
serve_claim(struct bb_proxy *p, SVCXPRT *transport)
{
    bb_peer_claim c = {0};
    bb_peer_claim_response encoded = {0};
    struct bb_witness_response response;
    struct bb_request_id key;
    struct bb_claim claim;

    if (!svc_getargs(transport, (xdrproc_t)xdr_bb_peer_claim, (char *)&c)) {
        svcerr_decode(transport);
        return;
    }
    memcpy(key.bytes, c.key, sizeof(key.bytes));
    claim = (struct bb_claim){.attempt = c.attempt,
                              .gatekeeper = c.gatekeeper,
                              .incarnation = c.incarnation};
    memcpy(claim.request.bytes, c.id, sizeof(c.id));
    response = bb_claims_process_claim(p->claims, &key, &claim, c.epoch);
    encoded.result = (u_int)response.result;
    encoded.epoch = response.epoch;
    encoded.attempt = response.held.attempt;
    encoded.gatekeeper = response.held.gatekeeper;
    encoded.incarnation = response.held.incarnation;
    memcpy(encoded.id, response.held.request.bytes, sizeof(encoded.id));
    (void)svc_sendreply(transport, (xdrproc_t)xdr_bb_peer_claim_response,
                        (char *)&encoded);
}

/* Dispatches a call to its procedure. */
static void
dispatch(struct svc_req *request, SVCXPRT *transport)
{
    struct bb_proxy *p = atomic_load(&registered_proxy);

    if (p == NULL) {
        svcerr_systemerr(transport);
        return;
    }
    switch (request->rq_proc) {
    case NULLPROC:
        (void)svc_sendreply(transport, (xdrproc_t)(void (*)(void))xdr_void,
                            NULL);
        break;
    case BB_PEER_QUERY:
        serve_query(p, transport);
        break;
    case BB_PEER_CANCEL:
        serve_cancel(p, transport);
        break;
    case BB_PEER_CLAIM:
        serve_claim(p, transport);
        break;
    default:
        svcerr_noproc(transport);
        break;
    }
}

/* Registers the RPC program with the process's RPC server. Must be called
 * before the server starts. Returns false with the server's error on failure.
 */
bool
bb_proxy_register_rpc(struct bb_proxy *p, struct bb_rpc_server *server,
                      struct bb_error *e)
{
    atomic_store(&registered_proxy, p);
    return bb_rpc_server_register_program(server, BB_PEER_PROGRAM,
                                          BB_PEER_VERSION, dispatch, e);
}

/* Stops serving calls for a proxy that is being destroyed. */
void
bb_peer_rpc_unregister(const struct bb_proxy *p)
{
    struct bb_proxy *expected = (struct bb_proxy *)p;

    (void)atomic_compare_exchange_strong(&registered_proxy, &expected, NULL);
}

/* Queries the gatekeeper of an attempt at another node for the state of the
 * request. Uses a new connection. Returns false if there was no valid
 * response. */
bool
bb_peer_rpc_query(struct bb_exchange *x, const struct bb_attempt *attempt,
                  enum bb_query_result *result)
{
    bb_peer_query q = {.incarnation = x->is_idempotent ? BB_INCARNATION_ANY
                                                       : attempt->incarnation};
    bb_peer_query_response response = {0};
    const struct bb_rpc_call call = {
        .program = BB_PEER_PROGRAM,
        .version = BB_PEER_VERSION,
        .procedure = BB_PEER_QUERY,
        .argument_codec = (xdrproc_t)xdr_bb_peer_query,
        .argument = &q,
        .result_codec = (xdrproc_t)xdr_bb_peer_query_response,
        .result = &response,
        .timeout_ms = CALL_TIMEOUT_MS,
        .use_new_connection = true,
    };
    struct bb_error e = {0};

    memcpy(q.id, x->id.bytes, sizeof(q.id));
    if (x->proxy->settings.rpc == NULL ||
        !bb_rpc_pool_call(x->proxy->settings.rpc,
                          &attempt->gatekeeper->rpc_address, &call, &e) ||
        response.result > BB_QUERY_FULL) {
        return false;
    }
    *result = (enum bb_query_result)response.result;
    return true;
}

/* Sends a claim to the witness at another node. Returns false if there was no
 * valid response. */
bool
bb_peer_rpc_claim(struct bb_proxy *p, const struct bb_address *to,
                  const struct bb_request_id *key,
                  const struct bb_claim *claim, uint64_t epoch,
                  struct bb_witness_response *out)
{
    bb_peer_claim c = {
        .attempt = claim->attempt,
        .gatekeeper = claim->gatekeeper,
        .incarnation = claim->incarnation,
        .epoch = epoch,
    };
    bb_peer_claim_response encoded = {0};
    const struct bb_rpc_call call = {
        .program = BB_PEER_PROGRAM,
        .version = BB_PEER_VERSION,
        .procedure = BB_PEER_CLAIM,
        .argument_codec = (xdrproc_t)xdr_bb_peer_claim,
        .argument = &c,
        .result_codec = (xdrproc_t)xdr_bb_peer_claim_response,
        .result = &encoded,
        .timeout_ms = CALL_TIMEOUT_MS,
    };

    memcpy(c.key, key->bytes, sizeof(c.key));
    memcpy(c.id, claim->request.bytes, sizeof(c.id));
    if (p->settings.rpc == NULL ||
        !bb_rpc_pool_call(p->settings.rpc, to, &call, NULL) ||
        encoded.result >= BB_WITNESS_UNREACHABLE) {
        return false;
    }
    *out = (struct bb_witness_response){
        .result = (enum bb_witness_result)encoded.result,
        .epoch = encoded.epoch,
        .held = {.attempt = encoded.attempt,
                 .gatekeeper = encoded.gatekeeper,
                 .incarnation = encoded.incarnation},
    };
    memcpy(out->held.request.bytes, encoded.id, sizeof(encoded.id));
    return true;
}

/* A CANCEL to be sent by a worker. */
struct cancellation {
    struct bb_work work;
    struct bb_proxy *proxy;
    struct bb_address rpc_address;
    bb_peer_id id;
};

/* Sends a CANCEL. Failures are ignored, since a lost one only wastes work. */
static void
run_cancel(void *context)
{
    struct cancellation *c = context;
    bool_t is_received = FALSE;
    const struct bb_rpc_call call = {
        .program = BB_PEER_PROGRAM,
        .version = BB_PEER_VERSION,
        .procedure = BB_PEER_CANCEL,
        .argument_codec = (xdrproc_t)xdr_bb_peer_id,
        .argument = c->id,
        .result_codec = (xdrproc_t)xdr_bool,
        .result = &is_received,
        .timeout_ms = CANCEL_TIMEOUT_MS,
    };

    (void)bb_rpc_pool_call(c->proxy->settings.rpc, &c->rpc_address, &call,
                           NULL);
    bb_workers_finish(c->proxy->workers, &c->work);
    g_free(c);
}

/* Cancels a request at another node without waiting. Does nothing if no worker
 * is free. */
void
bb_peer_rpc_cancel(struct bb_proxy *p, const struct bb_address *to,
                   const struct bb_request_id *id)
{
    struct cancellation *c;

    if (p->settings.rpc == NULL) {
        return;
    }
    c = g_new0(struct cancellation, 1);
    c->proxy = p;
    c->rpc_address = *to;
    memcpy(c->id, id->bytes, sizeof(c->id));
    c->work = (struct bb_work){
        .run = run_cancel, .context = c, .depth = BB_CALL_DEPTH_MAX};
    if (!bb_workers_submit(p->workers, &c->work, bb_clock_now_us())) {
        g_free(c);
    }
}

/* Cancels a request at this node's gatekeeper: in its queue, or at the
 * upstream without waiting for the result. */
void
bb_proxy_cancel_local(struct bb_proxy *p, const struct bb_request_id *id)
{
    struct bb_address upstream;
    struct bb_http_call_params request;
    struct bb_headers *h;
    struct bb_notifier *n;
    char text[BB_ID_TEXT_BYTES];
    char *url;

    if (!bb_gatekeeper_cancel(p->gatekeeper, id, &upstream) ||
        upstream.port == 0) {
        return;
    }
    h = bb_headers_create();
    n = bb_notifier_create();
    url = g_strdup_printf("/v1/cancel?id=%s", bb_id_format(id, text));
    request = (struct bb_http_call_params){
        .peer_address = upstream,
        .method = "POST",
        .url = url,
        .headers = h,
        .read_timeout_s = 1,
        .idle_timeout_ms = CANCEL_TIMEOUT_MS,
        .use_new_connection = true,
        .depth = BB_CALL_DEPTH_MAX,
    };
    bb_http_call_release(
        bb_http_call_start(p->client, &request, n, bb_clock_now_us()));
    g_free(url);
    bb_notifier_unref(n);
}
