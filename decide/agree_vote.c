/* Leader election. A round of pre-votes, which changes no durable state, finds
 * out first whether an election can succeed. Votes are synced before they are
 * sent. */
#include "agree_internal.h"

/* Restarts the election timeout with a random duration, so that hosts seldom
 * become candidates at the same time. */
void
agree_reset_election_timer(struct agree_step *st)
{
    st->a->election_due_us =
        st->now_us + BB_AGREE_ELECTION_TIMEOUT_MIN_US +
        st->random_bits % (BB_AGREE_ELECTION_TIMEOUT_MAX_US -
                           BB_AGREE_ELECTION_TIMEOUT_MIN_US);
}

/* Becomes a follower of a leader (BB_AGREE_NO_HOST: unknown) in a term. A term
 * above the current one is adopted and clears the vote. Proposals and reads
 * that are still pending at a leader are failed. */
void
agree_become_follower(struct agree_step *st, uint64_t term, uint8_t leader)
{
    struct bb_agree *a = st->a;

    if (term > a->durable.term) {
        a->durable.term = term;
        a->durable.voted_for = 0;
        a->append_match_index = 0;
        a->append_round = 0;
        a->has_pending_append_response = 0;
        a->pending_vote_to = BB_AGREE_NO_HOST;
        agree_request_write(st, 0);
    }
    if (a->role == BB_AGREE_LEADER) {
        agree_fail_pending(st);
        a->joining_host = BB_AGREE_NO_HOST;
        a->progress[BB_AGREE_JOINING_SLOT] = (struct bb_agree_progress){0};
    }
    if (a->role != BB_AGREE_FOLLOWER) {
        a->pending_vote_to = BB_AGREE_NO_HOST;
        agree_reset_election_timer(st);
    }
    a->role = BB_AGREE_FOLLOWER;
    a->votes = 0;
    a->leader = leader;
}

/* Sends a vote or pre-vote request for a term to all other hosts, with the
 * position of the last log entry. */
static void
send_vote_requests(struct agree_step *st, enum bb_agree_message_kind kind,
                   uint64_t term)
{
    struct bb_agree *a = st->a;

    for (uint8_t h = 0; h < a->host_count; h++) {
        if (h != a->self) {
            struct bb_agree_message *m = agree_add_message(st, kind, h);

            m->term = term;
            m->index = bb_agree_last_index(a);
            m->index_term = agree_last_term(a);
        }
    }
}

/* Enters a new term and votes for itself. The vote requests are sent once this
 * is synced. */
static void
become_candidate(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_become_follower(st, a->durable.term + 1, BB_AGREE_NO_HOST);
    a->role = BB_AGREE_CANDIDATE;
    a->durable.voted_for = a->durable.disk_id;
    a->pending_vote_to = a->self;
    agree_reset_election_timer(st);
}

/* Asks the others whether they would vote for this host, without changing the
 * term of any host. */
void
agree_become_pre_candidate(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_become_follower(st, a->durable.term, BB_AGREE_NO_HOST);
    agree_refresh_progress(a);
    a->role = BB_AGREE_PRE_CANDIDATE;
    a->votes = (uint8_t)(1u << a->self);
    agree_reset_election_timer(st);
    if (agree_has_quorum(a, a->votes)) {
        become_candidate(st);
        return;
    }
    send_vote_requests(st, BB_AGREE_PRE_VOTE, a->durable.term + 1);
}

/* Counts this host's own vote, which must be synced, and requests those of the
 * others. Becomes the leader at once in a cluster of one host. */
void
agree_request_votes(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    a->pending_vote_to = BB_AGREE_NO_HOST;
    a->votes = (uint8_t)(1u << a->self);
    if (agree_has_quorum(a, a->votes)) {
        agree_become_leader(st);
        return;
    }
    send_vote_requests(st, BB_AGREE_VOTE, a->durable.term);
}

/* Responds to a vote or pre-vote request. The response carries the term of the
 * request in term and this host's term in index_term. */
static void
send_vote_response(struct agree_step *st, const struct bb_agree_message *m,
                   bool is_ok)
{
    enum bb_agree_message_kind kind = m->kind == BB_AGREE_PRE_VOTE
                                          ? BB_AGREE_PRE_VOTE_RESPONSE
                                          : BB_AGREE_VOTE_RESPONSE;
    struct bb_agree_message *r = agree_add_message(st, kind, m->from);

    r->term = m->term;
    r->index_term = st->a->durable.term;
    r->is_ok = is_ok;
}

/* Sends the granted vote, which must be synced, to the candidate. */
void
agree_send_granted_vote(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r =
        agree_add_message(st, BB_AGREE_VOTE_RESPONSE, a->pending_vote_to);

    r->term = a->durable.term;
    r->index_term = a->durable.term;
    r->is_ok = true;
    a->pending_vote_to = BB_AGREE_NO_HOST;
}

/* Returns whether the log shows that the candidate's disk is not a voter. A
 * candidate whose log is ahead may know of a replacement that this host does
 * not, so this is decided only if both logs end with the same entry. */
static bool
is_disk_replaced(const struct bb_agree *a, const struct bb_agree_message *m)
{
    uint64_t voters[BB_AGREE_HOSTS_MAX];

    agree_get_voters(a, a->durable.commit_index, voters);
    if (voters[m->from] == m->disk_id) {
        return false;
    }
    agree_get_voters(a, bb_agree_last_index(a), voters);
    return voters[m->from] != m->disk_id &&
           m->index_term == agree_last_term(a) &&
           m->index == bb_agree_last_index(a);
}

/* Returns whether the candidate's log is at least as up to date as this host's
 * log, by the term and index of the last entries. */
static bool
is_log_up_to_date(const struct bb_agree *a, const struct bb_agree_message *m)
{
    uint64_t term = agree_last_term(a);

    return m->index_term > term ||
           (m->index_term == term && m->index >= bb_agree_last_index(a));
}

/* Responds to a pre-vote request. It is refused while this host hears from a
 * leader, so that a host that rejoins does not disturb it. */
static void
respond_to_pre_vote(struct agree_step *st, const struct bb_agree_message *m)
{
    const struct bb_agree *a = st->a;
    bool has_leader = a->role == BB_AGREE_LEADER ||
                      (a->leader != BB_AGREE_NO_HOST &&
                       st->now_us < a->leader_last_heard_us +
                                        BB_AGREE_ELECTION_TIMEOUT_MIN_US);

    send_vote_response(st, m,
                       m->term > a->durable.term && is_log_up_to_date(a, m) &&
                           !has_leader);
}

/* Processes a vote or pre-vote request. A disk that is not a voter does not
 * respond, and a candidate whose disk was replaced gets no response. */
void
agree_on_vote_request(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    bool is_fault_on =
        a->faults.votes_with_empty_disk && a->durable.formation.id == 0;

    if ((!bb_agree_is_voter(a) && !is_fault_on) || is_disk_replaced(a, m)) {
        return;
    }
    if (m->kind == BB_AGREE_PRE_VOTE) {
        respond_to_pre_vote(st, m);
        return;
    }
    if (m->term > a->durable.term) {
        agree_become_follower(st, m->term, BB_AGREE_NO_HOST);
    }
    if (m->term < a->durable.term || !is_log_up_to_date(a, m) ||
        (a->durable.voted_for != 0 && a->durable.voted_for != m->disk_id)) {
        send_vote_response(st, m, false);
        return;
    }
    if (a->durable.voted_for == 0) {
        a->durable.voted_for = m->disk_id;
        agree_request_write(st, 0);
    }
    a->pending_vote_to = m->from;
    agree_reset_election_timer(st);
}

/* Counts a response to this host's vote or pre-vote request, and wins the
 * round with a quorum. Only responses of voting disks, or of the one that a
 * pending entry admits, count. */
void
agree_on_vote_response(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    bool is_pre = m->kind == BB_AGREE_PRE_VOTE_RESPONSE;
    uint8_t role = is_pre ? BB_AGREE_PRE_CANDIDATE : BB_AGREE_CANDIDATE;
    uint8_t slot = agree_find_slot(a, m->from, m->disk_id);

    if (slot == BB_AGREE_NO_HOST) {
        return;
    }
    if (m->index_term > a->durable.term) {
        agree_become_follower(st, m->index_term, BB_AGREE_NO_HOST);
        return;
    }
    if (a->role != role || !m->is_ok ||
        m->term != a->durable.term + (is_pre ? 1 : 0) ||
        a->pending_vote_to != BB_AGREE_NO_HOST) {
        return;
    }
    a->votes |= (uint8_t)(1u << slot);
    if (!agree_has_quorum(a, a->votes)) {
        return;
    }
    if (is_pre) {
        become_candidate(st);
    }
    else {
        agree_become_leader(st);
    }
}
