/* The configuration that a node holds, and the routing table made from it.
 *
 * A payload is applied as a whole or not at all. The table goes to the proxy
 * only once the floor is known and reached: the highest revision that anyone
 * remembers for this host. No payload is taken before. The proxy gets the
 * rosters of a revision with its table. One thread builds tables; changes that
 * arrive while it works are covered by the next table.
 *
 * Lock order: the holder's lock, then the lock of the history. */
#ifndef BB_NODE_NODE_CONFIG_H
#define BB_NODE_NODE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "config/history.h"
#include "mesh/mesh.h"
#include "mesh/payload.h"
#include "proxy/proxy.h"

struct bb_node_config_settings {
    const char *host;
    const char *zone;
    const char *region;
    const char *data_folder; /* NULL: nothing is kept on disk */
};

struct bb_node_config;

struct bb_node_config *
bb_node_config_create(const struct bb_node_config_settings *s);
bool bb_node_config_start(struct bb_node_config *h, struct bb_mesh *mesh,
                          struct bb_proxy *proxy, struct bb_error *e);
void bb_node_config_stop(struct bb_node_config *h);
void bb_node_config_destroy(struct bb_node_config *h);

bool bb_node_config_encode_payload(void *holder, uint64_t have_revision,
                                   struct bb_mesh_payload *out);
enum bb_mesh_receive
bb_node_config_receive_payload(void *holder,
                               const struct bb_mesh_payload *payload,
                               uint64_t *held_revision);
void bb_node_config_members_changed(void *holder);
struct bb_bundle *bb_node_config_newest(struct bb_node_config *h);
uint64_t bb_node_config_served_revision(struct bb_node_config *h);

#endif
