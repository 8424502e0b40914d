/* The source watch must propose each valid change with its base, keep its
 * state across a restart, and never propose while it cannot save that
 * state. */
#include <pthread.h>
#include <sys/stat.h>
#include <unistd.h>

#include "../config/fixture.h"
#include "common/clock.h"
#include "control/source_watch.h"

/* Internal header of control/, for bb_source_state_load. */
#include "../../control/source_files.h"

enum { WAIT_MS = 5000, POLL_MS = 10, NO_PROPOSAL_WAIT_MS = 1000 };

/* The arguments of the last call of the propose callback, and their number. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint32_t proposal_count;
static struct bb_digest proposal_digest;
static uint64_t proposal_base;
static uint64_t proposal_version;

static char *folder;
static char *data_folder;

static void
on_propose(void *context, const struct bb_folder *f, uint64_t version,
           uint64_t base_revision)
{
    (void)context;
    (void)pthread_mutex_lock(&lock);
    proposal_count++;
    proposal_digest = f->digest;
    proposal_base = base_revision;
    proposal_version = version;
    (void)pthread_mutex_unlock(&lock);
}

static uint32_t
count_proposals(void)
{
    uint32_t count;

    (void)pthread_mutex_lock(&lock);
    count = proposal_count;
    (void)pthread_mutex_unlock(&lock);
    return count;
}

static bool
wait_for_proposals(uint32_t count)
{
    for (int i = 0; i < WAIT_MS / POLL_MS && count_proposals() < count; i++) {
        bb_clock_sleep_us((uint64_t)POLL_MS * BB_US_PER_MS);
    }
    return count_proposals() == count;
}

/* Waits until a member of the status, as JSON text, contains a value; false if
 * that takes longer than WAIT_MS. */
static bool
wait_for_status(struct bb_source_watch *w, const char *member,
                const char *value)
{
    bool is_found = false;

    for (int i = 0; i < WAIT_MS / POLL_MS && !is_found; i++) {
        json_t *status = bb_source_watch_status_json(w);
        char *text = json_dumps(json_object_get(status, member),
                                JSON_ENCODE_ANY | JSON_COMPACT);

        is_found = text != NULL && strstr(text, value) != NULL;
        free(text);
        json_decref(status);
        bb_clock_sleep_us((uint64_t)POLL_MS * BB_US_PER_MS);
    }
    return is_found;
}

static struct bb_source_watch *
start_watch(void)
{
    struct bb_source_watch_settings settings = {
        .folder = folder, .data_folder = data_folder, .propose = on_propose};
    struct bb_source_watch *w = bb_source_watch_create(&settings);
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(bb_source_watch_start(w, &e));
    return w;
}

static void
create_folders(void)
{
    folder = fixture_create_directory();
    data_folder = fixture_create_directory();
    proposal_count = 0;
    fixture_write_file(folder, "10.conf", "[configuration]\nversion=4\n", -1);
}

static void
destroy_all(struct bb_source_watch *w)
{
    bb_source_watch_destroy(w);
    fixture_remove_directory(folder);
    fixture_remove_directory(data_folder);
}

/* Starts a watch with nothing in force and accepts its first proposal as
 * revision 1. */
static struct bb_source_watch *
start_with_accepted_folder(void)
{
    static const struct bb_digest none;
    struct bb_source_watch *w = start_watch();

    bb_source_watch_set_in_force(w, 0, &none);
    CU_ASSERT_TRUE(wait_for_proposals(1));
    CU_ASSERT_EQUAL(proposal_base, 0);
    CU_ASSERT_EQUAL(proposal_version, 4);
    bb_source_watch_report_result(w, &proposal_digest, 0,
                                  BB_SOURCE_RESULT_ACCEPTED, 1);
    CU_ASSERT_TRUE(wait_for_status(w, "base_revision", "1"));
    return w;
}

/* Guards against a change that is proposed again after a stale base and a
 * restart. */
static void
test_change_is_proposed_once_and_survives_restart(void)
{
    struct bb_source_watch *w;
    struct bb_digest first;

    create_folders();
    w = start_with_accepted_folder();
    first = proposal_digest;
    fixture_write_file(folder, "20.conf", "[region r]\n", -1);
    CU_ASSERT_TRUE(wait_for_proposals(2));
    CU_ASSERT_EQUAL(proposal_base, 1);
    bb_source_watch_report_result(w, &proposal_digest, 1,
                                  BB_SOURCE_RESULT_STALE_BASE, 0);
    CU_ASSERT_TRUE(wait_for_status(w, "conflict", "stale-base"));
    CU_ASSERT_TRUE(wait_for_status(w, "history", "changed elsewhere"));
    bb_source_watch_destroy(w);
    w = start_watch();
    bb_source_watch_set_in_force(w, 2, &first);
    CU_ASSERT_TRUE(wait_for_status(w, "differs", "true"));
    /* Three times as long as it takes to propose a change. */
    bb_clock_sleep_us((uint64_t)NO_PROPOSAL_WAIT_MS * BB_US_PER_MS);
    CU_ASSERT_EQUAL(count_proposals(), 2);
    destroy_all(w);
}

/* Guards against invalid or half-written content that is proposed or is not
 * shown in the status. */
static void
test_faults_and_outages_are_shown_and_not_proposed(void)
{
    struct bb_source_watch *w;

    create_folders();
    w = start_with_accepted_folder();
    fixture_write_file(folder, "20.conf", "[zone z]\nregion=moon\n", -1);
    CU_ASSERT_TRUE(wait_for_status(w, "invalid", "true"));
    CU_ASSERT_TRUE(wait_for_status(w, "history", "moon"));
    fixture_write_file(folder, "20.conf", "[zone z]\nregion=mo", -1);
    CU_ASSERT_TRUE(wait_for_status(w, "outage", "half-written"));
    CU_ASSERT_TRUE(wait_for_status(w, "history", "newline"));
    CU_ASSERT_EQUAL(count_proposals(), 1);
    fixture_write_file(folder, "20.conf", "[region r]\n", -1);
    CU_ASSERT_TRUE(wait_for_proposals(2));
    CU_ASSERT_TRUE(wait_for_status(w, "outage", "null"));
    destroy_all(w);
}

/* Guards against a proposal before the state is saved. */
static void
test_nothing_is_proposed_without_a_saved_state(void)
{
    struct bb_source_watch *w;
    char *moved;

    create_folders();
    w = start_with_accepted_folder();
    moved = g_strconcat(data_folder, ".moved", NULL);
    CU_ASSERT_EQUAL(rename(data_folder, moved), 0);
    fixture_write_file(folder, "20.conf", "[region r]\n", -1);
    CU_ASSERT_TRUE(wait_for_status(w, "waiting", "true"));
    bb_clock_sleep_us((uint64_t)NO_PROPOSAL_WAIT_MS * BB_US_PER_MS);
    CU_ASSERT_EQUAL(count_proposals(), 1);
    CU_ASSERT_EQUAL(rename(moved, data_folder), 0);
    CU_ASSERT_TRUE(wait_for_proposals(2));
    g_free(moved);
    destroy_all(w);
}

/* Loads damaged bytes as the saved state. They must be refused or give the
 * same state, as a change of white space or letter case has no effect. */
static void
load_damaged_state(const char *text, gsize size,
                   const struct bb_source_saved *saved)
{
    struct bb_source_saved loaded = {0};
    struct bb_error e = {0};

    fixture_write_file(data_folder, "source.state", text, (ssize_t)size);
    if (bb_source_state_load(data_folder, "/f", &loaded, &e)) {
        CU_ASSERT_EQUAL(loaded.has_settled, saved->has_settled);
        CU_ASSERT_EQUAL(loaded.base_revision, saved->base_revision);
        CU_ASSERT_EQUAL(loaded.open_proposal_count,
                        saved->open_proposal_count);
        CU_ASSERT_TRUE(bb_digest_equal(&loaded.settled, &saved->settled));
        CU_ASSERT_TRUE(bb_digest_equal(&loaded.open_proposals[0],
                                       &saved->open_proposals[0]));
    }
}

/* Guards against loading a different state from a truncated file or one with a
 * flipped bit, and against using the state of another folder. */
static void
test_damaged_state_is_never_loaded(void)
{
    struct bb_source_saved saved = {
        .has_settled = true,
        .base_revision = 41,
        .settled = bb_digest_compute("a", 1),
        .open_proposals = {bb_digest_compute("b", 1)},
        .open_proposal_count = 1};
    struct bb_source_saved loaded;
    struct bb_error e = {0};
    char *path;
    char *text;
    gsize size;

    create_folders();
    CU_ASSERT_TRUE(bb_source_state_save(data_folder, "/f", &saved, &e));
    CU_ASSERT_TRUE(bb_source_state_load(data_folder, "/f", &loaded, &e));
    CU_ASSERT_EQUAL(loaded.base_revision, 41);
    CU_ASSERT_FALSE(bb_source_state_load(data_folder, "/g", &loaded, &e));
    CU_ASSERT_EQUAL(e.code, 0);
    path = g_build_filename(data_folder, "source.state", NULL);
    CU_ASSERT_TRUE_FATAL(g_file_get_contents(path, &text, &size, NULL));
    for (gsize i = 0; i < size; i++) {
        load_damaged_state(text, i, &saved);
        text[i] ^= 1;
        load_damaged_state(text, size, &saved);
        text[i] ^= 1;
    }
    g_free(text);
    g_free(path);
    destroy_all(NULL);
}

static const struct bb_unit_test tests[] = {
    {"a change is proposed once and survives a restart",
     test_change_is_proposed_once_and_survives_restart},
    {"faults and outages are shown and not proposed",
     test_faults_and_outages_are_shown_and_not_proposed},
    {"nothing is proposed without a saved state",
     test_nothing_is_proposed_without_a_saved_state},
    {"a damaged state is never loaded", test_damaged_state_is_never_loaded},
};

BB_UNIT_MAIN("source watch", tests)
