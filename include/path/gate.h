/* The gate: the proxy in front of the upstream on its host. Admits, queues or
 * refuses the requests of entry nodes, and alone decides when the upstream
 * gets no new one. The entry node of a request is the node whose entry sends
 * it to the gate.
 *
 * Times in microseconds are on the monotonic clock (bb_clock_now_us). */
#ifndef BB_PATH_GATE_H
#define BB_PATH_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "decide/balance.h"
#include "net/http_server.h"
#include "path/dialect.h"
#include "path/upstream.h"

/* Header fields between entry nodes and gates, besides those of the dialect.
 *
 * Call (of a request):
 * - service that the entry node expects at the gate
 * - priority; 0: most urgent
 * - request class; any number, taken modulo BB_REQUEST_CLASS_COUNT
 * - time until the target end, the end of the target latency
 * - longest wait in the queue; no limit from BB_GATE_WAIT_UNLIMITED_MS on
 * - flags: letters BB_GATE_FLAG_ and a '-' after them, so that the text is
 *   never empty
 * - only if the request is of a team: its id, in hexadecimal
 *
 * Version (of a request, optional): hash of the upstream's version that the
 * entry has chosen, in hexadecimal (bb_gate_version_id).
 *
 * Load (of a response):
 * - requests at the upstream
 * - requests in the queue
 * - slots; 0: the gate admits no requests
 * - mean duration; 0: unknown
 * - failure rate in permille, 0 to 1000
 * - time of this request at the upstream; 0 if the gate itself responded
 * - only if the upstream states a limit: the limit in thousandths of a request
 *   a second, and how long an arriving request would wait for its turn
 * - only if known: expected remaining work of the requests at the upstream and
 *   in the queue, in microseconds of slot time; the seventh number without a
 *   limit, the ninth with one
 *
 * Refused: reason; the request did not run. Failed: reason; it may have run,
 * or the gate could not read it.
 */
#define BB_GATE_HEADER_CALL                                                   \
    "Baobab-Call" /* service priority class target_ms wait_ms flags [team] */
#define BB_GATE_HEADER_VERSION "Baobab-Version"
#define BB_GATE_HEADER_LOAD                                                   \
    "Baobab-Load" /* running queued slots mean_duration_us failure_permille   \
                     upstream_us [limit_mrps limit_wait_us] [work_us] */
#define BB_GATE_HEADER_REFUSED "Baobab-Refused"
#define BB_GATE_HEADER_FAILED "Baobab-Failed"

enum {
    /* For connecting to the upstream, which is on the same host. The request
     * holds a slot meanwhile. */
    BB_GATE_CONNECT_TIMEOUT_MS = 250,
    /* Longest idle time after which a connection to the upstream is used
     * again, less if the upstream states a shorter timeout
     * (bb_connection_pool_settings.idle_max_ms). Must be shorter than the
     * upstream's timeout: requests sent while it closes the connection are
     * lost. */
    BB_GATE_IDLE_MAX_MS = 4000,
    /* Longest head of a request, which the entry has checked; longer than the
     * entry's limit by more than the fields that it adds. */
    BB_GATE_HEAD_MAX_BYTES = 80 * 1024,
    BB_GATE_HEAD_TIMEOUT_MS = 10000,
    BB_GATE_CONNECTION_IDLE_TIMEOUT_MS = 60000,
    /* How long a new gate waits for bb_gate_restore before it admits requests;
     * longer than a node takes to find a control host that responds. */
    BB_GATE_RESTORE_TIMEOUT_MS = 1500,
    /* A limit that the upstream stated longer ago is checked at its next
     * announcement. */
    BB_GATE_LIMIT_CHECK_MS = 2000,
    /* Weight of the newest response in the moving average of the share of
     * failures, which thus follows about the last 12 responses. */
    BB_GATE_FAILURE_WEIGHT_PERMILLE = 80,
    /* A request that must not be lost, as it is not idempotent or is a retry,
     * uses no connection that was idle for longer: the upstream may have
     * dropped it unnoticed. */
    BB_GATE_NO_LOSS_IDLE_MAX_MS = 100,
    /* Flags of the call field. */
    BB_GATE_FLAG_NESTED = 'n', /* sent by an upstream for a request it runs */
    BB_GATE_FLAG_NOT_IDEMPOTENT = 'o', /* must not run twice */
    BB_GATE_FLAG_RETRY = 'r', /* an earlier attempt may have reached an
                                 upstream */
    /* A queued request is refused at least so long before its deadline, or a
     * tenth of its time if that is less. The deadline is stated as the time
     * left and so comes later here by the transit of the request: on a busy
     * node, refusals came after the entry's own deadline, and the caller got
     * 504. */
    BB_GATE_REFUSAL_MARGIN_MS = 50,
    BB_GATE_REFUSAL_MARGIN_PARTS = 10,
    /* Longest wait in the call field without a limit but the deadline. */
    BB_GATE_WAIT_UNLIMITED_MS = 1000000
};

struct bb_gate;

struct bb_gate_settings {
    struct bb_address listen_address;
    struct bb_address upstream_address;
    const char *upstream_address_text; /* IP:PORT, as upstreams announce it */
    const struct bb_dialect *dialect;
    /* Called when the state of the upstream, as other nodes are to see it, has
     * changed. u is valid during the call only. u->state may be
     * BB_INSTANCE_GONE (the gate stops) or BB_INSTANCE_DOWN (it cannot
     * connect, or has not confirmed it) though the upstream
     * announced that it is ready. */
    void (*upstream_changed)(void *context, const struct bb_upstream *u);
    /* Returns the path of health checks of a service, NULL: not known. */
    const char *(*find_health_path)(void *context, const char *service);
    void *context;
};

struct bb_gate *bb_gate_create(uv_loop_t *loop,
                               const struct bb_gate_settings *s,
                               struct bb_error *e);
enum bb_announce_result bb_gate_announce(struct bb_gate *g, const char *id,
                                         const struct bb_announcement *a);
enum bb_withdraw_result bb_gate_withdraw(struct bb_gate *g, const char *id,
                                         uint64_t started_ms);
void bb_gate_restore(struct bb_gate *g, const fleet_instance *earlier);
void bb_gate_rules_updated(struct bb_gate *g);
void bb_gate_limit_deadlines(struct bb_gate *g, uint64_t end_us);
void bb_gate_refuse_requests(struct bb_gate *g);
struct bb_http_server_open bb_gate_count_open(const struct bb_gate *g);
bool bb_gate_is_running(const struct bb_gate *g, const char *id,
                        bool *is_retry);
uint64_t bb_gate_begin_nested(struct bb_gate *g, const char *id);
void bb_gate_end_nested(struct bb_gate *g, const char *id);
void bb_gate_peek_view(struct bb_gate *g, struct bb_gate_view *v,
                       uint64_t now_us);
void bb_gate_update_view(struct bb_gate *g, struct bb_gate_view *v,
                         uint64_t now_us);
void bb_gate_destroy(struct bb_gate *g);

uint64_t bb_gate_version_id(const char *software_version);

#endif
