#include "config/rosters.h"

#include <glib.h>
#include <string.h>

#include "bundle_codec.h"

/* Creates an empty set. */
struct bb_rosters *
bb_rosters_create(void)
{
    return g_new0(struct bb_rosters, 1);
}

/* Copies a list of hosts. */
static struct bb_host_list
copy_hosts(const struct bb_host_list *l)
{
    return (struct bb_host_list){
        .names = g_memdup2(l->names, l->count * sizeof(l->names[0])),
        .count = l->count};
}

/* Copies a roster with its lists. */
static struct bb_service_roster
copy_item(const struct bb_service_roster *item)
{
    struct bb_service_roster copy = *item;

    copy.hosts = copy_hosts(&item->hosts);
    copy.previous = copy_hosts(&item->previous);
    return copy;
}

/* Frees the lists of a roster. */
static void
clear_item(struct bb_service_roster *item)
{
    g_free(item->hosts.names);
    g_free(item->previous.names);
}

/* Copies a set; NULL counts as the empty one. */
struct bb_rosters *
bb_rosters_copy(const struct bb_rosters *r)
{
    struct bb_rosters *copy = bb_rosters_create();

    if (r != NULL && r->count > 0) {
        copy->items = g_new0(struct bb_service_roster, r->count);
        copy->count = r->count;
        for (uint32_t i = 0; i < r->count; i++) {
            copy->items[i] = copy_item(&r->items[i]);
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
        clear_item(&r->items[i]);
    }
    g_free(r->items);
    g_free(r);
}

/* Tells whether a name ends within its array and is not empty. */
static bool
is_name(const char name[BB_NAME_BYTES])
{
    return name[0] != '\0' && memchr(name, '\0', BB_NAME_BYTES) != NULL;
}

/* Tells whether a list is within its limit and in strictly ascending order.
 */
static bool
is_sorted(const struct bb_host_list *l)
{
    if (l->count > BB_ROSTER_HOSTS_MAX) {
        return false;
    }
    for (uint32_t i = 0; i < l->count; i++) {
        if (!is_name(l->names[i]) ||
            (i > 0 && strcmp(l->names[i - 1], l->names[i]) >= 0)) {
            return false;
        }
    }
    return true;
}

/* Counts the host names of a roster. */
static uint32_t
count_names(const struct bb_service_roster *item)
{
    return item->hosts.count + item->previous.count;
}

/* Returns the place of a service, or of the first one after it. */
static uint32_t
find_place(const struct bb_rosters *r, const char *service)
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

/* Adds a copy of a roster, or puts it in the place of the one of the same
 * service. Fails with BB_CONFIG_ERROR_FORMAT for a roster without a service,
 * an epoch or hosts and for lists that are not sorted, and with
 * BB_CONFIG_ERROR_LIMIT. */
bool
bb_rosters_put(struct bb_rosters *r, const struct bb_service_roster *item,
               struct bb_error *e)
{
    uint32_t names = count_names(item);
    uint32_t at;
    bool is_replaced;

    if (!is_name(item->service) || item->epoch == 0 ||
        item->hosts.count == 0 || !is_sorted(&item->hosts) ||
        !is_sorted(&item->previous)) {
        return bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                            "a roster of witnesses has a wrong structure");
    }
    at = find_place(r, item->service);
    is_replaced =
        at < r->count && strcmp(r->items[at].service, item->service) == 0;
    for (uint32_t i = 0; i < r->count; i++) {
        names += is_replaced && i == at ? 0 : count_names(&r->items[i]);
    }
    if (names > BB_ROSTER_NAMES_MAX ||
        (!is_replaced && r->count == BB_ROSTERS_MAX)) {
        return bb_error_set(e, BB_CONFIG_ERROR_LIMIT,
                            "the rosters of witnesses are over the limit");
    }
    if (is_replaced) {
        clear_item(&r->items[at]);
    }
    else {
        r->items = g_renew(struct bb_service_roster, r->items, r->count + 1);
        memmove(&r->items[at + 1], &r->items[at],
                (r->count - at) * sizeof(r->items[0]));
        r->count++;
    }
    r->items[at] = copy_item(item);
    return true;
}

/* Returns the roster of a service, or NULL. */
const struct bb_service_roster *
bb_rosters_find(const struct bb_rosters *r, const char *service)
{
    uint32_t at = find_place(r, service);

    return at < r->count && strcmp(r->items[at].service, service) == 0
               ? &r->items[at]
               : NULL;
}

/* Tells whether two lists have the same names. */
static bool
is_same_list(const struct bb_host_list *a, const struct bb_host_list *b)
{
    for (uint32_t i = 0; a->count == b->count && i < a->count; i++) {
        if (strcmp(a->names[i], b->names[i]) != 0) {
            return false;
        }
    }
    return a->count == b->count;
}

/* Tells whether two rosters are the same in all parts. */
bool
bb_service_roster_equal(const struct bb_service_roster *a,
                        const struct bb_service_roster *b)
{
    return strcmp(a->service, b->service) == 0 && a->epoch == b->epoch &&
           is_same_list(&a->hosts, &b->hosts) &&
           is_same_list(&a->previous, &b->previous);
}

/* Returns the digest of a folder together with rosters; without rosters it is
 * the one of the folder. */
struct bb_digest
bb_rosters_digest(const struct bb_rosters *r, const struct bb_digest *folder)
{
    size_t capacity = BB_DIGEST_BYTES + BB_ROSTERS_EXPANDED_MAX_BYTES;
    struct bb_digest d = *folder;
    uint8_t *bytes;
    bool ok;
    XDR x;

    if (r->count == 0) {
        return d;
    }
    bytes = g_malloc(capacity);
    xdrmem_create(&x, (char *)bytes, (u_int)capacity, XDR_ENCODE);
    ok = bb_codec_digest(&x, &d);
    for (uint32_t i = 0; ok && i < r->count; i++) {
        ok = bb_codec_put_roster(&x, &r->items[i]);
    }
    /* Rosters within their limits fit into the buffer. */
    g_assert(ok);
    d = bb_digest_of(bytes, xdr_getpos(&x));
    XDR_DESTROY(&x);
    g_free(bytes);
    return d;
}

/* Returns how a host is called in struct bb_roster. */
uint64_t
bb_roster_host_key(const char *host)
{
    return bb_hash64(host, strlen(host), 0);
}

/* Converts a roster to the form that claims use. */
void
bb_roster_of_service(const struct bb_service_roster *s, struct bb_roster *out)
{
    *out = (struct bb_roster){.epoch = s->epoch,
                              .host_count = s->hosts.count,
                              .previous_count = s->previous.count};
    for (uint32_t i = 0; i < s->hosts.count; i++) {
        out->hosts[i] = bb_roster_host_key(s->hosts.names[i]);
    }
    for (uint32_t i = 0; i < s->previous.count; i++) {
        out->previous[i] = bb_roster_host_key(s->previous.names[i]);
    }
}
