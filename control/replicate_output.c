/* Carries out the output of the consensus protocol: sends messages and their
 * payloads, delivers revisions that come into force, responds to proposals. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "replicate_internal.h"

BB_COUNTER(inlined_total, "baobab_agree_payloads_inlined_total",
           "Payloads sent along with a message to another region");
BB_COUNTER(delivered_total, "baobab_agree_revisions_total",
           "Revisions that came into force here");

/* Returns whether a payload is stored; true for the zero digest, which means
 * no payload. Caches the last ones found, as each look-up reads and hashes the
 * file. */
bool
replicate_is_payload_stored(struct bb_replicate *r, const struct bb_digest *d)
{
    if (bb_digest_is_zero(d)) {
        return true;
    }
    for (uint32_t i = 0; i < REPLICATE_STORED_DIGESTS_MAX; i++) {
        if (bb_digest_equal(&r->stored_digests[i], d)) {
            return true;
        }
    }
    if (!bb_store_has_payload(r->store, d)) {
        return false;
    }
    r->stored_digests[r->stored_next++ % REPLICATE_STORED_DIGESTS_MAX] = *d;
    return true;
}

/* Returns the RPC procedure that carries a kind of message. */
static uint32_t
procedure_for_kind(uint8_t kind)
{
    switch ((enum bb_agree_message_kind)kind) {
    case BB_AGREE_IDENTITY:
    case BB_AGREE_IDENTITY_RESPONSE:
        return AGREE_IDENTITY;
    case BB_AGREE_FORM:
        return AGREE_FORM;
    case BB_AGREE_APPEND:
    case BB_AGREE_APPEND_RESPONSE:
    case BB_AGREE_SNAPSHOT:
        return AGREE_APPEND;
    case BB_AGREE_PRE_VOTE:
    case BB_AGREE_PRE_VOTE_RESPONSE:
    case BB_AGREE_VOTE:
    case BB_AGREE_VOTE_RESPONSE:
    case BB_AGREE_MESSAGE_KIND_COUNT:
    default:
        return AGREE_VOTE;
    }
}

/* Returns the number of a host in a region that has an entry's payload because
 * it proposed it, or BB_AGREE_NO_HOST. e may be NULL. */
static uint8_t
find_origin_in_region(const struct bb_replicate *r, const char *region,
                      const struct bb_agree_entry *e)
{
    for (uint32_t i = 0; e != NULL && i < REPLICATE_ORIGINS_MAX; i++) {
        const struct replicate_payload_origin *o = &r->payload_origins[i];

        if (bb_digest_equal(&o->digest, &e->digest) &&
            strcmp(r->hosts[o->payload_host].region, region) == 0) {
            return o->payload_host;
        }
    }
    return BB_AGREE_NO_HOST;
}

/* Returns the number of the host of a region that is sent payloads inline: the
 * first one from which a message arrived recently, or else the first one. */
static uint8_t
choose_inline_host(const struct bb_replicate *r, const char *region)
{
    uint64_t now_us = bb_clock_now_us();
    uint8_t first = BB_AGREE_NO_HOST;

    for (uint8_t h = 0; h < r->host_count; h++) {
        if (strcmp(r->hosts[h].region, region) != 0) {
            continue;
        }
        if (now_us < r->agree.last_heard_us[h] + REPLICATE_ALIVE_TIMEOUT_US) {
            return h;
        }
        first = first == BB_AGREE_NO_HOST ? h : first;
    }
    return first;
}

/* Returns whether a payload was sent inline to a host recently. */
static bool
was_inlined(const struct bb_replicate *r, uint8_t host,
            const struct bb_digest *d)
{
    for (uint32_t i = 0; i < REPLICATE_INLINED_DIGESTS_MAX; i++) {
        if (bb_digest_equal(&r->inlined_digests[host][i], d)) {
            return true;
        }
    }
    return false;
}

/* Adds the payload of an entry to a message, unless it is too large. */
static void
attach_payload(struct bb_replicate *r, uint8_t host,
               const struct bb_agree_entry *e, agree_envelope *envelope)
{
    size_t size = 0;
    void *data = bb_store_get_payload(r->store, &e->digest, &size, NULL);

    if (data == NULL || size > BB_REPLICATE_INLINE_PAYLOAD_MAX_BYTES) {
        g_free(data); /* the receiver fetches it */
        return;
    }
    r->inlined_digests[host][r->inlined_next[host]++ %
                             REPLICATE_INLINED_DIGESTS_MAX] = e->digest;
    envelope->payload.payload_val = data;
    envelope->payload.payload_len = (u_int)size;
    bb_counter_add(&inlined_total, 1);
}

/* Chooses how the receiver of an append gets the payload, so that only one
 * copy crosses the paid link between regions. Hosts of the leader's region
 * fetch it from the leader. Those of another region fetch it from the host
 * that proposed it, or else one host gets it inline and the others fetch it
 * from that one. */
static void
choose_payload_source(struct bb_replicate *r, const struct bb_agree_message *m,
                      agree_envelope *envelope)
{
    const char *region = r->hosts[m->to].region;
    const struct bb_agree_entry *last = NULL;
    uint8_t origin;
    uint8_t host;

    for (uint8_t i = 0; i < m->count; i++) {
        if (m->body.entries[i].kind == BB_AGREE_CONFIG) {
            last = &m->body.entries[i];
        }
    }
    if (strcmp(region, r->region) == 0) {
        return;
    }
    origin = find_origin_in_region(r, region, last);
    host = origin != BB_AGREE_NO_HOST ? origin : choose_inline_host(r, region);
    if (host != m->to) {
        envelope->payload_host = host;
    }
    else if (origin == BB_AGREE_NO_HOST && last != NULL) {
        if (was_inlined(r, m->to, &last->digest)) {
            /* The bulk sender may still be sending it: the receiver waits for
             * it before it asks the leader. */
            envelope->payload_host = m->to;
        }
        else {
            attach_payload(r, m->to, last, envelope);
        }
    }
}

/* Queues a message for its receiver; one with a payload goes to the bulk
 * sender. */
void
replicate_send_message(struct bb_replicate *r,
                       const struct bb_agree_message *m)
{
    struct replicate_outgoing_call *call =
        g_new0(struct replicate_outgoing_call, 1);
    struct bb_agree_config committed = bb_agree_committed_config(&r->agree);
    agree_envelope *envelope = &call->envelope;

    call->procedure = procedure_for_kind(m->kind);
    envelope->control_hosts_hash = r->control_hosts_hash;
    envelope->payload_host = r->own_host;
    bb_agree_encode_message(m, &envelope->message);
    if (m->kind == BB_AGREE_APPEND || m->kind == BB_AGREE_SNAPSHOT) {
        memcpy(envelope->in_force_digest, committed.digest.bytes,
               BB_DIGEST_BYTES);
        choose_payload_source(r, m, envelope);
    }
    replicate_queue_call(r, m->to,
                         envelope->payload.payload_len > 0
                             ? REPLICATE_SENDER_BULK
                             : REPLICATE_SENDER_URGENT,
                         call);
}

/* Passes a revision to the callback, unless it was passed before or its
 * payload is not stored. Payloads can be missing for revisions that were
 * replaced while this host was behind, and if the file was lost. */
void
replicate_deliver_revision(struct bb_replicate *r,
                           const struct bb_agree_config *c)
{
    size_t size = 0;
    void *data;

    if (c->revision <= r->delivered_revision ||
        bb_digest_is_zero(&c->digest)) {
        return;
    }
    data = bb_store_get_payload(r->store, &c->digest, &size, NULL);
    if (data == NULL) {
        return;
    }
    r->delivered_revision = c->revision;
    bb_counter_add(&delivered_total, 1);
    if (r->settings.revision_committed != NULL) {
        r->settings.revision_committed(r->settings.context, c->revision,
                                       c->version, &c->digest, data, size);
    }
    g_free(data);
}

/* Delivers the revisions that the last step committed, in order. */
void
replicate_deliver_committed(struct bb_replicate *r)
{
    const struct bb_agree_output *out = &r->output;

    if (out->must_apply_snapshot) {
        replicate_deliver_revision(r, &r->agree.durable.snapshot.in_force);
    }
    for (uint64_t i = out->apply_first_index; i <= out->apply_last_index;
         i++) {
        const struct bb_agree_entry *e = bb_agree_get_entry(&r->agree, i);

        if (e != NULL && e->kind == BB_AGREE_CONFIG) {
            replicate_deliver_revision(
                r, &(struct bb_agree_config){.revision = e->revision,
                                             .version = e->version,
                                             .digest = e->digest});
        }
    }
}

/* Completes the local call of bb_replicate_propose that waits for a ticket;
 * ignored if none does any more. */
void
replicate_complete_proposal(struct bb_replicate *r, uint64_t ticket,
                            enum bb_agree_result result, uint64_t revision)
{
    (void)pthread_mutex_lock(&r->lock);
    for (struct replicate_waiter *w = r->waiters; w != NULL; w = w->next) {
        if (w->ticket == ticket && !w->is_complete) {
            w->is_complete = true;
            w->result = result;
            w->revision = revision;
        }
    }
    (void)pthread_cond_broadcast(&r->waiter_completed);
    (void)pthread_mutex_unlock(&r->lock);
}

/* Sends the protocol's response to the host that made the proposal. */
void
replicate_send_response(struct bb_replicate *r,
                        const struct bb_agree_response *a)
{
    struct replicate_response_route *route =
        &r->response_routes[a->ticket % REPLICATE_RESPONSE_ROUTES_MAX];
    struct replicate_outgoing_call *call;
    agree_proposal_response *response;

    if (route->agree_ticket != a->ticket) {
        return; /* reused by a later proposal; the caller resends */
    }
    route->agree_ticket = 0;
    if (route->origin_host == r->own_host) {
        replicate_complete_proposal(r, route->origin_ticket, a->result,
                                    a->revision);
        return;
    }
    call = g_new0(struct replicate_outgoing_call, 1);
    call->procedure = AGREE_PROPOSE;
    call->propose.control_hosts_hash = r->control_hosts_hash;
    call->propose.body.kind = AGREE_PROPOSE_RESPONSE;
    response = &call->propose.body.agree_propose_body_u.response;
    response->ticket = route->origin_ticket;
    response->result = a->result;
    response->revision = a->revision;
    replicate_queue_call(r, route->origin_host, REPLICATE_SENDER_URGENT, call);
}
