/* Parsing of a request's head: validation, route, deadline, call depth and
 * request id. */
#include <inttypes.h>
#include <string.h>

#include "common/clock.h"
#include "common/digest.h"
#include "decide/retry.h"
#include "proxy/internal.h"

static const struct {
    const char *name;
    uint32_t bit;
} methods[] = {
    {"GET", BB_METHOD_GET},         {"HEAD", BB_METHOD_HEAD},
    {"POST", BB_METHOD_POST},       {"PUT", BB_METHOD_PUT},
    {"DELETE", BB_METHOD_DELETE},   {"PATCH", BB_METHOD_PATCH},
    {"OPTIONS", BB_METHOD_OPTIONS},
};

enum {
    /* Methods that RFC 9110 calls safe are idempotent on every route. */
    SAFE_METHODS = BB_METHOD_GET | BB_METHOD_HEAD | BB_METHOD_OPTIONS,
    /* Limit for forwarded requests, whose route is unknown here. Also used if
     * they have no Baobab-Deadline-Ms. */
    FORWARDED_DEADLINE_MAX_MS = 60000
};

/* Returns the bb_method bit of a method, or 0 if it is not supported. */
static uint32_t
parse_method(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return methods[i].bit;
        }
    }
    return 0;
}

/* Returns the host key, a hash that identifies a host in routing and claims.
 * Must be the same as bb_roster_host_key, which returns the host keys in
 * rosters. */
uint64_t
bb_host_key(const char *host)
{
    return bb_hash64(host, strlen(host), 0);
}

/* Formats an id as lowercase hexadecimal digits. Returns text. */
const char *
bb_id_format(const struct bb_request_id *id, char text[BB_ID_TEXT_BYTES])
{
    static const char digits[] = "0123456789abcdef";

    for (size_t i = 0; i < BB_REQUEST_ID_BYTES; i++) {
        text[2 * i] = digits[id->bytes[i] >> 4];
        text[2 * i + 1] = digits[id->bytes[i] & 0xf];
    }
    text[BB_ID_TEXT_BYTES - 1] = '\0';
    return text;
}

/* Parses an id of exactly 32 hexadecimal digits. Returns false if text is NULL
 * or malformed. */
bool
bb_id_parse(const char *text, struct bb_request_id *id)
{
    if (text == NULL || strlen(text) != BB_ID_TEXT_BYTES - 1) {
        return false;
    }
    for (size_t i = 0; i < BB_REQUEST_ID_BYTES; i++) {
        int high = g_ascii_xdigit_value(text[2 * i]);
        int low = g_ascii_xdigit_value(text[2 * i + 1]);

        if (high < 0 || low < 0) {
            return false;
        }
        id->bytes[i] = (uint8_t)(high << 4 | low);
    }
    return true;
}

/* Copies a field from the HTTP library; stops at BB_HEADERS_MAX_BYTES. */
static enum MHD_Result
copy_header(void *context, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    struct bb_headers *h = context;

    (void)kind;
    bb_headers_add(h, name, value);
    return h->text_bytes <= BB_HEADERS_MAX_BYTES ? MHD_YES : MHD_NO;
}

/* Validates method, target and framing, independently of the routing table. On
 * failure sets a refusal and returns false. */
static bool
check_syntax(struct bb_exchange *x, uint32_t bit)
{
    struct bb_framing f;

    (void)MHD_get_connection_values(x->connection, MHD_HEADER_KIND,
                                    copy_header, x->headers);
    f = bb_headers_parse_framing(x->headers);
    x->length_bytes = f.length_bytes;
    if (f.is_invalid || bit == 0 || !bb_url_is_valid(x->url)) {
        bb_exchange_refuse(x, BB_REASON_BAD_REQUEST, BB_RAN_NO);
        return false;
    }
    return true;
}

/* Parses the fields of a request forwarded by another node. On failure sets a
 * refusal and returns false. */
static bool
parse_forwarded_fields(struct bb_exchange *x)
{
    const char *work_class = bb_headers_get(x->headers, BB_HEADER_CLASS);
    const char *attempt = bb_headers_get(x->headers, BB_HEADER_ATTEMPT);
    uint64_t depth = 0;

    if (!bb_id_parse(bb_headers_get(x->headers, BB_HEADER_ID), &x->id) ||
        !bb_headers_get_u64(x->headers, BB_HEADER_DEPTH, &depth) ||
        depth > BB_CALL_DEPTH_MAX) {
        bb_exchange_refuse(x, BB_REASON_BAD_REQUEST, BB_RAN_NO);
        return false;
    }
    x->depth = (uint32_t)depth;
    x->work_class = g_strcmp0(work_class, "long") == 0
                        ? BB_ADMISSION_CLASS_LONG
                        : BB_ADMISSION_CLASS_SHORT;
    /* Only requests that must not run twice carry an incarnation. */
    x->is_idempotent = !bb_headers_get_u64(x->headers, BB_HEADER_INCARNATION,
                                           &x->incarnation);
    x->wants_stored_response = g_strcmp0(attempt, "stored") == 0;
    x->may_refuse_as_slow =
        bb_headers_get(x->headers, BB_HEADER_ELSEWHERE) != NULL;
    x->service_name = bb_headers_get(x->headers, BB_HEADER_FORWARDED);
    return true;
}

/* Sets the request id, and the idempotency key if the caller sent one and the
 * request is not idempotent. */
static void
assign_id(struct bb_exchange *x)
{
    const char *key = bb_headers_get(x->headers, BB_HEADER_KEY);

    x->is_keyed = key != NULL && !x->is_idempotent;
    if (x->is_keyed) {
        x->idempotency_key = bb_request_id_from_key(x->service_name, key);
    }
    x->id = bb_request_id_from_bits(bb_random_u64(x->proxy->random),
                                    bb_random_u64(x->proxy->random));
}

/* Finds the route of a caller's request. On failure sets a refusal and returns
 * false. */
static bool
find_route(struct bb_exchange *x, uint32_t bit)
{
    uint64_t depth = 0;
    bool is_nested = bb_headers_get_u64(x->headers, BB_HEADER_DEPTH, &depth);

    if (x->table == NULL) {
        bb_exchange_refuse(x, BB_REASON_NO_CONFIGURATION, BB_RAN_NO);
        return false;
    }
    x->route = bb_table_find_route(x->table, x->url, bit);
    if (x->route == NULL) {
        bb_exchange_refuse(x, BB_REASON_NO_ROUTE, BB_RAN_NO);
        return false;
    }
    if (is_nested &&
        !bb_call_depth_next((uint32_t)MIN(depth, UINT32_MAX),
                            x->table->limits.max_depth, &x->depth)) {
        bb_exchange_refuse(x, BB_REASON_DEPTH_LIMIT, BB_RAN_NO);
        return false;
    }
    x->service = &x->table->services[x->route->service];
    x->service_name = x->service->settings.name;
    x->work_class = (enum bb_admission_class)x->route->work_class;
    x->is_idempotent = x->route->is_idempotent || (bit & SAFE_METHODS) != 0;
    assign_id(x);
    return true;
}

/* Sets the deadline to the earlier of the route's timeout, or
 * FORWARDED_DEADLINE_MAX_MS for a forwarded request, and the request's
 * Baobab-Deadline-Ms. If that field is 0, absent or malformed, it sets no
 * limit. */
static void
set_deadline(struct bb_exchange *x)
{
    uint64_t remaining_ms = 0;
    uint64_t limit_ms = x->route != NULL ? x->route->timeout_ms
                                         : (uint64_t)FORWARDED_DEADLINE_MAX_MS;

    (void)bb_headers_get_u64(x->headers, BB_HEADER_DEADLINE, &remaining_ms);
    x->deadline_us =
        bb_deadline_from_remaining(MIN(remaining_ms, limit_ms) * BB_US_PER_MS,
                                   limit_ms * BB_US_PER_MS, x->start_us);
}

/* Parses and checks the head. Afterwards the outcome is a refusal or the
 * request can be run. A draining node refuses new requests of callers and
 * forwarded ones, but accepts nested calls, which requests in flight need, and
 * fetches of stored responses. */
void
bb_request_parse_head(struct bb_exchange *x, const char *method)
{
    uint32_t bit = parse_method(method);

    x->method = g_strdup(method);
    if (!check_syntax(x, bit)) {
        return;
    }
    x->is_forwarded = bb_headers_get(x->headers, BB_HEADER_FORWARDED) != NULL;
    if (x->is_forwarded ? !parse_forwarded_fields(x) : !find_route(x, bit)) {
        return;
    }
    (void)bb_id_format(&x->id, x->id_text);
    set_deadline(x);
    if (atomic_load(&x->proxy->is_draining) &&
        (x->is_forwarded ? !x->wants_stored_response : x->depth == 0)) {
        bb_exchange_refuse(x, BB_REASON_SHUTTING_DOWN, BB_RAN_NO);
        return;
    }
    if (x->table != NULL && x->table->limits.max_body_bytes > 0 &&
        x->length_bytes > 0 &&
        (uint64_t)x->length_bytes > x->table->limits.max_body_bytes) {
        bb_exchange_refuse(x, BB_REASON_TOO_LARGE, BB_RAN_NO);
    }
}
