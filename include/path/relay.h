/* Passes a response from a fetch on to an exchange. A response up to
 * BB_RESPONSE_RELAY_BUFFER_BYTES is buffered until it is complete, so that an
 * incomplete one can still be replaced; a longer one is streamed. While other
 * requests wait behind the exchange on its connection, which would end with a
 * broken response, the bound is BB_RESPONSE_RELAY_FOLLOWED_BYTES, unless the
 * buffers of the process are full. Functions bb_forward_ copy parts of
 * requests and responses. */
#ifndef BB_PATH_RELAY_H
#define BB_PATH_RELAY_H

#include "net/fetch.h"
#include "net/http_server.h"

enum {
    BB_RESPONSE_RELAY_BUFFER_BYTES = 64 * 1024,
    BB_RESPONSE_RELAY_FOLLOWED_BYTES = 1024 * 1024
};

struct bb_response_relay {
    uint32_t status;       /* 0: no head yet */
    GString *fields;       /* of the response, each ended by CRLF */
    GString *body;         /* buffered part */
    uint64_t body_bytes;   /* received so far */
    int64_t length_bytes;  /* Content-Length of the response, or
                              BB_HTTP_LENGTH_CHUNKED */
    bool is_head_response; /* response to a HEAD request: has no body */
    bool is_streaming;     /* the exchange has the head of the response */
};

void bb_response_relay_init(struct bb_response_relay *r);
void bb_response_relay_clear(struct bb_response_relay *r);
void bb_response_relay_reset(struct bb_response_relay *r);
void bb_response_relay_set_head(struct bb_response_relay *r,
                                const struct bb_http_head *h,
                                bool is_head_response);
bool bb_response_relay_append_body(struct bb_response_relay *r,
                                   struct bb_http_exchange *x,
                                   const char *data, size_t size_bytes);
bool bb_response_relay_is_long(const struct bb_response_relay *r);
void bb_response_relay_finish(struct bb_response_relay *r,
                              struct bb_http_exchange *x);

/* Copies the end-to-end fields of a message, except those that begin with
 * Baobab-, which are internal, and those in `excluded`, a list that ends with
 * NULL or is NULL itself. */
void bb_forward_fields(const struct bb_http_head *h,
                       const char *const *excluded, GString *out);
void bb_forward_request_line(const struct bb_http_head *h, GString *out);
void bb_forward_framing(const struct bb_http_exchange *x, GString *out);
bool bb_forward_is_chunked(const struct bb_http_exchange *x);
void bb_forward_body(struct bb_http_exchange *x, struct bb_fetch *f,
                     bool is_chunked);

#endif
