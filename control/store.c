/* The data folder: disk ID, log, snapshot. */
#include "control/store.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/counters.h"
#include "control/agree_codec.h"
#include "store_internal.h"

enum { FILE_MODE = 0640, FOLDER_MODE = 0750, DISK_ID_TEXT_BYTES = 32 };

BB_COUNTER(syncs_total, "baobab_store_syncs_total",
           "Syncs of the data folder's files");
BB_COUNTER(failures_total, "baobab_store_failures_total",
           "Writes or syncs of the data folder that failed");
BB_COUNTER(written_bytes, "baobab_store_written_bytes_total",
           "Bytes written to the data folder");

/* Fills in the path of a file in the data folder. */
void
store_build_path(const struct bb_store *s, const char *name,
                 char path[STORE_PATH_BYTES])
{
    (void)g_snprintf(path, STORE_PATH_BYTES, "%s/%s", s->folder, name);
}

/* Records a failure of a file with the cause in errno, unless one is recorded
 * already, and sets *e (may be NULL) to the first one. Returns false. Nothing
 * is written afterwards: the kernel may have dropped the unsynced pages, so a
 * second sync that succeeds proves nothing. */
bool
store_set_first_failure(struct bb_store *s, uint32_t code,
                        const char *file_name, struct bb_error *e)
{
    int cause = errno;

    bb_counter_add(&failures_total, 1);
    (void)pthread_mutex_lock(&s->lock);
    if (s->first_failure.code == 0) {
        bb_error_set(&s->first_failure, code, "%s: %s", file_name,
                     g_strerror(cause));
    }
    if (e != NULL) {
        *e = s->first_failure;
    }
    (void)pthread_mutex_unlock(&s->lock);
    return false;
}

/* Returns whether an earlier operation failed; if so, *e (may be NULL)
 * receives the first failure. */
bool
store_has_failed(struct bb_store *s, struct bb_error *e)
{
    bool has_failed;

    (void)pthread_mutex_lock(&s->lock);
    has_failed = s->first_failure.code != 0;
    if (has_failed && e != NULL) {
        *e = s->first_failure;
    }
    (void)pthread_mutex_unlock(&s->lock);
    return has_failed;
}

/* Writes a block, continuing after short writes; false with errno set on
 * failure. */
bool
store_write_all(struct bb_store *s, int fd, const void *data,
                size_t size_bytes)
{
    const uint8_t *position = data;

    while (size_bytes > 0) {
        ssize_t n = s->operations.write(fd, position, size_bytes);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            errno = n == 0 ? ENOSPC : errno;
            return false;
        }
        position += n;
        size_bytes -= (size_t)n;
        bb_counter_add(&written_bytes, (uint64_t)n);
    }
    return true;
}

/* Replaces a whole file atomically: temporary file, sync, rename, sync of its
 * directory. Returns false on failure, which is recorded. */
bool
store_replace_file(struct bb_store *s, const char *name, const void *data,
                   size_t size_bytes, struct bb_error *e)
{
    char path[STORE_PATH_BYTES];
    char temporary[STORE_PATH_BYTES];
    char *parent = NULL;
    int parent_fd = -1;
    bool is_written = false;
    int fd;

    if (store_has_failed(s, e)) {
        return false;
    }
    store_build_path(s, name, path);
    (void)g_snprintf(temporary, sizeof(temporary), "%s/%s.tmp", s->folder,
                     name);
    parent = g_path_get_dirname(path);
    fd = open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    parent_fd = open(parent, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bb_counter_add(&syncs_total, 2);
    is_written = fd >= 0 && parent_fd >= 0 &&
                 store_write_all(s, fd, data, size_bytes) &&
                 s->operations.fsync(fd) == 0 &&
                 s->operations.rename(temporary, path) == 0 &&
                 s->operations.fsync(parent_fd) == 0;
    if (!is_written) {
        (void)store_set_first_failure(s, BB_STORE_ERROR_WRITE, name, e);
        (void)unlink(temporary);
    }
    if (fd >= 0) {
        (void)close(fd);
    }
    if (parent_fd >= 0) {
        (void)close(parent_fd);
    }
    g_free(parent);
    return is_written;
}

/* Creates and opens the folder and locks it against other processes. */
static bool
open_folder(struct bb_store *s, struct bb_error *e)
{
    char path[STORE_PATH_BYTES];

    store_build_path(s, "payloads", path);
    if (g_mkdir_with_parents(path, FOLDER_MODE) != 0) {
        return bb_error_set(e, BB_STORE_ERROR_FOLDER, "cannot create %s: %s",
                            path, g_strerror(errno));
    }
    store_build_path(s, "lock", path);
    s->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, FILE_MODE);
    s->folder_fd = open(s->folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s->lock_fd < 0 || s->folder_fd < 0) {
        return bb_error_set(e, BB_STORE_ERROR_FOLDER, "cannot open %s: %s",
                            s->folder, g_strerror(errno));
    }
    if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        return bb_error_set(e, BB_STORE_ERROR_IN_USE,
                            "%s is used by another process", s->folder);
    }
    return true;
}

/* Returns whether the data folder contains a file. */
static bool
has_file(const struct bb_store *s, const char *name)
{
    char path[STORE_PATH_BYTES];

    store_build_path(s, name, path);
    return access(path, F_OK) == 0;
}

/* Opens the log; at first use, creates the log and then the incarnation file.
 * As that file is created last, its presence means that the log existed. */
static bool
open_files(struct bb_store *s, uint64_t disk_id, struct bb_error *e)
{
    char path[STORE_PATH_BYTES];
    char text[DISK_ID_TEXT_BYTES];
    bool is_first = !has_file(s, "incarnation");

    if (is_first && has_file(s, "snapshot")) {
        return bb_error_set(e, BB_STORE_ERROR_DAMAGED,
                            "the incarnation file is missing");
    }
    if (!is_first && !has_file(s, "log")) {
        return bb_error_set(e, BB_STORE_ERROR_DAMAGED, "the log is missing");
    }
    store_build_path(s, "log", path);
    s->log_fd = open(path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, FILE_MODE);
    if (s->log_fd < 0) {
        return store_set_first_failure(s, BB_STORE_ERROR_FOLDER, "log", e);
    }
    if (!is_first) {
        return true;
    }
    if (lseek(s->log_fd, 0, SEEK_END) != 0) {
        return bb_error_set(e, BB_STORE_ERROR_DAMAGED,
                            "a log without an incarnation file");
    }
    if (s->operations.fsync(s->log_fd) != 0) {
        return store_set_first_failure(s, BB_STORE_ERROR_WRITE, "log", e);
    }
    (void)g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x\n",
                     disk_id);
    return store_replace_file(s, "incarnation", text, strlen(text), e);
}

/* Reads the disk ID. A damaged file yields another ID or 0, neither of which
 * is in a list of voters, so the host cannot vote. */
static bool
read_disk_id(struct bb_store *s, struct bb_agree_durable *d,
             struct bb_error *e)
{
    char path[STORE_PATH_BYTES];
    char *text = NULL;

    store_build_path(s, "incarnation", path);
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        d->disk_id = g_ascii_strtoull(text, NULL, 16);
    }
    g_free(text);
    if (d->disk_id == 0) {
        return bb_error_set(e, BB_STORE_ERROR_DAMAGED,
                            "the incarnation file is damaged");
    }
    return true;
}

/* Opens a data folder and fills in the durable state. At first use, creates it
 * with the given random disk ID, which must not be 0. files is copied;
 * NULL means the system calls. Returns NULL if the folder cannot be used or is
 * in use. A damaged store is returned, with the state as far as it could be
 * read and *e set: bb_store_is_intact then returns false. Freed with
 * bb_store_close. */
struct bb_store *
bb_store_open(const char *folder, const struct bb_store_file_operations *files,
              uint64_t disk_id, struct bb_agree_durable *d, struct bb_error *e)
{
    static const struct bb_store_file_operations system_operations = {
        .write = write,
        .fdatasync = fdatasync,
        .fsync = fsync,
        .ftruncate = ftruncate,
        .rename = rename};
    struct bb_store *s = g_new0(struct bb_store, 1);
    struct bb_error problem = {0};

    memset(d, 0, sizeof(*d));
    (void)g_strlcpy(s->folder, folder, sizeof(s->folder));
    s->operations = files != NULL ? *files : system_operations;
    (void)pthread_mutex_init(&s->lock, NULL);
    (void)pthread_mutex_init(&s->payload_lock, NULL);
    s->folder_fd = -1;
    s->lock_fd = -1;
    s->log_fd = -1;
    if (!open_folder(s, e)) {
        bb_store_close(s);
        return NULL;
    }
    if (!open_files(s, disk_id, &problem) || !read_disk_id(s, d, &problem) ||
        !store_recover(s, d, &problem)) {
        s->first_failure = problem;
        if (e != NULL) {
            *e = problem;
        }
    }
    return s;
}

/* Closes the files and frees the store; NULL is allowed. */
void
bb_store_close(struct bb_store *s)
{
    if (s == NULL) {
        return;
    }
    if (s->log_fd >= 0) {
        (void)close(s->log_fd);
    }
    if (s->folder_fd >= 0) {
        (void)close(s->folder_fd);
    }
    if (s->lock_fd >= 0) {
        (void)close(s->lock_fd);
    }
    (void)pthread_mutex_destroy(&s->payload_lock);
    (void)pthread_mutex_destroy(&s->lock);
    g_free(s);
}

/* Returns whether everything was read intact and every write succeeded. If
 * not, the host must not vote, and why receives the reason; why may be NULL.
 */
bool
bb_store_is_intact(struct bb_store *s, char *why, size_t size_bytes)
{
    struct bb_error e = {0};
    bool has_failed = store_has_failed(s, &e);

    if (why != NULL && size_bytes > 0) {
        (void)g_strlcpy(why, e.message, size_bytes);
    }
    return !has_failed;
}

/* Appends one log record with the term, the vote, the commit index and the
 * entries from first_index on (0: no entries), and syncs it. Returns false and
 * sets *e on failure, after which the store writes no file any more; e may be
 * NULL. */
bool
bb_store_append_record(struct bb_store *s, const struct bb_agree_durable *d,
                       uint64_t first_index, struct bb_error *e)
{
    agree_log_record value;
    uint8_t *data;
    size_t size = 0;
    bool is_written;

    if (store_has_failed(s, e)) {
        return false;
    }
    bb_agree_encode_log_record(d, first_index, &value);
    data = store_record_encode(STORE_LOG_RECORD, s->sequence + 1,
                               (xdrproc_t)xdr_agree_log_record, &value, &size);
    xdr_free((xdrproc_t)xdr_agree_log_record, (char *)&value);
    bb_counter_add(&syncs_total, 1);
    errno = EINVAL;
    is_written = data != NULL && store_write_all(s, s->log_fd, data, size) &&
                 s->operations.fdatasync(s->log_fd) == 0;
    g_free(data);
    if (!is_written) {
        return store_set_first_failure(s, BB_STORE_ERROR_WRITE, "log", e);
    }
    s->sequence++;
    return true;
}

/* Replaces the snapshot by the whole state and empties the log. A crash in
 * between leaves log records that the snapshot includes already; recovery
 * skips them by their sequence number. Returns false and sets *e on failure,
 * after which the store writes no file any more; e may be NULL. */
bool
bb_store_write_snapshot(struct bb_store *s, const struct bb_agree_durable *d,
                        struct bb_error *e)
{
    agree_state_record value;
    uint8_t *data;
    size_t size = 0;
    bool is_written;

    if (store_has_failed(s, e)) {
        return false;
    }
    bb_agree_encode_state_record(d, &value);
    data =
        store_record_encode(STORE_SNAPSHOT_RECORD, s->sequence + 1,
                            (xdrproc_t)xdr_agree_state_record, &value, &size);
    xdr_free((xdrproc_t)xdr_agree_state_record, (char *)&value);
    errno = EINVAL;
    is_written =
        data != NULL && store_replace_file(s, "snapshot", data, size, e);
    g_free(data);
    if (!is_written) {
        return false;
    }
    s->sequence++;
    if (s->operations.ftruncate(s->log_fd, 0) != 0 ||
        s->operations.fdatasync(s->log_fd) != 0) {
        return store_set_first_failure(s, BB_STORE_ERROR_WRITE, "log", e);
    }
    return true;
}
