/* baobab-node: starts the components of a node and runs until a stop signal.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/random.h"
#include "common/stop_signal.h"
#include "node.h"

/* Publishes the state of the local upstream in this node's member record.
 * Called on a thread of the proxy. */
static void
publish_upstream(void *context, const char *service, uint32_t slots,
                 uint32_t connections, enum bb_upstream_state state)
{
    struct bb_node *n = context;
    struct bb_member self;

    bb_mesh_get_self(n->mesh, &self);
    (void)g_strlcpy(self.service, service, sizeof(self.service));
    self.slots = slots;
    self.connections = connections;
    self.upstream_state = state;
    bb_mesh_update_self(n->mesh, &self);
    bb_node_config_members_changed(n->config);
}

/* Creates the mesh member. Must precede the proxy, whose callbacks use it. */
static bool
create_mesh(struct bb_node *n, uint64_t incarnation, struct bb_error *e)
{
    const struct bb_node_settings *s = &n->settings;
    struct bb_mesh_settings m = {
        .self = {.role = BB_ROLE_NODE,
                 .http_address = s->listen_address,
                 .rpc_address = s->rpc_address,
                 .gossip_address = s->gossip_address,
                 .incarnation = incarnation},
        .control_hosts = s->control_hosts,
        .gossip_bind_address = s->gossip_address,
        .seed = s->seed,
        .callbacks = {.context = n->config,
                      .encode_payload = bb_node_config_encode_payload,
                      .apply_payload = bb_node_config_apply_payload,
                      .members_changed = bb_node_config_members_changed},
    };
    struct bb_bundle *saved = bb_node_config_newest(n->config);

    (void)g_strlcpy(m.self.host, s->host, sizeof(m.self.host));
    (void)g_strlcpy(m.self.zone, s->zone, sizeof(m.self.zone));
    (void)g_strlcpy(m.self.region, s->region, sizeof(m.self.region));
    if (saved != NULL) {
        m.self.held_revision = saved->revision;
        m.self.applied_revision = saved->revision;
        bb_bundle_unref(saved);
    }
    n->mesh = bb_mesh_create(&m, e);
    return n->mesh != NULL;
}

/* Creates the proxy. It listens at once and refuses requests until there is a
 * table. */
static bool
create_proxy(struct bb_node *n, uint64_t incarnation, struct bb_error *e)
{
    const struct bb_node_settings *s = &n->settings;
    struct bb_proxy_settings p = {
        .host = s->host,
        .zone = s->zone,
        .region = s->region,
        .caller_listen = s->listen_address,
        .local_listen = s->local_address,
        .incarnation = incarnation,
        .seed = s->seed,
        .workers = {.depth_zero_max = (uint32_t)s->workers},
        .routing_policy = s->routing_policy,
        .ignores_slots = s->ignores_slots,
        /* Assumed until the other members report that this host never held a
         * revision; claims are not kept on disk. */
        .restarted_without_data = true,
        .rpc = n->rpc_pool,
        .upstream_changed = publish_upstream,
        .upstream_changed_context = n,
    };

    n->proxy = bb_proxy_create(&p, e);
    return n->proxy != NULL;
}

/* Starts the administration API. */
static bool
create_admin(struct bb_node *n, struct bb_error *e)
{
    const struct bb_admin_server_settings o = {
        .listen = n->settings.admin_address,
        .token = n->settings.admin_token,
        .context = n};

    n->admin = bb_admin_server_create(&o, e);
    return n->admin != NULL;
}

/* Starts all components in the order of their dependencies. */
static bool
start(struct bb_node *n, struct bb_error *e)
{
    const struct bb_node_settings *s = &n->settings;
    const struct bb_node_config_settings c = {.host = s->host,
                                              .zone = s->zone,
                                              .region = s->region,
                                              .data_folder = s->data_folder};
    uint64_t incarnation = bb_clock_wall_now_us();

    n->rpc_pool = bb_rpc_pool_create();
    n->rpc_server = bb_rpc_server_create(&s->rpc_address, e);
    n->config = bb_node_config_create(&c);
    return n->rpc_server != NULL && create_mesh(n, incarnation, e) &&
           create_proxy(n, incarnation, e) &&
           bb_mesh_register_rpc(n->mesh, n->rpc_server, e) &&
           bb_proxy_register_rpc(n->proxy, n->rpc_server, e) &&
           bb_rpc_server_start(n->rpc_server, e) &&
           bb_node_config_start(n->config, n->mesh, n->proxy, e) &&
           bb_mesh_start(n->mesh, e) && create_admin(n, e);
}

/* Announces that the upstream is leaving, so that other nodes stop sending
 * requests, waits up to shutdown_ms for those in flight, and leaves the mesh.
 */
static void
drain(struct bb_node *n)
{
    struct bb_member self;

    bb_mesh_get_self(n->mesh, &self);
    if (self.upstream_state != BB_UPSTREAM_NONE) {
        self.upstream_state = BB_UPSTREAM_LEAVING;
        bb_mesh_update_self(n->mesh, &self);
    }
    if (!bb_proxy_drain(n->proxy, (uint32_t)n->settings.shutdown_ms)) {
        bb_log_warning("node.shutdown_timeout",
                       "timed out with %u requests still in flight",
                       bb_proxy_in_flight(n->proxy));
    }
    bb_mesh_stop(n->mesh, true);
}

/* Frees all components, in reverse order of their dependencies. */
static void
destroy(struct bb_node *n)
{
    bb_admin_server_destroy(n->admin);
    bb_rpc_server_destroy(n->rpc_server);
    /* The configuration's threads use the proxy, and the proxy's callback uses
     * the configuration. */
    bb_node_config_stop(n->config);
    bb_proxy_destroy(n->proxy);
    bb_node_config_destroy(n->config);
    bb_mesh_destroy(n->mesh);
    bb_rpc_pool_destroy(n->rpc_pool);
}

int
main(int argc, char **argv)
{
    struct bb_node n = {0};
    struct bb_error e = {0};
    int result = BB_EXIT_INTERNAL;

    switch (bb_node_settings_read(argc, argv, &n.settings, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-node: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    if (n.settings.seed == 0) {
        n.settings.seed = bb_random_system_seed();
    }
    bb_stop_signal_block();
    bb_log_init("baobab-node", n.settings.host, n.settings.log_json);
    if (!start(&n, &e)) {
        bb_log_warning("node.start_failed", "%s", e.message);
        goto out;
    }
    bb_log_info("node.started", "zone %s, region %s", n.settings.zone,
                n.settings.region);
    (void)bb_stop_signal_wait();
    bb_log_info("node.stopping", "waiting for %u requests in flight",
                bb_proxy_in_flight(n.proxy));
    drain(&n);
    bb_log_info("node.stopped", "shutdown complete");
    result = BB_EXIT_OK;
out:
    destroy(&n);
    return result;
}
