/* The configuration that a node holds, and the routing table made from it.
 *
 * A payload is applied as a whole or not at all. The table goes to the proxy
 * only once the floor is known and reached: the highest revision that anyone
 * remembers for this host. No payload is taken before. The proxy gets the
 * rosters of a revision with its table. One thread builds tables; changes that
 * arrive while it works are covered by the next table.
 *
 * Lock order: the holder's lock, then the lock of the history. */
#ifndef BB_NODE_HOLDER_H
#define BB_NODE_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "config/history.h"
#include "mesh/mesh.h"
#include "mesh/payload.h"
#include "proxy/proxy.h"

struct bb_holder_settings {
    const char *host;
    const char *zone;
    const char *region;
    const char *data_folder; /* NULL: nothing is kept on disk */
};

struct bb_holder;

struct bb_holder *bb_holder_create(const struct bb_holder_settings *s);
bool bb_holder_start(struct bb_holder *h, struct bb_mesh *mesh,
                     struct bb_proxy *proxy, struct bb_error *e);
void bb_holder_stop(struct bb_holder *h);
void bb_holder_destroy(struct bb_holder *h);

bool bb_holder_payload(void *holder, uint64_t have_revision,
                       struct bb_mesh_payload *out);
enum bb_mesh_apply_result
bb_holder_receive(void *holder, const struct bb_mesh_payload *payload,
                  uint64_t *held_revision);
void bb_holder_members_changed(void *holder);
struct bb_bundle *bb_holder_newest(struct bb_holder *h);
uint64_t bb_holder_served_revision(struct bb_holder *h);

#endif
