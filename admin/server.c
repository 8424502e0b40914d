/* The HTTP server of the administration API: libmicrohttpd with one thread per
 * connection. */
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "internal.h"

BB_COUNTER(requests, "baobab_admin_requests_total",
           "Administration requests received");
BB_COUNTER(rejected, "baobab_admin_rejected_total",
           "Administration requests refused for their size or form");

struct bb_admin_server {
    struct MHD_Daemon *daemon;
    struct bb_admin_request_settings request_settings;
    uint16_t port;
};

/* A request that is being received. */
struct pending_request {
    size_t url_bytes; /* of path and query */
    bool has_checked_headers;
    GString *body;
};

/* Creates the state of a request. Called with the whole URL, whose length is
 * checked later: handle_request_part gets only the path. */
static void *
create_request(void *context, const char *uri,
               struct MHD_Connection *connection)
{
    struct pending_request *p = g_new0(struct pending_request, 1);

    (void)context;
    (void)connection;
    p->url_bytes = strlen(uri);
    p->body = g_string_new(NULL);
    return p;
}

/* Frees the state of a request, after its response or after the connection
 * has failed. */
static void
free_request(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct pending_request *p = *state;

    (void)context;
    (void)connection;
    (void)code;
    if (p != NULL) {
        g_string_free(p->body, TRUE);
        g_free(p);
        *state = NULL;
    }
}

/* Queues a response for sending and frees its JSON. */
static enum MHD_Result
queue_response(struct MHD_Connection *connection,
               struct bb_admin_response *response)
{
    const char *type = response->content_type;
    struct MHD_Response *mhd_response;
    enum MHD_Result result;

    if (response->json != NULL) {
        char *text = json_dumps(response->json, JSON_COMPACT);

        g_string_assign(response->text, text != NULL ? text : "null");
        g_string_append_c(response->text, '\n');
        free(text);
        type = "application/json";
    }
    mhd_response = MHD_create_response_from_buffer(
        response->text->len, response->text->str, MHD_RESPMEM_MUST_COPY);
    (void)MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
                                  type != NULL ? type
                                               : "text/plain; charset=utf-8");
    (void)MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CACHE_CONTROL,
                                  "no-store");
    if (response->status == BB_ADMIN_UNAUTHORIZED) {
        (void)MHD_add_response_header(
            mhd_response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
    }
    result = MHD_queue_response(
        connection, response->status != 0 ? response->status : BB_ADMIN_OK,
        mhd_response);
    MHD_destroy_response(mhd_response);
    json_decref(response->json);
    return result;
}

/* Returns the value of a request header, or NULL. */
static const char *
find_header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* Checks the length of the URL, the token and the declared length of the body,
 * all before the body is received. Returns false with an error response if the
 * request is refused. */
static bool
check_headers(const struct bb_admin_server *a, const struct pending_request *p,
              struct MHD_Connection *connection, const char *method,
              struct bb_admin_response *response)
{
    const char *length =
        find_header(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);

    if (p->url_bytes > BB_ADMIN_URL_MAX_BYTES) {
        bb_counter_add(&rejected, 1);
        bb_admin_set_error(response, BB_ADMIN_URL_TOO_LONG, "url-too-long",
                           "the URL has more than %d bytes",
                           BB_ADMIN_URL_MAX_BYTES);
        return false;
    }
    if (!bb_admin_authorize(
            &a->request_settings, method,
            find_header(connection, MHD_HTTP_HEADER_AUTHORIZATION),
            response)) {
        return false;
    }
    if (length != NULL &&
        strtoull(length, NULL, 10) > BB_ADMIN_BODY_MAX_BYTES) {
        bb_counter_add(&rejected, 1);
        bb_admin_set_error(response, BB_ADMIN_BODY_TOO_LARGE, "body-too-large",
                           "the body has more than %d bytes",
                           BB_ADMIN_BODY_MAX_BYTES);
        return false;
    }
    return true;
}

/* Called by libmicrohttpd several times for a request: first after the
 * headers, then for each part of the body, then at the end. Returns MHD_NO to
 * close the connection. */
static enum MHD_Result
handle_request_part(void *context, struct MHD_Connection *connection,
                    const char *url, const char *method, const char *version,
                    const char *upload, size_t *upload_bytes, void **state)
{
    const struct bb_admin_server *a = context;
    struct pending_request *p = *state;
    struct bb_admin_response response = {0};
    enum MHD_Result result = MHD_YES;

    (void)version;
    if (p == NULL) {
        return MHD_NO;
    }
    response.text = g_string_new(NULL);
    if (!p->has_checked_headers) {
        p->has_checked_headers = true;
        bb_counter_add(&requests, 1);
        if (!check_headers(a, p, connection, method, &response)) {
            result = queue_response(connection, &response);
        }
    }
    else if (*upload_bytes > 0) {
        /* A chunked body over the limit closes the connection, because
         * libmicrohttpd accepts no response in the middle of a body. */
        if (*upload_bytes > BB_ADMIN_BODY_MAX_BYTES - p->body->len) {
            bb_counter_add(&rejected, 1);
            result = MHD_NO;
        }
        else {
            g_string_append_len(p->body, upload, (gssize)*upload_bytes);
            *upload_bytes = 0;
        }
    }
    else {
        struct bb_admin_request request = {.method = method,
                                           .path = url,
                                           .body = p->body->str,
                                           .body_bytes = p->body->len,
                                           .connection = connection};

        bb_admin_dispatch(&a->request_settings, &request, &response);
        result = queue_response(connection, &response);
    }
    g_string_free(response.text, TRUE);
    return result;
}

/* Returns the decoded value of an argument in the query, or NULL if it is
 * missing. It is valid until the endpoint returns. */
const char *
bb_admin_get_query_argument(const struct bb_admin_request *request,
                            const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Counts messages of libmicrohttpd, which are about malformed requests. They
 * are not logged, because any client could fill the log with them. */
static void
count_message(void *context, const char *format, va_list args)
{
    (void)context;
    (void)format;
    (void)args;
    bb_counter_add(&rejected, 1);
}

/* Starts the daemon of libmicrohttpd; returns NULL if that fails. */
static struct MHD_Daemon *
start_daemon(struct bb_admin_server *a, const struct bb_address *listen)
{
    struct sockaddr_storage address;
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD |
                     MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL |
                     MHD_USE_ERROR_LOG;

    (void)bb_address_to_sockaddr(listen, &address);
    if (address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, listen->port, NULL, NULL, handle_request_part, a,
        MHD_OPTION_EXTERNAL_LOGGER, count_message, NULL, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)BB_ADMIN_CONNECTIONS_MAX, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned)BB_ADMIN_IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)BB_ADMIN_CONNECTION_MEMORY_BYTES, MHD_OPTION_STRICT_FOR_CLIENT,
        1, MHD_OPTION_URI_LOG_CALLBACK, create_request, NULL,
        MHD_OPTION_NOTIFY_COMPLETED, free_request, NULL, MHD_OPTION_END);
}

/* Starts the server. The token is copied; the context must outlive the server.
 * Returns NULL with BB_ADMIN_ERROR_LISTEN if the address cannot be used. */
struct bb_admin_server *
bb_admin_server_create(const struct bb_admin_server_settings *settings,
                       struct bb_error *e)
{
    struct bb_admin_server *a = g_new0(struct bb_admin_server, 1);
    const union MHD_DaemonInfo *info;
    char text[BB_ADDRESS_TEXT_BYTES];

    if (settings->token != NULL && settings->token[0] != '\0') {
        a->request_settings.token = g_strdup(settings->token);
    }
    a->request_settings.context = settings->context;
    a->request_settings.add_health = settings->add_health;
    a->daemon = start_daemon(a, &settings->listen);
    if (a->daemon == NULL) {
        bb_error_set(e, BB_ADMIN_ERROR_LISTEN,
                     "cannot listen for administration on %s",
                     bb_address_format(&settings->listen, text));
        bb_admin_server_destroy(a);
        return NULL;
    }
    info = MHD_get_daemon_info(a->daemon, MHD_DAEMON_INFO_BIND_PORT);
    a->port = info != NULL ? info->port : settings->listen.port;
    return a;
}

/* Returns the TCP port that the server listens on. */
uint16_t
bb_admin_server_get_port(const struct bb_admin_server *a)
{
    return a->port;
}

/* Stops the server, waits until the running endpoints have returned, and frees
 * it; NULL is allowed. */
void
bb_admin_server_destroy(struct bb_admin_server *a)
{
    if (a == NULL) {
        return;
    }
    if (a->daemon != NULL) {
        MHD_stop_daemon(a->daemon);
    }
    g_free(a->request_settings.token);
    g_free(a);
}
