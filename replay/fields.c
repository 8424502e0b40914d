/* Validated access to the fields of a trace line. */
#include <inttypes.h>
#include <string.h>

#include "replay/replay.h"

/* Returns a field and counts it as used; NULL if it is missing. */
static const json_t *
read_field(struct bb_replay_line *l, const char *key)
{
    const json_t *v = json_object_get(l->object, key);

    if (v != NULL) {
        l->fields_read++;
    }
    return v;
}

/* Parses a whole number from 0 to max. */
static bool
parse_number(struct bb_replay_line *l, const char *key, const json_t *v,
             uint64_t max, uint64_t *out)
{
    json_int_t n = json_integer_value(v);

    if (!json_is_integer(v) || n < 0 || (uint64_t)n > max) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "field \"%s\" is no whole number from 0 to "
                            "%" PRIu64,
                            key, max);
    }
    *out = (uint64_t)n;
    return true;
}

/* Reads a required whole number from 0 to max. */
bool
bb_replay_read_number(struct bb_replay_line *l, const char *key, uint64_t max,
                      uint64_t *out)
{
    const json_t *v = read_field(l, key);

    if (v == NULL) {
        return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                            "field \"%s\" is missing", key);
    }
    return parse_number(l, key, v, max, out);
}

/* Reads an optional whole number from 0 to max; fallback if it is missing. */
bool
bb_replay_read_number_or(struct bb_replay_line *l, const char *key,
                         uint64_t max, uint64_t fallback, uint64_t *out)
{
    const json_t *v = read_field(l, key);

    *out = fallback;
    return v == NULL || parse_number(l, key, v, max, out);
}

/* Reads an optional boolean; fallback if it is missing. */
bool
bb_replay_read_bool_or(struct bb_replay_line *l, const char *key,
                       bool fallback, bool *out)
{
    const json_t *v = read_field(l, key);

    *out = fallback;
    if (v == NULL) {
        return true;
    }
    *out = json_is_true(v);
    return json_is_boolean(v) ||
           bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                        "field \"%s\" is neither true nor false", key);
}

/* Reads a required string, which the parsed line owns. */
bool
bb_replay_read_string(struct bb_replay_line *l, const char *key,
                      const char **out)
{
    const json_t *v = read_field(l, key);

    *out = json_string_value(v);
    return *out != NULL ||
           bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                        "field \"%s\" is missing or not a string", key);
}

/* Reads a name and sets out to its index in names. If the field is missing,
 * out is the fallback; with a fallback of count the field is required. */
bool
bb_replay_read_enum(struct bb_replay_line *l, const char *key,
                    const char *const *names, uint32_t count,
                    uint32_t fallback, uint32_t *out)
{
    const json_t *v = read_field(l, key);
    const char *text = json_string_value(v);

    *out = fallback;
    if (v == NULL && fallback < count) {
        return true;
    }
    for (uint32_t i = 0; text != NULL && i < count; i++) {
        if (strcmp(text, names[i]) == 0) {
            *out = i;
            return true;
        }
    }
    return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                        "field \"%s\" must be one of %" PRIu32
                        " names, such as \"%s\" and \"%s\"",
                        key, count, names[0], names[count - 1]);
}

/* Sets the error for an event that the module does not support. Always
 * returns false. */
bool
bb_replay_reject_event(struct bb_replay_line *l, const char *event)
{
    return bb_error_set(l->error, BB_REPLAY_ERROR_FIELD,
                        "the module has no event \"%.64s\"", event);
}

/* Adds a number to a result; values above BB_REPLAY_NUMBER_MAX are clamped. */
void
bb_replay_set_number(json_t *result, const char *key, uint64_t value)
{
    uint64_t clamped =
        value < BB_REPLAY_NUMBER_MAX ? value : BB_REPLAY_NUMBER_MAX;

    (void)json_object_set_new(result, key, json_integer((json_int_t)clamped));
}

/* Adds a string to a result. */
void
bb_replay_set_string(json_t *result, const char *key, const char *value)
{
    (void)json_object_set_new(result, key, json_string(value));
}
