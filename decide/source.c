#include "decide/source.h"

#include <stddef.h>

static const char *const conflict_names[] = {
    [BB_SOURCE_CONFLICT_NONE] = "none",
    [BB_SOURCE_CONFLICT_STALE_BASE] = "stale-base",
    [BB_SOURCE_CONFLICT_VERSION] = "version",
    [BB_SOURCE_CONFLICT_UNKNOWN_BASE] = "unknown-base",
};

/* Returns the name of a conflict, as shown to operators. */
const char *
bb_source_conflict_name(enum bb_source_conflict c)
{
    return conflict_names[c];
}

/* Initialises from the saved state; NULL if there is none. */
void
bb_source_init(struct bb_source *s, const struct bb_source_saved *saved)
{
    *s = (struct bb_source){0};
    if (saved != NULL) {
        s->saved = *saved;
    }
}

/* Returns the index of the open proposal with the content, or
 * open_proposal_count if there is none. */
static uint32_t
find_open_proposal(const struct bb_source_saved *v,
                   const struct bb_digest *digest)
{
    uint32_t i = 0;

    while (i < v->open_proposal_count &&
           !bb_digest_equal(&v->open_proposals[i], digest)) {
        i++;
    }
    return i;
}

/* Removes one open proposal. */
static void
remove_open_proposal(struct bb_source_saved *v, uint32_t at)
{
    for (uint32_t i = at; i + 1 < v->open_proposal_count; i++) {
        v->open_proposals[i] = v->open_proposals[i + 1];
    }
    v->open_proposal_count--;
}

/* Adds content to the open proposals; drops the oldest one if there is no
 * room, which can lead to a conflict but never to a reverted change. Returns
 * whether the saved state changed. */
static bool
add_open_proposal(struct bb_source_saved *v, const struct bb_digest *digest)
{
    if (find_open_proposal(v, digest) < v->open_proposal_count) {
        return false;
    }
    if (v->open_proposal_count == BB_SOURCE_OPEN_PROPOSALS_MAX) {
        remove_open_proposal(v, 0);
    }
    v->open_proposals[v->open_proposal_count++] = *digest;
    return true;
}

/* Sets the settled content and its base. If the base changes, the open
 * proposals can no longer be accepted and are removed. Returns whether the
 * saved state changed. */
static bool
set_settled(struct bb_source *s, const struct bb_digest *digest, uint64_t base)
{
    struct bb_source_saved *v = &s->saved;
    bool is_same = v->has_settled && v->base_revision == base &&
                   bb_digest_equal(&v->settled, digest);

    if (v->base_revision != base) {
        v->open_proposal_count = 0;
    }
    v->has_settled = true;
    v->settled = *digest;
    v->base_revision = base;
    return !is_same;
}

/* Returns whether the content is the one in force. False while the known
 * revision in force is older than the saved base, which is possible after a
 * restart. */
static bool
is_in_force(const struct bb_source *s, const struct bb_digest *digest)
{
    return s->knows_in_force && s->in_force_revision > 0 &&
           s->in_force_revision >= s->saved.base_revision &&
           bb_digest_equal(&s->in_force_digest, digest);
}

/* Settles content that equals the configuration in force, with that revision
 * as its base. Returns whether the saved state changed. */
static bool
adopt_in_force(struct bb_source *s, const struct bb_digest *digest)
{
    s->is_awaiting_response = false;
    s->is_invalid = false;
    s->conflict = BB_SOURCE_CONFLICT_NONE;
    return set_settled(s, digest, s->in_force_revision);
}

/* Records the result of a scan: no usable content, content that has changed
 * lately, or content that has been the same for BB_SOURCE_STABLE_US. The first
 * two count as an outage, whose start is kept. */
static void
update_candidate(struct bb_source *s, const struct bb_source_event *e)
{
    const struct bb_digest *digest = &e->as.scanned.digest;
    uint64_t now_us = e->now_us;

    if (!e->as.scanned.is_usable) {
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
    if (!s->is_stable && !s->is_in_outage) {
        s->outage_since_us = now_us;
    }
    s->is_in_outage = !s->is_stable;
}

/* Records the configuration in force; a revision that is not newer is ignored.
 * If its content is the settled one or an open proposal, it becomes the
 * settled content with this revision as its base, even if the folder has
 * changed since: that change was made from it. Any other content removes the
 * open proposals, as their base is stale. Returns whether the saved state
 * changed. */
static bool
update_in_force(struct bb_source *s, uint64_t revision,
                const struct bb_digest *digest)
{
    struct bb_source_saved *v = &s->saved;
    bool had_open = v->open_proposal_count > 0;

    if (s->knows_in_force && revision <= s->in_force_revision) {
        return false;
    }
    s->knows_in_force = true;
    s->in_force_revision = revision;
    s->in_force_digest = *digest;
    if (revision == 0 || revision <= v->base_revision) {
        return false;
    }
    if (find_open_proposal(v, digest) < v->open_proposal_count ||
        (v->has_settled && bb_digest_equal(&v->settled, digest))) {
        return adopt_in_force(s, digest);
    }
    v->open_proposal_count = 0;
    return had_open;
}

/* Records that an open proposal was refused. If it is the last proposal, its
 * content becomes the settled one, so that it is not proposed again until it
 * changes; the base stays. Returns true, as the saved state changes. */
static bool
record_refusal(struct bb_source *s, const struct bb_digest *digest,
               enum bb_source_result result)
{
    remove_open_proposal(&s->saved, find_open_proposal(&s->saved, digest));
    if (!bb_digest_equal(&s->proposed, digest)) {
        return true;
    }
    s->is_awaiting_response = false;
    s->is_invalid = result == BB_SOURCE_RESULT_INVALID;
    s->conflict = result == BB_SOURCE_RESULT_STALE_BASE
                      ? BB_SOURCE_CONFLICT_STALE_BASE
                  : result == BB_SOURCE_RESULT_VERSION_CONFLICT
                      ? BB_SOURCE_CONFLICT_VERSION
                      : BB_SOURCE_CONFLICT_NONE;
    (void)set_settled(s, digest, s->saved.base_revision);
    return true;
}

/* Records the response to an open proposal; ignores late responses to others.
 * Returns whether the saved state changed. */
static bool
record_result(struct bb_source *s, const struct bb_source_event *e)
{
    const struct bb_digest *digest = &e->as.response.digest;

    if (e->as.response.base_revision != s->saved.base_revision ||
        find_open_proposal(&s->saved, digest) ==
            s->saved.open_proposal_count) {
        return false;
    }
    switch (e->as.response.result) {
    case BB_SOURCE_RESULT_UNKNOWN:
        return false;
    case BB_SOURCE_RESULT_ACCEPTED:
        s->is_awaiting_response = false;
        s->is_invalid = false;
        s->conflict = BB_SOURCE_CONFLICT_NONE;
        (void)update_in_force(s, e->as.response.revision, digest);
        (void)set_settled(s, digest, e->as.response.revision);
        return true;
    case BB_SOURCE_RESULT_INVALID:
    case BB_SOURCE_RESULT_STALE_BASE:
    case BB_SOURCE_RESULT_VERSION_CONFLICT:
        return record_refusal(s, digest, e->as.response.result);
    }
    return false;
}

/* Proposes the stable content, unless it was proposed less than
 * BB_SOURCE_RESEND_INTERVAL_US ago and no response has arrived. */
static struct bb_source_action
propose(struct bb_source *s, uint64_t now_us)
{
    struct bb_source_action a = {0};

    if (s->is_awaiting_response &&
        bb_digest_equal(&s->proposed, &s->candidate) &&
        now_us - s->proposed_at_us < BB_SOURCE_RESEND_INTERVAL_US) {
        return a;
    }
    s->is_awaiting_response = true;
    s->proposed = s->candidate;
    s->proposed_at_us = now_us;
    a.kind = BB_SOURCE_ACTION_PROPOSE;
    a.digest = s->candidate;
    a.base_revision = s->saved.base_revision;
    a.must_save = add_open_proposal(&s->saved, &s->candidate);
    return a;
}

/* Decides whether to propose the stable content. Content found without a saved
 * state is proposed only if nothing is in force. Otherwise the revision that
 * it was made from is unknown: it is settled with base 0 and reported as a
 * conflict. */
static struct bb_source_action
decide_action(struct bb_source *s, uint64_t now_us)
{
    struct bb_source_action a = {0};

    if (!s->knows_in_force || !s->is_stable) {
        return a;
    }
    if (is_in_force(s, &s->candidate)) {
        a.must_save = adopt_in_force(s, &s->candidate);
        return a;
    }
    if (!s->saved.has_settled && s->in_force_revision > 0) {
        s->is_awaiting_response = false;
        s->conflict = BB_SOURCE_CONFLICT_UNKNOWN_BASE;
        a.must_save = set_settled(s, &s->candidate, 0);
        return a;
    }
    if (s->saved.has_settled &&
        bb_digest_equal(&s->candidate, &s->saved.settled)) {
        return a;
    }
    return propose(s, now_us);
}

/* Processes one event and returns what to do. */
struct bb_source_action
bb_source_step(struct bb_source *s, const struct bb_source_event *e)
{
    struct bb_source_action a;
    bool must_save = false;

    switch (e->kind) {
    case BB_SOURCE_EVENT_SCANNED:
        update_candidate(s, e);
        break;
    case BB_SOURCE_EVENT_IN_FORCE:
        must_save = update_in_force(s, e->as.in_force.revision,
                                    &e->as.in_force.digest);
        break;
    case BB_SOURCE_EVENT_RESPONSE:
        must_save = record_result(s, e);
        break;
    }
    a = decide_action(s, e->now_us);
    a.must_save = a.must_save || must_save;
    return a;
}
