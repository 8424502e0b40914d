/* Cost of requests at a gate. */
#include "path/gate_cost.h"

#include <string.h>

#include "common/digest.h"
#include "path/cost_metrics.h"

/* Divisor of the newest run's weight in the average of nested time. */
enum { NESTED_EWMA_DIVISOR = 16 };

/* Returns the key of a request. The body counts with its stated length. team
 * may be NULL. */
struct bb_cost_key
bb_request_cost_key(uint32_t class_index, const struct bb_http_head *h,
                    const char *team)
{
    return bb_cost_key(class_index, h->method, bb_http_head_target(h),
                       h->has_content_length ? h->content_length : 0, team);
}

/* Initialises the predictions for an arriving request. */
void
bb_run_cost_init(struct bb_run_cost *r, const struct bb_gate_cost *g,
                 uint32_t class_index, const struct bb_http_head *h,
                 const char *team)
{
    *r =
        (struct bb_run_cost){.key = bb_request_cost_key(class_index, h, team)};
    r->expected_us =
        bb_cost_speed_apply(&g->speed, bb_cost_mean_us(&g->model, &r->key));
    if (r->expected_us != 0) {
        r->expected_us += g->nested_us[r->key.class_index];
    }
}

/* Notes that a run begins a nested call. Several may be open at a time. */
void
bb_run_cost_begin_nested(struct bb_run_cost *r, uint64_t now_us)
{
    if (r->nested_open++ == 0) {
        r->nested_since_us = now_us;
    }
}

/* Notes that a nested call has ended. */
void
bb_run_cost_end_nested(struct bb_run_cost *r, uint64_t now_us)
{
    if (r->nested_open > 0 && --r->nested_open == 0) {
        r->nested_us += now_us - r->nested_since_us;
    }
}

/* Returns the time of a run in which nested calls were open. */
static uint64_t
nested_time_us(const struct bb_run_cost *r, uint64_t now_us)
{
    return r->nested_us +
           (r->nested_open > 0 ? now_us - r->nested_since_us : 0);
}

/* Returns the time of a run without its nested calls. */
static uint64_t
own_time_us(const struct bb_run_cost *r, uint64_t sent_us, uint64_t now_us)
{
    uint64_t nested_us = nested_time_us(r, now_us);

    return now_us - sent_us > nested_us ? now_us - sent_us - nested_us : 0;
}

/* Returns how much longer a run is expected to hold its slot, in microseconds
 * at the recent speed of the upstream, with its nested calls; 0: unknown. */
uint64_t
bb_run_cost_left_us(const struct bb_run_cost *r, const struct bb_gate_cost *g,
                    uint64_t sent_us, uint64_t now_us)
{
    uint64_t age_us = own_time_us(r, sent_us, now_us);
    uint64_t usual_nested_us = g->nested_us[r->key.class_index];
    uint64_t nested_us = nested_time_us(r, now_us);
    uint64_t left_us = bb_cost_speed_apply(
        &g->speed, bb_cost_left_us(&g->model, &r->key,
                                   bb_cost_speed_remove(&g->speed, age_us)));

    if (left_us == 0) {
        return 0;
    }
    return left_us +
           (usual_nested_us > nested_us ? usual_nested_us - nested_us : 0);
}

/* Learns from a complete run that was sent to a warm upstream at sent_us. */
void
bb_run_cost_finish(const struct bb_run_cost *r, struct bb_gate_cost *g,
                   uint64_t sent_us, uint64_t now_us)
{
    uint64_t own_us = own_time_us(r, sent_us, now_us);
    uint64_t *nested_us = &g->nested_us[r->key.class_index];

    if (r->expected_us != 0) {
        bb_cost_metrics_observe(BB_PREDICTION_GATE_DURATION,
                                r->key.class_index, r->expected_us,
                                now_us - sent_us);
    }
    bb_cost_speed_add(&g->speed, &g->model, &r->key, own_us);
    bb_cost_add(&g->model, &r->key, own_us);
    *nested_us =
        (*nested_us * (NESTED_EWMA_DIVISOR - 1) + nested_time_us(r, now_us)) /
        NESTED_EWMA_DIVISOR;
}

/* Adds a run that its caller has left; it replaces the oldest one. */
void
bb_left_runs_add(struct bb_left_runs *l, const char *id, uint64_t deadline_us)
{
    l->runs[l->next].id_hash = bb_hash64(id, strlen(id), 0);
    l->runs[l->next].deadline_us = deadline_us;
    l->next = (l->next + 1) % BB_LEFT_RUNS_MAX;
}

/* Returns the deadline of the run with this id, UINT64_MAX if it is not among
 * the last ones. */
uint64_t
bb_left_runs_find(const struct bb_left_runs *l, const char *id)
{
    uint64_t id_hash = bb_hash64(id, strlen(id), 0);

    for (uint32_t i = 0; i < BB_LEFT_RUNS_MAX; i++) {
        if (l->runs[i].deadline_us != 0 && l->runs[i].id_hash == id_hash) {
            return l->runs[i].deadline_us;
        }
    }
    return UINT64_MAX;
}
