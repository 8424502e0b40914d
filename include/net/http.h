/* Heads of HTTP/1.1 messages, and an incremental parser that reads one message
 * at a time from a byte stream. */
#ifndef BB_NET_HTTP_H
#define BB_NET_HTTP_H

#include <glib.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    /* Size of the array of fields; a head may have at most one field less. */
    BB_HTTP_FIELDS_MAX = 128,
    BB_HTTP_HEAD_MAX_BYTES = 64 * 1024,
    /* "HTTP/1.1 200" and the byte after it. */
    BB_HTTP_STATUS_LINE_BYTES = 13
};

/* A header field: offsets of NUL-terminated texts in bb_http_head.text. */
struct bb_http_field {
    uint32_t name_offset;
    uint32_t value_offset;
};

/* The head of a message. */
struct bb_http_head {
    GString *text;          /* NUL-terminated texts, one behind the other */
    uint32_t target_offset; /* offset of the request target */
    uint16_t status;        /* of a response */
    uint8_t method;         /* of a request: enum http_method */
    uint8_t field_count;
    bool has_content_length;
    bool is_chunked;
    bool is_keep_alive;      /* the connection persists after the message */
    uint64_t content_length; /* Content-Length, if has_content_length; of a
                                response at most INT64_MAX */
    struct bb_http_field fields[BB_HTTP_FIELDS_MAX];
};

enum bb_http_reader_state {
    BB_HTTP_READER_HEAD, /* between messages or inside a head */
    BB_HTTP_READER_BODY,
    BB_HTTP_READER_DONE,  /* a complete message; bb_http_reader_start_next
                             starts the next */
    BB_HTTP_READER_FAILED /* malformed or refused */
};

/* Why a reader failed. */
enum bb_http_reader_error {
    BB_HTTP_READER_ERROR_NONE,
    BB_HTTP_READER_ERROR_MALFORMED, /* also too large, or refused by the head
                                       event */
    BB_HTTP_READER_ERROR_STATUS     /* no valid status: bb_http_status_kind */
};

/* What a status says of a response. */
enum bb_http_status_kind {
    BB_HTTP_STATUS_INFORMATIONAL, /* the final response follows */
    BB_HTTP_STATUS_FINAL,
    BB_HTTP_STATUS_INVALID
};

struct bb_http_reader_events {
    /* bb_http_reader.head is complete. Returns false to refuse the message,
     * which fails the reader. */
    bool (*head)(void *context);
    /* A piece of the body, with chunked coding removed. */
    void (*body)(void *context, const char *data, size_t size_bytes);
};

struct bb_http_reader {
    http_parser parser;
    enum bb_http_reader_state state;
    enum bb_http_reader_error error; /* if the state is FAILED */
    struct bb_http_head head;
    const struct bb_http_reader_events *events;
    void *context;
    size_t head_bytes;       /* of the current head's texts so far */
    size_t head_limit_bytes; /* 0: BB_HTTP_HEAD_MAX_BYTES */
    uint32_t name_offset;    /* of the name of the field being read */
    uint32_t value_offset;   /* of its value */
    uint32_t text_used;      /* unused */
    bool has_started;        /* a byte of the message has arrived */
    bool is_in_value;        /* inside a field's value */
    bool is_oversized;       /* the head is too long or has too many fields */
    bool is_head_response;   /* response to HEAD, without a body */
    bool is_eof_framed;      /* the body ends with the connection */
    bool is_bodyless;        /* a response that has no body, whatever length
                                it states */
    /* Start of the response's status line, without empty lines before it. */
    char status_line[BB_HTTP_STATUS_LINE_BYTES];
    uint8_t status_line_bytes;
};

void bb_http_reader_init(struct bb_http_reader *r, enum http_parser_type type,
                         const struct bb_http_reader_events *events,
                         void *context);
void bb_http_reader_clear(struct bb_http_reader *r);
void bb_http_reader_start_next(struct bb_http_reader *r);
size_t bb_http_reader_feed(struct bb_http_reader *r, const char *data,
                           size_t size_bytes);
bool bb_http_reader_finish(struct bb_http_reader *r);

const char *bb_http_head_target(const struct bb_http_head *h);
const char *bb_http_head_get(const struct bb_http_head *h, const char *name);
bool bb_http_head_get_u64(const struct bb_http_head *h, const char *name,
                          uint64_t *value);
bool bb_http_head_is_hop_by_hop(const struct bb_http_head *h,
                                const char *name);
enum bb_http_status_kind bb_http_status_kind(uint32_t status);
const char *bb_http_reason_phrase(uint32_t status);

#endif
