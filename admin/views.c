#include "admin/views.h"

#include <string.h>

#include "admin/answers.h"

/* Describes all members that a process knows: the answer of /v1/members. */
json_t *
bb_view_members(struct bb_mesh *mesh)
{
    struct bb_member_list members = {0};
    json_t *list = json_array();

    bb_mesh_members_snapshot(mesh, &members);
    for (size_t i = 0; i < members.count; i++) {
        (void)json_array_append_new(list,
                                    bb_admin_member_json(&members.items[i]));
    }
    bb_member_list_clear(&members);
    return json_pack("{s:o}", "members", list);
}

/* Describes the configuration in force: the answer of /v1/in-force. The
 * bundle may be NULL; zone limits the holders, NULL means all zones. Nodes
 * that left in good order are not listed; one that is not reached counts as
 * missing whatever it held. */
json_t *
bb_view_in_force(const struct bb_bundle *b, bool is_confirmed,
                 struct bb_mesh *mesh, const char *zone)
{
    json_t *answer = bb_admin_in_force_json(b, is_confirmed);
    struct bb_member_list members = {0};

    bb_mesh_members_snapshot(mesh, &members);
    for (size_t i = 0; i < members.count; i++) {
        const struct bb_member *m = &members.items[i];
        bool is_heard = m->state == BB_MEMBER_ALIVE && m->is_reachable;

        if (m->role == BB_ROLE_NODE && m->state != BB_MEMBER_LEFT &&
            (zone == NULL || strcmp(zone, m->zone) == 0)) {
            bb_admin_add_holder(answer, m, is_heard ? m->applied_revision : 0);
        }
    }
    bb_member_list_clear(&members);
    return answer;
}
