/* A folder that is missing, empty, half-written or over a limit must be
 * reported as an outage, and must never give a configuration with fewer files.
 */
#include <sys/stat.h>
#include <unistd.h>

#include "fixture.h"

static void
check_outage(const char *directory, enum bb_folder_outage expected,
             const char *word_in_message)
{
    struct bb_folder *f = NULL;
    struct bb_error e = {0};

    CU_ASSERT_EQUAL(bb_folder_read(directory, &f, &e), expected);
    CU_ASSERT_EQUAL(f == NULL, expected != BB_FOLDER_OUTAGE_NONE);
    if (word_in_message != NULL) {
        CU_ASSERT_PTR_NOT_NULL(strstr(e.message, word_in_message));
    }
    bb_folder_destroy(f);
}

/* Guards against temporary files of editors that become part of the
 * configuration, and against files in the order of the directory. */
static void
test_files_are_sorted_and_temporary_ones_ignored(void)
{
    char *d = fixture_create_directory();
    struct bb_folder *f = NULL;
    struct bb_error e = {0};

    fixture_write_file(d, "20.conf", "# b\n", -1);
    fixture_write_file(d, "10.conf", "# a\n", -1);
    fixture_write_file(d, ".hidden", "x", -1);
    fixture_write_file(d, "10.conf~", "x", -1);
    fixture_write_file(d, "#10.conf#", "x", -1);
    fixture_write_file(d, "a.tmp", "x", -1);
    fixture_write_file(d, "a.swp", "x", -1);
    CU_ASSERT_EQUAL_FATAL(bb_folder_read(d, &f, &e), BB_FOLDER_OUTAGE_NONE);
    CU_ASSERT_EQUAL(f->file_count, 2);
    CU_ASSERT_STRING_EQUAL(f->files[0].name, "10.conf");
    CU_ASSERT_PTR_NOT_NULL(bb_folder_find_file(f, "20.conf"));
    CU_ASSERT_PTR_NULL(bb_folder_find_file(f, "30.conf"));
    bb_folder_destroy(f);
    fixture_remove_directory(d);
}

/* Guards against folders with different names or contents but the same digest,
 * and against a digest that depends on the order in which files are added. */
static void
test_digest_depends_on_names_and_contents(void)
{
    static const char *const sets[][5] = {
        {"a", "x\n", "b", "y\n"}, {"a", "y\n", "b", "x\n"},
        {"a", "x\n", "c", "y\n"}, {"a", "x\n"},
        {"b", "y\n", "a", "x\n"},
    };
    struct bb_folder *f[5];

    for (size_t i = 0; i < 5; i++) {
        f[i] = fixture_create_folder(sets[i]);
    }
    for (size_t i = 1; i < 4; i++) {
        CU_ASSERT_FALSE(bb_digest_equal(&f[0]->digest, &f[i]->digest));
    }
    CU_ASSERT_TRUE(bb_digest_equal(&f[0]->digest, &f[4]->digest));
    for (size_t i = 0; i < 5; i++) {
        bb_folder_destroy(f[i]);
    }
}

/* Guards against an outage that is reported as another one, and against a
 * half-written folder that is read as a complete one. */
static void
test_outages_are_told_apart(void)
{
    char *d = fixture_create_directory();
    char *pipe_path = g_build_filename(d, "pipe", NULL);

    check_outage("/nonexistent/folder", BB_FOLDER_OUTAGE_MISSING,
                 "does not exist");
    check_outage(d, BB_FOLDER_OUTAGE_EMPTY, "no files");
    fixture_write_file(d, "10.conf", "", 0);
    check_outage(d, BB_FOLDER_OUTAGE_HALF_WRITTEN, "newline");
    fixture_write_file(d, "10.conf", "[limits]\nmax-de", -1);
    check_outage(d, BB_FOLDER_OUTAGE_HALF_WRITTEN, "10.conf");
    fixture_write_file(d, "10.conf",
                       "[configuration]\nfiles=10.conf;20.conf\n", -1);
    check_outage(d, BB_FOLDER_OUTAGE_HALF_WRITTEN, "20.conf");
    fixture_write_file(d, "20.conf", "# here\n", -1);
    check_outage(d, BB_FOLDER_OUTAGE_NONE, NULL);
    CU_ASSERT_EQUAL(mkfifo(pipe_path, 0600), 0);
    check_outage(d, BB_FOLDER_OUTAGE_UNREADABLE, "not a regular file");
    g_free(pipe_path);
    fixture_remove_directory(d);
}

_Static_assert(BB_FOLDER_MAX_BYTES / BB_FOLDER_FILE_MAX_BYTES == 16,
               "number of largest files that fill a folder");

/* Guards against a file or folder over its limit of bytes, or a file name that
 * is not UTF-8, that is read. */
static void
test_limits_and_names_are_enforced(void)
{
    char *d = fixture_create_directory();
    char *big = g_malloc(BB_FOLDER_FILE_MAX_BYTES + 1);
    char name[32];

    memset(big, '\n', BB_FOLDER_FILE_MAX_BYTES + 1);
    fixture_write_file(d, "a", big, BB_FOLDER_FILE_MAX_BYTES);
    check_outage(d, BB_FOLDER_OUTAGE_NONE, NULL);
    fixture_write_file(d, "a", big, BB_FOLDER_FILE_MAX_BYTES + 1);
    check_outage(d, BB_FOLDER_OUTAGE_UNREADABLE, "bytes");
    fixture_write_file(d, "a", "\n", 1);
    fixture_write_file(d, "bad\xff", "\n", 1);
    check_outage(d, BB_FOLDER_OUTAGE_UNREADABLE, "bad\\377");
    fixture_remove_directory(d);
    d = fixture_create_directory();
    for (int i = 0; i < BB_FOLDER_MAX_BYTES / BB_FOLDER_FILE_MAX_BYTES + 1;
         i++) {
        (void)g_snprintf(name, sizeof(name), "f%d", i);
        fixture_write_file(d, name, big, BB_FOLDER_FILE_MAX_BYTES);
    }
    check_outage(d, BB_FOLDER_OUTAGE_UNREADABLE, "together");
    fixture_remove_directory(d);
    g_free(big);
}

/* The number of files bounds the memory for a folder from the network. A name
 * such as "../x" is refused as well: it would lead out of the folder. */
static void
test_too_many_files_and_bad_names_are_refused(void)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_error e = {0};
    char name[32];

    for (int i = 0; i < BB_FOLDER_FILES_MAX; i++) {
        (void)g_snprintf(name, sizeof(name), "f%d", i);
        CU_ASSERT_TRUE_FATAL(bb_folder_builder_add(b, name, "\n", 1, &e));
    }
    CU_ASSERT_FALSE(bb_folder_builder_add(b, "last", "\n", 1, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_LIMIT);
    CU_ASSERT_FALSE(bb_folder_builder_add(b, "../x", "\n", 1, &e));
    CU_ASSERT_EQUAL(e.code, BB_CONFIG_ERROR_NAME);
    bb_folder_builder_destroy(b);
}

static const struct bb_unit_test tests[] = {
    {"files are sorted and temporary ones ignored",
     test_files_are_sorted_and_temporary_ones_ignored},
    {"the digest depends on names and contents",
     test_digest_depends_on_names_and_contents},
    {"outages are told apart", test_outages_are_told_apart},
    {"limits and names are enforced", test_limits_and_names_are_enforced},
    {"too many files and bad names are refused",
     test_too_many_files_and_bad_names_are_refused},
};

BB_UNIT_MAIN("folder", tests)
