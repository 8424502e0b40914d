/* Evidence that an entry collects about the versions of services whose rollout
 * is running: responses, failures and durations by route and upstream. */
#ifndef BB_PATH_VERSION_EVIDENCE_H
#define BB_PATH_VERSION_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "path/directory.h"

/* Interval of the reports while a rollout runs. */
enum { BB_VERSION_EVIDENCE_INTERVAL_MS = 250 };

struct bb_version_evidence;

/* Receives a report, which is valid during the call. */
typedef void (*bb_version_evidence_callback)(void *context,
                                             fleet_rollout_evidence *list,
                                             uint32_t count);

struct bb_version_evidence *bb_version_evidence_create(void);
void bb_version_evidence_destroy(struct bb_version_evidence *e);
void bb_version_evidence_add(struct bb_version_evidence *e,
                             const struct bb_gate_record *g, uint64_t route_id,
                             bool has_failed, uint64_t duration_us);
void bb_version_evidence_report(struct bb_version_evidence *e,
                                struct bb_directory *d,
                                bb_version_evidence_callback send,
                                void *context);

#endif
