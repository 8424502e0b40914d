#include "control/proposal.h"

#include <glib.h>

#include "common/clock.h"

enum { CATCH_UP_POLL_MS = 10 };

/* Encodes a folder and rosters as one bundle and proposes it against a base
 * revision, blocking for up to about BB_PROPOSAL_TIMEOUT_MS (see
 * bb_replicate_propose for what can make it longer). bundle_version is the
 * operators' version stored in the bundle; version is the one that the quorum
 * protocol requires to increase, 0 for a change of rosters only. Equal content
 * is encoded to equal bytes, so a resend has the same digest and is recognised
 * by it. */
struct bb_replicate_result
bb_proposal_send_bundle(const struct bb_proposal_target *t,
                        const struct bb_folder *folder,
                        const struct bb_rosters *rosters,
                        uint64_t bundle_version, uint64_t version,
                        uint64_t base_revision)
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
    digest = bb_digest_compute(payload, size);
    r = t->propose(t->context, base_revision, version, &digest, payload, size,
                   BB_PROPOSAL_TIMEOUT_MS);
    g_free(payload);
    return r;
}

/* Returns the newest revision in the history, 0 if it is empty. */
static uint64_t
newest_revision(struct bb_bundle_history *h)
{
    struct bb_bundle *b = bb_bundle_history_newest(h);
    uint64_t revision = b == NULL ? 0 : b->revision;

    bb_bundle_unref(b);
    return revision;
}

/* Waits until the history has a revision; false if it does not within
 * BB_PROPOSAL_CATCH_UP_TIMEOUT_MS. */
static bool
wait_for_revision(struct bb_bundle_history *h, uint64_t revision)
{
    uint64_t end_us = bb_clock_now_us() +
                      (uint64_t)BB_PROPOSAL_CATCH_UP_TIMEOUT_MS * BB_US_PER_MS;

    while (newest_revision(h) < revision) {
        if (bb_clock_now_us() >= end_us) {
            return false;
        }
        bb_clock_sleep_us((uint64_t)CATCH_UP_POLL_MS * BB_US_PER_MS);
    }
    return true;
}

/* Returns whether a revision has the given folder digest; false if the
 * revision is not in the history. */
static bool
revision_has_folder(struct bb_bundle_history *h, uint64_t revision,
                    const struct bb_digest *digest)
{
    struct bb_bundle *b = bb_bundle_history_find(h, revision);
    bool is_same = b != NULL && bb_digest_equal(&b->folder->digest, digest);

    bb_bundle_unref(b);
    return is_same;
}

/* Returns the revision in which the folder was already accepted, or 0. Looks
 * at the first revision after the base whose files differ from the base's, and
 * at the newest one. With this, a resend gets the same response even if a
 * roster changed in between. */
static uint64_t
find_accepted_revision(struct bb_bundle_history *h,
                       const struct bb_folder *folder, uint64_t base_revision,
                       uint64_t newest)
{
    struct bb_bundle *from = bb_bundle_history_find(h, base_revision);
    uint64_t at = base_revision + 1;
    uint64_t found = 0;

    if (newest <= base_revision) {
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

/* Returns whether two revisions have the same operators' files; false if the
 * base is not in the history. Content that was changed and restored counts as
 * unchanged: the operators based their proposal on what is in force. */
static bool
have_same_folder(struct bb_bundle_history *h, uint64_t base_revision,
                 uint64_t newest)
{
    struct bb_bundle *a = bb_bundle_history_find(h, base_revision);
    bool is_same =
        a != NULL && revision_has_folder(h, newest, &a->folder->digest);

    bb_bundle_unref(a);
    return is_same;
}

/* Proposes a folder once, with the rosters of the newest revision; against
 * that revision if only rosters changed since the base, else against the
 * base. */
static struct bb_replicate_result
propose_once(const struct bb_proposal_target *t,
             const struct bb_folder *folder, uint64_t version,
             uint64_t base_revision)
{
    static const struct bb_rosters none;
    struct bb_bundle *newest = bb_bundle_history_newest(t->history);
    uint64_t revision = newest == NULL ? 0 : newest->revision;
    uint64_t found =
        find_accepted_revision(t->history, folder, base_revision, revision);
    struct bb_replicate_result r;

    if (found != 0) {
        r = (struct bb_replicate_result){BB_REPLICATE_ACCEPTED, found};
    }
    else if (revision < base_revision) {
        /* The rosters of the base are not known here; the proposal would
         * remove them. */
        r = (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
    }
    else {
        if (have_same_folder(t->history, base_revision, revision)) {
            base_revision = revision;
        }
        r = bb_proposal_send_bundle(t, folder,
                                    newest == NULL ? &none : newest->rosters,
                                    version, version, base_revision);
    }
    bb_bundle_unref(newest);
    return r;
}

/* Proposes the operators' folder and blocks until there is a result.
 * base_revision is the revision that the content is based on. Waits up to
 * BB_PROPOSAL_CATCH_UP_TIMEOUT_MS for it, then makes up to
 * BB_PROPOSAL_ATTEMPTS_MAX attempts, each of which blocks for up to about
 * BB_PROPOSAL_TIMEOUT_MS + BB_PROPOSAL_CATCH_UP_TIMEOUT_MS.
 *
 * A version conflict ends the attempts only if no revision is found in which
 * the folder was accepted already. A stale base ends them only if, in
 * addition, the operators' files have changed since the base. Either is also
 * returned if it is the result of the last attempt. After
 * BB_REPLICATE_NO_QUORUM the folder may have been accepted; the caller can
 * submit it again. */
struct bb_replicate_result
bb_proposal_submit_folder(const struct bb_proposal_target *t,
                          const struct bb_folder *folder, uint64_t version,
                          uint64_t base_revision)
{
    struct bb_replicate_result r = {.outcome = BB_REPLICATE_NO_QUORUM};

    (void)wait_for_revision(t->history, base_revision);
    for (int i = 0; i < BB_PROPOSAL_ATTEMPTS_MAX; i++) {
        uint64_t newest;

        r = propose_once(t, folder, version, base_revision);
        if (r.outcome != BB_REPLICATE_STALE_BASE &&
            r.outcome != BB_REPLICATE_VERSION_CONFLICT) {
            break;
        }
        if (!wait_for_revision(t->history, r.revision)) {
            /* This host cannot tell yet whether the operators' files
             * changed. */
            r = (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
            break;
        }
        newest = newest_revision(t->history);
        if (find_accepted_revision(t->history, folder, base_revision,
                                   newest) == 0 &&
            (r.outcome == BB_REPLICATE_VERSION_CONFLICT ||
             !have_same_folder(t->history, base_revision, newest))) {
            break;
        }
    }
    return r;
}
