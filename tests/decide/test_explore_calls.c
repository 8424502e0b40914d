/* Model checker for record, claim and call recovery: explores every
 * interleaving of events in a small system of two entry nodes with the same
 * idempotency key and three gatekeepers that are also witnesses (a fourth
 * after a roster change), with lost, delayed and duplicated messages and one
 * restart.
 *
 * Guards against a request that runs twice, a request that is reported as not
 * run but ran, and an outcome that is unknown without a restart or a passed
 * deadline. Injected faults show that the explorer detects violations. */
#include <setjmp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/digest.h"
#include "decide/call_recovery.h"
#include "decide/claim.h"
#include "decide/record.h"
#include "unit.h"

enum {
    ENTRY_NODES = 2,
    HOSTS = 4,
    FIRST_ROSTER_HOSTS = 3,
    RECORD_SLOTS = 4,
    WITNESS_SLOTS = 2,
    MESSAGES_MAX = 6,
    MESSAGE_BYTES = 6,
    ATTEMPTS_MAX = 2,
    /* Time does not pass by itself: each step gets one of these times, or that
     * of the next query. */
    BEFORE_ANY_QUERY_US = 0, /* no query is due yet */
    NOW_US = 1,
    CHECK_US = 1, /* max silence, and time between queries */
    DEADLINE_US = 1 << 30,
    RETENTION_US = 1 << 20,
    VISITED_TABLE_BITS = 24,
    DEPTH_MAX = 200,
    CPU_TIME_LIMIT_S = 30 /* for all scenarios together, without sanitizer */
};

/* The explorer is several times slower with a sanitizer. */
#if defined(__clang__)
#define IS_SANITIZED                                                          \
    (__has_feature(address_sanitizer) || __has_feature(thread_sanitizer))
#else
#define IS_SANITIZED 0
#endif

enum phase { IDLE, CLAIMING, READY_TO_SEND, WAITING_FOR_RESPONSE, ENDED };
enum outcome { OPEN, COMPLETED, NOT_RUN, UNKNOWN_RESTART, UNKNOWN_DEADLINE };
enum message_kind { NO_MESSAGE, REQUEST, CLAIM, QUERY };

struct message {
    uint8_t kind;
    uint8_t entry;
    uint8_t host;
    uint8_t reached_incarnation; /* of the process that got the connection */
    uint8_t deliveries_left;     /* times it is still to be delivered */
    bool expects_response;       /* the sender still waits for the response */
    struct bb_claim claim;
    uint64_t epoch;
};

struct host {
    struct bb_record record;
    struct bb_record_entry records[RECORD_SLOTS];
    struct bb_witness witness;
    struct bb_claim_entry claims[WITNESS_SLOTS];
    uint8_t incarnation;
    bool is_running[ENTRY_NODES]; /* by the entry node that made the id */
};

struct entry_node {
    enum phase phase;
    enum outcome outcome;
    uint8_t epoch;       /* of the roster that it knows */
    uint8_t caused_runs; /* runs started by messages of this node */
    struct bb_claim claim;
    struct bb_claim_requester requester;
    struct bb_call_recovery recovery;
};

/* Number of events of each kind: those that a scenario allows, or those that
 * have happened. */
struct event_counts {
    uint8_t restarts;
    uint8_t losses;
    uint8_t delays;
    uint8_t duplicates; /* requests sent twice */
    uint8_t refusals;
    uint8_t claim_retries; /* claims retried after one without quorum */
};

struct state {
    struct host hosts[HOSTS];
    struct entry_node entries[ENTRY_NODES];
    struct message messages[MESSAGES_MAX];
    uint8_t runs;
    struct event_counts used;
};

struct scenario {
    const char *name;
    uint8_t entry_node_count; /* 1: without key, 2: with the same key */
    struct event_counts limits;
    bool has_roster_change; /* known to the second entry node only */
    bool has_deadline;
    enum bb_record_fault record_fault;
    enum bb_claim_fault claim_fault;
    enum bb_call_recovery_fault recovery_fault;
};

static struct {
    const struct scenario *scenario;
    uint64_t *visited; /* hash table of the hashes of visited states */
    uint64_t state_count;
    uint64_t outcomes[UNKNOWN_DEADLINE + 1];
    double cpu_time_s;             /* processor time of all scenarios */
    const char *stop_reason;       /* violation or exceeded limit, or NULL */
    jmp_buf stop_exit;             /* taken by stop_exploration */
    struct state stack[DEPTH_MAX]; /* by depth of the exploration */
} explorer;

static const struct bb_request_id key = {.bytes = {7}};

static void explore(uint32_t depth);

/* Ends the scenario with a violation, or with an exceeded limit of the
 * explorer. */
static void
stop_exploration(const char *reason)
{
    explorer.stop_reason = reason;
    longjmp(explorer.stop_exit, 1);
}

static bool
is_keyed(void)
{
    return explorer.scenario->entry_node_count > 1;
}

/* Makes the tables of a copied state use the memory of the copy. */
static void
repoint_tables(struct state *s)
{
    for (int i = 0; i < HOSTS; i++) {
        s->hosts[i].record.table.slots = s->hosts[i].records;
        s->hosts[i].witness.table.slots = s->hosts[i].claims;
    }
}

/* Copies the state at a depth to depth + 1, and returns the copy. */
static struct state *
push_state(uint32_t depth)
{
    if (depth + 1 >= DEPTH_MAX) {
        stop_exploration("the exploration exceeds DEPTH_MAX");
    }
    memcpy(&explorer.stack[depth + 1], &explorer.stack[depth],
           sizeof(struct state));
    repoint_tables(&explorer.stack[depth + 1]);
    return &explorer.stack[depth + 1];
}

static void
start_host(struct state *s, int h, bool is_restart)
{
    struct host *host = &s->hosts[h];
    uint64_t epoch = is_restart ? host->witness.epoch : 1;

    host->incarnation++;
    memset(host->is_running, 0, sizeof(host->is_running));
    bb_record_init(&host->record, host->incarnation, RETENTION_US,
                   host->records, RECORD_SLOTS);
    bb_witness_init(&host->witness, epoch, RETENTION_US, is_restart,
                    host->claims, WITNESS_SLOTS, NOW_US);
    host->record.fault = explorer.scenario->record_fault;
    host->witness.fault = explorer.scenario->claim_fault;
}

static struct bb_roster
roster_of(uint8_t epoch)
{
    struct bb_roster r = {.epoch = epoch, .host_count = FIRST_ROSTER_HOSTS};

    for (uint64_t i = 0; i < FIRST_ROSTER_HOSTS; i++) {
        r.hosts[i] = i;
        r.previous[i] = i;
    }
    if (epoch > 1) {
        r.hosts[FIRST_ROSTER_HOSTS - 1] = FIRST_ROSTER_HOSTS;
        r.previous_count = FIRST_ROSTER_HOSTS;
    }
    return r;
}

/* The part of a state that distinguishes it, without times and padding. */
struct packed_state {
    uint8_t bytes[192];
    size_t count;
};

static void
pack_byte(struct packed_state *p, uint64_t value)
{
    p->bytes[p->count++] = (uint8_t)value;
}

static void
pack_claim(struct packed_state *p, const struct bb_claim *c)
{
    pack_byte(p, c->request.bytes[0]);
    pack_byte(p, c->attempt << 4 | c->gatekeeper);
    pack_byte(p, c->incarnation);
}

static void
pack_host(struct packed_state *p, const struct host *host)
{
    const struct bb_claim_entry *c =
        bb_id_table_find(&host->witness.table, &key, NOW_US);

    pack_byte(p, host->incarnation << 4 | host->witness.epoch);
    for (int i = 0; i < ENTRY_NODES; i++) {
        struct bb_request_id id = {.bytes = {(uint8_t)(i + 1)}};
        const struct bb_record_entry *e =
            bb_id_table_find(&host->record.table, &id, NOW_US);

        pack_byte(p,
                  (e == NULL ? 0 : e->state + 1U) << 1 | host->is_running[i]);
    }
    pack_byte(p, c != NULL);
    if (c != NULL) {
        pack_claim(p, &c->claim);
    }
}

static void
pack_entry_node(struct packed_state *p, const struct entry_node *e)
{
    const struct bb_claim_requester *q = &e->requester;

    pack_byte(p, e->phase << 4 | e->outcome);
    pack_byte(p, e->epoch << 4 | e->caused_runs);
    if (e->phase == ENDED) {
        return;
    }
    pack_claim(p, &e->claim);
    if (e->phase == CLAIMING) {
        pack_byte(p, q->epoch);
        pack_claim(p, &q->wanted);
        for (uint32_t i = 0; i < q->witness_count; i++) {
            pack_byte(p,
                      q->has_responded[i] ? q->responses[i].result + 1U : 0);
            pack_claim(p, &q->responses[i].held);
        }
    }
    if (e->phase == WAITING_FOR_RESPONSE) {
        pack_byte(p, e->recovery.is_query_pending << 2 |
                         e->recovery.is_broken << 1 | e->recovery.is_silent);
    }
}

static int
compare_bytes(const void *a, const void *b)
{
    return memcmp(a, b, MESSAGE_BYTES);
}

/* Packs the messages in sorted order, so that states that differ only in the
 * order of sending are equal. */
static void
pack_messages(struct packed_state *p, const struct state *s)
{
    struct packed_state parts[MESSAGES_MAX] = {0};
    uint8_t sorted[MESSAGES_MAX][MESSAGE_BYTES] = {0};

    for (int i = 0; i < MESSAGES_MAX; i++) {
        const struct message *m = &s->messages[i];

        if (m->kind != NO_MESSAGE) {
            pack_byte(&parts[i],
                      m->kind << 4 | m->entry << 3 | m->expects_response);
            pack_byte(&parts[i], m->host << 4 | m->reached_incarnation << 2 |
                                     m->deliveries_left);
            pack_byte(&parts[i], m->epoch);
            pack_claim(&parts[i], &m->claim);
            memcpy(sorted[i], parts[i].bytes, MESSAGE_BYTES);
        }
    }
    qsort(sorted, MESSAGES_MAX, MESSAGE_BYTES, compare_bytes);
    memcpy(p->bytes + p->count, sorted, sizeof(sorted));
    p->count += sizeof(sorted);
}

/* Marks a state as visited. Returns true if it was not visited before. */
static bool
mark_visited(const struct state *s)
{
    struct packed_state p = {.count = 0};
    uint64_t hash;
    uint64_t slot_index;

    for (int i = 0; i < HOSTS; i++) {
        pack_host(&p, &s->hosts[i]);
    }
    for (int i = 0; i < ENTRY_NODES; i++) {
        pack_entry_node(&p, &s->entries[i]);
    }
    pack_messages(&p, s);
    pack_byte(&p, s->runs << 4 | s->used.restarts);
    pack_byte(&p, s->used.losses << 4 | s->used.delays);
    pack_byte(&p, s->used.duplicates << 4 | s->used.refusals);
    pack_byte(&p, s->used.claim_retries);
    hash = bb_hash64(p.bytes, p.count, 1) | 1;
    slot_index = hash >> (64 - VISITED_TABLE_BITS);
    while (explorer.visited[slot_index] != 0) {
        if (explorer.visited[slot_index] == hash) {
            return false;
        }
        slot_index = (slot_index + 1) & ((1U << VISITED_TABLE_BITS) - 1);
    }
    explorer.visited[slot_index] = hash;
    if (++explorer.state_count > (1U << VISITED_TABLE_BITS) / 8 * 7) {
        stop_exploration("the table of visited states is full");
    }
    return true;
}

static void
end_request(struct state *s, int i, enum outcome outcome)
{
    s->entries[i].phase = ENDED;
    s->entries[i].outcome = outcome;
    explorer.outcomes[outcome]++;
}

static void
check_invariants(const struct state *s)
{
    if (s->runs > 1) {
        stop_exploration("a request ran twice");
    }
    for (int i = 0; i < ENTRY_NODES; i++) {
        const struct entry_node *e = &s->entries[i];

        if (e->outcome == NOT_RUN && e->caused_runs > 0) {
            stop_exploration("a request reported as not run has run");
        }
        if (e->outcome == UNKNOWN_RESTART &&
            s->hosts[e->claim.gatekeeper].incarnation == 1) {
            stop_exploration("an outcome is unknown without a restart");
        }
    }
}

static void
send_message(struct state *s, struct message m)
{
    for (int i = 0; i < MESSAGES_MAX; i++) {
        if (s->messages[i].kind == NO_MESSAGE) {
            s->messages[i] = m;
            return;
        }
    }
    stop_exploration("more than MESSAGES_MAX messages");
}

static void
start_claim(struct state *s, int i)
{
    struct entry_node *e = &s->entries[i];
    struct bb_roster r = roster_of(e->epoch);

    if (!is_keyed()) {
        e->phase = READY_TO_SEND;
        return;
    }
    e->phase = CLAIMING;
    bb_claim_start(&e->requester, &r, &key, &e->claim);
    e->requester.fault = explorer.scenario->claim_fault;
}

/* Stops waiting for the responses to all messages of an entry node. */
static void
drop_responses(struct state *s, int i)
{
    for (int m = 0; m < MESSAGES_MAX; m++) {
        if (s->messages[m].entry == i) {
            s->messages[m].expects_response = false;
        }
    }
}

/* Retries the request at the next gatekeeper, or ends it as not run after
 * ATTEMPTS_MAX. The old connection is closed: late responses are ignored. */
static void
retry_next_gatekeeper(struct state *s, int i)
{
    struct entry_node *e = &s->entries[i];

    drop_responses(s, i);
    if (e->claim.attempt == ATTEMPTS_MAX) {
        end_request(s, i, NOT_RUN);
        return;
    }
    e->claim.attempt++;
    e->claim.gatekeeper = (e->claim.gatekeeper + 1) % FIRST_ROSTER_HOSTS;
    e->claim.incarnation = s->hosts[e->claim.gatekeeper].incarnation;
    start_claim(s, i);
}

/* Does what the call recovery of an entry node asks for after an event. */
static void
apply_recovery_step(struct state *s, int i, uint64_t now_us)
{
    enum bb_reason reason;

    if (s->entries[i].phase != WAITING_FOR_RESPONSE) {
        return;
    }
    switch (bb_call_recovery_step(&s->entries[i].recovery, now_us, &reason)) {
    case BB_CALL_RECOVERY_WAIT:
    case BB_CALL_RECOVERY_QUERY:
        break;
    case BB_CALL_RECOVERY_FETCH_RESPONSE:
        end_request(s, i, COMPLETED);
        break;
    case BB_CALL_RECOVERY_RETRY:
        retry_next_gatekeeper(s, i);
        break;
    case BB_CALL_RECOVERY_UNKNOWN:
        end_request(s, i,
                    reason == BB_REASON_GATEKEEPER_RESTARTED
                        ? UNKNOWN_RESTART
                        : UNKNOWN_DEADLINE);
        break;
    }
}

/* Delivers a request to the record of its gatekeeper, and the result to the
 * entry node if it still waits for it. is_refused: admission refuses the
 * request before it runs. */
static void
deliver_request(struct state *s, const struct message *m, bool is_refused,
                bool is_response_lost)
{
    struct host *host = &s->hosts[m->host];
    struct entry_node *e = &s->entries[m->entry];
    int request_index = m->claim.request.bytes[0] - 1;
    uint64_t response;
    enum bb_begin_result r =
        bb_record_begin(&host->record, &m->claim.request, m->claim.incarnation,
                        &response, NOW_US);

    if (r == BB_BEGIN_RUN && is_refused) {
        (void)bb_record_finish(&host->record, &m->claim.request,
                               BB_RECORD_REFUSED, 0, NOW_US);
        r = BB_BEGIN_REFUSED;
    }
    else if (r == BB_BEGIN_RUN) {
        host->is_running[request_index] = true;
        e->caused_runs++;
        s->runs++;
    }
    if (m->expects_response && !is_response_lost &&
        e->phase == WAITING_FOR_RESPONSE) {
        bb_call_recovery_begin_completed(&e->recovery, r, NOW_US);
        apply_recovery_step(s, m->entry, BEFORE_ANY_QUERY_US);
    }
}

/* Does what the claim of an entry node asks for after a response. */
static void
apply_claim_step(struct state *s, int i)
{
    struct entry_node *e = &s->entries[i];
    enum bb_reason reason;

    switch (bb_claim_step(&e->requester, &e->claim, &reason)) {
    case BB_CLAIM_WAIT:
        break;
    case BB_CLAIM_RUN:
    case BB_CLAIM_JOIN:
        e->phase = READY_TO_SEND;
        break;
    case BB_CLAIM_REFUSED:
        if (s->used.claim_retries == explorer.scenario->limits.claim_retries) {
            end_request(s, i, NOT_RUN);
            break;
        }
        s->used.claim_retries++;
        e->claim.gatekeeper = (e->claim.gatekeeper + 1) % FIRST_ROSTER_HOSTS;
        e->claim.incarnation = s->hosts[e->claim.gatekeeper].incarnation;
        start_claim(s, i);
        break;
    }
}

static void
deliver_claim(struct state *s, const struct message *m)
{
    struct entry_node *e = &s->entries[m->entry];
    struct bb_witness_response response = bb_witness_claim(
        &s->hosts[m->host].witness, &key, &m->claim, m->epoch, NOW_US);

    if (m->expects_response) {
        (void)bb_claim_add_response(&e->requester, m->host, &response);
        apply_claim_step(s, m->entry);
    }
}

static void
deliver_query(struct state *s, const struct message *m)
{
    struct entry_node *e = &s->entries[m->entry];
    uint64_t response;
    enum bb_query_result r =
        bb_record_query(&s->hosts[m->host].record, &m->claim.request,
                        m->claim.incarnation, &response, NOW_US);

    if (m->expects_response) {
        bb_call_recovery_query_completed(&e->recovery, r, NOW_US);
        apply_recovery_step(s, m->entry, BEFORE_ANY_QUERY_US);
    }
}

static void
deliver(struct state *s, const struct message *m)
{
    switch ((enum message_kind)m->kind) {
    case CLAIM:
        deliver_claim(s, m);
        break;
    case QUERY:
        deliver_query(s, m);
        break;
    case REQUEST:
        deliver_request(s, m, false, false);
        break;
    case NO_MESSAGE:
        break;
    }
}

/* Lets the requester or the call recovery give up waiting for an RPC. */
static void
time_out_rpc(struct state *s, const struct message *m)
{
    const struct bb_witness_response none = {.result = BB_WITNESS_UNREACHABLE};
    struct entry_node *e = &s->entries[m->entry];

    if (m->kind == CLAIM) {
        (void)bb_claim_add_response(&e->requester, m->host, &none);
        apply_claim_step(s, m->entry);
    }
    else {
        bb_call_recovery_query_failed(&e->recovery, NOW_US);
    }
}

/* Explores the outcomes of an RPC: completed, request lost, response lost, and
 * request delivered after the sender gave up. */
static void
explore_rpc(uint32_t depth, const struct message *m)
{
    struct state *s = push_state(depth);
    struct message without_response = *m;

    without_response.expects_response = false;
    deliver(s, m);
    explore(depth + 1);
    if (explorer.stack[depth].used.losses < explorer.scenario->limits.losses) {
        s = push_state(depth);
        s->used.losses++;
        time_out_rpc(s, m);
        explore(depth + 1);
        s = push_state(depth);
        s->used.losses++;
        deliver(s, &without_response);
        time_out_rpc(s, m);
        explore(depth + 1);
    }
    if (explorer.stack[depth].used.delays < explorer.scenario->limits.delays) {
        s = push_state(depth);
        s->used.delays++;
        time_out_rpc(s, m);
        send_message(s, *m);
        drop_responses(s, m->entry);
        explore(depth + 1);
    }
}

/* Sends the claim to the next witness. One order of the witnesses is enough,
 * as events of the other entry node are explored between the claims. */
static void
explore_claiming(uint32_t depth, int i)
{
    const struct bb_claim_requester *q =
        &explorer.stack[depth].entries[i].requester;
    uint32_t w = 0;

    while (q->has_responded[w]) {
        w++;
    }
    explore_rpc(depth, &(struct message){.kind = CLAIM,
                                         .entry = (uint8_t)i,
                                         .host = (uint8_t)q->witnesses[w],
                                         .expects_response = true,
                                         .claim = q->wanted,
                                         .epoch = q->epoch});
}

/* Sends the request, once or twice, on a new connection to the current
 * incarnation of the gatekeeper. */
static void
explore_ready(uint32_t depth, int i)
{
    for (uint8_t deliveries = 1; deliveries <= 2; deliveries++) {
        struct state *s = push_state(depth);
        struct entry_node *e = &s->entries[i];
        struct message m = {.kind = REQUEST,
                            .entry = (uint8_t)i,
                            .host = (uint8_t)e->claim.gatekeeper,
                            .reached_incarnation =
                                s->hosts[e->claim.gatekeeper].incarnation,
                            .deliveries_left = deliveries,
                            .expects_response = true,
                            .claim = e->claim};

        s->used.duplicates += deliveries - 1;
        if (s->used.duplicates > explorer.scenario->limits.duplicates) {
            return;
        }
        bb_call_recovery_init(&e->recovery, false, is_keyed(), CHECK_US,
                              DEADLINE_US, NOW_US);
        e->recovery.fault = explorer.scenario->recovery_fault;
        e->phase = WAITING_FOR_RESPONSE;
        send_message(s, m);
        explore(depth + 1);
    }
}

/* Explores a connection that stays silent or breaks, after which the
 * gatekeeper is queried, and a deadline that passes. */
static void
explore_waiting(uint32_t depth, int i)
{
    const struct entry_node *e = &explorer.stack[depth].entries[i];
    struct state *s;

    if (e->recovery.is_query_pending) {
        explore_rpc(depth,
                    &(struct message){.kind = QUERY,
                                      .entry = (uint8_t)i,
                                      .host = (uint8_t)e->claim.gatekeeper,
                                      .expects_response = true,
                                      .claim = e->claim});
    }
    else {
        s = push_state(depth);
        apply_recovery_step(s, i, s->entries[i].recovery.next_query_us);
        explore(depth + 1);
    }
    if (!e->recovery.is_broken) {
        s = push_state(depth);
        drop_responses(s, i);
        bb_call_recovery_connection_broken(&s->entries[i].recovery, NOW_US);
        apply_recovery_step(s, i, BEFORE_ANY_QUERY_US);
        explore(depth + 1);
    }
    if (explorer.scenario->has_deadline) {
        s = push_state(depth);
        apply_recovery_step(s, i, DEADLINE_US);
        explore(depth + 1);
    }
}

static void
explore_entry_node(uint32_t depth, int i)
{
    struct state *s;

    switch (explorer.stack[depth].entries[i].phase) {
    case IDLE:
        s = push_state(depth);
        start_claim(s, i);
        explore(depth + 1);
        break;
    case CLAIMING:
        explore_claiming(depth, i);
        break;
    case READY_TO_SEND:
        explore_ready(depth, i);
        break;
    case WAITING_FOR_RESPONSE:
        explore_waiting(depth, i);
        break;
    case ENDED:
        break;
    }
}

/* Removes one copy of a message from the network. */
static struct message
remove_message_copy(struct state *s, int i)
{
    struct message m = s->messages[i];

    if (m.deliveries_left > 1) {
        s->messages[i].deliveries_left--;
        s->messages[i].expects_response = false;
    }
    else {
        s->messages[i] = (struct message){0};
    }
    return m;
}

static void
explore_message(uint32_t depth, int i)
{
    struct state *s = push_state(depth);
    struct message m = remove_message_copy(s, i);

    if (m.kind != REQUEST) {
        m.expects_response = false;
        deliver(s, &m);
        explore(depth + 1);
        return;
    }
    if (m.reached_incarnation != s->hosts[m.host].incarnation) {
        explore(depth + 1); /* lost with the process */
        return;
    }
    /* The request runs or is refused; its response is received or lost. */
    for (int variant = 0; variant < 4; variant++) {
        bool is_refused = variant >= 2;
        bool is_response_lost = variant % 2 == 1;

        s = push_state(depth);
        m = remove_message_copy(s, i);
        if (is_refused &&
            s->used.refusals++ >= explorer.scenario->limits.refusals) {
            return;
        }
        if (is_response_lost &&
            s->used.losses++ >= explorer.scenario->limits.losses) {
            continue;
        }
        deliver_request(s, &m, is_refused, is_response_lost);
        explore(depth + 1);
    }
}

/* Explores the end of a run: its response reaches every entry node that waits
 * for it, or none. */
static void
explore_finish(uint32_t depth, int h, int request_index)
{
    for (int variant = 0; variant < 2; variant++) {
        bool is_response_lost = variant == 1;
        struct state *s = push_state(depth);
        struct bb_request_id id = {.bytes = {(uint8_t)(request_index + 1)}};

        s->hosts[h].is_running[request_index] = false;
        (void)bb_record_finish(&s->hosts[h].record, &id, BB_RECORD_DONE, 1,
                               NOW_US);
        for (int i = 0; !is_response_lost && i < ENTRY_NODES; i++) {
            struct entry_node *e = &s->entries[i];

            if (e->phase == WAITING_FOR_RESPONSE && !e->recovery.is_broken &&
                e->caused_runs > 0 && e->claim.gatekeeper == (uint64_t)h) {
                end_request(s, i, COMPLETED);
            }
        }
        explore(depth + 1);
    }
}

static void
explore_host(uint32_t depth, int h)
{
    const struct state *now = &explorer.stack[depth];
    struct state *s;

    for (int request_index = 0; request_index < ENTRY_NODES; request_index++) {
        if (now->hosts[h].is_running[request_index]) {
            explore_finish(depth, h, request_index);
        }
    }
    if (now->used.restarts < explorer.scenario->limits.restarts &&
        h < FIRST_ROSTER_HOSTS) {
        s = push_state(depth);
        s->used.restarts++;
        start_host(s, h, true);
        explore(depth + 1);
    }
    if (explorer.scenario->has_roster_change &&
        now->hosts[h].witness.epoch == 1) {
        s = push_state(depth);
        bb_witness_set_epoch(&s->hosts[h].witness, 2);
        explore(depth + 1);
    }
}

/* Explores everything that can follow the state at a depth. */
static void
explore(uint32_t depth)
{
    check_invariants(&explorer.stack[depth]);
    if (!mark_visited(&explorer.stack[depth])) {
        return;
    }
    for (int i = 0; i < explorer.scenario->entry_node_count; i++) {
        explore_entry_node(depth, i);
    }
    for (int i = 0; i < MESSAGES_MAX; i++) {
        if (explorer.stack[depth].messages[i].kind != NO_MESSAGE) {
            explore_message(depth, i);
        }
    }
    for (int h = 0; h < HOSTS; h++) {
        explore_host(depth, h);
    }
}

/* Explores a scenario. Returns the violation or exceeded limit that ended it,
 * or NULL. */
static const char *
run_scenario(const struct scenario *c)
{
    clock_t start = clock();
    double cpu_time_s;

    memset(&explorer.stack[0], 0, sizeof(explorer.stack[0]));
    memset(explorer.outcomes, 0, sizeof(explorer.outcomes));
    explorer.scenario = c;
    explorer.state_count = 0;
    explorer.stop_reason = NULL;
    explorer.visited =
        calloc(1U << VISITED_TABLE_BITS, sizeof(*explorer.visited));
    CU_ASSERT_PTR_NOT_NULL_FATAL(explorer.visited);
    for (int h = 0; h < HOSTS; h++) {
        start_host(&explorer.stack[0], h, false);
    }
    for (int i = 0; i < ENTRY_NODES; i++) {
        struct entry_node *e = &explorer.stack[0].entries[i];

        e->epoch = (uint8_t)(c->has_roster_change ? i + 1 : 1);
        e->claim = (struct bb_claim){.request = {.bytes = {(uint8_t)(i + 1)}},
                                     .attempt = 1,
                                     .gatekeeper = (uint64_t)i,
                                     .incarnation = 1};
    }
    if (setjmp(explorer.stop_exit) == 0) {
        explore(0);
    }
    free(explorer.visited);
    cpu_time_s = (double)(clock() - start) / CLOCKS_PER_SEC;
    explorer.cpu_time_s += cpu_time_s;
    printf("\n    %s: %llu states, %.1f s; ends: answered %llu, not run %llu, "
           "unknown after restart %llu, unknown at deadline %llu%s%s\n",
           c->name, (unsigned long long)explorer.state_count, cpu_time_s,
           (unsigned long long)explorer.outcomes[COMPLETED],
           (unsigned long long)explorer.outcomes[NOT_RUN],
           (unsigned long long)explorer.outcomes[UNKNOWN_RESTART],
           (unsigned long long)explorer.outcomes[UNKNOWN_DEADLINE],
           explorer.stop_reason != NULL ? "; found: " : "",
           explorer.stop_reason != NULL ? explorer.stop_reason : "");
    CU_ASSERT_TRUE(IS_SANITIZED || explorer.cpu_time_s < CPU_TIME_LIMIT_S);
    return explorer.stop_reason;
}

/* Guards against an order of messages, losses, restarts and retries in which a
 * request runs twice, or is reported as not run although it ran. */
static void
test_no_interleaving_violates_the_invariants(void)
{
    static const struct scenario correct[] = {
        {.name = "no key",
         .entry_node_count = 1,
         .limits = {.restarts = 1,
                    .losses = 3,
                    .delays = 2,
                    .duplicates = 1,
                    .refusals = 1},
         .has_deadline = true},
        {.name = "same key, restart, loss",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .losses = 1}},
        {.name = "same key, restart, delay",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .delays = 1}},
        {.name = "same key, loss, retried claim",
         .entry_node_count = 2,
         .limits = {.losses = 1, .claim_retries = 1}},
        {.name = "same key, restart, retried claim",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .claim_retries = 1}},
        {.name = "same key, restart, roster change",
         .entry_node_count = 2,
         .limits = {.restarts = 1},
         .has_roster_change = true},
        {.name = "same key, loss, roster change",
         .entry_node_count = 2,
         .limits = {.losses = 1},
         .has_roster_change = true},
    };

    for (size_t i = 0; i < sizeof(correct) / sizeof(correct[0]); i++) {
        CU_ASSERT_PTR_NULL(run_scenario(&correct[i]));
    }
}

/* Guards against an outcome reported as unknown without a restart of a
 * gatekeeper and before the deadline. */
static void
test_unknown_only_after_restart_or_deadline(void)
{
    static const struct scenario c = {
        .name = "same key, loss, duplicate, refusal",
        .entry_node_count = 2,
        .limits = {.losses = 1, .duplicates = 1, .refusals = 1}};

    CU_ASSERT_PTR_NULL(run_scenario(&c));
    CU_ASSERT_EQUAL(explorer.outcomes[UNKNOWN_RESTART], 0);
    CU_ASSERT_EQUAL(explorer.outcomes[UNKNOWN_DEADLINE], 0);
}

/* Guards against an explorer that does not detect injected faults. */
static void
test_injected_faults_are_detected(void)
{
    static const struct scenario faults[] = {
        {.name = "fault: retry without query",
         .entry_node_count = 1,
         .limits = {.losses = 1},
         .recovery_fault = BB_CALL_RECOVERY_FAULT_NO_QUERY},
        {.name = "fault: retries a keyed request after a restart",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .losses = 1},
         .recovery_fault = BB_CALL_RECOVERY_FAULT_RETRIES_KEYED},
        {.name = "fault: query does not record its refusal",
         .entry_node_count = 1,
         .limits = {.losses = 1},
         .record_fault = BB_RECORD_FAULT_QUERY_NOT_RECORDED},
        {.name = "fault: incarnations are not compared",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .losses = 1},
         .record_fault = BB_RECORD_FAULT_ANY_INCARNATION},
        {.name = "fault: witness grants after a restart",
         .entry_node_count = 2,
         .limits = {.restarts = 1, .losses = 1},
         .claim_fault = BB_CLAIM_FAULT_GRANTS_AFTER_RESTART},
        {.name = "fault: one grant counts as a quorum",
         .entry_node_count = 2,
         .limits = {.losses = 2},
         .claim_fault = BB_CLAIM_FAULT_ONE_GRANT},
        {.name = "fault: previous roster is ignored",
         .entry_node_count = 2,
         .limits = {.losses = 2},
         .has_roster_change = true,
         .claim_fault = BB_CLAIM_FAULT_IGNORES_PREVIOUS},
    };

    for (size_t i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
        CU_ASSERT_PTR_NOT_NULL(run_scenario(&faults[i]));
    }
}

static const struct bb_unit_test tests[] = {
    {"no interleaving violates the invariants",
     test_no_interleaving_violates_the_invariants},
    {"unknown only after a restart or the deadline",
     test_unknown_only_after_restart_or_deadline},
    {"injected faults are detected", test_injected_faults_are_detected},
};

BB_UNIT_MAIN("explore calls", tests)
