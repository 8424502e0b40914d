/* baobab-core: a control host and its HTTP interface for operators. */
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/registry.h"
#include "decide/voters.h"
#include "fleet/content.h"
#include "fleet/core.h"
#include "path/daemon.h"
#include "path/dialect.h"
#include "settings.h"

enum {
    /* Retry-After of 503 responses; below 1000, as it is sent as a fraction of
     * a second. */
    RETRY_AFTER_MS = 200,
    SHUTDOWN_POLL_MS = 50,
    /* Longest time from the stop signal until the loop ends. Operators wait a
     * second for a response. */
    SHUTDOWN_MAX_MS = 1000
};

struct cored {
    struct cored_settings settings;
    struct bb_daemon *daemon;
    const struct bb_dialect *dialect;
    struct bb_core *core;
    struct bb_rules *rules; /* of the newest valid proposal, NULL: none */
    GBytes *in_force;       /* configuration that the next was decoded from */
    struct bb_rules *in_force_rules; /* NULL: none */
    struct bb_http_server *operator_server;
    uv_timer_t shutdown_timer;
    uint64_t shutdown_started_us;
    bool is_stopping;
};

/* Responds with a text. */
static void
respond_with_text(struct bb_http_exchange *x, uint32_t status,
                  const char *text)
{
    x->user_data = NULL;
    bb_http_exchange_respond(x, status, NULL, text, strlen(text));
}

/* Responds with 503 and Retry-After: another attempt, here or at another host,
 * may succeed. */
static void
respond_unavailable(struct bb_http_exchange *x, const char *why)
{
    GString *fields = g_string_new(NULL);

    g_string_append_printf(fields, "Retry-After: 0.%03d\r\n", RETRY_AFTER_MS);
    x->user_data = NULL;
    bb_http_exchange_respond(x, 503, fields, why, strlen(why));
    g_string_free(fields, TRUE);
}

/* Redirects the caller to the leader, or responds with 503 if none is known.
 * Returns false, without a response, if this host is the leader. */
static bool
redirect_to_leader(struct cored *d, struct bb_http_exchange *x)
{
    struct bb_address leader;
    char text[BB_ADDRESS_TEXT_BYTES];
    bool is_self = false;
    GString *fields;

    if (!bb_core_find_leader(d->core, &leader, &is_self)) {
        respond_unavailable(x, "no control host leads at present\n");
        return true;
    }
    if (is_self) {
        return false;
    }
    fields = g_string_new(NULL);
    g_string_append_printf(fields, "Location: http://%s%s\r\n",
                           bb_address_format(&leader, text),
                           bb_http_head_target(&x->head));
    bb_http_exchange_respond(x, 307, fields, NULL, 0);
    g_string_free(fields, TRUE);
    return true;
}

/* Responds to a proposal of a configuration with its outcome. */
static void
on_proposal_done(void *context, enum bb_core_proposal_outcome outcome,
                 uint64_t newest)
{
    struct bb_http_exchange *x = context;
    char text[96];

    switch (outcome) {
    case BB_CORE_PROPOSAL_ACCEPTED:
        respond_with_text(x, 200, "{}");
        break;
    case BB_CORE_PROPOSAL_STALE:
        (void)snprintf(text, sizeof(text),
                       "{\"error\":\"version %llu is in force\"}",
                       (unsigned long long)newest);
        respond_with_text(x, 412, text);
        break;
    case BB_CORE_PROPOSAL_TOO_LARGE:
        respond_with_text(x, 413, "the configuration is too large\n");
        break;
    case BB_CORE_PROPOSAL_UNKNOWN:
    case BB_CORE_PROPOSAL_NOT_LEADER:
        respond_unavailable(x, "no majority confirmed the order in time\n");
        break;
    }
}

/* Validates a configuration sent by an operator and proposes it. */
static void
propose_config(struct cored *d, struct bb_http_exchange *x)
{
    struct bb_error e = {0};
    uint64_t base_version = 0;
    struct bb_rules *r;
    GBytes *config;
    char text[96];

    if (!bb_http_head_get_u64(&x->head, d->dialect->fields.base_version,
                              &base_version)) {
        respond_with_text(x, 400,
                          "the version that the order builds on is "
                          "missing\n");
        return;
    }
    if (x->body->len > BB_CONFIG_MAX_BYTES) {
        (void)snprintf(text, sizeof(text),
                       "the configuration has %zu bytes; at most %d are "
                       "allowed\n",
                       x->body->len, BB_CONFIG_MAX_BYTES);
        respond_with_text(x, 413, text);
        return;
    }
    if (redirect_to_leader(d, x)) {
        return;
    }
    r = d->dialect->decode_rules(x->body->str, x->body->len, d->rules, &e);
    if (r == NULL) {
        bb_log_info("order.invalid", "%s", e.message);
        respond_with_text(x, 400, e.message);
        return;
    }
    config = g_bytes_new(x->body->str, x->body->len);
    x->user_data = x;
    bb_core_propose(d->core, base_version, r->version, config,
                    on_proposal_done, x);
    g_bytes_unref(config);
    bb_rules_unref(d->rules);
    d->rules = r;
}

/* Responds with the committed configuration. */
static void
on_read_done(void *context, bool is_confirmed, GBytes *config)
{
    struct bb_http_exchange *x = context;
    gsize size = 0;
    const char *text;
    GString *fields;

    if (!is_confirmed || config == NULL) {
        respond_unavailable(x, is_confirmed
                                   ? "there is no configuration yet\n"
                                   : "no majority confirmed the read\n");
        return;
    }
    text = g_bytes_get_data(config, &size);
    fields = g_string_new("Content-Type: application/json\r\n");
    x->user_data = NULL;
    bb_http_exchange_respond(x, 200, fields, text, size);
    g_string_free(fields, TRUE);
}

/* Returns the rules in force, or NULL if there are none. They are decoded only
 * if the configuration has changed. */
static const struct bb_rules *
rules_in_force(struct cored *d)
{
    GBytes *config = bb_core_committed_config(d->core);
    struct bb_error e = {0};
    struct bb_rules *r;
    gsize size = 0;
    const char *text;

    if (config == NULL) {
        return NULL;
    }
    if (d->in_force != NULL && g_bytes_equal(config, d->in_force)) {
        g_bytes_unref(config);
        return d->in_force_rules;
    }
    text = g_bytes_get_data(config, &size);
    r = d->dialect->decode_rules(text, size, d->in_force_rules, &e);
    bb_rules_unref(d->in_force_rules);
    if (d->in_force != NULL) {
        g_bytes_unref(d->in_force);
    }
    d->in_force = config;
    d->in_force_rules = r;
    return r;
}

/* Responds to a request to begin a rollout with its outcome. */
static void
on_rollout_done(void *context, enum bb_core_proposal_outcome outcome,
                uint64_t newest)
{
    struct bb_http_exchange *x = context;

    (void)newest;
    switch (outcome) {
    case BB_CORE_PROPOSAL_ACCEPTED:
        respond_with_text(x, 200, "{}");
        break;
    case BB_CORE_PROPOSAL_STALE:
        respond_with_text(x, 409,
                          "another rollout of the service is running\n");
        break;
    case BB_CORE_PROPOSAL_TOO_LARGE:
        respond_with_text(x, 413, "there are too many rollouts\n");
        break;
    case BB_CORE_PROPOSAL_UNKNOWN:
    case BB_CORE_PROPOSAL_NOT_LEADER:
        respond_unavailable(x, "no majority confirmed the rollout in time, or "
                               "no upstream of the service is known yet\n");
        break;
    }
}

/* Validates a request to begin a rollout and proposes it. */
static void
begin_rollout(struct cored *d, struct bb_http_exchange *x)
{
    struct bb_error e = {0};
    struct bb_rollout_request r;
    const struct bb_rules *rules;
    char text[BB_DIALECT_TEXT_BYTES + 32];

    if (!d->dialect->decode_rollout(x->body->str, x->body->len, &r, &e)) {
        respond_with_text(x, 400, e.message);
        return;
    }
    if (redirect_to_leader(d, x)) {
        return;
    }
    rules = rules_in_force(d);
    if (rules == NULL) {
        respond_unavailable(x, "there is no configuration yet\n");
        return;
    }
    if (bb_rules_find_service(rules, r.service) == NULL) {
        (void)snprintf(text, sizeof(text), "there is no service %s\n",
                       r.service);
        respond_with_text(x, 400, text);
        return;
    }
    x->user_data = x;
    bb_core_begin_rollout(d->core, r.service, r.target, r.duration_ms,
                          on_rollout_done, x);
}

/* Responds with the state of a rollout. */
static void
on_rollout_read(void *context, bool is_confirmed, const fleet_rollout *r)
{
    struct bb_http_exchange *x = context;
    const struct bb_dialect *dialect = x->user_data;
    GString *fields;
    char *text;

    if (!is_confirmed) {
        respond_unavailable(x, "no majority confirmed the read\n");
        return;
    }
    if (r == NULL) {
        respond_with_text(x, 404, "the service never had a rollout\n");
        return;
    }
    text = dialect->encode_rollout(r->state, r->target);
    fields = g_string_new("Content-Type: application/json\r\n");
    x->user_data = NULL;
    bb_http_exchange_respond(x, 200, fields, text, strlen(text));
    g_string_free(fields, TRUE);
    g_free(text);
}

/* Dispatches a request of an operator once its body is complete. */
static void
on_request(void *context, struct bb_http_exchange *x)
{
    struct cored *d = context;
    char id[BB_DIALECT_ID_BYTES];

    if (!x->is_body_complete) {
        return; /* called again with more of the body */
    }
    if (d->is_stopping) {
        respond_unavailable(x, "this control host stops\n");
        return;
    }
    switch (d->dialect->classify_request(x->head.method,
                                         bb_http_head_target(&x->head), id)) {
    case BB_API_REPLACE_CONFIGURATION:
        propose_config(d, x);
        break;
    case BB_API_READ_CONFIGURATION:
        if (!redirect_to_leader(d, x)) {
            x->user_data = x;
            bb_core_read_config(d->core, on_read_done, x);
        }
        break;
    case BB_API_BEGIN_ROLLOUT:
        if (d->settings.rollout_bounds.canary_permille == 0) {
            respond_with_text(x, 404, "rollouts are off\n");
            break;
        }
        begin_rollout(d, x);
        break;
    case BB_API_READ_ROLLOUT:
        if (!redirect_to_leader(d, x)) {
            x->user_data = (void *)d->dialect;
            bb_core_read_rollout(d->core, id, on_rollout_read, x);
        }
        break;
    case BB_API_READY:
        respond_with_text(x, 200, "");
        break;
    case BB_API_ANNOUNCE:
    case BB_API_WITHDRAW:
    case BB_API_UNKNOWN:
        respond_with_text(x, 404, "no such call here\n");
        break;
    }
}

/* Cancels the proposal or read of a caller that left. */
static void
on_disconnected(void *context, struct bb_http_exchange *x,
                enum bb_http_server_close_reason reason)
{
    struct cored *d = context;

    (void)reason;
    bb_core_cancel_requests(d->core, x);
}

static const struct bb_http_server_handler handler = {
    .request = on_request,
    .body_received = on_request,
    .disconnected = on_disconnected};

/* Ends the event loop once no request of an operator is in progress, or
 * SHUTDOWN_MAX_MS after the stop signal. */
static void
on_shutdown_timer(uv_timer_t *t)
{
    struct cored *d = t->data;
    struct bb_http_server_open open =
        bb_http_server_count_open(d->operator_server);
    uint64_t waited_ms =
        (bb_clock_now_us() - d->shutdown_started_us) / BB_US_PER_MS;

    if (waited_ms < SHUTDOWN_MAX_MS &&
        (open.receiving > 0 || open.waiting > 0 || open.running > 0 ||
         open.unsent_bytes > 0)) {
        return;
    }
    bb_log_info("core.stopped",
                "%u connections of operators, requests: %u receiving, "
                "%u waiting, %u running; %zu bytes unsent",
                open.connections, open.receiving, open.waiting, open.running,
                open.unsent_bytes);
    bb_daemon_stop(d->daemon);
}

/* Handles the stop signal: refuses further requests of operators. This host
 * still takes part in the quorum until those in progress are answered. */
static void
on_stop(void *context)
{
    struct cored *d = context;

    d->is_stopping = true;
    d->shutdown_started_us = bb_clock_now_us();
    bb_http_server_disable_keep_alive(d->operator_server);
    (void)uv_timer_start(&d->shutdown_timer, on_shutdown_timer,
                         SHUTDOWN_POLL_MS, SHUTDOWN_POLL_MS);
}

/* Reads the seed addresses again. */
static void
on_reload(void *context)
{
    struct cored *d = context;
    struct bb_address_list seeds = {0};

    if (bb_daemon_read_seeds(d->settings.common.live_settings_file, &seeds)) {
        bb_core_set_seeds(d->core, &seeds);
    }
}

static const struct bb_daemon_events daemon_events = {.stop = on_stop,
                                                      .reload = on_reload};

/* Starts the control host, the operators' HTTP server and the metrics server.
 * Returns false and sets the error if one of them fails. */
static bool
open_core_and_servers(struct cored *d, struct bb_error *e)
{
    const struct cored_settings *s = &d->settings;
    uv_loop_t *loop = bb_daemon_loop(d->daemon);
    struct bb_core_settings core = {
        .ip = s->common.ip,
        .operator_address = s->operator_address,
        .zone = s->common.zone,
        .region = s->common.region,
        .data_folder = s->data_folder,
        .seeds = s->common.seeds,
        .may_bootstrap = strcmp(s->first_start, "true") == 0,
        .target_voter_count =
            bb_voters_target_count((uint32_t)s->tolerated_host_losses,
                                   (uint32_t)s->tolerated_zone_losses),
        .rollout_bounds = s->rollout_bounds,
        .quota_window_ms = s->quota_window_ms};

    g_strlcpy(core.peer_address.ip, s->common.ip,
              sizeof(core.peer_address.ip));
    core.peer_address.port = (uint16_t)s->common.control_port;
    d->core = bb_core_create(loop, &core, e);
    if (d->core == NULL) {
        return false;
    }
    d->operator_server =
        bb_http_server_create(loop, &s->operator_address, &handler, d, e);
    if (d->operator_server != NULL) {
        bb_http_server_set_log_names(d->operator_server, "operators", NULL);
    }
    return d->operator_server != NULL &&
           bb_daemon_serve_metrics(d->daemon, &s->common.metrics, e);
}

int
main(int argc, char **argv)
{
    struct cored d = {0};
    struct bb_error e = {0};
    int code = BB_EXIT_INTERNAL;

    switch (cored_settings_read(&d.settings, argc, argv, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-core: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    d.dialect = bb_plugin_find(BB_PLUGIN_DIALECT, d.settings.common.dialect);
    if (d.dialect == NULL) {
        (void)fprintf(stderr,
                      "baobab-core: setting dialect: there is no dialect "
                      "'%s'\n",
                      d.settings.common.dialect);
        return BB_EXIT_USAGE;
    }
    /* One thread is enough: the store writes one file at a time. */
    (void)g_setenv("UV_THREADPOOL_SIZE", "1", TRUE);
    d.daemon = bb_daemon_create("baobab-core", d.settings.common.host,
                                &daemon_events, &d);
    (void)uv_timer_init(bb_daemon_loop(d.daemon), &d.shutdown_timer);
    d.shutdown_timer.data = &d;
    if (!open_core_and_servers(&d, &e)) {
        (void)fprintf(stderr, "baobab-core: %s\n", e.message);
        goto done;
    }
    bb_daemon_run(d.daemon);
    code = BB_EXIT_OK;
done:
    /* First, as it responds to the requests that are left. */
    bb_core_destroy(d.core);
    bb_rules_unref(d.rules);
    bb_rules_unref(d.in_force_rules);
    if (d.in_force != NULL) {
        g_bytes_unref(d.in_force);
    }
    bb_http_server_destroy(d.operator_server);
    bb_daemon_destroy(d.daemon);
    return code;
}
