/* Limits how often a node applies new configurations. */
#ifndef BB_PROXYD_CONFIG_THROTTLE_H
#define BB_PROXYD_CONFIG_THROTTLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "decide/lease.h"

enum {
    /* The pause after a configuration is this many times as long as it took to
     * apply it: applying takes at most a tenth of the processor, unless
     * CONFIG_THROTTLE_PAUSE_MAX_MS cuts the pause short. */
    CONFIG_THROTTLE_PAUSE_FACTOR = 9,
    /* Longest pause, as changes are to be in force within seconds. */
    CONFIG_THROTTLE_PAUSE_MAX_MS = 700
};

struct config_throttle;

/* Applies a configuration of a replicated state; `state` and `raw` are valid
 * during the call. */
typedef void (*config_throttle_apply)(void *context, uint64_t version,
                                      const struct bb_state_id *state,
                                      GBytes *raw);

struct config_throttle *config_throttle_create(uv_loop_t *loop,
                                               config_throttle_apply apply,
                                               void *context);
void config_throttle_submit(struct config_throttle *t, uint64_t version,
                            const struct bb_state_id *state, GBytes *raw);
bool config_throttle_keep(struct config_throttle *t,
                          const struct bb_state_id *state);
void config_throttle_destroy(struct config_throttle *t);

#endif
