/* Versions of the upstreams that attempts are sent to, and the evidence about
 * them. */
#include <string.h>

#include "common/clock.h"
#include "common/digest.h"
#include "entry_internal.h"
#include "path/gate.h"
#include "path/version_evidence.h"

/* Returns the version for the next attempt of a request: the first one by the
 * share of the rollout, retries and hedges on the baseline. */
enum bb_version_pick
request_pick_version(struct entry_request *rq)
{
    const struct bb_entry_settings *s = &rq->entry->settings;

    if (s->evidence == NULL) {
        return BB_VERSION_ANY;
    }
    if (rq->attempt_count > 0) {
        return bb_version_choice_retry(&rq->service->versions);
    }
    return bb_version_choice_first(&rq->service->versions,
                                   s->is_in_touch(s->context));
}

/* Returns whether a service has a ready gate of its baseline. */
static bool
has_ready_baseline(const struct bb_service_record *service)
{
    for (guint i = 0; i < service->gates->len; i++) {
        const struct bb_gate_record *g = g_ptr_array_index(service->gates, i);

        if (g->view.is_ready &&
            strcmp(g->software_version, service->versions.baseline) == 0) {
            return true;
        }
    }
    return false;
}

/* Changes the version to the other one, as no gate of the chosen one can be
 * used. Returns false if the other one must not be used. A baseline that is
 * only busy does not move its requests to the target. */
bool
request_change_version(const struct entry_request *rq,
                       enum bb_version_pick *pick)
{
    const struct bb_version_choice *v = &rq->service->versions;

    switch (*pick) {
    case BB_VERSION_ANY:
        return false;
    case BB_VERSION_BASELINE:
        *pick = BB_VERSION_TARGET;
        return bb_version_choice_permits(v, BB_VERSION_TARGET) &&
               !has_ready_baseline(rq->service);
    case BB_VERSION_TARGET:
        *pick = BB_VERSION_BASELINE;
        return bb_version_choice_permits(v, BB_VERSION_BASELINE);
    }
    return false;
}

/* Adds the field with the version of the chosen gate's upstream. Another run
 * of the upstream, with another version, then gets nothing. */
void
attempt_append_version(const struct attempt *a, GString *head)
{
    const struct bb_entry_settings *s = &a->request->entry->settings;
    const struct bb_gate_record *g =
        bb_directory_find_gate(s->directory, a->gate_address);

    if (s->evidence != NULL && g != NULL) {
        g_string_append_printf(
            head, BB_GATE_HEADER_VERSION ": %" G_GINT64_MODIFIER "x\r\n",
            (guint64)bb_gate_version_id(g->software_version));
    }
}

/* Adds a response to the evidence if a rollout of the service runs. The time
 * of an upstream that still warms up counts as half. */
static void
add_evidence(const struct attempt *a, bool has_failed, uint64_t duration_us)
{
    const struct entry_request *rq = a->request;
    const struct bb_version_choice *v = &rq->service->versions;
    const struct bb_gate_record *g;

    if (rq->entry->settings.evidence == NULL || !v->has_rollout ||
        v->state != BB_ROLLOUT_RUNNING) {
        return;
    }
    g = bb_directory_find_gate(rq->entry->settings.directory, a->gate_address);
    if (g == NULL || strcmp(g->service, rq->service->name) != 0) {
        return;
    }
    if (g->view.warm_at_us > bb_clock_now_us()) {
        duration_us /= 2;
    }
    bb_version_evidence_add(
        rq->entry->settings.evidence, g,
        bb_hash64(rq->route->name, strlen(rq->route->name), 0), has_failed,
        duration_us);
}

/* Adds the outcome of a finished attempt to the evidence, unless no upstream
 * ran it. */
void
attempt_add_evidence(const struct attempt *a, enum attempt_result r)
{
    uint64_t took_us = bb_clock_now_us() - a->started_us;

    switch (r) {
    case ATTEMPT_COMPLETED:
        if (a->relay.status >= 500) {
            add_evidence(a, true, 0);
        }
        else {
            add_evidence(a, false,
                         a->upstream_us != 0 ? a->upstream_us : took_us);
        }
        break;
    case ATTEMPT_UNKNOWN:
        add_evidence(a, true, 0);
        break;
    case ATTEMPT_REFUSED:
    case ATTEMPT_NOT_RUN:
    case ATTEMPT_UNREACHABLE:
        break;
    }
}

/* Adds an attempt that is given up, as the other one of its request was faster
 * or its deadline has passed, with the time that it took so far. Otherwise
 * slow responses of a version would be hidden by hedges. */
void
attempt_add_overdue_evidence(const struct attempt *a)
{
    if (a->fetch != NULL) {
        add_evidence(a, false, bb_clock_now_us() - a->started_us);
    }
}
