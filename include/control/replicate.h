/* Runs the quorum protocol of a control host: the state machine in one thread
 * with a queue, its store, and threads that call the other control hosts.
 *
 * Lock order: the lock of a bb_replicate is a leaf; callbacks run without
 * it, in the engine's thread, and must not call bb_replicate_propose. */
#ifndef BB_CONTROL_REPLICATE_H
#define BB_CONTROL_REPLICATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "config/config.h"
#include "control/store.h"
#include "decide/agree.h"
#include "mesh/rpc.h"

enum {
    BB_REPLICATE_PAYLOAD_MAX_BYTES = 1032192, /* 1 MiB less 16 KiB */
    /* Larger payloads are fetched: an RPC argument holds 252 KiB. */
    BB_REPLICATE_INLINE_MAX_BYTES = 240 * 1024,
    BB_REPLICATE_WHY_BYTES = 256
};

enum bb_replicate_error {
    BB_REPLICATE_ERROR_SETTINGS = 1, /* too many hosts, no own id, ... */
    BB_REPLICATE_ERROR_STORE,        /* the data folder cannot be used */
    BB_REPLICATE_ERROR_CALL,         /* a peer could not be called */
    BB_REPLICATE_ERROR_INTERNAL
};

struct bb_replicate;

/* One control host; the list may contain the own one. */
struct bb_replicate_peer {
    char id[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    struct bb_address rpc;
};

/* Calls a procedure of agree.x; ONC RPC unless a test replaces it. */
struct bb_replicate_transport {
    void *context;
    bool (*call)(void *context, const struct bb_replicate_peer *to,
                 uint32_t procedure, void *argument, void *result,
                 uint32_t timeout_ms);
};

struct bb_replicate_settings {
    const char *id;
    const char *zone;
    const char *region;
    const struct bb_replicate_peer *peers;
    uint32_t peer_count;
    const char *data_folder;
    uint64_t first_revision; /* of a new formation; 0 means 1 */
    uint64_t seed;           /* of the election times */
    const struct bb_replicate_transport *transport; /* NULL: ONC RPC */
    const struct bb_store_files *files;             /* NULL: the system's */
    void *context;
    /* In order and exactly once a process for each revision that comes into
     * force; also at the start for the one recovered. A host that was behind
     * gets the last one only. */
    void (*committed)(void *context, uint64_t revision, uint64_t version,
                      const struct bb_digest *digest, const void *payload,
                      size_t size_bytes);
    void (*role_changed)(void *context, enum bb_agree_role role,
                         uint64_t term);
    /* Answers EXCHANGE_MEMBERS; *answer is freed with g_free. May be NULL.
     * Runs in the RPC server's thread. */
    void (*exchange)(void *context, const char *from_id, const void *records,
                     size_t size_bytes, void **answer, size_t *answer_bytes);
};

enum bb_replicate_outcome {
    BB_REPLICATE_ACCEPTED,
    BB_REPLICATE_STALE_BASE,
    BB_REPLICATE_CONFLICT,
    BB_REPLICATE_NO_QUORUM, /* in time; the same proposal may be resent */
    BB_REPLICATE_BAD_PAYLOAD
};

struct bb_replicate_result {
    enum bb_replicate_outcome outcome;
    uint64_t revision; /* accepted, or last one for stale base, conflict */
};

struct bb_replicate_peer_status {
    char id[BB_NAME_BYTES];
    bool is_alive; /* heard within the last second */
};

struct bb_replicate_status {
    enum bb_agree_role role;
    uint64_t term;
    char leader[BB_NAME_BYTES]; /* empty if unknown */
    uint64_t revision;          /* in force here */
    uint64_t version;
    struct bb_digest digest;
    uint64_t formation;   /* 0: not formed */
    uint64_t incarnation; /* of the own disk */
    bool is_confirmed;    /* by a quorum within the last second */
    bool can_vote;
    char why_not[BB_REPLICATE_WHY_BYTES];
    char joining[BB_NAME_BYTES]; /* at the leader: host being replaced */
    struct bb_replicate_peer_status peers[BB_AGREE_HOSTS_MAX];
    uint32_t peer_count;
};

struct bb_replicate *
bb_replicate_create(const struct bb_replicate_settings *settings,
                    struct bb_error *e);
void bb_replicate_destroy(struct bb_replicate *r);
bool bb_replicate_register(struct bb_replicate *r, struct bb_rpc_server *s,
                           struct bb_error *e);
struct bb_replicate_result
bb_replicate_propose(struct bb_replicate *r, uint64_t base, uint64_t version,
                     const struct bb_digest *digest, const void *payload,
                     size_t size_bytes, uint32_t timeout_ms);
void bb_replicate_status(struct bb_replicate *r,
                         struct bb_replicate_status *status);
bool bb_replicate_exchange(struct bb_replicate *r, const char *peer_id,
                           const void *records, size_t size_bytes,
                           void **answer, size_t *answer_bytes,
                           uint32_t timeout_ms, struct bb_error *e);
bool bb_replicate_handle(struct bb_replicate *r, uint32_t procedure,
                         void *argument, void *result);
const char *bb_replicate_outcome_name(enum bb_replicate_outcome outcome);

#endif
