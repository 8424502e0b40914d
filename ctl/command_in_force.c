/* baobabctl in-force: what is in force, where it comes from, who holds it, and
 * the rosters of witnesses. */
#include <inttypes.h>

#include "common/registry.h"
#include "ctl.h"

/* Prints one list of members. */
static void
print_members(const struct bb_ctl *c, const json_t *answer, const char *list)
{
    const json_t *members = json_object_get(answer, list);

    (void)fprintf(c->out, "\n%s: %zu\n", list, json_array_size(members));
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *m = json_array_get(members, i);

        (void)fprintf(c->out, "  %-24s %-16s revision %" PRIu64 " %s\n",
                      bb_ctl_text(m, "host"), bb_ctl_text(m, "zone"),
                      bb_ctl_number(m, "revision"), bb_ctl_text(m, "state"));
    }
}

/* Prints the names of a list of hosts after a word. */
static void
print_hosts(const struct bb_ctl *c, const char *word, const json_t *hosts)
{
    if (json_array_size(hosts) > 0) {
        (void)fprintf(c->out, "    %s:", word);
        for (size_t i = 0; i < json_array_size(hosts); i++) {
            (void)fprintf(c->out, " %s",
                          json_string_value(json_array_get(hosts, i)));
        }
        (void)fprintf(c->out, "\n");
    }
}

/* Prints the rosters of witnesses. */
static void
print_rosters(const struct bb_ctl *c, const json_t *answer)
{
    const json_t *rosters = json_object_get(answer, "rosters");

    (void)fprintf(c->out, "\nrosters: %zu\n", json_array_size(rosters));
    for (size_t i = 0; i < json_array_size(rosters); i++) {
        const json_t *r = json_array_get(rosters, i);

        (void)fprintf(c->out, "  %-24s epoch %" PRIu64 "\n",
                      bb_ctl_text(r, "service"), bb_ctl_number(r, "epoch"));
        print_hosts(c, "hosts", json_object_get(r, "hosts"));
        print_hosts(c, "previous", json_object_get(r, "previous"));
    }
}

/* Runs the command. It fails if nothing is in force, or if no quorum confirms
 * what is. */
static enum bb_exit
run(const struct bb_ctl *c)
{
    json_t *answer = NULL;
    struct bb_folder *folder = NULL;
    enum bb_exit result = bb_ctl_get_folder(c, &answer, &folder);
    uint64_t revision;
    bool is_confirmed;

    if (result != BB_EXIT_OK) {
        return result;
    }
    revision = bb_ctl_number(answer, "revision");
    is_confirmed = bb_ctl_boolean(answer, "confirmed");
    result = revision > 0 && is_confirmed ? BB_EXIT_OK : BB_EXIT_FAILED;
    if (c->is_json) {
        result = bb_ctl_print_json(c, answer, result);
    }
    else if (revision == 0) {
        (void)fprintf(c->out, "nothing is in force\n");
    }
    else {
        (void)fprintf(c->out,
                      "revision %" PRIu64 ", version %" PRIu64
                      ", %s\ndigest %s\n",
                      revision, bb_ctl_number(answer, "version"),
                      is_confirmed ? "confirmed by a quorum" : "unconfirmed",
                      bb_ctl_text(answer, "digest"));
        print_members(c, answer, "holders");
        print_members(c, answer, "missing");
        print_rosters(c, answer);
        (void)fprintf(c->out, "\n%s", bb_ctl_text(answer, "text"));
    }
    bb_folder_destroy(folder);
    json_decref(answer);
    return result;
}

static const struct bb_ctl_command command = {
    .help = "show what is in force and which nodes hold it",
    .run = run,
};

BB_PLUGIN(in_force, BB_PLUGIN_CTL_COMMAND, "in-force", &command);
