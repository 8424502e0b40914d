/* The record of one member of the mesh, a node or control host. The member
 * itself writes it; copies are merged by (incarnation, sequence). */
#ifndef BB_MESH_MEMBER_H
#define BB_MESH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "config/config.h"

enum bb_member_role { BB_ROLE_NODE, BB_ROLE_CONTROL };

/* The order matters: of two records with equal incarnation and sequence, the
 * one with the higher state is kept. */
enum bb_member_state {
    BB_MEMBER_ALIVE,
    BB_MEMBER_SUSPECT,
    BB_MEMBER_DEAD,
    BB_MEMBER_LEFT
};

/* Only READY accepts new requests; see enum bb_admission_state, which has the
 * same values. */
enum bb_upstream_state {
    BB_UPSTREAM_NONE,
    BB_UPSTREAM_STARTING,
    BB_UPSTREAM_READY,
    BB_UPSTREAM_DRAINING,
    BB_UPSTREAM_LEAVING
};

struct bb_member {
    char host[BB_NAME_BYTES];
    char zone[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    enum bb_member_role role;
    struct bb_address http_address;   /* calls from other nodes */
    struct bb_address rpc_address;    /* ONC RPC over TCP */
    struct bb_address gossip_address; /* UDP datagrams */
    uint64_t incarnation;             /* higher after each restart */
    uint64_t sequence; /* rises with each change of the record */
    enum bb_member_state state;
    uint64_t held_revision;      /* highest ever held, over all incarnations */
    uint64_t applied_revision;   /* in force in this incarnation; may be
                                    lower than the held one after a restart */
    char service[BB_NAME_BYTES]; /* of the upstream; empty if there is none */
    enum bb_upstream_state upstream_state;
    uint32_t slots;       /* max running requests of the upstream */
    uint32_t connections; /* max connections to the upstream */
    /* Whether the member's zone is reachable from here; never sent. */
    bool is_reachable;
};

#endif
