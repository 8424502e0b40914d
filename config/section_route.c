/* The section [route NAME]. */
#include <string.h>

#include "common/registry.h"
#include "config/compile.h"
#include "merge.h"

enum {
    METHOD_COUNT = 7,
    /* Methods that change nothing at the upstream. A route with only these is
     * idempotent by default. */
    SAFE_METHODS = BB_METHOD_GET | BB_METHOD_HEAD | BB_METHOD_OPTIONS
};

static const struct bb_key_spec keys[] = {
    {.name = "path", .is_required = true},
    {.name = "methods"},
    {.name = "service", .is_required = true},
    {.name = "class", .default_text = "short"},
    {.name = "idempotent"},
    {.name = "timeout-ms", .default_text = "10000", .min = 1, .max = 3600000},
    {.name = "retry-limit", .default_text = "2", .max = 10},
    {.name = "hedge-limit", .max = 3},
    {.name = "hedge-after-ms", .default_text = "0", .max = 3600000},
};

/* Appends a route that has only its name so far. */
static void
add_route(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_route r = {.service = BB_INDEX_NONE};

    (void)g_strlcpy(r.name, s->name, sizeof(r.name));
    (void)bb_section_append_item(c, s, c->routes, &r);
}

/* Reads the path prefix. It must be absolute, without query, fragment, white
 * space, percent escapes, backslashes, and empty, "." or ".." components, so
 * that there is only one spelling of each prefix. */
static void
read_path(struct bb_compilation *c, struct bb_section *s, struct bb_route *r)
{
    const char *path = bb_section_get_text(c, s, "path");

    if (path == NULL) {
        return;
    }
    if (path[0] != '/' || strlen(path) >= BB_PATH_BYTES) {
        bb_section_add_fault(c, s, "path",
                             "must begin with '/' and have at most %d bytes",
                             BB_PATH_BYTES - 1);
        return;
    }
    for (const char *p = path; *p != '\0'; p++) {
        if (!g_ascii_isgraph(*p) || strchr("?#%\\", *p) != NULL) {
            bb_section_add_fault(
                c, s, "path",
                "must be printable ASCII without white space, "
                "'?', '#', '%%' and '\\'");
            return;
        }
    }
    if (strstr(path, "//") != NULL || strstr(path, "/./") != NULL ||
        strstr(path, "/../") != NULL || g_str_has_suffix(path, "/.") ||
        g_str_has_suffix(path, "/..")) {
        bb_section_add_fault(c, s, "path",
                             "must not have empty, '.' or '..' components");
        return;
    }
    (void)g_strlcpy(r->path_prefix, path, sizeof(r->path_prefix));
}

/* Reads the list of methods. A missing list means all methods; an empty one is
 * a fault. */
static void
read_methods(struct bb_compilation *c, struct bb_section *s,
             struct bb_route *r)
{
    char **names = bb_section_get_list(c, s, "methods");

    for (size_t i = 0; names[i] != NULL; i++) {
        enum bb_method m = bb_method_parse(names[i]);

        if (m == BB_METHOD_NONE) {
            bb_section_add_fault(
                c, s, "methods",
                "'%s' is none of GET, HEAD, POST, PUT, DELETE, "
                "PATCH and OPTIONS",
                names[i]);
        }
        r->methods |= m;
    }
    if (names[0] == NULL) {
        if (bb_section_has_key(s, "methods")) {
            bb_section_add_fault(c, s, "methods", "is empty");
        }
        r->methods = BB_METHOD_ANY;
    }
    g_strfreev(names);
}

/* Reads the work class, short or long. */
static void
read_class(struct bb_compilation *c, struct bb_section *s, struct bb_route *r)
{
    const char *text = bb_section_get_text(c, s, "class");

    if (strcmp(text, "long") == 0) {
        r->work_class = BB_WORK_LONG;
    }
    else if (strcmp(text, "short") != 0) {
        bb_section_add_fault(c, s, "class", "'%s' is neither short nor long",
                             text);
    }
}

/* Reads the keys of hedging. The limit is 1 by default for idempotent short
 * work and must be 0 for other routes: a hedge can run a request twice, and a
 * second copy of long work costs too much. */
static void
read_hedges(struct bb_compilation *c, struct bb_section *s, struct bb_route *r)
{
    bool is_hedging_allowed =
        r->is_idempotent && r->work_class == BB_WORK_SHORT;

    if (bb_section_has_key(s, "hedge-limit")) {
        r->hedge_limit = (uint32_t)bb_section_get_number(c, s, "hedge-limit");
        if (r->hedge_limit > 0 && !is_hedging_allowed) {
            bb_section_add_fault(c, s, "hedge-limit",
                                 "must be 0: only short idempotent routes are "
                                 "hedged");
        }
    }
    else {
        r->hedge_limit = is_hedging_allowed ? 1 : 0;
    }
    r->hedge_after_ms =
        (uint32_t)bb_section_get_number(c, s, "hedge-after-ms");
    if (r->hedge_after_ms >= r->timeout_ms) {
        bb_section_add_fault(c, s, "hedge-after-ms",
                             "must be below timeout-ms (%u)", r->timeout_ms);
    }
}

/* Fills in the route from the keys of its section. */
static void
read_route(struct bb_compilation *c, struct bb_section *s)
{
    struct bb_route *r = &g_array_index(c->routes, struct bb_route, s->index);
    const char *service = bb_section_get_text(c, s, "service");

    read_path(c, s, r);
    read_methods(c, s, r);
    if (service != NULL) {
        (void)bb_section_resolve_reference(c, s, "service", "service", service,
                                           &r->service);
    }
    read_class(c, s, r);
    r->is_idempotent = bb_section_get_boolean(
        c, s, "idempotent", (r->methods & ~SAFE_METHODS) == 0);
    r->timeout_ms = (uint32_t)bb_section_get_number(c, s, "timeout-ms");
    r->retry_limit = (uint32_t)bb_section_get_number(c, s, "retry-limit");
    read_hedges(c, s, r);
}

/* Orders routes by descending length of the prefix, then by prefix and name.
 */
static int
compare_routes(const void *a, const void *b)
{
    const struct bb_route *x = a;
    const struct bb_route *y = b;
    size_t x_length = strlen(x->path_prefix);
    size_t y_length = strlen(y->path_prefix);
    int order;

    if (x_length != y_length) {
        return x_length > y_length ? -1 : 1;
    }
    order = strcmp(x->path_prefix, y->path_prefix);
    return order != 0 ? order : strcmp(x->name, y->name);
}

/* Adds a fault if an earlier route with the same prefix accepts one of the
 * methods of r. route_by_method holds, for each method bit, the first route
 * with this prefix, or NULL; r is entered where there is none. */
static void
check_overlap(struct bb_compilation *c, const struct bb_route *r,
              const struct bb_route *route_by_method[METHOD_COUNT])
{
    const struct bb_route *other = NULL;

    for (uint32_t bit = 0; bit < METHOD_COUNT; bit++) {
        if ((r->methods & (1U << bit)) == 0) {
            continue;
        }
        if (route_by_method[bit] == NULL) {
            route_by_method[bit] = r;
        }
        else if (other == NULL) {
            other = route_by_method[bit];
            bb_section_add_fault(c, bb_section_find(c, "route", r->name),
                                 "path",
                                 "%s %s is already matched by [route %s]",
                                 bb_method_name((enum bb_method)(1U << bit)),
                                 r->path_prefix, other->name);
        }
    }
}

/* Sorts the routes in the order in which they are matched, and adds a fault
 * for each that matches the same requests as an earlier one. */
static void
check_routes(struct bb_compilation *c)
{
    const struct bb_route *route_by_method[METHOD_COUNT] = {0};

    g_array_sort(c->routes, compare_routes);
    for (uint32_t i = 0; i < c->routes->len; i++) {
        const struct bb_route *r =
            &g_array_index(c->routes, struct bb_route, i);

        if (i == 0 || strcmp(r->path_prefix, (r - 1)->path_prefix) != 0) {
            memset(route_by_method, 0, sizeof(route_by_method));
        }
        /* The prefix is empty after a fault in read_path. */
        if (r->path_prefix[0] != '\0') {
            check_overlap(c, r, route_by_method);
        }
    }
}

static const struct bb_section_operations operations = {
    .has_name = true,
    .keys = keys,
    .key_count = G_N_ELEMENTS(keys),
    .add = add_route,
    .read = read_route,
    .check = check_routes,
};

BB_PLUGIN(route, BB_PLUGIN_CONFIG_SECTION, "route", &operations);
