#include "proxy/session.h"

#include <arpa/inet.h>
#include <glib.h>
#include <ne_request.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"

enum {
    IDLE_SESSIONS_MAX = 64, /* per peer */
    IDLE_MAX_US = 5 * BB_US_PER_S,
    CONNECT_TIMEOUT_S = 1
};

BB_COUNTER(connections_total, "baobab_http_connections_total",
           "Connections opened to nodes and upstreams");

/* Frees a session and closes its connection. */
void
bb_session_destroy(struct bb_session *s)
{
    ne_session_destroy(s->neon);
    ne_iaddr_free(s->address);
    g_free(s);
}

/* Frees the idle sessions of a peer. */
static void
destroy_idle_sessions(void *data)
{
    GQueue *queue = data;
    struct bb_session *s;

    while ((s = g_queue_pop_head(queue)) != NULL) {
        bb_session_destroy(s);
    }
    g_queue_free(queue);
}

/* neon status callback; detects that the connection is open. */
static void
on_status(void *data, ne_session_status status,
          const ne_session_status_info *info)
{
    struct bb_session *s = data;

    (void)info;
    if (status == ne_status_connected) {
        s->is_connected = true;
    }
}

/* neon callback for a closed connection. */
static void
on_close(void *data)
{
    struct bb_session *s = data;

    s->is_closed = true;
}

/* Converts an address to neon's type. Returns NULL if it is invalid. */
static ne_inet_addr *
to_neon_address(const struct bb_address *a)
{
    unsigned char raw[sizeof(struct in6_addr)];

    if (inet_pton(AF_INET, a->ip, raw) == 1) {
        return ne_iaddr_make(ne_iaddr_ipv4, raw);
    }
    return inet_pton(AF_INET6, a->ip, raw) == 1
               ? ne_iaddr_make(ne_iaddr_ipv6, raw)
               : NULL;
}

/* Creates a session that connects on its first request. Returns NULL if the
 * peer's address is invalid. */
static struct bb_session *
create_session(const struct bb_http_call_params *r)
{
    struct bb_session *s = g_new0(struct bb_session, 1);
    bool is_v6 = strchr(r->peer_address.ip, ':') != NULL;
    char host[INET6_ADDRSTRLEN + 2];

    s->address = to_neon_address(&r->peer_address);
    if (s->address == NULL) {
        g_free(s);
        return NULL;
    }
    (void)g_snprintf(host, sizeof(host), is_v6 ? "[%s]" : "%s",
                     r->peer_address.ip);
    s->neon = ne_session_create("http", host, r->peer_address.port);
    s->addresses[0] = s->address;
    ne_set_addrlist(s->neon, s->addresses, 1);
    ne_set_connect_timeout(s->neon, CONNECT_TIMEOUT_S);
    ne_set_read_timeout(s->neon, (int)MAX(r->read_timeout_s, 1U));
    ne_set_notifier(s->neon, on_status, s);
    ne_hook_close_conn(s->neon, on_close, s);
    (void)bb_address_format(&r->peer_address, s->peer_key);
    bb_counter_add(&connections_total, 1);
    return s;
}

/* Returns the most recently used idle session of the peer, or a new one if
 * there is none or use_new_connection is set. Closes sessions that were idle
 * for more than IDLE_MAX_US. Returns NULL if the peer's address is invalid.
 * The session must be passed to bb_session_release or bb_session_destroy. */
struct bb_session *
bb_session_acquire(struct bb_http_client *c,
                   const struct bb_http_call_params *r)
{
    uint64_t now_us = bb_clock_now_us();
    char key[BB_ADDRESS_TEXT_BYTES];
    struct bb_session *s = NULL;
    GQueue *queue;

    (void)pthread_mutex_lock(&c->lock);
    queue = g_hash_table_lookup(c->idle_by_peer,
                                bb_address_format(&r->peer_address, key));
    if (queue != NULL) {
        while ((s = g_queue_peek_tail(queue)) != NULL &&
               now_us - s->idle_since_us > IDLE_MAX_US) {
            bb_session_destroy(g_queue_pop_tail(queue));
        }
        s = r->use_new_connection ? NULL : g_queue_pop_head(queue);
    }
    (void)pthread_mutex_unlock(&c->lock);
    return s != NULL ? s : create_session(r);
}

/* Returns a session to the pool, which is allowed only after its response was
 * read completely; otherwise call bb_session_destroy. If the peer closed the
 * connection after its response, it is shutting down: all its idle sessions
 * are closed, because a request sent on one of them could be lost. */
void
bb_session_release(struct bb_http_client *c, struct bb_session *s)
{
    GQueue *queue;

    if (!s->is_closed) {
        /* With an unusable local address neon cannot open a second connection;
         * see struct bb_session. */
        ne_set_localaddr(s->neon, c->unusable_address);
        s->idle_since_us = bb_clock_now_us();
        (void)pthread_mutex_lock(&c->lock);
        queue = g_hash_table_lookup(c->idle_by_peer, s->peer_key);
        if (queue == NULL) {
            queue = g_queue_new();
            g_hash_table_insert(c->idle_by_peer, g_strdup(s->peer_key), queue);
        }
        if (g_queue_get_length(queue) < IDLE_SESSIONS_MAX) {
            g_queue_push_head(queue, s);
            s = NULL;
        }
        (void)pthread_mutex_unlock(&c->lock);
    }
    else {
        (void)pthread_mutex_lock(&c->lock);
        (void)g_hash_table_remove(c->idle_by_peer, s->peer_key);
        (void)pthread_mutex_unlock(&c->lock);
    }
    if (s != NULL) {
        bb_session_destroy(s);
    }
}

/* Creates a client that runs its calls on the given workers. */
struct bb_http_client *
bb_http_client_create(struct bb_workers *workers)
{
    /* TEST-NET-1 (RFC 5737) is assigned to no interface, so binding to it
     * fails. */
    static const unsigned char unusable[] = {192, 0, 2, 1};
    struct bb_http_client *c = g_new0(struct bb_http_client, 1);

    (void)ne_sock_init();
    (void)pthread_mutex_init(&c->lock, NULL);
    c->workers = workers;
    c->idle_by_peer = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            destroy_idle_sessions);
    c->unusable_address = ne_iaddr_make(ne_iaddr_ipv4, unusable);
    return c;
}

/* Closes the idle sessions and frees the client. No call may be running. NULL
 * is allowed. */
void
bb_http_client_destroy(struct bb_http_client *c)
{
    if (c == NULL) {
        return;
    }
    g_hash_table_destroy(c->idle_by_peer);
    ne_iaddr_free(c->unusable_address);
    (void)pthread_mutex_destroy(&c->lock);
    g_free(c);
    ne_sock_exit();
}

/* Closes the idle sessions of a peer. */
void
bb_http_client_close_idle(struct bb_http_client *c,
                          const struct bb_address *peer)
{
    char key[BB_ADDRESS_TEXT_BYTES];

    (void)pthread_mutex_lock(&c->lock);
    (void)g_hash_table_remove(c->idle_by_peer, bb_address_format(peer, key));
    (void)pthread_mutex_unlock(&c->lock);
}
