/* Reads a trace line by line, applies its events and compares the results with
 * the expected ones. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/registry.h"
#include "replay/replay.h"

enum { SHOWN_VALUE_MAX_BYTES = 200 };

/* The state of one decision module in a replay. */
struct module_state {
    const struct bb_replay_module *module;
    void *state;
};

/* State of one replay. */
struct replay {
    uint64_t now_us; /* virtual time of the last event */
    uint32_t line_number;
    const char *default_module; /* name of a registered module; NULL before the
                                   header */
    struct module_state modules[BB_REPLAY_MODULES_MAX];
    uint32_t module_count;
    bool is_verbose;
};

enum line_result { LINE_READ, LINE_END, LINE_ERROR };

/* Reads one line without its newline. Rejects a line that is longer than
 * BB_REPLAY_LINE_MAX_BYTES or contains a zero byte. */
static enum line_result
read_line(FILE *in, char *line, size_t *length, struct bb_error *e)
{
    int c = fgetc(in);

    *length = 0;
    if (c == EOF && !ferror(in)) {
        return LINE_END;
    }
    while (c != EOF && c != '\n') {
        if (c == '\0' || *length == BB_REPLAY_LINE_MAX_BYTES) {
            bb_error_set(e, BB_REPLAY_ERROR_SYNTAX,
                         c == '\0' ? "the line contains a zero byte"
                                   : "the line is longer than 65536 bytes");
            return LINE_ERROR;
        }
        line[(*length)++] = (char)c;
        c = fgetc(in);
    }
    if (ferror(in)) {
        bb_error_set(e, BB_REPLAY_ERROR_READ, "the trace cannot be read");
        return LINE_ERROR;
    }
    return LINE_READ;
}

/* Returns the state of a module; creates it on first use. Returns NULL with an
 * error if the module is unknown, too many are in use, or out of memory. */
static struct module_state *
get_module(struct replay *r, const char *name, struct bb_error *e)
{
    const struct bb_replay_module *m =
        bb_plugin_find(BB_PLUGIN_REPLAY_MODULE, name);

    if (m == NULL) {
        bb_error_set(e, BB_REPLAY_ERROR_FIELD, "no module \"%.64s\"", name);
        return NULL;
    }
    for (uint32_t i = 0; i < r->module_count; i++) {
        if (r->modules[i].module == m) {
            return &r->modules[i];
        }
    }
    if (r->module_count == BB_REPLAY_MODULES_MAX) {
        bb_error_set(e, BB_REPLAY_ERROR_FIELD,
                     "the trace uses more than %d modules",
                     BB_REPLAY_MODULES_MAX);
        return NULL;
    }
    r->modules[r->module_count] =
        (struct module_state){.module = m, .state = m->create()};
    if (r->modules[r->module_count].state == NULL) {
        bb_error_set(e, BB_REPLAY_ERROR_READ, "out of memory");
        return NULL;
    }
    return &r->modules[r->module_count++];
}

/* Returns whether a value is as expected: equal, or within the bounds of an
 * expected {"min":, "max":}. */
static bool
is_expected(const json_t *expected, const json_t *value)
{
    const json_t *min = json_object_get(expected, "min");
    const json_t *max = json_object_get(expected, "max");

    if (min == NULL && max == NULL) {
        return value != NULL && json_equal(expected, value);
    }
    return json_is_number(value) &&
           (min == NULL ||
            json_number_value(value) >= json_number_value(min)) &&
           (max == NULL || json_number_value(value) <= json_number_value(max));
}

/* Compares a result with the "expect" object of its line. Returns false with
 * an error at the first mismatch. */
static bool
check_expectations(const json_t *expect, const json_t *result,
                   struct bb_replay_summary *s, struct bb_error *e)
{
    const char *key;
    json_t *expected;

    if (expect != NULL && !json_is_object(expect)) {
        return bb_error_set(e, BB_REPLAY_ERROR_FIELD,
                            "field \"expect\" is not an object");
    }
    json_object_foreach((json_t *)expect, key, expected)
    {
        const json_t *value = json_object_get(result, key);

        s->expectation_count++;
        if (!is_expected(expected, value)) {
            char *want = json_dumps(expected, JSON_ENCODE_ANY | JSON_COMPACT);
            char *got =
                value == NULL
                    ? NULL
                    : json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT);

            bb_error_set(e, BB_REPLAY_ERROR_MISMATCH,
                         "\"%.64s\" is %.*s, expected %.*s", key,
                         SHOWN_VALUE_MAX_BYTES,
                         got != NULL ? got : "not in the result",
                         SHOWN_VALUE_MAX_BYTES, want);
            free(want);
            free(got);
            return false;
        }
    }
    return true;
}

/* Reads the header line, which names the default module of the trace. Its
 * description ("trace" and "outcome") must be present but is not used. */
static bool
apply_header(struct replay *r, struct bb_replay_line *l)
{
    const char *text;
    const char *module;
    const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_REPLAY_MODULE);

    if (!bb_replay_read_string(l, "trace", &text) ||
        !bb_replay_read_string(l, "outcome", &text) ||
        !bb_replay_read_string(l, "module", &module)) {
        return false;
    }
    while (p != NULL && strcmp(p->name, module) != 0) {
        p = p->next;
    }
    if (p == NULL) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "no module \"%.64s\"", module);
    }
    r->default_module = p->name;
    return true;
}

/* Applies the event of one line and compares its result. */
static bool
apply_event(struct replay *r, struct bb_replay_line *l, json_t *result,
            struct bb_replay_summary *s)
{
    const char *name = r->default_module;
    const json_t *expect = json_object_get(l->object, "expect");
    const char *event;
    struct module_state *m;

    if (!bb_replay_read_number(l, "at_us", BB_REPLAY_NUMBER_MAX, &l->now_us) ||
        !bb_replay_read_string(l, "do", &event) ||
        (json_object_get(l->object, "module") != NULL &&
         !bb_replay_read_string(l, "module", &name))) {
        return false;
    }
    if (l->now_us < r->now_us) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "\"at_us\" goes back");
    }
    r->now_us = l->now_us;
    m = get_module(r, name, l->error);
    if (m == NULL || !m->module->apply(m->state, event, l, result)) {
        return false;
    }
    l->fields_read += expect != NULL;
    s->event_count++;
    if (l->fields_read != json_object_size(l->object)) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "the line has fields that \"%.64s\" does not use",
                            event);
    }
    return check_expectations(expect, result, s, l->error);
}

/* Prints the result of an event. */
static void
print_result(const struct replay *r, const json_t *result)
{
    char *text = json_dumps(result, JSON_COMPACT | JSON_SORT_KEYS);

    printf("%" PRIu32 ": %s\n", r->line_number, text);
    free(text);
}

/* Applies one line; empty lines are ignored. */
static bool
apply_line(struct replay *r, const char *text, size_t length,
           struct bb_replay_summary *s, struct bb_error *e)
{
    json_error_t json_error;
    json_t *result = json_object();
    json_t *object = NULL;
    struct bb_replay_line l = {.error = e};
    bool ok = true;

    if (length == 0) {
        goto out;
    }
    object = json_loadb(text, length, JSON_REJECT_DUPLICATES, &json_error);
    if (!json_is_object(object)) {
        ok = bb_error_set(e, BB_REPLAY_ERROR_SYNTAX, "no JSON object: %s",
                          object == NULL ? json_error.text : "another value");
        goto out;
    }
    l.object = object;
    if (r->default_module == NULL) {
        ok = apply_header(r, &l);
        goto out;
    }
    ok = apply_event(r, &l, result, s);
    if (r->is_verbose) {
        print_result(r, result);
    }
out:
    json_decref(object);
    json_decref(result);
    return ok;
}

/* Replays a trace up to its first error or mismatch. Returns false with an
 * error that names the line; s counts what was replayed before. */
bool
bb_replay_run_trace(FILE *in, bool is_verbose, struct bb_replay_summary *s,
                    struct bb_error *e)
{
    struct replay r = {.is_verbose = is_verbose};
    char *line = malloc(BB_REPLAY_LINE_MAX_BYTES);
    enum line_result got = LINE_READ;
    struct bb_error cause = {0};
    bool ok = line != NULL;
    size_t length;

    *s = (struct bb_replay_summary){0};
    while (ok && got == LINE_READ) {
        r.line_number++;
        got = read_line(in, line, &length, &cause);
        ok = got != LINE_ERROR;
        if (got == LINE_READ) {
            ok = r.line_number <= BB_REPLAY_LINES_MAX
                     ? apply_line(&r, line, length, s, &cause)
                     : bb_error_set(&cause, BB_REPLAY_ERROR_SYNTAX,
                                    "the trace has too many lines");
        }
    }
    if (ok && r.default_module == NULL) {
        ok =
            bb_error_set(&cause, BB_REPLAY_ERROR_SYNTAX, "the trace is empty");
    }
    for (uint32_t i = 0; i < r.module_count; i++) {
        r.modules[i].module->destroy(r.modules[i].state);
    }
    free(line);
    if (!ok) {
        char context[32];

        (void)snprintf(context, sizeof(context), "line %" PRIu32,
                       r.line_number);
        return bb_error_wrap(e, cause.code, &cause, context);
    }
    return true;
}
