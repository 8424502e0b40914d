/* A host must propose each change of its folder once, with the revision that
 * it was made from as base, and must never revert a change of another
 * operator. The hosts share a simple stand-in for the log of accepted
 * revisions. */
#include "common/random.h"
#include "decide/source.h"
#include "unit.h"

enum {
    SCAN_US = 100 * 1000,
    HOSTS = 3,
    REVISIONS_MAX = 4096,
    EVENTS = 30000,
    /* Contents that are multiples of this are refused as invalid. */
    INVALID_CONTENT_DIVISOR = 7,
    FIRST_CONTENT = 100
};

struct host;

struct accepted {
    uint64_t base;
    uint64_t content;
    const struct host *proposer;
};

/* The accepted revisions: accepted[r] is revision r. */
struct revision_log {
    struct accepted accepted[REVISIONS_MAX];
    uint64_t revision;
};

struct host {
    struct bb_source source;
    struct bb_source_saved stored;
    uint64_t folder;
    uint64_t last_base_revision;
    uint32_t proposal_count;
    enum bb_source_action_kind last_action;
    uint64_t last_content;
};

static uint64_t now_us;

/* Returns the digest of numbered content, which contains its number. */
static struct bb_digest
digest_of(uint64_t content)
{
    struct bb_digest d = {0};

    for (int i = 0; i < 8; i++) {
        d.bytes[i] = (uint8_t)(content >> (8 * i));
    }
    return d;
}

static uint64_t
content_of(const struct bb_digest *d)
{
    uint64_t content = 0;

    for (int i = 0; i < 8; i++) {
        content |= (uint64_t)d->bytes[i] << (8 * i);
    }
    return content;
}

static void
feed_event(struct host *h, struct bb_source_event e)
{
    struct bb_source_action a;

    e.now_us = now_us;
    a = bb_source_step(&h->source, &e);
    if (a.must_save) {
        h->stored = h->source.saved;
    }
    h->last_action = a.kind;
    if (a.kind == BB_SOURCE_ACTION_PROPOSE) {
        h->proposal_count++;
        h->last_base_revision = a.base_revision;
        h->last_content = content_of(&a.digest);
    }
}

static void
scan_folder(struct host *h)
{
    now_us += SCAN_US;
    feed_event(h, (struct bb_source_event){
                      .kind = BB_SOURCE_EVENT_SCANNED,
                      .as.scanned = {.is_usable = h->folder != 0,
                                     .digest = digest_of(h->folder)}});
}

static void
scan_folder_until_stable(struct host *h)
{
    for (int i = 0; i < 3; i++) {
        scan_folder(h);
        if (h->last_action == BB_SOURCE_ACTION_PROPOSE) {
            return;
        }
    }
}

static void
report_in_force(struct host *h, uint64_t revision, uint64_t content)
{
    feed_event(h, (struct bb_source_event){
                      .kind = BB_SOURCE_EVENT_IN_FORCE,
                      .as.in_force = {.revision = revision,
                                      .digest = digest_of(content)}});
}

static void
feed_result(struct host *h, uint64_t content, uint64_t base,
            enum bb_source_result result, uint64_t revision)
{
    feed_event(h, (struct bb_source_event){
                      .kind = BB_SOURCE_EVENT_RESPONSE,
                      .as.response = {.digest = digest_of(content),
                                      .base_revision = base,
                                      .result = result,
                                      .revision = revision}});
}

/* Returns a host whose folder was proposed and accepted as revision 1. */
static struct host
make_settled_host(uint64_t content)
{
    struct host h = {.folder = content};

    bb_source_init(&h.source, NULL);
    report_in_force(&h, 0, 0);
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_action, BB_SOURCE_ACTION_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base_revision, 0);
    feed_result(&h, content, 0, BB_SOURCE_RESULT_ACCEPTED, 1);
    report_in_force(&h, 1, content);
    h.proposal_count = 0;
    return h;
}

/* Returns whether the wrong rule would propose: whenever the folder differs
 * from the configuration in force, with that revision as base. */
static bool
would_naive_rule_propose(const struct host *h)
{
    return h->source.knows_in_force &&
           content_of(&h->source.in_force_digest) != h->folder;
}

/* Guards against a host that proposes its unchanged folder, and so reverts a
 * change of another operator, even after a restart. */
static void
test_another_operators_change_is_not_reverted(void)
{
    struct host h = make_settled_host(10);

    /* The operator of another host changes the configuration, but not this
     * folder. */
    report_in_force(&h, 2, 20);
    for (int i = 0; i < 100; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_TRUE(would_naive_rule_propose(&h));
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    /* The same after a restart. */
    bb_source_init(&h.source, &h.stored);
    report_in_force(&h, 2, 20);
    for (int i = 0; i < 100; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    /* A change of this folder is proposed with the revision it was made from.
     */
    h.folder = 11;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_action, BB_SOURCE_ACTION_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base_revision, 1);
    feed_result(&h, 11, 1, BB_SOURCE_RESULT_STALE_BASE, 0);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_STALE_BASE);
    for (int i = 0; i < 100; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    /* Once the folder is up to date, its changes are proposed again. */
    h.folder = 20;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_NONE);
    CU_ASSERT_EQUAL(h.stored.base_revision, 2);
    h.folder = 21;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base_revision, 2);
}

/* Guards against a host without a saved state that proposes its folder over
 * the configuration in force, although it may have an old folder. */
static void
test_differing_content_without_saved_state_is_not_proposed(void)
{
    struct host h = {.folder = 10};

    bb_source_init(&h.source, NULL);
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 0); /* what is in force is unknown */
    report_in_force(&h, 5, 50);
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_UNKNOWN_BASE);
    h.folder = 11;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base_revision,
                    0); /* a stale base, so it will be refused */
}

/* Guards against a proposal of a folder that is still being changed. */
static void
test_content_must_be_stable(void)
{
    struct host h = make_settled_host(10);

    for (uint64_t i = 0; i < 20; i++) {
        h.folder = 11 + i;
        scan_folder(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    CU_ASSERT_TRUE(h.source.is_in_outage);
    scan_folder(&h); /* unchanged for 100 ms */
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    scan_folder(&h); /* unchanged for 200 ms */
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    CU_ASSERT_FALSE(h.source.is_in_outage);
}

/* Guards against a proposal for a folder without usable content, and against
 * an outage whose start moves with each scan. */
static void
test_outage_proposes_nothing_and_keeps_its_start(void)
{
    struct host h = make_settled_host(10);
    uint64_t start_us = now_us + SCAN_US;

    h.folder = 0;
    for (int i = 0; i < 50; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_TRUE(h.source.is_in_outage);
    CU_ASSERT_EQUAL(h.source.outage_since_us, start_us);
    h.folder = 10;
    scan_folder_until_stable(&h);
    CU_ASSERT_FALSE(h.source.is_in_outage);
    CU_ASSERT_EQUAL(h.proposal_count, 0);
}

/* Guards against invalid content that is proposed again and again, even after
 * a restart, and against a later edit that is not proposed. */
static void
test_invalid_content_is_proposed_once(void)
{
    struct host h = make_settled_host(10);

    h.folder = 11;
    scan_folder_until_stable(&h);
    feed_result(&h, 11, 1, BB_SOURCE_RESULT_INVALID, 0);
    CU_ASSERT_TRUE(h.source.is_invalid);
    bb_source_init(&h.source, &h.stored);
    report_in_force(&h, 1, 10);
    for (int i = 0; i < 100; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    h.folder = 12;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 2);
    CU_ASSERT_EQUAL(h.last_base_revision, 1);
}

/* Guards against an edit that conflicts with the edit before it, because the
 * response that accepted that one was lost. */
static void
test_lost_response_does_not_make_next_edit_stale(void)
{
    struct host h = make_settled_host(10);

    h.folder = 11;
    scan_folder_until_stable(&h);
    feed_result(&h, 11, 1, BB_SOURCE_RESULT_UNKNOWN, 0);
    for (int i = 0; i < 19; i++) {
        scan_folder(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    scan_folder_until_stable(&h); /* sent again after 2 s with the same base */
    CU_ASSERT_EQUAL(h.proposal_count, 2);
    CU_ASSERT_EQUAL(h.last_base_revision, 1);
    h.folder = 12;
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base_revision, 1);
    /* The host restarts and then learns that the first edit was accepted. */
    bb_source_init(&h.source, &h.stored);
    feed_result(&h, 12, 1, BB_SOURCE_RESULT_STALE_BASE, 0);
    report_in_force(&h, 2, 11);
    scan_folder_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_action, BB_SOURCE_ACTION_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base_revision, 2);
    CU_ASSERT_EQUAL(h.last_content, 12);
}

/* Decides on the last proposal of a host as decide/agree.h does, and stores
 * the revision if it is accepted. */
static enum bb_source_result
submit_proposal(struct revision_log *log, const struct host *h,
                uint64_t *revision)
{
    uint64_t base = h->last_base_revision;
    uint64_t content = h->last_content;

    for (uint64_t r = 1; r <= log->revision; r++) {
        if (log->accepted[r].base == base &&
            log->accepted[r].content == content) {
            *revision = r;
            return BB_SOURCE_RESULT_ACCEPTED;
        }
    }
    if (content % INVALID_CONTENT_DIVISOR == 0) {
        return BB_SOURCE_RESULT_INVALID;
    }
    if (base != log->revision || log->revision + 1 == REVISIONS_MAX) {
        return BB_SOURCE_RESULT_STALE_BASE;
    }
    log->accepted[++log->revision] = (struct accepted){base, content, h};
    *revision = log->revision;
    return BB_SOURCE_RESULT_ACCEPTED;
}

/* Simulates one random event at a host: an edit, a copy of the configuration
 * in force, an outage, a restart, a report of what is in force, or a scan. A
 * proposal that results may be lost, and so may its response. */
static void
random_event(struct bb_random *r, struct revision_log *log, struct host *h,
             uint64_t *next_content)
{
    uint64_t revision = 0;
    enum bb_source_result result;

    switch (bb_random_below(r, 40)) {
    case 0: /* the operator edits; content is never reused */
        h->folder = (*next_content)++;
        return;
    case 1: /* the operator copies what is in force */
        h->folder = log->accepted[log->revision].content;
        return;
    case 2: /* outage */
        h->folder = 0;
        return;
    case 3: /* restart */
        bb_source_init(&h->source, &h->stored);
        return;
    case 4:
    case 5:
    case 6:
        report_in_force(h, log->revision,
                        log->accepted[log->revision].content);
        break;
    default:
        scan_folder(h);
        break;
    }
    if (h->last_action == BB_SOURCE_ACTION_PROPOSE &&
        bb_random_below(r, 4) != 0) {
        result = submit_proposal(log, h, &revision);
        if (bb_random_below(r, 4) != 0) {
            feed_result(h, h->last_content, h->last_base_revision, result,
                        revision);
        }
    }
}

/* Checks that an accepted revision reverts no change of another operator. An
 * earlier content may return only as an undo, when an operator copies what is
 * in force over an edit that was proposed already. Then all revisions in
 * between were proposed by that host. */
static void
check_no_revert(const struct revision_log *log, uint64_t at)
{
    const struct accepted *a = &log->accepted[at];
    bool only_own = true;

    CU_ASSERT_EQUAL(a->base, at - 1);
    CU_ASSERT_TRUE(a->content >= FIRST_CONTENT);
    for (uint64_t k = at - 1; k > 0; k--) {
        CU_ASSERT_TRUE(only_own || log->accepted[k].content != a->content);
        only_own = only_own && log->accepted[k].proposer == a->proposer;
    }
}

/* Guards against a race of edits, outages, restarts and lost responses on
 * several hosts in which an accepted change is reverted. */
static void
test_random_races_revert_nothing(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct bb_random *r = bb_random_create(seed);
        static struct revision_log log;
        struct host hosts[HOSTS] = {0};
        uint64_t next_content = FIRST_CONTENT;

        log = (struct revision_log){0};
        for (int i = 0; i < HOSTS; i++) {
            hosts[i].folder = next_content++;
            bb_source_init(&hosts[i].source, NULL);
        }
        for (int i = 0; i < EVENTS; i++) {
            random_event(r, &log, &hosts[bb_random_below(r, HOSTS)],
                         &next_content);
        }
        CU_ASSERT_TRUE(log.revision > 20);
        for (uint64_t i = 1; i <= log.revision; i++) {
            check_no_revert(&log, i);
        }
        bb_random_destroy(r);
    }
}

static const struct bb_unit_test tests[] = {
    {"another operator's change is not reverted",
     test_another_operators_change_is_not_reverted},
    {"differing content without a saved state is not proposed",
     test_differing_content_without_saved_state_is_not_proposed},
    {"content must be stable", test_content_must_be_stable},
    {"an outage proposes nothing and keeps its start",
     test_outage_proposes_nothing_and_keeps_its_start},
    {"invalid content is proposed once",
     test_invalid_content_is_proposed_once},
    {"a lost response does not make the next edit stale",
     test_lost_response_does_not_make_next_edit_stale},
    {"random races revert nothing", test_random_races_revert_nothing},
};

BB_UNIT_MAIN("source", tests)
