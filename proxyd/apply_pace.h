/* Paces how often a node puts a new configuration in force. */
#ifndef BB_PROXYD_APPLY_PACE_H
#define BB_PROXYD_APPLY_PACE_H

#include <glib.h>
#include <stdint.h>
#include <uv.h>

enum {
    /* After a configuration that took a time to decode, the next one waits so
     * many times as long: decoding takes at most a tenth of the processor. */
    APPLY_PACE_REST_TIMES = 9,
    /* No longer than this, as changes are to be in force within seconds. */
    APPLY_PACE_REST_MAX_MS = 700
};

struct apply_pace;

typedef void (*apply_pace_apply)(void *context, uint64_t version, GBytes *raw);

struct apply_pace *apply_pace_create(uv_loop_t *loop, apply_pace_apply apply,
                                     void *context);
void apply_pace_take(struct apply_pace *a, uint64_t version, GBytes *raw);
void apply_pace_destroy(struct apply_pace *a);

#endif
