/* Replicates the sequence of accepted configurations between control hosts.
 * Runs the consensus protocol (decide/agree.h) in one thread, called the
 * engine, with a job queue; persists its state; and has threads that call the
 * other control hosts.
 *
 * A payload is an encoded bundle, identified by its digest. A revision is the
 * number of an accepted payload; the revision in force is the highest one.
 *
 * No other lock is taken while the lock of a bb_replicate is held. Callbacks
 * run without it in the engine's thread, unless noted, and must not call
 * bb_replicate_propose, which would wait for that thread. */
#ifndef BB_CONTROL_REPLICATE_H
#define BB_CONTROL_REPLICATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/bundle.h"
#include "config/config.h"
#include "control/store.h"
#include "decide/agree.h"
#include "mesh/rpc.h"

enum {
    BB_REPLICATE_PAYLOAD_MAX_BYTES = BB_BUNDLE_MAX_BYTES,
    /* Larger payloads are fetched by the receiver instead of sent along: an
     * RPC argument holds 252 KiB. */
    BB_REPLICATE_INLINE_PAYLOAD_MAX_BYTES = 240 * 1024,
    BB_REPLICATE_REASON_BYTES = 256 /* of a reason text, with its end */
};

enum bb_replicate_error {
    BB_REPLICATE_ERROR_SETTINGS = 1, /* too many, duplicate or unknown hosts */
    BB_REPLICATE_ERROR_STORE,        /* the data folder cannot be used */
    BB_REPLICATE_ERROR_NO_RESPONSE,  /* a peer did not respond to a call */
    BB_REPLICATE_ERROR_THREAD        /* a thread cannot be started */
};

struct bb_replicate;

/* A control host. */
struct bb_replicate_host {
    char host[BB_NAME_BYTES]; /* its name */
    char region[BB_NAME_BYTES];
    struct bb_address rpc_address;
};

/* Calls procedures of agree.x on other control hosts; tests replace it. */
struct bb_replicate_transport {
    void *context; /* passed to call */
    /* Blocks until the result is filled in or the time is over; called by
     * several threads. Returns false if no result arrived. */
    bool (*call)(void *context, const struct bb_replicate_host *to,
                 uint32_t procedure, void *argument, void *result,
                 uint32_t timeout_ms);
};

struct bb_replicate_settings {
    const char *host; /* name of this host */
    const char *zone; /* unused */
    const char *region;
    /* All control hosts; this host may be left out. */
    const struct bb_replicate_host *hosts;
    uint32_t host_count;
    const char *data_folder;
    uint64_t first_revision; /* of a new cluster; 0 means 1 */
    uint64_t seed;           /* of random election timeouts */
    const struct bb_replicate_transport *transport; /* NULL: ONC RPC */
    const struct bb_store_file_operations
        *file_operations; /* NULL: system calls */
    void *context;        /* passed to the callbacks */
    /* Called for each revision that comes into force, in ascending order and
     * at most once for each. After the start it is also called for the
     * revision recovered from disk. A host that was behind may skip all but
     * the last one. The payload is valid during the call only. May be NULL. */
    void (*revision_committed)(void *context, uint64_t revision,
                               uint64_t version,
                               const struct bb_digest *digest,
                               const void *payload, size_t size_bytes);
    /* Called with the new role and the current term after a step of the
     * protocol changed the role. May be NULL. */
    void (*role_changed)(void *context, enum bb_agree_role role,
                         uint64_t term);
    /* Processes the membership records of another control host and responds
     * with those of this host; *response is freed with g_free. May be NULL.
     * Runs in the RPC server's thread. */
    void (*exchange_members)(void *context, const char *from_host,
                             const void *records, size_t size_bytes,
                             void **response, size_t *response_bytes);
};

enum bb_replicate_outcome {
    BB_REPLICATE_ACCEPTED,
    BB_REPLICATE_STALE_BASE, /* the base is not the leader's last revision */
    BB_REPLICATE_VERSION_CONFLICT, /* the version is not above the highest one
                                    */
    /* No response in time, or this host is behind or cannot store the payload;
     * may be proposed again. */
    BB_REPLICATE_NO_QUORUM,
    BB_REPLICATE_BAD_PAYLOAD /* empty, too large, or another digest */
};

struct bb_replicate_result {
    enum bb_replicate_outcome outcome;
    /* The accepted one; for a stale base or a conflict the last one of the
     * leader's log; else 0. */
    uint64_t revision;
};

struct bb_replicate_peer_status {
    char host[BB_NAME_BYTES];
    bool is_alive; /* a message arrived within the last second */
};

struct bb_replicate_status {
    enum bb_agree_role role;
    uint64_t term;
    char leader_host[BB_NAME_BYTES]; /* empty if unknown */
    uint64_t revision;               /* in force on this host; 0: none */
    uint64_t version; /* of that revision; 0: changed rosters only */
    struct bb_digest payload_digest; /* of its payload */
    uint64_t formation_id; /* random id of the formation; 0: not formed */
    uint64_t disk_id;      /* random id of this host's disk */
    /* A quorum was known to be reachable within the last second. */
    bool has_recent_quorum;
    bool can_vote;
    char no_vote_reason[BB_REPLICATE_REASON_BYTES]; /* empty if can_vote */
    /* On the leader: the host whose new disk is being added, else empty. */
    char joining_host[BB_NAME_BYTES];
    struct bb_replicate_peer_status peers[BB_AGREE_HOSTS_MAX]; /* others */
    uint32_t peer_count;
};

struct bb_replicate *
bb_replicate_create(const struct bb_replicate_settings *settings,
                    struct bb_error *e);
void bb_replicate_destroy(struct bb_replicate *r);
bool bb_replicate_register_rpc(struct bb_replicate *r, struct bb_rpc_server *s,
                               struct bb_error *e);
struct bb_replicate_result
bb_replicate_propose(struct bb_replicate *r, uint64_t base_revision,
                     uint64_t version, const struct bb_digest *digest,
                     const void *payload, size_t size_bytes,
                     uint32_t timeout_ms);
void bb_replicate_status(struct bb_replicate *r,
                         struct bb_replicate_status *status);
bool bb_replicate_exchange_members(struct bb_replicate *r,
                                   const char *peer_host, const void *records,
                                   size_t size_bytes, void **response,
                                   size_t *response_bytes, uint32_t timeout_ms,
                                   struct bb_error *e);
bool bb_replicate_dispatch(struct bb_replicate *r, uint32_t procedure,
                           void *argument, void *result);
const char *bb_replicate_outcome_name(enum bb_replicate_outcome outcome);

#endif
