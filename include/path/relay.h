/* Passes an answer from a fetch on to an exchange: collects it until it is
 * complete, so that a broken one can still be replaced, and streams it once
 * it is longer than that. */
#ifndef BB_PATH_RELAY_H
#define BB_PATH_RELAY_H

#include "net/fetch.h"
#include "net/http_server.h"

enum { BB_RELAY_COLLECT_BYTES = 64 * 1024 };

struct bb_relay {
    uint32_t status;
    GString *fields; /* of the answer, each ended by CRLF */
    GString *body;
    int64_t length_bytes; /* stated by the upstream, or -1 */
    bool is_headless;     /* answer to HEAD */
    bool is_streaming;
};

void bb_relay_init(struct bb_relay *r);
void bb_relay_clear(struct bb_relay *r);
void bb_relay_reset(struct bb_relay *r);
void bb_relay_take_head(struct bb_relay *r, const struct bb_head *h,
                        bool is_headless);
bool bb_relay_take_body(struct bb_relay *r, struct bb_exchange *x,
                        const char *data, size_t size_bytes);
void bb_relay_finish(struct bb_relay *r, struct bb_exchange *x);

/* Copies the fields of a message that concern both ends, without those that
 * begin with Baobab-, which are ours, and those in `without`. */
void bb_forward_fields(const struct bb_head *h, const char *const *without,
                       GString *out);
void bb_forward_request_line(const struct bb_head *h, GString *out);
void bb_forward_length(const struct bb_exchange *x, GString *out);
bool bb_forward_is_chunked(const struct bb_exchange *x);
void bb_forward_body(struct bb_exchange *x, struct bb_fetch *f,
                     bool is_chunked);

#endif
