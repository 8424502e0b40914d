/* Elections: a round of pre-votes that changes nothing, then a round of votes
 * that are synced before they are answered. */
#include "agree_internal.h"

/* Chooses the next election time at random between the two bounds. */
void
agree_reset_election(struct agree_step *st)
{
    st->a->election_due_us =
        st->now_us + BB_AGREE_ELECTION_MIN_US +
        st->random % (BB_AGREE_ELECTION_MAX_US - BB_AGREE_ELECTION_MIN_US);
}

/* Becomes a follower in a term; a higher term clears the vote. */
void
agree_follow(struct agree_step *st, uint64_t term, uint8_t leader)
{
    struct bb_agree *a = st->a;

    if (term > a->d.term) {
        a->d.term = term;
        a->d.voted_for = 0;
        a->append_match = 0;
        a->append_round = 0;
        a->owes_append = 0;
        a->owes_vote = BB_AGREE_NO_HOST;
        agree_persist(st, 0);
    }
    if (a->role == BB_AGREE_LEADER) {
        agree_drop_waiting(st);
        a->joiner = BB_AGREE_NO_HOST;
        a->progress[BB_AGREE_JOINER] = (struct bb_agree_progress){0};
    }
    if (a->role != BB_AGREE_FOLLOWER) {
        a->owes_vote = BB_AGREE_NO_HOST;
        agree_reset_election(st);
    }
    a->role = BB_AGREE_FOLLOWER;
    a->votes = 0;
    a->leader = leader;
}

/* Sends a vote or pre-vote request for a term to all other hosts. */
static void
request_votes(struct agree_step *st, enum bb_agree_message_kind kind,
              uint64_t term)
{
    struct bb_agree *a = st->a;

    for (uint8_t h = 0; h < a->host_count; h++) {
        if (h != a->self) {
            struct bb_agree_message *m = agree_send(st, kind, h);

            m->term = term;
            m->index = bb_agree_last_index(a);
            m->index_term = agree_last_term(a);
        }
    }
}

/* Starts the vote proper: a new term and a vote for itself, to be synced. */
static void
start_vote(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_follow(st, a->d.term + 1, BB_AGREE_NO_HOST);
    a->role = BB_AGREE_CANDIDATE;
    a->d.voted_for = a->d.incarnation;
    a->owes_vote = a->self;
    agree_reset_election(st);
}

/* Asks whether a vote would succeed, without changing any term. */
void
agree_start_pre_vote(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_follow(st, a->d.term, BB_AGREE_NO_HOST);
    agree_refresh_progress(a);
    a->role = BB_AGREE_PRE_CANDIDATE;
    a->votes = (uint8_t)(1u << a->self);
    agree_reset_election(st);
    if (agree_quorum(a, a->votes)) {
        start_vote(st);
        return;
    }
    request_votes(st, BB_AGREE_PRE_VOTE, a->d.term + 1);
}

/* Counts the own vote and asks for the others', once it is synced. */
void
agree_send_votes(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    a->owes_vote = BB_AGREE_NO_HOST;
    a->votes = (uint8_t)(1u << a->self);
    if (agree_quorum(a, a->votes)) {
        agree_lead(st);
        return;
    }
    request_votes(st, BB_AGREE_VOTE, a->d.term);
}

/* Answers a request; a refusal carries the own term in index_term. */
static void
answer(struct agree_step *st, const struct bb_agree_message *m, bool is_ok)
{
    enum bb_agree_message_kind kind = m->kind == BB_AGREE_PRE_VOTE
                                          ? BB_AGREE_PRE_VOTE_ANSWER
                                          : BB_AGREE_VOTE_ANSWER;
    struct bb_agree_message *r = agree_send(st, kind, m->from);

    r->term = m->term;
    r->index_term = st->a->d.term;
    r->is_ok = is_ok;
}

/* Sends the vote that was synced. */
void
agree_answer_vote(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r =
        agree_send(st, BB_AGREE_VOTE_ANSWER, a->owes_vote);

    r->term = a->d.term;
    r->index_term = a->d.term;
    r->is_ok = true;
    a->owes_vote = BB_AGREE_NO_HOST;
}

/* Tells whether the candidate's disk is known to be replaced. A candidate
 * whose log is ahead may know a replacement that this host does not. */
static bool
is_replaced(const struct bb_agree *a, const struct bb_agree_message *m)
{
    uint64_t members[BB_AGREE_HOSTS_MAX];

    agree_members(a, a->d.commit, members);
    if (members[m->from] == m->incarnation) {
        return false;
    }
    agree_members(a, bb_agree_last_index(a), members);
    return members[m->from] != m->incarnation &&
           m->index_term == agree_last_term(a) &&
           m->index == bb_agree_last_index(a);
}

/* Tells whether the candidate's log is at least as complete as the own. */
static bool
is_complete(const struct bb_agree *a, const struct bb_agree_message *m)
{
    uint64_t term = agree_last_term(a);

    return m->index_term > term ||
           (m->index_term == term && m->index >= bb_agree_last_index(a));
}

/* Decides a pre-vote: refused while a leader is heard. */
static void
decide_pre_vote(struct agree_step *st, const struct bb_agree_message *m)
{
    const struct bb_agree *a = st->a;
    bool has_leader =
        a->role == BB_AGREE_LEADER ||
        (a->leader != BB_AGREE_NO_HOST &&
         st->now_us < a->leader_heard_us + BB_AGREE_ELECTION_MIN_US);

    answer(st, m, m->term > a->d.term && is_complete(a, m) && !has_leader);
}

/* Handles a request for a vote or a pre-vote. A disk that is not admitted
 * does not answer. */
void
agree_on_vote(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    bool votes_empty =
        a->faults.vote_with_empty_disk && a->d.formation.id == 0;

    if ((!bb_agree_is_voter(a) && !votes_empty) || is_replaced(a, m)) {
        return;
    }
    if (m->kind == BB_AGREE_PRE_VOTE) {
        decide_pre_vote(st, m);
        return;
    }
    if (m->term > a->d.term) {
        agree_follow(st, m->term, BB_AGREE_NO_HOST);
    }
    if (m->term < a->d.term || !is_complete(a, m) ||
        (a->d.voted_for != 0 && a->d.voted_for != m->incarnation)) {
        answer(st, m, false);
        return;
    }
    if (a->d.voted_for == 0) {
        a->d.voted_for = m->incarnation;
        agree_persist(st, 0);
    }
    a->owes_vote = m->from;
    agree_reset_election(st);
}

/* Counts an answer to the own request; only admitted disks count. */
void
agree_on_vote_answer(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    bool is_pre = m->kind == BB_AGREE_PRE_VOTE_ANSWER;
    uint8_t role = is_pre ? BB_AGREE_PRE_CANDIDATE : BB_AGREE_CANDIDATE;
    uint8_t slot = agree_slot_of(a, m->from, m->incarnation);

    if (slot == BB_AGREE_NO_HOST) {
        return;
    }
    if (m->index_term > a->d.term) {
        agree_follow(st, m->index_term, BB_AGREE_NO_HOST);
        return;
    }
    if (a->role != role || !m->is_ok ||
        m->term != a->d.term + (is_pre ? 1 : 0) ||
        a->owes_vote != BB_AGREE_NO_HOST) {
        return;
    }
    a->votes |= (uint8_t)(1u << slot);
    if (!agree_quorum(a, a->votes)) {
        return;
    }
    if (is_pre) {
        start_vote(st);
    }
    else {
        agree_lead(st);
    }
}
