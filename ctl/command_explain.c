/* baobabctl explain PATH: shows the route of a request with all its values. */
#include <glib.h>
#include <inttypes.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

/* Returns method bits as a list such as "GET;HEAD". The caller frees it with
 * g_free. */
static char *
format_methods(uint32_t methods)
{
    GString *text = g_string_new(NULL);

    for (uint32_t bit = 1; bit <= BB_METHOD_ANY; bit <<= 1) {
        if ((methods & bit) != 0) {
            g_string_append_printf(text, "%s%s", text->len > 0 ? ";" : "",
                                   bb_method_name((enum bb_method)bit));
        }
    }
    return g_string_free(text, FALSE);
}

/* Returns a route as a JSON object, with defaults filled in. */
static json_t *
route_json(const struct bb_config *config, const struct bb_route *r)
{
    const struct bb_service *s = &config->services[r->service];
    const char *team =
        s->team != BB_INDEX_NONE ? config->teams[s->team].name : "";
    char *methods = format_methods(r->methods);
    json_t *j = json_pack(
        "{s:s, s:s, s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:I}", "route",
        r->name, "path", r->path_prefix, "methods", methods, "service",
        s->name, "team", team, "class",
        r->work_class == BB_WORK_LONG ? "long" : "short", "idempotent",
        r->is_idempotent, "timeout_ms", (json_int_t)r->timeout_ms,
        "retry_limit", (json_int_t)r->retry_limit, "hedge_limit",
        (json_int_t)r->hedge_limit, "hedge_after_ms",
        (json_int_t)r->hedge_after_ms);

    g_free(methods);
    return j;
}

/* Returns the routes of a path for all methods that have one, as a list of
 * {"method", "route"}: a hint if the requested method has none. */
static json_t *
list_routes_by_method(const struct bb_config *config, const char *path)
{
    json_t *list = json_array();

    for (uint32_t bit = 1; bit <= BB_METHOD_ANY; bit <<= 1) {
        const struct bb_route *r =
            bb_config_find_route(config, path, (enum bb_method)bit);

        if (r != NULL) {
            (void)json_array_append_new(
                list, json_pack("{s:s, s:s}", "method",
                                bb_method_name((enum bb_method)bit), "route",
                                r->name));
        }
    }
    return list;
}

/* Prints an explanation as text. */
static void
print_text(const struct bb_ctl_context *c, const json_t *j)
{
    const json_t *route = json_object_get(j, "match");
    const json_t *others = json_object_get(j, "by_method");
    const char *name;
    const json_t *value;

    if (json_is_null(route)) {
        (void)fprintf(c->out, "%s %s: no route\n", c->method, c->operand);
        for (size_t i = 0; i < json_array_size(others); i++) {
            const json_t *o = json_array_get(others, i);

            (void)fprintf(c->out, "%s would take route %s\n",
                          bb_ctl_get_text(o, "method"),
                          bb_ctl_get_text(o, "route"));
        }
        return;
    }
    (void)fprintf(c->out, "%s %s:\n", c->method, c->operand);
    json_object_foreach((json_t *)(uintptr_t)route, name, value)
    {
        char *text = json_dumps(value, JSON_ENCODE_ANY);

        (void)fprintf(c->out, "  %-15s %s\n", name,
                      json_is_string(value) ? json_string_value(value) : text);
        free(text);
    }
}

/* Prints the route of the request. Returns BB_EXIT_FAILED if there is none. */
static enum bb_exit
explain_request(const struct bb_ctl_context *c, const struct bb_config *config,
                enum bb_method method)
{
    const struct bb_route *r =
        bb_config_find_route(config, c->operand, method);
    enum bb_exit result = r != NULL ? BB_EXIT_OK : BB_EXIT_FAILED;
    json_t *j = json_pack(
        "{s:s, s:s, s:o, s:o}", "path", c->operand, "method", c->method,
        "match", r != NULL ? route_json(config, r) : json_null(), "by_method",
        list_routes_by_method(config, c->operand));

    if (c->is_json) {
        result = bb_ctl_print_json(c, j, result);
    }
    else {
        print_text(c, j);
    }
    json_decref(j);
    return result;
}

/* Runs `baobabctl explain`, with the folder of --folder or else with that in
 * force. Returns BB_EXIT_FAILED if no route matches or the folder has faults.
 */
static enum bb_exit
run_explain(const struct bb_ctl_context *c)
{
    enum bb_method method = bb_method_parse(c->method);
    struct bb_config_faults faults = {0};
    struct bb_folder *folder = NULL;
    struct bb_config *config = NULL;
    json_t *response = NULL;
    enum bb_exit result;
    char *text;

    if (method == BB_METHOD_NONE || c->operand[0] != '/' ||
        !g_utf8_validate(c->operand, -1, NULL)) {
        bb_ctl_print_error(c,
                           "give a path that begins with '/' and one of GET, "
                           "HEAD, POST, PUT, DELETE, PATCH and OPTIONS");
        return BB_EXIT_USAGE;
    }
    result = c->folder != NULL ? bb_ctl_read_folder(c, c->folder, &folder)
                               : bb_ctl_fetch_folder(c, &response, &folder);
    if (result != BB_EXIT_OK) {
        return result;
    }
    config = bb_config_compile(folder, &faults);
    if (config == NULL) {
        text = bb_config_faults_format(&faults);
        bb_ctl_print_error(c, "the configuration has faults:\n%s", text);
        g_free(text);
        result = BB_EXIT_FAILED;
    }
    else {
        result = explain_request(c, config, method);
    }
    bb_config_destroy(config);
    bb_config_faults_clear(&faults);
    bb_folder_destroy(folder);
    json_decref(response);
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "PATH",
    .help = "show the route that a request takes",
    .run = run_explain,
};

BB_PLUGIN(explain, BB_PLUGIN_CTL_COMMAND, "explain", &command);
