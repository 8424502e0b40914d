/* The bundle file: a node that starts from its own disk must load exactly what
 * it saved, and must never serve a damaged copy. */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "node/bundle_file.h"
#include "unit.h"

enum { VERSION = 7, FLIPPED_BIT = 0x20 };

static struct bb_bundle *
make_bundle(uint64_t revision)
{
    struct bb_folder_builder *builder = bb_folder_builder_create();
    struct bb_error e = {0};
    struct bb_folder *folder;

    CU_ASSERT_TRUE_FATAL(
        bb_folder_builder_add(builder, "00-team", "[team a]\n", 9, &e));
    folder = bb_folder_builder_finish(builder, &e);
    bb_folder_builder_destroy(builder);
    CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
    return bb_bundle_create(revision, VERSION, folder);
}

static char *
make_folder(void)
{
    char *folder = g_dir_make_tmp("baobab-bundle-file-XXXXXX", NULL);

    CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
    return folder;
}

static void
remove_folder(char *folder, const char *file)
{
    (void)g_unlink(file);
    (void)g_rmdir(folder);
    g_free(folder);
}

/* Guards against a copy that differs from what was saved last, and against an
 * error when there is none yet. */
static void
test_saved_copy_is_loaded_and_replaced(void)
{
    char *folder = make_folder();
    char *file = g_build_filename(folder, "configuration.bundle", NULL);
    struct bb_error e = {0};

    CU_ASSERT_PTR_NULL(bb_bundle_file_load(folder, &e));
    CU_ASSERT_EQUAL(e.code, 0);
    for (uint64_t r = 3; r < 5; r++) {
        struct bb_bundle *b = make_bundle(r);
        struct bb_bundle *loaded;

        CU_ASSERT_TRUE(bb_bundle_file_save(folder, b, &e));
        loaded = bb_bundle_file_load(folder, &e);
        CU_ASSERT_PTR_NOT_NULL_FATAL(loaded);
        CU_ASSERT_EQUAL(loaded->revision, r);
        CU_ASSERT_EQUAL(loaded->version, VERSION);
        CU_ASSERT_TRUE(bb_digest_equal(&loaded->digest, &b->digest));
        bb_bundle_unref(loaded);
        bb_bundle_unref(b);
    }
    remove_folder(folder, file);
    g_free(file);
}

/* Writes a modified copy and checks that it is refused. */
static void
check_refused(const char *folder, const char *file, const char *bytes,
              size_t size)
{
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(g_file_set_contents(file, bytes, (gssize)size, NULL));
    CU_ASSERT_PTR_NULL(bb_bundle_file_load(folder, &e));
    CU_ASSERT_EQUAL(e.code, BB_BUNDLE_FILE_ERROR_DAMAGED);
}

/* Guards against loading a truncated or modified copy: tries every shorter
 * length, and a flipped bit in each byte. */
static void
test_damaged_copy_is_refused(void)
{
    char *folder = make_folder();
    char *file = g_build_filename(folder, "configuration.bundle", NULL);
    struct bb_bundle *b = make_bundle(9);
    struct bb_error e = {0};
    char *bytes = NULL;
    gsize size = 0;

    CU_ASSERT_TRUE_FATAL(bb_bundle_file_save(folder, b, &e));
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(file, &bytes, &size, NULL));
    for (gsize i = 0; i < size; i++) {
        check_refused(folder, file, bytes, i);
        bytes[i] = (char)(bytes[i] ^ FLIPPED_BIT);
        check_refused(folder, file, bytes, size);
        bytes[i] = (char)(bytes[i] ^ FLIPPED_BIT);
    }
    g_free(bytes);
    bb_bundle_unref(b);
    remove_folder(folder, file);
    g_free(file);
}

/* Guards against a failed save that is reported as a success. */
static void
test_missing_folder_is_reported(void)
{
    struct bb_bundle *b = make_bundle(1);
    struct bb_error e = {0};

    CU_ASSERT_FALSE(bb_bundle_file_save("/nonexistent/folder", b, &e));
    CU_ASSERT_EQUAL(e.code, BB_BUNDLE_FILE_ERROR_WRITE);
    bb_bundle_unref(b);
}

static const struct bb_unit_test tests[] = {
    {"a saved copy is loaded and replaced",
     test_saved_copy_is_loaded_and_replaced},
    {"a damaged copy is refused", test_damaged_copy_is_refused},
    {"a missing folder is reported", test_missing_folder_is_reported},
};

BB_UNIT_MAIN("bundle_file", tests)
