/* Merging into and expiry from the member table. */
#include "mesh/members.h"

#include <string.h>

#include "common/counters.h"
#include "members_internal.h"

enum {
    /* A changed record is included in this many datagrams for each doubling of
     * the table's size, which reaches every member with a wide margin. */
    GOSSIP_SENDS_PER_DOUBLING = 4
};

BB_COUNTER(changes_total, "baobab_members_changes_total",
           "Records that changed the endpoint table");
BB_COUNTER(refused_total, "baobab_members_refused_total",
           "Records refused because the endpoint table is full");

/* Creates an empty table. */
struct bb_member_table *
bb_member_table_create(void)
{
    struct bb_member_table *m = g_new0(struct bb_member_table, 1);

    (void)pthread_mutex_init(&m->lock, NULL);
    m->entry_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    m->retained_by_host =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return m;
}

/* Frees a table; NULL is allowed. */
void
bb_member_table_destroy(struct bb_member_table *m)
{
    if (m == NULL) {
        return;
    }
    g_hash_table_destroy(m->entry_by_host);
    g_hash_table_destroy(m->retained_by_host);
    (void)pthread_mutex_destroy(&m->lock);
    g_free(m);
}

/* Returns -1, 0 or 1 as a is less than, equal to or greater than b. */
static int
compare_u64(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

/* Orders two addresses by IP text, then port. */
static int
compare_address(const struct bb_address *a, const struct bb_address *b)
{
    int order = strcmp(a->ip, b->ip);

    return order != 0 ? order : compare_u64(a->port, b->port);
}

/* Orders two records of one host by their content. A member never sends two
 * contents with one sequence number; if one did, this order keeps the merge
 * commutative. */
static int
compare_content(const struct bb_member *a, const struct bb_member *b)
{
    const int orders[] = {
        strcmp(a->zone, b->zone),
        strcmp(a->region, b->region),
        compare_u64(a->role, b->role),
        compare_address(&a->http_address, &b->http_address),
        compare_address(&a->rpc_address, &b->rpc_address),
        compare_address(&a->gossip_address, &b->gossip_address),
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

/* Orders two records of one host: returns a positive number if a replaces b, a
 * negative one if b replaces a, 0 if they are the same. The held and applied
 * revisions are not compared; they are merged separately. */
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

/* Returns the retained state of a host, which is added if it is new; NULL if
 * the limit is reached. */
static struct retained_host *
find_or_add_retained(struct bb_member_table *m, const char *host)
{
    struct retained_host *retained =
        g_hash_table_lookup(m->retained_by_host, host);

    if (retained == NULL &&
        g_hash_table_size(m->retained_by_host) < BB_RETAINED_HOSTS_MAX) {
        retained = g_new0(struct retained_host, 1);
        g_hash_table_insert(m->retained_by_host, g_strdup(host), retained);
    }
    return retained;
}

/* Raises the retained held revision of a host; never lowers it. */
static void
raise_held_revision(struct bb_member_table *m, const char *host,
                    uint64_t revision)
{
    struct retained_host *retained = find_or_add_retained(m, host);

    if (retained != NULL && retained->held_revision < revision) {
        retained->held_revision = revision;
    }
}

/* Gives an entry a new change number and queues it for gossip. A suspicion
 * does not affect routes, since only the member's zone acts on it. */
static void
mark_changed(struct bb_member_table *m, struct entry *entry,
             bool affects_routes)
{
    uint32_t size = g_hash_table_size(m->entry_by_host);

    m->last_change++;
    entry->last_change = m->last_change;
    if (affects_routes) {
        m->routing_change = m->last_change;
        entry->routing_change = m->last_change;
    }
    entry->gossip_sends_left =
        GOSSIP_SENDS_PER_DOUBLING * (g_bit_storage(size) + 1);
    bb_counter_add(&changes_total, 1);
}

/* Returns true if the table has already removed a record with this or a higher
 * (incarnation, sequence). */
static bool
was_removed(struct bb_member_table *m, const struct bb_member *r)
{
    const struct retained_host *retained =
        g_hash_table_lookup(m->retained_by_host, r->host);

    return retained != NULL && retained->is_removed &&
           (r->incarnation < retained->incarnation ||
            (r->incarnation == retained->incarnation &&
             r->sequence <= retained->sequence));
}

/* Adds an entry for a host that has none. Returns false if the record was
 * removed before or the table is full. */
static bool
insert_entry(struct bb_member_table *m, const struct bb_member *r,
             enum bb_member_origin origin, uint64_t now_us)
{
    const struct retained_host *retained;
    struct entry *entry;

    if (was_removed(m, r)) {
        return false;
    }
    if (g_hash_table_size(m->entry_by_host) >= BB_MEMBER_TABLE_ENTRIES_MAX) {
        bb_counter_add(&refused_total, 1);
        return false;
    }
    entry = g_new0(struct entry, 1);
    entry->record = *r;
    entry->record.is_reachable = true;
    entry->origin = origin;
    entry->not_live_since_us = is_live(r) ? 0 : now_us;
    retained = find_or_add_retained(m, r->host);
    if (retained != NULL) {
        entry->record.held_revision = retained->held_revision;
    }
    g_hash_table_insert(m->entry_by_host, g_strdup(r->host), entry);
    mark_changed(m, entry, true);
    return true;
}

/* Returns the applied revision of the record with the newer incarnation, or
 * the higher one if the incarnations are equal. */
static uint64_t
merge_applied(const struct bb_member *a, const struct bb_member *b)
{
    if (a->incarnation != b->incarnation) {
        return a->incarnation > b->incarnation ? a->applied_revision
                                               : b->applied_revision;
    }
    return MAX(a->applied_revision, b->applied_revision);
}

/* Merges a record into the entry of its host. Returns true if it changed. */
static bool
merge_entry(struct bb_member_table *m, struct entry *entry,
            const struct bb_member *r, enum bb_member_origin origin,
            uint64_t now_us)
{
    uint64_t held = MAX(entry->record.held_revision, r->held_revision);
    uint64_t applied = merge_applied(&entry->record, r);
    bool is_revision_changed = held != entry->record.held_revision ||
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
            entry->not_live_since_us = 0;
        }
        else if (entry->not_live_since_us == 0) {
            entry->not_live_since_us = now_us;
        }
    }
    entry->record.held_revision = held;
    entry->record.applied_revision = applied;
    if (!is_newer && !is_revision_changed) {
        return false;
    }
    entry->origin = origin;
    mark_changed(m, entry, is_newer && !is_suspicion);
    return true;
}

/* Merges a record from the given origin. The outcome depends only on the set
 * of records merged, not on their order or repetition. Returns true if the
 * table changed. */
bool
bb_member_table_merge(struct bb_member_table *m, const struct bb_member *r,
                      enum bb_member_origin origin, uint64_t now_us)
{
    struct entry *entry;
    bool is_changed;

    (void)pthread_mutex_lock(&m->lock);
    raise_held_revision(m, r->host, r->held_revision);
    entry = g_hash_table_lookup(m->entry_by_host, r->host);
    is_changed = entry == NULL ? insert_entry(m, r, origin, now_us)
                               : merge_entry(m, entry, r, origin, now_us);
    (void)pthread_mutex_unlock(&m->lock);
    return is_changed;
}

/* Copies the record of a host. Returns false if there is none. */
bool
bb_member_table_get(struct bb_member_table *m, const char *host,
                    struct bb_member *out)
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

/* Returns the change number of the table, which rises with every change. */
uint64_t
bb_member_table_get_change_number(struct bb_member_table *m)
{
    uint64_t number;

    (void)pthread_mutex_lock(&m->lock);
    number = m->last_change;
    (void)pthread_mutex_unlock(&m->lock);
    return number;
}

/* Returns the change number of the last change that can affect a route. */
uint64_t
bb_member_table_get_routing_change_number(struct bb_member_table *m)
{
    uint64_t number;

    (void)pthread_mutex_lock(&m->lock);
    number = m->routing_change;
    (void)pthread_mutex_unlock(&m->lock);
    return number;
}

/* Removes entries that have been dead or left for the retention time, and
 * returns their number. The hosts' held revisions are retained. Entries of an
 * unreachable zone stay, since a refutation could not arrive from there. */
size_t
bb_member_table_expire(struct bb_member_table *m, uint64_t now_us,
                       uint64_t retention_us)
{
    GHashTableIter i;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;
        struct retained_host *retained;

        if (entry->not_live_since_us == 0 || !entry->record.is_reachable ||
            now_us - entry->not_live_since_us < retention_us) {
            continue;
        }
        retained = find_or_add_retained(m, entry->record.host);
        if (retained != NULL) {
            retained->is_removed = true;
            retained->incarnation = entry->record.incarnation;
            retained->sequence = entry->record.sequence;
        }
        g_hash_table_iter_remove(&i);
        count++;
    }
    if (count > 0) {
        m->last_change++;
        m->routing_change = m->last_change;
    }
    (void)pthread_mutex_unlock(&m->lock);
    return count;
}

/* Marks all entries of a zone as reachable or not. The mark is local: it is
 * not sent and changes no digest. */
void
bb_member_table_set_zone_reachable(struct bb_member_table *m, const char *zone,
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
            m->last_change++;
            m->routing_change = m->last_change;
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
}
