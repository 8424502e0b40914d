/* Parses every file with GKeyFile and merges them in the order of their
 * names; each value keeps the name of its file. */
#include "merge.h"

#include <string.h>

static void
free_value(void *item)
{
    struct bb_merged_value *v = item;

    g_free(v->key);
    g_free(v->raw);
    g_free(v->text);
    g_free(v);
}

static void
free_section(void *item)
{
    struct bb_section *s = item;

    g_hash_table_destroy(s->by_key);
    g_ptr_array_free(s->values, TRUE);
    g_free(s->title);
    g_free(s->kind);
    g_free(s->name);
    g_free(s);
}

/* Splits a list of the form "a;b;c". White space around items and empty items
 * are dropped. The caller frees the result with g_strfreev. */
char **
bb_split_list(const char *text)
{
    char **parts = g_strsplit(text, ";", -1);
    size_t kept = 0;

    for (size_t i = 0; parts[i] != NULL; i++) {
        char *part = g_strstrip(parts[i]);

        if (part[0] != '\0') {
            parts[kept++] = part;
        }
        else {
            g_free(part);
        }
    }
    parts[kept] = NULL;
    return parts;
}

/* Creates a section and adds it to m. The title is "KIND" or "KIND NAME". */
static struct bb_section *
create_section(struct bb_merged_config *m, const char *title, const char *file)
{
    struct bb_section *s = g_new0(struct bb_section, 1);
    const char *space = strchr(title, ' ');

    s->title = g_strdup(title);
    s->kind = space != NULL ? g_strndup(title, (size_t)(space - title))
                            : g_strdup(title);
    s->name = g_strdup(space != NULL ? space + 1 : "");
    s->file = file;
    s->values = g_ptr_array_new_with_free_func(free_value);
    s->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    g_ptr_array_add(m->sections, s);
    g_hash_table_insert(m->by_title, s->title, s);
    return s;
}

/* Adds a value to a section, or overrides the one that an earlier file sets
 * for the same key. Another value for an exclusive key is a fault. Takes
 * ownership of v. */
static void
merge_value(struct bb_section *s, struct bb_merged_value *v,
            struct bb_config_faults *faults)
{
    struct bb_merged_value *old = g_hash_table_lookup(s->by_key, v->key);
    const struct bb_section_operations *o =
        bb_section_find_operations(s->kind);
    const struct bb_key_spec *k =
        o != NULL ? bb_section_find_key_spec(o, v->key) : NULL;

    if (old == NULL) {
        g_ptr_array_add(s->values, v);
        g_hash_table_insert(s->by_key, v->key, v);
        return;
    }
    if (k != NULL && k->is_exclusive && strcmp(old->text, v->text) != 0) {
        bb_config_faults_add(
            faults, v->file, s->title, v->key,
            "'%s' contradicts '%s' in file %s; a %s has one %s", v->text,
            old->text, old->file, s->kind, v->key);
    }
    g_free(old->raw);
    g_free(old->text);
    old->raw = v->raw;
    old->text = v->text;
    old->file = v->file;
    g_free(v->key);
    g_free(v);
}

/* Merges one key of one file. A value with invalid escapes is a fault and
 * counts as empty. */
static void
merge_key(struct bb_section *s, GKeyFile *keys, const char *key,
          const char *file, struct bb_config_faults *faults)
{
    GError *error = NULL;
    char *text = g_key_file_get_string(keys, s->title, key, &error);
    struct bb_merged_value *v;

    if (text == NULL) {
        bb_config_faults_add(faults, file, s->title, key, "%s",
                             error->message);
        text = g_strdup("");
    }
    g_clear_error(&error); /* GLib may set it and return a text as well */
    v = g_new0(struct bb_merged_value, 1);
    v->key = g_strdup(key);
    v->text = g_strstrip(text);
    v->raw = g_key_file_get_value(keys, s->title, key, NULL);
    v->file = file;
    merge_value(s, v, faults);
}

/* Parses one file. Returns NULL after adding a fault if that fails; otherwise
 * the caller frees the result with g_key_file_free. */
static GKeyFile *
parse_file(const struct bb_folder_file *f, struct bb_config_faults *faults)
{
    GKeyFile *keys = NULL;
    GError *error = NULL;
    const char *end = NULL;

    if (memchr(f->data, '\0', f->size_bytes) != NULL) {
        bb_config_faults_add(faults, f->name, NULL, NULL,
                             "contains a zero byte");
        return NULL;
    }
    if (!g_utf8_validate(f->data, (gssize)f->size_bytes, &end)) {
        bb_config_faults_add(faults, f->name, NULL, NULL,
                             "is not valid UTF-8 at byte %zu",
                             (size_t)(end - f->data));
        return NULL;
    }
    keys = g_key_file_new();
    /* Translations must be kept, or a key such as calls[de] would be dropped
     * without a fault, depending on the locale. */
    if (!g_key_file_load_from_data(keys, f->data, f->size_bytes,
                                   G_KEY_FILE_KEEP_TRANSLATIONS, &error)) {
        bb_config_faults_add(faults, f->name, NULL, NULL, "%s",
                             error->message);
        g_error_free(error);
        g_key_file_free(keys);
        keys = NULL;
    }
    return keys;
}

/* Merges all sections of one parsed file. */
static void
merge_file(struct bb_merged_config *m, GKeyFile *keys, const char *file,
           struct bb_config_faults *faults)
{
    char **titles = g_key_file_get_groups(keys, NULL);

    for (size_t i = 0; titles[i] != NULL; i++) {
        struct bb_section *s = g_hash_table_lookup(m->by_title, titles[i]);
        char **names = g_key_file_get_keys(keys, titles[i], NULL, NULL);

        if (s == NULL) {
            s = create_section(m, titles[i], file);
        }
        for (size_t k = 0; names != NULL && names[k] != NULL; k++) {
            merge_key(s, keys, names[k], file, faults);
        }
        g_strfreev(names);
    }
    g_strfreev(titles);
}

/* Parses and merges all files of a folder. A file that cannot be parsed is a
 * fault and is left out. The caller frees the result with
 * bb_merged_config_destroy. */
struct bb_merged_config *
bb_merged_config_create(const struct bb_folder *folder,
                        struct bb_config_faults *faults)
{
    struct bb_merged_config *m = g_new0(struct bb_merged_config, 1);

    m->sections = g_ptr_array_new_with_free_func(free_section);
    m->by_title = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < folder->file_count; i++) {
        GKeyFile *keys = parse_file(&folder->files[i], faults);

        if (keys == NULL) {
            m->is_partial = true;
            continue;
        }
        merge_file(m, keys, folder->files[i].name, faults);
        g_key_file_free(keys);
    }
    return m;
}

/* Frees a merged configuration; NULL is allowed. */
void
bb_merged_config_destroy(struct bb_merged_config *m)
{
    if (m != NULL) {
        g_hash_table_destroy(m->by_title);
        g_ptr_array_free(m->sections, TRUE);
        g_free(m);
    }
}

/* Returns the names of the files that `[configuration] files=` lists, which
 * must all be in the folder. Returns NULL if there is no such key. Ignores
 * faults; bb_config_compile reports them. The caller frees the result with
 * g_strfreev. */
char **
bb_get_required_files(const struct bb_folder *folder)
{
    struct bb_config_faults faults = {0};
    struct bb_merged_config *m = bb_merged_config_create(folder, &faults);
    const struct bb_section *s =
        g_hash_table_lookup(m->by_title, "configuration");
    const struct bb_merged_value *v =
        s != NULL ? g_hash_table_lookup(s->by_key, "files") : NULL;
    char **names = v != NULL ? bb_split_list(v->text) : NULL;

    bb_merged_config_destroy(m);
    bb_config_faults_clear(&faults);
    return names;
}
