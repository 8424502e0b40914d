/* Routing rules of one configuration: routes, services and limits of requests.
 * Immutable after bb_rules_finalize and shared by reference count. */
#ifndef BB_PATH_RULES_H
#define BB_PATH_RULES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "decide/balance.h"
#include "decide/key_table.h"
#include "net/http_server.h"
#include "path/team.h"

/* Number of groups of routes, for each of which the longest deadline is kept.
 */
enum { BB_RULES_GROUP_COUNT = 64 };

enum bb_rules_error {
    BB_RULES_ERROR_SYNTAX = 1, /* cannot be parsed */
    BB_RULES_ERROR_VALUE,      /* a value is missing or out of range */
    BB_RULES_ERROR_REFERENCE /* a route names a service that does not exist */
};

/* One of the services that a route is split over. */
struct bb_weighted_service {
    char *service;
    uint32_t weight; /* share of the requests; 0: none */
};

/* A route. Rules of later versions share it while its text is the same. */
struct bb_rules_route {
    gatomicrefcount reference_count;
    char *source; /* that it was decoded from, NULL: not kept */
    size_t source_bytes;
    uint64_t source_hash; /* of host and source */
    char *key;            /* host followed by prefix */
    char *name;
    char *host;          /* in lower case */
    char *prefix;        /* of the path; begins and ends with a slash */
    bool is_idempotent;  /* a request may run more than once */
    bool is_public;      /* needs no key, also if the rules require keys */
    uint32_t timeout_ms; /* above 0 */
    /* A response is worth less after this time. Set by the caller: 0 is not
     * replaced by a default. */
    uint32_t target_latency_ms;
    uint32_t priority; /* 0: most urgent */
    /* Attempts of one request that may reach an upstream, the same one or
     * others; set to 1 by bb_rules_add_route. */
    uint32_t upstream_attempts_max;
    uint32_t class_index; /* requests of one class take about as long */
    /* Hash of the name, below BB_RULES_GROUP_COUNT. All callers of a route
     * are assumed to wait equally long. */
    uint32_t route_group;
    uint32_t service_count;
    uint64_t weight_sum; /* above 0 */
    struct bb_weighted_service *services;
};

/* A service that routes may name. */
struct bb_rules_service {
    char *name;
    char *health_path;        /* empty: none */
    uint32_t connections_max; /* from all callers together; 0: not stated */
};

struct bb_rules {
    gatomicrefcount reference_count;
    uint64_t version;
    struct bb_http_server_limits limits;
    GPtrArray *routes;   /* struct bb_rules_route */
    GPtrArray *services; /* struct bb_rules_service */
    /* Requests on routes that are not public need a key of a team. Also
     * without teams: removing the last one must not admit everyone. */
    bool requires_keys;
    GPtrArray *teams;          /* struct bb_team */
    struct bb_key_table *keys; /* of all teams, to struct bb_team; NULL before
                                  bb_rules_finalize */
    GHashTable *by_key;        /* host followed by prefix, to struct
                                  bb_rules_route */
    GHashTable *by_source;     /* set of struct bb_rules_route */
};

struct bb_rules *bb_rules_create(void);
struct bb_rules_route *bb_rules_add_route(struct bb_rules *r, const char *name,
                                          const char *host,
                                          const char *prefix);
void bb_rules_route_keep_source(struct bb_rules_route *r, const char *source,
                                size_t source_bytes);
bool bb_rules_share_route(struct bb_rules *r, const struct bb_rules *earlier,
                          const char *host, const char *source,
                          size_t source_bytes);
void bb_rules_route_add_service(struct bb_rules_route *r, const char *service,
                                uint32_t weight);
void bb_rules_add_service(struct bb_rules *r, const char *name,
                          const char *health_path, uint32_t connections_max);
struct bb_team *bb_rules_add_team(struct bb_rules *r, const char *name);
const struct bb_rules_service *bb_rules_find_service(const struct bb_rules *r,
                                                     const char *name);
const struct bb_team *bb_rules_find_team(const struct bb_rules *r,
                                         const char *key, size_t key_bytes);
bool bb_rules_finalize(struct bb_rules *r, struct bb_error *e);
const struct bb_rules_route *
bb_rules_match(const struct bb_rules *r, const char *host, const char *target);
struct bb_rules *bb_rules_ref(struct bb_rules *r);
void bb_rules_unref(struct bb_rules *r);

#endif
