/* Several mesh members in one process, with real gossip sockets on the
 * loopback interface and a fake RPC transport that runs the handlers of the
 * called member directly. The fake configuration of each member is its
 * revision number as decimal text. */
#ifndef BB_TESTS_FAKE_MESH_H
#define BB_TESTS_FAKE_MESH_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "mesh/mesh.h"
#include "unit.h"
#include <mesh_protocol.h> /* generated from mesh/mesh_protocol.x */

enum {
    FAKE_MEMBERS_MAX = 40,
    /* The RPC port of member i is FAKE_PORT_BASE + i. It is never opened:
     * fake_call finds the called member by it. */
    FAKE_PORT_BASE = 40000,
    FAKE_DELTA_REVISIONS_MAX = 64,
    FAKE_POLL_MS = 5
};

_Static_assert(MESH_FETCH == 2, "procedure number that peers call");

struct fake_member {
    struct bb_mesh *mesh;
    struct bb_mesh_settings settings;
    /* Held by the running handler, so that only one runs at a time, as on the
     * thread of an RPC server. */
    pthread_mutex_t rpc_server_lock;
    atomic_uint_fast64_t held;
    atomic_uint deltas_applied;
    atomic_uint snapshots_applied;
    atomic_uint fetches_served;      /* FETCH calls received */
    atomic_bool incoming_calls_fail; /* calls to it time out */
    atomic_bool outgoing_calls_fail; /* calls from it time out */
    atomic_bool rejects_payloads;    /* it rejects every payload */
    atomic_uint_fast64_t applied_us;
};

static struct fake_member fakes[FAKE_MEMBERS_MAX];
static struct bb_control_list fake_control_hosts;
static uint64_t fake_incarnation = 1;

/* Encodes the held revision: as a delta against revisions that are less than
 * FAKE_DELTA_REVISIONS_MAX older, else as a snapshot. */
static inline bool
fake_encode_payload(void *context, uint64_t have, struct bb_mesh_payload *out)
{
    struct fake_member *f = context;
    uint64_t held = atomic_load(&f->held);
    char text[32];

    if (held == 0 || held <= have) {
        return false;
    }
    (void)snprintf(text, sizeof(text), "%llu", (unsigned long long)held);
    *out = (struct bb_mesh_payload){
        .revision = held,
        .digest = bb_digest_compute(text, strlen(text)),
        .is_delta = have != 0 && held - have < FAKE_DELTA_REVISIONS_MAX,
        .base_revision = have,
        .data = (uint8_t *)strdup(text),
        .size_bytes = strlen(text),
    };
    return true;
}

/* Applies a payload by making its revision the held one. */
static enum bb_mesh_apply_result
fake_apply_payload(void *context, const struct bb_mesh_payload *p,
                   uint64_t *held)
{
    struct fake_member *f = context;
    struct bb_digest digest = bb_digest_compute(p->data, p->size_bytes);

    *held = atomic_load(&f->held);
    if (atomic_load(&f->rejects_payloads) ||
        !bb_digest_equal(&digest, &p->digest)) {
        return BB_MESH_INVALID;
    }
    if (p->revision <= *held) {
        return BB_MESH_STALE;
    }
    if (p->is_delta && p->base_revision != *held) {
        return BB_MESH_NEED_SNAPSHOT;
    }
    atomic_fetch_add(p->is_delta ? &f->deltas_applied : &f->snapshots_applied,
                     1);
    *held = p->revision;
    atomic_store(&f->held, p->revision);
    atomic_store(&f->applied_us, bb_clock_now_us());
    return BB_MESH_APPLIED;
}

/* Runs the handler of the called member. Fails if the member is not running,
 * and after the timeout if calls to or from a member are set to fail. */
static inline bool
fake_call(void *context, const struct bb_address *to,
          const struct bb_rpc_call *call, struct bb_error *e)
{
    struct fake_member *from = context;
    struct fake_member *f = &fakes[to->port - FAKE_PORT_BASE];
    bool is_done = false;

    if (atomic_load(&f->incoming_calls_fail) ||
        atomic_load(&from->outgoing_calls_fail)) {
        bb_clock_sleep_us(call->timeout_ms * BB_US_PER_MS);
        return bb_error_set(e, BB_RPC_ERROR_TIMEOUT, "no response");
    }
    (void)pthread_mutex_lock(&f->rpc_server_lock);
    if (f->mesh != NULL) {
        atomic_fetch_add(&f->fetches_served, call->procedure == MESH_FETCH);
        is_done = bb_mesh_dispatch(f->mesh, call->procedure, call->argument,
                                   call->result);
    }
    (void)pthread_mutex_unlock(&f->rpc_server_lock);
    return is_done || bb_error_set(e, BB_RPC_ERROR_CONNECT, "not running");
}

/* Starts member i with a new incarnation and no configuration. */
static inline void
fake_start_member(uint32_t i, enum bb_member_role role, const char *zone,
                  const char *region)
{
    struct fake_member *f = &fakes[i];
    struct bb_error e = {0};
    struct bb_member self = {
        .role = role,
        .rpc_address = {.ip = "127.0.0.1",
                        .port = (uint16_t)(FAKE_PORT_BASE + i)},
        .incarnation = ++fake_incarnation,
    };
    struct bb_mesh *mesh;

    (void)snprintf(self.host, sizeof(self.host), "host-%u", i);
    (void)snprintf(self.zone, sizeof(self.zone), "%s", zone);
    (void)snprintf(self.region, sizeof(self.region), "%s", region);
    atomic_store(&f->held, 0);
    atomic_store(&f->deltas_applied, 0);
    atomic_store(&f->snapshots_applied, 0);
    f->settings = (struct bb_mesh_settings){
        .self = self,
        .control_hosts = fake_control_hosts,
        .gossip_bind_address = {.ip = "127.0.0.1"},
        .seed = i + 1,
        .callbacks = {.context = f,
                      .encode_payload = fake_encode_payload,
                      .apply_payload =
                          role == BB_ROLE_NODE ? fake_apply_payload : NULL},
        .transport = {.context = f, .call = fake_call},
    };
    mesh = bb_mesh_create(&f->settings, &e);
    CU_ASSERT_PTR_NOT_NULL_FATAL(mesh);
    (void)pthread_mutex_lock(&f->rpc_server_lock);
    f->mesh = mesh;
    (void)pthread_mutex_unlock(&f->rpc_server_lock);
    CU_ASSERT_TRUE_FATAL(bb_mesh_start(mesh, &e));
}

static inline void
fake_stop_member(uint32_t i)
{
    struct fake_member *f = &fakes[i];
    struct bb_mesh *mesh = f->mesh;

    bb_mesh_stop(mesh, false);
    (void)pthread_mutex_lock(&f->rpc_server_lock);
    f->mesh = NULL;
    (void)pthread_mutex_unlock(&f->rpc_server_lock);
    bb_mesh_destroy(mesh);
}

static inline void
fake_add_control_host(uint32_t i, const char *zone, const char *region)
{
    struct bb_control_host *c =
        &fake_control_hosts.items[fake_control_hosts.count++];

    (void)snprintf(c->host, sizeof(c->host), "host-%u", i);
    (void)snprintf(c->zone, sizeof(c->zone), "%s", zone);
    (void)snprintf(c->region, sizeof(c->region), "%s", region);
    c->rpc_address = (struct bb_address){
        .ip = "127.0.0.1", .port = (uint16_t)(FAKE_PORT_BASE + i)};
}

static inline void
fake_announce_revision(uint32_t i, uint64_t revision)
{
    const struct bb_digest none = {0};

    atomic_store(&fakes[i].held, revision);
    bb_mesh_announce_revision(fakes[i].mesh, revision, &none);
}

/* Waits until members first to end - 1 hold a revision. Returns the time
 * taken in milliseconds, or UINT64_MAX if it exceeds limit_ms. */
static inline uint64_t
fake_wait_held(uint32_t first, uint32_t end, uint64_t revision,
               uint32_t limit_ms)
{
    uint64_t start_us = bb_clock_now_us();

    for (;;) {
        uint64_t took_ms = (bb_clock_now_us() - start_us) / BB_US_PER_MS;
        uint32_t behind = 0;

        for (uint32_t i = first; i < end; i++) {
            behind += atomic_load(&fakes[i].held) < revision;
        }
        if (behind == 0) {
            return took_ms;
        }
        if (took_ms > limit_ms) {
            return UINT64_MAX;
        }
        bb_clock_sleep_us(FAKE_POLL_MS * BB_US_PER_MS);
    }
}

#endif
