/* Watches a configuration folder, the source, on a control host and proposes
 * its changes.
 *
 * One thread scans the folder, decides with decide/source.h, validates the
 * content and calls the propose callback. It holds no lock during the
 * callback, which may call bb_source_watch_set_in_force,
 * bb_source_watch_report_result and bb_source_watch_status_json. These may be
 * called from any thread. */
#ifndef BB_CONTROL_SOURCE_WATCH_H
#define BB_CONTROL_SOURCE_WATCH_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/error.h"
#include "config/folder.h"
#include "decide/source.h"

enum {
    BB_SOURCE_SCAN_INTERVAL_MS = 100,
    /* Refusals, outages and conflicts that the status shows. */
    BB_SOURCE_INCIDENTS_MAX = 16
};

enum bb_source_watch_error {
    BB_SOURCE_WATCH_ERROR_WRITE = 1, /* the state cannot be saved */
    BB_SOURCE_WATCH_ERROR_DAMAGED,   /* the saved state is damaged */
    BB_SOURCE_WATCH_ERROR_THREAD     /* the thread cannot be started */
};

/* Proposes a folder against the revision it is based on. Runs in the watch's
 * thread; blocking delays the next scan. The outcome must be passed to
 * bb_source_watch_report_result, during the call or later. The folder is valid
 * during the call only; version is the one set in its files. */
typedef void (*bb_source_propose_callback)(void *context,
                                           const struct bb_folder *folder,
                                           uint64_t version,
                                           uint64_t base_revision);

struct bb_source_watch_settings {
    const char *folder;      /* the configuration folder */
    const char *data_folder; /* for the saved state */
    bb_source_propose_callback propose;
    void *context; /* passed to propose */
};

struct bb_source_watch;

struct bb_source_watch *
bb_source_watch_create(const struct bb_source_watch_settings *settings);
bool bb_source_watch_start(struct bb_source_watch *w, struct bb_error *e);
void bb_source_watch_set_in_force(struct bb_source_watch *w, uint64_t revision,
                                  const struct bb_digest *digest);
void bb_source_watch_report_result(struct bb_source_watch *w,
                                   const struct bb_digest *digest,
                                   uint64_t base_revision,
                                   enum bb_source_result result,
                                   uint64_t revision);
json_t *bb_source_watch_status_json(struct bb_source_watch *w);
void bb_source_watch_destroy(struct bb_source_watch *w);

#endif
