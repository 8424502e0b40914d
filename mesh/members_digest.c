/* Digests of the member table for anti-entropy, the retained held revisions,
 * and the zone summaries. */
#include <string.h>

#include "common/digest.h"
#include "members_internal.h"

enum {
    SEED_RECORD = 1,
    SEED_REVISIONS = 2,
    SEED_LIVE_MEMBERS = 3,
    SEED_BUCKET = 4
};

/* Returns the hash of a host name and three numbers. */
static uint64_t
hash_host_and_numbers(const char *host, uint64_t a, uint64_t b, uint64_t c,
                      uint64_t seed)
{
    const uint64_t numbers[] = {bb_hash64(host, strlen(host), seed), a, b, c};

    return bb_hash64(numbers, sizeof(numbers), seed);
}

/* Returns the hash of a record's host, incarnation, sequence and state.
 * SUSPECT counts as ALIVE, since a suspicion is short and not sent to other
 * zones. */
static uint64_t
hash_record(const struct bb_member *r)
{
    uint64_t state = is_live(r) ? BB_MEMBER_ALIVE : r->state;

    return hash_host_and_numbers(r->host, r->incarnation, r->sequence, state,
                                 SEED_RECORD);
}

/* Returns the hash of a host's held and applied revisions. */
static uint64_t
hash_revisions(const struct bb_member *r)
{
    return hash_host_and_numbers(r->host, r->held_revision,
                                 r->applied_revision, 0, SEED_REVISIONS);
}

/* Returns the bucket of a host, from 0 to BB_MEMBER_TABLE_BUCKET_COUNT - 1. */
uint32_t
bb_member_table_hash_bucket(const char *host)
{
    return (uint32_t)(bb_hash64(host, strlen(host), SEED_BUCKET) %
                      BB_MEMBER_TABLE_BUCKET_COUNT);
}

/* Returns the digest of a zone, which is added if it is new; NULL if there are
 * max zones already. */
static struct bb_zone_digest *
find_or_add_digest(struct bb_zone_digest *all, size_t *count, size_t max,
                   const char *zone)
{
    for (size_t i = 0; i < *count; i++) {
        if (strcmp(all[i].zone, zone) == 0) {
            return &all[i];
        }
    }
    if (*count == max) {
        return NULL;
    }
    all[*count] = (struct bb_zone_digest){0};
    (void)g_strlcpy(all[*count].zone, zone, sizeof(all[*count].zone));
    return &all[(*count)++];
}

/* Computes the digests of all zones, at most max, and returns their number. */
size_t
bb_member_table_compute_zone_digests(struct bb_member_table *m,
                                     struct bb_zone_digest *out, size_t max)
{
    GHashTableIter i;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;
        const struct bb_member *r = &entry->record;
        struct bb_zone_digest *d =
            find_or_add_digest(out, &count, max, r->zone);
        uint32_t bucket = bb_member_table_hash_bucket(r->host);

        if (d != NULL) {
            d->records_digest ^= hash_record(r);
            d->revisions_digest ^= hash_revisions(r);
            d->record_bucket_digests[bucket] ^= hash_record(r);
            d->revision_bucket_digests[bucket] ^= hash_revisions(r);
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
    return count;
}

/* Returns the digest of the records of all zones. */
uint64_t
bb_member_table_compute_digest(struct bb_member_table *m)
{
    GHashTableIter i;
    gpointer value;
    uint64_t digest = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;

        digest ^= hash_record(&entry->record);
    }
    (void)pthread_mutex_unlock(&m->lock);
    return digest;
}

/* Returns the digest of the held and applied revisions of a zone. */
uint64_t
bb_member_table_compute_revisions_digest(struct bb_member_table *m,
                                         const char *zone)
{
    GHashTableIter i;
    gpointer value;
    uint64_t digest = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;

        if (strcmp(entry->record.zone, zone) == 0) {
            digest ^= hash_revisions(&entry->record);
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
    return digest;
}

/* Returns the highest revision that a host is known to have held, also after
 * its entry has expired. Sets *is_known to whether the host is known; returns
 * 0 if it is not. */
uint64_t
bb_member_table_get_held_revision(struct bb_member_table *m, const char *host,
                                  bool *is_known)
{
    const struct retained_host *retained;
    uint64_t revision = 0;

    (void)pthread_mutex_lock(&m->lock);
    retained = g_hash_table_lookup(m->retained_by_host, host);
    if (retained != NULL) {
        revision = retained->held_revision;
    }
    (void)pthread_mutex_unlock(&m->lock);
    *is_known = retained != NULL;
    return revision;
}

/* Raises the held revision of a host, also in its entry if it has one. */
void
bb_member_table_raise_held_revision(struct bb_member_table *m,
                                    const char *host, uint64_t revision)
{
    struct retained_host *retained;
    struct entry *entry;

    (void)pthread_mutex_lock(&m->lock);
    retained = g_hash_table_lookup(m->retained_by_host, host);
    if (retained == NULL &&
        g_hash_table_size(m->retained_by_host) < BB_RETAINED_HOSTS_MAX) {
        retained = g_new0(struct retained_host, 1);
        g_hash_table_insert(m->retained_by_host, g_strdup(host), retained);
    }
    if (retained != NULL && retained->held_revision < revision) {
        retained->held_revision = revision;
    }
    entry = g_hash_table_lookup(m->entry_by_host, host);
    if (entry != NULL && entry->record.held_revision < revision) {
        entry->record.held_revision = revision;
        entry->last_change = ++m->last_change;
    }
    (void)pthread_mutex_unlock(&m->lock);
}

/* Copies the held revisions of hosts without an entry, at most max, and
 * returns their number. */
size_t
bb_member_table_list_removed_hosts(struct bb_member_table *m,
                                   struct bb_held_revision *out, size_t max)
{
    GHashTableIter i;
    gpointer key;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->retained_by_host);
    while (count < max && g_hash_table_iter_next(&i, &key, &value)) {
        const struct retained_host *retained = value;

        if (g_hash_table_contains(m->entry_by_host, key)) {
            continue;
        }
        (void)g_strlcpy(out[count].host, key, sizeof(out[count].host));
        out[count].revision = retained->held_revision;
        count++;
    }
    (void)pthread_mutex_unlock(&m->lock);
    return count;
}

/* Adds a live member to the summary of its zone, or does nothing if the zone
 * is new and there are max zones already. */
static void
add_to_zone_summary(struct bb_zone_summary *all, size_t *count, size_t max,
                    const struct bb_member *r)
{
    struct bb_zone_summary *s = NULL;

    for (size_t i = 0; i < *count && s == NULL; i++) {
        s = strcmp(all[i].zone, r->zone) == 0 ? &all[i] : NULL;
    }
    if (s == NULL) {
        if (*count == max) {
            return;
        }
        s = &all[(*count)++];
        *s = (struct bb_zone_summary){.min_applied_revision = UINT64_MAX};
        (void)g_strlcpy(s->zone, r->zone, sizeof(s->zone));
    }
    s->member_count++;
    s->live_members_digest ^= hash_host_and_numbers(r->host, r->incarnation, 0,
                                                    0, SEED_LIVE_MEMBERS);
    s->min_applied_revision =
        MIN(s->min_applied_revision, r->applied_revision);
}

/* Computes the summaries of the zones of a region, or of all regions if NULL,
 * at most max. Returns their number. */
size_t
bb_member_table_compute_zone_summaries(struct bb_member_table *m,
                                       const char *region,
                                       struct bb_zone_summary *out, size_t max)
{
    GHashTableIter i;
    gpointer value;
    size_t count = 0;

    (void)pthread_mutex_lock(&m->lock);
    g_hash_table_iter_init(&i, m->entry_by_host);
    while (g_hash_table_iter_next(&i, NULL, &value)) {
        const struct entry *entry = value;
        const struct bb_member *r = &entry->record;

        if (is_live(r) && (region == NULL || strcmp(r->region, region) == 0)) {
            add_to_zone_summary(out, &count, max, r);
        }
    }
    (void)pthread_mutex_unlock(&m->lock);
    return count;
}

/* Raises the held and applied revisions of the live members of a zone to the
 * lowest applied revision of the summary, if this table has exactly the live
 * members that the summary was computed from. Returns the number of entries
 * raised. */
size_t
bb_member_table_apply_zone_summary(struct bb_member_table *m,
                                   const struct bb_zone_summary *s,
                                   uint64_t now_us)
{
    struct bb_zone_summary local[BB_MEMBER_TABLE_ZONES_MAX];
    size_t zones = bb_member_table_compute_zone_summaries(
        m, NULL, local, BB_MEMBER_TABLE_ZONES_MAX);
    struct bb_member_list list;
    size_t raised = 0;
    bool is_applicable = false;

    for (size_t i = 0; i < zones; i++) {
        is_applicable |=
            strcmp(local[i].zone, s->zone) == 0 &&
            local[i].member_count == s->member_count &&
            local[i].live_members_digest == s->live_members_digest &&
            local[i].min_applied_revision < s->min_applied_revision;
    }
    if (!is_applicable) {
        return 0;
    }
    (void)bb_member_table_select(m, &(struct bb_member_query){.zone = s->zone},
                                 &list);
    for (size_t i = 0; i < list.count; i++) {
        struct bb_member *r = &list.items[i];

        if (is_live(r) && r->applied_revision < s->min_applied_revision) {
            r->applied_revision = s->min_applied_revision;
            r->held_revision = MAX(r->held_revision, s->min_applied_revision);
            raised +=
                bb_member_table_merge(m, r, BB_ORIGIN_OTHER_REGION, now_us);
        }
    }
    bb_member_list_clear(&list);
    return raised;
}
