/* Admission control for this node's upstream: running and queued requests, and
 * the record of non-idempotent requests. All requests to the upstream pass
 * through its gatekeeper, so the slot limits are exact. Times ending in _us
 * are those of bb_clock_now_us.
 *
 * Lock order: the gatekeeper's lock is a leaf. */
#ifndef BB_PROXY_GATEKEEPER_H
#define BB_PROXY_GATEKEEPER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "decide/admission.h"
#include "decide/reason.h"
#include "decide/record.h"
#include "mesh/member.h"
#include "proxy/headers.h"
#include "proxy/table.h"

enum {
    BB_STORED_RESPONSE_MAX_BYTES = 64 * 1024, /* of the body */
    BB_GATEKEEPER_LOAD_TEXT_BYTES = 64
};

/* The response to a completed request, replayed to duplicates of it.
 * Reference-counted. */
struct bb_stored_response {
    gint reference_count;
    uint32_t status;
    struct bb_headers *headers;
    GByteArray *body;
};

/* The last announcement of an upstream to its node. The gatekeeper sets the
 * state of its copy to NONE or DRAINING when it detects that state itself. */
struct bb_upstream_announcement {
    char service[BB_NAME_BYTES];
    struct bb_address address;
    uint32_t slots;       /* max running requests, from 1 */
    uint32_t connections; /* max connections to the upstream, from 1 */
    enum bb_upstream_state state;
    uint32_t lifetime_ms; /* from the arrival until the expiry */
};

/* Called without the gatekeeper's lock, on any thread, when an announcement
 * differs from the previous one, or when the state of the upstream changes
 * because its announcement expired, a connection to it failed, or the upstream
 * refused a request because it is draining. service is valid during the call
 * only. */
typedef void (*bb_upstream_changed_callback)(void *context,
                                             const char *service,
                                             uint32_t slots,
                                             uint32_t connections,
                                             enum bb_upstream_state state);

struct bb_gatekeeper_settings {
    uint64_t incarnation;
    uint32_t record_entries;   /* a power of two */
    uint32_t retention_s;      /* until bb_gatekeeper_configure sets it */
    uint64_t stored_max_bytes; /* of all stored responses together */
    bool ignores_slots;        /* limit by connections instead */
    bb_upstream_changed_callback upstream_changed;
    void *upstream_changed_context;
};

struct bb_gatekeeper_request {
    const char *service;
    struct bb_request_id id;
    bool is_idempotent;
    uint64_t incarnation; /* expected; or BB_INCARNATION_ANY */
    enum bb_admission_class work_class;
    uint64_t deadline_us;
    /* May be refused because the upstream is slow; the entry node can then
     * retry at another gatekeeper. */
    bool may_refuse_as_slow;
};

/* An occupied slot of the upstream. Must be passed to
 * bb_gatekeeper_release_slot exactly once. */
struct bb_slot {
    struct bb_gatekeeper *gatekeeper;
    uint64_t admission_id;
    struct bb_request_id id;
    bool is_recorded; /* the gatekeeper's record has the id */
    uint64_t start_us;
    struct bb_address upstream_address;
};

enum bb_gatekeeper_decision {
    BB_GATEKEEPER_RUN,    /* slot is set */
    BB_GATEKEEPER_REFUSE, /* reason and ran are set */
    BB_GATEKEEPER_STORED  /* stored is set, or NULL if it was not kept */
};

struct bb_gatekeeper_result {
    enum bb_gatekeeper_decision decision;
    enum bb_reason reason;
    enum bb_ran ran;
    struct bb_slot *slot;
    struct bb_stored_response *stored;
};

/* How a request ended at the upstream. */
enum bb_slot_result {
    BB_SLOT_COMPLETED,     /* with a complete response */
    BB_SLOT_NOT_CONNECTED, /* the connection could not be opened */
    BB_SLOT_REFUSED,       /* not run: refused, or no free worker */
    BB_SLOT_LOST           /* connected, but without a complete response */
};

struct bb_gatekeeper;

struct bb_gatekeeper *
bb_gatekeeper_create(const struct bb_gatekeeper_settings *s);
void bb_gatekeeper_destroy(struct bb_gatekeeper *g);
void bb_gatekeeper_set_announcement(struct bb_gatekeeper *g,
                                    const struct bb_upstream_announcement *a);
void bb_gatekeeper_configure(struct bb_gatekeeper *g,
                             const struct bb_table *t);
void bb_gatekeeper_refuse_requests(struct bb_gatekeeper *g);
void bb_gatekeeper_tick(struct bb_gatekeeper *g);
struct bb_gatekeeper_result
bb_gatekeeper_admit(struct bb_gatekeeper *g,
                    const struct bb_gatekeeper_request *r);
void bb_gatekeeper_release_slot(struct bb_slot *slot,
                                enum bb_slot_result result,
                                struct bb_stored_response *response);
void bb_gatekeeper_on_upstream_refusal(struct bb_gatekeeper *g,
                                       enum bb_reason reason);
enum bb_query_result bb_gatekeeper_query(struct bb_gatekeeper *g,
                                         const struct bb_request_id *id,
                                         uint64_t incarnation);
struct bb_stored_response *
bb_gatekeeper_get_stored_response(struct bb_gatekeeper *g,
                                  const struct bb_request_id *id);
bool bb_gatekeeper_cancel(struct bb_gatekeeper *g,
                          const struct bb_request_id *id,
                          struct bb_address *upstream);
bool bb_gatekeeper_get_upstream(struct bb_gatekeeper *g,
                                struct bb_upstream_announcement *a);
uint32_t bb_gatekeeper_running_count(struct bb_gatekeeper *g);
const char *
bb_gatekeeper_format_load(struct bb_gatekeeper *g,
                          char text[BB_GATEKEEPER_LOAD_TEXT_BYTES]);
struct bb_stored_response *bb_stored_response_create(void);
void bb_stored_response_unref(struct bb_stored_response *response);

#endif
