/* Output and access to JSON members for all commands. */
#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>

#include "ctl.h"

/* Prints "baobabctl: ", an error message and a newline to the error stream. */
void
bb_ctl_print_error(const struct bb_ctl_context *c, const char *format, ...)
{
    va_list args;

    (void)fputs("baobabctl: ", c->err);
    va_start(args, format);
    (void)vfprintf(c->err, format, args);
    va_end(args);
    (void)fputc('\n', c->err);
}

/* Prints JSON with indentation. Returns the given result, or BB_EXIT_INTERNAL
 * if the JSON cannot be printed. */
enum bb_exit
bb_ctl_print_json(const struct bb_ctl_context *c, const json_t *j,
                  enum bb_exit result)
{
    if (json_dumpf(j, c->out, JSON_INDENT(2)) != 0) {
        bb_ctl_print_error(c, "cannot print JSON");
        return BB_EXIT_INTERNAL;
    }
    (void)fputc('\n', c->out);
    return result;
}

/* Returns a member that is text, or an empty text. It belongs to j. */
const char *
bb_ctl_get_text(const json_t *j, const char *member)
{
    const char *text = json_string_value(json_object_get(j, member));

    return text != NULL ? text : "";
}

/* Returns a member that is a positive whole number, or 0. */
uint64_t
bb_ctl_get_number(const json_t *j, const char *member)
{
    json_int_t n = json_integer_value(json_object_get(j, member));

    return n > 0 ? (uint64_t)n : 0;
}

/* Returns whether a member is true. */
bool
bb_ctl_get_boolean(const json_t *j, const char *member)
{
    return json_is_true(json_object_get(j, member));
}

/* Returns faults as a list of {"file", "section", "key", "reason"}, without
 * the omitted ones. The caller frees it with json_decref. */
json_t *
bb_ctl_faults_json(const struct bb_config_faults *faults)
{
    json_t *list = json_array();

    for (uint32_t i = 0; i < faults->count; i++) {
        const struct bb_config_fault *f = &faults->items[i];
        char *reason = g_utf8_make_valid(f->reason, -1);

        (void)json_array_append_new(list, json_pack("{s:s, s:s, s:s, s:s}",
                                                    "file", f->file, "section",
                                                    f->section_title, "key",
                                                    f->key, "reason", reason));
        g_free(reason);
    }
    return list;
}

/* Reads a local folder. On BB_EXIT_OK the caller frees *folder with
 * bb_folder_destroy; otherwise the outage has been printed, as JSON if that is
 * wanted, and *folder is NULL. */
enum bb_exit
bb_ctl_read_folder(const struct bb_ctl_context *c, const char *path,
                   struct bb_folder **folder)
{
    struct bb_error e = {0};
    enum bb_folder_outage outage = bb_folder_read(path, folder, &e);

    if (outage == BB_FOLDER_OUTAGE_NONE) {
        return BB_EXIT_OK;
    }
    if (c->is_json) {
        json_t *j =
            json_pack("{s:b, s:s, s:s}", "valid", 0, "outage",
                      bb_folder_outage_name(outage), "message", e.message);

        (void)bb_ctl_print_json(c, j, BB_EXIT_FAILED);
        json_decref(j);
    }
    else {
        bb_ctl_print_error(c, "%s (%s)", e.message,
                           bb_folder_outage_name(outage));
    }
    return BB_EXIT_FAILED;
}
