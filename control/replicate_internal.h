/* Internal to the replicate_*.c files.
 *
 * Threads: the engine runs the consensus protocol and processes jobs; the
 * fetcher fetches payloads that a job needs; two senders for each peer make
 * calls. RPC server threads add jobs, complete waiting proposals and read
 * payloads. */
#ifndef BB_CONTROL_REPLICATE_INTERNAL_H
#define BB_CONTROL_REPLICATE_INTERNAL_H

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

#include "common/random.h"
#include "control/agree_codec.h"
#include "control/replicate.h"

enum {
    /* A peer or a quorum counts as reachable for this time. */
    REPLICATE_ALIVE_TIMEOUT_US = 1000 * 1000,
    REPLICATE_URGENT_TIMEOUT_MS = 500, /* of a call without payload */
    REPLICATE_BULK_TIMEOUT_MS = 3000,  /* of a call with a payload */
    /* Sizes of the ring buffers in struct bb_replicate. */
    REPLICATE_INLINED_DIGESTS_MAX = 16,
    REPLICATE_STORED_DIGESTS_MAX = 16,
    REPLICATE_ORIGINS_MAX = 8,
    REPLICATE_RESPONSE_ROUTES_MAX = 64,
    /* Maximum lengths of the queues. */
    REPLICATE_JOBS_MAX = 256,
    REPLICATE_FETCHES_MAX = 16
};

/* A time for replicate_queue_pop that is never reached; with it, the result is
 * never NULL. */
#define REPLICATE_WAIT_FOREVER_US (UINT64_MAX / 2)

/* Work for the engine, or for the fetcher if a payload is missing. */
enum replicate_job_kind {
    REPLICATE_JOB_MESSAGE,
    REPLICATE_JOB_PROPOSAL,
    REPLICATE_JOB_FETCH, /* the payload in force; no message waits for it */
    REPLICATE_JOB_STOP   /* ends the thread */
};

struct replicate_job {
    enum replicate_job_kind kind;
    struct bb_agree_message message;
    struct bb_digest in_force_digest; /* payload that must be stored first */
    uint8_t payload_host;             /* to fetch from */
    uint8_t origin_host;              /* proposal: host that proposed */
    struct bb_agree_proposal proposal;
    struct bb_digest missing_digest; /* what the fetcher has to fetch */
    /* Payload that came with the message or proposal, or NULL; freed with the
     * job. */
    void *payload;
    size_t payload_bytes;
};

/* A queue of jobs or calls between threads. No other lock is taken while its
 * lock is held. */
struct replicate_queue {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    GQueue items;
};

/* A call to a peer. The argument is `propose` for AGREE_PROPOSE and `envelope`
 * for all other procedures. */
struct replicate_outgoing_call {
    uint32_t procedure; /* 0: end the sender's thread */
    agree_envelope envelope;
    agree_propose_message propose;
};

/* Each peer has two sender threads, so that calls with a large payload do not
 * delay heartbeats. */
enum {
    REPLICATE_SENDER_URGENT,
    REPLICATE_SENDER_BULK,
    REPLICATE_SENDERS_PER_PEER
};

struct replicate_sender {
    struct bb_replicate *r;
    uint8_t host; /* the peer */
    struct replicate_queue queue;
    pthread_t thread;
    bool has_queue; /* the queue is initialised */
    bool has_thread;
};

/* Where the response to a proposal is sent. */
struct replicate_response_route {
    uint64_t agree_ticket;  /* in the state machine; 0: unused */
    uint64_t origin_ticket; /* of the host that proposed */
    uint8_t origin_host;    /* number of that host */
};

/* A host that proposed a payload and therefore has it stored. */
struct replicate_payload_origin {
    struct bb_digest digest;
    uint8_t payload_host; /* number of that host */
};

/* A call of bb_replicate_propose that waits for its response. */
struct replicate_waiter {
    uint64_t ticket;
    bool is_complete;
    enum bb_agree_result result;
    uint64_t revision;
    struct replicate_waiter *next;
};

struct bb_replicate {
    struct bb_replicate_settings settings;
    struct bb_replicate_transport transport;
    struct bb_replicate_host hosts[BB_AGREE_HOSTS_MAX]; /* sorted by name */
    uint8_t host_count;
    uint8_t own_host; /* number of this host: its index in hosts */
    /* Hash of all host names; messages with another hash are refused. */
    uint64_t control_hosts_hash;
    char region[BB_NAME_BYTES];
    char *data_folder;
    struct bb_store *store;
    struct bb_random *random;
    struct bb_rpc_pool *pool;

    /* Used by the engine only. */
    struct bb_agree agree;
    struct bb_agree_output output;
    struct replicate_response_route
        response_routes[REPLICATE_RESPONSE_ROUTES_MAX];
    uint64_t last_agree_ticket;
    uint64_t delivered_revision; /* last one passed to the callback */
    /* When to try again to deliver or fetch the revision in force. */
    uint64_t next_delivery_retry_us;
    enum bb_agree_role reported_role;
    uint64_t role_term;
    /* Ring buffers of the last payloads sent inline to each host, found in the
     * store, and proposed by other hosts. */
    struct bb_digest inlined_digests[BB_AGREE_HOSTS_MAX]
                                    [REPLICATE_INLINED_DIGESTS_MAX];
    uint32_t inlined_next[BB_AGREE_HOSTS_MAX];
    struct bb_digest stored_digests[REPLICATE_STORED_DIGESTS_MAX];
    uint32_t stored_next;
    struct replicate_payload_origin payload_origins[REPLICATE_ORIGINS_MAX];
    uint32_t origin_next;

    struct replicate_queue job_queue;
    struct replicate_queue fetch_queue;
    /* Used by the fetcher only: when to ask an unresponsive host again. */
    uint64_t skip_until_us[BB_AGREE_HOSTS_MAX];
    struct replicate_sender senders[BB_AGREE_HOSTS_MAX]
                                   [REPLICATE_SENDERS_PER_PEER];
    pthread_t engine_thread;
    pthread_t fetcher_thread;
    bool has_engine_thread;
    bool has_fetcher_thread;
    atomic_bool is_stopping;

    pthread_mutex_t lock; /* guards the members below */
    pthread_cond_t waiter_completed;
    struct replicate_waiter *waiters; /* on their callers' stacks */
    uint64_t last_ticket;
    struct bb_replicate_status status;
    uint64_t quorum_known_us;
    uint64_t last_heard_us[BB_AGREE_HOSTS_MAX];
    uint8_t leader; /* host or BB_AGREE_NO_HOST */
};

/* replicate_engine.c */
void *replicate_engine_run(void *argument);
void replicate_update_status(struct bb_replicate *r);

/* replicate_output.c */
void replicate_send_message(struct bb_replicate *r,
                            const struct bb_agree_message *m);
void replicate_deliver_committed(struct bb_replicate *r);
void replicate_deliver_revision(struct bb_replicate *r,
                                const struct bb_agree_config *c);
void replicate_send_response(struct bb_replicate *r,
                             const struct bb_agree_response *a);
bool replicate_is_payload_stored(struct bb_replicate *r,
                                 const struct bb_digest *d);
void replicate_complete_proposal(struct bb_replicate *r, uint64_t ticket,
                                 enum bb_agree_result result,
                                 uint64_t revision);

/* replicate_peer.c */
bool replicate_peers_start(struct bb_replicate *r);
void replicate_peers_stop(struct bb_replicate *r);
void replicate_queue_call(struct bb_replicate *r, uint8_t host,
                          uint32_t sender,
                          struct replicate_outgoing_call *call);
void replicate_free_job(void *job);

/* replicate_queue.c */
void replicate_queue_init(struct replicate_queue *q);
void replicate_queue_clear(struct replicate_queue *q,
                           void (*free_item)(void *));
void *replicate_queue_push(struct replicate_queue *q, void *item,
                           uint32_t max);
void *replicate_queue_pop(struct replicate_queue *q, uint64_t until_us);
uint32_t replicate_queue_length(struct replicate_queue *q);

/* replicate_rpc.c */
void replicate_unregister(const struct bb_replicate *r);
bool replicate_call_peer(struct bb_replicate *r, uint8_t host,
                         uint32_t procedure, void *argument, void *result,
                         uint32_t timeout_ms);
bool replicate_rpc_call(void *context, const struct bb_replicate_host *to,
                        uint32_t procedure, void *argument, void *result,
                        uint32_t timeout_ms);

#endif
