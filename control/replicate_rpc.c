/* The ONC RPC side of the replication: the server's dispatch function, the
 * procedures of agree.x, and calls to peers. */
#include <string.h>

#include "common/counters.h"
#include "replicate_internal.h"

enum {
    /* Estimate for each direction of a call: TCP and IP headers with
     * timestamps, the record mark and the RPC header. */
    CALL_OVERHEAD_BYTES = 96
};

BB_COUNTER(other_region_bytes, "baobab_agree_other_region_bytes_total",
           "Bytes of calls to control hosts of other regions, both ways");
BB_COUNTER(dropped_total, "baobab_agree_dropped_total",
           "Messages between control hosts dropped: foreign, malformed, or "
           "too many waiting");

/* The instance that serves RPC: libtirpc passes no context to a dispatch
 * function. */
static struct bb_replicate *registered_replicate;

/* The XDR functions of a procedure. */
struct procedure_codecs {
    xdrproc_t argument_codec;
    xdrproc_t result_codec;
};

/* Space for the argument or the result of any procedure. */
union rpc_argument {
    agree_envelope envelope;
    agree_fetch_request fetch_request;
    agree_propose_message propose;
    agree_members members;
};

union rpc_result {
    agree_ack ack;
    agree_fetch_response fetched;
    agree_members members;
};

/* Fills in the XDR functions of a procedure; false if it is unknown. */
static bool
find_procedure_codecs(uint32_t number, struct procedure_codecs *p)
{
    p->argument_codec = (xdrproc_t)xdr_agree_envelope;
    p->result_codec = (xdrproc_t)xdr_agree_ack;
    switch (number) {
    case AGREE_VOTE:
    case AGREE_APPEND:
    case AGREE_FORM:
    case AGREE_IDENTITY:
        return true;
    case AGREE_FETCH_PAYLOAD:
        p->argument_codec = (xdrproc_t)xdr_agree_fetch_request;
        p->result_codec = (xdrproc_t)xdr_agree_fetch_response;
        return true;
    case AGREE_PROPOSE:
        p->argument_codec = (xdrproc_t)xdr_agree_propose_message;
        return true;
    case AGREE_EXCHANGE_MEMBERS:
        p->argument_codec = (xdrproc_t)xdr_agree_members;
        p->result_codec = (xdrproc_t)xdr_agree_members;
        return true;
    default:
        return false;
    }
}

/* Calls a procedure of a peer by ONC RPC; the context is the bb_rpc_pool.
 * Returns false if there is no result in time. */
bool
replicate_rpc_call(void *context, const struct bb_replicate_host *to,
                   uint32_t procedure, void *argument, void *result,
                   uint32_t timeout_ms)
{
    struct procedure_codecs p;
    struct bb_error e = {0};

    if (!find_procedure_codecs(procedure, &p)) {
        return false;
    }
    return bb_rpc_pool_call(
        context, &to->rpc_address,
        &(struct bb_rpc_call){.program = AGREE_PROGRAM,
                              .version = AGREE_VERSION,
                              .procedure = procedure,
                              .argument_codec = p.argument_codec,
                              .argument = argument,
                              .result_codec = p.result_codec,
                              .result = result,
                              .timeout_ms = timeout_ms},
        &e);
}

/* Counts the bytes of a call in both directions if the peer is in another
 * region. */
static void
count_region_bytes(const struct bb_replicate *r, uint8_t host,
                   uint32_t procedure, void *argument, void *result)
{
    struct procedure_codecs p;

    if (strcmp(r->hosts[host].region, r->hosts[r->own_host].region) != 0 &&
        find_procedure_codecs(procedure, &p)) {
        bb_counter_add(&other_region_bytes,
                       xdr_sizeof(p.argument_codec, argument) +
                           xdr_sizeof(p.result_codec, result) +
                           2 * CALL_OVERHEAD_BYTES);
    }
}

/* Calls a procedure of the control host with this number; false if there is no
 * result in time. The caller frees the result with xdr_free. */
bool
replicate_call_peer(struct bb_replicate *r, uint8_t host, uint32_t procedure,
                    void *argument, void *result, uint32_t timeout_ms)
{
    bool ok = r->transport.call(r->transport.context, &r->hosts[host],
                                procedure, argument, result, timeout_ms);

    if (ok) {
        count_region_bytes(r, host, procedure, argument, result);
    }
    return ok;
}

/* Queues a message for the engine. Returns false if it is malformed, comes
 * from another cluster, or too many jobs are queued. */
static bool
queue_message(struct bb_replicate *r, const agree_envelope *envelope)
{
    struct replicate_job *job;

    if (envelope->control_hosts_hash != r->control_hosts_hash ||
        replicate_queue_length(&r->job_queue) >= REPLICATE_JOBS_MAX) {
        bb_counter_add(&dropped_total, 1);
        return false;
    }
    job = g_new0(struct replicate_job, 1);
    job->kind = REPLICATE_JOB_MESSAGE;
    if (!bb_agree_decode_message(&envelope->message, &job->message) ||
        job->message.from >= r->host_count ||
        envelope->payload_host >= r->host_count) {
        bb_counter_add(&dropped_total, 1);
        replicate_free_job(job);
        return false;
    }
    job->payload_host = (uint8_t)envelope->payload_host;
    memcpy(job->in_force_digest.bytes, envelope->in_force_digest,
           BB_DIGEST_BYTES);
    job->payload_bytes = envelope->payload.payload_len;
    job->payload =
        g_memdup2(envelope->payload.payload_val, job->payload_bytes);
    replicate_free_job(
        replicate_queue_push(&r->job_queue, job, REPLICATE_JOBS_MAX));
    return true;
}

/* Responds to a fetch with a stored payload. */
static void
read_payload(struct bb_replicate *r, const agree_fetch_request *f,
             agree_fetch_response *result)
{
    struct bb_digest digest;
    size_t size = 0;
    void *data = NULL;

    memcpy(digest.bytes, f->digest, BB_DIGEST_BYTES);
    if (f->control_hosts_hash == r->control_hosts_hash) {
        data = bb_store_get_payload(r->store, &digest, &size, NULL);
    }
    result->is_found = data != NULL && size <= BB_REPLICATE_PAYLOAD_MAX_BYTES;
    if (result->is_found) {
        result->payload.payload_val = data;
        result->payload.payload_len = (u_int)size;
    }
    else {
        g_free(data);
    }
}

/* Queues a proposal for the engine, or completes a waiting one with the
 * leader's response. Returns false if the message is refused. */
static bool
accept_proposal_message(struct bb_replicate *r, const agree_propose_message *p)
{
    const agree_proposal *request = &p->body.agree_propose_body_u.proposal;
    const agree_proposal_response *response =
        &p->body.agree_propose_body_u.response;
    struct replicate_job *job;

    if (p->control_hosts_hash != r->control_hosts_hash) {
        return false;
    }
    if (p->body.kind == AGREE_PROPOSE_RESPONSE) {
        if (response->result > BB_AGREE_UNKNOWN) {
            return false;
        }
        replicate_complete_proposal(r, response->ticket,
                                    (enum bb_agree_result)response->result,
                                    response->revision);
        return true;
    }
    if (request->origin_host >= r->host_count ||
        replicate_queue_length(&r->job_queue) >= REPLICATE_JOBS_MAX) {
        return false;
    }
    job = g_new0(struct replicate_job, 1);
    job->kind = REPLICATE_JOB_PROPOSAL;
    job->origin_host = (uint8_t)request->origin_host;
    job->proposal =
        (struct bb_agree_proposal){.ticket = request->ticket,
                                   .base_revision = request->base_revision,
                                   .version = request->config_version};
    memcpy(job->proposal.digest.bytes, request->digest, BB_DIGEST_BYTES);
    job->payload_bytes = request->payload.payload_len;
    job->payload = g_memdup2(request->payload.payload_val, job->payload_bytes);
    replicate_free_job(
        replicate_queue_push(&r->job_queue, job, REPLICATE_JOBS_MAX));
    return true;
}

/* Passes membership records to the callback and fills in its response; empty
 * if the sender is not a host of this cluster. */
static void
exchange_members(struct bb_replicate *r, const agree_members *m,
                 agree_members *result)
{
    void *response = NULL;
    size_t size = 0;

    result->control_hosts_hash = r->control_hosts_hash;
    result->from_host = r->own_host;
    if (m->control_hosts_hash != r->control_hosts_hash ||
        m->from_host >= r->host_count ||
        r->settings.exchange_members == NULL) {
        return;
    }
    r->settings.exchange_members(
        r->settings.context, r->hosts[m->from_host].host,
        m->records.records_val, m->records.records_len, &response, &size);
    if (size <= AGREE_MEMBER_RECORDS_MAX_BYTES) {
        result->records.records_val = response;
        result->records.records_len = (u_int)size;
    }
    else {
        g_free(response);
    }
}

/* Runs a procedure of agree.x on a decoded argument and fills in the result,
 * which the caller frees with xdr_free. Both must have the procedure's types.
 * Returns false for an unknown procedure. May be called from any thread. */
bool
bb_replicate_dispatch(struct bb_replicate *r, uint32_t procedure,
                      void *argument, void *result)
{
    switch (procedure) {
    case AGREE_VOTE:
    case AGREE_APPEND:
    case AGREE_FORM:
    case AGREE_IDENTITY:
        ((agree_ack *)result)->is_accepted = queue_message(r, argument);
        return true;
    case AGREE_FETCH_PAYLOAD:
        read_payload(r, argument, result);
        return true;
    case AGREE_PROPOSE:
        ((agree_ack *)result)->is_accepted =
            accept_proposal_message(r, argument);
        return true;
    case AGREE_EXCHANGE_MEMBERS:
        exchange_members(r, argument, result);
        return true;
    default:
        return false;
    }
}

/* The dispatch function of the RPC server: decodes a request, runs its
 * procedure and sends the result. */
static void
dispatch_rpc_request(struct svc_req *request, SVCXPRT *transport)
{
    union rpc_argument argument = {0};
    union rpc_result result = {0};
    struct procedure_codecs p;

    if (request->rq_proc == NULLPROC) {
        (void)svc_sendreply(transport, (xdrproc_t)(void (*)(void))xdr_void,
                            NULL);
        return;
    }
    if (registered_replicate == NULL ||
        !find_procedure_codecs(request->rq_proc, &p)) {
        svcerr_noproc(transport);
        return;
    }
    if (!svc_getargs(transport, p.argument_codec, (char *)&argument)) {
        bb_counter_add(&dropped_total, 1);
        svcerr_decode(transport);
        (void)svc_freeargs(transport, p.argument_codec, (char *)&argument);
        return;
    }
    (void)bb_replicate_dispatch(registered_replicate, request->rq_proc,
                                &argument, &result);
    (void)svc_sendreply(transport, p.result_codec, (char *)&result);
    xdr_free(p.result_codec, (char *)&result);
    (void)svc_freeargs(transport, p.argument_codec, (char *)&argument);
}

/* Adds the program of agree.x to an RPC server that is not started yet. The
 * server must be destroyed before r. A process can serve only one
 * bb_replicate, the last one registered. Returns false and sets *e if the
 * server refuses the program. */
bool
bb_replicate_register_rpc(struct bb_replicate *r, struct bb_rpc_server *s,
                          struct bb_error *e)
{
    registered_replicate = r;
    return bb_rpc_server_register_program(s, AGREE_PROGRAM, AGREE_VERSION,
                                          dispatch_rpc_request, e);
}

/* Stops serving RPC for a bb_replicate that is about to be freed. */
void
replicate_unregister(const struct bb_replicate *r)
{
    if (registered_replicate == r) {
        registered_replicate = NULL;
    }
}
