/* How often a node puts configurations in force. */
#include "apply_pace.h"

#include <glib.h>
#include <stdbool.h>

#include "common/clock.h"
#include "unit.h"

enum { DECODE_MS = 20, STORM = 30, STORM_GAP_MS = 10 };

/* What was put in force. */
struct applied {
    uint32_t count;
    uint64_t version;
    bool has_gone_back;
};

/* Takes as long as a large configuration on a small processor. */
static void
apply_slowly(void *context, uint64_t version, GBytes *raw)
{
    struct applied *a = context;
    uint64_t end_us = bb_clock_now_us() + (uint64_t)DECODE_MS * BB_US_PER_MS;

    (void)raw;
    a->has_gone_back = a->has_gone_back || version <= a->version;
    a->version = version;
    a->count++;
    while (bb_clock_now_us() < end_us) {
    }
}

static void
end_wait(uv_timer_t *t)
{
    uv_stop(t->loop);
}

/* Runs the loop for a time. */
static void
run(uv_loop_t *loop, uint32_t ms)
{
    uv_timer_t timer;

    (void)uv_timer_init(loop, &timer);
    (void)uv_timer_start(&timer, end_wait, ms, 0);
    (void)uv_run(loop, UV_RUN_DEFAULT);
    uv_close((uv_handle_t *)&timer, NULL);
    (void)uv_run(loop, UV_RUN_NOWAIT);
}

/* Guards against: a node that only decodes while changes come in quick
 * succession, a first configuration that waits, and a last one that is passed
 * over or late. */
static void
test_storm(void)
{
    uv_loop_t loop;
    struct applied a = {0};
    struct apply_pace *pace;
    GBytes *raw = g_bytes_new_static("x", 1);
    uint64_t from_us = bb_clock_now_us();
    uint64_t storm_ms;

    (void)uv_loop_init(&loop);
    pace = apply_pace_create(&loop, apply_slowly, &a);
    apply_pace_take(pace, 1, raw);
    CU_ASSERT_EQUAL(a.count, 1);
    for (uint64_t v = 2; v <= STORM; v++) {
        apply_pace_take(pace, v, raw);
        run(&loop, STORM_GAP_MS);
    }
    /* A tenth of the time for decoding, and the first and the last one. */
    storm_ms = (bb_clock_now_us() - from_us) / BB_US_PER_MS;
    CU_ASSERT_TRUE(a.count <= storm_ms / (10 * (uint64_t)DECODE_MS) + 2);
    run(&loop, APPLY_PACE_REST_MAX_MS);
    CU_ASSERT_EQUAL(a.version, STORM);
    CU_ASSERT_FALSE(a.has_gone_back);
    apply_pace_destroy(pace);
    (void)uv_run(&loop, UV_RUN_DEFAULT);
    CU_ASSERT_EQUAL(uv_loop_close(&loop), 0);
    g_bytes_unref(raw);
}

static const struct bb_unit_test tests[] = {{"storm of changes", test_storm}};

BB_UNIT_MAIN("apply pace", tests)
