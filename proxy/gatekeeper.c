#include "proxy/gatekeeper_state.h"

#include <errno.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"

enum {
    SHED_PAUSE_US =
        200 * BB_US_PER_MS, /* admission pause after the upstream sheds load */
    EXPIRED_PER_REQUEST_MAX = 2,
    DEFAULT_QUEUE_LENGTH = 64,
    DEFAULT_LONG_WORK_PERCENT = 100
};

BB_GAUGE(running_gauge, "baobab_gatekeeper_running",
         "Requests that the upstream runs");
BB_COUNTER(admitted_total, "baobab_gatekeeper_admitted_total",
           "Requests sent to the upstream");
BB_COUNTER(queued_total, "baobab_gatekeeper_queued_total",
           "Requests that waited for a slot");

/* Creates a gatekeeper without an upstream, which refuses every request until
 * the first announcement. */
struct bb_gatekeeper *
bb_gatekeeper_create(const struct bb_gatekeeper_settings *s)
{
    struct bb_gatekeeper *g = g_new0(struct bb_gatekeeper, 1);
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&g->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&g->request_finished, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    g->settings = *s;
    g->record_entries = g_new0(struct bb_record_entry, s->record_entries);
    bb_record_init(&g->record, s->incarnation,
                   (uint64_t)s->retention_s * BB_US_PER_S, g->record_entries,
                   s->record_entries);
    bb_admission_init(&g->admission);
    g->limits = (struct bb_admission_limits){
        .queue_length = DEFAULT_QUEUE_LENGTH,
        .long_work_percent = DEFAULT_LONG_WORK_PERCENT,
    };
    g->waiters = g_ptr_array_new();
    g->busy_slots = g_ptr_array_new();
    g->next_admission_id = 1;
    return g;
}

/* Frees the gatekeeper. No request may be queued or running. NULL is allowed.
 */
void
bb_gatekeeper_destroy(struct bb_gatekeeper *g)
{
    if (g == NULL) {
        return;
    }
    for (uint32_t i = 0; i < g->settings.record_entries; i++) {
        bb_stored_response_unref(
            (struct bb_stored_response *)(uintptr_t)g->record_entries[i]
                .response_handle);
    }
    (void)g_ptr_array_free(g->waiters, TRUE);
    (void)g_ptr_array_free(g->busy_slots, TRUE);
    (void)pthread_cond_destroy(&g->request_finished);
    (void)pthread_mutex_destroy(&g->lock);
    g_free(g->record_entries);
    g_free(g);
}

/* Wakes each queued request whose admission decision is made. Called with the
 * lock held. */
static void
deliver_decisions(struct bb_gatekeeper *g)
{
    struct bb_admission_action action;

    while (
        bb_admission_next_action(&g->admission, bb_clock_now_us(), &action)) {
        for (guint i = 0; i < g->waiters->len; i++) {
            struct bb_gatekeeper_waiter *w = g_ptr_array_index(g->waiters, i);

            if (w->admission_id == action.id && !w->is_decided) {
                w->is_decided = true;
                w->decision = action.decision;
                (void)pthread_cond_signal(&w->decided);
                break;
            }
        }
    }
    bb_counter_set(&running_gauge, g->admission.running_count);
}

/* Applies the limits and the state of the upstream to admission. Called with
 * the lock held. */
static void
apply_upstream(struct bb_gatekeeper *g)
{
    uint64_t now_us = bb_clock_now_us();

    g->limits.slots = MIN(g->settings.ignores_slots ? g->upstream.connections
                                                    : g->upstream.slots,
                          (uint32_t)BB_ADMISSION_SLOTS_MAX);
    g->limits.connections = g->upstream.connections;
    bb_admission_configure(&g->admission, &g->limits, now_us);
    bb_admission_set_state(&g->admission,
                           (enum bb_admission_state)g->upstream.state, now_us);
    deliver_decisions(g);
}

/* Calls the upstream_changed callback, which publishes the upstream's state in
 * the node's member record. Called without the lock. */
static void
notify_upstream_changed(struct bb_gatekeeper *g,
                        const struct bb_upstream_announcement *a)
{
    if (g->settings.upstream_changed != NULL) {
        g->settings.upstream_changed(g->settings.upstream_changed_context,
                                     a->service, a->slots, a->connections,
                                     a->state);
    }
}

/* Applies an announcement of the upstream, which expires after its
 * lifetime_ms. Afterwards call bb_gatekeeper_configure, as the limits depend
 * on the announced service. */
void
bb_gatekeeper_set_announcement(struct bb_gatekeeper *g,
                               const struct bb_upstream_announcement *a)
{
    bool is_changed;

    (void)pthread_mutex_lock(&g->lock);
    is_changed = strcmp(g->upstream.service, a->service) != 0 ||
                 !bb_address_equal(&g->upstream.address, &a->address) ||
                 g->upstream.slots != a->slots ||
                 g->upstream.connections != a->connections ||
                 g->upstream.state != a->state;
    g->upstream = *a;
    g->announcement_expires_us =
        bb_clock_now_us() + (uint64_t)a->lifetime_ms * BB_US_PER_MS;
    if (is_changed) {
        apply_upstream(g);
    }
    (void)pthread_mutex_unlock(&g->lock);
    if (is_changed) {
        bb_log_info("gatekeeper.upstream", "service %s, state %d, %u slots",
                    a->service, (int)a->state, a->slots);
        notify_upstream_changed(g, a);
    }
}

/* Removes the upstream once its announcement has expired, and delivers pending
 * admission decisions. Must be called at least every 100 ms; an expired
 * announcement is noticed by this call only. */
void
bb_gatekeeper_tick(struct bb_gatekeeper *g)
{
    struct bb_upstream_announcement lost_upstream;
    bool is_expired;

    (void)pthread_mutex_lock(&g->lock);
    is_expired = g->upstream.state != BB_UPSTREAM_NONE &&
                 bb_clock_now_us() > g->announcement_expires_us;
    if (is_expired) {
        g->upstream.state = BB_UPSTREAM_NONE;
        apply_upstream(g);
    }
    deliver_decisions(g);
    lost_upstream = g->upstream;
    (void)pthread_mutex_unlock(&g->lock);
    if (is_expired) {
        bb_log_warning("gatekeeper.gone",
                       "announcement of the upstream of %s expired",
                       lost_upstream.service);
        notify_upstream_changed(g, &lost_upstream);
    }
}

/* Applies the limits of the upstream's service from a routing table. To be
 * called for each new table and each announcement. Does nothing if the table
 * has no such service. */
void
bb_gatekeeper_configure(struct bb_gatekeeper *g, const struct bb_table *t)
{
    const struct bb_table_service *s;

    (void)pthread_mutex_lock(&g->lock);
    s = bb_table_find_service(t, g->upstream.service);
    if (s != NULL) {
        g->limits.queue_length =
            MIN(s->settings.queue_length, (uint32_t)BB_ADMISSION_QUEUE_MAX);
        g->limits.long_work_percent = s->settings.long_work_percent;
        g->limits.slow_start_ms = s->settings.slow_start_ms;
        g->limits.service_limit = s->settings.max_in_flight;
        g->limits.team_count = s->team[0] != '\0' ? 1 : 0;
        g->limits.team_limits[0] = s->team_max_in_flight;
        if (s->settings.retention_s > 0) {
            g->record.retention_us =
                (uint64_t)s->settings.retention_s * BB_US_PER_S;
        }
        apply_upstream(g);
    }
    (void)pthread_mutex_unlock(&g->lock);
}

/* Permanently refuses new and queued requests. Running requests continue. */
void
bb_gatekeeper_refuse_requests(struct bb_gatekeeper *g)
{
    (void)pthread_mutex_lock(&g->lock);
    bb_admission_stop(&g->admission);
    deliver_decisions(g);
    (void)pthread_mutex_unlock(&g->lock);
}

/* Blocks until admission decides about a queued request. Called with the lock
 * held. */
static struct bb_admission_decision
wait_in_queue(struct bb_gatekeeper *g, uint64_t admission_id,
              const struct bb_request_id *id)
{
    struct bb_gatekeeper_waiter w = {.admission_id = admission_id, .id = *id};
    pthread_condattr_t attributes;

    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&w.decided, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    g_ptr_array_add(g->waiters, &w);
    bb_counter_add(&queued_total, 1);
    deliver_decisions(g);
    while (!w.is_decided) {
        uint64_t now_us = bb_clock_now_us();
        uint64_t wake_us = bb_admission_next_wakeup_us(&g->admission, now_us);
        struct timespec wake =
            bb_clock_to_timespec(MIN(wake_us, now_us + BB_US_PER_S));

        if (pthread_cond_timedwait(&w.decided, &g->lock, &wake) == ETIMEDOUT) {
            deliver_decisions(g);
        }
    }
    (void)g_ptr_array_remove_fast(g->waiters, &w);
    (void)pthread_cond_destroy(&w.decided);
    return w.decision;
}

/* Removes up to EXPIRED_PER_REQUEST_MAX expired record entries and frees their
 * stored responses. Called with the lock held. */
static void
expire_record_entries(struct bb_gatekeeper *g, uint64_t now_us)
{
    uint64_t handle;

    for (int i = 0; i < EXPIRED_PER_REQUEST_MAX; i++) {
        struct bb_stored_response *response;

        if (!bb_record_expire(&g->record, now_us, &handle)) {
            return;
        }
        response = (struct bb_stored_response *)(uintptr_t)handle;
        if (response != NULL) {
            g->stored_bytes -= response->body->len;
            bb_stored_response_unref(response);
        }
    }
}

/* Waits until the running request with the same id has ended, at most until
 * the deadline. Returns its stored response, or a refusal. Called with the
 * lock held. */
static struct bb_gatekeeper_result
wait_for_duplicate(struct bb_gatekeeper *g,
                   const struct bb_gatekeeper_request *r)
{
    struct bb_gatekeeper_result result = {.decision = BB_GATEKEEPER_REFUSE,
                                          .reason = BB_REASON_DUPLICATE,
                                          .ran = BB_RAN_UNKNOWN};
    struct timespec end = bb_clock_to_timespec(r->deadline_us);
    uint64_t handle = 0;
    enum bb_query_result q;

    do {
        q = bb_record_query(&g->record, &r->id, BB_INCARNATION_ANY, &handle,
                            bb_clock_now_us());
    } while (q == BB_QUERY_RUNNING &&
             pthread_cond_timedwait(&g->request_finished, &g->lock, &end) !=
                 ETIMEDOUT);
    if (q == BB_QUERY_DONE) {
        result.decision = BB_GATEKEEPER_STORED;
        result.stored = bb_stored_response_ref_handle(handle);
    }
    else if (q == BB_QUERY_REFUSED) {
        result.reason = BB_REASON_ALREADY_REFUSED;
        result.ran = BB_RAN_NO;
    }
    return result;
}

/* Adds a non-idempotent request to the record. Returns BB_GATEKEEPER_RUN if
 * the request may proceed to admission. Called with the lock held. */
static struct bb_gatekeeper_result
begin_record(struct bb_gatekeeper *g, const struct bb_gatekeeper_request *r)
{
    struct bb_gatekeeper_result result = {.decision = BB_GATEKEEPER_REFUSE,
                                          .ran = BB_RAN_NO};
    uint64_t now_us = bb_clock_now_us();
    uint64_t handle = 0;

    expire_record_entries(g, now_us);
    switch (
        bb_record_begin(&g->record, &r->id, r->incarnation, &handle, now_us)) {
    case BB_BEGIN_RUN:
        result.decision = BB_GATEKEEPER_RUN;
        break;
    case BB_BEGIN_DUPLICATE_RUNNING:
    case BB_BEGIN_DUPLICATE_DONE:
        return wait_for_duplicate(g, r);
    case BB_BEGIN_REFUSED:
        result.reason = BB_REASON_ALREADY_REFUSED;
        break;
    case BB_BEGIN_FULL:
        result.reason = BB_REASON_RECORD_FULL;
        break;
    case BB_BEGIN_OTHER_INCARNATION:
        /* This process did not run it, but an earlier one may have. */
        result.reason = BB_REASON_GATEKEEPER_RESTARTED;
        result.ran = BB_RAN_UNKNOWN;
        break;
    }
    return result;
}

/* Starts an admitted request and creates its slot. Called with the lock held.
 */
static struct bb_slot *
create_slot(struct bb_gatekeeper *g, const struct bb_gatekeeper_request *r,
            uint64_t admission_id)
{
    struct bb_slot *slot = g_new0(struct bb_slot, 1);

    *slot = (struct bb_slot){
        .gatekeeper = g,
        .admission_id = admission_id,
        .id = r->id,
        .is_recorded = !r->is_idempotent,
        .start_us = bb_clock_now_us(),
        .upstream_address = g->upstream.address,
    };
    (void)bb_admission_start(&g->admission, admission_id, slot->start_us);
    g_ptr_array_add(g->busy_slots, slot);
    bb_counter_add(&admitted_total, 1);
    bb_counter_set(&running_gauge, g->admission.running_count);
    return slot;
}

/* Requests a slot from admission and waits in the queue if admission queues
 * the request. Called with the lock held. */
static struct bb_admission_decision
request_slot(struct bb_gatekeeper *g, const struct bb_gatekeeper_request *r,
             uint64_t admission_id)
{
    const struct bb_admission_request request = {
        .id = admission_id,
        .work_class = r->work_class,
        .team = g->limits.team_count > 0 ? 0 : BB_ADMISSION_NO_TEAM,
        .deadline_us = r->deadline_us,
        .may_refuse_as_slow =
            r->may_refuse_as_slow && !g->settings.ignores_slots,
    };
    struct bb_admission_decision d =
        bb_admission_arrive(&g->admission, &request, bb_clock_now_us());

    return d.kind == BB_ADMISSION_DECISION_QUEUE
               ? wait_in_queue(g, admission_id, &r->id)
               : d;
}

/* Admits a request: returns a slot of the upstream, a refusal, or the stored
 * response of a duplicate. Blocks at most until the deadline. On
 * BB_GATEKEEPER_RUN the caller must release the slot; a stored response
 * carries a reference for the caller. */
struct bb_gatekeeper_result
bb_gatekeeper_admit(struct bb_gatekeeper *g,
                    const struct bb_gatekeeper_request *r)
{
    struct bb_gatekeeper_result result = {.decision = BB_GATEKEEPER_RUN,
                                          .ran = BB_RAN_NO};
    struct bb_admission_decision d;
    uint64_t admission_id;

    (void)pthread_mutex_lock(&g->lock);
    if (strcmp(g->upstream.service, r->service) != 0) {
        result.decision = BB_GATEKEEPER_REFUSE;
        result.reason = BB_REASON_NO_UPSTREAM;
        goto out;
    }
    if (!r->is_idempotent) {
        result = begin_record(g, r);
        if (result.decision != BB_GATEKEEPER_RUN) {
            goto out;
        }
    }
    admission_id = g->next_admission_id++;
    d = request_slot(g, r, admission_id);
    if (d.kind == BB_ADMISSION_DECISION_RUN) {
        result.slot = create_slot(g, r, admission_id);
        goto out;
    }
    result.decision = BB_GATEKEEPER_REFUSE;
    result.reason = d.reason;
    if (!r->is_idempotent) {
        (void)bb_record_finish(&g->record, &r->id, BB_RECORD_REFUSED, 0,
                               bb_clock_now_us());
        (void)pthread_cond_broadcast(&g->request_finished);
    }
out:
    (void)pthread_mutex_unlock(&g->lock);
    return result;
}

/* Marks a recorded request as done or refused, and stores its response if the
 * memory limit allows it. Called with the lock held. */
static void
finish_record(struct bb_gatekeeper *g, const struct bb_slot *slot,
              enum bb_slot_result result, struct bb_stored_response *response)
{
    bool has_run = result == BB_SLOT_COMPLETED || result == BB_SLOT_LOST;
    uint64_t handle = 0;

    if (has_run && response != NULL &&
        g->stored_bytes + response->body->len <=
            g->settings.stored_max_bytes) {
        g_atomic_int_inc(&response->reference_count);
        handle = (uintptr_t)response;
    }
    if (bb_record_finish(&g->record, &slot->id,
                         has_run ? BB_RECORD_DONE : BB_RECORD_REFUSED, handle,
                         bb_clock_now_us())) {
        g->stored_bytes += handle != 0 ? response->body->len : 0;
    }
    else if (handle != 0) {
        bb_stored_response_unref(response);
    }
    (void)pthread_cond_broadcast(&g->request_finished);
}

/* Releases and frees a slot. A response, if not NULL, is stored for duplicates
 * of a recorded request; the caller keeps its own reference. A failed
 * connection removes the upstream. */
void
bb_gatekeeper_release_slot(struct bb_slot *slot, enum bb_slot_result result,
                           struct bb_stored_response *response)
{
    struct bb_gatekeeper *g = slot->gatekeeper;
    uint64_t now_us = bb_clock_now_us();
    struct bb_upstream_announcement lost_upstream = {0};

    (void)pthread_mutex_lock(&g->lock);
    (void)bb_admission_finish(&g->admission, slot->admission_id,
                              now_us - slot->start_us,
                              result == BB_SLOT_COMPLETED, now_us);
    if (slot->is_recorded) {
        finish_record(g, slot, result, response);
    }
    (void)g_ptr_array_remove_fast(g->busy_slots, slot);
    if (result == BB_SLOT_NOT_CONNECTED &&
        g->upstream.state != BB_UPSTREAM_NONE &&
        bb_address_equal(&g->upstream.address, &slot->upstream_address)) {
        g->upstream.state = BB_UPSTREAM_NONE;
        apply_upstream(g);
        lost_upstream = g->upstream;
    }
    deliver_decisions(g);
    (void)pthread_mutex_unlock(&g->lock);
    if (lost_upstream.service[0] != '\0') {
        bb_log_warning("gatekeeper.gone",
                       "cannot connect to the upstream of %s",
                       lost_upstream.service);
        notify_upstream_changed(g, &lost_upstream);
    }
    g_free(slot);
}

/* Reacts to a refusal by the upstream itself: pauses admission if it sheds
 * load, or marks it as draining. Other reasons change nothing. */
void
bb_gatekeeper_on_upstream_refusal(struct bb_gatekeeper *g,
                                  enum bb_reason reason)
{
    struct bb_upstream_announcement changed = {0};

    (void)pthread_mutex_lock(&g->lock);
    if (reason == BB_REASON_UPSTREAM_SHEDDING) {
        bb_admission_shed(&g->admission, SHED_PAUSE_US, bb_clock_now_us());
    }
    else if (reason == BB_REASON_UPSTREAM_DRAINING &&
             g->upstream.state < BB_UPSTREAM_DRAINING) {
        g->upstream.state = BB_UPSTREAM_DRAINING;
        apply_upstream(g);
        changed = g->upstream;
    }
    deliver_decisions(g);
    (void)pthread_mutex_unlock(&g->lock);
    if (changed.service[0] != '\0') {
        notify_upstream_changed(g, &changed);
    }
}
