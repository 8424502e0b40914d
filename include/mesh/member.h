/* The record of one member of the mesh, written by the node it describes and
 * merged by (incarnation, sequence). */
#ifndef BB_MESH_MEMBER_H
#define BB_MESH_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "config/config.h"

enum bb_member_role { BB_ROLE_NODE, BB_ROLE_CONTROL };

/* Ordered: of two records with equal incarnation and sequence the higher
 * state is kept. */
enum bb_member_state {
    BB_MEMBER_ALIVE,
    BB_MEMBER_SUSPECT,
    BB_MEMBER_DEAD,
    BB_MEMBER_LEFT
};

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
    struct bb_address http;   /* calls from other nodes */
    struct bb_address rpc;    /* ONC RPC over TCP */
    struct bb_address gossip; /* UDP datagrams */
    uint64_t incarnation;
    uint64_t sequence;
    enum bb_member_state state;
    uint64_t held_revision;      /* the highest of all incarnations */
    uint64_t applied_revision;   /* in force in this incarnation */
    char service[BB_NAME_BYTES]; /* empty without an upstream */
    enum bb_upstream_state upstream_state;
    uint32_t slots;
    uint32_t connections;
    bool is_reachable; /* the local view; not sent */
};

#endif
