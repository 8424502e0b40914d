/* Plans the witness rosters of all services with decide/roster.h, from the
 * members of the mesh and the revision in force. Not thread-safe. */
#ifndef BB_CONTROL_ROSTER_PLAN_H
#define BB_CONTROL_ROSTER_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "config/bundle.h"
#include "config/config.h"
#include "mesh/members.h"

/* What is remembered between calls, for each service. */
struct bb_roster_planning;

struct bb_roster_planning *bb_roster_plan_create(void);
void bb_roster_plan_destroy(struct bb_roster_planning *p);
struct bb_rosters *bb_roster_plan_update(struct bb_roster_planning *p,
                                         const struct bb_bundle *in_force,
                                         const struct bb_config *config,
                                         const struct bb_member_list *members,
                                         uint64_t now_us);

#endif
