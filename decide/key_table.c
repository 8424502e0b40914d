#include "decide/key_table.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

/* Slots for each key, at least: with half of them free, a lookup reads about
 * two. */
enum { SLOTS_PER_KEY = 2, SLOTS_MIN = 4 };

struct slot {
    XXH128_hash_t hash;
    const char *key;
    size_t key_bytes;
    const void *owner; /* NULL: the slot is free */
};

struct bb_key_table {
    uint8_t secret[BB_KEY_TABLE_SECRET_BYTES];
    struct slot *slots;
    uint32_t mask; /* number of slots less 1; the number is a power of two */
    uint32_t free_slots;
};

/* Creates a table for up to keys_max keys. The secret is copied. */
struct bb_key_table *
bb_key_table_create(uint32_t keys_max,
                    const uint8_t secret[BB_KEY_TABLE_SECRET_BYTES])
{
    struct bb_key_table *t = g_new0(struct bb_key_table, 1);
    uint32_t slots = SLOTS_MIN;

    while (slots / SLOTS_PER_KEY < keys_max && slots <= UINT32_MAX / 2) {
        slots *= 2;
    }
    memcpy(t->secret, secret, sizeof(t->secret));
    t->slots = g_new0(struct slot, slots);
    t->mask = slots - 1;
    t->free_slots = slots - 1; /* one stays free and ends each search */
    return t;
}

/* Returns the hash of a key. */
static XXH128_hash_t
hash_key(const struct bb_key_table *t, const char *key, size_t key_bytes)
{
    return XXH3_128bits_withSecret(key, key_bytes, t->secret,
                                   sizeof(t->secret));
}

/* Adds a key with its owner, which is not NULL. A key beyond the number that
 * the table was created for is ignored once no slot is free. */
void
bb_key_table_add(struct bb_key_table *t, const char *key, const void *owner)
{
    size_t key_bytes = strlen(key);
    XXH128_hash_t hash = hash_key(t, key, key_bytes);
    uint32_t at = (uint32_t)hash.low64 & t->mask;

    if (t->free_slots == 0) {
        return;
    }
    while (t->slots[at].owner != NULL) {
        at = (at + 1) & t->mask;
    }
    t->free_slots--;
    t->slots[at] = (struct slot){
        .hash = hash, .key = key, .key_bytes = key_bytes, .owner = owner};
}

/* Returns whether two keys of the same length are equal. The time depends only
 * on the length. */
static bool
is_same_key(const char *a, const char *b, size_t size_bytes)
{
    volatile unsigned char difference = 0;

    for (size_t i = 0; i < size_bytes; i++) {
        difference |= (unsigned char)(a[i] ^ b[i]);
    }
    return difference == 0;
}

/* Returns the owner of a key, or NULL if the table does not hold it. The hash
 * finds the candidates; only a comparison of the whole key decides. */
const void *
bb_key_table_find(const struct bb_key_table *t, const char *key,
                  size_t key_bytes)
{
    XXH128_hash_t hash = hash_key(t, key, key_bytes);
    uint32_t at = (uint32_t)hash.low64 & t->mask;
    const void *owner = NULL;

    for (; t->slots[at].owner != NULL; at = (at + 1) & t->mask) {
        const struct slot *s = &t->slots[at];
        uint64_t difference = (s->hash.low64 ^ hash.low64) |
                              (s->hash.high64 ^ hash.high64) |
                              (s->key_bytes ^ key_bytes);

        if (difference == 0 && is_same_key(s->key, key, key_bytes)) {
            owner = s->owner;
        }
    }
    return owner;
}

/* Frees the table. NULL is allowed. */
void
bb_key_table_destroy(struct bb_key_table *t)
{
    if (t != NULL) {
        g_free(t->slots);
        g_free(t);
    }
}
