#include "decide/reason.h"

#include <glib.h>
#include <string.h>

#include "common/counters.h"

enum {
    HTTP_BAD_REQUEST = 400,
    HTTP_NOT_FOUND = 404,
    HTTP_CONFLICT = 409,
    HTTP_TOO_LARGE = 413,
    HTTP_TOO_MANY = 429,
    HTTP_BAD_GATEWAY = 502,
    HTTP_UNAVAILABLE = 503,
    HTTP_GATEWAY_TIMEOUT = 504,
    HTTP_LOOP_DETECTED = 508
};

struct reason_info {
    const char *name;
    uint32_t http_status;
};

static const struct reason_info reason_infos[BB_REASON_COUNT] = {
    [BB_REASON_NONE] = {"none", HTTP_UNAVAILABLE},
    [BB_REASON_NO_ROUTE] = {"no_route", HTTP_NOT_FOUND},
    [BB_REASON_NO_CONFIGURATION] = {"no_configuration", HTTP_UNAVAILABLE},
    [BB_REASON_NO_UPSTREAM] = {"no_upstream", HTTP_UNAVAILABLE},
    [BB_REASON_BAD_REQUEST] = {"bad_request", HTTP_BAD_REQUEST},
    [BB_REASON_TOO_LARGE] = {"too_large", HTTP_TOO_LARGE},
    [BB_REASON_DEPTH_LIMIT] = {"depth_limit", HTTP_LOOP_DETECTED},
    [BB_REASON_DEADLINE_BEFORE_RUN] = {"deadline_before_run",
                                       HTTP_GATEWAY_TIMEOUT},
    [BB_REASON_DEADLINE_RUNNING] = {"deadline_running", HTTP_GATEWAY_TIMEOUT},
    [BB_REASON_QUEUE_FULL] = {"queue_full", HTTP_UNAVAILABLE},
    [BB_REASON_CANNOT_FINISH] = {"cannot_finish", HTTP_UNAVAILABLE},
    [BB_REASON_SERVICE_LIMIT] = {"service_limit", HTTP_TOO_MANY},
    [BB_REASON_TEAM_LIMIT] = {"team_limit", HTTP_TOO_MANY},
    [BB_REASON_CONNECTION_LIMIT] = {"connection_limit", HTTP_UNAVAILABLE},
    [BB_REASON_WORKER_LIMIT] = {"worker_limit", HTTP_UNAVAILABLE},
    [BB_REASON_UPSTREAM_DRAINING] = {"upstream_draining", HTTP_UNAVAILABLE},
    [BB_REASON_UPSTREAM_SHEDDING] = {"upstream_shedding", HTTP_UNAVAILABLE},
    [BB_REASON_UPSTREAM_STARTING] = {"upstream_starting", HTTP_UNAVAILABLE},
    [BB_REASON_SHUTTING_DOWN] = {"shutting_down", HTTP_UNAVAILABLE},
    [BB_REASON_CONNECT_FAILED] = {"connect_failed", HTTP_BAD_GATEWAY},
    [BB_REASON_CONNECTION_LOST] = {"connection_lost", HTTP_BAD_GATEWAY},
    [BB_REASON_CONNECTION_SILENT] = {"connection_silent",
                                     HTTP_GATEWAY_TIMEOUT},
    [BB_REASON_GATEKEEPER_RESTARTED] = {"gatekeeper_restarted",
                                        HTTP_BAD_GATEWAY},
    [BB_REASON_ALREADY_REFUSED] = {"already_refused", HTTP_CONFLICT},
    [BB_REASON_DUPLICATE] = {"duplicate", HTTP_CONFLICT},
    [BB_REASON_RECORD_FULL] = {"record_full", HTTP_UNAVAILABLE},
    [BB_REASON_KEY_OWNER_UNAVAILABLE] = {"key_owner_unavailable",
                                         HTTP_UNAVAILABLE},
    [BB_REASON_KEY_OWNER_CHANGED] = {"key_owner_changed", HTTP_UNAVAILABLE},
    [BB_REASON_RETRY_BUDGET] = {"retry_budget", HTTP_UNAVAILABLE},
    [BB_REASON_LINK_BUDGET] = {"link_budget", HTTP_UNAVAILABLE},
    [BB_REASON_CANCELLED] = {"cancelled", HTTP_UNAVAILABLE},
    [BB_REASON_UPSTREAM_BROKEN] = {"upstream_broken", HTTP_BAD_GATEWAY},
    [BB_REASON_UPSTREAM_SLOW] = {"upstream_slow", HTTP_UNAVAILABLE},
};

static struct bb_counter not_run_refusals[BB_REASON_COUNT];
static struct bb_counter unknown_refusals[BB_REASON_COUNT];
static struct bb_counter retries[BB_REASON_COUNT];

/* Registers one counter. name, help and label must live as long as the
 * program. */
static void
register_counter(struct bb_counter *c, const char *name, const char *help,
                 const char *label)
{
    c->name = name;
    c->help = help;
    c->label = label;
    bb_counter_register(c);
}

/* Registers the counters of every reason when the program starts. */
__attribute__((constructor)) static void
register_reason_counters(void)
{
    static char labels[BB_REASON_COUNT][3][64];

    for (int r = BB_REASON_NONE + 1; r < BB_REASON_COUNT; r++) {
        (void)g_snprintf(labels[r][0], sizeof(labels[r][0]),
                         "reason=\"%s\",ran=\"no\"", reason_infos[r].name);
        (void)g_snprintf(labels[r][1], sizeof(labels[r][1]),
                         "reason=\"%s\",ran=\"unknown\"",
                         reason_infos[r].name);
        (void)g_snprintf(labels[r][2], sizeof(labels[r][2]), "reason=\"%s\"",
                         reason_infos[r].name);
        register_counter(&not_run_refusals[r], "baobab_refusals_total",
                         "Requests refused, by reason and outcome",
                         labels[r][0]);
        register_counter(&unknown_refusals[r], "baobab_refusals_total",
                         "Requests refused, by reason and outcome",
                         labels[r][1]);
        register_counter(&retries[r], "baobab_retries_total",
                         "Attempts repeated, by the reason of the one before",
                         labels[r][2]);
    }
}

/* Returns the name of a reason as on the wire and in counter labels; "none"
 * for an unknown value. */
const char *
bb_reason_name(enum bb_reason r)
{
    return r < BB_REASON_COUNT ? reason_infos[r].name : "none";
}

/* Sets *r to the reason of a name. Returns false, and leaves *r, if no reason
 * has this name. */
bool
bb_reason_parse(const char *name, enum bb_reason *r)
{
    for (int i = 0; i < BB_REASON_COUNT; i++) {
        if (strcmp(reason_infos[i].name, name) == 0) {
            *r = (enum bb_reason)i;
            return true;
        }
    }
    return false;
}

/* Returns the HTTP status of the response to a refused request. */
uint32_t
bb_reason_http_status(enum bb_reason r)
{
    return r < BB_REASON_COUNT ? reason_infos[r].http_status
                               : HTTP_UNAVAILABLE;
}

/* Counts one refused request. */
void
bb_reason_count_refusal(enum bb_reason r, enum bb_ran ran)
{
    bb_counter_add(
        ran == BB_RAN_NO ? &not_run_refusals[r] : &unknown_refusals[r], 1);
}

/* Counts one retry, by the reason for which the previous attempt failed. */
void
bb_reason_count_retry(enum bb_reason r)
{
    bb_counter_add(&retries[r], 1);
}
