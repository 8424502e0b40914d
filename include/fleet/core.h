/* A control host: discovers the others from a few seed addresses, agrees with
 * them on one configuration by quorum, and sends it and the announcements of
 * upstreams to the connected nodes. Everything runs in the loop's thread. */
#ifndef BB_FLEET_CORE_H
#define BB_FLEET_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "common/settings.h"
#include "decide/quorum.h"
#include "decide/rollout.h"
#include "fleet.h"

enum {
    /* Interval of the status message to nodes. A node that misses two of them
     * connects to another host. */
    BB_CORE_STATUS_INTERVAL_MS = 1000,
    BB_CORE_CONNECT_TIMEOUT_MS = 500,
    /* Delay before connecting to a peer again; doubles up to the maximum. */
    BB_CORE_RECONNECT_MIN_MS = 300,
    BB_CORE_RECONNECT_MAX_MS = 2000,
    /* Callers try another host after one second, so a read ends before
     * that. */
    BB_CORE_READ_TIMEOUT_MS = 900,
    BB_CORE_PROPOSAL_TIMEOUT_MS = 3000,
    /* Delay before a failed write of the state is retried. */
    BB_CORE_STORE_RETRY_MS = 500,
    /* Interval at which the leader checks the set of voters, and at which a
     * host that may bootstrap the cluster checks whether it can. */
    BB_CORE_VOTER_PLAN_INTERVAL_MS = 250,
    /* How long that host waits for all seeds; longer than hosts that start
     * together take, and shorter than operators wait for a response. */
    BB_CORE_BOOTSTRAP_WAIT_MS = 2500,
    /* A node that may connect to a nearer control host is sent the state only
     * if it stays for this long. */
    BB_CORE_REDIRECT_WAIT_MS = 300,
    /* Changed instance records are collected for this long and passed on
     * together. */
    BB_CORE_INSTANCE_BATCH_MS = 50,
    /* Control hosts compare their instance records at this interval, once
     * theirs have not changed for the second time. */
    BB_CORE_DIGEST_INTERVAL_MS = 2000,
    BB_CORE_DIGEST_QUIET_MS = 1000,
    /* A host that is disconnected for this long is left out of the lists sent
     * to other hosts and nodes. */
    BB_CORE_PEER_EXPIRY_MS = 30000,
    /* Evidence of nodes is summed up for this long before it is sent to the
     * leader. */
    BB_CORE_EVIDENCE_BATCH_MS = 100,
    /* Interval at which the leader decides on running rollouts. */
    BB_CORE_ROLLOUT_INTERVAL_MS = 50
};

struct bb_core;

struct bb_core_settings {
    const char *ip;                 /* must outlive the core */
    struct bb_address peer_address; /* where other hosts and nodes connect */
    struct bb_address
        operator_address; /* sent to other hosts, for redirects */
    const char *zone;
    const char *region;
    const char *data_folder;
    /* Operator addresses of control hosts; see bb_core_set_seeds. */
    struct bb_address_list seeds;
    /* The cluster does not exist yet: the first seed host bootstraps it, with
     * the seed hosts as voters, once all of them (later: most of them) are
     * connected and have empty disks. */
    bool may_bootstrap;
    /* Number of voters that the leader aims for, as bb_voters_target_count
     * returns it: from 3 to BB_QUORUM_VOTERS_MAX - 1. */
    uint32_t target_voter_count;
    /* Bounds of rollouts; canary_permille 0: there are none. */
    struct bb_rollout_bounds rollout_bounds;
    /* Time over which quotas of teams are granted, 0: none is stated. */
    uint32_t quota_window_ms;
};

enum bb_core_proposal_outcome {
    BB_CORE_PROPOSAL_ACCEPTED,
    /* Its base is not the newest version, or its own version is not higher
     * than the newest. */
    BB_CORE_PROPOSAL_STALE, /* or another rollout of the service is running */
    BB_CORE_PROPOSAL_UNKNOWN, /* no majority in time; may still be committed */
    BB_CORE_PROPOSAL_NOT_LEADER, /* this host is not the leader */
    BB_CORE_PROPOSAL_TOO_LARGE   /* exceeds BB_CONFIG_MAX_BYTES */
};

typedef void (*bb_core_proposal_callback)(
    void *context, enum bb_core_proposal_outcome outcome,
    uint64_t newest_version);
/* Result of a read. If is_confirmed is true, a majority confirmed the read and
 * config is the committed configuration, or NULL if there is none yet. config
 * is NULL if is_confirmed is false. It is unreferenced after the call. */
typedef void (*bb_core_read_callback)(void *context, bool is_confirmed,
                                      GBytes *config);
/* Result of a read of a rollout; NULL: the service never had one, or the read
 * is not confirmed. It is valid during the call. */
typedef void (*bb_core_rollout_callback)(void *context, bool is_confirmed,
                                         const fleet_rollout *rollout);

struct bb_core *bb_core_create(uv_loop_t *loop,
                               const struct bb_core_settings *s,
                               struct bb_error *e);
void bb_core_destroy(struct bb_core *c);
void bb_core_set_seeds(struct bb_core *c, const struct bb_address_list *seeds);
bool bb_core_find_leader(struct bb_core *c,
                         struct bb_address *operator_address, bool *is_self);
void bb_core_propose(struct bb_core *c, uint64_t base_version,
                     uint64_t version, GBytes *config,
                     bb_core_proposal_callback done, void *context);
void bb_core_read_config(struct bb_core *c, bb_core_read_callback done,
                         void *context);
GBytes *bb_core_committed_config(const struct bb_core *c);
void bb_core_begin_rollout(struct bb_core *c, const char *service,
                           const char *target, uint64_t duration_ms,
                           bb_core_proposal_callback done, void *context);
void bb_core_read_rollout(struct bb_core *c, const char *service,
                          bb_core_rollout_callback done, void *context);
void bb_core_cancel_requests(struct bb_core *c, void *context);

#endif
