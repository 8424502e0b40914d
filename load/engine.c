#include "load/engine.h"

#include <inttypes.h>
#include <ne_request.h>
#include <ne_session.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/digest.h"
#include "upstream/pattern.h"

enum {
    READ_BLOCK_BYTES = 16 * 1024,
    LATE_THRESHOLD_US = BB_US_PER_MS,
    HTTP_OK = 200,
    CONNECT_TIMEOUT_S = 2,
    /* Half the time after which a node closes an idle connection, as a request
     * that is sent while the node closes it is lost. */
    IDLE_MAX_US = 5 * BB_US_PER_S,
    STACK_BYTES = 256 * 1024,
    /* Time for all threads to start before the first call is due; also in
     * bench/mesh-lib.sh. */
    START_DELAY_US = 250 * BB_US_PER_MS
};

/* A neon session that makes a single connection. When an idle connection turns
 * out to be closed, neon would silently send the request again on a new one,
 * which would look like a request that ran twice. */
struct target_connection {
    ne_session *session;
    bool is_closed;
    uint64_t used_us; /* time at which its last call ended */
};

/* A sending thread with a connection to each target. */
struct sender {
    struct bb_load_run *run;
    struct bb_load_stats *stats;
    /* One per target; the last one is for direct calls. */
    struct target_connection connections[BB_SETTINGS_LIST_MAX + 1];
    pthread_t thread;
};

/* A call in progress. */
struct call {
    const struct bb_load_call *plan;
    char id[BB_LOAD_ID_BYTES];
    uint64_t seed; /* of the pattern in request and response body */
    uint64_t sent_bytes;
    uint64_t response_bytes;
    bool is_pattern_wrong;
    enum bb_reason reason;
    bool has_not_run; /* the refusal says that the request did not run */
    char text[512];   /* start of a short response body */
};

/* Body provider for neon: writes the next part of the request body and returns
 * its size; a size_bytes of 0 rewinds the body. */
static ssize_t
provide_body(void *data, char *buffer, size_t size_bytes)
{
    struct call *c = data;
    uint64_t left;

    if (size_bytes == 0) {
        c->sent_bytes = 0;
        return 0;
    }
    left = c->plan->route->body_bytes - c->sent_bytes;
    size_bytes = MIN(size_bytes, left);
    bb_pattern_fill(c->seed, c->sent_bytes, (uint8_t *)buffer, size_bytes);
    c->sent_bytes += size_bytes;
    return (ssize_t)size_bytes;
}

/* Computes the digest that the upstream must report for the request body. */
static void
compute_expected_digest(const struct call *c,
                        char text[BB_BODY_DIGEST_TEXT_BYTES])
{
    XXH64_state_t *hash = XXH64_createState();
    uint8_t block[READ_BLOCK_BYTES];
    uint64_t size_bytes = c->plan->route->body_bytes;

    (void)XXH64_reset(hash, 0);
    for (uint64_t position = 0; position < size_bytes;
         position += sizeof(block)) {
        size_t count = MIN(sizeof(block), size_bytes - position);

        bb_pattern_fill(c->seed, position, block, count);
        (void)XXH64_update(hash, block, count);
    }
    (void)g_snprintf(text, BB_BODY_DIGEST_TEXT_BYTES, "%016" PRIx64,
                     (uint64_t)XXH64_digest(hash));
    (void)XXH64_freeState(hash);
}

/* Compares a part of the response body with the pattern of this call, or keeps
 * the start of a short text. */
static void
check_response_block(struct call *c, const char *block, size_t size_bytes)
{
    uint8_t expected[READ_BLOCK_BYTES];

    if (c->plan->route->response_bytes == 0) {
        size_t max_length = sizeof(c->text) - 1;

        if (c->response_bytes < max_length) {
            memcpy(c->text + c->response_bytes, block,
                   MIN(size_bytes, max_length - c->response_bytes));
        }
    }
    else {
        bb_pattern_fill(c->seed, c->response_bytes, expected, size_bytes);
        c->is_pattern_wrong |= memcmp(expected, block, size_bytes) != 0;
    }
    c->response_bytes += size_bytes;
}

/* Creates the request of a call. The caller destroys it. */
static ne_request *
build_request(struct call *c, ne_session *session)
{
    const struct bb_load_route *r = c->plan->route;
    ne_request *q = ne_request_create(session, r->method, r->path);

    ne_add_request_header(q, "X-Call-Id", c->id);
    if (c->plan->work_us > 0) {
        ne_print_request_header(q, "X-Work-Us", "%" PRIu64, c->plan->work_us);
    }
    if (r->response_bytes > 0) {
        ne_print_request_header(q, "X-Answer-Bytes", "%" PRIu64,
                                r->response_bytes);
    }
    if (r->deadline_ms > 0) {
        ne_print_request_header(q, "Baobab-Deadline-Ms", "%" PRIu64,
                                r->deadline_ms);
    }
    if (r->call_path[0] != '\0' && !c->plan->is_direct) {
        ne_add_request_header(q, "X-Call-Path", r->call_path);
    }
    if (r->is_keyed) {
        ne_add_request_header(q, "Idempotency-Key", c->id);
    }
    if (r->body_bytes > 0) {
        ne_set_request_body_provider(q, (ne_off_t)r->body_bytes, provide_body,
                                     c);
    }
    return q;
}

/* Returns whether a complete response belongs to its call: checks the id, the
 * digest of the request body, and length and content of the response body. */
static bool
is_response_valid(struct call *c, ne_request *q)
{
    const char *id = ne_get_response_header(q, "X-Call-Id");
    const char *digest = ne_get_response_header(q, "X-Body-Digest");
    uint64_t wanted = c->plan->route->response_bytes;
    char expected[BB_BODY_DIGEST_TEXT_BYTES];

    compute_expected_digest(c, expected);
    if (id == NULL || strcmp(id, c->id) != 0 || digest == NULL ||
        strcmp(digest, expected) != 0) {
        return false;
    }
    if (wanted > 0) {
        return c->response_bytes == wanted && !c->is_pattern_wrong;
    }
    return strstr(c->text, c->id) != NULL;
}

/* Reads the headers of a refusal. Returns false if the response has no known
 * reason, so it isn't a refusal. */
static bool
read_refusal(struct call *c, ne_request *q)
{
    const char *reason = ne_get_response_header(q, "Baobab-Refused");
    const char *ran = ne_get_response_header(q, "Baobab-Ran");

    c->has_not_run = ran != NULL && strcmp(ran, "no") == 0;
    return reason != NULL && bb_reason_parse(reason, &c->reason);
}

/* Sends the request of a call and classifies the result. */
static enum bb_load_result
send_request(struct call *c, ne_session *session)
{
    ne_request *q = build_request(c, session);
    enum bb_load_result result = BB_LOAD_BROKEN;
    char block[READ_BLOCK_BYTES];
    ssize_t count;

    if (ne_begin_request(q) != NE_OK) {
        goto out;
    }
    while ((count = ne_read_response_block(q, block, sizeof(block))) > 0) {
        check_response_block(c, block, (size_t)count);
    }
    if (count < 0 || ne_end_request(q) != NE_OK) {
        goto out;
    }
    if (read_refusal(c, q)) {
        result = BB_LOAD_REFUSED;
    }
    else if (ne_get_status(q)->code != HTTP_OK) {
        result = BB_LOAD_UNEXPECTED_STATUS;
    }
    else {
        result = is_response_valid(c, q) ? BB_LOAD_OK : BB_LOAD_WRONG_RESPONSE;
    }
out:
    ne_request_destroy(q);
    return result;
}

/* Called by neon when it closes the connection. */
static void
on_connection_closed(void *data)
{
    ((struct target_connection *)data)->is_closed = true;
}

/* Closes a connection. The next call on it opens it again. */
static void
close_connection(struct target_connection *t)
{
    if (t->session != NULL) {
        ne_session_destroy(t->session);
        t->session = NULL;
    }
    t->is_closed = false;
}

/* Returns the sender's connection for a call. Opens it if it is closed, and
 * again if it was idle for longer than IDLE_MAX_US. */
static struct target_connection *
get_connection(struct sender *s, const struct bb_load_call *plan)
{
    struct bb_load_run *run = s->run;
    /* The two calls of a pair have consecutive indices. */
    uint32_t turn = run->direct.port != 0 ? plan->index / 2 : plan->index;
    uint32_t index =
        plan->is_direct ? BB_SETTINGS_LIST_MAX : turn % run->targets.count;
    const struct bb_address *a =
        plan->is_direct ? &run->direct : &run->targets.items[index];
    struct target_connection *t = &s->connections[index];

    if (t->is_closed || bb_clock_now_us() - t->used_us > IDLE_MAX_US) {
        close_connection(t);
    }
    if (t->session == NULL) {
        t->session = ne_session_create("http", a->ip, a->port);
        ne_set_read_timeout(t->session, (int)run->timeout_s);
        ne_set_connect_timeout(t->session, CONNECT_TIMEOUT_S);
        ne_hook_close_conn(t->session, on_connection_closed, t);
    }
    return t;
}

/* Makes a call on its connection, which stays open only after a complete
 * response. */
static enum bb_load_result
make_call(struct sender *s, struct call *c)
{
    struct target_connection *t = get_connection(s, c->plan);
    enum bb_load_result result = send_request(c, t->session);

    t->used_us = bb_clock_now_us();
    if (result == BB_LOAD_BROKEN) {
        close_connection(t);
    }
    else {
        /* From now on neon cannot open a second connection in this session: no
         * interface has this address. */
        ne_set_localaddr(t->session, s->run->unusable_address);
    }
    return result;
}

/* Writes one line about a call to the record file, if there is one. */
static void
write_record_line(struct bb_load_run *run, const struct call *c,
                  enum bb_load_result result, uint64_t latency_us)
{
    static const char *const result_names[BB_LOAD_RESULT_COUNT] =
        BB_LOAD_RESULT_NAMES;

    if (run->record_file == NULL) {
        return;
    }
    (void)pthread_mutex_lock(&run->record_lock);
    (void)fprintf(run->record_file,
                  "{\"id\":\"%s\",\"method\":\"%s\",\"end\":\"%s\","
                  "\"reason\":\"%s\",\"ran\":\"%s\",\"at_us\":%" PRIu64
                  ",\"latency_us\":%" PRIu64 "}\n",
                  c->id, c->plan->route->method, result_names[result],
                  bb_reason_name(c->reason),
                  result == BB_LOAD_OK ? "yes"
                  : c->has_not_run     ? "no"
                                       : "unknown",
                  c->plan->planned_us, latency_us);
    (void)pthread_mutex_unlock(&run->record_lock);
}

/* Adds a finished call to the record file and the statistics. */
static void
add_result(struct sender *s, const struct call *c, enum bb_load_result result,
           uint64_t now_us)
{
    struct bb_load_run *run = s->run;
    uint64_t planned_us = run->start_us + c->plan->planned_us;
    uint64_t latency_us = now_us - planned_us;
    uint64_t interval =
        (now_us - run->start_us) / (BB_LOAD_INTERVAL_MS * BB_US_PER_MS);

    write_record_line(run, c, result, latency_us);
    s->stats->result_counts[result]++;
    if (result == BB_LOAD_REFUSED) {
        s->stats->refusals_by_reason[c->reason]++;
        s->stats->unknown_count += !c->has_not_run;
    }
    if (result != BB_LOAD_OK) {
        return;
    }
    s->stats->response_bytes += c->response_bytes;
    if (c->plan->is_direct) {
        bb_load_stats_add_latency(s->stats, BB_LOAD_DIRECT, latency_us);
        return;
    }
    bb_load_stats_add_latency(s->stats, BB_LOAD_PROXIED, latency_us);
    bb_load_stats_add_latency(
        s->stats, c->plan->is_long ? BB_LOAD_LONG : BB_LOAD_SHORT, latency_us);
    s->stats->ok_by_interval[MIN(interval, (uint64_t)run->interval_count)]++;
}

/* Thread function: sends calls at their planned times until none is left. */
static void *
send_calls(void *argument)
{
    struct sender *s = argument;
    struct bb_load_run *run = s->run;
    uint32_t i;

    while ((i = atomic_fetch_add(&run->next_call, 1)) < run->call_count) {
        const struct bb_load_call *plan = &run->calls[i];
        struct call c = {.plan = plan};
        uint64_t due_us = run->start_us + plan->planned_us;
        struct timespec due = bb_clock_to_timespec(due_us);
        enum bb_load_result result;

        (void)g_snprintf(c.id, sizeof(c.id), "%" PRIu64 "-%u", run->seed,
                         plan->index);
        c.seed = bb_hash64(c.id, strlen(c.id), 0);
        while (bb_clock_now_us() < due_us) {
            (void)clock_nanosleep(CLOCK_MONOTONIC, TIMER_ABSTIME, &due, NULL);
        }
        s->stats->late_count += bb_clock_now_us() > due_us + LATE_THRESHOLD_US;
        result = make_call(s, &c);
        add_result(s, &c, result, bb_clock_now_us());
    }
    return NULL;
}

/* Sends all planned calls and returns their statistics, which the caller frees
 * with bb_load_stats_destroy. Aborts if a thread cannot be started. */
struct bb_load_stats *
bb_load_run_execute(struct bb_load_run *run)
{
    struct sender *senders = g_new0(struct sender, run->threads);
    static const unsigned char unusable[] = {192, 0, 2, 1}; /* TEST-NET-1 */
    struct bb_load_stats *total;
    pthread_attr_t attributes;

    run->unusable_address = ne_iaddr_make(ne_iaddr_ipv4, unusable);
    run->interval_count = (uint32_t)(run->duration_ms / BB_LOAD_INTERVAL_MS);
    total = bb_load_stats_create(run->interval_count);
    (void)pthread_attr_init(&attributes);
    (void)pthread_attr_setstacksize(&attributes, STACK_BYTES);
    run->start_us = bb_clock_now_us() + START_DELAY_US;
    for (uint64_t i = 0; i < run->threads; i++) {
        senders[i].run = run;
        senders[i].stats = bb_load_stats_create(run->interval_count);
        if (pthread_create(&senders[i].thread, &attributes, send_calls,
                           &senders[i]) != 0) {
            (void)fprintf(stderr, "baobab-load: cannot start a thread\n");
            abort();
        }
    }
    for (uint64_t i = 0; i < run->threads; i++) {
        (void)pthread_join(senders[i].thread, NULL);
        bb_load_stats_merge(total, senders[i].stats, run->interval_count);
        bb_load_stats_destroy(senders[i].stats);
        for (int n = 0; n <= BB_SETTINGS_LIST_MAX; n++) {
            close_connection(&senders[i].connections[n]);
        }
    }
    (void)pthread_attr_destroy(&attributes);
    ne_iaddr_free(run->unusable_address);
    g_free(senders);
    return total;
}
