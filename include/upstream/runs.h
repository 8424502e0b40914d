/* Runs requests of the simulated upstream in slots, cancels them, and keeps a
 * history of the requests that ran. Thread-safe. */
#ifndef BB_UPSTREAM_RUNS_H
#define BB_UPSTREAM_RUNS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "upstream/behaviour.h"

enum { BB_RUN_ID_BYTES = 160 /* of an id, with its zero byte */ };

/* How a request ended. Only the first three values are in the history. */
enum bb_run_outcome {
    BB_RUN_DONE,
    BB_RUN_CANCELLED,
    BB_RUN_DEADLINE,    /* deadline passed while it ran */
    BB_RUN_NOT_STARTED, /* deadline or cancellation while it waited for
                                a slot: did not run */
    BB_RUN_REFUSED      /* upstream sheds load: did not run */
};

struct bb_runs;

/* What a request does after its service time, still in its slot. */
struct bb_run_nested_call {
    void (*run)(void *context, uint64_t deadline_us);
    void *context;
};

struct bb_runs *bb_runs_create(struct bb_behaviour *behaviour);
void bb_runs_destroy(struct bb_runs *r);
enum bb_run_outcome
bb_runs_execute(struct bb_runs *r, const char *id, const char *call,
                uint64_t wanted_us, uint64_t deadline_us,
                const struct bb_run_nested_call *nested_call);
bool bb_runs_cancel(struct bb_runs *r, const char *id);
uint32_t bb_runs_active_count(struct bb_runs *r);
void bb_runs_get_reported_load(struct bb_runs *r, uint32_t *running,
                               uint32_t *queued);
void bb_runs_write_history(struct bb_runs *r, GString *out);
void bb_runs_clear_history(struct bb_runs *r);

#endif
