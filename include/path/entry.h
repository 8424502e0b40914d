/* The entry: a proxy for the callers on its host. Finds the route, the service
 * and the gate of each request and responds to it exactly once. Times in
 * microseconds are on the monotonic clock (bb_clock_now_us). */
#ifndef BB_PATH_ENTRY_H
#define BB_PATH_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "decide/quota.h"
#include "decide/retry_window.h"
#include "net/http_server.h"
#include "path/dialect.h"
#include "path/directory.h"
#include "path/rules.h"
#include "path/version_evidence.h"

enum {
    /* Allows for several round trips between regions. Needed since a host
     * without power does not refuse a connection, but never responds. */
    BB_ENTRY_CONNECT_TIMEOUT_MS = 200,
    /* Idle time after which a connection to a gate is not used again; gates
     * close idle ones after a minute. */
    BB_ENTRY_IDLE_MAX_MS = 20000,
    /* Attempts for one request, including those that gates refuse; also the
     * size of its lists of excluded and full gates. Those that may reach an
     * upstream are limited by bb_rules_route.upstream_attempts_max. */
    BB_ENTRY_ATTEMPTS_MAX = 8,
    /* Longest head of a request, also if the configuration allows more. */
    BB_ENTRY_HEAD_MAX_BYTES = 72 * 1024,
    /* Deadline of a request that states none, and upper bound of others. */
    BB_ENTRY_DEADLINE_MAX_MS = 30000,
    /* Time reserved for the response to return from the gate, by distance. */
    BB_ENTRY_RETURN_SAME_ZONE_MS = 2,
    BB_ENTRY_RETURN_SAME_REGION_MS = 5,
    BB_ENTRY_RETURN_OTHER_REGION_MS = 30,
    /* How long after a route's timeout the entry still waits for the gate to
     * state that the request did not run. */
    BB_ENTRY_REFUSAL_GRACE_MS = 80,
    /* No further attempt with less time left than this: it would take a slot
     * but seldom get a response in time. */
    BB_ENTRY_ATTEMPT_MIN_MS = 20,
    /* Bounds of the expected wait that a refused caller gets as Retry-After,
     * before up to half of it is added at random. */
    BB_ENTRY_RETRY_AFTER_MIN_MS = 50,
    BB_ENTRY_RETRY_AFTER_MAX_MS = 1000,
    /* A new entry expects its first rules within this time, and gates that are
     * ready and a lease within the second time after these. Until then a
     * request waits for them, but no longer than the third time; they are
     * looked for at the interval. */
    BB_ENTRY_START_MS = 2000,
    BB_ENTRY_START_GATES_MS = 300,
    BB_ENTRY_START_WAIT_MS = 350,
    BB_ENTRY_START_POLL_MS = 20,
    /* Requests that wait so at the same time. */
    BB_ENTRY_START_WAITING_MAX = 256,
    /* Retry-After while there are no rules, before up to as much is added at
     * random. */
    BB_ENTRY_RULES_RETRY_AFTER_MS = 300
};

struct bb_entry;

struct bb_entry_settings {
    struct bb_address listen_address;
    const char *caller_service; /* of the upstream on this host; sent as the
                                   caller's */
    const struct bb_dialect *dialect;
    struct bb_directory *directory;
    struct bb_retry_window_limits
        retry_limits; /* host_count is ignored: the entry sets it to the number
                         of gates in its directory */
    /* Counts of the requests of teams; NULL: quotas are not enforced. */
    struct bb_quota_node *quota;
    /* Returns whether the request with this id runs at the upstream of this
     * host. Sets is_retry to whether an earlier attempt may have reached an
     * upstream. */
    bool (*is_running)(void *context, const char *id, bool *is_retry);
    /* A request with this id, which runs at the upstream of this host, begins
     * a nested call. Returns the deadline of the request, also if it has ended
     * at that deadline without a response; UINT64_MAX: not known. May be NULL,
     * as may end_nested. */
    uint64_t (*begin_nested)(void *context, const char *id);
    void (*end_nested)(void *context, const char *id);
    /* Writes the current load of the gate on this host into its view. */
    void (*update_local_view)(void *context, struct bb_gate_view *v,
                              uint64_t now_us);
    /* Writes it into a copy of the view, without effect on the gate. */
    void (*peek_local_view)(void *context, struct bb_gate_view *v,
                            uint64_t now_us);
    /* Returns whether requests with a key may be admitted now. If not, sets in
     * how long that can be expected. NULL: always. */
    bool (*has_lease)(void *context, uint32_t *expected_ms);
    /* Returns the same without effect, also on metrics and log. NULL:
     * has_lease has none. */
    bool (*peek_lease)(void *context);
    /* Collects evidence for rollouts; NULL: the versions of upstreams are
     * ignored. */
    struct bb_version_evidence *evidence;
    /* Returns whether this node hears a control host that has a quorum; not
     * called without `evidence`. */
    bool (*is_in_touch)(void *context);
    void *context;
};

struct bb_entry *bb_entry_create(uv_loop_t *loop,
                                 const struct bb_entry_settings *s,
                                 struct bb_error *e);
void bb_entry_set_rules(struct bb_entry *n, struct bb_rules *r);
void bb_entry_disable_keep_alive(struct bb_entry *n);
void bb_entry_limit_deadlines(struct bb_entry *n, uint64_t end_us);
void bb_entry_refuse_requests(struct bb_entry *n);
void bb_entry_end_requests(struct bb_entry *n);
struct bb_http_server_open bb_entry_count_open(const struct bb_entry *n);
void bb_entry_destroy(struct bb_entry *n);

#endif
