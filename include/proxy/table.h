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
#include "mesh/member.h"

enum bb_endpoint_distance {
    BB_ENDPOINT_SAME_ZONE,
    BB_ENDPOINT_SAME_REGION,
    BB_ENDPOINT_OTHER_REGION
};

/* A gatekeeper of a service. */
struct bb_endpoint {
    char host[BB_NAME_BYTES];
    struct bb_address http_address;
    struct bb_address rpc_address;
    uint64_t incarnation;
    uint32_t slots;
    enum bb_endpoint_distance distance;
    bool is_local;
};

struct bb_table_service {
    struct bb_service settings; /* without the list of called services */
    char team[BB_NAME_BYTES];
    uint32_t team_max_in_flight;
    struct bb_endpoint *usable_endpoints; /* with a usable upstream */
    uint32_t usable_count;
    struct bb_endpoint *gatekeepers; /* all, since any can be a witness */
    uint32_t gatekeeper_count;
};

struct bb_table {
    uint64_t revision;
    struct bb_limits limits;
    struct bb_table_service *services;
    uint16_t service_count;
    struct bb_route *routes; /* longest path prefix first */
    uint16_t route_count;
    uint32_t longest_timeout_ms;
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
const struct bb_endpoint *
bb_table_find_endpoint(const struct bb_table_service *s, const char *host);
void bb_table_unref(struct bb_table *t);

struct bb_current_table;

struct bb_current_table *bb_current_table_create(void);
void bb_current_table_set(struct bb_current_table *c, struct bb_table *t);
struct bb_table *bb_current_table_get(struct bb_current_table *c);
void bb_current_table_destroy(struct bb_current_table *c);

#endif
