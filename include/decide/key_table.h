/* Table of the keys by which callers identify themselves. Keys are found by a
 * keyed 128-bit hash and compared in constant time, so that neither the time
 * of a lookup nor chosen keys that collide tell anything about the keys held.
 *
 * The table refers to the texts of the keys and to their owners: both must
 * outlive it. It may be read by several threads once it is filled. */
#ifndef BB_DECIDE_KEY_TABLE_H
#define BB_DECIDE_KEY_TABLE_H

#include <stddef.h>
#include <stdint.h>

/* Size of the secret of the hash, which must be random and the same for all
 * calls with one table. */
enum { BB_KEY_TABLE_SECRET_BYTES = 192 };

struct bb_key_table;

struct bb_key_table *
bb_key_table_create(uint32_t keys_max,
                    const uint8_t secret[BB_KEY_TABLE_SECRET_BYTES]);
void bb_key_table_add(struct bb_key_table *t, const char *key,
                      const void *owner);
const void *bb_key_table_find(const struct bb_key_table *t, const char *key,
                              size_t key_bytes);
void bb_key_table_destroy(struct bb_key_table *t);

#endif
