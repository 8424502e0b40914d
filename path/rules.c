/* Routing rules: construction, validation and lookup. */
#include "path/rules.h"

#include <string.h>

#include "common/digest.h"
#include "common/random.h"

/* Releases a reference to a route; the last one frees it. */
static void
unref_route(void *data)
{
    struct bb_rules_route *r = data;

    if (!g_atomic_ref_count_dec(&r->reference_count)) {
        return;
    }
    for (uint32_t i = 0; i < r->service_count; i++) {
        g_free(r->services[i].service);
    }
    g_free(r->services);
    g_free(r->source);
    g_free(r->key);
    g_free(r->name);
    g_free(r->host);
    g_free(r->prefix);
    g_free(r);
}

static void
free_team(void *data)
{
    bb_team_destroy(data);
}

static void
free_service(void *data)
{
    struct bb_rules_service *s = data;

    g_free(s->name);
    g_free(s->health_path);
    g_free(s);
}

/* Hashes a route by its host and source. */
static guint
hash_source(gconstpointer data)
{
    const struct bb_rules_route *r = data;

    return (guint)r->source_hash;
}

/* Returns whether two routes have the same host and source. */
static gboolean
is_same_source(gconstpointer a, gconstpointer b)
{
    const struct bb_rules_route *x = a;
    const struct bb_rules_route *y = b;

    return x->source_hash == y->source_hash &&
           x->source_bytes == y->source_bytes &&
           strcmp(x->host, y->host) == 0 &&
           memcmp(x->source, y->source, x->source_bytes) == 0;
}

/* Returns the hash of a host in lower case and the text of a route. */
static uint64_t
compute_source_hash(const char *host, const char *source, size_t source_bytes)
{
    return bb_hash64(source, source_bytes, bb_hash64(host, strlen(host), 0));
}

/* Creates rules without routes, with one reference. The caller sets version
 * and limits, adds routes and services and calls bb_rules_finalize. */
struct bb_rules *
bb_rules_create(void)
{
    struct bb_rules *r = g_new0(struct bb_rules, 1);

    g_atomic_ref_count_init(&r->reference_count);
    r->routes = g_ptr_array_new_with_free_func(unref_route);
    r->services = g_ptr_array_new_with_free_func(free_service);
    r->teams = g_ptr_array_new_with_free_func(free_team);
    r->by_key = g_hash_table_new(g_str_hash, g_str_equal);
    r->by_source = g_hash_table_new(hash_source, is_same_source);
    return r;
}

/* Adds a route, owned by the rules, whose other members the caller sets. The
 * texts are copied. */
struct bb_rules_route *
bb_rules_add_route(struct bb_rules *r, const char *name, const char *host,
                   const char *prefix)
{
    struct bb_rules_route *route = g_new0(struct bb_rules_route, 1);

    g_atomic_ref_count_init(&route->reference_count);
    route->name = g_strdup(name);
    route->host = g_ascii_strdown(host, -1);
    route->prefix = g_strdup(prefix);
    route->upstream_attempts_max = 1;
    /* By route, not by class: callers of two routes with the same policy may
     * wait for different lengths of time. */
    route->route_group =
        (uint32_t)(bb_hash64(name, strlen(name), 0) % BB_RULES_GROUP_COUNT);
    g_ptr_array_add(r->routes, route);
    return route;
}

/* Keeps the text that a route was decoded from, so that rules of a later
 * version can share the route. */
void
bb_rules_route_keep_source(struct bb_rules_route *r, const char *source,
                           size_t source_bytes)
{
    r->source = g_memdup2(source, source_bytes);
    r->source_bytes = source_bytes;
    r->source_hash = compute_source_hash(r->host, source, source_bytes);
}

/* Adds the route that finalized earlier rules have for this host, in lower
 * case, and text. Returns false if there is none. `earlier` may be NULL. */
bool
bb_rules_share_route(struct bb_rules *r, const struct bb_rules *earlier,
                     const char *host, const char *source, size_t source_bytes)
{
    const struct bb_rules_route wanted = {
        .host = (char *)host,
        .source = (char *)source,
        .source_bytes = source_bytes,
        .source_hash = compute_source_hash(host, source, source_bytes)};
    struct bb_rules_route *route =
        earlier != NULL ? g_hash_table_lookup(earlier->by_source, &wanted)
                        : NULL;

    if (route == NULL) {
        return false;
    }
    g_atomic_ref_count_inc(&route->reference_count);
    g_ptr_array_add(r->routes, route);
    return true;
}

/* Adds a service to a route, which gets weight / weight_sum of its requests.
 */
void
bb_rules_route_add_service(struct bb_rules_route *r, const char *service,
                           uint32_t weight)
{
    r->services =
        g_renew(struct bb_weighted_service, r->services, r->service_count + 1);
    r->services[r->service_count++] = (struct bb_weighted_service){
        .service = g_strdup(service), .weight = weight};
    r->weight_sum += weight;
}

/* Adds a service that routes may name. The texts are copied. */
void
bb_rules_add_service(struct bb_rules *r, const char *name,
                     const char *health_path, uint32_t connections_max)
{
    struct bb_rules_service *s = g_new0(struct bb_rules_service, 1);

    s->name = g_strdup(name);
    s->health_path = g_strdup(health_path);
    s->connections_max = connections_max;
    g_ptr_array_add(r->services, s);
}

/* Adds a team, owned by the rules, whose other members the caller sets. The
 * name is copied. */
struct bb_team *
bb_rules_add_team(struct bb_rules *r, const char *name)
{
    struct bb_team *t = bb_team_create(name);

    g_ptr_array_add(r->teams, t);
    return t;
}

/* Returns a service by its name, or NULL. */
const struct bb_rules_service *
bb_rules_find_service(const struct bb_rules *r, const char *name)
{
    for (guint i = 0; i < r->services->len; i++) {
        const struct bb_rules_service *s = g_ptr_array_index(r->services, i);

        if (strcmp(s->name, name) == 0) {
            return s;
        }
    }
    return NULL;
}

/* Returns whether a route is valid; sets the error if not. */
static bool
is_valid_route(const struct bb_rules *r, const struct bb_rules_route *route,
               struct bb_error *e)
{
    size_t length = strlen(route->prefix);

    if (route->host[0] == '\0') {
        return bb_error_set(e, BB_RULES_ERROR_VALUE,
                            "route %s: the host is empty", route->name);
    }
    if (length == 0 || route->prefix[0] != '/' ||
        route->prefix[length - 1] != '/') {
        return bb_error_set(e, BB_RULES_ERROR_VALUE,
                            "route %s: the prefix %s does not begin and end "
                            "with a slash",
                            route->name, route->prefix);
    }
    if (route->timeout_ms == 0) {
        return bb_error_set(e, BB_RULES_ERROR_VALUE,
                            "route %s: the timeout is 0", route->name);
    }
    if (route->weight_sum == 0) {
        return bb_error_set(e, BB_RULES_ERROR_VALUE,
                            "route %s: the weights add up to 0", route->name);
    }
    for (uint32_t i = 0; i < route->service_count; i++) {
        if (bb_rules_find_service(r, route->services[i].service) == NULL) {
            return bb_error_set(e, BB_RULES_ERROR_REFERENCE,
                                "route %s: there is no service %s",
                                route->name, route->services[i].service);
        }
    }
    return true;
}

/* Returns the key of a host and a prefix of a path; the caller frees it. */
static char *
make_key(const char *host, size_t host_bytes, const char *path,
         size_t path_bytes)
{
    char *key = g_malloc(host_bytes + path_bytes + 1);

    for (size_t i = 0; i < host_bytes; i++) {
        key[i] = g_ascii_tolower(host[i]);
    }
    memcpy(key + host_bytes, path, path_bytes);
    key[host_bytes + path_bytes] = '\0';
    return key;
}

/* Returns the request class of a route. Routes with the same services and
 * policy share one, as their requests take about as long. The result is the
 * same on all nodes. */
static uint32_t
compute_class(const struct bb_rules_route *route)
{
    const uint32_t policy[] = {route->is_idempotent, route->timeout_ms,
                               route->target_latency_ms, route->priority};
    uint64_t hash = bb_hash64(policy, sizeof(policy), 0);

    for (uint32_t i = 0; i < route->service_count; i++) {
        const char *service = route->services[i].service;

        hash = bb_hash64(service, strlen(service), hash);
    }
    return (uint32_t)(hash % BB_REQUEST_CLASS_COUNT);
}

/* Sets what follows from the other members of a new route. */
static void
finalize_route(struct bb_rules_route *route)
{
    route->class_index = compute_class(route);
    route->key = make_key(route->host, strlen(route->host), route->prefix,
                          strlen(route->prefix));
}

/* Adds the keys of a team to the set of all keys. Returns false and sets the
 * error if one is empty or is already there. */
static bool
add_keys(GHashTable *owners, struct bb_team *t, struct bb_error *e)
{
    for (guint i = 0; i < t->keys->len; i++) {
        const char *key = g_ptr_array_index(t->keys, i);
        const struct bb_team *owner = g_hash_table_lookup(owners, key);

        if (key[0] == '\0') {
            return bb_error_set(e, BB_RULES_ERROR_VALUE,
                                "team %s: key %u is empty", t->name, i + 1);
        }
        if (owner != NULL) {
            return bb_error_set(e, BB_RULES_ERROR_VALUE,
                                "team %s: key %u is also a key of team %s",
                                t->name, i + 1, owner->name);
        }
        (void)g_hash_table_insert(owners, (gpointer)key, t);
    }
    return true;
}

/* Returns whether a text has a character that may not be in a header field. */
static bool
has_control_character(const char *text)
{
    for (; *text != '\0'; text++) {
        if (g_ascii_iscntrl(*text)) {
            return true;
        }
    }
    return false;
}

/* Returns whether the teams are valid: they have different names, and no key
 * is held twice. Sets the error if not. */
static bool
are_valid_teams(const struct bb_rules *r, struct bb_error *e)
{
    GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
    bool is_valid = true;

    for (guint i = 0; is_valid && i < r->teams->len; i++) {
        struct bb_team *t = g_ptr_array_index(r->teams, i);

        if (t->name[0] == '\0') {
            is_valid = bb_error_set(e, BB_RULES_ERROR_VALUE,
                                    "team %u: the name is empty", i + 1);
        }
        else if (has_control_character(t->name)) {
            /* The name is sent in a header field. */
            is_valid = bb_error_set(e, BB_RULES_ERROR_VALUE,
                                    "team %u: the name has a control "
                                    "character",
                                    i + 1);
        }
        else if (!g_hash_table_add(names, t->name)) {
            is_valid =
                bb_error_set(e, BB_RULES_ERROR_VALUE,
                             "team %s: another team has its name", t->name);
        }
        else {
            is_valid = add_keys(owners, t, e);
        }
    }
    g_hash_table_destroy(names);
    g_hash_table_destroy(owners);
    return is_valid;
}

/* Returns the secret of the hashes of keys, which is random and the same for
 * all rules of this process. */
static const uint8_t *
key_secret(void)
{
    static uint8_t secret[BB_KEY_TABLE_SECRET_BYTES];
    static gsize is_set;

    if (g_once_init_enter(&is_set)) {
        for (size_t i = 0; i < sizeof(secret); i += sizeof(uint64_t)) {
            uint64_t bits = bb_random_system_seed();

            memcpy(secret + i, &bits, sizeof(bits));
        }
        g_once_init_leave(&is_set, 1);
    }
    return secret;
}

/* Builds the table of the keys of all teams. */
static struct bb_key_table *
create_key_table(const struct bb_rules *r)
{
    struct bb_key_table *table;
    guint count = 0;

    for (guint i = 0; i < r->teams->len; i++) {
        const struct bb_team *t = g_ptr_array_index(r->teams, i);

        count += t->keys->len;
    }
    table = bb_key_table_create(count, key_secret());
    for (guint i = 0; i < r->teams->len; i++) {
        const struct bb_team *t = g_ptr_array_index(r->teams, i);

        for (guint k = 0; k < t->keys->len; k++) {
            bb_key_table_add(table, g_ptr_array_index(t->keys, k), t);
        }
    }
    return table;
}

/* Returns the team that holds a key, or NULL. It belongs to the rules, which
 * must be finalized. */
const struct bb_team *
bb_rules_find_team(const struct bb_rules *r, const char *key, size_t key_bytes)
{
    return bb_key_table_find(r->keys, key, key_bytes);
}

/* Validates complete rules and builds their indexes. Returns true if they are
 * valid; they must not be changed afterwards. Otherwise sets the error. */
bool
bb_rules_finalize(struct bb_rules *r, struct bb_error *e)
{
    if (r->limits.request_head_max_bytes == 0 ||
        r->limits.request_body_max_bytes == 0 ||
        r->limits.head_timeout_ms == 0 || r->limits.idle_timeout_ms == 0) {
        return bb_error_set(e, BB_RULES_ERROR_VALUE,
                            "a limit is missing or 0");
    }
    if (!are_valid_teams(r, e)) {
        return false;
    }
    for (guint i = 0; i < r->routes->len; i++) {
        struct bb_rules_route *route = g_ptr_array_index(r->routes, i);

        /* Also a shared route, as its services may be gone. */
        if (!is_valid_route(r, route, e)) {
            return false;
        }
        if (route->key == NULL) {
            finalize_route(route);
        }
        if (route->source != NULL) {
            (void)g_hash_table_add(r->by_source, route);
        }
        if (!g_hash_table_insert(r->by_key, route->key, route)) {
            return bb_error_set(e, BB_RULES_ERROR_VALUE,
                                "route %s: another route has its place",
                                route->name);
        }
    }
    r->keys = create_key_table(r);
    return true;
}

/* Returns the route of a host (a port is ignored) with the longest prefix of
 * the target's path, or NULL. It belongs to the rules: it is valid while the
 * caller holds a reference to them. */
const struct bb_rules_route *
bb_rules_match(const struct bb_rules *r, const char *host, const char *target)
{
    size_t host_bytes = strcspn(host, ":");
    size_t path_bytes = strcspn(target, "?#");

    while (path_bytes > 0) {
        const struct bb_rules_route *route;
        char *key;

        if (target[path_bytes - 1] != '/') {
            path_bytes--;
            continue;
        }
        key = make_key(host, host_bytes, target, path_bytes);
        route = g_hash_table_lookup(r->by_key, key);
        g_free(key);
        if (route != NULL) {
            return route;
        }
        path_bytes--;
    }
    return NULL;
}

/* Takes a reference. */
struct bb_rules *
bb_rules_ref(struct bb_rules *r)
{
    g_atomic_ref_count_inc(&r->reference_count);
    return r;
}

/* Releases a reference; the last one frees the rules. NULL is allowed. */
void
bb_rules_unref(struct bb_rules *r)
{
    if (r != NULL && g_atomic_ref_count_dec(&r->reference_count)) {
        g_hash_table_destroy(r->by_key);
        g_hash_table_destroy(r->by_source);
        g_ptr_array_free(r->routes, TRUE);
        g_ptr_array_free(r->services, TRUE);
        bb_key_table_destroy(r->keys);
        g_ptr_array_free(r->teams, TRUE);
        g_free(r);
    }
}
