/* Plans the witness rosters of all services with decide/roster.h, from the
 * members of the mesh and the revision in force. Not thread-safe. */
#ifndef BB_CONTROL_ROSTER_PLAN_H
#define BB_CONTROL_ROSTER_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "config/bundle.h"
#include "config/config.h"
#include "mesh/members.h"

/* The planners of all services, with what they keep between calls. */
struct bb_roster_planner_set;

struct bb_roster_planner_set *bb_roster_planner_set_create(void);
void bb_roster_planner_set_destroy(struct bb_roster_planner_set *p);
struct bb_rosters *bb_roster_planner_set_update(
    struct bb_roster_planner_set *p, const struct bb_bundle *in_force,
    const struct bb_config *config, const struct bb_member_list *members,
    uint64_t now_us);

#endif
