/* The ONC RPC server of a process: a listening socket, the registered
 * programs, and one thread that runs their handlers. libtirpc keeps the
 * transports and programs in global state: one server per process. */
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>

#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "mesh/rpc.h"
#include <mesh_protocol.h> /* generated from mesh/mesh_protocol.x */

/* After rpc.h, on which it depends. */
#include <rpc/rpc_com.h>

enum {
    /* The largest payload, and 4 KiB for the headers. */
    RPC_RECORD_MAX_BYTES = MESH_PAYLOAD_MAX_BYTES + 4096,
    LISTEN_BACKLOG = 512,
    POLL_INTERVAL_MS = 500
};

struct bb_rpc_server {
    int listen_fd;
    int wake_fds[2];
    uint16_t port;
    SVCXPRT *transport;
    pthread_t thread;
    bool is_started;
    atomic_bool is_stopping;
};

/* Opens the listening socket and sets s->port to the port it is bound to. */
static bool
open_socket(struct bb_rpc_server *s, const struct bb_address *listen_address,
            struct bb_error *e)
{
    struct sockaddr_storage address;
    struct bb_address bound = {0};
    socklen_t length = bb_address_to_sockaddr(listen_address, &address);
    char text[BB_ADDRESS_TEXT_BYTES];
    int on = 1;

    s->listen_fd = socket(address.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (s->listen_fd < 0 ||
        setsockopt(s->listen_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
        bind(s->listen_fd, (struct sockaddr *)&address, length) ||
        listen(s->listen_fd, LISTEN_BACKLOG)) {
        return bb_error_set(
            e, BB_RPC_ERROR_START, "cannot listen for RPC on %s: %s",
            bb_address_format(listen_address, text), g_strerror(errno));
    }
    length = sizeof(address);
    (void)getsockname(s->listen_fd, (struct sockaddr *)&address, &length);
    (void)bb_address_from_sockaddr(&address, &bound);
    s->port = bound.port;
    return true;
}

/* Creates the server and opens its socket; with port 0, on any free port.
 * Returns NULL with BB_RPC_ERROR_START on failure. */
struct bb_rpc_server *
bb_rpc_server_create(const struct bb_address *listen_address,
                     struct bb_error *e)
{
    struct bb_rpc_server *s = g_new0(struct bb_rpc_server, 1);
    int record_max_bytes = RPC_RECORD_MAX_BYTES;

    s->listen_fd = -1;
    s->wake_fds[0] = -1;
    s->wake_fds[1] = -1;
    if (!open_socket(s, listen_address, e)) {
        goto fail;
    }
    if (pipe2(s->wake_fds, O_CLOEXEC | O_NONBLOCK) != 0) {
        bb_error_set(e, BB_RPC_ERROR_START, "cannot create a pipe: %s",
                     g_strerror(errno));
        goto fail;
    }
    /* Setting a record limit also makes libtirpc read without blocking, so
     * that a client that sends half a record does not block the server. */
    (void)rpc_control(RPC_SVC_CONNMAXREC_SET, &record_max_bytes);
    s->transport = svc_vc_create(s->listen_fd, 0, 0);
    if (s->transport == NULL) {
        bb_error_set(e, BB_RPC_ERROR_START, "cannot create RPC transport");
        goto fail;
    }
    return s;
fail:
    bb_rpc_server_destroy(s);
    return NULL;
}

/* Registers a program. Call before the server starts. Returns false with
 * BB_RPC_ERROR_START if libtirpc refuses. */
bool
bb_rpc_server_register_program(struct bb_rpc_server *s, uint32_t program,
                               uint32_t version, bb_rpc_dispatch dispatch,
                               struct bb_error *e)
{
    if (!svc_reg(s->transport, program, version, dispatch, NULL)) {
        return bb_error_set(e, BB_RPC_ERROR_START,
                            "cannot register RPC program %#x version %u",
                            program, version);
    }
    return true;
}

/* Waits for events once, at most POLL_INTERVAL_MS, and runs the handlers of
 * the calls that arrived. */
static void
poll_once(struct bb_rpc_server *s)
{
    int count = svc_max_pollfd;
    struct pollfd *fds = g_new0(struct pollfd, (size_t)count + 1);
    int ready;

    memcpy(fds, svc_pollfd, (size_t)count * sizeof(*fds));
    fds[count] = (struct pollfd){.fd = s->wake_fds[0], .events = POLLIN};
    ready = poll(fds, (nfds_t)count + 1, POLL_INTERVAL_MS);
    if (ready > 0 && fds[count].revents != 0) {
        ready--;
    }
    if (ready > 0) {
        svc_getreq_poll(fds, ready);
    }
    g_free(fds);
}

/* Thread function of the server: runs until the server is destroyed. */
static void *
run_server(void *argument)
{
    struct bb_rpc_server *s = argument;

    while (!atomic_load(&s->is_stopping)) {
        poll_once(s);
    }
    return NULL;
}

/* Starts the thread that runs the handlers. Returns false with
 * BB_RPC_ERROR_START on failure. */
bool
bb_rpc_server_start(struct bb_rpc_server *s, struct bb_error *e)
{
    int result = pthread_create(&s->thread, NULL, run_server, s);

    if (result != 0) {
        return bb_error_set(e, BB_RPC_ERROR_START,
                            "cannot start the RPC thread: %s",
                            g_strerror(result));
    }
    s->is_started = true;
    return true;
}

/* Returns the port that the server listens on. */
uint16_t
bb_rpc_server_get_port(const struct bb_rpc_server *s)
{
    return s->port;
}

/* Stops the thread after the running handler has returned, and frees the
 * server. NULL is allowed. */
void
bb_rpc_server_destroy(struct bb_rpc_server *s)
{
    if (s == NULL) {
        return;
    }
    if (s->is_started) {
        atomic_store(&s->is_stopping, true);
        (void)!write(s->wake_fds[1], "", 1);
        (void)pthread_join(s->thread, NULL);
    }
    if (s->transport != NULL) {
        svc_destroy(s->transport); /* closes the listening socket */
    }
    else if (s->listen_fd >= 0) {
        (void)close(s->listen_fd);
    }
    for (int i = 0; i < 2; i++) {
        if (s->wake_fds[i] >= 0) {
            (void)close(s->wake_fds[i]);
        }
    }
    g_free(s);
}
