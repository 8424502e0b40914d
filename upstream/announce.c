/* Requests of the upstream to its node: announcements and nested calls. */
#include <inttypes.h>
#include <jansson.h>
#include <ne_request.h>
#include <ne_session.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "upstream/server.h"

enum { CONNECT_TIMEOUT_S = 1, READ_TIMEOUT_S = 2, STATUS_CLASS_OK = 2 };

/* Creates a session with a node. The host is a literal address, so that neon
 * needs no resolver. */
static ne_session *
create_session(const struct bb_address *a, int read_timeout_s)
{
    bool is_v6 = strchr(a->ip, ':') != NULL;
    char host[INET6_ADDRSTRLEN + 2];
    ne_session *s;

    (void)g_snprintf(host, sizeof(host), is_v6 ? "[%s]" : "%s", a->ip);
    s = ne_session_create("http", host, a->port);
    ne_set_connect_timeout(s, CONNECT_TIMEOUT_S);
    ne_set_read_timeout(s, read_timeout_s);
    ne_set_session_flag(s, NE_SESSFLAG_PERSIST, 0);
    return s;
}

/* Returns the name of a state in announcements. */
static const char *
state_name(uint32_t state)
{
    switch ((enum bb_upstream_state)state) {
    case BB_UPSTREAM_STARTING:
        return "starting";
    case BB_UPSTREAM_READY:
        return "ready";
    case BB_UPSTREAM_DRAINING:
        return "draining";
    case BB_UPSTREAM_NONE:
    case BB_UPSTREAM_LEAVING:
        break;
    }
    return "leaving";
}

/* Announces the current state to the node once. Logs the first failure after a
 * success and the first success after a failure. */
void
bb_upstream_sim_send_announcement(struct bb_upstream_sim *u)
{
    static bool has_failed;
    struct bb_behaviour_values v = bb_behaviour_get_values(&u->behaviour);
    char text[BB_ADDRESS_TEXT_BYTES];
    json_t *body = json_pack(
        "{s:s,s:s,s:I,s:I,s:s,s:I}", "service", u->service, "address",
        bb_address_format(&u->listen_address, text), "slots",
        (json_int_t)v.slots, "connections", (json_int_t)v.connections, "state",
        state_name(atomic_load(&u->state)), "lifetime_ms",
        (json_int_t)u->lifetime_ms);
    char *dump = json_dumps(body, JSON_COMPACT);
    ne_session *s = create_session(&u->announce_address, READ_TIMEOUT_S);
    ne_request *r = ne_request_create(s, "PUT", "/v1/upstream");
    bool is_ok;

    ne_add_request_header(r, "Content-Type", "application/json");
    ne_set_request_body_buffer(r, dump, strlen(dump));
    is_ok = ne_request_dispatch(r) == NE_OK &&
            ne_get_status(r)->klass == STATUS_CLASS_OK;
    if (!is_ok && !has_failed) {
        bb_log_warning("upstream.announce", "cannot announce to the node: %s",
                       ne_get_error(s));
    }
    else if (is_ok && has_failed) {
        bb_log_info("upstream.announce",
                    "announcements to the node succeed again");
    }
    has_failed = !is_ok;
    ne_request_destroy(r);
    ne_session_destroy(s);
    free(dump);
    json_decref(body);
}

/* Calls the first path of a list "/a;/b;/c" through the node, with the rest of
 * the list in X-Call-Path. fields holds field_count pairs of header name and
 * value. The deadline of the call is deadline_us. Returns true on a complete
 * response with status 2xx. The timeout of each read is the time that is left
 * at the start of the call, rounded up to whole seconds. */
bool
bb_upstream_sim_make_nested_call(const struct bb_upstream_sim *u,
                                 const char *paths, const char *const *fields,
                                 size_t field_count, uint64_t deadline_us)
{
    const char *rest = strchr(paths, ';');
    char *path = rest != NULL ? g_strndup(paths, (gsize)(rest - paths))
                              : g_strdup(paths);
    uint64_t now_us = bb_clock_now_us();
    uint64_t remaining_ms =
        deadline_us > now_us ? (deadline_us - now_us) / BB_US_PER_MS : 0;
    ne_session *s =
        create_session(&u->node_address,
                       (int)(remaining_ms * BB_US_PER_MS / BB_US_PER_S) + 1);
    ne_request *r = ne_request_create(s, "GET", path);
    bool is_ok;

    for (size_t i = 0; i < field_count; i++) {
        ne_add_request_header(r, fields[2 * i], fields[2 * i + 1]);
    }
    if (rest != NULL && rest[1] != '\0') {
        ne_add_request_header(r, BB_HEADER_CALL_PATH, rest + 1);
    }
    ne_print_request_header(r, "Baobab-Deadline-Ms", "%" PRIu64, remaining_ms);
    is_ok = u->node_address.port != 0 && remaining_ms > 0 &&
            ne_request_dispatch(r) == NE_OK &&
            ne_get_status(r)->klass == STATUS_CLASS_OK;
    ne_request_destroy(r);
    ne_session_destroy(s);
    g_free(path);
    return is_ok;
}
