/* A control host: finds the others from a few seed addresses, agrees with
 * them on one configuration, and passes it and the announcements of upstreams
 * to the nodes that are connected. */
#ifndef BB_FLEET_CORE_H
#define BB_FLEET_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "common/settings.h"
#include "decide/quorum.h"

enum {
    /* A node that hears nothing for two of these looks for another host. */
    BB_CORE_STATUS_MS = 1000,
    BB_CORE_CONNECT_MS = 500,
    BB_CORE_REDIAL_MS = 300,
    BB_CORE_REDIAL_MAX_MS = 2000,
    /* Below the second after which a caller tries another host. */
    BB_CORE_READ_MS = 900,
    BB_CORE_ORDER_MS = 3000,
    BB_CORE_STORE_RETRY_MS = 500,
    BB_CORE_PLAN_MS = 250,
    /* A host that is away for so long is no longer passed on to others. */
    BB_CORE_FORGET_MS = 30000
};

struct bb_core;

struct bb_core_settings {
    const char *ip;
    struct bb_address peers;     /* where other hosts and nodes connect */
    struct bb_address operators; /* announced, for redirects */
    const char *zone;
    const char *region;
    const char *data_folder;
    struct bb_address_list seeds; /* operator addresses of control hosts */
    bool may_form; /* the whole system starts for the first time */
    uint32_t voters;
};

enum bb_order_outcome {
    BB_ORDER_ACCEPTED,
    BB_ORDER_STALE,    /* it builds on another version than the newest */
    BB_ORDER_UNKNOWN,  /* no majority in time; may be in force yet */
    BB_ORDER_ELSEWHERE /* another host leads */
};

typedef void (*bb_order_done)(void *context, enum bb_order_outcome outcome,
                              uint64_t newest_version);
/* Without configuration (raw is NULL) is_sure tells that there is none. */
typedef void (*bb_read_done)(void *context, bool is_sure, GBytes *raw);

struct bb_core *bb_core_create(uv_loop_t *loop,
                               const struct bb_core_settings *s,
                               struct bb_error *e);
void bb_core_destroy(struct bb_core *c);
/* Changes to the seeds take part in the search for other hosts. */
void bb_core_set_seeds(struct bb_core *c, const struct bb_address_list *seeds);
bool bb_core_leader(struct bb_core *c, struct bb_address *operators,
                    bool *is_self);
void bb_core_submit(struct bb_core *c, uint64_t base, uint64_t version,
                    GBytes *raw, bb_order_done done, void *context);
void bb_core_read(struct bb_core *c, bb_read_done done, void *context);
void bb_core_cancel(struct bb_core *c, void *context);

#endif
