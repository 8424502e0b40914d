/* The components of a running node. */
#ifndef BB_NODE_NODE_H
#define BB_NODE_NODE_H

#include "admin/admin.h"
#include "mesh/mesh.h"
#include "mesh/rpc.h"
#include "node/node_config.h"
#include "node_settings.h"
#include "proxy/proxy.h"

struct bb_node {
    struct bb_node_settings settings;
    struct bb_rpc_server *rpc_server;
    struct bb_rpc_pool *rpc_pool;
    struct bb_node_config *config;
    struct bb_proxy *proxy;
    struct bb_mesh *mesh;
    struct bb_admin_server *admin;
};

#endif
