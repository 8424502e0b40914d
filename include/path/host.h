/* What the long-running programs share: the loop, signals, the log, the
 * metrics address, and settings that may change while they run. */
#ifndef BB_PATH_HOST_H
#define BB_PATH_HOST_H

#include <stdbool.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "common/settings.h"

struct bb_host;

struct bb_host_events {
    void (*stop)(void *context);   /* SIGTERM or SIGINT, once */
    void (*reload)(void *context); /* SIGHUP */
};

struct bb_host *bb_host_create(const char *program, const char *name,
                               const struct bb_host_events *events,
                               void *context);
uv_loop_t *bb_host_loop(struct bb_host *h);
bool bb_host_serve_metrics(struct bb_host *h, const struct bb_address *at,
                           struct bb_error *e);
void bb_host_run(struct bb_host *h);
void bb_host_stop(struct bb_host *h);
void bb_host_destroy(struct bb_host *h);
bool bb_host_read_seeds(const char *file, struct bb_address_list *seeds);

#endif
