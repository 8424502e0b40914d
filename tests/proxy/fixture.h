/* Starts nodes and simulated upstreams in the process of the test, and sends
 * raw HTTP requests to them. */
#ifndef BB_TESTS_PROXY_FIXTURE_H
#define BB_TESTS_PROXY_FIXTURE_H

#include "common/clock.h"
#include "proxy/proxy.h"
#include "unit.h"
#include "upstream/server.h"

enum { FIXTURE_MEMBERS = 4, RESPONSE_TEXT_BYTES = 64 * 1024 };

struct test_upstream {
    struct bb_upstream_sim upstream;
    struct MHD_Daemon *daemon;
};

struct test_node {
    struct bb_proxy *proxy;
    struct bb_member members[FIXTURE_MEMBERS];
    size_t member_count;
    struct bb_config config;
    struct bb_service service;
    struct bb_route route;
};

struct test_response {
    int status;       /* 0 if there was no response */
    bool is_complete; /* according to Content-Length or the final chunk */
    char text[RESPONSE_TEXT_BYTES];
    size_t size;
};

void start_upstream(struct test_upstream *u,
                    const struct bb_behaviour_values *v);
void stop_upstream(struct test_upstream *u);
void start_node(struct test_node *n, const char *host,
                struct bb_proxy_settings s);
void announce_upstream(struct test_node *n, const struct bb_address *a,
                       enum bb_upstream_state state, uint32_t slots);
void announce_service(struct test_node *n, const char *service,
                      const struct bb_address *a, enum bb_upstream_state state,
                      uint32_t slots);
void add_member(struct test_node *n, const char *host, const char *zone,
                struct bb_address http, struct bb_address rpc);
void apply_table(struct test_node *n);
void apply_roster(struct test_node *n);
void stop_node(struct test_node *n);

int connect_to_address(struct bb_address a);
void send_text(int fd, const char *text);
void read_response(int fd, struct test_response *r, uint32_t timeout_ms);
struct test_response *send_request(struct bb_address a, const char *request);
bool contains(const struct test_response *r, const char *text);
int listen_without_accepting(struct bb_address *a);
uint64_t resident_bytes(void);

#endif
