/* Queries of the member table, and the selection of records to gossip. */
#include <stdlib.h>
#include <string.h>

#include "members_internal.h"

/* Returns true if a query selects an entry. */
static bool
is_selected(const struct entry *entry, const struct bb_member_query *q)
{
    const struct bb_member *r = &entry->record;
    uint64_t number =
        q->only_routing_changes ? entry->routing_change : entry->last_change;

    return number > q->since_change &&
           (q->zone == NULL || strcmp(q->zone, r->zone) == 0) &&
           (q->except_zone == NULL || strcmp(q->except_zone, r->zone) != 0) &&
           (q->region == NULL || strcmp(q->region, r->region) == 0) &&
           (q->origin_mask == 0 || (q->origin_mask & entry->origin) != 0) &&
           (q->bucket_mask == 0 ||
            (q->bucket_mask & 1U << bb_member_table_hash_bucket(r->host)) !=
                0);
}

/* Orders records by host name, for qsort. */
static int
compare_hosts(const void *a, const void *b)
{
    const struct bb_member *left = a;
    const struct bb_member *right = b;

    return strcmp(left->host, right->host);
}

/* Copies the selected records, sorted by host, and returns the change number
 * at the time of the copy. The caller frees the list with
 * bb_member_list_clear. */
uint64_t
bb_member_table_select(struct bb_member_table *m,
                       const struct bb_member_query *q,
                       struct bb_member_list *out)
{
    GHashTableIter i;
    gpointer value;
    uint64_t number;

    *out = (struct bb_member_list){0};
    (void)pthread_mutex_lock(&m->lock);
    number = m->last_change;
    if (number > q->since_change) {
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
    return number;
}

/* Frees the items of a list. */
void
bb_member_list_clear(struct bb_member_list *list)
{
    g_free(list->items);
    *list = (struct bb_member_list){0};
}

/* Inserts an entry into a list of at most max entries in descending order of
 * gossip_sends_left. */
static void
insert_by_sends_left(struct entry **picked, size_t *count, size_t max,
                     struct entry *entry)
{
    size_t at = *count;

    if (at == max) {
        if (max == 0 ||
            picked[max - 1]->gossip_sends_left >= entry->gossip_sends_left) {
            return;
        }
        at = max - 1;
    }
    else {
        (*count)++;
    }
    while (at > 0 &&
           picked[at - 1]->gossip_sends_left < entry->gossip_sends_left) {
        picked[at] = picked[at - 1];
        at--;
    }
    picked[at] = entry;
}

/* Copies at most max records of a zone that have gossip sends left, except
 * that of one host, those with the most left first, and decrements
 * gossip_sends_left of each. Returns their number. */
size_t
bb_member_table_take_for_gossip(struct bb_member_table *m, const char *zone,
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

        if (entry->gossip_sends_left > 0 &&
            strcmp(entry->record.zone, zone) == 0 &&
            strcmp(entry->record.host, except_host) != 0) {
            insert_by_sends_left(picked, &count, max, entry);
        }
    }
    for (size_t n = 0; n < count; n++) {
        picked[n]->gossip_sends_left--;
        out[n] = picked[n]->record;
    }
    (void)pthread_mutex_unlock(&m->lock);
    g_free(picked);
    return count;
}

/* Finds a member in state ALIVE that has the revision, or a newer one, in
 * force, if possible in the given region. Returns false if there is none. */
bool
bb_member_table_find_member_with_revision(struct bb_member_table *m,
                                          uint64_t revision,
                                          const char *region,
                                          struct bb_member *out)
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

/* Copies the region of a zone. Returns false if no member of the zone is
 * known. */
bool
bb_member_table_find_zone_region(struct bb_member_table *m, const char *zone,
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
