/* The administration API must respond to hostile requests with a clear error
 * or a closed connection, and must refuse every change without the token.
 * Requests are sent over a plain socket, so that they can be malformed. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "admin/admin.h"
#include "unit.h"

enum {
    RESPONSE_BYTES = 1 << 20,
    HOSTILE_ROUNDS = 300,
    CHUNK_BYTES = 2 * BB_ADMIN_BODY_MAX_BYTES
};

_Static_assert(BB_ADMIN_BODY_MAX_BYTES == 64 * 1024,
               "limit of a body that the tests were written for");

#define TOKEN "correct-horse"

static struct bb_admin_server *server;
static int handler_context = 42;
static uint32_t put_count;

static void
respond_with_echo(void *context, const struct bb_admin_request *request,
                  struct bb_admin_response *response)
{
    const char *word = bb_admin_get_query_argument(request, "word");

    response->json = json_pack("{s:i, s:s?, s:i}", "context", *(int *)context,
                               "word", word, "body", (int)request->body_bytes);
    put_count += strcmp(request->method, "PUT") == 0;
}

static const struct bb_admin_endpoint echo_endpoint = {.respond =
                                                           respond_with_echo};

BB_PLUGIN(echo_get, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/echo", &echo_endpoint);
BB_PLUGIN(echo_put, BB_PLUGIN_ADMIN_ENDPOINT, "PUT /v1/echo", &echo_endpoint);

static void
add_health(void *context, json_t *health)
{
    (void)json_object_set_new(health, "context",
                              json_integer(*(int *)context));
}

/* Starts the server that all tests share; the last test destroys it. */
static void
start_server(void)
{
    struct bb_admin_server_settings settings = {
        .token = TOKEN, .context = &handler_context, .add_health = add_health};
    struct bb_error e = {0};

    if (server == NULL) {
        CU_ASSERT_TRUE_FATAL(
            bb_address_parse("127.0.0.1:0", &settings.listen));
        server = bb_admin_server_create(&settings, &e);
        CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    }
}

/* Sends bytes and returns everything received up to the end of the connection
 * or 5 s without data. The caller frees it with free. */
static char *
send_and_receive(const char *bytes, size_t size)
{
    struct bb_address to = {.ip = "127.0.0.1",
                            .port = bb_admin_server_get_port(server)};
    struct timeval timeout = {.tv_sec = 5};
    struct sockaddr_storage address;
    socklen_t length = bb_address_to_sockaddr(&to, &address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    char *response = calloc(1, RESPONSE_BYTES);
    size_t used = 0;
    ssize_t n;

    (void)setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, length), 0);
    (void)send(fd, bytes, size, MSG_NOSIGNAL);
    (void)shutdown(fd, SHUT_WR);
    while (used < RESPONSE_BYTES - 1 &&
           (n = read(fd, response + used, RESPONSE_BYTES - 1 - used)) > 0) {
        used += (size_t)n;
    }
    (void)close(fd);
    return response;
}

/* Sends a request and checks that the whole response contains both texts. */
static void
check_response(const char *request, const char *status, const char *words)
{
    char *response = send_and_receive(request, strlen(request));

    if (strstr(response, status) == NULL || strstr(response, words) == NULL) {
        printf("\nrequest: %.200s\nresponse: %.500s\n", request, response);
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(response, status));
    CU_ASSERT_PTR_NOT_NULL(strstr(response, words));
    free(response);
}

#define COMMON_HEADERS " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"

/* Guards against an endpoint that is not found, loses its context or its query
 * argument, or responds with a wrong status. */
static void
test_endpoints_respond(void)
{
    start_server();
    check_response("GET /v1/health" COMMON_HEADERS "\r\n", " 200 ",
                   "\"status\":\"ok\"");
    check_response("GET /v1/health" COMMON_HEADERS "\r\n", " 200 ",
                   "\"context\":42");
    check_response("GET /metrics" COMMON_HEADERS "\r\n", " 200 ",
                   "baobab_admin_requests_total");
    check_response("GET /v1/echo?word=a%20b" COMMON_HEADERS "\r\n", " 200 ",
                   "\"word\":\"a b\"");
    check_response("HEAD /v1/echo" COMMON_HEADERS "\r\n", " 200 ",
                   "application/json");
    check_response("GET /v1/none" COMMON_HEADERS "\r\n", " 404 ",
                   "\"code\":\"not-found\"");
    check_response("GET /v1/\xff%ff" COMMON_HEADERS "\r\n", " 404 ",
                   "not-found");
}

/* Guards against a change by a request without the token, with a prefix of it
 * or with another authentication scheme. */
static void
test_methods_that_change_need_the_token(void)
{
    uint32_t before = put_count;

    start_server();
    check_response("PUT /v1/echo" COMMON_HEADERS "Content-Length: 0\r\n\r\n",
                   " 401 ", "\"code\":\"unauthorized\"");
    check_response("PUT /v1/echo" COMMON_HEADERS
                   "Authorization: Bearer correct-hors\r\n"
                   "Content-Length: 0\r\n\r\n",
                   " 401 ", "unauthorized");
    check_response("PUT /v1/echo" COMMON_HEADERS "Authorization: Basic " TOKEN
                   "\r\n"
                   "Content-Length: 0\r\n\r\n",
                   " 401 ", "unauthorized");
    check_response("BREW /v1/echo" COMMON_HEADERS "Content-Length: 0\r\n\r\n",
                   " 401 ", "unauthorized");
    CU_ASSERT_EQUAL(put_count, before);
    check_response("PUT /v1/echo" COMMON_HEADERS "Authorization: Bearer " TOKEN
                   "\r\n"
                   "Content-Length: 3\r\n\r\nabc",
                   " 200 ", "\"body\":3");
    CU_ASSERT_EQUAL(put_count, before + 1);
    check_response("POST /v1/echo" COMMON_HEADERS
                   "Authorization: Bearer " TOKEN "\r\n"
                   "Content-Length: 0\r\n\r\n",
                   " 405 ", "method-not-allowed");
    CU_ASSERT_TRUE(bb_admin_is_token_equal("a", "a"));
    CU_ASSERT_FALSE(bb_admin_is_token_equal("", "a"));
}

/* Guards against a URL, headers or a body over the limits that reach a
 * handler. */
static void
test_sizes_are_limited(void)
{
    GString *s = g_string_new("GET /v1/echo?word=");

    start_server();
    for (int i = 0; i < BB_ADMIN_URL_MAX_BYTES; i++) {
        g_string_append_c(s, 'a');
    }
    g_string_append(s, COMMON_HEADERS "\r\n");
    check_response(s->str, " 414 ", "url-too-long");
    g_string_assign(s, "GET /v1/echo" COMMON_HEADERS "X: ");
    for (int i = 0; i < BB_ADMIN_CONNECTION_MEMORY_BYTES; i++) {
        g_string_append_c(s, 'a');
    }
    g_string_append(s, "\r\n\r\n");
    check_response(s->str, " 431 ", "");
    g_string_printf(s,
                    "PUT /v1/echo" COMMON_HEADERS
                    "Authorization: Bearer " TOKEN "\r\n"
                    "Content-Length: %d\r\n\r\n",
                    BB_ADMIN_BODY_MAX_BYTES + 1);
    check_response(s->str, " 413 ", "body-too-large");
    /* The size of a chunked body is known only once the body has arrived. */
    g_string_printf(s,
                    "PUT /v1/echo" COMMON_HEADERS
                    "Authorization: Bearer " TOKEN
                    "\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n",
                    CHUNK_BYTES);
    for (int i = 0; i < CHUNK_BYTES; i++) {
        g_string_append_c(s, 'a');
    }
    g_string_append(s, "\r\n0\r\n\r\n");
    {
        uint32_t before = put_count;
        char *response = send_and_receive(s->str, s->len);

        CU_ASSERT_PTR_NULL(strstr(response, " 200 "));
        CU_ASSERT_EQUAL(put_count, before);
        free(response);
    }
    g_string_free(s, TRUE);
}

/* Guards against malformed input after which the server no longer responds. */
static void
test_hostile_bytes_leave_the_server_working(void)
{
    static const char huge_length[] =
        "GET /v1/echo" COMMON_HEADERS
        "Content-Length: 99999999999999999999\r\n\r\n";
    static const char chunked_with_length[] =
        "PUT /v1/echo" COMMON_HEADERS "Transfer-Encoding: chunked\r\n"
        "Content-Length: 5\r\n\r\nzz\r\n";
    static const char *const malformed[] = {
        "",
        "\r\n\r\n",
        "GET",
        "GET / HTTP/9.9\r\n\r\n",
        "GET /v1/echo HTTP/1.1\r\n\r\n",
        "GET /v1/echo HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        huge_length,
        chunked_with_length,
        "GET /../../etc/passwd HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /v1/echo?%zz=%&&=&word HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    static const char valid_start[] = "GET /v1/echo?";
    unsigned seed = 20;
    char random_bytes[512];

    start_server();
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        free(send_and_receive(malformed[i], strlen(malformed[i])));
    }
    for (int i = 0; i < HOSTILE_ROUNDS; i++) {
        size_t size = (size_t)rand_r(&seed) % sizeof(random_bytes);

        for (size_t k = 0; k < size; k++) {
            random_bytes[k] = (char)rand_r(&seed);
        }
        /* Every second input that is long enough begins like a valid request,
         * to get past the first checks of the parser. */
        if (i % 2 == 0 && size > sizeof(valid_start)) {
            memcpy(random_bytes, valid_start, sizeof(valid_start) - 1);
        }
        free(send_and_receive(random_bytes, size));
    }
    check_response("GET /v1/health" COMMON_HEADERS "\r\n", " 200 ",
                   "\"status\":\"ok\"");
}

/* Without a token no request could be authorised, so none may change anything;
 * an empty token must not match. A second server on a port in use must fail
 * with an error instead of starting without a socket. */
static void
test_server_without_token_is_read_only_and_port_in_use_is_refused(void)
{
    struct bb_admin_server_settings settings = {.context = &handler_context};
    struct bb_admin_server *shared_server = server;
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(bb_address_parse("127.0.0.1:0", &settings.listen));
    server = bb_admin_server_create(&settings, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    check_response("PUT /v1/echo" COMMON_HEADERS "Authorization: Bearer \r\n"
                   "Content-Length: 0\r\n\r\n",
                   " 403 ", "read-only");
    settings.listen.port = bb_admin_server_get_port(server);
    CU_ASSERT_PTR_NULL(bb_admin_server_create(&settings, &e));
    CU_ASSERT_EQUAL(e.code, BB_ADMIN_ERROR_LISTEN);
    bb_admin_server_destroy(server);
    bb_admin_server_destroy(shared_server);
    server = NULL;
}

static const struct bb_unit_test tests[] = {
    {"endpoints respond", test_endpoints_respond},
    {"methods that change need the token",
     test_methods_that_change_need_the_token},
    {"sizes are limited", test_sizes_are_limited},
    {"hostile bytes leave the server working",
     test_hostile_bytes_leave_the_server_working},
    {"a server without token is read-only, and a port in use is refused",
     test_server_without_token_is_read_only_and_port_in_use_is_refused},
};

BB_UNIT_MAIN("admin", tests)
