/* Tests of the RPC client pool and server. They guard against wrong results, a
 * refused connection that is not reported as such, a peer that never responds
 * and blocks the caller, and malformed bytes that stop the server. The tests
 * share one server, which the last one destroys. */
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "mesh/rpc.h"
#include "unit.h"

enum {
    PROGRAM = 0x20000777,
    VERSION = 1,
    PROCEDURE_DOUBLE = 1,
    TIMEOUT_MS = 400
};

static struct bb_rpc_server *server;
static struct bb_address server_address;

/* The test program: responds with twice the argument. */
static void
dispatch(struct svc_req *request, SVCXPRT *transport)
{
    uint32_t n = 0;

    if (request->rq_proc != PROCEDURE_DOUBLE) {
        svcerr_noproc(transport);
        return;
    }
    if (!svc_getargs(transport, (xdrproc_t)xdr_uint32_t, (char *)&n)) {
        svcerr_decode(transport);
        return;
    }
    n *= 2;
    (void)svc_sendreply(transport, (xdrproc_t)xdr_uint32_t, (char *)&n);
}

static void
start_server(void)
{
    struct bb_error e = {0};
    struct bb_address any;

    if (server != NULL) {
        return;
    }
    CU_ASSERT_TRUE_FATAL(bb_address_parse("127.0.0.1:0", &any));
    server = bb_rpc_server_create(&any, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(server);
    CU_ASSERT_TRUE_FATAL(bb_rpc_server_register_program(
        server, PROGRAM, VERSION, dispatch, &e));
    CU_ASSERT_TRUE_FATAL(bb_rpc_server_start(server, &e));
    server_address = any;
    server_address.port = bb_rpc_server_get_port(server);
}

static bool
call_double_procedure(struct bb_rpc_pool *p, const struct bb_address *to,
                      uint32_t n, uint32_t *result, struct bb_error *e)
{
    const struct bb_rpc_call call = {
        .program = PROGRAM,
        .version = VERSION,
        .procedure = PROCEDURE_DOUBLE,
        .argument_codec = (xdrproc_t)xdr_uint32_t,
        .argument = &n,
        .result_codec = (xdrproc_t)xdr_uint32_t,
        .result = result,
        .timeout_ms = TIMEOUT_MS,
    };

    return bb_rpc_pool_call(p, to, &call, e);
}

/* Guards against a call that fails or gets the result of another call when
 * many calls in turn use one pool. */
static void
test_calls_get_their_results(void)
{
    struct bb_rpc_pool *p = bb_rpc_pool_create();
    struct bb_error e = {0};

    start_server();
    for (uint32_t i = 0; i < 100; i++) {
        uint32_t result = 0;

        CU_ASSERT_TRUE(
            call_double_procedure(p, &server_address, i, &result, &e));
        CU_ASSERT_EQUAL(result, 2 * i);
    }
    bb_rpc_pool_destroy(p);
}

/* Guards against a refused connection that is reported as a success or as an
 * error after which the call may have been sent. */
static void
test_refused_connection_is_reported_as_not_sent(void)
{
    struct bb_rpc_pool *p = bb_rpc_pool_create();
    /* Nothing listens on port 1. */
    struct bb_address closed = {.ip = "127.0.0.1", .port = 1};
    struct bb_error e = {0};
    uint32_t result = 0;

    CU_ASSERT_FALSE(call_double_procedure(p, &closed, 1, &result, &e));
    CU_ASSERT_EQUAL(e.code, BB_RPC_ERROR_CONNECT);
    bb_rpc_pool_destroy(p);
}

/* Opens a listening socket on which no connection is ever accepted. */
static int
open_unresponsive_listener(struct bb_address *a)
{
    struct sockaddr_storage s;
    socklen_t length;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    *a = (struct bb_address){.ip = "127.0.0.1"};
    length = bb_address_to_sockaddr(a, &s);
    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&s, length), 0);
    CU_ASSERT_EQUAL_FATAL(listen(fd, 4), 0);
    (void)getsockname(fd, (struct sockaddr *)&s, &length);
    (void)bb_address_from_sockaddr(&s, a);
    return fd;
}

/* Guards against a peer that never responds and blocks the caller far longer
 * than the timeout, or is reported as another error. */
static void
test_unresponsive_peer_times_out(void)
{
    struct bb_rpc_pool *p = bb_rpc_pool_create();
    struct bb_address silent;
    struct bb_error e = {0};
    uint32_t result = 0;
    int fd = open_unresponsive_listener(&silent);
    uint64_t start_us = bb_clock_now_us();

    CU_ASSERT_FALSE(call_double_procedure(p, &silent, 1, &result, &e));
    CU_ASSERT_EQUAL(e.code, BB_RPC_ERROR_TIMEOUT);
    CU_ASSERT_TRUE(bb_clock_now_us() - start_us < 2 * BB_US_PER_S);
    (void)close(fd);
    bb_rpc_pool_destroy(p);
}

/* Connects to the server and sends raw bytes. Returns the socket, which the
 * caller closes. */
static int
send_raw(const void *data, size_t size_bytes)
{
    struct sockaddr_storage s;
    socklen_t length = bb_address_to_sockaddr(&server_address, &s);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&s, length), 0);
    CU_ASSERT_EQUAL(write(fd, data, size_bytes), (ssize_t)size_bytes);
    return fd;
}

/* Guards against an incomplete record, an oversized one or an HTTP request
 * that stops the server from responding to other clients. */
static void
test_malformed_bytes_do_not_stop_the_server(void)
{
    static const uint8_t half_record[] = {0x80, 0, 0, 40, 1, 2, 3};
    static const uint8_t huge_record[] = {0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0};
    static const char http[] = "GET / HTTP/1.1\r\n\r\n";
    struct bb_rpc_pool *p = bb_rpc_pool_create();
    struct bb_error e = {0};
    uint32_t result = 0;
    int fds[3];

    start_server();
    fds[0] = send_raw(half_record, sizeof(half_record));
    fds[1] = send_raw(huge_record, sizeof(huge_record));
    fds[2] = send_raw(http, sizeof(http));
    for (int i = 0; i < 5; i++) {
        CU_ASSERT_TRUE(
            call_double_procedure(p, &server_address, 21, &result, &e));
        CU_ASSERT_EQUAL(result, 42);
    }
    for (int i = 0; i < 3; i++) {
        (void)close(fds[i]);
    }
    bb_rpc_pool_destroy(p);
    bb_rpc_server_destroy(server);
    server = NULL;
}

static const struct bb_unit_test tests[] = {
    {"calls get their results", test_calls_get_their_results},
    {"a refused connection is reported as not sent",
     test_refused_connection_is_reported_as_not_sent},
    {"an unresponsive peer times out", test_unresponsive_peer_times_out},
    {"malformed bytes do not stop the server",
     test_malformed_bytes_do_not_stop_the_server},
};

BB_UNIT_MAIN("rpc", tests)
