/* Durable state of a control host, in the files state.0 and state.1. */
#include "fleet/store.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/digest.h"
#include "common/log.h"

enum {
    FILE_COUNT = 2,
    FILE_MAX_BYTES = 24 * 1024 * 1024, /* not used; no limit is enforced */
    FILE_MODE = 0600,
    FOLDER_MODE = 0700
};

#define STORE_MAGIC 0x62623173746f7265ULL /* "bb1store" */

/* Header of a file, in host byte order, followed by the XDR form. */
struct file_header {
    uint64_t magic;
    uint64_t size_bytes;
    uint64_t hash; /* of the XDR form */
};

struct bb_fleet_store {
    uv_loop_t *loop;
    uv_work_t work;
    char *folder;
    uint64_t sequence;
    uint32_t next_file;
    bool is_name_durable[FILE_COUNT]; /* the folder was synced after this
                                         process wrote the file */
    bool is_busy;                     /* a write is in progress */
    bool is_closed;
    char *write_buffer;
    size_t size_bytes; /* of the buffer */
    int write_errno;   /* of the last write, 0: it succeeded */
    bb_fleet_store_done done;
    void *context;
};

/* Returns the path of the file state.0 or state.1. The caller frees it with
 * g_free. */
static char *
file_path(const struct bb_fleet_store *s, uint32_t file)
{
    return g_strdup_printf("%s/state.%u", s->folder, file);
}

/* Reads one file. Returns false if it is missing, cannot be read, or is
 * invalid; only a wrong header or hash is logged. */
static bool
read_file(const struct bb_fleet_store *s, uint32_t file,
          fleet_stored_state *out)
{
    char *path = file_path(s, file);
    char *data = NULL;
    gsize size = 0;
    struct file_header h;
    XDR x;
    bool is_valid = false;

    memset(out, 0, sizeof(*out));
    if (!g_file_get_contents(path, &data, &size, NULL) || size < sizeof(h)) {
        goto done;
    }
    memcpy(&h, data, sizeof(h));
    if (h.magic != STORE_MAGIC || h.size_bytes > size - sizeof(h) ||
        bb_hash64(data + sizeof(h), h.size_bytes, 0) != h.hash) {
        bb_log_warning("store.torn", "%s is corrupt and is ignored", path);
        goto done;
    }
    xdrmem_create(&x, data + sizeof(h), (u_int)h.size_bytes, XDR_DECODE);
    is_valid = xdr_fleet_stored_state(&x, out);
    xdr_destroy(&x);
done:
    g_free(data);
    g_free(path);
    return is_valid;
}

/* Opens the store in a folder, which is created if it is missing, and reads
 * the newest intact state into `newest`, which the caller frees with xdr_free.
 * *has_state is false if there is none. Returns NULL and sets the error
 * (BB_FLEET_ERROR_STORE) if the folder cannot be created. */
struct bb_fleet_store *
bb_fleet_store_open(uv_loop_t *loop, const char *folder,
                    fleet_stored_state *newest, bool *has_state,
                    struct bb_error *e)
{
    struct bb_fleet_store *s;
    fleet_stored_state read[FILE_COUNT];
    bool is_valid[FILE_COUNT];
    uint32_t best = 0;

    if (g_mkdir_with_parents(folder, FOLDER_MODE) != 0) {
        (void)bb_error_set(e, BB_FLEET_ERROR_STORE, "%s: %s", folder,
                           g_strerror(errno));
        return NULL;
    }
    s = g_new0(struct bb_fleet_store, 1);
    s->loop = loop;
    s->folder = g_strdup(folder);
    for (uint32_t i = 0; i < FILE_COUNT; i++) {
        is_valid[i] = read_file(s, i, &read[i]);
    }
    best =
        is_valid[1] && (!is_valid[0] || read[1].sequence > read[0].sequence);
    *has_state = is_valid[best];
    memset(newest, 0, sizeof(*newest));
    if (is_valid[best]) {
        *newest = read[best];
        s->sequence = newest->sequence;
        s->next_file = (best + 1) % FILE_COUNT;
    }
    if (is_valid[1 - best]) {
        xdr_free((xdrproc_t)xdr_fleet_stored_state, (char *)&read[1 - best]);
    }
    return s;
}

/* Writes all bytes at the start of a file and syncs them. Returns 0 or an
 * errno value. */
static int
write_and_sync(int fd, const char *data, size_t size_bytes)
{
    size_t done = 0;

    while (done < size_bytes) {
        ssize_t n = pwrite(fd, data + done, size_bytes - done, (off_t)done);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return n < 0 ? errno : ENOSPC;
        }
        done += (size_t)n;
    }
    return fdatasync(fd) != 0 ? errno : 0;
}

/* Syncs the folder, which makes the name of a new file durable. Returns 0 or
 * an errno value. */
static int
sync_folder(const char *folder)
{
    int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    int failure = 0;

    if (fd < 0) {
        return errno;
    }
    if (fsync(fd) != 0) {
        failure = errno;
    }
    (void)close(fd);
    return failure;
}

/* Writes the buffer to the next file; runs in the thread pool. */
static void
write_next_file(uv_work_t *w)
{
    struct bb_fleet_store *s = w->data;
    char *path = file_path(s, s->next_file);
    int fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, FILE_MODE);

    if (fd < 0) {
        s->write_errno = errno;
    }
    else {
        s->write_errno = write_and_sync(fd, s->write_buffer, s->size_bytes);
        (void)close(fd);
    }
    if (s->write_errno == 0 && !s->is_name_durable[s->next_file]) {
        s->write_errno = sync_folder(s->folder);
        s->is_name_durable[s->next_file] = s->write_errno == 0;
    }
    g_free(path);
}

/* Reports the end of a write, in the loop's thread. Only after a success does
 * the next write go to the other file. */
static void
on_write_done(uv_work_t *w, int status)
{
    struct bb_fleet_store *s = w->data;

    s->is_busy = false;
    g_free(s->write_buffer);
    s->write_buffer = NULL;
    if (s->is_closed) {
        bb_fleet_store_close(s);
        return;
    }
    if (status != 0 && s->write_errno == 0) {
        s->write_errno = EIO;
    }
    if (s->write_errno != 0) {
        bb_log_warning("store.failed",
                       "cannot write state.%u in the data folder, will be "
                       "retried: %s",
                       s->next_file, g_strerror(s->write_errno));
    }
    else {
        s->next_file = (s->next_file + 1) % FILE_COUNT;
    }
    s->done(s->context, s->write_errno == 0);
}

/* Returns whether a write is in progress. */
bool
bb_fleet_store_is_busy(const struct bb_fleet_store *s)
{
    return s->is_busy;
}

/* Starts writing a state over the older of the two files; the state is encoded
 * before this returns. After a failure the next write replaces the same file
 * as a whole, as pages that failed to sync may be lost. Sets state->sequence
 * to the number of this write. Returns false, without calling `done`, if a
 * write is in progress or cannot be started. */
bool
bb_fleet_store_write(struct bb_fleet_store *s, fleet_stored_state *state,
                     bb_fleet_store_done done, void *context)
{
    struct file_header h = {.magic = STORE_MAGIC};
    XDR x;

    if (s->is_busy) {
        return false;
    }
    state->sequence = ++s->sequence;
    h.size_bytes = xdr_sizeof((xdrproc_t)xdr_fleet_stored_state, state);
    s->size_bytes = sizeof(h) + h.size_bytes;
    s->write_buffer = g_malloc(s->size_bytes);
    xdrmem_create(&x, s->write_buffer + sizeof(h), (u_int)h.size_bytes,
                  XDR_ENCODE);
    (void)xdr_fleet_stored_state(&x, state);
    xdr_destroy(&x);
    h.hash = bb_hash64(s->write_buffer + sizeof(h), h.size_bytes, 0);
    memcpy(s->write_buffer, &h, sizeof(h));
    s->done = done;
    s->context = context;
    s->work.data = s;
    s->is_busy = true;
    if (uv_queue_work(s->loop, &s->work, write_next_file, on_write_done) !=
        0) {
        s->is_busy = false;
        g_free(s->write_buffer);
        s->write_buffer = NULL;
        return false;
    }
    return true;
}

/* Closes the store. A write in progress is completed, but its callback is not
 * called. NULL is allowed. */
void
bb_fleet_store_close(struct bb_fleet_store *s)
{
    if (s == NULL) {
        return;
    }
    s->is_closed = true;
    if (s->is_busy) {
        return;
    }
    g_free(s->folder);
    g_free(s);
}
