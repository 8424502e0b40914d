/* Orders the announcements and withdrawals of an upstream. */
#include "path/upstream.h"

#include <string.h>

#include "common/clock.h"

/* Returns whether an announcement is older than the known state: its run of
 * the upstream started earlier, or is the same one and its sequence is not
 * higher. Two ids with the same start cannot be ordered; the one announced
 * last replaces the other. */
static bool
is_stale(const struct bb_upstream *u, const char *id,
         const struct bb_announcement *a)
{
    bool is_same_id = strcmp(u->id, id) == 0;

    if (u->state == BB_INSTANCE_NONE) {
        return false;
    }
    if (a->started_ms != u->started_ms) {
        return a->started_ms < u->started_ms;
    }
    return is_same_id && a->sequence <= u->sequence;
}

/* Applies an announcement to the state of the upstream at `address`. An
 * upstream that drains keeps this state until another run of it starts. */
enum bb_announce_result
bb_upstream_announce(struct bb_upstream *u, const char *id,
                     const struct bb_announcement *a, const char *address,
                     uint64_t now_us)
{
    bool is_new = strcmp(u->id, id) != 0 || a->started_ms != u->started_ms;

    if (strcmp(a->address, address) != 0) {
        return BB_ANNOUNCE_WRONG_ADDRESS;
    }
    if (is_stale(u, id, a)) {
        return BB_ANNOUNCE_STALE;
    }
    if (is_new) {
        memset(u, 0, sizeof(*u));
        g_strlcpy(u->id, id, sizeof(u->id));
        u->started_ms = a->started_ms;
    }
    g_strlcpy(u->service, a->service, sizeof(u->service));
    u->sequence = a->sequence;
    u->slots = a->slots;
    u->last_heard_us = now_us;
    u->warm_at_us =
        a->warmup_ms != 0 ? now_us + (uint64_t)a->warmup_ms * BB_US_PER_MS : 0;
    if (a->is_draining || u->state == BB_INSTANCE_DRAINING) {
        u->state = BB_INSTANCE_DRAINING;
    }
    else {
        u->state = BB_INSTANCE_READY;
    }
    return BB_ANNOUNCE_ACCEPTED;
}

/* Applies the withdrawal of a run of the upstream; started_ms is its start, 0
 * if not stated. Returns whether it was applied, also if the upstream was
 * draining before; false if it is of an older run or of another id with the
 * same start, or states no start and its id is not the known one. A run that
 * was not known, as after a restart of this node, is recorded as draining, so
 * that a delayed announcement does not make it ready again. */
bool
bb_upstream_withdraw(struct bb_upstream *u, const char *id,
                     uint64_t started_ms)
{
    bool is_known = u->state != BB_INSTANCE_NONE;
    bool is_same_id = is_known && strcmp(u->id, id) == 0;

    if (started_ms == 0 && !is_same_id) {
        return false; /* no start stated, and the id is not the known one */
    }
    if (is_known && started_ms != 0 && started_ms < u->started_ms) {
        return false;
    }
    if (!is_same_id && is_known && started_ms == u->started_ms) {
        return false;
    }
    if (!is_known || (started_ms != 0 && started_ms != u->started_ms)) {
        memset(u, 0, sizeof(*u));
        g_strlcpy(u->id, id, sizeof(u->id));
        u->started_ms = started_ms;
    }
    u->state = BB_INSTANCE_DRAINING;
    return true;
}
