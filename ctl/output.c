/* What several commands print. */
#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

#include "ctl.h"

/* Prints an error, after the name of the program. */
void
bb_ctl_error(const struct bb_ctl *c, const char *format, ...)
{
    va_list args;

    (void)fputs("baobabctl: ", c->err);
    va_start(args, format);
    (void)vfprintf(c->err, format, args);
    va_end(args);
    (void)fputc('\n', c->err);
}

/* Prints an answer as JSON; returns the given result, or BB_EXIT_INTERNAL if
 * it cannot be printed. */
enum bb_exit
bb_ctl_print_json(const struct bb_ctl *c, const json_t *j, enum bb_exit result)
{
    if (json_dumpf(j, c->out, JSON_INDENT(2)) != 0) {
        bb_ctl_error(c, "cannot print JSON");
        return BB_EXIT_INTERNAL;
    }
    (void)fputc('\n', c->out);
    return result;
}

/* Returns a text member, or an empty text. */
const char *
bb_ctl_text(const json_t *j, const char *member)
{
    const char *text = json_string_value(json_object_get(j, member));

    return text != NULL ? text : "";
}

/* Returns a number member, or 0. */
uint64_t
bb_ctl_number(const json_t *j, const char *member)
{
    json_int_t n = json_integer_value(json_object_get(j, member));

    return n > 0 ? (uint64_t)n : 0;
}

/* Returns a boolean member, or false. */
bool
bb_ctl_boolean(const json_t *j, const char *member)
{
    return json_is_true(json_object_get(j, member));
}

/* Returns faults as a list of {"file", "section", "key", "reason"}. */
json_t *
bb_ctl_faults_json(const struct bb_faults *faults)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < faults->count; i++) {
        const struct bb_fault *f = &faults->items[i];
        char *reason = g_utf8_make_valid(f->reason, -1);

        (void)json_array_append_new(
            list, json_pack("{s:s, s:s, s:s, s:s}", "file", f->file, "section",
                            f->section, "key", f->key, "reason", reason));
        g_free(reason);
    }
    return list;
}

/* Reads a local folder; an outage is reported. */
enum bb_exit
bb_ctl_read_folder(const struct bb_ctl *c, const char *path,
                   struct bb_folder **folder)
{
    struct bb_error e = {0};
    enum bb_outage outage = bb_folder_read(path, folder, &e);

    if (outage == BB_OUTAGE_NONE) {
        return BB_EXIT_OK;
    }
    if (c->is_json) {
        json_t *j = json_pack("{s:b, s:s, s:s}", "valid", 0, "outage",
                              bb_outage_name(outage), "message", e.message);

        (void)bb_ctl_print_json(c, j, BB_EXIT_FAILED);
        json_decref(j);
    }
    else {
        bb_ctl_error(c, "%s (%s)", e.message, bb_outage_name(outage));
    }
    return BB_EXIT_FAILED;
}
