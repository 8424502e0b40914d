/* baobabctl trace ID: shows the events of one request on all hosts in order of
 * time, from log lines in a file or on standard input, and why it ended as it
 * did. */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

/* Far above the length of an event: one line has a few short members. */
enum { LINE_MAX_BYTES = 64 * 1024 };

/* Returns the JSON lines whose member "id" is id, in the order of the input.
 * Skips text before the JSON object, such as the prefix of a log collector. A
 * longer line than LINE_MAX_BYTES is read in pieces and not found.
 * The caller frees the array with g_ptr_array_free. */
static GPtrArray *
read_lines(FILE *input, const char *id)
{
    GPtrArray *found =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    char *line = g_malloc(LINE_MAX_BYTES);

    while (fgets(line, LINE_MAX_BYTES, input) != NULL) {
        const char *start = strchr(line, '{');
        json_t *j;

        if (start == NULL || strstr(start, id) == NULL) {
            continue;
        }
        j = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
        if (j != NULL && strcmp(bb_ctl_get_text(j, "id"), id) == 0) {
            g_ptr_array_add(found, j);
        }
        else {
            json_decref(j);
        }
    }
    g_free(line);
    return found;
}

/* Orders lines by the wall clock of their hosts. The sort is stable, so lines
 * with the same time keep the order of the input. */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    uint64_t left = bb_ctl_get_number(*(json_t *const *)a, "time_ms");
    uint64_t right = bb_ctl_get_number(*(json_t *const *)b, "time_ms");

    return left < right ? -1 : left > right;
}

/* Prints a line: milliseconds since the first line, host, event, and the other
 * members but the id, which all lines share. */
static void
print_line(const struct bb_ctl_context *c, json_t *line, uint64_t first_ms)
{
    const char *key;
    json_t *value;

    (void)fprintf(c->out, "%+6" PRId64 " ms  %-24s %-18s",
                  (int64_t)(bb_ctl_get_number(line, "time_ms") - first_ms),
                  bb_ctl_get_text(line, "host"),
                  bb_ctl_get_text(line, "event"));
    json_object_foreach(line, key, value)
    {
        if (strcmp(key, "time_ms") == 0 || strcmp(key, "host") == 0 ||
            strcmp(key, "event") == 0 || strcmp(key, "id") == 0) {
            continue;
        }
        if (json_is_string(value)) {
            (void)fprintf(c->out, " %s=%s", key, json_string_value(value));
        }
        else {
            char *text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

            (void)fprintf(c->out, " %s=%s", key, text);
            free(text);
        }
    }
    (void)fprintf(c->out, "\n");
}

/* Returns the last line with an event, or NULL. */
static const json_t *
find_last_event(const GPtrArray *lines, const char *event)
{
    const json_t *found = NULL;

    for (guint i = 0; i < lines->len; i++) {
        json_t *line = g_ptr_array_index(lines, i);

        if (strcmp(bb_ctl_get_text(line, "event"), event) == 0) {
            found = line;
        }
    }
    return found;
}

/* Returns the gate that the last hedge of the request was sent to; else that
 * of the last attempt; "none" if it was not sent. The hedge is preferred to
 * any other attempt, even to a later retry. */
static const char *
find_last_gate(const GPtrArray *lines)
{
    const json_t *hedge = find_last_event(lines, "entry.hedge");
    const json_t *try = find_last_event(lines, "entry.try");

    if (hedge != NULL) {
        return bb_ctl_get_text(hedge, "gate");
    }
    return try != NULL ? bb_ctl_get_text(try, "gate") : "none";
}

/* Prints why the request ended as it did: the caller left, the response broke
 * off, or the upstream or this system responded. Returns false if the lines do
 * not contain the end of the request. */
static bool
print_cause(const struct bb_ctl_context *c, const GPtrArray *lines)
{
    const json_t *response_event = find_last_event(lines, "entry.answered");
    const json_t *gate_report = find_last_event(lines, "entry.gate_said");
    const json_t *caller_left = find_last_event(lines, "entry.caller_left");
    const json_t *routed = find_last_event(lines, "entry.routed");
    const char *service =
        routed != NULL ? bb_ctl_get_text(routed, "service") : "";
    const char *reason = response_event != NULL
                             ? bb_ctl_get_text(response_event, "reason")
                             : "";
    uint64_t status = response_event != NULL
                          ? bb_ctl_get_number(response_event, "status")
                          : 0;
    uint64_t took_ms =
        response_event != NULL
            ? bb_ctl_get_number(response_event, "took_us") / 1000
            : 0;

    if (caller_left != NULL) {
        (void)fprintf(c->out,
                      "cause: the caller left after %" PRIu64
                      " ms, while the request was %s at gate %s\n",
                      bb_ctl_get_number(caller_left, "took_us") / 1000,
                      bb_ctl_get_boolean(caller_left, "running") ? "under way"
                                                                 : "not sent",
                      find_last_gate(lines));
        return true;
    }
    if (response_event == NULL) {
        const json_t *broken_off = find_last_event(lines, "entry.broken_off");

        (void)fprintf(
            c->out, "cause: %s%s\n",
            broken_off != NULL ? "the answer broke off: "
                               : "unknown, "
                                 "no final line",
            broken_off != NULL ? bb_ctl_get_text(broken_off, "reason") : "");
        return broken_off != NULL;
    }
    if (strcmp(reason, "upstream") == 0) {
        (void)fprintf(c->out,
                      "cause: the upstream behind gate %s answered %" PRIu64
                      " itself, after %" PRIu64 " ms\n",
                      find_last_gate(lines), status, took_ms);
        return true;
    }
    (void)fprintf(c->out,
                  "cause: answered %" PRIu64 " (%s) by this system after "
                  "%" PRIu64 " ms, service %s, last gate %s",
                  status, reason, took_ms, service, find_last_gate(lines));
    if (gate_report != NULL) {
        (void)fprintf(
            c->out,
            "; gate %s said %s%s (running queued slots us failing ran "
            "and, if limited, mrps wait_us: %s)",
            bb_ctl_get_text(gate_report, "gate"),
            bb_ctl_get_text(gate_report, "refused"),
            bb_ctl_get_text(gate_report, "failed"),
            bb_ctl_get_text(gate_report, "load"));
    }
    /* 504 is sent at the deadline only if the request may have run or an
     * attempt is still under way, which may_have_run does not count yet. */
    (void)fprintf(c->out, "; it %s\n",
                  bb_ctl_get_boolean(response_event, "may_have_run") ||
                          status == 504
                      ? "may have run"
                      : "did not run");
    return true;
}

/* Runs `baobabctl trace`. Returns BB_EXIT_FAILED if the log cannot be read or
 * does not contain the request or its end. */
static enum bb_exit
run_trace(const struct bb_ctl_context *c)
{
    bool is_stdin = strcmp(c->log, "-") == 0;
    FILE *input = is_stdin ? stdin : fopen(c->log, "r");
    GPtrArray *lines;
    enum bb_exit result = BB_EXIT_FAILED;

    if (input == NULL) {
        bb_ctl_print_error(c, "%s: %s", c->log, g_strerror(errno));
        return BB_EXIT_FAILED;
    }
    lines = read_lines(input, c->operand);
    g_ptr_array_sort(lines, compare_lines);
    if (lines->len == 0) {
        bb_ctl_print_error(c, "the log has no line of request %s", c->operand);
    }
    else {
        uint64_t first_ms =
            bb_ctl_get_number(g_ptr_array_index(lines, 0), "time_ms");

        for (guint i = 0; i < lines->len; i++) {
            print_line(c, g_ptr_array_index(lines, i), first_ms);
        }
        result = print_cause(c, lines) ? BB_EXIT_OK : BB_EXIT_FAILED;
    }
    g_ptr_array_free(lines, TRUE);
    if (!is_stdin) {
        (void)fclose(input);
    }
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "ID",
    .help = "show the events of a request, from log lines (--log FILE)",
    .run = run_trace,
};

BB_PLUGIN(trace, BB_PLUGIN_CTL_COMMAND, "trace", &command);
