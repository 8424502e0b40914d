/* Header fields of a message in transit: which are passed on, and which
 * requests are refused because two parsers could read them differently. */
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

#define BB_HEADER_ID "Baobab-Request-Id"
#define BB_HEADER_DEADLINE "Baobab-Deadline-Ms"
#define BB_HEADER_DEPTH "Baobab-Depth"
#define BB_HEADER_CLASS "Baobab-Class"
#define BB_HEADER_ATTEMPT "Baobab-Attempt"
#define BB_HEADER_REVISION "Baobab-Revision"
#define BB_HEADER_FORWARDED "Baobab-Forwarded"
#define BB_HEADER_LOAD "Baobab-Load"
#define BB_HEADER_INCARNATION "Baobab-Incarnation"
#define BB_HEADER_REFUSED "Baobab-Refused"
#define BB_HEADER_RAN "Baobab-Ran"
#define BB_HEADER_KEY "Idempotency-Key"

struct bb_header {
    char *name;
    char *value;
};

/* A list of fields in their order. */
struct bb_headers {
    GArray *items; /* of struct bb_header */
    uint64_t size_bytes;
};

/* What the fields of a request say about its body. */
struct bb_framing {
    int64_t length_bytes; /* BB_LENGTH_CHUNKED, or the exact length */
    bool is_bad;
    const char *fault; /* for the log and the answer */
};

struct bb_headers *bb_headers_create(void);
void bb_headers_destroy(struct bb_headers *h);
void bb_headers_add(struct bb_headers *h, const char *name, const char *value);
void bb_headers_addf(struct bb_headers *h, const char *name,
                     const char *format, ...)
    __attribute__((format(printf, 3, 4)));
const char *bb_headers_get(const struct bb_headers *h, const char *name);
bool bb_headers_get_u64(const struct bb_headers *h, const char *name,
                        uint64_t *value);
struct bb_framing bb_headers_framing(const struct bb_headers *h);
bool bb_url_is_valid(const char *url);
void bb_headers_copy_end_to_end(const struct bb_headers *from,
                                struct bb_headers *to);

#endif
