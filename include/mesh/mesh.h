/* Membership and distribution: the mesh member of a node or control host.
 *
 * Control hosts push a new revision to the two relays of each zone they are
 * responsible for, the relays push it to the members of their zone, and a
 * member that learns by gossip that it is behind pulls. Records of members
 * flow from the relays to the control hosts, between these, and back to the
 * relays and members of other zones.
 *
 * All functions are thread-safe. Callbacks run on the threads of the mesh or
 * of the RPC server, without a lock of the mesh, and may call bb_mesh
 * functions other than stop, destroy and floor_revision. Lock order: a lock
 * of the mesh, the gossip lock, the table's lock. */
#ifndef BB_MESH_MESH_H
#define BB_MESH_MESH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/digest.h"
#include "common/error.h"
#include "mesh/control_list.h"
#include "mesh/members.h"
#include "mesh/rpc.h"

enum bb_mesh_error { BB_MESH_ERROR_SOCKET = 1, BB_MESH_ERROR_THREAD };

/* A bundle, or a delta against a base revision. The bytes belong to
 * config/bundle; here they are opaque. */
struct bb_mesh_payload {
    uint64_t revision;
    struct bb_digest digest; /* of the resulting configuration */
    bool is_delta;
    uint64_t base_revision; /* of a delta */
    uint8_t *data;          /* from malloc */
    size_t size_bytes;
};

enum bb_mesh_receive {
    BB_MESH_APPLIED,
    BB_MESH_STALE, /* the node holds this revision or a later one */
    BB_MESH_INVALID,
    BB_MESH_NEED_SNAPSHOT /* the base of the delta is not held */
};

struct bb_mesh_callbacks {
    void *context;
    /* Encodes the newest revision for a receiver that holds have_revision (0
     * for none); the mesh frees out->data. False if there is nothing newer. */
    bool (*payload)(void *context, uint64_t have_revision,
                    struct bb_mesh_payload *out);
    /* Validates and applies a payload as a whole and stores the revision held
     * afterwards. Calls do not overlap. NULL on control hosts. */
    enum bb_mesh_receive (*receive)(void *context,
                                    const struct bb_mesh_payload *payload,
                                    uint64_t *held_revision);
    /* Routes may have changed: take a new snapshot. May be NULL. */
    void (*members_changed)(void *context);
};

/* How RPC calls are made; tests put a fake in its place. */
struct bb_mesh_transport {
    void *context;
    bool (*call)(void *context, const struct bb_address *to,
                 const struct bb_rpc_call *call, struct bb_error *e);
};

struct bb_mesh_settings {
    /* The own record. Incarnation: higher than in any earlier life, such as
     * the wall clock in microseconds. A gossip port of 0 is replaced by the
     * port that the socket gets; set rpc and http to the real ports. */
    struct bb_member self;
    struct bb_control_list controls;
    struct bb_address gossip_bind;
    uint64_t seed;
    struct bb_mesh_callbacks callbacks;
    struct bb_mesh_transport transport; /* zero: RPC over TCP */
};

struct bb_mesh;

struct bb_mesh *bb_mesh_create(const struct bb_mesh_settings *settings,
                               struct bb_error *e);
bool bb_mesh_register(struct bb_mesh *mesh, struct bb_rpc_server *server,
                      struct bb_error *e);
bool bb_mesh_start(struct bb_mesh *mesh, struct bb_error *e);
void bb_mesh_stop(struct bb_mesh *mesh, bool is_leaving);
void bb_mesh_destroy(struct bb_mesh *mesh);

void bb_mesh_publish(struct bb_mesh *mesh, uint64_t revision,
                     const struct bb_digest *digest);
void bb_mesh_update_self(struct bb_mesh *mesh, const struct bb_member *record);
void bb_mesh_self(struct bb_mesh *mesh, struct bb_member *out);
void bb_mesh_members_snapshot(struct bb_mesh *mesh,
                              struct bb_member_list *out);
bool bb_mesh_floor_revision(struct bb_mesh *mesh, uint32_t timeout_ms,
                            uint64_t *revision);
uint64_t bb_mesh_highest_revision(struct bb_mesh *mesh);

bool bb_mesh_handle(struct bb_mesh *mesh, uint32_t procedure, void *argument,
                    void *result);

#endif
