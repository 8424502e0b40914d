/* The configuration of a node, and the routing table built from it.
 *
 * A payload is applied completely or not at all. The minimum revision is the
 * highest one that this host is known to have held: that of the copy on disk,
 * or without a copy the highest one that the other members report. Until it is
 * known, no payload is accepted; until the configuration has reached it, no
 * table is set. This keeps a restarted node from serving an older
 * configuration than before. The proxy gets the rosters of a revision together
 * with its table. A single thread builds tables; changes that arrive while it
 * works are covered by the next table.
 *
 * Lock order: the configuration's lock, then the lock of the history. */
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
    const char *data_folder; /* NULL: no copy is kept on disk */
};

struct bb_node_config;

struct bb_node_config *
bb_node_config_create(const struct bb_node_config_settings *s);
bool bb_node_config_start(struct bb_node_config *n, struct bb_mesh *mesh,
                          struct bb_proxy *proxy, struct bb_error *e);
void bb_node_config_stop(struct bb_node_config *n);
void bb_node_config_destroy(struct bb_node_config *n);

bool bb_node_config_encode_payload(void *context, uint64_t receiver_revision,
                                   struct bb_mesh_payload *out);
enum bb_mesh_apply_result
bb_node_config_apply_payload(void *context,
                             const struct bb_mesh_payload *payload,
                             uint64_t *held_revision);
void bb_node_config_members_changed(void *context);
struct bb_bundle *bb_node_config_newest(struct bb_node_config *n);
uint64_t bb_node_config_served_revision(struct bb_node_config *n);

#endif
