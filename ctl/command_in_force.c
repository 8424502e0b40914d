/* baobabctl in-force: shows the configuration in force, the file of each
 * value, the nodes that have applied it (holders) or not (missing), and the
 * witness rosters. */
#include <inttypes.h>

#include "common/registry.h"
#include "ctl.h"

/* Prints one list of nodes, "holders" or "missing". */
static void
print_nodes(const struct bb_ctl_context *c, const json_t *response,
            const char *list)
{
    const json_t *members = json_object_get(response, list);

    (void)fprintf(c->out, "\n%s: %zu\n", list, json_array_size(members));
    for (size_t i = 0; i < json_array_size(members); i++) {
        const json_t *m = json_array_get(members, i);

        (void)fprintf(c->out, "  %-24s %-16s revision %" PRIu64 " %s\n",
                      bb_ctl_get_text(m, "host"), bb_ctl_get_text(m, "zone"),
                      bb_ctl_get_number(m, "revision"),
                      bb_ctl_get_text(m, "state"));
    }
}

/* Prints the names of a list of hosts after a label; nothing if it is
 * empty. */
static void
print_hosts(const struct bb_ctl_context *c, const char *label,
            const json_t *hosts)
{
    if (json_array_size(hosts) > 0) {
        (void)fprintf(c->out, "    %s:", label);
        for (size_t i = 0; i < json_array_size(hosts); i++) {
            (void)fprintf(c->out, " %s",
                          json_string_value(json_array_get(hosts, i)));
        }
        (void)fprintf(c->out, "\n");
    }
}

/* Prints the witness rosters. */
static void
print_rosters(const struct bb_ctl_context *c, const json_t *response)
{
    const json_t *rosters = json_object_get(response, "rosters");

    (void)fprintf(c->out, "\nrosters: %zu\n", json_array_size(rosters));
    for (size_t i = 0; i < json_array_size(rosters); i++) {
        const json_t *r = json_array_get(rosters, i);

        (void)fprintf(c->out, "  %-24s epoch %" PRIu64 "\n",
                      bb_ctl_get_text(r, "service"),
                      bb_ctl_get_number(r, "epoch"));
        print_hosts(c, "hosts", json_object_get(r, "hosts"));
        print_hosts(c, "previous", json_object_get(r, "previous"));
    }
}

/* Runs `baobabctl in-force`. Returns BB_EXIT_FAILED if no configuration is in
 * force or no quorum confirms it. */
static enum bb_exit
run_in_force(const struct bb_ctl_context *c)
{
    json_t *response = NULL;
    struct bb_folder *folder = NULL;
    enum bb_exit result = bb_ctl_fetch_folder(c, &response, &folder);
    uint64_t revision;
    bool is_confirmed;

    if (result != BB_EXIT_OK) {
        return result;
    }
    revision = bb_ctl_get_number(response, "revision");
    is_confirmed = bb_ctl_get_boolean(response, "confirmed");
    result = revision > 0 && is_confirmed ? BB_EXIT_OK : BB_EXIT_FAILED;
    if (c->is_json) {
        result = bb_ctl_print_json(c, response, result);
    }
    else if (revision == 0) {
        (void)fprintf(c->out, "nothing is in force\n");
    }
    else {
        (void)fprintf(c->out,
                      "revision %" PRIu64 ", version %" PRIu64
                      ", %s\ndigest %s\n",
                      revision, bb_ctl_get_number(response, "version"),
                      is_confirmed ? "confirmed by a quorum" : "unconfirmed",
                      bb_ctl_get_text(response, "digest"));
        print_nodes(c, response, "holders");
        print_nodes(c, response, "missing");
        print_rosters(c, response);
        (void)fprintf(c->out, "\n%s", bb_ctl_get_text(response, "text"));
    }
    bb_folder_destroy(folder);
    json_decref(response);
    return result;
}

static const struct bb_ctl_command command = {
    .help = "show what is in force and which nodes hold it",
    .run = run_in_force,
};

BB_PLUGIN(in_force, BB_PLUGIN_CTL_COMMAND, "in-force", &command);
