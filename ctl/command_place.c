/* baobabctl place PATH: shows where a node would send a request now, and why.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

enum { STATUS_OK = 200 };

/* Prints one choice with a table of its candidates. */
static void
print_choice(const struct bb_ctl_context *c, const json_t *choice)
{
    const json_t *list = json_object_get(choice, "candidates");
    const char *gate = bb_ctl_get_text(choice, "gate");

    (void)fprintf(c->out, "  version %s, %" PRIu64 " of 1000: ",
                  bb_ctl_get_text(choice, "version"),
                  bb_ctl_get_number(choice, "share_permille"));
    if (gate[0] != '\0') {
        (void)fprintf(c->out, "%s\n", gate);
    }
    else {
        (void)fprintf(c->out, "%" PRIu64 " %s\n",
                      bb_ctl_get_number(choice, "status"),
                      bb_ctl_get_text(choice, "reason"));
    }
    (void)fprintf(c->out, "    %-21s %-12s %-10s %5s %7s %6s %9s %9s %6s %s\n",
                  "GATE", "DISTANCE", "VERSION", "SLOTS", "RUNNING", "QUEUED",
                  "WAIT_US", "FINISH_US", "CHANCE", "REASON");
    for (size_t i = 0; i < json_array_size(list); i++) {
        const json_t *g = json_array_get(list, i);

        (void)fprintf(
            c->out,
            "    %-21s %-12s %-10s %5" PRIu64 " %7" PRIu64 " %6" PRIu64
            " %9" PRIu64 " %9" PRIu64 " %6" PRIu64 " %s\n",
            bb_ctl_get_text(g, "gate"), bb_ctl_get_text(g, "distance"),
            bb_ctl_get_text(g, "version"), bb_ctl_get_number(g, "slots"),
            bb_ctl_get_number(g, "running"), bb_ctl_get_number(g, "queued"),
            bb_ctl_get_number(g, "wait_us"), bb_ctl_get_number(g, "finish_us"),
            bb_ctl_get_number(g, "chance_permille"),
            bb_ctl_get_text(g, "reason"));
    }
}

/* Prints an explanation as text. */
static void
print_text(const struct bb_ctl_context *c, const json_t *j)
{
    const json_t *services = json_object_get(j, "services");
    const json_t *route = json_object_get(j, "route");
    const json_t *quota = json_object_get(j, "quota");
    const json_t *lease = json_object_get(j, "has_lease");

    (void)fprintf(c->out, "%s %s%s: %" PRIu64 " %s\n",
                  bb_ctl_get_text(j, "method"), bb_ctl_get_text(j, "host"),
                  bb_ctl_get_text(j, "path"), bb_ctl_get_number(j, "status"),
                  bb_ctl_get_text(j, "reason"));
    if (route != NULL) {
        (void)fprintf(
            c->out,
            "configuration %" PRIu64 ", route %s, rank %" PRIu64 ", %s\n",
            bb_ctl_get_number(j, "configuration_version"),
            bb_ctl_get_text(route, "name"), bb_ctl_get_number(j, "rank"),
            bb_ctl_get_boolean(j, "needs_key") ? "needs a key"
                                               : "needs no key");
    }
    if (lease != NULL) {
        (void)fprintf(c->out, "lease %s\n",
                      json_is_true(lease) ? "held" : "not held");
    }
    if (quota != NULL) {
        (void)fprintf(c->out,
                      "quota admits %" PRIu64 " of 1000000, decided by %s\n",
                      bb_ctl_get_number(quota, "admitted_ppm"),
                      bb_ctl_get_text(quota, "decided_by"));
    }
    for (size_t i = 0; i < json_array_size(services); i++) {
        const json_t *s = json_array_get(services, i);
        const json_t *choices = json_object_get(s, "choices");

        (void)fprintf(c->out, "service %s, %" PRIu64 " of 1000\n",
                      bb_ctl_get_text(s, "service"),
                      bb_ctl_get_number(s, "share_permille"));
        for (size_t k = 0; k < json_array_size(choices); k++) {
            print_choice(c, json_array_get(choices, k));
        }
    }
}

/* Appends a parameter to a query, escaped. */
static void
append_parameter(GString *query, const char *name, const char *value)
{
    g_string_append_printf(query, "&%s=", name);
    g_string_append_uri_escaped(query, value, "/", FALSE);
}

/* Runs `baobabctl place`. Returns BB_EXIT_FAILED if the node would refuse the
 * request before it chooses a gate. */
static enum bb_exit
run_place(const struct bb_ctl_context *c)
{
    GString *query;
    json_t *j = NULL;
    enum bb_exit result;

    if (c->host == NULL || c->operand[0] != '/') {
        bb_ctl_print_error(c,
                           "give --host HOST and a path that begins with '/'");
        return BB_EXIT_USAGE;
    }
    query = g_string_new("/placement?host=");
    g_string_append_uri_escaped(query, c->host, NULL, FALSE);
    append_parameter(query, "path", c->operand);
    append_parameter(query, "method", c->method);
    if (c->team != NULL) {
        append_parameter(query, "team", c->team);
    }
    result = bb_ctl_fetch(c, query->str, &j);
    g_string_free(query, TRUE);
    if (result != BB_EXIT_OK) {
        return result;
    }
    if (bb_ctl_get_number(j, "status") != STATUS_OK) {
        result = BB_EXIT_FAILED;
    }
    if (c->is_json) {
        result = bb_ctl_print_json(c, j, result);
    }
    else {
        print_text(c, j);
    }
    json_decref(j);
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "PATH",
    .help = "show where a node would send a request now",
    .run = run_place,
};

BB_PLUGIN(place, BB_PLUGIN_CTL_COMMAND, "place", &command);
