/* baobabctl status: shows the state of one process and of the folder that it
 * watches as the source of the configuration. */
#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"
#include "common/registry.h"
#include "ctl.h"

enum { TIME_BYTES = 32, MS_PER_S = 1000 };

/* Formats milliseconds since 1970 as UTC, in seconds. Returns text. */
static const char *
format_time(uint64_t at_ms, char text[TIME_BYTES])
{
    time_t at_s = (time_t)(at_ms / MS_PER_S);
    struct tm t;

    if (gmtime_r(&at_s, &t) == NULL ||
        strftime(text, TIME_BYTES, "%Y-%m-%d %H:%M:%S UTC", &t) == 0) {
        (void)snprintf(text, TIME_BYTES, "at an unknown time");
    }
    return text;
}

/* Prints the state of the watched folder: outage, conflict and history. */
static void
print_source(const struct bb_ctl_context *c, const json_t *source)
{
    const json_t *outage = json_object_get(source, "outage");
    const json_t *history = json_object_get(source, "history");
    char time[TIME_BYTES];

    (void)fprintf(c->out, "source %s: base revision %" PRIu64 "%s%s\n",
                  bb_ctl_get_text(source, "folder"),
                  bb_ctl_get_number(source, "base_revision"),
                  bb_ctl_get_boolean(source, "differs")
                      ? ", differs from what is in force"
                      : "",
                  bb_ctl_get_boolean(source, "waiting") ? ", proposal open"
                                                        : "");
    if (json_is_object(outage)) {
        (void)fprintf(c->out, "  outage since %s: %s: %s\n",
                      format_time(bb_ctl_get_number(outage, "since_ms"), time),
                      bb_ctl_get_text(outage, "kind"),
                      bb_ctl_get_text(outage, "message"));
    }
    if (strcmp(bb_ctl_get_text(source, "conflict"), "none") != 0) {
        (void)fprintf(c->out, "  conflict: %s\n",
                      bb_ctl_get_text(source, "conflict"));
    }
    for (size_t i = 0; i < json_array_size(history); i++) {
        const json_t *n = json_array_get(history, i);

        (void)fprintf(c->out, "  %s %s: %s\n",
                      format_time(bb_ctl_get_number(n, "at_ms"), time),
                      bb_ctl_get_text(n, "kind"),
                      bb_ctl_get_text(n, "message"));
    }
}

/* Prints a status as text. */
static void
print_text(const struct bb_ctl_context *c, const json_t *j)
{
    const json_t *problems = json_object_get(j, "problems");
    const char *leader = bb_ctl_get_text(j, "leader");

    (void)fprintf(c->out, "%s %s, zone %s, region %s\n",
                  bb_ctl_get_text(j, "role"), bb_ctl_get_text(j, "host"),
                  bb_ctl_get_text(j, "zone"), bb_ctl_get_text(j, "region"));
    (void)fprintf(c->out, "revision %" PRIu64 ", version %" PRIu64 ", %s\n",
                  bb_ctl_get_number(j, "revision"),
                  bb_ctl_get_number(j, "version"),
                  bb_ctl_get_boolean(j, "confirmed") ? "confirmed by a quorum"
                                                     : "unconfirmed");
    (void)fprintf(
        c->out, "leader %s, term %" PRIu64 ", %s\n",
        leader[0] != '\0' ? leader : "unknown", bb_ctl_get_number(j, "term"),
        bb_ctl_get_boolean(j, "quorum") ? "quorum reached" : "no quorum");
    if (json_is_object(json_object_get(j, "source"))) {
        print_source(c, json_object_get(j, "source"));
    }
    for (size_t i = 0; i < json_array_size(problems); i++) {
        const char *text = json_string_value(json_array_get(problems, i));

        (void)fprintf(c->out, "problem: %s\n", text != NULL ? text : "");
    }
}

/* Runs `baobabctl status`. Returns BB_EXIT_FAILED if the process reports a
 * problem. */
static enum bb_exit
run_status(const struct bb_ctl_context *c)
{
    json_t *response = NULL;
    enum bb_exit result = bb_ctl_fetch(c, "/v1/status", &response);

    if (result != BB_EXIT_OK) {
        return result;
    }
    result = json_array_size(json_object_get(response, "problems")) == 0
                 ? BB_EXIT_OK
                 : BB_EXIT_FAILED;
    if (c->is_json) {
        result = bb_ctl_print_json(c, response, result);
    }
    else {
        print_text(c, response);
    }
    json_decref(response);
    return result;
}

static const struct bb_ctl_command command = {
    .help = "show the state of a process and of its source",
    .run = run_status,
};

BB_PLUGIN(status, BB_PLUGIN_CTL_COMMAND, "status", &command);
