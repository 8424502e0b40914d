/* Recovery of the durable state: loads the snapshot, then applies the log
 * records written after it. */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "control/agree_codec.h"
#include "store_internal.h"

/* Reads a whole file into memory that the caller frees with g_free; *data is
 * NULL if it does not exist. Returns false if it cannot be read. */
static bool
read_file(const struct bb_store *s, const char *name, uint8_t **data,
          size_t *size_bytes, struct bb_error *e)
{
    char path[STORE_PATH_BYTES];
    GError *error = NULL;
    gsize length = 0;

    store_build_path(s, name, path);
    *data = NULL;
    *size_bytes = 0;
    if (!g_file_get_contents(path, (gchar **)data, &length, &error)) {
        bool is_missing =
            g_error_matches(error, G_FILE_ERROR, G_FILE_ERROR_NOENT);

        if (!is_missing) {
            bb_error_set(e, BB_STORE_ERROR_DAMAGED, "cannot read %s: %s", name,
                         error->message);
        }
        g_error_free(error);
        return is_missing;
    }
    *size_bytes = length;
    return true;
}

/* Loads the snapshot, if there is one; false if it is damaged. e must not be
 * NULL and must be zeroed. */
static bool
load_snapshot(struct bb_store *s, struct bb_agree_durable *d,
              struct bb_error *e)
{
    agree_state_record value = {0};
    struct bb_agree_durable *next = g_new0(struct bb_agree_durable, 1);
    struct store_record r = {0};
    uint8_t *data = NULL;
    size_t size = 0;
    bool is_valid = false;

    if (!read_file(s, "snapshot", &data, &size, e) || data == NULL) {
        g_free(next);
        return e->code == 0;
    }
    next->disk_id = d->disk_id;
    if (store_record_parse(data, size, &r) == STORE_RECORD_VALID &&
        r.kind == STORE_SNAPSHOT_RECORD && r.record_bytes == size) {
        is_valid = store_record_decode_body(
                       &r, (xdrproc_t)xdr_agree_state_record, &value) &&
                   bb_agree_decode_state_record(&value, next);
        xdr_free((xdrproc_t)xdr_agree_state_record, (char *)&value);
    }
    if (is_valid) {
        s->sequence = r.sequence;
        *d = *next;
    }
    else {
        bb_error_set(e, BB_STORE_ERROR_DAMAGED, "the snapshot is damaged");
    }
    g_free(data);
    g_free(next);
    return is_valid;
}

/* Applies one log record, or skips it if the snapshot includes it. Returns
 * false if it is malformed or records before it are missing. */
static bool
apply_log_record(struct bb_store *s, const struct store_record *r,
                 struct bb_agree_durable *d)
{
    agree_log_record value = {0};
    struct bb_agree_durable *next;
    bool is_valid = false;

    if (r->kind != STORE_LOG_RECORD || r->sequence > s->sequence + 1) {
        return false; /* records are missing */
    }
    if (r->sequence <= s->sequence) {
        return true;
    }
    next = g_new(struct bb_agree_durable, 1);
    *next = *d;
    is_valid =
        store_record_decode_body(r, (xdrproc_t)xdr_agree_log_record, &value) &&
        bb_agree_apply_log_record(&value, next);
    if (is_valid) {
        *d = *next;
        s->sequence = r->sequence;
    }
    g_free(next);
    xdr_free((xdrproc_t)xdr_agree_log_record, (char *)&value);
    return is_valid;
}

/* Truncates the log to remove a torn record at its end, whose write was never
 * acknowledged. */
static bool
truncate_torn_record(struct bb_store *s, size_t size_bytes, struct bb_error *e)
{
    if (s->operations.ftruncate(s->log_fd, (off_t)size_bytes) != 0 ||
        s->operations.fdatasync(s->log_fd) != 0) {
        return bb_error_set(e, BB_STORE_ERROR_DAMAGED,
                            "cannot truncate the torn end of the log: %s",
                            g_strerror(errno));
    }
    return true;
}

/* Applies all log records and removes a torn one at the end. Returns false if
 * another record is damaged. */
static bool
replay_log(struct bb_store *s, struct bb_agree_durable *d, struct bb_error *e)
{
    struct store_record r = {0};
    enum store_record_status state = STORE_RECORD_VALID;
    uint8_t *data = NULL;
    size_t size = 0;
    size_t offset = 0;
    bool is_valid = false;

    if (!read_file(s, "log", &data, &size, e)) {
        return false;
    }
    while (state == STORE_RECORD_VALID) {
        state = store_record_parse(data + offset, size - offset, &r);
        if (state == STORE_RECORD_VALID && !apply_log_record(s, &r, d)) {
            state = STORE_RECORD_DAMAGED;
        }
        offset += state == STORE_RECORD_VALID ? r.record_bytes : 0;
    }
    if (state == STORE_RECORD_DAMAGED) {
        bb_error_set(e, BB_STORE_ERROR_DAMAGED,
                     "the log is damaged at byte %zu of %zu", offset, size);
    }
    else {
        is_valid =
            state == STORE_RECORD_END || truncate_torn_record(s, offset, e);
    }
    g_free(data);
    return is_valid;
}

/* Fills in the durable state as far as it can be read. Returns false if it is
 * damaged. e must not be NULL and must be zeroed. */
bool
store_recover(struct bb_store *s, struct bb_agree_durable *d,
              struct bb_error *e)
{
    return load_snapshot(s, d, e) && replay_log(s, d, e);
}
