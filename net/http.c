/* HTTP/1.1 message reader, based on http_parser. */
#include "net/http.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Fields that are not forwarded: connection-specific ones (RFC 9110, 7.6.1),
 * and those that each hop sets itself. */
static const char *const hop_by_hop_fields[] = {
    "connection", "keep-alive",        "proxy-authenticate",
    "te",         "trailer",           "proxy-authorization",
    "upgrade",    "transfer-encoding", "proxy-connection",
    "expect",     "content-length",
};

/* Appends bytes to the current text of the head, or sets is_oversized if the
 * head becomes longer than its limit. */
static void
append_text(struct bb_http_reader *r, const char *data, size_t size_bytes)
{
    r->head_bytes += size_bytes;
    if (r->head_bytes > (r->head_limit_bytes != 0
                             ? r->head_limit_bytes
                             : (size_t)BB_HTTP_HEAD_MAX_BYTES)) {
        r->is_oversized = true;
        return;
    }
    g_string_append_len(r->head.text, data, (gssize)size_bytes);
}

/* Terminates the current text and returns the offset of the next one. */
static uint32_t
terminate_text(struct bb_http_reader *r)
{
    g_string_append_c(r->head.text, '\0');
    return (uint32_t)r->head.text->len;
}

/* Resets the head for the next message. */
static int
on_message_start(http_parser *p)
{
    struct bb_http_reader *r = p->data;

    r->head_bytes = 0;
    r->is_in_value = false;
    g_string_truncate(r->head.text, 0);
    r->head.field_count = 0;
    r->head.target_offset = 0;
    r->name_offset = 0;
    r->value_offset = 0;
    return 0;
}

/* Appends a part of the request target. Returns 1 if the head is too large. */
static int
on_url(http_parser *p, const char *data, size_t n)
{
    struct bb_http_reader *r = p->data;

    append_text(r, data, n);
    return r->is_oversized ? 1 : 0;
}

/* Stores the field whose value has just ended. Returns 1 and sets is_oversized
 * if there are too many fields, 0 otherwise. */
static int
store_field(struct bb_http_reader *r)
{
    struct bb_http_head *h = &r->head;

    if (h->field_count == BB_HTTP_FIELDS_MAX - 1) {
        r->is_oversized = true;
        return 1;
    }
    h->fields[h->field_count++] = (struct bb_http_field){
        .name_offset = r->name_offset, .value_offset = r->value_offset};
    r->is_in_value = false;
    r->name_offset = terminate_text(r);
    return 0;
}

/* Appends a part of a field name, and first stores the previous field if this
 * is a new one. Returns 1 if the head is too large or has too many fields. */
static int
on_field_name(http_parser *p, const char *data, size_t n)
{
    struct bb_http_reader *r = p->data;

    if (r->is_in_value && store_field(r) != 0) {
        return 1;
    }
    if (r->name_offset == 0) {
        r->name_offset = terminate_text(r); /* after the target */
    }
    append_text(r, data, n);
    return r->is_oversized ? 1 : 0;
}

/* Appends a part of a field value. Returns 1 if the head is too large. */
static int
on_field_value(http_parser *p, const char *data, size_t n)
{
    struct bb_http_reader *r = p->data;

    if (!r->is_in_value) {
        r->is_in_value = true;
        r->value_offset = terminate_text(r);
    }
    append_text(r, data, n);
    return r->is_oversized ? 1 : 0;
}

/* Returns whether a response has a length that int64_t cannot hold, the type
 * of the lengths that are sent on. Limits of the server refuse such requests.
 */
static bool
is_length_too_large(const http_parser *p, const struct bb_http_head *h)
{
    return p->type == HTTP_RESPONSE && h->has_content_length &&
           h->content_length > (uint64_t)INT64_MAX;
}

/* Returns whether another parser could read the message differently, which
 * would allow request smuggling. */
static bool
is_ambiguous(const struct bb_http_head *h)
{
    uint32_t lengths = 0;
    uint32_t hosts = 0;
    bool has_unknown_coding = false;

    for (uint32_t i = 0; i < h->field_count; i++) {
        const char *name = h->text->str + h->fields[i].name_offset;
        const char *value = h->text->str + h->fields[i].value_offset;

        lengths += strcasecmp(name, "content-length") == 0;
        hosts += strcasecmp(name, "host") == 0;
        has_unknown_coding = has_unknown_coding ||
                             (strcasecmp(name, "transfer-encoding") == 0 &&
                              strcasecmp(value, "chunked") != 0);
    }
    return has_unknown_coding || lengths > 1 || hosts > 1 ||
           (lengths == 1 && h->is_chunked);
}

/* Returns whether a response ends with its head, whatever length it states: by
 * its status (RFC 9112, 6.3) or as the response to HEAD. */
static bool
is_without_body(const struct bb_http_reader *r)
{
    uint16_t status = r->head.status;

    return r->parser.type == HTTP_RESPONSE &&
           (r->is_head_response || status < 200 || status == 204 ||
            status == 304);
}

/* Returns what a status says of a response. The only rule on statuses: those
 * from 200 to 599 are final, and the registered ones below 200 that do not
 * switch protocols are informational. Faulty upstreams were seen to send 000,
 * 199, 600 and 999 in place of a final status. */
enum bb_http_status_kind
bb_http_status_kind(uint32_t status)
{
    if (status >= 200 && status <= 599) {
        return BB_HTTP_STATUS_FINAL;
    }
    /* Continue, Processing, Early Hints, Upload Resumption Supported */
    return status == 100 || (status >= 102 && status <= 104)
               ? BB_HTTP_STATUS_INFORMATIONAL
               : BB_HTTP_STATUS_INVALID;
}

/* Stores the start of the status line, for the number of its digits, which
 * http_parser does not check. Empty lines before it are skipped, as by
 * http_parser. */
static void
store_status_line(struct bb_http_reader *r, const char *data,
                  size_t size_bytes)
{
    for (size_t i = 0;
         i < size_bytes && r->status_line_bytes < BB_HTTP_STATUS_LINE_BYTES;
         i++) {
        bool is_line_end = data[i] == '\r' || data[i] == '\n';

        if (r->status_line_bytes > 0 || !is_line_end) {
            r->status_line[r->status_line_bytes++] = data[i];
        }
    }
}

/* Returns whether the status of a response consists of three digits and is
 * final or informational. An informational response that frames a body or
 * closes the connection is meant as a final one. */
static bool
is_status_valid(const struct bb_http_reader *r)
{
    const char *line = r->status_line;
    size_t digits = strlen("HTTP/1.1 ");

    if (r->status_line_bytes < BB_HTTP_STATUS_LINE_BYTES ||
        line[digits - 1] != ' ' || strchr(" \r\n", line[digits + 3]) == NULL ||
        line[digits + 3] == '\0') {
        return false;
    }
    for (size_t i = digits; i < digits + 3; i++) {
        if (line[i] < '0' || line[i] > '9') {
            return false;
        }
    }
    switch (bb_http_status_kind(r->head.status)) {
    case BB_HTTP_STATUS_FINAL:
        return true;
    case BB_HTTP_STATUS_INFORMATIONAL:
        /* Early Hints may name fields of the final response. */
        return (r->head.status == 103 ||
                bb_http_head_get(&r->head, "Content-Length") == NULL) &&
               !r->head.is_chunked &&
               (r->parser.flags & F_CONNECTION_CLOSE) == 0;
    case BB_HTTP_STATUS_INVALID:
        break;
    }
    return false;
}

/* Completes the head and passes it to the receiver. Returns -1 to fail, or 1
 * to tell http_parser that no body follows. */
static int
on_head_end(http_parser *p)
{
    struct bb_http_reader *r = p->data;
    struct bb_http_head *h = &r->head;

    if (r->is_in_value && store_field(r) != 0) {
        return -1;
    }
    if (r->name_offset == 0) {
        r->name_offset = terminate_text(r);
    }
    h->status = (uint16_t)p->status_code;
    h->method = (uint8_t)p->method;
    h->is_chunked = (p->flags & F_CHUNKED) != 0;
    h->has_content_length =
        bb_http_head_get_u64(h, "Content-Length", &h->content_length);
    h->is_keep_alive = http_should_keep_alive(p) != 0;
    r->is_bodyless = is_without_body(r);
    r->is_eof_framed = p->type == HTTP_RESPONSE && !h->has_content_length &&
                       !h->is_chunked && !r->is_bodyless;
    if (p->type == HTTP_REQUEST && p->method != HTTP_CONNECT) {
        p->upgrade = 0; /* Upgrade may be ignored (RFC 9110, 7.8) */
    }
    if (p->type == HTTP_RESPONSE && !is_status_valid(r)) {
        r->error = BB_HTTP_READER_ERROR_STATUS;
        return -1;
    }
    if (is_ambiguous(h) || is_length_too_large(p, h) || p->upgrade != 0) {
        return -1;
    }
    r->state = BB_HTTP_READER_BODY;
    if (!r->events->head(r->context)) {
        return -1;
    }
    return r->is_bodyless ? 1 : 0;
}

/* Passes body data on as it arrives. */
static int
on_body(http_parser *p, const char *data, size_t n)
{
    struct bb_http_reader *r = p->data;

    r->events->body(r->context, data, n);
    return 0;
}

/* Pauses the parser, so that it uses no bytes of the next message. */
static int
on_message_end(http_parser *p)
{
    struct bb_http_reader *r = p->data;

    r->state = BB_HTTP_READER_DONE;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_start,
    .on_url = on_url,
    .on_header_field = on_field_name,
    .on_header_value = on_field_value,
    .on_headers_complete = on_head_end,
    .on_body = on_body,
    .on_message_complete = on_message_end,
};

/* Initialises a reader for requests or responses (HTTP_REQUEST,
 * HTTP_RESPONSE). `events` must outlive it. */
void
bb_http_reader_init(struct bb_http_reader *r, enum http_parser_type type,
                    const struct bb_http_reader_events *events, void *context)
{
    memset(r, 0, sizeof(*r));
    http_parser_init(&r->parser, type);
    r->parser.data = r;
    r->events = events;
    r->context = context;
    r->head.text = g_string_sized_new(512);
}

/* Frees what a reader holds, but not the reader. */
void
bb_http_reader_clear(struct bb_http_reader *r)
{
    if (r->head.text != NULL) {
        g_string_free(r->head.text, TRUE);
        r->head.text = NULL;
    }
}

/* Prepares the reader for the next message of the connection. */
void
bb_http_reader_start_next(struct bb_http_reader *r)
{
    enum http_parser_type type = (enum http_parser_type)r->parser.type;

    http_parser_init(&r->parser, type);
    r->parser.data = r;
    r->state = BB_HTTP_READER_HEAD;
    r->error = BB_HTTP_READER_ERROR_NONE;
    r->status_line_bytes = 0;
    r->has_started = false;
}

/* Parses bytes up to the end of one message and returns how many were used.
 * Uses none in the states DONE and FAILED. Sets the state to FAILED if the
 * message is malformed, too large, without a valid status or refused by the
 * head event, and the error to the reason. */
size_t
bb_http_reader_feed(struct bb_http_reader *r, const char *data,
                    size_t size_bytes)
{
    size_t used;

    if (r->state == BB_HTTP_READER_DONE || r->state == BB_HTTP_READER_FAILED ||
        size_bytes == 0) {
        return 0;
    }
    r->has_started = true;
    if (r->parser.type == HTTP_RESPONSE) {
        store_status_line(r, data, size_bytes);
    }
    used = http_parser_execute(&r->parser, &parser_settings, data, size_bytes);
    if (HTTP_PARSER_ERRNO(&r->parser) == HPE_PAUSED) {
        return used;
    }
    if (HTTP_PARSER_ERRNO(&r->parser) != HPE_OK || r->parser.upgrade != 0) {
        r->state = BB_HTTP_READER_FAILED;
        if (HTTP_PARSER_ERRNO(&r->parser) == HPE_INVALID_STATUS) {
            r->error = BB_HTTP_READER_ERROR_STATUS;
        }
        else if (r->error == BB_HTTP_READER_ERROR_NONE) {
            r->error = BB_HTTP_READER_ERROR_MALFORMED;
        }
    }
    return used;
}

/* Reports the end of the connection to the reader. Returns true if this
 * completed a message whose body ends with the connection. */
bool
bb_http_reader_finish(struct bb_http_reader *r)
{
    if (r->state != BB_HTTP_READER_BODY || !r->is_eof_framed) {
        return false;
    }
    (void)http_parser_execute(&r->parser, &parser_settings, NULL, 0);
    return r->state == BB_HTTP_READER_DONE;
}

/* Returns the target of a request, such as "/path?query". The text belongs to
 * the head. */
const char *
bb_http_head_target(const struct bb_http_head *h)
{
    return h->text->str + h->target_offset;
}

/* Returns the value of the first field with a name, or NULL. Case of the name
 * is ignored. The text belongs to the head. */
const char *
bb_http_head_get(const struct bb_http_head *h, const char *name)
{
    for (uint32_t i = 0; i < h->field_count; i++) {
        if (strcasecmp(h->text->str + h->fields[i].name_offset, name) == 0) {
            return h->text->str + h->fields[i].value_offset;
        }
    }
    return NULL;
}

/* Parses the value of a field as a decimal number. Returns false if there is
 * no such field or its value is not a 64-bit number; *value may have been
 * changed even then. */
bool
bb_http_head_get_u64(const struct bb_http_head *h, const char *name,
                     uint64_t *value)
{
    const char *text = bb_http_head_get(h, name);
    char *end = NULL;

    if (text == NULL || text[0] < '0' || text[0] > '9') {
        return false;
    }
    errno = 0;
    *value = strtoull(text, &end, 10);
    return errno == 0 && *end == '\0';
}

/* Returns whether a field must not be forwarded, by its name or because the
 * Connection field lists it. */
bool
bb_http_head_is_hop_by_hop(const struct bb_http_head *h, const char *name)
{
    const char *list = bb_http_head_get(h, "Connection");
    size_t length = strlen(name);

    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_fields); i++) {
        if (strcasecmp(name, hop_by_hop_fields[i]) == 0) {
            return true;
        }
    }
    while (list != NULL && *list != '\0') {
        list += strspn(list, ", \t");
        if (strncasecmp(list, name, length) == 0 &&
            strcspn(list, ", \t") == length) {
            return true;
        }
        list += strcspn(list, ",");
    }
    return false;
}

/* Returns the reason phrase of a status code, "Unknown" if it has none. */
const char *
bb_http_reason_phrase(uint32_t status)
{
    switch (status) {
#define STATUS_CASE(number, name, text)                                       \
    case number:                                                              \
        return #text;
        HTTP_STATUS_MAP(STATUS_CASE)
#undef STATUS_CASE
    default:
        return "Unknown";
    }
}
