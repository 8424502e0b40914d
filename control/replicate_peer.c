/* Threads that call other control hosts: two senders for each peer, and one
 * that fetches payloads. */
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "replicate_internal.h"

enum {
    CALLS_QUEUED_MAX = 32, /* for each sender */
    /* Attempts to fetch from the payload_host of a job, before the sender of
     * its message is asked. */
    FETCH_ATTEMPTS_MAX = 20,
    FETCH_RETRY_INTERVAL_US = 30 * 1000,
    FETCH_TIMEOUT_MS = 1000,
    /* A host that did not respond is not asked again for this time, so that a
     * stopped host does not delay all fetches. */
    SKIP_UNRESPONSIVE_US = 5 * 1000 * 1000
};

BB_COUNTER(sent_total, "baobab_agree_messages_sent_total",
           "Messages sent to control hosts");
BB_COUNTER(unsent_total, "baobab_agree_messages_unsent_total",
           "Messages to control hosts that could not be sent");
BB_COUNTER(fetched_total, "baobab_agree_payloads_fetched_total",
           "Payloads fetched from control hosts");

/* Frees a job and its payload; NULL is allowed. */
void
replicate_free_job(void *item)
{
    struct replicate_job *job = item;

    if (job != NULL) {
        g_free(job->payload);
        g_free(job);
    }
}

/* Frees a call and its arguments; NULL is allowed. */
static void
free_call(void *item)
{
    struct replicate_outgoing_call *call = item;

    if (call == NULL) {
        return;
    }
    xdr_free((xdrproc_t)xdr_agree_envelope, (char *)&call->envelope);
    xdr_free((xdrproc_t)xdr_agree_propose_message, (char *)&call->propose);
    g_free(call);
}

/* Queues a call for a sender of a peer and takes ownership of it. If too many
 * are queued, the oldest is dropped: the protocol sends again what is still
 * needed. */
void
replicate_queue_call(struct bb_replicate *r, uint8_t host, uint32_t sender,
                     struct replicate_outgoing_call *call)
{
    struct replicate_outgoing_call *oldest = call;

    if (host < r->host_count && host != r->own_host) {
        oldest = replicate_queue_push(&r->senders[host][sender].queue, call,
                                      CALLS_QUEUED_MAX);
        bb_counter_add(&unsent_total, oldest != NULL);
    }
    free_call(oldest);
}

/* The thread of a sender: makes the queued calls one after the other. */
static void *
run_sender(void *argument)
{
    struct replicate_sender *s = argument;
    struct bb_replicate *r = s->r;
    bool is_running = true;

    while (is_running) {
        struct replicate_outgoing_call *call =
            replicate_queue_pop(&s->queue, REPLICATE_WAIT_FOREVER_US);
        agree_ack ack = {0};
        uint32_t timeout_ms = call->envelope.payload.payload_len > 0
                                  ? REPLICATE_BULK_TIMEOUT_MS
                                  : REPLICATE_URGENT_TIMEOUT_MS;
        void *body = call->procedure == AGREE_PROPOSE
                         ? (void *)&call->propose
                         : (void *)&call->envelope;

        is_running = call->procedure != 0 && !atomic_load(&r->is_stopping);
        if (is_running) {
            bool is_sent = replicate_call_peer(r, s->host, call->procedure,
                                               body, &ack, timeout_ms);

            bb_counter_add(is_sent ? &sent_total : &unsent_total, 1);
        }
        free_call(call);
    }
    return NULL;
}

/* Fetches a payload from one host and stores it; false if the host does not
 * have it, does not respond or is skipped. */
static bool
fetch_payload_from(struct bb_replicate *r, uint8_t host,
                   const struct bb_digest *d)
{
    agree_fetch_request argument = {.control_hosts_hash =
                                        r->control_hosts_hash};
    agree_fetch_response result = {0};
    bool is_stored = false;

    if (host == r->own_host || host >= r->host_count ||
        bb_clock_now_us() < r->skip_until_us[host]) {
        return false;
    }
    memcpy(argument.digest, d->bytes, BB_DIGEST_BYTES);
    if (!replicate_call_peer(r, host, AGREE_FETCH_PAYLOAD, &argument, &result,
                             FETCH_TIMEOUT_MS)) {
        r->skip_until_us[host] = bb_clock_now_us() + SKIP_UNRESPONSIVE_US;
    }
    else if (result.is_found) {
        is_stored =
            bb_store_put_payload(r->store, d, result.payload.payload_val,
                                 result.payload.payload_len, NULL);
    }
    xdr_free((xdrproc_t)xdr_agree_fetch_response, (char *)&result);
    bb_counter_add(&fetched_total, is_stored);
    return is_stored;
}

/* Fetches the missing payload of a job and stores it: from the host named by
 * the sender of the message, which may still be receiving it, then from the
 * sender, then from any host. Returns false if no host has it. */
static bool
fetch_payload(struct bb_replicate *r, const struct replicate_job *job)
{
    const struct bb_digest *d = &job->missing_digest;

    for (uint32_t i = 0; i < FETCH_ATTEMPTS_MAX; i++) {
        if (atomic_load(&r->is_stopping)) {
            return false;
        }
        if (bb_store_has_payload(r->store, d) ||
            fetch_payload_from(r, job->payload_host, d)) {
            return true;
        }
        if (job->payload_host == job->message.from ||
            job->payload_host >= r->host_count ||
            bb_clock_now_us() < r->skip_until_us[job->payload_host]) {
            break;
        }
        bb_clock_sleep_us(FETCH_RETRY_INTERVAL_US);
    }
    if (fetch_payload_from(r, job->message.from, d)) {
        return true;
    }
    for (uint8_t h = 0; h < r->host_count; h++) {
        if (!atomic_load(&r->is_stopping) && h != job->message.from &&
            h != job->payload_host && fetch_payload_from(r, h, d)) {
            return true;
        }
    }
    return false;
}

/* The fetcher's thread: fetches the payloads that jobs need and passes the
 * jobs back to the engine. A job whose payload is not found is dropped. */
static void *
run_fetcher(void *argument)
{
    struct bb_replicate *r = argument;
    bool is_running = true;

    while (is_running) {
        struct replicate_job *job =
            replicate_queue_pop(&r->fetch_queue, REPLICATE_WAIT_FOREVER_US);

        is_running = job->kind != REPLICATE_JOB_STOP;
        if (is_running && fetch_payload(r, job)) {
            replicate_free_job(
                replicate_queue_push(&r->job_queue, job, REPLICATE_JOBS_MAX));
        }
        else {
            replicate_free_job(job);
        }
    }
    return NULL;
}

/* Starts the senders and the fetcher. On failure returns false; the threads
 * started so far are stopped by replicate_peers_stop. */
bool
replicate_peers_start(struct bb_replicate *r)
{
    for (uint8_t h = 0; h < r->host_count; h++) {
        for (uint32_t sender = 0;
             sender < REPLICATE_SENDERS_PER_PEER && h != r->own_host;
             sender++) {
            struct replicate_sender *s = &r->senders[h][sender];

            s->r = r;
            s->host = h;
            replicate_queue_init(&s->queue);
            s->has_queue = true;
            if (pthread_create(&s->thread, NULL, run_sender, s) != 0) {
                return false;
            }
            s->has_thread = true;
        }
    }
    r->has_fetcher_thread =
        pthread_create(&r->fetcher_thread, NULL, run_fetcher, r) == 0;
    return r->has_fetcher_thread;
}

/* Waits for the sender's thread to end, then frees the queued calls. */
static void
join_sender(struct replicate_sender *s)
{
    if (s->has_thread) {
        (void)pthread_join(s->thread, NULL);
    }
    if (s->has_queue) {
        replicate_queue_clear(&s->queue, free_call);
    }
}

/* Stops the senders and the fetcher after their running calls and frees the
 * queued ones. */
void
replicate_peers_stop(struct bb_replicate *r)
{
    struct replicate_job *job = g_new0(struct replicate_job, 1);

    job->kind = REPLICATE_JOB_STOP;
    replicate_free_job(replicate_queue_push(&r->fetch_queue, job, UINT32_MAX));
    for (uint8_t h = 0; h < r->host_count; h++) {
        for (uint32_t sender = 0; sender < REPLICATE_SENDERS_PER_PEER;
             sender++) {
            struct replicate_sender *s = &r->senders[h][sender];

            if (s->has_thread) {
                free_call(replicate_queue_push(
                    &s->queue, g_new0(struct replicate_outgoing_call, 1),
                    UINT32_MAX));
            }
        }
    }
    if (r->has_fetcher_thread) {
        (void)pthread_join(r->fetcher_thread, NULL);
    }
    for (uint8_t h = 0; h < r->host_count; h++) {
        for (uint32_t sender = 0; sender < REPLICATE_SENDERS_PER_PEER;
             sender++) {
            join_sender(&r->senders[h][sender]);
        }
    }
}
