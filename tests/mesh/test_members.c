/* Tests of the member table: the result of merging does not depend on the
 * order of records, held revisions never fall and outlast expiry, and equal
 * tables have equal digests. */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "common/random.h"
#include "mesh/members.h"
#include "mesh/wire.h"
#include "unit.h"

enum { SEED = 7, RECORD_COUNT = 400, HOST_COUNT = 12, RETENTION_US = 1000 };

/* Returns a record of a host: host n is in zone n % 3; zones 0 and 1 are in
 * region-0, zone 2 is in region-1. */
static struct bb_member
make_record(uint32_t host, uint64_t incarnation, uint64_t sequence)
{
    struct bb_member r = {
        .http_address = {.ip = "127.0.0.1", .port = 80},
        .rpc_address = {.ip = "::1", .port = 81},
        .incarnation = incarnation,
        .sequence = sequence,
    };

    (void)snprintf(r.host, sizeof(r.host), "host-%u", host);
    (void)snprintf(r.zone, sizeof(r.zone), "zone-%u", host % 3);
    (void)snprintf(r.region, sizeof(r.region), "region-%u", host % 3 / 2);
    return r;
}

static struct bb_member
random_record(struct bb_random *random)
{
    struct bb_member r =
        make_record((uint32_t)bb_random_below(random, HOST_COUNT),
                    bb_random_below(random, 3), bb_random_below(random, 4));

    r.state = (enum bb_member_state)bb_random_below(random, 4);
    r.slots = (uint32_t)bb_random_below(random, 3);
    r.held_revision = bb_random_below(random, 50);
    r.applied_revision = bb_random_below(random, 50);
    return r;
}

static void
assert_same_tables(struct bb_member_table *a, struct bb_member_table *b)
{
    const struct bb_member_query all = {0};
    struct bb_member_list left;
    struct bb_member_list right;

    (void)bb_member_table_select(a, &all, &left);
    (void)bb_member_table_select(b, &all, &right);
    CU_ASSERT_EQUAL_FATAL(left.count, right.count);
    for (size_t i = 0; i < left.count; i++) {
        CU_ASSERT_EQUAL(bb_member_compare(&left.items[i], &right.items[i]), 0);
        CU_ASSERT_EQUAL(left.items[i].held_revision,
                        right.items[i].held_revision);
        CU_ASSERT_EQUAL(left.items[i].applied_revision,
                        right.items[i].applied_revision);
    }
    CU_ASSERT_EQUAL(bb_member_table_compute_digest(a),
                    bb_member_table_compute_digest(b));
    bb_member_list_clear(&left);
    bb_member_list_clear(&right);
}

/* Guards against tables that stay different although they received the same
 * records. */
static void
test_order_and_repetition_do_not_matter(void)
{
    struct bb_random *random = bb_random_create(SEED);

    for (int round = 0; round < 50; round++) {
        struct bb_member_table *a = bb_member_table_create();
        struct bb_member_table *b = bb_member_table_create();
        struct bb_member records[RECORD_COUNT];

        for (int i = 0; i < RECORD_COUNT; i++) {
            records[i] = random_record(random);
            (void)bb_member_table_merge(a, &records[i], BB_ORIGIN_SAME_REGION,
                                        1);
        }
        for (int i = RECORD_COUNT - 1; i > 0; i--) {
            size_t j = bb_random_below(random, (uint64_t)i + 1);
            struct bb_member swap = records[i];

            records[i] = records[j];
            records[j] = swap;
        }
        for (int i = 0; i < 2 * RECORD_COUNT; i++) {
            (void)bb_member_table_merge(b, &records[i % RECORD_COUNT],
                                        BB_ORIGIN_SAME_REGION, 1);
        }
        assert_same_tables(a, b);
        for (int i = 0; i < RECORD_COUNT; i++) {
            CU_ASSERT_FALSE(bb_member_table_merge(a, &records[i],
                                                  BB_ORIGIN_SAME_REGION, 1));
        }
        bb_member_table_destroy(a);
        bb_member_table_destroy(b);
    }
    bb_random_destroy(random);
}

/* Guards against a restarted node serving an older revision because its held
 * revision expired with its record, and against a delayed copy adding an
 * expired record again. */
static void
test_held_revision_outlives_the_record(void)
{
    struct bb_member_table *m = bb_member_table_create();
    struct bb_member r = make_record(1, 1, 1);
    struct bb_member restarted = make_record(1, 2, 0);
    bool is_known = false;

    r.held_revision = 300;
    (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 1);
    r.state = BB_MEMBER_DEAD;
    r.held_revision = 0;
    (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 1);
    CU_ASSERT_EQUAL(bb_member_table_expire(m, RETENTION_US, RETENTION_US), 0);
    CU_ASSERT_EQUAL(bb_member_table_expire(m, RETENTION_US + 1, RETENTION_US),
                    1);
    CU_ASSERT_EQUAL(bb_member_table_get_held_revision(m, "host-1", &is_known),
                    300);
    CU_ASSERT_TRUE(is_known);
    r.state = BB_MEMBER_ALIVE;
    CU_ASSERT_FALSE(bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 2));
    CU_ASSERT_TRUE(
        bb_member_table_merge(m, &restarted, BB_ORIGIN_SAME_REGION, 2));
    CU_ASSERT_TRUE_FATAL(bb_member_table_get(m, "host-1", &r));
    CU_ASSERT_EQUAL(r.held_revision, 300);
    (void)bb_member_table_get_held_revision(m, "host-2", &is_known);
    CU_ASSERT_FALSE(is_known);
    bb_member_table_destroy(m);
}

/* Guards against expiry of the members of a zone that is unreachable. */
static void
test_unreachable_zone_is_kept(void)
{
    struct bb_member_table *m = bb_member_table_create();
    struct bb_member r = make_record(1, 1, 1);

    r.state = BB_MEMBER_DEAD;
    (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 1);
    bb_member_table_set_zone_reachable(m, "zone-1", false);
    CU_ASSERT_EQUAL(bb_member_table_expire(m, 10 * RETENTION_US, RETENTION_US),
                    0);
    CU_ASSERT_TRUE_FATAL(bb_member_table_get(m, "host-1", &r));
    CU_ASSERT_FALSE(r.is_reachable);
    bb_member_table_set_zone_reachable(m, "zone-1", true);
    CU_ASSERT_EQUAL(bb_member_table_expire(m, 10 * RETENTION_US, RETENTION_US),
                    1);
    bb_member_table_destroy(m);
}

/* Guards against reports that repeat or omit changes, and against reporting a
 * change of the held revision alone as one that affects routes. */
static void
test_changes_since_a_change_number(void)
{
    struct bb_member_table *m = bb_member_table_create();
    struct bb_member_query q = {.only_routing_changes = true};
    struct bb_member_list list;
    struct bb_member r = make_record(1, 1, 1);

    (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 1);
    q.since_change = bb_member_table_select(m, &q, &list);
    CU_ASSERT_EQUAL(list.count, 1);
    bb_member_list_clear(&list);
    r.held_revision = 5;
    (void)bb_member_table_merge(m, &r, BB_ORIGIN_SAME_REGION, 1);
    (void)bb_member_table_select(m, &q, &list);
    CU_ASSERT_EQUAL(list.count, 0);
    bb_member_list_clear(&list);
    q.only_routing_changes = false;
    (void)bb_member_table_select(m, &q, &list);
    CU_ASSERT_EQUAL(list.count, 1);
    bb_member_list_clear(&list);
    bb_member_table_destroy(m);
}

/* Guards against applying a zone summary to a member that the sender of the
 * summary did not include. */
static void
test_zone_summary_needs_the_same_members(void)
{
    struct bb_member_table *sender = bb_member_table_create();
    struct bb_member_table *receiver = bb_member_table_create();
    struct bb_zone_summary summaries[4];
    /* Two hosts of zone-0. */
    struct bb_member a = make_record(0, 1, 1);
    struct bb_member b = make_record(3, 1, 1);
    bool is_known;

    (void)bb_member_table_merge(receiver, &a, BB_ORIGIN_SAME_REGION, 1);
    (void)bb_member_table_merge(receiver, &b, BB_ORIGIN_SAME_REGION, 1);
    a.applied_revision = 9;
    (void)bb_member_table_merge(sender, &a, BB_ORIGIN_SAME_REGION, 1);
    CU_ASSERT_EQUAL(bb_member_table_compute_zone_summaries(sender, "region-0",
                                                           summaries, 4),
                    1);
    CU_ASSERT_EQUAL(
        bb_member_table_apply_zone_summary(receiver, &summaries[0], 1), 0);
    b.applied_revision = 8;
    (void)bb_member_table_merge(sender, &b, BB_ORIGIN_SAME_REGION, 1);
    CU_ASSERT_EQUAL(bb_member_table_compute_zone_summaries(sender, "region-0",
                                                           summaries, 4),
                    1);
    CU_ASSERT_EQUAL(
        bb_member_table_apply_zone_summary(receiver, &summaries[0], 1), 2);
    CU_ASSERT_EQUAL(
        bb_member_table_get_held_revision(receiver, "host-0", &is_known), 8);
    bb_member_table_destroy(sender);
    bb_member_table_destroy(receiver);
}

/* Guards against records that change when they are encoded and decoded, and
 * against accepting values that are out of range. */
static void
test_records_survive_encoding(void)
{
    struct bb_member r = make_record(5, 77, 1ULL << 40);
    struct bb_wire_address_buffers storage;
    struct bb_member back;
    mesh_record wire;

    r.state = BB_MEMBER_SUSPECT;
    (void)snprintf(r.service, sizeof(r.service), "orders");
    bb_wire_member_to_xdr(&r, &wire, &storage);
    CU_ASSERT_TRUE(bb_wire_member_from_xdr(&wire, &back));
    CU_ASSERT_EQUAL(bb_member_compare(&r, &back), 0);
    wire.state = BB_MEMBER_LEFT + 1;
    CU_ASSERT_FALSE(bb_wire_member_from_xdr(&wire, &back));
    wire.state = BB_MEMBER_ALIVE;
    wire.rpc_address.ip.ip_len = 7;
    CU_ASSERT_FALSE(bb_wire_member_from_xdr(&wire, &back));
}

static const struct bb_unit_test tests[] = {
    {"order and repetition do not matter",
     test_order_and_repetition_do_not_matter},
    {"a held revision outlives the record",
     test_held_revision_outlives_the_record},
    {"an unreachable zone is kept", test_unreachable_zone_is_kept},
    {"a query selects changes since a change number",
     test_changes_since_a_change_number},
    {"a zone summary needs the same members",
     test_zone_summary_needs_the_same_members},
    {"records survive encoding, and invalid ones are refused",
     test_records_survive_encoding},
};

BB_UNIT_MAIN("members", tests)
