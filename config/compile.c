/* Validates the merged sections and compiles them, by way of the section
 * handlers. Also formats the merged configuration and finds routes. */
#include "config/compile.h"

#include <string.h>

#include "bundle_codec.h"
#include "common/registry.h"
#include "config/bundle.h"
#include "merge.h"

struct method_entry {
    const char *name;
    enum bb_method method;
};

static const struct method_entry methods[] = {
    {"GET", BB_METHOD_GET},        {"HEAD", BB_METHOD_HEAD},
    {"POST", BB_METHOD_POST},      {"PUT", BB_METHOD_PUT},
    {"DELETE", BB_METHOD_DELETE},  {"PATCH", BB_METHOD_PATCH},
    {"OPTIONS", BB_METHOD_OPTIONS}};

/* Returns the method with a name, which must be in upper case, or
 * BB_METHOD_NONE for an unknown one. */
enum bb_method
bb_method_parse(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return methods[i].method;
        }
    }
    return BB_METHOD_NONE;
}

/* Returns the name of one method; it is a constant. */
const char *
bb_method_name(enum bb_method m)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (methods[i].method == m) {
            return methods[i].name;
        }
    }
    return "unknown";
}

/* Returns whether a section may have this name: 1 to BB_NAME_BYTES - 1
 * letters, digits, '-', '_', '.' and ':'. The last two allow an IP address as
 * the name of a host. */
static bool
is_valid_section_name(const char *name)
{
    size_t length = strlen(name);

    if (length == 0 || length >= BB_NAME_BYTES) {
        return false;
    }
    for (const char *p = name; *p != '\0'; p++) {
        if (!g_ascii_isalnum(*p) && strchr("-_.:", *p) == NULL) {
            return false;
        }
    }
    return true;
}

/* Returns the kinds of sections, separated by commas, for the text of a fault.
 * The caller frees it with g_free. */
static char *
list_section_kinds(void)
{
    GString *text = g_string_new(NULL);

    for (const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_CONFIG_SECTION);
         p != NULL; p = p->next) {
        g_string_append_printf(text, "%s%s", text->len > 0 ? ", " : "",
                               p->name);
    }
    return g_string_free(text, FALSE);
}

/* Checks the title of a section. Returns the operations of its section
 * handler, or NULL with a fault. */
static const struct bb_section_operations *
check_title(struct bb_compilation *c, const struct bb_section *s)
{
    const struct bb_section_operations *o =
        bb_section_find_operations(s->kind);

    if (o == NULL) {
        char *kinds = list_section_kinds();

        bb_section_add_fault(c, s, NULL, "unknown section; there are: %s",
                             kinds);
        g_free(kinds);
        return NULL;
    }
    if (!o->has_name) {
        if (strcmp(s->title, s->kind) != 0) {
            bb_section_add_fault(c, s, NULL, "this section has no name");
            return NULL;
        }
        return o;
    }
    if (!is_valid_section_name(s->name)) {
        bb_section_add_fault(
            c, s, NULL,
            "needs a name of 1 to %d letters, digits, '-', '_', "
            "'.' or ':'",
            BB_NAME_BYTES - 1);
        return NULL;
    }
    return o;
}

/* Adds a fault for each key that sections of this kind do not have. */
static void
check_keys(struct bb_compilation *c, const struct bb_section *s,
           const struct bb_section_operations *o)
{
    for (uint32_t i = 0; i < s->values->len; i++) {
        const struct bb_merged_value *v = g_ptr_array_index(s->values, i);

        if (bb_section_find_key_spec(o, v->key) == NULL) {
            bb_section_add_fault(c, s, v->key, "unknown key of a %s section",
                                 s->kind);
        }
    }
}

/* Returns whether the title passed check_title and, for a kind with names, the
 * section was added. */
static bool
is_title_valid(const struct bb_section *s,
               const struct bb_section_operations *o)
{
    return o->has_name ? s->index != BB_INDEX_NONE
                       : strcmp(s->title, s->kind) == 0;
}

/* Calls the operations of the section handlers in their order: add for every
 * section, read for every section, check for every handler. */
static void
compile_sections(struct bb_compilation *c)
{
    GPtrArray *sections = c->merged->sections;

    for (uint32_t i = 0; i < sections->len; i++) {
        struct bb_section *s = g_ptr_array_index(sections, i);
        const struct bb_section_operations *o = check_title(c, s);

        s->index = BB_INDEX_NONE;
        if (o != NULL) {
            check_keys(c, s, o);
            if (o->add != NULL) {
                o->add(c, s);
            }
        }
    }
    for (uint32_t i = 0; i < sections->len; i++) {
        struct bb_section *s = g_ptr_array_index(sections, i);
        const struct bb_section_operations *o =
            bb_section_find_operations(s->kind);

        if (o != NULL && o->read != NULL && is_title_valid(s, o)) {
            o->read(c, s);
        }
    }
    for (const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_CONFIG_SECTION);
         p != NULL; p = p->next) {
        const struct bb_section_operations *o = p->operations;

        if (o->check != NULL) {
            o->check(c);
        }
    }
}

/* Moves the compiled items into the configuration and frees their arrays. */
static void
move_items_to_config(struct bb_compilation *c)
{
    struct bb_config *config = c->config;

    config->team_count = (uint16_t)c->teams->len;
    config->teams = (struct bb_team *)g_array_free(c->teams, FALSE);
    config->service_count = (uint16_t)c->services->len;
    config->services = (struct bb_service *)g_array_free(c->services, FALSE);
    config->route_count = (uint16_t)c->routes->len;
    config->routes = (struct bb_route *)g_array_free(c->routes, FALSE);
    config->region_count = (uint16_t)c->regions->len;
    config->regions = (struct bb_region *)g_array_free(c->regions, FALSE);
    config->zone_count = (uint16_t)c->zones->len;
    config->zones = (struct bb_zone *)g_array_free(c->zones, FALSE);
    config->drain_count = (uint16_t)c->drains->len;
    config->drains = (struct bb_drain *)g_array_free(c->drains, FALSE);
}

/* Sets the limits to their defaults if the folder has no [limits] section, by
 * reading an empty one. limits is zeroed memory for that section; it must stay
 * valid only during the call. */
static void
read_default_limits(struct bb_compilation *c, struct bb_section *limits)
{
    if (!g_hash_table_contains(c->merged->by_title, "limits")) {
        const struct bb_section_operations *o =
            bb_section_find_operations("limits");

        limits->title = "limits";
        limits->kind = "limits";
        limits->name = "";
        limits->by_key = g_hash_table_new(g_str_hash, g_str_equal);
        o->read(c, limits);
        g_hash_table_destroy(limits->by_key);
    }
}

/* Adds a fault for a folder that is within the limits of struct bb_folder but
 * whose encoded form is too large to be sent. Encodes the folder only if it
 * may be that large. */
static void
check_encoded_size(const struct bb_folder *f, struct bb_config_faults *faults)
{
    /* Encoded name, lengths and padding of one file. */
    const size_t file_overhead_bytes =
        BB_FOLDER_FILE_NAME_MAX_BYTES + BB_FILE_ENCODED_OVERHEAD_BYTES;
    struct bb_rosters none = {0};
    struct bb_bundle b = {.digest = f->digest,
                          .folder = (struct bb_folder *)(uintptr_t)f,
                          .rosters = &none};
    uint8_t *bytes;
    size_t size;

    /* zstd adds less than 1% to data that it cannot compress. */
    if (f->size_bytes + f->file_count * file_overhead_bytes <
        BB_BUNDLE_FOLDER_MAX_BYTES / 100 * 99) {
        return;
    }
    bb_bundle_encode(&b, &bytes, &size);
    if (size > BB_BUNDLE_FOLDER_MAX_BYTES) {
        bb_config_faults_add(
            faults, NULL, NULL, NULL,
            "the folder has %zu bytes when compressed; at most %d "
            "can be sent",
            size, BB_BUNDLE_FOLDER_MAX_BYTES);
    }
    g_free(bytes);
}

/* Validates and compiles a folder. Appends every fault to faults and returns
 * NULL if there is one. The caller sets the revision of the result, which is
 * 0, and frees it with bb_config_destroy. */
struct bb_config *
bb_config_compile(const struct bb_folder *folder,
                  struct bb_config_faults *faults)
{
    struct bb_section limits = {0};
    uint32_t faults_before = faults->count;
    struct bb_compilation c = {
        .config = g_new0(struct bb_config, 1),
        .merged = bb_merged_config_create(folder, faults),
        .faults = faults,
        .teams = g_array_new(FALSE, TRUE, sizeof(struct bb_team)),
        .services = g_array_new(FALSE, TRUE, sizeof(struct bb_service)),
        .routes = g_array_new(FALSE, TRUE, sizeof(struct bb_route)),
        .regions = g_array_new(FALSE, TRUE, sizeof(struct bb_region)),
        .zones = g_array_new(FALSE, TRUE, sizeof(struct bb_zone)),
        .drains = g_array_new(FALSE, TRUE, sizeof(struct bb_drain)),
    };

    c.config->folder_digest = folder->digest;
    compile_sections(&c);
    read_default_limits(&c, &limits);
    move_items_to_config(&c);
    check_encoded_size(folder, faults);
    bb_merged_config_destroy(c.merged);
    if (faults->count > faults_before) {
        bb_config_destroy(c.config);
        c.config = NULL;
    }
    return c.config;
}

/* Frees a compiled configuration; NULL is allowed. */
void
bb_config_destroy(struct bb_config *c)
{
    if (c == NULL) {
        return;
    }
    for (uint16_t i = 0; i < c->service_count; i++) {
        g_free(c->services[i].callees);
    }
    g_free(c->teams);
    g_free(c->services);
    g_free(c->routes);
    g_free(c->regions);
    g_free(c->zones);
    g_free(c->drains);
    g_free(c);
}

/* Calls visit for each value of the merged configuration, section by section.
 * Files that cannot be parsed are skipped without an error. */
void
bb_config_visit_merged_values(const struct bb_folder *folder,
                              bb_config_value_visitor visit, void *context)
{
    struct bb_config_faults faults = {0};
    struct bb_merged_config *m = bb_merged_config_create(folder, &faults);

    for (uint32_t i = 0; i < m->sections->len; i++) {
        const struct bb_section *s = g_ptr_array_index(m->sections, i);

        if (s->values->len == 0) {
            visit(context, s->title, "", "", s->file);
        }
        for (uint32_t k = 0; k < s->values->len; k++) {
            const struct bb_merged_value *v = g_ptr_array_index(s->values, k);

            visit(context, s->title, v->key, v->raw, v->file);
        }
    }
    bb_merged_config_destroy(m);
    bb_config_faults_clear(&faults);
}

struct merged_text {
    GString *text;
    char *section_title; /* of the section written last, NULL at first */
};

/* Appends one value, after the title of its section if that is a new one. */
static void
append_value(void *context, const char *section_title, const char *key,
             const char *value, const char *file)
{
    struct merged_text *t = context;

    if (g_strcmp0(t->section_title, section_title) != 0) {
        g_string_append_printf(t->text, "%s[%s]\n",
                               t->text->len > 0 ? "\n" : "", section_title);
        g_free(t->section_title);
        t->section_title = g_strdup(section_title);
    }
    g_string_append_printf(t->text, "# from %s\n", file);
    if (key[0] != '\0') {
        g_string_append_printf(t->text, "%s=%s\n", key, value);
    }
}

/* Returns the merged configuration of a folder as text, with a comment above
 * each value that names its file. The caller frees it with g_free. */
char *
bb_config_format_merged(const struct bb_folder *folder)
{
    struct merged_text t = {.text = g_string_new(NULL)};

    bb_config_visit_merged_values(folder, append_value, &t);
    g_free(t.section_title);
    return g_string_free(t.text, FALSE);
}

/* Returns whether a prefix matches whole components of a path: /proofs matches
 * /proofs, /proofs/1 and /proofs?x but not /proofs2. */
static bool
path_has_prefix(const char *path, const char *prefix)
{
    size_t length = strlen(prefix);

    if (strncmp(path, prefix, length) != 0) {
        return false;
    }
    return prefix[length - 1] == '/' || path[length] == '\0' ||
           path[length] == '/' || path[length] == '?';
}

/* Returns the route with the longest prefix that matches a path, which may
 * have a query, and accepts the method. Returns NULL if there is none. The
 * route belongs to c. */
const struct bb_route *
bb_config_find_route(const struct bb_config *c, const char *path,
                     enum bb_method method)
{
    for (uint16_t i = 0; i < c->route_count; i++) {
        const struct bb_route *r = &c->routes[i];

        if ((r->methods & method) != 0 &&
            path_has_prefix(path, r->path_prefix)) {
            return r;
        }
    }
    return NULL;
}
