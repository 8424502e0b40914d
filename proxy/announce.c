/* PUT /v1/upstream on the local address: announcements of the upstream. */
#include <jansson.h>
#include <string.h>

#include "common/log.h"
#include "proxy/internal.h"

enum {
    BODY_MAX_BYTES = 4096,
    LIFETIME_MAX_MS = 600 * 1000,
    COUNT_MAX = 1000000 /* of slots and of connections */
};

/* A request at the local address. */
struct bb_local_request {
    GString *body;
};

static const char *const state_names[] = {
    [BB_UPSTREAM_STARTING] = "starting",
    [BB_UPSTREAM_READY] = "ready",
    [BB_UPSTREAM_DRAINING] = "draining",
    [BB_UPSTREAM_LEAVING] = "leaving",
};

/* Parses the name of a state. Returns false if it is unknown. */
static bool
parse_state(const char *name, enum bb_upstream_state *state)
{
    for (int i = BB_UPSTREAM_STARTING; i <= BB_UPSTREAM_LEAVING; i++) {
        if (name != NULL && strcmp(state_names[i], name) == 0) {
            *state = (enum bb_upstream_state)i;
            return true;
        }
    }
    return false;
}

/* Parses an integer member from 1 to max. Returns false if it is missing or
 * out of range. */
static bool
parse_number(const json_t *object, const char *key, json_int_t max,
             uint32_t *out)
{
    const json_t *value = json_object_get(object, key);

    if (!json_is_integer(value) || json_integer_value(value) < 1 ||
        json_integer_value(value) > max) {
        return false;
    }
    *out = (uint32_t)json_integer_value(value);
    return true;
}

/* Parses an announcement. Returns false unless every member is present and
 * valid. */
static bool
parse_announcement(const GString *body, struct bb_upstream_announcement *a)
{
    json_t *object =
        json_loadb(body->str, body->len, JSON_REJECT_DUPLICATES, NULL);
    const char *service =
        json_string_value(json_object_get(object, "service"));
    const char *address =
        json_string_value(json_object_get(object, "address"));
    const char *state = json_string_value(json_object_get(object, "state"));
    bool is_ok =
        service != NULL && service[0] != '\0' &&
        g_strlcpy(a->service, service, sizeof(a->service)) <
            sizeof(a->service) &&
        address != NULL && bb_address_parse(address, &a->address) &&
        parse_state(state, &a->state) &&
        parse_number(object, "slots", COUNT_MAX, &a->slots) &&
        parse_number(object, "connections", COUNT_MAX, &a->connections) &&
        parse_number(object, "lifetime_ms", LIFETIME_MAX_MS, &a->lifetime_ms);

    json_decref(object);
    return is_ok;
}

/* Queues a plain text response. */
static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned status, const char *text)
{
    struct MHD_Response *r = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result = MHD_queue_response(connection, status, r);

    MHD_destroy_response(r);
    return result;
}

/* Applies a complete announcement. */
static enum MHD_Result
apply_announcement(struct bb_proxy *p, struct MHD_Connection *connection,
                   const struct bb_local_request *l)
{
    struct bb_upstream_announcement a = {0};
    struct bb_table *t;

    if (!parse_announcement(l->body, &a)) {
        return respond(connection, MHD_HTTP_BAD_REQUEST,
                       "needs service, address, slots, connections, state and "
                       "lifetime_ms\n");
    }
    bb_gatekeeper_set_announcement(p->gatekeeper, &a);
    t = bb_current_table_get(p->current_table);
    if (t != NULL) {
        bb_gatekeeper_configure(p->gatekeeper, t);
        bb_table_unref(t);
    }
    return respond(connection, MHD_HTTP_OK, "noted\n");
}

/* Processes one callback of the HTTP library for a request at the local
 * address. Returns MHD_NO to close the connection, which is done if the body
 * exceeds BODY_MAX_BYTES. */
enum MHD_Result
bb_local_process(struct bb_proxy *p, struct MHD_Connection *connection,
                 const char *url, const char *method, const char *data,
                 size_t *size, void **state)
{
    struct bb_local_request *l = *state;

    if (l == NULL) {
        l = g_new0(struct bb_local_request, 1);
        l->body = g_string_new(NULL);
        *state = l;
        return MHD_YES;
    }
    if (*size > 0) {
        if (l->body->len + *size > BODY_MAX_BYTES) {
            return MHD_NO;
        }
        g_string_append_len(l->body, data, (gssize)*size);
        *size = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/v1/upstream") != 0) {
        return respond(connection, MHD_HTTP_NOT_FOUND, "no such resource\n");
    }
    if (strcmp(method, "PUT") != 0) {
        return respond(connection, MHD_HTTP_METHOD_NOT_ALLOWED, "use PUT\n");
    }
    return apply_announcement(p, connection, l);
}

/* Frees the state of a request at the local address. */
void
bb_local_request_destroy(void **state)
{
    struct bb_local_request *l = *state;

    if (l != NULL) {
        (void)g_string_free(l->body, TRUE);
        g_free(l);
        *state = NULL;
    }
}
