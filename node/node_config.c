#include "node/node_config.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "config/compile.h"
#include "node/bundle_file.h"

enum {
    /* Announcements and restarts come in bursts; one table covers a burst. */
    REBUILD_INTERVAL_MS = 10,
    MIN_REVISION_TIMEOUT_MS = 1000,
    MIN_REVISION_RETRY_MS = 200,
    ERROR_THREAD = 1
};

BB_COUNTER(applied_total, "baobab_configuration_applied_total",
           "Revisions of the configuration applied");
BB_COUNTER(stale_total, "baobab_configuration_stale_total",
           "Payloads ignored because a revision at least as new is held");
BB_COUNTER(invalid_total, "baobab_configuration_invalid_total",
           "Payloads refused because they are damaged or invalid");
BB_COUNTER(rebuilt_total, "baobab_table_rebuilt_total",
           "Routing tables built");
BB_GAUGE(served_revision, "baobab_configuration_revision",
         "Revision of the configuration in force");
BB_GAUGE(route_count, "baobab_table_routes",
         "Routes in force, each with a usable upstream");

struct bb_node_config {
    char *host;
    char *zone;
    char *region;
    char *data_folder;
    struct bb_mesh *mesh;
    struct bb_proxy *proxy;
    struct bb_bundle_history *history;
    pthread_mutex_t lock;
    pthread_cond_t rebuild_wanted;
    bool is_rebuild_wanted;
    bool is_stopping;
    bool is_min_revision_known;
    uint64_t min_revision;
    uint64_t served_revision;
    bool has_rebuild_thread;
    bool has_query_thread;
    pthread_t rebuild_thread;
    pthread_t query_thread;
    /* Used by the rebuild thread only. */
    struct bb_config *config;
    uint64_t roster_revision; /* revision of the rosters that the proxy has */
};

/* Loads the copy on disk. Its revision is the last one this host held, so the
 * minimum revision is known without a query to other members. */
static void
load_saved(struct bb_node_config *n)
{
    struct bb_error e = {0};
    struct bb_bundle *b = bb_bundle_file_load(n->data_folder, &e);

    if (b == NULL) {
        if (e.code != 0) {
            bb_log_warning("configuration.copy_unusable", "%s", e.message);
        }
        return;
    }
    (void)bb_bundle_history_add(n->history, b);
    n->is_min_revision_known = true;
    n->min_revision = b->revision;
    n->is_rebuild_wanted = true;
    bb_bundle_unref(b);
}

/* Creates the configuration, empty or from the copy in the data folder. A copy
 * that cannot be used is logged and ignored. The settings are copied. */
struct bb_node_config *
bb_node_config_create(const struct bb_node_config_settings *s)
{
    struct bb_node_config *n = g_new0(struct bb_node_config, 1);

    n->host = g_strdup(s->host);
    n->zone = g_strdup(s->zone);
    n->region = g_strdup(s->region);
    n->data_folder = g_strdup(s->data_folder);
    n->history = bb_bundle_history_create();
    (void)pthread_mutex_init(&n->lock, NULL);
    (void)pthread_cond_init(&n->rebuild_wanted, NULL);
    if (n->data_folder != NULL) {
        load_saved(n);
    }
    return n;
}

/* Wakes the rebuild thread. */
static void
request_rebuild(struct bb_node_config *n)
{
    (void)pthread_mutex_lock(&n->lock);
    n->is_rebuild_wanted = true;
    (void)pthread_cond_signal(&n->rebuild_wanted);
    (void)pthread_mutex_unlock(&n->lock);
}

/* Requests a new table after a change of member records that routes depend on.
 * Mesh callback, also called when the local upstream changes. */
void
bb_node_config_members_changed(void *context)
{
    request_rebuild(context);
}

/* Returns a new reference to the newest bundle held, or NULL if there is none.
 * It may be newer than the one served. */
struct bb_bundle *
bb_node_config_newest(struct bb_node_config *n)
{
    return bb_bundle_history_newest(n->history);
}

/* Returns the revision that this node serves, which is that of the table in
 * use, or 0 if there is none. */
uint64_t
bb_node_config_served_revision(struct bb_node_config *n)
{
    uint64_t revision;

    (void)pthread_mutex_lock(&n->lock);
    revision = n->served_revision;
    (void)pthread_mutex_unlock(&n->lock);
    return revision;
}

/* Mesh callback: encodes the newest revision for a member that holds
 * receiver_revision. The caller frees out->data with free. Returns false if
 * there is nothing newer. */
bool
bb_node_config_encode_payload(void *context, uint64_t receiver_revision,
                              struct bb_mesh_payload *out)
{
    const struct bb_node_config *n = context;

    return bb_mesh_payload_encode(n->history, receiver_revision, out);
}

/* Decodes a payload. Returns NULL and sets *result if it cannot be applied. */
static struct bb_bundle *
decode_payload(struct bb_node_config *n, const struct bb_mesh_payload *payload,
               enum bb_mesh_apply_result *result)
{
    struct bb_error e = {0};
    struct bb_bundle *base = NULL;
    struct bb_bundle *b;

    if (payload->is_delta) {
        base = bb_bundle_history_find(n->history, payload->base_revision);
        if (base == NULL) {
            *result = BB_MESH_NEED_SNAPSHOT;
            return NULL;
        }
        b = bb_bundle_apply_delta(base, payload->data, payload->size_bytes,
                                  &e);
    }
    else {
        b = bb_bundle_decode(payload->data, payload->size_bytes, &e);
    }
    bb_bundle_unref(base);
    if (b == NULL) {
        *result = payload->is_delta ? BB_MESH_NEED_SNAPSHOT : BB_MESH_INVALID;
        bb_counter_add(&invalid_total, 1);
    }
    else if (b->revision != payload->revision ||
             !bb_digest_equal(&b->digest, &payload->digest)) {
        *result = BB_MESH_INVALID;
        bb_counter_add(&invalid_total, 1);
        bb_bundle_unref(b);
        b = NULL;
    }
    return b;
}

/* Returns whether a bundle compiles without faults. Control hosts accept only
 * such bundles, so a fault here means that this node and the control hosts run
 * different software versions. */
static bool
is_bundle_valid(const struct bb_bundle *b)
{
    struct bb_config_faults faults = {0};
    struct bb_config *c = bb_config_compile(b->folder, &faults);
    bool ok = c != NULL;

    if (!ok) {
        bb_log_warning("configuration.refused",
                       "revision %" G_GUINT64_FORMAT
                       " does not compile on this node; the node may run a "
                       "different software version than the control hosts",
                       b->revision);
        bb_counter_add(&invalid_total, 1);
    }
    bb_config_destroy(c);
    bb_config_faults_clear(&faults);
    return ok;
}

/* Saves a bundle in the data folder, if there is one. A failure is only
 * logged, because the copy is not needed until a restart. */
static void
save_to_disk(const struct bb_node_config *n, const struct bb_bundle *b)
{
    struct bb_error e = {0};

    if (n->data_folder != NULL &&
        !bb_bundle_file_save(n->data_folder, b, &e)) {
        bb_log_warning("configuration.copy_failed", "%s", e.message);
    }
}

/* Returns whether payloads are accepted, which is the case once the minimum
 * revision is known. The other members derive that revision from the one that
 * this host reports as held: if it accepted a payload earlier, they could
 * report this new revision in place of the one it held before the restart. */
static bool
can_accept_payloads(struct bb_node_config *n)
{
    bool is_known;

    (void)pthread_mutex_lock(&n->lock);
    is_known = n->is_min_revision_known;
    (void)pthread_mutex_unlock(&n->lock);
    return is_known;
}

/* Mesh callback: applies a payload completely or not at all, and sets
 * *held_revision to the newest revision held. A revision below the minimum
 * serves as a base for deltas, but no table is built from it. Returns
 * BB_MESH_STALE also while the minimum revision is unknown, and
 * BB_MESH_NEED_SNAPSHOT if a delta cannot be applied. */
enum bb_mesh_apply_result
bb_node_config_apply_payload(void *context,
                             const struct bb_mesh_payload *payload,
                             uint64_t *held_revision)
{
    struct bb_node_config *n = context;
    enum bb_mesh_apply_result result = BB_MESH_STALE;
    struct bb_bundle *newest = bb_bundle_history_newest(n->history);
    struct bb_bundle *b = NULL;

    *held_revision = newest == NULL ? 0 : newest->revision;
    if (!can_accept_payloads(n)) {
        goto out;
    }
    if (newest != NULL && payload->revision <= newest->revision) {
        bb_counter_add(&stale_total, 1);
        goto out;
    }
    b = decode_payload(n, payload, &result);
    if (b == NULL) {
        goto out;
    }
    if (!is_bundle_valid(b)) {
        result = BB_MESH_INVALID;
        goto out;
    }
    save_to_disk(n, b);
    (void)bb_bundle_history_add(n->history, b);
    *held_revision = b->revision;
    result = BB_MESH_APPLIED;
    bb_counter_add(&applied_total, 1);
    request_rebuild(n);
out:
    bb_bundle_unref(b);
    bb_bundle_unref(newest);
    return result;
}

/* Sets the served revision, updates the metrics of the table, and logs the
 * revision if it changed. */
static void
set_served_revision(struct bb_node_config *n, const struct bb_bundle *b,
                    uint32_t table_routes)
{
    char digest[BB_DIGEST_TEXT_BYTES];
    bool is_new;

    (void)pthread_mutex_lock(&n->lock);
    is_new = n->served_revision != b->revision;
    n->served_revision = b->revision;
    (void)pthread_mutex_unlock(&n->lock);
    bb_counter_set(&served_revision, b->revision);
    bb_counter_set(&route_count, table_routes);
    bb_counter_add(&rebuilt_total, 1);
    if (is_new) {
        bb_log_info("configuration.in_force",
                    "revision %" G_GUINT64_FORMAT " digest %.12s", b->revision,
                    bb_digest_format(&b->digest, digest));
    }
}

/* Passes the rosters of a revision to the proxy, once per revision. */
static void
set_rosters(struct bb_node_config *n, const struct bb_bundle *b)
{
    struct bb_roster *r;

    if (n->roster_revision == b->revision) {
        return;
    }
    n->roster_revision = b->revision;
    r = g_new(struct bb_roster, 1);
    for (uint32_t i = 0; i < b->rosters->count; i++) {
        bb_service_roster_to_hashes(&b->rosters->items[i], r);
        bb_proxy_set_roster(n->proxy, b->rosters->items[i].service, r);
    }
    g_free(r);
}

/* Builds a table from the newest bundle and the current members and passes it
 * to the proxy, unless the minimum revision is unknown or not reached. */
static void
rebuild_table(struct bb_node_config *n)
{
    const struct bb_node_location location = {
        .host = n->host, .zone = n->zone, .region = n->region};
    struct bb_bundle *b = bb_bundle_history_newest(n->history);
    struct bb_member_list members = {0};
    struct bb_table *t;
    bool is_allowed;

    (void)pthread_mutex_lock(&n->lock);
    is_allowed = b != NULL && n->is_min_revision_known &&
                 b->revision >= n->min_revision;
    (void)pthread_mutex_unlock(&n->lock);
    if (!is_allowed) {
        goto out;
    }
    if (n->config == NULL || n->config->revision != b->revision) {
        struct bb_config_faults faults = {0};
        struct bb_config *c = bb_config_compile(b->folder, &faults);

        bb_config_faults_clear(&faults);
        if (c == NULL) {
            goto out;
        }
        c->revision = b->revision;
        bb_config_destroy(n->config);
        n->config = c;
    }
    bb_mesh_copy_members(n->mesh, &members);
    t = bb_table_build(n->config, members.items, members.count, &location);
    set_served_revision(n, b, t->route_count);
    bb_proxy_set_table(n->proxy, t);
    set_rosters(n, b);
    bb_member_list_clear(&members);
out:
    bb_bundle_unref(b);
}

/* Thread main function: rebuilds the table after each change until the
 * configuration is stopped. */
static void *
run_rebuilds(void *argument)
{
    struct bb_node_config *n = argument;
    bool is_stopping = false;

    while (!is_stopping) {
        (void)pthread_mutex_lock(&n->lock);
        while (!n->is_rebuild_wanted && !n->is_stopping) {
            (void)pthread_cond_wait(&n->rebuild_wanted, &n->lock);
        }
        n->is_rebuild_wanted = false;
        is_stopping = n->is_stopping;
        (void)pthread_mutex_unlock(&n->lock);
        if (!is_stopping) {
            rebuild_table(n);
            bb_clock_sleep_us((uint64_t)REBUILD_INTERVAL_MS * BB_US_PER_MS);
        }
    }
    return NULL;
}

/* Returns whether the minimum revision is still to be queried. */
static bool
should_query_min_revision(struct bb_node_config *n)
{
    bool is_wanted;

    (void)pthread_mutex_lock(&n->lock);
    is_wanted = !n->is_stopping && !n->is_min_revision_known;
    (void)pthread_mutex_unlock(&n->lock);
    return is_wanted;
}

/* Thread main function: queries the minimum revision from the mesh until a
 * query succeeds. */
static void *
run_min_revision_query(void *argument)
{
    struct bb_node_config *n = argument;
    uint64_t revision = 0;

    while (should_query_min_revision(n)) {
        if (!bb_mesh_find_min_revision(n->mesh, MIN_REVISION_TIMEOUT_MS,
                                       &revision)) {
            bb_clock_sleep_us((uint64_t)MIN_REVISION_RETRY_MS * BB_US_PER_MS);
            continue;
        }
        if (revision == 0) {
            bb_proxy_set_first_start(n->proxy);
        }
        (void)pthread_mutex_lock(&n->lock);
        n->is_min_revision_known = true;
        n->min_revision = revision;
        (void)pthread_mutex_unlock(&n->lock);
        bb_log_info("configuration.floor",
                    "minimum revision %" G_GUINT64_FORMAT
                    " (0: this host never held one); older revisions are not "
                    "served",
                    revision);
        request_rebuild(n);
    }
    return NULL;
}

/* Starts the threads. Mesh and proxy must be running. Returns false with an
 * error if a thread cannot be started. */
bool
bb_node_config_start(struct bb_node_config *n, struct bb_mesh *mesh,
                     struct bb_proxy *proxy, struct bb_error *e)
{
    n->mesh = mesh;
    n->proxy = proxy;
    n->has_rebuild_thread =
        pthread_create(&n->rebuild_thread, NULL, run_rebuilds, n) == 0;
    n->has_query_thread =
        pthread_create(&n->query_thread, NULL, run_min_revision_query, n) == 0;
    if (!n->has_rebuild_thread || !n->has_query_thread) {
        return bb_error_set(
            e, ERROR_THREAD,
            "cannot start the threads of the node configuration");
    }
    return true;
}

/* Stops the threads. The proxy and the mesh may be destroyed afterwards. The
 * other functions may still be called but no longer change the table. NULL is
 * allowed. */
void
bb_node_config_stop(struct bb_node_config *n)
{
    if (n == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&n->lock);
    n->is_stopping = true;
    (void)pthread_cond_signal(&n->rebuild_wanted);
    (void)pthread_mutex_unlock(&n->lock);
    if (n->has_rebuild_thread) {
        (void)pthread_join(n->rebuild_thread, NULL);
        n->has_rebuild_thread = false;
    }
    if (n->has_query_thread) {
        (void)pthread_join(n->query_thread, NULL);
        n->has_query_thread = false;
    }
}

/* Stops and frees the configuration. NULL is allowed. */
void
bb_node_config_destroy(struct bb_node_config *n)
{
    if (n == NULL) {
        return;
    }
    bb_node_config_stop(n);
    bb_config_destroy(n->config);
    bb_bundle_history_destroy(n->history);
    (void)pthread_cond_destroy(&n->rebuild_wanted);
    (void)pthread_mutex_destroy(&n->lock);
    g_free(n->host);
    g_free(n->zone);
    g_free(n->region);
    g_free(n->data_folder);
    g_free(n);
}
