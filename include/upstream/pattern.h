/* Deterministic bodies of requests and responses: a receiver that knows the
 * seed can verify each byte by its position. */
#ifndef BB_UPSTREAM_PATTERN_H
#define BB_UPSTREAM_PATTERN_H

#include <stddef.h>
#include <stdint.h>
#include <string.h>

enum {
    BB_PATTERN_WORD_BYTES = 8,
    /* Buffer for the digest of a body as 16 hexadecimal digits. */
    BB_BODY_DIGEST_TEXT_BYTES = 20
};

/* Returns 8 bytes of the body: splitmix64 of their index and the seed. */
static inline uint64_t
bb_pattern_word(uint64_t seed, uint64_t index)
{
    uint64_t z = seed + (index + 1) * 0x9e3779b97f4a7c15ULL;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

/* Writes size_bytes bytes of the body, starting at position. */
static inline void
bb_pattern_fill(uint64_t seed, uint64_t position, uint8_t *out,
                size_t size_bytes)
{
    while (size_bytes > 0) {
        uint64_t word =
            bb_pattern_word(seed, position / BB_PATTERN_WORD_BYTES);
        size_t skip = position % BB_PATTERN_WORD_BYTES;
        size_t count = BB_PATTERN_WORD_BYTES - skip;

        count = count < size_bytes ? count : size_bytes;
        memcpy(out, (const uint8_t *)&word + skip, count);
        out += count;
        position += count;
        size_bytes -= count;
    }
}

#endif
