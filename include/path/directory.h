/* Directory of gates by service, as kept by an entry node: announced state
 * together with load and errors that the node has observed itself. Times in
 * microseconds are on the monotonic clock (bb_clock_now_us). */
#ifndef BB_PATH_DIRECTORY_H
#define BB_PATH_DIRECTORY_H

#include <glib.h>
#include <stdint.h>

#include "common/address.h"
#include "decide/balance.h"
#include "decide/retry_window.h"
#include "decide/upstream_limit.h"
#include "fleet/instances.h"

/* Gates considered for one request; further ones of a service are ignored.
 * Bounds the arrays that a choice keeps on the stack. */
enum { BB_DIRECTORY_CANDIDATES_MAX = 512 };

struct bb_directory;

/* A gate and the upstream behind it. */
struct bb_gate_record {
    char *address_text; /* address of the gate, IP:PORT */
    struct bb_address address;
    char *service;            /* of the upstream; empty: none */
    char *upstream_id;        /* id of the upstream; empty: none */
    uint64_t incarnation;     /* identifies the run of the gate's node */
    struct bb_gate_view view; /* state on which the choice is based */
};

/* A service with its gates. */
struct bb_service_record {
    char *name;
    GPtrArray *gates;    /* struct bb_gate_record, owned by the directory */
    bool had_ready_gate; /* since the start of this process */
    struct bb_retry_window retry_window; /* retries against the retry budget */
    struct bb_return_schedule returns;   /* of callers refused by a limit */
};

struct bb_directory *bb_directory_create(const char *gate_address,
                                         const char *zone, const char *region);
void bb_directory_destroy(struct bb_directory *d);
void bb_directory_update(struct bb_directory *d, const fleet_instance *i,
                         uint64_t now_us);
struct bb_service_record *bb_directory_get_service(struct bb_directory *d,
                                                   const char *name);
struct bb_gate_record *bb_directory_find_gate(struct bb_directory *d,
                                              const char *address_text);
uint32_t bb_directory_gate_count(const struct bb_directory *d);

#endif
