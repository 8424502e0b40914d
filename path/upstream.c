/* Orders the announcements and withdrawals of an upstream. */
#include "path/upstream.h"

#include <string.h>

#include "common/clock.h"

/* Returns whether an id and a start, 0 if not stated, name the known run. */
static bool
is_known_run(const struct bb_upstream *u, const char *id, uint64_t started_ms)
{
    return u->state != BB_INSTANCE_NONE && strcmp(u->id, id) == 0 &&
           (started_ms == 0 || started_ms == u->started_ms);
}

/* Returns whether `ms` have passed since a time. */
static bool
has_passed(uint64_t since_us, uint64_t now_us, uint32_t ms)
{
    return now_us - since_us >= (uint64_t)ms * BB_US_PER_MS;
}

/* Derives the state of an upstream that has announced itself. */
static void
update_state(struct bb_upstream *u)
{
    u->state = u->has_drained || u->is_leaving ? BB_INSTANCE_DRAINING
                                               : BB_INSTANCE_READY;
}

/* Returns the record of another run, or NULL. If the start is not stated (0),
 * it is that of the run with this id that was heard last. */
static struct bb_upstream_other *
find_other(struct bb_upstream *u, const char *id, uint64_t started_ms)
{
    struct bb_upstream_other *found = NULL;

    for (uint32_t i = 0; i < BB_UPSTREAM_OTHERS_MAX; i++) {
        struct bb_upstream_other *o = &u->others[i];

        if (o->id[0] != '\0' && strcmp(o->id, id) == 0 &&
            (started_ms == 0 || started_ms == o->latest.started_ms) &&
            (found == NULL || found->last_heard_us < o->last_heard_us)) {
            found = o;
        }
    }
    return found;
}

/* Returns a new record of another run, in place of the one that was heard of
 * longest ago. */
static struct bb_upstream_other *
add_other(struct bb_upstream *u, const char *id, uint64_t started_ms)
{
    struct bb_upstream_other *o = &u->others[0];

    for (uint32_t i = 1; i < BB_UPSTREAM_OTHERS_MAX; i++) {
        if (u->others[i].last_heard_us < o->last_heard_us) {
            o = &u->others[i];
        }
    }
    memset(o, 0, sizeof(*o));
    g_strlcpy(o->id, id, sizeof(o->id));
    o->latest.started_ms = started_ms;
    return o;
}

/* Records that another run was heard. */
static struct bb_upstream_other *
hear_other(struct bb_upstream *u, const char *id, uint64_t started_ms,
           uint64_t now_us)
{
    struct bb_upstream_other *o = find_other(u, id, started_ms);

    if (o == NULL) {
        o = add_other(u, id, started_ms);
    }
    if (o->first_heard_us == 0 || o->first_heard_us <= u->last_heard_us) {
        o->first_heard_us = now_us;
    }
    o->last_heard_us = now_us;
    if (strcmp(u->id, id) != 0) {
        u->is_id_disputed = true;
    }
    return o;
}

/* Returns whether another run that was just heard replaces the known one. A
 * start that is not lower suffices if it is ready: the gate admits nothing to
 * it before it is confirmed. Its drain would close the gate to a run that goes
 * on. */
static bool
replaces_known_run(const struct bb_upstream *u,
                   const struct bb_upstream_other *o, uint64_t now_us)
{
    if (has_passed(o->first_heard_us, now_us, BB_UPSTREAM_TAKEOVER_MS)) {
        return true;
    }
    if (o->was_replaced || o->latest.started_ms < u->started_ms ||
        (o->latest.started_ms == u->started_ms && o->has_drained)) {
        return false;
    }
    return !o->has_drained || u->has_drained ||
           has_passed(u->last_heard_us, now_us, BB_UPSTREAM_TAKEOVER_MS);
}

/* Applies the latest announcement of the known run. */
static void
apply_latest(struct bb_upstream *u, const struct bb_announcement *a,
             uint64_t now_us)
{
    g_strlcpy(u->service, a->service, sizeof(u->service));
    g_strlcpy(u->software_version, a->software_version,
              sizeof(u->software_version));
    u->sequence = a->sequence;
    u->slots = a->slots;
    u->last_heard_us = now_us;
    u->is_confirmed = u->is_confirmed || has_passed(u->first_heard_us, now_us,
                                                    BB_UPSTREAM_TRUST_MS);
    u->warm_at_us =
        a->warmup_ms != 0 ? now_us + (uint64_t)a->warmup_ms * BB_US_PER_MS : 0;
    update_state(u);
}

/* Begins a run of which nothing is known yet. Keeps the records of others. */
static void
begin_run(struct bb_upstream *u, const char *id, uint64_t started_ms,
          uint64_t now_us)
{
    memset(u, 0, offsetof(struct bb_upstream, others));
    g_strlcpy(u->id, id, sizeof(u->id));
    u->started_ms = started_ms;
    u->first_heard_us = now_us;
}

/* Keeps the known run as one that was replaced and had ended by `ended_us`. */
static void
remember_known_run(struct bb_upstream *u, uint64_t ended_us)
{
    struct bb_upstream_other *o = add_other(u, u->id, u->started_ms);

    g_strlcpy(o->latest.service, u->service, sizeof(o->latest.service));
    g_strlcpy(o->latest.software_version, u->software_version,
              sizeof(o->latest.software_version));
    o->latest.sequence = u->sequence;
    o->latest.slots = u->slots;
    o->last_heard_us = ended_us;
    o->has_drained = u->has_drained;
    o->was_replaced = true;
    o->is_drain_binding = u->has_drained;
}

/* Makes another run the known one. A run under the same id is as confirmed as
 * the known one: both respond with that id. */
static void
replace_known_run(struct bb_upstream *u, struct bb_upstream_other *other)
{
    struct bb_upstream_other o = *other;
    uint64_t first_heard_us =
        o.first_heard_us != 0 ? o.first_heard_us : o.last_heard_us;
    bool is_confirmed = u->state == BB_INSTANCE_READY && u->is_confirmed &&
                        o.latest.started_ms < u->started_ms &&
                        strcmp(u->id, o.id) == 0;

    memset(other, 0, sizeof(*other));
    remember_known_run(u, first_heard_us);
    begin_run(u, o.id, o.latest.started_ms, first_heard_us);
    u->has_drained = o.has_drained;
    u->is_confirmed = is_confirmed;
    apply_latest(u, &o.latest, o.last_heard_us);
}

/* Applies an announcement of a run that is not the known one. */
static enum bb_announce_result
announce_other(struct bb_upstream *u, const char *id,
               const struct bb_announcement *a, uint64_t now_us)
{
    struct bb_upstream_other *o = hear_other(u, id, a->started_ms, now_us);

    o->has_drained = o->has_drained || a->is_draining;
    if (a->sequence >= o->latest.sequence) {
        o->latest = *a;
    }
    if (!replaces_known_run(u, o, now_us)) {
        return a->is_draining ? BB_ANNOUNCE_UNORDERED : BB_ANNOUNCE_STALE;
    }
    replace_known_run(u, o);
    return BB_ANNOUNCE_ACCEPTED;
}

/* Applies an announcement to the state of the upstream at `address`. A drain
 * is final for its run, so it is applied even if later announcements of the
 * run arrived before it. */
enum bb_announce_result
bb_upstream_announce(struct bb_upstream *u, const char *id,
                     const struct bb_announcement *a, const char *address,
                     uint64_t now_us)
{
    if (strcmp(a->address, address) != 0) {
        return BB_ANNOUNCE_WRONG_ADDRESS;
    }
    if (u->state == BB_INSTANCE_NONE) {
        begin_run(u, id, a->started_ms, now_us);
    }
    else if (!is_known_run(u, id, a->started_ms)) {
        return announce_other(u, id, a, now_us);
    }
    else if (a->sequence <= u->sequence) {
        u->has_drained = u->has_drained || a->is_draining;
        update_state(u);
        return a->is_draining ? BB_ANNOUNCE_ACCEPTED : BB_ANNOUNCE_STALE;
    }
    u->has_drained = u->has_drained || a->is_draining;
    apply_latest(u, a, now_us);
    return BB_ANNOUNCE_ACCEPTED;
}

/* Applies the withdrawal of a run that is not the known one. */
static enum bb_withdraw_result
withdraw_other(struct bb_upstream *u, const char *id, uint64_t started_ms,
               uint64_t now_us)
{
    struct bb_upstream_other *o = find_other(u, id, started_ms);

    if (o != NULL && o->is_drain_binding) {
        return BB_WITHDRAW_STALE;
    }
    o = hear_other(u, id, started_ms, now_us);
    o->has_drained = true;
    if (!replaces_known_run(u, o, now_us)) {
        return BB_WITHDRAW_UNORDERED;
    }
    replace_known_run(u, o);
    return BB_WITHDRAW_APPLIED;
}

/* Returns whether a withdrawal without a start, of the id of the known run,
 * may be that of another run which was heard or replaced lately. */
static bool
is_ambiguous(const struct bb_upstream *u, uint64_t now_us)
{
    for (uint32_t i = 0; i < BB_UPSTREAM_OTHERS_MAX; i++) {
        const struct bb_upstream_other *o = &u->others[i];

        if (strcmp(o->id, u->id) == 0 &&
            !has_passed(o->last_heard_us, now_us, BB_UPSTREAM_TRUST_MS)) {
            return true;
        }
    }
    return false;
}

/* Applies the withdrawal of a run of the upstream; started_ms is its start, 0
 * if not stated. A run that was not known, as after a restart of this node, is
 * recorded as draining. */
enum bb_withdraw_result
bb_upstream_withdraw(struct bb_upstream *u, const char *id,
                     uint64_t started_ms, uint64_t now_us)
{
    if (u->state == BB_INSTANCE_NONE) {
        begin_run(u, id, started_ms, now_us);
    }
    else if (!is_known_run(u, id, started_ms)) {
        return withdraw_other(u, id, started_ms, now_us);
    }
    else if (started_ms == 0 && !u->has_drained && is_ambiguous(u, now_us)) {
        return BB_WITHDRAW_UNORDERED;
    }
    u->has_drained = true;
    update_state(u);
    return BB_WITHDRAW_APPLIED;
}

/* Applies the id that the upstream has stated in a response. Returns whether
 * another run has replaced the known one. */
bool
bb_upstream_identify(struct bb_upstream *u, const char *id)
{
    struct bb_upstream_other *o = find_other(u, id, 0);

    u->is_id_disputed = false;
    if (o == NULL || strcmp(u->id, id) == 0) {
        return false;
    }
    replace_known_run(u, o);
    return true;
}

/* Records that the known run takes requests. */
void
bb_upstream_confirm(struct bb_upstream *u)
{
    u->is_confirmed = true;
}

/* Applies what the known run says of itself in a response. */
void
bb_upstream_apply_report(struct bb_upstream *u,
                         const struct bb_upstream_report *r)
{
    u->is_leaving = r->is_leaving;
    update_state(u);
}
