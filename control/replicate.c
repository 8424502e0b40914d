/* Creation, proposals and status of a bb_replicate. */
#include "control/replicate.h"

#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "replicate_internal.h"

enum { RESEND_INTERVAL_US = 500 * 1000, RETRY_INTERVAL_US = 50 * 1000 };

/* Orders hosts by name for qsort, so that all hosts assign the same numbers.
 */
static int
compare_hosts(const void *a, const void *b)
{
    const struct bb_replicate_host *x = a;
    const struct bb_replicate_host *y = b;

    return strcmp(x->host, y->host);
}

/* Fills in the hosts, this host's number and the hash of all names. Returns
 * false if there are too many hosts or one is listed twice. */
static bool
load_hosts(struct bb_replicate *r, const struct bb_replicate_settings *s,
           struct bb_error *e)
{
    struct bb_replicate_host *own = &r->hosts[0];

    (void)g_strlcpy(own->host, s->host, sizeof(own->host));
    (void)g_strlcpy(own->region, s->region, sizeof(own->region));
    r->host_count = 1;
    for (uint32_t i = 0; i < s->host_count; i++) {
        if (strcmp(s->hosts[i].host, s->host) == 0) {
            own->rpc_address = s->hosts[i].rpc_address;
            continue;
        }
        if (r->host_count == BB_AGREE_HOSTS_MAX) {
            return bb_error_set(e, BB_REPLICATE_ERROR_SETTINGS,
                                "more than %d control hosts",
                                BB_AGREE_HOSTS_MAX);
        }
        r->hosts[r->host_count++] = s->hosts[i];
    }
    qsort(r->hosts, r->host_count, sizeof(r->hosts[0]), compare_hosts);
    for (uint8_t h = 0; h < r->host_count; h++) {
        if (h > 0 && strcmp(r->hosts[h].host, r->hosts[h - 1].host) == 0) {
            return bb_error_set(e, BB_REPLICATE_ERROR_SETTINGS,
                                "control host %s is listed twice",
                                r->hosts[h].host);
        }
        if (strcmp(r->hosts[h].host, s->host) == 0) {
            r->own_host = h;
        }
        r->control_hosts_hash =
            bb_hash64(r->hosts[h].host, strlen(r->hosts[h].host) + 1,
                      r->control_hosts_hash);
    }
    return true;
}

/* Opens the store and initialises the protocol with the state found there. */
static bool
open_store(struct bb_replicate *r, struct bb_error *e)
{
    const struct bb_agree_settings s = {.self = r->own_host,
                                        .host_count = r->host_count,
                                        .first_revision =
                                            r->settings.first_revision};
    struct bb_agree_durable *d = g_new0(struct bb_agree_durable, 1);
    struct bb_error cause = {0};

    /* The disk ID must not depend on the seed: an emptied disk would get its
     * old one again and be counted as a voter that still has its log and its
     * vote. */
    r->store = bb_store_open(r->data_folder, r->settings.file_operations,
                             bb_random_system_seed() | 1, d, &cause);
    if (r->store == NULL) {
        (void)bb_error_wrap(e, BB_REPLICATE_ERROR_STORE, &cause,
                            "data folder");
    }
    else {
        bb_agree_init(&r->agree, &s, d, bb_clock_now_us(),
                      bb_random_u64(r->random) ^ bb_random_system_seed());
    }
    g_free(d);
    return r->store != NULL;
}

/* Initialises the lock, the queues and the transport. */
static void
init_shared_state(struct bb_replicate *r)
{
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&r->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&r->waiter_completed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    replicate_queue_init(&r->job_queue);
    replicate_queue_init(&r->fetch_queue);
    r->leader = BB_AGREE_NO_HOST;
    r->pool = bb_rpc_pool_create();
    if (r->settings.transport != NULL) {
        r->transport = *r->settings.transport;
    }
    else {
        r->transport = (struct bb_replicate_transport){
            .context = r->pool, .call = replicate_rpc_call};
    }
}

/* Starts a bb_replicate: the replication on one control host. host, region,
 * hosts, data_folder, transport and file_operations are copied; contexts and
 * callbacks must stay valid. Returns NULL with a bb_replicate_error if the
 * settings or the data folder cannot be used or a thread cannot be started.
 * With a damaged data folder the host takes part without voting. Freed with
 * bb_replicate_destroy. */
struct bb_replicate *
bb_replicate_create(const struct bb_replicate_settings *settings,
                    struct bb_error *e)
{
    struct bb_replicate *r = g_new0(struct bb_replicate, 1);

    r->settings = *settings;
    init_shared_state(r);
    (void)g_strlcpy(r->region, settings->region, sizeof(r->region));
    r->data_folder = g_strdup(settings->data_folder);
    r->random = bb_random_create(settings->seed);
    if (!load_hosts(r, settings, e) || !open_store(r, e)) {
        goto fail;
    }
    r->settings.hosts = NULL;
    r->settings.data_folder = r->data_folder;
    replicate_update_status(r);
    if (!replicate_peers_start(r) ||
        pthread_create(&r->engine_thread, NULL, replicate_engine_run, r) !=
            0) {
        (void)bb_error_set(e, BB_REPLICATE_ERROR_THREAD,
                           "cannot start a replication thread");
        goto fail;
    }
    r->has_engine_thread = true;
    return r;
fail:
    bb_replicate_destroy(r);
    return NULL;
}

/* Stops the threads and frees a bb_replicate. The RPC server must have been
 * destroyed, and no call of bb_replicate_propose may be running. r may be
 * NULL. */
void
bb_replicate_destroy(struct bb_replicate *r)
{
    struct replicate_job *job;

    if (r == NULL) {
        return;
    }
    replicate_unregister(r);
    atomic_store(&r->is_stopping, true);
    if (r->has_engine_thread) {
        job = g_new0(struct replicate_job, 1);
        job->kind = REPLICATE_JOB_STOP;
        replicate_free_job(
            replicate_queue_push(&r->job_queue, job, UINT32_MAX));
        (void)pthread_join(r->engine_thread, NULL);
    }
    replicate_peers_stop(r);
    replicate_queue_clear(&r->job_queue, replicate_free_job);
    replicate_queue_clear(&r->fetch_queue, replicate_free_job);
    bb_store_close(r->store);
    bb_random_destroy(r->random);
    bb_rpc_pool_destroy(r->pool);
    (void)pthread_cond_destroy(&r->waiter_completed);
    (void)pthread_mutex_destroy(&r->lock);
    g_free(r->data_folder);
    g_free(r);
}

/* Stores the payload of a proposal and sends the proposal to the leader, which
 * may be this host. Returns whether the leader queued it. */
static bool
send_proposal(struct bb_replicate *r, uint8_t leader,
              const struct bb_agree_proposal *p, const void *payload,
              size_t size_bytes)
{
    agree_propose_message argument = {.control_hosts_hash =
                                          r->control_hosts_hash};
    agree_proposal *request = &argument.body.agree_propose_body_u.proposal;
    agree_ack ack = {0};

    argument.body.kind = AGREE_PROPOSE_REQUEST;
    request->origin_host = r->own_host;
    request->ticket = p->ticket;
    request->base_revision = p->base_revision;
    request->config_version = p->version;
    memcpy(request->digest, p->digest.bytes, BB_DIGEST_BYTES);
    if (size_bytes <= BB_REPLICATE_INLINE_PAYLOAD_MAX_BYTES) {
        request->payload.payload_val = (char *)payload;
        request->payload.payload_len = (u_int)size_bytes;
    }
    /* The leader and hosts of this region may fetch it from here. */
    if (!bb_store_put_payload(r->store, &p->digest, payload, size_bytes,
                              NULL)) {
        return false;
    }
    if (leader == r->own_host) {
        return bb_replicate_dispatch(r, AGREE_PROPOSE, &argument, &ack) &&
               ack.is_accepted;
    }
    return replicate_call_peer(r, leader, AGREE_PROPOSE, &argument, &ack,
                               REPLICATE_BULK_TIMEOUT_MS) &&
           ack.is_accepted;
}

/* Waits for the response until a time; false if none came. */
static bool
wait_for_completion(struct bb_replicate *r, struct replicate_waiter *w,
                    uint64_t until_us)
{
    struct timespec until = bb_clock_to_timespec(until_us);
    bool is_complete;

    (void)pthread_mutex_lock(&r->lock);
    while (!w->is_complete &&
           pthread_cond_timedwait(&r->waiter_completed, &r->lock, &until) !=
               ETIMEDOUT) {
    }
    is_complete = w->is_complete;
    (void)pthread_mutex_unlock(&r->lock);
    return is_complete;
}

/* Converts a result of the protocol to an outcome. Returns false if it is not
 * final and the proposal has to be sent again. */
static bool
get_final_outcome(const struct replicate_waiter *w,
                  struct bb_replicate_result *result)
{
    result->revision = w->revision;
    switch (w->result) {
    case BB_AGREE_ACCEPTED:
        result->outcome = BB_REPLICATE_ACCEPTED;
        return true;
    case BB_AGREE_STALE_BASE:
        result->outcome = BB_REPLICATE_STALE_BASE;
        return true;
    case BB_AGREE_VERSION_CONFLICT:
        result->outcome = BB_REPLICATE_VERSION_CONFLICT;
        return true;
    case BB_AGREE_CONFIRMED:
    case BB_AGREE_NOT_LEADER:
    case BB_AGREE_BUSY:
    case BB_AGREE_UNKNOWN:
    default:
        return false;
    }
}

/* Sends the proposal once to the leader known now and waits for the response.
 * Returns whether the response is final. */
static bool
propose_once(struct bb_replicate *r, struct replicate_waiter *w,
             struct bb_agree_proposal *p, const void *payload,
             size_t size_bytes, uint64_t end_us,
             struct bb_replicate_result *result)
{
    uint64_t until_us = bb_clock_now_us() + RESEND_INTERVAL_US;
    uint8_t leader;

    (void)pthread_mutex_lock(&r->lock);
    leader = r->leader;
    w->is_complete = false;
    w->ticket = ++r->last_ticket;
    p->ticket = w->ticket;
    (void)pthread_mutex_unlock(&r->lock);
    if (leader < r->host_count &&
        send_proposal(r, leader, p, payload, size_bytes) &&
        wait_for_completion(r, w, until_us < end_us ? until_us : end_us) &&
        get_final_outcome(w, result)) {
        return true;
    }
    bb_clock_sleep_us(RETRY_INTERVAL_US);
    return false;
}

/* Proposes a payload against a base revision and blocks for the response;
 * works on every host, not just the leader. The proposal is sent again while
 * there is no response, which is safe, as base and digest identify it. No
 * attempt starts after timeout_ms, but the last one can end later, after a
 * call to the leader with a timeout of REPLICATE_BULK_TIMEOUT_MS and a pause
 * of RETRY_INTERVAL_US. After BB_REPLICATE_NO_QUORUM it may still be accepted
 * later; proposing the same again returns the outcome. A version other than 0
 * must be above all versions accepted so far. An empty or too large payload,
 * or one with another digest, returns BB_REPLICATE_BAD_PAYLOAD at once. May be
 * called from any thread except those of callbacks. */
struct bb_replicate_result
bb_replicate_propose(struct bb_replicate *r, uint64_t base_revision,
                     uint64_t version, const struct bb_digest *digest,
                     const void *payload, size_t size_bytes,
                     uint32_t timeout_ms)
{
    struct bb_agree_proposal p = {
        .base_revision = base_revision, .version = version, .digest = *digest};
    struct bb_replicate_result result = {.outcome = BB_REPLICATE_NO_QUORUM};
    uint64_t end_us = bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS;
    struct bb_digest found = bb_digest_compute(payload, size_bytes);
    struct replicate_waiter w = {0};
    struct replicate_waiter **link;
    bool is_done = false;

    if (size_bytes == 0 || size_bytes > BB_REPLICATE_PAYLOAD_MAX_BYTES ||
        !bb_digest_equal(&found, digest)) {
        result.outcome = BB_REPLICATE_BAD_PAYLOAD;
        return result;
    }
    (void)pthread_mutex_lock(&r->lock);
    w.next = r->waiters;
    r->waiters = &w;
    (void)pthread_mutex_unlock(&r->lock);
    while (!is_done && bb_clock_now_us() < end_us) {
        is_done =
            propose_once(r, &w, &p, payload, size_bytes, end_us, &result);
    }
    (void)pthread_mutex_lock(&r->lock);
    for (link = &r->waiters; *link != &w; link = &(*link)->next) {
    }
    *link = w.next;
    (void)pthread_mutex_unlock(&r->lock);
    if (!is_done) {
        result = (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
    }
    return result;
}

/* Fills in the current status. May be called from any thread. */
void
bb_replicate_status(struct bb_replicate *r, struct bb_replicate_status *status)
{
    uint64_t now_us = bb_clock_now_us();

    (void)pthread_mutex_lock(&r->lock);
    *status = r->status;
    status->has_recent_quorum =
        r->quorum_known_us != 0 &&
        now_us < r->quorum_known_us + REPLICATE_ALIVE_TIMEOUT_US;
    status->peer_count = 0;
    for (uint8_t h = 0; h < r->host_count; h++) {
        struct bb_replicate_peer_status *p =
            &status->peers[status->peer_count];

        if (h != r->own_host) {
            (void)g_strlcpy(p->host, r->hosts[h].host, sizeof(p->host));
            p->is_alive =
                r->last_heard_us[h] != 0 &&
                now_us < r->last_heard_us[h] + REPLICATE_ALIVE_TIMEOUT_US;
            status->peer_count++;
        }
    }
    (void)pthread_mutex_unlock(&r->lock);
}

/* Sends membership records to another control host and returns those of its
 * response in *response, which the caller frees with g_free. Blocks until the
 * call, whose timeout is timeout_ms, ends, so callbacks must not call it.
 * Returns false if the host is unknown, is this host, or does not respond. */
bool
bb_replicate_exchange_members(struct bb_replicate *r, const char *peer_host,
                              const void *records, size_t size_bytes,
                              void **response, size_t *response_bytes,
                              uint32_t timeout_ms, struct bb_error *e)
{
    agree_members argument = {.control_hosts_hash = r->control_hosts_hash,
                              .from_host = r->own_host};
    agree_members result = {0};

    argument.records.records_val = (char *)records;
    argument.records.records_len = (u_int)size_bytes;
    for (uint8_t h = 0; h < r->host_count; h++) {
        if (h == r->own_host || strcmp(r->hosts[h].host, peer_host) != 0) {
            continue;
        }
        if (replicate_call_peer(r, h, AGREE_EXCHANGE_MEMBERS, &argument,
                                &result, timeout_ms)) {
            *response = result.records.records_val;
            *response_bytes = result.records.records_len;
            return true;
        }
        xdr_free((xdrproc_t)xdr_agree_members, (char *)&result);
        return bb_error_set(e, BB_REPLICATE_ERROR_NO_RESPONSE,
                            "%s does not respond", peer_host);
    }
    return bb_error_set(e, BB_REPLICATE_ERROR_SETTINGS,
                        "%s is not one of the other control hosts", peer_host);
}

/* Returns the name of an outcome, such as "no_quorum". */
const char *
bb_replicate_outcome_name(enum bb_replicate_outcome outcome)
{
    static const char *const names[] = {"accepted", "stale_base", "conflict",
                                        "no_quorum", "bad_payload"};

    return names[outcome];
}
