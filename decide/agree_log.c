/* The log window of the quorum protocol: entries, compaction, look-ups. */
#include <string.h>

#include "agree_internal.h"

enum {
    /* Below the level at which a leader refuses proposals as busy. */
    COMPACT_ABOVE = BB_AGREE_LOG_MAX / 2,
    COMPACT_TO = BB_AGREE_LOG_MAX / 4
};

/* Returns the index of the last entry, 0 for an empty log. */
uint64_t
bb_agree_last_index(const struct bb_agree *a)
{
    return a->d.base.index + a->d.log_count;
}

/* Returns the entry at an index, or NULL outside the window. */
const struct bb_agree_entry *
bb_agree_entry_at(const struct bb_agree *a, uint64_t index)
{
    if (index <= a->d.base.index || index > bb_agree_last_index(a)) {
        return NULL;
    }
    return &a->d.log[index - a->d.base.index - 1];
}

/* Returns the term of an index; false outside the window and its base. */
bool
agree_term_at(const struct bb_agree *a, uint64_t index, uint64_t *term)
{
    const struct bb_agree_entry *e = bb_agree_entry_at(a, index);

    if (e == NULL && index != a->d.base.index) {
        return false;
    }
    *term = e != NULL ? e->term : a->d.base.term;
    return true;
}

/* Returns the term of the last entry. */
uint64_t
agree_last_term(const struct bb_agree *a)
{
    uint64_t term = 0;

    (void)agree_term_at(a, bb_agree_last_index(a), &term);
    return term;
}

/* Notes that the durable state changed, from a log index on (0: no entry). */
void
agree_persist(struct agree_step *st, uint64_t from)
{
    struct bb_agree_output *out = st->out;

    if (!out->persist) {
        out->persist = true;
        out->persist_from = 0;
        st->a->write_sequence++;
        out->sync_sequence = st->a->write_sequence;
    }
    if (from != 0 && (out->persist_from == 0 || from < out->persist_from)) {
        out->persist_from = from;
    }
}

/* Appends one entry; the caller has checked that there is room. */
void
agree_append(struct agree_step *st, const struct bb_agree_entry *e)
{
    struct bb_agree_durable *d = &st->a->d;

    d->log[d->log_count] = *e;
    d->log_count++;
    agree_persist(st, bb_agree_last_index(st->a));
}

/* Removes the entries behind an index. Unused slots stay zeroed, so that equal
 * states have equal bytes. */
void
agree_truncate(struct bb_agree *a, uint64_t last)
{
    uint64_t keep = last - a->d.base.index;

    memset(&a->d.log[keep], 0, (a->d.log_count - keep) * sizeof(a->d.log[0]));
    a->d.log_count = keep;
}

/* Moves a configuration entry into the history of the base. */
static void
remember(struct bb_agree_snapshot *b, const struct bb_agree_config *c)
{
    if (b->history_count == BB_AGREE_HISTORY_MAX) {
        memmove(&b->history[0], &b->history[1],
                sizeof(b->history) - sizeof(b->history[0]));
        b->history_count--;
    }
    b->history[b->history_count] = *c;
    b->history_count++;
    b->in_force = *c;
    b->label = c->version > b->label ? c->version : b->label;
}

/* Copies the fields of a configuration entry. */
static struct bb_agree_config
config_of(const struct bb_agree_entry *e)
{
    return (struct bb_agree_config){
        .revision = e->revision,
        .base = e->base,
        .version = e->version,
        .digest = e->digest,
    };
}

/* Moves applied entries out of the window once it is mostly full. */
void
agree_compact(struct agree_step *st)
{
    struct bb_agree_durable *d = &st->a->d;
    uint64_t drop = 0;

    if (d->log_count <= COMPACT_ABOVE) {
        return;
    }
    while (d->log_count - drop > COMPACT_TO &&
           d->base.index + 1 <= st->a->applied) {
        const struct bb_agree_entry *e = &d->log[drop];
        struct bb_agree_config c = config_of(e);

        if (e->kind == BB_AGREE_CONFIG) {
            remember(&d->base, &c);
        }
        if (e->kind == BB_AGREE_MEMBER) {
            d->base.members[e->host] = e->incarnation;
        }
        d->base.index++;
        d->base.term = e->term;
        drop++;
    }
    if (drop == 0) {
        return;
    }
    memmove(&d->log[0], &d->log[drop],
            (d->log_count - drop) * sizeof(d->log[0]));
    memset(&d->log[d->log_count - drop], 0, drop * sizeof(d->log[0]));
    d->log_count -= drop;
    agree_persist(st, 0);
    st->out->persist_snapshot = true;
}

/* Returns the last configuration at or before an index. */
struct bb_agree_config
agree_config_before(const struct bb_agree *a, uint64_t index)
{
    for (; index > a->d.base.index; index--) {
        const struct bb_agree_entry *e = bb_agree_entry_at(a, index);

        if (e != NULL && e->kind == BB_AGREE_CONFIG) {
            return config_of(e);
        }
    }
    return a->d.base.in_force;
}

/* Returns the highest version label in the log. */
uint64_t
agree_label(const struct bb_agree *a)
{
    uint64_t label = a->d.base.label;

    for (uint64_t i = 0; i < a->d.log_count; i++) {
        label = a->d.log[i].version > label ? a->d.log[i].version : label;
    }
    return label;
}

/* Finds a proposal by its identity (base, digest), newest first. The index is
 * 0 for one in the history, which is committed. */
bool
agree_find(const struct bb_agree *a, uint64_t base,
           const struct bb_digest *digest, uint64_t *revision, uint64_t *index)
{
    for (uint64_t i = a->d.log_count; i > 0; i--) {
        const struct bb_agree_entry *e = &a->d.log[i - 1];

        if (e->kind == BB_AGREE_CONFIG && e->base == base &&
            bb_digest_equal(&e->digest, digest)) {
            *revision = e->revision;
            *index = a->d.base.index + i;
            return true;
        }
    }
    for (uint64_t i = a->d.base.history_count; i > 0; i--) {
        const struct bb_agree_config *c = &a->d.base.history[i - 1];

        if (c->base == base && bb_digest_equal(&c->digest, digest)) {
            *revision = c->revision;
            *index = 0;
            return true;
        }
    }
    return false;
}

/* Puts out the committed entries that are not applied yet. The commit index
 * is synced by then, so a restart never applies less than before. */
void
agree_apply(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    if (a->applied < a->d.base.index) {
        a->applied = a->d.base.index;
        st->out->apply_snapshot = true;
    }
    if (a->applied < a->d.commit) {
        st->out->apply_first = a->applied + 1;
        st->out->apply_last = a->d.commit;
        a->applied = a->d.commit;
    }
    a->in_force = agree_config_before(a, a->applied);
}

/* Returns the configuration in force: the last one committed and applied. A
 * snapshot that was taken but is not synced yet does not count. */
struct bb_agree_config
bb_agree_in_force(const struct bb_agree *a)
{
    return a->in_force;
}

/* Returns the last committed configuration, which a host may not have applied
 * yet. */
struct bb_agree_config
bb_agree_committed(const struct bb_agree *a)
{
    return agree_config_before(a, a->d.commit);
}
