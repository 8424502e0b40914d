/* Fixed-size hash table with linear probing. Entries are found by a 128-bit
 * request id and have an expiry time. The caller provides and frees the
 * memory; an entry type begins with struct bb_id_slot. Used by record and
 * claim. */
#ifndef BB_DECIDE_ID_TABLE_H
#define BB_DECIDE_ID_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { BB_REQUEST_ID_BYTES = 16, BB_KEEP_FOREVER = 0 };

struct bb_request_id {
    uint8_t bytes[BB_REQUEST_ID_BYTES];
};

struct bb_id_slot {
    struct bb_request_id id;
    uint64_t keep_until_us; /* expiry time; BB_KEEP_FOREVER: never */
    bool is_used;
};

struct bb_id_table {
    void *slots;
    size_t slot_bytes;   /* size of the entry type */
    uint32_t slot_count; /* a power of two */
    uint32_t used_count;
    uint32_t used_max;           /* three quarters of the slots */
    uint32_t sweep_position;     /* next slot to be searched for expiry */
    uint64_t last_full_sweep_us; /* last search of all slots */
};

struct bb_request_id bb_request_id_from_key(const char *service,
                                            const char *key);
struct bb_request_id bb_request_id_from_bits(uint64_t high_bits,
                                             uint64_t low_bits);
bool bb_request_id_equal(const struct bb_request_id *a,
                         const struct bb_request_id *b);

void bb_id_table_init(struct bb_id_table *t, void *slots, size_t slot_bytes,
                      uint32_t slot_count);
void *bb_id_table_find(const struct bb_id_table *t,
                       const struct bb_request_id *id, uint64_t now_us);
void *bb_id_table_insert(struct bb_id_table *t, const struct bb_request_id *id,
                         uint64_t now_us);
void *bb_id_table_find_expired(struct bb_id_table *t, uint64_t now_us);
void bb_id_table_remove(struct bb_id_table *t, void *slot);

#endif
