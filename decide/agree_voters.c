/* The voting disks: formation of the cluster, replacement of disks, and
 * quorums. */
#include <string.h>

#include "agree_internal.h"

/* Returns the index of the voter entry that is not known to be committed, or 0
 * if there is none. There is never more than one: a leader appends the next
 * one only after the previous one is committed. */
uint64_t
agree_pending_voter_index(const struct bb_agree *a)
{
    for (uint64_t i = bb_agree_last_index(a); i > a->durable.commit_index;
         i--) {
        const struct bb_agree_entry *e = bb_agree_get_entry(a, i);

        if (e != NULL && e->kind == BB_AGREE_VOTER) {
            return i;
        }
    }
    return 0;
}

/* Fills in the ID of each host's voting disk as of a log index, which
 * must not be below the snapshot's. */
void
agree_get_voters(const struct bb_agree *a, uint64_t index,
                 uint64_t voters[BB_AGREE_HOSTS_MAX])
{
    memcpy(voters, a->durable.snapshot.voters,
           sizeof(a->durable.snapshot.voters));
    for (uint64_t i = a->durable.snapshot.index + 1; i <= index; i++) {
        const struct bb_agree_entry *e = bb_agree_get_entry(a, i);

        if (e != NULL && e->kind == BB_AGREE_VOTER) {
            voters[e->host] = e->disk_id;
        }
    }
}

/* Returns whether this host's disk is a voter by the committed log and its
 * storage has not failed. */
bool
bb_agree_is_voter(const struct bb_agree *a)
{
    uint64_t voters[BB_AGREE_HOSTS_MAX];

    if (a->durable.formation.id == 0 || a->is_storage_failed) {
        return false;
    }
    agree_get_voters(a, a->durable.commit_index, voters);
    return voters[a->self] == a->durable.disk_id;
}

/* Returns whether a set of slots (a bit each) contains a majority of the
 * voters. While a replacement is pending, it must be a majority both with the
 * old disk and with the new one: a majority of one set of voters need not
 * intersect a majority of the other. */
bool
agree_has_quorum(const struct bb_agree *a, uint32_t slots)
{
    uint64_t pending = agree_pending_voter_index(a);
    const struct bb_agree_entry *e = bb_agree_get_entry(a, pending);
    uint32_t before = 0;
    uint32_t after = 0;

    for (uint8_t h = 0; h < a->host_count; h++) {
        bool has = (slots >> h & 1) != 0;

        before += has;
        if (e != NULL && e->host == h) {
            has = (slots >> BB_AGREE_JOINING_SLOT & 1) != 0;
        }
        after += has;
    }
    return 2 * before > a->host_count && 2 * after > a->host_count;
}

/* Returns the slot of a disk, or BB_AGREE_NO_HOST, which stands for no slot
 * here, if it is neither a voter nor joining, so that its responses do not
 * count. */
uint8_t
agree_find_slot(const struct bb_agree *a, uint8_t host, uint64_t disk_id)
{
    uint64_t voters[BB_AGREE_HOSTS_MAX];

    agree_get_voters(a, a->durable.commit_index, voters);
    if (voters[host] == disk_id || a->faults.votes_with_empty_disk) {
        return host;
    }
    if (a->joining_host == host &&
        a->progress[BB_AGREE_JOINING_SLOT].disk_id == disk_id) {
        return BB_AGREE_JOINING_SLOT;
    }
    return BB_AGREE_NO_HOST;
}

/* Updates the slots to the committed voters. The progress of a joining disk
 * moves to its host's slot once its voter entry is committed. The disk of a
 * pending voter entry gets the joining slot. */
void
agree_refresh_progress(struct bb_agree *a)
{
    uint64_t voters[BB_AGREE_HOSTS_MAX];
    struct bb_agree_progress *joining = &a->progress[BB_AGREE_JOINING_SLOT];
    const struct bb_agree_entry *e =
        bb_agree_get_entry(a, agree_pending_voter_index(a));

    agree_get_voters(a, a->durable.commit_index, voters);
    for (uint8_t h = 0; h < a->host_count; h++) {
        struct bb_agree_progress *p = &a->progress[h];

        if (p->disk_id == voters[h]) {
            continue;
        }
        *p = (struct bb_agree_progress){
            .disk_id = voters[h], .next_index = bb_agree_last_index(a) + 1};
        if (a->joining_host == h && joining->disk_id == voters[h]) {
            *p = *joining;
            *joining = (struct bb_agree_progress){0};
            a->joining_host = BB_AGREE_NO_HOST;
        }
    }
    if (e != NULL && joining->disk_id != e->disk_id) {
        /* The disk has the formation already: its voter entry was appended
         * only after it had caught up. So it needs no snapshot. */
        *joining = (struct bb_agree_progress){
            .disk_id = e->disk_id,
            .next_index = a->durable.snapshot.index + 1};
        a->joining_host = e->host;
    }
}

/* Adopts a formation: sets the first voters, with an empty log. */
static void
adopt_formation(struct agree_step *st, const struct bb_agree_formation *f)
{
    struct bb_agree_durable *d = &st->a->durable;

    d->formation = *f;
    memcpy(d->snapshot.voters, f->voters, sizeof(f->voters));
    d->snapshot.in_force.revision = f->first_revision - 1;
    agree_request_write(st, 0);
    st->out->must_persist_snapshot = true;
    agree_reset_election_timer(st);
}

/* Forms the cluster if every configured host has reported an empty disk. Only
 * host 0 does so, hence the same empty disks are never in two formations. */
static void
form_if_all_empty(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    struct bb_agree_formation f = {.id = st->random_bits | 1,
                                   .first_revision = a->first_revision};

    if (a->self != 0 || a->durable.formation.id != 0 ||
        a->empty_hosts != (1u << a->host_count) - 1) {
        return;
    }
    a->reported_disk_ids[0] = a->durable.disk_id;
    memcpy(f.voters, a->reported_disk_ids, sizeof(f.voters));
    adopt_formation(st, &f);
}

/* Sends identity requests to the other hosts, at most every
 * BB_AGREE_IDENTITY_INTERVAL_US, as long as this disk is not a voter. They
 * let host 0 form the cluster, and let a leader find a disk that it has to
 * admit. */
void
agree_request_identities(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    if (bb_agree_is_voter(a) || st->now_us < a->identity_due_us) {
        return;
    }
    a->identity_due_us = st->now_us + BB_AGREE_IDENTITY_INTERVAL_US;
    a->empty_hosts |= (uint8_t)(1u << a->self);
    form_if_all_empty(st);
    for (uint8_t h = 0; h < a->host_count; h++) {
        if (h != a->self) {
            agree_add_message(st, BB_AGREE_IDENTITY, h)->nonce = a->nonce;
        }
    }
}

/* Sends the formation to a host. */
static void
send_formation(struct agree_step *st, uint8_t to)
{
    agree_add_message(st, BB_AGREE_FORM, to)->body.formation =
        st->a->durable.formation;
}

/* Responds to an identity request. An empty disk that the formation lists also
 * receives the formation. At a leader, any other disk that is not a voter
 * becomes the joining disk, which is brought up to date. Only one disk joins
 * at a time: until its voter entry is appended, a request of another such disk
 * replaces it. */
void
agree_on_identity(struct agree_step *st, const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;
    uint64_t voters[BB_AGREE_HOSTS_MAX];

    if (a->write_sequence != a->synced_sequence) {
        return; /* this disk's ID may not be synced yet */
    }
    agree_add_message(st, BB_AGREE_IDENTITY_RESPONSE, m->from)->nonce =
        m->nonce;
    if (a->durable.formation.id == 0) {
        return;
    }
    if (m->formation == 0 &&
        a->durable.formation.voters[m->from] == m->disk_id) {
        send_formation(st, m->from);
        return;
    }
    agree_get_voters(a, a->durable.commit_index, voters);
    if (a->role != BB_AGREE_LEADER || voters[m->from] == m->disk_id ||
        agree_pending_voter_index(a) != 0 ||
        a->progress[BB_AGREE_JOINING_SLOT].disk_id == m->disk_id) {
        return;
    }
    a->joining_host = m->from;
    /* Starts with the snapshot, which brings the formation. */
    a->progress[BB_AGREE_JOINING_SLOT] = (struct bb_agree_progress){
        .disk_id = m->disk_id, .next_index = a->durable.snapshot.index};
}

/* Records which hosts have empty disks. Only responses to requests of this run
 * of the process count, because an older response may predate a formation. */
void
agree_on_identity_response(struct agree_step *st,
                           const struct bb_agree_message *m)
{
    struct bb_agree *a = st->a;

    if (m->nonce != a->nonce || a->durable.formation.id != 0) {
        return;
    }
    if (m->formation != 0) {
        a->empty_hosts = 0;
        return;
    }
    a->empty_hosts |= (uint8_t)(1u << m->from);
    a->reported_disk_ids[m->from] = m->disk_id;
    form_if_all_empty(st);
}

/* Adopts a received formation if the disk is empty and listed in it. */
void
agree_on_formation(struct agree_step *st, const struct bb_agree_message *m)
{
    const struct bb_agree_formation *f = &m->body.formation;
    struct bb_agree *a = st->a;

    if (a->durable.formation.id != 0 || f->id == 0 || f->first_revision == 0 ||
        f->voters[a->self] != a->durable.disk_id) {
        return;
    }
    adopt_formation(st, f);
}

/* Appends the voter entry for the joining disk, if this host leads, the disk
 * has synced the whole log, an entry of the current term is committed, no
 * other voter entry is pending and the log is not full. */
void
agree_admit_if_caught_up(struct agree_step *st)
{
    struct bb_agree *a = st->a;
    const struct bb_agree_progress *p = &a->progress[BB_AGREE_JOINING_SLOT];
    struct bb_agree_entry e = {.term = a->durable.term,
                               .kind = BB_AGREE_VOTER,
                               .host = a->joining_host,
                               .disk_id = p->disk_id};
    uint64_t commit_term = 0;

    (void)agree_get_term(a, a->durable.commit_index, &commit_term);
    if (a->role != BB_AGREE_LEADER || a->joining_host == BB_AGREE_NO_HOST ||
        p->match_index < a->durable.commit_index ||
        commit_term != a->durable.term ||
        p->match_index != bb_agree_last_index(a) ||
        agree_pending_voter_index(a) != 0 ||
        a->durable.log_count == BB_AGREE_LOG_MAX) {
        return;
    }
    agree_append(st, &e);
    agree_send_appends(st);
}
