/* Which versions of a service's upstreams may get a request. */
#include "path/version_choice.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "path/directory.h"

/* Applies the committed state of the service's rollout. `random_permille` is
 * where the selection starts, so that nodes are at different points of the
 * cycle. */
void
bb_version_choice_apply(struct bb_version_choice *v, const fleet_rollout *r,
                        uint32_t random_permille)
{
    bool is_new = !v->has_rollout || strcmp(v->target, r->target) != 0 ||
                  v->state != BB_ROLLOUT_RUNNING;

    if (is_new) {
        v->smaller_share_permille = 0;
        v->credit_permille = random_permille % BB_ROLLOUT_PERMILLE;
    }
    v->has_rollout = true;
    v->state = r->state <= BB_ROLLOUT_ROLLED_BACK
                   ? (enum bb_rollout_state)r->state
                   : BB_ROLLOUT_ROLLED_BACK;
    g_strlcpy(v->baseline, r->baseline, sizeof(v->baseline));
    g_strlcpy(v->target, r->target, sizeof(v->target));
    v->share_permille = MIN(r->share_permille, (u_int)BB_ROLLOUT_PERMILLE);
    if (v->state == BB_ROLLOUT_COMPLETED) {
        v->share_permille = BB_ROLLOUT_PERMILLE;
    }
    if (v->state == BB_ROLLOUT_ROLLED_BACK) {
        v->share_permille = 0;
    }
    if (v->share_permille > 0 &&
        (v->smaller_share_permille == 0 ||
         v->share_permille < v->smaller_share_permille)) {
        v->smaller_share_permille = v->share_permille;
    }
}

/* Returns the share in use: a node that is out of touch keeps the smaller one
 * that it knows, unless all traffic has moved, as the baseline may have
 * ended. */
uint32_t
bb_version_choice_share(const struct bb_version_choice *v, bool is_in_touch)
{
    if (is_in_touch || v->share_permille == BB_ROLLOUT_PERMILLE) {
        return v->share_permille;
    }
    return MIN(v->share_permille, v->smaller_share_permille);
}

/* Returns the version for the first attempt of a request, by smooth weighted
 * selection. */
enum bb_version_pick
bb_version_choice_first(struct bb_version_choice *v, bool is_in_touch)
{
    if (!v->has_rollout) {
        return BB_VERSION_BASELINE;
    }
    v->credit_permille += bb_version_choice_share(v, is_in_touch);
    if (v->credit_permille < BB_ROLLOUT_PERMILLE) {
        return BB_VERSION_BASELINE;
    }
    v->credit_permille -= BB_ROLLOUT_PERMILLE;
    return bb_version_choice_permits(v, BB_VERSION_TARGET)
               ? BB_VERSION_TARGET
               : BB_VERSION_BASELINE;
}

/* Returns the version for a retry or a hedge: the baseline, if it may get
 * requests at all. */
enum bb_version_pick
bb_version_choice_retry(const struct bb_version_choice *v)
{
    return bb_version_choice_permits(v, BB_VERSION_BASELINE)
               ? BB_VERSION_BASELINE
               : BB_VERSION_TARGET;
}

/* Returns whether a version may get requests at the present share. */
bool
bb_version_choice_permits(const struct bb_version_choice *v,
                          enum bb_version_pick pick)
{
    switch (pick) {
    case BB_VERSION_ANY:
        break;
    case BB_VERSION_BASELINE:
        return !v->has_rollout || v->share_permille < BB_ROLLOUT_PERMILLE;
    case BB_VERSION_TARGET:
        return v->has_rollout && v->share_permille > 0;
    }
    return true;
}

/* Returns whether an upstream may get a request for which this version was
 * chosen. */
bool
bb_version_choice_allows(const struct bb_version_choice *v,
                         enum bb_version_pick pick, const char *version,
                         uint64_t upstream_hash)
{
    switch (pick) {
    case BB_VERSION_ANY:
        break;
    case BB_VERSION_BASELINE:
        return strcmp(version, v->baseline) == 0;
    case BB_VERSION_TARGET:
        return strcmp(version, v->target) == 0 &&
               (v->share_permille == BB_ROLLOUT_PERMILLE ||
                upstream_hash <= v->target_hash_limit);
    }
    return true;
}

/* Returns how many of the target's upstreams get requests at a share: so many
 * that each has about the load that it will have at the end. A version that is
 * bad only under load shows it before it gets all requests. */
uint32_t
bb_version_choice_use_count(uint32_t share_permille, uint32_t targets)
{
    uint32_t used = (uint32_t)(((uint64_t)targets * share_permille +
                                BB_ROLLOUT_PERMILLE - 1) /
                               BB_ROLLOUT_PERMILLE);

    return MIN(targets, MAX(used, (uint32_t)BB_VERSION_TARGETS_MIN));
}

static int
compare_hashes(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return (x > y) - (x < y);
}

/* Sets which of the target's upstreams get requests: those with the lowest
 * hashes, the same at all nodes. */
static void
refresh_targets(struct bb_version_choice *v, const GPtrArray *gates)
{
    uint64_t hashes[BB_DIRECTORY_CANDIDATES_MAX];
    uint32_t count = 0;
    uint32_t used;

    for (guint i = 0; i < gates->len && count < G_N_ELEMENTS(hashes); i++) {
        const struct bb_gate_record *g = g_ptr_array_index(gates, i);

        if (g->view.is_ready && strcmp(g->software_version, v->target) == 0) {
            hashes[count++] = g->upstream_hash;
        }
    }
    qsort(hashes, count, sizeof(hashes[0]), compare_hashes);
    used = bb_version_choice_use_count(v->share_permille, count);
    v->target_hash_limit = used > 0 ? hashes[used - 1] : UINT64_MAX;
}

/* Returns whether an upstream is known to have been started before another
 * one. A start that is not stated is the latest; equal ones are ordered by
 * version, so that all nodes find the same. */
static bool
started_before(const struct bb_gate_record *a, const struct bb_gate_record *b)
{
    uint64_t a_ms = a->started_ms != 0 ? a->started_ms : UINT64_MAX;
    uint64_t b_ms = b->started_ms != 0 ? b->started_ms : UINT64_MAX;

    return a_ms != b_ms ? a_ms < b_ms
                        : strcmp(a->software_version, b->software_version) < 0;
}

/* Sets the baseline of a service without a rollout: the version of the
 * upstream that started earliest. Once settled it is kept while an upstream
 * has it: a restart of its upstreams must not move the traffic. */
static void
refresh_baseline(struct bb_version_choice *v, const GPtrArray *gates,
                 uint64_t now_us)
{
    const struct bb_gate_record *earliest = NULL;
    bool has_current = false;

    for (guint i = 0; i < gates->len; i++) {
        const struct bb_gate_record *g = g_ptr_array_index(gates, i);

        if (!g->is_running) {
            continue;
        }
        has_current =
            has_current || strcmp(g->software_version, v->baseline) == 0;
        if (earliest == NULL || started_before(g, earliest)) {
            earliest = g;
        }
    }
    if (earliest == NULL ||
        (has_current && v->baseline_us != 0 &&
         now_us - v->baseline_us >=
             (uint64_t)BB_VERSION_SETTLED_MS * BB_US_PER_MS)) {
        return;
    }
    if (v->baseline_us == 0 ||
        strcmp(v->baseline, earliest->software_version) != 0) {
        g_strlcpy(v->baseline, earliest->software_version,
                  sizeof(v->baseline));
        v->baseline_us = now_us;
    }
}

/* Updates what depends on the service's upstreams. */
void
bb_version_choice_refresh(struct bb_version_choice *v, const GPtrArray *gates,
                          uint64_t now_us)
{
    if (v->has_rollout) {
        refresh_targets(v, gates);
    }
    else {
        refresh_baseline(v, gates, now_us);
    }
}
