#include "bench.h"

#include <stdlib.h>
#include <string.h>

#include "common/clock.h"

enum { SLOTS = 2 };

const char good_answer[] = "HTTP/1.1 200 OK\r\nT-Id: {id}\r\nT-Seal: s\r\n"
                           "Content-Length: 4\r\n\r\nbody";

static bool
read_parent(const char *id, char parent[BB_DIALECT_ID_BYTES])
{
    const char *end = strchr(id, '/');

    if (end != NULL) {
        g_strlcpy(parent, id, (size_t)(end - id) + 1);
    }
    return end != NULL;
}

static const struct bb_dialect dialect = {
    .read_parent = read_parent,
    .fields = {.request_id = T_ID,
               .deadline_ms = T_DEADLINE,
               .seal = T_SEAL,
               .expect_instance = T_EXPECT,
               .not_run = T_NOT_RUN,
               .base_version = "T-Base",
               .caller_service = T_CALLER,
               .instance = "T-Instance"}};

/* One connection of the upstream. */
struct line {
    struct upstream *upstream;
    struct bb_stream *stream;
    struct bb_reader reader;
    uv_timer_t timer;
    struct script script;
    char id[64];
    uint64_t answered_us; /* 0: never */
    bool is_waiting;      /* for the delay of the answer */
    bool is_closed;
};

struct script
answer_well(struct upstream *u, uint32_t number, const struct bb_head *h)
{
    (void)u;
    (void)number;
    (void)h;
    return (struct script){.text = good_answer};
}

static void
free_line(uv_handle_t *h)
{
    struct line *l = h->data;

    bb_reader_clear(&l->reader);
    g_free(l);
}

static void
close_line(struct line *l, void (*how)(struct bb_stream *))
{
    if (!l->is_closed) {
        l->is_closed = true;
        l->upstream->open--;
        how(l->stream);
        uv_close((uv_handle_t *)&l->timer, free_line);
    }
}

static void
answer(struct line *l)
{
    GString *text;

    l->is_waiting = false;
    if (l->script.text != NULL) {
        text = g_string_new(l->script.text);
        (void)g_string_replace(text, "{id}", l->id, 0);
        bb_stream_write(l->stream, text->str, text->len);
        g_string_free(text, TRUE);
    }
    switch (l->script.end) {
    case SCRIPT_KEEP:
        l->answered_us = bb_clock_now_us();
        bb_reader_next(&l->reader);
        break;
    case SCRIPT_CLOSE:
        close_line(l, bb_stream_close);
        break;
    case SCRIPT_RESET:
        close_line(l, bb_stream_reset);
        break;
    case SCRIPT_SILENT:
        break;
    }
}

static void
end_delay(uv_timer_t *t)
{
    answer(t->data);
}

static bool
take_head(void *context)
{
    struct line *l = context;
    struct upstream *u = l->upstream;
    const struct bb_head *h = &l->reader.head;
    const char *id = bb_head_get(h, T_ID);

    u->requests++;
    g_strlcpy(l->id, id != NULL ? id : "", sizeof(l->id));
    g_strlcpy(u->last_id, l->id, sizeof(u->last_id));
    g_string_truncate(u->last_head, 0);
    g_string_truncate(u->last_body, 0);
    for (uint32_t i = 0; i < h->field_count; i++) {
        g_string_append_printf(u->last_head, "%s: %s\n",
                               h->text->str + h->fields[i].name,
                               h->text->str + h->fields[i].value);
    }
    l->script = u->script(u, u->requests, h);
    return true;
}

static void
take_body(void *context, const char *data, size_t n)
{
    struct line *l = context;

    g_string_append_len(l->upstream->last_body, data, (gssize)n);
}

static const struct bb_reader_events reader_events = {.head = take_head,
                                                      .body = take_body};

static void
take_data(void *context, const char *data, size_t n)
{
    struct line *l = context;
    size_t used = 0;

    if (l->upstream->forgets_ms != 0 && l->answered_us != 0 &&
        bb_clock_now_us() - l->answered_us >
            (uint64_t)l->upstream->forgets_ms * BB_US_PER_MS) {
        l->upstream->forgot++;
        close_line(l, bb_stream_reset);
        return;
    }
    while (used < n && !l->is_closed) {
        size_t step = bb_reader_feed(&l->reader, data + used, n - used);

        used += step;
        if (l->reader.state != BB_READER_DONE || l->is_waiting) {
            return;
        }
        l->is_waiting = true;
        if (l->script.delay_ms != 0) {
            (void)uv_timer_start(&l->timer, end_delay, l->script.delay_ms, 0);
        }
        else {
            answer(l);
        }
    }
}

static void
take_end(void *context, int status)
{
    struct line *l = context;

    (void)status;
    l->upstream->cut += l->is_waiting;
    close_line(l, bb_stream_close);
}

static const struct bb_stream_events line_events = {.data = take_data,
                                                    .ended = take_end};

static void
accept_line(void *context, struct bb_stream *s)
{
    struct upstream *u = context;
    struct line *l = g_new0(struct line, 1);

    l->upstream = u;
    l->stream = s;
    u->open++;
    bb_reader_init(&l->reader, HTTP_REQUEST, &reader_events, l);
    (void)uv_timer_init(u->loop, &l->timer);
    l->timer.data = l;
    bb_stream_attach(s, &line_events, l);
}

/* Listens on a free port of the address. */
static struct bb_listener *
listen_free(uv_loop_t *loop, struct bb_address *at, bb_accept accept,
            void *context)
{
    struct bb_error e = {0};
    struct bb_listener *l = NULL;

    for (uint32_t i = 0; i < 200 && l == NULL; i++) {
        at->port = (uint16_t)(20000 + g_random_int_range(0, 40000));
        l = bb_listener_create(loop, at, accept, context, &e);
    }
    return l;
}

static void
ignore_change(void *context, const struct bb_upstream *u)
{
    struct bench *b = ((void **)context)[0];
    uint32_t which = (uint32_t)(uintptr_t)((void **)context)[1];
    char gate[BB_ADDRESS_TEXT_BYTES];
    static uint64_t sequence;
    struct bb_address at = b->upstreams[which].at;
    fleet_instance i = {.zone = (char *)"z",
                        .region = (char *)"r",
                        .service = (char *)u->service,
                        .id = (char *)u->id,
                        .epoch = 1,
                        .sequence = ++sequence,
                        .state = u->state,
                        .slots = u->slots};

    at.port++;
    i.gate = (char *)bb_address_text(&at, gate);
    bb_directory_update(b->directory, &i, bb_clock_now_us());
}

static bool
find_running(void *context, const char *id, bool *is_repeat)
{
    const struct bench *b = context;

    return bb_gate_find_running(b->gates[0], id, is_repeat);
}

/* Opens one gate on the port above its upstream's. */
static void
open_gate(struct bench *b, uint32_t which)
{
    static void *contexts[2][2];
    static char texts[2][BB_ADDRESS_TEXT_BYTES];
    struct upstream *u = &b->upstreams[which];
    struct bb_gate_settings s = {.upstream = u->at,
                                 .dialect = &dialect,
                                 .changed = ignore_change,
                                 .context = contexts[which]};
    struct bb_error e = {0};

    contexts[which][0] = b;
    contexts[which][1] = (void *)(uintptr_t)which;
    s.at = u->at;
    s.at.port++;
    s.upstream_text = bb_address_text(&u->at, texts[which]);
    b->gates[which] = bb_gate_create(&b->loop, &s, &e);
}

void
bench_restart_gate(struct bench *b, uint32_t which)
{
    bb_gate_destroy(b->gates[which]);
    bench_run(b, 20);
    open_gate(b, which);
}

/* Opens everything; both upstreams answer well and are ready. */
void
bench_open(struct bench *b)
{
    struct bb_error e = {0};

    memset(b, 0, sizeof(*b));
    (void)uv_loop_init(&b->loop);
    b->directory = bb_directory_create("", "z", "r");
    for (uint32_t i = 0; i < 2; i++) {
        struct upstream *u = &b->upstreams[i];

        u->loop = &b->loop;
        u->script = answer_well;
        u->last_head = g_string_new(NULL);
        u->last_body = g_string_new(NULL);
        g_strlcpy(u->at.ip, "127.0.0.1", sizeof(u->at.ip));
        do {
            bb_listener_destroy(u->listener);
            u->listener = listen_free(&b->loop, &u->at, accept_line, u);
            open_gate(b, i);
        } while (b->gates[i] == NULL);
    }
    g_strlcpy(b->entry_at.ip, "127.0.0.1", sizeof(b->entry_at.ip));
    while (b->entry == NULL) {
        struct bb_entry_settings s = {.service = "caller",
                                      .dialect = &dialect,
                                      .directory = b->directory,
                                      .retries = {.window_ms = 10000,
                                                  .ratio_permille = 200,
                                                  .allowance = 40},
                                      .find_running = find_running,
                                      .context = b};

        b->entry_at.port = (uint16_t)(20000 + g_random_int_range(0, 40000));
        s.at = b->entry_at;
        b->entry = bb_entry_create(&b->loop, &s, &e);
    }
    bench_announce(b, 0, false);
    bench_announce(b, 1, false);
    bb_gate_recall(b->gates[0], NULL);
    bb_gate_recall(b->gates[1], NULL);
}

static void
close_handle(uv_handle_t *h, void *context)
{
    (void)context;
    if (!uv_is_closing(h)) {
        uv_close(h, NULL);
    }
}

/* Closes everything. */
void
bench_close(struct bench *b)
{
    bb_entry_destroy(b->entry);
    for (uint32_t i = 0; i < 2; i++) {
        bb_gate_destroy(b->gates[i]);
        bb_listener_destroy(b->upstreams[i].listener);
    }
    bench_run(b, 50);
    uv_walk(&b->loop, close_handle, NULL);
    (void)uv_run(&b->loop, UV_RUN_DEFAULT);
    (void)uv_loop_close(&b->loop);
    bb_rules_unref(b->rules);
    bb_directory_destroy(b->directory);
    for (uint32_t i = 0; i < 2; i++) {
        g_string_free(b->upstreams[i].last_head, TRUE);
        g_string_free(b->upstreams[i].last_body, TRUE);
    }
}

/* Puts rules in force: /safe/ may be repeated, /unsafe/ may not, both go to
 * the service `s`; /other/ goes to a service without upstreams. */
void
bench_set_rules(struct bench *b, uint32_t timeout_ms, uint32_t attempts)
{
    static const char *const prefixes[] = {"/safe/", "/unsafe/", "/other/"};
    struct bb_error e = {0};

    bb_rules_unref(b->rules);
    b->rules = bb_rules_create();
    b->rules->version = 1;
    b->rules->limits = (struct bb_server_limits){.head_bytes = 4096,
                                                 .head_timeout_ms = 1000,
                                                 .idle_timeout_ms = 5000,
                                                 .body_bytes = 1024 * 1024};
    bb_rules_add_service(b->rules, "s", "/health", 100);
    bb_rules_add_service(b->rules, "other", "/health", 100);
    for (uint32_t i = 0; i < 3; i++) {
        struct bb_rule *r =
            bb_rules_add(b->rules, prefixes[i], "h", prefixes[i]);

        r->is_idempotent = i != 1;
        r->timeout_ms = timeout_ms;
        r->aim_ms = timeout_ms;
        r->attempts = attempts;
        bb_rule_add_part(r, i == 2 ? "other" : "s", 1);
    }
    (void)bb_rules_seal(b->rules, &e);
    bb_entry_set_rules(b->entry, b->rules);
}

/* Lets an upstream announce itself. */
void
bench_announce(struct bench *b, uint32_t which, bool is_draining)
{
    static uint64_t sequence;
    struct bb_announcement a = {.service = "s",
                                .zone = "z",
                                .is_draining = is_draining,
                                .slots = SLOTS,
                                .sequence = ++sequence,
                                .born_ms = 5};
    char id[16];

    (void)g_snprintf(id, sizeof(id), "i-%u", which);
    (void)bb_address_text(&b->upstreams[which].at, a.address);
    (void)bb_gate_announce(b->gates[which], id, &a);
}

static void
stop_wait(uv_timer_t *t)
{
    *(bool *)t->data = true;
}

/* Runs the loop until the flag is set; returns whether it was in time. */
bool
bench_wait(struct bench *b, const bool *flag, uint32_t ms)
{
    uv_timer_t *t = g_new0(uv_timer_t, 1);
    bool is_over = false;

    (void)uv_timer_init(&b->loop, t);
    t->data = &is_over;
    (void)uv_timer_start(t, stop_wait, ms, 0);
    while (!is_over && (flag == NULL || !*flag)) {
        (void)uv_run(&b->loop, UV_RUN_ONCE);
    }
    uv_close((uv_handle_t *)t, (uv_close_cb)g_free);
    return flag != NULL && *flag;
}

/* Runs the loop for a time. */
void
bench_run(struct bench *b, uint32_t ms)
{
    (void)bench_wait(b, NULL, ms);
}

/* Runs the loop until a client has received a text. */
bool
bench_wait_text(struct bench *b, struct client *c, const char *text,
                uint32_t ms)
{
    uint64_t end_us = bb_clock_now_us() + (uint64_t)ms * BB_US_PER_MS;

    while (strstr(c->received->str, text) == NULL &&
           bb_clock_now_us() < end_us) {
        bench_run(b, 2);
    }
    return strstr(c->received->str, text) != NULL;
}

static void
client_data(void *context, const char *data, size_t n)
{
    struct client *c = context;

    g_string_append_len(c->received, data, (gssize)n);
}

static void
client_end(void *context, int status)
{
    struct client *c = context;

    (void)status;
    c->is_ended = true;
}

static const struct bb_stream_events client_events = {.data = client_data,
                                                      .ended = client_end};

/* Connects to the entry. */
struct client *
client_open(struct bench *b)
{
    struct client *c = g_new0(struct client, 1);

    c->received = g_string_new(NULL);
    c->stream =
        bb_stream_connect(&b->loop, &b->entry_at, 1000, &client_events, c);
    return c;
}

void
client_send(struct client *c, const char *text)
{
    bb_stream_write(c->stream, text, strlen(text));
}

/* Closes the connection as a caller that no longer waits. */
void
client_leave(struct client *c)
{
    bb_stream_close(c->stream);
    c->stream = NULL;
}

void
client_close(struct client *c)
{
    if (c->stream != NULL) {
        bb_stream_close(c->stream);
    }
    g_string_free(c->received, TRUE);
    g_free(c);
}

/* Counts how often a text was received. */
uint32_t
client_count(const struct client *c, const char *text)
{
    uint32_t n = 0;

    for (const char *at = c->received->str; (at = strstr(at, text)) != NULL;
         at += strlen(text)) {
        n++;
    }
    return n;
}
