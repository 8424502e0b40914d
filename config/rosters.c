/* Sets of witness rosters in memory: their limits, look-up, comparison and
 * digest. */
#include "config/rosters.h"

#include <glib.h>
#include <string.h>

#include "bundle_codec.h"

/* Creates an empty set. The caller frees it with bb_rosters_destroy. */
struct bb_rosters *
bb_rosters_create(void)
{
    return g_new0(struct bb_rosters, 1);
}

/* Returns a copy with names of its own, which the caller frees with g_free. */
static struct bb_host_list
copy_hosts(const struct bb_host_list *l)
{
    return (struct bb_host_list){
        .names = g_memdup2(l->names, l->count * sizeof(l->names[0])),
        .count = l->count};
}

/* Returns a copy that shares no host list with the original. */
static struct bb_service_roster
copy_service_roster(const struct bb_service_roster *item)
{
    struct bb_service_roster copy = *item;

    copy.hosts = copy_hosts(&item->hosts);
    copy.previous_hosts = copy_hosts(&item->previous_hosts);
    return copy;
}

/* Frees the lists of a roster, but not the roster itself. */
static void
clear_service_roster(struct bb_service_roster *item)
{
    g_free(item->hosts.names);
    g_free(item->previous_hosts.names);
}

/* Returns a copy of a set, an empty one for NULL. The caller frees it with
 * bb_rosters_destroy. */
struct bb_rosters *
bb_rosters_copy(const struct bb_rosters *r)
{
    struct bb_rosters *copy = bb_rosters_create();

    if (r != NULL && r->count > 0) {
        copy->items = g_new0(struct bb_service_roster, r->count);
        copy->count = r->count;
        for (uint32_t i = 0; i < r->count; i++) {
            copy->items[i] = copy_service_roster(&r->items[i]);
        }
    }
    return copy;
}

/* Frees a set; NULL is allowed. */
void
bb_rosters_destroy(struct bb_rosters *r)
{
    if (r == NULL) {
        return;
    }
    for (uint32_t i = 0; i < r->count; i++) {
        clear_service_roster(&r->items[i]);
    }
    g_free(r->items);
    g_free(r);
}

/* Returns whether a name is not empty and has its zero byte within the array.
 */
static bool
is_valid_name(const char name[BB_NAME_BYTES])
{
    return name[0] != '\0' && memchr(name, '\0', BB_NAME_BYTES) != NULL;
}

/* Returns whether a list is within its limit, has only valid names and is in
 * strictly ascending order. */
static bool
is_valid_host_list(const struct bb_host_list *l)
{
    if (l->count > BB_ROSTER_HOSTS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < l->count; i++) {
        if (!is_valid_name(l->names[i]) ||
            (i > 0 && strcmp(l->names[i - 1], l->names[i]) >= 0)) {
            return false;
        }
    }
    return true;
}

/* Returns the number of host names in both lists of a roster. */
static uint32_t
count_names(const struct bb_service_roster *item)
{
    return item->hosts.count + item->previous_hosts.count;
}

/* Returns the index of a service, or the index at which to insert it. */
static uint32_t
find_position(const struct bb_rosters *r, const char *service)
{
    uint32_t low = 0;
    uint32_t high = r->count;

    while (low < high) {
        uint32_t middle = low + (high - low) / 2;

        if (strcmp(r->items[middle].service, service) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/* Adds a copy of a roster, or replaces the one of the same service. Returns
 * false and leaves the set unchanged with BB_CONFIG_ERROR_DAMAGED for a roster
 * without a service, an epoch or hosts, or whose lists are too long or not
 * sorted, and with BB_CONFIG_ERROR_LIMIT if the set would have too many
 * rosters or host names. */
bool
bb_rosters_put(struct bb_rosters *r, const struct bb_service_roster *item,
               struct bb_error *e)
{
    uint32_t names = count_names(item);
    uint32_t at;
    bool is_replaced;

    if (!is_valid_name(item->service) || item->epoch == 0 ||
        item->hosts.count == 0 || !is_valid_host_list(&item->hosts) ||
        !is_valid_host_list(&item->previous_hosts)) {
        return bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                            "a witness roster lacks a service, an epoch or "
                            "hosts, or its hosts are unsorted or too many");
    }
    at = find_position(r, item->service);
    is_replaced =
        at < r->count && strcmp(r->items[at].service, item->service) == 0;
    for (uint32_t i = 0; i < r->count; i++) {
        names += is_replaced && i == at ? 0 : count_names(&r->items[i]);
    }
    if (names > BB_ROSTERS_HOST_NAMES_MAX ||
        (!is_replaced && r->count == BB_ROSTERS_MAX)) {
        return bb_error_set(e, BB_CONFIG_ERROR_LIMIT,
                            "the witness rosters have too many services or "
                            "host names");
    }
    if (is_replaced) {
        clear_service_roster(&r->items[at]);
    }
    else {
        r->items = g_renew(struct bb_service_roster, r->items, r->count + 1);
        memmove(&r->items[at + 1], &r->items[at],
                (r->count - at) * sizeof(r->items[0]));
        r->count++;
    }
    r->items[at] = copy_service_roster(item);
    return true;
}

/* Returns the roster of a service, or NULL. */
const struct bb_service_roster *
bb_rosters_find(const struct bb_rosters *r, const char *service)
{
    uint32_t at = find_position(r, service);

    return at < r->count && strcmp(r->items[at].service, service) == 0
               ? &r->items[at]
               : NULL;
}

/* Returns whether two lists have the same names. */
static bool
is_host_list_equal(const struct bb_host_list *a, const struct bb_host_list *b)
{
    for (uint32_t i = 0; a->count == b->count && i < a->count; i++) {
        if (strcmp(a->names[i], b->names[i]) != 0) {
            return false;
        }
    }
    return a->count == b->count;
}

/* Returns whether two rosters are equal in all members. */
bool
bb_service_roster_equal(const struct bb_service_roster *a,
                        const struct bb_service_roster *b)
{
    return strcmp(a->service, b->service) == 0 && a->epoch == b->epoch &&
           is_host_list_equal(&a->hosts, &b->hosts) &&
           is_host_list_equal(&a->previous_hosts, &b->previous_hosts);
}

/* Returns the digest of rosters and a folder, given by its own digest. For an
 * empty set it is that of the folder. */
struct bb_digest
bb_rosters_digest(const struct bb_rosters *r, const struct bb_digest *folder)
{
    size_t capacity = BB_DIGEST_BYTES + BB_ROSTERS_UNCOMPRESSED_MAX_BYTES;
    struct bb_digest d = *folder;
    uint8_t *bytes;
    bool ok;
    XDR x;

    if (r->count == 0) {
        return d;
    }
    bytes = g_malloc(capacity);
    xdrmem_create(&x, (char *)bytes, (u_int)capacity, XDR_ENCODE);
    ok = bb_codec_xdr_digest(&x, &d);
    for (uint32_t i = 0; ok && i < r->count; i++) {
        ok = bb_codec_put_roster(&x, &r->items[i]);
    }
    /* The capacity covers any rosters within their limits. */
    g_assert(ok);
    d = bb_digest_compute(bytes, xdr_getpos(&x));
    XDR_DESTROY(&x);
    g_free(bytes);
    return d;
}

/* Returns the host key, a hash of the host name that identifies a host in
 * struct bb_roster. */
uint64_t
bb_roster_host_key(const char *host)
{
    return bb_hash64(host, strlen(host), 0);
}

/* Converts a roster to struct bb_roster, in which hosts are host keys. */
void
bb_service_roster_to_hashes(const struct bb_service_roster *s,
                            struct bb_roster *out)
{
    *out = (struct bb_roster){.epoch = s->epoch,
                              .host_count = s->hosts.count,
                              .previous_count = s->previous_hosts.count};
    for (uint32_t i = 0; i < s->hosts.count; i++) {
        out->hosts[i] = bb_roster_host_key(s->hosts.names[i]);
    }
    for (uint32_t i = 0; i < s->previous_hosts.count; i++) {
        out->previous[i] = bb_roster_host_key(s->previous_hosts.names[i]);
    }
}
