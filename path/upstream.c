/* Orders the announcements and withdrawals of an upstream. */
#include "path/upstream.h"

#include <string.h>

#include "common/clock.h"

/* Returns whether an id and a start, 0 if not stated, name the known run. */
static bool
is_same_run(const struct bb_upstream *u, const char *id, uint64_t started_ms)
{
    return strcmp(u->id, id) == 0 &&
           (started_ms == 0 || started_ms == u->started_ms);
}

/* Returns whether an announcement is older than the known state: its run of
 * the upstream started earlier, or is the same one and its sequence is not
 * higher. Two ids with the same start cannot be ordered; the one announced
 * last replaces the other. */
static bool
is_stale(const struct bb_upstream *u, const char *id,
         const struct bb_announcement *a)
{
    if (u->state == BB_INSTANCE_NONE) {
        return false;
    }
    if (is_same_run(u, id, a->started_ms)) {
        return a->sequence <= u->sequence;
    }
    return a->started_ms < u->started_ms;
}

/* Derives the state of an upstream that has announced itself. */
static void
update_state(struct bb_upstream *u)
{
    u->state = u->has_drained || u->is_leaving ? BB_INSTANCE_DRAINING
                                               : BB_INSTANCE_READY;
}

/* Begins a run of which nothing is known yet. */
static void
begin_run(struct bb_upstream *u, const char *id, uint64_t started_ms)
{
    memset(u, 0, sizeof(*u));
    g_strlcpy(u->id, id, sizeof(u->id));
    u->started_ms = started_ms;
}

/* Applies an announcement to the state of the upstream at `address`. A drain
 * is final for its run, so it is applied even if later announcements of the
 * run arrived before it. */
enum bb_announce_result
bb_upstream_announce(struct bb_upstream *u, const char *id,
                     const struct bb_announcement *a, const char *address,
                     uint64_t now_us)
{
    bool is_known_run =
        u->state != BB_INSTANCE_NONE && is_same_run(u, id, a->started_ms);

    if (strcmp(a->address, address) != 0) {
        return BB_ANNOUNCE_WRONG_ADDRESS;
    }
    if (is_known_run && a->is_draining) {
        u->has_drained = true;
        update_state(u);
    }
    if (is_stale(u, id, a)) {
        if (is_known_run && a->is_draining) {
            return BB_ANNOUNCE_ACCEPTED;
        }
        return a->is_draining && a->started_ms == 0 ? BB_ANNOUNCE_UNORDERED
                                                    : BB_ANNOUNCE_STALE;
    }
    if (!is_known_run) {
        begin_run(u, id, a->started_ms);
        u->first_heard_us = now_us;
        u->has_drained = a->is_draining;
    }
    g_strlcpy(u->service, a->service, sizeof(u->service));
    u->sequence = a->sequence;
    u->slots = a->slots;
    u->last_heard_us = now_us;
    u->is_confirmed =
        u->is_confirmed || now_us - u->first_heard_us >=
                               (uint64_t)BB_UPSTREAM_TRUST_MS * BB_US_PER_MS;
    u->warm_at_us =
        a->warmup_ms != 0 ? now_us + (uint64_t)a->warmup_ms * BB_US_PER_MS : 0;
    update_state(u);
    return BB_ANNOUNCE_ACCEPTED;
}

/* Applies the withdrawal of a run of the upstream; started_ms is its start, 0
 * if not stated. A run that was not known, as after a restart of this node, is
 * recorded as draining. */
enum bb_withdraw_result
bb_upstream_withdraw(struct bb_upstream *u, const char *id,
                     uint64_t started_ms)
{
    bool is_known = u->state != BB_INSTANCE_NONE;

    if (is_known && !is_same_run(u, id, started_ms)) {
        if (started_ms == 0 || started_ms == u->started_ms) {
            return BB_WITHDRAW_UNORDERED;
        }
        if (started_ms < u->started_ms) {
            return BB_WITHDRAW_STALE;
        }
        is_known = false;
    }
    if (!is_known) {
        begin_run(u, id, started_ms);
    }
    u->has_drained = true;
    update_state(u);
    return BB_WITHDRAW_APPLIED;
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
