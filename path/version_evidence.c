/* Evidence that an entry collects about versions. */
#include "path/version_evidence.h"

#include <string.h>

struct bb_version_evidence {
    GHashTable *sums; /* key to fleet_rollout_evidence */
};

static void
free_sum(void *data)
{
    fleet_rollout_evidence *s = data;

    g_free(s->service);
    g_free(s->software_version);
    g_free(s->upstream_id);
    g_free(s->durations.durations_val);
    g_free(s);
}

/* Creates an empty collection. */
struct bb_version_evidence *
bb_version_evidence_create(void)
{
    struct bb_version_evidence *e = g_new0(struct bb_version_evidence, 1);

    e->sums = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_sum);
    return e;
}

/* Frees a collection; NULL is allowed. */
void
bb_version_evidence_destroy(struct bb_version_evidence *e)
{
    if (e != NULL) {
        g_hash_table_destroy(e->sums);
        g_free(e);
    }
}

/* Returns the sum of an upstream and route, or NULL if there are too many. */
static fleet_rollout_evidence *
find_sum(struct bb_version_evidence *e, const struct bb_gate_record *g,
         uint64_t route_id)
{
    char *key = g_strdup_printf("%s\x1f%s\x1f%s\x1f%" G_GINT64_MODIFIER "x",
                                g->service, g->software_version,
                                g->upstream_id, (guint64)route_id);
    fleet_rollout_evidence *s = g_hash_table_lookup(e->sums, key);

    if (s != NULL || g_hash_table_size(e->sums) >= FLEET_EVIDENCE_MAX / 2) {
        g_free(key);
        return s;
    }
    s = g_new0(fleet_rollout_evidence, 1);
    s->service = g_strdup(g->service);
    s->software_version = g_strdup(g->software_version);
    s->upstream_id = g_strdup(g->upstream_id);
    s->route_id = route_id;
    s->durations.durations_val = g_new0(u_int, BB_ROLLOUT_DURATION_CLASSES);
    g_hash_table_insert(e->sums, key, s);
    return s;
}

/* Adds a response of an upstream; duration_us 0: none was measured. */
void
bb_version_evidence_add(struct bb_version_evidence *e,
                        const struct bb_gate_record *g, uint64_t route_id,
                        bool has_failed, uint64_t duration_us)
{
    fleet_rollout_evidence *s = find_sum(e, g, route_id);

    if (s == NULL) {
        return;
    }
    s->responses++;
    s->failures += has_failed;
    if (duration_us != 0) {
        uint32_t class_index = bb_rollout_duration_class(duration_us);

        s->durations.durations_val[class_index]++;
        s->durations.durations_len =
            MAX(s->durations.durations_len, class_index + 1);
    }
}

/* State of a report that is built. */
struct report {
    fleet_rollout_evidence *list;
    uint32_t count;
};

/* Adds what is in flight on the baseline of a service whose rollout runs. */
static void
add_in_flight(void *context, struct bb_service_record *s)
{
    struct report *r = context;

    if (!s->versions.has_rollout || s->versions.state != BB_ROLLOUT_RUNNING) {
        return;
    }
    for (guint i = 0; i < s->gates->len && r->count < FLEET_EVIDENCE_MAX;
         i++) {
        const struct bb_gate_record *g = g_ptr_array_index(s->gates, i);

        if (g->view.in_flight > 0 &&
            strcmp(g->software_version, s->versions.baseline) == 0) {
            r->list[r->count++] = (fleet_rollout_evidence){
                .service = s->name,
                .software_version = g->software_version,
                .upstream_id = g->upstream_id,
                .in_flight = g->view.in_flight};
        }
    }
}

/* Passes on what was collected since the last call, and what is in flight on
 * baselines, unless there is nothing. */
void
bb_version_evidence_report(struct bb_version_evidence *e,
                           struct bb_directory *d,
                           bb_version_evidence_callback send, void *context)
{
    struct report r = {.list =
                           g_new(fleet_rollout_evidence, FLEET_EVIDENCE_MAX)};
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, e->sums);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        r.list[r.count++] = *(fleet_rollout_evidence *)value;
    }
    bb_directory_foreach_service(d, add_in_flight, &r);
    if (r.count > 0) {
        send(context, r.list, r.count);
    }
    g_free(r.list);
    g_hash_table_remove_all(e->sums);
}
