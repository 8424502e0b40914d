/* Whole JSON responses about the mesh and the configuration in force, the same
 * for nodes and control hosts; docs/admin-api.md describes their members. */
#ifndef BB_ADMIN_VIEWS_H
#define BB_ADMIN_VIEWS_H

#include <jansson.h>
#include <stdbool.h>

#include "config/bundle.h"
#include "mesh/mesh.h"

json_t *bb_view_members(struct bb_mesh *mesh);
json_t *bb_view_in_force(const struct bb_bundle *b, bool is_confirmed,
                         struct bb_mesh *mesh, const char *zone);

#endif
