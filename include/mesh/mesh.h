/* Membership and configuration distribution in a node or control host.
 *
 * Each control host pushes (RPC OFFER) a new revision to the two relays of the
 * zones it is responsible for, and the relays push it to the members of their
 * zone. A member that learns by gossip of a newer revision pulls it (RPC
 * FETCH). Member records are reported by the relays to the control hosts,
 * exchanged among these, and reported back to the relays and members of other
 * zones.
 *
 * All functions are thread-safe. Callbacks run on the threads of the mesh or
 * of the RPC server and may call bb_mesh functions other than bb_mesh_stop,
 * bb_mesh_destroy and bb_mesh_find_min_revision. The encode_payload callback
 * must not call bb_mesh_announce_revision either, which takes a lock that is
 * held during the callback. Lock order: a lock of the mesh, the gossip lock,
 * the table's lock. */
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

/* A full bundle (snapshot), or a delta against a base revision, as encoded by
 * config/bundle. The mesh does not interpret the bytes. */
struct bb_mesh_payload {
    uint64_t revision;
    struct bb_digest digest; /* of the resulting configuration */
    bool is_delta;
    uint64_t base_revision; /* of a delta */
    uint8_t *data;          /* from malloc */
    size_t size_bytes;
};

/* Result of applying a payload. */
enum bb_mesh_apply_result {
    BB_MESH_APPLIED,
    /* The node holds this revision or a newer one, or accepts no payloads
     * yet. */
    BB_MESH_STALE,
    /* A damaged snapshot, a wrong digest, or a configuration with faults. */
    BB_MESH_INVALID,
    /* The delta is damaged, or the node does not hold its base. */
    BB_MESH_NEED_SNAPSHOT
};

struct bb_mesh_callbacks {
    void *context;
    /* Encodes the newest revision for a receiver that holds receiver_revision
     * (0 for none). Returns false if there is nothing newer. The mesh frees
     * out->data with free. Called on several threads, but calls do not
     * overlap. NULL if this process serves no revisions. */
    bool (*encode_payload)(void *context, uint64_t receiver_revision,
                           struct bb_mesh_payload *out);
    /* Validates and applies a payload, whole or not at all, and sets
     * *held_revision to the revision held afterwards; the mesh does not use
     * it, but takes the payload's revision as held after BB_MESH_APPLIED.
     * Calls do not overlap. NULL on control hosts. */
    enum bb_mesh_apply_result (*apply_payload)(
        void *context, const struct bb_mesh_payload *payload,
        uint64_t *held_revision);
    /* Called when a change of the members may affect routes; copy the members
     * again. May be NULL. */
    void (*members_changed)(void *context);
};

/* Makes RPC calls; returns false and sets the error if a call fails. Tests
 * replace it by a fake. */
struct bb_mesh_transport {
    void *context;
    bool (*call)(void *context, const struct bb_address *to,
                 const struct bb_rpc_call *call, struct bb_error *e);
};

struct bb_mesh_settings {
    /* This process's record. The incarnation must be higher than that of any
     * earlier run of this host, such as the wall clock in microseconds. A
     * gossip port of 0 is replaced by the port that the socket is bound to;
     * the ports for RPC and HTTP must be the real ones. */
    struct bb_member self;
    struct bb_control_list control_hosts;
    struct bb_address gossip_bind_address;
    uint64_t seed; /* of the pseudo-random choices */
    struct bb_mesh_callbacks callbacks;
    struct bb_mesh_transport transport; /* all zero for RPC over TCP */
};

struct bb_mesh;

struct bb_mesh *bb_mesh_create(const struct bb_mesh_settings *settings,
                               struct bb_error *e);
bool bb_mesh_register_rpc(struct bb_mesh *mesh, struct bb_rpc_server *server,
                          struct bb_error *e);
bool bb_mesh_start(struct bb_mesh *mesh, struct bb_error *e);
void bb_mesh_stop(struct bb_mesh *mesh, bool is_leaving);
void bb_mesh_destroy(struct bb_mesh *mesh);

void bb_mesh_announce_revision(struct bb_mesh *mesh, uint64_t revision,
                               const struct bb_digest *digest);
void bb_mesh_update_self(struct bb_mesh *mesh, const struct bb_member *record);
void bb_mesh_get_self(struct bb_mesh *mesh, struct bb_member *out);
void bb_mesh_copy_members(struct bb_mesh *mesh, struct bb_member_list *out);
bool bb_mesh_find_min_revision(struct bb_mesh *mesh, uint32_t timeout_ms,
                               uint64_t *revision);
uint64_t bb_mesh_get_highest_revision(struct bb_mesh *mesh);

bool bb_mesh_dispatch(struct bb_mesh *mesh, uint32_t procedure, void *argument,
                      void *result);

#endif
