/* The routing table of a node: an immutable object built from a revision of
 * the configuration and the member records. Routes whose service has no usable
 * upstream are left out. Readers get the current table under RCU and hold a
 * reference for the duration of a request, so read-side sections stay short.
 */
#ifndef BB_PROXY_TABLE_H
#define BB_PROXY_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/config.h"
#include "decide/route_pick.h"
#include "mesh/member.h"

/* A gatekeeper of a service. */
struct bb_table_gatekeeper {
    char host[BB_NAME_BYTES];
    struct bb_address http_address;
    struct bb_address rpc_address;
    uint64_t incarnation;
    uint32_t slots; /* announced by the upstream */
    enum bb_route_distance distance;
    bool is_local; /* at this node */
};

/* A service. New attempts are sent to usable_gatekeepers only; any of
 * gatekeepers can hold or witness the claim of a key. */
struct bb_table_service {
    struct bb_service settings; /* without the list of called services */
    char team[BB_NAME_BYTES];   /* empty if the service has none */
    uint32_t team_max_in_flight;
    /* With a usable upstream. */
    struct bb_table_gatekeeper *usable_gatekeepers;
    uint32_t usable_gatekeeper_count;
    /* Of all members of the service that are not dead and have not left. */
    struct bb_table_gatekeeper *gatekeepers;
    uint32_t gatekeeper_count;
};

struct bb_table {
    uint64_t revision;
    struct bb_limits limits;
    struct bb_table_service *services;
    uint16_t service_count;
    struct bb_route *routes; /* longest path prefix first */
    uint16_t route_count;
    uint32_t longest_timeout_ms; /* of all routes, also those left out */
};

/* The node for which a table is built. */
struct bb_node_location {
    const char *host;
    const char *zone;
    const char *region;
};

struct bb_table *bb_table_build(const struct bb_config *c,
                                const struct bb_member *members, size_t count,
                                const struct bb_node_location *location);
const struct bb_route *bb_table_find_route(const struct bb_table *t,
                                           const char *url, uint32_t method);
const struct bb_table_service *bb_table_find_service(const struct bb_table *t,
                                                     const char *name);
const struct bb_table_gatekeeper *
bb_table_find_usable_gatekeeper(const struct bb_table_service *s,
                                const char *host);
void bb_table_unref(struct bb_table *t);

struct bb_current_table;

struct bb_current_table *bb_current_table_create(void);
void bb_current_table_set(struct bb_current_table *c, struct bb_table *t);
struct bb_table *bb_current_table_get(struct bb_current_table *c);
void bb_current_table_destroy(struct bb_current_table *c);

#endif
