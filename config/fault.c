#include "config/fault.h"

#include <glib.h>
#include <stdarg.h>

/* Adds one fault, or counts it as omitted beyond BB_CONFIG_FAULTS_MAX. File,
 * section and key may be NULL, which is stored as an empty string. */
void
bb_config_faults_add(struct bb_config_faults *f, const char *file,
                     const char *section_title, const char *key,
                     const char *format, ...)
{
    struct bb_config_fault *item;
    va_list args;

    if (f->count == BB_CONFIG_FAULTS_MAX) {
        f->omitted++;
        return;
    }
    if (f->items == NULL) {
        f->items = g_new0(struct bb_config_fault, BB_CONFIG_FAULTS_MAX);
    }
    item = &f->items[f->count++];
    item->file = g_strdup(file != NULL ? file : "");
    item->section_title = g_strdup(section_title != NULL ? section_title : "");
    item->key = g_strdup(key != NULL ? key : "");
    va_start(args, format);
    item->reason = g_strdup_vprintf(format, args);
    va_end(args);
}

/* Returns the faults as text, one per line: "FILE: [SECTION] KEY: REASON",
 * without the parts that are empty. The caller frees it with g_free. */
char *
bb_config_faults_format(const struct bb_config_faults *f)
{
    GString *text = g_string_new(NULL);

    for (uint32_t i = 0; i < f->count; i++) {
        const struct bb_config_fault *item = &f->items[i];

        if (item->file[0] != '\0') {
            g_string_append_printf(text, "%s: ", item->file);
        }
        if (item->section_title[0] != '\0') {
            g_string_append_printf(text, "[%s] ", item->section_title);
        }
        if (item->key[0] != '\0') {
            g_string_append_printf(text, "%s: ", item->key);
        }
        g_string_append_printf(text, "%s\n", item->reason);
    }
    if (f->omitted > 0) {
        g_string_append_printf(text, "and %u more faults\n", f->omitted);
    }
    return g_string_free(text, FALSE);
}

/* Frees all faults and leaves an empty list that can be used again. */
void
bb_config_faults_clear(struct bb_config_faults *f)
{
    for (uint32_t i = 0; i < f->count; i++) {
        g_free(f->items[i].file);
        g_free(f->items[i].section_title);
        g_free(f->items[i].key);
        g_free(f->items[i].reason);
    }
    g_free(f->items);
    *f = (struct bb_config_faults){0};
}
