/* Keeps the witness rosters up to date: a thread that plans them from the
 * members of the mesh. It runs on every control host, so that a new leader has
 * observed the members before; only the leader proposes changes. */
#ifndef BB_CONTROL_ROSTER_KEEPER_H
#define BB_CONTROL_ROSTER_KEEPER_H

#include "common/error.h"
#include "control/proposal.h"
#include "mesh/mesh.h"

enum bb_control_error {
    BB_CONTROL_ERROR_START = 1 /* a component or thread cannot be started */
};

struct bb_roster_keeper;

struct bb_roster_keeper *
bb_roster_keeper_create(const struct bb_proposal_target *target,
                        struct bb_replicate *replicate, struct bb_mesh *mesh,
                        struct bb_error *e);
void bb_roster_keeper_destroy(struct bb_roster_keeper *k);

#endif
