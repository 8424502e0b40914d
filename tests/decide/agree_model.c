#include "agree_model.h"

#include "agree_internal.h"

#include <glib.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

enum {
    MESSAGES_MAX = 400000,
    AFTER_ALL_TIMEOUTS_US = 1000000000,
    /* Tickets: of a proposal, PROPOSAL_TICKETS_PER_HOST * host + content; of a
     * read, FIRST_READ_TICKET + the highest revision that was accepted before.
     */
    PROPOSAL_TICKETS_PER_HOST = 16,
    FIRST_READ_TICKET = 256,
    /* For the hashes of messages, disks and states. */
    MESSAGE_HASH_SEED = 1,
    DISK_HASH_FACTOR = 3,
    HOSTS_HASH_SEED = 7
};

/* All messages that were ever sent; states refer to them by number. */
static struct bb_agree_message *messages;
static uint64_t *message_hashes;
static uint32_t message_count;
static GHashTable *message_numbers;
static struct bb_agree_output output;

/* Returns a hash of the used part of a message. */
static uint64_t
hash_message(const struct bb_agree_message *m)
{
    size_t size = m->kind == BB_AGREE_SNAPSHOT || m->kind == BB_AGREE_FORM
                      ? sizeof(*m)
                      : offsetof(struct bb_agree_message, body) +
                            m->count * sizeof(m->body.entries[0]);

    return bb_hash64(m, size, MESSAGE_HASH_SEED);
}

/* Returns the number of a message; assigns one to a new message. */
static uint32_t
get_message_number(const struct bb_agree_message *m)
{
    uint64_t hash = hash_message(m);
    gpointer found;

    if (messages == NULL) {
        messages = g_new0(struct bb_agree_message, MESSAGES_MAX);
        message_hashes = g_new0(uint64_t, MESSAGES_MAX);
        message_numbers = g_hash_table_new(g_int64_hash, g_int64_equal);
    }
    found = g_hash_table_lookup(message_numbers, &hash);
    if (found != NULL) {
        return GPOINTER_TO_UINT(found) - 1;
    }
    g_assert(message_count < MESSAGES_MAX);
    messages[message_count] = *m;
    message_hashes[message_count] = hash;
    (void)g_hash_table_insert(message_numbers, &message_hashes[message_count],
                              GUINT_TO_POINTER(message_count + 1));
    return message_count++;
}

/* Records a violated invariant, unless one was recorded before. */
static void
report_violation(struct model_state *s, const char *text)
{
    if (s->violation == NULL) {
        s->violation = text;
    }
}

/* Records an accepted revision. Checks that a revision has one content and
 * that the same content is accepted for one revision only: the operators of
 * the model never use content twice, so a second time means that a change was
 * reverted. */
static void
check_accepted(struct model_state *s, uint64_t revision, uint8_t content)
{
    if (revision >= MODEL_REVISIONS_MAX) {
        s->is_truncated = true;
        return;
    }
    if (s->accepted[revision] != 0 && s->accepted[revision] != content) {
        report_violation(s, "an accepted revision was lost or changed");
    }
    for (uint64_t r = 0; r < revision; r++) {
        if (s->accepted[r] == content) {
            report_violation(s, "an accepted change was reverted");
        }
    }
    s->accepted[revision] = content;
}

/* Checks what a host applies in a step: the entries as accepted revisions, and
 * that the revision in force is never below one that its disk applied before.
 */
static void
check_applied(struct model_state *s, uint8_t host)
{
    const struct bb_agree *a = &s->hosts[host];
    const struct bb_agree_entry *e;

    if (output.must_apply_snapshot &&
        a->durable.snapshot.in_force.revision > 0) {
        check_accepted(s, a->durable.snapshot.in_force.revision,
                       a->durable.snapshot.in_force.digest.bytes[0]);
    }
    for (uint64_t i = output.apply_first_index; i <= output.apply_last_index;
         i++) {
        e = bb_agree_get_entry(a, i);
        if (e != NULL && e->kind == BB_AGREE_CONFIG) {
            check_accepted(s, e->revision, e->digest.bytes[0]);
        }
    }
    if (bb_agree_config_in_force(a).revision < s->applied[host]) {
        report_violation(s, "an applied revision went back");
    }
    s->applied[host] = (uint8_t)bb_agree_config_in_force(a).revision;
}

/* Returns whether a log contains a revision with the content. A compacted
 * revision counts without a check of its content. */
static bool
has_revision(const struct bb_agree *a, uint64_t revision, uint8_t content)
{
    for (uint64_t i = 0; i < a->durable.log_count; i++) {
        const struct bb_agree_entry *e = &a->durable.log[i];

        if (e->kind == BB_AGREE_CONFIG && e->revision == revision) {
            return e->digest.bytes[0] == content;
        }
    }
    return revision <= a->durable.snapshot.in_force.revision;
}

/* Checks that a term has only one leader and that the leader's log contains
 * all accepted revisions. */
static void
check_leader(struct model_state *s, uint8_t host)
{
    const struct bb_agree *a = &s->hosts[host];

    if (a->role != BB_AGREE_LEADER) {
        return;
    }
    if (a->durable.term >= MODEL_TERMS_MAX) {
        s->is_truncated = true;
        return;
    }
    if (s->leaders[a->durable.term] == host + 1) {
        return;
    }
    if (s->leaders[a->durable.term] != 0) {
        report_violation(s, "a term has two leaders");
    }
    s->leaders[a->durable.term] = host + 1;
    for (uint64_t r = 1; r < MODEL_REVISIONS_MAX; r++) {
        if (s->accepted[r] != 0 && !has_revision(a, r, s->accepted[r])) {
            report_violation(s, "a leader lacks an accepted revision");
        }
    }
}

/* Checks the response to a read or a proposal; the ticket shows which of the
 * two it is. A confirmed read must see all revisions that were accepted before
 * it. */
static void
check_response(struct model_state *s, const struct bb_agree_response *r)
{
    struct model_folder *f;
    uint8_t content = r->ticket % PROPOSAL_TICKETS_PER_HOST;

    if (r->ticket >= FIRST_READ_TICKET) {
        if (r->result == BB_AGREE_CONFIRMED &&
            r->revision < r->ticket - FIRST_READ_TICKET) {
            report_violation(s,
                             "a confirmed read missed an accepted revision");
        }
        return;
    }
    f = &s->folders[r->ticket / PROPOSAL_TICKETS_PER_HOST];
    if (r->result == BB_AGREE_ACCEPTED) {
        check_accepted(s, r->revision, content);
        f->settled = content;
        f->base = (uint8_t)r->revision;
    }
    if (r->result == BB_AGREE_VERSION_CONFLICT ||
        r->result == BB_AGREE_STALE_BASE) {
        f->settled = content; /* not proposed again until it changes */
    }
}

/* Adds the messages of a step to the network. Checks that only voting disks
 * vote. */
static void
collect_messages(struct model_state *s, uint8_t host)
{
    for (uint32_t i = 0; i < output.message_count; i++) {
        const struct bb_agree_message *m = &output.messages[i];
        uint32_t n = get_message_number(m);
        uint32_t k = 0;

        if (m->kind == BB_AGREE_VOTE_RESPONSE && m->is_ok &&
            !bb_agree_is_voter(&s->hosts[host])) {
            report_violation(s, "a disk that is not admitted voted");
        }
        while (k < s->network_count && s->network[k] != n) {
            k++;
        }
        if (k < s->network_count) {
            continue;
        }
        if (s->network_count == MODEL_NETWORK_MAX) {
            s->is_truncated = true;
            return;
        }
        s->network[s->network_count++] = n;
        s->network_hash += message_hashes[n];
    }
}

/* Returns the size in bytes of the durable state up to the last log entry. */
static size_t
durable_size(const struct bb_agree_durable *d)
{
    return offsetof(struct bb_agree_durable, log) +
           d->log_count * sizeof(d->log[0]);
}

/* Clears what does not affect later steps, so that equivalent states have
 * equal bytes: times, and the absolute values of write sequence numbers.
 * Updates the hash of the host. */
static void
normalize_host(struct model_state *s, uint8_t host)
{
    struct bb_agree *a = &s->hosts[host];
    size_t times = offsetof(struct bb_agree, election_due_us);

    memset((char *)a + times, 0, offsetof(struct bb_agree, durable) - times);
    a->write_sequence = a->write_sequence != a->synced_sequence;
    a->synced_sequence = 0;
    s->host_hashes[host] = s->disk_hashes[host];
    s->host_hashes[host] += bb_hash64(
        a, offsetof(struct bb_agree, durable) + durable_size(&a->durable),
        host);
}

/* Sets the synced state of a host's disk, and its hash, a summand of the
 * host's hash. */
static void
write_disk(struct model_state *s, uint8_t host,
           const struct bb_agree_durable *d)
{
    s->disks[host] = *d;
    s->disk_hashes[host] =
        DISK_HASH_FACTOR * bb_hash64(d, durable_size(d), host);
}

/* Feeds an event to a host and checks the invariants on the output. */
static void
feed_event(struct model_state *s, uint8_t host, struct bb_agree_event e)
{
    struct bb_agree *a = &s->hosts[host];

    e.random_bits = 1;
    bb_agree_step(a, &e, &output);
    collect_messages(s, host);
    check_applied(s, host);
    check_leader(s, host);
    for (uint32_t i = 0; i < output.response_count; i++) {
        check_response(s, &output.responses[i]);
    }
    normalize_host(s, host);
}

/* Restarts a host from a durable state, which becomes the synced one. */
static void
restart_host(struct model_state *s, uint8_t host,
             const struct bb_agree_durable *d)
{
    const struct bb_agree_settings settings = {
        .self = host, .host_count = MODEL_HOSTS, .first_revision = 1};
    struct bb_agree_faults faults = s->hosts[host].faults;
    struct bb_agree_durable copy = *d;

    write_disk(s, host, &copy);
    bb_agree_init(&s->hosts[host], &settings, &copy, 0, copy.disk_id);
    s->hosts[host].faults = faults;
    if (bb_agree_config_in_force(&s->hosts[host]).revision <
        s->applied[host]) {
        report_violation(s, "an applied revision went back at a restart");
    }
    normalize_host(s, host);
}

/* Restarts a host with a new, empty disk. */
static void
lose_disk(struct model_state *s, uint8_t host)
{
    struct bb_agree_durable empty;

    memset(&empty, 0, sizeof(empty));
    s->disks_used++;
    empty.disk_id = s->disks_used;
    s->applied[host] = 0;
    restart_host(s, host, &empty);
}

/* Initialises a state with three hosts that have empty disks. */
void
model_init(struct model_state *s)
{
    memset(s, 0, sizeof(*s));
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        lose_disk(s, h);
    }
}

/* Injects faults on all hosts. */
void
model_set_faults(struct model_state *s, struct bb_agree_faults f)
{
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        s->hosts[h].faults = f;
        normalize_host(s, h);
    }
}

/* Returns whether a host proposes its folder: only if the folder changed,
 * unless the fault is injected. */
static bool
should_propose(const struct model_state *s, uint8_t host)
{
    const struct model_folder *f = &s->folders[host];

    if (s->budget.proposes_difference) {
        return f->content != 0 &&
               f->content !=
                   bb_agree_config_in_force(&s->hosts[host]).digest.bytes[0];
    }
    return f->content != f->settled;
}

/* Proposes the folder of a host at a leader. Hosts 0 and 1 always use version
 * 9, so that their proposals conflict; host 2 uses none. */
static void
propose(struct model_state *s, uint8_t host, uint8_t leader)
{
    const struct model_folder *f = &s->folders[host];
    uint64_t in_force = bb_agree_config_in_force(&s->hosts[host]).revision;
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_PROPOSAL,
                               .now_us = AFTER_ALL_TIMEOUTS_US};

    e.as.proposal = (struct bb_agree_proposal){
        .ticket = (unsigned)PROPOSAL_TICKETS_PER_HOST * host + f->content,
        .base_revision = s->budget.proposes_difference ? in_force : f->base,
        .version = host < 2 && !s->budget.proposes_difference ? 9 : 0,
        .digest.bytes = {f->content},
    };
    feed_event(s, leader, e);
}

/* Starts a read at a leader; its ticket carries the highest revision accepted
 * so far. */
static void
start_read(struct model_state *s, uint8_t host)
{
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_READ,
                               .now_us = AFTER_ALL_TIMEOUTS_US,
                               .as.ticket = FIRST_READ_TICKET};

    for (uint32_t r = 0; r < MODEL_REVISIONS_MAX; r++) {
        e.as.ticket = s->accepted[r] != 0 ? (unsigned)FIRST_READ_TICKET + r
                                          : e.as.ticket;
    }
    feed_event(s, host, e);
}

/* Carries out one action. */
void
model_step(struct model_state *s, struct model_action a)
{
    struct bb_agree_event e = {.kind = BB_AGREE_EVENT_TICK,
                               .now_us = AFTER_ALL_TIMEOUTS_US};

    switch ((enum model_action_kind)a.kind) {
    case MODEL_DELIVER:
        e.kind = BB_AGREE_EVENT_MESSAGE;
        e.as.message = &messages[s->network[a.other]];
        break;
    case MODEL_SYNC:
        write_disk(s, a.host, &s->hosts[a.host].durable);
        e.kind = BB_AGREE_EVENT_SYNCED;
        e.as.write_sequence = s->hosts[a.host].write_sequence;
        break;
    case MODEL_TIMEOUT:
        s->budget.timeouts--;
        break;
    case MODEL_HEARTBEAT:
        s->budget.heartbeats--;
        e.now_us = BB_AGREE_HEARTBEAT_INTERVAL_US;
        break;
    case MODEL_REQUEST_IDENTITIES:
        s->budget.identities--;
        break;
    case MODEL_CRASH:
        s->budget.crashes--;
        restart_host(s, a.host, &s->disks[a.host]);
        return;
    case MODEL_CRASH_AFTER_WRITE:
        s->budget.crashes--;
        restart_host(s, a.host, &s->hosts[a.host].durable);
        return;
    case MODEL_LOSE_DISK:
        s->budget.lost_disks--;
        lose_disk(s, a.host);
        return;
    case MODEL_EDIT:
        s->budget.edits--;
        s->folders[a.host].content = ++s->contents_used;
        return;
    case MODEL_PROPOSE:
        propose(s, a.host, a.other);
        return;
    case MODEL_READ:
        s->budget.reads--;
        start_read(s, a.host);
        return;
    }
    feed_event(s, a.host, e);
}

/* Returns whether any host knows that a host's present disk is a voter. */
static bool
is_admitted(const struct model_state *s, uint32_t host)
{
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        uint64_t voters[BB_AGREE_HOSTS_MAX];

        agree_get_voters(&s->hosts[h], s->hosts[h].durable.commit_index,
                         voters);
        if (voters[host] == s->hosts[host].durable.disk_id) {
            return true;
        }
    }
    return false;
}

/* Returns whether one more disk may be lost: none was lost yet, or the last
 * replacement is complete. Losing more than that may lose a majority, and with
 * it accepted revisions, by design. */
static bool
can_lose_disk(const struct model_state *s)
{
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        if (!is_admitted(s, h)) {
            return s->disks_used == MODEL_HOSTS;
        }
    }
    return true;
}

/* Lists the actions that are possible at one host, except deliveries; returns
 * their number. */
static uint32_t
list_host_actions(const struct model_state *s, uint8_t h,
                  struct model_action out[])
{
    const struct bb_agree *a = &s->hosts[h];
    const struct model_budget *b = &s->budget;
    bool is_leader = a->role == BB_AGREE_LEADER;
    bool is_writing = a->write_sequence != a->synced_sequence;
    uint32_t n = 0;
    const bool allowed[] = {
        [MODEL_SYNC] = is_writing,
        [MODEL_TIMEOUT] =
            b->timeouts > 0 && (is_leader || bb_agree_is_voter(a)),
        [MODEL_HEARTBEAT] = b->heartbeats > 0 && is_leader,
        [MODEL_REQUEST_IDENTITIES] =
            b->identities > 0 && !bb_agree_is_voter(a),
        [MODEL_CRASH] = b->crashes > 0,
        [MODEL_CRASH_AFTER_WRITE] = b->crashes > 0 && is_writing,
        [MODEL_LOSE_DISK] = b->lost_disks > 0 && can_lose_disk(s),
        [MODEL_EDIT] = b->edits > 0,
        [MODEL_READ] = b->reads > 0 && is_leader,
    };

    for (uint32_t kind = MODEL_SYNC; kind <= MODEL_READ; kind++) {
        if (kind != MODEL_PROPOSE && allowed[kind]) {
            out[n++] = (struct model_action){.kind = kind, .host = h};
        }
    }
    for (uint32_t to = 0; to < MODEL_HOSTS && should_propose(s, h); to++) {
        if (s->hosts[to].role == BB_AGREE_LEADER) {
            out[n++] = (struct model_action){
                .kind = MODEL_PROPOSE, .host = h, .other = to};
        }
    }
    return n;
}

/* Lists the actions that are possible in a state; returns their number. */
uint32_t
model_list_actions(const struct model_state *s, struct model_action actions[],
                   uint32_t max)
{
    uint32_t n = 0;

    g_assert(max >= MODEL_NETWORK_MAX + MODEL_HOSTS * MODEL_HOST_ACTIONS_MAX);
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        n += list_host_actions(s, h, &actions[n]);
    }
    for (uint32_t i = 0; i < s->network_count; i++) {
        actions[n++] =
            (struct model_action){.kind = MODEL_DELIVER,
                                  .host = messages[s->network[i]].to,
                                  .other = (uint8_t)i};
    }
    return n;
}

/* Returns a hash of everything that affects later steps. */
uint64_t
model_hash(const struct model_state *s)
{
    size_t start = offsetof(struct model_state, budget);

    return bb_hash64((const char *)s + start,
                     offsetof(struct model_state, is_truncated) - start,
                     s->network_hash) +
           bb_hash64(s->host_hashes, sizeof(s->host_hashes), HOSTS_HASH_SEED);
}

/* Frees the message numbers of earlier walks once half of them are used. The
 * state, from which the next walk starts, must have no messages in its
 * network.
 */
void
model_reclaim_message_numbers(const struct model_state *s)
{
    g_assert(s->network_count == 0);
    if (message_count > MESSAGES_MAX / 2) {
        message_count = 0;
        g_hash_table_remove_all(message_numbers);
    }
}

/* Removes all messages from the network. */
void
model_drop_messages(struct model_state *s)
{
    s->network_count = 0;
    s->network_hash = 0;
}

/* Returns whether a disk that replaced a lost one was admitted as a voter. */
bool
model_has_admitted_replacement(const struct model_state *s)
{
    for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
        if (s->hosts[h].durable.disk_id > MODEL_HOSTS &&
            bb_agree_is_voter(&s->hosts[h])) {
            return true;
        }
    }
    return false;
}

/* Syncs all writes and delivers all messages, including those that result from
 * it, once and in order; then empties the network. */
void
model_sync_and_deliver_all(struct model_state *s)
{
    uint32_t i = 0;
    bool is_busy = true;

    while (is_busy) {
        is_busy = false;
        for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
            if (s->hosts[h].write_sequence != s->hosts[h].synced_sequence) {
                model_step(
                    s, (struct model_action){.kind = MODEL_SYNC, .host = h});
                is_busy = true;
            }
        }
        if (i < s->network_count) {
            model_step(
                s, (struct model_action){.kind = MODEL_DELIVER,
                                         .host = messages[s->network[i]].to,
                                         .other = (uint8_t)i});
            i++;
            is_busy = true;
        }
    }
    model_drop_messages(s);
}

/* Forms the cluster if needed and lets a host start an election. Returns
 * whether the host became the leader. */
bool
model_elect(struct model_state *s, uint8_t host)
{
    for (uint8_t round = 0; round < 2; round++) {
        for (uint32_t h = 0; h < MODEL_HOSTS; h++) {
            if (s->hosts[h].durable.formation.id == 0) {
                s->budget.identities++;
                model_step(
                    s, (struct model_action){.kind = MODEL_REQUEST_IDENTITIES,
                                             .host = h});
                model_sync_and_deliver_all(s);
            }
        }
    }
    s->budget.timeouts++;
    model_step(s, (struct model_action){.kind = MODEL_TIMEOUT, .host = host});
    model_sync_and_deliver_all(s);
    return s->hosts[host].role == BB_AGREE_LEADER;
}

/* Prints an action, as a step of a counterexample, before it is carried out in
 * a state. */
void
model_print_action(const struct model_state *s, struct model_action a)
{
    static const char *const kinds[] = {"deliver",     "sync",      "timeout",
                                        "heartbeat",   "identify",  "crash",
                                        "crash, kept", "lose disk", "edit",
                                        "propose",     "read"};
    static const char *const names[] = {"identity",
                                        "identity response",
                                        "form",
                                        "pre-vote",
                                        "pre-vote response",
                                        "vote",
                                        "vote response",
                                        "append",
                                        "append response",
                                        "snapshot"};

    (void)printf("  host %u: %s", a.host, kinds[a.kind]);
    if (a.kind == MODEL_DELIVER) {
        const struct bb_agree_message *m = &messages[s->network[a.other]];

        (void)printf(" %s from %u, term %u, index %u, ok %u, %u entries",
                     names[m->kind], m->from, (unsigned)m->term,
                     (unsigned)m->index, m->is_ok, m->count);
    }
    (void)printf("\n");
}
