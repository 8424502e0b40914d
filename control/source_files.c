#include "source_files.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "common/clock.h"
#include "config/folder.h"
#include "control/source_watch.h"

enum {
    /* A file that changed this recently can change again within the resolution
     * of the file system's clock and keep its time and size. */
    RECENT_CHANGE_S = 2,
    STATE_MAX_BYTES = 64 * 1024
};

#define STATE_NAME "source.state"

/* Returns a digest as a JSON string. */
static json_t *
digest_to_json(const struct bb_digest *d)
{
    char text[BB_DIGEST_TEXT_BYTES];

    return json_string(bb_digest_format(d, text));
}

/* Parses a digest from a JSON string; false if it is not a digest. */
static bool
digest_from_json(const json_t *j, struct bb_digest *d)
{
    const char *text = json_string_value(j);

    if (text == NULL || strlen(text) != BB_DIGEST_TEXT_BYTES - 1) {
        return false;
    }
    for (size_t i = 0; i < BB_DIGEST_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        d->bytes[i] = (uint8_t)(high * 16 + low);
    }
    return true;
}

/* Returns the state as JSON, whose member "check" is the digest of all others;
 * NULL if the folder name is not UTF-8. */
static json_t *
state_to_json(const char *folder, const struct bb_source_saved *v)
{
    json_t *open = json_array();
    json_t *j;
    char *text;
    struct bb_digest check;

    for (uint32_t i = 0; i < v->open_proposal_count; i++) {
        (void)json_array_append_new(open,
                                    digest_to_json(&v->open_proposals[i]));
    }
    j = json_pack("{s:s, s:b, s:o, s:I, s:o}", "folder", folder, "has_settled",
                  v->has_settled, "settled", digest_to_json(&v->settled),
                  "base_revision", (json_int_t)v->base_revision, "open", open);
    if (j == NULL) {
        return NULL;
    }
    text = json_dumps(j, JSON_SORT_KEYS);
    check = bb_digest_compute(text, strlen(text));
    free(text);
    (void)json_object_set_new(j, "check", digest_to_json(&check));
    return j;
}

/* Writes a text to a file, which is created or replaced, and syncs it; false
 * with errno set on failure. */
static bool
write_synced(int folder_fd, const char *name, const char *text)
{
    size_t length = strlen(text);
    size_t done = 0;
    bool ok = true;
    int fd = openat(folder_fd, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC,
                    0600);

    if (fd < 0) {
        return false;
    }
    while (ok && done < length) {
        ssize_t n = write(fd, text + done, length - done);

        if (n < 0 && errno != EINTR) {
            ok = false;
        }
        done += n > 0 ? (size_t)n : 0;
    }
    ok = ok && fsync(fd) == 0;
    return close(fd) == 0 && ok;
}

/* Replaces the saved state atomically: temporary file, fsync, rename, fsync of
 * the directory. Returns false with BB_SOURCE_WATCH_ERROR_WRITE on failure;
 * until the rename, the earlier state stays. */
bool
bb_source_state_save(const char *data_folder, const char *folder,
                     const struct bb_source_saved *saved, struct bb_error *e)
{
    json_t *j = state_to_json(folder, saved);
    char *text = j != NULL ? json_dumps(j, JSON_INDENT(1)) : NULL;
    int fd = open(data_folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    bool ok =
        text != NULL && fd >= 0 && write_synced(fd, STATE_NAME ".tmp", text) &&
        renameat(fd, STATE_NAME ".tmp", fd, STATE_NAME) == 0 && fsync(fd) == 0;

    if (!ok) {
        bb_error_set(e, BB_SOURCE_WATCH_ERROR_WRITE,
                     "cannot save the state of the source in %s: %s",
                     data_folder, g_strerror(errno));
    }
    if (fd >= 0) {
        (void)close(fd);
    }
    free(text);
    json_decref(j);
    return ok;
}

/* Parses a state and verifies it by encoding it again; false if a member or
 * the check is wrong. */
static bool
parse_state(const json_t *j, struct bb_source_saved *v)
{
    const json_t *open = json_object_get(j, "open");
    const char *folder = json_string_value(json_object_get(j, "folder"));
    json_t *recomputed;
    bool ok;

    v->has_settled = json_is_true(json_object_get(j, "has_settled"));
    v->base_revision =
        (uint64_t)json_integer_value(json_object_get(j, "base_revision"));
    v->open_proposal_count = (uint32_t)json_array_size(open);
    if (folder == NULL ||
        v->open_proposal_count > BB_SOURCE_OPEN_PROPOSALS_MAX ||
        !digest_from_json(json_object_get(j, "settled"), &v->settled)) {
        return false;
    }
    for (uint32_t i = 0; i < v->open_proposal_count; i++) {
        if (!digest_from_json(json_array_get(open, i),
                              &v->open_proposals[i])) {
            return false;
        }
    }
    recomputed = state_to_json(folder, v);
    ok = json_equal(recomputed, j);
    json_decref(recomputed);
    return ok;
}

/* Loads the saved state of a folder. Returns false without an error if there
 * is none or it is of another folder, and false with
 * BB_SOURCE_WATCH_ERROR_DAMAGED if it is damaged. */
bool
bb_source_state_load(const char *data_folder, const char *folder,
                     struct bb_source_saved *saved, struct bb_error *e)
{
    char *path = g_build_filename(data_folder, STATE_NAME, NULL);
    struct bb_source_saved v = {0};
    json_error_t error;
    json_t *j = NULL;
    struct stat info;
    bool ok = false;

    if (stat(path, &info) != 0 && errno == ENOENT) {
        goto out;
    }
    if (info.st_size <= STATE_MAX_BYTES) {
        j = json_load_file(path, JSON_REJECT_DUPLICATES, &error);
    }
    if (j == NULL || !parse_state(j, &v)) {
        bb_error_set(e, BB_SOURCE_WATCH_ERROR_DAMAGED,
                     "the saved state %s is damaged", path);
        goto out;
    }
    ok = strcmp(json_string_value(json_object_get(j, "folder")), folder) == 0;
    if (ok) {
        *saved = v;
    }
out:
    json_decref(j);
    g_free(path);
    return ok;
}

/* Adds the name and the stat fields of a directory entry to a signature. */
static uint64_t
add_entry_hash(uint64_t sum, const char *name, const struct stat *s)
{
    uint64_t fields[] = {
        (uint64_t)s->st_ino,         (uint64_t)s->st_dev,
        (uint64_t)s->st_mode,        (uint64_t)s->st_size,
        (uint64_t)s->st_mtim.tv_sec, (uint64_t)s->st_mtim.tv_nsec,
        (uint64_t)s->st_ctim.tv_sec, (uint64_t)s->st_ctim.tv_nsec};
    uint64_t hash = bb_hash64(name, strlen(name), 0);

    /* A sum, because the order of entries in a directory is arbitrary. */
    return sum + bb_hash64(fields, sizeof(fields), hash);
}

/* Returns a signature of the names, sizes and times of a folder's files,
 * without reading them. Stops after BB_FOLDER_FILES_MAX files, as a folder
 * with more is not usable. *is_recent is set if a file changed so recently
 * that an equal signature does not prove equal content. */
uint64_t
bb_source_signature(const char *folder, bool *is_recent)
{
    int64_t now_s = (int64_t)(bb_clock_wall_now_us() / BB_US_PER_S);
    DIR *directory = opendir(folder);
    const struct dirent *entry;
    struct stat s = {0};
    uint32_t count = 0;
    uint64_t sum;

    *is_recent = false;
    if (directory == NULL) {
        return (uint64_t)errno << 32;
    }
    /* The directory's own times change when entries are added or removed. */
    (void)fstat(dirfd(directory), &s);
    sum = add_entry_hash(1, "", &s);
    while (count <= BB_FOLDER_FILES_MAX &&
           (entry = readdir(directory)) != NULL) {
        s = (struct stat){0};
        if (bb_folder_is_ignored_name(entry->d_name)) {
            continue;
        }
        if (fstatat(dirfd(directory), entry->d_name, &s, 0) != 0) {
            s.st_size = -errno;
        }
        count++;
        sum = add_entry_hash(sum, entry->d_name, &s);
        *is_recent = *is_recent || s.st_ctim.tv_sec > now_s - RECENT_CHANGE_S;
    }
    (void)closedir(directory);
    return sum;
}
