/* Replays a trace against the decision modules. A trace is in JSON Lines: a
 * header, then one event per line with its virtual time and, optionally, its
 * expected result. Each decision module has an adapter, a plug-in of kind
 * BB_PLUGIN_REPLAY_MODULE. */
#ifndef BB_REPLAY_REPLAY_H
#define BB_REPLAY_REPLAY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/error.h"

enum {
    BB_REPLAY_LINE_MAX_BYTES = 64 * 1024,
    BB_REPLAY_LINES_MAX = 1000000,
    BB_REPLAY_MODULES_MAX = 16
};

/* Largest time or number in a trace: JSON readers that use doubles represent
 * whole numbers exactly up to 2^53. */
#define BB_REPLAY_NUMBER_MAX ((uint64_t)1 << 53)

enum bb_replay_error {
    BB_REPLAY_ERROR_READ = 1, /* file not readable, or out of memory */
    BB_REPLAY_ERROR_SYNTAX,
    BB_REPLAY_ERROR_FIELD,   /* field or name missing, unknown or invalid */
    BB_REPLAY_ERROR_MISMATCH /* a result other than the expected one */
};

/* One event while its fields are read. A field that nothing uses is an error,
 * so that a misspelt optional field isn't silently ignored. */
struct bb_replay_line {
    const json_t *object;
    uint32_t fields_read; /* number of fields that were used so far */
    uint64_t now_us;
    struct bb_error *error;
};

/* Adapter of a decision module. */
struct bb_replay_module {
    void *(*create)(void); /* returns the initial state; NULL if out of
                               memory */
    void (*destroy)(void *state);
    /* Applies one event to the state and adds its outcome to result. Returns
     * false with l->error set if the event is invalid. */
    bool (*apply)(void *state, const char *event, struct bb_replay_line *l,
                  json_t *result);
};

struct bb_replay_summary {
    uint32_t event_count;
    uint32_t expectation_count; /* expected fields that were compared */
};

bool bb_replay_run_trace(FILE *in, bool is_verbose,
                         struct bb_replay_summary *s, struct bb_error *e);

/* Readers of event fields. They return false with l->error set if the field is
 * invalid, or if it is missing and has no fallback. */
bool bb_replay_read_number(struct bb_replay_line *l, const char *key,
                           uint64_t max, uint64_t *out);
bool bb_replay_read_number_or(struct bb_replay_line *l, const char *key,
                              uint64_t max, uint64_t fallback, uint64_t *out);
bool bb_replay_read_bool_or(struct bb_replay_line *l, const char *key,
                            bool fallback, bool *out);
bool bb_replay_read_string(struct bb_replay_line *l, const char *key,
                           const char **out);
bool bb_replay_read_enum(struct bb_replay_line *l, const char *key,
                         const char *const *names, uint32_t count,
                         uint32_t fallback, uint32_t *out);
bool bb_replay_reject_event(struct bb_replay_line *l, const char *event);

void bb_replay_set_number(json_t *result, const char *key, uint64_t value);
void bb_replay_set_string(json_t *result, const char *key, const char *value);

#endif
