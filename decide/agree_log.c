/* The log: access to entries, compaction into the snapshot, and searches. */
#include <string.h>

#include "agree_internal.h"

enum {
    /* Compaction starts above this number of entries, well before the leader
     * refuses proposals as busy, and keeps at most COMPACT_TO entries if all
     * others are applied. */
    COMPACT_ABOVE = BB_AGREE_LOG_MAX / 2,
    COMPACT_TO = BB_AGREE_LOG_MAX / 4
};

/* Returns the index of the last entry, 0 if there was never one. */
uint64_t
bb_agree_last_index(const struct bb_agree *a)
{
    return a->durable.snapshot.index + a->durable.log_count;
}

/* Returns the entry at an index, or NULL if it is compacted or not in the log.
 * Valid until the next step. */
const struct bb_agree_entry *
bb_agree_get_entry(const struct bb_agree *a, uint64_t index)
{
    if (index <= a->durable.snapshot.index || index > bb_agree_last_index(a)) {
        return NULL;
    }
    return &a->durable.log[index - a->durable.snapshot.index - 1];
}

/* Stores the term of the entry at an index. Returns false, without storing, if
 * the index is below the snapshot's or above the last one. */
bool
agree_get_term(const struct bb_agree *a, uint64_t index, uint64_t *term)
{
    const struct bb_agree_entry *e = bb_agree_get_entry(a, index);

    if (e == NULL && index != a->durable.snapshot.index) {
        return false;
    }
    *term = e != NULL ? e->term : a->durable.snapshot.term;
    return true;
}

/* Returns the term of the last entry, 0 if there was never one. */
uint64_t
agree_last_term(const struct bb_agree *a)
{
    uint64_t term = 0;

    (void)agree_get_term(a, bb_agree_last_index(a), &term);
    return term;
}

/* Requests a write of the durable state, in which the log entries from an
 * index on have changed (0: no entry). All requests of a step share one write.
 */
void
agree_request_write(struct agree_step *st, uint64_t from)
{
    struct bb_agree_output *out = st->out;

    if (!out->must_persist) {
        out->must_persist = true;
        out->persist_from_index = 0;
        st->a->write_sequence++;
        out->write_sequence = st->a->write_sequence;
    }
    if (from != 0 &&
        (out->persist_from_index == 0 || from < out->persist_from_index)) {
        out->persist_from_index = from;
    }
}

/* Appends one entry to the log, which must not be full. */
void
agree_append(struct agree_step *st, const struct bb_agree_entry *e)
{
    struct bb_agree_durable *d = &st->a->durable;

    d->log[d->log_count] = *e;
    d->log_count++;
    agree_request_write(st, bb_agree_last_index(st->a));
}

/* Removes the entries after an index. Unused elements of the array are zeroed:
 * the explorer recognises equal states by their bytes. */
void
agree_truncate(struct bb_agree *a, uint64_t last)
{
    uint64_t keep = last - a->durable.snapshot.index;

    memset(&a->durable.log[keep], 0,
           (a->durable.log_count - keep) * sizeof(a->durable.log[0]));
    a->durable.log_count = keep;
}

/* Records a configuration in the snapshot: as the one in force, in the highest
 * version, and in the history, which drops its oldest one if it is full. */
static void
add_config_to_snapshot(struct bb_agree_snapshot *s,
                       const struct bb_agree_config *c)
{
    if (s->history_count == BB_AGREE_HISTORY_MAX) {
        memmove(&s->history[0], &s->history[1],
                sizeof(s->history) - sizeof(s->history[0]));
        s->history_count--;
    }
    s->history[s->history_count] = *c;
    s->history_count++;
    s->in_force = *c;
    s->highest_version =
        c->version > s->highest_version ? c->version : s->highest_version;
}

/* Returns the fields of a configuration entry that outlive compaction. */
static struct bb_agree_config
config_from_entry(const struct bb_agree_entry *e)
{
    return (struct bb_agree_config){
        .revision = e->revision,
        .base_revision = e->base_revision,
        .version = e->version,
        .digest = e->digest,
    };
}

/* Moves applied entries from the log into the snapshot, if the log has more
 * than COMPACT_ABOVE entries. */
void
agree_compact(struct agree_step *st)
{
    struct bb_agree_durable *d = &st->a->durable;
    uint64_t drop = 0;

    if (d->log_count <= COMPACT_ABOVE) {
        return;
    }
    while (d->log_count - drop > COMPACT_TO &&
           d->snapshot.index + 1 <= st->a->applied_index) {
        const struct bb_agree_entry *e = &d->log[drop];
        struct bb_agree_config c = config_from_entry(e);

        if (e->kind == BB_AGREE_CONFIG) {
            add_config_to_snapshot(&d->snapshot, &c);
        }
        if (e->kind == BB_AGREE_VOTER) {
            d->snapshot.voters[e->host] = e->disk_id;
        }
        d->snapshot.index++;
        d->snapshot.term = e->term;
        drop++;
    }
    if (drop == 0) {
        return;
    }
    memmove(&d->log[0], &d->log[drop],
            (d->log_count - drop) * sizeof(d->log[0]));
    memset(&d->log[d->log_count - drop], 0, drop * sizeof(d->log[0]));
    d->log_count -= drop;
    agree_request_write(st, 0);
    st->out->must_persist_snapshot = true;
}

/* Returns the last configuration at or before an index, which must not be
 * below the snapshot's. */
struct bb_agree_config
agree_config_at(const struct bb_agree *a, uint64_t index)
{
    for (; index > a->durable.snapshot.index; index--) {
        const struct bb_agree_entry *e = bb_agree_get_entry(a, index);

        if (e != NULL && e->kind == BB_AGREE_CONFIG) {
            return config_from_entry(e);
        }
    }
    return a->durable.snapshot.in_force;
}

/* Returns the highest version of all configurations so far, committed or not;
 * 0 if none has a version. */
uint64_t
agree_highest_version(const struct bb_agree *a)
{
    uint64_t highest = a->durable.snapshot.highest_version;

    for (uint64_t i = 0; i < a->durable.log_count; i++) {
        highest = a->durable.log[i].version > highest
                      ? a->durable.log[i].version
                      : highest;
    }
    return highest;
}

/* Finds the newest configuration with a base revision and digest, by which a
 * retried proposal is recognised. Stores its revision and log index; the index
 * is 0 if it is compacted, hence committed. Returns whether there is one. */
bool
agree_find_proposal(const struct bb_agree *a, uint64_t base,
                    const struct bb_digest *digest, uint64_t *revision,
                    uint64_t *index)
{
    for (uint64_t i = a->durable.log_count; i > 0; i--) {
        const struct bb_agree_entry *e = &a->durable.log[i - 1];

        if (e->kind == BB_AGREE_CONFIG && e->base_revision == base &&
            bb_digest_equal(&e->digest, digest)) {
            *revision = e->revision;
            *index = a->durable.snapshot.index + i;
            return true;
        }
    }
    for (uint64_t i = a->durable.snapshot.history_count; i > 0; i--) {
        const struct bb_agree_config *c = &a->durable.snapshot.history[i - 1];

        if (c->base_revision == base && bb_digest_equal(&c->digest, digest)) {
            *revision = c->revision;
            *index = 0;
            return true;
        }
    }
    return false;
}

/* Adds the committed entries that are not applied yet to the output. The
 * commit index must be synced, so that a host never applies less after a
 * restart than before. */
void
agree_apply_committed(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    if (a->applied_index < a->durable.snapshot.index) {
        a->applied_index = a->durable.snapshot.index;
        st->out->must_apply_snapshot = true;
    }
    if (a->applied_index < a->durable.commit_index) {
        st->out->apply_first_index = a->applied_index + 1;
        st->out->apply_last_index = a->durable.commit_index;
        a->applied_index = a->durable.commit_index;
    }
    a->in_force = agree_config_at(a, a->applied_index);
}

/* Returns the configuration in force: the last one committed and applied. One
 * from a received snapshot counts only once the snapshot is synced. Before the
 * first one, the digest is zero, and the revision is the first revision - 1
 * once the cluster is formed and 0 before. */
struct bb_agree_config
bb_agree_config_in_force(const struct bb_agree *a)
{
    return a->in_force;
}

/* Returns the last configuration known to be committed. This host may not have
 * applied it yet. Before the first one, as bb_agree_config_in_force. */
struct bb_agree_config
bb_agree_committed_config(const struct bb_agree *a)
{
    return agree_config_at(a, a->durable.commit_index);
}
