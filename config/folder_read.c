/* Reads a folder from disk. A folder that is missing, empty, half-written or
 * over a limit is an outage of the source and gives no folder at all, never
 * one with fewer files. */
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "config/folder.h"
#include "merge.h"

/* Sets the error for a folder or file that cannot be read, from an errno
 * value, and returns the outage. */
static enum bb_folder_outage
report_unreadable(struct bb_error *e, const char *name, int error)
{
    bb_error_set(e, BB_CONFIG_ERROR_SOURCE, "cannot read %s: %s", name,
                 g_strerror(error));
    return BB_FOLDER_OUTAGE_UNREADABLE;
}

/* Reads up to the end of the file, but at most capacity bytes. Returns the
 * count, or -1 with errno. */
static ssize_t
read_fully(int fd, char *buffer, size_t capacity)
{
    size_t length = 0;

    while (length < capacity) {
        ssize_t n = read(fd, buffer + length, capacity - length);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0) {
            return -1;
        }
        if (n == 0) {
            break;
        }
        length += (size_t)n;
    }
    return (ssize_t)length;
}

/* Checks that a file was not written while it was read and ends with a
 * newline. The last byte is missing if a writer has not finished. */
static enum bb_folder_outage
check_complete(const char *name, const char *data, size_t size,
               const struct stat *before, const struct stat *after,
               struct bb_error *e)
{
    if (before->st_size != after->st_size ||
        before->st_mtim.tv_sec != after->st_mtim.tv_sec ||
        before->st_mtim.tv_nsec != after->st_mtim.tv_nsec) {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE,
                     "file %s is being written at the moment", name);
        return BB_FOLDER_OUTAGE_HALF_WRITTEN;
    }
    if (size == 0 || data[size - 1] != '\n') {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE,
                     "file %s does not end with a newline", name);
        return BB_FOLDER_OUTAGE_HALF_WRITTEN;
    }
    return BB_FOLDER_OUTAGE_NONE;
}

/* Adds one open file to the builder; a sub-folder is skipped. The buffer has
 * BB_FOLDER_FILE_MAX_BYTES + 1 bytes, so that a larger file is noticed. */
static enum bb_folder_outage
read_open_file(int fd, const char *name, char *buffer,
               struct bb_folder_builder *b, struct bb_error *e)
{
    struct stat before;
    struct stat after;
    enum bb_folder_outage outage;
    ssize_t size;

    if (fstat(fd, &before) != 0) {
        return report_unreadable(e, name, errno);
    }
    if (S_ISDIR(before.st_mode)) {
        return BB_FOLDER_OUTAGE_NONE;
    }
    if (!S_ISREG(before.st_mode)) {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE, "%s is not a regular file",
                     name);
        return BB_FOLDER_OUTAGE_UNREADABLE;
    }
    size = read_fully(fd, buffer, BB_FOLDER_FILE_MAX_BYTES + 1);
    if (size < 0 || fstat(fd, &after) != 0) {
        return report_unreadable(e, name, errno);
    }
    /* The limits are checked before the end of the file, because only the
     * first part of a file over the limit is read. */
    if (!bb_folder_builder_add(b, name, buffer, (size_t)size, e)) {
        return BB_FOLDER_OUTAGE_UNREADABLE;
    }
    outage = check_complete(name, buffer, (size_t)size, &before, &after, e);
    return outage;
}

/* Opens one directory entry and adds it to the builder. */
static enum bb_folder_outage
read_entry(int folder_fd, const char *name, char *buffer,
           struct bb_folder_builder *b, struct bb_error *e)
{
    /* O_NONBLOCK keeps a named pipe from blocking the open. */
    int fd = openat(folder_fd, name, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
    enum bb_folder_outage outage;

    if (fd < 0 && errno == ENOENT) {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE,
                     "file %s disappeared while the folder was read", name);
        return BB_FOLDER_OUTAGE_HALF_WRITTEN;
    }
    if (fd < 0) {
        return report_unreadable(e, name, errno);
    }
    outage = read_open_file(fd, name, buffer, b, e);
    (void)close(fd);
    return outage;
}

/* Adds every file of an open directory that is not ignored. Stops at the first
 * outage and returns it. */
static enum bb_folder_outage
read_entries(DIR *directory, struct bb_folder_builder *b, struct bb_error *e)
{
    char *buffer = g_malloc(BB_FOLDER_FILE_MAX_BYTES + 1);
    enum bb_folder_outage outage = BB_FOLDER_OUTAGE_NONE;
    const struct dirent *entry;

    while (outage == BB_FOLDER_OUTAGE_NONE) {
        errno = 0;
        entry = readdir(directory);
        if (entry == NULL) {
            if (errno != 0) {
                outage = report_unreadable(e, "the folder", errno);
            }
            break;
        }
        if (!bb_folder_is_ignored_name(entry->d_name)) {
            outage = read_entry(dirfd(directory), entry->d_name, buffer, b, e);
        }
    }
    g_free(buffer);
    return outage;
}

/* Checks that the folder has a file, and all files that
 * `[configuration] files=` lists. */
static enum bb_folder_outage
check_folder(const struct bb_folder *f, const char *path, struct bb_error *e)
{
    char **names;
    enum bb_folder_outage outage = BB_FOLDER_OUTAGE_NONE;

    if (f->file_count == 0) {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE, "folder %s has no files",
                     path);
        return BB_FOLDER_OUTAGE_EMPTY;
    }
    names = bb_get_required_files(f);
    for (size_t i = 0; names != NULL && names[i] != NULL; i++) {
        if (bb_folder_find_file(f, names[i]) == NULL) {
            bb_error_set(e, BB_CONFIG_ERROR_SOURCE,
                         "file %s is listed in [configuration] files= and "
                         "is not there",
                         names[i]);
            outage = BB_FOLDER_OUTAGE_HALF_WRITTEN;
            break;
        }
    }
    g_strfreev(names);
    return outage;
}

/* Reads a folder from disk. Returns BB_FOLDER_OUTAGE_NONE and stores the
 * folder, which the caller frees with bb_folder_destroy. Otherwise returns the
 * outage, sets the error and stores NULL. Sub-folders, hidden and temporary
 * files are left out. */
enum bb_folder_outage
bb_folder_read(const char *path, struct bb_folder **folder, struct bb_error *e)
{
    struct bb_folder_builder *b = NULL;
    enum bb_folder_outage outage;
    DIR *directory = opendir(path);

    *folder = NULL;
    if (directory == NULL && (errno == ENOENT || errno == ENOTDIR)) {
        bb_error_set(e, BB_CONFIG_ERROR_SOURCE, "folder %s does not exist",
                     path);
        return BB_FOLDER_OUTAGE_MISSING;
    }
    if (directory == NULL) {
        return report_unreadable(e, path, errno);
    }
    b = bb_folder_builder_create();
    outage = read_entries(directory, b, e);
    if (outage != BB_FOLDER_OUTAGE_NONE) {
        goto out;
    }
    *folder = bb_folder_builder_finish(b, e);
    if (*folder == NULL) {
        outage = BB_FOLDER_OUTAGE_UNREADABLE;
        goto out;
    }
    outage = check_folder(*folder, path, e);
    if (outage != BB_FOLDER_OUTAGE_NONE) {
        bb_folder_destroy(*folder);
        *folder = NULL;
    }
out:
    bb_folder_builder_destroy(b);
    (void)closedir(directory);
    return outage;
}
