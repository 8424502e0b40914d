/* The load generator must report correctly: plans are reproducible by seed,
 * percentiles are accurate, and truncated responses do not count as successes.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fixture.h"
#include "load/engine.h"

static void
write_file(const char *path, const char *text)
{
    FILE *f = fopen(path, "we");

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    CU_ASSERT_TRUE(fputs(text, f) >= 0);
    (void)fclose(f);
}

static bool
read_workload(struct bb_workload *w, const char *text)
{
    char path[] = "/tmp/test_load_XXXXXX";
    struct bb_error e = {0};
    int fd = mkstemp(path);
    bool is_read;

    CU_ASSERT_TRUE_FATAL(fd >= 0);
    (void)close(fd);
    write_file(path, text);
    is_read = bb_workload_read(w, path, &e);
    (void)unlink(path);
    return is_read;
}

static const char swinging[] =
    "{\"name\":\"w\",\"rate\":1000,\"long_permille\":100,"
    "\"swing_period_ms\":2000,"
    "\"swings\":[{\"at_ms\":0,\"factor\":0.5},{\"at_ms\":1000,\"factor\":2}],"
    "\"routes\":[{\"path\":\"/a\",\"weight\":3,\"work_us\":100},"
    "{\"path\":\"/b\",\"weight\":1,\"work_us\":100}]}";

/* Guards against runs that cannot be reproduced, and against swings of the
 * rate that are not applied. */
static void
test_plans_are_reproducible_and_swing(void)
{
    struct bb_workload w;
    struct bb_load_call *first;
    struct bb_load_call *second;
    uint32_t count = 0;
    uint32_t second_count = 0;
    uint32_t count_at_low_rate = 0;
    uint32_t long_count = 0;

    CU_ASSERT_TRUE_FATAL(read_workload(&w, swinging));
    first = bb_workload_plan(&w, 5, w.rate, 8000, false, &count);
    second = bb_workload_plan(&w, 5, w.rate, 8000, false, &second_count);
    CU_ASSERT_EQUAL_FATAL(count, second_count);
    for (uint32_t i = 0; i < count; i++) {
        CU_ASSERT_TRUE(first[i].planned_us == second[i].planned_us &&
                       first[i].route == second[i].route);
        CU_ASSERT_TRUE(i == 0 ||
                       first[i].planned_us >= first[i - 1].planned_us);
        count_at_low_rate += first[i].planned_us / 1000 % 2000 < 1000;
        long_count += first[i].is_long;
    }
    /* 4 s at 500 and 4 s at 2000 calls a second, a tenth of them long. */
    CU_ASSERT_TRUE(abs((int)count_at_low_rate - 2000) < 200);
    CU_ASSERT_TRUE(abs((int)(count - count_at_low_rate) - 8000) < 400);
    CU_ASSERT_TRUE(abs((int)long_count - 1000) < 150);
    g_free(first);
    g_free(second);
    bb_workload_clear(&w);
}

/* Guards against invalid workload files that are partly accepted. */
static void
test_bad_workloads_are_refused(void)
{
    struct bb_workload w;

    CU_ASSERT_FALSE(read_workload(&w, "{"));
    CU_ASSERT_FALSE(read_workload(&w, "{\"routes\":[]}"));
    CU_ASSERT_FALSE(
        read_workload(&w, "{\"routes\":[{\"path\":\"a\",\"weight\":1}]}"));
    CU_ASSERT_FALSE(
        read_workload(&w, "{\"routes\":[{\"path\":\"/a\",\"weight\":1}],"
                          "\"swings\":[{\"at_ms\":5,\"factor\":0}]}"));
}

/* Guards against percentiles that are off by more than a histogram bin. */
static void
test_percentiles_are_right(void)
{
    struct bb_load_stats *s = bb_load_stats_create(1);

    for (uint64_t i = 1; i <= 10000; i++) {
        bb_load_stats_add_latency(s, BB_LOAD_PROXIED, i * 10);
    }
    CU_ASSERT_DOUBLE_EQUAL(bb_load_percentile(s, BB_LOAD_PROXIED, 50), 50000,
                           1000);
    CU_ASSERT_DOUBLE_EQUAL(bb_load_percentile(s, BB_LOAD_PROXIED, 99), 99000,
                           2000);
    CU_ASSERT_EQUAL(s->max_us[BB_LOAD_PROXIED], 100000);
    bb_load_stats_destroy(s);
}

/* Guards against truncated responses that are counted as successes. */
static void
test_truncated_responses_are_not_successes(void)
{
    const struct bb_behaviour_values v = {.slots = 4,
                                          .connections = 64,
                                          .truncate_permille = 500,
                                          .load_percent = 100,
                                          .cold_factor = 1,
                                          .slow_factor = 1,
                                          .long_factor = 1};
    struct test_upstream u;
    struct bb_workload w;
    struct bb_load_run run = {.seed = 3,
                              .duration_ms = 500,
                              .threads = 8,
                              .timeout_s = 5,
                              .workload = &w};
    struct bb_load_call *calls;
    struct bb_load_stats *s;

    start_upstream(&u, &v);
    CU_ASSERT_TRUE_FATAL(read_workload(
        &w, "{\"routes\":[{\"path\":\"/a\",\"weight\":1,\"method\":\"POST\","
            "\"body_bytes\":70000,\"answer_bytes\":50000,\"work_us\":1}]}"));
    run.targets.items[run.targets.count++] = u.upstream.listen_address;
    calls = bb_workload_plan(&w, run.seed, 200, run.duration_ms, false,
                             &run.call_count);
    run.calls = calls;
    s = bb_load_run_execute(&run);
    CU_ASSERT_EQUAL(s->result_counts[BB_LOAD_OK] +
                        s->result_counts[BB_LOAD_BROKEN],
                    run.call_count);
    CU_ASSERT_TRUE(s->result_counts[BB_LOAD_OK] > run.call_count / 4);
    CU_ASSERT_TRUE(s->result_counts[BB_LOAD_BROKEN] > run.call_count / 4);
    CU_ASSERT_EQUAL(s->counts[BB_LOAD_PROXIED], s->result_counts[BB_LOAD_OK]);
    bb_load_stats_destroy(s);
    g_free(calls);
    bb_workload_clear(&w);
    stop_upstream(&u);
}

static const struct bb_unit_test tests[] = {
    {"plans are reproducible and swing",
     test_plans_are_reproducible_and_swing},
    {"bad workloads are refused", test_bad_workloads_are_refused},
    {"percentiles are right", test_percentiles_are_right},
    {"truncated responses are not successes",
     test_truncated_responses_are_not_successes},
};

BB_UNIT_MAIN("load", tests)
