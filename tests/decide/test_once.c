/* Retries, hedges, and the parts of at-most-once execution that
 * test_explore_calls keeps constant: time, full tables and the choice of
 * witnesses. */
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "decide/call_recovery.h"
#include "decide/claim.h"
#include "decide/record.h"
#include "decide/retry.h"
#include "unit.h"

enum { SLOTS = 16, RETENTION_US = 600000000, HOSTS = 30 };

static struct bb_request_id
id_of(uint64_t n)
{
    return bb_request_id_from_bits(n, n * 7919);
}

/* Guards against a full record that drops an id, so that a delayed copy of the
 * request runs a second time. */
static void
test_full_record_refuses_and_keeps_entries(void)
{
    struct bb_record_entry entries[SLOTS];
    struct bb_record r;
    struct bb_request_id id;
    uint64_t response;
    uint64_t begun_count = 0;

    bb_record_init(&r, 5, RETENTION_US, entries, SLOTS);
    do {
        id = id_of(begun_count++);
    } while (bb_record_begin(&r, &id, 5, &response, 1) == BB_BEGIN_RUN);
    CU_ASSERT_EQUAL(begun_count, SLOTS * 3 / 4 + 1);
    CU_ASSERT_EQUAL(bb_record_begin(&r, &id, 5, &response, 1), BB_BEGIN_FULL);
    CU_ASSERT_EQUAL(bb_record_query(&r, &id, 5, &response, 1), BB_QUERY_FULL);
    for (uint64_t i = 0; i < SLOTS * 3 / 4; i++) {
        id = id_of(i);
        CU_ASSERT_TRUE(bb_record_finish(&r, &id, BB_RECORD_DONE, i + 1, 10));
        CU_ASSERT_FALSE(bb_record_finish(&r, &id, BB_RECORD_DONE, 99, 10));
    }
    CU_ASSERT_FALSE(bb_record_expire(&r, RETENTION_US, &response));
    id = id_of(3);
    CU_ASSERT_EQUAL(bb_record_begin(&r, &id, 5, &response, RETENTION_US),
                    BB_BEGIN_DUPLICATE_DONE);
    CU_ASSERT_EQUAL(response, 4);
    begun_count = 0;
    while (
        bb_record_expire(&r, RETENTION_US + 200 * BB_US_PER_MS, &response)) {
        CU_ASSERT_NOT_EQUAL(response, 0);
        begun_count++;
    }
    CU_ASSERT_EQUAL(begun_count, SLOTS * 3 / 4);
    CU_ASSERT_EQUAL(r.table.used_count, 0);
}

/* Guards against an entry that cannot be found after the removal of another of
 * its probe sequence: compares the table with an array over random insertions
 * and removals. */
static void
test_table_keeps_entries_after_removals(void)
{
    struct bb_record_entry entries[64];
    struct bb_record r;
    bool is_recorded[200] = {false};
    uint64_t response;
    uint32_t count = 0;

    srand(20261204);
    bb_record_init(&r, 1, RETENTION_US, entries, 64);
    for (int i = 0; i < 20000; i++) {
        int n = rand() % 200;
        struct bb_request_id id = id_of((uint64_t)n);

        if (is_recorded[n]) {
            CU_ASSERT_TRUE_FATAL(bb_record_remove_running(&r, &id, 1));
            is_recorded[n] = false;
            count--;
        }
        else {
            bool is_begun =
                bb_record_begin(&r, &id, 1, &response, 1) == BB_BEGIN_RUN;

            CU_ASSERT_EQUAL_FATAL(is_begun, count < 48);
            is_recorded[n] = is_begun;
            count += is_begun;
        }
        CU_ASSERT_EQUAL_FATAL(r.table.used_count, count);
    }
}

/* Guards against entry nodes that ask different witnesses for one key, or sets
 * that share no quorum after one host has changed, so that both grant the key;
 * and against hosts that get far more keys than others. */
static void
test_witness_sets_agree_and_overlap(void)
{
    uint64_t hosts[HOSTS];
    uint64_t changed[HOSTS];
    uint32_t uses[HOSTS] = {0};

    for (uint64_t i = 0; i < HOSTS; i++) {
        hosts[i] = 1000 + i;
        changed[HOSTS - 1 - i] = i == 7 ? 5000 : hosts[i];
    }
    for (uint64_t n = 0; n < 1000; n++) {
        struct bb_request_id key = id_of(n);
        uint64_t a[BB_CLAIM_SET_SIZE];
        uint64_t b[BB_CLAIM_SET_SIZE];
        int common = 0;

        CU_ASSERT_EQUAL(bb_claim_select_witnesses(&key, hosts, HOSTS, a),
                        BB_CLAIM_SET_SIZE);
        CU_ASSERT_EQUAL(bb_claim_select_witnesses(&key, changed, HOSTS, b),
                        BB_CLAIM_SET_SIZE);
        CU_ASSERT_TRUE(a[0] != a[1] && a[1] != a[2] && a[0] != a[2]);
        for (int i = 0; i < BB_CLAIM_SET_SIZE * BB_CLAIM_SET_SIZE; i++) {
            common += a[i / BB_CLAIM_SET_SIZE] == b[i % BB_CLAIM_SET_SIZE];
        }
        CU_ASSERT_TRUE(common >= 2); /* one host changed */
        for (int i = 0; i < BB_CLAIM_SET_SIZE; i++) {
            uses[a[i] - 1000]++;
        }
    }
    for (int i = 0; i < HOSTS; i++) {
        CU_ASSERT_TRUE(uses[i] > 60 && uses[i] < 140);
    }
    CU_ASSERT_EQUAL(bb_claim_select_witnesses(&(struct bb_request_id){{1}},
                                              hosts, 2, changed),
                    2);
}

/* Guards against a second grant of a key whose first claim is still held, by a
 * witness that lost its claims in a restart, before the retention time has
 * passed, or after a roster was dropped too early. */
static void
test_witness_grants_expire(void)
{
    struct bb_claim_entry entries[SLOTS];
    struct bb_witness w;
    struct bb_request_id key = id_of(1);
    struct bb_claim a = {.request = id_of(2), .attempt = 1, .gatekeeper = 1};
    struct bb_claim b = {.request = id_of(3), .attempt = 1, .gatekeeper = 1};

    bb_witness_init(&w, 4, RETENTION_US, true, entries, SLOTS, 10);
    CU_ASSERT_EQUAL(bb_witness_claim(&w, &key, &a, 4, 11).result,
                    BB_WITNESS_CANNOT_GRANT);
    CU_ASSERT_EQUAL(bb_witness_claim(&w, &key, &a, 3, 11).result,
                    BB_WITNESS_OTHER_EPOCH);
    CU_ASSERT_EQUAL(
        bb_witness_claim(&w, &key, &a, 4, 10 + RETENTION_US).result,
        BB_WITNESS_GRANTED);
    CU_ASSERT_EQUAL(
        bb_witness_claim(&w, &key, &b, 4, 9 + 2 * (uint64_t)RETENTION_US)
            .result,
        BB_WITNESS_HELD);
    CU_ASSERT_EQUAL(
        bb_witness_claim(&w, &key, &b, 4, 10 + 2 * (uint64_t)RETENTION_US)
            .result,
        BB_WITNESS_GRANTED);
    bb_witness_set_epoch(&w, 3);
    CU_ASSERT_EQUAL(w.epoch, 4);
    CU_ASSERT_FALSE(bb_roster_can_drop_previous(5, 3, 0, 10, 100));
    CU_ASSERT_FALSE(bb_roster_can_drop_previous(5, 4, 95, 10, 100));
    CU_ASSERT_TRUE(bb_roster_can_drop_previous(5, 4, 90, 10, 100));
}

/* Guards against a silent connection that keeps a call waiting without a
 * query, and an outcome that changes after the deadline. */
static void
test_recovery_queries_after_silence(void)
{
    enum bb_reason reason;
    struct bb_call_recovery r;

    bb_call_recovery_init(&r, false, false, BB_CALL_RECOVERY_CHECK_INTERVAL_US,
                          9000 * BB_US_PER_MS, 0);
    bb_call_recovery_bytes_received(&r, 600 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 1500 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_WAIT);
    CU_ASSERT_EQUAL(bb_call_recovery_next_wakeup_us(&r), 1600 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 1600 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_QUERY);
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 1700 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_WAIT);
    bb_call_recovery_query_completed(&r, BB_QUERY_RUNNING,
                                     1700 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 2700 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_QUERY);
    bb_call_recovery_query_failed(&r, 2800 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_call_recovery_next_wakeup_us(&r), 3050 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 9000 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_UNKNOWN);
    CU_ASSERT_EQUAL(reason, BB_REASON_CONNECTION_SILENT);
    bb_call_recovery_query_completed(&r, BB_QUERY_DONE,
                                     9001 * BB_US_PER_MS); /* too late */
    CU_ASSERT_EQUAL(bb_call_recovery_step(&r, 9001 * BB_US_PER_MS, &reason),
                    BB_CALL_RECOVERY_UNKNOWN);
}

/* Guards against retries of requests that may have run, hopeless retries, and
 * retries that multiply an overload. */
static void
test_retries_only_when_safe_and_within_budget(void)
{
    struct bb_retry_budget b = {0};
    struct bb_failed_request q = {.reason = BB_REASON_QUEUE_FULL,
                                  .ran = BB_RAN_NO,
                                  .attempt_count = 1,
                                  .retry_limit = 3,
                                  .remaining_us = 100 * BB_US_PER_MS};
    uint32_t allowed = 0;

    bb_retry_budget_configure(&b, 20);
    CU_ASSERT_TRUE(bb_retry_decide(&q, &b).is_allowed);
    q.ran = BB_RAN_UNKNOWN;
    CU_ASSERT_FALSE(bb_retry_decide(&q, &b).is_allowed);
    q.is_idempotent = true;
    CU_ASSERT_TRUE(bb_retry_decide(&q, &b).is_allowed);
    q.attempt_count = 4;
    CU_ASSERT_FALSE(bb_retry_decide(&q, &b).is_allowed);
    q.attempt_count = 1;
    q.reason = BB_REASON_BAD_REQUEST;
    CU_ASSERT_FALSE(bb_retry_decide(&q, &b).is_allowed);
    q.reason = BB_REASON_QUEUE_FULL;
    q.expected_duration_us = 100 * BB_US_PER_MS;
    CU_ASSERT_FALSE(bb_retry_decide(&q, &b).is_allowed);
    q.expected_duration_us = 0;
    for (int i = 0; i < 1000; i++) { /* every call is refused once */
        bb_retry_budget_deposit(&b);
        allowed += bb_retry_decide(&q, &b).is_allowed;
    }
    CU_ASSERT_TRUE(allowed >= 200 && allowed <= 205);
    CU_ASSERT_EQUAL(bb_retry_decide(&q, &b).reason, BB_REASON_RETRY_BUDGET);
    CU_ASSERT_EQUAL(bb_retry_backoff_us(1, UINT64_MAX), 0);
    for (uint32_t n = 2; n < 40; n++) {
        CU_ASSERT_TRUE(bb_retry_backoff_us(n, UINT64_MAX / 3) <=
                       250 * BB_US_PER_MS);
    }
}

/* Guards against hedges of calls that are no slower than usual or are long. */
static void
test_only_slow_short_calls_are_hedged(void)
{
    struct bb_retry_budget b = {0};
    struct bb_duration_stats latency = {0};
    struct bb_pending_request q = {.is_idempotent = true,
                                   .hedge_limit = 1,
                                   .elapsed_us = 1 * BB_US_PER_MS,
                                   .remaining_us = 900 * BB_US_PER_MS};

    bb_retry_budget_configure(&b, 5);
    for (int i = 0; i < 100; i++) {
        bb_duration_stats_add(&latency, i < 90 ? 200 : 30 * BB_US_PER_MS);
    }
    CU_ASSERT_TRUE(bb_hedge_delay_us(&q, &latency) > 24 * BB_US_PER_MS);
    CU_ASSERT_FALSE(bb_hedge_decide(&q, &latency, &b));
    q.elapsed_us = 40 * BB_US_PER_MS;
    CU_ASSERT_TRUE(bb_hedge_decide(&q, &latency, &b));
    q.work_class = BB_ADMISSION_CLASS_LONG;
    CU_ASSERT_FALSE(bb_hedge_decide(&q, &latency, &b));
    q.hedge_after_us = 1;
    CU_ASSERT_EQUAL(bb_hedge_delay_us(&q, &latency),
                    2 * BB_US_PER_MS); /* the minimum */
}

/* Guards against endless recursion of nested calls, nested deadlines that
 * leave no time to pass on the response, and arithmetic overflow. */
static void
test_depth_and_deadline_of_nested_calls(void)
{
    uint32_t depth = 0;
    uint64_t left_us = 1000 * BB_US_PER_MS;

    while (bb_call_depth_next(depth, 0, &depth)) {
        uint64_t nested_us = bb_deadline_nested_remaining_us(5 + left_us, 5);

        CU_ASSERT_TRUE(nested_us < left_us);
        left_us = nested_us;
    }
    CU_ASSERT_EQUAL(depth, BB_CALL_DEPTH_MAX);
    CU_ASSERT_TRUE(left_us > 900 * BB_US_PER_MS);
    CU_ASSERT_EQUAL(bb_deadline_nested_remaining_us(5, 6), 0);
    CU_ASSERT_EQUAL(bb_deadline_from_remaining(UINT64_MAX, UINT64_MAX, 9),
                    UINT64_MAX);
    CU_ASSERT_EQUAL(bb_deadline_from_remaining(0, 50, 9), 59);
}

static const struct bb_unit_test tests[] = {
    {"a full record refuses and keeps its entries",
     test_full_record_refuses_and_keeps_entries},
    {"the table keeps entries after removals",
     test_table_keeps_entries_after_removals},
    {"witness sets agree and overlap", test_witness_sets_agree_and_overlap},
    {"grants of a witness expire, and a roster is not dropped too early",
     test_witness_grants_expire},
    {"a probe queries after silence", test_recovery_queries_after_silence},
    {"retries only when safe and within budget",
     test_retries_only_when_safe_and_within_budget},
    {"hedges follow p95 and budget", test_only_slow_short_calls_are_hedged},
    {"depth and deadline of nested calls",
     test_depth_and_deadline_of_nested_calls},
};

BB_UNIT_MAIN("once", tests)
