/* The member table: one entry for each member, merged from records that arrive
 * in any order and any number of times. Times (now_us) are in microseconds of
 * the monotonic clock.
 *
 * Thread-safe; readers get copies. The table's lock is a leaf: it is never
 * held while another lock is taken or a callback runs. */
#ifndef BB_MESH_MEMBERS_H
#define BB_MESH_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "mesh/member.h"

enum {
    BB_MEMBER_TABLE_ENTRIES_MAX = 2048, /* further hosts are refused */
    /* Hosts whose held revision is kept, with or without an entry. */
    BB_RETAINED_HOSTS_MAX = 65536,
    BB_MEMBER_TABLE_BUCKET_COUNT = 8, /* hash buckets of a zone's digests */
    /* Further zones get no digest, no summary and no contact time. */
    BB_MEMBER_TABLE_ZONES_MAX = 32
};

/* Where the newest change of an entry came from. Control hosts use it to
 * decide to whom they forward the change. */
enum bb_member_origin {
    /* Gossip within the region, a relay, or JOIN. */
    BB_ORIGIN_SAME_REGION = 1 << 0,
    /* A control host of the same region. */
    BB_ORIGIN_CONTROL_HOST = 1 << 1,
    /* Gossip from another region, or a control host there. */
    BB_ORIGIN_OTHER_REGION = 1 << 2,
    BB_ORIGIN_ANY = 7
};

struct bb_member_table;

struct bb_member_list {
    struct bb_member *items;
    size_t count;
};

/* The highest revision that a host is known to have held. */
struct bb_held_revision {
    char host[BB_NAME_BYTES];
    uint64_t revision;
};

/* Selects entries. A field that is 0, false or NULL selects all entries. */
struct bb_member_query {
    const char *zone;
    const char *except_zone;
    const char *region;
    uint32_t origin_mask;  /* bits of enum bb_member_origin; 0 for any */
    uint64_t since_change; /* only entries changed after this change number */
    bool only_routing_changes; /* ignore changes that affect no route */
    uint32_t bucket_mask;      /* bit n selects bucket n; 0 for all */
};

/* Digests of one zone: one of its records (host, incarnation, sequence and
 * state, where SUSPECT counts as ALIVE), one of their held and applied
 * revisions, and both for each hash bucket of hosts. */
struct bb_zone_digest {
    char zone[BB_NAME_BYTES];
    uint64_t records_digest;
    uint64_t revisions_digest;
    uint64_t record_bucket_digests[BB_MEMBER_TABLE_BUCKET_COUNT];
    uint64_t revision_bucket_digests[BB_MEMBER_TABLE_BUCKET_COUNT];
};

/* Summary of the live members of a zone: their number, a digest of their
 * (host, incarnation), and the lowest of their applied revisions. */
struct bb_zone_summary {
    char zone[BB_NAME_BYTES];
    uint32_t member_count;
    uint64_t live_members_digest;
    uint64_t min_applied_revision;
};

struct bb_member_table *bb_member_table_create(void);
void bb_member_table_destroy(struct bb_member_table *m);

bool bb_member_table_merge(struct bb_member_table *m,
                           const struct bb_member *r,
                           enum bb_member_origin origin, uint64_t now_us);
bool bb_member_table_get(struct bb_member_table *m, const char *host,
                         struct bb_member *out);
uint64_t bb_member_table_get_change_number(struct bb_member_table *m);
uint64_t bb_member_table_get_routing_change_number(struct bb_member_table *m);
uint64_t bb_member_table_select(struct bb_member_table *m,
                                const struct bb_member_query *q,
                                struct bb_member_list *out);
void bb_member_list_clear(struct bb_member_list *list);
size_t bb_member_table_expire(struct bb_member_table *m, uint64_t now_us,
                              uint64_t retention_us);
void bb_member_table_set_zone_reachable(struct bb_member_table *m,
                                        const char *zone, bool is_reachable);
bool bb_member_table_find_member_with_revision(struct bb_member_table *m,
                                               uint64_t revision,
                                               const char *region,
                                               struct bb_member *out);
bool bb_member_table_find_zone_region(struct bb_member_table *m,
                                      const char *zone,
                                      char region[BB_NAME_BYTES]);
size_t bb_member_table_take_for_gossip(struct bb_member_table *m,
                                       const char *zone,
                                       const char *except_host,
                                       struct bb_member *out, size_t max);

uint64_t bb_member_table_get_held_revision(struct bb_member_table *m,
                                           const char *host, bool *is_known);
void bb_member_table_raise_held_revision(struct bb_member_table *m,
                                         const char *host, uint64_t revision);
size_t bb_member_table_list_removed_hosts(struct bb_member_table *m,
                                          struct bb_held_revision *out,
                                          size_t max);

size_t bb_member_table_compute_zone_digests(struct bb_member_table *m,
                                            struct bb_zone_digest *out,
                                            size_t max);
uint64_t bb_member_table_compute_digest(struct bb_member_table *m);
uint64_t bb_member_table_compute_revisions_digest(struct bb_member_table *m,
                                                  const char *zone);
uint32_t bb_member_table_hash_bucket(const char *host);
size_t bb_member_table_compute_zone_summaries(struct bb_member_table *m,
                                              const char *region,
                                              struct bb_zone_summary *out,
                                              size_t max);
size_t bb_member_table_apply_zone_summary(struct bb_member_table *m,
                                          const struct bb_zone_summary *s,
                                          uint64_t now_us);

int bb_member_compare(const struct bb_member *a, const struct bb_member *b);

#endif
