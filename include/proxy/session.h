/* Internal neon sessions of the HTTP client, shared by http_client.c and
 * session.c. */
#ifndef BB_PROXY_SESSION_H
#define BB_PROXY_SESSION_H

#include <ne_session.h>
#include <ne_socket.h>

#include "proxy/http_client.h"

/* A neon session for a single connection. neon must not reconnect: if an idle
 * connection turned out to be closed, it would silently resend the request on
 * a new one, which runs non-idempotent requests twice. */
struct bb_session {
    ne_session *neon;
    ne_inet_addr *address;
    const ne_inet_addr *addresses[1];
    char peer_key[BB_ADDRESS_TEXT_BYTES];
    uint64_t idle_since_us;
    bool is_connected;
    bool is_closed;
};

struct bb_http_client {
    pthread_mutex_t lock;
    struct bb_workers *workers;
    GHashTable *
        idle_by_peer; /* peer address as text -> GQueue of struct bb_session */
    /* Local address of pooled sessions, so that neon cannot reconnect. */
    ne_inet_addr *unusable_address;
};

struct bb_session *bb_session_acquire(struct bb_http_client *c,
                                      const struct bb_http_call_params *r);
void bb_session_release(struct bb_http_client *c, struct bb_session *s);
void bb_session_destroy(struct bb_session *s);

#endif
