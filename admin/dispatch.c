/* Authorises requests, finds their endpoints, and implements /metrics and
 * /v1/health, which every process has. */
#include <stdarg.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "internal.h"

#define BEARER "Bearer "

BB_COUNTER(unauthorized, "baobab_admin_unauthorized_total",
           "Administration requests refused for a missing or wrong token");

static uint64_t process_start_us;

/* Records the start of the process, for uptime_ms in /v1/health. */
__attribute__((constructor)) static void
record_process_start(void)
{
    process_start_us = bb_clock_now_us();
}

/* Replaces the content of a response by an error: {"error": {"code",
 * "message"}}. The status is one of enum bb_admin_status; the code is a short
 * constant for programs, such as "not-found". */
void
bb_admin_set_error(struct bb_admin_response *response, uint32_t status,
                   const char *code, const char *format, ...)
{
    va_list args;
    char *message;
    char *valid;

    va_start(args, format);
    message = g_strdup_vprintf(format, args);
    va_end(args);
    /* The message can quote the request, but JSON needs valid UTF-8. */
    valid = g_utf8_make_valid(message, -1);
    bb_admin_response_clear(response);
    response->status = status;
    response->json =
        json_pack("{s:{s:s, s:s}}", "error", "code", code, "message", valid);
    g_free(valid);
    g_free(message);
}

/* Frees the JSON of a response and empties its text. */
void
bb_admin_response_clear(struct bb_admin_response *response)
{
    json_decref(response->json);
    response->json = NULL;
    if (response->text != NULL) {
        g_string_truncate(response->text, 0);
    }
}

/* Returns whether two tokens are equal. The time does not depend on where they
 * differ, because their digests are compared in full; otherwise a caller could
 * guess the token byte by byte. */
bool
bb_admin_is_token_equal(const char *given, const char *expected)
{
    struct bb_digest a = bb_digest_compute(given, strlen(given));
    struct bb_digest b = bb_digest_compute(expected, strlen(expected));
    volatile uint8_t difference = 0;

    for (size_t i = 0; i < BB_DIGEST_BYTES; i++) {
        difference |= a.bytes[i] ^ b.bytes[i];
    }
    return difference == 0;
}

/* Checks the bearer token of a request; GET and HEAD need none. Returns false
 * with an error response if the token is missing or wrong, or the server has
 * none. */
bool
bb_admin_authorize(const struct bb_admin_request_settings *o,
                   const char *method, const char *authorization,
                   struct bb_admin_response *response)
{
    if (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0) {
        return true;
    }
    if (o->token == NULL) {
        bb_counter_add(&unauthorized, 1);
        bb_admin_set_error(
            response, BB_ADMIN_FORBIDDEN, "read-only",
            "this server has no token configured and answers only "
            "GET and HEAD");
        return false;
    }
    if (authorization == NULL ||
        g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)) != 0 ||
        !bb_admin_is_token_equal(authorization + strlen(BEARER), o->token)) {
        bb_counter_add(&unauthorized, 1);
        bb_admin_set_error(response, BB_ADMIN_UNAUTHORIZED, "unauthorized",
                           "send the token as 'Authorization: Bearer TOKEN'");
        return false;
    }
    return true;
}

/* Returns the endpoint for a method and path, or NULL. HEAD uses that of GET.
 */
static const struct bb_admin_endpoint *
find_endpoint(const char *method, const char *path)
{
    const char *name_method = strcmp(method, "HEAD") == 0 ? "GET" : method;
    char *name = g_strdup_printf("%s %s", name_method, path);
    const struct bb_admin_endpoint *endpoint =
        bb_plugin_find(BB_PLUGIN_ADMIN_ENDPOINT, name);

    g_free(name);
    return endpoint;
}

/* Returns whether a path has an endpoint for any method. */
static bool
is_known_path(const char *path)
{
    const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_ADMIN_ENDPOINT);

    while (p != NULL) {
        const char *space = strchr(p->name, ' ');

        if (space != NULL && strcmp(space + 1, path) == 0) {
            return true;
        }
        p = p->next;
    }
    return false;
}

/* GET /metrics: the counters of the process in the Prometheus text format. */
static void
respond_with_metrics(void *context, const struct bb_admin_request *request,
                     struct bb_admin_response *response)
{
    (void)context;
    (void)request;
    bb_counters_write(response->text);
    response->content_type = "text/plain; version=0.0.4; charset=utf-8";
}

/* GET /v1/health: the status "ok", the software version, the uptime and the
 * members of add_health. The context is struct bb_admin_request_settings. */
static void
respond_with_health(void *context, const struct bb_admin_request *request,
                    struct bb_admin_response *response)
{
    const struct bb_admin_request_settings *o = context;

    (void)request;
    response->json = json_pack(
        "{s:s, s:s, s:I}", "status", "ok", "software_version", BB_VERSION,
        "uptime_ms",
        (json_int_t)((bb_clock_now_us() - process_start_us) / BB_US_PER_MS));
    if (o->add_health != NULL) {
        o->add_health(o->context, response->json);
    }
}

static const struct bb_admin_endpoint metrics_endpoint = {
    .help = "counters in the Prometheus text format",
    .respond = respond_with_metrics,
};

static const struct bb_admin_endpoint health_endpoint = {
    .help = "whether the process runs",
    .respond = respond_with_health,
};

BB_PLUGIN(metrics, BB_PLUGIN_ADMIN_ENDPOINT, "GET /metrics",
          &metrics_endpoint);
BB_PLUGIN(health, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/health",
          &health_endpoint);

/* Runs the endpoint of an authorised request, or fills in an error response if
 * there is none. */
void
bb_admin_dispatch(const struct bb_admin_request_settings *o,
                  const struct bb_admin_request *request,
                  struct bb_admin_response *response)
{
    const struct bb_admin_endpoint *endpoint =
        find_endpoint(request->method, request->path);

    if (endpoint == NULL && is_known_path(request->path)) {
        bb_admin_set_error(response, BB_ADMIN_METHOD_NOT_ALLOWED,
                           "method-not-allowed", "%s does not accept %s",
                           request->path, request->method);
        return;
    }
    if (endpoint == NULL) {
        bb_admin_set_error(response, BB_ADMIN_NOT_FOUND, "not-found",
                           "there is no %.200s", request->path);
        return;
    }
    /* /v1/health needs add_health from the settings of the server. */
    endpoint->respond(endpoint == &health_endpoint ? (void *)(uintptr_t)o
                                                   : o->context,
                      request, response);
}
