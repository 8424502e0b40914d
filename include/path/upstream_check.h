/* Health check of the upstream on this host. Unlike an announcement, its
 * response cannot be older than the request. */
#ifndef BB_PATH_UPSTREAM_CHECK_H
#define BB_PATH_UPSTREAM_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "path/dialect.h"

enum {
    BB_UPSTREAM_CHECK_CONNECT_TIMEOUT_MS = 250,
    /* A check without a response for this long is repeated. */
    BB_UPSTREAM_CHECK_TIMEOUT_MS = 1000,
    /* Delay before a check is repeated; doubles with each failure in a row up
     * to the second value. */
    BB_UPSTREAM_CHECK_RETRY_MIN_MS = 50,
    BB_UPSTREAM_CHECK_RETRY_MAX_MS = 1000
};

struct bb_upstream_check;

enum bb_upstream_check_result {
    BB_UPSTREAM_CHECK_HEALTHY,
    /* It says that it leaves. */
    BB_UPSTREAM_CHECK_LEAVING,
    /* It leaves, is unhealthy or full; the check goes on. */
    BB_UPSTREAM_CHECK_REFUSED,
    /* No connection, no response, or one of another upstream; the check goes
     * on. */
    BB_UPSTREAM_CHECK_UNREACHABLE
};

struct bb_upstream_check_outcome {
    enum bb_upstream_check_result result;
    char upstream_id[BB_DIALECT_ID_BYTES]; /* that responded; empty: unknown */
    struct bb_upstream_report report;      /* empty without a response */
    uint64_t sent_us;                      /* time of the request */
};

struct bb_upstream_check_settings {
    struct bb_address upstream_address;
    const struct bb_dialect *dialect;
    /* Called after each response or failure. */
    void (*done)(void *context, const struct bb_upstream_check_outcome *o);
    void *context;
};

struct bb_upstream_check *
bb_upstream_check_create(uv_loop_t *loop,
                         const struct bb_upstream_check_settings *s);
void bb_upstream_check_start(struct bb_upstream_check *c,
                             const char *upstream_id, const char *health_path);
void bb_upstream_check_stop(struct bb_upstream_check *c);
void bb_upstream_check_destroy(struct bb_upstream_check *c);

#endif
