/* Single HTTP calls of the operator, the upstreams' announcements and the
 * ready check, each on its own connection. */
#include <string.h>

#include "soak.h"

enum { CALL_TIMEOUT_MS = 1000 };

struct call {
    struct bb_fetch *fetch;
    uv_timer_t timer;
    GString *body;
    struct bb_http_head head;
    call_done done;
    void *context;
};

static void
free_call(uv_handle_t *h)
{
    struct call *c = h->data;

    if (c->head.text != NULL) {
        g_string_free(c->head.text, TRUE);
    }
    g_string_free(c->body, TRUE);
    g_free(c);
}

/* Passes the response, or status 0, on and frees the call. */
static void
finish_call(struct call *c, bool is_complete)
{
    c->fetch = NULL;
    c->done(c->context, is_complete ? c->head.status : 0, &c->head, c->body);
    uv_close((uv_handle_t *)&c->timer, free_call);
}

/* Keeps a copy of the head. */
static bool
on_head(void *context, const struct bb_http_head *h)
{
    struct call *c = context;

    c->head = *h;
    c->head.text = g_string_new_len(h->text->str, (gssize)h->text->len);
    return true;
}

static bool
on_body(void *context, const char *data, size_t size_bytes)
{
    struct call *c = context;

    g_string_append_len(c->body, data, (gssize)size_bytes);
    return true;
}

static void
on_done(void *context, enum bb_fetch_result result)
{
    finish_call(context, result == BB_FETCH_COMPLETE);
}

static const struct bb_fetch_events events = {
    .head = on_head, .body = on_body, .done = on_done};

static void
on_timeout(uv_timer_t *t)
{
    struct call *c = t->data;

    if (c->fetch != NULL) {
        bb_fetch_cancel(c->fetch);
    }
    finish_call(c, false);
}

/* Starts a call; `fields` are further header fields, each with CRLF. `done` is
 * called later, once. */
void
call_start(struct soak *s, const struct bb_address *to, const char *method,
           const char *target, const char *fields, const char *body,
           call_done done, void *context)
{
    struct call *c = g_new0(struct call, 1);
    GString *head = g_string_new(NULL);
    struct bb_fetch_request r = {.address = *to,
                                 .head = head,
                                 .body = body,
                                 .body_bytes = strlen(body),
                                 .is_body_complete = true};

    g_string_printf(head,
                    "%s %s HTTP/1.1\r\nHost: %s\r\n%s"
                    "Content-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    method, target, to->ip, fields, r.body_bytes);
    c->body = g_string_new(NULL);
    c->done = done;
    c->context = context;
    (void)uv_timer_init(&s->loop, &c->timer);
    c->timer.data = c;
    c->fetch = bb_fetch_start(s->pool, &r, &events, c);
    (void)uv_timer_start(&c->timer, on_timeout,
                         c->fetch != NULL ? CALL_TIMEOUT_MS : 0, 0);
    g_string_free(head, TRUE);
}
