#include "fixture.h"

#include "common/digest.h"

#include <glib.h>
#include <microhttpd.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

static const struct bb_address any = {.ip = "127.0.0.1", .port = 0};

void
start_upstream(struct test_upstream *u, const struct bb_behaviour_values *v)
{
    struct bb_error e = {0};

    *u = (struct test_upstream){.upstream = {.host = "up",
                                             .service = "s",
                                             .listen_address = any,
                                             .idle_timeout_s = 60}};
    bb_behaviour_init(&u->upstream.behaviour, v, 7);
    u->upstream.runs = bb_runs_create(&u->upstream.behaviour);
    atomic_store(&u->upstream.state, BB_UPSTREAM_READY);
    u->daemon = bb_upstream_sim_start_server(&u->upstream, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(u->daemon);
}

void
stop_upstream(struct test_upstream *u)
{
    MHD_stop_daemon(u->daemon);
    bb_runs_destroy(u->upstream.runs);
    bb_behaviour_clear(&u->upstream.behaviour);
}

/* Starts a proxy and prepares a configuration with one route, "/" to service
 * "s", which takes effect with apply_table. Host, zone, region, addresses,
 * seed and record_entries of the settings are overwritten. */
void
start_node(struct test_node *n, const char *host, struct bb_proxy_settings s)
{
    struct bb_error e = {0};

    *n = (struct test_node){.service = {.name = "s",
                                        .team = BB_INDEX_NONE,
                                        .queue_length = 16,
                                        .long_work_percent = 100,
                                        .retention_s = 600},
                            .route = {.name = "all",
                                      .path_prefix = "/",
                                      .methods = BB_METHOD_ANY,
                                      .timeout_ms = 5000,
                                      .retry_limit = 2},
                            .config = {.revision = 1,
                                       .limits = {.max_depth = 16,
                                                  .retry_budget_percent = 20,
                                                  .hedge_budget_percent = 5,
                                                  .max_ejected_percent = 34}}};
    s.host = host;
    s.zone = "z1";
    s.region = "r";
    s.caller_listen = any;
    s.local_listen = any;
    s.incarnation = s.incarnation != 0 ? s.incarnation : FIXTURE_INCARNATION;
    s.seed = 11;
    s.record_entries = 1024;
    n->proxy = bb_proxy_create(&s, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(n->proxy);
}

/* Adds a reachable member with a ready upstream of service "s"; takes effect
 * with apply_table. */
void
add_member(struct test_node *n, const char *host, const char *zone,
           struct bb_address http, struct bb_address rpc)
{
    struct bb_member *m = &n->members[n->member_count++];

    (void)g_strlcpy(m->host, host, sizeof(m->host));
    (void)g_strlcpy(m->zone, zone, sizeof(m->zone));
    (void)g_strlcpy(m->region, "r", sizeof(m->region));
    (void)g_strlcpy(m->service, "s", sizeof(m->service));
    m->http_address = http;
    m->rpc_address = rpc;
    m->incarnation = FIXTURE_INCARNATION;
    m->upstream_state = BB_UPSTREAM_READY;
    m->slots = 4;
    m->is_reachable = true;
}

/* Builds a table from the node's configuration and members, as seen from host
 * "entry" in zone z1 whichever node it is, and sets it. */
void
apply_table(struct test_node *n)
{
    const struct bb_node_location location = {
        .host = "entry", .zone = "z1", .region = "r"};

    n->config.services = &n->service;
    n->config.service_count = 1;
    n->config.routes = &n->route;
    n->config.route_count = 1;
    bb_proxy_set_table(n->proxy, bb_table_build(&n->config, n->members,
                                                n->member_count, &location));
}

/* Sets a roster with the hosts "gatekeeper" and "entry" as witnesses. */
void
apply_roster(struct test_node *n)
{
    const struct bb_roster r = {
        .epoch = 1,
        .host_count = 2,
        .hosts = {bb_hash64("gatekeeper", 10, 0), bb_hash64("entry", 5, 0)}};

    bb_proxy_set_roster(n->proxy, "s", &r);
}

void
stop_node(struct test_node *n)
{
    bb_proxy_destroy(n->proxy);
}

/* Announces an upstream of service "s" and checks that the node accepts it. */
void
announce_upstream(struct test_node *n, const struct bb_address *a,
                  enum bb_upstream_state state, uint32_t slots)
{
    announce_service(n, "s", a, state, slots);
}

/* Announces an upstream and checks that the node accepts it. */
void
announce_service(struct test_node *n, const char *service,
                 const struct bb_address *a, enum bb_upstream_state state,
                 uint32_t slots)
{
    static const char *const states[] = {"", "starting", "ready", "draining",
                                         "leaving"};
    char address[BB_ADDRESS_TEXT_BYTES];
    char *body = g_strdup_printf(
        "{\"service\":\"%s\",\"address\":\"%s\",\"slots\":%u,"
        "\"connections\":100,\"state\":\"%s\",\"lifetime_ms\":60000}",
        service, bb_address_format(a, address), slots, states[state]);
    char *request = g_strdup_printf("PUT /v1/upstream HTTP/1.1\r\nHost: n\r\n"
                                    "Connection: close\r\n"
                                    "Content-Length: %zu\r\n\r\n%s",
                                    strlen(body), body);
    struct test_response *response =
        send_request(bb_proxy_local_address(n->proxy), request);

    CU_ASSERT_EQUAL(response->status, 200);
    g_free(response);
    g_free(request);
    g_free(body);
}

int
connect_to_address(struct bb_address a)
{
    struct sockaddr_storage s;
    socklen_t length = bb_address_to_sockaddr(&a, &s);
    int fd = socket(s.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_EQUAL_FATAL(connect(fd, (struct sockaddr *)&s, length), 0);
    return fd;
}

/* Sends a text; stops without an error if the peer has closed the connection.
 */
void
send_text(int fd, const char *text)
{
    size_t left = strlen(text);

    while (left > 0) {
        ssize_t n = send(fd, text, left, MSG_NOSIGNAL);

        if (n <= 0) {
            return;
        }
        text += n;
        left -= (size_t)n;
    }
}

/* Returns whether a response has a complete body, according to its
 * Content-Length or its final chunk. */
static bool
has_complete_body(const struct test_response *r)
{
    const char *body = strstr(r->text, "\r\n\r\n");
    const char *length = strcasestr(r->text, "content-length:");

    if (body == NULL) {
        return false;
    }
    body += 4;
    if (length != NULL && length < body) {
        return r->size - (size_t)(body - r->text) >=
               strtoul(length + strlen("content-length:"), NULL, 10);
    }
    return r->size >= 5 && memcmp(r->text + r->size - 5, "0\r\n\r\n", 5) == 0;
}

/* Reads a response until the peer closes the connection or the timeout
 * expires. */
void
read_response(int fd, struct test_response *r, uint32_t timeout_ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)timeout_ms * BB_US_PER_MS;

    memset(r, 0, sizeof(*r));
    while (bb_clock_now_us() < end_us && r->size < sizeof(r->text) - 1) {
        struct pollfd p = {.fd = fd, .events = POLLIN};
        ssize_t n;

        if (poll(&p, 1, 20) != 1) {
            continue;
        }
        n = recv(fd, r->text + r->size, sizeof(r->text) - 1 - r->size, 0);
        if (n <= 0) {
            break;
        }
        r->size += (size_t)n;
    }
    if (strncmp(r->text, "HTTP/1.1 ", 9) == 0) {
        r->status = atoi(r->text + 9);
    }
    r->is_complete = has_complete_body(r);
}

/* Sends a request on a new connection and returns what arrives until the peer
 * closes it, at most for RESPONSE_TIMEOUT_MS. Requests therefore carry
 * "Connection: close". The caller frees the result with g_free. */
struct test_response *
send_request(struct bb_address address, const char *request)
{
    struct test_response *r = g_new0(struct test_response, 1);
    int fd = connect_to_address(address);

    send_text(fd, request);
    read_response(fd, r, RESPONSE_TIMEOUT_MS);
    (void)close(fd);
    return r;
}

/* Returns whether the head or body of a response contains a text, ignoring
 * case. */
bool
contains(const struct test_response *r, const char *text)
{
    return strcasestr(r->text, text) != NULL;
}

/* Opens a listener on a free port and sets *a to its address. Nothing accepts
 * its connections unless the caller does. */
int
open_listener(struct bb_address *a)
{
    struct sockaddr_storage s;
    socklen_t length = bb_address_to_sockaddr(&any, &s);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)&s, length), 0);
    CU_ASSERT_EQUAL_FATAL(listen(fd, 16), 0);
    (void)getsockname(fd, (struct sockaddr *)&s, &length);
    (void)bb_address_from_sockaddr(&s, a);
    return fd;
}

/* Returns the resident memory of this process, in which all nodes and
 * upstreams of a test run. */
uint64_t
resident_bytes(void)
{
    FILE *f = fopen("/proc/self/statm", "re");
    unsigned long total = 0;
    unsigned long resident = 0;

    CU_ASSERT_PTR_NOT_NULL_FATAL(f);
    CU_ASSERT_EQUAL(fscanf(f, "%lu %lu", &total, &resident), 2);
    (void)fclose(f);
    return (uint64_t)resident * (uint64_t)sysconf(_SC_PAGESIZE);
}
