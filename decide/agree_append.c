/* Replication: a leader appends, a follower matches and answers what is
 * synced, the leader commits what a quorum holds. */
#include "agree_internal.h"

/* Sends a follower that is behind the window the state at its base. */
static void
send_snapshot(struct agree_step *st, uint8_t to)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *m = agree_send(st, BB_AGREE_SNAPSHOT, to);

    m->index = a->d.base.index;
    m->index_term = a->d.base.term;
    m->commit = a->d.commit;
    m->round = a->round;
    m->body.snapshot = a->d.base;
}

/* Sends the entries that one disk lacks, or a heartbeat. */
static void
send_append(struct agree_step *st, uint8_t slot)
{
    struct bb_agree *a = st->a;
    struct bb_agree_progress *p = &a->progress[slot];
    uint8_t to = slot == BB_AGREE_JOINER ? a->joiner : slot;
    struct bb_agree_message *m;

    if (p->next <= a->d.base.index) {
        send_snapshot(st, to);
        return;
    }
    m = agree_send(st, BB_AGREE_APPEND, to);
    m->index = p->next - 1;
    (void)agree_term_at(a, m->index, &m->index_term);
    m->commit = a->d.commit;
    m->round = a->round;
    m->is_confirmed = st->now_us < a->quorum_us + BB_AGREE_ELECTION_MIN_US;
    while (m->count < BB_AGREE_BATCH_MAX &&
           p->next + m->count <= bb_agree_last_index(a)) {
        m->body.entries[m->count] = *bb_agree_entry_at(a, p->next + m->count);
        m->count++;
    }
}

/* Sends to every other disk. A joining disk takes the place of the one it
 * replaces, as both have the same address. */
void
agree_broadcast(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    for (uint8_t h = 0; h < a->host_count; h++) {
        if (h != a->self) {
            send_append(st, a->joiner == h ? BB_AGREE_JOINER : h);
        }
    }
}

/* Becomes the leader and appends an entry of its own term, without which
 * entries of earlier terms must not be counted as committed. */
void
agree_lead(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    const struct bb_agree_entry e = {.term = a->d.term, .kind = BB_AGREE_NOOP};

    if (a->d.log_count == BB_AGREE_LOG_MAX) {
        agree_follow(st, a->d.term, BB_AGREE_NO_HOST);
        return;
    }
    a->role = BB_AGREE_LEADER;
    a->leader = a->self;
    a->joiner = BB_AGREE_NO_HOST;
    a->round++;
    a->confirmed_round = a->round;
    a->quorum_us = st->now_us;
    a->heartbeat_due_us = st->now_us + BB_AGREE_HEARTBEAT_US;
    for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
        a->progress[slot] = (struct bb_agree_progress){0};
    }
    agree_refresh_progress(a);
    agree_append(st, &e);
    agree_broadcast(st);
}

/* Moves the commit index; it is synced before anything is applied. */
void
agree_set_commit(struct agree_step *st, uint64_t index)
{
    if (index > st->a->d.commit) {
        st->a->d.commit = index;
        agree_persist(st, 0);
        agree_refresh_progress(st->a);
    }
}

/* Returns the slots (a bit each) that hold an index, synced. */
static uint32_t
holders(const struct bb_agree *a, uint64_t index)
{
    uint32_t slots = 0;

    for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
        if (a->progress[slot].incarnation != 0 &&
            a->progress[slot].match >= index) {
            slots |= 1u << slot;
        }
    }
    return slots;
}

/* Commits what a quorum holds. Only an entry of the own term is counted; it
 * commits those before it. A pending replacement also needs the answer of the
 * joining disk itself. */
void
agree_advance_commit(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    uint64_t pending = agree_member_pending(a);
    uint64_t joined = a->progress[BB_AGREE_JOINER].match;
    uint64_t term = 0;

    for (uint64_t i = bb_agree_last_index(a); i > a->d.commit; i--) {
        if (!agree_term_at(a, i, &term) || term != a->d.term) {
            return;
        }
        if (agree_quorum(a, holders(a, i)) &&
            (pending == 0 || i < pending || joined >= pending)) {
            agree_set_commit(st, i);
            agree_broadcast(st);
            return;
        }
    }
}

/* Answers the leader with what is synced and equal to its log. */
void
agree_answer_append(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r;

    a->owes_append = 0;
    if (a->leader == BB_AGREE_NO_HOST) {
        return;
    }
    r = agree_send(st, BB_AGREE_APPEND_ANSWER, a->leader);
    r->is_ok = true;
    r->index = a->append_match;
    r->round = a->append_round;
}

/* Refuses an append; the leader goes on behind the index in the answer. */
static void
refuse_append(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r =
        agree_send(st, BB_AGREE_APPEND_ANSWER, m->from);
    uint64_t last = bb_agree_last_index(a);

    r->index = m->index > 0 && m->index - 1 < last ? m->index - 1 : last;
    r->round = m->term == a->d.term ? m->round : 0;
}

/* Follows the sender of an append; false if its term is over. */
static bool
accept_leader(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;

    if (m->term < a->d.term || a->is_storage_failed) {
        refuse_append(st, m);
        return false;
    }
    agree_follow(st, m->term, m->from);
    agree_reset_election(st);
    a->leader_heard_us = st->now_us;
    if (m->is_confirmed) {
        a->confirmed_us = st->now_us;
    }
    if (m->round > a->append_round) {
        a->append_round = m->round;
    }
    return true;
}

/* Takes over the entries of a message; returns the last index that equals the
 * leader's log, or 0 if the message contradicts a committed entry. */
static uint64_t
take_entries(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint64_t matched = m->index;

    for (uint8_t i = 0; i < m->count; i++) {
        uint64_t index = m->index + 1 + i;
        uint64_t term = 0;

        if (index <= a->d.base.index) {
            matched = index;
            continue;
        }
        if (!agree_term_at(a, index, &term) ||
            term != m->body.entries[i].term) {
            if (index <= a->d.commit) {
                return 0;
            }
            if (index <= bb_agree_last_index(a)) {
                agree_truncate(a, index - 1);
            }
            if (a->d.log_count == BB_AGREE_LOG_MAX) {
                return matched;
            }
            agree_append(st, &m->body.entries[i]);
        }
        matched = index;
    }
    return matched;
}

/* Handles entries or a heartbeat of the leader. */
void
agree_on_append(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint64_t term = 0;
    uint64_t matched;

    if (a->d.formation.id == 0 || !accept_leader(st, m)) {
        return;
    }
    if (m->index >= a->d.base.index &&
        (!agree_term_at(a, m->index, &term) || term != m->index_term)) {
        refuse_append(st, m);
        return;
    }
    matched = take_entries(st, m);
    if (matched > a->append_match) {
        a->append_match = matched;
    }
    a->owes_append = 1;
    agree_set_commit(st, m->commit < matched ? m->commit : matched);
}

/* Replaces the log by the leader's state at its base, unless the own log
 * already contains that index: entries behind it may count as held. */
void
agree_on_snapshot(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    const struct bb_agree_snapshot *s = &m->body.snapshot;
    uint64_t term = 0;

    if (m->formation == 0 || !accept_leader(st, m)) {
        return;
    }
    if (a->d.formation.id == 0) {
        a->d.formation.id = m->formation;
        a->d.formation.first_revision = 1;
        a->d.base = *s;
        agree_persist(st, 0);
        st->out->persist_snapshot = true;
    }
    if (s->index > a->d.commit) {
        if (!agree_term_at(a, s->index, &term) || term != s->term) {
            agree_truncate(a, a->d.base.index);
            a->d.base = *s;
            agree_persist(st, 0);
            st->out->persist_snapshot = true;
        }
        agree_set_commit(st, s->index);
    }
    if (s->index > a->append_match) {
        a->append_match = s->index;
    }
    a->owes_append = 1;
}

/* Notes which heartbeat round a quorum has answered. */
static void
confirm_rounds(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    while (a->confirmed_round < a->round) {
        uint32_t slots = 1u << a->self;

        for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
            if (a->progress[slot].round > a->confirmed_round) {
                slots |= 1u << slot;
            }
        }
        if (!agree_quorum(a, slots)) {
            return;
        }
        a->confirmed_round++;
        a->quorum_us = st->now_us;
        a->confirmed_us = st->now_us;
    }
}

/* Handles a follower's answer. */
void
agree_on_append_answer(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint8_t slot = agree_slot_of(a, m->from, m->incarnation);
    struct bb_agree_progress *p;

    if (slot == BB_AGREE_NO_HOST) {
        return; /* a replaced disk does not end a term either */
    }
    if (m->term > a->d.term) {
        agree_follow(st, m->term, BB_AGREE_NO_HOST);
        return;
    }
    if (a->role != BB_AGREE_LEADER || m->term != a->d.term ||
        m->index > bb_agree_last_index(a)) {
        return;
    }
    if (slot != BB_AGREE_JOINER && slot == a->joiner &&
        agree_member_pending(a) == 0) {
        /* The admitted disk is back, the joining one is not used. */
        a->joiner = BB_AGREE_NO_HOST;
        a->progress[BB_AGREE_JOINER] = (struct bb_agree_progress){0};
    }
    p = &a->progress[slot];
    p->round = m->round > p->round ? m->round : p->round;
    if (!m->is_ok) {
        p->next = m->index < p->match ? p->match + 1 : m->index + 1;
        send_append(st, slot);
    }
    else if (m->index > p->match || p->next <= m->index) {
        p->match = m->index > p->match ? m->index : p->match;
        p->next = p->match + 1;
        if (p->next <= bb_agree_last_index(a)) {
            send_append(st, slot);
        }
        agree_advance_commit(st);
    }
    confirm_rounds(st);
    agree_admit(st);
}
