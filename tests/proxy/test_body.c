/* The ring buffer between two threads: byte order, bounds, and how each side
 * learns that the other has given up. */
#include <glib.h>
#include <pthread.h>
#include <string.h>

#include "common/clock.h"
#include "proxy/body.h"
#include "unit.h"

enum {
    TOTAL_BYTES = 5 * 1024 * 1024,
    WRITE_BLOCK_BYTES = 7001,
    READ_BLOCK_BYTES = 4999,
    TIMEOUT_MS = 3000,
    SHORT_TIMEOUT_MS = 10
};

static uint8_t
expected_byte(size_t position)
{
    return (uint8_t)(position * 31 >> 3);
}

static void *
write_all(void *argument)
{
    struct bb_body *b = argument;
    uint8_t block[WRITE_BLOCK_BYTES];

    for (uint32_t at = 0; at < TOTAL_BYTES;) {
        size_t size = MIN(sizeof(block), (size_t)(TOTAL_BYTES - at));

        for (size_t i = 0; i < size; i++) {
            block[i] = expected_byte(at + i);
        }
        if (bb_body_write(b, block, size, TIMEOUT_MS) != BB_BODY_WRITTEN) {
            return b;
        }
        at += (uint32_t)size;
    }
    bb_body_finish(b);
    return NULL;
}

/* Guards against bytes lost or duplicated when the buffer wraps around. */
static void
test_bytes_keep_their_order(void)
{
    struct bb_body *b = bb_body_create();
    uint8_t block[READ_BLOCK_BYTES];
    uint32_t at = 0;
    uint32_t wrong = 0;
    void *result = b;
    pthread_t writer;
    ssize_t n;

    CU_ASSERT_EQUAL_FATAL(pthread_create(&writer, NULL, write_all, b), 0);
    while ((n = bb_body_read(b, block, sizeof(block), TIMEOUT_MS)) > 0) {
        for (ssize_t i = 0; i < n; i++, at++) {
            wrong += block[i] != expected_byte(at);
        }
    }
    CU_ASSERT_EQUAL(n, 0);
    CU_ASSERT_EQUAL(at, TOTAL_BYTES);
    CU_ASSERT_EQUAL(wrong, 0);
    (void)pthread_join(writer, &result);
    CU_ASSERT_PTR_NULL(result);
    bb_body_unref(b);
}

/* Guards against a writer that waits forever for a reader that has stalled or
 * given up. */
static void
test_writer_does_not_wait_forever(void)
{
    struct bb_body *b = bb_body_create();
    uint8_t *data = g_malloc0(BB_BODY_CAPACITY_BYTES + 1);

    CU_ASSERT_EQUAL(
        bb_body_write(b, data, BB_BODY_CAPACITY_BYTES, SHORT_TIMEOUT_MS),
        BB_BODY_WRITTEN);
    CU_ASSERT_EQUAL(bb_body_write(b, data, 1, SHORT_TIMEOUT_MS),
                    BB_BODY_WRITE_TIMEOUT);
    bb_body_abandon(b);
    CU_ASSERT_EQUAL(bb_body_write(b, data, 1, SHORT_TIMEOUT_MS),
                    BB_BODY_ABANDONED);
    g_free(data);
    bb_body_unref(b);
}

/* Guards against a broken body that looks complete to its reader. */
static void
test_broken_body_is_not_complete(void)
{
    struct bb_body *b = bb_body_create();
    char data[8];

    CU_ASSERT_EQUAL(bb_body_read(b, data, sizeof(data), SHORT_TIMEOUT_MS),
                    BB_BODY_TIMEOUT);
    CU_ASSERT_EQUAL(bb_body_write(b, "abc", 3, SHORT_TIMEOUT_MS),
                    BB_BODY_WRITTEN);
    bb_body_break(b);
    bb_body_finish(b);
    CU_ASSERT_EQUAL(bb_body_read(b, data, sizeof(data), SHORT_TIMEOUT_MS), 3);
    CU_ASSERT_EQUAL(bb_body_read(b, data, sizeof(data), SHORT_TIMEOUT_MS),
                    BB_BODY_BROKEN);
    bb_body_unref(b);
}

/* Guards against a retry whose body differs from that of the first attempt. */
static void
test_complete_body_can_be_read_again(void)
{
    struct bb_body *b = bb_body_create();
    char data[8] = {0};
    size_t size = 0;

    CU_ASSERT_EQUAL(bb_body_write(b, "abcdef", 6, SHORT_TIMEOUT_MS),
                    BB_BODY_WRITTEN);
    CU_ASSERT_EQUAL(bb_body_read_at(b, 0, data, 4), BB_BODY_BROKEN);
    bb_body_finish(b);
    for (int i = 0; i < 2; i++) {
        CU_ASSERT_EQUAL(bb_body_read_at(b, 0, data, 4), 4);
        CU_ASSERT_EQUAL(memcmp(data, "abcd", 4), 0);
        CU_ASSERT_EQUAL(bb_body_read_at(b, 4, data, 4), 2);
        CU_ASSERT_EQUAL(bb_body_read_at(b, 6, data, 4), 0);
    }
    CU_ASSERT_TRUE(bb_body_is_complete(b, &size));
    CU_ASSERT_EQUAL(size, 6);
    bb_body_unref(b);
}

static const struct bb_unit_test tests[] = {
    {"bytes keep their order", test_bytes_keep_their_order},
    {"a writer does not wait forever", test_writer_does_not_wait_forever},
    {"a broken body is not complete", test_broken_body_is_not_complete},
    {"a complete body can be read again",
     test_complete_body_can_be_read_again},
};

BB_UNIT_MAIN("body", tests)
