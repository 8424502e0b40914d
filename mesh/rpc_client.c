/* A pool of ONC RPC client connections, each used by one call at a time.
 * Lock order: the pool's lock is a leaf and never held during a call. */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "mesh/rpc.h"

enum {
    IDLE_CONNECTIONS_MAX = 4,
    POOL_KEY_BYTES = 128, /* text of address, program, version, buffer size */
    MS_PER_S = 1000,
    CALL_HEADER_BYTES = 4096, /* reserved for the call header */
    SMALL_ARGUMENT_MAX_BYTES = 8 * 1024,
    SMALL_BUFFER_BYTES = SMALL_ARGUMENT_MAX_BYTES + CALL_HEADER_BYTES,
    /* libtirpc's non-blocking server loses arguments that arrive in several
     * fragments. Its client writes a fragment whenever its buffer is full, and
     * the buffer is at most 256 KiB. So an argument and the call header must
     * fit in one buffer, which limits arguments to BB_RPC_ARGUMENT_MAX_BYTES.
     * Results are not limited by it. */
    LARGE_BUFFER_BYTES = BB_RPC_ARGUMENT_MAX_BYTES + CALL_HEADER_BYTES
};

_Static_assert(LARGE_BUFFER_BYTES == 256 * 1024, "libtirpc's largest buffer");

BB_COUNTER(calls_total, "baobab_rpc_calls_total", "RPC calls made");
BB_COUNTER(failures_total, "baobab_rpc_failures_total", "RPC calls failed");
BB_COUNTER(sent_bytes, "baobab_rpc_sent_bytes_total",
           "Bytes of RPC arguments sent by calls that succeeded");
BB_COUNTER(received_bytes, "baobab_rpc_received_bytes_total",
           "Bytes of RPC results received");

struct bb_rpc_pool {
    pthread_mutex_t lock;
    GHashTable *idle_by_key; /* char * -> GQueue of CLIENT */
};

/* Closes the idle connections of one key and frees their queue. */
static void
destroy_idle_queue(void *data)
{
    GQueue *queue = data;
    CLIENT *client;

    while ((client = g_queue_pop_head(queue)) != NULL) {
        clnt_destroy(client);
    }
    g_queue_free(queue);
}

/* Creates an empty pool. */
struct bb_rpc_pool *
bb_rpc_pool_create(void)
{
    struct bb_rpc_pool *p = g_new0(struct bb_rpc_pool, 1);

    (void)pthread_mutex_init(&p->lock, NULL);
    p->idle_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           destroy_idle_queue);
    return p;
}

/* Closes all idle connections and frees the pool; no call may be running.
 * NULL is allowed. */
void
bb_rpc_pool_destroy(struct bb_rpc_pool *p)
{
    if (p == NULL) {
        return;
    }
    g_hash_table_destroy(p->idle_by_key);
    (void)pthread_mutex_destroy(&p->lock);
    g_free(p);
}

/* Waits until a connecting socket is connected. Returns false with errno on
 * timeout or failure. */
static bool
wait_connected(int fd, uint32_t timeout_ms)
{
    struct pollfd p = {.fd = fd, .events = POLLOUT};
    int result = 0;
    socklen_t length = sizeof(result);

    if (poll(&p, 1, (int)timeout_ms) != 1) {
        errno = ETIMEDOUT;
        return false;
    }
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &result, &length) != 0) {
        return false;
    }
    errno = result;
    return result == 0;
}

/* Connects a TCP socket within the timeout and sets *address and *length to
 * the peer. Returns -1 with errno on failure. */
static int
connect_socket(const struct bb_address *to, uint32_t timeout_ms,
               struct sockaddr_storage *address, socklen_t *length)
{
    struct timeval send_timeout = {
        .tv_sec = timeout_ms / MS_PER_S,
        .tv_usec = (suseconds_t)(timeout_ms % MS_PER_S) * BB_US_PER_MS,
    };
    int on = 1;
    int fd;

    *length = bb_address_to_sockaddr(to, address);
    fd = socket(address->ss_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK,
                0);
    if (fd < 0) {
        return -1;
    }
    if (connect(fd, (struct sockaddr *)address, *length) != 0 &&
        (errno != EINPROGRESS || !wait_connected(fd, timeout_ms))) {
        goto fail;
    }
    /* libtirpc uses blocking writes; the send timeout keeps a receiver that
     * does not read from blocking the caller. */
    if (fcntl(fd, F_SETFL, 0) != 0 ||
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &send_timeout,
                   sizeof(send_timeout)) != 0) {
        goto fail;
    }
    (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
fail:
    (void)close(fd);
    return -1;
}

/* Opens a connection for the program and version of a call; NULL with an error
 * on failure. */
static CLIENT *
open_client(const struct bb_address *to, const struct bb_rpc_call *call,
            bool is_large, struct bb_error *e)
{
    struct sockaddr_storage address;
    socklen_t length;
    struct netbuf peer = {0};
    char text[BB_ADDRESS_TEXT_BYTES];
    CLIENT *client;
    int fd = connect_socket(to, call->timeout_ms, &address, &length);

    if (fd < 0) {
        bb_error_set(e, BB_RPC_ERROR_CONNECT, "cannot connect to %s: %s",
                     bb_address_format(to, text), g_strerror(errno));
        return NULL;
    }
    peer.buf = &address;
    peer.len = length;
    peer.maxlen = sizeof(address);
    client = clnt_vc_create(fd, &peer, call->program, call->version,
                            is_large ? LARGE_BUFFER_BYTES : SMALL_BUFFER_BYTES,
                            SMALL_BUFFER_BYTES);
    if (client == NULL) {
        (void)close(fd);
        bb_error_set(e, BB_RPC_ERROR_CONNECT,
                     "cannot create an RPC client for %s",
                     bb_address_format(to, text));
        return NULL;
    }
    (void)clnt_control(client, CLSET_FD_CLOSE, NULL);
    return client;
}

/* Removes an idle connection from the pool; NULL if there is none. */
static CLIENT *
take_idle_client(struct bb_rpc_pool *p, const char *key)
{
    GQueue *queue;
    CLIENT *client = NULL;

    (void)pthread_mutex_lock(&p->lock);
    queue = g_hash_table_lookup(p->idle_by_key, key);
    if (queue != NULL) {
        client = g_queue_pop_head(queue);
    }
    (void)pthread_mutex_unlock(&p->lock);
    return client;
}

/* Returns a connection to the pool, or closes it if IDLE_CONNECTIONS_MAX are
 * idle already. */
static void
return_idle_client(struct bb_rpc_pool *p, const char *key, CLIENT *client)
{
    GQueue *queue;

    (void)pthread_mutex_lock(&p->lock);
    queue = g_hash_table_lookup(p->idle_by_key, key);
    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(p->idle_by_key, g_strdup(key), queue);
    }
    if (g_queue_get_length(queue) < IDLE_CONNECTIONS_MAX) {
        g_queue_push_head(queue, client);
        client = NULL;
    }
    (void)pthread_mutex_unlock(&p->lock);
    if (client != NULL) {
        clnt_destroy(client);
    }
}

/* Makes the call once on the given connection. */
static enum clnt_stat
call_once(CLIENT *client, const struct bb_rpc_call *call)
{
    struct timeval timeout = {
        .tv_sec = call->timeout_ms / MS_PER_S,
        .tv_usec = (suseconds_t)(call->timeout_ms % MS_PER_S) * BB_US_PER_MS,
    };

    return clnt_call(client, call->procedure, call->argument_codec,
                     call->argument, call->result_codec, call->result,
                     timeout);
}

/* Counts the bytes of a call that succeeded. */
static void
count_bytes(const struct bb_rpc_call *call)
{
    bb_counter_add(&sent_bytes,
                   xdr_sizeof(call->argument_codec, call->argument));
    bb_counter_add(&received_bytes,
                   xdr_sizeof(call->result_codec, call->result));
}

/* Calls a procedure and decodes the result. The caller must zero the result
 * first and free it with xdr_free. Procedures must be idempotent: a call over
 * an idle connection that the peer has closed is retried once on a new one.
 * Returns false with BB_RPC_ERROR_CONNECT if no connection could be opened;
 * the call was not sent then, unless an idle connection was tried first.
 * Returns false with BB_RPC_ERROR_TIMEOUT or BB_RPC_ERROR_CALL if the call may
 * have run. An argument above BB_RPC_ARGUMENT_MAX_BYTES also fails with
 * BB_RPC_ERROR_CALL, but is never sent. */
bool
bb_rpc_pool_call(struct bb_rpc_pool *p, const struct bb_address *to,
                 const struct bb_rpc_call *call, struct bb_error *e)
{
    char text[BB_ADDRESS_TEXT_BYTES];
    char key[POOL_KEY_BYTES];
    enum clnt_stat status = RPC_CANTSEND;
    CLIENT *client = NULL;
    unsigned long size = xdr_sizeof(call->argument_codec, call->argument);
    bool is_large = size > SMALL_ARGUMENT_MAX_BYTES;

    (void)g_snprintf(key, sizeof(key), "%s/%x/%x/%d",
                     bb_address_format(to, text), call->program, call->version,
                     is_large);
    bb_counter_add(&calls_total, 1);
    if (size > BB_RPC_ARGUMENT_MAX_BYTES) {
        bb_counter_add(&failures_total, 1);
        return bb_error_set(
            e, BB_RPC_ERROR_CALL,
            "RPC argument of %lu bytes exceeds the limit of %d", size,
            BB_RPC_ARGUMENT_MAX_BYTES);
    }
    if (!call->use_new_connection) {
        client = take_idle_client(p, key);
    }
    if (client != NULL) {
        status = call_once(client, call);
        if (status == RPC_CANTSEND || status == RPC_CANTRECV) {
            clnt_destroy(client);
            client = NULL;
        }
    }
    if (client == NULL) {
        client = open_client(to, call, is_large, e);
        if (client == NULL) {
            bb_counter_add(&failures_total, 1);
            return false;
        }
        status = call_once(client, call);
    }
    if (status == RPC_SUCCESS) {
        count_bytes(call);
        return_idle_client(p, key, client);
        return true;
    }
    clnt_destroy(client);
    bb_counter_add(&failures_total, 1);
    return bb_error_set(
        e, status == RPC_TIMEDOUT ? BB_RPC_ERROR_TIMEOUT : BB_RPC_ERROR_CALL,
        "RPC to %s failed: %s", text, clnt_sperrno(status));
}
