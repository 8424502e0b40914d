/* IPv4 and IPv6 addresses with a numeric IP and a port, written "192.0.2.1:80"
 * or "[::1]:80". Names are not resolved. */
#ifndef BB_COMMON_ADDRESS_H
#define BB_COMMON_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

enum { BB_ADDRESS_TEXT_BYTES = 64 /* with the terminating zero byte */ };

struct bb_address {
    char ip[INET6_ADDRSTRLEN];
    uint16_t port;
};

bool bb_address_parse(const char *text, struct bb_address *a);
const char *bb_address_format(const struct bb_address *a,
                              char text[BB_ADDRESS_TEXT_BYTES]);
bool bb_address_equal(const struct bb_address *a, const struct bb_address *b);
socklen_t bb_address_to_sockaddr(const struct bb_address *a,
                                 struct sockaddr_storage *out);
bool bb_address_from_sockaddr(const struct sockaddr_storage *s,
                              struct bb_address *out);

#endif
