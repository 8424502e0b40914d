/* The history encodes deltas for receivers. A receiver whose revision is not
 * in the history any more must get the whole bundle, and an older revision
 * must never replace a newer one. */
#include <glib.h>
#include <string.h>

#include "config/history.h"
#include "unit.h"

/* More than the history holds, so that it drops the oldest ones. */
enum { TEST_REVISIONS = BB_BUNDLE_HISTORY_MAX + 36 };

static struct bb_bundle *
make_bundle(uint64_t revision)
{
    struct bb_folder_builder *builder = bb_folder_builder_create();
    struct bb_error e = {0};
    struct bb_folder *folder;
    char *text =
        g_strdup_printf("[limits]\nmax-depth=%u\n", (unsigned)revision % 16);

    CU_ASSERT_TRUE_FATAL(
        bb_folder_builder_add(builder, "00-limits", text, strlen(text), &e));
    CU_ASSERT_TRUE_FATAL(
        bb_folder_builder_add(builder, "10-same", "[team a]\n", 9, &e));
    folder = bb_folder_builder_finish(builder, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(folder);
    g_free(text);
    bb_folder_builder_destroy(builder);
    return bb_bundle_create(revision, 0, folder);
}

static struct bb_bundle_history *
make_history(uint64_t revisions)
{
    struct bb_bundle_history *h = bb_bundle_history_create();

    for (uint64_t r = 1; r <= revisions; r++) {
        struct bb_bundle *b = make_bundle(r);

        CU_ASSERT_TRUE(bb_bundle_history_add(h, b));
        bb_bundle_unref(b);
    }
    return h;
}

/* Guards against an older or equal revision that replaces the newest one. */
static void
test_older_revision_is_not_added(void)
{
    struct bb_bundle_history *h = make_history(5);
    struct bb_bundle *old = make_bundle(4);
    struct bb_bundle *same = make_bundle(5);
    struct bb_bundle *newest;

    CU_ASSERT_FALSE(bb_bundle_history_add(h, old));
    CU_ASSERT_FALSE(bb_bundle_history_add(h, same));
    newest = bb_bundle_history_newest(h);
    CU_ASSERT_EQUAL(newest->revision, 5);
    bb_bundle_unref(newest);
    bb_bundle_unref(same);
    bb_bundle_unref(old);
    bb_bundle_history_destroy(h);
}

/* Encodes the update for a receiver that has the revision `have`, applies it,
 * and compares the result with the newest bundle. */
static void
check_receiver_update(struct bb_bundle_history *h, uint64_t have,
                      bool expect_delta)
{
    struct bb_bundle_history_update update = {0};
    struct bb_bundle *base = bb_bundle_history_find(h, have);
    struct bb_bundle *newest = bb_bundle_history_newest(h);
    struct bb_bundle *got;
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(bb_bundle_history_encode_update(h, have, &update));
    CU_ASSERT_EQUAL(update.is_delta, expect_delta);
    got =
        update.is_delta
            ? bb_bundle_apply_delta(base, update.bytes, update.size_bytes, &e)
            : bb_bundle_decode(update.bytes, update.size_bytes, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(got);
    CU_ASSERT_EQUAL(got->revision, newest->revision);
    CU_ASSERT_TRUE(bb_digest_equal(&got->digest, &newest->digest));
    bb_bundle_unref(got);
    bb_bundle_unref(base);
    bb_bundle_unref(newest);
    g_free(update.bytes);
}

/* Guards against a delta from a revision that the history has dropped, and
 * against an update for a receiver that has the newest revision. */
static void
test_recent_receiver_gets_delta_and_outdated_one_bundle(void)
{
    struct bb_bundle_history *h = make_history(TEST_REVISIONS);
    struct bb_bundle_history_update update = {0};

    check_receiver_update(h, TEST_REVISIONS - 1, true);
    check_receiver_update(h, TEST_REVISIONS - BB_BUNDLE_HISTORY_MAX + 1, true);
    check_receiver_update(h, TEST_REVISIONS - BB_BUNDLE_HISTORY_MAX, false);
    check_receiver_update(h, 0, false);
    CU_ASSERT_FALSE(
        bb_bundle_history_encode_update(h, TEST_REVISIONS, &update));
    CU_ASSERT_FALSE(
        bb_bundle_history_encode_update(h, TEST_REVISIONS + 7, &update));
    bb_bundle_history_destroy(h);
}

/* A cache that is not cleared when a revision is added would send receivers
 * the old revision. */
static void
test_cached_encoding_follows_a_new_revision(void)
{
    struct bb_bundle_history *h = make_history(3);
    struct bb_bundle *b = make_bundle(4);

    check_receiver_update(h, 2, true);
    CU_ASSERT_TRUE(bb_bundle_history_add(h, b));
    check_receiver_update(h, 2, true);
    bb_bundle_unref(b);
    bb_bundle_history_destroy(h);
}

static const struct bb_unit_test tests[] = {
    {"an older revision is not added", test_older_revision_is_not_added},
    {"a recent receiver gets a delta and an outdated one the bundle",
     test_recent_receiver_gets_delta_and_outdated_one_bundle},
    {"the cached encoding follows a new revision",
     test_cached_encoding_follows_a_new_revision},
};

BB_UNIT_MAIN("history", tests)
