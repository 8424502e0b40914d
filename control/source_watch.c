#include "control/source_watch.h"

#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "config/compile.h"
#include "source_files.h"
#include "source_incidents.h"

enum {
    /* The content is read again after this time even if no file time or size
     * changed, for file systems with unreliable times. */
    REREAD_INTERVAL_US = 5 * BB_US_PER_S,
    /* A shorter outage is an ordinary edit and is not logged. */
    OUTAGE_LOG_AFTER_US = BB_US_PER_S
};

BB_COUNTER(reads, "baobab_source_reads_total",
           "Times the configuration folder was read");
BB_COUNTER(proposals, "baobab_source_proposals_total",
           "Proposals sent for the configuration folder");
BB_COUNTER(refusals, "baobab_source_refusals_total",
           "Proposals refused as invalid or conflicting");
BB_COUNTER(save_failures, "baobab_source_save_failures_total",
           "Failed attempts to save the state of the source");
BB_GAUGE(outage_gauge, "baobab_source_outage",
         "1 while the configuration folder cannot be used");

struct bb_source_watch {
    char *folder;
    char *folder_name; /* valid UTF-8, for JSON */
    char *data_folder;
    bb_source_propose_callback propose;
    void *context;

    /* Used by the thread only. */
    struct bb_folder *last_folder; /* last usable content, or NULL */
    enum bb_folder_outage outage;
    struct bb_error outage_error;
    uint64_t signature; /* at the last read */
    uint64_t last_read_us;
    bool must_save;
    bool is_outage_logged;

    /* Guarded by the lock. */
    pthread_mutex_t lock;
    pthread_cond_t work_available;
    pthread_t thread;
    bool has_thread;
    bool is_stopping;
    GQueue events; /* of struct bb_source_event *, owned */
    struct bb_source source;
    struct bb_source_incidents incidents;
    enum bb_folder_outage status_outage;
    char *status_outage_message;
};

/* Creates a source watch and loads its saved state; it scans once it is
 * started. The texts of the settings are copied. A damaged state is treated as
 * missing, which is safe: a folder that differs from the configuration in
 * force is not proposed in this case. Freed with bb_source_watch_destroy. */
struct bb_source_watch *
bb_source_watch_create(const struct bb_source_watch_settings *settings)
{
    struct bb_source_watch *w = g_new0(struct bb_source_watch, 1);
    struct bb_source_saved saved = {0};
    struct bb_error e = {0};
    pthread_condattr_t attributes;
    bool has_saved;

    w->folder = g_strdup(settings->folder);
    w->folder_name = g_utf8_make_valid(settings->folder, -1);
    w->data_folder = g_strdup(settings->data_folder);
    w->propose = settings->propose;
    w->context = settings->context;
    (void)pthread_mutex_init(&w->lock, NULL);
    (void)pthread_condattr_init(&attributes);
    (void)pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    (void)pthread_cond_init(&w->work_available, &attributes);
    (void)pthread_condattr_destroy(&attributes);
    g_queue_init(&w->events);
    has_saved =
        bb_source_state_load(w->data_folder, w->folder_name, &saved, &e);
    if (e.code != 0) {
        bb_log_warning("source-state", "%s; it is ignored", e.message);
    }
    bb_source_init(&w->source, has_saved ? &saved : NULL);
    return w;
}

/* Saves the state if it changed. Returns false on failure; the next call tries
 * again. */
static bool
save_state(struct bb_source_watch *w)
{
    struct bb_source_saved saved;
    struct bb_error e = {0};

    if (!w->must_save) {
        return true;
    }
    (void)pthread_mutex_lock(&w->lock);
    saved = w->source.saved;
    (void)pthread_mutex_unlock(&w->lock);
    if (!bb_source_state_save(w->data_folder, w->folder_name, &saved, &e)) {
        /* Later failures of this process are only counted. */
        if (bb_counter_get(&save_failures) == 0) {
            bb_log_warning("source-save",
                           "%s; nothing is proposed until the state is saved",
                           e.message);
        }
        bb_counter_add(&save_failures, 1);
        return false;
    }
    w->must_save = false;
    return true;
}

/* Records and logs a conflict that began or was reported again by a response,
 * and logs one that was resolved. The caller holds the lock. */
static void
record_conflict(struct bb_source_watch *w, enum bb_source_conflict before,
                bool is_response)
{
    enum bb_source_conflict now = w->source.conflict;

    if (now == before && !(is_response && now != BB_SOURCE_CONFLICT_NONE)) {
        return;
    }
    if (now == BB_SOURCE_CONFLICT_NONE) {
        bb_log_info("source-conflict", "conflict %s is resolved",
                    bb_source_conflict_name(before));
        return;
    }
    bb_source_incidents_add(&w->incidents, bb_source_conflict_name(now),
                            &w->source.saved.settled,
                            bb_source_conflict_text(now));
    bb_log_warning("source-conflict", "conflict %s: %s",
                   bb_source_conflict_name(now), bb_source_conflict_text(now));
}

/* Passes one event to the state machine of decide/source.h and returns the
 * action to execute. */
static struct bb_source_action
run_event(struct bb_source_watch *w, struct bb_source_event *e)
{
    struct bb_source_action a;
    enum bb_source_conflict before;

    e->now_us = bb_clock_now_us();
    (void)pthread_mutex_lock(&w->lock);
    before = w->source.conflict;
    a = bb_source_step(&w->source, e);
    record_conflict(w, before,
                    e->kind == BB_SOURCE_EVENT_RESPONSE && a.must_save);
    (void)pthread_mutex_unlock(&w->lock);
    w->must_save = w->must_save || a.must_save;
    return a;
}

/* Logs and records the faults of the last folder, and reports it to the state
 * machine as refused. */
static void
report_invalid_folder(struct bb_source_watch *w,
                      const struct bb_source_action *a,
                      const struct bb_config_faults *faults)
{
    char *text = bb_config_faults_format(faults);
    struct bb_source_event e = {
        .kind = BB_SOURCE_EVENT_RESPONSE,
        .as.response = {.digest = a->digest,
                        .base_revision = a->base_revision,
                        .result = BB_SOURCE_RESULT_INVALID}};

    (void)pthread_mutex_lock(&w->lock);
    bb_source_incidents_add(&w->incidents, "invalid", &a->digest, text);
    (void)pthread_mutex_unlock(&w->lock);
    bb_counter_add(&refusals, 1);
    bb_log_warning("source-invalid",
                   "the folder has %u faults, the first: %s: [%s] %s: %s",
                   faults->count, faults->items[0].file,
                   faults->items[0].section_title, faults->items[0].key,
                   faults->items[0].reason);
    (void)run_event(w, &e);
    (void)save_state(w);
    g_free(text);
}

/* Executes an action: saves the state, then validates and proposes the last
 * folder. Nothing is proposed unless the state is saved. */
static void
execute_action(struct bb_source_watch *w, const struct bb_source_action *a)
{
    struct bb_config_faults faults = {0};
    struct bb_config *config;

    if (!save_state(w) || a->kind != BB_SOURCE_ACTION_PROPOSE) {
        return;
    }
    config = bb_config_compile(w->last_folder, &faults);
    if (config == NULL) {
        report_invalid_folder(w, a, &faults);
    }
    else {
        bb_counter_add(&proposals, 1);
        w->propose(w->context, w->last_folder, config->version,
                   a->base_revision);
    }
    bb_config_destroy(config);
    bb_config_faults_clear(&faults);
}

/* Reads the folder, unless its signature shows that nothing changed. Sets
 * outage and outage_error. */
static void
read_folder_if_changed(struct bb_source_watch *w, uint64_t now_us)
{
    bool is_recent = false;
    uint64_t signature = bb_source_signature(w->folder, &is_recent);
    struct bb_folder *folder = NULL;

    if (w->last_read_us != 0 && signature == w->signature && !is_recent &&
        now_us - w->last_read_us < REREAD_INTERVAL_US) {
        return;
    }
    w->signature = signature;
    w->last_read_us = now_us;
    bb_counter_add(&reads, 1);
    w->outage = bb_folder_read(w->folder, &folder, &w->outage_error);
    if (w->outage == BB_FOLDER_OUTAGE_NONE) {
        bb_folder_destroy(w->last_folder);
        w->last_folder = folder;
    }
}

/* Shows an outage in the status and the gauge at once; logs and records it
 * once it has lasted for OUTAGE_LOG_AFTER_US. */
static void
publish_outage(struct bb_source_watch *w)
{
    const char *message = w->outage != BB_FOLDER_OUTAGE_NONE
                              ? w->outage_error.message
                              : "the content changed within 150 ms";
    uint64_t now_us = bb_clock_now_us();
    bool is_in_outage;
    bool is_long_outage;

    (void)pthread_mutex_lock(&w->lock);
    is_in_outage = w->source.is_in_outage;
    is_long_outage = is_in_outage &&
                     now_us - w->source.outage_since_us >= OUTAGE_LOG_AFTER_US;
    g_free(w->status_outage_message);
    w->status_outage_message =
        is_in_outage ? g_utf8_make_valid(message, -1) : NULL;
    w->status_outage = !is_in_outage ? BB_FOLDER_OUTAGE_NONE
                       : w->outage != BB_FOLDER_OUTAGE_NONE
                           ? w->outage
                           : BB_FOLDER_OUTAGE_HALF_WRITTEN;
    if (is_long_outage && !w->is_outage_logged) {
        bb_source_incidents_add(&w->incidents, "outage", NULL, message);
        bb_log_warning("source-outage",
                       "configuration folder unusable (%s): %s",
                       bb_folder_outage_name(w->status_outage), message);
    }
    (void)pthread_mutex_unlock(&w->lock);
    if (!is_in_outage && w->is_outage_logged) {
        bb_log_info("source-outage",
                    "the configuration folder is usable again");
    }
    w->is_outage_logged =
        is_in_outage && (is_long_outage || w->is_outage_logged);
    bb_counter_set(&outage_gauge, is_in_outage);
}

/* Scans the folder once and executes the action decided on. */
static void
scan_folder(struct bb_source_watch *w)
{
    uint64_t now_us = bb_clock_now_us();
    struct bb_source_event e = {.kind = BB_SOURCE_EVENT_SCANNED};
    struct bb_source_action a;

    read_folder_if_changed(w, now_us);
    e.as.scanned.is_usable = w->outage == BB_FOLDER_OUTAGE_NONE;
    if (e.as.scanned.is_usable) {
        e.as.scanned.digest = w->last_folder->digest;
    }
    a = run_event(w, &e);
    publish_outage(w);
    execute_action(w, &a);
}

/* Waits for a queued event until the time of the next scan. Returns whether
 * one was removed from the queue into *e; *is_stopping is true if the thread
 * has to stop. */
static bool
wait_for_event(struct bb_source_watch *w, uint64_t next_scan_us,
               struct bb_source_event *e, bool *is_stopping)
{
    struct timespec until = bb_clock_to_timespec(next_scan_us);
    struct bb_source_event *item;
    int result = 0;

    (void)pthread_mutex_lock(&w->lock);
    while (!w->is_stopping && g_queue_is_empty(&w->events) &&
           result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&w->work_available, &w->lock, &until);
    }
    item = g_queue_pop_head(&w->events);
    *is_stopping = w->is_stopping;
    (void)pthread_mutex_unlock(&w->lock);
    if (item == NULL) {
        return false;
    }
    *e = *item;
    g_free(item);
    return true;
}

/* The watch's thread: scans the folder and processes events. */
static void *
run(void *argument)
{
    struct bb_source_watch *w = argument;
    uint64_t next_scan_us = bb_clock_now_us();
    bool is_stopping = false;

    while (!is_stopping) {
        struct bb_source_event e;

        if (wait_for_event(w, next_scan_us, &e, &is_stopping)) {
            struct bb_source_action a = run_event(w, &e);

            execute_action(w, &a);
        }
        if (!is_stopping && bb_clock_now_us() >= next_scan_us) {
            scan_folder(w);
            next_scan_us = bb_clock_now_us() +
                           (uint64_t)BB_SOURCE_SCAN_INTERVAL_MS * BB_US_PER_MS;
        }
    }
    return NULL;
}

/* Starts the thread; may be called once. Returns false with
 * BB_SOURCE_WATCH_ERROR_THREAD on failure. */
bool
bb_source_watch_start(struct bb_source_watch *w, struct bb_error *e)
{
    int result = pthread_create(&w->thread, NULL, run, w);

    if (result != 0) {
        return bb_error_set(e, BB_SOURCE_WATCH_ERROR_THREAD,
                            "cannot start the thread of the source: %s",
                            g_strerror(result));
    }
    w->has_thread = true;
    return true;
}

/* Queues a copy of an event for the thread. */
static void
queue_event(struct bb_source_watch *w, const struct bb_source_event *e)
{
    (void)pthread_mutex_lock(&w->lock);
    g_queue_push_tail(&w->events, g_memdup2(e, sizeof(*e)));
    (void)pthread_cond_signal(&w->work_available);
    (void)pthread_mutex_unlock(&w->lock);
}

/* Tells the source watch which configuration is in force; revision 0 means
 * none, and digest is that of its folder, not of its payload or bundle.
 * Nothing is proposed before the first call. */
void
bb_source_watch_set_in_force(struct bb_source_watch *w, uint64_t revision,
                             const struct bb_digest *digest)
{
    queue_event(w,
                &(struct bb_source_event){
                    .kind = BB_SOURCE_EVENT_IN_FORCE,
                    .as.in_force = {.revision = revision, .digest = *digest}});
}

/* Reports the outcome of the proposal with a digest and base; revision is the
 * accepted one and used for BB_SOURCE_RESULT_ACCEPTED only. */
void
bb_source_watch_report_result(struct bb_source_watch *w,
                              const struct bb_digest *digest,
                              uint64_t base_revision,
                              enum bb_source_result result, uint64_t revision)
{
    if (result != BB_SOURCE_RESULT_ACCEPTED &&
        result != BB_SOURCE_RESULT_UNKNOWN) {
        bb_counter_add(&refusals, 1);
    }
    queue_event(w, &(struct bb_source_event){
                       .kind = BB_SOURCE_EVENT_RESPONSE,
                       .as.response = {.digest = *digest,
                                       .base_revision = base_revision,
                                       .result = result,
                                       .revision = revision}});
}

/* Returns the state of the source as JSON, for the member "source" of GET
 * /v1/status; the caller owns it. */
json_t *
bb_source_watch_status_json(struct bb_source_watch *w)
{
    const struct bb_source *s = &w->source;
    char settled[BB_DIGEST_TEXT_BYTES];
    uint64_t outage_ms;
    json_t *outage;
    json_t *j;

    (void)pthread_mutex_lock(&w->lock);
    if (s->is_in_outage && w->status_outage_message != NULL) {
        outage_ms = (bb_clock_now_us() - s->outage_since_us) / BB_US_PER_MS;
        outage = json_pack(
            "{s:s, s:I, s:s}", "kind", bb_folder_outage_name(w->status_outage),
            "since_ms",
            (json_int_t)(bb_clock_wall_now_us() / BB_US_PER_MS - outage_ms),
            "message", w->status_outage_message);
    }
    else {
        outage = json_null();
    }
    j = json_pack("{s:s, s:o, s:s, s:I, s:b, s:b, s:b, s:s, s:o}", "folder",
                  w->folder_name, "outage", outage, "digest",
                  bb_digest_format(&s->saved.settled, settled),
                  "base_revision", (json_int_t)s->saved.base_revision,
                  "differs",
                  s->knows_in_force &&
                      !bb_digest_equal(&s->saved.settled, &s->in_force_digest),
                  "waiting", s->is_awaiting_response, "invalid", s->is_invalid,
                  "conflict", bb_source_conflict_name(s->conflict), "history",
                  bb_source_incidents_json(&w->incidents));
    (void)pthread_mutex_unlock(&w->lock);
    return j;
}

/* Stops the thread after its current event or scan and frees the source watch;
 * NULL is allowed. */
void
bb_source_watch_destroy(struct bb_source_watch *w)
{
    if (w == NULL) {
        return;
    }
    if (w->has_thread) {
        (void)pthread_mutex_lock(&w->lock);
        w->is_stopping = true;
        (void)pthread_cond_signal(&w->work_available);
        (void)pthread_mutex_unlock(&w->lock);
        (void)pthread_join(w->thread, NULL);
    }
    g_queue_clear_full(&w->events, g_free);
    bb_source_incidents_clear(&w->incidents);
    g_free(w->status_outage_message);
    bb_folder_destroy(w->last_folder);
    (void)pthread_cond_destroy(&w->work_available);
    (void)pthread_mutex_destroy(&w->lock);
    g_free(w->folder);
    g_free(w->folder_name);
    g_free(w->data_folder);
    g_free(w);
}
