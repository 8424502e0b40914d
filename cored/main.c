/* baobab-core: control host, with the operators' interface. */
#include <stdio.h>
#include <string.h>

#include "common/log.h"
#include "common/registry.h"
#include "decide/voters.h"
#include "fleet/core.h"
#include "path/dialect.h"
#include "path/host.h"
#include "settings.h"

enum {
    /* After a refusal that another attempt may overcome. */
    RETRY_MS = 200,
    STOP_MS = 50
};

struct cored {
    struct core_settings settings;
    struct bb_daemon *host;
    const struct bb_dialect *dialect;
    struct bb_core *core;
    struct bb_server *operators;
    uv_timer_t stop_timer;
};

/* Answers with a text for people. */
static void
answer_text(struct bb_exchange *x, uint32_t status, const char *text)
{
    x->user = NULL;
    bb_exchange_answer(x, status, NULL, text, strlen(text));
}

/* Answers that another attempt, here or elsewhere, may succeed. */
static void
answer_later(struct bb_exchange *x, const char *why)
{
    GString *fields = g_string_new(NULL);

    g_string_append_printf(fields, "Retry-After: 0.%03d\r\n", RETRY_MS);
    x->user = NULL;
    bb_exchange_answer(x, 503, fields, why, strlen(why));
    g_string_free(fields, TRUE);
}

/* Sends the caller to the host that leads, if that is known. Returns whether
 * an answer was given. */
static bool
redirect(struct cored *d, struct bb_exchange *x)
{
    struct bb_address leader;
    char text[BB_ADDRESS_TEXT_BYTES];
    bool is_self = false;
    GString *fields;

    if (!bb_core_leader(d->core, &leader, &is_self)) {
        answer_later(x, "no control host leads at present\n");
        return true;
    }
    if (is_self) {
        return false;
    }
    fields = g_string_new(NULL);
    g_string_append_printf(fields, "Location: http://%s%s\r\n",
                           bb_address_text(&leader, text),
                           bb_head_target(&x->head));
    bb_exchange_answer(x, 307, fields, NULL, 0);
    g_string_free(fields, TRUE);
    return true;
}

/* Answers an order. */
static void
end_order(void *context, enum bb_order_outcome outcome, uint64_t newest)
{
    struct bb_exchange *x = context;
    char text[96];

    switch (outcome) {
    case BB_ORDER_ACCEPTED:
        answer_text(x, 200, "{}");
        break;
    case BB_ORDER_STALE:
        (void)snprintf(text, sizeof(text),
                       "{\"error\":\"version %llu is in force\"}",
                       (unsigned long long)newest);
        answer_text(x, 412, text);
        break;
    case BB_ORDER_UNKNOWN:
    case BB_ORDER_ELSEWHERE:
        answer_later(x, "no majority confirmed the order in time\n");
        break;
    }
}

static void
take_order(struct cored *d, struct bb_exchange *x)
{
    struct bb_error e = {0};
    uint64_t base = 0;
    struct bb_rules *r;
    GBytes *raw;

    if (!bb_head_get_u64(&x->head, d->dialect->fields.base_version, &base)) {
        answer_text(x, 400,
                    "the version that the order builds on is "
                    "missing\n");
        return;
    }
    if (redirect(d, x)) {
        return;
    }
    r = d->dialect->decode_rules(x->body->str, x->body->len, &e);
    if (r == NULL) {
        bb_log_info("order.invalid", "%s", e.message);
        answer_text(x, 400, e.message);
        return;
    }
    raw = g_bytes_new(x->body->str, x->body->len);
    x->user = x;
    bb_core_submit(d->core, base, r->version, raw, end_order, x);
    g_bytes_unref(raw);
    bb_rules_unref(r);
}

static void
end_read(void *context, bool is_sure, GBytes *raw)
{
    struct bb_exchange *x = context;
    gsize size = 0;
    const char *text;
    GString *fields;

    if (!is_sure || raw == NULL) {
        answer_later(x, is_sure ? "there is no configuration yet\n"
                                : "no majority confirmed the read\n");
        return;
    }
    text = g_bytes_get_data(raw, &size);
    fields = g_string_new("Content-Type: application/json\r\n");
    x->user = NULL;
    bb_exchange_answer(x, 200, fields, text, size);
    g_string_free(fields, TRUE);
}

/* Takes a call of an operator. */
static void
begin(void *context, struct bb_exchange *x)
{
    struct cored *d = context;
    char id[BB_DIALECT_ID_BYTES];

    if (!x->is_body_complete) {
        return; /* until all of it is there */
    }
    switch (d->dialect->classify_request(x->head.method,
                                         bb_head_target(&x->head), id)) {
    case BB_API_REPLACE_CONFIGURATION:
        take_order(d, x);
        break;
    case BB_API_READ_CONFIGURATION:
        if (!redirect(d, x)) {
            x->user = x;
            bb_core_read(d->core, end_read, x);
        }
        break;
    case BB_API_READY:
        answer_text(x, 200, "");
        break;
    case BB_API_ANNOUNCE:
    case BB_API_WITHDRAW:
    case BB_API_UNKNOWN:
        answer_text(x, 404, "no such call here\n");
        break;
    }
}

static void
gone(void *context, struct bb_exchange *x)
{
    struct cored *d = context;

    bb_core_cancel(d->core, x);
}

static const struct bb_server_handler handler = {
    .begin = begin, .body = begin, .gone = gone};

static void
end_stop(uv_timer_t *t)
{
    struct cored *d = t->data;

    bb_daemon_stop(d->host);
}

static void
stop(void *context)
{
    struct cored *d = context;

    (void)uv_timer_start(&d->stop_timer, end_stop, STOP_MS, 0);
}

static void
reload(void *context)
{
    struct cored *d = context;
    struct bb_address_list seeds = {0};

    if (bb_daemon_read_seeds(d->settings.common.live_file, &seeds)) {
        bb_core_set_seeds(d->core, &seeds);
    }
}

static const struct bb_daemon_events host_events = {.stop = stop,
                                                    .reload = reload};

/* Opens data folder and addresses. */
static bool
open_all(struct cored *d, struct bb_error *e)
{
    const struct core_settings *s = &d->settings;
    uv_loop_t *loop = bb_daemon_loop(d->host);
    struct bb_core_settings core = {
        .ip = s->common.ip,
        .operators = s->operators,
        .zone = s->common.zone,
        .region = s->common.region,
        .data_folder = s->data_folder,
        .seeds = s->common.seeds,
        .may_form = strcmp(s->first_start, "true") == 0,
        .voters = bb_voters_target_count((uint32_t)s->lost_hosts,
                                         (uint32_t)s->lost_zones)};

    g_strlcpy(core.peers.ip, s->common.ip, sizeof(core.peers.ip));
    core.peers.port = (uint16_t)s->common.control_port;
    d->core = bb_core_create(loop, &core, e);
    if (d->core == NULL) {
        return false;
    }
    d->operators = bb_server_create(loop, &s->operators, &handler, d, e);
    return d->operators != NULL &&
           bb_daemon_serve_metrics(d->host, &s->common.metrics, e);
}

int
main(int argc, char **argv)
{
    struct cored d = {0};
    struct bb_error e = {0};
    int code = BB_EXIT_INTERNAL;

    switch (core_settings_read(&d.settings, argc, argv, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-core: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    d.dialect = bb_registry_find(BB_PLUGIN_DIALECT, d.settings.common.dialect);
    if (d.dialect == NULL) {
        (void)fprintf(stderr, "baobab-core: there is no dialect %s\n",
                      d.settings.common.dialect);
        return BB_EXIT_USAGE;
    }
    /* The store writes one file at a time. */
    (void)g_setenv("UV_THREADPOOL_SIZE", "1", TRUE);
    d.host = bb_daemon_create("baobab-core", d.settings.common.host,
                              &host_events, &d);
    (void)uv_timer_init(bb_daemon_loop(d.host), &d.stop_timer);
    d.stop_timer.data = &d;
    if (!open_all(&d, &e)) {
        (void)fprintf(stderr, "baobab-core: %s\n", e.message);
        goto done;
    }
    bb_daemon_run(d.host);
    code = BB_EXIT_OK;
done:
    bb_server_destroy(d.operators);
    bb_core_destroy(d.core);
    bb_daemon_destroy(d.host);
    return code;
}
