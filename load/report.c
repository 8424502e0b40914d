/* Writes the statistics of a run as text or JSON. */
#include <inttypes.h>
#include <jansson.h>

#include "load/engine.h"

static const char *const kind_names[BB_LOAD_KIND_COUNT] = {"proxied", "short",
                                                           "long", "direct"};
static const char *const result_names[BB_LOAD_RESULT_COUNT] =
    BB_LOAD_RESULT_NAMES;
static const double percentiles[] = {50, 90, 99, 99.9};
static const char *const percentile_names[] = {"p50_us", "p90_us", "p99_us",
                                               "p999_us"};

/* Returns the latency statistics of one kind of call. The caller frees it. */
static json_t *
latency_to_json(const struct bb_load_stats *s, enum bb_load_kind kind)
{
    json_t *out = json_object();

    json_object_set_new(out, "count",
                        json_integer((json_int_t)s->counts[kind]));
    for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
        json_object_set_new(
            out, percentile_names[i],
            json_real(bb_load_percentile(s, kind, percentiles[i])));
    }
    json_object_set_new(out, "max_us",
                        json_integer((json_int_t)s->max_us[kind]));
    json_object_set_new(
        out, "mean_us",
        json_real(s->counts[kind] > 0
                      ? (double)s->sum_us[kind] / (double)s->counts[kind]
                      : 0));
    return out;
}

/* Returns the difference of the latency percentiles of proxied and direct
 * calls, in microseconds. */
static json_t *
difference_to_json(const struct bb_load_stats *s)
{
    json_t *out = json_object();

    for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
        json_object_set_new(
            out, percentile_names[i],
            json_real(bb_load_percentile(s, BB_LOAD_PROXIED, percentiles[i]) -
                      bb_load_percentile(s, BB_LOAD_DIRECT, percentiles[i])));
    }
    return out;
}

/* Returns the number of refusals by reason, without reasons that did not
 * occur. */
static json_t *
refusals_to_json(const struct bb_load_stats *s)
{
    json_t *out = json_object();

    for (int i = 0; i < BB_REASON_COUNT; i++) {
        if (s->refusals_by_reason[i] > 0) {
            json_object_set_new(
                out, bb_reason_name((enum bb_reason)i),
                json_integer((json_int_t)s->refusals_by_reason[i]));
        }
    }
    return out;
}

/* Writes the report as one JSON object. */
static void
write_json(const struct bb_load_run *run, const struct bb_load_stats *s,
           FILE *out)
{
    json_t *root = json_object();
    json_t *results = json_object();
    json_t *intervals = json_array();

    json_object_set_new(root, "workload", json_string(run->workload->name));
    json_object_set_new(root, "seed", json_integer((json_int_t)run->seed));
    json_object_set_new(root, "calls", json_integer(run->call_count));
    json_object_set_new(root, "duration_ms",
                        json_integer((json_int_t)run->duration_ms));
    for (int i = 0; i < BB_LOAD_RESULT_COUNT; i++) {
        json_object_set_new(results, result_names[i],
                            json_integer((json_int_t)s->result_counts[i]));
    }
    json_object_set_new(root, "ends", results);
    json_object_set_new(root, "refusals", refusals_to_json(s));
    json_object_set_new(root, "unknown",
                        json_integer((json_int_t)s->unknown_count));
    json_object_set_new(root, "late", json_integer((json_int_t)s->late_count));
    json_object_set_new(root, "answer_bytes",
                        json_integer((json_int_t)s->response_bytes));
    for (int k = 0; k < BB_LOAD_KIND_COUNT; k++) {
        if (s->counts[k] > 0) {
            json_object_set_new(root, kind_names[k],
                                latency_to_json(s, (enum bb_load_kind)k));
        }
    }
    if (s->counts[BB_LOAD_DIRECT] > 0) {
        json_object_set_new(root, "difference", difference_to_json(s));
    }
    for (uint32_t i = 0; i < run->interval_count; i++) {
        json_array_append_new(intervals,
                              json_integer((json_int_t)s->ok_by_interval[i]));
    }
    json_object_set_new(root, "ok_by_100_ms", intervals);
    (void)json_dumpf(root, out, JSON_COMPACT | JSON_REAL_PRECISION(8));
    (void)fputc('\n', out);
    json_decref(root);
}

/* Writes the report as text. */
static void
write_text(const struct bb_load_run *run, const struct bb_load_stats *s,
           FILE *out)
{
    (void)fprintf(
        out, "workload %s, seed %" PRIu64 ", %u calls in %" PRIu64 " ms\n",
        run->workload->name, run->seed, run->call_count, run->duration_ms);
    for (int i = 0; i < BB_LOAD_RESULT_COUNT; i++) {
        (void)fprintf(out, "%-8s %" PRIu64 "\n", result_names[i],
                      s->result_counts[i]);
    }
    for (int i = 0; i < BB_REASON_COUNT; i++) {
        if (s->refusals_by_reason[i] > 0) {
            (void)fprintf(out, "  %s %" PRIu64 "\n",
                          bb_reason_name((enum bb_reason)i),
                          s->refusals_by_reason[i]);
        }
    }
    (void)fprintf(out, "unknown  %" PRIu64 "\nlate     %" PRIu64 "\n",
                  s->unknown_count, s->late_count);
    (void)fprintf(out, "%-8s %9s %9s %9s %9s %9s %9s\n", "us", "count", "p50",
                  "p90", "p99", "p99.9", "max");
    for (int k = 0; k < BB_LOAD_KIND_COUNT; k++) {
        enum bb_load_kind kind = (enum bb_load_kind)k;

        if (s->counts[k] == 0) {
            continue;
        }
        (void)fprintf(out, "%-8s %9" PRIu64, kind_names[k], s->counts[k]);
        for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
            (void)fprintf(out, " %9.0f",
                          bb_load_percentile(s, kind, percentiles[i]));
        }
        (void)fprintf(out, " %9" PRIu64 "\n", s->max_us[k]);
    }
    if (s->counts[BB_LOAD_DIRECT] > 0) {
        (void)fprintf(out, "%-8s %9s", "added", "");
        for (size_t i = 0; i < G_N_ELEMENTS(percentiles); i++) {
            (void)fprintf(
                out, " %9.0f",
                bb_load_percentile(s, BB_LOAD_PROXIED, percentiles[i]) -
                    bb_load_percentile(s, BB_LOAD_DIRECT, percentiles[i]));
        }
        (void)fputc('\n', out);
    }
}

/* Writes the statistics of a run as one line of JSON, or as a table. */
void
bb_load_write_report(const struct bb_load_run *run,
                     const struct bb_load_stats *s, bool is_json, FILE *out)
{
    if (is_json) {
        write_json(run, s, out);
    }
    else {
        write_text(run, s, out);
    }
}
