#include "proxy/table.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <urcu/urcu-memb.h>

/* Allocation of a table: the reference count precedes the public part. */
struct table {
    atomic_uint reference_count;
    struct bb_table public;
};

struct bb_current_table {
    _Atomic(struct bb_table *) current;
    pthread_mutex_t set_lock; /* serialises replacements */
};

static pthread_key_t reader_key;
static pthread_once_t reader_once = PTHREAD_ONCE_INIT;

/* Returns the allocation that contains a table. */
static struct table *
get_allocation(struct bb_table *t)
{
    return (struct table *)((char *)t - offsetof(struct table, public));
}

/* Returns whether a member may be sent new requests. */
static bool
is_usable_member(const struct bb_config *c, const struct bb_member *m)
{
    if (m->role != BB_ROLE_NODE || m->state >= BB_MEMBER_DEAD ||
        !m->is_reachable || m->upstream_state != BB_UPSTREAM_READY) {
        return false;
    }
    for (uint16_t i = 0; i < c->drain_count; i++) {
        if (strcmp(c->drains[i].host, m->host) == 0) {
            return false;
        }
    }
    return true;
}

/* Creates the gatekeeper of a member, with its distance from this node. */
static struct bb_table_gatekeeper
make_endpoint(const struct bb_member *m,
              const struct bb_node_location *location)
{
    struct bb_table_gatekeeper e = {
        .http_address = m->http_address,
        .rpc_address = m->rpc_address,
        .incarnation = m->incarnation,
        .slots = m->slots,
        .distance =
            strcmp(m->region, location->region) != 0 ? BB_ROUTE_OTHER_REGION
            : strcmp(m->zone, location->zone) != 0   ? BB_ROUTE_SAME_REGION
                                                     : BB_ROUTE_SAME_ZONE,
        .is_local = strcmp(m->host, location->host) == 0,
    };

    (void)g_strlcpy(e.host, m->host, sizeof(e.host));
    return e;
}

/* Initialises a service with its gatekeepers. */
static void
build_service(struct bb_table_service *out, const struct bb_config *c,
              uint16_t index, const struct bb_member *members, size_t count,
              const struct bb_node_location *location)
{
    const struct bb_service *s = &c->services[index];

    out->settings = *s;
    out->settings.callees = NULL;
    out->settings.callee_count = 0;
    if (s->team < c->team_count) {
        (void)g_strlcpy(out->team, c->teams[s->team].name, sizeof(out->team));
        out->team_max_in_flight = c->teams[s->team].max_in_flight;
    }
    out->usable_gatekeepers = g_new0(struct bb_table_gatekeeper, count);
    out->gatekeepers = g_new0(struct bb_table_gatekeeper, count);
    for (size_t i = 0; i < count; i++) {
        if (strcmp(members[i].service, s->name) != 0 ||
            members[i].state >= BB_MEMBER_DEAD) {
            continue;
        }
        out->gatekeepers[out->gatekeeper_count++] =
            make_endpoint(&members[i], location);
        if (is_usable_member(c, &members[i])) {
            out->usable_gatekeepers[out->usable_gatekeeper_count++] =
                make_endpoint(&members[i], location);
        }
    }
}

/* Builds a table with one reference from a configuration and `count` members,
 * none of which it refers to afterwards. */
struct bb_table *
bb_table_build(const struct bb_config *c, const struct bb_member *members,
               size_t count, const struct bb_node_location *location)
{
    struct table *allocation = g_new0(struct table, 1);
    struct bb_table *t = &allocation->public;

    atomic_init(&allocation->reference_count, 1);
    t->revision = c->revision;
    t->limits = c->limits;
    t->service_count = c->service_count;
    t->services = g_new0(struct bb_table_service, c->service_count);
    for (uint16_t i = 0; i < c->service_count; i++) {
        build_service(&t->services[i], c, i, members, count, location);
    }
    t->routes = g_new0(struct bb_route, c->route_count);
    for (uint16_t i = 0; i < c->route_count; i++) {
        const struct bb_route *r = &c->routes[i];

        t->longest_timeout_ms = MAX(t->longest_timeout_ms, r->timeout_ms);
        if (r->service < t->service_count &&
            t->services[r->service].usable_gatekeeper_count > 0) {
            t->routes[t->route_count++] = *r;
        }
    }
    return t;
}

/* Returns whether a URL path equals a prefix or is below it; "/a" does not
 * match "/ab". */
static bool
is_path_below(const char *prefix, const char *url)
{
    size_t length = strlen(prefix);

    if (strncmp(prefix, url, length) != 0) {
        return false;
    }
    return (length > 0 && prefix[length - 1] == '/') || url[length] == '\0' ||
           url[length] == '/' || url[length] == '?';
}

/* Returns the route with the longest prefix that accepts the method (one bit
 * of enum bb_method), or NULL. */
const struct bb_route *
bb_table_find_route(const struct bb_table *t, const char *url, uint32_t method)
{
    for (uint16_t i = 0; i < t->route_count; i++) {
        if ((t->routes[i].methods & method) != 0 &&
            is_path_below(t->routes[i].path_prefix, url)) {
            return &t->routes[i];
        }
    }
    return NULL;
}

/* Returns a service by name, or NULL. */
const struct bb_table_service *
bb_table_find_service(const struct bb_table *t, const char *name)
{
    for (uint16_t i = 0; i < t->service_count; i++) {
        if (strcmp(t->services[i].settings.name, name) == 0) {
            return &t->services[i];
        }
    }
    return NULL;
}

/* Returns the usable gatekeeper at a host, or NULL if there is none. */
const struct bb_table_gatekeeper *
bb_table_find_usable_gatekeeper(const struct bb_table_service *s,
                                const char *host)
{
    for (uint32_t i = 0; i < s->usable_gatekeeper_count; i++) {
        if (strcmp(s->usable_gatekeepers[i].host, host) == 0) {
            return &s->usable_gatekeepers[i];
        }
    }
    return NULL;
}

/* Drops a reference; the last one frees the table. NULL is allowed. */
void
bb_table_unref(struct bb_table *t)
{
    struct table *allocation;

    if (t == NULL) {
        return;
    }
    allocation = get_allocation(t);
    if (atomic_fetch_sub(&allocation->reference_count, 1) != 1) {
        return;
    }
    for (uint16_t i = 0; i < t->service_count; i++) {
        g_free(t->services[i].usable_gatekeepers);
        g_free(t->services[i].gatekeepers);
    }
    g_free(t->services);
    g_free(t->routes);
    g_free(allocation);
}

/* Unregisters the thread as an RCU reader. */
static void
unregister_reader(void *data)
{
    (void)data;
    urcu_memb_unregister_thread();
}

/* Creates the thread-specific key whose destructor unregisters readers. */
static void
create_reader_key(void)
{
    (void)pthread_key_create(&reader_key, unregister_reader);
}

/* Registers the calling thread as an RCU reader, once. The HTTP library starts
 * and ends the threads, so this is done on first use. */
static void
register_reader(void)
{
    (void)pthread_once(&reader_once, create_reader_key);
    if (pthread_getspecific(reader_key) == NULL) {
        urcu_memb_register_thread();
        (void)pthread_setspecific(reader_key, &reader_once);
    }
}

/* Creates an RCU-protected pointer to the current table, initially NULL. */
struct bb_current_table *
bb_current_table_create(void)
{
    struct bb_current_table *c = g_new0(struct bb_current_table, 1);

    (void)pthread_mutex_init(&c->set_lock, NULL);
    return c;
}

/* Makes a table the current one and takes over the caller's reference. NULL is
 * allowed. Blocks until no reader can still be taking a reference to the
 * previous table. */
void
bb_current_table_set(struct bb_current_table *c, struct bb_table *t)
{
    struct bb_table *old;

    (void)pthread_mutex_lock(&c->set_lock);
    old = atomic_exchange(&c->current, t);
    urcu_memb_synchronize_rcu();
    (void)pthread_mutex_unlock(&c->set_lock);
    bb_table_unref(old);
}

/* Returns a new reference to the current table, or NULL. Can be called by any
 * thread, which it registers as an RCU reader. */
struct bb_table *
bb_current_table_get(struct bb_current_table *c)
{
    struct bb_table *t;

    register_reader();
    urcu_memb_read_lock();
    t = atomic_load(&c->current);
    if (t != NULL) {
        (void)atomic_fetch_add(&get_allocation(t)->reference_count, 1);
    }
    urcu_memb_read_unlock();
    return t;
}

/* Frees the pointer and drops its reference to the table, which requests may
 * still hold. NULL is allowed. */
void
bb_current_table_destroy(struct bb_current_table *c)
{
    if (c == NULL) {
        return;
    }
    bb_current_table_set(c, NULL);
    (void)pthread_mutex_destroy(&c->set_lock);
    g_free(c);
}
