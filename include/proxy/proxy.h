/* The data path of a node: an HTTP server for callers and other nodes, an HTTP
 * server for announcements of the local upstream, the upstream's gatekeeper,
 * and the HTTP client.
 *
 * The entry node of a request is the node that receives it from the caller. It
 * sends the request to a gatekeeper of the service, which is the admission
 * control in front of an upstream, at this or another node. Before a keyed
 * request (a non-idempotent request with an idempotency key) is sent, its key
 * is claimed at witnesses: nodes that record which gatekeeper runs the request
 * with that key. The incarnation of a node identifies one lifetime of its
 * process.
 *
 * Lock order: every lock of the proxy is a leaf unless a header says
 * otherwise; the routing table is read under RCU. */
#ifndef BB_PROXY_PROXY_H
#define BB_PROXY_PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"
#include "decide/claim.h"
#include "mesh/rpc.h"
#include "proxy/gatekeeper.h"
#include "proxy/table.h"
#include "proxy/workers.h"

enum bb_proxy_error {
    BB_PROXY_ERROR_START = 1 /* an address cannot be bound, or a thread cannot
                                be started */
};

/* Settings of a proxy. A number with a default in brackets can be 0, which
 * selects the default. */
struct bb_proxy_settings {
    /* Location of this node; copied. */
    const char *host;
    const char *zone;
    const char *region;
    /* Port 0 is any free port. */
    struct bb_address caller_listen; /* for callers and other nodes */
    struct bb_address local_listen;  /* for the local upstream only */
    uint64_t incarnation; /* of this process; higher after each restart */
    uint64_t seed; /* of the random generator, with host and incarnation */
    struct bb_workers_limits workers; /* [256, 16 per depth, 64 detached] */
    struct bb_rpc_pool *rpc;          /* not owned, must outlive the proxy */
    uint32_t connection_limit;        /* [4096] to caller_listen */
    /* [10000] for slow readers and senders; rounded up to seconds for
     * connections to the HTTP servers */
    uint32_t idle_timeout_ms;
    /* [1000] silence of an attempt after which its gatekeeper is queried */
    uint32_t check_interval_ms;
    /* [131072], a power of two: size of the gatekeeper's record, and of the
     * witness's table of claims */
    uint32_t record_entries;
    uint32_t retention_s;       /* [600] until a configuration sets it */
    const char *routing_policy; /* a registered one; NULL: least_wait */
    /* For measurements: running requests are limited by the connections that
     * the upstream announces, not by its slots. */
    bool ignores_slots;
    /* This host may have granted claims that it has lost: its witness grants
     * none until retention_s has passed, or bb_proxy_set_first_start. */
    bool restarted_without_data;
    bb_upstream_changed_callback upstream_changed;
    void *upstream_changed_context;
};

struct bb_proxy;

struct bb_proxy *bb_proxy_create(const struct bb_proxy_settings *s,
                                 struct bb_error *e);
struct bb_address bb_proxy_caller_address(const struct bb_proxy *p);
struct bb_address bb_proxy_local_address(const struct bb_proxy *p);
void bb_proxy_set_table(struct bb_proxy *p, struct bb_table *t);
void bb_proxy_set_roster(struct bb_proxy *p, const char *service,
                         const struct bb_roster *r);
void bb_proxy_set_first_start(struct bb_proxy *p);
bool bb_proxy_register_rpc(struct bb_proxy *p, struct bb_rpc_server *server,
                           struct bb_error *e);
uint32_t bb_proxy_in_flight(const struct bb_proxy *p);
bool bb_proxy_drain(struct bb_proxy *p, uint32_t timeout_ms);
void bb_proxy_destroy(struct bb_proxy *p);

#endif
