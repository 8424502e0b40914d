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
    /* Announcements and restarts come in groups; one table covers a group. */
    REBUILD_INTERVAL_MS = 10,
    MIN_REVISION_TIMEOUT_MS = 1000,
    MIN_REVISION_RETRY_MS = 200
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
    struct bb_history *history;
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
    /* Of the rebuild thread alone. */
    struct bb_config *config;
    uint64_t roster_revision; /* whose rosters the proxy has */
};

/* Loads the copy kept on disk. Its revision is the last one this host held,
 * so the floor is known without asking anyone. */
static void
load_saved(struct bb_node_config *h)
{
    struct bb_error e = {0};
    struct bb_bundle *b = bb_bundle_file_load(h->data_folder, &e);

    if (b == NULL) {
        if (e.code != 0) {
            bb_log_warning("configuration.copy_unusable", "%s", e.message);
        }
        return;
    }
    (void)bb_history_add(h->history, b);
    h->is_min_revision_known = true;
    h->min_revision = b->revision;
    h->is_rebuild_wanted = true;
    bb_bundle_unref(b);
}

/* Creates a holder without a configuration, or with the one kept on disk. */
struct bb_node_config *
bb_node_config_create(const struct bb_node_config_settings *s)
{
    struct bb_node_config *h = g_new0(struct bb_node_config, 1);

    h->host = g_strdup(s->host);
    h->zone = g_strdup(s->zone);
    h->region = g_strdup(s->region);
    h->data_folder = g_strdup(s->data_folder);
    h->history = bb_history_create();
    (void)pthread_mutex_init(&h->lock, NULL);
    (void)pthread_cond_init(&h->rebuild_wanted, NULL);
    if (h->data_folder != NULL) {
        load_saved(h);
    }
    return h;
}

/* Wakes the rebuild thread. */
static void
request_rebuild(struct bb_node_config *h)
{
    (void)pthread_mutex_lock(&h->lock);
    h->is_rebuild_wanted = true;
    (void)pthread_cond_signal(&h->rebuild_wanted);
    (void)pthread_mutex_unlock(&h->lock);
}

/* Called by the mesh when records changed that routes depend on. */
void
bb_node_config_members_changed(void *holder)
{
    request_rebuild(holder);
}

/* Returns a reference to the newest bundle held, or NULL. */
struct bb_bundle *
bb_node_config_newest(struct bb_node_config *h)
{
    return bb_history_newest(h->history);
}

/* Returns the revision that routes are served from, 0 for none. */
uint64_t
bb_node_config_served_revision(struct bb_node_config *h)
{
    uint64_t revision;

    (void)pthread_mutex_lock(&h->lock);
    revision = h->served_revision;
    (void)pthread_mutex_unlock(&h->lock);
    return revision;
}

/* Encodes the newest revision for another member that holds have_revision. */
bool
bb_node_config_encode_payload(void *holder, uint64_t have_revision,
                              struct bb_mesh_payload *out)
{
    const struct bb_node_config *h = holder;

    return bb_mesh_payload_encode(h->history, have_revision, out);
}

/* Decodes a payload. Sets the result if there is no bundle to apply. */
static struct bb_bundle *
decode_payload(struct bb_node_config *h, const struct bb_mesh_payload *payload,
               enum bb_mesh_receive *result)
{
    struct bb_error e = {0};
    struct bb_bundle *base = NULL;
    struct bb_bundle *b;

    if (payload->is_delta) {
        base = bb_history_find(h->history, payload->base_revision);
        if (base == NULL) {
            *result = BB_MESH_NEED_SNAPSHOT;
            return NULL;
        }
        b = bb_delta_apply(base, payload->data, payload->size_bytes, &e);
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

/* Tells whether a bundle compiles without faults. Control hosts accept no
 * other, so a fault here means other versions of the programs. */
static bool
is_valid(const struct bb_bundle *b)
{
    struct bb_faults faults = {0};
    struct bb_config *c = bb_config_compile(b->folder, &faults);
    bool ok = c != NULL;

    if (!ok) {
        bb_log_warning("configuration.refused",
                       "revision %" G_GUINT64_FORMAT
                       " does not pass this node's checks",
                       b->revision);
        bb_counter_add(&invalid_total, 1);
    }
    bb_config_destroy(c);
    bb_faults_clear(&faults);
    return ok;
}

/* Keeps a bundle on disk if there is a data folder. A failure is reported and
 * the node goes on: the copy only matters after a restart. */
static void
save_to_disk(const struct bb_node_config *h, const struct bb_bundle *b)
{
    struct bb_error e = {0};

    if (h->data_folder != NULL &&
        !bb_bundle_file_save(h->data_folder, b, &e)) {
        bb_log_warning("configuration.copy_failed", "%s", e.message);
    }
}

/* Tells whether payloads are taken. Before the floor is known they are not:
 * others remember what this host holds, and could not tell it from what it
 * held before a restart. */
static bool
can_accept_payloads(struct bb_node_config *h)
{
    bool is_known;

    (void)pthread_mutex_lock(&h->lock);
    is_known = h->is_min_revision_known;
    (void)pthread_mutex_unlock(&h->lock);
    return is_known;
}

/* Applies a payload from the mesh as a whole. A revision below the floor is
 * taken as a base for deltas but not served. */
enum bb_mesh_receive
bb_node_config_receive_payload(void *holder,
                               const struct bb_mesh_payload *payload,
                               uint64_t *held_revision)
{
    struct bb_node_config *h = holder;
    enum bb_mesh_receive result = BB_MESH_STALE;
    struct bb_bundle *newest = bb_history_newest(h->history);
    struct bb_bundle *b = NULL;

    *held_revision = newest == NULL ? 0 : newest->revision;
    if (!can_accept_payloads(h)) {
        goto out;
    }
    if (newest != NULL && payload->revision <= newest->revision) {
        bb_counter_add(&stale_total, 1);
        goto out;
    }
    b = decode_payload(h, payload, &result);
    if (b == NULL) {
        goto out;
    }
    if (!is_valid(b)) {
        result = BB_MESH_INVALID;
        goto out;
    }
    save_to_disk(h, b);
    (void)bb_history_add(h->history, b);
    *held_revision = b->revision;
    result = BB_MESH_APPLIED;
    bb_counter_add(&applied_total, 1);
    request_rebuild(h);
out:
    bb_bundle_unref(b);
    bb_bundle_unref(newest);
    return result;
}

/* Records the revision now served and logs a change of it. */
static void
set_served_revision(struct bb_node_config *h, const struct bb_bundle *b,
                    uint32_t table_routes)
{
    char digest[BB_DIGEST_TEXT_BYTES];
    bool is_new;

    (void)pthread_mutex_lock(&h->lock);
    is_new = h->served_revision != b->revision;
    h->served_revision = b->revision;
    (void)pthread_mutex_unlock(&h->lock);
    bb_counter_set(&served_revision, b->revision);
    bb_counter_set(&route_count, table_routes);
    bb_counter_add(&rebuilt_total, 1);
    if (is_new) {
        bb_log_info("configuration.in_force",
                    "revision %" G_GUINT64_FORMAT " digest %.12s", b->revision,
                    bb_digest_text(&b->digest, digest));
    }
}

/* Gives the rosters of a revision to the proxy, once. */
static void
set_rosters(struct bb_node_config *h, const struct bb_bundle *b)
{
    struct bb_roster *r;

    if (h->roster_revision == b->revision) {
        return;
    }
    h->roster_revision = b->revision;
    r = g_new(struct bb_roster, 1);
    for (uint32_t i = 0; i < b->rosters->count; i++) {
        bb_roster_of_service(&b->rosters->items[i], r);
        bb_proxy_set_roster(h->proxy, b->rosters->items[i].service, r);
    }
    g_free(r);
}

/* Builds a table from the newest bundle and the present members and hands it
 * to the proxy, unless the floor is unknown or not reached yet. */
static void
rebuild_table(struct bb_node_config *h)
{
    const struct bb_node_location own = {
        .host = h->host, .zone = h->zone, .region = h->region};
    struct bb_bundle *b = bb_history_newest(h->history);
    struct bb_member_list members = {0};
    struct bb_table *t;
    bool is_allowed;

    (void)pthread_mutex_lock(&h->lock);
    is_allowed = b != NULL && h->is_min_revision_known &&
                 b->revision >= h->min_revision;
    (void)pthread_mutex_unlock(&h->lock);
    if (!is_allowed) {
        goto out;
    }
    if (h->config == NULL || h->config->revision != b->revision) {
        struct bb_faults faults = {0};
        struct bb_config *c = bb_config_compile(b->folder, &faults);

        bb_faults_clear(&faults);
        if (c == NULL) {
            goto out;
        }
        c->revision = b->revision;
        bb_config_destroy(h->config);
        h->config = c;
    }
    bb_mesh_members_snapshot(h->mesh, &members);
    t = bb_table_build(h->config, members.items, members.count, &own);
    set_served_revision(h, b, t->route_count);
    bb_proxy_set_table(h->proxy, t);
    set_rosters(h, b);
    bb_member_list_clear(&members);
out:
    bb_bundle_unref(b);
}

/* Waits for changes and rebuilds the table, until the holder stops. */
static void *
run_rebuilds(void *argument)
{
    struct bb_node_config *h = argument;
    bool is_stopping = false;

    while (!is_stopping) {
        (void)pthread_mutex_lock(&h->lock);
        while (!h->is_rebuild_wanted && !h->is_stopping) {
            (void)pthread_cond_wait(&h->rebuild_wanted, &h->lock);
        }
        h->is_rebuild_wanted = false;
        is_stopping = h->is_stopping;
        (void)pthread_mutex_unlock(&h->lock);
        if (!is_stopping) {
            rebuild_table(h);
            bb_clock_sleep_us((uint64_t)REBUILD_INTERVAL_MS * BB_US_PER_MS);
        }
    }
    return NULL;
}

/* Tells whether the floor is still wanted. */
static bool
should_query_min_revision(struct bb_node_config *h)
{
    bool is_wanted;

    (void)pthread_mutex_lock(&h->lock);
    is_wanted = !h->is_stopping && !h->is_min_revision_known;
    (void)pthread_mutex_unlock(&h->lock);
    return is_wanted;
}

/* Asks the mesh for the floor until someone answers. */
static void *
run_min_revision_query(void *argument)
{
    struct bb_node_config *h = argument;
    uint64_t revision = 0;

    while (should_query_min_revision(h)) {
        if (!bb_mesh_floor_revision(h->mesh, MIN_REVISION_TIMEOUT_MS,
                                    &revision)) {
            bb_clock_sleep_us((uint64_t)MIN_REVISION_RETRY_MS * BB_US_PER_MS);
            continue;
        }
        if (revision == 0) {
            bb_proxy_set_first_start(h->proxy);
        }
        (void)pthread_mutex_lock(&h->lock);
        h->is_min_revision_known = true;
        h->min_revision = revision;
        (void)pthread_mutex_unlock(&h->lock);
        bb_log_info("configuration.floor",
                    "this host held revision %" G_GUINT64_FORMAT
                    " before; nothing older will be served",
                    revision);
        request_rebuild(h);
    }
    return NULL;
}

/* Starts the threads; mesh and proxy must be running. */
bool
bb_node_config_start(struct bb_node_config *h, struct bb_mesh *mesh,
                     struct bb_proxy *proxy, struct bb_error *e)
{
    h->mesh = mesh;
    h->proxy = proxy;
    h->has_rebuild_thread =
        pthread_create(&h->rebuild_thread, NULL, run_rebuilds, h) == 0;
    h->has_query_thread =
        pthread_create(&h->query_thread, NULL, run_min_revision_query, h) == 0;
    if (!h->has_rebuild_thread || !h->has_query_thread) {
        return bb_error_set(e, 1, "cannot start threads of the holder");
    }
    return true;
}

/* Stops the threads; the proxy and the mesh may be destroyed afterwards.
 * Calls of the functions above stay allowed and change no table any more. */
void
bb_node_config_stop(struct bb_node_config *h)
{
    if (h == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&h->lock);
    h->is_stopping = true;
    (void)pthread_cond_signal(&h->rebuild_wanted);
    (void)pthread_mutex_unlock(&h->lock);
    if (h->has_rebuild_thread) {
        (void)pthread_join(h->rebuild_thread, NULL);
        h->has_rebuild_thread = false;
    }
    if (h->has_query_thread) {
        (void)pthread_join(h->query_thread, NULL);
        h->has_query_thread = false;
    }
}

/* Stops and frees the holder; NULL is allowed. */
void
bb_node_config_destroy(struct bb_node_config *h)
{
    if (h == NULL) {
        return;
    }
    bb_node_config_stop(h);
    bb_config_destroy(h->config);
    bb_history_destroy(h->history);
    (void)pthread_cond_destroy(&h->rebuild_wanted);
    (void)pthread_mutex_destroy(&h->lock);
    g_free(h->host);
    g_free(h->zone);
    g_free(h->region);
    g_free(h->data_folder);
    g_free(h);
}
