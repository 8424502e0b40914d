/* baobabctl diff FOLDER: compares a folder with the configuration in force. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

/* A value of a merged configuration and the file it comes from. */
struct merged_entry {
    char *raw; /* as written, escapes are not resolved */
    char *file;
};

static void
free_merged_entry(void *item)
{
    struct merged_entry *v = item;

    g_free(v->raw);
    g_free(v->file);
    g_free(v);
}

/* Adds a value to the table context, under "[section] key". */
static void
add_value(void *context, const char *section_title, const char *key,
          const char *value, const char *file)
{
    struct merged_entry *v = g_new0(struct merged_entry, 1);

    v->raw = g_strdup(value);
    v->file = g_strdup(file);
    g_hash_table_insert(context,
                        g_strconcat("[", section_title, "] ", key, NULL), v);
}

/* Returns a table of the merged values of a folder by "[section] key". The
 * caller frees it with g_hash_table_destroy. */
static GHashTable *
collect_values(const struct bb_folder *f)
{
    GHashTable *table = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                              free_merged_entry);

    bb_config_visit_merged_values(f, add_value, table);
    return table;
}

/* Appends the values that differ to a list, as {"place", "in_force", "folder",
 * "file"}, sorted by place, which is "[section] key". A value that one side
 * does not have is null. */
static void
compare_values(json_t *list, GHashTable *in_force, GHashTable *folder)
{
    GList *keys = g_hash_table_get_keys(in_force);
    GHashTableIter iterator;
    void *key;

    g_hash_table_iter_init(&iterator, folder);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!g_hash_table_contains(in_force, key)) {
            keys = g_list_prepend(keys, key);
        }
    }
    keys = g_list_sort(keys, (GCompareFunc)strcmp);
    for (const GList *p = keys; p != NULL; p = p->next) {
        const struct merged_entry *a = g_hash_table_lookup(in_force, p->data);
        const struct merged_entry *b = g_hash_table_lookup(folder, p->data);
        const struct merged_entry *shown = b != NULL ? b : a;

        if (a == NULL || b == NULL || strcmp(a->raw, b->raw) != 0) {
            (void)json_array_append_new(
                list, json_pack("{s:s, s:s?, s:s?, s:s}", "place",
                                (const char *)p->data, "in_force",
                                a != NULL ? a->raw : NULL, "folder",
                                b != NULL ? b->raw : NULL, "file",
                                shown != NULL ? shown->file : ""));
        }
    }
    g_list_free(keys);
}

/* Appends the names of the files of a that are not in b to missing. Appends
 * those with other content in b to changed, which may be NULL. */
static void
compare_files(const struct bb_folder *a, const struct bb_folder *b,
              json_t *missing, json_t *changed)
{
    for (uint32_t i = 0; i < a->file_count; i++) {
        const struct bb_folder_file *f = &a->files[i];
        const struct bb_folder_file *other = bb_folder_find_file(b, f->name);

        if (other == NULL) {
            (void)json_array_append_new(missing, json_string(f->name));
        }
        else if (changed != NULL &&
                 !bb_digest_equal(&f->digest, &other->digest)) {
            (void)json_array_append_new(changed, json_string(f->name));
        }
    }
}

/* Prints the names of files in one list of a comparison, each after the name
 * of the list. */
static void
print_names(const struct bb_ctl_context *c, const json_t *j, const char *list)
{
    const json_t *names = json_object_get(j, list);

    for (size_t i = 0; i < json_array_size(names); i++) {
        (void)fprintf(c->out, "%s file %s\n", list,
                      json_string_value(json_array_get(names, i)));
    }
}

/* Prints a comparison as text. */
static void
print_text(const struct bb_ctl_context *c, const json_t *j)
{
    const json_t *values = json_object_get(j, "values");

    (void)fprintf(
        c->out, "in force: revision %" PRIu64 ", version %" PRIu64 "\n",
        bb_ctl_get_number(j, "revision"), bb_ctl_get_number(j, "version"));
    print_names(c, j, "added");
    print_names(c, j, "removed");
    print_names(c, j, "changed");
    for (size_t i = 0; i < json_array_size(values); i++) {
        const json_t *v = json_array_get(values, i);
        const char *place = bb_ctl_get_text(v, "place");

        if (json_is_string(json_object_get(v, "in_force"))) {
            (void)fprintf(c->out, "- %s = %s\n", place,
                          bb_ctl_get_text(v, "in_force"));
        }
        if (json_is_string(json_object_get(v, "folder"))) {
            (void)fprintf(c->out, "+ %s = %s  # from %s\n", place,
                          bb_ctl_get_text(v, "folder"),
                          bb_ctl_get_text(v, "file"));
        }
    }
    (void)fputs(bb_ctl_get_boolean(j, "equal") ? "equal\n" : "different\n",
                c->out);
}

/* Returns the comparison of two folders, with revision and version from the
 * response of /v1/in-force. The caller frees it with json_decref. */
static json_t *
compare_folders(const json_t *response, const struct bb_folder *in_force,
                const struct bb_folder *folder)
{
    json_t *added = json_array();
    json_t *removed = json_array();
    json_t *changed = json_array();
    json_t *values = json_array();
    GHashTable *a = collect_values(in_force);
    GHashTable *b = collect_values(folder);

    compare_files(folder, in_force, added, changed);
    compare_files(in_force, folder, removed, NULL);
    compare_values(values, a, b);
    g_hash_table_destroy(a);
    g_hash_table_destroy(b);
    return json_pack(
        "{s:b, s:I, s:I, s:o, s:o, s:o, s:o}", "equal",
        bb_digest_equal(&in_force->digest, &folder->digest), "revision",
        (json_int_t)bb_ctl_get_number(response, "revision"), "version",
        (json_int_t)bb_ctl_get_number(response, "version"), "added", added,
        "removed", removed, "changed", changed, "values", values);
}

/* Runs `baobabctl diff`. Returns BB_EXIT_OK if the folder is equal to that in
 * force, BB_EXIT_FAILED if not. */
static enum bb_exit
run_diff(const struct bb_ctl_context *c)
{
    struct bb_folder *folder = NULL;
    struct bb_folder *in_force = NULL;
    json_t *response = NULL;
    json_t *j = NULL;
    enum bb_exit result = bb_ctl_read_folder(c, c->operand, &folder);

    if (result != BB_EXIT_OK) {
        goto out;
    }
    result = bb_ctl_fetch_folder(c, &response, &in_force);
    if (result != BB_EXIT_OK) {
        goto out;
    }
    j = compare_folders(response, in_force, folder);
    result = bb_ctl_get_boolean(j, "equal") ? BB_EXIT_OK : BB_EXIT_FAILED;
    if (c->is_json) {
        result = bb_ctl_print_json(c, j, result);
    }
    else {
        print_text(c, j);
    }
out:
    json_decref(j);
    json_decref(response);
    bb_folder_destroy(in_force);
    bb_folder_destroy(folder);
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "FOLDER",
    .help = "compare a folder with what is in force",
    .run = run_diff,
};

BB_PLUGIN(diff, BB_PLUGIN_CTL_COMMAND, "diff", &command);
