/* Proposals of operators ("orders" in their interface) and reads of what is
 * committed. Only the leader serves them, and only with what a
 * majority has confirmed. */
#include "core_internal.h"

#include "common/clock.h"
#include "common/counters.h"
#include "common/digest.h"
#include "common/log.h"

BB_COUNTER(accepted_total, "baobab_core_orders_accepted_total",
           "Configurations accepted by this host as leader");
BB_COUNTER(already_accepted_total, "baobab_core_orders_repeated_total",
           "Orders that had been accepted before");
BB_COUNTER(stale_total, "baobab_core_orders_stale_total",
           "Orders refused because another version is in force");
BB_COUNTER(too_large_total, "baobab_core_orders_too_large_total",
           "Orders refused because the configuration is too large");
BB_COUNTER(unknown_total, "baobab_core_orders_unknown_total",
           "Orders without a majority in time");
BB_COUNTER(unconfirmed_reads_total, "baobab_core_reads_unsure_total",
           "Reads that no majority confirmed in time");

/* Reports the outcome to the caller and frees the proposal. */
void
core_finish_proposal(struct bb_core *c, struct core_proposal *p,
                     enum bb_core_proposal_outcome outcome)
{
    if (p->rollout != NULL) {
        core_finish_rollout_proposal(c, p, outcome);
        return;
    }
    bb_log_info("order.answered",
                "base %" G_GUINT64_FORMAT " version %" G_GUINT64_FORMAT
                " outcome %u newest %" G_GUINT64_FORMAT,
                p->base_version, p->version, outcome,
                (guint64)c->committed_state.config_version);
    if (p->done != NULL) {
        p->done(p->context, outcome, c->committed_state.config_version);
    }
    g_bytes_unref(p->config);
    g_free(p);
}

/* Reports the committed configuration, or with is_confirmed false that no
 * majority confirmed the read, and frees the read. */
static void
finish_read(struct bb_core *c, struct core_config_read *r, bool is_confirmed)
{
    GBytes *config = NULL;

    if (r->service != NULL) {
        core_finish_rollout_read(c, r, is_confirmed);
        return;
    }
    if (is_confirmed && c->committed_state.config_version != 0) {
        config = g_bytes_new(c->committed_state.config.config_val,
                             c->committed_state.config.config_len);
    }
    if (!is_confirmed) {
        bb_counter_add(&unconfirmed_reads_total, 1);
    }
    if (r->done != NULL) {
        r->done(r->context, is_confirmed, config);
    }
    if (config != NULL) {
        g_bytes_unref(config);
    }
    g_free(r);
}

/* Returns whether a configuration with this hash was accepted before. */
static bool
was_accepted(const struct bb_core *c, const struct core_proposal *p)
{
    for (u_int i = 0; i < c->committed_state.history.history_len; i++) {
        if (c->committed_state.history.history_val[i].config_hash ==
            p->config_hash) {
            return true;
        }
    }
    return false;
}

/* Encodes the state that the proposal leads to, which is not kept, and
 * proposes it to the quorum. Ends the proposal if the state is too large. */
void
core_propose_state(struct bb_core *c, struct core_proposal *p,
                   fleet_replicated_state *next, uint64_t now_us,
                   struct bb_quorum_output *out)
{
    GBytes *encoded_state = bb_replicated_state_encode(next);

    if (encoded_state == NULL) {
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_TOO_LARGE);
        return;
    }
    c->active_content_id =
        bb_content_store_add(c->content_store, encoded_state);
    g_bytes_unref(encoded_state);
    c->active_proposal = p;
    (void)bb_quorum_propose(&c->quorum, c->active_content_id, now_us, out);
}

/* Proposes the state with the configuration of a proposal. The oldest accepted
 * configuration is forgotten if the history is full. */
static void
propose_config(struct bb_core *c, struct core_proposal *p, uint64_t now_us,
               struct bb_quorum_output *out)
{
    u_int kept = MIN(c->committed_state.history.history_len,
                     (u_int)BB_STATE_HISTORY_MAX - 1);
    fleet_accepted_version *history = g_new(fleet_accepted_version, kept + 1);
    fleet_replicated_state next = {.config_version = p->version};
    gsize size = 0;

    for (u_int i = 0; i < kept; i++) {
        history[i] = c->committed_state.history
                         .history_val[c->committed_state.history.history_len -
                                      kept + i];
    }
    history[kept] = (fleet_accepted_version){.config_version = p->version,
                                             .config_hash = p->config_hash};
    next.config.config_val = (char *)g_bytes_get_data(p->config, &size);
    next.config.config_len = (u_int)size;
    next.history.history_val = history;
    next.history.history_len = kept + 1;
    next.rollouts.rollouts_val = c->committed_state.rollouts.rollouts_val;
    next.rollouts.rollouts_len = c->committed_state.rollouts.rollouts_len;
    core_propose_state(c, p, &next, now_us, out);
    g_free(history);
}

/* Ends the first waiting proposal as accepted if it was accepted before,
 * queues it for refusal if it is stale, or else makes it the active one. */
static void
process_next_proposal(struct bb_core *c, uint64_t now_us,
                      struct bb_quorum_output *out)
{
    struct core_proposal *p = g_queue_pop_head(&c->proposals);

    if (p->rollout != NULL) {
        core_process_rollout_proposal(c, p, now_us, out);
        return;
    }
    if (was_accepted(c, p)) {
        bb_counter_add(&already_accepted_total, 1);
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_ACCEPTED);
        return;
    }
    if (p->base_version != c->committed_state.config_version ||
        p->version <= c->committed_state.config_version) {
        /* Refused only once a majority confirms that this host is still the
         * leader: a former leader may not know the newest version. */
        p->confirmation_round = bb_quorum_start_read(&c->quorum, now_us, out);
        g_queue_push_tail(&c->stale_proposals, p);
        return;
    }
    propose_config(c, p, now_us, out);
}

/* Refuses the stale proposals whose round is confirmed. Those without a round,
 * or past their deadline, end as unknown. */
static void
process_stale_proposals(struct bb_core *c, uint64_t now_us)
{
    guint n = g_queue_get_length(&c->stale_proposals);

    while (n-- > 0) {
        struct core_proposal *p = g_queue_pop_head(&c->stale_proposals);

        if (bb_quorum_is_round_confirmed(&c->quorum, p->confirmation_round)) {
            bb_counter_add(&stale_total, p->rollout == NULL);
            core_finish_proposal(c, p, BB_CORE_PROPOSAL_STALE);
        }
        else if (now_us >= p->deadline_us || p->confirmation_round == 0) {
            bb_counter_add(&unknown_total, 1);
            core_finish_proposal(c, p, BB_CORE_PROPOSAL_UNKNOWN);
        }
        else {
            g_queue_push_tail(&c->stale_proposals, p);
        }
    }
}

/* Ends the reads whose round is confirmed or whose deadline has passed. */
static void
process_reads(struct bb_core *c, uint64_t now_us)
{
    guint n = g_queue_get_length(&c->reads);

    while (n-- > 0) {
        struct core_config_read *r = g_queue_pop_head(&c->reads);

        if (bb_quorum_is_round_confirmed(&c->quorum, r->confirmation_round) &&
            c->quorum.is_committed) {
            finish_read(c, r, true);
        }
        else if (now_us >= r->deadline_us) {
            finish_read(c, r, false);
        }
        else {
            g_queue_push_tail(&c->reads, r);
        }
    }
}

/* Ends the proposals and reads that are decided or overdue, and starts the
 * next proposal if none is active. */
void
core_process_requests(struct bb_core *c, uint64_t now_us)
{
    struct bb_quorum_output out = {0};

    process_stale_proposals(c, now_us);
    process_reads(c, now_us);
    while (c->active_proposal == NULL && !g_queue_is_empty(&c->proposals) &&
           bb_quorum_can_propose(&c->quorum)) {
        process_next_proposal(c, now_us, &out);
        if (out.must_persist || out.message_count > 0) {
            core_apply_output(c, &out);
            return;
        }
    }
    while (!g_queue_is_empty(&c->proposals) &&
           now_us >= ((struct core_proposal *)g_queue_peek_head(&c->proposals))
                         ->deadline_us) {
        bb_counter_add(&unknown_total, 1);
        core_finish_proposal(c, g_queue_pop_head(&c->proposals),
                             BB_CORE_PROPOSAL_UNKNOWN);
    }
    if (c->active_proposal != NULL && c->active_proposal->done != NULL &&
        now_us >= c->active_proposal->deadline_us) {
        bb_counter_add(&unknown_total, 1);
        c->active_proposal->done(c->active_proposal->context,
                                 BB_CORE_PROPOSAL_UNKNOWN,
                                 c->committed_state.config_version);
        c->active_proposal->done = NULL;
    }
}

/* Ends the active proposal as accepted if its content is the committed one. */
void
core_finish_committed_proposal(struct bb_core *c)
{
    struct core_proposal *p = c->active_proposal;

    if (p == NULL || c->published_content_id != c->active_content_id) {
        return;
    }
    c->active_proposal = NULL;
    bb_counter_add(&accepted_total, p->rollout == NULL);
    core_finish_proposal(c, p, BB_CORE_PROPOSAL_ACCEPTED);
}

/* Ends all proposals as BB_CORE_PROPOSAL_UNKNOWN and all reads as unconfirmed,
 * for example because leadership is lost. */
void
core_fail_requests(struct bb_core *c)
{
    struct core_proposal *p = c->active_proposal;
    struct core_config_read *r;

    c->active_proposal = NULL;
    if (p != NULL) {
        bb_counter_add(&unknown_total, 1);
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_UNKNOWN);
    }
    while ((p = g_queue_pop_head(&c->proposals)) != NULL ||
           (p = g_queue_pop_head(&c->stale_proposals)) != NULL) {
        bb_counter_add(&unknown_total, 1);
        core_finish_proposal(c, p, BB_CORE_PROPOSAL_UNKNOWN);
    }
    while ((r = g_queue_pop_head(&c->reads)) != NULL) {
        finish_read(c, r, false);
    }
}

/* Returns the earliest deadline of a proposal or read, or UINT64_MAX. */
uint64_t
core_requests_due_us(struct bb_core *c)
{
    uint64_t due_us = UINT64_MAX;
    GQueue *const queues[] = {&c->proposals, &c->stale_proposals};

    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *at = queues[i]->head; at != NULL; at = at->next) {
            const struct core_proposal *p = at->data;

            due_us = MIN(due_us, p->deadline_us);
        }
    }
    for (GList *at = c->reads.head; at != NULL; at = at->next) {
        const struct core_config_read *r = at->data;

        due_us = MIN(due_us, r->deadline_us);
    }
    if (c->active_proposal != NULL && c->active_proposal->done != NULL) {
        due_us = MIN(due_us, c->active_proposal->deadline_us);
    }
    return due_us;
}

/* Proposes a configuration, which the caller has validated. `base_version` is
 * the version it replaces (0: none); `version` must be higher. `done` is
 * called once, possibly before this returns. */
void
bb_core_propose(struct bb_core *c, uint64_t base_version, uint64_t version,
                GBytes *config, bb_core_proposal_callback done, void *context)
{
    struct core_proposal *p;
    gsize size = 0;
    const void *data = g_bytes_get_data(config, &size);
    uint64_t now_us = bb_clock_now_us();

    if (size > BB_CONFIG_MAX_BYTES) {
        bb_counter_add(&too_large_total, 1);
        done(context, BB_CORE_PROPOSAL_TOO_LARGE,
             c->committed_state.config_version);
        return;
    }
    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, BB_CORE_PROPOSAL_NOT_LEADER,
             c->committed_state.config_version);
        return;
    }
    p = g_new0(struct core_proposal, 1);
    p->base_version = base_version;
    p->version = version;
    p->config = g_bytes_ref(config);
    p->config_hash = bb_hash64(data, size, CONFIG_HASH_SEED);
    p->done = done;
    p->context = context;
    p->deadline_us =
        now_us + (uint64_t)BB_CORE_PROPOSAL_TIMEOUT_MS * BB_US_PER_MS;
    g_queue_push_tail(&c->proposals, p);
    core_process_requests(c, now_us);
    core_schedule_timer(c);
}

/* Starts the round that confirms a read, which becomes the queue's. This host
 * must be the leader. */
void
core_start_read(struct bb_core *c, struct core_config_read *r)
{
    struct bb_quorum_output out = {0};
    uint64_t now_us = bb_clock_now_us();
    uint64_t round = bb_quorum_start_read(&c->quorum, now_us, &out);

    if (round == 0) {
        /* The newest entry is not committed yet, so no round was started; the
         * next round confirms the read. */
        round = c->quorum.round + 1;
    }
    r->deadline_us = now_us + (uint64_t)BB_CORE_READ_TIMEOUT_MS * BB_US_PER_MS;
    r->confirmation_round = round;
    g_queue_push_tail(&c->reads, r);
    core_apply_output(c, &out);
}

/* Reads the committed configuration. `done` is called once, possibly before
 * this returns; at once with is_confirmed false if this host is not the
 * leader. */
void
bb_core_read_config(struct bb_core *c, bb_core_read_callback done,
                    void *context)
{
    struct core_config_read *r;

    if (c->quorum.role != BB_QUORUM_LEADER) {
        done(context, false, NULL);
        return;
    }
    r = g_new0(struct core_config_read, 1);
    r->done = done;
    r->context = context;
    core_start_read(c, r);
}

/* Cancels the callbacks of all proposals and reads with this context. A
 * proposal may still be committed. */
void
bb_core_cancel_requests(struct bb_core *c, void *context)
{
    GQueue *const queues[] = {&c->proposals, &c->stale_proposals};

    for (size_t i = 0; i < G_N_ELEMENTS(queues); i++) {
        for (GList *at = queues[i]->head; at != NULL; at = at->next) {
            struct core_proposal *p = at->data;

            if (p->context == context) {
                p->done = NULL;
            }
        }
    }
    for (GList *at = c->reads.head; at != NULL; at = at->next) {
        struct core_config_read *r = at->data;

        if (r->context == context) {
            r->done = NULL;
            r->rollout_done = NULL;
        }
    }
    if (c->active_proposal != NULL && c->active_proposal->context == context) {
        c->active_proposal->done = NULL;
    }
}
