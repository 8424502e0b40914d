/* SHA-256 digests, and fast 64-bit hashes that are not cryptographic. */
#ifndef BB_COMMON_DIGEST_H
#define BB_COMMON_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    BB_DIGEST_BYTES = 32,
    /* In hexadecimal, with the terminating zero byte. */
    BB_DIGEST_TEXT_BYTES = 2 * BB_DIGEST_BYTES + 1
};

struct bb_digest {
    uint8_t bytes[BB_DIGEST_BYTES];
};

struct bb_digest bb_digest_compute(const void *data, size_t size_bytes);
bool bb_digest_equal(const struct bb_digest *a, const struct bb_digest *b);
bool bb_digest_is_zero(const struct bb_digest *d);
const char *bb_digest_format(const struct bb_digest *d,
                             char text[BB_DIGEST_TEXT_BYTES]);
uint64_t bb_hash64(const void *data, size_t size_bytes, uint64_t seed);

#endif
