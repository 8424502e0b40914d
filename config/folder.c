/* Folders in memory, and the builder that checks their limits. */
#include "config/folder.h"

#include <glib.h>
#include <string.h>

struct bb_folder_builder {
    GArray *files; /* of struct bb_folder_file */
    size_t size_bytes;
};

static const char *const outage_names[] = {
    [BB_FOLDER_OUTAGE_NONE] = "none",
    [BB_FOLDER_OUTAGE_MISSING] = "missing",
    [BB_FOLDER_OUTAGE_UNREADABLE] = "unreadable",
    [BB_FOLDER_OUTAGE_EMPTY] = "empty",
    [BB_FOLDER_OUTAGE_HALF_WRITTEN] = "half-written",
};

/* Returns the name of an outage as shown to operators; it is a constant. */
const char *
bb_folder_outage_name(enum bb_folder_outage o)
{
    return o < G_N_ELEMENTS(outage_names) ? outage_names[o] : "unknown";
}

/* Returns whether a name is empty or that of a hidden or temporary file, which
 * is not part of the configuration. */
bool
bb_folder_is_ignored_name(const char *name)
{
    size_t length = strlen(name);

    return name[0] == '\0' || name[0] == '.' || g_str_has_suffix(name, "~") ||
           g_str_has_suffix(name, ".tmp") || g_str_has_suffix(name, ".swp") ||
           (length >= 2 && name[0] == '#' && name[length - 1] == '#');
}

/* Returns whether a file may have this name: one path component of valid UTF-8
 * without control characters, which bb_folder_read does not ignore. */
static bool
is_valid_file_name(const char *name)
{
    size_t length = strlen(name);

    if (length > BB_FOLDER_FILE_NAME_MAX_BYTES || strchr(name, '/') != NULL ||
        !g_utf8_validate(name, -1, NULL) || bb_folder_is_ignored_name(name)) {
        return false;
    }
    for (const char *c = name; *c != '\0'; c++) {
        if (g_ascii_iscntrl(*c)) {
            return false;
        }
    }
    return true;
}

/* Frees the members of a file, but not the file itself. */
static void
clear_file(void *item)
{
    struct bb_folder_file *f = item;

    g_free(f->name);
    g_free(f->data);
}

/* Creates an empty builder. */
struct bb_folder_builder *
bb_folder_builder_create(void)
{
    struct bb_folder_builder *b = g_new0(struct bb_folder_builder, 1);

    b->files = g_array_new(FALSE, FALSE, sizeof(struct bb_folder_file));
    g_array_set_clear_func(b->files, clear_file);
    return b;
}

/* Adds a copy of one file. Returns false with BB_CONFIG_ERROR_NAME or
 * BB_CONFIG_ERROR_LIMIT and leaves the builder unchanged if the name is not
 * allowed or a limit is exceeded. Does not look for names added twice. */
bool
bb_folder_builder_add(struct bb_folder_builder *b, const char *name,
                      const void *data, size_t size_bytes, struct bb_error *e)
{
    struct bb_folder_file f = {.size_bytes = size_bytes};

    if (!is_valid_file_name(name)) {
        char *shown = g_strescape(name, NULL);

        bb_error_set(e, BB_CONFIG_ERROR_NAME,
                     "file name '%.200s' is not allowed", shown);
        g_free(shown);
        return false;
    }
    if (size_bytes > BB_FOLDER_FILE_MAX_BYTES) {
        return bb_error_set(e, BB_CONFIG_ERROR_LIMIT,
                            "file %s has more than %d bytes", name,
                            BB_FOLDER_FILE_MAX_BYTES);
    }
    if (b->files->len == BB_FOLDER_FILES_MAX) {
        return bb_error_set(e, BB_CONFIG_ERROR_LIMIT, "more than %d files",
                            BB_FOLDER_FILES_MAX);
    }
    if (size_bytes > BB_FOLDER_MAX_BYTES - b->size_bytes) {
        return bb_error_set(e, BB_CONFIG_ERROR_LIMIT,
                            "the files together have more than %d bytes",
                            BB_FOLDER_MAX_BYTES);
    }
    f.name = g_strdup(name);
    f.data = g_malloc(size_bytes + 1);
    if (size_bytes > 0) {
        memcpy(f.data, data, size_bytes);
    }
    f.data[size_bytes] = '\0';
    f.digest = bb_digest_compute(f.data, size_bytes);
    g_array_append_val(b->files, f);
    b->size_bytes += size_bytes;
    return true;
}

/* Orders files by the bytes of their names. */
static int
compare_files(const void *a, const void *b)
{
    const struct bb_folder_file *x = a;
    const struct bb_folder_file *y = b;

    return strcmp(x->name, y->name);
}

/* Computes the digest of all names and contents, over each name with its zero
 * byte and the digest of its content. A name cannot contain a zero byte, so
 * the concatenation is unambiguous. */
static struct bb_digest
digest_files(const GArray *files)
{
    GByteArray *bytes = g_byte_array_new();
    struct bb_digest d;

    for (uint32_t i = 0; i < files->len; i++) {
        const struct bb_folder_file *f =
            &g_array_index(files, struct bb_folder_file, i);

        g_byte_array_append(bytes, (const uint8_t *)f->name,
                            (uint32_t)strlen(f->name) + 1);
        g_byte_array_append(bytes, f->digest.bytes, BB_DIGEST_BYTES);
    }
    d = bb_digest_compute(
        bytes->data != NULL ? bytes->data : (const uint8_t *)"", bytes->len);
    g_byte_array_free(bytes, TRUE);
    return d;
}

/* Returns a folder of the added files and leaves the builder empty, to be used
 * again. Returns NULL with BB_CONFIG_ERROR_NAME if two files have the same
 * name. The caller frees the folder with bb_folder_destroy. */
struct bb_folder *
bb_folder_builder_finish(struct bb_folder_builder *b, struct bb_error *e)
{
    struct bb_folder *folder;

    g_array_sort(b->files, compare_files);
    for (uint32_t i = 1; i < b->files->len; i++) {
        const char *name =
            g_array_index(b->files, struct bb_folder_file, i).name;

        if (strcmp(g_array_index(b->files, struct bb_folder_file, i - 1).name,
                   name) == 0) {
            bb_error_set(e, BB_CONFIG_ERROR_NAME, "two files have the name %s",
                         name);
            return NULL;
        }
    }
    folder = g_new0(struct bb_folder, 1);
    folder->file_count = b->files->len;
    folder->size_bytes = b->size_bytes;
    folder->digest = digest_files(b->files);
    folder->files = (struct bb_folder_file *)g_array_free(b->files, FALSE);
    b->files = g_array_new(FALSE, FALSE, sizeof(struct bb_folder_file));
    g_array_set_clear_func(b->files, clear_file);
    b->size_bytes = 0;
    return folder;
}

/* Frees a builder and the files in it; NULL is allowed. */
void
bb_folder_builder_destroy(struct bb_folder_builder *b)
{
    if (b != NULL) {
        g_array_free(b->files, TRUE);
        g_free(b);
    }
}

/* Returns the file with a name, or NULL. */
const struct bb_folder_file *
bb_folder_find_file(const struct bb_folder *f, const char *name)
{
    uint32_t low = 0;
    uint32_t high = f->file_count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        int order = strcmp(f->files[middle].name, name);

        if (order == 0) {
            return &f->files[middle];
        }
        if (order < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

/* Returns a copy of a folder and its files. The caller frees it with
 * bb_folder_destroy. */
struct bb_folder *
bb_folder_copy(const struct bb_folder *f)
{
    struct bb_folder *copy = g_memdup2(f, sizeof(*f));

    copy->files = g_memdup2(f->files, f->file_count * sizeof(f->files[0]));
    for (uint32_t i = 0; i < f->file_count; i++) {
        copy->files[i].name = g_strdup(f->files[i].name);
        copy->files[i].data =
            g_memdup2(f->files[i].data, f->files[i].size_bytes + 1);
    }
    return copy;
}

/* Frees a folder; NULL is allowed. */
void
bb_folder_destroy(struct bb_folder *f)
{
    if (f == NULL) {
        return;
    }
    for (uint32_t i = 0; i < f->file_count; i++) {
        clear_file(&f->files[i]);
    }
    g_free(f->files);
    g_free(f);
}
