#include "common/address.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { PORT_MAX = 65535 };

/* Parses a text that is a decimal port from 0 to 65535. */
static bool
parse_port(const char *text, uint16_t *port)
{
    char *end = NULL;
    long value;

    if (text[0] < '0' || text[0] > '9') {
        return false;
    }
    value = strtol(text, &end, 10);
    if (*end != '\0' || value > PORT_MAX) {
        return false;
    }
    *port = (uint16_t)value;
    return true;
}

/* Parses "IP:PORT" for IPv4 or "[IP]:PORT" for IPv6. Returns false and leaves
 * the result unchanged if the text is not of that form. */
bool
bb_address_parse(const char *text, struct bb_address *a)
{
    struct bb_address parsed = {0};
    struct in6_addr binary;
    const char *colon = strrchr(text, ':');
    const char *start = text;
    size_t length;
    int family = AF_INET;

    if (colon == NULL || !parse_port(colon + 1, &parsed.port)) {
        return false;
    }
    length = (size_t)(colon - text);
    if (text[0] == '[' && length >= 2 && colon[-1] == ']') {
        family = AF_INET6;
        start = text + 1;
        length -= 2;
    }
    if (length >= sizeof(parsed.ip)) {
        return false;
    }
    memcpy(parsed.ip, start, length);
    if (inet_pton(family, parsed.ip, &binary) != 1) {
        return false;
    }
    *a = parsed;
    return true;
}

/* Formats an address into `text` and returns it. */
const char *
bb_address_format(const struct bb_address *a, char text[BB_ADDRESS_TEXT_BYTES])
{
    const char *format = strchr(a->ip, ':') ? "[%s]:%u" : "%s:%u";

    (void)snprintf(text, BB_ADDRESS_TEXT_BYTES, format, a->ip, a->port);
    return text;
}

/* Returns whether two addresses have the same IP text and port. */
bool
bb_address_equal(const struct bb_address *a, const struct bb_address *b)
{
    return a->port == b->port && strcmp(a->ip, b->ip) == 0;
}

/* Converts an address to a sockaddr and returns its length in bytes. */
socklen_t
bb_address_to_sockaddr(const struct bb_address *a,
                       struct sockaddr_storage *out)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)out;
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)out;

    memset(out, 0, sizeof(*out));
    if (strchr(a->ip, ':') != NULL) {
        v6->sin6_family = AF_INET6;
        v6->sin6_port = htons(a->port);
        (void)inet_pton(AF_INET6, a->ip, &v6->sin6_addr);
        return sizeof(*v6);
    }
    v4->sin_family = AF_INET;
    v4->sin_port = htons(a->port);
    (void)inet_pton(AF_INET, a->ip, &v4->sin_addr);
    return sizeof(*v4);
}

/* Converts a sockaddr to an address. Returns false if it is neither
 * IPv4 nor IPv6. */
bool
bb_address_from_sockaddr(const struct sockaddr_storage *s,
                         struct bb_address *out)
{
    const struct sockaddr_in *v4 = (const struct sockaddr_in *)s;
    const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)s;

    memset(out, 0, sizeof(*out));
    switch (s->ss_family) {
    case AF_INET:
        out->port = ntohs(v4->sin_port);
        return inet_ntop(AF_INET, &v4->sin_addr, out->ip, sizeof(out->ip));
    case AF_INET6:
        out->port = ntohs(v6->sin6_port);
        return inet_ntop(AF_INET6, &v6->sin6_addr, out->ip, sizeof(out->ip));
    default:
        return false;
    }
}
