/* The compiled configuration: one immutable object for each revision. */
#ifndef BB_CONFIG_CONFIG_H
#define BB_CONFIG_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"

enum {
    BB_NAME_BYTES = 64,  /* with the terminating zero byte */
    BB_PATH_BYTES = 256, /* with the terminating zero byte */
    BB_INDEX_NONE = UINT16_MAX
};

/* HTTP methods; the values are bits, so that a route can accept several. */
enum bb_method {
    BB_METHOD_NONE = 0, /* an unknown method */
    BB_METHOD_GET = 1 << 0,
    BB_METHOD_HEAD = 1 << 1,
    BB_METHOD_POST = 1 << 2,
    BB_METHOD_PUT = 1 << 3,
    BB_METHOD_DELETE = 1 << 4,
    BB_METHOD_PATCH = 1 << 5,
    BB_METHOD_OPTIONS = 1 << 6,
    BB_METHOD_ANY = (1 << 7) - 1
};

/* Expected duration of the requests of a route. Long work may use only a part
 * of a service's slots and is never hedged. */
enum bb_work_class { BB_WORK_SHORT, BB_WORK_LONG };

struct bb_team {
    char name[BB_NAME_BYTES];
    uint32_t max_in_flight; /* per gatekeeper; 0 means no limit */
};

struct bb_service {
    char name[BB_NAME_BYTES];
    uint16_t team; /* index into teams, or BB_INDEX_NONE */
    /* Running requests per gatekeeper; 0: as many as the gatekeeper has slots.
     */
    uint32_t max_in_flight;
    uint32_t queue_length; /* requests, per gatekeeper */
    /* Maximum share of a gatekeeper's usable slots that long work may hold, in
     * percent, but always at least one slot. */
    uint32_t long_work_percent;
    /* Once the upstream of a gatekeeper is ready, the number of its usable
     * slots grows from 1 to all of them during this time; 0: no slow start. */
    uint32_t slow_start_ms;
    uint32_t retention_s; /* of request ids and idempotency keys */
    uint16_t *callees;    /* indices of the services that this one calls */
    uint16_t callee_count;
};

struct bb_route {
    char name[BB_NAME_BYTES];
    char path_prefix[BB_PATH_BYTES]; /* matches whole path components */
    uint32_t methods;                /* bits of enum bb_method */
    uint16_t service;                /* index into services */
    enum bb_work_class work_class;
    bool is_idempotent;
    uint32_t timeout_ms;
    uint32_t retry_limit; /* retries of one request */
    uint32_t hedge_limit; /* hedges of one request */
    /* Time without a response after which a hedge is sent; 0: derived
     * from the observed 95th percentile of the latency (bb_hedge_delay_us). */
    uint32_t hedge_after_ms;
};

struct bb_region {
    char name[BB_NAME_BYTES];
};

struct bb_zone {
    char name[BB_NAME_BYTES];
    uint16_t region; /* index into regions */
};

/* A host that gets no new requests. */
struct bb_drain {
    char host[BB_NAME_BYTES];
};

struct bb_limits {
    uint32_t max_depth; /* of nested calls between services */
    uint64_t max_body_bytes;
    /* Retries, and hedges, that a proxy may send in percent of its
     * first attempts; 0: none. The budgets are token buckets (struct
     * bb_retry_budget), so the share holds in the long run. */
    uint32_t retry_budget_percent;
    uint32_t hedge_budget_percent;
    /* Gatekeepers of a service that may be ejected as outliers at the same
     * time, in percent of all of them; 0: none. */
    uint32_t max_ejected_percent;
    /* Byte rate for calls to other regions; 0: no such calls. */
    uint64_t link_bytes_per_s;
};

struct bb_config {
    uint64_t revision; /* set by the caller of bb_config_compile */
    uint64_t version;  /* set by operators in the folder, 0 if none */
    struct bb_digest folder_digest; /* without the rosters */
    struct bb_limits limits;
    struct bb_team *teams;
    uint16_t team_count;
    struct bb_service *services;
    uint16_t service_count;
    struct bb_route *routes; /* longest path prefix first */
    uint16_t route_count;
    struct bb_region *regions;
    uint16_t region_count;
    struct bb_zone *zones;
    uint16_t zone_count;
    struct bb_drain *drains;
    uint16_t drain_count;
};

#endif
