/* The entry: takes the requests of the callers on its host, finds route,
 * service and gate, and answers each exactly once. */
#ifndef BB_PATH_ENTRY_H
#define BB_PATH_ENTRY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "decide/retry_window.h"
#include "path/dialect.h"
#include "path/directory.h"
#include "path/rules.h"

enum {
    /* Several round trips between regions; a host without power does not
     * refuse, it stays silent. */
    BB_ENTRY_CONNECT_MS = 200,
    /* Gates keep connections of entry nodes open for a minute. */
    BB_ENTRY_IDLE_MS = 20000,
    /* Sends to gates for one request, refused ones included. */
    BB_ENTRY_TRIES_MAX = 8,
    /* A request without a deadline of its own. */
    BB_ENTRY_DEADLINE_MS = 30000,
    /* Time kept for the way back of an answer, by distance. */
    BB_ENTRY_RETURN_ZONE_MS = 2,
    BB_ENTRY_RETURN_REGION_MS = 5,
    BB_ENTRY_RETURN_FAR_MS = 30,
    /* Past a route's timeout, for the gate's word that it did not run. */
    BB_ENTRY_LAST_WORD_MS = 80,
    /* Less time than this is not worth another attempt. */
    BB_ENTRY_LEAST_MS = 20,
    /* A refused caller is told to come back after the expected wait, within
     * these bounds and spread by half of it. */
    BB_ENTRY_RETRY_MIN_MS = 50,
    BB_ENTRY_RETRY_MAX_MS = 1000
};

struct bb_entry;

struct bb_entry_settings {
    struct bb_address at;
    const char *service; /* on this host: the caller's */
    const struct bb_dialect *dialect;
    struct bb_directory *directory;
    struct bb_retry_limits retries;
    /* Returns whether a request runs on the upstream of this host, and
     * whether it was sent to another one before. */
    bool (*find_running)(void *context, const char *id, bool *is_repeat);
    /* Brings the view of the gate on this host up to date. */
    void (*own_load)(void *context, struct bb_gate_view *v, uint64_t now_us);
    void *context;
};

struct bb_entry *bb_entry_create(uv_loop_t *loop,
                                 const struct bb_entry_settings *s,
                                 struct bb_error *e);
void bb_entry_set_rules(struct bb_entry *n, struct bb_rules *r);
void bb_entry_drain(struct bb_entry *n);
void bb_entry_stop(struct bb_entry *n);
uint32_t bb_entry_busy_count(const struct bb_entry *n);
void bb_entry_destroy(struct bb_entry *n);

#endif
