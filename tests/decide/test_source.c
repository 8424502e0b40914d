/* The source must propose each change once, against the revision it was made
 * on, and must never revert what another operator changed. Hosts here share a
 * small fake of the agreed sequence. */
#include "common/random.h"
#include "decide/source.h"
#include "unit.h"

enum {
    SCAN_US = 100 * 1000,
    HOSTS = 3,
    REVISIONS_MAX = 4096,
    EVENTS = 30000,
    INVALID_CONTENT_DIVISOR = 7,
    FIRST_CONTENT = 100
};

struct host;

struct accepted {
    uint64_t base;
    uint64_t content;
    const struct host *by;
};

/* The agreed sequence: revision r is accepted[r]. */
struct sequence {
    struct accepted accepted[REVISIONS_MAX];
    uint64_t revision;
};

struct host {
    struct bb_source source;
    struct bb_source_saved disk;
    uint64_t folder;
    uint64_t last_base;
    uint32_t proposal_count;
    enum bb_source_action_kind last;
    uint64_t last_content;
};

static uint64_t now_us;

/* Makes a digest that stands for some content. */
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
step(struct host *h, struct bb_source_event e)
{
    struct bb_source_action a;

    e.now_us = now_us;
    a = bb_source_step(&h->source, &e);
    if (a.must_save) {
        h->disk = h->source.saved;
    }
    h->last = a.kind;
    if (a.kind == BB_SOURCE_PROPOSE) {
        h->proposal_count++;
        h->last_base = a.base_revision;
        h->last_content = content_of(&a.digest);
    }
}

static void
scan(struct host *h)
{
    now_us += SCAN_US;
    step(h, (struct bb_source_event){
                .kind = BB_SOURCE_OBSERVED,
                .as.observed = {.is_usable = h->folder != 0,
                                .digest = digest_of(h->folder)}});
}

static void
scan_until_stable(struct host *h)
{
    for (int i = 0; i < 3; i++) {
        scan(h);
        if (h->last == BB_SOURCE_PROPOSE) {
            return;
        }
    }
}

static void
tell_in_force(struct host *h, uint64_t revision, uint64_t content)
{
    step(h, (struct bb_source_event){
                .kind = BB_SOURCE_IN_FORCE,
                .as.in_force = {.revision = revision,
                                .digest = digest_of(content)}});
}

static void
answer(struct host *h, uint64_t content, uint64_t base,
       enum bb_source_answer result, uint64_t revision)
{
    step(h,
         (struct bb_source_event){.kind = BB_SOURCE_ANSWERED,
                                  .as.answered = {.digest = digest_of(content),
                                                  .base_revision = base,
                                                  .answer = result,
                                                  .revision = revision}});
}

/* A host whose folder was accepted as revision 1. */
static struct host
settled_host(uint64_t content)
{
    struct host h = {.folder = content};

    bb_source_init(&h.source, NULL);
    tell_in_force(&h, 0, 0);
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last, BB_SOURCE_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base, 0);
    answer(&h, content, 0, BB_SOURCE_ACCEPTED, 1);
    tell_in_force(&h, 1, content);
    h.proposal_count = 0;
    return h;
}

/* Stands for the wrong rule: propose whenever folder and configuration in
 * force differ, against the revision in force. */
static bool
naive_rule_proposes(const struct host *h)
{
    return h->source.knows_in_force &&
           content_of(&h->source.in_force_digest) != h->folder;
}

static void
test_another_operators_change_is_not_reverted(void)
{
    struct host h = settled_host(10);

    /* Another host's operator changes the configuration; this folder stays. */
    tell_in_force(&h, 2, 20);
    for (int i = 0; i < 100; i++) {
        scan(&h);
    }
    CU_ASSERT_TRUE(naive_rule_proposes(&h));
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    /* After a restart, too. */
    bb_source_init(&h.source, &h.disk);
    tell_in_force(&h, 2, 20);
    for (int i = 0; i < 100; i++) {
        scan(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    /* A change of this folder is proposed against what it was made on. */
    h.folder = 11;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last, BB_SOURCE_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base, 1);
    answer(&h, 11, 1, BB_SOURCE_STALE_BASE, 0);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_STALE_BASE);
    for (int i = 0; i < 100; i++) {
        scan(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    /* Brought up to date, the folder takes part again. */
    h.folder = 20;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_NONE);
    CU_ASSERT_EQUAL(h.disk.base_revision, 2);
    h.folder = 21;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base, 2);
}

static void
test_differing_folder_without_record_is_not_proposed(void)
{
    struct host h = {.folder = 10};

    bb_source_init(&h.source, NULL);
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 0); /* nothing known yet */
    tell_in_force(&h, 5, 50);
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    CU_ASSERT_EQUAL(h.source.conflict, BB_SOURCE_CONFLICT_UNKNOWN_BASE);
    h.folder = 11;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base, 0); /* stale, hence refused */
}

static void
test_content_must_be_stable(void)
{
    struct host h = settled_host(10);

    for (uint64_t i = 0; i < 20; i++) {
        h.folder = 11 + i;
        scan(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    CU_ASSERT_TRUE(h.source.is_out);
    scan(&h); /* 100 ms */
    CU_ASSERT_EQUAL(h.proposal_count, 0);
    scan(&h); /* 200 ms */
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    CU_ASSERT_FALSE(h.source.is_out);
}

static void
test_outage_changes_nothing_and_keeps_its_start(void)
{
    struct host h = settled_host(10);
    uint64_t start_us = now_us + SCAN_US;

    h.folder = 0;
    for (int i = 0; i < 50; i++) {
        scan(&h);
    }
    CU_ASSERT_TRUE(h.source.is_out);
    CU_ASSERT_EQUAL(h.source.out_since_us, start_us);
    h.folder = 10;
    scan_until_stable(&h);
    CU_ASSERT_FALSE(h.source.is_out);
    CU_ASSERT_EQUAL(h.proposal_count, 0);
}

static void
test_invalid_content_is_proposed_once(void)
{
    struct host h = settled_host(10);

    h.folder = 11;
    scan_until_stable(&h);
    answer(&h, 11, 1, BB_SOURCE_INVALID, 0);
    CU_ASSERT_TRUE(h.source.is_invalid);
    bb_source_init(&h.source, &h.disk);
    tell_in_force(&h, 1, 10);
    for (int i = 0; i < 100; i++) {
        scan(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    h.folder = 12;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.proposal_count, 2);
    CU_ASSERT_EQUAL(h.last_base, 1);
}

static void
test_lost_answer_does_not_make_the_next_edit_stale(void)
{
    struct host h = settled_host(10);

    h.folder = 11;
    scan_until_stable(&h);
    answer(&h, 11, 1, BB_SOURCE_UNAVAILABLE, 0);
    for (int i = 0; i < 19; i++) {
        scan(&h);
    }
    CU_ASSERT_EQUAL(h.proposal_count, 1);
    scan_until_stable(&h); /* sent again after 2 s, same base */
    CU_ASSERT_EQUAL(h.proposal_count, 2);
    CU_ASSERT_EQUAL(h.last_base, 1);
    h.folder = 12;
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last_base, 1);
    /* The host restarts, then learns that the first edit was accepted. */
    bb_source_init(&h.source, &h.disk);
    answer(&h, 12, 1, BB_SOURCE_STALE_BASE, 0);
    tell_in_force(&h, 2, 11);
    scan_until_stable(&h);
    CU_ASSERT_EQUAL(h.last, BB_SOURCE_PROPOSE);
    CU_ASSERT_EQUAL(h.last_base, 2);
    CU_ASSERT_EQUAL(h.last_content, 12);
}

/* Decides one proposal like the agreed sequence. */
static enum bb_source_answer
submit(struct sequence *q, const struct host *h, uint64_t *revision)
{
    uint64_t base = h->last_base;
    uint64_t content = h->last_content;

    for (uint64_t r = 1; r <= q->revision; r++) {
        if (q->accepted[r].base == base && q->accepted[r].content == content) {
            *revision = r;
            return BB_SOURCE_ACCEPTED;
        }
    }
    if (content % INVALID_CONTENT_DIVISOR == 0) {
        return BB_SOURCE_INVALID;
    }
    if (base != q->revision || q->revision + 1 == REVISIONS_MAX) {
        return BB_SOURCE_STALE_BASE;
    }
    q->accepted[++q->revision] = (struct accepted){base, content, h};
    *revision = q->revision;
    return BB_SOURCE_ACCEPTED;
}

/* One random event at one host: a scan with its proposal and an answer that
 * can be lost, news of what is in force, an edit, a sync, or a restart. */
static void
random_event(struct bb_random *r, struct sequence *q, struct host *h,
             uint64_t *next_content)
{
    uint64_t revision = 0;
    enum bb_source_answer result;

    switch (bb_random_below(r, 40)) {
    case 0: /* the operator edits; content is never reused */
        h->folder = (*next_content)++;
        return;
    case 1: /* the operator copies what is in force */
        h->folder = q->accepted[q->revision].content;
        return;
    case 2:
        h->folder = 0;
        return;
    case 3:
        bb_source_init(&h->source, &h->disk);
        return;
    case 4:
    case 5:
    case 6:
        tell_in_force(h, q->revision, q->accepted[q->revision].content);
        break;
    default:
        scan(h);
        break;
    }
    if (h->last == BB_SOURCE_PROPOSE && bb_random_below(r, 4) != 0) {
        result = submit(q, h, &revision);
        if (bb_random_below(r, 4) != 0) {
            answer(h, h->last_content, h->last_base, result, revision);
        }
    }
}

/* Content may come back only as an undo: an operator who copies what is in
 * force over an edit that was seen already. Then every revision in between is
 * from that host, so that no other operator's change is reverted. */
static void
check_no_revert(const struct sequence *q, uint64_t at)
{
    const struct accepted *a = &q->accepted[at];
    bool only_own = true;

    CU_ASSERT_EQUAL(a->base, at - 1);
    CU_ASSERT_TRUE(a->content >= FIRST_CONTENT);
    for (uint64_t k = at - 1; k > 0; k--) {
        CU_ASSERT_TRUE(only_own || q->accepted[k].content != a->content);
        only_own = only_own && q->accepted[k].by == a->by;
    }
}

static void
test_random_races_revert_nothing(void)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct bb_random *r = bb_random_create(seed);
        static struct sequence q;
        struct host hosts[HOSTS] = {0};
        uint64_t next_content = FIRST_CONTENT;

        q = (struct sequence){0};
        for (int i = 0; i < HOSTS; i++) {
            hosts[i].folder = next_content++;
            bb_source_init(&hosts[i].source, NULL);
        }
        for (int i = 0; i < EVENTS; i++) {
            random_event(r, &q, &hosts[bb_random_below(r, HOSTS)],
                         &next_content);
        }
        CU_ASSERT_TRUE(q.revision > 20);
        for (uint64_t i = 1; i <= q.revision; i++) {
            check_no_revert(&q, i);
        }
        bb_random_destroy(r);
    }
}

static const struct bb_unit_test tests[] = {
    {"another operator's change is not reverted",
     test_another_operators_change_is_not_reverted},
    {"a differing folder without record is not proposed",
     test_differing_folder_without_record_is_not_proposed},
    {"content must be stable", test_content_must_be_stable},
    {"an outage changes nothing and keeps its start",
     test_outage_changes_nothing_and_keeps_its_start},
    {"invalid content is proposed once",
     test_invalid_content_is_proposed_once},
    {"a lost answer does not make the next edit stale",
     test_lost_answer_does_not_make_the_next_edit_stale},
    {"random races revert nothing", test_random_races_revert_nothing},
};

BB_UNIT_MAIN("source", tests)
