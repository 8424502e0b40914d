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
    BB_MEMBERS_MAX = 2048,     /* entries; further hosts are refused */
    BB_REMEMBERED_MAX = 65536, /* hosts whose held revision is kept */
    BB_MEMBERS_BUCKETS = 8,    /* hash buckets of a zone's digests */
    BB_MEMBERS_ZONES_MAX = 32
};

/* Where the newest change of an entry came from. Control hosts use it to
 * decide to whom they forward the change. */
enum bb_member_origin {
    BB_ORIGIN_ZONE = 1 << 0,         /* gossip, a relay or JOIN */
    BB_ORIGIN_CONTROL = 1 << 1,      /* a control host of the same region */
    BB_ORIGIN_OTHER_REGION = 1 << 2, /* a control host of another region */
    BB_ORIGIN_ANY = 7
};

struct bb_members;

struct bb_member_list {
    struct bb_member *items;
    size_t count;
};

/* The highest revision that a host is known to have held. */
struct bb_held {
    char host[BB_NAME_BYTES];
    uint64_t revision;
};

/* Selects entries. Zero and NULL members select everything. */
struct bb_members_query {
    const char *zone;
    const char *except_zone;
    const char *region;
    uint32_t origins;      /* bits of enum bb_member_origin; 0 for any */
    uint64_t since;        /* only entries changed after this version */
    bool only_routing;     /* ignore changes that affect no route */
    uint32_t zone_buckets; /* bit n selects bucket n; 0 for all */
};

/* Digests of one zone: of its records (host, incarnation, sequence and state,
 * where SUSPECT counts as ALIVE), and of the held and applied revisions. Each
 * also for every hash bucket of hosts. */
struct bb_zone_digest {
    char zone[BB_NAME_BYTES];
    uint64_t records;
    uint64_t held;
    uint64_t buckets[BB_MEMBERS_BUCKETS];
    uint64_t held_buckets[BB_MEMBERS_BUCKETS];
};

/* The lowest revision in force on the live members of a zone, with their
 * number and a digest of their (host, incarnation). */
struct bb_zone_floor {
    char zone[BB_NAME_BYTES];
    uint32_t member_count;
    uint64_t roster_digest;
    uint64_t applied_revision;
};

struct bb_members *bb_members_create(void);
void bb_members_destroy(struct bb_members *m);

bool bb_members_merge(struct bb_members *m, const struct bb_member *r,
                      enum bb_member_origin origin, uint64_t now_us);
bool bb_members_get(struct bb_members *m, const char *host,
                    struct bb_member *out);
uint64_t bb_members_version(struct bb_members *m);
uint64_t bb_members_routing_version(struct bb_members *m);
uint64_t bb_members_select(struct bb_members *m,
                           const struct bb_members_query *q,
                           struct bb_member_list *out);
void bb_member_list_clear(struct bb_member_list *list);
size_t bb_members_expire(struct bb_members *m, uint64_t now_us,
                         uint64_t retention_us);
void bb_members_set_zone_reachable(struct bb_members *m, const char *zone,
                                   bool is_reachable);
bool bb_members_find_holder(struct bb_members *m, uint64_t revision,
                            const char *region, struct bb_member *out);
bool bb_members_zone_region(struct bb_members *m, const char *zone,
                            char region[BB_NAME_BYTES]);
size_t bb_members_pick_gossip(struct bb_members *m, const char *zone,
                              const char *except_host, struct bb_member *out,
                              size_t max);

uint64_t bb_members_held(struct bb_members *m, const char *host,
                         bool *is_known);
void bb_members_remember(struct bb_members *m, const char *host,
                         uint64_t revision);
size_t bb_members_remembered(struct bb_members *m, struct bb_held *out,
                             size_t max);

size_t bb_members_digests(struct bb_members *m, struct bb_zone_digest *out,
                          size_t max);
uint64_t bb_members_table_digest(struct bb_members *m);
uint64_t bb_members_held_digest(struct bb_members *m, const char *zone);
uint32_t bb_members_bucket(const char *host);
size_t bb_members_floors(struct bb_members *m, const char *region,
                         struct bb_zone_floor *out, size_t max);
size_t bb_members_apply_floor(struct bb_members *m,
                              const struct bb_zone_floor *f, uint64_t now_us);

int bb_member_compare(const struct bb_member *a, const struct bb_member *b);

#endif
