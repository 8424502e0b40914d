/* A revision that changes only rosters must never cause an operator's change
 * to be refused, and an operator's change must never undo it. */
#include <string.h>

#include "control/proposal.h"
#include "unit.h"

/* A fake bb_replicate: accepts proposals against the newest revision, and can
 * accept a competing one just before. */
struct fake_replication {
    struct bb_bundle_history *history;
    uint64_t revision; /* newest one accepted */
    uint64_t highest_version;
    uint32_t propose_calls;
    const char *competing_text; /* content of the competing folder, or NULL */
    uint64_t competing_epoch;
    bool loses_response; /* the next accepted proposal returns NO_QUORUM */
};

static struct bb_folder *
make_folder(const char *text)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_folder *f;
    struct bb_error e = {0};

    CU_ASSERT_TRUE(bb_folder_builder_add(b, "a.conf", text, strlen(text), &e));
    f = bb_folder_builder_finish(b, &e);
    bb_folder_builder_destroy(b);
    return f;
}

/* Returns a set with one roster of an epoch, or an empty set for epoch 0. */
static struct bb_rosters *
make_rosters(uint64_t epoch)
{
    struct bb_rosters *r = bb_rosters_create();
    char names[1][BB_NAME_BYTES] = {"host"};
    struct bb_service_roster item = {
        .service = "s", .epoch = epoch, .hosts = {names, 1}};
    struct bb_error e = {0};

    CU_ASSERT_TRUE(epoch == 0 || bb_rosters_put(r, &item, &e));
    return r;
}

/* Adds the next revision to the history; takes ownership of folder and
 * rosters. */
static void
put_in_force(struct fake_replication *fake, struct bb_folder *folder,
             struct bb_rosters *rosters, uint64_t version)
{
    struct bb_bundle *b = bb_bundle_create_with_rosters(
        ++fake->revision, version, folder, rosters);

    CU_ASSERT_TRUE(bb_bundle_history_add(fake->history, b));
    bb_bundle_unref(b);
}

static struct bb_replicate_result
fake_propose(void *context, uint64_t base, uint64_t version,
             const struct bb_digest *digest, const void *payload,
             size_t size_bytes, uint32_t timeout_ms)
{
    struct fake_replication *fake = context;
    struct bb_error e = {0};
    struct bb_bundle *b;

    (void)digest;
    (void)timeout_ms;
    fake->propose_calls++;
    if (fake->competing_text != NULL) {
        put_in_force(fake, make_folder(fake->competing_text),
                     make_rosters(fake->competing_epoch), 0);
        fake->competing_text = NULL;
    }
    if (version != 0 && version <= fake->highest_version) {
        return (struct bb_replicate_result){BB_REPLICATE_VERSION_CONFLICT,
                                            fake->revision};
    }
    if (base != fake->revision) {
        return (struct bb_replicate_result){BB_REPLICATE_STALE_BASE,
                                            fake->revision};
    }
    b = bb_bundle_decode(payload, size_bytes, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(b);
    put_in_force(fake, bb_folder_copy(b->folder), bb_rosters_copy(b->rosters),
                 b->version);
    fake->highest_version = version;
    bb_bundle_unref(b);
    if (fake->loses_response) {
        fake->loses_response = false;
        return (struct bb_replicate_result){BB_REPLICATE_NO_QUORUM, 0};
    }
    return (struct bb_replicate_result){BB_REPLICATE_ACCEPTED, fake->revision};
}

/* Submits a folder with one file. */
static struct bb_replicate_result
submit(struct fake_replication *fake, const char *text, uint64_t version,
       uint64_t base)
{
    const struct bb_proposal_target t = {
        .history = fake->history, .context = fake, .propose = fake_propose};
    struct bb_folder *f = make_folder(text);
    struct bb_replicate_result r =
        bb_proposal_submit_folder(&t, f, version, base);

    bb_folder_destroy(f);
    return r;
}

/* Returns the epoch of the roster in force, 0 without one. */
static uint64_t
epoch_in_force(struct fake_replication *fake)
{
    struct bb_bundle *b = bb_bundle_history_newest(fake->history);
    const struct bb_service_roster *r = bb_rosters_find(b->rosters, "s");
    uint64_t epoch = r == NULL ? 0 : r->epoch;

    bb_bundle_unref(b);
    return epoch;
}

/* Sets up revision 1: folder "old", version 1, no roster. */
static void
start_with_revision_1(struct fake_replication *fake)
{
    *fake = (struct fake_replication){.history = bb_bundle_history_create(),
                                      .highest_version = 1};
    put_in_force(fake, make_folder("old\n"), make_rosters(0), 1);
}

/* Guards against an operators' change that is refused because the base is
 * older than a change of rosters only. */
static void
test_roster_change_does_not_refuse_an_operators_change(void)
{
    struct fake_replication fake;
    struct bb_replicate_result r;

    start_with_revision_1(&fake);
    fake.competing_text = "old\n";
    fake.competing_epoch = 2;
    r = submit(&fake, "new\n", 2, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_ACCEPTED);
    CU_ASSERT_EQUAL(r.revision, 3);
    CU_ASSERT_EQUAL(fake.propose_calls, 2);
    CU_ASSERT_EQUAL(epoch_in_force(&fake), 2);
    /* The roster change is known before: the first attempt succeeds. */
    put_in_force(&fake, make_folder("new\n"), make_rosters(4), 2);
    r = submit(&fake, "newer\n", 3, 3);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_ACCEPTED);
    CU_ASSERT_EQUAL(fake.propose_calls, 3);
    CU_ASSERT_EQUAL(epoch_in_force(&fake), 4);
    bb_bundle_history_destroy(fake.history);
}

/* Guards against operators' files that are overwritten by a proposal based on
 * older ones. */
static void
test_operators_changes_still_conflict(void)
{
    struct fake_replication fake;
    struct bb_replicate_result r;

    start_with_revision_1(&fake);
    fake.competing_text = "other\n";
    fake.competing_epoch = 2;
    r = submit(&fake, "new\n", 2, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_STALE_BASE);
    CU_ASSERT_EQUAL(r.revision, 2);
    r = submit(&fake, "new\n", 1, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_VERSION_CONFLICT);
    CU_ASSERT_EQUAL(fake.revision, 2);
    CU_ASSERT_EQUAL(epoch_in_force(&fake), 2);
    bb_bundle_history_destroy(fake.history);
}

/* Guards against a resend that conflicts with its own accepted proposal
 * because the roster, and with it the payload, changed in between. */
static void
test_resend_after_a_lost_response_is_accepted(void)
{
    struct fake_replication fake;
    struct bb_replicate_result r;

    start_with_revision_1(&fake);
    fake.loses_response = true;
    r = submit(&fake, "new\n", 2, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_NO_QUORUM);
    put_in_force(&fake, make_folder("new\n"), make_rosters(3), 2);
    r = submit(&fake, "new\n", 2, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_ACCEPTED);
    CU_ASSERT_EQUAL(r.revision, 2);
    CU_ASSERT_EQUAL(fake.revision, 3);
    put_in_force(&fake, make_folder("later\n"), make_rosters(3), 3);
    r = submit(&fake, "new\n", 2, 1);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_ACCEPTED);
    CU_ASSERT_EQUAL(r.revision, 2);
    CU_ASSERT_EQUAL(fake.propose_calls, 1);
    bb_bundle_history_destroy(fake.history);
}

/* Guards against a host that is behind and would remove the rosters of a base
 * revision that it does not have. */
static void
test_a_base_that_is_not_held_is_not_proposed_against(void)
{
    struct fake_replication fake;
    struct bb_replicate_result r;

    start_with_revision_1(&fake);
    r = submit(&fake, "new\n", 2, 5);
    CU_ASSERT_EQUAL(r.outcome, BB_REPLICATE_NO_QUORUM);
    CU_ASSERT_EQUAL(fake.propose_calls, 0);
    bb_bundle_history_destroy(fake.history);
}

static const struct bb_unit_test tests[] = {
    {"a roster change does not refuse an operator's change",
     test_roster_change_does_not_refuse_an_operators_change},
    {"operators' changes still conflict",
     test_operators_changes_still_conflict},
    {"a resend after a lost response is accepted",
     test_resend_after_a_lost_response_is_accepted},
    {"a base that is not held is not proposed against",
     test_a_base_that_is_not_held_is_not_proposed_against},
};

BB_UNIT_MAIN("proposal", tests)
