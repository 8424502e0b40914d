/* Authorisation, choice of the endpoint, and the endpoints that every process
 * has. */
#include <stdarg.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "internal.h"

#define BEARER "Bearer "

BB_COUNTER(unauthorized, "baobab_admin_unauthorized_total",
           "Administration requests refused for a missing or wrong token");

static uint64_t started_at_us;

/* Notes the start of the process for /v1/health. */
__attribute__((constructor)) static void
note_start(void)
{
    started_at_us = bb_clock_now_us();
}

/* Fills in an error answer: {"error": {"code", "message"}}. */
void
bb_admin_fail(struct bb_admin_answer *answer, uint32_t status,
              const char *code, const char *format, ...)
{
    va_list args;
    char *message;
    char *valid;

    va_start(args, format);
    message = g_strdup_vprintf(format, args);
    va_end(args);
    /* What a caller sent may be quoted, and JSON needs valid UTF-8. */
    valid = g_utf8_make_valid(message, -1);
    bb_admin_answer_clear(answer);
    answer->status = status;
    answer->json =
        json_pack("{s:{s:s, s:s}}", "error", "code", code, "message", valid);
    g_free(valid);
    g_free(message);
}

/* Frees what an answer holds. */
void
bb_admin_answer_clear(struct bb_admin_answer *answer)
{
    json_decref(answer->json);
    answer->json = NULL;
    if (answer->text != NULL) {
        g_string_truncate(answer->text, 0);
    }
}

/* Compares two tokens in a time that depends on neither their content nor
 * where they differ: their digests are compared in full. */
bool
bb_admin_token_equal(const char *given, const char *expected)
{
    struct bb_digest a = bb_digest_of(given, strlen(given));
    struct bb_digest b = bb_digest_of(expected, strlen(expected));
    volatile uint8_t difference = 0;

    for (size_t i = 0; i < BB_DIGEST_BYTES; i++) {
        difference |= a.bytes[i] ^ b.bytes[i];
    }
    return difference == 0;
}

/* Checks the bearer token of a request that can change something. Otherwise
 * fills in the answer and returns false. */
bool
bb_admin_authorize(const struct bb_admin_dispatch *d, const char *method,
                   const char *authorization, struct bb_admin_answer *answer)
{
    if (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0) {
        return true;
    }
    if (d->token == NULL) {
        bb_counter_add(&unauthorized, 1);
        bb_admin_fail(answer, BB_ADMIN_FORBIDDEN, "read-only",
                      "this server has no token configured and answers only "
                      "GET and HEAD");
        return false;
    }
    if (authorization == NULL ||
        g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)) != 0 ||
        !bb_admin_token_equal(authorization + strlen(BEARER), d->token)) {
        bb_counter_add(&unauthorized, 1);
        bb_admin_fail(answer, BB_ADMIN_UNAUTHORIZED, "unauthorized",
                      "send the token as 'Authorization: Bearer TOKEN'");
        return false;
    }
    return true;
}

/* Finds the endpoint of a method and path. HEAD is answered like GET. */
static const struct bb_admin_endpoint *
find_endpoint(const char *method, const char *path)
{
    const char *name_method = strcmp(method, "HEAD") == 0 ? "GET" : method;
    char *name = g_strdup_printf("%s %s", name_method, path);
    const struct bb_admin_endpoint *endpoint =
        bb_registry_find(BB_PLUGIN_ADMIN_ENDPOINT, name);

    g_free(name);
    return endpoint;
}

/* Tells whether a path has an endpoint for any method. */
static bool
path_exists(const char *path)
{
    const struct bb_plugin *p = bb_registry_first(BB_PLUGIN_ADMIN_ENDPOINT);

    while (p != NULL) {
        const char *space = strchr(p->name, ' ');

        if (space != NULL && strcmp(space + 1, path) == 0) {
            return true;
        }
        p = p->next;
    }
    return false;
}

/* Writes the counters of the process in the Prometheus text format. */
static void
handle_metrics(void *context, const struct bb_admin_request *request,
               struct bb_admin_answer *answer)
{
    (void)context;
    (void)request;
    bb_counters_write(answer->text);
    answer->content_type = "text/plain; version=0.0.4; charset=utf-8";
}

/* Answers that the process runs. */
static void
handle_health(void *context, const struct bb_admin_request *request,
              struct bb_admin_answer *answer)
{
    const struct bb_admin_dispatch *d = context;

    (void)request;
    answer->json = json_pack(
        "{s:s, s:s, s:I}", "status", "ok", "software_version", BB_VERSION,
        "uptime_ms",
        (json_int_t)((bb_clock_now_us() - started_at_us) / BB_US_PER_MS));
    if (d->add_health != NULL) {
        d->add_health(d->context, answer->json);
    }
}

static const struct bb_admin_endpoint metrics_endpoint = {
    .help = "counters in the Prometheus text format",
    .handle = handle_metrics,
};

static const struct bb_admin_endpoint health_endpoint = {
    .help = "whether the process runs",
    .handle = handle_health,
};

BB_PLUGIN(metrics, BB_PLUGIN_ADMIN_ENDPOINT, "GET /metrics",
          &metrics_endpoint);
BB_PLUGIN(health, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/health",
          &health_endpoint);

/* Runs the endpoint of an authorised request. */
void
bb_admin_dispatch(const struct bb_admin_dispatch *d,
                  const struct bb_admin_request *request,
                  struct bb_admin_answer *answer)
{
    const struct bb_admin_endpoint *endpoint =
        find_endpoint(request->method, request->path);

    if (endpoint == NULL && path_exists(request->path)) {
        bb_admin_fail(answer, BB_ADMIN_METHOD_NOT_ALLOWED,
                      "method-not-allowed", "%s does not accept %s",
                      request->path, request->method);
        return;
    }
    if (endpoint == NULL) {
        bb_admin_fail(answer, BB_ADMIN_NOT_FOUND, "not-found",
                      "there is no %.200s", request->path);
        return;
    }
    /* Health is answered by the server itself, from its own options. */
    endpoint->handle(endpoint == &health_endpoint ? (void *)(uintptr_t)d
                                                  : d->context,
                     request, answer);
}
