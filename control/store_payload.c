/* Payloads, each in a file of payloads/ that is named after its digest. */
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "common/counters.h"
#include "store_internal.h"

enum {
    FILE_NAME_BYTES = 16 + BB_DIGEST_TEXT_BYTES,
    PAYLOAD_MAX_BYTES = 1024 * 1024
};

BB_COUNTER(damaged_total, "baobab_store_payloads_damaged_total",
           "Payloads whose content did not match their digest");

/* Fills in the file name of a payload, relative to the data folder. */
static void
build_payload_name(const struct bb_digest *digest, char name[FILE_NAME_BYTES])
{
    char text[BB_DIGEST_TEXT_BYTES];

    (void)g_snprintf(name, FILE_NAME_BYTES, "payloads/%s",
                     bb_digest_format(digest, text));
}

/* Stores a payload and syncs it, unless an intact copy is stored already.
 * Returns false if it is too large, does not match the digest, or cannot be
 * written; a failed write also stops all further writes of the store. */
bool
bb_store_put_payload(struct bb_store *s, const struct bb_digest *digest,
                     const void *data, size_t size_bytes, struct bb_error *e)
{
    struct bb_digest found = bb_digest_compute(data, size_bytes);
    char name[FILE_NAME_BYTES];
    bool is_written;

    if (size_bytes > PAYLOAD_MAX_BYTES || !bb_digest_equal(&found, digest)) {
        return bb_error_set(
            e, BB_STORE_ERROR_PAYLOAD,
            "payload of %zu bytes is too large or does not match "
            "its digest",
            size_bytes);
    }
    build_payload_name(digest, name);
    (void)pthread_mutex_lock(&s->payload_lock);
    is_written = bb_store_has_payload(s, digest) ||
                 store_replace_file(s, name, data, size_bytes, e);
    (void)pthread_mutex_unlock(&s->payload_lock);
    return is_written;
}

/* Returns whether an intact copy of a payload is stored; reads the file. */
bool
bb_store_has_payload(struct bb_store *s, const struct bb_digest *digest)
{
    size_t size = 0;
    void *data = bb_store_get_payload(s, digest, &size, NULL);

    g_free(data);
    return data != NULL;
}

/* Returns a payload, which the caller frees with g_free, or NULL if it cannot
 * be read or its content does not match the digest. */
void *
bb_store_get_payload(struct bb_store *s, const struct bb_digest *digest,
                     size_t *size_bytes, struct bb_error *e)
{
    char name[FILE_NAME_BYTES];
    char path[STORE_PATH_BYTES];
    struct bb_digest found;
    gchar *data = NULL;
    gsize size = 0;

    build_payload_name(digest, name);
    store_build_path(s, name, path);
    if (!g_file_get_contents(path, &data, &size, NULL)) {
        (void)bb_error_set(e, BB_STORE_ERROR_PAYLOAD, "%s cannot be read",
                           name);
        return NULL;
    }
    found = bb_digest_compute(data, size);
    if (!bb_digest_equal(&found, digest)) {
        (void)bb_error_set(e, BB_STORE_ERROR_PAYLOAD, "%s is damaged", name);
        bb_counter_add(&damaged_total, 1);
        g_free(data);
        return NULL;
    }
    *size_bytes = size;
    return data;
}

/* Returns whether the durable state refers to a payload. */
static bool
is_referenced(const struct bb_agree_durable *d, const char *name)
{
    char text[BB_DIGEST_TEXT_BYTES];

    if (strcmp(name, bb_digest_format(&d->snapshot.in_force.digest, text)) ==
        0) {
        return true;
    }
    for (uint64_t i = 0; i < d->log_count; i++) {
        if (d->log[i].kind == BB_AGREE_CONFIG &&
            strcmp(name, bb_digest_format(&d->log[i].digest, text)) == 0) {
            return true;
        }
    }
    return false;
}

/* Removes the payloads that the durable state does not refer to: those of
 * compacted entries, except the one in force. */
void
bb_store_remove_unused_payloads(struct bb_store *s,
                                const struct bb_agree_durable *d)
{
    char path[STORE_PATH_BYTES];
    const char *name;
    GDir *dir;

    store_build_path(s, "payloads", path);
    dir = g_dir_open(path, 0, NULL);
    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        if (strlen(name) == BB_DIGEST_TEXT_BYTES - 1 &&
            !is_referenced(d, name)) {
            char file[STORE_PATH_BYTES + BB_DIGEST_TEXT_BYTES];

            (void)g_snprintf(file, sizeof(file), "%s/%s", path, name);
            (void)g_unlink(file);
        }
    }
    if (dir != NULL) {
        g_dir_close(dir);
    }
}
