#include "decide/claim.h"

#include <string.h>

#include "common/digest.h"

/* Selects the witnesses of a key: the hosts ranked highest by rendezvous
 * hashing. Returns how many there are, BB_CLAIM_SET_SIZE if there are enough
 * hosts. The result does not depend on the order of hosts. */
uint32_t
bb_claim_select_witnesses(const struct bb_request_id *key,
                          const uint64_t *hosts, uint32_t host_count,
                          uint64_t set[BB_CLAIM_SET_SIZE])
{
    uint64_t ranks[BB_CLAIM_SET_SIZE];
    uint32_t count = 0;

    for (uint32_t i = 0; i < host_count; i++) {
        uint64_t rank = bb_hash64(key->bytes, sizeof(key->bytes), hosts[i]);
        uint32_t position =
            count < BB_CLAIM_SET_SIZE ? count++ : BB_CLAIM_SET_SIZE;

        while (position > 0 && (ranks[position - 1] < rank ||
                                (ranks[position - 1] == rank &&
                                 set[position - 1] < hosts[i]))) {
            if (position < BB_CLAIM_SET_SIZE) {
                ranks[position] = ranks[position - 1];
                set[position] = set[position - 1];
            }
            position--;
        }
        if (position < BB_CLAIM_SET_SIZE) {
            ranks[position] = rank;
            set[position] = hosts[i];
        }
    }
    return count;
}

/* Returns whether the previous list may be dropped: all but at most one of its
 * hosts have adopted the current epoch, so that no quorum of witnesses is left
 * in an earlier one, and the retention time has passed since the last of them
 * did (adopted_us). Time alone is not enough, as two partitioned hosts could
 * continue to grant claims in an earlier epoch. */
bool
bb_roster_can_drop_previous(uint32_t previous_hosts, uint32_t adopted_hosts,
                            uint64_t adopted_us, uint64_t retention_us,
                            uint64_t now_us)
{
    return adopted_hosts + 1 >= previous_hosts &&
           now_us >= adopted_us + retention_us;
}

/* Initialises a witness. The caller provides the entries, whose number is a
 * power of two, and frees them. A witness that restarted without its claims
 * grants nothing until the retention time has passed, when all claims that it
 * may have lost have expired. */
void
bb_witness_init(struct bb_witness *w, uint64_t epoch, uint64_t retention_us,
                bool is_restart_without_data, struct bb_claim_entry *entries,
                uint32_t entry_count, uint64_t now_us)
{
    *w = (struct bb_witness){.epoch = epoch, .retention_us = retention_us};
    if (is_restart_without_data) {
        w->grants_from_us = now_us + retention_us;
    }
    bb_id_table_init(&w->table, entries, sizeof(*entries), entry_count);
}

/* Adopts a later roster epoch; an earlier one is ignored. */
void
bb_witness_set_epoch(struct bb_witness *w, uint64_t epoch)
{
    if (epoch > w->epoch) {
        w->epoch = epoch;
    }
}

/* Returns whether both claims are for the same attempt of a request, by the
 * same incarnation of the same gatekeeper. */
static bool
is_same_claim(const struct bb_claim *a, const struct bb_claim *b)
{
    return bb_request_id_equal(&a->request, &b->request) &&
           a->attempt == b->attempt && a->gatekeeper == b->gatekeeper &&
           a->incarnation == b->incarnation;
}

/* Returns whether a claim may replace the held one: a later attempt of the
 * same request, made after its gatekeeper refused it permanently. */
static bool
is_next_attempt(const struct bb_claim *held, const struct bb_claim *c)
{
    return bb_request_id_equal(&held->request, &c->request) &&
           c->attempt > held->attempt;
}

/* Responds to a claim of a key made in a roster epoch. A granted claim is kept
 * for the retention time after it was last granted. A witness that cannot
 * grant still reports another claim that it holds, unless the new one is a
 * later attempt of the same request. */
struct bb_witness_response
bb_witness_claim(struct bb_witness *w, const struct bb_request_id *key,
                 const struct bb_claim *c, uint64_t epoch, uint64_t now_us)
{
    struct bb_witness_response response = {.epoch = w->epoch};
    struct bb_claim_entry *e;

    if (epoch != w->epoch) {
        response.result = BB_WITNESS_OTHER_EPOCH;
        return response;
    }
    e = bb_id_table_find(&w->table, key, now_us);
    if (e != NULL && !is_same_claim(&e->claim, c) &&
        !is_next_attempt(&e->claim, c)) {
        response.result = BB_WITNESS_HELD;
        response.held = e->claim;
        return response;
    }
    if (now_us < w->grants_from_us &&
        w->fault != BB_CLAIM_FAULT_GRANTS_AFTER_RESTART) {
        response.result = BB_WITNESS_CANNOT_GRANT;
        return response;
    }
    if (e == NULL) {
        e = bb_id_table_insert(&w->table, key, now_us);
    }
    if (e == NULL) {
        response.result = BB_WITNESS_FULL;
        return response;
    }
    e->claim = *c;
    e->slot.keep_until_us = now_us + w->retention_us;
    response.result = BB_WITNESS_GRANTED;
    response.held = *c;
    return response;
}

/* Removes one expired claim. Returns false if this scan of part of the table
 * found none. */
bool
bb_witness_expire(struct bb_witness *w, uint64_t now_us)
{
    void *e = bb_id_table_find_expired(&w->table, now_us);

    if (e != NULL) {
        bb_id_table_remove(&w->table, e);
    }
    return e != NULL;
}

/* Adds the witnesses of a key by one list of hosts to the requester's list,
 * each host once. */
static void
add_witnesses(struct bb_claim_requester *q, const uint64_t *hosts,
              uint32_t host_count, bool is_previous)
{
    uint64_t set[BB_CLAIM_SET_SIZE];
    uint32_t count =
        bb_claim_select_witnesses(&q->key, hosts, host_count, set);

    for (uint32_t i = 0; i < count; i++) {
        uint32_t position = 0;

        while (position < q->witness_count &&
               q->witnesses[position] != set[i]) {
            position++;
        }
        if (position == q->witness_count) {
            q->witnesses[q->witness_count++] = set[i];
        }
        if (is_previous) {
            q->is_previous[position] = true;
        }
        else {
            q->is_current[position] = true;
        }
    }
}

/* Starts a claim of a key. The caller sends it to every host in witnesses[]
 * and passes each response to bb_claim_add_response. */
void
bb_claim_start(struct bb_claim_requester *q, const struct bb_roster *r,
               const struct bb_request_id *key, const struct bb_claim *wanted)
{
    *q = (struct bb_claim_requester){
        .key = *key, .epoch = r->epoch, .wanted = *wanted};
    add_witnesses(q, r->hosts, r->host_count, false);
    if (r->previous_count > 0) {
        q->needs_both_lists = true;
        add_witnesses(q, r->previous, r->previous_count, true);
    }
}

/* Adds the response of one witness, BB_WITNESS_UNREACHABLE if it gave none. A
 * later response replaces an earlier one. Returns false if the host is not a
 * witness of this claim. */
bool
bb_claim_add_response(struct bb_claim_requester *q, uint64_t witness,
                      const struct bb_witness_response *response)
{
    for (uint32_t i = 0; i < q->witness_count; i++) {
        if (q->witnesses[i] == witness) {
            q->responses[i] = *response;
            q->has_responded[i] = true;
            return true;
        }
    }
    return false;
}

/* Counts the witnesses of one list (is_in_list) that hold a claim. */
static uint32_t
count_holders(const struct bb_claim_requester *q, const bool *is_in_list,
              const struct bb_claim *c)
{
    uint32_t count = 0;

    for (uint32_t i = 0; i < q->witness_count; i++) {
        enum bb_witness_result r = q->responses[i].result;

        if (is_in_list[i] && q->has_responded[i] &&
            (r == BB_WITNESS_GRANTED || r == BB_WITNESS_HELD) &&
            is_same_claim(&q->responses[i].held, c)) {
            count++;
        }
    }
    return count;
}

/* Returns whether a quorum of witnesses holds a claim, in the current list
 * and, if it counts, in the previous one. */
static bool
has_quorum(const struct bb_claim_requester *q, const struct bb_claim *c)
{
    uint32_t required =
        q->fault == BB_CLAIM_FAULT_ONE_GRANT ? 1 : (uint32_t)BB_CLAIM_QUORUM;

    return count_holders(q, q->is_current, c) >= required &&
           (!q->needs_both_lists ||
            q->fault == BB_CLAIM_FAULT_IGNORES_PREVIOUS ||
            count_holders(q, q->is_previous, c) >= required);
}

/* Returns the reason for refusing a claim without a quorum. */
static enum bb_reason
refusal_reason(const struct bb_claim_requester *q)
{
    for (uint32_t i = 0; i < q->witness_count; i++) {
        if (q->has_responded[i] &&
            q->responses[i].result == BB_WITNESS_OTHER_EPOCH) {
            return BB_REASON_KEY_OWNER_CHANGED;
        }
    }
    return BB_REASON_KEY_OWNER_UNAVAILABLE;
}

/* Returns what to do after the responses so far. BB_CLAIM_RUN: this claim has
 * a quorum. BB_CLAIM_JOIN: another claim has one; its request id may be sent
 * to its gatekeeper, which runs it at most once. Both set *held to the claim
 * with the quorum. BB_CLAIM_REFUSED: all witnesses have responded and no claim
 * has a quorum; sets *reason, and the request did not run. */
enum bb_claim_step
bb_claim_step(const struct bb_claim_requester *q, struct bb_claim *held,
              enum bb_reason *reason)
{
    bool is_complete = true;

    *reason = BB_REASON_NONE;
    for (uint32_t i = 0; i < q->witness_count; i++) {
        if (!q->has_responded[i]) {
            is_complete = false;
        }
        else if (q->responses[i].result == BB_WITNESS_GRANTED ||
                 q->responses[i].result == BB_WITNESS_HELD) {
            if (has_quorum(q, &q->responses[i].held)) {
                *held = q->responses[i].held;
                return is_same_claim(held, &q->wanted) ? BB_CLAIM_RUN
                                                       : BB_CLAIM_JOIN;
            }
        }
    }
    if (!is_complete) {
        return BB_CLAIM_WAIT;
    }
    *reason = refusal_reason(q);
    return BB_CLAIM_REFUSED;
}
