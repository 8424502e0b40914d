/* Gatekeeper queries: the state of a request by id, stored responses,
 * cancellation, and the current load. */
#include "common/clock.h"
#include "proxy/gatekeeper_state.h"

/* Creates an empty response with one reference. */
struct bb_stored_response *
bb_stored_response_create(void)
{
    struct bb_stored_response *response = g_new0(struct bb_stored_response, 1);

    response->reference_count = 1;
    response->headers = bb_headers_create();
    response->body = g_byte_array_new();
    return response;
}

/* Drops a reference; the last one frees the response. NULL is allowed. */
void
bb_stored_response_unref(struct bb_stored_response *response)
{
    if (response != NULL &&
        g_atomic_int_dec_and_test(&response->reference_count)) {
        bb_headers_destroy(response->headers);
        (void)g_byte_array_free(response->body, TRUE);
        g_free(response);
    }
}

/* Takes a reference to the response that a record entry's handle points to.
 * Returns NULL for handle 0. */
struct bb_stored_response *
bb_stored_response_ref_handle(uint64_t handle)
{
    struct bb_stored_response *response =
        (struct bb_stored_response *)(uintptr_t)handle;

    if (response != NULL) {
        g_atomic_int_inc(&response->reference_count);
    }
    return response;
}

/* Returns whether a request is queued or running here. Called with the lock
 * held. */
static bool
is_queued_or_running(const struct bb_gatekeeper *g,
                     const struct bb_request_id *id)
{
    for (guint i = 0; i < g->waiters->len; i++) {
        const struct bb_gatekeeper_waiter *w =
            g_ptr_array_index(g->waiters, i);

        if (bb_request_id_equal(&w->id, id)) {
            return true;
        }
    }
    for (guint i = 0; i < g->busy_slots->len; i++) {
        const struct bb_slot *slot = g_ptr_array_index(g->busy_slots, i);

        if (bb_request_id_equal(&slot->id, id)) {
            return true;
        }
    }
    return false;
}

/* Returns the state of a request. incarnation is that which the request was
 * sent to, or BB_INCARNATION_ANY. For another one than this process's the
 * result is BB_QUERY_OTHER_INCARNATION, unless the id is queued or running
 * here. An unknown id is recorded as refused, so that a non-idempotent request
 * can't run here later. Idempotent requests are not in the record and are only
 * found while queued or running. */
enum bb_query_result
bb_gatekeeper_query(struct bb_gatekeeper *g, const struct bb_request_id *id,
                    uint64_t incarnation)
{
    enum bb_query_result result;
    uint64_t handle;

    (void)pthread_mutex_lock(&g->lock);
    result = is_queued_or_running(g, id)
                 ? BB_QUERY_RUNNING
                 : bb_record_query(&g->record, id, incarnation, &handle,
                                   bb_clock_now_us());
    (void)pthread_mutex_unlock(&g->lock);
    return result;
}

/* Returns a new reference to the stored response of a completed request, or
 * NULL if there is none. Like bb_gatekeeper_query, records an unknown id as
 * refused. */
struct bb_stored_response *
bb_gatekeeper_get_stored_response(struct bb_gatekeeper *g,
                                  const struct bb_request_id *id)
{
    struct bb_stored_response *response = NULL;
    uint64_t handle;

    (void)pthread_mutex_lock(&g->lock);
    if (bb_record_query(&g->record, id, BB_INCARNATION_ANY, &handle,
                        bb_clock_now_us()) == BB_QUERY_DONE) {
        response = bb_stored_response_ref_handle(handle);
    }
    (void)pthread_mutex_unlock(&g->lock);
    return response;
}

/* Cancels a request. A queued one is refused at once; for a running one,
 * *upstream is set to the address where the caller must cancel it (otherwise
 * its port is 0). Returns false if the request is neither queued nor running.
 */
bool
bb_gatekeeper_cancel(struct bb_gatekeeper *g, const struct bb_request_id *id,
                     struct bb_address *upstream)
{
    bool is_found = false;

    *upstream = (struct bb_address){0};
    (void)pthread_mutex_lock(&g->lock);
    for (guint i = 0; i < g->waiters->len && !is_found; i++) {
        struct bb_gatekeeper_waiter *w = g_ptr_array_index(g->waiters, i);

        if (!w->is_decided && bb_request_id_equal(&w->id, id) &&
            bb_admission_cancel(&g->admission, w->admission_id)) {
            w->is_decided = true;
            w->decision = (struct bb_admission_decision){
                .kind = BB_ADMISSION_DECISION_REFUSE,
                .reason = BB_REASON_CANCELLED};
            (void)pthread_cond_signal(&w->decided);
            is_found = true;
        }
    }
    for (guint i = 0; i < g->busy_slots->len && !is_found; i++) {
        const struct bb_slot *slot = g_ptr_array_index(g->busy_slots, i);

        if (bb_request_id_equal(&slot->id, id)) {
            *upstream = slot->upstream_address;
            is_found = true;
        }
    }
    (void)pthread_mutex_unlock(&g->lock);
    return is_found;
}

/* Copies the last announcement, with the current state. Returns false if there
 * is no upstream. */
bool
bb_gatekeeper_get_upstream(struct bb_gatekeeper *g,
                           struct bb_upstream_announcement *a)
{
    (void)pthread_mutex_lock(&g->lock);
    *a = g->upstream;
    (void)pthread_mutex_unlock(&g->lock);
    return a->state != BB_UPSTREAM_NONE;
}

/* Returns the number of requests running at the upstream. */
uint32_t
bb_gatekeeper_running_count(struct bb_gatekeeper *g)
{
    uint32_t count;

    (void)pthread_mutex_lock(&g->lock);
    count = g->admission.running_count;
    (void)pthread_mutex_unlock(&g->lock);
    return count;
}

/* Formats the load for the Baobab-Load field: running requests, queued
 * requests and usable slots. Returns text. */
const char *
bb_gatekeeper_format_load(struct bb_gatekeeper *g,
                          char text[BB_GATEKEEPER_LOAD_TEXT_BYTES])
{
    struct bb_admission_load l;

    (void)pthread_mutex_lock(&g->lock);
    l = bb_admission_load(&g->admission, bb_clock_now_us());
    (void)pthread_mutex_unlock(&g->lock);
    (void)g_snprintf(text, BB_GATEKEEPER_LOAD_TEXT_BYTES, "%u %u %u",
                     l.running, l.queued, l.slots);
    return text;
}
