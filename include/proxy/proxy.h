/* The data path of a node: an HTTP server for callers and other nodes, an HTTP
 * server for announcements of the local upstream, the upstream's gatekeeper,
 * and the HTTP client.
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

enum bb_proxy_error { BB_PROXY_ERROR_START = 1 };

/* Settings of a proxy. Numbers that are 0 get the default in brackets. */
struct bb_proxy_settings {
    const char *host;
    const char *zone;
    const char *region;
    struct bb_address caller_listen; /* port 0: any free port */
    struct bb_address local_listen;  /* for the local upstream only */
    uint64_t incarnation;
    uint64_t seed;
    struct bb_workers_limits workers; /* [256, 16 per depth, 64 detached] */
    struct bb_rpc_pool *rpc;          /* not owned, must outlive the proxy */
    uint32_t connection_limit;        /* [4096] */
    uint32_t idle_timeout_ms;   /* [10000] for slow readers and senders */
    uint32_t silence_check_ms;  /* [1000] before a silent attempt is queried */
    uint32_t record_entries;    /* [131072], a power of two */
    uint32_t retention_s;       /* [600] until a configuration sets it */
    const char *routing_policy; /* NULL: least_wait */
    bool ignores_slots;         /* for measurements: limit by connections */
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
bool bb_proxy_register(struct bb_proxy *p, struct bb_rpc_server *server,
                       struct bb_error *e);
uint32_t bb_proxy_in_flight(const struct bb_proxy *p);
bool bb_proxy_drain(struct bb_proxy *p, uint32_t timeout_ms);
void bb_proxy_destroy(struct bb_proxy *p);

#endif
