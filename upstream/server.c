#include "upstream/server.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/digest.h"
#include "upstream/pattern.h"

enum {
    ADMIN_BODY_MAX_BYTES = 64 * 1024,
    RESPONSE_BLOCK_BYTES = 64 * 1024,
    CONNECTION_POOL_BYTES = 64 * 1024,
    STACK_BYTES = 256 * 1024,
    DEFAULT_DEADLINE_US = 60 * BB_US_PER_S,
    SILENT_DELAY_US = 30 * BB_US_PER_S,
    UINT64_TEXT_BYTES = 24
};

/* A request in progress. */
struct call {
    struct bb_upstream_sim *upstream;
    struct MHD_Connection *connection;
    XXH64_state_t *hash; /* of the request body; NULL for admin requests */
    uint64_t body_bytes;
    uint64_t start_us;
    GString *admin_body; /* body of an admin request, else NULL */
    bool has_nested_call_failed;
};

/* The body of a streamed response. */
struct response_body {
    uint64_t seed;
    uint64_t size_bytes;
    uint64_t cut_at_bytes; /* position of the truncation; 0: none */
};

/* Returns the value of a request header, or NULL. */
static const char *
get_header(const struct call *c, const char *name)
{
    return MHD_lookup_connection_value(c->connection, MHD_HEADER_KIND, name);
}

/* Returns the value of a header that is a whole number, else the fallback. */
static uint64_t
get_number_header(const struct call *c, const char *name, uint64_t fallback)
{
    const char *text = get_header(c, name);
    uint64_t value;

    return text != NULL && g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX,
                                                      &value, NULL)
               ? value
               : fallback;
}

/* Queues a response with the text, which it frees. refused is the value of
 * X-Upstream-Refused, or NULL. */
static enum MHD_Result
respond_with_text(struct call *c, unsigned status, const char *type,
                  GString *text, const char *refused)
{
    size_t size_bytes = text->len;
    struct MHD_Response *response = MHD_create_response_from_buffer(
        size_bytes, g_string_free(text, FALSE), MHD_RESPMEM_MUST_FREE);
    enum MHD_Result result;

    (void)MHD_add_response_header(response, "Content-Type", type);
    if (refused != NULL) {
        (void)MHD_add_response_header(response, BB_HEADER_UPSTREAM_REFUSED,
                                      refused);
    }
    result = MHD_queue_response(c->connection, status, response);
    MHD_destroy_response(response);
    return result;
}

/* Content reader of libmicrohttpd: writes the next part of a streamed response
 * and returns its size. */
static ssize_t
read_response_body(void *context, uint64_t position, char *out,
                   size_t size_bytes)
{
    struct response_body *body = context;
    uint64_t remaining = body->size_bytes - position;

    if (body->cut_at_bytes > 0 && position >= body->cut_at_bytes) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (remaining == 0) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    size_bytes = MIN(size_bytes, remaining);
    if (body->cut_at_bytes > 0) {
        size_bytes = MIN(size_bytes, body->cut_at_bytes - position);
    }
    bb_pattern_fill(body->seed, position, (uint8_t *)out, size_bytes);
    return (ssize_t)size_bytes;
}

/* Creates the response of a successful request: the requested number of bytes
 * of the pattern, or a short text. */
static struct MHD_Response *
create_response(struct call *c, const char *id, const char *digest)
{
    struct bb_upstream_sim *u = c->upstream;
    uint64_t size_bytes = get_number_header(c, BB_HEADER_RESPONSE_BYTES, 0);
    struct response_body *body;
    GString *text;
    size_t length;

    if (size_bytes > 0) {
        bool is_cut = bb_behaviour_draw_bool(
            &u->behaviour,
            bb_behaviour_get_values(&u->behaviour).truncate_permille);

        body = g_new0(struct response_body, 1);
        *body = (struct response_body){
            .seed = bb_hash64(id, strlen(id), 0),
            .size_bytes = size_bytes,
            .cut_at_bytes = is_cut ? MAX(size_bytes / 2, 1) : 0,
        };
        return MHD_create_response_from_callback(
            size_bytes, RESPONSE_BLOCK_BYTES, read_response_body, body,
            g_free);
    }
    text = g_string_new(NULL);
    g_string_printf(text,
                    "{\"id\":\"%s\",\"host\":\"%s\",\"service\":\"%s\","
                    "\"bytes\":%" PRIu64 ",\"digest\":\"%s\"}\n",
                    id, u->host, u->service, c->body_bytes, digest);
    length = text->len;
    return MHD_create_response_from_buffer(length, g_string_free(text, FALSE),
                                           MHD_RESPMEM_MUST_FREE);
}

/* Queues the response of a successful request, with its id and the digest of
 * the request body in the headers. */
static enum MHD_Result
respond_with_result(struct call *c, const char *id)
{
    char digest[BB_BODY_DIGEST_TEXT_BYTES];
    char bytes[UINT64_TEXT_BYTES];
    struct MHD_Response *response;
    enum MHD_Result result;

    (void)g_snprintf(digest, sizeof(digest), "%016" PRIx64,
                     (uint64_t)XXH64_digest(c->hash));
    (void)g_snprintf(bytes, sizeof(bytes), "%" PRIu64, c->body_bytes);
    response = create_response(c, id, digest);
    (void)MHD_add_response_header(response, BB_HEADER_CALL_ID, id);
    (void)MHD_add_response_header(response, BB_HEADER_BODY_DIGEST, digest);
    (void)MHD_add_response_header(response, BB_HEADER_BODY_BYTES, bytes);
    (void)MHD_add_response_header(response, BB_HEADER_UPSTREAM_HOST,
                                  c->upstream->host);
    result = MHD_queue_response(c->connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return result;
}

/* Makes the nested call of a request while it holds its slot. The called
 * upstream makes the next one. */
static void
make_nested_call(void *context, uint64_t deadline_us)
{
    static const char *const names[] = {BB_HEADER_CALL_ID, "Baobab-Depth",
                                        "Baobab-Request-Id",
                                        BB_HEADER_WORK_US};
    struct call *c = context;
    const char *fields[2 * G_N_ELEMENTS(names)];
    size_t count = 0;

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        const char *value = get_header(c, names[i]);

        /* Baobab-Request-Id is not passed on: the node assigns a new one. */
        if (value != NULL && strcmp(names[i], "Baobab-Request-Id") != 0) {
            fields[count++] = names[i];
            fields[count++] = value;
        }
    }
    c->has_nested_call_failed = !bb_upstream_sim_make_nested_call(
        c->upstream, get_header(c, BB_HEADER_CALL_PATH), fields, count / 2,
        deadline_us);
}

/* Returns the value of an id header, or "-" if it is missing, too long or
 * would need escaping in the history. */
static const char *
get_id_header(const struct call *c, const char *name)
{
    const char *id = get_header(c, name);

    return id != NULL && strlen(id) < BB_RUN_ID_BYTES &&
                   strpbrk(id, "\"\\") == NULL
               ? id
               : "-";
}

/* Runs a request in a slot and responds to it. */
static enum MHD_Result
run_request(struct call *c)
{
    struct bb_upstream_sim *u = c->upstream;
    const char *id = get_header(c, BB_HEADER_CALL_ID);
    uint64_t deadline_ms = get_number_header(c, "Baobab-Deadline-Ms", 0);
    uint64_t deadline_us =
        c->start_us + (deadline_ms > 0 ? deadline_ms * BB_US_PER_MS
                                       : (uint64_t)DEFAULT_DEADLINE_US);
    struct bb_run_nested_call nested_call = {.run = make_nested_call,
                                             .context = c};
    bool is_nested = get_header(c, BB_HEADER_CALL_PATH) != NULL;
    enum bb_run_outcome outcome;

    if (atomic_load(&u->state) >= BB_UPSTREAM_DRAINING) {
        return respond_with_text(c, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                                 g_string_new("draining\n"), "draining");
    }
    outcome = bb_runs_execute(u->runs, get_id_header(c, "Baobab-Request-Id"),
                              get_id_header(c, BB_HEADER_CALL_ID),
                              get_number_header(c, BB_HEADER_WORK_US, 0),
                              deadline_us, is_nested ? &nested_call : NULL);
    if (bb_behaviour_draw_bool(
            &u->behaviour,
            bb_behaviour_get_values(&u->behaviour).silent_permille)) {
        bb_clock_sleep_us(SILENT_DELAY_US);
    }
    switch (outcome) {
    case BB_RUN_DONE:
        break;
    case BB_RUN_REFUSED:
        return respond_with_text(c, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                                 g_string_new("shedding\n"), "shedding");
    case BB_RUN_NOT_STARTED:
        return respond_with_text(c, MHD_HTTP_SERVICE_UNAVAILABLE, "text/plain",
                                 g_string_new("deadline\n"), "deadline");
    case BB_RUN_CANCELLED:
    case BB_RUN_DEADLINE:
        return respond_with_text(c, MHD_HTTP_GATEWAY_TIMEOUT, "text/plain",
                                 g_string_new("not finished\n"), NULL);
    }
    if (c->has_nested_call_failed) {
        return respond_with_text(c, MHD_HTTP_BAD_GATEWAY, "text/plain",
                                 g_string_new("nested call failed\n"), NULL);
    }
    return respond_with_result(c, id != NULL ? id : "");
}

/* Responds to POST /v1/behaviour: applies the changes in the body. */
static enum MHD_Result
change_behaviour(struct call *c)
{
    struct bb_error e = {0};
    json_t *changes =
        json_loadb(c->admin_body->str, c->admin_body->len, 0, NULL);
    bool is_applied = bb_behaviour_apply(&c->upstream->behaviour, changes, &e);
    GString *text = g_string_new(is_applied ? "applied" : e.message);

    json_decref(changes);
    g_string_append_c(text, '\n');
    return respond_with_text(c,
                             is_applied ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
                             "text/plain", text, NULL);
}

/* Responds to requests under /v1/, which control the upstream itself. */
static enum MHD_Result
respond_to_admin(struct call *c, const char *url, const char *method)
{
    struct bb_upstream_sim *u = c->upstream;
    GString *text = g_string_new(NULL);
    uint32_t running;
    uint32_t queued;

    if (strcmp(url, "/v1/load") == 0) {
        bb_runs_get_reported_load(u->runs, &running, &queued);
        g_string_printf(text, "{\"busy\":%u,\"waiting\":%u}\n", running,
                        queued);
    }
    else if (strcmp(url, "/v1/ran") == 0 && strcmp(method, "DELETE") == 0) {
        bb_runs_clear_history(u->runs);
    }
    else if (strcmp(url, "/v1/ran") == 0) {
        bb_runs_write_history(u->runs, text);
    }
    else if (strcmp(url, "/v1/cancel") == 0 && strcmp(method, "POST") == 0) {
        const char *id = MHD_lookup_connection_value(
            c->connection, MHD_GET_ARGUMENT_KIND, "id");
        bool is_found = id != NULL && bb_runs_cancel(u->runs, id);

        g_string_printf(text, "{\"cancelled\":%s}\n",
                        is_found ? "true" : "false");
    }
    else if (strcmp(url, "/v1/behaviour") == 0 &&
             strcmp(method, "POST") == 0) {
        (void)g_string_free(text, TRUE);
        return change_behaviour(c);
    }
    else if (strcmp(url, "/v1/behaviour") == 0) {
        json_t *values = bb_behaviour_to_json(&u->behaviour);
        char *dump = json_dumps(values, JSON_COMPACT);

        g_string_printf(text, "%s\n", dump);
        free(dump);
        json_decref(values);
    }
    else {
        g_string_assign(text, "no such resource\n");
        return respond_with_text(c, MHD_HTTP_NOT_FOUND, "text/plain", text,
                                 NULL);
    }
    return respond_with_text(c, MHD_HTTP_OK, "application/json", text, NULL);
}

/* Creates the state of a request whose headers have arrived. */
static struct call *
create_call(struct bb_upstream_sim *u, struct MHD_Connection *connection,
            const char *url)
{
    struct call *c = g_new0(struct call, 1);

    c->upstream = u;
    c->connection = connection;
    c->start_us = bb_clock_now_us();
    if (g_str_has_prefix(url, "/v1/")) {
        c->admin_body = g_string_new(NULL);
    }
    else {
        c->hash = XXH64_createState();
        (void)XXH64_reset(c->hash, 0);
    }
    return c;
}

/* Callback of libmicrohttpd for a request: for its headers (no state yet), for
 * each part of its body, and at its end (*size is 0). */
static enum MHD_Result
on_request(void *context, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    struct call *c = *state;

    (void)version;
    if (c == NULL) {
        *state = create_call(context, connection, url);
        return MHD_YES;
    }
    if (*size > 0) {
        if (c->admin_body == NULL) {
            (void)XXH64_update(c->hash, data, *size);
        }
        else if (c->admin_body->len + *size > ADMIN_BODY_MAX_BYTES) {
            return MHD_NO;
        }
        else {
            g_string_append_len(c->admin_body, data, (gssize)*size);
        }
        c->body_bytes += *size;
        *size = 0;
        return MHD_YES;
    }
    return c->admin_body != NULL ? respond_to_admin(c, url, method)
                                 : run_request(c);
}

/* Callback of libmicrohttpd at the end of a request: frees its state. */
static void
on_completed(void *context, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct call *c = *state;

    (void)context;
    (void)connection;
    (void)code;
    if (c == NULL) {
        return;
    }
    if (c->admin_body != NULL) {
        (void)g_string_free(c->admin_body, TRUE);
    }
    (void)XXH64_freeState(c->hash);
    g_free(c);
    *state = NULL;
}

/* Starts the HTTP server. Replaces a listen port of 0 with the assigned one.
 * The caller stops it with MHD_stop_daemon. Returns NULL with an error if it
 * cannot listen on the address. */
struct MHD_Daemon *
bb_upstream_sim_start_server(struct bb_upstream_sim *u, struct bb_error *e)
{
    struct sockaddr_storage address;
    const union MHD_DaemonInfo *info;
    struct MHD_Daemon *d;
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION |
                     MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                     MHD_USE_ITC;

    (void)bb_address_to_sockaddr(&u->listen_address, &address);
    if (address.ss_family == AF_INET6) {
        flags |= MHD_USE_IPv6;
    }
    d = MHD_start_daemon(
        flags, u->listen_address.port, NULL, NULL, on_request, u,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)bb_behaviour_get_values(&u->behaviour).connections,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_POOL_BYTES,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK_BYTES,
        MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)u->idle_timeout_s,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (d == NULL) {
        char text[BB_ADDRESS_TEXT_BYTES];

        bb_error_set(e, 1, "cannot listen on %s",
                     bb_address_format(&u->listen_address, text));
        return NULL;
    }
    info = MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT);
    if (info != NULL && u->listen_address.port == 0) {
        u->listen_address.port = info->port;
    }
    return d;
}
