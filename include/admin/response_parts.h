/* Parts from which the JSON responses of control hosts and nodes are built.
 * Endpoints use admin/responses.h, which returns whole responses.
 * docs/admin-api.md describes their members. */
#ifndef BB_ADMIN_RESPONSE_PARTS_H
#define BB_ADMIN_RESPONSE_PARTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/bundle.h"
#include "mesh/member.h"

json_t *bb_admin_in_force_json(const struct bb_bundle *b, bool is_confirmed);
void bb_admin_in_force_add_node(json_t *in_force, const struct bb_member *m,
                                uint64_t applied_revision);
json_t *bb_admin_member_json(const struct bb_member *m);

#endif
