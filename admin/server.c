/* The HTTP side of the administration API, by libmicrohttpd with one thread a
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

struct bb_admin {
    struct MHD_Daemon *daemon;
    struct bb_admin_dispatch dispatch;
    uint16_t port;
};

/* One request while it is received. */
struct exchange {
    size_t url_bytes;
    bool is_begun;
    GString *body;
};

/* Begins an exchange and notes the length of the whole URL, of which the
 * access handler sees only the path. */
static void *
begin_exchange(void *context, const char *uri,
               struct MHD_Connection *connection)
{
    struct exchange *x = g_new0(struct exchange, 1);

    (void)context;
    (void)connection;
    x->url_bytes = strlen(uri);
    x->body = g_string_new(NULL);
    return x;
}

/* Frees an exchange at its end, also if the connection broke. */
static void
end_exchange(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct exchange *x = *state;

    (void)context;
    (void)connection;
    (void)code;
    if (x != NULL) {
        g_string_free(x->body, TRUE);
        g_free(x);
        *state = NULL;
    }
}

/* Queues an answer and frees what it holds. */
static enum MHD_Result
send_answer(struct MHD_Connection *connection, struct bb_admin_answer *answer)
{
    const char *type = answer->content_type;
    struct MHD_Response *response;
    enum MHD_Result result;

    if (answer->json != NULL) {
        char *text = json_dumps(answer->json, JSON_COMPACT);

        g_string_assign(answer->text, text != NULL ? text : "null");
        g_string_append_c(answer->text, '\n');
        free(text);
        type = "application/json";
    }
    response = MHD_create_response_from_buffer(
        answer->text->len, answer->text->str, MHD_RESPMEM_MUST_COPY);
    (void)MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
                                  type != NULL ? type
                                               : "text/plain; charset=utf-8");
    (void)MHD_add_response_header(response, MHD_HTTP_HEADER_CACHE_CONTROL,
                                  "no-store");
    if (answer->status == BB_ADMIN_UNAUTHORIZED) {
        (void)MHD_add_response_header(
            response, MHD_HTTP_HEADER_WWW_AUTHENTICATE, "Bearer");
    }
    result = MHD_queue_response(
        connection, answer->status != 0 ? answer->status : BB_ADMIN_OK,
        response);
    MHD_destroy_response(response);
    json_decref(answer->json);
    return result;
}

/* Returns a request header or NULL. */
static const char *
header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* Checks what is known before the body: size and token. Returns false with an
 * answer to refuse the request. */
static bool
check_front(const struct bb_admin *a, const struct exchange *x,
            struct MHD_Connection *connection, const char *method,
            struct bb_admin_answer *answer)
{
    const char *length = header(connection, MHD_HTTP_HEADER_CONTENT_LENGTH);

    if (x->url_bytes > BB_ADMIN_URL_MAX_BYTES) {
        bb_counter_add(&rejected, 1);
        bb_admin_fail(answer, BB_ADMIN_URL_TOO_LONG, "url-too-long",
                      "the URL has more than %d bytes",
                      BB_ADMIN_URL_MAX_BYTES);
        return false;
    }
    if (!bb_admin_authorize(&a->dispatch, method,
                            header(connection, MHD_HTTP_HEADER_AUTHORIZATION),
                            answer)) {
        return false;
    }
    if (length != NULL &&
        strtoull(length, NULL, 10) > BB_ADMIN_BODY_MAX_BYTES) {
        bb_counter_add(&rejected, 1);
        bb_admin_fail(answer, BB_ADMIN_BODY_TOO_LARGE, "body-too-large",
                      "the body has more than %d bytes",
                      BB_ADMIN_BODY_MAX_BYTES);
        return false;
    }
    return true;
}

/* Takes one call of libmicrohttpd: the front of a request, a part of its
 * body, or its end. */
static enum MHD_Result
handle(void *context, struct MHD_Connection *connection, const char *url,
       const char *method, const char *version, const char *upload,
       size_t *upload_bytes, void **state)
{
    const struct bb_admin *a = context;
    struct exchange *x = *state;
    struct bb_admin_answer answer = {0};
    enum MHD_Result result = MHD_YES;

    (void)version;
    if (x == NULL) {
        return MHD_NO;
    }
    answer.text = g_string_new(NULL);
    if (!x->is_begun) {
        x->is_begun = true;
        bb_counter_add(&requests, 1);
        if (!check_front(a, x, connection, method, &answer)) {
            result = send_answer(connection, &answer);
        }
    }
    else if (*upload_bytes > 0) {
        /* A chunked body over the limit ends the connection: libmicrohttpd
         * takes no answer in the middle of a body. */
        if (*upload_bytes > BB_ADMIN_BODY_MAX_BYTES - x->body->len) {
            bb_counter_add(&rejected, 1);
            result = MHD_NO;
        }
        else {
            g_string_append_len(x->body, upload, (gssize)*upload_bytes);
            *upload_bytes = 0;
        }
    }
    else {
        struct bb_admin_request request = {.method = method,
                                           .path = url,
                                           .body = x->body->str,
                                           .body_bytes = x->body->len,
                                           .connection = connection};

        bb_admin_dispatch(&a->dispatch, &request, &answer);
        result = send_answer(connection, &answer);
    }
    g_string_free(answer.text, TRUE);
    return result;
}

/* Returns a decoded argument of the query, or NULL if it is missing. */
const char *
bb_admin_query(const struct bb_admin_request *request, const char *name)
{
    return MHD_lookup_connection_value(request->connection,
                                       MHD_GET_ARGUMENT_KIND, name);
}

/* Counts messages of libmicrohttpd, which concern malformed requests; they
 * are not logged, as a caller could fill the log. */
static void
count_message(void *context, const char *format, va_list args)
{
    (void)context;
    (void)format;
    (void)args;
    bb_counter_add(&rejected, 1);
}

/* Starts the daemon of libmicrohttpd. */
static struct MHD_Daemon *
start_daemon(struct bb_admin *a, const struct bb_address *listen)
{
    struct sockaddr_storage address;
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD |
                     MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL |
                     MHD_USE_ERROR_LOG;

    (void)bb_address_sockaddr(listen, &address);
    if (address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    return MHD_start_daemon(
        flags, listen->port, NULL, NULL, handle, a, MHD_OPTION_EXTERNAL_LOGGER,
        count_message, NULL, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
        MHD_OPTION_CONNECTION_LIMIT, (unsigned)BB_ADMIN_CONNECTIONS_MAX,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)BB_ADMIN_IDLE_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)BB_ADMIN_HEADER_MAX_BYTES,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
        begin_exchange, NULL, MHD_OPTION_NOTIFY_COMPLETED, end_exchange, NULL,
        MHD_OPTION_END);
}

/* Starts the server. Returns NULL with BB_ADMIN_ERROR_LISTEN if the address
 * cannot be used. */
struct bb_admin *
bb_admin_create(const struct bb_admin_options *options, struct bb_error *e)
{
    struct bb_admin *a = g_new0(struct bb_admin, 1);
    const union MHD_DaemonInfo *info;
    char text[BB_ADDRESS_TEXT_BYTES];

    if (options->token != NULL && options->token[0] != '\0') {
        a->dispatch.token = g_strdup(options->token);
    }
    a->dispatch.context = options->context;
    a->dispatch.add_health = options->add_health;
    a->daemon = start_daemon(a, &options->listen);
    if (a->daemon == NULL) {
        bb_error_set(e, BB_ADMIN_ERROR_LISTEN,
                     "cannot listen for administration on %s",
                     bb_address_text(&options->listen, text));
        bb_admin_destroy(a);
        return NULL;
    }
    info = MHD_get_daemon_info(a->daemon, MHD_DAEMON_INFO_BIND_PORT);
    a->port = info != NULL ? info->port : options->listen.port;
    return a;
}

/* Returns the port that the server listens on. */
uint16_t
bb_admin_port(const struct bb_admin *a)
{
    return a->port;
}

/* Stops the server after the running handlers and frees it; NULL is
 * allowed. */
void
bb_admin_destroy(struct bb_admin *a)
{
    if (a == NULL) {
        return;
    }
    if (a->daemon != NULL) {
        MHD_stop_daemon(a->daemon);
    }
    g_free(a->dispatch.token);
    g_free(a);
}
