/* Parts of the entry, for its own files. */
#ifndef BB_PATH_ENTRY_INTERNAL_H
#define BB_PATH_ENTRY_INTERNAL_H

#include "common/event_log.h"
#include "net/fetch.h"
#include "path/entry.h"
#include "path/relay.h"

/* Why this node answered itself. */
#define BB_FIELD_REASON "Baobab-Reason"

struct bb_entry {
    uv_loop_t *loop;
    struct bb_entry_settings settings;
    struct bb_server *server;
    struct bb_pool *pool;
    struct bb_rules *rules;
    /* struct bb_rule to int64_t[], the credits of its services */
    GHashTable *splits;
    /* By class of requests: nineteen of twenty answers came within this. */
    uint64_t slow_us[BB_RULES_CLASSES];
    /* By callers_index of their route: the longest time that callers said they
     * wait, that of a first attempt. */
    uint64_t patience_us[BB_RULES_CLASSES];
    bool is_stopping;
};

/* What a try at a gate ended with. */
enum try_result {
    TRY_ANSWER,      /* a whole answer of the upstream */
    TRY_REFUSED,     /* by the gate: it was not sent to the upstream */
    TRY_NOT_RUN,     /* by the upstream's own word */
    TRY_UNREACHABLE, /* nothing was sent */
    TRY_UNKNOWN      /* it may have run */
};

struct call;

/* One send of a request to a gate. */
struct attempt {
    struct call *call;
    struct bb_fetch *fetch; /* NULL: not under way */
    struct bb_relay relay;
    char gate[BB_ADDRESS_TEXT_BYTES];
    uint64_t started_us;
    uint64_t ran_us;      /* at the upstream, by the gate's word */
    uint64_t wait_max_us; /* at the gate; UINT64_MAX: as long as in time */
    bool is_refused;      /* answered by the gate: not sent to the upstream */
    bool is_failed;       /* answered by the gate: the answer was lost */
    bool is_not_run;      /* by the upstream's own word */
    bool is_sealed;
};

/* One request of a caller. */
struct call {
    struct bb_entry *entry;
    struct bb_exchange *neon_request;
    uv_timer_t timer; /* for the hedge, then for the deadline */
    struct bb_rules *rules;
    const struct bb_rule *rule;
    struct bb_service_entry *service;
    struct attempt attempts_now[2]; /* the second one is a hedge */
    GString *lines; /* of the log, written if anything went wrong */
    char id[BB_DIALECT_ID_BYTES];
    uint64_t deadline_us; /* of the caller or the route */
    uint64_t answer_us;   /* when this node answers by itself */
    uint64_t aim_us;
    char left_out[BB_ENTRY_TRIES_MAX][BB_ADDRESS_TEXT_BYTES];
    uint32_t left_out_count;
    char seen_full[BB_ENTRY_TRIES_MAX][BB_ADDRESS_TEXT_BYTES];
    uint32_t seen_full_count;
    uint32_t arrivals; /* at upstreams */
    uint32_t tries;    /* sends to gates */
    bool is_of_repeat; /* made for a request that is itself a repeat */
    bool is_nested;    /* made by the upstream of this host, for a request that
                          holds a slot there */
    bool is_late;      /* a gate said so: no time for another one */
    bool is_long;    /* the body did not come in whole before the first try */
    bool is_chunked; /* as sent to the gate */
    bool may_have_run;
    bool has_held_answer; /* a failure of an upstream, kept for the case that
                             the next try brings none */
    struct bb_relay held;
};

/* entry.c */
void call_answer(struct call *c, uint32_t status, const char *reason,
                 uint32_t retry_ms);
void call_deliver(struct call *c, struct bb_relay *answer);
void call_note_duration(struct call *c, uint64_t took_us);
void call_destroy(struct call *c, enum bb_event_class lines);

/* attempt.c */
void call_try(struct call *c);
void call_send_more(struct call *c);
void call_hedge(struct call *c);
void attempt_cancel(struct attempt *a);
void call_deliver_held(struct call *c);

#endif
