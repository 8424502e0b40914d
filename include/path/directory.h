/* Directory of gates by service, as kept by an entry node: announced state
 * together with load and errors that the node has observed itself. */
#ifndef BB_PATH_DIRECTORY_H
#define BB_PATH_DIRECTORY_H

#include <glib.h>
#include <stdint.h>

#include "common/address.h"
#include "decide/balance.h"
#include "decide/retry_window.h"
#include "fleet/instances.h"

/* Gates considered for one request; further ones of a service are ignored. */
enum { BB_DIRECTORY_GATES_MAX = 512 };

struct bb_directory;

/* A gate and the upstream behind it. */
struct bb_gate_entry {
    char *text; /* address of the gate, IP:PORT */
    struct bb_address at;
    char *service;            /* of the upstream; empty: none */
    char *instance;           /* id of the upstream; empty: none */
    uint64_t epoch;           /* identifies the run of the gate's node */
    struct bb_gate_view view; /* state on which the choice is based */
};

/* A service with its gates. */
struct bb_service_entry {
    char *name;
    GPtrArray *gates; /* struct bb_gate_entry, owned by the directory */
    struct bb_retry_window retries; /* repeats against the retry budget */
};

struct bb_directory *bb_directory_create(const char *gate, const char *zone,
                                         const char *region);
void bb_directory_destroy(struct bb_directory *d);
void bb_directory_update(struct bb_directory *d, const fleet_instance *i,
                         uint64_t now_us);
struct bb_service_entry *bb_directory_service(struct bb_directory *d,
                                              const char *name);
struct bb_gate_entry *bb_directory_gate(struct bb_directory *d,
                                        const char *text);
uint32_t bb_directory_count(const struct bb_directory *d);

#endif
