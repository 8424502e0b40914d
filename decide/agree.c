/* Entry points of the consensus module: initialisation and step. */
#include "decide/agree.h"

#include <string.h>

#include "agree_internal.h"

/* Initialises a host from its durable state, after every start of the process.
 * For an empty disk, all of *d but the disk ID is zero. Assumes nothing
 * that is not in *d, such as unsynced writes of an earlier run. The random
 * bits must differ between starts: they tell identity responses to an earlier
 * run apart. */
void
bb_agree_init(struct bb_agree *a, const struct bb_agree_settings *s,
              const struct bb_agree_durable *d, uint64_t now_us,
              uint64_t random_bits)
{
    struct agree_step st = {
        .a = a, .now_us = now_us, .random_bits = random_bits};

    memset(a, 0, sizeof(*a));
    a->self = s->self;
    a->host_count = s->host_count;
    a->first_revision = s->first_revision == 0 ? 1 : s->first_revision;
    a->leader = BB_AGREE_NO_HOST;
    a->joining_host = BB_AGREE_NO_HOST;
    a->pending_vote_to = BB_AGREE_NO_HOST;
    a->nonce = random_bits;
    a->durable = *d;
    a->applied_index = a->durable.commit_index;
    a->in_force = agree_config_at(a, a->applied_index);
    agree_reset_election_timer(&st);
}

/* Adds a message to the output and returns it for further fields. The fields
 * that name the sender, its formation and its term are set, others are 0. */
struct bb_agree_message *
agree_add_message(struct agree_step *st, enum bb_agree_message_kind kind,
                  uint8_t to)
{
    struct bb_agree_output *out = st->out;
    struct bb_agree_message *m = &out->messages[out->message_count];

    /* If the output holds BB_AGREE_MESSAGES_MAX - 1 messages, the new one is
     * built in the spare last element and not sent. The protocol tolerates
     * lost messages. */
    if (out->message_count < BB_AGREE_MESSAGES_MAX - 1) {
        out->message_count++;
    }
    memset(m, 0, sizeof(*m));
    m->kind = (uint8_t)kind;
    m->from = st->a->self;
    m->to = to;
    m->disk_id = st->a->durable.disk_id;
    m->formation = st->a->durable.formation.id;
    m->term = st->a->durable.term;
    return m;
}

/* Returns whether a message is well-formed, for this host, and of the same
 * formation. Identity and formation messages (the kinds up to BB_AGREE_FORM)
 * are accepted from any formation; an empty disk also accepts a snapshot, by
 * which a leader brings it up to date. With the injected fault
 * votes_with_empty_disk, any message from or to an empty disk is accepted. */
static bool
should_accept_message(const struct bb_agree *a,
                      const struct bb_agree_message *m)
{
    bool is_fault_on = a->faults.votes_with_empty_disk &&
                       (m->formation == 0 || a->durable.formation.id == 0);

    if (m->from >= a->host_count || m->from == a->self || m->to != a->self ||
        m->count > BB_AGREE_BATCH_MAX) {
        return false;
    }
    if (m->kind <= BB_AGREE_FORM || is_fault_on) {
        return true;
    }
    return a->durable.formation.id == 0
               ? m->kind == BB_AGREE_SNAPSHOT
               : m->formation == a->durable.formation.id;
}

/* Passes a message to the function for its kind; drops it if it should not be
 * accepted. */
static void
dispatch_message(struct agree_step *st, const struct bb_agree_message *m)
{
    if (!should_accept_message(st->a, m)) {
        return;
    }
    st->a->last_heard_us[m->from] = st->now_us;
    switch ((enum bb_agree_message_kind)m->kind) {
    case BB_AGREE_IDENTITY:
        agree_on_identity(st, m);
        break;
    case BB_AGREE_IDENTITY_RESPONSE:
        agree_on_identity_response(st, m);
        break;
    case BB_AGREE_FORM:
        agree_on_formation(st, m);
        break;
    case BB_AGREE_PRE_VOTE:
    case BB_AGREE_VOTE:
        agree_on_vote_request(st, m);
        break;
    case BB_AGREE_PRE_VOTE_RESPONSE:
    case BB_AGREE_VOTE_RESPONSE:
        agree_on_vote_response(st, m);
        break;
    case BB_AGREE_APPEND:
        agree_on_append(st, m);
        break;
    case BB_AGREE_APPEND_RESPONSE:
        agree_on_append_response(st, m);
        break;
    case BB_AGREE_SNAPSHOT:
        agree_on_snapshot(st, m);
        break;
    case BB_AGREE_MESSAGE_KIND_COUNT:
    default:
        break;
    }
}

/* Sends what is due: identity requests, heartbeats, or the start of an
 * election. A leader steps down if no quorum has responded to it for
 * BB_AGREE_ELECTION_TIMEOUT_MAX_US. */
static void
on_tick(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    agree_request_identities(st);
    if (a->role == BB_AGREE_LEADER) {
        if (st->now_us >=
            a->last_quorum_us + BB_AGREE_ELECTION_TIMEOUT_MAX_US) {
            agree_become_follower(st, a->durable.term, BB_AGREE_NO_HOST);
            return;
        }
        if (st->now_us >= a->heartbeat_due_us) {
            a->heartbeat_due_us = st->now_us + BB_AGREE_HEARTBEAT_INTERVAL_US;
            a->round++;
            if (a->host_count == 1) {
                a->confirmed_round = a->round;
                a->last_quorum_us = st->now_us;
                a->cluster_quorum_us = st->now_us;
            }
            agree_send_appends(st);
        }
        return;
    }
    if (st->now_us >= a->election_due_us && bb_agree_is_voter(a)) {
        agree_become_pre_candidate(st);
    }
}

/* Emits the votes, append responses, entries to apply and responses to callers
 * that wait for a sync, once all requested writes are synced. */
static void
finish_step(struct agree_step *st)
{
    struct bb_agree *a = st->a;

    if (a->has_pending_append_response && a->faults.responds_before_sync) {
        agree_send_append_response(st);
    }
    if (a->write_sequence != a->synced_sequence || a->is_storage_failed) {
        return;
    }
    if (a->role == BB_AGREE_LEADER &&
        a->progress[a->self].match_index < bb_agree_last_index(a)) {
        a->progress[a->self].match_index = bb_agree_last_index(a);
        agree_advance_commit(st);
        if (a->write_sequence != a->synced_sequence) {
            /* The new commit index is applied only after its own sync. A read
             * that completes before that could miss entries that followers
             * have applied already. */
            return;
        }
    }
    if (a->pending_vote_to == a->self) {
        agree_request_votes(st);
    }
    else if (a->pending_vote_to != BB_AGREE_NO_HOST) {
        agree_send_granted_vote(st);
    }
    if (a->has_pending_append_response) {
        agree_send_append_response(st);
    }
    agree_apply_committed(st);
    agree_complete_proposals(st);
    agree_complete_reads(st);
}

/* Stops voting and replicating for good after a failed write, which is not
 * retried. */
static void
on_sync_failed(struct agree_step *st)
{
    agree_become_follower(st, st->a->durable.term, BB_AGREE_NO_HOST);
    st->a->is_storage_failed = 1;
    st->out->must_persist = false;
}

/* Processes one event and fills in *out with what the caller has to do, see
 * the head of decide/agree.h. */
void
bb_agree_step(struct bb_agree *a, const struct bb_agree_event *event,
              struct bb_agree_output *out)
{
    struct agree_step st = {.a = a,
                            .out = out,
                            .now_us = event->now_us,
                            .random_bits = event->random_bits};

    out->must_persist = false;
    out->must_persist_snapshot = false;
    out->persist_from_index = 0;
    out->write_sequence = 0;
    out->must_apply_snapshot = false;
    out->apply_first_index = 1;
    out->apply_last_index = 0;
    out->message_count = 0;
    out->response_count = 0;
    agree_compact(&st);
    switch (event->kind) {
    case BB_AGREE_EVENT_MESSAGE:
        dispatch_message(&st, event->as.message);
        break;
    case BB_AGREE_EVENT_TICK:
        on_tick(&st);
        break;
    case BB_AGREE_EVENT_PROPOSAL:
        agree_on_proposal(&st, &event->as.proposal);
        break;
    case BB_AGREE_EVENT_READ:
        agree_on_read(&st, event->as.ticket);
        break;
    case BB_AGREE_EVENT_SYNCED:
        if (event->as.write_sequence > a->synced_sequence) {
            a->synced_sequence = event->as.write_sequence;
        }
        break;
    case BB_AGREE_EVENT_SYNC_FAILED:
        on_sync_failed(&st);
        break;
    default:
        break;
    }
    finish_step(&st);
}

/* Returns the name of a role, as in logs. */
const char *
bb_agree_role_name(enum bb_agree_role role)
{
    static const char *const names[] = {"follower", "pre-candidate",
                                        "candidate", "leader"};

    return names[role];
}

/* Returns the name of a result. */
const char *
bb_agree_result_name(enum bb_agree_result result)
{
    static const char *const names[] = {"accepted", "confirmed",  "stale_base",
                                        "conflict", "not_leader", "busy",
                                        "unknown"};

    return names[result];
}
