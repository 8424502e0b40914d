/* baobabctl members: lists the members of the mesh that the process knows. */
#include <inttypes.h>

#include "common/registry.h"
#include "ctl.h"

/* Prints one member on a line. */
static void
print_member(const struct bb_ctl_context *c, const json_t *m)
{
    (void)fprintf(c->out, "%-24s %-16s %-8s %-8s %10" PRIu64 " %-21s %-16s %s",
                  bb_ctl_get_text(m, "host"), bb_ctl_get_text(m, "zone"),
                  bb_ctl_get_text(m, "role"), bb_ctl_get_text(m, "state"),
                  bb_ctl_get_number(m, "held_revision"),
                  bb_ctl_get_text(m, "http"), bb_ctl_get_text(m, "service"),
                  bb_ctl_get_text(m, "upstream_state"));
    (void)fputs(bb_ctl_get_boolean(m, "reachable") ? "\n" : " unreachable\n",
                c->out);
}

/* Runs `baobabctl members`. Returns the result of the fetch or of printing. */
static enum bb_exit
run_members(const struct bb_ctl_context *c)
{
    json_t *response = NULL;
    enum bb_exit result = bb_ctl_fetch(c, "/v1/members", &response);
    const json_t *members;

    if (result != BB_EXIT_OK) {
        return result;
    }
    members = json_object_get(response, "members");
    if (c->is_json) {
        result = bb_ctl_print_json(c, response, BB_EXIT_OK);
    }
    else {
        (void)fprintf(c->out, "%-24s %-16s %-8s %-8s %10s %-21s %-16s %s\n",
                      "host", "zone", "role", "state", "revision", "http",
                      "service", "upstream");
        for (size_t i = 0; i < json_array_size(members); i++) {
            print_member(c, json_array_get(members, i));
        }
    }
    json_decref(response);
    return result;
}

static const struct bb_ctl_command command = {
    .help = "list the members of the mesh",
    .run = run_members,
};

BB_PLUGIN(members, BB_PLUGIN_CTL_COMMAND, "members", &command);
