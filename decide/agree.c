/* Entry points of the quorum protocol: restart and step. */
#include "decide/agree.h"

#include <string.h>

#include "agree_internal.h"

/* Starts from the durable state (NULL or zeroed but for the incarnation: an
 * empty disk). Nothing that was not synced is assumed. */
void
bb_agree_restart(struct bb_agree *a, const struct bb_agree_settings *s,
                 const struct bb_agree_durable *d, uint64_t now_us,
                 uint64_t random)
{
    struct agree_step st = {.a = a, .now_us = now_us, .random = random};

    memset(a, 0, sizeof(*a));
    a->self = s->self;
    a->host_count = s->host_count;
    a->first_revision = s->first_revision == 0 ? 1 : s->first_revision;
    a->leader = BB_AGREE_NO_HOST;
    a->joiner = BB_AGREE_NO_HOST;
    a->owes_vote = BB_AGREE_NO_HOST;
    a->nonce = random;
    a->d = *d;
    a->applied = a->d.commit;
    a->in_force = agree_config_before(a, a->applied);
    agree_reset_election(&st);
}

/* Returns a zeroed message with the sender's identity filled in. */
struct bb_agree_message *
agree_send(struct agree_step *st, enum bb_agree_message_kind kind, uint8_t to)
{
    struct bb_agree_output *out = st->out;
    struct bb_agree_message *m = &out->messages[out->message_count];

    /* A message that does not fit replaces the last one: it is as if lost. */
    if (out->message_count < BB_AGREE_MESSAGES_MAX - 1) {
        out->message_count++;
    }
    memset(m, 0, sizeof(*m));
    m->kind = (uint8_t)kind;
    m->from = st->a->self;
    m->to = to;
    m->incarnation = st->a->d.incarnation;
    m->formation = st->a->d.formation.id;
    m->term = st->a->d.term;
    return m;
}

/* Tells whether a message is meant for this disk's formation. Only identity
 * messages cross formations; an empty disk takes a snapshot besides. */
static bool
is_addressed(const struct bb_agree *a, const struct bb_agree_message *m)
{
    bool votes_empty = a->faults.vote_with_empty_disk &&
                       (m->formation == 0 || a->d.formation.id == 0);

    if (m->from >= a->host_count || m->from == a->self || m->to != a->self ||
        m->count > BB_AGREE_BATCH_MAX) {
        return false;
    }
    if (m->kind <= BB_AGREE_FORM || votes_empty) {
        return true;
    }
    return a->d.formation.id == 0 ? m->kind == BB_AGREE_SNAPSHOT
                                  : m->formation == a->d.formation.id;
}

/* Passes a message to its handler. */
static void
on_message(struct agree_step *st, const struct bb_agree_message *m)
{
    if (!is_addressed(st->a, m)) {
        return;
    }
    st->a->heard_us[m->from] = st->now_us;
    switch ((enum bb_agree_message_kind)m->kind) {
    case BB_AGREE_IDENTITY:
        agree_on_identity(st, m);
        break;
    case BB_AGREE_IDENTITY_ANSWER:
        agree_on_identity_answer(st, m);
        break;
    case BB_AGREE_FORM:
        agree_on_form(st, m);
        break;
    case BB_AGREE_PRE_VOTE:
    case BB_AGREE_VOTE:
        agree_on_vote(st, m);
        break;
    case BB_AGREE_PRE_VOTE_ANSWER:
    case BB_AGREE_VOTE_ANSWER:
        agree_on_vote_answer(st, m);
        break;
    case BB_AGREE_APPEND:
        agree_on_append(st, m);
        break;
    case BB_AGREE_APPEND_ANSWER:
        agree_on_append_answer(st, m);
        break;
    case BB_AGREE_SNAPSHOT:
        agree_on_snapshot(st, m);
        break;
    case BB_AGREE_MESSAGE_KINDS:
    default:
        break;
    }
}

/* Handles the passing of time. */
static void
on_tick(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_identity_tick(st);
    if (a->role == BB_AGREE_LEADER) {
        if (st->now_us >= a->quorum_us + BB_AGREE_ELECTION_MAX_US) {
            agree_follow(st, a->d.term, BB_AGREE_NO_HOST);
            return;
        }
        if (st->now_us >= a->heartbeat_due_us) {
            a->heartbeat_due_us = st->now_us + BB_AGREE_HEARTBEAT_US;
            a->round++;
            if (a->host_count == 1) {
                a->confirmed_round = a->round;
                a->quorum_us = st->now_us;
                a->confirmed_us = st->now_us;
            }
            agree_broadcast(st);
        }
        return;
    }
    if (st->now_us >= a->election_due_us && bb_agree_is_voter(a)) {
        agree_start_pre_vote(st);
    }
}

/* Puts out what waited for a sync, once everything written is synced. */
static void
settle(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    if (a->owes_append && a->faults.answer_before_sync) {
        agree_answer_append(st);
    }
    if (a->write_sequence != a->synced_sequence || a->is_storage_failed) {
        return;
    }
    if (a->role == BB_AGREE_LEADER &&
        a->progress[a->self].match < bb_agree_last_index(a)) {
        a->progress[a->self].match = bb_agree_last_index(a);
        agree_advance_commit(st);
        if (a->write_sequence != a->synced_sequence) {
            /* The new commit index is applied after its own sync; a read
             * answered before would miss what followers applied by now. */
            return;
        }
    }
    if (a->owes_vote == a->self) {
        agree_send_votes(st);
    }
    else if (a->owes_vote != BB_AGREE_NO_HOST) {
        agree_answer_vote(st);
    }
    if (a->owes_append) {
        agree_answer_append(st);
    }
    agree_apply(st);
    agree_answer_committed(st);
    agree_answer_reads(st);
}

/* Stops all taking part after a failed write; nothing is retried. */
static void
on_sync_failed(struct agree_step *st)
{
    agree_follow(st, st->a->d.term, BB_AGREE_NO_HOST);
    st->a->is_storage_failed = 1;
    st->out->persist = false;
}

/* Feeds one event and fills in what the caller has to do. */
void
bb_agree_step(struct bb_agree *a, const struct bb_agree_event *event,
              struct bb_agree_output *out)
{
    struct agree_step st = {
        .a = a, .out = out, .now_us = event->now_us, .random = event->random};

    out->persist = false;
    out->persist_snapshot = false;
    out->persist_from = 0;
    out->sync_sequence = 0;
    out->apply_snapshot = false;
    out->apply_first = 1;
    out->apply_last = 0;
    out->message_count = 0;
    out->answer_count = 0;
    agree_compact(&st);
    switch (event->kind) {
    case BB_AGREE_EVENT_MESSAGE:
        on_message(&st, event->with.message);
        break;
    case BB_AGREE_EVENT_TICK:
        on_tick(&st);
        break;
    case BB_AGREE_EVENT_PROPOSAL:
        agree_on_proposal(&st, &event->with.proposal);
        break;
    case BB_AGREE_EVENT_READ:
        agree_on_read(&st, event->with.ticket);
        break;
    case BB_AGREE_EVENT_SYNCED:
        if (event->with.sync_sequence > a->synced_sequence) {
            a->synced_sequence = event->with.sync_sequence;
        }
        break;
    case BB_AGREE_EVENT_SYNC_FAILED:
        on_sync_failed(&st);
        break;
    default:
        break;
    }
    settle(&st);
}

/* Returns the name of a role. */
const char *
bb_agree_role_name(enum bb_agree_role role)
{
    static const char *const names[] = {"follower", "pre-candidate",
                                        "candidate", "leader"};

    return names[role];
}

/* Returns the name of a result, as on the wire and in logs. */
const char *
bb_agree_result_name(enum bb_agree_result result)
{
    static const char *const names[] = {"accepted", "confirmed",  "stale_base",
                                        "conflict", "not_leader", "busy",
                                        "unknown"};

    return names[result];
}
