/* Guards against a host that votes on state that a crash or a failing disk has
 * damaged: torn logs, damaged bytes, full disks and failing syncs. */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "control/store.h"
#include "unit.h"

enum { WRITE_COUNT = 8, SNAPSHOT_WRITE = 3, DISK_ID = 0x1234 };

static char *folder;
static struct bb_agree_durable states[WRITE_COUNT + 1];
static size_t log_ends[WRITE_COUNT + 1]; /* size of the log after each write */

/* Faults of the fake file operations. */
static int write_errno;
static int sync_errno;
static size_t write_limit; /* maximum bytes of one write; 0: no limit */
static uint32_t write_and_sync_calls;

static ssize_t
fake_write(int fd, const void *data, size_t size_bytes)
{
    write_and_sync_calls++;
    if (write_limit > 0 && size_bytes > write_limit) {
        return write(fd, data, write_limit);
    }
    if (write_errno != 0) {
        errno = write_errno;
        return -1;
    }
    return write(fd, data, size_bytes);
}

static int
fake_fdatasync(int fd)
{
    write_and_sync_calls++;
    if (sync_errno != 0) {
        errno = sync_errno;
        return -1;
    }
    return fdatasync(fd);
}

static const struct bb_store_file_operations fake_operations = {
    .write = fake_write,
    .fdatasync = fake_fdatasync,
    .fsync = fsync,
    .ftruncate = ftruncate,
    .rename = rename};

/* Returns the content of a file of the folder; freed with g_free. */
static gchar *
read_file(const char *name, gsize *size)
{
    char *path = g_build_filename(folder, name, NULL);
    gchar *data = NULL;

    CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &data, size, NULL));
    g_free(path);
    return data;
}

static void
write_file(const char *name, const gchar *data, gsize size)
{
    char *path = g_build_filename(folder, name, NULL);
    FILE *f = fopen(path, "wb");

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    CU_ASSERT_EQUAL(fwrite(data, 1, size, f), size);
    (void)fclose(f);
    g_free(path);
}

static struct bb_store *
open_store(struct bb_agree_durable *d)
{
    struct bb_error e = {0};
    struct bb_store *s =
        bb_store_open(folder, &fake_operations, DISK_ID, d, &e);

    CU_ASSERT_PTR_NOT_NULL_FATAL(s);
    return s;
}

/* Changes a state as write i does: one more entry, another term and vote. */
static void
append_entry(struct bb_agree_durable *d, uint64_t i)
{
    struct bb_agree_entry *e = &d->log[d->log_count];

    *e = (struct bb_agree_entry){
        .term = i, .revision = i, .kind = BB_AGREE_CONFIG};
    e->digest.bytes[0] = (uint8_t)i;
    d->log_count++;
    d->term = i;
    d->voted_for = i % 2 == 0 ? DISK_ID : 0;
    d->commit_index = d->log_count - 1;
}

/* Creates a folder with WRITE_COUNT writes, one of them a snapshot, and
 * remembers the state and the size of the log after each. */
static void
fill_folder(void)
{
    struct bb_agree_durable *d = &states[0];
    struct bb_store *s;

    folder = g_dir_make_tmp("baobab-store-XXXXXX", NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
    s = open_store(d);
    CU_ASSERT_EQUAL(d->disk_id, DISK_ID);
    for (uint64_t i = 1; i <= WRITE_COUNT; i++) {
        gsize size = 0;

        states[i] = states[i - 1];
        append_entry(&states[i], i);
        CU_ASSERT_TRUE(i == SNAPSHOT_WRITE
                           ? bb_store_write_snapshot(s, &states[i], NULL)
                           : bb_store_append_record(
                                 s, &states[i], states[i].log_count, NULL));
        g_free(read_file("log", &size));
        log_ends[i] = size;
    }
    bb_store_close(s);
}

static void
remove_folder(void)
{
    static const char *const names[] = {"log", "snapshot", "incarnation",
                                        "lock", "payloads"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        char *path = g_build_filename(folder, names[i], NULL);

        (void)g_remove(path);
        g_free(path);
    }
    (void)g_rmdir(folder);
    g_free(folder);
}

/* Guards against losing completed writes when a crash cut off the last one at
 * any byte. */
static void
test_log_cut_at_every_byte(void)
{
    struct bb_agree_durable d;
    gsize size = 0;
    gchar *log;

    fill_folder();
    log = read_file("log", &size);
    for (gsize cut = 0; cut <= size; cut++) {
        uint32_t expected = SNAPSHOT_WRITE;
        struct bb_store *s;

        write_file("log", log, cut);
        while (expected < WRITE_COUNT && log_ends[expected + 1] <= cut) {
            expected++;
        }
        s = open_store(&d);
        CU_ASSERT_TRUE(bb_store_is_intact(s, NULL, 0));
        CU_ASSERT_EQUAL(memcmp(&d, &states[expected], sizeof(d)), 0);
        append_entry(&d, WRITE_COUNT + 1);
        CU_ASSERT_TRUE(bb_store_append_record(s, &d, d.log_count, NULL));
        bb_store_close(s);
        s = open_store(&states[0]);
        CU_ASSERT_EQUAL(memcmp(&d, &states[0], sizeof(d)), 0);
        bb_store_close(s);
    }
    g_free(log);
    remove_folder();
}

/* Changes each byte of one file in turn and checks that the host cannot vote:
 * the store is not intact or, if changes_disk_id, the disk ID is
 * another one (the last byte, a newline, does not matter). */
static void
check_flipped_bytes(const char *name, bool changes_disk_id)
{
    struct bb_agree_durable d;
    gsize size = 0;
    gchar *data;

    fill_folder();
    data = read_file(name, &size);
    for (gsize i = 0; i < size; i++) {
        struct bb_store *s;

        data[i] ^= 0x41;
        write_file(name, data, size);
        s = open_store(&d);
        if (changes_disk_id) {
            CU_ASSERT_TRUE(!bb_store_is_intact(s, NULL, 0) ||
                           d.disk_id != DISK_ID || i + 1 == size);
        }
        else {
            CU_ASSERT_FALSE(bb_store_is_intact(s, NULL, 0));
            CU_ASSERT_FALSE(bb_store_append_record(s, &d, 0, NULL));
        }
        bb_store_close(s);
        data[i] ^= 0x41;
    }
    g_free(data);
    remove_folder();
}

/* Guards against a host that can still vote with the same disk ID after a byte
 * of its log, snapshot or incarnation file has changed. */
static void
test_flipped_bytes(void)
{
    check_flipped_bytes("log", false);
    check_flipped_bytes("snapshot", false);
    check_flipped_bytes("incarnation", true);
}

/* Guards against a host that votes although one of its files is missing. */
static void
test_missing_files(void)
{
    static const char *const names[] = {"log", "snapshot", "incarnation"};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct bb_agree_durable d;
        struct bb_store *s;
        char *path;

        fill_folder();
        path = g_build_filename(folder, names[i], NULL);
        CU_ASSERT_EQUAL(g_remove(path), 0);
        g_free(path);
        s = open_store(&d);
        CU_ASSERT_FALSE(bb_store_is_intact(s, NULL, 0));
        bb_store_close(s);
        remove_folder();
    }
}

/* Makes a write or a sync fail. Checks that nothing is written or synced after
 * it and that the writes completed before are read back. */
static void
check_failed_write(int write_error, int sync_error)
{
    struct bb_agree_durable d;
    struct bb_agree_durable before;
    struct bb_error e = {0};
    char why[BB_ERROR_MESSAGE_BYTES];
    struct bb_store *s;

    fill_folder();
    s = open_store(&d);
    before = d;
    append_entry(&d, WRITE_COUNT + 1);
    write_errno = write_error;
    sync_errno = sync_error;
    write_limit =
        write_error != 0 ? 100 : 0; /* a part of the record is written */
    CU_ASSERT_FALSE(bb_store_append_record(s, &d, d.log_count, &e));
    CU_ASSERT_EQUAL(e.code, BB_STORE_ERROR_WRITE);
    write_and_sync_calls = 0;
    write_errno = 0;
    sync_errno = 0;
    write_limit = 0;
    CU_ASSERT_FALSE(bb_store_append_record(s, &d, d.log_count, &e));
    CU_ASSERT_FALSE(bb_store_write_snapshot(s, &d, &e));
    CU_ASSERT_EQUAL(write_and_sync_calls, 0);
    CU_ASSERT_FALSE(bb_store_is_intact(s, why, sizeof(why)));
    CU_ASSERT_TRUE(strlen(why) > 0);
    bb_store_close(s);
    s = open_store(&d);
    CU_ASSERT_TRUE(bb_store_is_intact(s, NULL, 0));
    if (write_error != 0) {
        CU_ASSERT_EQUAL(memcmp(&d, &before, sizeof(d)), 0);
    }
    bb_store_close(s);
    remove_folder();
}

/* Guards against a failed write that is reported as done, and against a sync
 * that is retried: the second one may report success for lost pages. */
static void
test_errors_of_write_and_sync(void)
{
    check_failed_write(ENOSPC, 0);
    check_failed_write(EIO, 0);
    check_failed_write(0, EIO);
}

/* Guards against a payload that counts as stored although the disk is full. */
static void
test_full_disk_for_payload(void)
{
    struct bb_digest digest = bb_digest_compute("x", 1);
    struct bb_agree_durable d;
    struct bb_store *s;

    fill_folder();
    s = open_store(&d);
    write_errno = ENOSPC;
    CU_ASSERT_FALSE(bb_store_put_payload(s, &digest, "x", 1, NULL));
    write_errno = 0;
    CU_ASSERT_FALSE(bb_store_has_payload(s, &digest));
    CU_ASSERT_FALSE(bb_store_is_intact(s, NULL, 0));
    bb_store_close(s);
    remove_folder();
}

/* Guards against short writes mistaken for complete ones, and against a second
 * open of a folder in use. */
static void
test_short_writes(void)
{
    struct bb_agree_durable d;
    struct bb_store *s;

    write_limit = 7;
    fill_folder();
    write_limit = 0;
    s = open_store(&d);
    CU_ASSERT_TRUE(bb_store_is_intact(s, NULL, 0));
    CU_ASSERT_EQUAL(memcmp(&d, &states[WRITE_COUNT], sizeof(d)), 0);
    CU_ASSERT_PTR_NULL(bb_store_open(folder, NULL, 1, &d, NULL));
    bb_store_close(s);
    remove_folder();
}

/* Guards against payloads that do not match their digest, that are removed
 * while needed, or that are kept when no longer needed. */
static void
test_payloads(void)
{
    static const char text[] = "[service a]\n";
    struct bb_digest digest = bb_digest_compute(text, sizeof(text));
    struct bb_digest other = bb_digest_compute("b", 1);
    struct bb_agree_durable d;
    struct bb_store *s;
    size_t size = 0;
    void *data;

    fill_folder();
    s = open_store(&d);
    CU_ASSERT_TRUE(bb_store_put_payload(s, &digest, text, sizeof(text), NULL));
    CU_ASSERT_TRUE(bb_store_put_payload(s, &other, "b", 1, NULL));
    CU_ASSERT_FALSE(bb_store_put_payload(s, &digest, "b", 1, NULL));
    d.log[0].digest = digest;
    bb_store_remove_unused_payloads(s, &d);
    CU_ASSERT_FALSE(bb_store_has_payload(s, &other));
    data = bb_store_get_payload(s, &digest, &size, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL(data);
    CU_ASSERT_EQUAL(size, sizeof(text));
    g_free(data);
    d.log[0].digest = other;
    bb_store_remove_unused_payloads(s, &d);
    bb_store_close(s);
    remove_folder();
}

static const struct bb_unit_test tests[] = {
    {"log cut at every byte", test_log_cut_at_every_byte},
    {"flipped bytes", test_flipped_bytes},
    {"missing files", test_missing_files},
    {"full disk for a payload", test_full_disk_for_payload},
    {"errors of write and sync", test_errors_of_write_and_sync},
    {"short writes and a second open", test_short_writes},
    {"payloads", test_payloads},
};

BB_UNIT_MAIN("store", tests)
