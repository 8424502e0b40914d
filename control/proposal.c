#include "control/proposal.h"

#include <glib.h>

#include "common/clock.h"

enum { CATCH_UP_POLL_MS = 10 };

/* Encodes and proposes one bundle. The shown version is the operators' label
 * in the bundle; the version is the one the agreement checks, 0 for a
 * revision that is not the operators'. Equal content gives equal bytes, by
 * which the agreement recognises a resend. */
struct bb_replicate_result
bb_proposal_send(const struct bb_proposal_target *t,
                 const struct bb_folder *folder,
                 const struct bb_rosters *rosters, uint64_t bundle_version,
                 uint64_t version, uint64_t base)
{
    const struct bb_bundle b = {
        .version = bundle_version,
        .digest = bb_rosters_digest(rosters, &folder->digest),
        .folder = (struct bb_folder *)(uintptr_t)folder,
        .rosters = (struct bb_rosters *)(uintptr_t)rosters,
    };
    struct bb_replicate_result r;
    struct bb_digest digest;
    uint8_t *payload;
    size_t size;

    bb_bundle_encode(&b, &payload, &size);
    digest = bb_digest_of(payload, size);
    r = t->propose(t->context, base, version, &digest, payload, size,
                   BB_PROPOSAL_TIMEOUT_MS);
    g_free(payload);
    return r;
}

/* Returns the newest revision held, 0 for none. */
static uint64_t
newest_revision(struct bb_history *h)
{
    struct bb_bundle *b = bb_history_newest(h);
    uint64_t revision = b == NULL ? 0 : b->revision;

    bb_bundle_unref(b);
    return revision;
}

/* Waits a short time until a revision has arrived here. */
static bool
wait_for_revision(struct bb_history *h, uint64_t revision)
{
    uint64_t end_us =
        bb_clock_now_us() + (uint64_t)BB_PROPOSAL_CATCH_UP_MS * BB_US_PER_MS;

    while (newest_revision(h) < revision) {
        if (bb_clock_now_us() >= end_us) {
            return false;
        }
        bb_clock_sleep_us((uint64_t)CATCH_UP_POLL_MS * BB_US_PER_MS);
    }
    return true;
}

/* Tells whether a revision has the files of a folder; false if it is not
 * held. */
static bool
revision_has_folder(struct bb_history *h, uint64_t revision,
                    const struct bb_digest *digest)
{
    struct bb_bundle *b = bb_history_find(h, revision);
    bool is_same = b != NULL && bb_digest_equal(&b->folder->digest, digest);

    bb_bundle_unref(b);
    return is_same;
}

/* Returns the revision by which the folder was accepted already, or 0: the
 * first one after the base whose files differ from those of the base, if they
 * are the folder's, or the newest one. So a resend gets the same answer also
 * when a roster changed in between. */
static uint64_t
find_accepted_revision(struct bb_history *h, const struct bb_folder *folder,
                       uint64_t base, uint64_t newest)
{
    struct bb_bundle *from = bb_history_find(h, base);
    uint64_t at = base + 1;
    uint64_t found = 0;

    if (newest <= base) {
        goto out;
    }
    while (from != NULL && at < newest &&
           revision_has_folder(h, at, &from->folder->digest)) {
        at++;
    }
    found = from != NULL && revision_has_folder(h, at, &folder->digest) ? at
            : revision_has_folder(h, newest, &folder->digest) ? newest
                                                              : 0;
out:
    bb_bundle_unref(from);
    return found;
}

/* Tells whether two revisions have the operators' files in common. Content
 * that went away and came back counts as unchanged: what the operators see
 * in force is what they based the proposal on. */
static bool
have_same_folder(struct bb_history *h, uint64_t base, uint64_t newest)
{
    struct bb_bundle *a = bb_history_find(h, base);
    bool is_same =
        a != NULL && revision_has_folder(h, newest, &a->folder->digest);

    bb_bundle_unref(a);
    return is_same;
}

/* Proposes a folder once, against the newest revision if only rosters changed
 * since the base, and with the rosters of the revision it is against. */
static struct bb_replicate_result
propose_once(const struct bb_proposal_target *t,
             const struct bb_folder *folder, uint64_t version, uint64_t base)
{
    static const struct bb_rosters none;
    struct bb_bundle *newest = bb_history_newest(t->history);
    uint64_t revision = newest == NULL ? 0 : newest->revision;
    uint64_t found =
        find_accepted_revision(t->history, folder, base, revision);
    struct bb_replicate_result r;

    if (found != 0) {
        r = (struct bb_replicate_result){BB_REPLICATE_ACCEPTED, found};
    }
    else if (revision < base) {
        /* Without the rosters of its base the proposal would drop them. */
        r = (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
    }
    else {
        if (have_same_folder(t->history, base, revision)) {
            base = revision;
        }
        r = bb_proposal_send(t, folder,
                             newest == NULL ? &none : newest->rosters, version,
                             version, base);
    }
    bb_bundle_unref(newest);
    return r;
}

/* Proposes an operators' folder and waits for the answer. The base is the
 * revision that the content is based on. A stale base or a conflict is final
 * only if the operators' files changed since. */
struct bb_replicate_result
bb_proposal_submit(const struct bb_proposal_target *t,
                   const struct bb_folder *folder, uint64_t version,
                   uint64_t base)
{
    struct bb_replicate_result r = {.outcome = BB_REPLICATE_NO_QUORUM};

    (void)wait_for_revision(t->history, base);
    for (int i = 0; i < BB_PROPOSAL_ATTEMPTS_MAX; i++) {
        uint64_t newest;

        r = propose_once(t, folder, version, base);
        if (r.outcome != BB_REPLICATE_STALE_BASE &&
            r.outcome != BB_REPLICATE_CONFLICT) {
            break;
        }
        if (!wait_for_revision(t->history, r.revision)) {
            /* Whether the operators' files changed is not known here. */
            r = (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
            break;
        }
        newest = newest_revision(t->history);
        if (find_accepted_revision(t->history, folder, base, newest) == 0 &&
            (r.outcome == BB_REPLICATE_CONFLICT ||
             !have_same_folder(t->history, base, newest))) {
            break;
        }
    }
    return r;
}
