#include "common/digest.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Returns the SHA-256 digest of a block of memory. */
struct bb_digest
bb_digest_compute(const void *data, size_t size_bytes)
{
    struct bb_digest d = {0};
    gsize length = sizeof(d.bytes);
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

    g_checksum_update(sum, data, (gssize)size_bytes);
    g_checksum_get_digest(sum, d.bytes, &length);
    g_checksum_free(sum);
    return d;
}

/* Returns whether two digests are the same. */
bool
bb_digest_equal(const struct bb_digest *a, const struct bb_digest *b)
{
    return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

/* Returns whether a digest is all zero, which stands for "none". */
bool
bb_digest_is_zero(const struct bb_digest *d)
{
    static const struct bb_digest zero;

    return bb_digest_equal(d, &zero);
}

/* Formats a digest as lower-case hexadecimal into `text` and returns it. */
const char *
bb_digest_format(const struct bb_digest *d, char text[BB_DIGEST_TEXT_BYTES])
{
    for (size_t i = 0; i < BB_DIGEST_BYTES; i++) {
        (void)snprintf(text + 2 * i, 3, "%02x", d->bytes[i]);
    }
    return text;
}

/* Returns the XXH64 hash, which is the same on every host. Not for data that
 * an attacker chooses: collisions are easy to construct. */
uint64_t
bb_hash64(const void *data, size_t size_bytes, uint64_t seed)
{
    return XXH64(data, size_bytes, seed);
}
