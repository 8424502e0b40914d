#include "proxy/headers.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <string.h>

/* Hop-by-hop fields (RFC 9110, 7.6.1), and those that the HTTP libraries write
 * themselves. */
static const char *const hop_by_hop[] = {
    "Connection", "Keep-Alive",        "Proxy-Authenticate",
    "TE",         "Trailer",           "Proxy-Authorization",
    "Upgrade",    "Transfer-Encoding", "Proxy-Connection",
    "Expect",     "Content-Length",    "Host",
};

static const char internal_prefix[] = "Baobab-";

enum { INITIAL_TEXT_BYTES = 1024, INITIAL_COUNT = 24 };

/* Creates an empty list. */
struct bb_headers *
bb_headers_create(void)
{
    struct bb_headers *h = g_new(struct bb_headers, 1);

    *h = (struct bb_headers){.text_capacity = INITIAL_TEXT_BYTES,
                             .field_capacity = INITIAL_COUNT};
    h->text = g_malloc(h->text_capacity);
    h->offsets = g_new(uint32_t, 2 * (size_t)h->field_capacity);
    return h;
}

/* Frees the list; NULL is allowed. */
void
bb_headers_destroy(struct bb_headers *h)
{
    if (h != NULL) {
        g_free(h->text);
        g_free(h->offsets);
        g_free(h);
    }
}

/* Copies a text (NULL counts as empty) into the buffer. Returns its offset. */
static uint32_t
append_text(struct bb_headers *h, const char *text)
{
    size_t size = text != NULL ? strlen(text) + 1 : 1;
    uint32_t offset = h->text_bytes;

    while (h->text_bytes + size > h->text_capacity) {
        h->text_capacity *= 2;
        h->text = g_realloc(h->text, h->text_capacity);
    }
    memcpy(h->text + offset, text != NULL ? text : "", size);
    h->text_bytes += (uint32_t)size;
    return offset;
}

/* Appends a field; the texts are copied. */
void
bb_headers_add(struct bb_headers *h, const char *name, const char *value)
{
    if (h->field_count == h->field_capacity) {
        h->field_capacity *= 2;
        h->offsets =
            g_renew(uint32_t, h->offsets, 2 * (size_t)h->field_capacity);
    }
    h->offsets[2 * h->field_count] = append_text(h, name);
    h->offsets[2 * h->field_count + 1] = append_text(h, value);
    h->field_count++;
}

/* Returns the field at an index below field_count. */
struct bb_header
bb_headers_at(const struct bb_headers *h, uint32_t index)
{
    return (struct bb_header){
        .name = h->text + h->offsets[2 * index],
        .value = h->text + h->offsets[2 * index + 1],
    };
}

/* Appends a field with a formatted value. */
void
bb_headers_addf(struct bb_headers *h, const char *name, const char *format,
                ...)
{
    va_list args;
    char *value;

    va_start(args, format);
    value = g_strdup_vprintf(format, args);
    va_end(args);
    bb_headers_add(h, name, value);
    g_free(value);
}

/* Returns the first value of a field, or NULL. */
const char *
bb_headers_get(const struct bb_headers *h, const char *name)
{
    for (uint32_t i = 0; i < h->field_count; i++) {
        const struct bb_header item = bb_headers_at(h, i);

        if (g_ascii_strcasecmp(item.name, name) == 0) {
            return item.value;
        }
    }
    return NULL;
}

/* Parses a field that consists of decimal digits only. Returns false and
 * leaves *value unchanged if the field is absent or malformed or exceeds 64
 * bits. */
bool
bb_headers_get_u64(const struct bb_headers *h, const char *name,
                   uint64_t *value)
{
    const char *text = bb_headers_get(h, name);

    return text != NULL &&
           g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, value, NULL);
}

/* Returns whether a character is allowed in a field name (RFC 9110, 5.6.2). */
static bool
is_token_character(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Returns whether a text is a token. */
static bool
is_token(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!is_token_character(*c)) {
            return false;
        }
    }
    return text[0] != '\0';
}

/* Returns whether a value has no control characters except tabs. */
static bool
is_field_value(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if ((unsigned char)*c < ' ' ? *c != '\t' : *c == '\x7f') {
            return false;
        }
    }
    return true;
}

/* Parses a Content-Length: digits only, no sign, no list. Returns false if it
 * is malformed. */
static bool
parse_length(const char *text, int64_t *length_bytes)
{
    uint64_t value;

    if (!g_ascii_string_to_unsigned(text, 10, 0, INT64_MAX, &value, NULL)) {
        return false;
    }
    *length_bytes = (int64_t)value;
    return true;
}

/* Determines how the request's body is delimited. Everything that two parsers
 * could interpret differently is a fault, because request smuggling exploits
 * such differences. Chunked is the only accepted transfer coding. */
struct bb_framing
bb_headers_parse_framing(const struct bb_headers *h)
{
    struct bb_framing f = {.length_bytes = 0};
    uint32_t lengths = 0;
    uint32_t codings = 0;
    uint32_t hosts = 0;

    for (uint32_t i = 0; i < h->field_count && f.fault == NULL; i++) {
        const struct bb_header item = bb_headers_at(h, i);

        if (!is_token(item.name)) {
            f.fault = "malformed field name";
        }
        else if (!is_field_value(item.value)) {
            f.fault = "control character in a field";
        }
        else if (g_ascii_strcasecmp(item.name, "Content-Length") == 0) {
            lengths++;
            f.fault = parse_length(item.value, &f.length_bytes)
                          ? NULL
                          : "malformed Content-Length";
        }
        else if (g_ascii_strcasecmp(item.name, "Transfer-Encoding") == 0) {
            codings++;
            f.fault = g_ascii_strcasecmp(item.value, "chunked") == 0
                          ? NULL
                          : "transfer coding other than chunked";
        }
        else if (g_ascii_strcasecmp(item.name, "Host") == 0) {
            hosts++;
        }
    }
    if (f.fault == NULL && lengths + codings > 1) {
        f.fault = "more than one Content-Length or Transfer-Encoding";
    }
    if (f.fault == NULL && hosts > 1) {
        f.fault = "more than one Host field";
    }
    if (f.fault == NULL && h->text_bytes > BB_HEADERS_MAX_BYTES) {
        f.fault = "header too large";
    }
    if (codings > 0) {
        f.length_bytes = BB_LENGTH_CHUNKED;
    }
    f.is_invalid = f.fault != NULL;
    return f;
}

/* Returns whether a request target is an absolute path of printable ASCII
 * characters, without a fragment, of at most BB_URL_MAX_BYTES. */
bool
bb_url_is_valid(const char *url)
{
    size_t length = 0;

    for (const char *c = url; *c != '\0'; c++, length++) {
        if (!g_ascii_isgraph(*c) || *c == '#') {
            return false;
        }
    }
    return url[0] == '/' && length <= BB_URL_MAX_BYTES;
}

/* Returns whether a comma-separated list, such as "close, X-One", contains a
 * field name. */
static bool
is_name_in_list(const char *list, const char *name)
{
    size_t length = strlen(name);

    while (*list != '\0') {
        size_t count;

        list += strspn(list, ", \t");
        count = strcspn(list, ", \t");
        if (count == length && g_ascii_strncasecmp(list, name, count) == 0) {
            return true;
        }
        list += count;
    }
    return false;
}

/* Returns whether a field is hop-by-hop: one of the fixed ones, or listed in
 * Connection. */
static bool
is_hop_by_hop(const struct bb_headers *h, const char *name,
              bool has_connection)
{
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
        if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0) {
            return true;
        }
    }
    for (uint32_t i = 0; has_connection && i < h->field_count; i++) {
        const struct bb_header item = bb_headers_at(h, i);

        if (g_ascii_strcasecmp(item.name, "Connection") == 0 &&
            is_name_in_list(item.value, name)) {
            return true;
        }
    }
    return false;
}

/* Calls visit for each end-to-end field. Baobab's own fields are left out;
 * they are added where they are needed. */
void
bb_headers_visit_end_to_end(const struct bb_headers *h,
                            bb_header_visitor visit, void *context)
{
    bool has_connection = bb_headers_get(h, "Connection") != NULL;

    for (uint32_t i = 0; i < h->field_count; i++) {
        const struct bb_header item = bb_headers_at(h, i);

        if (g_ascii_strncasecmp(item.name, internal_prefix,
                                sizeof(internal_prefix) - 1) != 0 &&
            !is_hop_by_hop(h, item.name, has_connection)) {
            visit(context, &item);
        }
    }
}

/* Appends a field to the list in context. */
static void
append_field(void *context, const struct bb_header *h)
{
    bb_headers_add(context, h->name, h->value);
}

/* Appends the end-to-end fields of a list to another. */
void
bb_headers_copy_end_to_end(const struct bb_headers *from,
                           struct bb_headers *to)
{
    bb_headers_visit_end_to_end(from, append_field, to);
}
