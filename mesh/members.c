/* Merging, queries and expiry of the endpoint table. */
#include "mesh/members.h"

#include <string.h>

#include "common/counters.h"
#include "members_internal.h"

enum {
    /* A change is carried by this many datagrams for each doubling of the
     * zone's size, which reaches every member with a wide margin. */
    SENDS_PER_DOUBLING = 4
};

BB_COUNTER(changes_total, "baobab_members_changes_total",
           "Records that changed the endpoint table");
BB_COUNTER(refused_total, "baobab_members_refused_total",
           "Records refused because the endpoint table is full");

/* Creates an empty table. */
struct bb_members *
bb_members_create(void)
{
    struct bb_members *m = g_new0(struct bb_members, 1);

    (void)pthread_mutex_init(&m->lock, NULL);
    m->entry_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    m->memory_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return m;
}

/* Frees a table; NULL is allowed. */
void
bb_members_destroy(struct bb_members *m)
{
    if (m == NULL) {
        return;
    }
    g_hash_table_destroy(m->entry_by_host);
    g_hash_table_destroy(m->memory_by_host);
    (void)pthread_mutex_destroy(&m->lock);
    g_free(m);
}

/* Orders two numbers. */
static int
compare_u64(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

/* Orders two endpoints. */
static int
compare_address(const struct bb_address *a, const struct bb_address *b)
{
    int order = strcmp(a->ip, b->ip);

    return order != 0 ? order : compare_u64(a->port, b->port);
}

/* Orders two records of one host by what they describe. An owner never sends
 * two contents with one sequence number; this order only keeps the merge
 * commutative if that happens. */
static int
compare_content(const struct bb_member *a, const struct bb_member *b)
{
    const int orders[] = {
        strcmp(a->zone, b->zone),
        strcmp(a->region, b->region),
        compare_u64(a->role, b->role),
        compare_address(&a->http, &b->http),
        compare_address(&a->rpc, &b->rpc),
        compare_address(&a->gossip, &b->gossip),
        strcmp(a->service, b->service),
        compare_u64(a->upstream_state, b->upstream_state),
        compare_u64(a->slots, b->slots),
        compare_u64(a->connections, b->connections),
    };

    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        if (orders[i] != 0) {
            return orders[i];
        }
    }
    return 0;
}

/* Orders two records of one host: the higher replaces the lower. The held and
 * applied revisions take no part; they are merged as maxima. */
int
bb_member_compare(const struct bb_member *a, const struct bb_member *b)
{
    int order = compare_u64(a->incarnation, b->incarnation);

    if (order == 0) {
        order = compare_u64(a->sequence, b->sequence);
    }
    if (order == 0) {
        order = compare_u64(a->state, b->state);
    }
    return order != 0 ? order : compare_content(a, b);
}

/* Finds or creates the memory of a host; NULL if there are too many. */
static struct memory *
find_memory(struct bb_members *m, const char *host)
{
    struct memory *memory = g_hash_table_lookup(m->memory_by_host, host);

    if (memory == NULL &&
        g_hash_table_size(m->memory_by_host) < BB_REMEMBERED_MAX) {
        memory = g_new0(struct memory, 1);
        g_hash_table_insert(m->memory_by_host, g_strdup(host), memory);
    }
    return memory;
}

/* Raises the remembered revision of a host. */
static void
raise_held(struct bb_members *m, const char *host, uint64_t revision)
{
    struct memory *memory = find_memory(m, host);

    if (memory != NULL && memory->held_revision < revision) {
        memory->held_revision = revision;
    }
}

/* Notes a change of an entry. A suspicion is a matter of its zone and changes
 * no route. */
static void
mark_changed(struct bb_members *m, struct entry *entry, bool is_routing)
{
    uint32_t size = g_hash_table_size(m->entry_by_host);

    m->version++;
    entry->version = m->version;
    if (is_routing) {
        m->routing_version = m->version;
        entry->routing_version = m->version;
    }
    entry->sends_left = SENDS_PER_DOUBLING * (g_bit_storage(size) + 1);
    bb_counter_add(&changes_total, 1);
}

/* Tells whether a record is one that the table has already removed. */
static bool
is_removed(struct bb_members *m, const struct bb_member *r)
{
    const struct memory *memory =
        g_hash_table_lookup(m->memory_by_host, r->host);

    return memory != NULL && memory->is_removed &&
           (r->incarnation < memory->incarnation ||
            (r->incarnation == memory->incarnation &&
             r->sequence <= memory->sequence));
}

/* Adds an entry for a host that has none. */
static bool
insert(struct bb_members *m, const struct bb_member *r,
       enum bb_member_origin origin, uint64_t now_us)
{
    const struct memory *memory;
    struct entry *entry;

    if (is_removed(m, r)) {
        return false;
    }
    if (g_hash_table_size(m->entry_by_host) >= BB_MEMBERS_MAX) {
        bb_counter_add(&refused_total, 1);
        return false;
    }
    entry = g_new0(struct entry, 1);
    entry->record = *r;
    entry->record.is_reachable = true;
    entry->origin = origin;
    entry->dead_since_us = is_live(r) ? 0 : now_us;
    memory = find_memory(m, r->host);
    if (memory != NULL) {
        entry->record.held_revision = memory->held_revision;
    }
    g_hash_table_insert(m->entry_by_host, g_strdup(r->host), entry);
    mark_changed(m, entry, true);
    return true;
}

/* Returns the revision in force of the newer incarnation of two records. */
static uint64_t
merge_applied(const struct bb_member *a, const struct bb_member *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation ? a->applied_revision
                                               : b->applied_revision;
    }
    return MAX(a->applied_revision, b->applied_revision);
}

/* Merges a record into the entry of its host. */
static bool
replace(struct bb_members *m, struct entry *entry, const struct bb_member *r,
        enum bb_member_origin origin, uint64_t now_us)
{
    uint64_t held = MAX(entry->record.held_revision, r->held_revision);
    uint64_t applied = merge_applied(&entry->record, r);
    bool is_held_changed = held != entry->record.held_revision ||
                           applied != entry->record.applied_revision;
    bool is_newer = bb_member_compare(r, &entry->record) > 0;
    bool is_suspicion = is_newer && r->state == BB_MEMBER_SUSPECT &&
                        entry->record.state == BB_MEMBER_ALIVE &&
                        r->sequence == entry->record.sequence &&
                        r->incarnation == entry->record.incarnation;

    if (is_newer) {
        bool was_reachable = entry->record.is_reachable;

        entry->record = *r;
        entry->record.is_reachable = was_reachable;
        if (is_live(r)) {
            entry->dead_since_us = 0;
        }
        else if (entry->dead_since_us == 0) {
            entry->dead_since_us = now_us;
        }
    }
    entry->record.held_revision = held;
    entry->record.applied_revision = applied;
    if (!is_newer && !is_held_changed) {
        return false;
    }
    entry->origin = origin;
    mark_changed(m, entry, is_newer && !is_suspicion);
    return true;
}

/* Merges a record from the given origin. The outcome depends only on the set
 * of records merged, not on their order or number. Returns whether the table
 * changed. */
bool
bb_members_merge(struct bb_members *m, const struct bb_member *r,
                 enum bb_member_origin origin, uint64_t now_us)
{
    struct entry *entry;
    bool is_changed;

    (void)pthread_mutex_lock(&m->lock);
    raise_held(m, r->host, r->held_revision);
    entry = g_hash_table_lookup(m->entry_by_host, r->host);
    is_changed = entry == NULL ? insert(m, r, origin, now_us)
                               : replace(m, entry, r, origin, now_us);
    (void)pthread_mutex_unlock(&m->lock);
    return is_changed;
}

/* Copies the record of a host; false if there is none. */
bool
bb_members_get(struct bb_members *m, const char *host, struct bb_member *out)
{
    const struct entry *entry;

    (void)pthread_mutex_lock(&m->lock);
    entry = g_hash_table_lookup(m->entry_by_host, host);
    if (entry != NULL) {
        *out = entry->record;
    }
    (void)pthread_mutex_unlock(&m->lock);
    return entry != NULL;
}

/* Returns the number of the last change. */
uint64_t
bb_members_version(struct bb_members *m)
{
    uint64_t version;

    (void)pthread_mutex_lock(&m->lock);
    version = m->version;
    (void)pthread_mutex_unlock(&m->lock);
    return version;
}

/* Returns the number of the last change that can affect a route. */
uint64_t
bb_members_routing_version(struct bb_members *m)
{
    uint64_t version;

    (void)pthread_mutex_lock(&m->lock);
    version = m->routing_version;
    (void)pthread_mutex_unlock(&m->lock);
    return version;
}

/* Tells whether a query selects an entry. */
static bool
is_selected(const struct entry *entry, const struct bb_members_query *q)
{
    const struct bb_member *r = &entry->record;
    uint64_t version =
        q->only_routing ? entry->routing_version : entry->version;

    return version > q->since &&
           (q->zone == NULL || strcmp(q->zone, r->zone) == 0) &&
           (q->except_zone == NULL || strcmp(q->except_zone, r->zone) != 0) &&
           (q->region == NULL || strcmp(q->region, r->region) == 0) &&
           (q->origins == 0 || (q->origins & entry->origin) != 0) &&
           (q->zone_buckets == 0 ||
            (q->zone_buckets & 1U << bb_members_bucket(r->host)) != 0);
}

/* Orders list items by host. */
static int
compare_hosts(const void *a, const void *b)
{
    const struct bb_member *left = a;
    const struct bb_member *right = b;

    return strcmp(left->host, right->host);
}

/* Copies the selected records, sorted by host, and returns the version of the
 * table they were taken from. The caller clears the list. */
uint64_t
bb_members_select(struct bb_members *m, const struct bb_members_query *q,
                  struct bb_member_list *out)
{
    GHashTableIter i;
    gpointer value;
    uint64_t version;

    *out = (struct bb_member_list){0};
    (void)pthread_mutex_lock(&m->lock);
    version = m->version;
    if (version > q->since) {
        out->items =
            g_new(struct bb_member, g_hash_table_size(m->entry_by_host) + 1);
        g_hash_table_iter_init(&i, m->entry_by_host);
        while (g_hash_table_iter_next(&i, NULL, &value)) {
            const struct entry *entry = value;

            if (is_selected(entry, q)) {
                out->items[out->count++] = entry->record;
            }
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
    if (out->count > 1) {
        qsort(out->items, out->count, sizeof(*out->items), compare_hosts);
    }
    return version;
}

/* Frees the items of a list. */
void
bb_member_list_clear(struct bb_member_list *list)
{
    g_free(list->items);
    *list = (struct bb_member_list){0};
}

/* Removes entries that have been dead for the retention time and returns
 * their number. What the hosts held stays remembered. Entries of a zone that
 * is not reachable stay: nobody there can say that they are alive. */
size_t
bb_members_expire(struct bb_members *m, uint64_t now_us, uint64_t retention_us)
{
    GHashTableIter i;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;
        struct memory *memory;

        if (entry->dead_since_us == 0 || !entry->record.is_reachable ||
            now_us - entry->dead_since_us < retention_us) {
            continue;
        }
        memory = find_memory(m, entry->record.host);
        if (memory != NULL) {
            memory->is_removed = true;
            memory->incarnation = entry->record.incarnation;
            memory->sequence = entry->record.sequence;
        }
        g_hash_table_iter_remove(&i);
        count++;
    }
    if (count > 0) {
        m->version++;
        m->routing_version = m->version;
    }
    (void)pthread_mutex_unlock(&m->lock);
    return count;
}

/* Marks all entries of a zone as reachable or not. The marks are local and
 * change neither records nor digests. */
void
bb_members_set_zone_reachable(struct bb_members *m, const char *zone,
                              bool is_reachable)
{
    GHashTableIter i;
    gpointer value;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct entry *entry = value;

        if (strcmp(entry->record.zone, zone) == 0 &&
            entry->record.is_reachable != is_reachable) {
            entry->record.is_reachable = is_reachable;
            m->version++;
            m->routing_version = m->version;
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
}

/* Puts an entry into a list sorted by the number of sends left. */
static void
insert_by_sends(struct entry **picked, size_t *count, size_t max,
                struct entry *entry)
{
    size_t at = *count;

    if (at == max) {
        if (max == 0 || picked[max - 1]->sends_left >= entry->sends_left) {
            return;
        }
        at = max - 1;
    }
    else {
        (*count)++;
    }
    while (at > 0 && picked[at - 1]->sends_left < entry->sends_left) {
        picked[at] = picked[at - 1];
        at--;
    }
    picked[at] = entry;
}

/* Copies the records of a zone that most need to be gossiped, least spread
 * first, and counts one send for each. */
size_t
bb_members_pick_gossip(struct bb_members *m, const char *zone,
                       const char *except_host, struct bb_member *out,
                       size_t max)
{
    struct entry **picked = g_new(struct entry *, max + 1);
    GHashTableIter i;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        struct entry *entry = value;

        if (entry->sends_left > 0 && strcmp(entry->record.zone, zone) == 0 &&
            strcmp(entry->record.host, except_host) != 0) {
            insert_by_sends(picked, &count, max, entry);
        }
    }
    for (size_t n = 0; n < count; n++) {
        picked[n]->sends_left--;
        out[n] = picked[n]->record;
    }
    (void)pthread_mutex_unlock(&m->lock);
    g_free(picked);
    return count;
}

/* Finds a live member that has a revision in force, one of the given region
 * if there is one; false if none is known. */
bool
bb_members_find_holder(struct bb_members *m, uint64_t revision,
                       const char *region, struct bb_member *out)
{
    const struct bb_member *found = NULL;
    GHashTableIter i;
    gpointer value;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;
        const struct bb_member *r = &entry->record;

        if (r->applied_revision >= revision && r->state == BB_MEMBER_ALIVE &&
            (found == NULL || strcmp(r->region, region) == 0)) {
            found = r;
        }
    }
    if (found != NULL) {
        *out = *found;
    }
    (void)pthread_mutex_unlock(&m->lock);
    return found != NULL;
}

/* Finds the region of a zone; false if no member of the zone is known. */
bool
bb_members_zone_region(struct bb_members *m, const char *zone,
                       char region[BB_NAME_BYTES])
{
    GHashTableIter i;
    gpointer value;
    bool is_found = false;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (!is_found && g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;

        if (strcmp(entry->record.zone, zone) == 0) {
            (void)g_strlcpy(region, entry->record.region, BB_NAME_BYTES);
            is_found = true;
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
    return is_found;
}
