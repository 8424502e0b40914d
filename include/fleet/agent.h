/* Client of the control hosts that runs on each node: announces the node's
 * local upstream, and receives the committed configuration and the instance
 * records of the other nodes. It keeps one connection, to the nearest control
 * host that has a quorum. */
#ifndef BB_FLEET_AGENT_H
#define BB_FLEET_AGENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/settings.h"
#include "decide/lease.h"
#include "decide/quota.h"
#include "fleet/content.h"
#include "fleet/instances.h"

enum {
    BB_AGENT_CONNECT_TIMEOUT_MS = 400,
    /* A connection without any message for this long is given up and another
     * host is tried. Control hosts send their status every
     * BB_CORE_STATUS_INTERVAL_MS (one second). */
    BB_AGENT_SILENCE_TIMEOUT_MS = 2200,
    /* A host that reports no quorum for this long is left, if another one is
     * known. An election takes about as long. */
    BB_AGENT_NO_QUORUM_TIMEOUT_MS = 1500,
    /* The delay before the next connection attempt is random, up to a limit
     * that starts at the first value and doubles with each failure up to the
     * second. */
    BB_AGENT_RETRY_MIN_MS = 100,
    BB_AGENT_RETRY_MAX_MS = 1000,
    /* A host whose connection failed is tried after all others for this
     * long. */
    BB_AGENT_AVOID_FAILED_MS = 6000
};

struct bb_agent;

/* Callbacks, required unless stated; they run in the loop's thread. Those of
 * leases may be NULL. */
struct bb_agent_events {
    /* A newer configuration was committed. config is the operators' text; it
     * is unreferenced after the call. `state` is the replicated state that
     * holds it, valid during the call. */
    void (*config_updated)(void *context, uint64_t version,
                           const struct bb_state_id *state, GBytes *config);
    /* A newer state was committed that holds the same configuration as the one
     * before. May be NULL. */
    void (*config_kept)(void *context, const struct bb_state_id *state);
    /* The committed rollouts have changed; valid during the call. NULL: they
     * are ignored. */
    void (*rollouts_updated)(void *context, const fleet_rollout *list,
                             uint32_t count);
    /* The instance record of another node was added or replaced. */
    void (*instance_updated)(void *context, const fleet_instance *i);
    /* Called once for each connection, with the instance record that the
     * control host already holds for this node's own gate, or NULL if it holds
     * none. The record may date from this run or an earlier one. It is valid
     * during the call only. */
    void (*own_instance_received)(void *context, const fleet_instance *own);
    /* All known hosts failed in a row, or none is known: the seed addresses
     * should be read again. */
    void (*no_host_reachable)(void *context);
    /* A control host can be asked: bb_agent_ask_lease sends from now on. */
    void (*host_connected)(void *context);
    /* The control host has answered a request of bb_agent_ask_lease. */
    void (*lease_granted)(void *context, uint64_t number,
                          const struct bb_state_id *state);
};

/* Texts are not copied; they must outlive the agent. */
struct bb_agent_settings {
    const char *ip;
    const char *zone;
    const char *region;
    const char *gate_address; /* address of this node's gate, as announced */
    uint16_t control_port;    /* on which control hosts accept connections */
    /* Wall clock at the start of the process, used as the first incarnation of
     * its announcements so that they supersede those of earlier runs. If the
     * clock went back in between, the agent raises the incarnation itself. */
    uint64_t start_wall_ms;
    struct bb_address_list seeds;
    /* Counts of the entry, which must outlive the agent; NULL: quotas of teams
     * are not in use. */
    struct bb_quota_node *quota;
};

struct bb_agent *bb_agent_create(uv_loop_t *loop,
                                 const struct bb_agent_settings *s,
                                 const struct bb_agent_events *events,
                                 void *context);
void bb_agent_set_seeds(struct bb_agent *a,
                        const struct bb_address_list *seeds);
void bb_agent_announce(struct bb_agent *a, const fleet_instance *own);
bool bb_agent_ask_lease(struct bb_agent *a, uint64_t number);
bool bb_agent_is_in_touch(const struct bb_agent *a);
void bb_agent_send_evidence(struct bb_agent *a, fleet_rollout_evidence *list,
                            uint32_t count);
void bb_agent_destroy(struct bb_agent *a);

#endif
