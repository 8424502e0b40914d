#include "decide/id_table.h"

#include <glib.h>
#include <string.h>

#include "common/digest.h"

enum {
    /* Probe sequences stay short up to this share of used slots. */
    MAX_FILL_NUMERATOR = 3,
    MAX_FILL_DENOMINATOR = 4,
    SWEEP_SLOTS = 16,
    FULL_SWEEP_INTERVAL_US = 100000
};

/* Returns the request id of an idempotency key: a hash of service and key, so
 * that equal keys of two services have different ids. */
struct bb_request_id
bb_request_id_from_key(const char *service, const char *key)
{
    struct bb_request_id id;
    struct bb_digest d;
    char *text = g_strdup_printf("%s\n%s", service, key);

    d = bb_digest_compute(text, strlen(text));
    memcpy(id.bytes, d.bytes, sizeof(id.bytes));
    g_free(text);
    return id;
}

/* Returns an id made of the caller's 128 random bits. */
struct bb_request_id
bb_request_id_from_bits(uint64_t high_bits, uint64_t low_bits)
{
    struct bb_request_id id;

    memcpy(id.bytes, &high_bits, sizeof(high_bits));
    memcpy(id.bytes + sizeof(high_bits), &low_bits, sizeof(low_bits));
    return id;
}

/* Returns whether two ids are equal. */
bool
bb_request_id_equal(const struct bb_request_id *a,
                    const struct bb_request_id *b)
{
    return memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0;
}

/* Returns slot i. Slots are slot_bytes apart, the size of the entry type. */
static struct bb_id_slot *
slot_at(const struct bb_id_table *t, uint32_t i)
{
    return (struct bb_id_slot *)((char *)t->slots + i * t->slot_bytes);
}

/* Returns the index of the slot where the search for an id begins. */
static uint32_t
home_slot(const struct bb_id_table *t, const struct bb_request_id *id)
{
    return (uint32_t)bb_hash64(id->bytes, sizeof(id->bytes), 0) &
           (t->slot_count - 1);
}

/* Returns whether the expiry time of a slot has come; never for
 * BB_KEEP_FOREVER. */
static bool
is_expired(const struct bb_id_slot *s, uint64_t now_us)
{
    return s->keep_until_us != BB_KEEP_FOREVER && now_us >= s->keep_until_us;
}

/* Initialises an empty table over memory for slot_count entries of slot_bytes
 * each, and clears that memory. slot_count must be a power of two; at most
 * three quarters of the slots are used. */
void
bb_id_table_init(struct bb_id_table *t, void *slots, size_t slot_bytes,
                 uint32_t slot_count)
{
    *t = (struct bb_id_table){
        .slots = slots,
        .slot_bytes = slot_bytes,
        .slot_count = slot_count,
        .used_max = (uint32_t)((uint64_t)slot_count * MAX_FILL_NUMERATOR /
                               MAX_FILL_DENOMINATOR),
    };
    memset(slots, 0, slot_bytes * slot_count);
}

/* Returns the entry of an id, or NULL if there is none or it has expired at
 * now_us. The entry is valid until the next bb_id_table_remove, which moves
 * entries. */
void *
bb_id_table_find(const struct bb_id_table *t, const struct bb_request_id *id,
                 uint64_t now_us)
{
    uint32_t i = home_slot(t, id);

    while (slot_at(t, i)->is_used) {
        struct bb_id_slot *s = slot_at(t, i);

        if (bb_request_id_equal(&s->id, id)) {
            return is_expired(s, now_us) ? NULL : s;
        }
        i = (i + 1) & (t->slot_count - 1);
    }
    return NULL;
}

/* Removes an entry and moves later ones of the probe sequence up to close the
 * gap, which invalidates pointers to entries. */
void
bb_id_table_remove(struct bb_id_table *t, void *slot)
{
    uint32_t mask = t->slot_count - 1;
    uint32_t gap =
        (uint32_t)(((char *)slot - (char *)t->slots) / (long)t->slot_bytes);
    uint32_t i = (gap + 1) & mask;

    while (slot_at(t, i)->is_used) {
        uint32_t home = home_slot(t, &slot_at(t, i)->id);

        if (((i - home) & mask) >= ((i - gap) & mask)) {
            memcpy(slot_at(t, gap), slot_at(t, i), t->slot_bytes);
            gap = i;
        }
        i = (i + 1) & mask;
    }
    memset(slot_at(t, gap), 0, t->slot_bytes);
    t->used_count--;
}

/* Returns an expired entry, or NULL if the next SWEEP_SLOTS slots hold none.
 * If the table is full, searches all slots, at most every
 * FULL_SWEEP_INTERVAL_US. The caller releases what the entry refers to and
 * removes it. */
void *
bb_id_table_find_expired(struct bb_id_table *t, uint64_t now_us)
{
    uint32_t steps = SWEEP_SLOTS;

    if (t->used_count >= t->used_max &&
        now_us >= t->last_full_sweep_us + FULL_SWEEP_INTERVAL_US) {
        steps = t->slot_count;
    }
    for (uint32_t n = 0; n < steps && n < t->slot_count; n++) {
        struct bb_id_slot *s = slot_at(t, t->sweep_position);

        if (s->is_used && is_expired(s, now_us)) {
            return s;
        }
        t->sweep_position = (t->sweep_position + 1) & (t->slot_count - 1);
    }
    if (steps == t->slot_count) {
        t->last_full_sweep_us = now_us;
    }
    return NULL;
}

/* Adds an entry for an id that has no entry, or only an expired one, which is
 * overwritten. The caller sets the expiry time and what follows the slot; both
 * are zero. The entry is valid until the next bb_id_table_remove, which moves
 * entries. Returns NULL if the table is full: entries are never displaced.
 * now_us is unused. */
void *
bb_id_table_insert(struct bb_id_table *t, const struct bb_request_id *id,
                   uint64_t now_us)
{
    uint32_t i = home_slot(t, id);
    struct bb_id_slot *s = slot_at(t, i);

    (void)now_us;
    while (s->is_used && !bb_request_id_equal(&s->id, id)) {
        i = (i + 1) & (t->slot_count - 1);
        s = slot_at(t, i);
    }
    if (!s->is_used && t->used_count >= t->used_max) {
        return NULL;
    }
    if (!s->is_used) {
        t->used_count++;
    }
    memset(s, 0, t->slot_bytes);
    s->id = *id;
    s->is_used = true;
    return s;
}
