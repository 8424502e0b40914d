/* Header fields of a message: which of them are forwarded, and which requests
 * are refused because two parsers could interpret them differently. */
#ifndef BB_PROXY_HEADERS_H
#define BB_PROXY_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
    BB_HEADERS_MAX_BYTES = 32 * 1024,
    BB_URL_MAX_BYTES = 8 * 1024,
    BB_LENGTH_CHUNKED = -1
};

/* Fields of requests. The entry node sends them to a gatekeeper, and the
 * gatekeeper sends ID, DEADLINE and DEPTH to the upstream. Callers may send
 * DEADLINE and DEPTH, and KEY, which is forwarded like their other fields. */
#define BB_HEADER_ID "Baobab-Request-Id"        /* 32 hexadecimal digits */
#define BB_HEADER_DEADLINE "Baobab-Deadline-Ms" /* remaining time in ms */
#define BB_HEADER_DEPTH "Baobab-Depth"          /* nesting depth, from 0 */
#define BB_HEADER_KEY "Idempotency-Key"
#define BB_HEADER_CLASS "Baobab-Class" /* short or long */
/* Number of the attempt from 1, or `stored` to fetch the stored response. */
#define BB_HEADER_ATTEMPT "Baobab-Attempt"
/* Present if the request may be refused because the upstream is slow. */
#define BB_HEADER_ELSEWHERE "Baobab-Elsewhere"
/* Revision of the entry node's configuration. */
#define BB_HEADER_REVISION "Baobab-Revision"
#define BB_HEADER_FORWARDED "Baobab-Forwarded" /* name of the service */

/* In a forwarded request that must not run twice, the expected incarnation of
 * the gatekeeper; in the response to a forwarded request, its incarnation. */
#define BB_HEADER_INCARNATION "Baobab-Incarnation"

/* Fields of responses. ID is sent too; LOAD only to other nodes, REFUSED and
 * RAN only with refusals. */
#define BB_HEADER_LOAD "Baobab-Load"       /* running, queued, usable slots */
#define BB_HEADER_REFUSED "Baobab-Refused" /* name of enum bb_reason */
#define BB_HEADER_RAN "Baobab-Ran"         /* no or unknown */

/* In responses of the upstream with status 503: why it refused the request;
 * see bb_http_call_upstream_refusal. */
#define BB_HEADER_UPSTREAM_REFUSED "X-Upstream-Refused"

/* A field. The texts belong to the list and are valid until it changes. */
struct bb_header {
    const char *name;
    const char *value;
};

/* An ordered list of fields. All texts share one buffer, because an allocation
 * for each would take most of the time of a call through the node. */
struct bb_headers {
    char *text;
    uint32_t text_bytes;
    uint32_t text_capacity;
    uint32_t *offsets; /* two for each field: name and value */
    uint32_t field_count;
    uint32_t field_capacity;
};

typedef void (*bb_header_visitor)(void *context, const struct bb_header *h);

/* How the body of a request is delimited. */
struct bb_framing {
    int64_t length_bytes; /* BB_LENGTH_CHUNKED, or the exact length */
    bool is_invalid;
    const char *fault; /* NULL if valid, otherwise a description for people */
};

struct bb_headers *bb_headers_create(void);
void bb_headers_destroy(struct bb_headers *h);
void bb_headers_add(struct bb_headers *h, const char *name, const char *value);
void bb_headers_addf(struct bb_headers *h, const char *name,
                     const char *format, ...)
    __attribute__((format(printf, 3, 4)));
struct bb_header bb_headers_at(const struct bb_headers *h, uint32_t index);
const char *bb_headers_get(const struct bb_headers *h, const char *name);
bool bb_headers_get_u64(const struct bb_headers *h, const char *name,
                        uint64_t *value);
struct bb_framing bb_headers_parse_framing(const struct bb_headers *h);
bool bb_url_is_valid(const char *url);
void bb_headers_visit_end_to_end(const struct bb_headers *h,
                                 bb_header_visitor visit, void *context);
void bb_headers_copy_end_to_end(const struct bb_headers *from,
                                struct bb_headers *to);

#endif
