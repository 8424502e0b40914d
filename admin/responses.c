#include "admin/responses.h"

#include <string.h>

#include "admin/response_parts.h"

/* Returns the response of /v1/members: all members of the mesh that the
 * process knows. The caller frees the object with json_decref. */
json_t *
bb_admin_members_json(struct bb_mesh *mesh)
{
    struct bb_member_list members = {0};
    json_t *list = json_array();

    bb_mesh_copy_members(mesh, &members);
    for (size_t i = 0; i < members.count; i++) {
        (void)json_array_append_new(list,
                                    bb_admin_member_json(&members.items[i]));
    }
    bb_member_list_clear(&members);
    return json_pack("{s:o}", "members", list);
}

/* Returns the response of /v1/in-force: a bundle, which may be NULL, and the
 * nodes that have applied its revision (holders) or another one (missing).
 * is_confirmed is true if a quorum of control hosts confirms the revision.
 * Lists only nodes of the zone (NULL: of all zones), without those that have
 * left the mesh. A node that cannot be reached counts as missing, with
 * revision 0. The caller frees the object with json_decref. */
json_t *
bb_admin_in_force_with_holders_json(const struct bb_bundle *b,
                                    bool is_confirmed, struct bb_mesh *mesh,
                                    const char *zone)
{
    json_t *response = bb_admin_in_force_json(b, is_confirmed);
    struct bb_member_list members = {0};

    bb_mesh_copy_members(mesh, &members);
    for (size_t i = 0; i < members.count; i++) {
        const struct bb_member *m = &members.items[i];
        bool is_reachable = m->state == BB_MEMBER_ALIVE && m->is_reachable;

        if (m->role == BB_ROLE_NODE && m->state != BB_MEMBER_LEFT &&
            (zone == NULL || strcmp(zone, m->zone) == 0)) {
            bb_admin_in_force_add_node(response, m,
                                       is_reachable ? m->applied_revision : 0);
        }
    }
    bb_member_list_clear(&members);
    return response;
}
