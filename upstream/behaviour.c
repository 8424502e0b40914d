#include "upstream/behaviour.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "common/clock.h"

enum {
    PERMILLE = 1000,
    UNIT_STEPS = 1 << 30 /* values of a random number from 0 to below 1 */
};

enum behaviour_error { BEHAVIOUR_ERROR_KEY = 1, BEHAVIOUR_ERROR_VALUE };

/* Values that can be read and changed by name. */
static const struct {
    const char *name;
    size_t offset;
} numbers[] = {
#define NUMBER(member)                                                        \
    {                                                                         \
#member, offsetof(struct bb_behaviour_values, member)                 \
    }
    NUMBER(slots),           NUMBER(connections),       NUMBER(service_us),
    NUMBER(long_permille),   NUMBER(long_factor),       NUMBER(cold_start_ms),
    NUMBER(cold_factor),     NUMBER(slow_period_ms),    NUMBER(slow_ms),
    NUMBER(slow_factor),     NUMBER(load_lag_ms),       NUMBER(load_percent),
    NUMBER(silent_permille), NUMBER(truncate_permille),
#undef NUMBER
};

/* Returns a pointer to the value with an index in numbers. */
static uint64_t *
value_at(struct bb_behaviour_values *v, size_t index)
{
    return (uint64_t *)((char *)v + numbers[index].offset);
}

/* Initialises the behaviour. The cold start begins now. Freed with
 * bb_behaviour_clear. */
void
bb_behaviour_init(struct bb_behaviour *b,
                  const struct bb_behaviour_values *values, uint64_t seed)
{
    *b = (struct bb_behaviour){.values = *values};
    (void)pthread_mutex_init(&b->lock, NULL);
    b->random = bb_random_create(seed);
    b->start_us = bb_clock_now_us();
}

/* Frees the random source and the lock. */
void
bb_behaviour_clear(struct bb_behaviour *b)
{
    bb_random_destroy(b->random);
    (void)pthread_mutex_destroy(&b->lock);
}

/* Returns a copy of the current values. */
struct bb_behaviour_values
bb_behaviour_get_values(struct bb_behaviour *b)
{
    struct bb_behaviour_values v;

    (void)pthread_mutex_lock(&b->lock);
    v = b->values;
    (void)pthread_mutex_unlock(&b->lock);
    return v;
}

/* Applies one member of a change to v. Returns false with an error if the key
 * is unknown or the value invalid. */
static bool
apply_member(struct bb_behaviour_values *v, const char *key,
             const json_t *value, struct bb_error *e)
{
    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        if (strcmp(numbers[i].name, key) == 0) {
            if (!json_is_integer(value) || json_integer_value(value) < 0) {
                return bb_error_set(e, BEHAVIOUR_ERROR_VALUE,
                                    "%s: not a whole number", key);
            }
            *value_at(v, i) = (uint64_t)json_integer_value(value);
            return true;
        }
    }
    if (strcmp(key, "shedding") == 0 && json_is_boolean(value)) {
        v->is_shedding = json_is_true(value);
        return true;
    }
    if (strcmp(key, "distribution") == 0 && json_is_string(value)) {
        v->distribution = strcmp(json_string_value(value), "exponential") == 0
                              ? BB_UPSTREAM_DISTRIBUTION_EXPONENTIAL
                              : BB_UPSTREAM_DISTRIBUTION_FIXED;
        return true;
    }
    return bb_error_set(e, BEHAVIOUR_ERROR_KEY, "%s: unknown", key);
}

/* Applies a JSON object of changes. If one is invalid, applies none and
 * returns false with an error. */
bool
bb_behaviour_apply(struct bb_behaviour *b, const json_t *changes,
                   struct bb_error *e)
{
    struct bb_behaviour_values v = bb_behaviour_get_values(b);
    const char *key;
    json_t *value;

    if (!json_is_object(changes)) {
        return bb_error_set(e, BEHAVIOUR_ERROR_VALUE, "not a JSON object");
    }
    json_object_foreach((json_t *)changes, key, value)
    {
        if (!apply_member(&v, key, value, e)) {
            return false;
        }
    }
    if (v.slots == 0) {
        return bb_error_set(e, BEHAVIOUR_ERROR_VALUE, "slots: must be > 0");
    }
    (void)pthread_mutex_lock(&b->lock);
    b->values = v;
    (void)pthread_mutex_unlock(&b->lock);
    return true;
}

/* Returns the current values as a JSON object, which the caller frees. */
json_t *
bb_behaviour_to_json(struct bb_behaviour *b)
{
    struct bb_behaviour_values v = bb_behaviour_get_values(b);
    json_t *out = json_object();

    for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
        json_object_set_new(out, numbers[i].name,
                            json_integer((json_int_t)*value_at(&v, i)));
    }
    json_object_set_new(out, "shedding", json_boolean(v.is_shedding));
    return out;
}

/* Returns true with a probability of permille / 1000. */
bool
bb_behaviour_draw_bool(struct bb_behaviour *b, uint64_t permille)
{
    return permille > 0 && bb_random_below(b->random, PERMILLE) < permille;
}

/* Returns the service time, in microseconds, of a request that starts now. It
 * is wanted_us, or random if that is 0; cold start and slow phases lengthen
 * both. */
uint64_t
bb_behaviour_draw_service_us(struct bb_behaviour *b, uint64_t now_us,
                             uint64_t wanted_us)
{
    struct bb_behaviour_values v = bb_behaviour_get_values(b);
    uint64_t age_ms = (now_us - b->start_us) / BB_US_PER_MS;
    uint64_t time_us = wanted_us;

    if (wanted_us == 0) {
        time_us = v.service_us;
        if (v.distribution == BB_UPSTREAM_DISTRIBUTION_EXPONENTIAL) {
            double u = (double)bb_random_below(b->random, UNIT_STEPS) /
                       (double)UNIT_STEPS;

            time_us = (uint64_t)(-log1p(-u) * (double)v.service_us);
        }
        if (bb_behaviour_draw_bool(b, v.long_permille)) {
            time_us *= v.long_factor;
        }
    }
    if (age_ms < v.cold_start_ms) {
        time_us *= v.cold_factor;
    }
    if (v.slow_period_ms > 0 && age_ms % v.slow_period_ms < v.slow_ms) {
        time_us *= v.slow_factor;
    }
    return time_us;
}
