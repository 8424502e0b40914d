/* Durable state of a control host, in two files written in turn. */
#include "fleet/store.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/digest.h"
#include "common/log.h"

enum {
    FILES = 2,
    FILE_MAX_BYTES = 24 * 1024 * 1024,
    MODE = 0600,
    FOLDER_MODE = 0700
};

#define STORE_MAGIC 0x62623173746f7265ULL

/* Precedes the XDR form in a file. */
struct header {
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
    bool has_file[FILES]; /* its name is durable */
    bool is_busy;
    bool is_closed;
    char *data; /* being written */
    size_t size_bytes;
    int failure; /* errno of the last write, 0: none */
    bb_store_done done;
    void *context;
};

static char *
file_path(const struct bb_fleet_store *s, uint32_t file)
{
    return g_strdup_printf("%s/state.%u", s->folder, file);
}

/* Reads one file; returns false if it is missing or not whole. */
static bool
read_file(const struct bb_fleet_store *s, uint32_t file, fleet_stored *out)
{
    char *path = file_path(s, file);
    char *data = NULL;
    gsize size = 0;
    struct header h;
    XDR x;
    bool is_good = false;

    memset(out, 0, sizeof(*out));
    if (!g_file_get_contents(path, &data, &size, NULL) || size < sizeof(h)) {
        goto done;
    }
    memcpy(&h, data, sizeof(h));
    if (h.magic != STORE_MAGIC || h.size_bytes > size - sizeof(h) ||
        bb_hash64(data + sizeof(h), h.size_bytes, 0) != h.hash) {
        bb_log_warning("store.torn", "%s is not whole; the other one holds",
                       path);
        goto done;
    }
    xdrmem_create(&x, data + sizeof(h), (u_int)h.size_bytes, XDR_DECODE);
    is_good = xdr_fleet_stored(&x, out);
    xdr_destroy(&x);
done:
    g_free(data);
    g_free(path);
    return is_good;
}

/* Opens the store and reads the newest whole state, which the caller frees
 * with xdr_free. An empty folder has none. */
struct bb_fleet_store *
bb_fleet_store_open(uv_loop_t *loop, const char *folder, fleet_stored *newest,
                    bool *has_state, struct bb_error *e)
{
    struct bb_fleet_store *s;
    fleet_stored read[FILES];
    bool is_good[FILES];
    uint32_t best = 0;

    if (g_mkdir_with_parents(folder, FOLDER_MODE) != 0) {
        (void)bb_error_set(e, BB_FLEET_ERROR_STORE, "%s: %s", folder,
                           g_strerror(errno));
        return NULL;
    }
    s = g_new0(struct bb_fleet_store, 1);
    s->loop = loop;
    s->folder = g_strdup(folder);
    for (uint32_t i = 0; i < FILES; i++) {
        is_good[i] = read_file(s, i, &read[i]);
    }
    best = is_good[1] && (!is_good[0] || read[1].sequence > read[0].sequence);
    *has_state = is_good[best];
    memset(newest, 0, sizeof(*newest));
    if (is_good[best]) {
        *newest = read[best];
        s->sequence = newest->sequence;
        s->next_file = (best + 1) % FILES;
    }
    if (is_good[1 - best]) {
        xdr_free((xdrproc_t)xdr_fleet_stored, (char *)&read[1 - best]);
    }
    return s;
}

/* Writes all bytes at the start of a file and syncs them. */
static int
write_all(int fd, const char *data, size_t size_bytes)
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

/* Makes the name of a new file durable. */
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

/* Writes the file in the thread pool. */
static void
run_write(uv_work_t *w)
{
    struct bb_fleet_store *s = w->data;
    char *path = file_path(s, s->next_file);
    int fd = open(path, O_WRONLY | O_CREAT | O_CLOEXEC, MODE);

    if (fd < 0) {
        s->failure = errno;
    }
    else {
        s->failure = write_all(fd, s->data, s->size_bytes);
        (void)close(fd);
    }
    if (s->failure == 0 && !s->has_file[s->next_file]) {
        s->failure = sync_folder(s->folder);
        s->has_file[s->next_file] = s->failure == 0;
    }
    g_free(path);
}

static void
end_write(uv_work_t *w, int status)
{
    struct bb_fleet_store *s = w->data;

    s->is_busy = false;
    g_free(s->data);
    s->data = NULL;
    if (s->is_closed) {
        bb_fleet_store_close(s);
        return;
    }
    if (status != 0 && s->failure == 0) {
        s->failure = EIO;
    }
    if (s->failure != 0) {
        bb_log_warning("store.failed", "state.%u: %s", s->next_file,
                       g_strerror(s->failure));
    }
    else {
        s->next_file = (s->next_file + 1) % FILES;
    }
    s->done(s->context, s->failure == 0);
}

/* Returns whether a write is under way. */
bool
bb_fleet_store_is_busy(const struct bb_fleet_store *s)
{
    return s->is_busy;
}

/* Starts to write a state, over the older of the two files. After a failure
 * the same file is written again as a whole, so nothing that an earlier sync
 * may have lost is relied on. Returns false while another write is under
 * way. */
bool
bb_fleet_store_write(struct bb_fleet_store *s, fleet_stored *state,
                     bb_store_done done, void *context)
{
    struct header h = {.magic = STORE_MAGIC};
    XDR x;

    if (s->is_busy) {
        return false;
    }
    state->sequence = ++s->sequence;
    h.size_bytes = xdr_sizeof((xdrproc_t)xdr_fleet_stored, state);
    s->size_bytes = sizeof(h) + h.size_bytes;
    s->data = g_malloc(s->size_bytes);
    xdrmem_create(&x, s->data + sizeof(h), (u_int)h.size_bytes, XDR_ENCODE);
    (void)xdr_fleet_stored(&x, state);
    xdr_destroy(&x);
    h.hash = bb_hash64(s->data + sizeof(h), h.size_bytes, 0);
    memcpy(s->data, &h, sizeof(h));
    s->done = done;
    s->context = context;
    s->work.data = s;
    s->is_busy = true;
    if (uv_queue_work(s->loop, &s->work, run_write, end_write) != 0) {
        s->is_busy = false;
        g_free(s->data);
        s->data = NULL;
        return false;
    }
    return true;
}

/* Closes the store once no write is under way; NULL is allowed. */
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
