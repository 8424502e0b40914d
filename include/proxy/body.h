/* A bounded ring buffer that passes a message body between two threads, one
 * writer and one reader. Either side can give up, which the other side
 * notices.
 *
 * Lock order: the ring buffer's lock is a leaf. */
#ifndef BB_PROXY_BODY_H
#define BB_PROXY_BODY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
    BB_BODY_CAPACITY_BYTES = 256 * 1024,
    /* Results of bb_body_read and bb_body_read_at. */
    BB_BODY_BROKEN = -1, /* the rest of the body cannot be read */
    BB_BODY_TIMEOUT = -2 /* the writer was idle for the timeout */
};

enum bb_body_write_result {
    BB_BODY_WRITTEN,
    BB_BODY_WRITE_TIMEOUT,
    BB_BODY_ABANDONED /* the reader gave up */
};

struct bb_body;

struct bb_body *bb_body_create(void);
struct bb_body *bb_body_ref(struct bb_body *b);
void bb_body_unref(struct bb_body *b);
enum bb_body_write_result bb_body_write(struct bb_body *b, const void *data,
                                        size_t size_bytes,
                                        uint32_t timeout_ms);
void bb_body_finish(struct bb_body *b);
void bb_body_break(struct bb_body *b);
void bb_body_abandon(struct bb_body *b);
ssize_t bb_body_read(struct bb_body *b, void *data, size_t size_bytes,
                     uint32_t timeout_ms);
ssize_t bb_body_read_at(struct bb_body *b, uint64_t position, void *data,
                        size_t size_bytes);
bool bb_body_is_complete(struct bb_body *b, size_t *size_bytes);

#endif
