/* The witness of a node. If it grants a key too early a request can run twice;
 * if too late, requests are refused needlessly. */
#include "proxy/claims.h"
#include "unit.h"

enum { OWN = 7, ENTRIES = 64 };

static struct bb_witness_response
claim(struct bb_claims *c, uint64_t key, uint64_t epoch)
{
    struct bb_request_id id = bb_request_id_from_bits(key, 1);
    struct bb_claim wanted = {.request = id, .attempt = 1, .gatekeeper = 1};

    return bb_claims_process_claim(c, &id, &wanted, epoch);
}

/* Guards against a host that is being removed and stays in the old epoch:
 * claims still need its vote until the change is settled. */
static void
test_removed_host_adopts_the_epoch(void)
{
    struct bb_claims *c = bb_claims_create(OWN, ENTRIES, 600, false);
    struct bb_roster r = {.epoch = 3, .host_count = 2, .hosts = {OWN, 8}};

    bb_claims_set_roster(c, "s", &r, 600);
    CU_ASSERT_EQUAL(claim(c, 1, 3).result, BB_WITNESS_GRANTED);
    r = (struct bb_roster){.epoch = 4,
                           .host_count = 2,
                           .hosts = {8, 9},
                           .previous_count = 2,
                           .previous = {OWN, 8}};
    bb_claims_set_roster(c, "s", &r, 600);
    CU_ASSERT_EQUAL(claim(c, 2, 4).result, BB_WITNESS_GRANTED);
    CU_ASSERT_EQUAL(claim(c, 3, 3).result, BB_WITNESS_OTHER_EPOCH);
    /* Settled: the host is removed and ignores further epochs. */
    r = (struct bb_roster){.epoch = 5, .host_count = 2, .hosts = {8, 9}};
    bb_claims_set_roster(c, "s", &r, 600);
    CU_ASSERT_EQUAL(claim(c, 4, 5).result, BB_WITNESS_OTHER_EPOCH);
    bb_claims_destroy(c);
}

/* Guards against a restarted witness that grants a key again, even if it
 * learns the service's retention time only later. */
static void
test_restarted_witness_grants_nothing(void)
{
    struct bb_claims *c = bb_claims_create(OWN, ENTRIES, 0, true);
    struct bb_roster r = {.epoch = 3, .host_count = 1, .hosts = {OWN}};

    bb_claims_set_roster(c, "s", &r, 600);
    CU_ASSERT_EQUAL(claim(c, 1, 3).result, BB_WITNESS_CANNOT_GRANT);
    bb_claims_destroy(c);
}

/* Guards against a new host that refuses keys for the retention time although
 * it has lost no claims, whether the roster or the minimum revision arrives
 * first. */
static void
test_new_host_grants_at_once(void)
{
    struct bb_roster r = {.epoch = 3, .host_count = 1, .hosts = {OWN}};

    for (int is_roster_first = 0; is_roster_first < 2; is_roster_first++) {
        struct bb_claims *c = bb_claims_create(OWN, ENTRIES, 600, true);

        if (is_roster_first) {
            bb_claims_set_roster(c, "s", &r, 600);
            CU_ASSERT_EQUAL(claim(c, 1, 3).result, BB_WITNESS_CANNOT_GRANT);
        }
        bb_claims_set_first_start(c);
        bb_claims_set_roster(c, "s", &r, 600);
        CU_ASSERT_EQUAL(claim(c, 1, 3).result, BB_WITNESS_GRANTED);
        bb_claims_destroy(c);
    }
}

static const struct bb_unit_test tests[] = {
    {"a removed host adopts the epoch", test_removed_host_adopts_the_epoch},
    {"a restarted witness grants nothing",
     test_restarted_witness_grants_nothing},
    {"a new host grants at once", test_new_host_grants_at_once},
};

BB_UNIT_MAIN("claims", tests)
