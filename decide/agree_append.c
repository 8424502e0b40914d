/* Log replication. The leader sends entries, a follower responds with the
 * index up to which its synced log equals the leader's, and the leader commits
 * what a quorum holds. */
#include "agree_internal.h"

/* Sends the snapshot to a follower that needs entries which the log no longer
 * contains. */
static void
send_snapshot(struct agree_step *st, uint8_t to)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *m = agree_add_message(st, BB_AGREE_SNAPSHOT, to);

    m->index = a->durable.snapshot.index;
    m->index_term = a->durable.snapshot.term;
    m->commit_index = a->durable.commit_index;
    m->round = a->round;
    m->body.snapshot = a->durable.snapshot;
}

/* Sends the disk of a slot the next entries that it lacks, up to
 * BB_AGREE_BATCH_MAX; none if it lacks none (a heartbeat). */
static void
send_append(struct agree_step *st, uint8_t slot)
{
    struct bb_agree *a = st->a;
    struct bb_agree_progress *p = &a->progress[slot];
    uint8_t to = slot == BB_AGREE_JOINING_SLOT ? a->joining_host : slot;
    struct bb_agree_message *m;

    if (p->next_index <= a->durable.snapshot.index) {
        send_snapshot(st, to);
        return;
    }
    m = agree_add_message(st, BB_AGREE_APPEND, to);
    m->index = p->next_index - 1;
    (void)agree_get_term(a, m->index, &m->index_term);
    m->commit_index = a->durable.commit_index;
    m->round = a->round;
    m->has_recent_quorum =
        st->now_us < a->last_quorum_us + BB_AGREE_ELECTION_TIMEOUT_MIN_US;
    while (m->count < BB_AGREE_BATCH_MAX &&
           p->next_index + m->count <= bb_agree_last_index(a)) {
        m->body.entries[m->count] =
            *bb_agree_get_entry(a, p->next_index + m->count);
        m->count++;
    }
}

/* Sends entries or a heartbeat to every other host. If a disk is joining, it
 * receives them instead of the disk it replaces: both have the address of the
 * same host. */
void
agree_send_appends(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    for (uint8_t h = 0; h < a->host_count; h++) {
        if (h != a->self) {
            send_append(st, a->joining_host == h ? BB_AGREE_JOINING_SLOT : h);
        }
    }
}

/* Becomes the leader and appends a no-op entry: entries of earlier terms are
 * committed only by committing one of the leader's own term. Steps down again
 * if the log is full. */
void
agree_become_leader(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    const struct bb_agree_entry e = {.term = a->durable.term,
                                     .kind = BB_AGREE_NOOP};

    if (a->durable.log_count == BB_AGREE_LOG_MAX) {
        agree_become_follower(st, a->durable.term, BB_AGREE_NO_HOST);
        return;
    }
    a->role = BB_AGREE_LEADER;
    a->leader = a->self;
    a->joining_host = BB_AGREE_NO_HOST;
    a->round++;
    a->confirmed_round = a->round;
    a->last_quorum_us = st->now_us;
    a->heartbeat_due_us = st->now_us + BB_AGREE_HEARTBEAT_INTERVAL_US;
    for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
        a->progress[slot] = (struct bb_agree_progress){0};
    }
    agree_refresh_progress(a);
    agree_append(st, &e);
    agree_send_appends(st);
}

/* Raises the commit index to a log index, if it is higher. Entries are applied
 * only after the new commit index is synced. */
void
agree_advance_commit_to(struct agree_step *st, uint64_t index)
{
    if (index > st->a->durable.commit_index) {
        st->a->durable.commit_index = index;
        agree_request_write(st, 0);
        agree_refresh_progress(st->a);
    }
}

/* Returns the slots, a bit each, whose disks have synced the log up to an
 * index. */
static uint32_t
find_slots_holding(const struct bb_agree *a, uint64_t index)
{
    uint32_t slots = 0;

    for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
        if (a->progress[slot].disk_id != 0 &&
            a->progress[slot].match_index >= index) {
            slots |= 1u << slot;
        }
    }
    return slots;
}

/* Commits up to the last entry of this leader's term that a quorum has synced,
 * which commits all entries before it. A pending voter entry must also be
 * synced by the joining disk itself. */
void
agree_advance_commit(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    uint64_t pending = agree_pending_voter_index(a);
    uint64_t joined = a->progress[BB_AGREE_JOINING_SLOT].match_index;
    uint64_t term = 0;

    for (uint64_t i = bb_agree_last_index(a); i > a->durable.commit_index;
         i--) {
        if (!agree_get_term(a, i, &term) || term != a->durable.term) {
            return;
        }
        if (agree_has_quorum(a, find_slots_holding(a, i)) &&
            (pending == 0 || i < pending || joined >= pending)) {
            agree_advance_commit_to(st, i);
            agree_send_appends(st);
            return;
        }
    }
}

/* Responds to the leader with the last index up to which this host's log
 * equals the leader's; all of it must be synced. */
void
agree_send_append_response(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r;

    a->has_pending_append_response = 0;
    if (a->leader == BB_AGREE_NO_HOST) {
        return;
    }
    r = agree_add_message(st, BB_AGREE_APPEND_RESPONSE, a->leader);
    r->is_ok = true;
    r->index = a->append_match_index;
    r->round = a->append_round;
}

/* Refuses an append. The leader continues with the entry after the index in
 * the response. */
static void
refuse_append(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    struct bb_agree_message *r =
        agree_add_message(st, BB_AGREE_APPEND_RESPONSE, m->from);
    uint64_t last = bb_agree_last_index(a);

    r->index = m->index > 0 && m->index - 1 < last ? m->index - 1 : last;
    /* The response carries this host's term, so it may confirm only a round of
     * that term. */
    r->round = m->term == a->durable.term ? m->round : 0;
}

/* Follows the sender of an append or a snapshot. Returns false, after refusing
 * it, if its term is older than this host's or the storage of this host has
 * failed. */
static bool
accept_leader(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;

    if (m->term < a->durable.term || a->is_storage_failed) {
        refuse_append(st, m);
        return false;
    }
    agree_become_follower(st, m->term, m->from);
    agree_reset_election_timer(st);
    a->leader_last_heard_us = st->now_us;
    if (m->has_recent_quorum) {
        a->cluster_quorum_us = st->now_us;
    }
    if (m->round > a->append_round) {
        a->append_round = m->round;
    }
    return true;
}

/* Appends the entries of a message that the log lacks; entries that conflict
 * with them are removed first. Stops when the log is full. Returns the last
 * index that equals the leader's log. Returns 0, which acknowledges and
 * commits nothing new, if an entry conflicts with a committed one: a correct
 * leader never sends such an entry. */
static uint64_t
merge_entries(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint64_t matched = m->index;

    for (uint8_t i = 0; i < m->count; i++) {
        uint64_t index = m->index + 1 + i;
        uint64_t term = 0;

        if (index <= a->durable.snapshot.index) {
            matched = index;
            continue;
        }
        if (!agree_get_term(a, index, &term) ||
            term != m->body.entries[i].term) {
            if (index <= a->durable.commit_index) {
                return 0;
            }
            if (index <= bb_agree_last_index(a)) {
                agree_truncate(a, index - 1);
            }
            if (a->durable.log_count == BB_AGREE_LOG_MAX) {
                return matched;
            }
            agree_append(st, &m->body.entries[i]);
        }
        matched = index;
    }
    return matched;
}

/* Processes entries or a heartbeat of the leader. The response is sent once
 * the entries are synced. */
void
agree_on_append(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint64_t term = 0;
    uint64_t matched;

    if (a->durable.formation.id == 0 || !accept_leader(st, m)) {
        return;
    }
    /* Entries below the snapshot's index are committed, hence equal. */
    if (m->index >= a->durable.snapshot.index &&
        (!agree_get_term(a, m->index, &term) || term != m->index_term)) {
        refuse_append(st, m);
        return;
    }
    matched = merge_entries(st, m);
    if (matched > a->append_match_index) {
        a->append_match_index = matched;
    }
    a->has_pending_append_response = 1;
    agree_advance_commit_to(st, m->commit_index < matched ? m->commit_index
                                                          : matched);
}

/* Processes the leader's snapshot. It replaces the log unless the log contains
 * the same entry at the snapshot's index: the entries after it may have been
 * acknowledged already and must be kept. On an empty disk it also brings the
 * formation. */
void
agree_on_snapshot(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    const struct bb_agree_snapshot *s = &m->body.snapshot;
    uint64_t term = 0;

    if (m->formation == 0 || !accept_leader(st, m)) {
        return;
    }
    if (a->durable.formation.id == 0) {
        /* The first revision and the first voters are not in the message;
         * 1 only serves to be other than 0. */
        a->durable.formation.id = m->formation;
        a->durable.formation.first_revision = 1;
        a->durable.snapshot = *s;
        agree_request_write(st, 0);
        st->out->must_persist_snapshot = true;
    }
    if (s->index > a->durable.commit_index) {
        if (!agree_get_term(a, s->index, &term) || term != s->term) {
            agree_truncate(a, a->durable.snapshot.index);
            a->durable.snapshot = *s;
            agree_request_write(st, 0);
            st->out->must_persist_snapshot = true;
        }
        agree_advance_commit_to(st, s->index);
    }
    if (s->index > a->append_match_index) {
        a->append_match_index = s->index;
    }
    a->has_pending_append_response = 1;
}

/* Raises the confirmed round to the last heartbeat round that a quorum has
 * responded to. */
static void
advance_confirmed_round(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    while (a->confirmed_round < a->round) {
        uint32_t slots = 1u << a->self;

        for (uint32_t slot = 0; slot < BB_AGREE_SLOTS; slot++) {
            if (a->progress[slot].acknowledged_round > a->confirmed_round) {
                slots |= 1u << slot;
            }
        }
        if (!agree_has_quorum(a, slots)) {
            return;
        }
        a->confirmed_round++;
        a->last_quorum_us = st->now_us;
        a->cluster_quorum_us = st->now_us;
    }
}

/* Processes a follower's response to an append or a snapshot: updates its
 * progress, sends more entries, commits, and admits a joining disk. */
void
agree_on_append_response(struct agree_step *st,
                         const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint8_t slot = agree_find_slot(a, m->from, m->disk_id);
    struct bb_agree_progress *p;

    if (slot == BB_AGREE_NO_HOST) {
        return; /* a replaced disk must not end the leader's term either */
    }
    if (m->term > a->durable.term) {
        agree_become_follower(st, m->term, BB_AGREE_NO_HOST);
        return;
    }
    if (a->role != BB_AGREE_LEADER || m->term != a->durable.term ||
        m->index > bb_agree_last_index(a)) {
        return;
    }
    if (slot != BB_AGREE_JOINING_SLOT && slot == a->joining_host &&
        agree_pending_voter_index(a) == 0) {
        /* The voting disk is back, so the joining one is not needed. */
        a->joining_host = BB_AGREE_NO_HOST;
        a->progress[BB_AGREE_JOINING_SLOT] = (struct bb_agree_progress){0};
    }
    p = &a->progress[slot];
    p->acknowledged_round =
        m->round > p->acknowledged_round ? m->round : p->acknowledged_round;
    if (!m->is_ok) {
        p->next_index =
            m->index < p->match_index ? p->match_index + 1 : m->index + 1;
        send_append(st, slot);
    }
    else if (m->index > p->match_index || p->next_index <= m->index) {
        p->match_index = m->index > p->match_index ? m->index : p->match_index;
        p->next_index = p->match_index + 1;
        if (p->next_index <= bb_agree_last_index(a)) {
            send_append(st, slot);
        }
        agree_advance_commit(st);
    }
    advance_confirmed_round(st);
    agree_admit_if_caught_up(st);
}
