/* baobabctl members: the known members of the mesh. */
#include <inttypes.h>

#include "common/registry.h"
#include "ctl.h"

/* Prints one member as a line. */
static void
print_member(const struct bb_ctl *c, const json_t *m)
{
    (void)fprintf(c->out, "%-24s %-16s %-8s %-8s %10" PRIu64 " %-21s %-16s %s",
                  bb_ctl_text(m, "host"), bb_ctl_text(m, "zone"),
                  bb_ctl_text(m, "role"), bb_ctl_text(m, "state"),
                  bb_ctl_number(m, "held_revision"), bb_ctl_text(m, "http"),
                  bb_ctl_text(m, "service"), bb_ctl_text(m, "upstream_state"));
    (void)fputs(bb_ctl_boolean(m, "reachable") ? "\n" : " unreachable\n",
                c->out);
}

/* Runs the command. */
static enum bb_exit
run(const struct bb_ctl *c)
{
    json_t *answer = NULL;
    enum bb_exit result = bb_ctl_get(c, "/v1/members", &answer);
    const json_t *members;

    if (result != BB_EXIT_OK) {
        return result;
    }
    members = json_object_get(answer, "members");
    if (c->is_json) {
        result = bb_ctl_print_json(c, answer, BB_EXIT_OK);
    }
    else {
        (void)fprintf(c->out, "%-24s %-16s %-8s %-8s %10s %-21s %-16s %s\n",
                      "host", "zone", "role", "state", "revision", "http",
                      "service", "upstream");
        for (size_t i = 0; i < json_array_size(members); i++) {
            print_member(c, json_array_get(members, i));
        }
    }
    json_decref(answer);
    return result;
}

static const struct bb_ctl_command command = {
    .help = "list the members of the mesh",
    .run = run,
};

BB_PLUGIN(members, BB_PLUGIN_CTL_COMMAND, "members", &command);
