/* State and functions shared by entry.c, entry_team.c and attempt.c.
 *
 * A retry is an attempt that the entry makes after an earlier one reached, or
 * may have reached, an upstream; it counts against the retry budget. A caller
 * that retries sends a new request, with another id.
 *
 * Times in microseconds are on the monotonic clock (bb_clock_now_us). */
#ifndef BB_PATH_ENTRY_INTERNAL_H
#define BB_PATH_ENTRY_INTERNAL_H

#include "common/event_log.h"
#include "net/fetch.h"
#include "path/entry.h"
#include "path/relay.h"

/* Response field with the reason why the entry itself responded. */
#define BB_ENTRY_HEADER_REASON "Baobab-Reason"

struct bb_entry {
    uv_loop_t *loop;
    struct bb_entry_settings settings;
    struct bb_http_server *server;
    struct bb_connection_pool *pool;
    struct bb_rules *rules;
    /* struct bb_rules_route to int64_t[]: weighted round-robin credit by
     * service */
    GHashTable *service_credits;
    GQueue requests; /* struct entry_request, by their `link` */
    /* By class_index: estimated 95th percentile of the time from a send to the
     * response; 0: no response yet. */
    uint64_t p95_us[BB_REQUEST_CLASS_COUNT];
    struct bb_cost cost; /* of requests at upstreams of usual speed */
    /* By route_group: the longest deadline that a request has stated, or
     * BB_ENTRY_DEADLINE_MAX_MS if one stated none; taken as the deadline of a
     * caller's first request. */
    uint64_t longest_deadline_us[BB_RULES_GROUP_COUNT];
    /* By route_group: when a response was last too long to be buffered until
     * it is complete; 0: never. */
    uint64_t long_response_us[BB_RULES_GROUP_COUNT];
    uint64_t start_end_us;  /* requests may wait until then */
    uint32_t waiting_count; /* requests whose is_waiting is set */
    uint64_t end_us;        /* latest deadline; 0: no limit */
    /* Team id to the time of its last refusal by the quota, for the log. */
    GHashTable *quota_refusals;
    bool is_stopping;
};

/* Outcome of one attempt at a gate. */
enum attempt_result {
    ATTEMPT_COMPLETED,   /* complete response of the upstream, of any status */
    ATTEMPT_REFUSED,     /* by the gate, which did not send it on */
    ATTEMPT_NOT_RUN,     /* the upstream states that it did not run it */
    ATTEMPT_UNREACHABLE, /* no connection to the gate; nothing was sent */
    ATTEMPT_UNKNOWN      /* response lost or unsealed; it may have run */
};

struct entry_request;

/* One attempt: a request sent to one gate. */
struct attempt {
    struct entry_request *request;
    struct bb_fetch *fetch; /* NULL: not in progress */
    struct bb_response_relay relay;
    char gate_address[BB_ADDRESS_TEXT_BYTES];
    uint64_t started_us;
    uint64_t upstream_us; /* time at the upstream as reported by the gate */
    uint64_t expected_us; /* time at the upstream as predicted; 0: unknown */
    uint64_t expected_wait_us; /* as predicted, without the network */
    uint64_t max_wait_us;      /* longest time in the gate's queue; UINT64_MAX:
                                  until the deadline of the request */
    bool is_refused; /* the gate states that it did not send the request on */
    bool is_response_lost; /* the gate states that the response was lost */
    bool is_not_run;       /* the upstream states that it did not run it */
    bool is_sealed;        /* has the seal of a response made by an upstream */
};

/* One request of a caller. */
struct entry_request {
    struct bb_entry *entry;
    struct bb_http_exchange *exchange;
    GList link;       /* in the entry's requests */
    uv_timer_t timer; /* hedge time first, then respond_by_us */
    struct bb_rules *rules;
    const struct bb_rules_route *route;
    const struct bb_team *team; /* of the rules; NULL: none or not stated */
    struct bb_service_record *service;
    struct bb_cost_key cost_key;
    struct attempt attempts[2]; /* current attempt and its hedge */
    GString *log_lines;         /* written to the log when the request ends */
    char id[BB_DIALECT_ID_BYTES];
    uint64_t
        deadline_us; /* the caller's or the route's, whichever is earlier */
    uint64_t parent_deadline_us; /* of a nested request's parent; UINT64_MAX:
                                    none is known */
    uint64_t respond_by_us;      /* the entry itself responds then */
    uint64_t target_end_us;      /* end of the target latency */
    /* Gates that are not used again for this request. */
    char excluded_gates[BB_ENTRY_ATTEMPTS_MAX][BB_ADDRESS_TEXT_BYTES];
    uint32_t excluded_count;
    /* Gates that refused it because their queue was full. */
    char full_gates[BB_ENTRY_ATTEMPTS_MAX][BB_ADDRESS_TEXT_BYTES];
    uint32_t full_count;
    uint32_t upstream_attempts; /* attempts that reached an upstream */
    uint32_t attempt_count;     /* attempts sent to gates */
    bool has_quota_credit;      /* counted for its team, and not returned */
    bool is_waiting;        /* for rules or a ready gate, after the start */
    bool is_parent_retry;   /* the request that it is nested in is a retry */
    bool is_nested;         /* sent by the upstream of this host while it runs
                           another request, which holds a slot there */
    bool is_last_turn;      /* respond_by_us has passed; what has arrived
                               meanwhile is read before it ends */
    bool is_refused_late;   /* refused by a gate as late; no other is tried */
    bool is_body_streamed;  /* body incomplete at the first attempt, so that
                           no retry is possible */
    bool is_chunked;        /* framing of the body towards the gate */
    bool may_have_run;      /* an attempt may have run at an upstream */
    bool has_held_response; /* held_response is a 5xx response, passed on if no
                             further attempt brings a better one */
    struct bb_response_relay held_response;
};

/* Gates of the request's service that are not excluded. */
struct candidates {
    struct bb_gate_record *gates[BB_DIRECTORY_CANDIDATES_MAX];
    const struct bb_gate_view *views[BB_DIRECTORY_CANDIDATES_MAX];
    /* refused an attempt as full */
    bool was_full[BB_DIRECTORY_CANDIDATES_MAX];
    uint32_t count;
};

/* entry.c */
void request_respond_locally(struct entry_request *rq, uint32_t status,
                             const char *reason, uint32_t retry_ms);
void request_forward_response(struct entry_request *rq,
                              struct bb_response_relay *response);
void request_update_p95(struct entry_request *rq, uint64_t took_us);
void request_destroy(struct entry_request *rq,
                     enum bb_event_class event_class);

/* entry_team.c */
bool request_admit_team(struct entry_request *rq);
bool request_lacks_key(const struct entry_request *rq,
                       const struct bb_rules *rules,
                       const struct bb_rules_route *route, bool *is_undecided);
bool request_keep_lease(struct entry_request *rq);
bool request_has_lease(const struct entry_request *rq);
uint32_t request_rank(const struct entry_request *rq);
void request_append_team(const struct entry_request *rq, GString *head);
/* entry_quota.c */
bool entry_quota_take(struct entry_request *rq, uint64_t random_bits,
                      uint64_t now_us, uint32_t *retry_ms);
bool entry_quota_admit(struct entry_request *rq);
void entry_quota_return(struct entry_request *rq);
/* attempt_versions.c */
enum bb_version_pick request_pick_version(struct entry_request *rq);
bool request_change_version(const struct entry_request *rq,
                            enum bb_version_pick *pick);
void attempt_append_version(const struct attempt *a, GString *head);
void attempt_add_evidence(const struct attempt *a, enum attempt_result r);
void attempt_add_overdue_evidence(const struct attempt *a);

/* attempt.c */
const char *service_no_gate_reason(const struct bb_service_record *service);
void request_list_candidates(const struct entry_request *rq,
                             struct candidates *l, enum bb_version_pick pick);
void request_try_next_gate(struct entry_request *rq);
void request_send_body(struct entry_request *rq);
void request_hedge(struct entry_request *rq);
void attempt_cancel(struct attempt *a);
void request_forward_held_response(struct entry_request *rq);

#endif
