/* Table of instance records by the address of their gate. */
#include "fleet/instances.h"

#include <string.h>

#include "common/digest.h"

struct bb_instance_table {
    GHashTable *by_gate;
    uint64_t digest;
};

/* Copies a record with its texts; freed by bb_instance_destroy. */
fleet_instance *
bb_instance_copy(const fleet_instance *i)
{
    fleet_instance *c = g_new(fleet_instance, 1);

    *c = *i;
    c->gate_address = g_strdup(i->gate_address);
    c->zone = g_strdup(i->zone);
    c->region = g_strdup(i->region);
    c->service = g_strdup(i->service);
    c->id = g_strdup(i->id);
    c->software_version.software_version_val =
        g_memdup2(i->software_version.software_version_val,
                  i->software_version.software_version_len);
    return c;
}

/* Frees a record made by bb_instance_copy; NULL is allowed. */
void
bb_instance_destroy(fleet_instance *i)
{
    if (i != NULL) {
        g_free(i->gate_address);
        g_free(i->zone);
        g_free(i->region);
        g_free(i->service);
        g_free(i->id);
        g_free(i->software_version.software_version_val);
        g_free(i);
    }
}

static void
destroy_record(void *data)
{
    bb_instance_destroy(data);
}

/* Creates an empty table. */
struct bb_instance_table *
bb_instance_table_create(void)
{
    struct bb_instance_table *t = g_new0(struct bb_instance_table, 1);

    t->by_gate =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, destroy_record);
    return t;
}

/* Frees the table and its records. NULL is allowed. */
void
bb_instance_table_destroy(struct bb_instance_table *t)
{
    if (t != NULL) {
        g_hash_table_destroy(t->by_gate);
        g_free(t);
    }
}

/* Returns whether a record is newer than one with this incarnation and
 * sequence. */
bool
bb_instance_is_newer(const fleet_instance *i, uint64_t incarnation,
                     uint64_t sequence)
{
    return i->incarnation > incarnation ||
           (i->incarnation == incarnation && i->sequence > sequence);
}

/* Returns the hash of a record's gate and numbers. */
static uint64_t
hash_record(const fleet_instance *i)
{
    uint64_t hash = bb_hash64(i->gate_address, strlen(i->gate_address), 0);

    hash = bb_hash64(&i->incarnation, sizeof(i->incarnation), hash);
    return bb_hash64(&i->sequence, sizeof(i->sequence), hash);
}

/* Stores a copy of a record unless the table has the same or a newer one of
 * its gate. Returns whether the table changed. */
bool
bb_instance_table_merge(struct bb_instance_table *t, const fleet_instance *i)
{
    const fleet_instance *old =
        g_hash_table_lookup(t->by_gate, i->gate_address);
    fleet_instance *copy;

    if (old != NULL &&
        !bb_instance_is_newer(i, old->incarnation, old->sequence)) {
        return false;
    }
    t->digest ^= hash_record(i) ^ (old != NULL ? hash_record(old) : 0);
    copy = bb_instance_copy(i);
    g_hash_table_replace(t->by_gate, copy->gate_address, copy);
    return true;
}

/* Returns the record of a gate, or NULL. It is valid until the table changes.
 */
const fleet_instance *
bb_instance_table_find(const struct bb_instance_table *t,
                       const char *gate_address)
{
    return g_hash_table_lookup(t->by_gate, gate_address);
}

/* Returns a digest that is the same for two tables if they hold the same
 * records, in any order. */
uint64_t
bb_instance_table_digest(const struct bb_instance_table *t)
{
    return t->digest;
}

/* Returns the number of records. */
uint32_t
bb_instance_table_count(const struct bb_instance_table *t)
{
    return g_hash_table_size(t->by_gate);
}

/* Calls `visit` for each record, in no particular order. */
void
bb_instance_table_foreach(const struct bb_instance_table *t,
                          bb_instance_visitor visit, void *context)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, t->by_gate);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        visit(context, value);
    }
}

/* Returns whether an upstream has this version of its software; empty: it
 * states none. */
bool
bb_instance_has_version(const fleet_instance *i, const char *version)
{
    u_int length = i->software_version.software_version_len;

    return length == strlen(version) &&
           (length == 0 || memcmp(i->software_version.software_version_val,
                                  version, length) == 0);
}

/* Returns the version of an upstream's software as a text, to be freed with
 * g_free; empty if it states none. */
char *
bb_instance_copy_version(const fleet_instance *i)
{
    return i->software_version.software_version_len == 0
               ? g_strdup("")
               : g_strndup(i->software_version.software_version_val,
                           i->software_version.software_version_len);
}

/* Returns the name of a state for status and logs. */
const char *
bb_instance_state_name(uint32_t state)
{
    static const char *const names[] = {"none", "ready", "draining", "down",
                                        "gone"};

    return state < G_N_ELEMENTS(names) ? names[state] : "unknown";
}
