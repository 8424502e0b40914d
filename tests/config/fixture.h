/* Creates folders from literal files, in memory and on disk. */
#ifndef BB_TESTS_CONFIG_FIXTURE_H
#define BB_TESTS_CONFIG_FIXTURE_H

#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/compile.h"
#include "config/folder.h"
#include "unit.h"

/* Ends the test if a pointer is NULL. CUnit leaves the test before the abort,
 * which only shows the static analyser that the pointer is not NULL. */
static inline void
fixture_require_not_null(const void *pointer)
{
    CU_ASSERT_PTR_NOT_NULL_FATAL(pointer);
    if (pointer == NULL) {
        abort();
    }
}

/* Creates a folder from pairs of name and text, ended by NULL. The caller
 * frees it with bb_folder_destroy. */
static inline struct bb_folder *
fixture_create_folder(const char *const *pairs)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_folder *f;
    struct bb_error e = {0};

    for (size_t i = 0; pairs[i] != NULL; i += 2) {
        CU_ASSERT_TRUE_FATAL(bb_folder_builder_add(b, pairs[i], pairs[i + 1],
                                                   strlen(pairs[i + 1]), &e));
    }
    f = bb_folder_builder_finish(b, &e);
    bb_folder_builder_destroy(b);
    return f;
}

/* Creates a temporary directory and returns its path, which
 * fixture_remove_directory frees. */
static inline char *
fixture_create_directory(void)
{
    char *path = g_dir_make_tmp("baobab-test-XXXXXX", NULL);

    fixture_require_not_null(path);
    return path;
}

/* Writes one file; a length of -1 means that data ends with a zero byte. */
static inline void
fixture_write_file(const char *directory, const char *name, const char *data,
                   ssize_t length)
{
    char *path = g_build_filename(directory, name, NULL);

    CU_ASSERT_TRUE_FATAL(g_file_set_contents(path, data, length, NULL));
    g_free(path);
}

/* Removes a temporary directory with its files and frees its path. */
static inline void
fixture_remove_directory(char *directory)
{
    GDir *d = g_dir_open(directory, 0, NULL);
    const char *name;

    while (d != NULL && (name = g_dir_read_name(d)) != NULL) {
        char *path = g_build_filename(directory, name, NULL);

        (void)g_remove(path);
        g_free(path);
    }
    if (d != NULL) {
        g_dir_close(d);
    }
    (void)g_rmdir(directory);
    g_free(directory);
}

#endif
