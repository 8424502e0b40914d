#include "decide/source.h"

#include <stddef.h>

static const char *const conflict_names[] = {
    [BB_SOURCE_CONFLICT_NONE] = "none",
    [BB_SOURCE_CONFLICT_STALE_BASE] = "stale-base",
    [BB_SOURCE_CONFLICT_VERSION] = "version",
    [BB_SOURCE_CONFLICT_UNKNOWN_BASE] = "unknown-base",
};

/* Returns the name of a conflict as shown to operators. */
const char *
bb_source_conflict_name(enum bb_source_conflict c)
{
    return conflict_names[c];
}

/* Starts from the saved state, or from none if saved is NULL. */
void
bb_source_init(struct bb_source *s, const struct bb_source_saved *saved)
{
    *s = (struct bb_source){0};
    if (saved != NULL) {
        s->saved = *saved;
    }
}

/* Returns the place of content among the open proposals, or open_count. */
static uint32_t
find_open(const struct bb_source_saved *v, const struct bb_digest *digest)
{
    uint32_t i = 0;

    while (i < v->open_count && !bb_digest_equal(&v->open[i], digest)) {
        i++;
    }
    return i;
}

/* Removes one open proposal. */
static void
remove_open(struct bb_source_saved *v, uint32_t at)
{
    for (uint32_t i = at; i + 1 < v->open_count; i++) {
        v->open[i] = v->open[i + 1];
    }
    v->open_count--;
}

/* Adds content to the open proposals and drops the oldest if there is no
 * room. A dropped one can only lead to a conflict, never to a revert. */
static bool
add_open(struct bb_source_saved *v, const struct bb_digest *digest)
{
    if (find_open(v, digest) < v->open_count) {
        return false;
    }
    if (v->open_count == BB_SOURCE_OPEN_MAX) {
        remove_open(v, 0);
    }
    v->open[v->open_count++] = *digest;
    return true;
}

/* Makes content the settled one with a base. Open proposals against another
 * base cannot be accepted any more and are forgotten. Returns whether the
 * saved state changed. */
static bool
settle(struct bb_source *s, const struct bb_digest *digest, uint64_t base)
{
    struct bb_source_saved *v = &s->saved;
    bool is_same = v->has_settled && v->base_revision == base &&
                   bb_digest_equal(&v->settled, digest);

    if (v->base_revision != base) {
        v->open_count = 0;
    }
    v->has_settled = true;
    v->settled = *digest;
    v->base_revision = base;
    return !is_same;
}

/* Tells whether content is the one in force. After a restart the revision
 * known can be older than the saved base; nothing is adopted from it. */
static bool
is_in_force(const struct bb_source *s, const struct bb_digest *digest)
{
    return s->knows_in_force && s->in_force_revision > 0 &&
           s->in_force_revision >= s->saved.base_revision &&
           bb_digest_equal(&s->in_force_digest, digest);
}

/* Adopts the revision in force as base of content that equals it. */
static bool
adopt(struct bb_source *s, const struct bb_digest *digest)
{
    s->is_waiting = false;
    s->is_invalid = false;
    s->conflict = BB_SOURCE_CONFLICT_NONE;
    return settle(s, digest, s->in_force_revision);
}

/* Records the outcome of one scan: an outage, unsettled content, or content
 * that has been the same for long enough. */
static void
observe(struct bb_source *s, const struct bb_source_event *e)
{
    const struct bb_digest *digest = &e->as.observed.digest;
    uint64_t now_us = e->now_us;

    if (!e->as.observed.is_usable) {
        s->has_candidate = false;
        s->is_stable = false;
    }
    else if (!s->has_candidate || !bb_digest_equal(&s->candidate, digest)) {
        s->has_candidate = true;
        s->is_stable = false;
        s->candidate = *digest;
        s->candidate_since_us = now_us;
    }
    else if (now_us - s->candidate_since_us >= BB_SOURCE_STABLE_US) {
        s->is_stable = true;
    }
    if (!s->is_stable && !s->is_out) {
        s->out_since_us = now_us;
    }
    s->is_out = !s->is_stable;
}

/* Takes note of the configuration in force. Content of ours that is in force
 * now has this revision as its base, also when the folder has changed again
 * since: that change was made on top of it. Any other content ends the open
 * proposals, as their base is stale. */
static bool
note_in_force(struct bb_source *s, uint64_t revision,
              const struct bb_digest *digest)
{
    struct bb_source_saved *v = &s->saved;
    bool had_open = v->open_count > 0;

    if (s->knows_in_force && revision <= s->in_force_revision) {
        return false;
    }
    s->knows_in_force = true;
    s->in_force_revision = revision;
    s->in_force_digest = *digest;
    if (revision == 0 || revision <= v->base_revision) {
        return false;
    }
    if (find_open(v, digest) < v->open_count ||
        (v->has_settled && bb_digest_equal(&v->settled, digest))) {
        return adopt(s, digest);
    }
    v->open_count = 0;
    return had_open;
}

/* Takes a refusal. The refused content is settled too, so that it is not
 * proposed again until it changes; its base stays the old one. */
static bool
take_refusal(struct bb_source *s, const struct bb_digest *digest,
             enum bb_source_answer answer)
{
    remove_open(&s->saved, find_open(&s->saved, digest));
    if (!bb_digest_equal(&s->proposed, digest)) {
        return true;
    }
    s->is_waiting = false;
    s->is_invalid = answer == BB_SOURCE_INVALID;
    s->conflict =
        answer == BB_SOURCE_STALE_BASE         ? BB_SOURCE_CONFLICT_STALE_BASE
        : answer == BB_SOURCE_VERSION_CONFLICT ? BB_SOURCE_CONFLICT_VERSION
                                               : BB_SOURCE_CONFLICT_NONE;
    (void)settle(s, digest, s->saved.base_revision);
    return true;
}

/* Takes the answer to an open proposal; other answers are late ones. */
static bool
take_answer(struct bb_source *s, const struct bb_source_event *e)
{
    const struct bb_digest *digest = &e->as.answered.digest;

    if (e->as.answered.base_revision != s->saved.base_revision ||
        find_open(&s->saved, digest) == s->saved.open_count) {
        return false;
    }
    switch (e->as.answered.answer) {
    case BB_SOURCE_UNAVAILABLE:
        return false;
    case BB_SOURCE_ACCEPTED:
        s->is_waiting = false;
        s->is_invalid = false;
        s->conflict = BB_SOURCE_CONFLICT_NONE;
        (void)note_in_force(s, e->as.answered.revision, digest);
        (void)settle(s, digest, e->as.answered.revision);
        return true;
    case BB_SOURCE_INVALID:
    case BB_SOURCE_STALE_BASE:
    case BB_SOURCE_VERSION_CONFLICT:
        return take_refusal(s, digest, e->as.answered.answer);
    }
    return false;
}

/* Proposes the stable content, unless that was done a short time ago. */
static struct bb_source_action
propose(struct bb_source *s, uint64_t now_us)
{
    struct bb_source_action a = {0};

    if (s->is_waiting && bb_digest_equal(&s->proposed, &s->candidate) &&
        now_us - s->proposed_at_us < BB_SOURCE_RESEND_US) {
        return a;
    }
    s->is_waiting = true;
    s->proposed = s->candidate;
    s->proposed_at_us = now_us;
    a.kind = BB_SOURCE_PROPOSE;
    a.digest = s->candidate;
    a.base_revision = s->saved.base_revision;
    a.must_save = add_open(&s->saved, &s->candidate);
    return a;
}

/* Decides about the stable content. Content found without a saved state is
 * proposed only with nothing in force; otherwise nobody knows what it is
 * based on, and it is settled without a base. */
static struct bb_source_action
decide(struct bb_source *s, uint64_t now_us)
{
    struct bb_source_action a = {0};

    if (!s->knows_in_force || !s->is_stable) {
        return a;
    }
    if (is_in_force(s, &s->candidate)) {
        a.must_save = adopt(s, &s->candidate);
        return a;
    }
    if (!s->saved.has_settled && s->in_force_revision > 0) {
        s->is_waiting = false;
        s->conflict = BB_SOURCE_CONFLICT_UNKNOWN_BASE;
        a.must_save = settle(s, &s->candidate, 0);
        return a;
    }
    if (s->saved.has_settled &&
        bb_digest_equal(&s->candidate, &s->saved.settled)) {
        return a;
    }
    return propose(s, now_us);
}

/* Applies one event and returns what to do. */
struct bb_source_action
bb_source_step(struct bb_source *s, const struct bb_source_event *e)
{
    struct bb_source_action a;
    bool must_save = false;

    switch (e->kind) {
    case BB_SOURCE_OBSERVED:
        observe(s, e);
        break;
    case BB_SOURCE_IN_FORCE:
        must_save =
            note_in_force(s, e->as.in_force.revision, &e->as.in_force.digest);
        break;
    case BB_SOURCE_ANSWERED:
        must_save = take_answer(s, e);
        break;
    }
    a = decide(s, e->now_us);
    a.must_save = a.must_save || must_save;
    return a;
}
