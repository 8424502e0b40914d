/* Helpers of the section handlers: read values with their checks, resolve
 * references between sections, add compiled items and faults. */
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/registry.h"
#include "merge.h"

/* Returns the operations for a kind of section, or NULL if it is unknown. */
const struct bb_section_operations *
bb_section_find_operations(const char *kind)
{
    return bb_plugin_find(BB_PLUGIN_CONFIG_SECTION, kind);
}

/* Returns the specification of a key, or NULL if sections of this kind have
 * no such key. */
const struct bb_key_spec *
bb_section_find_key_spec(const struct bb_section_operations *o,
                         const char *name)
{
    for (size_t i = 0; i < o->key_count; i++) {
        if (strcmp(o->keys[i].name, name) == 0) {
            return &o->keys[i];
        }
    }
    return NULL;
}

/* Returns whether a file sets the key in this section. */
bool
bb_section_has_key(const struct bb_section *s, const char *key)
{
    return g_hash_table_contains(s->by_key, key);
}

/* Adds a fault of a key, or of the whole section if key is NULL. It names the
 * file that sets the key, or else the first file with the section. */
void
bb_section_add_fault(struct bb_compilation *c, const struct bb_section *s,
                     const char *key, const char *format, ...)
{
    const struct bb_merged_value *v =
        key != NULL ? g_hash_table_lookup(s->by_key, key) : NULL;
    va_list args;
    char *reason;

    va_start(args, format);
    reason = g_strdup_vprintf(format, args);
    va_end(args);
    bb_config_faults_add(c->faults, v != NULL ? v->file : s->file, s->title,
                         key, "%s", reason);
    g_free(reason);
}

/* Returns the text of a key, its default, or NULL if it has none. A missing
 * required key is a fault. The key must be one of the section's kind, here and
 * in the functions below. */
const char *
bb_section_get_text(struct bb_compilation *c, const struct bb_section *s,
                    const char *key)
{
    const struct bb_merged_value *v = g_hash_table_lookup(s->by_key, key);
    const struct bb_key_spec *k =
        bb_section_find_key_spec(bb_section_find_operations(s->kind), key);

    if (v != NULL) {
        return v->text;
    }
    if (k->is_required) {
        bb_section_add_fault(c, s, key, "is missing");
    }
    return k->default_text;
}

/* Returns a whole number from min to max of the key. Any other text is a
 * fault, and min is returned. If the key is missing and has no default, min is
 * returned too; this is a fault only if the key is required. */
uint64_t
bb_section_get_number(struct bb_compilation *c, const struct bb_section *s,
                      const char *key)
{
    const struct bb_key_spec *k =
        bb_section_find_key_spec(bb_section_find_operations(s->kind), key);
    const char *text = bb_section_get_text(c, s, key);
    char *end = NULL;
    uint64_t number;

    if (text == NULL) {
        return k->min;
    }
    errno = 0;
    number = strtoull(text, &end, 10);
    if (!g_ascii_isdigit(text[0]) || *end != '\0' || errno != 0 ||
        number < k->min || number > k->max) {
        bb_section_add_fault(c, s, key,
                             "'%s' is not a whole number from %" PRIu64
                             " to %" PRIu64,
                             text, k->min, k->max);
        return k->min;
    }
    return number;
}

/* Returns whether the key is "true", or default_value if the key is missing.
 * Any other text than "true" and "false" is a fault and counts as missing. */
bool
bb_section_get_boolean(struct bb_compilation *c, const struct bb_section *s,
                       const char *key, bool default_value)
{
    const char *text = bb_section_get_text(c, s, key);

    if (text == NULL) {
        return default_value;
    }
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        bb_section_add_fault(c, s, key, "'%s' is neither true nor false",
                             text);
        return default_value;
    }
    return text[0] == 't';
}

/* Returns the items of a list "a;b;c"; it is empty if the key is missing. The
 * caller frees it with g_strfreev. */
char **
bb_section_get_list(struct bb_compilation *c, const struct bb_section *s,
                    const char *key)
{
    const char *text = bb_section_get_text(c, s, key);

    return bb_split_list(text != NULL ? text : "");
}

/* Returns the section with a kind and name, or NULL. */
struct bb_section *
bb_section_find(const struct bb_compilation *c, const char *kind,
                const char *name)
{
    char *title = g_strdup_printf("%s %s", kind, name);
    struct bb_section *s = g_hash_table_lookup(c->merged->by_title, title);

    g_free(title);
    return s;
}

/* Stores the index of the item of section [kind name], to which a key of s
 * refers, and returns true. Otherwise stores BB_INDEX_NONE and returns false.
 * A missing section is a fault, unless a file could not be parsed, which may
 * contain it. A section that was not added, for example because of a bad name,
 * has a fault already. */
bool
bb_section_resolve_reference(struct bb_compilation *c,
                             const struct bb_section *s, const char *key,
                             const char *kind, const char *name,
                             uint16_t *index)
{
    const struct bb_section *target = bb_section_find(c, kind, name);

    *index = BB_INDEX_NONE;
    if (target == NULL) {
        if (!c->merged->is_partial) {
            bb_section_add_fault(c, s, key, "there is no section [%s %s]",
                                 kind, name);
        }
        return false;
    }
    *index = target->index;
    return target->index != BB_INDEX_NONE;
}

/* Appends a copy of an item to the compiled items of the section's kind, sets
 * the section's index to its place and returns the index. More than
 * BB_SECTIONS_MAX items are a fault; the index is then BB_INDEX_NONE. */
uint16_t
bb_section_append_item(struct bb_compilation *c, struct bb_section *s,
                       GArray *items, const void *item)
{
    if (items->len >= BB_SECTIONS_MAX) {
        bb_section_add_fault(c, s, NULL, "more than %d sections of this kind",
                             BB_SECTIONS_MAX);
        s->index = BB_INDEX_NONE;
        return BB_INDEX_NONE;
    }
    s->index = (uint16_t)items->len;
    g_array_append_vals(items, item, 1);
    return s->index;
}
