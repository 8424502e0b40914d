#include "proxy/body.h"

#include <errno.h>
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>

#include "common/clock.h"

/* The buffer starts small, so that small bodies use little memory, and doubles
 * up to its capacity. */
enum { INITIAL_CAPACITY_BYTES = 4096 };

enum body_end_state { BODY_OPEN, BODY_COMPLETE, BODY_BROKEN };

struct bb_body {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    atomic_uint reference_count;
    uint8_t *data;
    size_t capacity_bytes;
    uint64_t written_bytes; /* since the start of the body */
    uint64_t read_bytes;
    enum body_end_state end_state;
    bool is_abandoned;
};

/* Creates an empty body with one reference. */
struct bb_body *
bb_body_create(void)
{
    struct bb_body *b = g_new0(struct bb_body, 1);
    pthread_condattr_t attributes;

    (void)pthread_mutex_init(&b->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&b->changed, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    atomic_init(&b->reference_count, 1);
    b->capacity_bytes = INITIAL_CAPACITY_BYTES;
    b->data = g_malloc(b->capacity_bytes);
    return b;
}

/* Adds a reference. NULL is allowed. */
struct bb_body *
bb_body_ref(struct bb_body *b)
{
    if (b != NULL) {
        (void)atomic_fetch_add(&b->reference_count, 1);
    }
    return b;
}

/* Drops a reference; the last one frees the body. NULL is allowed. */
void
bb_body_unref(struct bb_body *b)
{
    if (b == NULL || atomic_fetch_sub(&b->reference_count, 1) != 1) {
        return;
    }
    (void)pthread_cond_destroy(&b->changed);
    (void)pthread_mutex_destroy(&b->lock);
    g_free(b->data);
    g_free(b);
}

/* Doubles the buffer until wanted_bytes fit or it has its full capacity. Bytes
 * wrap around only at the full capacity, so growing keeps their positions. */
static void
grow(struct bb_body *b, size_t wanted_bytes)
{
    size_t capacity = b->capacity_bytes;

    while (capacity < BB_BODY_CAPACITY_BYTES &&
           b->written_bytes + wanted_bytes > capacity) {
        capacity *= 2;
    }
    if (capacity != b->capacity_bytes) {
        b->data = g_realloc(b->data, capacity);
        b->capacity_bytes = capacity;
    }
}

/* Copies as many bytes into the buffer as fit. Returns their number. */
static size_t
copy_in(struct bb_body *b, const uint8_t *data, size_t size_bytes)
{
    size_t free_bytes;
    size_t offset;
    size_t first;

    grow(b, size_bytes);
    free_bytes =
        b->capacity_bytes - (size_t)(b->written_bytes - b->read_bytes);
    size_bytes = MIN(size_bytes, free_bytes);
    offset = (size_t)(b->written_bytes % b->capacity_bytes);
    first = MIN(size_bytes, b->capacity_bytes - offset);
    memcpy(b->data + offset, data, first);
    memcpy(b->data, data + first, size_bytes - first);
    b->written_bytes += size_bytes;
    return size_bytes;
}

/* Waits for a change until deadline_us. Returns false on timeout. Called with
 * the lock held. */
static bool
wait_until(struct bb_body *b, uint64_t deadline_us)
{
    struct timespec deadline = bb_clock_to_timespec(deadline_us);

    return pthread_cond_timedwait(&b->changed, &b->lock, &deadline) !=
           ETIMEDOUT;
}

/* Appends bytes, waiting while the buffer is full. Returns BB_BODY_WRITTEN
 * once all bytes are in the buffer, BB_BODY_WRITE_TIMEOUT if the reader makes
 * no progress for timeout_ms, or BB_BODY_ABANDONED. In the last two cases some
 * of the bytes may have been written. */
enum bb_body_write_result
bb_body_write(struct bb_body *b, const void *data, size_t size_bytes,
              uint32_t timeout_ms)
{
    const uint8_t *next = data;
    uint64_t timeout_us = (uint64_t)timeout_ms * BB_US_PER_MS;
    uint64_t deadline_us = bb_clock_now_us() + timeout_us;
    enum bb_body_write_result result = BB_BODY_WRITTEN;

    (void)pthread_mutex_lock(&b->lock);
    while (size_bytes > 0 && result == BB_BODY_WRITTEN) {
        size_t count;

        if (b->is_abandoned) {
            result = BB_BODY_ABANDONED;
            break;
        }
        count = copy_in(b, next, size_bytes);
        if (count > 0) {
            next += count;
            size_bytes -= count;
            deadline_us = bb_clock_now_us() + timeout_us;
            (void)pthread_cond_broadcast(&b->changed);
        }
        else if (!wait_until(b, deadline_us)) {
            result = BB_BODY_WRITE_TIMEOUT;
        }
    }
    (void)pthread_mutex_unlock(&b->lock);
    return result;
}

/* Sets the end state unless it is set already. */
static void
set_end(struct bb_body *b, enum body_end_state end)
{
    (void)pthread_mutex_lock(&b->lock);
    if (b->end_state == BODY_OPEN) {
        b->end_state = end;
        (void)pthread_cond_broadcast(&b->changed);
    }
    (void)pthread_mutex_unlock(&b->lock);
}

/* Marks the body as complete. Called by the writer after the last byte. Does
 * nothing if the body is already complete or broken. */
void
bb_body_finish(struct bb_body *b)
{
    set_end(b, BODY_COMPLETE);
}

/* Marks the body as broken. Called by a writer that gives up: the reader gets
 * BB_BODY_BROKEN after the bytes written so far. Does nothing if the body is
 * already complete or broken. */
void
bb_body_break(struct bb_body *b)
{
    set_end(b, BODY_BROKEN);
}

/* Called by a reader that gives up: the writer gets BB_BODY_ABANDONED from now
 * on. */
void
bb_body_abandon(struct bb_body *b)
{
    (void)pthread_mutex_lock(&b->lock);
    b->is_abandoned = true;
    (void)pthread_cond_broadcast(&b->changed);
    (void)pthread_mutex_unlock(&b->lock);
}

/* Removes up to size_bytes bytes from the buffer. Returns their number. */
static size_t
copy_out(struct bb_body *b, uint8_t *data, size_t size_bytes)
{
    size_t offset = (size_t)(b->read_bytes % b->capacity_bytes);
    size_t first;

    size_bytes = MIN(size_bytes, (size_t)(b->written_bytes - b->read_bytes));
    first = MIN(size_bytes, b->capacity_bytes - offset);
    memcpy(data, b->data + offset, first);
    memcpy(data + first, b->data, size_bytes - first);
    b->read_bytes += size_bytes;
    return size_bytes;
}

/* Reads up to size_bytes bytes, waiting for at least one. Returns their
 * number, 0 at the end of a complete body, BB_BODY_BROKEN after the last byte
 * of a broken or abandoned one, and BB_BODY_TIMEOUT if the writer is idle for
 * timeout_ms. */
ssize_t
bb_body_read(struct bb_body *b, void *data, size_t size_bytes,
             uint32_t timeout_ms)
{
    uint64_t deadline_us =
        bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS;
    ssize_t result = 0;

    (void)pthread_mutex_lock(&b->lock);
    for (;;) {
        result = (ssize_t)copy_out(b, data, size_bytes);
        if (result > 0) {
            (void)pthread_cond_broadcast(&b->changed);
            break;
        }
        if (b->end_state != BODY_OPEN) {
            result = b->end_state == BODY_COMPLETE ? 0 : BB_BODY_BROKEN;
            break;
        }
        if (b->is_abandoned) {
            result = BB_BODY_BROKEN;
            break;
        }
        if (!wait_until(b, deadline_us)) {
            result = BB_BODY_TIMEOUT;
            break;
        }
    }
    (void)pthread_mutex_unlock(&b->lock);
    return result;
}

/* Copies bytes of a complete body from a position on, without consuming them,
 * so that several attempts can send the body. Returns their number, 0 at the
 * end, and BB_BODY_BROKEN if the body is incomplete, partly read or larger
 * than the buffer. */
ssize_t
bb_body_read_at(struct bb_body *b, uint64_t position, void *data,
                size_t size_bytes)
{
    ssize_t result = BB_BODY_BROKEN;

    (void)pthread_mutex_lock(&b->lock);
    if (b->end_state == BODY_COMPLETE && b->read_bytes == 0 &&
        b->written_bytes <= b->capacity_bytes &&
        position <= b->written_bytes) {
        size_bytes = MIN(size_bytes, (size_t)(b->written_bytes - position));
        memcpy(data, b->data + position, size_bytes);
        result = (ssize_t)size_bytes;
    }
    (void)pthread_mutex_unlock(&b->lock);
    return result;
}

/* Returns whether the body is complete and none of it has been read. Sets
 * *size_bytes to the number of bytes written. */
bool
bb_body_is_complete(struct bb_body *b, size_t *size_bytes)
{
    bool is_complete;

    (void)pthread_mutex_lock(&b->lock);
    is_complete = b->end_state == BODY_COMPLETE && b->read_bytes == 0;
    *size_bytes = (size_t)b->written_bytes;
    (void)pthread_mutex_unlock(&b->lock);
    return is_complete;
}
