/* Gossip inside a zone: a SWIM failure detector whose datagrams also carry
 * changed records, the highest revision known, and digests of the sender's
 * table. The state machine (struct bb_gossip) is passed the time and received
 * datagrams, and sends through a callback; struct bb_gossip_socket runs it on
 * a UDP socket with one thread. A peer is another member of the same zone.
 *
 * Times (now_us) are in microseconds of the monotonic clock. Thread-safe.
 * Lock order: the gossip lock, then the table's lock. The send callback runs
 * under the gossip lock and must not call bb_gossip functions. */
#ifndef BB_MESH_GOSSIP_H
#define BB_MESH_GOSSIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"
#include "mesh/member.h"
#include "mesh/members.h"

enum {
    BB_GOSSIP_DATAGRAM_MAX_BYTES = 1400,
    BB_GOSSIP_TICK_INTERVAL_MS = 25,
    /* A zone is marked unreachable when no process of this process's zone has
     * heard from it for this time. Zones of other regions are pinged less
     * often. */
    BB_GOSSIP_UNREACHABLE_AFTER_MS = 5000,
    BB_GOSSIP_OTHER_REGION_UNREACHABLE_AFTER_MS = 10000
};

enum bb_gossip_error {
    /* The socket cannot be opened, or its thread cannot be started. */
    BB_GOSSIP_ERROR_START = 1
};

struct bb_gossip;

struct bb_gossip_settings {
    struct bb_member_table *members; /* must outlive the struct bb_gossip */
    struct bb_member self;
    uint64_t seed; /* of the pseudo-random choices */
    /* Sends one datagram of at most BB_GOSSIP_DATAGRAM_MAX_BYTES; context is
     * the field below. */
    void (*send)(void *context, const struct bb_address *to, const void *data,
                 size_t size_bytes);
    void *context;
};

struct bb_gossip *bb_gossip_create(const struct bb_gossip_settings *settings,
                                   uint64_t now_us);
void bb_gossip_destroy(struct bb_gossip *g);
void bb_gossip_tick(struct bb_gossip *g, uint64_t now_us);
bool bb_gossip_receive(struct bb_gossip *g, const struct bb_address *from,
                       const void *data, size_t size_bytes, uint64_t now_us);

void bb_gossip_update_self(struct bb_gossip *g, const struct bb_member *record,
                           uint64_t now_us);
void bb_gossip_raise_own_revision(struct bb_gossip *g, uint64_t revision,
                                  uint64_t now_us);
void bb_gossip_get_self(struct bb_gossip *g, struct bb_member *out);
void bb_gossip_refute_if_needed(struct bb_gossip *g,
                                const struct bb_member *seen, uint64_t now_us);
void bb_gossip_leave(struct bb_gossip *g, uint64_t now_us);
void bb_gossip_ping_now(struct bb_gossip *g, const char *host,
                        uint64_t now_us);
void bb_gossip_enable_zone_pings(struct bb_gossip *g, bool is_enabled);

void bb_gossip_raise_highest_revision(struct bb_gossip *g, uint64_t revision);
uint64_t bb_gossip_get_highest_revision(struct bb_gossip *g);
bool bb_gossip_take_differing_peer(struct bb_gossip *g, uint64_t now_us,
                                   char host[BB_NAME_BYTES]);

struct bb_gossip_socket;

struct bb_gossip_socket *
bb_gossip_socket_create(const struct bb_address *bind_address,
                        struct bb_error *e);
uint16_t bb_gossip_socket_get_port(const struct bb_gossip_socket *s);
void bb_gossip_socket_send(void *gossip_socket, const struct bb_address *to,
                           const void *data, size_t size_bytes);
bool bb_gossip_socket_start(struct bb_gossip_socket *s, struct bb_gossip *g,
                            struct bb_error *e);
void bb_gossip_socket_stop(struct bb_gossip_socket *s);
void bb_gossip_socket_destroy(struct bb_gossip_socket *s);

#endif
