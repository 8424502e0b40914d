/* The HTTP server of the simulated upstream. */
#ifndef BB_UPSTREAM_SERVER_H
#define BB_UPSTREAM_SERVER_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"
#include "mesh/member.h"
#include "upstream/behaviour.h"
#include "upstream/runs.h"

/* Headers with which a caller controls and verifies a request. */
#define BB_HEADER_CALL_ID "X-Call-Id"
#define BB_HEADER_WORK_US "X-Work-Us"
#define BB_HEADER_RESPONSE_BYTES "X-Answer-Bytes"
#define BB_HEADER_CALL_PATH "X-Call-Path"
#define BB_HEADER_BODY_DIGEST "X-Body-Digest"
#define BB_HEADER_BODY_BYTES "X-Body-Bytes"
#define BB_HEADER_UPSTREAM_HOST "X-Upstream-Host"
/* On a 503: the request did not run, for this reason. */
#define BB_HEADER_UPSTREAM_REFUSED "X-Upstream-Refused"

/* Settings and state of the simulated upstream. */
struct bb_upstream_sim {
    const char *host; /* name in responses */
    const char *service;
    struct bb_address listen_address; /* of its HTTP server */
    /* Where the node accepts announcements; port 0: none are sent. */
    struct bb_address announce_address;
    /* Where the node accepts calls; port 0: nested calls fail. */
    struct bb_address node_address;
    uint64_t lifetime_ms; /* of an announcement */
    uint64_t idle_timeout_s;
    struct bb_behaviour behaviour;
    struct bb_runs *runs;
    atomic_uint state; /* enum bb_upstream_state */
};

struct MHD_Daemon *bb_upstream_sim_start_server(struct bb_upstream_sim *u,
                                                struct bb_error *e);
bool bb_upstream_sim_make_nested_call(const struct bb_upstream_sim *u,
                                      const char *paths,
                                      const char *const *fields,
                                      size_t field_count,
                                      uint64_t deadline_us);
void bb_upstream_sim_send_announcement(struct bb_upstream_sim *u);

#endif
