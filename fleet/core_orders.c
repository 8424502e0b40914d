/* Orders of the operators and reads of the configuration in force. Only the
 * leader answers, and only with what a majority has confirmed. */
#include "core_internal.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"

BB_COUNTER(accepted_total, "baobab_core_orders_accepted_total",
           "Configurations accepted by this host as leader");
BB_COUNTER(repeated_total, "baobab_core_orders_repeated_total",
           "Orders that had been accepted before");
BB_COUNTER(stale_total, "baobab_core_orders_stale_total",
           "Orders refused because another version is in force");
BB_COUNTER(unknown_total, "baobab_core_orders_unknown_total",
           "Orders without a majority in time");
BB_COUNTER(unsure_total, "baobab_core_reads_unsure_total",
           "Reads that no majority confirmed in time");

static void
end_order(struct bb_core *c, struct core_order *o,
          enum bb_order_outcome outcome)
{
    bb_log_info("order.answered",
                "base %" G_GUINT64_FORMAT " version %" G_GUINT64_FORMAT
                " outcome %u newest %" G_GUINT64_FORMAT,
                o->base, o->version, outcome, (guint64)c->state.label);
    if (o->done != NULL) {
        o->done(o->context, outcome, c->state.label);
    }
    g_bytes_unref(o->raw);
    g_free(o);
}

static void
end_read(struct bb_core *c, struct core_read *r, bool is_sure)
{
    GBytes *raw = NULL;

    if (is_sure && c->state.label != 0) {
        raw = g_bytes_new(c->state.config.config_val,
                          c->state.config.config_len);
    }
    if (!is_sure) {
        bb_counter_add(&unsure_total, 1);
    }
    if (r->done != NULL) {
        r->done(r->context, is_sure, raw);
    }
    if (raw != NULL) {
        g_bytes_unref(raw);
    }
    g_free(r);
}

/* Returns whether this very configuration was accepted before. */
static bool
was_accepted(const struct bb_core *c, const struct core_order *o)
{
    for (u_int i = 0; i < c->state.history.history_len; i++) {
        if (c->state.history.history_val[i].fingerprint == o->fingerprint) {
            return true;
        }
    }
    return false;
}

/* Proposes the configuration of an order. */
static void
propose(struct bb_core *c, struct core_order *o, uint64_t now_us,
        struct bb_quorum_output *out)
{
    u_int kept =
        MIN(c->state.history.history_len, (u_int)BB_STATE_HISTORY_MAX - 1);
    fleet_accepted *history = g_new(fleet_accepted, kept + 1);
    fleet_state next = {.label = o->version};
    gsize size = 0;
    GBytes *raw;

    for (u_int i = 0; i < kept; i++) {
        history[i] = c->state.history
                         .history_val[c->state.history.history_len - kept + i];
    }
    history[kept] =
        (fleet_accepted){.label = o->version, .fingerprint = o->fingerprint};
    next.config.config_val = (char *)g_bytes_get_data(o->raw, &size);
    next.config.config_len = (u_int)size;
    next.history.history_val = history;
    next.history.history_len = kept + 1;
    raw = bb_state_encode(&next);
    c->in_flight_content = bb_contents_add(c->contents, raw);
    g_bytes_unref(raw);
    g_free(history);
    c->in_flight = o;
    (void)bb_quorum_propose(&c->quorum, c->in_flight_content, now_us, out);
}

/* Takes the next order if nothing is on its way. */
static void
take_order(struct bb_core *c, uint64_t now_us, struct bb_quorum_output *out)
{
    struct core_order *o = g_queue_pop_head(&c->orders);

    if (was_accepted(c, o)) {
        bb_counter_add(&repeated_total, 1);
        end_order(c, o, BB_ORDER_ACCEPTED);
        return;
    }
    if (o->base != c->state.label || o->version <= c->state.label) {
        /* Refused only if a majority confirms that this host still leads:
         * a deposed one may not know the newest version. */
        o->round = bb_quorum_start_read(&c->quorum, now_us, out);
        g_queue_push_tail(&c->refusals, o);
        return;
    }
    propose(c, o, now_us, out);
}

static void
run_refusals(struct bb_core *c, uint64_t now_us)
{
    guint n = g_queue_get_length(&c->refusals);

    while (n-- > 0) {
        struct core_order *o = g_queue_pop_head(&c->refusals);

        if (bb_quorum_is_round_confirmed(&c->quorum, o->round)) {
            bb_counter_add(&stale_total, 1);
            end_order(c, o, BB_ORDER_STALE);
        }
        else if (now_us >= o->deadline_us || o->round == 0) {
            bb_counter_add(&unknown_total, 1);
            end_order(c, o, BB_ORDER_UNKNOWN);
        }
        else {
            g_queue_push_tail(&c->refusals, o);
        }
    }
}

static void
run_reads(struct bb_core *c, uint64_t now_us)
{
    guint n = g_queue_get_length(&c->reads);

    while (n-- > 0) {
        struct core_read *r = g_queue_pop_head(&c->reads);

        if (bb_quorum_is_round_confirmed(&c->quorum, r->round) &&
            c->quorum.is_committed) {
            end_read(c, r, true);
        }
        else if (now_us >= r->deadline_us) {
            end_read(c, r, false);
        }
        else {
            g_queue_push_tail(&c->reads, r);
        }
    }
}

/* Answers what can be answered and proposes the next order. */
void
core_run_orders(struct bb_core *c, uint64_t now_us)
{
    struct bb_quorum_output out = {0};

    run_refusals(c, now_us);
    run_reads(c, now_us);
    while (c->in_flight == NULL && !g_queue_is_empty(&c->orders) &&
           bb_quorum_can_propose(&c->quorum)) {
        take_order(c, now_us, &out);
        if (out.must_persist || out.message_count > 0) {
            core_apply(c, &out);
            return;
        }
    }
    while (!g_queue_is_empty(&c->orders) &&
           now_us >= ((struct core_order *)g_queue_peek_head(&c->orders))
                         ->deadline_us) {
        bb_counter_add(&unknown_total, 1);
        end_order(c, g_queue_pop_head(&c->orders), BB_ORDER_UNKNOWN);
    }
    if (c->in_flight != NULL && c->in_flight->done != NULL &&
        now_us >= c->in_flight->deadline_us) {
        bb_counter_add(&unknown_total, 1);
        c->in_flight->done(c->in_flight->context, BB_ORDER_UNKNOWN,
                           c->state.label);
        c->in_flight->done = NULL;
    }
}

/* Notes that the entry in hand is committed. */
void
core_order_committed(struct bb_core *c)
{
    struct core_order *o = c->in_flight;

    if (o == NULL || c->published != c->in_flight_content) {
        return;
    }
    c->in_flight = NULL;
    bb_counter_add(&accepted_total, 1);
    end_order(c, o, BB_ORDER_ACCEPTED);
}

/* Answers everything as unknown, as when leadership is lost. */
void
core_fail_orders(struct bb_core *c)
{
    struct core_order *o = c->in_flight;
    struct core_read *r;

    c->in_flight = NULL;
    if (o != NULL) {
        bb_counter_add(&unknown_total, 1);
        end_order(c, o, BB_ORDER_UNKNOWN);
    }
    while ((o = g_queue_pop_head(&c->orders)) != NULL ||
           (o = g_queue_pop_head(&c->refusals)) != NULL) {
        bb_counter_add(&unknown_total, 1);
        end_order(c, o, BB_ORDER_UNKNOWN);
    }
    while ((r = g_queue_pop_head(&c->reads)) != NULL) {
        end_read(c, r, false);
    }
}

/* Returns when the next order or read runs out of time. */
uint64_t
core_orders_due_us(struct bb_core *c)
{
    uint64_t due_us = UINT64_MAX;
    GQueue *const queues[] = {&c->orders, &c->refusals};

    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *at = queues[i]->head; at != NULL; at = at->next) {
            const struct core_order *o = at->data;

            due_us = MIN(due_us, o->deadline_us);
        }
    }
    for (GList *at = c->reads.head; at != NULL; at = at->next) {
        const struct core_read *r = at->data;

        due_us = MIN(due_us, r->deadline_us);
    }
    if (c->in_flight != NULL && c->in_flight->done != NULL) {
        due_us = MIN(due_us, c->in_flight->deadline_us);
    }
    return due_us;
}

/* Submits a configuration that is valid by itself. `done` is called once,
 * possibly before this returns. */
void
bb_core_submit(struct bb_core *c, uint64_t base, uint64_t version, GBytes *raw,
               bb_order_done done, void *context)
{
    struct core_order *o;
    gsize size = 0;
    const void *data = g_bytes_get_data(raw, &size);
    uint64_t now_us = bb_clock_now_us();

    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, BB_ORDER_ELSEWHERE, c->state.label);
        return;
    }
    o = g_new0(struct core_order, 1);
    o->base = base;
    o->version = version;
    o->raw = g_bytes_ref(raw);
    o->fingerprint = bb_hash64(data, size, 1);
    o->done = done;
    o->context = context;
    o->deadline_us = now_us + (uint64_t)BB_CORE_ORDER_MS * BB_US_PER_MS;
    g_queue_push_tail(&c->orders, o);
    core_run_orders(c, now_us);
    core_schedule(c);
}

/* Reads the configuration in force; `done` is called once, never from within
 * this call unless this host does not lead. */
void
bb_core_read(struct bb_core *c, bb_read_done done, void *context)
{
    struct bb_quorum_output out = {0};
    uint64_t now_us = bb_clock_now_us();
    struct core_read *r;
    uint64_t round = bb_quorum_start_read(&c->quorum, now_us, &out);

    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, false, NULL);
        return;
    }
    if (round == 0) {
        /* An entry is on its way; its answers confirm the next round. */
        round = c->quorum.round + 1;
    }
    r = g_new0(struct core_read, 1);
    r->done = done;
    r->context = context;
    r->deadline_us = now_us + (uint64_t)BB_CORE_READ_MS * BB_US_PER_MS;
    r->round = round;
    g_queue_push_tail(&c->reads, r);
    core_apply(c, &out);
}

/* Forgets who asked; an order that was proposed may still be accepted. */
void
bb_core_cancel(struct bb_core *c, void *context)
{
    GQueue *const queues[] = {&c->orders, &c->refusals};

    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *at = queues[i]->head; at != NULL; at = at->next) {
            struct core_order *o = at->data;

            if (o->context == context) {
                o->done = NULL;
            }
        }
    }
    for (GList *at = c->reads.head; at != NULL; at = at->next) {
        struct core_read *r = at->data;

        if (r->context == context) {
            r->done = NULL;
        }
    }
    if (c->in_flight != NULL && c->in_flight->context == context) {
        c->in_flight->done = NULL;
    }
}
