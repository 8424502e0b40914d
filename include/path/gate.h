/* The gate: admits requests of entry nodes to the one upstream next to it,
 * and alone decides when none may start any more. */
#ifndef BB_PATH_GATE_H
#define BB_PATH_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "decide/balance.h"
#include "path/dialect.h"
#include "path/upstream.h"

/* Fields between entry nodes and gates, besides those of the dialect. */
#define BB_FIELD_CALL                                                         \
    "Baobab-Call" /* service rank class aim_ms wait_ms flags */
#define BB_FIELD_LOAD                                                         \
    "Baobab-Load" /* running queued slots mean_us permille ran_us */
#define BB_FIELD_REFUSED "Baobab-Refused" /* reason: it did not run */
#define BB_FIELD_FAILED "Baobab-Failed"   /* reason: it may have run */

enum {
    BB_GATE_CONNECT_MS = 250,
    /* Upstreams state when they close idle connections; this holds for those
     * that do not. */
    BB_GATE_IDLE_MS = 4000,
    /* How long a new gate waits to hear what its earlier run knew; longer
     * than a node takes to find a control host that answers. */
    BB_GATE_RECALL_MS = 1500,
    /* Weight of the newest answer in the share of failures, in permille. */
    BB_GATE_FAILURE_PERMILLE = 80,
    /* A request that must not run twice, or that was lost once, takes no kept
     * connection that was idle for longer: upstreams may forget those without
     * notice. */
    BB_GATE_ONCE_IDLE_MS = 100,
    BB_GATE_FLAG_NESTED = 'n',
    BB_GATE_FLAG_ONCE = 'o',       /* not idempotent */
    BB_GATE_WAIT_ANY_MS = 1000000, /* as long as it is in time */
    BB_GATE_FLAG_REPEAT = 'r'
};

struct bb_gate;

struct bb_gate_settings {
    struct bb_address at;
    struct bb_address upstream;
    const char *upstream_text; /* as upstreams announce it */
    const struct bb_dialect *dialect;
    /* The state of the upstream changed. */
    void (*changed)(void *context, const struct bb_upstream *u);
    void *context;
};

struct bb_gate *bb_gate_create(uv_loop_t *loop,
                               const struct bb_gate_settings *s,
                               struct bb_error *e);
enum bb_announce_result bb_gate_announce(struct bb_gate *g, const char *id,
                                         const struct bb_announcement *a);
bool bb_gate_withdraw(struct bb_gate *g, const char *id, uint64_t born_ms);
void bb_gate_recall(struct bb_gate *g, const fleet_instance *earlier);
void bb_gate_stop(struct bb_gate *g);
uint32_t bb_gate_busy_count(const struct bb_gate *g);
bool bb_gate_find_running(const struct bb_gate *g, const char *id,
                          bool *is_repeat);
void bb_gate_load(const struct bb_gate *g, struct bb_gate_view *v,
                  uint64_t now_us);
void bb_gate_destroy(struct bb_gate *g);

#endif
