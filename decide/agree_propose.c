/* Proposals and linearizable reads at the leader. */
#include <string.h>

#include "agree_internal.h"

enum {
    /* Kept free for the no-op entries of new leaders and for voter entries,
     * which are appended without a check whether the leader is busy. */
    LOG_RESERVED_ENTRIES = BB_AGREE_LOG_MAX / 4
};

/* Adds a response to the output, which is never full: a step responds at most
 * to all pending requests and the one that it was called with. */
void
agree_add_response(struct agree_step *st, uint64_t ticket,
                   enum bb_agree_result result, uint64_t revision)
{
    struct bb_agree_output *out = st->out;

    if (out->response_count < BB_AGREE_RESPONSES_MAX) {
        out->responses[out->response_count] = (struct bb_agree_response){
            .ticket = ticket, .result = result, .revision = revision};
        out->response_count++;
    }
}

/* Responds to a proposal as accepted, now or once the entry at the log index
 * is applied. Index 0 stands for a compacted, hence applied entry. */
static void
respond_when_applied(struct agree_step *st, uint64_t ticket, uint64_t index,
                     uint64_t revision)
{
    struct bb_agree *a = st->a;

    if (index <= a->applied_index) {
        agree_add_response(st, ticket, BB_AGREE_ACCEPTED, revision);
        return;
    }
    a->pending_proposals[a->pending_proposal_count] =
        (struct bb_agree_pending_proposal){.ticket = ticket, .index = index};
    a->pending_proposal_count++;
}

/* Returns whether a new proposal may follow the last configuration in the log
 * (BB_AGREE_ACCEPTED), or why not. */
static enum bb_agree_result
check_proposal(const struct bb_agree *a, const struct bb_agree_proposal *p,
               const struct bb_agree_config *last)
{
    if (p->version != 0 && p->version <= agree_highest_version(a)) {
        return BB_AGREE_VERSION_CONFLICT;
    }
    if (p->base_revision != last->revision) {
        return BB_AGREE_STALE_BASE;
    }
    if (a->durable.log_count + LOG_RESERVED_ENTRIES >= BB_AGREE_LOG_MAX) {
        return BB_AGREE_BUSY;
    }
    return BB_AGREE_ACCEPTED;
}

/* Processes a proposal. A retry of an earlier one, recognised by base and
 * digest, or one whose content equals the last configuration, gets the
 * response of that one and appends nothing. */
void
agree_on_proposal(struct agree_step *st, const struct bb_agree_proposal *p)
{
    struct bb_agree *a = st->a;
    struct bb_agree_config last = agree_config_at(a, bb_agree_last_index(a));
    struct bb_agree_entry e = {.term = a->durable.term,
                               .kind = BB_AGREE_CONFIG,
                               .revision = last.revision + 1,
                               .base_revision = p->base_revision,
                               .version = p->version,
                               .digest = p->digest};
    enum bb_agree_result result;
    uint64_t revision = 0;
    uint64_t index = 0;

    if (a->role != BB_AGREE_LEADER) {
        agree_add_response(st, p->ticket, BB_AGREE_NOT_LEADER, 0);
        return;
    }
    if (a->pending_proposal_count == BB_AGREE_PENDING_PROPOSALS_MAX) {
        agree_add_response(st, p->ticket, BB_AGREE_BUSY, 0);
        return;
    }
    if (agree_find_proposal(a, p->base_revision, &p->digest, &revision,
                            &index) ||
        (!bb_digest_is_zero(&p->digest) &&
         bb_digest_equal(&p->digest, &last.digest) &&
         agree_find_proposal(a, last.base_revision, &last.digest, &revision,
                             &index))) {
        respond_when_applied(st, p->ticket, index, revision);
        return;
    }
    result = check_proposal(a, p, &last);
    if (result != BB_AGREE_ACCEPTED) {
        agree_add_response(st, p->ticket, result, last.revision);
        return;
    }
    agree_append(st, &e);
    respond_when_applied(st, p->ticket, bb_agree_last_index(a), e.revision);
    agree_send_appends(st);
}

/* Starts a read: sends a heartbeat round that a quorum must respond to, to
 * confirm that this host still leads. */
void
agree_on_read(struct agree_step *st, uint64_t ticket)
{
    struct bb_agree *a = st->a;

    if (a->role != BB_AGREE_LEADER) {
        agree_add_response(st, ticket, BB_AGREE_NOT_LEADER, 0);
        return;
    }
    if (a->pending_read_count == BB_AGREE_PENDING_READS_MAX) {
        agree_add_response(st, ticket, BB_AGREE_BUSY, 0);
        return;
    }
    a->round++;
    a->pending_reads[a->pending_read_count] =
        (struct bb_agree_pending_read){.ticket = ticket, .round = a->round};
    a->pending_read_count++;
    agree_send_appends(st);
    if (a->host_count == 1) {
        a->confirmed_round = a->round;
    }
}

/* Completes the pending proposals whose entries are applied. */
void
agree_complete_proposals(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    uint8_t kept = 0;

    for (uint8_t i = 0; i < a->pending_proposal_count; i++) {
        struct bb_agree_pending_proposal p = a->pending_proposals[i];
        const struct bb_agree_entry *e = bb_agree_get_entry(a, p.index);

        if (p.index > a->applied_index) {
            a->pending_proposals[kept] = p;
            kept++;
        }
        else {
            agree_add_response(st, p.ticket, BB_AGREE_ACCEPTED,
                               e != NULL ? e->revision : 0);
        }
    }
    memset(&a->pending_proposals[kept], 0,
           (size_t)(a->pending_proposal_count - kept) *
               sizeof(a->pending_proposals[0]));
    a->pending_proposal_count = kept;
}

/* Completes the pending reads whose round a quorum has responded to, once an
 * entry of the leader's own term is applied: before that, the commit index may
 * lack entries committed by earlier leaders. */
void
agree_complete_reads(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    uint64_t term = 0;
    uint8_t kept = 0;

    (void)agree_get_term(a, a->applied_index, &term);
    for (uint8_t i = 0; i < a->pending_read_count; i++) {
        struct bb_agree_pending_read r = a->pending_reads[i];

        if (r.round > a->confirmed_round || term != a->durable.term) {
            a->pending_reads[kept] = r;
            kept++;
        }
        else {
            agree_add_response(st, r.ticket, BB_AGREE_CONFIRMED,
                               bb_agree_config_in_force(a).revision);
        }
    }
    memset(&a->pending_reads[kept], 0,
           (size_t)(a->pending_read_count - kept) *
               sizeof(a->pending_reads[0]));
    a->pending_read_count = kept;
}

/* Fails all pending proposals and reads when the leadership ends. Proposals
 * get BB_AGREE_UNKNOWN: the next leader may still commit their entries. */
void
agree_fail_pending(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    for (uint8_t i = 0; i < a->pending_proposal_count; i++) {
        agree_add_response(st, a->pending_proposals[i].ticket,
                           BB_AGREE_UNKNOWN, 0);
    }
    for (uint8_t i = 0; i < a->pending_read_count; i++) {
        agree_add_response(st, a->pending_reads[i].ticket, BB_AGREE_NOT_LEADER,
                           0);
    }
    memset(a->pending_proposals, 0, sizeof(a->pending_proposals));
    memset(a->pending_reads, 0, sizeof(a->pending_reads));
    a->pending_proposal_count = 0;
    a->pending_read_count = 0;
}
