/* Replays a trace: JSON Lines, each an event for a decision module at a
 * virtual time together with the outcome it must have. Adapters of modules
 * are plug-ins of kind BB_PLUGIN_REPLAY_MODULE. */
#ifndef BB_REPLAY_REPLAY_H
#define BB_REPLAY_REPLAY_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/error.h"

enum {
    BB_REPLAY_LINE_BYTES = 64 * 1024,
    BB_REPLAY_LINES_MAX = 1000000,
    BB_REPLAY_MODULES_MAX = 16
};

/* Times and numbers stay below 2^53, which JSON readers hold exactly. */
#define BB_REPLAY_NUMBER_MAX ((uint64_t)1 << 53)

enum bb_replay_error {
    BB_REPLAY_ERROR_READ = 1,
    BB_REPLAY_ERROR_SYNTAX,
    BB_REPLAY_ERROR_FIELD,
    BB_REPLAY_ERROR_DIFFERENCE
};

/* One event while its fields are read; fields that no one takes are faults. */
struct bb_replay_line {
    const json_t *object;
    uint32_t taken;
    uint64_t now_us;
    struct bb_error *error;
};

/* Applies one event to the state and adds what came of it to result. False
 * with an error in l if the event is malformed. */
struct bb_replay_module {
    void *(*create)(void);
    void (*destroy)(void *state);
    bool (*apply)(void *state, const char *event, struct bb_replay_line *l,
                  json_t *result);
};

struct bb_replay_summary {
    uint32_t events;
    uint32_t expectations;
};

bool bb_replay_stream(FILE *in, bool is_verbose, struct bb_replay_summary *s,
                      struct bb_error *e);

bool bb_replay_number(struct bb_replay_line *l, const char *key, uint64_t max,
                      uint64_t *out);
bool bb_replay_number_or(struct bb_replay_line *l, const char *key,
                         uint64_t max, uint64_t fallback, uint64_t *out);
bool bb_replay_flag_or(struct bb_replay_line *l, const char *key,
                       bool fallback, bool *out);
bool bb_replay_text(struct bb_replay_line *l, const char *key,
                    const char **out);
bool bb_replay_choice(struct bb_replay_line *l, const char *key,
                      const char *const *names, uint32_t count,
                      uint32_t fallback, uint32_t *out);
bool bb_replay_unknown_event(struct bb_replay_line *l, const char *event);

void bb_replay_set_number(json_t *result, const char *key, uint64_t value);
void bb_replay_set_text(json_t *result, const char *key, const char *value);

#endif
