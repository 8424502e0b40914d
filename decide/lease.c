#include "decide/lease.h"

#include <string.h>

/* Initialises the leases of a node that has none. revoke_us is the time after
 * which a revoked key must be refused. */
void
bb_lease_init(struct bb_lease *l, uint64_t revoke_us)
{
    uint64_t margin_us = revoke_us / BB_LEASE_MARGIN_PARTS;

    if (margin_us < BB_LEASE_MARGIN_MIN_US) {
        margin_us = BB_LEASE_MARGIN_MIN_US;
    }
    memset(l, 0, sizeof(*l));
    l->duration_us = revoke_us > margin_us ? revoke_us - margin_us : 0;
    l->interval_us = l->duration_us / BB_LEASE_INTERVAL_PARTS;
    if (l->interval_us > BB_LEASE_INTERVAL_MAX_US) {
        l->interval_us = BB_LEASE_INTERVAL_MAX_US;
    }
}

/* Returns the number of a request that is sent now. */
uint64_t
bb_lease_ask(struct bb_lease *l, uint64_t now_us)
{
    uint64_t number = ++l->last_number;

    l->pending[number % BB_LEASE_PENDING_MAX] =
        (struct bb_lease_request){.number = number, .sent_us = now_us};
    l->asked_us = now_us;
    if (l->unanswered_since_us == 0) {
        l->unanswered_since_us = now_us;
    }
    return number;
}

/* Returns when the next request is due. */
uint64_t
bb_lease_next_ask_us(const struct bb_lease *l)
{
    return l->asked_us == 0 ? 0 : l->asked_us + l->interval_us;
}

/* Returns whether a lease from a request that was sent at sent_us has not
 * ended. */
static bool
is_within(const struct bb_lease *l, uint64_t sent_us, uint64_t now_us)
{
    return now_us >= sent_us && now_us - sent_us < l->duration_us;
}

/* Returns the place for a grant of a state: that of an earlier grant of the
 * same state, else a free one, else the oldest. */
static struct bb_lease_grant *
find_place(struct bb_lease *l, const struct bb_state_id *s)
{
    struct bb_lease_grant *oldest = &l->grants[0];

    for (uint32_t i = 0; i < BB_LEASE_GRANTS_MAX; i++) {
        struct bb_lease_grant *g = &l->grants[i];

        if (g->state.commit_index == s->commit_index &&
            g->state.content_id == s->content_id) {
            return g;
        }
        if (oldest->state.commit_index != 0 &&
            (g->state.commit_index == 0 || g->sent_us < oldest->sent_us)) {
            oldest = g;
        }
    }
    *oldest = (struct bb_lease_grant){.state = *s};
    return oldest;
}

/* Takes in a grant, which may be late or out of order: the lease runs from the
 * time at which its request was sent. Returns false if there is no such
 * request or the lease has ended already. */
bool
bb_lease_grant(struct bb_lease *l, uint64_t number,
               const struct bb_state_id *s, uint64_t now_us)
{
    struct bb_lease_request *p = &l->pending[number % BB_LEASE_PENDING_MAX];
    struct bb_lease_grant *g;

    if (number == 0 || p->number != number || s->commit_index == 0) {
        return false;
    }
    p->number = 0;
    if (!is_within(l, p->sent_us, now_us)) {
        return false;
    }
    g = find_place(l, s);
    if (g->sent_us < p->sent_us) {
        g->sent_us = p->sent_us;
    }
    l->unanswered_since_us = 0;
    return true;
}

/* Returns whether requests may be admitted by the state that is in force here:
 * it is at least as new as one for which a lease has not ended. Entries with
 * other indexes may hold the same state, for example after a change of the
 * voters. */
bool
bb_lease_is_valid(const struct bb_lease *l, const struct bb_state_id *in_force,
                  uint64_t now_us)
{
    for (uint32_t i = 0; i < BB_LEASE_GRANTS_MAX; i++) {
        const struct bb_lease_grant *g = &l->grants[i];

        if (g->state.commit_index != 0 && in_force->commit_index != 0 &&
            (in_force->commit_index >= g->state.commit_index ||
             in_force->content_id == g->state.content_id) &&
            is_within(l, g->sent_us, now_us)) {
            return true;
        }
    }
    return false;
}

/* Returns in how long a lease can be expected, for callers that are refused.
 * An outage is expected to last half as long again as it has lasted. */
uint64_t
bb_lease_expected_us(const struct bb_lease *l, uint64_t now_us)
{
    uint64_t since_us = l->unanswered_since_us;
    uint64_t left_us =
        since_us != 0 && now_us > since_us ? (now_us - since_us) / 2 : 0;

    if (left_us < BB_LEASE_EXPECTED_MIN_US) {
        return BB_LEASE_EXPECTED_MIN_US;
    }
    return left_us < BB_LEASE_EXPECTED_MAX_US ? left_us
                                              : BB_LEASE_EXPECTED_MAX_US;
}

/* Adds a request, which replaces one of the same connection that is in no
 * round yet. It is dropped if the queue is full; the node asks again. */
void
bb_lease_queue_add(struct bb_lease_queue *d, uint64_t from, uint64_t number,
                   uint64_t now_us)
{
    for (uint32_t i = 0; i < d->count; i++) {
        if (d->entries[i].from == from && d->entries[i].round == 0) {
            d->entries[i].number = number;
            return;
        }
    }
    if (d->count == BB_LEASE_REQUESTS_MAX) {
        return;
    }
    d->entries[d->count++] =
        (struct bb_lease_entry){.from = from, .number = number};
    if (d->waiting_since_us == 0) {
        d->waiting_since_us = now_us;
    }
}

/* Removes the requests of a connection that has ended. */
void
bb_lease_queue_forget(struct bb_lease_queue *d, uint64_t from)
{
    for (uint32_t i = 0; i < d->count;) {
        if (d->entries[i].from == from) {
            d->entries[i] = d->entries[--d->count];
        }
        else {
            i++;
        }
    }
}

/* Returns whether a request waits for a round, or with is_in_round whether
 * one is in a round that is not confirmed. */
static bool
has_request(const struct bb_lease_queue *d, bool is_in_round)
{
    for (uint32_t i = 0; i < d->count; i++) {
        if ((d->entries[i].round != 0) == is_in_round) {
            return true;
        }
    }
    return false;
}

/* Returns when a round may begin for the waiting requests. */
static uint64_t
next_round_us(const struct bb_lease_queue *d, bool is_leader)
{
    uint64_t interval_us =
        is_leader ? BB_LEASE_ROUND_INTERVAL_US : BB_LEASE_ASK_INTERVAL_US;
    uint64_t collected_us = d->waiting_since_us + BB_LEASE_COLLECT_US;

    return d->started_us != 0 && d->started_us + interval_us > collected_us
               ? d->started_us + interval_us
               : collected_us;
}

/* Gives up the rounds that are not confirmed. Their requests wait for the
 * next one, which begins after they have come too; an answer to an earlier one
 * no longer counts for them. */
static void
abandon_rounds(struct bb_lease_queue *d)
{
    d->quorum_round = 0;
    for (uint32_t i = 0; i < d->count; i++) {
        d->entries[i].round = 0;
    }
    if (d->waiting_since_us == 0) {
        d->waiting_since_us = d->oldest_us;
    }
}

/* Returns what is to be done for the waiting requests. Gives up rounds that
 * are not confirmed in time, or whose leader may no longer lead. After
 * BB_LEASE_START_ROUND and BB_LEASE_ASK_LEADER the caller calls
 * bb_lease_queue_start once it can begin the round; nothing is lost if it
 * cannot yet. The leader has one round at a time. */
enum bb_lease_step
bb_lease_queue_next_step(struct bb_lease_queue *d,
                         const struct bb_lease_quorum *q, uint64_t now_us)
{
    if (has_request(d, true) &&
        (d->quorum.term != q->term || d->quorum.leader != q->leader ||
         d->quorum.is_leader != q->is_leader ||
         now_us - d->oldest_us >= BB_LEASE_ROUND_TIMEOUT_US)) {
        abandon_rounds(d);
    }
    if (!has_request(d, false) || (!q->is_leader && q->leader == 0) ||
        (q->is_leader && has_request(d, true)) ||
        now_us < next_round_us(d, q->is_leader)) {
        return BB_LEASE_IDLE;
    }
    return q->is_leader ? BB_LEASE_START_ROUND : BB_LEASE_ASK_LEADER;
}

/* Begins a round for all waiting requests and returns its number. The leader
 * sets quorum_round and state before anything else happens. */
uint64_t
bb_lease_queue_start(struct bb_lease_queue *d, const struct bb_lease_quorum *q,
                     uint64_t now_us)
{
    if (!has_request(d, true)) {
        d->oldest_us = now_us;
    }
    d->last_round++;
    for (uint32_t i = 0; i < d->count; i++) {
        if (d->entries[i].round == 0) {
            d->entries[i].round = d->last_round;
        }
    }
    d->started_us = now_us;
    d->waiting_since_us = 0;
    d->quorum_round = 0;
    d->quorum = *q;
    return d->last_round;
}

/* Takes a request that a confirmed round answers: one of it or of an earlier
 * round, as each begins after the requests of all earlier ones have come.
 * Returns false if there is none left. */
bool
bb_lease_queue_take_answered(struct bb_lease_queue *d, uint64_t round,
                             struct bb_lease_entry *out)
{
    if (round > d->last_round) {
        return false;
    }
    for (uint32_t i = 0; i < d->count; i++) {
        if (d->entries[i].round != 0 && d->entries[i].round <= round) {
            *out = d->entries[i];
            d->entries[i] = d->entries[--d->count];
            return true;
        }
    }
    d->oldest_us = d->started_us;
    return false;
}

/* Returns when bb_lease_queue_next_step is to be called again, UINT64_MAX if
 * only another event can bring a step. */
uint64_t
bb_lease_queue_due_us(const struct bb_lease_queue *d, uint64_t now_us)
{
    uint64_t due_us = UINT64_MAX;

    if (has_request(d, true)) {
        due_us = d->oldest_us + BB_LEASE_ROUND_TIMEOUT_US;
    }
    if (has_request(d, false)) {
        uint64_t next_us = next_round_us(d, d->quorum.is_leader);

        due_us = next_us < due_us ? next_us : due_us;
    }
    return due_us > now_us ? due_us : now_us + BB_LEASE_POLL_US;
}
