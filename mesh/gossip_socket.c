/* Runs the gossip state machine on a UDP socket with one thread. */
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <unistd.h>

#include "common/clock.h"
#include "mesh/gossip.h"

enum {
    /* Datagrams received in a row before the next tick, so that a flood does
     * not stop the failure detector. */
    RECEIVE_BATCH_MAX = 256
};

struct bb_gossip_socket {
    int fd;
    uint16_t port;
    struct bb_gossip *gossip;
    pthread_t thread;
    bool is_started;
    atomic_bool is_stopping;
};

/* Opens the socket; with port 0, on any free port. Returns NULL with
 * BB_GOSSIP_ERROR_START if the address cannot be used. */
struct bb_gossip_socket *
bb_gossip_socket_create(const struct bb_address *bind_address,
                        struct bb_error *e)
{
    struct bb_gossip_socket *s = g_new0(struct bb_gossip_socket, 1);
    struct sockaddr_storage address;
    struct bb_address bound = {0};
    socklen_t length = bb_address_to_sockaddr(bind_address, &address);
    char text[BB_ADDRESS_TEXT_BYTES];

    s->fd = socket(address.ss_family,
                   SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (s->fd < 0 || bind(s->fd, (struct sockaddr *)&address, length) != 0) {
        (void)bb_error_set(
            e, BB_GOSSIP_ERROR_START, "cannot use %s for gossip: %s",
            bb_address_format(bind_address, text), g_strerror(errno));
        bb_gossip_socket_destroy(s);
        return NULL;
    }
    length = sizeof(address);
    (void)getsockname(s->fd, (struct sockaddr *)&address, &length);
    (void)bb_address_from_sockaddr(&address, &bound);
    s->port = bound.port;
    return s;
}

/* Returns the port that the socket is bound to. */
uint16_t
bb_gossip_socket_get_port(const struct bb_gossip_socket *s)
{
    return s->port;
}

/* Sends a datagram; to be used as the send callback of the state machine.
 * Errors are ignored: the datagram counts as lost. */
void
bb_gossip_socket_send(void *gossip_socket, const struct bb_address *to,
                      const void *data, size_t size_bytes)
{
    const struct bb_gossip_socket *s = gossip_socket;
    struct sockaddr_storage address;
    socklen_t length = bb_address_to_sockaddr(to, &address);

    (void)sendto(s->fd, data, size_bytes, 0, (struct sockaddr *)&address,
                 length);
}

/* Receives and processes one datagram. Returns false if none is waiting. */
static bool
receive_one(struct bb_gossip_socket *s)
{
    /* One byte more than allowed, to detect datagrams that are too long. */
    char data[BB_GOSSIP_DATAGRAM_MAX_BYTES + 1];
    struct sockaddr_storage address = {0};
    struct bb_address from;
    socklen_t length = sizeof(address);
    ssize_t size_bytes = recvfrom(s->fd, data, sizeof(data), 0,
                                  (struct sockaddr *)&address, &length);

    if (size_bytes < 0) {
        return false;
    }
    if (bb_address_from_sockaddr(&address, &from)) {
        (void)bb_gossip_receive(s->gossip, &from, data, (size_t)size_bytes,
                                bb_clock_now_us());
    }
    return true;
}

/* Thread function of the socket: receives and ticks until told to stop. */
static void *
run_socket_thread(void *argument)
{
    struct bb_gossip_socket *s = argument;
    uint64_t next_tick_us = 0;

    while (!atomic_load(&s->is_stopping)) {
        struct pollfd p = {.fd = s->fd, .events = POLLIN};
        uint64_t now_us = bb_clock_now_us();
        int wait_ms = 0;

        if (now_us >= next_tick_us) {
            next_tick_us = now_us + BB_GOSSIP_TICK_INTERVAL_MS * BB_US_PER_MS;
            bb_gossip_tick(s->gossip, now_us);
        }
        else {
            wait_ms = (int)((next_tick_us - now_us) / BB_US_PER_MS) + 1;
        }
        if (poll(&p, 1, wait_ms) > 0) {
            for (int i = 0; i < RECEIVE_BATCH_MAX && receive_one(s); i++) {
            }
        }
    }
    return NULL;
}

/* Starts the thread, which runs the state machine until the socket is stopped.
 * Returns false with BB_GOSSIP_ERROR_START if it cannot be started. */
bool
bb_gossip_socket_start(struct bb_gossip_socket *s, struct bb_gossip *g,
                       struct bb_error *e)
{
    int result;

    s->gossip = g;
    result = pthread_create(&s->thread, NULL, run_socket_thread, s);
    if (result != 0) {
        return bb_error_set(e, BB_GOSSIP_ERROR_START,
                            "cannot start the gossip thread: %s",
                            g_strerror(result));
    }
    s->is_started = true;
    return true;
}

/* Stops the thread; sending stays possible until the socket is destroyed. */
void
bb_gossip_socket_stop(struct bb_gossip_socket *s)
{
    if (s->is_started) {
        atomic_store(&s->is_stopping, true);
        (void)pthread_join(s->thread, NULL);
        s->is_started = false;
    }
}

/* Stops the thread and closes the socket; NULL is allowed. */
void
bb_gossip_socket_destroy(struct bb_gossip_socket *s)
{
    if (s == NULL) {
        return;
    }
    bb_gossip_socket_stop(s);
    if (s->fd >= 0) {
        (void)close(s->fd);
    }
    g_free(s);
}
