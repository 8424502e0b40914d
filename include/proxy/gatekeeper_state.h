/* Internal state of the gatekeeper, shared by gatekeeper.c and
 * gatekeeper_query.c. */
#ifndef BB_PROXY_GATEKEEPER_STATE_H
#define BB_PROXY_GATEKEEPER_STATE_H

#include <pthread.h>

#include "proxy/gatekeeper.h"

/* A queued request. Lives on the stack of the thread that waits. */
struct bb_gatekeeper_waiter {
    uint64_t admission_id;
    struct bb_request_id id;
    pthread_cond_t decided;
    bool is_decided;
    struct bb_admission_decision decision;
};

struct bb_gatekeeper {
    pthread_mutex_t lock;
    pthread_cond_t
        request_finished; /* signalled when a recorded request ends */
    struct bb_gatekeeper_settings settings;
    struct bb_admission admission;
    struct bb_admission_limits limits;
    struct bb_record record;
    struct bb_record_entry *record_entries;
    uint64_t stored_bytes;
    struct bb_upstream_announcement upstream;
    uint64_t announcement_expires_us;
    GPtrArray *waiters;    /* of struct bb_gatekeeper_waiter */
    GPtrArray *busy_slots; /* struct bb_slot of running requests */
    uint64_t next_admission_id;
};

struct bb_stored_response *bb_stored_response_ref_handle(uint64_t handle);

#endif
