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
#include "path/version_choice.h"

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
    char *software_version;   /* of the upstream; empty: not stated */
    uint64_t upstream_hash;   /* of its id */
    uint64_t started_ms;      /* wall clock at its start; 0: not stated */
    bool is_running;          /* ready or down, not drained or gone */
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
    struct bb_version_choice versions;
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
void bb_directory_set_rollouts(struct bb_directory *d,
                               const fleet_rollout *list, uint32_t count,
                               uint64_t random_bits, uint64_t now_us);
void bb_directory_foreach_service(struct bb_directory *d,
                                  void (*visit)(void *context,
                                                struct bb_service_record *s),
                                  void *context);
uint32_t bb_directory_gate_count(const struct bb_directory *d);

#endif
