/* The HTTP server of the administration API, on an address of its own. Its
 * endpoints register as plug-ins of kind BB_PLUGIN_ADMIN_ENDPOINT under the
 * name "METHOD PATH", such as "GET /v1/health".
 *
 * Endpoints run in the thread of their connection, several at the same time.
 * Methods other than GET and HEAD need the bearer token. */
#ifndef BB_ADMIN_ADMIN_H
#define BB_ADMIN_ADMIN_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"
#include "common/registry.h"

enum {
    BB_ADMIN_URL_MAX_BYTES = 8 * 1024, /* path and query */
    /* Memory of libmicrohttpd for one connection; bounds the headers of a
     * request. */
    BB_ADMIN_CONNECTION_MEMORY_BYTES = 32 * 1024,
    BB_ADMIN_BODY_MAX_BYTES = 64 * 1024,
    BB_ADMIN_CONNECTIONS_MAX = 64,
    BB_ADMIN_IDLE_TIMEOUT_S = 10
};

enum bb_admin_error { BB_ADMIN_ERROR_LISTEN = 1 };

/* HTTP status codes that endpoints use. */
enum bb_admin_status {
    BB_ADMIN_OK = 200,
    BB_ADMIN_BAD_REQUEST = 400,
    BB_ADMIN_UNAUTHORIZED = 401,
    BB_ADMIN_FORBIDDEN = 403,
    BB_ADMIN_NOT_FOUND = 404,
    BB_ADMIN_METHOD_NOT_ALLOWED = 405,
    BB_ADMIN_CONFLICT = 409,
    BB_ADMIN_BODY_TOO_LARGE = 413,
    BB_ADMIN_URL_TOO_LONG = 414,
    BB_ADMIN_INTERNAL_ERROR = 500,
    BB_ADMIN_UNAVAILABLE = 503
};

struct bb_admin_request {
    const char *method;
    const char *path; /* without the query */
    const char *body; /* followed by a zero byte that body_bytes leaves out */
    size_t body_bytes;
    void *connection; /* of libmicrohttpd, for bb_admin_get_query_argument */
};

/* The response, filled in by the endpoint: a JSON value, which the server
 * frees, or text appended to the string that the server provides. If both are
 * set, the JSON is sent. */
struct bb_admin_response {
    uint32_t status; /* HTTP status; 0 counts as BB_ADMIN_OK */
    json_t *json;
    GString *text;
    const char *content_type; /* of text; NULL: text/plain in UTF-8 */
};

/* Operations of a plug-in of kind BB_PLUGIN_ADMIN_ENDPOINT. */
struct bb_admin_endpoint {
    /* For readers of the code; the server does not show it. */
    const char *help;
    void (*respond)(void *context, const struct bb_admin_request *request,
                    struct bb_admin_response *response);
};

struct bb_admin_server_settings {
    struct bb_address listen; /* port 0 takes any free port */
    const char *token;        /* NULL or empty: only GET and HEAD */
    void *context;            /* passed to every endpoint */
    /* Adds members to the JSON object of /v1/health; NULL: none. */
    void (*add_health)(void *context, json_t *health);
};

struct bb_admin_server;

struct bb_admin_server *
bb_admin_server_create(const struct bb_admin_server_settings *settings,
                       struct bb_error *e);
uint16_t bb_admin_server_get_port(const struct bb_admin_server *a);
void bb_admin_server_destroy(struct bb_admin_server *a);

const char *bb_admin_get_query_argument(const struct bb_admin_request *request,
                                        const char *name);
void bb_admin_set_error(struct bb_admin_response *response, uint32_t status,
                        const char *code, const char *format, ...)
    __attribute__((format(printf, 4, 5)));
bool bb_admin_is_token_equal(const char *given, const char *expected);

#endif
