#include "control/agree_codec.h"

#include <glib.h>
#include <string.h>

/* Converts one log entry to its XDR form. */
static void
encode_entry(const struct bb_agree_entry *e, agree_entry *out)
{
    out->term = e->term;
    out->revision = e->revision;
    out->base_revision = e->base_revision;
    out->config_version = e->version;
    out->disk_id = e->disk_id;
    memcpy(out->digest, e->digest.bytes, sizeof(out->digest));
    out->kind = e->kind;
    out->host = e->host;
}

/* Converts one log entry from its XDR form; false if a value is out of
 * range. */
static bool
decode_entry(const agree_entry *in, struct bb_agree_entry *e)
{
    if (in->kind > BB_AGREE_VOTER || in->host >= BB_AGREE_HOSTS_MAX) {
        return false;
    }
    memset(e, 0, sizeof(*e));
    e->term = in->term;
    e->revision = in->revision;
    e->base_revision = in->base_revision;
    e->version = in->config_version;
    e->disk_id = in->disk_id;
    memcpy(e->digest.bytes, in->digest, sizeof(e->digest.bytes));
    e->kind = (uint8_t)in->kind;
    e->host = (uint8_t)in->host;
    return true;
}

/* Returns the XDR form of an array of entries; freed by xdr_free of the value
 * that holds it. */
static agree_entry *
encode_entries(const struct bb_agree_entry *entries, uint64_t count)
{
    agree_entry *out = g_new0(agree_entry, count);

    for (uint64_t i = 0; i < count; i++) {
        encode_entry(&entries[i], &out[i]);
    }
    return out;
}

/* Converts entries from their XDR form; false if there are more than max or
 * one is malformed. */
static bool
decode_entries(const agree_entry *in, uint64_t count,
               struct bb_agree_entry *entries, uint64_t max)
{
    if (count > max) {
        return false;
    }
    for (uint64_t i = 0; i < count; i++) {
        if (!decode_entry(&in[i], &entries[i])) {
            return false;
        }
    }
    return true;
}

/* Converts a configuration of the log to its XDR form. */
static void
encode_config(const struct bb_agree_config *c, agree_config *out)
{
    out->revision = c->revision;
    out->base_revision = c->base_revision;
    out->config_version = c->version;
    memcpy(out->digest, c->digest.bytes, sizeof(out->digest));
}

/* Converts a configuration of the log from its XDR form. */
static void
decode_config(const agree_config *in, struct bb_agree_config *c)
{
    c->revision = in->revision;
    c->base_revision = in->base_revision;
    c->version = in->config_version;
    memcpy(c->digest.bytes, in->digest, sizeof(c->digest.bytes));
}

/* Converts a snapshot to its XDR form, with a newly allocated history. */
static void
encode_snapshot(const struct bb_agree_snapshot *s, agree_snapshot *out)
{
    out->index = s->index;
    out->term = s->term;
    out->highest_version = s->highest_version;
    for (uint32_t h = 0; h < BB_AGREE_HOSTS_MAX; h++) {
        out->voters[h] = s->voters[h];
    }
    encode_config(&s->in_force, &out->in_force);
    out->history.history_len = (u_int)s->history_count;
    out->history.history_val = g_new0(agree_config, s->history_count);
    for (uint64_t i = 0; i < s->history_count; i++) {
        encode_config(&s->history[i], &out->history.history_val[i]);
    }
}

/* Converts a snapshot from its XDR form. Returns false if the history has more
 * than BB_AGREE_HISTORY_MAX entries. */
static bool
decode_snapshot(const agree_snapshot *in, struct bb_agree_snapshot *s)
{
    if (in->history.history_len > BB_AGREE_HISTORY_MAX) {
        return false;
    }
    memset(s, 0, sizeof(*s));
    s->index = in->index;
    s->term = in->term;
    s->highest_version = in->highest_version;
    for (uint32_t h = 0; h < BB_AGREE_HOSTS_MAX; h++) {
        s->voters[h] = in->voters[h];
    }
    decode_config(&in->in_force, &s->in_force);
    s->history_count = in->history.history_len;
    for (uint64_t i = 0; i < s->history_count; i++) {
        decode_config(&in->history.history_val[i], &s->history[i]);
    }
    return true;
}

/* Converts a formation to its XDR form. */
static void
encode_formation(const struct bb_agree_formation *f, agree_formation *out)
{
    out->id = f->id;
    out->first_revision = f->first_revision;
    for (uint32_t h = 0; h < BB_AGREE_HOSTS_MAX; h++) {
        out->voters[h] = f->voters[h];
    }
}

/* Converts a formation from its XDR form. */
static void
decode_formation(const agree_formation *in, struct bb_agree_formation *f)
{
    f->id = in->id;
    f->first_revision = in->first_revision;
    for (uint32_t h = 0; h < BB_AGREE_HOSTS_MAX; h++) {
        f->voters[h] = in->voters[h];
    }
}

/* Converts a message to its XDR form, whose arrays are freed with xdr_free. */
void
bb_agree_encode_message(const struct bb_agree_message *m, agree_message *out)
{
    agree_body *body = &out->body;

    memset(out, 0, sizeof(*out));
    out->kind = m->kind;
    out->from = m->from;
    out->to = m->to;
    out->is_ok = m->is_ok;
    out->has_recent_quorum = m->has_recent_quorum;
    out->disk_id = m->disk_id;
    out->formation = m->formation;
    out->term = m->term;
    out->nonce = m->nonce;
    out->index = m->index;
    out->index_term = m->index_term;
    out->commit_index = m->commit_index;
    out->round = m->round;
    body->kind = AGREE_BODY_NONE;
    if (m->kind == BB_AGREE_APPEND) {
        body->kind = AGREE_BODY_ENTRIES;
        body->agree_body_u.entries.entries_len = m->count;
        body->agree_body_u.entries.entries_val =
            encode_entries(m->body.entries, m->count);
    }
    if (m->kind == BB_AGREE_FORM) {
        body->kind = AGREE_BODY_FORMATION;
        encode_formation(&m->body.formation, &body->agree_body_u.formation);
    }
    if (m->kind == BB_AGREE_SNAPSHOT) {
        body->kind = AGREE_BODY_SNAPSHOT;
        encode_snapshot(&m->body.snapshot, &body->agree_body_u.snapshot);
    }
}

/* Converts the body of a message from its XDR form; false if it is not the one
 * for m->kind. */
static bool
decode_body(const agree_body *in, struct bb_agree_message *m)
{
    switch (m->kind) {
    case BB_AGREE_APPEND:
        if (in->kind != AGREE_BODY_ENTRIES) {
            return false;
        }
        m->count = (uint8_t)in->agree_body_u.entries.entries_len;
        return decode_entries(in->agree_body_u.entries.entries_val, m->count,
                              m->body.entries, BB_AGREE_BATCH_MAX);
    case BB_AGREE_FORM:
        if (in->kind != AGREE_BODY_FORMATION) {
            return false;
        }
        decode_formation(&in->agree_body_u.formation, &m->body.formation);
        return true;
    case BB_AGREE_SNAPSHOT:
        return in->kind == AGREE_BODY_SNAPSHOT &&
               decode_snapshot(&in->agree_body_u.snapshot, &m->body.snapshot);
    default:
        return in->kind == AGREE_BODY_NONE;
    }
}

/* Converts a message from its XDR form; false if it is malformed. */
bool
bb_agree_decode_message(const agree_message *in, struct bb_agree_message *m)
{
    if (in->kind >= BB_AGREE_MESSAGE_KIND_COUNT ||
        in->from >= BB_AGREE_HOSTS_MAX || in->to >= BB_AGREE_HOSTS_MAX) {
        return false;
    }
    memset(m, 0, sizeof(*m));
    m->kind = (uint8_t)in->kind;
    m->from = (uint8_t)in->from;
    m->to = (uint8_t)in->to;
    m->is_ok = in->is_ok != 0;
    m->has_recent_quorum = in->has_recent_quorum != 0;
    m->disk_id = in->disk_id;
    m->formation = in->formation;
    m->term = in->term;
    m->nonce = in->nonce;
    m->index = in->index;
    m->index_term = in->index_term;
    m->commit_index = in->commit_index;
    m->round = in->round;
    return decode_body(&in->body, m);
}

/* Fills in a log record with the term, the vote, the commit index and the
 * entries from first_index on (0: no entries); freed with xdr_free. */
void
bb_agree_encode_log_record(const struct bb_agree_durable *d,
                           uint64_t first_index, agree_log_record *out)
{
    uint64_t skip = first_index > 0 ? first_index - d->snapshot.index - 1 : 0;
    uint64_t count = first_index > 0 ? d->log_count - skip : 0;

    memset(out, 0, sizeof(*out));
    out->term = d->term;
    out->voted_for = d->voted_for;
    out->commit_index = d->commit_index;
    out->first_index = first_index;
    out->entries.entries_len = (u_int)count;
    out->entries.entries_val = encode_entries(&d->log[skip], count);
}

/* Applies a log record to the durable state, replacing the entries from its
 * first index on. Returns false if the indices are outside the log window or
 * an entry is malformed; in this case the state may be partly changed. */
bool
bb_agree_apply_log_record(const agree_log_record *in,
                          struct bb_agree_durable *d)
{
    uint64_t first = in->first_index;
    uint64_t keep;

    if (first != 0) {
        if (first <= d->snapshot.index ||
            first > d->snapshot.index + d->log_count + 1) {
            return false;
        }
        keep = first - d->snapshot.index - 1;
        memset(&d->log[keep], 0,
               (BB_AGREE_LOG_MAX - keep) * sizeof(d->log[0]));
        if (!decode_entries(in->entries.entries_val, in->entries.entries_len,
                            &d->log[keep], BB_AGREE_LOG_MAX - keep)) {
            return false;
        }
        d->log_count = keep + in->entries.entries_len;
    }
    d->term = in->term;
    d->voted_for = in->voted_for;
    d->commit_index = in->commit_index;
    return d->commit_index >= d->snapshot.index &&
           d->commit_index <= d->snapshot.index + d->log_count;
}

/* Fills in a record of the whole durable state except the disk ID; freed
 * with xdr_free. */
void
bb_agree_encode_state_record(const struct bb_agree_durable *d,
                             agree_state_record *out)
{
    memset(out, 0, sizeof(*out));
    encode_formation(&d->formation, &out->formation);
    out->term = d->term;
    out->voted_for = d->voted_for;
    out->commit_index = d->commit_index;
    encode_snapshot(&d->snapshot, &out->snapshot);
    out->entries.entries_len = (u_int)d->log_count;
    out->entries.entries_val = encode_entries(d->log, d->log_count);
}

/* Replaces the durable state by that of a record; the disk ID stays.
 * Returns false if the record is malformed. */
bool
bb_agree_decode_state_record(const agree_state_record *in,
                             struct bb_agree_durable *d)
{
    uint64_t disk_id = d->disk_id;

    memset(d, 0, sizeof(*d));
    d->disk_id = disk_id;
    decode_formation(&in->formation, &d->formation);
    d->term = in->term;
    d->voted_for = in->voted_for;
    d->commit_index = in->commit_index;
    d->log_count = in->entries.entries_len;
    return decode_snapshot(&in->snapshot, &d->snapshot) &&
           decode_entries(in->entries.entries_val, in->entries.entries_len,
                          d->log, BB_AGREE_LOG_MAX) &&
           d->commit_index >= d->snapshot.index &&
           d->commit_index <= d->snapshot.index + d->log_count;
}
