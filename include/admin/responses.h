/* Whole JSON responses about the mesh and the configuration in force, the same
 * for nodes and control hosts; docs/admin-api.md describes their members. */
#ifndef BB_ADMIN_RESPONSES_H
#define BB_ADMIN_RESPONSES_H

#include <jansson.h>
#include <stdbool.h>

#include "config/bundle.h"
#include "mesh/mesh.h"

json_t *bb_admin_members_json(struct bb_mesh *mesh);
json_t *bb_admin_in_force_with_holders_json(const struct bb_bundle *b,
                                            bool is_confirmed,
                                            struct bb_mesh *mesh,
                                            const char *zone);

#endif
