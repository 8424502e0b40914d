/* Account of the bytes that this process holds for its peers: bodies of
 * requests, responses that wait for earlier ones, and whatever waits for a
 * socket. While it is full, responses are read on only as their callers take
 * them; while it is exhausted, new requests are refused. For processes with
 * one event loop. */
#ifndef BB_NET_BUFFERS_H
#define BB_NET_BUFFERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BB_BUFFERS_DEFAULT_MIB 36
enum { BB_BUFFERS_MIN_MIB = 3, BB_BUFFERS_MAX_MIB = 4096 };

void bb_buffers_set_limit(uint64_t limit_mib);
void bb_buffers_add(size_t size_bytes);
void bb_buffers_remove(size_t size_bytes);
bool bb_buffers_are_full(void);
bool bb_buffers_are_exhausted(void);

#endif
