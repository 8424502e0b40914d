/* A replicated register whose entry lists its own voters. */
#include "decide/quorum.h"

#include <string.h>

/* Returns a random time in [low_us, high_us). */
static uint64_t
random_between(uint64_t low_us, uint64_t high_us, uint64_t random_bits)
{
    return low_us + random_bits % (high_us - low_us);
}

/* Returns whether an entry lists a disk as a voter. */
static bool
is_voter(const struct bb_quorum_entry *e, uint64_t disk)
{
    for (uint64_t i = 0; i < e->voter_count; i++) {
        if (e->voters[i] == disk) {
            return true;
        }
    }
    return false;
}

/* Compares entries by term, then index. Returns -1, 0 or 1. */
static int
compare_entries(const struct bb_quorum_entry *a,
                const struct bb_quorum_entry *b)
{
    if (a->term != b->term) {
        return a->term < b->term ? -1 : 1;
    }
    if (a->index != b->index) {
        return a->index < b->index ? -1 : 1;
    }
    return 0;
}

/* Returns how many of the current entry's voters are a majority. */
static uint64_t
majority_size(const struct bb_quorum *q)
{
    return q->durable.entry.voter_count / 2 + 1;
}

/* Returns the peer with a disk id, or NULL if there is none. */
static struct bb_quorum_peer *
find_peer(struct bb_quorum *q, uint64_t disk)
{
    for (uint32_t i = 0; i < q->peer_count; i++) {
        if (q->peers[i].disk_id == disk) {
            return &q->peers[i];
        }
    }
    return NULL;
}

/* Adds a message to the output and returns it for further fields. */
static struct bb_quorum_message *
add_message(struct bb_quorum *q, struct bb_quorum_output *out, uint64_t to,
            enum bb_quorum_message_kind kind)
{
    struct bb_quorum_message *m;

    if (out->message_count == BB_QUORUM_MESSAGES_MAX) {
        out->message_count--; /* the protocol tolerates lost messages */
    }
    m = &out->messages[out->message_count++];
    *m = (struct bb_quorum_message){.kind = kind,
                                    .from = q->durable.disk_id,
                                    .to = to,
                                    .term = q->durable.term};
    return m;
}

/* Requests a write of the durable state and returns its sequence number. */
static uint64_t
request_write(struct bb_quorum *q, struct bb_quorum_output *out)
{
    out->must_persist = true;
    return ++q->write_sequence;
}

/* Returns whether the current entry is synced on this host's disk. */
static bool
is_entry_synced(const struct bb_quorum *q)
{
    return q->faults.responds_before_sync ||
           (q->synced_term == q->durable.entry.term &&
            q->synced_index == q->durable.entry.index);
}

/* Restarts the election timeout with a random duration. */
static void
reset_election_timer(struct bb_quorum *q, uint64_t now_us,
                     uint64_t random_bits)
{
    q->election_due_us =
        now_us + random_between(BB_QUORUM_ELECTION_TIMEOUT_MIN_US,
                                BB_QUORUM_ELECTION_TIMEOUT_MAX_US,
                                random_bits);
}

/* Becomes a follower. A term above the current one is adopted and clears the
 * vote. */
static void
become_follower(struct bb_quorum *q, uint64_t term,
                struct bb_quorum_output *out)
{
    if (q->role == BB_QUORUM_LEADER) {
        out->lost_leadership = true;
    }
    q->role = BB_QUORUM_FOLLOWER;
    if (term > q->durable.term) {
        q->durable.term = term;
        q->durable.voted_for = 0;
        q->leader = 0;
        q->pending_vote_to = 0;
        q->has_pending_append_response = false;
        (void)request_write(q, out);
    }
}

/* Initialises a host from the state that its disk holds; a new disk has only
 * its id. The caller must write this state before the host vouches for it:
 * what an earlier process wrote but did not sync can be read, and is still
 * lost with the power. */
void
bb_quorum_init(struct bb_quorum *q, const struct bb_quorum_durable *d,
               uint64_t now_us, uint64_t random_bits)
{
    memset(q, 0, sizeof(*q));
    q->durable = *d;
    q->write_sequence = 1;
    /* An early election is safe: while there is a leader, other hosts refuse
     * the pre-vote. */
    q->election_due_us = now_us + BB_QUORUM_STARTUP_DELAY_US +
                         random_bits % BB_QUORUM_EARLY_ELECTION_MAX_US;
}

/* Sets the disks of all hosts that can be reached, voters or not; this host's
 * own disk is ignored. Those known before keep their state. Beyond
 * BB_QUORUM_PEERS_MAX, disks are ignored. */
void
bb_quorum_set_peers(struct bb_quorum *q, const uint64_t *disks, uint32_t count)
{
    struct bb_quorum_peer kept[BB_QUORUM_PEERS_MAX];
    uint32_t kept_count = 0;

    for (uint32_t i = 0; i < count && kept_count < BB_QUORUM_PEERS_MAX; i++) {
        const struct bb_quorum_peer *p = find_peer(q, disks[i]);

        if (disks[i] == q->durable.disk_id) {
            continue;
        }
        kept[kept_count++] =
            p != NULL ? *p : (struct bb_quorum_peer){.disk_id = disks[i]};
    }
    memcpy(q->peers, kept, kept_count * sizeof(kept[0]));
    q->peer_count = kept_count;
}

/* Sends the current entry to all peers, which also serves as the heartbeat. */
static void
send_appends(struct bb_quorum *q, uint64_t now_us,
             struct bb_quorum_output *out)
{
    for (uint32_t i = 0; i < q->peer_count; i++) {
        struct bb_quorum_message *m =
            add_message(q, out, q->peers[i].disk_id, BB_QUORUM_APPEND);

        m->entry = q->durable.entry;
        m->commit_index = q->commit_index;
        m->round = q->round;
        m->has_recent_quorum =
            q->commit_index != 0 &&
            now_us - q->last_quorum_us < BB_QUORUM_ELECTION_TIMEOUT_MIN_US;
    }
    q->heartbeat_due_us = now_us + BB_QUORUM_HEARTBEAT_INTERVAL_US;
}

/* Commits the leader's current entry if a majority of its voters has synced
 * it, and tells all peers. */
static void
advance_commit(struct bb_quorum *q, uint64_t now_us,
               struct bb_quorum_output *out)
{
    const struct bb_quorum_entry *e = &q->durable.entry;
    uint64_t count = is_voter(e, q->durable.disk_id) && is_entry_synced(q);

    if (q->role != BB_QUORUM_LEADER || q->is_committed) {
        return;
    }
    for (uint32_t i = 0; i < q->peer_count; i++) {
        count += is_voter(e, q->peers[i].disk_id) &&
                 q->peers[i].match_index >= e->index;
    }
    if (count >= majority_size(q)) {
        q->is_committed = true;
        q->commit_index = e->index;
        q->last_quorum_us = now_us;
        out->has_committed = true;
        send_appends(q, now_us, out);
    }
}

/* Gives the leader's changed entry its own term and the next index, and
 * replicates it. */
static void
replace_entry(struct bb_quorum *q, uint64_t now_us,
              struct bb_quorum_output *out)
{
    q->durable.entry.term = q->durable.term;
    q->durable.entry.index++;
    q->is_committed = false;
    (void)request_write(q, out);
    q->round++;
    send_appends(q, now_us, out);
    advance_commit(q, now_us, out);
}

/* Becomes the leader and writes the current entry again in the new term. */
static void
become_leader(struct bb_quorum *q, uint64_t now_us,
              struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_LEADER;
    q->leader = q->durable.disk_id;
    q->last_quorum_us = now_us;
    q->commit_index = 0;
    for (uint32_t i = 0; i < q->peer_count; i++) {
        q->peers[i].match_index = 0;
    }
    out->became_leader = true;
    /* An entry of an earlier term is committed only by one of this term. */
    replace_entry(q, now_us, out);
}

/* Counts this host's own vote and sends vote requests to the other voters;
 * pre-vote requests are for the next term. */
static void
request_votes(struct bb_quorum *q, enum bb_quorum_message_kind kind,
              struct bb_quorum_output *out)
{
    const struct bb_quorum_entry *e = &q->durable.entry;

    q->votes[0] = q->durable.disk_id;
    q->vote_count = 1;
    for (uint64_t i = 0; i < e->voter_count; i++) {
        struct bb_quorum_message *m;

        if (e->voters[i] == q->durable.disk_id) {
            continue;
        }
        m = add_message(q, out, e->voters[i], kind);
        m->term = q->durable.term + (kind == BB_QUORUM_PRE_VOTE);
        m->entry.term = e->term;
        m->entry.index = e->index;
    }
}

/* Enters a new term and votes for itself; the vote requests are sent once this
 * is synced. The wait for votes is random: two candidates that split the vote
 * must not start the next election at the same time. */
static void
become_candidate(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
                 struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_CANDIDATE;
    q->durable.term++;
    q->durable.voted_for = q->durable.disk_id;
    q->leader = 0;
    q->vote_count = 0;
    q->pending_vote_to =
        q->durable.disk_id; /* requests votes after the sync */
    q->pending_vote_sequence = request_write(q, out);
    q->election_due_us = now_us + BB_QUORUM_VOTE_TIMEOUT_US / 2 +
                         random_bits % BB_QUORUM_VOTE_TIMEOUT_US;
}

/* Asks the voters whether they would vote for this host, without changing the
 * term of any host. */
static void
become_pre_candidate(struct bb_quorum *q, uint64_t now_us,
                     uint64_t random_bits, struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_PRE_CANDIDATE;
    q->leader = 0;
    q->election_due_us = now_us + BB_QUORUM_VOTE_TIMEOUT_US +
                         random_bits % BB_QUORUM_VOTE_TIMEOUT_US;
    request_votes(q, BB_QUORUM_PRE_VOTE, out);
    if (majority_size(q) <= 1) {
        become_candidate(q, now_us, random_bits, out);
    }
}

/* Creates the first entry, with empty content and up to BB_QUORUM_VOTERS_MAX
 * voters, and starts an election. The voters must include this host's disk,
 * which is not checked although its vote is counted. Must be called on one
 * host only, the one that all empty hosts agree on. Returns false if this host
 * has an entry already or the count is out of range. */
bool
bb_quorum_bootstrap(struct bb_quorum *q, const uint64_t *voters,
                    uint32_t count, uint64_t now_us,
                    struct bb_quorum_output *out)
{
    if (q->durable.entry.index != 0 || count == 0 ||
        count > BB_QUORUM_VOTERS_MAX) {
        return false;
    }
    q->durable.term = 1;
    q->durable.entry.term = 1;
    q->durable.entry.index = 1;
    q->durable.entry.voter_count = count;
    memcpy(q->durable.entry.voters, voters, count * sizeof(voters[0]));
    become_candidate(q, now_us, q->durable.disk_id, out);
    return true;
}

/* Sends a due heartbeat, starts a due election, or steps down if this host
 * leads and no majority responds. See bb_quorum_next_tick_us for when to call
 * it. */
void
bb_quorum_tick(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
               struct bb_quorum_output *out)
{
    if (q->role == BB_QUORUM_LEADER) {
        if (now_us - q->last_quorum_us > BB_QUORUM_STEP_DOWN_TIMEOUT_US &&
            majority_size(q) > 1) {
            q->leader = 0;
            reset_election_timer(q, now_us, random_bits);
            become_follower(q, q->durable.term, out);
            return;
        }
        if (now_us >= q->heartbeat_due_us) {
            q->round++;
            send_appends(q, now_us, out);
        }
        return;
    }
    if (now_us < q->election_due_us) {
        return;
    }
    q->leader = 0;
    if (!is_voter(&q->durable.entry, q->durable.disk_id)) {
        reset_election_timer(q, now_us, random_bits);
        return;
    }
    become_pre_candidate(q, now_us, random_bits, out);
}

/* Reports that the connection to a disk ended, the leader's or another. If it
 * is the leader's, an election starts within BB_QUORUM_EARLY_ELECTION_MAX_US.
 */
void
bb_quorum_on_connection_lost(struct bb_quorum *q, uint64_t disk,
                             uint64_t now_us, uint64_t random_bits)
{
    uint64_t due_us = now_us + random_bits % BB_QUORUM_EARLY_ELECTION_MAX_US;

    if (q->leader != disk || disk == 0 || q->role == BB_QUORUM_LEADER) {
        return;
    }
    q->leader = 0;
    q->leader_last_heard_us = 0;
    if (due_us < q->election_due_us) {
        q->election_due_us = due_us;
    }
}

/* Returns whether a candidate's entry is at least as up to date as this host's
 * own. */
static bool
is_entry_up_to_date(const struct bb_quorum *q,
                    const struct bb_quorum_message *m)
{
    return q->faults.votes_for_older_entry ||
           compare_entries(&m->entry, &q->durable.entry) >= 0;
}

/* Responds to a pre-vote request. It is refused while this host leads or hears
 * from a leader, so that a host that rejoins does not disturb the leader. */
static void
respond_to_pre_vote(struct bb_quorum *q, const struct bb_quorum_message *m,
                    uint64_t now_us, struct bb_quorum_output *out)
{
    bool has_leader =
        q->role == BB_QUORUM_LEADER ||
        (q->leader != 0 &&
         now_us - q->leader_last_heard_us < BB_QUORUM_ELECTION_TIMEOUT_MIN_US);
    struct bb_quorum_message *response =
        add_message(q, out, m->from, BB_QUORUM_PRE_VOTE_RESPONSE);

    response->is_ok =
        !has_leader && m->term > q->durable.term && is_entry_up_to_date(q, m);
    /* A refusal carries this host's term. A candidate with a lower term cannot
     * win before it adopts this term, and may be the only one that has the
     * newest entry. */
    response->term = response->is_ok ? m->term : q->durable.term;
}

/* Responds to a vote request; a granted vote is sent once it is synced. */
static void
respond_to_vote(struct bb_quorum *q, const struct bb_quorum_message *m,
                uint64_t now_us, uint64_t random_bits,
                struct bb_quorum_output *out)
{
    if (m->term > q->durable.term) {
        become_follower(q, m->term, out);
    }
    if (m->term < q->durable.term || !is_entry_up_to_date(q, m) ||
        (q->durable.voted_for != 0 && q->durable.voted_for != m->from)) {
        add_message(q, out, m->from, BB_QUORUM_VOTE_RESPONSE)->is_ok = false;
        return;
    }
    reset_election_timer(q, now_us, random_bits);
    q->durable.voted_for = m->from;
    q->pending_vote_to = m->from;
    q->pending_vote_sequence = request_write(q, out);
}

/* Counts the vote of a disk if it is a voter, and once only. Returns false if
 * it has been counted before, otherwise whether the votes counted so far are a
 * majority. */
static bool
count_vote(struct bb_quorum *q, uint64_t from)
{
    for (uint32_t i = 0; i < q->vote_count; i++) {
        if (q->votes[i] == from) {
            return false;
        }
    }
    if (is_voter(&q->durable.entry, from) &&
        q->vote_count < BB_QUORUM_VOTERS_MAX) {
        q->votes[q->vote_count++] = from;
    }
    return q->vote_count >= majority_size(q);
}

/* Responds to the leader with the term and index of the synced entry. */
static void
send_append_response(struct bb_quorum *q, uint64_t to,
                     struct bb_quorum_output *out)
{
    struct bb_quorum_message *response =
        add_message(q, out, to, BB_QUORUM_APPEND_RESPONSE);

    response->is_ok = true;
    response->round = q->append_round;
    response->entry.term = q->faults.responds_before_sync
                               ? q->durable.entry.term
                               : q->synced_term;
    response->entry.index = q->faults.responds_before_sync
                                ? q->durable.entry.index
                                : q->synced_index;
}

/* Processes an append or heartbeat of a leader. Responds at once with what is
 * synced, and again when a newer entry is. */
static void
on_append(struct bb_quorum *q, const struct bb_quorum_message *m,
          uint64_t now_us, uint64_t random_bits, struct bb_quorum_output *out)
{
    if (m->term < q->durable.term) {
        add_message(q, out, m->from, BB_QUORUM_APPEND_RESPONSE)->is_ok = false;
        return;
    }
    become_follower(q, m->term, out);
    reset_election_timer(q, now_us, random_bits);
    q->leader = m->from;
    q->leader_last_heard_us = now_us;
    q->leader_has_recent_quorum = m->has_recent_quorum;
    if (m->entry.term == m->term &&
        compare_entries(&m->entry, &q->durable.entry) > 0) {
        q->durable.entry = m->entry;
        q->is_committed = false;
        (void)request_write(q, out);
    }
    if (!is_entry_synced(q)) {
        q->has_pending_append_response = true;
        q->pending_append_sequence = q->write_sequence;
    }
    if (!q->is_committed && q->durable.entry.term == m->term &&
        m->commit_index >= q->durable.entry.index) {
        q->is_committed = true;
        q->commit_index = q->durable.entry.index;
        out->has_committed = true;
    }
    q->append_round = m->round;
    send_append_response(q, m->from, out);
}

/* Updates the time of the last quorum, if a majority of the voters (with this
 * host's disk) responded within two heartbeat intervals. */
static void
update_last_quorum(struct bb_quorum *q, uint64_t now_us)
{
    uint64_t count = is_voter(&q->durable.entry, q->durable.disk_id);

    for (uint32_t i = 0; i < q->peer_count; i++) {
        count += is_voter(&q->durable.entry, q->peers[i].disk_id) &&
                 q->peers[i].last_heard_us != 0 &&
                 now_us - q->peers[i].last_heard_us <
                     2 * BB_QUORUM_HEARTBEAT_INTERVAL_US;
    }
    if (count >= majority_size(q)) {
        q->last_quorum_us = now_us;
    }
}

/* Processes a follower's response: updates its progress and commits. */
static void
on_append_response(struct bb_quorum *q, const struct bb_quorum_message *m,
                   uint64_t now_us, struct bb_quorum_output *out)
{
    struct bb_quorum_peer *p = find_peer(q, m->from);

    if (q->role != BB_QUORUM_LEADER || m->term != q->durable.term ||
        p == NULL || !m->is_ok) {
        return;
    }
    p->last_heard_us = now_us;
    if (m->round > p->acknowledged_round) {
        p->acknowledged_round = m->round;
    }
    if (m->entry.term == q->durable.term && m->entry.index > p->match_index) {
        p->match_index = m->entry.index;
    }
    update_last_quorum(q, now_us);
    advance_commit(q, now_us, out);
}

/* Processes a message of another host; ignores one for another disk. */
void
bb_quorum_receive(struct bb_quorum *q, const struct bb_quorum_message *m,
                  uint64_t now_us, uint64_t random_bits,
                  struct bb_quorum_output *out)
{
    /* Carries the next term, in which there is no election yet. */
    bool is_pre_vote = m->kind == BB_QUORUM_PRE_VOTE ||
                       (m->kind == BB_QUORUM_PRE_VOTE_RESPONSE && m->is_ok);

    if (m->to != q->durable.disk_id) {
        return;
    }
    if (m->term > q->durable.term && !is_pre_vote &&
        m->kind != BB_QUORUM_VOTE && m->kind != BB_QUORUM_APPEND) {
        become_follower(q, m->term, out);
        return;
    }
    switch ((enum bb_quorum_message_kind)m->kind) {
    case BB_QUORUM_PRE_VOTE:
        respond_to_pre_vote(q, m, now_us, out);
        break;
    case BB_QUORUM_PRE_VOTE_RESPONSE:
        if (q->role == BB_QUORUM_PRE_CANDIDATE && m->is_ok &&
            m->term == q->durable.term + 1 && count_vote(q, m->from)) {
            become_candidate(q, now_us, random_bits, out);
        }
        break;
    case BB_QUORUM_VOTE:
        respond_to_vote(q, m, now_us, random_bits, out);
        break;
    case BB_QUORUM_VOTE_RESPONSE:
        if (q->role == BB_QUORUM_CANDIDATE && m->is_ok &&
            m->term == q->durable.term && q->vote_count > 0 &&
            count_vote(q, m->from)) {
            become_leader(q, now_us, out);
        }
        break;
    case BB_QUORUM_APPEND:
        on_append(q, m, now_us, random_bits, out);
        break;
    case BB_QUORUM_APPEND_RESPONSE:
        on_append_response(q, m, now_us, out);
        break;
    case BB_QUORUM_MESSAGE_KIND_COUNT:
        break;
    }
}

/* Reports that the write with a sequence number, and all before it, are
 * synced; returns the messages that waited for it. What was written must be
 * the durable state as of this sequence number or a later one. */
void
bb_quorum_on_write_synced(struct bb_quorum *q, uint64_t sequence,
                          uint64_t now_us, struct bb_quorum_output *out)
{
    if (sequence <= q->synced_sequence) {
        return;
    }
    q->synced_sequence = sequence;
    /* Only the content of the newest write is known: the current state. */
    if (sequence == q->write_sequence) {
        q->synced_term = q->durable.entry.term;
        q->synced_index = q->durable.entry.index;
    }
    if (q->pending_vote_to != 0 && sequence >= q->pending_vote_sequence) {
        uint64_t to = q->pending_vote_to;

        q->pending_vote_to = 0;
        if (to == q->durable.disk_id && q->role == BB_QUORUM_CANDIDATE) {
            request_votes(q, BB_QUORUM_VOTE, out);
            if (q->vote_count >= majority_size(q)) {
                become_leader(q, now_us, out);
            }
        }
        else if (to == q->durable.voted_for && to != q->durable.disk_id) {
            add_message(q, out, to, BB_QUORUM_VOTE_RESPONSE)->is_ok = true;
        }
    }
    if (q->has_pending_append_response &&
        sequence >= q->pending_append_sequence && q->leader != 0) {
        q->has_pending_append_response = false;
        send_append_response(q, q->leader, out);
    }
    advance_commit(q, now_us, out);
}

/* Returns whether this host leads and its current entry is committed, so that
 * another one may be proposed. */
bool
bb_quorum_can_propose(const struct bb_quorum *q)
{
    return q->role == BB_QUORUM_LEADER &&
           (q->is_committed || q->faults.changes_voters_before_commit);
}

/* Proposes an entry with other content and the same voters. Returns whether it
 * was proposed: false unless bb_quorum_can_propose. The output of a later call
 * tells once it is committed; with a single voter, it may be this one. */
bool
bb_quorum_propose(struct bb_quorum *q, uint64_t content_id, uint64_t now_us,
                  struct bb_quorum_output *out)
{
    if (!bb_quorum_can_propose(q)) {
        return false;
    }
    q->durable.entry.content_id = content_id;
    replace_entry(q, now_us, out);
    return true;
}

/* Returns how many disks of list a are not in list b. */
static uint32_t
count_missing(const uint64_t *a, uint64_t a_count, const uint64_t *b,
              uint64_t b_count)
{
    uint32_t missing = 0;

    for (uint64_t i = 0; i < a_count; i++) {
        bool is_in_both = false;

        for (uint64_t j = 0; j < b_count; j++) {
            is_in_both = is_in_both || a[i] == b[j];
        }
        missing += !is_in_both;
    }
    return missing;
}

/* Proposes an entry with other voters and the same content. Returns whether it
 * was proposed: false unless bb_quorum_can_propose and the voters differ by
 * exactly one disk added or removed. */
bool
bb_quorum_set_voters(struct bb_quorum *q, const uint64_t *voters,
                     uint32_t count, uint64_t now_us,
                     struct bb_quorum_output *out)
{
    struct bb_quorum_entry *e = &q->durable.entry;

    if (!bb_quorum_can_propose(q) || count == 0 ||
        count > BB_QUORUM_VOTERS_MAX ||
        count_missing(voters, count, e->voters, e->voter_count) +
                count_missing(e->voters, e->voter_count, voters, count) !=
            1) {
        return false;
    }
    memset(e->voters, 0, sizeof(e->voters));
    memcpy(e->voters, voters, count * sizeof(voters[0]));
    e->voter_count = count;
    replace_entry(q, now_us, out);
    return true;
}

/* Starts a linearizable read: sends a heartbeat round to confirm that this
 * host still leads. Returns the round to pass to bb_quorum_is_round_confirmed,
 * or 0 if this host does not lead or its entry is not committed. */
uint64_t
bb_quorum_start_read(struct bb_quorum *q, uint64_t now_us,
                     struct bb_quorum_output *out)
{
    if (q->role != BB_QUORUM_LEADER || !q->is_committed) {
        return 0;
    }
    q->round++;
    send_appends(q, now_us, out);
    return q->round;
}

/* Returns whether a majority has responded to a heartbeat round, so that the
 * read that started it may be served. */
bool
bb_quorum_is_round_confirmed(const struct bb_quorum *q, uint64_t round)
{
    uint64_t count = is_voter(&q->durable.entry, q->durable.disk_id);

    if (q->role != BB_QUORUM_LEADER || round == 0) {
        return false;
    }
    for (uint32_t i = 0; i < q->peer_count; i++) {
        count += is_voter(&q->durable.entry, q->peers[i].disk_id) &&
                 q->peers[i].acknowledged_round >= round;
    }
    return count >= majority_size(q);
}

/* Returns whether this host leads and a majority responded to it, or it heard
 * from a leader to which a majority responded, within
 * BB_QUORUM_ELECTION_TIMEOUT_MIN_US. */
bool
bb_quorum_has_recent_quorum(const struct bb_quorum *q, uint64_t now_us)
{
    if (q->role == BB_QUORUM_LEADER) {
        return q->commit_index != 0 &&
               now_us - q->last_quorum_us < BB_QUORUM_ELECTION_TIMEOUT_MIN_US;
    }
    return q->leader != 0 && q->leader_has_recent_quorum &&
           now_us - q->leader_last_heard_us <
               BB_QUORUM_ELECTION_TIMEOUT_MIN_US;
}

/* Returns the time, in microseconds, at which bb_quorum_tick is to be called
 * next. */
uint64_t
bb_quorum_next_tick_us(const struct bb_quorum *q)
{
    return q->role == BB_QUORUM_LEADER ? q->heartbeat_due_us
                                       : q->election_due_us;
}
