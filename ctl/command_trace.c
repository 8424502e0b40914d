/* baobabctl trace ID: the way of one request over all hosts, from log lines
 * in a file or on standard input. */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

enum { LINE_MAX_BYTES = 64 * 1024 };

/* Collects the lines that carry the id, which may follow a prefix that a
 * collector of logs has put before them. */
static GPtrArray *
read_lines(FILE *from, const char *id)
{
    GPtrArray *found =
        g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
    char *line = g_malloc(LINE_MAX_BYTES);

    while (fgets(line, LINE_MAX_BYTES, from) != NULL) {
        const char *start = strchr(line, '{');
        json_t *j;

        if (start == NULL || strstr(start, id) == NULL) {
            continue;
        }
        j = json_loads(start, JSON_DISABLE_EOF_CHECK, NULL);
        if (j != NULL && strcmp(bb_ctl_text(j, "id"), id) == 0) {
            g_ptr_array_add(found, j);
        }
        else {
            json_decref(j);
        }
    }
    g_free(line);
    return found;
}

/* Orders lines by wall clock; those of one host keep their order. */
static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    uint64_t left = bb_ctl_number(*(json_t *const *)a, "time_ms");
    uint64_t right = bb_ctl_number(*(json_t *const *)b, "time_ms");

    return left < right ? -1 : left > right;
}

/* Prints the members of a line that are not the same for all. */
static void
print_line(const struct bb_ctl *c, json_t *line, uint64_t first_ms)
{
    const char *key;
    json_t *value;

    (void)fprintf(c->out, "%+6" PRId64 " ms  %-24s %-18s",
                  (int64_t)(bb_ctl_number(line, "time_ms") - first_ms),
                  bb_ctl_text(line, "host"), bb_ctl_text(line, "event"));
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

/* Returns the last line of an event, or NULL. */
static const json_t *
last_of(const GPtrArray *lines, const char *event)
{
    const json_t *found = NULL;

    for (guint i = 0; i < lines->len; i++) {
        json_t *line = g_ptr_array_index(lines, i);

        if (strcmp(bb_ctl_text(line, "event"), event) == 0) {
            found = line;
        }
    }
    return found;
}

/* Returns the gate of the last send. */
static const char *
last_gate(const GPtrArray *lines)
{
    const json_t *hedge = last_of(lines, "entry.hedge");
    const json_t *try = last_of(lines, "entry.try");

    if (hedge != NULL) {
        return bb_ctl_text(hedge, "gate");
    }
    return try != NULL ? bb_ctl_text(try, "gate") : "none";
}

/* Names the cause of a request that this system ended itself or whose
 * upstream failed. Returns false if the lines do not tell. */
static bool
print_cause(const struct bb_ctl *c, const GPtrArray *lines)
{
    const json_t *answer = last_of(lines, "entry.answered");
    const json_t *said = last_of(lines, "entry.gate_said");
    const json_t *left = last_of(lines, "entry.caller_left");
    const json_t *routed = last_of(lines, "entry.routed");
    const char *service = routed != NULL ? bb_ctl_text(routed, "service") : "";
    const char *reason = answer != NULL ? bb_ctl_text(answer, "reason") : "";
    uint64_t status = answer != NULL ? bb_ctl_number(answer, "status") : 0;
    uint64_t took_ms =
        answer != NULL ? bb_ctl_number(answer, "took_us") / 1000 : 0;

    if (left != NULL) {
        (void)fprintf(c->out,
                      "cause: the caller left after %" PRIu64
                      " ms, while the request was %s at gate %s\n",
                      bb_ctl_number(left, "took_us") / 1000,
                      bb_ctl_boolean(left, "running") ? "under way"
                                                      : "not sent",
                      last_gate(lines));
        return true;
    }
    if (answer == NULL) {
        const json_t *broken = last_of(lines, "entry.broken_off");

        (void)fprintf(c->out, "cause: %s%s\n",
                      broken != NULL ? "the answer broke off: "
                                     : "unknown, "
                                       "no final line",
                      broken != NULL ? bb_ctl_text(broken, "reason") : "");
        return broken != NULL;
    }
    if (strcmp(reason, "upstream") == 0) {
        (void)fprintf(c->out,
                      "cause: the upstream behind gate %s answered %" PRIu64
                      " itself, after %" PRIu64 " ms\n",
                      last_gate(lines), status, took_ms);
        return true;
    }
    (void)fprintf(c->out,
                  "cause: answered %" PRIu64 " (%s) by this system after "
                  "%" PRIu64 " ms, service %s, last gate %s",
                  status, reason, took_ms, service, last_gate(lines));
    if (said != NULL) {
        (void)fprintf(c->out,
                      "; gate %s said %s%s (running queued slots us failing: "
                      "%s)",
                      bb_ctl_text(said, "gate"), bb_ctl_text(said, "refused"),
                      bb_ctl_text(said, "failed"), bb_ctl_text(said, "load"));
    }
    (void)fprintf(c->out, "; it %s\n",
                  bb_ctl_boolean(answer, "may_have_run") || status == 504
                      ? "may have run"
                      : "did not run");
    return true;
}

/* Runs the command. */
static enum bb_exit
run(const struct bb_ctl *c)
{
    bool is_input = strcmp(c->log, "-") == 0;
    FILE *from = is_input ? stdin : fopen(c->log, "r");
    GPtrArray *lines;
    enum bb_exit result = BB_EXIT_FAILED;

    if (from == NULL) {
        bb_ctl_error(c, "%s: %s", c->log, g_strerror(errno));
        return BB_EXIT_FAILED;
    }
    lines = read_lines(from, c->operand);
    g_ptr_array_sort(lines, compare_lines);
    if (lines->len == 0) {
        bb_ctl_error(c, "no line about request %s", c->operand);
    }
    else {
        uint64_t first_ms =
            bb_ctl_number(g_ptr_array_index(lines, 0), "time_ms");

        for (guint i = 0; i < lines->len; i++) {
            print_line(c, g_ptr_array_index(lines, i), first_ms);
        }
        result = print_cause(c, lines) ? BB_EXIT_OK : BB_EXIT_FAILED;
    }
    g_ptr_array_free(lines, TRUE);
    if (!is_input) {
        (void)fclose(from);
    }
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "ID",
    .help = "the way of a request, from log lines (--log FILE)",
    .run = run,
};

BB_PLUGIN(trace, BB_PLUGIN_CTL_COMMAND, "trace", &command);
