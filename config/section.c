/* What section handlers share: reading checked values and references. */
#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/registry.h"
#include "merge.h"

/* Returns the handler of a kind of section, or NULL. */
const struct bb_section_operations *
bb_section_operations(const char *kind)
{
    return bb_registry_find(BB_PLUGIN_CONFIG_SECTION, kind);
}

/* Returns the description of a key, or NULL if sections of this kind have no
 * such key. */
const struct bb_key *
bb_section_key(const struct bb_section_operations *o, const char *name)
{
    for (size_t i = 0; i < o->key_count; i++) {
        if (strcmp(o->keys[i].name, name) == 0) {
            return &o->keys[i];
        }
    }
    return NULL;
}

/* Tells whether the section gives the key. */
bool
bb_section_has(const struct bb_section *s, const char *key)
{
    return g_hash_table_contains(s->by_key, key);
}

/* Adds a fault of a key, in the file that its value comes from. */
void
bb_section_fault(struct bb_compilation *c, const struct bb_section *s,
                 const char *key, const char *format, ...)
{
    const struct bb_value *v =
        key != NULL ? g_hash_table_lookup(s->by_key, key) : NULL;
    va_list args;
    char *reason;

    va_start(args, format);
    reason = g_strdup_vprintf(format, args);
    va_end(args);
    bb_faults_add(c->faults, v != NULL ? v->file : s->file, s->title, key,
                  "%s", reason);
    g_free(reason);
}

/* Returns the text of a key or its default, which can be NULL. A missing
 * required key is a fault. */
const char *
bb_section_text(struct bb_compilation *c, const struct bb_section *s,
                const char *key)
{
    const struct bb_value *v = g_hash_table_lookup(s->by_key, key);
    const struct bb_key *k =
        bb_section_key(bb_section_operations(s->kind), key);

    if (v != NULL) {
        return v->text;
    }
    if (k->is_required) {
        bb_section_fault(c, s, key, "is missing");
    }
    return k->default_text;
}

/* Returns a whole number within the limits of the key. With a fault the
 * lowest allowed number is returned. */
uint64_t
bb_section_number(struct bb_compilation *c, const struct bb_section *s,
                  const char *key)
{
    const struct bb_key *k =
        bb_section_key(bb_section_operations(s->kind), key);
    const char *text = bb_section_text(c, s, key);
    char *end = NULL;
    uint64_t number;

    if (text == NULL) {
        return k->min;
    }
    errno = 0;
    number = strtoull(text, &end, 10);
    if (!g_ascii_isdigit(text[0]) || *end != '\0' || errno != 0 ||
        number < k->min || number > k->max) {
        bb_section_fault(c, s, key,
                         "'%s' is not a whole number from %" PRIu64
                         " to %" PRIu64,
                         text, k->min, k->max);
        return k->min;
    }
    return number;
}

/* Returns a boolean, or the given default if the key is missing. */
bool
bb_section_boolean(struct bb_compilation *c, const struct bb_section *s,
                   const char *key, bool default_value)
{
    const char *text = bb_section_text(c, s, key);

    if (text == NULL) {
        return default_value;
    }
    if (strcmp(text, "true") != 0 && strcmp(text, "false") != 0) {
        bb_section_fault(c, s, key, "'%s' is neither true nor false", text);
        return default_value;
    }
    return text[0] == 't';
}

/* Returns the items of a list, which is empty if the key is missing. The
 * caller frees it with g_strfreev. */
char **
bb_section_list(struct bb_compilation *c, const struct bb_section *s,
                const char *key)
{
    const char *text = bb_section_text(c, s, key);

    return bb_split_list(text != NULL ? text : "");
}

/* Finds a section by kind and name, or returns NULL. */
struct bb_section *
bb_section_find(const struct bb_compilation *c, const char *kind,
                const char *name)
{
    char *title = g_strdup_printf("%s %s", kind, name);
    struct bb_section *s = g_hash_table_lookup(c->merged->by_title, title);

    g_free(title);
    return s;
}

/* Stores the index of the section that a value names and returns true. A
 * missing section is a fault, unless a file could not be parsed: the section
 * may be in that one. A section with a bad name has no index and has been
 * reported. */
bool
bb_section_refer(struct bb_compilation *c, const struct bb_section *s,
                 const char *key, const char *kind, const char *name,
                 uint16_t *index)
{
    const struct bb_section *target = bb_section_find(c, kind, name);

    *index = BB_INDEX_NONE;
    if (target == NULL) {
        if (!c->merged->is_partial) {
            bb_section_fault(c, s, key, "there is no section [%s %s]", kind,
                             name);
        }
        return false;
    }
    *index = target->index;
    return target->index != BB_INDEX_NONE;
}

/* Appends a zeroed item for a section and returns its index. Too many
 * sections of a kind are a fault; the index is then BB_INDEX_NONE. */
uint16_t
bb_section_append(struct bb_compilation *c, struct bb_section *s,
                  GArray *items, const void *item)
{
    if (items->len >= BB_SECTIONS_MAX) {
        bb_section_fault(c, s, NULL, "more than %d sections of this kind",
                         BB_SECTIONS_MAX);
        s->index = BB_INDEX_NONE;
        return BB_INDEX_NONE;
    }
    s->index = (uint16_t)items->len;
    g_array_append_vals(items, item, 1);
    return s->index;
}
