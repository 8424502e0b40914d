/* Tests that what a proxy holds for its callers is bounded, with real
 * processes. */
#include <string.h>

#include "common/clock.h"
#include "fixture.h"
#include "unit.h"

enum {
    GRACE_S = 6,
    CALLERS = 12,
    CALLERS_MANY = 60,
    PIPELINED = 32, /* requests of each caller, the first of them slow */
    BODY_BYTES = 320 * 1024,
    BODY_MANY_BYTES = 256 * 1024, /* with CALLERS_MANY */
    ID_BYTES = 16,
    /* Time in which the proxy could take all responses but the slow ones. */
    FILL_MS = 4000,
    TURN_MS = 5,
    DRAIN_MAX_MS = 12000,
    PEAK_MAX_KB = 64 * 1024,
    SLOTS = 16, /* of the upstream */
    UPLOADS = 64,
    UPLOAD_BLOCK_BYTES = 256 * 1024, /* far more of each is offered */
    /* What an upstream without end has sent by then is far more. */
    FLOOD_BYTES = 1024 * 1024
};

/* Returns the peak of the resident memory of a process, in kB; 0: unknown. */
static uint64_t
peak_kb(const struct process *p)
{
    char *path = g_strdup_printf("/proc/%d/status", (int)p->pid);
    char *text = NULL;
    const char *at;
    uint64_t kb = 0;

    if (g_file_get_contents(path, &text, NULL, NULL)) {
        at = strstr(text, "VmHWM:");
        kb =
            at != NULL ? g_ascii_strtoull(at + strlen("VmHWM:"), NULL, 10) : 0;
    }
    g_free(text);
    g_free(path);
    return kb;
}

/* Opens a caller that sends PIPELINED requests and reads nothing. */
static struct peer *
open_caller(struct fixture *f, uint32_t index)
{
    struct peer *c = peer_connect(f, &f->entry_address, 0);

    c->is_paused = true;
    for (uint32_t i = 0; i < PIPELINED; i++) {
        char *request = g_strdup_printf(SAFE("%u-%u") "\r\n", index, i);

        peer_send(c, request);
        g_free(request);
    }
    return c;
}

/* Returns whether a connection of the upstream carries a request, and copies
 * its id. */
static bool
read_request_id(const struct peer *c, char id[ID_BYTES])
{
    const char *at = strstr(c->received->str, FIELD_REQUEST_ID ": ");
    size_t length;

    if (!c->is_upstream || at == NULL || strstr(at, "\r\n\r\n") == NULL) {
        return false;
    }
    at += strlen(FIELD_REQUEST_ID ": ");
    length = strcspn(at, "\r");
    if (length >= ID_BYTES) {
        return false;
    }
    memcpy(id, at, length);
    id[length] = '\0';
    return true;
}

/* Responds to all requests that have arrived, except to the first ones of
 * callers unless has_slow. */
static void
respond_to_all(struct fixture *f, const char *body, bool has_slow)
{
    for (guint i = 0; i < f->peers->len; i++) {
        struct peer *c = g_ptr_array_index(f->peers, i);
        char id[ID_BYTES];

        if (read_request_id(c, id) &&
            (has_slow || !g_str_has_suffix(id, "-0"))) {
            g_string_truncate(c->received, 0);
            upstream_respond(f, c, id, body);
        }
    }
}

/* Returns how often a text occurs in what the callers have got. */
static uint32_t
count_text(struct peer *const *callers, uint32_t count, const char *text)
{
    uint32_t n = 0;

    for (uint32_t i = 0; i < count; i++) {
        n += peer_count(callers[i], text);
    }
    return n;
}

/* Callers send requests behind a slow one and read late. Checks the memory of
 * the proxy, and that each request has a complete response or, with
 * is_refusal_allowed, was refused. */
static void
run_slow_first(uint32_t caller_count, size_t body_bytes,
               bool is_refusal_allowed)
{
    struct fixture f;
    struct peer *callers[CALLERS_MANY];
    char *body = g_strnfill(body_bytes, 'b');
    uint64_t end_us;
    uint32_t complete = 0;
    uint32_t refused = 0;

    body[body_bytes - 1] = '!';
    fixture_open(&f, 1, GRACE_S);
    for (uint32_t i = 0; i < caller_count; i++) {
        callers[i] = open_caller(&f, i);
    }
    end_us = bb_clock_now_us() + (uint64_t)FILL_MS * BB_US_PER_MS;
    while (bb_clock_now_us() < end_us) {
        respond_to_all(&f, body, false);
        fixture_run(&f, TURN_MS);
    }
    CU_ASSERT_TRUE(peak_kb(&f.proxy) > 0);
    CU_ASSERT_TRUE(peak_kb(&f.proxy) < PEAK_MAX_KB);
    for (uint32_t i = 0; i < caller_count; i++) {
        callers[i]->is_paused = false;
    }
    end_us = bb_clock_now_us() + (uint64_t)DRAIN_MAX_MS * BB_US_PER_MS;
    while (complete + refused < caller_count * PIPELINED &&
           bb_clock_now_us() < end_us) {
        respond_to_all(&f, body, true);
        fixture_run(&f, TURN_MS);
        complete = count_text(callers, caller_count, "b!");
        refused = count_text(callers, caller_count, "HTTP/1.1 503");
    }
    CU_ASSERT_EQUAL(complete + refused, caller_count * PIPELINED);
    CU_ASSERT_TRUE(refused == 0 || is_refusal_allowed);
    CU_ASSERT_TRUE(peak_kb(&f.proxy) < PEAK_MAX_KB);
    fixture_close(&f);
    g_free(body);
}

/* Guards against: responses that wait behind a slow one until the process runs
 * out of memory, and responses lost as it is bounded. */
static void
test_responses_behind_a_slow_one(void)
{
    run_slow_first(CALLERS, BODY_BYTES, false);
}

/* Guards against: the same with so many callers that the buffers are
 * exhausted: new requests are refused then, and none is lost. */
static void
test_many_slow_responses(void)
{
    run_slow_first(CALLERS_MANY, BODY_MANY_BYTES, true);
}

/* Sends more of a body without end on each connection of the upstream. */
static void
flood(struct fixture *f, const char *block)
{
    for (guint i = 0; i < f->peers->len; i++) {
        struct peer *c = g_ptr_array_index(f->peers, i);
        char id[ID_BYTES];

        if (read_request_id(c, id)) {
            g_string_truncate(c->received, 0);
            g_string_append_printf(c->unsent,
                                   "HTTP/1.1 200 OK\r\n" FIELD_REQUEST_ID
                                   ": %s\r\n" FIELD_SEAL ": s\r\n\r\n",
                                   id);
        }
        else if (!c->is_upstream || c->unsent->len == 0) {
            continue;
        }
        if (c->unsent->len < FLOOD_BYTES) {
            g_string_append(c->unsent, block);
        }
    }
}

/* Guards against: an upstream that sends bodies without end, all of which the
 * process keeps, so that it ends with the requests of other callers. */
static void
test_bodies_without_end(void)
{
    struct fixture f;
    char *block = g_strnfill(FLOOD_BYTES / 4, 'f');
    uint64_t end_us;

    fixture_open(&f, 1, GRACE_S);
    for (uint32_t i = 0; i < CALLERS; i++) {
        (void)open_caller(&f, i);
    }
    end_us = bb_clock_now_us() + (uint64_t)FILL_MS * BB_US_PER_MS;
    while (bb_clock_now_us() < end_us) {
        flood(&f, block);
        fixture_run(&f, TURN_MS);
    }
    CU_ASSERT_TRUE(peak_kb(&f.proxy) > 0);
    CU_ASSERT_TRUE(peak_kb(&f.proxy) < PEAK_MAX_KB);
    fixture_close(&f);
    g_free(block);
}

/* Guards against: uploads that wait for a slot and are kept whole meanwhile,
 * so that the process runs out of memory. */
static void
test_queued_uploads(void)
{
    struct fixture f;
    struct peer *uploads[UPLOADS];
    char *block = g_strnfill(UPLOAD_BLOCK_BYTES, 'u');
    uint64_t end_us;

    fixture_open(&f, 1, GRACE_S);
    for (uint32_t i = 0; i < SLOTS; i++) {
        char *request = g_strdup_printf(SAFE("slow-%u") "\r\n", i);

        peer_send(peer_connect(&f, &f.entry_address, 0), request);
        g_free(request);
    }
    fixture_run(&f, FILL_MS / 10);
    for (uint32_t i = 0; i < UPLOADS; i++) {
        char *request = g_strdup_printf(
            UNSAFE("upload-%u") "Content-Length: 65011712\r\n\r\n", i);

        uploads[i] = peer_connect(&f, &f.entry_address, 0);
        peer_send(uploads[i], request);
        g_free(request);
    }
    end_us = bb_clock_now_us() + (uint64_t)FILL_MS * BB_US_PER_MS;
    while (bb_clock_now_us() < end_us) {
        for (uint32_t i = 0; i < UPLOADS; i++) {
            if (uploads[i]->unsent->len == 0) {
                peer_send(uploads[i], block);
            }
        }
        fixture_run(&f, TURN_MS);
    }
    CU_ASSERT_TRUE(peak_kb(&f.proxy) > 0);
    CU_ASSERT_TRUE(peak_kb(&f.proxy) < PEAK_MAX_KB);
    fixture_close(&f);
    g_free(block);
}

static const struct bb_unit_test tests[] = {
    {"responses behind a slow one", test_responses_behind_a_slow_one},
    {"many responses behind slow ones", test_many_slow_responses},
    {"bodies without end", test_bodies_without_end},
    {"queued uploads", test_queued_uploads}};

BB_UNIT_MAIN("memory", tests)
