/* baobab-proxy: entry for the callers on a host and gate of its upstream. */
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/random.h"
#include "common/registry.h"
#include "config_throttle.h"
#include "fleet/agent.h"
#include "lease_client.h"
#include "net/buffers.h"
#include "path/daemon.h"
#include "path/entry.h"
#include "path/explain.h"
#include "path/gate.h"
#include "settings.h"

enum {
    /* Time from the start of the shutdown until the entry refuses requests.
     * The ready check responds with 503 from the start. Callers need two
     * missed checks, one a second, and the transit time of the response, to
     * detect that this host stops. */
    SHUTDOWN_NOTICE_MS = 2600,
    /* Time from the start of the shutdown until the gate refuses requests. If
     * only the proxy restarts, its upstream still works, so the gate keeps
     * admitting requests at first: refusing from SIGTERM on would take the
     * upstream out of service for about 3.2 s. With the default --grace of
     * 6 s, the last admitted request has 3.5 s left to complete. */
    SHUTDOWN_GATE_OPEN_MS = 1600,
    /* Longest time after SHUTDOWN_NOTICE_MS that the process waits for the
     * rest of a request. Callers are on this host: a request that is still
     * incomplete by then has stalled, and must not use up --grace. */
    SHUTDOWN_RECEIVE_MS = 1000,
    SHUTDOWN_POLL_MS = 100,
    /* Polls in turns of the loop one after the other that must find nothing
     * open: a loop that is late has not read yet what has arrived. */
    SHUTDOWN_IDLE_POLLS = 3,
    /* Before the end of --grace: the latest deadline of requests received
     * since the start of the shutdown. */
    SHUTDOWN_DEADLINE_MARGIN_MS = 900,
    /* Before the end of --grace: the entry responds to the requests that are
     * still in progress. */
    SHUTDOWN_END_MARGIN_MS = 800,
    /* Part of --grace reserved for closing connections, writing the log and
     * exiting. */
    SHUTDOWN_MARGIN_MS = 700
};

enum { MS_PER_S = 1000 };

struct proxy {
    struct proxyd_settings settings;
    struct bb_daemon *daemon;
    const struct bb_dialect *dialect;
    struct bb_directory *directory;
    struct config_throttle *throttle;
    struct lease_client *leases; /* NULL: requests need no lease */
    struct bb_entry *entry;
    struct bb_gate *gate;
    struct bb_rules *rules; /* in force; NULL: none */
    bool is_newest_invalid; /* the newest configuration is not in force */
    char gate_address_text[BB_ADDRESS_TEXT_BYTES];
    struct bb_agent *agent;
    struct bb_quota_node *quota;
    struct bb_http_server *ready_server;
    struct bb_http_server *announce_server;
    struct bb_version_evidence *evidence; /* NULL: versions are ignored */
    uv_timer_t evidence_timer;
    uv_timer_t shutdown_timer;
    uint64_t shutdown_started_us;
    bool is_stopping;
    bool is_gate_stopped;
    uint32_t idle_polls; /* of the shutdown, the last ones */
};

/* Decodes a configuration and passes its rules to the entry. Logs a warning
 * and keeps the previous rules if it is invalid. */
static void
apply_configuration(void *context, uint64_t version,
                    const struct bb_state_id *state, GBytes *raw)
{
    struct proxy *p = context;
    struct bb_error e = {0};
    gsize size = 0;
    const char *text = g_bytes_get_data(raw, &size);
    struct bb_rules *r = p->dialect->decode_rules(text, size, p->rules, &e);

    p->is_newest_invalid = r == NULL;
    if (r == NULL) {
        bb_log_warning("proxy.configuration",
                       "version %" G_GUINT64_FORMAT
                       " is invalid, the previous "
                       "configuration stays in force: %s",
                       version, e.message);
        return;
    }
    bb_entry_set_rules(p->entry, r);
    bb_rules_unref(p->rules);
    p->rules = r;
    if (p->leases != NULL) {
        lease_client_set_rules(p->leases, r->requires_keys, state);
    }
    bb_gate_rules_updated(p->gate);
}

/* Submits a configuration that came into force. */
static void
on_configuration(void *context, uint64_t version,
                 const struct bb_state_id *state, GBytes *raw)
{
    struct proxy *p = context;

    config_throttle_submit(p->throttle, version, state, raw);
}

/* Records that a newer state holds the configuration in force. */
static void
on_configuration_kept(void *context, const struct bb_state_id *state)
{
    struct proxy *p = context;

    if (!config_throttle_keep(p->throttle, state) && p->leases != NULL &&
        p->rules != NULL && !p->is_newest_invalid) {
        lease_client_set_rules(p->leases, p->rules->requires_keys, state);
    }
}

/* Sends a request for a lease to the control host. */
static void
send_lease_request(void *context, uint64_t number)
{
    struct proxy *p = context;

    (void)bb_agent_ask_lease(p->agent, number);
}

/* Asks a newly connected control host for a lease. */
static void
on_host_connected(void *context)
{
    struct proxy *p = context;

    if (p->leases != NULL) {
        lease_client_connected(p->leases);
    }
}

/* Takes in the answer of a control host. */
static void
on_lease_granted(void *context, uint64_t number,
                 const struct bb_state_id *state)
{
    struct proxy *p = context;

    if (p->leases != NULL) {
        lease_client_granted(p->leases, number, state);
    }
}

/* Returns whether requests with a key may be admitted now. */
static bool
has_lease(void *context, uint32_t *expected_ms)
{
    const struct proxy *p = context;

    return lease_client_has_lease(p->leases, expected_ms);
}

/* Returns whether the node holds a lease, without effect on its metrics. */
static bool
peek_lease(void *context)
{
    const struct proxy *p = context;

    return lease_client_peek_lease(p->leases);
}

/* Applies the state of an upstream that another node announced. */
static void
on_upstream_state(void *context, const fleet_instance *i)
{
    struct proxy *p = context;

    bb_log_info("proxy.instance",
                "%s %s service %s id %s epoch %" G_GUINT64_FORMAT
                " sequence %" G_GUINT64_FORMAT,
                i->gate_address, bb_instance_state_name(i->state), i->service,
                i->id, (guint64)i->incarnation, (guint64)i->sequence);
    bb_directory_update(p->directory, i, bb_clock_now_us());
}

/* Reads the seed addresses again from the file of live settings. */
static void
reload_seeds(void *context)
{
    struct proxy *p = context;
    struct bb_address_list seeds = {0};

    if (bb_daemon_read_seeds(p->settings.common.live_settings_file, &seeds)) {
        bb_agent_set_seeds(p->agent, &seeds);
    }
}

/* Passes the state that an earlier run of this node announced to the gate;
 * NULL: none. */
static void
restore_gate(void *context, const fleet_instance *earlier)
{
    struct proxy *p = context;

    bb_gate_restore(p->gate, earlier);
}

/* Sends a report on the versions of upstreams. */
static void
send_evidence(void *context, fleet_rollout_evidence *list, uint32_t count)
{
    struct proxy *p = context;

    bb_agent_send_evidence(p->agent, list, count);
}

/* Reports on the versions of upstreams while a rollout runs. */
static void
on_evidence_timer(uv_timer_t *t)
{
    struct proxy *p = t->data;

    bb_version_evidence_report(p->evidence, p->directory, send_evidence, p);
}

/* Applies the committed rollouts; reports are sent while one is running. */
static void
on_rollouts(void *context, const fleet_rollout *list, uint32_t count)
{
    struct proxy *p = context;
    bool is_running = false;

    if (p->evidence == NULL) {
        return;
    }
    bb_directory_set_rollouts(p->directory, list, count,
                              bb_random_global_u64(), bb_clock_now_us());
    for (uint32_t i = 0; i < count; i++) {
        is_running = is_running || list[i].state == BB_ROLLOUT_RUNNING;
    }
    if (!is_running) {
        (void)uv_timer_stop(&p->evidence_timer);
    }
    else if (!uv_is_active((uv_handle_t *)&p->evidence_timer)) {
        (void)uv_timer_start(&p->evidence_timer, on_evidence_timer,
                             BB_VERSION_EVIDENCE_INTERVAL_MS,
                             BB_VERSION_EVIDENCE_INTERVAL_MS);
    }
}

static const struct bb_agent_events agent_events = {
    .config_updated = on_configuration,
    .config_kept = on_configuration_kept,
    .rollouts_updated = on_rollouts,
    .instance_updated = on_upstream_state,
    .own_instance_received = restore_gate,
    .no_host_reachable = reload_seeds,
    .host_connected = on_host_connected,
    .lease_granted = on_lease_granted};

/* Announces the state of the upstream to this node's directory and to the
 * other nodes. */
static void
announce_upstream(void *context, const struct bb_upstream *u)
{
    struct proxy *p = context;
    uint64_t now_us = bb_clock_now_us();
    fleet_instance i = {
        .gate_address = p->gate_address_text,
        .zone = (char *)p->settings.common.zone,
        .region = (char *)p->settings.common.region,
        .service = (char *)u->service,
        .id = (char *)u->id,
        .started_ms = u->started_ms,
        .state = u->state,
        .slots = u->slots,
        .warmup_ms = u->warm_at_us > now_us
                         ? (uint32_t)((u->warm_at_us - now_us) / BB_US_PER_MS)
                         : 0};

    if (p->evidence != NULL) {
        i.software_version.software_version_val = (char *)u->software_version;
        i.software_version.software_version_len =
            (u_int)strlen(u->software_version);
    }
    bb_directory_update(p->directory, &i, now_us);
    if (p->agent != NULL) {
        bb_agent_announce(p->agent, &i);
    }
}

/* Returns the path of health checks of a service, NULL: not known. */
static const char *
find_health_path(void *context, const char *service)
{
    const struct proxy *p = context;
    const struct bb_rules_service *s =
        p->rules != NULL ? bb_rules_find_service(p->rules, service) : NULL;

    return s != NULL && s->health_path[0] != '\0' ? s->health_path : NULL;
}

/* Responds to the ready check: 200 once there are rules, 503 before that and
 * during the shutdown, 404 for other requests. */
static void
on_ready_request(void *context, struct bb_http_exchange *x)
{
    struct proxy *p = context;
    char id[BB_DIALECT_ID_BYTES];
    bool is_ready_request =
        p->dialect->classify_request(
            x->head.method, bb_http_head_target(&x->head), id) == BB_API_READY;
    uint32_t status = !is_ready_request                     ? 404
                      : p->rules != NULL && !p->is_stopping ? 200
                                                            : 503;

    bb_http_exchange_respond(x, status, NULL, NULL, 0);
}

/* Responds to an accepted announcement or withdrawal of the upstream. */
static void
acknowledge(const struct proxy *p, struct bb_http_exchange *x)
{
    GString *fields = g_string_new(NULL);

    g_string_append_printf(fields, "Content-Type: %s\r\n",
                           p->dialect->content_type);
    bb_http_exchange_respond(x, 200, fields, p->dialect->acknowledgement_body,
                             strlen(p->dialect->acknowledgement_body));
    g_string_free(fields, TRUE);
}

/* Responds to a request on the announcement address with an error, and logs
 * it. */
static void
refuse_api_request(struct bb_http_exchange *x, uint32_t status,
                   const char *reason)
{
    bb_log_warning("announce.refused", "%s: %s", bb_http_head_target(&x->head),
                   reason);
    bb_http_exchange_respond(x, status, NULL, reason, strlen(reason));
}

/* Logs that the upstream said that it leaves, and what became of it. */
static void
log_drain(const char *id, uint64_t started_ms, const char *outcome)
{
    bb_log_info("announce.drain",
                "%s started %" G_GUINT64_FORMAT " leaves: %s", id, started_ms,
                outcome);
}

/* Decodes an announcement of an upstream and passes it to the gate. A stale
 * one is acknowledged too, as it promises nothing, but a drain only if it is
 * applied. */
static void
apply_announcement(struct proxy *p, struct bb_http_exchange *x, const char *id)
{
    struct bb_announcement a;
    struct bb_error e = {0};

    if (!p->dialect->decode_announcement(x->body->str, x->body->len, &a, &e)) {
        refuse_api_request(x, 400, e.message);
        return;
    }
    switch (bb_gate_announce(p->gate, id, &a)) {
    case BB_ANNOUNCE_ACCEPTED:
        if (a.is_draining) {
            log_drain(id, a.started_ms, "applied");
        }
        acknowledge(p, x);
        break;
    case BB_ANNOUNCE_STALE:
        acknowledge(p, x);
        break;
    case BB_ANNOUNCE_UNORDERED:
        log_drain(id, a.started_ms, "not applied");
        refuse_api_request(x, 503,
                           "another run of the upstream is known here");
        break;
    case BB_ANNOUNCE_WRONG_ADDRESS:
        refuse_api_request(x, 400, "the upstream is not on this host");
        break;
    }
}

/* Applies a withdrawal of the upstream. One that cannot be applied is not
 * acknowledged. */
static void
apply_withdrawal(struct proxy *p, struct bb_http_exchange *x, const char *id)
{
    uint64_t started_ms =
        p->dialect->decode_start_ms(x->body->str, x->body->len);

    switch (bb_gate_withdraw(p->gate, id, started_ms)) {
    case BB_WITHDRAW_APPLIED:
        log_drain(id, started_ms, "withdrawn");
        acknowledge(p, x);
        break;
    case BB_WITHDRAW_STALE:
        log_drain(id, started_ms, "stale");
        acknowledge(p, x);
        break;
    case BB_WITHDRAW_UNORDERED:
        log_drain(id, started_ms, "not applied");
        refuse_api_request(x, 503,
                           "another run of the upstream is known here");
        break;
    }
}

/* Handles a request on the announcement address: an announcement or a
 * withdrawal of the upstream on this host, or a ready check. */
static void
on_announce_request(void *context, struct bb_http_exchange *x)
{
    struct proxy *p = context;
    char id[BB_DIALECT_ID_BYTES] = "";

    switch (p->dialect->classify_request(x->head.method,
                                         bb_http_head_target(&x->head), id)) {
    case BB_API_ANNOUNCE:
        apply_announcement(p, x, id);
        break;
    case BB_API_WITHDRAW:
        apply_withdrawal(p, x, id);
        break;
    case BB_API_READY:
        on_ready_request(p, x);
        break;
    case BB_API_UNKNOWN:
    case BB_API_REPLACE_CONFIGURATION:
    case BB_API_READ_CONFIGURATION:
    case BB_API_BEGIN_ROLLOUT:
    case BB_API_READ_ROLLOUT:
        refuse_api_request(x, 404, "no such call here");
        break;
    }
}

static const struct bb_http_server_handler ready_handler = {
    .request = on_ready_request};

static const struct bb_http_server_handler announce_handler = {
    .request = on_announce_request};

/* Logs what is open at one of the two servers when the process stops. */
static void
log_open_requests(const char *server, const struct bb_http_server_open *open)
{
    bb_log_info("proxy.open",
                "%s: %u connections, %u of them closing; requests: "
                "%u receiving, %u waiting, %u running, %u answered; "
                "%zu bytes unsent",
                server, open->connections, open->closing, open->receiving,
                open->waiting, open->running, open->answered,
                open->unsent_bytes);
}

/* Logs why the process stops and what is open. */
static void
log_stop(const char *reason, uint64_t waited_ms,
         const struct bb_http_server_open *entry,
         const struct bb_http_server_open *gate)
{
    log_open_requests("entry", entry);
    log_open_requests("gate", gate);
    bb_log_info("proxy.stopped",
                "%s, %" G_GUINT64_FORMAT " ms after the signal: "
                "%u requests unfinished",
                reason, waited_ms, entry->running + gate->running);
}

/* Returns whether a server has requests to finish, bytes to send or
 * connections that close. Requests that are being received count only until
 * SHUTDOWN_RECEIVE_MS after SHUTDOWN_NOTICE_MS. */
static bool
is_busy(const struct bb_http_server_open *open, uint64_t waited_ms)
{
    return open->running > 0 || open->waiting > 0 || open->answered > 0 ||
           open->unsent_bytes > 0 || open->closing > 0 ||
           (open->receiving > 0 &&
            waited_ms < SHUTDOWN_NOTICE_MS + SHUTDOWN_RECEIVE_MS);
}

/* Refuses new requests, first at the gate, then at the entry. Ends the process
 * after SHUTDOWN_NOTICE_MS once SHUTDOWN_IDLE_POLLS find neither busy, or
 * SHUTDOWN_MARGIN_MS before the end of --grace. The entry responds to what is
 * in progress before that.
 */
static void
on_shutdown_timer(uv_timer_t *t)
{
    struct proxy *p = t->data;
    uint64_t waited_ms =
        (bb_clock_now_us() - p->shutdown_started_us) / BB_US_PER_MS;
    uint64_t grace_ms = p->settings.grace_s * MS_PER_S;
    struct bb_http_server_open entry;
    struct bb_http_server_open gate;
    bool is_idle;

    if (waited_ms >= SHUTDOWN_GATE_OPEN_MS && !p->is_gate_stopped) {
        p->is_gate_stopped = true;
        bb_gate_refuse_requests(p->gate);
    }
    if (waited_ms >= SHUTDOWN_NOTICE_MS) {
        bb_entry_refuse_requests(p->entry);
    }
    if (waited_ms + SHUTDOWN_END_MARGIN_MS >= grace_ms) {
        bb_entry_refuse_requests(p->entry);
        bb_entry_end_requests(p->entry);
    }
    entry = bb_entry_count_open(p->entry);
    gate = bb_gate_count_open(p->gate);
    is_idle = waited_ms >= SHUTDOWN_NOTICE_MS && !is_busy(&entry, waited_ms) &&
              !is_busy(&gate, waited_ms);
    p->idle_polls = is_idle ? p->idle_polls + 1 : 0;
    if (p->idle_polls == SHUTDOWN_IDLE_POLLS) {
        log_stop("idle", waited_ms, &entry, &gate);
        bb_daemon_stop(p->daemon);
    }
    else if (waited_ms + SHUTDOWN_MARGIN_MS >= grace_ms) {
        log_stop("end of the grace time", waited_ms, &entry, &gate);
        bb_daemon_stop(p->daemon);
    }
    else if (is_idle) {
        (void)uv_timer_start(t, on_shutdown_timer, 1, SHUTDOWN_POLL_MS);
    }
}

/* Begins the shutdown: the ready check fails, and responses of the entry close
 * their connections; those of the gate do so after SHUTDOWN_GATE_OPEN_MS.
 * Requests in progress are finished. */
static void
begin_shutdown(void *context)
{
    struct proxy *p = context;
    uint64_t grace_ms = p->settings.grace_s * MS_PER_S;
    uint64_t end_us;

    p->is_stopping = true;
    p->shutdown_started_us = bb_clock_now_us();
    end_us =
        p->shutdown_started_us +
        (grace_ms - MIN(grace_ms, (uint64_t)SHUTDOWN_DEADLINE_MARGIN_MS)) *
            BB_US_PER_MS;
    bb_entry_limit_deadlines(p->entry, end_us);
    bb_gate_limit_deadlines(p->gate, end_us);
    bb_entry_disable_keep_alive(p->entry);
    (void)uv_timer_start(&p->shutdown_timer, on_shutdown_timer,
                         SHUTDOWN_POLL_MS, SHUTDOWN_POLL_MS);
}

static const struct bb_daemon_events daemon_events = {.stop = begin_shutdown,
                                                      .reload = reload_seeds};

/* Returns whether a request runs at the upstream of this host. */
static bool
is_running(void *context, const char *id, bool *is_retry)
{
    const struct proxy *p = context;

    return bb_gate_is_running(p->gate, id, is_retry);
}

/* Tells the gate of this host that a request begins a nested call, and returns
 * the deadline of the request. */
static uint64_t
begin_nested(void *context, const char *id)
{
    const struct proxy *p = context;

    return bb_gate_begin_nested(p->gate, id);
}

/* Tells the gate of this host that a request ends a nested call. */
static void
end_nested(void *context, const char *id)
{
    const struct proxy *p = context;

    bb_gate_end_nested(p->gate, id);
}

/* Writes the load of the gate on this host into the entry's view of it. */
static void
update_local_view(void *context, struct bb_gate_view *v, uint64_t now_us)
{
    const struct proxy *p = context;

    bb_gate_update_view(p->gate, v, now_us);
}

/* Writes the load of the gate on this host into a copy of the entry's view. */
static void
peek_local_view(void *context, struct bb_gate_view *v, uint64_t now_us)
{
    const struct proxy *p = context;

    bb_gate_peek_view(p->gate, v, now_us);
}

/* Returns whether this node hears a control host that has a quorum. */
static bool
is_in_touch(void *context)
{
    const struct proxy *p = context;

    return bb_agent_is_in_touch(p->agent);
}

/* Creates everything that listens, and the connection to the control hosts.
 * Returns false and sets the error if it cannot listen on an address. */
static bool
open_listeners(struct proxy *p, struct bb_error *e)
{
    const struct proxyd_settings *s = &p->settings;
    uv_loop_t *loop = bb_daemon_loop(p->daemon);
    const struct bb_entry_settings entry = {
        .listen_address = s->listen_entry,
        .caller_service = s->service,
        .dialect = p->dialect,
        .directory = p->directory,
        .retry_limits = {.window_ms = (uint32_t)s->retry_window_s * MS_PER_S,
                         .ratio_permille = s->retry_ratio_permille,
                         .allowance = (uint32_t)s->retry_allowance},
        .quota = p->quota,
        .is_running = is_running,
        .begin_nested = begin_nested,
        .end_nested = end_nested,
        .update_local_view = update_local_view,
        .peek_local_view = peek_local_view,
        .has_lease = p->leases != NULL ? has_lease : NULL,
        .peek_lease = p->leases != NULL ? peek_lease : NULL,
        .evidence = p->evidence,
        .is_in_touch = is_in_touch,
        .context = p};
    const struct bb_gate_settings gate = {
        .listen_address = s->listen_gate,
        .upstream_address = s->upstream_address,
        .upstream_address_text = s->upstream_address_text,
        .dialect = p->dialect,
        .upstream_changed = announce_upstream,
        .find_health_path = find_health_path,
        .context = p};
    const struct bb_agent_settings agent = {
        .ip = s->common.ip,
        .zone = s->common.zone,
        .region = s->common.region,
        .gate_address = p->gate_address_text,
        .start_wall_ms = bb_clock_wall_now_us() / BB_US_PER_MS,
        .control_port = (uint16_t)s->common.control_port,
        .seeds = s->common.seeds,
        .quota = p->quota};

    p->entry = bb_entry_create(loop, &entry, e);
    p->gate = p->entry != NULL ? bb_gate_create(loop, &gate, e) : NULL;
    p->ready_server = p->gate != NULL
                          ? bb_http_server_create(loop, &s->listen_ready,
                                                  &ready_handler, p, e)
                          : NULL;
    p->announce_server = p->ready_server != NULL
                             ? bb_http_server_create(loop, &s->listen_announce,
                                                     &announce_handler, p, e)
                             : NULL;
    if (p->announce_server == NULL ||
        !bb_daemon_serve_metrics(p->daemon, &s->common.metrics, e)) {
        return false;
    }
    bb_daemon_set_page(p->daemon, BB_EXPLAIN_PATH, bb_explain_serve, p->entry);
    p->agent = bb_agent_create(loop, &agent, &agent_events, p);
    return true;
}

int
main(int argc, char **argv)
{
    struct proxy p = {0};
    struct bb_error e = {0};
    int code = BB_EXIT_INTERNAL;

    switch (proxyd_settings_read(&p.settings, argc, argv, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-proxy: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    bb_buffers_set_limit(p.settings.buffers_mib);
    p.dialect = bb_plugin_find(BB_PLUGIN_DIALECT, p.settings.common.dialect);
    if (p.dialect == NULL) {
        (void)fprintf(stderr, "baobab-proxy: unknown dialect %s\n",
                      p.settings.common.dialect);
        return BB_EXIT_USAGE;
    }
    p.daemon = bb_daemon_create("baobab-proxy", p.settings.common.host,
                                &daemon_events, &p);
    p.throttle = config_throttle_create(bb_daemon_loop(p.daemon),
                                        apply_configuration, &p);
    if (p.settings.is_revoke_strict) {
        p.leases =
            lease_client_create(bb_daemon_loop(p.daemon), p.settings.revoke_ms,
                                send_lease_request, &p);
    }
    (void)bb_address_format(&p.settings.listen_gate, p.gate_address_text);
    p.directory = bb_directory_create(
        p.gate_address_text, p.settings.common.zone, p.settings.common.region);
    (void)uv_timer_init(bb_daemon_loop(p.daemon), &p.shutdown_timer);
    p.shutdown_timer.data = &p;
    p.quota = bb_quota_node_create(bb_clock_boot_now_us());
    (void)uv_timer_init(bb_daemon_loop(p.daemon), &p.evidence_timer);
    p.evidence_timer.data = &p;
    if (p.settings.uses_versions) {
        p.evidence = bb_version_evidence_create();
    }
    if (!open_listeners(&p, &e)) {
        (void)fprintf(stderr, "baobab-proxy: %s\n", e.message);
        goto done;
    }
    bb_daemon_run(p.daemon);
    code = BB_EXIT_OK;
done:
    bb_agent_destroy(p.agent);
    config_throttle_destroy(p.throttle);
    lease_client_destroy(p.leases);
    bb_http_server_destroy(p.announce_server);
    bb_http_server_destroy(p.ready_server);
    bb_gate_destroy(p.gate);
    bb_entry_destroy(p.entry);
    bb_quota_node_destroy(p.quota);
    bb_rules_unref(p.rules);
    bb_daemon_destroy(p.daemon);
    bb_directory_destroy(p.directory);
    bb_version_evidence_destroy(p.evidence);
    return code;
}
