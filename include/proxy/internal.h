/* Internal declarations shared by the modules of the proxy: the proxy itself,
 * and an exchange, which is a request from its first byte to the last byte of
 * its response. Times ending in _us are those of bb_clock_now_us. */
#ifndef BB_PROXY_INTERNAL_H
#define BB_PROXY_INTERNAL_H

#include <microhttpd.h>
#include <stdatomic.h>

#include "common/random.h"
#include "decide/call_recovery.h"
#include "proxy/body.h"
#include "proxy/claims.h"
#include "proxy/gatekeeper.h"
#include "proxy/headers.h"
#include "proxy/http_client.h"
#include "proxy/picker.h"
#include "proxy/proxy.h"
#include "proxy/table.h"

enum {
    BB_ID_TEXT_BYTES = 2 * BB_REQUEST_ID_BYTES + 1,
    BB_ATTEMPTS_ACTIVE_MAX = 2, /* an attempt and its hedge */
    BB_HOST_TEXT_BYTES = 64
};

struct bb_proxy {
    struct bb_proxy_settings settings;
    char host[BB_NAME_BYTES];
    char zone[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    struct bb_current_table *current_table;
    struct bb_workers *workers;
    struct bb_http_client *client;
    /* For the local upstream only. A call that holds a slot there must not
     * wait for workers that themselves wait for slots of other gatekeepers. */
    struct bb_workers *upstream_workers;
    struct bb_http_client *upstream_client;
    struct bb_gatekeeper *gatekeeper;
    struct bb_picker *picker;
    struct bb_claims *claims;
    struct bb_random *random;
    struct MHD_Daemon *caller_daemon;
    struct MHD_Daemon *local_daemon;
    struct bb_address caller_address;
    struct bb_address local_address;
    pthread_t tick_thread;
    bool has_tick_thread;
    atomic_bool is_stopping;
    atomic_bool is_draining;
    atomic_uint in_flight; /* requests of callers and other nodes */
};

/* An active attempt to run a request at a gatekeeper. */
struct bb_attempt {
    bool is_active;
    struct bb_http_call *call; /* NULL after its connection broke */
    const struct bb_table_gatekeeper *gatekeeper;
    uint64_t host_key;
    uint64_t incarnation;         /* expected incarnation of the gatekeeper */
    bool is_local;                /* sent to this node's upstream */
    bool fetches_stored_response; /* instead of running the request */
    bool may_refuse_as_slow;      /* see struct bb_pick_result */
    /* The last response was a refusal by the gatekeeper's record. */
    bool is_refused_by_record;
    bool has_spun_for_response; /* spun once for the end of a short response */
    bool is_query_retried;      /* before giving the connection up */
    uint64_t start_us;
    struct bb_call_recovery recovery;
};

enum bb_outcome_kind {
    BB_OUTCOME_NONE, /* not decided yet */
    BB_OUTCOME_RESPONSE,
    BB_OUTCOME_STORED,
    BB_OUTCOME_REFUSED
};

struct bb_outcome {
    enum bb_outcome_kind kind;
    struct bb_http_call *call;         /* of BB_OUTCOME_RESPONSE */
    struct bb_stored_response *stored; /* of BB_OUTCOME_STORED */
    /* Of BB_OUTCOME_REFUSED. */
    enum bb_reason reason;
    enum bb_ran ran;
};

struct bb_exchange {
    struct bb_proxy *proxy;
    struct MHD_Connection *connection; /* NULL until the head is complete */
    struct bb_table *table;
    const struct bb_route *route;
    const struct bb_table_service *service;
    const char *service_name;
    struct bb_headers *headers;
    char *method;
    char *url;
    int64_t length_bytes; /* of the body, or BB_LENGTH_CHUNKED */
    struct bb_body *body;
    /* Of the body. Restarts from 0 when is_discarding is set by a write. */
    uint64_t received_bytes;
    bool is_streaming;  /* the body is forwarded while it arrives */
    bool is_discarding; /* the rest of the body is ignored */
    bool is_counted_in_flight;
    bool is_forwarded; /* by the entry node; this node is the gatekeeper */
    bool is_idempotent;
    bool is_keyed; /* a non-idempotent request with an idempotency key */
    bool wants_stored_response; /* fetches it instead of running the request */
    bool may_refuse_as_slow; /* set by the entry node of a forwarded request */
    /* Hash of the service name and the key that the caller sent
     * (bb_request_id_from_key). */
    struct bb_request_id idempotency_key;
    uint32_t claim_attempt; /* of the claim that holds the key */
    /* Of the last attempt. */
    const struct bb_table_gatekeeper *last_gatekeeper;
    uint64_t last_incarnation; /* expected by the last attempt */
    struct bb_request_id id;
    char id_text[BB_ID_TEXT_BYTES];
    uint64_t incarnation; /* expected by a forwarded request */
    uint64_t start_us;
    uint64_t deadline_us;
    uint32_t depth;
    enum bb_admission_class work_class;
    uint32_t idle_timeout_ms;
    struct bb_notifier *notifier;
    struct bb_attempt attempts[BB_ATTEMPTS_ACTIVE_MAX];
    uint32_t attempt_count; /* started so far, hedges included */
    uint32_t hedge_count;   /* tried, including those without budget */
    uint64_t excluded[BB_ROUTE_EXCLUDED_MAX]; /* host keys of gatekeepers */
    uint32_t excluded_count;
    /* Why the last retried attempt failed, and whether any failed attempt may
     * have run. */
    enum bb_reason last_retry_reason;
    bool may_have_run;
    struct bb_outcome outcome;
};

/* exchange.c */
struct bb_exchange *bb_exchange_create(struct bb_proxy *p, const char *url);
void bb_exchange_destroy(struct bb_exchange *x);
enum MHD_Result bb_exchange_process(struct bb_exchange *x,
                                    struct MHD_Connection *connection,
                                    const char *method, const char *data,
                                    size_t *size);
void bb_exchange_refuse(struct bb_exchange *x, enum bb_reason reason,
                        enum bb_ran ran);

/* request.c: heads of requests, request ids and host keys */
void bb_request_parse_head(struct bb_exchange *x, const char *method);
const char *bb_id_format(const struct bb_request_id *id,
                         char text[BB_ID_TEXT_BYTES]);
uint64_t bb_host_key(const char *host);
bool bb_id_parse(const char *text, struct bb_request_id *id);

/* entry.c */
void bb_exchange_run_attempts(struct bb_exchange *x, bool until_sending);
void bb_exchange_release_attempts(struct bb_exchange *x);

/* entry.c, for hedge.c, refusal.c and recovery.c */
void bb_exchange_refuse_as_entry(struct bb_exchange *x, enum bb_reason reason,
                                 enum bb_ran ran);
uint32_t bb_exchange_active_attempts(const struct bb_exchange *x);
void bb_exchange_finish_attempt(struct bb_exchange *x,
                                struct bb_attempt *attempt,
                                enum bb_attempt_result result);
void bb_exchange_exclude_gatekeeper(struct bb_exchange *x, uint64_t host_key);
void bb_exchange_retry_or_refuse(struct bb_exchange *x, uint64_t host_key,
                                 enum bb_reason reason, enum bb_ran ran,
                                 bool is_body_consumed);
void bb_exchange_start_attempt(struct bb_exchange *x,
                               struct bb_attempt *attempt, bool is_hedge);

/* refusal.c */
bool bb_exchange_process_refusal(struct bb_exchange *x,
                                 struct bb_attempt *attempt);
enum bb_attempt_result bb_attempt_result_from_reason(enum bb_reason reason);

/* hedge.c */
bool bb_exchange_can_hedge(const struct bb_exchange *x,
                           struct bb_hedge_request *q, uint64_t *at_us);
void bb_exchange_try_hedge(struct bb_exchange *x);

/* recovery.c */
bool bb_exchange_is_body_consumed(const struct bb_exchange *x,
                                  const struct bb_attempt *attempt);
void bb_exchange_on_connection_lost(struct bb_exchange *x,
                                    struct bb_attempt *attempt);
void bb_exchange_check_recovery(struct bb_exchange *x,
                                struct bb_attempt *attempt);

/* attempt.c: a single attempt at the local upstream or another node */
struct bb_outcome bb_attempt_start_local(struct bb_exchange *x,
                                         struct bb_attempt *attempt);
struct bb_outcome bb_attempt_start_peer(struct bb_exchange *x,
                                        struct bb_attempt *attempt);
enum bb_reason bb_http_call_upstream_refusal(const struct bb_http_call *call);
void bb_attempt_cancel(struct bb_exchange *x,
                       const struct bb_attempt *attempt);

/* rpc.c: the QUERY, CANCEL and CLAIM procedures. bb_peer_rpc_query,
 * bb_peer_rpc_cancel and bb_peer_rpc_claim call another node.
 * bb_exchange_query_gatekeeper and bb_attempt_cancel also handle the
 * gatekeeper of this node. */
bool bb_peer_rpc_query(struct bb_exchange *x, const struct bb_attempt *attempt,
                       enum bb_query_result *result);
void bb_peer_rpc_cancel(struct bb_proxy *p, const struct bb_address *to,
                        const struct bb_request_id *id);
void bb_peer_rpc_unregister(const struct bb_proxy *p);
void bb_proxy_cancel_local(struct bb_proxy *p, const struct bb_request_id *id);
bool bb_peer_rpc_claim(struct bb_proxy *p, const struct bb_address *to,
                       const struct bb_request_id *key,
                       const struct bb_claim *claim, uint64_t epoch,
                       struct bb_witness_response *out);

/* claim_key.c: claims keys before requests are sent */
struct bb_outcome bb_exchange_claim_key(struct bb_exchange *x,
                                        struct bb_attempt *attempt);
bool bb_exchange_query_gatekeeper(struct bb_exchange *x,
                                  const struct bb_table_gatekeeper *g,
                                  uint64_t incarnation,
                                  enum bb_query_result *result);

/* response.c */
enum MHD_Result bb_exchange_respond(struct bb_exchange *x);

/* announce.c: PUT /v1/upstream on the local address */
struct bb_local_request;
enum MHD_Result bb_local_process(struct bb_proxy *p,
                                 struct MHD_Connection *connection,
                                 const char *url, const char *method,
                                 const char *data, size_t *size, void **state);
void bb_local_request_destroy(void **state);

#endif
