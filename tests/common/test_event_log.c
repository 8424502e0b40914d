/* Guards against a process that is blocked by a slow, stalled or closed reader
 * of the event log, and against wrong histograms. */
#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/event_log.h"
#include "common/histogram.h"
#include "unit.h"

enum { LINES = 4000, READ_BYTES = 65536 };

static uint32_t wakes;

static void
on_wake(void *context)
{
    (void)context;
    wakes++;
}

static void
write_line(enum bb_event_class c, const char *id)
{
    GString *line = g_string_new(NULL);

    bb_event_log_format_line(line, "test.line", id, "\"number\":%d", 5);
    bb_event_log_write(c, line->str, line->len);
    g_string_free(line, TRUE);
}

/* Reads all bytes that are in a pipe. */
static GString *
read_all(int fd)
{
    GString *all = g_string_new(NULL);
    char *data = g_malloc(READ_BYTES);
    ssize_t n;

    (void)fcntl(fd, F_SETFL, O_NONBLOCK);
    while ((n = read(fd, data, READ_BYTES)) > 0) {
        g_string_append_len(all, data, n);
    }
    g_free(data);
    return all;
}

/* Guards against: a stalled reader that blocks the process or makes its memory
 * grow, and lines that are dropped without a log.dropped line. */
static void
test_stalled_reader(void)
{
    int ends[2];
    uint64_t start_us = bb_clock_now_us();
    GString *all;

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    bb_event_log_start(ends[1], "h", on_wake, NULL);
    for (uint32_t i = 0; i < LINES; i++) {
        write_line(BB_EVENT_FAILURE, "a");
        (void)bb_event_log_flush();
    }
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < 2 * BB_US_PER_S);
    CU_ASSERT_TRUE(bb_event_log_dropped_lines() > 0);
    all = read_all(ends[0]);
    CU_ASSERT_TRUE(all->len > 0);
    g_string_free(all, TRUE);
    while (bb_event_log_flush()) {
        g_string_free(read_all(ends[0]), TRUE);
    }
    (void)bb_event_log_flush();
    all = read_all(ends[0]);
    CU_ASSERT_PTR_NOT_NULL(strstr(all->str, "log.dropped"));
    g_string_free(all, TRUE);
    (void)close(ends[0]);
    (void)close(ends[1]);
}

/* Guards against: ordinary lines that use the space and rate reserved for
 * failures. */
static void
test_reserve_for_failures(void)
{
    int ends[2];
    uint64_t dropped;

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    bb_event_log_start(ends[1], "h", on_wake, NULL);
    for (uint32_t i = 0; i < LINES; i++) {
        write_line(BB_EVENT_ORDINARY, "a");
    }
    dropped = bb_event_log_dropped_lines();
    CU_ASSERT_TRUE(dropped > 0);
    write_line(BB_EVENT_FAILURE, "a");
    CU_ASSERT_EQUAL(bb_event_log_dropped_lines(), dropped);
    (void)close(ends[0]);
    (void)close(ends[1]);
}

/* Guards against: an invalid descriptor that crashes or blocks the process.
 * The test passes if it returns. */
static void
test_invalid_descriptor(void)
{
    bb_event_log_start(-1, "h", on_wake, NULL);
    write_line(BB_EVENT_FAILURE, "a");
    (void)bb_event_log_flush();
    write_line(BB_EVENT_FAILURE, "a");
}

/* Guards against: a caller's ID that injects JSON members or lines into the
 * log. */
static void
test_hostile_id(void)
{
    int ends[2];
    GString *all;

    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    wakes = 0;
    bb_event_log_start(ends[1], "h", on_wake, NULL);
    write_line(BB_EVENT_FAILURE, "a\"},\n{\"b");
    CU_ASSERT_EQUAL(wakes, 1);
    (void)bb_event_log_flush();
    all = read_all(ends[0]);
    CU_ASSERT_PTR_NOT_NULL(strstr(all->str, "\"id\":\"a?},?{?b\""));
    g_string_free(all, TRUE);
    (void)close(ends[0]);
    (void)close(ends[1]);
}

BB_HISTOGRAM(tested, "baobab_test_seconds", "kind=\"x\"", "Of this test");

/* Guards against: buckets that are not cumulative, or a wrong count. */
static void
test_histogram(void)
{
    GString *text = g_string_new(NULL);

    bb_histogram_observe(&tested, 50);
    bb_histogram_observe(&tested, 340);
    bb_histogram_observe(&tested, 60 * BB_US_PER_S);
    bb_histograms_write(text);
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text->str,
               "baobab_test_seconds_bucket{kind=\"x\",le=\"0.0001\"} 1\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "kind=\"x\",le=\"5\"} 2\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(text->str, "kind=\"x\",le=\"+Inf\"} 3\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(text->str, "baobab_test_seconds_count{kind=\"x\"} 3\n"));
    g_string_free(text, TRUE);
}

static const struct bb_unit_test tests[] = {
    {"stalled reader", test_stalled_reader},
    {"reserve for failures", test_reserve_for_failures},
    {"invalid descriptor", test_invalid_descriptor},
    {"hostile id", test_hostile_id},
    {"histogram", test_histogram},
};

BB_UNIT_MAIN("event_log", tests)
