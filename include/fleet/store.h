/* Durable state of a control host. Two files are overwritten in turn, so that
 * at least one is intact after any interruption; the newest intact one is
 * used.
 *
 * A write runs in a thread of libuv's pool; its callback runs in the loop's
 * thread. At most one write is in progress. */
#ifndef BB_FLEET_STORE_H
#define BB_FLEET_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "common/error.h"
#include "fleet.h"

enum bb_fleet_error {
    BB_FLEET_ERROR_STORE = 1, /* the data folder cannot be used */
    BB_FLEET_ERROR_LISTEN,    /* not used */
    BB_FLEET_ERROR_SETTINGS   /* not used */
};

struct bb_fleet_store;

/* End of a write; is_written is true if the state is synced to disk. */
typedef void (*bb_fleet_store_done)(void *context, bool is_written);

struct bb_fleet_store *bb_fleet_store_open(uv_loop_t *loop, const char *folder,
                                           fleet_stored_state *newest,
                                           bool *has_state,
                                           struct bb_error *e);
bool bb_fleet_store_is_busy(const struct bb_fleet_store *s);
bool bb_fleet_store_write(struct bb_fleet_store *s, fleet_stored_state *state,
                          bb_fleet_store_done done, void *context);
void bb_fleet_store_close(struct bb_fleet_store *s);

#endif
