/* A replicated register whose entry names its own voters. */
#include "decide/quorum.h"

#include <string.h>

/* Returns a time in [low, high) by random bits. */
static uint64_t
between(uint64_t low_us, uint64_t high_us, uint64_t random_bits)
{
    return low_us + random_bits % (high_us - low_us);
}

/* Returns whether an entry lists a disk as voter. */
static bool
lists(const struct bb_quorum_entry *e, uint64_t disk)
{
    for (uint64_t i = 0; i < e->voter_count; i++) {
        if (e->voters[i] == disk) {
            return true;
        }
    }
    return false;
}

/* Orders entries by term, then index. */
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

/* Returns how many voters make a majority of the entry in hand. */
static uint64_t
majority(const struct bb_quorum *q)
{
    return q->d.entry.voter_count / 2 + 1;
}

static struct bb_quorum_peer *
find_peer(struct bb_quorum *q, uint64_t disk)
{
    for (uint32_t i = 0; i < q->peer_count; i++) {
        if (q->peers[i].disk == disk) {
            return &q->peers[i];
        }
    }
    return NULL;
}

/* Adds a message to the output; returns it for further fields. */
static struct bb_quorum_message *
send(struct bb_quorum *q, struct bb_quorum_output *out, uint64_t to,
     enum bb_quorum_message_kind kind)
{
    struct bb_quorum_message *m;

    if (out->message_count == BB_QUORUM_MESSAGES_MAX) {
        out->message_count--; /* messages may be lost */
    }
    m = &out->messages[out->message_count++];
    *m = (struct bb_quorum_message){
        .kind = kind, .from = q->d.disk, .to = to, .term = q->d.term};
    return m;
}

/* Asks for a write of the durable part. */
static uint64_t
persist(struct bb_quorum *q, struct bb_quorum_output *out)
{
    out->persist = true;
    return ++q->write_sequence;
}

/* Returns whether the entry in hand is synced here. */
static bool
is_entry_synced(const struct bb_quorum *q)
{
    return q->faults.answers_before_sync ||
           (q->synced_term == q->d.entry.term &&
            q->synced_index == q->d.entry.index);
}

static void
delay_election(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits)
{
    q->election_due_us =
        now_us + between(BB_QUORUM_ELECTION_MIN_US, BB_QUORUM_ELECTION_MAX_US,
                         random_bits);
}

/* Falls back to a follower, in a newer term if there is one. */
static void
follow(struct bb_quorum *q, uint64_t term, struct bb_quorum_output *out)
{
    if (q->role == BB_QUORUM_LEADER) {
        out->lost_leadership = true;
    }
    q->role = BB_QUORUM_FOLLOWER;
    if (term > q->d.term) {
        q->d.term = term;
        q->d.voted_for = 0;
        q->leader = 0;
        q->owed_vote = 0;
        q->owes_append = false;
        (void)persist(q, out);
    }
}

/* Prepares the state from what was stored. */
void
bb_quorum_init(struct bb_quorum *q, const struct bb_quorum_durable *d,
               uint64_t now_us, uint64_t random_bits)
{
    memset(q, 0, sizeof(*q));
    q->d = *d;
    q->synced_term = d->entry.term;
    q->synced_index = d->entry.index;
    /* Soon: a leader that is there refuses the vote asked ahead. */
    q->election_due_us =
        now_us + BB_QUORUM_START_US + random_bits % BB_QUORUM_HURRY_MAX_US;
}

/* Sets the disks of all hosts that can be reached, voters or not. What is
 * known of those that stay is kept. */
void
bb_quorum_set_peers(struct bb_quorum *q, const uint64_t *disks, uint32_t count)
{
    struct bb_quorum_peer kept[BB_QUORUM_PEERS_MAX];
    uint32_t kept_count = 0;

    for (uint32_t i = 0; i < count && kept_count < BB_QUORUM_PEERS_MAX; i++) {
        const struct bb_quorum_peer *p = find_peer(q, disks[i]);

        if (disks[i] == q->d.disk) {
            continue;
        }
        kept[kept_count++] =
            p != NULL ? *p : (struct bb_quorum_peer){.disk = disks[i]};
    }
    memcpy(q->peers, kept, kept_count * sizeof(kept[0]));
    q->peer_count = kept_count;
}

/* Sends the entry, or only a sign of life, to all peers. */
static void
send_appends(struct bb_quorum *q, uint64_t now_us,
             struct bb_quorum_output *out)
{
    for (uint32_t i = 0; i < q->peer_count; i++) {
        struct bb_quorum_message *m =
            send(q, out, q->peers[i].disk, BB_QUORUM_APPEND);

        m->entry = q->d.entry;
        m->commit_index = q->commit_index;
        m->round = q->round;
        m->is_confirmed = q->commit_index != 0 &&
                          now_us - q->quorum_us < BB_QUORUM_ELECTION_MIN_US;
    }
    q->heartbeat_due_us = now_us + BB_QUORUM_HEARTBEAT_US;
}

/* Commits the leader's entry once a majority of its voters has synced it. */
static void
check_commit(struct bb_quorum *q, uint64_t now_us,
             struct bb_quorum_output *out)
{
    const struct bb_quorum_entry *e = &q->d.entry;
    uint64_t count = lists(e, q->d.disk) && is_entry_synced(q);

    if (q->role != BB_QUORUM_LEADER || q->is_committed) {
        return;
    }
    for (uint32_t i = 0; i < q->peer_count; i++) {
        count +=
            lists(e, q->peers[i].disk) && q->peers[i].match_index >= e->index;
    }
    if (count >= majority(q)) {
        q->is_committed = true;
        q->commit_index = e->index;
        q->quorum_us = now_us;
        out->committed = true;
        send_appends(q, now_us, out);
    }
}

/* Replaces the leader's entry and spreads it. */
static void
write_entry(struct bb_quorum *q, uint64_t now_us, struct bb_quorum_output *out)
{
    q->d.entry.term = q->d.term;
    q->d.entry.index++;
    q->is_committed = false;
    (void)persist(q, out);
    q->round++;
    send_appends(q, now_us, out);
    check_commit(q, now_us, out);
}

static void
become_leader(struct bb_quorum *q, uint64_t now_us,
              struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_LEADER;
    q->leader = q->d.disk;
    q->quorum_us = now_us;
    q->commit_index = 0;
    for (uint32_t i = 0; i < q->peer_count; i++) {
        q->peers[i].match_index = 0;
    }
    out->became_leader = true;
    /* Entries of earlier terms are committed only by one of this term. */
    write_entry(q, now_us, out);
}

/* Sends vote requests, for the next term if only asking ahead. */
static void
ask_votes(struct bb_quorum *q, enum bb_quorum_message_kind kind,
          struct bb_quorum_output *out)
{
    const struct bb_quorum_entry *e = &q->d.entry;

    q->votes[0] = q->d.disk;
    q->vote_count = 1;
    for (uint64_t i = 0; i < e->voter_count; i++) {
        struct bb_quorum_message *m;

        if (e->voters[i] == q->d.disk) {
            continue;
        }
        m = send(q, out, e->voters[i], kind);
        m->term = q->d.term + (kind == BB_QUORUM_PRE_VOTE);
        m->entry.term = e->term;
        m->entry.index = e->index;
    }
}

/* Stands for election. The wait for votes is random: two candidates that got
 * in each other's way must not stand at the same time again. */
static void
become_candidate(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
                 struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_CANDIDATE;
    q->d.term++;
    q->d.voted_for = q->d.disk;
    q->leader = 0;
    q->vote_count = 0;
    q->owed_vote = q->d.disk; /* asks once the own vote is synced */
    q->owed_vote_sequence = persist(q, out);
    q->election_due_us = now_us + BB_QUORUM_VOTE_WAIT_US / 2 +
                         random_bits % BB_QUORUM_VOTE_WAIT_US;
}

static void
become_pre_candidate(struct bb_quorum *q, uint64_t now_us,
                     uint64_t random_bits, struct bb_quorum_output *out)
{
    q->role = BB_QUORUM_PRE_CANDIDATE;
    q->leader = 0;
    q->election_due_us =
        now_us + BB_QUORUM_VOTE_WAIT_US + random_bits % BB_QUORUM_VOTE_WAIT_US;
    ask_votes(q, BB_QUORUM_PRE_VOTE, out);
    if (majority(q) <= 1) {
        become_candidate(q, now_us, random_bits, out);
    }
}

/* Founds the register on empty disks; only the host that all agree on may
 * call it. Returns false if there is an entry already. */
bool
bb_quorum_form(struct bb_quorum *q, const uint64_t *voters, uint32_t count,
               uint64_t now_us, struct bb_quorum_output *out)
{
    if (q->d.entry.index != 0 || count == 0 || count > BB_QUORUM_VOTERS_MAX) {
        return false;
    }
    q->d.term = 1;
    q->d.entry.term = 1;
    q->d.entry.index = 1;
    q->d.entry.voter_count = count;
    memcpy(q->d.entry.voters, voters, count * sizeof(voters[0]));
    become_candidate(q, now_us, q->d.disk, out);
    return true;
}

/* Acts on time that has passed. */
void
bb_quorum_tick(struct bb_quorum *q, uint64_t now_us, uint64_t random_bits,
               struct bb_quorum_output *out)
{
    if (q->role == BB_QUORUM_LEADER) {
        if (now_us - q->quorum_us > BB_QUORUM_STEP_DOWN_US &&
            majority(q) > 1) {
            q->leader = 0;
            delay_election(q, now_us, random_bits);
            follow(q, q->d.term, out);
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
    if (!lists(&q->d.entry, q->d.disk)) {
        delay_election(q, now_us, random_bits);
        return;
    }
    become_pre_candidate(q, now_us, random_bits, out);
}

/* Starts an election soon because the leader's connection ended. */
void
bb_quorum_lost_leader(struct bb_quorum *q, uint64_t disk, uint64_t now_us,
                      uint64_t random_bits)
{
    uint64_t due_us = now_us + random_bits % BB_QUORUM_HURRY_MAX_US;

    if (q->leader != disk || disk == 0 || q->role == BB_QUORUM_LEADER) {
        return;
    }
    q->leader = 0;
    q->leader_heard_us = 0;
    if (due_us < q->election_due_us) {
        q->election_due_us = due_us;
    }
}

/* Returns whether a candidate's entry is at least as new as the own one. */
static bool
is_up_to_date(const struct bb_quorum *q, const struct bb_quorum_message *m)
{
    return q->faults.votes_for_older ||
           compare_entries(&m->entry, &q->d.entry) >= 0;
}

static void
answer_pre_vote(struct bb_quorum *q, const struct bb_quorum_message *m,
                uint64_t now_us, struct bb_quorum_output *out)
{
    bool has_leader = q->role == BB_QUORUM_LEADER ||
                      (q->leader != 0 && now_us - q->leader_heard_us <
                                             BB_QUORUM_ELECTION_MIN_US);
    struct bb_quorum_message *a =
        send(q, out, m->from, BB_QUORUM_PRE_VOTE_ANSWER);

    a->is_ok = !has_leader && m->term > q->d.term && is_up_to_date(q, m);
    /* A refusal names the own term: a candidate below it cannot win before it
     * has taken it over, and may be the only one with the newest entry. */
    a->term = a->is_ok ? m->term : q->d.term;
}

static void
answer_vote(struct bb_quorum *q, const struct bb_quorum_message *m,
            uint64_t now_us, uint64_t random_bits,
            struct bb_quorum_output *out)
{
    if (m->term > q->d.term) {
        follow(q, m->term, out);
    }
    if (m->term < q->d.term || !is_up_to_date(q, m) ||
        (q->d.voted_for != 0 && q->d.voted_for != m->from)) {
        send(q, out, m->from, BB_QUORUM_VOTE_ANSWER)->is_ok = false;
        return;
    }
    delay_election(q, now_us, random_bits);
    q->d.voted_for = m->from;
    q->owed_vote = m->from;
    q->owed_vote_sequence = persist(q, out);
}

/* Counts a vote; returns whether a majority of the voters is complete. */
static bool
count_vote(struct bb_quorum *q, uint64_t from)
{
    for (uint32_t i = 0; i < q->vote_count; i++) {
        if (q->votes[i] == from) {
            return false;
        }
    }
    if (lists(&q->d.entry, from) && q->vote_count < BB_QUORUM_VOTERS_MAX) {
        q->votes[q->vote_count++] = from;
    }
    return q->vote_count >= majority(q);
}

static void
send_append_answer(struct bb_quorum *q, uint64_t to,
                   struct bb_quorum_output *out)
{
    struct bb_quorum_message *a = send(q, out, to, BB_QUORUM_APPEND_ANSWER);

    a->is_ok = true;
    a->round = q->append_round;
    a->entry.term =
        q->faults.answers_before_sync ? q->d.entry.term : q->synced_term;
    a->entry.index =
        q->faults.answers_before_sync ? q->d.entry.index : q->synced_index;
}

static void
take_append(struct bb_quorum *q, const struct bb_quorum_message *m,
            uint64_t now_us, uint64_t random_bits,
            struct bb_quorum_output *out)
{
    if (m->term < q->d.term) {
        send(q, out, m->from, BB_QUORUM_APPEND_ANSWER)->is_ok = false;
        return;
    }
    follow(q, m->term, out);
    delay_election(q, now_us, random_bits);
    q->leader = m->from;
    q->leader_heard_us = now_us;
    q->leader_is_confirmed = m->is_confirmed;
    if (m->entry.term == m->term &&
        compare_entries(&m->entry, &q->d.entry) > 0) {
        q->d.entry = m->entry;
        q->is_committed = false;
        q->owes_append = true;
        q->owed_append_sequence = persist(q, out);
    }
    if (!q->is_committed && q->d.entry.term == m->term &&
        m->commit_index >= q->d.entry.index) {
        q->is_committed = true;
        q->commit_index = q->d.entry.index;
        out->committed = true;
    }
    q->append_round = m->round;
    send_append_answer(q, m->from, out);
}

/* Updates when a majority of voters was last heard. */
static void
note_quorum(struct bb_quorum *q, uint64_t now_us)
{
    uint64_t count = lists(&q->d.entry, q->d.disk);

    for (uint32_t i = 0; i < q->peer_count; i++) {
        count += lists(&q->d.entry, q->peers[i].disk) &&
                 q->peers[i].heard_us != 0 &&
                 now_us - q->peers[i].heard_us < 2 * BB_QUORUM_HEARTBEAT_US;
    }
    if (count >= majority(q)) {
        q->quorum_us = now_us;
    }
}

static void
take_append_answer(struct bb_quorum *q, const struct bb_quorum_message *m,
                   uint64_t now_us, struct bb_quorum_output *out)
{
    struct bb_quorum_peer *p = find_peer(q, m->from);

    if (q->role != BB_QUORUM_LEADER || m->term != q->d.term || p == NULL ||
        !m->is_ok) {
        return;
    }
    p->heard_us = now_us;
    if (m->round > p->round) {
        p->round = m->round;
    }
    if (m->entry.term == q->d.term && m->entry.index > p->match_index) {
        p->match_index = m->entry.index;
    }
    note_quorum(q, now_us);
    check_commit(q, now_us, out);
}

/* Takes a message of another host. */
void
bb_quorum_receive(struct bb_quorum *q, const struct bb_quorum_message *m,
                  uint64_t now_us, uint64_t random_bits,
                  struct bb_quorum_output *out)
{
    bool is_request_ahead = m->kind == BB_QUORUM_PRE_VOTE ||
                            (m->kind == BB_QUORUM_PRE_VOTE_ANSWER && m->is_ok);

    if (m->to != q->d.disk) {
        return;
    }
    if (m->term > q->d.term && !is_request_ahead &&
        m->kind != BB_QUORUM_VOTE && m->kind != BB_QUORUM_APPEND) {
        follow(q, m->term, out);
        return;
    }
    switch ((enum bb_quorum_message_kind)m->kind) {
    case BB_QUORUM_PRE_VOTE:
        answer_pre_vote(q, m, now_us, out);
        break;
    case BB_QUORUM_PRE_VOTE_ANSWER:
        if (q->role == BB_QUORUM_PRE_CANDIDATE && m->is_ok &&
            m->term == q->d.term + 1 && count_vote(q, m->from)) {
            become_candidate(q, now_us, random_bits, out);
        }
        break;
    case BB_QUORUM_VOTE:
        answer_vote(q, m, now_us, random_bits, out);
        break;
    case BB_QUORUM_VOTE_ANSWER:
        if (q->role == BB_QUORUM_CANDIDATE && m->is_ok &&
            m->term == q->d.term && q->vote_count > 0 &&
            count_vote(q, m->from)) {
            become_leader(q, now_us, out);
        }
        break;
    case BB_QUORUM_APPEND:
        take_append(q, m, now_us, random_bits, out);
        break;
    case BB_QUORUM_APPEND_ANSWER:
        take_append_answer(q, m, now_us, out);
        break;
    case BB_QUORUM_MESSAGE_KINDS:
        break;
    }
}

/* Notes that the durable part as of a write is synced, and sends what waited
 * for it. The caller has written the state of that very sequence number or a
 * later one. */
void
bb_quorum_persisted(struct bb_quorum *q, uint64_t sequence, uint64_t now_us,
                    struct bb_quorum_output *out)
{
    if (sequence <= q->synced_sequence) {
        return;
    }
    q->synced_sequence = sequence;
    if (sequence == q->write_sequence) {
        q->synced_term = q->d.entry.term;
        q->synced_index = q->d.entry.index;
    }
    if (q->owed_vote != 0 && sequence >= q->owed_vote_sequence) {
        uint64_t to = q->owed_vote;

        q->owed_vote = 0;
        if (to == q->d.disk && q->role == BB_QUORUM_CANDIDATE) {
            ask_votes(q, BB_QUORUM_VOTE, out);
            if (q->vote_count >= majority(q)) {
                become_leader(q, now_us, out);
            }
        }
        else if (to == q->d.voted_for && to != q->d.disk) {
            send(q, out, to, BB_QUORUM_VOTE_ANSWER)->is_ok = true;
        }
    }
    if (q->owes_append && sequence >= q->owed_append_sequence &&
        q->leader != 0) {
        q->owes_append = false;
        send_append_answer(q, q->leader, out);
    }
    check_commit(q, now_us, out);
}

/* Returns whether this host leads and nothing is on its way. */
bool
bb_quorum_can_propose(const struct bb_quorum *q)
{
    return q->role == BB_QUORUM_LEADER &&
           (q->is_committed || q->faults.changes_voters_early);
}

/* Proposes another content. Returns false unless bb_quorum_can_propose. */
bool
bb_quorum_propose(struct bb_quorum *q, uint64_t content, uint64_t now_us,
                  struct bb_quorum_output *out)
{
    if (!bb_quorum_can_propose(q)) {
        return false;
    }
    q->d.entry.content = content;
    write_entry(q, now_us, out);
    return true;
}

/* Returns how many disks are in one list and not in the other. */
static uint32_t
count_missing(const uint64_t *a, uint64_t a_count, const uint64_t *b,
              uint64_t b_count)
{
    uint32_t missing = 0;

    for (uint64_t i = 0; i < a_count; i++) {
        bool is_there = false;

        for (uint64_t j = 0; j < b_count; j++) {
            is_there = is_there || a[i] == b[j];
        }
        missing += !is_there;
    }
    return missing;
}

/* Proposes another set of voters, which may differ by one disk only. */
bool
bb_quorum_set_voters(struct bb_quorum *q, const uint64_t *voters,
                     uint32_t count, uint64_t now_us,
                     struct bb_quorum_output *out)
{
    struct bb_quorum_entry *e = &q->d.entry;

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
    write_entry(q, now_us, out);
    return true;
}

/* Asks a majority whether this host still leads; returns the round to wait
 * for, or 0 if it does not lead. */
uint64_t
bb_quorum_read(struct bb_quorum *q, uint64_t now_us,
               struct bb_quorum_output *out)
{
    if (q->role != BB_QUORUM_LEADER || !q->is_committed) {
        return 0;
    }
    q->round++;
    send_appends(q, now_us, out);
    return q->round;
}

/* Returns whether a majority has answered in a round, so that a read that
 * began before it may be served. */
bool
bb_quorum_is_round_confirmed(const struct bb_quorum *q, uint64_t round)
{
    uint64_t count = lists(&q->d.entry, q->d.disk);

    if (q->role != BB_QUORUM_LEADER || round == 0) {
        return false;
    }
    for (uint32_t i = 0; i < q->peer_count; i++) {
        count +=
            lists(&q->d.entry, q->peers[i].disk) && q->peers[i].round >= round;
    }
    return count >= majority(q);
}

/* Returns whether a leader with a majority was heard lately. */
bool
bb_quorum_is_in_touch(const struct bb_quorum *q, uint64_t now_us)
{
    if (q->role == BB_QUORUM_LEADER) {
        return q->commit_index != 0 &&
               now_us - q->quorum_us < BB_QUORUM_ELECTION_MIN_US;
    }
    return q->leader != 0 && q->leader_is_confirmed &&
           now_us - q->leader_heard_us < BB_QUORUM_ELECTION_MIN_US;
}

/* Returns when bb_quorum_tick is to be called next. */
uint64_t
bb_quorum_due_us(const struct bb_quorum *q)
{
    return q->role == BB_QUORUM_LEADER ? q->heartbeat_due_us
                                       : q->election_due_us;
}
