/* Carries out what the quorum protocol puts out: messages with their payloads,
 * revisions that come into force, answers to proposals. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "replicate_internal.h"

BB_COUNTER(inlined_total, "baobab_agree_payloads_inlined_total",
           "Payloads sent along with a message to another region");
BB_COUNTER(delivered_total, "baobab_agree_revisions_total",
           "Revisions that came into force here");

/* Tells whether a payload is stored; remembers the last ones found, as each
 * look-up reads and checks the file. */
bool
replicate_is_stored(struct bb_replicate *r, const struct bb_digest *d)
{
    if (bb_digest_is_zero(d)) {
        return true;
    }
    for (uint32_t i = 0; i < REPLICATE_KNOWN_MAX; i++) {
        if (bb_digest_equal(&r->known[i], d)) {
            return true;
        }
    }
    if (!bb_store_has_payload(r->store, d)) {
        return false;
    }
    r->known[r->known_next++ % REPLICATE_KNOWN_MAX] = *d;
    return true;
}

/* Returns the RPC procedure that carries a kind of message. */
static uint32_t
procedure_of(uint8_t kind)
{
    switch ((enum bb_agree_message_kind)kind) {
    case BB_AGREE_IDENTITY:
    case BB_AGREE_IDENTITY_ANSWER:
        return AGREE_IDENTITY;
    case BB_AGREE_FORM:
        return AGREE_FORM;
    case BB_AGREE_APPEND:
    case BB_AGREE_APPEND_ANSWER:
    case BB_AGREE_SNAPSHOT:
        return AGREE_APPEND;
    case BB_AGREE_PRE_VOTE:
    case BB_AGREE_PRE_VOTE_ANSWER:
    case BB_AGREE_VOTE:
    case BB_AGREE_VOTE_ANSWER:
    case BB_AGREE_MESSAGE_KINDS:
    default:
        return AGREE_VOTE;
    }
}

/* Returns the host of another region that holds a payload because it proposed
 * it, or BB_AGREE_NO_HOST. */
static uint8_t
find_origin(const struct bb_replicate *r, const char *region,
            const struct bb_agree_entry *e)
{
    for (uint32_t i = 0; e != NULL && i < REPLICATE_ORIGINS_MAX; i++) {
        const struct replicate_origin *o = &r->origins[i];

        if (bb_digest_equal(&o->digest, &e->digest) &&
            strcmp(r->hosts[o->host].region, region) == 0) {
            return o->host;
        }
    }
    return BB_AGREE_NO_HOST;
}

/* Returns the host of a region that gets payloads inline: the first one heard
 * of lately, or else the first one. */
static uint8_t
inline_host(const struct bb_replicate *r, const char *region)
{
    uint64_t now_us = bb_clock_now_us();
    uint8_t first = BB_AGREE_NO_HOST;

    for (uint8_t h = 0; h < r->host_count; h++) {
        if (strcmp(r->hosts[h].region, region) != 0) {
            continue;
        }
        if (now_us < r->core.last_heard_us[h] + REPLICATE_ALIVE_US) {
            return h;
        }
        first = first == BB_AGREE_NO_HOST ? h : first;
    }
    return first;
}

/* Tells whether a payload was sent inline to a host before. */
static bool
was_inlined(const struct bb_replicate *r, uint8_t slot,
            const struct bb_digest *d)
{
    for (uint32_t i = 0; i < REPLICATE_INLINED_MAX; i++) {
        if (bb_digest_equal(&r->inlined[slot][i], d)) {
            return true;
        }
    }
    return false;
}

/* Puts the payload of an entry into a message, unless it is too large. */
static void
put_inline(struct bb_replicate *r, uint8_t slot,
           const struct bb_agree_entry *e, agree_envelope *envelope)
{
    size_t size = 0;
    void *data = bb_store_get_payload(r->store, &e->digest, &size, NULL);

    if (data == NULL || size > BB_REPLICATE_INLINE_MAX_BYTES) {
        g_free(data); /* the receiver fetches it */
        return;
    }
    r->inlined[slot][r->inlined_next[slot]++ % REPLICATE_INLINED_MAX] =
        e->digest;
    envelope->payload.payload_val = data;
    envelope->payload.payload_len = (u_int)size;
    bb_counter_add(&inlined_total, 1);
}

/* Chooses where the receiver of new entries gets the payload, so that one copy
 * crosses the paid link: in its own region the leader has it; in another one
 * the host that proposed it has it, or else one host gets it inline; the
 * others there fetch it from that host. */
static void
attach_payload(struct bb_replicate *r, const struct bb_agree_message *m,
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
    origin = find_origin(r, region, last);
    host = origin != BB_AGREE_NO_HOST ? origin : inline_host(r, region);
    if (host != m->to) {
        envelope->holder = host;
    }
    else if (origin == BB_AGREE_NO_HOST && last != NULL) {
        if (was_inlined(r, m->to, &last->digest)) {
            /* It may still be under way on the other lane: the receiver waits
             * for it before it asks the leader. */
            envelope->holder = m->to;
        }
        else {
            put_inline(r, m->to, last, envelope);
        }
    }
}

/* Queues a message for its receiver. */
void
replicate_send(struct bb_replicate *r, const struct bb_agree_message *m)
{
    struct replicate_call *call = g_new0(struct replicate_call, 1);
    struct bb_agree_config committed = bb_agree_committed_config(&r->core);
    agree_envelope *envelope = &call->envelope;

    call->procedure = procedure_of(m->kind);
    envelope->cluster = r->cluster;
    envelope->holder = r->self;
    bb_agree_encode_message(m, &envelope->message);
    if (m->kind == BB_AGREE_APPEND || m->kind == BB_AGREE_SNAPSHOT) {
        memcpy(envelope->in_force, committed.digest.bytes, BB_DIGEST_BYTES);
        attach_payload(r, m, envelope);
    }
    replicate_enqueue(r, m->to,
                      envelope->payload.payload_len > 0
                          ? REPLICATE_LANE_BULK
                          : REPLICATE_LANE_URGENT,
                      call);
}

/* Hands a revision to the callback once, if its payload is stored. Only
 * revisions that were replaced while this host was behind lack it. */
void
replicate_deliver(struct bb_replicate *r, const struct bb_agree_config *c)
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
    if (r->settings.committed != NULL) {
        r->settings.committed(r->settings.context, c->revision, c->version,
                              &c->digest, data, size);
    }
    g_free(data);
}

/* Delivers the revisions of the step just made, in order. */
void
replicate_apply(struct bb_replicate *r)
{
    const struct bb_agree_output *out = &r->output;

    if (out->must_apply_snapshot) {
        replicate_deliver(r, &r->core.durable.snapshot.in_force);
    }
    for (uint64_t i = out->apply_first_index; i <= out->apply_last_index;
         i++) {
        const struct bb_agree_entry *e = bb_agree_get_entry(&r->core, i);

        if (e != NULL && e->kind == BB_AGREE_CONFIG) {
            replicate_deliver(
                r, &(struct bb_agree_config){.revision = e->revision,
                                             .version = e->version,
                                             .digest = e->digest});
        }
    }
}

/* Wakes the local caller that waits for a ticket, if it still does. */
void
replicate_complete(struct bb_replicate *r, uint64_t ticket,
                   enum bb_agree_result result, uint64_t revision)
{
    (void)pthread_mutex_lock(&r->lock);
    for (struct replicate_waiter *w = r->waiters; w != NULL; w = w->next) {
        if (w->ticket == ticket && !w->is_answered) {
            w->is_answered = true;
            w->result = result;
            w->revision = revision;
        }
    }
    (void)pthread_cond_broadcast(&r->answered);
    (void)pthread_mutex_unlock(&r->lock);
}

/* Sends an answer of the core to the host whose proposal it was. */
void
replicate_answer(struct bb_replicate *r, const struct bb_agree_answer *a)
{
    struct replicate_route *route =
        &r->routes[a->ticket % REPLICATE_ROUTES_MAX];
    struct replicate_call *call;
    agree_proposal_answer *answer;

    if (route->ticket != a->ticket) {
        return; /* taken over by a later proposal; the caller resends */
    }
    route->ticket = 0;
    if (route->origin == r->self) {
        replicate_complete(r, route->origin_ticket, a->result, a->revision);
        return;
    }
    call = g_new0(struct replicate_call, 1);
    call->procedure = AGREE_PROPOSE;
    call->propose.cluster = r->cluster;
    call->propose.body.kind = AGREE_PROPOSE_ANSWER;
    answer = &call->propose.body.agree_propose_body_u.answer;
    answer->ticket = route->origin_ticket;
    answer->result = a->result;
    answer->revision = a->revision;
    replicate_enqueue(r, route->origin, REPLICATE_LANE_URGENT, call);
}
