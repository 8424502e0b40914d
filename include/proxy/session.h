/* The sessions behind http_client.h, for http_client.c and session.c. */
#ifndef BB_PROXY_SESSION_H
#define BB_PROXY_SESSION_H

#include <ne_session.h>
#include <ne_socket.h>

#include "proxy/http_client.h"

/* One neon session, used for a single connection: neon would silently send a
 * request again on a new connection when an idle one turns out closed, which
 * runs non-idempotent work twice. */
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
    GHashTable *idle_by_peer; /* text -> GQueue of session */
    ne_inet_addr *unusable_address;
};

struct bb_session *bb_session_acquire(struct bb_http_client *c,
                                      const struct bb_http_call_params *r);
void bb_session_release(struct bb_http_client *c, struct bb_session *s);
void bb_session_destroy(struct bb_session *s);

#endif
