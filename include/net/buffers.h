/* Account of the bytes that this process holds for its peers: responses that
 * wait for earlier ones, and whatever waits for a socket. While it is full,
 * responses are read on only as their callers take them; while it is
 * exhausted, new requests are refused. For processes with one event loop. */
#ifndef BB_NET_BUFFERS_H
#define BB_NET_BUFFERS_H

#include <stdbool.h>
#include <stddef.h>

enum {
    BB_BUFFERS_FULL_BYTES = 24 * 1024 * 1024,
    BB_BUFFERS_EXHAUSTED_BYTES = 36 * 1024 * 1024
};

void bb_buffers_add(size_t size_bytes);
void bb_buffers_remove(size_t size_bytes);
bool bb_buffers_are_full(void);
bool bb_buffers_are_exhausted(void);

#endif
