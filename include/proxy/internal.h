/* Internal declarations shared by the modules of the proxy: the proxy itself,
 * and an exchange, which is a request from its first byte to the last byte of
 * its response. */
#ifndef BB_PROXY_INTERNAL_H
#define BB_PROXY_INTERNAL_H

#include <microhttpd.h>
#include <stdatomic.h>

#include "common/random.h"
#include "decide/probe.h"
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

#define BB_UPSTREAM_REFUSED_FIELD "X-Upstream-Refused"

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
    const struct bb_endpoint *endpoint;
    uint64_t host_key;
    uint64_t incarnation;         /* expected incarnation of the gatekeeper */
    bool is_local;                /* sent to this node's upstream */
    bool fetches_stored_response; /* only asks for the stored response */
    bool may_go_elsewhere;        /* may be refused if the upstream is slow */
    bool is_refused_by_record;
    bool has_spun_for_response; /* spun once for the end of a short response */
    bool is_query_retried;      /* before giving the connection up */
    uint64_t start_us;
    struct bb_probe probe;
};

enum bb_outcome_kind {
    BB_OUTCOME_NONE, /* not decided yet */
    BB_OUTCOME_RESPONSE,
    BB_OUTCOME_STORED,
    BB_OUTCOME_REFUSED
};

struct bb_outcome {
    enum bb_outcome_kind kind;
    struct bb_http_call *call;
    struct bb_stored_response *stored;
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
    int64_t length_bytes;
    struct bb_body *body;
    uint64_t received_bytes;
    bool is_streaming;  /* the body is forwarded while it arrives */
    bool is_discarding; /* the rest of the body is ignored */
    bool is_counted_in_flight;
    bool is_forwarded;
    bool is_idempotent;
    bool is_keyed; /* the caller sent an idempotency key */
    bool wants_stored_response;
    bool may_go_elsewhere; /* set by the entry node of a forwarded request */
    struct bb_request_id idempotency_key; /* of this service */
    uint32_t claim_attempt;               /* of the claim that holds the key */
    const struct bb_endpoint *last_gatekeeper; /* of the last attempt */
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
    uint32_t hedge_count;
    uint64_t excluded[BB_PICK_EXCLUDED_MAX]; /* keys of gatekeepers */
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
uint64_t bb_hash_host(const char *host);
bool bb_id_parse(const char *text, struct bb_request_id *id);

/* entry.c */
void bb_entry_run_attempts(struct bb_exchange *x, bool until_sending);
void bb_entry_release(struct bb_exchange *x);

/* entry.c, for hedge.c, refusal.c and recovery.c */
void bb_entry_refuse(struct bb_exchange *x, enum bb_reason reason,
                     enum bb_ran ran);
uint32_t bb_entry_active_attempts(const struct bb_exchange *x);
void bb_entry_finish_attempt(struct bb_exchange *x, struct bb_attempt *attempt,
                             enum bb_attempt_result result);
void bb_entry_exclude_gatekeeper(struct bb_exchange *x, uint64_t host_key);
void bb_entry_retry_or_refuse(struct bb_exchange *x, uint64_t host_key,
                              enum bb_reason reason, enum bb_ran ran,
                              bool is_body_consumed);
void bb_entry_start_attempt(struct bb_exchange *x, struct bb_attempt *attempt,
                            bool is_hedge);

/* refusal.c */
bool bb_entry_process_refusal(struct bb_exchange *x,
                              struct bb_attempt *attempt);
enum bb_attempt_result bb_attempt_result_from_reason(enum bb_reason reason);

/* hedge.c */
bool bb_entry_can_hedge(const struct bb_exchange *x,
                        struct bb_hedge_request *q, uint64_t *at_us);
void bb_entry_try_hedge(struct bb_exchange *x);

/* recovery.c */
bool bb_entry_is_body_consumed(const struct bb_exchange *x,
                               const struct bb_attempt *attempt);
void bb_entry_on_connection_lost(struct bb_exchange *x,
                                 struct bb_attempt *attempt);
void bb_entry_check_probe(struct bb_exchange *x, struct bb_attempt *attempt);

/* attempt.c: a single attempt at the local upstream or another node */
struct bb_outcome bb_attempt_start_local(struct bb_exchange *x,
                                         struct bb_attempt *attempt);
struct bb_outcome bb_attempt_start_peer(struct bb_exchange *x,
                                        struct bb_attempt *attempt);
enum bb_reason bb_http_call_upstream_refusal(const struct bb_http_call *call);
void bb_attempt_cancel(struct bb_exchange *x,
                       const struct bb_attempt *attempt);

/* rpc.c: the QUERY, CANCEL and CLAIM procedures */
bool bb_rpc_query(struct bb_exchange *x, const struct bb_attempt *attempt,
                  enum bb_query_result *result);
void bb_rpc_cancel(struct bb_proxy *p, const struct bb_address *to,
                   const struct bb_request_id *id);
void bb_rpc_unregister(const struct bb_proxy *p);
void bb_rpc_cancel_local(struct bb_proxy *p, const struct bb_request_id *id);

bool bb_rpc_claim(struct bb_proxy *p, const struct bb_address *to,
                  const struct bb_request_id *key,
                  const struct bb_claim *claim, uint64_t epoch,
                  struct bb_witness_response *out);

/* claim_key.c: claims keys before requests are sent */
struct bb_outcome bb_exchange_claim_key(struct bb_exchange *x,
                                        struct bb_attempt *attempt);
bool bb_exchange_query_claim(struct bb_exchange *x,
                             const struct bb_endpoint *e, uint64_t incarnation,
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
