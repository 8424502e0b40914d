#include "proxy/picker.h"

#include <glib.h>
#include <pthread.h>
#include <stdio.h>

#include "common/clock.h"
#include "common/registry.h"
#include "decide/duration_stats.h"
#include "decide/outlier.h"
#include "decide/retry.h"
#include "decide/route_pick.h"

/* State of one service, with a candidate for each target of the last pick. */
struct service {
    struct bb_route_state route;
    struct bb_outliers outliers;
    struct bb_duration_stats latency[BB_ADMISSION_CLASS_COUNT];
    GHashTable *candidates; /* host key -> struct bb_route_candidate */
    uint64_t last_tick_us;
};

struct bb_picker {
    pthread_mutex_t lock;
    GHashTable *services; /* name -> struct service */
    const struct bb_routing_policy *policy;
    struct bb_link_budget link_budget;
    struct bb_retry_budget retry_budget;
    struct bb_retry_budget hedge_budget;
    uint32_t max_ejected_percent;
};

enum {
    OUTLIER_TICK_INTERVAL_US = 10 * BB_US_PER_MS,
    DEFAULT_RETRY_PERCENT = 20,
    DEFAULT_HEDGE_PERCENT = 5,
    DEFAULT_MAX_EJECTED_PERCENT = 34
};

/* Frees the state of a service. */
static void
destroy_service(void *data)
{
    struct service *s = data;

    g_hash_table_destroy(s->candidates);
    g_free(s);
}

/* Creates a picker with the default budgets. policy must name a registered
 * routing policy. No calls go to another region until bb_picker_configure. */
struct bb_picker *
bb_picker_create(const char *policy)
{
    struct bb_picker *p = g_new0(struct bb_picker, 1);

    (void)pthread_mutex_init(&p->lock, NULL);
    p->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        destroy_service);
    p->policy = bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, policy);
    p->max_ejected_percent = DEFAULT_MAX_EJECTED_PERCENT;
    bb_retry_budget_configure(&p->retry_budget, DEFAULT_RETRY_PERCENT);
    bb_retry_budget_configure(&p->hedge_budget, DEFAULT_HEDGE_PERCENT);
    return p;
}

/* Frees the picker; NULL is allowed. */
void
bb_picker_destroy(struct bb_picker *p)
{
    if (p == NULL) {
        return;
    }
    g_hash_table_destroy(p->services);
    (void)pthread_mutex_destroy(&p->lock);
    g_free(p);
}

/* Applies the limits of a configuration. */
void
bb_picker_configure(struct bb_picker *p, const struct bb_picker_limits *l)
{
    GHashTableIter i;
    void *value;

    (void)pthread_mutex_lock(&p->lock);
    bb_retry_budget_configure(&p->retry_budget, l->retry_budget_percent);
    bb_retry_budget_configure(&p->hedge_budget, l->hedge_budget_percent);
    bb_link_budget_configure(&p->link_budget, l->link_bytes_per_s,
                             bb_clock_now_us());
    p->max_ejected_percent = l->max_ejected_percent;
    g_hash_table_iter_init(&i, p->services);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        ((struct service *)value)->outliers.max_ejected_percent =
            l->max_ejected_percent;
    }
    (void)pthread_mutex_unlock(&p->lock);
}

/* Returns the state of a service, created on first use. */
static struct service *
get_service(struct bb_picker *p, const char *name)
{
    struct service *s = g_hash_table_lookup(p->services, name);

    if (s == NULL) {
        s = g_new0(struct service, 1);
        s->candidates =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
        bb_outliers_init(&s->outliers, p->max_ejected_percent);
        g_hash_table_insert(p->services, g_strdup(name), s);
    }
    return s;
}

/* Returns a candidate by host key, or NULL. */
static struct bb_route_candidate *
find_candidate(struct service *s, uint64_t host_key)
{
    return g_hash_table_lookup(s->candidates, &host_key);
}

/* Removes the candidates that are not among the targets. */
static void
remove_stale_candidates(struct service *s, const struct bb_pick_request *q)
{
    GHashTableIter i;
    void *value;

    g_hash_table_iter_init(&i, s->candidates);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        uint64_t host_key = ((struct bb_route_candidate *)value)->key;
        bool is_target = false;

        for (uint32_t n = 0; n < q->target_count && !is_target; n++) {
            is_target = q->targets[n].host_key == host_key;
        }
        if (!is_target) {
            bb_outliers_remove(&s->outliers, host_key);
            g_hash_table_iter_remove(&i);
        }
    }
}

/* Adds and removes candidates to match the targets, and writes them to an
 * array in the order of the targets. */
static void
sync_candidates(struct service *s, const struct bb_pick_request *q,
                const struct bb_route_candidate **out, uint64_t now_us)
{
    if (now_us - s->last_tick_us > OUTLIER_TICK_INTERVAL_US) {
        bb_outliers_tick(&s->outliers, now_us);
        s->last_tick_us = now_us;
    }
    for (uint32_t i = 0; i < q->target_count; i++) {
        const struct bb_pick_target *t = &q->targets[i];
        struct bb_route_candidate *c = find_candidate(s, t->host_key);

        if (c == NULL) {
            c = g_new0(struct bb_route_candidate, 1);
            bb_route_candidate_init(c, t->host_key, t->distance, t->slots);
            (void)bb_outliers_add(&s->outliers, t->host_key);
            g_hash_table_insert(s->candidates, &c->key, c);
        }
        bb_outlier_update_candidate(&s->outliers, c, now_us);
        out[i] = c;
    }
    if (g_hash_table_size(s->candidates) > q->target_count) {
        remove_stale_candidates(s, q);
    }
}

/* Picks a gatekeeper and counts the attempt as started; every successful pick
 * must be followed by bb_picker_finish_attempt. The result allows a refusal by
 * a slow gatekeeper only if the retry budget has a token for the retry. */
struct bb_pick_result
bb_picker_pick(struct bb_picker *p, const struct bb_pick_request *q,
               uint64_t now_us)
{
    const struct bb_route_candidate *candidates[BB_ROUTE_CANDIDATES_MAX];
    struct bb_pick_request limited = *q;
    struct bb_route_request r = {
        .work_class = q->work_class,
        .can_probe = q->is_idempotent,
        .link_bytes = q->link_bytes,
        .is_hedge = q->is_hedge,
        .excluded_count = q->excluded_count,
    };
    struct bb_pick_result result = {0};
    struct bb_route_choice choice;
    struct service *s;

    limited.target_count =
        MIN(q->target_count, (uint32_t)BB_ROUTE_CANDIDATES_MAX);
    for (uint32_t i = 0; i < q->excluded_count; i++) {
        r.excluded[i] = q->excluded[i];
    }
    (void)pthread_mutex_lock(&p->lock);
    s = get_service(p, q->service);
    sync_candidates(s, &limited, candidates, now_us);
    choice =
        bb_route_pick(p->policy, &s->route, candidates, limited.target_count,
                      &r, &p->link_budget, q->random_bits, now_us);
    if (choice.index >= 0) {
        uint64_t host_key = candidates[choice.index]->key;

        bb_route_candidate_start(find_candidate(s, host_key));
        bb_outlier_start(&s->outliers, host_key, q->work_class, now_us);
        result.may_refuse_as_slow =
            q->can_retry && limited.target_count > 1 &&
            bb_retry_budget_has_token(&p->retry_budget) &&
            bb_outlier_may_refuse_as_slow(&s->outliers, host_key);
    }
    (void)pthread_mutex_unlock(&p->lock);
    result.index = choice.index;
    result.reason = choice.reason;
    return result;
}

/* Updates outlier detection with the result of an attempt. Called with the
 * lock held. */
static void
finish_outlier_call(struct service *s, uint64_t host_key,
                    enum bb_admission_class work_class, uint64_t start_us,
                    enum bb_attempt_result result, uint64_t now_us)
{
    switch (result) {
    case BB_ATTEMPT_COMPLETED:
    case BB_ATTEMPT_FAILED:
        bb_outlier_finish(&s->outliers, host_key, work_class, start_us,
                          result == BB_ATTEMPT_FAILED, now_us);
        break;
    case BB_ATTEMPT_REFUSED_SLOW:
        bb_outlier_cancel(&s->outliers, host_key, start_us);
        (void)bb_outlier_report_slow(&s->outliers, host_key, now_us);
        break;
    case BB_ATTEMPT_REFUSED:
    case BB_ATTEMPT_NOT_CONNECTED:
    case BB_ATTEMPT_CANCELLED:
        bb_outlier_cancel(&s->outliers, host_key, start_us);
        break;
    }
}

/* Records the result of an attempt that bb_picker_pick started. start_us must
 * be the now_us passed to bb_picker_pick, by which outlier detection finds the
 * attempt. */
void
bb_picker_finish_attempt(struct bb_picker *p, const char *service,
                         uint64_t host_key, enum bb_admission_class work_class,
                         uint64_t start_us, enum bb_attempt_result result,
                         uint64_t now_us)
{
    uint64_t latency_us = now_us - start_us;
    struct bb_route_candidate *c;
    struct service *s;

    (void)pthread_mutex_lock(&p->lock);
    s = get_service(p, service);
    c = find_candidate(s, host_key);
    if (result == BB_ATTEMPT_COMPLETED) {
        bb_duration_stats_add(&s->latency[work_class], latency_us);
    }
    finish_outlier_call(s, host_key, work_class, start_us, result, now_us);
    if (c != NULL && result == BB_ATTEMPT_NOT_CONNECTED) {
        bb_route_candidate_connect_failed(c, now_us);
    }
    else if (c != NULL) {
        bb_route_candidate_finish(
            c, work_class, result == BB_ATTEMPT_COMPLETED ? latency_us : 0,
            result == BB_ATTEMPT_COMPLETED);
    }
    (void)pthread_mutex_unlock(&p->lock);
}

/* Updates a gatekeeper's load from its Baobab-Load field: running requests,
 * queued requests and usable slots. Ignores NULL and malformed values. */
void
bb_picker_update_load(struct bb_picker *p, const char *service,
                      uint64_t host_key, const char *load, uint64_t now_us)
{
    char **parts = load != NULL ? g_strsplit(load, " ", 3) : NULL;
    uint64_t numbers[3] = {0};
    struct bb_route_candidate *c;

    if (parts == NULL) {
        return;
    }
    for (int i = 0; i < 3; i++) {
        if (parts[i] == NULL ||
            !g_ascii_string_to_unsigned(parts[i], 10, 0, UINT32_MAX,
                                        &numbers[i], NULL)) {
            goto out;
        }
    }
    (void)pthread_mutex_lock(&p->lock);
    c = find_candidate(get_service(p, service), host_key);
    if (c != NULL) {
        bb_route_candidate_update_load(c, (uint32_t)numbers[0],
                                       (uint32_t)numbers[1],
                                       (uint32_t)numbers[2], now_us);
    }
    (void)pthread_mutex_unlock(&p->lock);
out:
    g_strfreev(parts);
}

/* Counts the first attempt of a request, which adds to the retry and hedge
 * budgets. */
void
bb_picker_count_first_attempt(struct bb_picker *p)
{
    (void)pthread_mutex_lock(&p->lock);
    bb_retry_budget_deposit(&p->retry_budget);
    bb_retry_budget_deposit(&p->hedge_budget);
    (void)pthread_mutex_unlock(&p->lock);
}

/* Returns whether a refused or failed attempt is retried, and if so takes a
 * token from the retry budget. Sets *delay_us to the delay before the retry,
 * and *reason to the reason to report if there is none. */
bool
bb_picker_try_retry(struct bb_picker *p, const struct bb_retry_request *q,
                    uint64_t *delay_us, enum bb_reason *reason)
{
    struct bb_failed_request r = {
        .reason = q->reason,
        .ran = q->ran,
        .is_idempotent = q->is_idempotent,
        .attempt_count = q->attempt_count,
        .retry_limit = q->retry_limit,
        .remaining_us = q->remaining_us,
        .random_bits = q->random_bits,
    };
    struct bb_retry_decision decision;

    (void)pthread_mutex_lock(&p->lock);
    r.expected_duration_us = bb_duration_stats_median_us(
        &get_service(p, q->service)->latency[q->work_class], 0);
    decision = bb_retry_decide(&r, &p->retry_budget);
    (void)pthread_mutex_unlock(&p->lock);
    *delay_us = decision.delay_us;
    *reason = decision.reason;
    return decision.is_allowed;
}

/* Converts a hedge request to struct bb_pending_request. */
static struct bb_pending_request
to_pending_request(const struct bb_hedge_request *q)
{
    return (struct bb_pending_request){
        .is_idempotent = q->is_idempotent,
        .work_class = q->work_class,
        .hedge_count = q->hedge_count,
        .hedge_limit = q->hedge_limit,
        .elapsed_us = q->elapsed_us,
        .remaining_us = q->remaining_us,
        .hedge_after_us = q->hedge_after_us,
    };
}

/* Returns how long after its start a request without a response may be hedged,
 * in us. */
uint64_t
bb_picker_hedge_delay_us(struct bb_picker *p, const struct bb_hedge_request *q)
{
    struct bb_pending_request h = to_pending_request(q);
    uint64_t delay_us;

    (void)pthread_mutex_lock(&p->lock);
    delay_us = bb_hedge_delay_us(
        &h, &get_service(p, q->service)->latency[q->work_class]);
    (void)pthread_mutex_unlock(&p->lock);
    return delay_us;
}

/* Returns whether a hedge may be sent now, and if so takes a token from the
 * hedge budget. To be called once the delay of bb_picker_hedge_delay_us has
 * passed. */
bool
bb_picker_try_hedge(struct bb_picker *p, const struct bb_hedge_request *q)
{
    struct bb_pending_request h = to_pending_request(q);
    bool is_allowed;

    (void)pthread_mutex_lock(&p->lock);
    is_allowed = bb_hedge_decide(
        &h, &get_service(p, q->service)->latency[q->work_class],
        &p->hedge_budget);
    (void)pthread_mutex_unlock(&p->lock);
    return is_allowed;
}
