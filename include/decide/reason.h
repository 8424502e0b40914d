/* Reasons for refusing or retrying a request. Each has a name on the wire, an
 * HTTP status, and counters of refusals and of retries. */
#ifndef BB_DECIDE_REASON_H
#define BB_DECIDE_REASON_H

#include <stdbool.h>
#include <stdint.h>

enum bb_reason {
    BB_REASON_NONE,
    BB_REASON_NO_ROUTE,
    BB_REASON_NO_CONFIGURATION,
    BB_REASON_NO_UPSTREAM,
    BB_REASON_BAD_REQUEST,
    BB_REASON_TOO_LARGE,
    BB_REASON_DEPTH_LIMIT,
    BB_REASON_DEADLINE_BEFORE_RUN, /* passed before the request ran */
    BB_REASON_DEADLINE_RUNNING,    /* passed after the request was sent */
    BB_REASON_QUEUE_FULL,
    BB_REASON_CANNOT_FINISH, /* would miss its deadline */
    BB_REASON_SERVICE_LIMIT,
    BB_REASON_TEAM_LIMIT,
    BB_REASON_CONNECTION_LIMIT,
    BB_REASON_WORKER_LIMIT, /* no worker thread was free to send it */
    BB_REASON_UPSTREAM_DRAINING,
    BB_REASON_UPSTREAM_SHEDDING,
    BB_REASON_UPSTREAM_STARTING,
    BB_REASON_SHUTTING_DOWN,
    BB_REASON_CONNECT_FAILED,
    BB_REASON_CONNECTION_LOST,   /* to the gatekeeper: broke */
    BB_REASON_CONNECTION_SILENT, /* to the gatekeeper: no bytes arrive */
    BB_REASON_GATEKEEPER_RESTARTED,
    BB_REASON_ALREADY_REFUSED, /* the record holds a refusal of this id */
    BB_REASON_DUPLICATE,       /* this id runs or has run */
    BB_REASON_RECORD_FULL,
    /* The key owners are the witnesses of decide/claim.h. */
    BB_REASON_KEY_OWNER_UNAVAILABLE, /* no quorum of witnesses of the key */
    BB_REASON_KEY_OWNER_CHANGED,     /* the witnesses use another roster */
    BB_REASON_RETRY_BUDGET,          /* no token left in the retry budget */
    BB_REASON_LINK_BUDGET,           /* no bytes left for the other region */
    BB_REASON_CANCELLED,             /* the caller or the entry node gave up */
    BB_REASON_UPSTREAM_BROKEN,       /* its connection broke */
    BB_REASON_UPSTREAM_SLOW,
    BB_REASON_COUNT
};

/* Whether a refused request may have run: certainly not, or unknown. */
enum bb_ran { BB_RAN_NO, BB_RAN_UNKNOWN };

const char *bb_reason_name(enum bb_reason r);
bool bb_reason_parse(const char *name, enum bb_reason *r);
uint32_t bb_reason_http_status(enum bb_reason r);
void bb_reason_count_refusal(enum bb_reason r, enum bb_ran ran);
void bb_reason_count_retry(enum bb_reason r);

#endif
