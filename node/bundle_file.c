#include "node/bundle_file.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <unistd.h>

enum { FILE_MODE = 0600 };

static const char file_name[] = "configuration.bundle";

/* Writes all bytes and syncs the file. Returns false with errno set on
 * failure. */
static bool
write_synced(int fd, const uint8_t *bytes, size_t size_bytes)
{
    size_t done = 0;

    while (done < size_bytes) {
        ssize_t n = write(fd, bytes + done, size_bytes - done);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return false;
        }
        done += (size_t)n;
    }
    return fsync(fd) == 0;
}

/* Syncs a folder, so that a rename in it survives a power failure. Returns
 * false with errno set on failure. */
static bool
sync_folder(const char *folder)
{
    int fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok = fd >= 0 && fsync(fd) == 0;

    if (fd >= 0) {
        (void)close(fd);
    }
    return ok;
}

/* Atomically replaces the copy in a folder. On failure returns false with
 * BB_BUNDLE_FILE_ERROR_WRITE; the folder then holds the whole old or the
 * whole new copy. */
bool
bb_bundle_file_save(const char *folder, const struct bb_bundle *b,
                    struct bb_error *e)
{
    char *target = g_build_filename(folder, file_name, NULL);
    char *temporary = g_strconcat(target, ".tmp", NULL);
    uint8_t *bytes = NULL;
    size_t size_bytes = 0;
    bool ok = false;
    int fd;

    bb_bundle_encode(b, &bytes, &size_bytes);
    fd = open(temporary, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
    if (fd < 0 || !write_synced(fd, bytes, size_bytes)) {
        goto out;
    }
    ok = rename(temporary, target) == 0 && sync_folder(folder);
out:
    if (!ok) {
        bb_error_set(e, BB_BUNDLE_FILE_ERROR_WRITE, "cannot write %s: %s",
                     target, g_strerror(errno));
    }
    if (fd >= 0) {
        (void)close(fd);
    }
    g_free(bytes);
    g_free(temporary);
    g_free(target);
    return ok;
}

/* Loads the copy from a folder. Returns NULL without an error if there is
 * none, and NULL with BB_BUNDLE_FILE_ERROR_READ or
 * BB_BUNDLE_FILE_ERROR_DAMAGED if it cannot be used. */
struct bb_bundle *
bb_bundle_file_load(const char *folder, struct bb_error *e)
{
    char *path = g_build_filename(folder, file_name, NULL);
    struct bb_bundle *b = NULL;
    struct bb_error cause = {0};
    GError *error = NULL;
    char *bytes = NULL;
    gsize size_bytes = 0;

    if (!g_file_get_contents(path, &bytes, &size_bytes, &error)) {
        if (!g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT)) {
            bb_error_set(e, BB_BUNDLE_FILE_ERROR_READ, "%s", error->message);
        }
        g_clear_error(&error);
        goto out;
    }
    b = bb_bundle_decode((const uint8_t *)bytes, size_bytes, &cause);
    if (b == NULL) {
        bb_error_wrap(e, BB_BUNDLE_FILE_ERROR_DAMAGED, &cause, path);
    }
out:
    g_free(bytes);
    g_free(path);
    return b;
}
