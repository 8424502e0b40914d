/* A node's data path without the mesh, for tests and measurements: a single
 * route "/" to one service, with gatekeepers given by flags. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/digest.h"
#include "common/log.h"
#include "common/settings.h"
#include "proxy/proxy.h"

enum {
    PEERS_MAX = BB_SETTINGS_LIST_MAX,
    TIMEOUT_MAX_MS = 600000,
    RPC_PORT_OFFSET = 1,
    PEER_SLOTS = 6
};

_Static_assert(BB_EXIT_OK == 0 && BB_EXIT_FAILED == 1 && BB_EXIT_USAGE == 2 &&
                   BB_EXIT_INTERNAL == 4,
               "exit codes of this program");

static const uint64_t body_max_bytes = UINT64_C(1) << 31;

struct node {
    struct bb_proxy_settings settings;
    const char *service;
    /* Caller addresses of the gatekeepers; their RPC ports are one higher. */
    struct bb_address_list peers;
    struct bb_address rpc_listen;
    uint64_t timeout_ms;
    uint64_t retry_limit;
    uint64_t hedge_limit;
    uint64_t queue_length;
    uint64_t idle_timeout_ms;
    uint64_t drain_ms;
    uint64_t seed;
    uint64_t incarnation;
    uint64_t depth_zero_max;
    uint64_t extra_per_depth;
    uint64_t max_depth;
    struct bb_proxy *proxy;
    struct bb_member self; /* without a service: no upstream was announced */
    pthread_mutex_t lock;
};

/* Builds a table and a roster from the peers and the local upstream and sets
 * them. Call with the lock held. */
static void
set_table(struct node *n)
{
    struct bb_service service = {.team = BB_INDEX_NONE,
                                 .queue_length = (uint32_t)n->queue_length,
                                 .long_work_percent = 100,
                                 .retention_s = 600};
    struct bb_route route = {.name = "all",
                             .path_prefix = "/",
                             .methods = BB_METHOD_ANY,
                             .timeout_ms = (uint32_t)n->timeout_ms,
                             .retry_limit = (uint32_t)n->retry_limit,
                             .hedge_limit = (uint32_t)n->hedge_limit};
    const struct bb_config config = {
        .revision = 1,
        .limits = {.max_depth = (uint32_t)n->max_depth,
                   .max_body_bytes = body_max_bytes,
                   .retry_budget_percent = 20,
                   .hedge_budget_percent = 5,
                   .max_ejected_percent = 34},
        .services = &service,
        .service_count = 1,
        .routes = &route,
        .route_count = 1,
    };
    const struct bb_node_location location = {
        .host = n->settings.host, .zone = "z", .region = "r"};
    struct bb_member members[PEERS_MAX + 1] = {0};
    struct bb_roster roster = {.epoch = 1};
    size_t count = 0;

    (void)strncpy(service.name, n->service, sizeof(service.name) - 1);
    for (uint32_t i = 0; i < n->peers.count; i++) {
        struct bb_member *m = &members[count++];

        (void)bb_address_format(&n->peers.items[i], m->host);
        (void)strcpy(m->zone, "z");
        (void)strcpy(m->region, "r");
        (void)strncpy(m->service, n->service, sizeof(m->service) - 1);
        m->http_address = n->peers.items[i];
        m->rpc_address = m->http_address;
        m->rpc_address.port =
            (uint16_t)(m->rpc_address.port + RPC_PORT_OFFSET);
        m->incarnation = n->incarnation;
        m->upstream_state = BB_UPSTREAM_READY;
        m->slots = PEER_SLOTS;
        m->is_reachable = true;
    }
    if (n->self.service[0] != '\0') {
        members[count++] = n->self;
    }
    for (size_t i = 0; i < count; i++) {
        roster.hosts[roster.host_count++] =
            bb_hash64(members[i].host, strlen(members[i].host), 0);
    }
    bb_proxy_set_roster(n->proxy, n->service, &roster);
    bb_proxy_set_table(n->proxy,
                       bb_table_build(&config, members, count, &location));
}

/* Called by the proxy, possibly before bb_proxy_create has returned. */
static void
upstream_changed(void *context, const char *service, uint32_t slots,
                 uint32_t connections, enum bb_upstream_state state)
{
    struct node *n = context;

    (void)pthread_mutex_lock(&n->lock);
    (void)strncpy(n->self.host, n->settings.host, sizeof(n->self.host) - 1);
    (void)strncpy(n->self.service, service, sizeof(n->self.service) - 1);
    (void)strcpy(n->self.zone, "z");
    (void)strcpy(n->self.region, "r");
    n->self.slots = slots;
    n->self.connections = connections;
    n->self.upstream_state = state;
    n->self.is_reachable = true;
    n->self.incarnation = n->incarnation;
    if (n->proxy != NULL) {
        set_table(n);
    }
    (void)pthread_mutex_unlock(&n->lock);
}

#define NUMBER_ROW(name_, default_, max_, target_)                            \
    {                                                                         \
        .name = (name_), .value_name = "N", .help = (name_),                  \
        .kind = BB_SETTING_NUMBER, .default_value = (default_), .min = 0,     \
        .max = (max_), .to.number = (target_)                                 \
    }

static enum bb_settings_result
read_settings(struct node *n, int argc, char **argv, struct bb_error *e)
{
    struct bb_proxy_settings *s = &n->settings;
    const struct bb_setting table[] = {
        {.name = "host",
         .value_name = "NAME",
         .help = "own name; -: the address for callers",
         .kind = BB_SETTING_TEXT,
         .default_value = "-",
         .to.text = &s->host},
        {.name = "service",
         .value_name = "NAME",
         .help = "only service",
         .kind = BB_SETTING_TEXT,
         .is_required = true,
         .to.text = &n->service},
        {.name = "listen",
         .value_name = "IP:PORT",
         .help = "callers",
         .kind = BB_SETTING_ADDRESS,
         .is_required = true,
         .to.address = &s->caller_listen},
        {.name = "local",
         .value_name = "IP:PORT",
         .help = "own upstream",
         .kind = BB_SETTING_ADDRESS,
         .is_required = true,
         .to.address = &s->local_listen},
        {.name = "peers",
         .value_name = "LIST",
         .help = "gatekeepers",
         .kind = BB_SETTING_ADDRESS_LIST,
         .default_value = "",
         .to.addresses = &n->peers},
        NUMBER_ROW("timeout-ms", "5000", TIMEOUT_MAX_MS, &n->timeout_ms),
        NUMBER_ROW("retry-limit", "2", 10, &n->retry_limit),
        NUMBER_ROW("hedge-limit", "0", 1, &n->hedge_limit),
        NUMBER_ROW("queue-length", "64", 1024, &n->queue_length),
        NUMBER_ROW("idle-timeout-ms", "10000", TIMEOUT_MAX_MS,
                   &n->idle_timeout_ms),
        NUMBER_ROW("drain-ms", "5000", TIMEOUT_MAX_MS, &n->drain_ms),
        NUMBER_ROW("seed", "1", UINT64_MAX, &n->seed),
        NUMBER_ROW("incarnation", "1", UINT64_MAX, &n->incarnation),
        NUMBER_ROW("worker-base", "0", 10000, &n->depth_zero_max),
        NUMBER_ROW("worker-step", "0", 10000, &n->extra_per_depth),
        NUMBER_ROW("max-depth", "16", 16, &n->max_depth),
    };

    return bb_settings_read("proxy-node", "Test node.", table,
                            sizeof(table) / sizeof(table[0]), argc, argv, NULL,
                            NULL, e);
}

static struct bb_rpc_server *
start_rpc(struct node *n, struct bb_error *e)
{
    struct bb_rpc_server *server;

    n->rpc_listen = n->settings.caller_listen;
    n->rpc_listen.port = (uint16_t)(n->rpc_listen.port + RPC_PORT_OFFSET);
    server = bb_rpc_server_create(&n->rpc_listen, e);
    if (server == NULL || !bb_proxy_register_rpc(n->proxy, server, e) ||
        !bb_rpc_server_start(server, e)) {
        return NULL;
    }
    return server;
}

int
main(int argc, char **argv)
{
    struct node n = {0};
    struct bb_error e = {0};
    struct bb_rpc_server *server;
    char own_name[BB_ADDRESS_TEXT_BYTES];
    sigset_t signals;
    int signal_number = 0;
    int code = BB_EXIT_FAILED;

    if (read_settings(&n, argc, argv, &e) != BB_SETTINGS_RUN) {
        (void)fprintf(stderr, "%s\n", e.message);
        return BB_EXIT_USAGE;
    }
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    bb_log_init("proxy-node", n.settings.host, false);
    (void)pthread_mutex_init(&n.lock, NULL);
    if (strcmp(n.settings.host, "-") == 0) {
        n.settings.host =
            bb_address_format(&n.settings.caller_listen, own_name);
    }
    n.settings.zone = "z";
    n.settings.region = "r";
    n.settings.seed = n.seed;
    n.settings.incarnation = n.incarnation;
    n.settings.idle_timeout_ms = (uint32_t)n.idle_timeout_ms;
    n.settings.workers.depth_zero_max = (uint32_t)n.depth_zero_max;
    n.settings.workers.extra_per_depth = (uint32_t)n.extra_per_depth;
    n.settings.rpc = bb_rpc_pool_create();
    n.settings.upstream_changed = upstream_changed;
    n.settings.upstream_changed_context = &n;
    n.proxy = bb_proxy_create(&n.settings, &e);
    server = n.proxy != NULL ? start_rpc(&n, &e) : NULL;
    if (server == NULL) {
        (void)fprintf(stderr, "%s\n", e.message);
        return BB_EXIT_INTERNAL;
    }
    (void)pthread_mutex_lock(&n.lock);
    set_table(&n);
    (void)pthread_mutex_unlock(&n.lock);
    (void)sigwait(&signals, &signal_number);
    code = bb_proxy_drain(n.proxy, (uint32_t)n.drain_ms) ? BB_EXIT_OK
                                                         : BB_EXIT_FAILED;
    bb_rpc_server_destroy(server);
    bb_proxy_destroy(n.proxy);
    bb_rpc_pool_destroy(n.settings.rpc);
    return code;
}
