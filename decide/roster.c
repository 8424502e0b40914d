#include "decide/roster.h"

#include <string.h>

#include "common/digest.h"

/* Returns a hash of a list of hosts, which depends on their order. */
static uint64_t
hash_hosts(const uint64_t *hosts, uint32_t count)
{
    return bb_hash64(hosts, count * sizeof(hosts[0]), count);
}

/* Returns whether a list contains a host. */
static bool
has_host(const uint64_t *hosts, uint32_t count, uint64_t host)
{
    for (uint32_t i = 0; i < count; i++) {
        if (hosts[i] == host) {
            return true;
        }
    }
    return false;
}

/* Returns the tracked state of a host, or NULL if it is not tracked. */
static struct bb_roster_known_host *
find_known_host(struct bb_roster_planner *p, uint64_t host)
{
    for (uint32_t i = 0; i < p->known_host_count; i++) {
        if (p->known_hosts[i].host == host) {
            return &p->known_hosts[i];
        }
    }
    return NULL;
}

/* Returns the tracked state of a host; starts to track it if needed. Returns
 * NULL if BB_ROSTER_KNOWN_HOSTS_MAX hosts are tracked already, which only
 * delays the use of this host. */
static struct bb_roster_known_host *
find_or_add_known_host(struct bb_roster_planner *p, uint64_t host,
                       uint64_t now_us)
{
    struct bb_roster_known_host *s = find_known_host(p, host);

    if (s == NULL && p->known_host_count < BB_ROSTER_KNOWN_HOSTS_MAX) {
        s = &p->known_hosts[p->known_host_count++];
        *s = (struct bb_roster_known_host){.host = host,
                                           .absent_since_us = now_us};
    }
    return s;
}

/* Updates the tracked state of a host and the times of its last changes. */
static void
update_known_host(struct bb_roster_known_host *s,
                  const struct bb_roster_host *h, uint64_t epoch,
                  uint64_t now_us)
{
    if (h->is_ready && !s->is_ready) {
        s->ready_since_us = now_us;
    }
    if (!h->is_present && s->is_present) {
        s->absent_since_us = now_us;
    }
    s->is_ready = h->is_ready;
    s->is_present = h->is_present;
    s->is_in_input = true;
    /* Never unset: a host does not return to an earlier epoch. */
    if (h->has_adopted) {
        s->adopted_epoch = epoch;
    }
}

/* Stops tracking hosts that are neither present nor in the roster, with its
 * previous list. */
static void
remove_unneeded_hosts(struct bb_roster_planner *p, const struct bb_roster *r)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < p->known_host_count; i++) {
        const struct bb_roster_known_host *s = &p->known_hosts[i];

        if (s->is_present || has_host(r->hosts, r->host_count, s->host) ||
            has_host(r->previous, r->previous_count, s->host)) {
            p->known_hosts[kept] = *s;
            kept++;
        }
    }
    p->known_host_count = kept;
}

/* Updates the epoch and the time of the last change of hosts. A roster that
 * this process sees for the first time counts as changed now. */
static void
update_epoch(struct bb_roster_planner *p, const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->current;
    uint64_t hash = hash_hosts(r->hosts, r->host_count);

    if (r->epoch != p->epoch) {
        if (hash != p->hosts_hash || p->epoch == 0) {
            p->hosts_changed_us = in->now_us;
        }
        p->epoch = r->epoch;
        p->hosts_hash = hash;
        p->is_adopted = false;
    }
}

/* Updates the tracked state of all hosts from the input. */
static void
update_known_hosts(struct bb_roster_planner *p,
                   const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->current;

    for (uint32_t i = 0; i < p->known_host_count; i++) {
        p->known_hosts[i].is_in_input = false;
    }
    /* The roster's hosts come first, so that there is room for them. */
    for (uint32_t i = 0; i < r->host_count; i++) {
        (void)find_or_add_known_host(p, r->hosts[i], in->now_us);
    }
    for (uint32_t i = 0; i < in->host_count; i++) {
        struct bb_roster_known_host *s =
            find_or_add_known_host(p, in->hosts[i].host, in->now_us);

        if (s != NULL) {
            update_known_host(s, &in->hosts[i], p->epoch, in->now_us);
        }
    }
    for (uint32_t i = 0; i < p->known_host_count; i++) {
        if (!p->known_hosts[i].is_in_input) {
            update_known_host(&p->known_hosts[i], &(struct bb_roster_host){0},
                              p->epoch, in->now_us);
        }
    }
    remove_unneeded_hosts(p, r);
}

/* Plans the first roster, of all ready hosts, once they are enough for a
 * quorum and have been the same for BB_ROSTER_FIRST_STABLE_US. Returns false
 * before that: a smaller roster could grant no claim, and the next host could
 * be added only after the retention time. */
static bool
plan_first(struct bb_roster_planner *p, const struct bb_roster_input *in,
           struct bb_roster *next)
{
    uint32_t count = 0;
    uint64_t hash = 0;

    *next = (struct bb_roster){.epoch = in->first_epoch};
    for (uint32_t i = 0; i < in->host_count; i++) {
        if (in->hosts[i].is_ready && next->host_count < BB_ROSTER_HOSTS_MAX) {
            next->hosts[next->host_count++] = in->hosts[i].host;
            /* A sum does not depend on the order of the hosts. */
            hash += bb_hash64(&in->hosts[i].host, sizeof(uint64_t), 0);
            count++;
        }
    }
    if (count != p->ready_count || hash != p->ready_hash) {
        p->ready_count = count;
        p->ready_hash = hash;
        p->ready_since_us = in->now_us;
    }
    return count >= BB_CLAIM_QUORUM &&
           in->now_us - p->ready_since_us >= BB_ROSTER_FIRST_STABLE_US;
}

/* Plans a roster without the previous list, once no quorum of the previous
 * hosts can grant claims under it and the claims granted before are no longer
 * kept. Returns false before that. */
static bool
plan_settle(struct bb_roster_planner *p, const struct bb_roster_input *in,
            struct bb_roster *next)
{
    const struct bb_roster *r = in->current;
    uint32_t adopted = 0;

    for (uint32_t i = 0; i < r->previous_count; i++) {
        const struct bb_roster_known_host *s =
            find_known_host(p, r->previous[i]);

        adopted += s != NULL && s->adopted_epoch == r->epoch;
    }
    if (adopted + 1 < r->previous_count) {
        return false;
    }
    if (!p->is_adopted) {
        p->is_adopted = true;
        p->adopted_us = in->now_us;
    }
    if (!bb_roster_can_drop_previous(r->previous_count, adopted, p->adopted_us,
                                     in->retention_us, in->now_us)) {
        return false;
    }
    *next = *r;
    next->epoch = r->epoch + 1;
    next->previous_count = 0;
    memset(next->previous, 0, sizeof(next->previous));
    return true;
}

/* Returns the host of the roster that has been absent longest, for at least
 * BB_ROSTER_REMOVE_AFTER_US, or NULL if there is none. */
static const struct bb_roster_known_host *
find_longest_absent(struct bb_roster_planner *p,
                    const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->current;
    const struct bb_roster_known_host *best = NULL;

    for (uint32_t i = 0; i < r->host_count; i++) {
        const struct bb_roster_known_host *s = find_known_host(p, r->hosts[i]);

        if (s != NULL && !s->is_present &&
            in->now_us - s->absent_since_us >= BB_ROSTER_REMOVE_AFTER_US &&
            (best == NULL || s->absent_since_us < best->absent_since_us)) {
            best = s;
        }
    }
    return best;
}

/* Returns the host outside the roster that has been ready longest, for at
 * least BB_ROSTER_ADD_AFTER_US, or NULL if there is none. */
static const struct bb_roster_known_host *
find_longest_ready(const struct bb_roster_planner *p,
                   const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->current;
    const struct bb_roster_known_host *best = NULL;

    for (uint32_t i = 0; i < p->known_host_count; i++) {
        const struct bb_roster_known_host *s = &p->known_hosts[i];

        if (s->is_ready && !has_host(r->hosts, r->host_count, s->host) &&
            in->now_us - s->ready_since_us >= BB_ROSTER_ADD_AFTER_US &&
            (best == NULL || s->ready_since_us < best->ready_since_us)) {
            best = s;
        }
    }
    return best;
}

/* Plans a roster with one host replaced, added or removed. Returns false if no
 * host is to change or the last change is less than the retention time ago. An
 * absent host is not removed, without replacement, from a roster as small as a
 * claim set: the other hosts would be asked for the same grants anyway, and
 * the absent one could not help when it returns. */
static bool
plan_change(struct bb_roster_planner *p, const struct bb_roster_input *in,
            struct bb_roster *next)
{
    const struct bb_roster *r = in->current;
    const struct bb_roster_known_host *absent = find_longest_absent(p, in);
    const struct bb_roster_known_host *new = find_longest_ready(p, in);
    bool can_add =
        new != NULL && (absent != NULL || r->host_count < BB_ROSTER_HOSTS_MAX);

    if (in->now_us - p->hosts_changed_us < in->retention_us ||
        (!can_add && (absent == NULL || r->host_count <= BB_CLAIM_SET_SIZE))) {
        return false;
    }
    *next = (struct bb_roster){.epoch = r->epoch + 1,
                               .previous_count = r->host_count};
    memcpy(next->previous, r->hosts, sizeof(next->previous));
    for (uint32_t i = 0; i < r->host_count; i++) {
        if (absent == NULL || r->hosts[i] != absent->host) {
            next->hosts[next->host_count++] = r->hosts[i];
        }
    }
    if (can_add) {
        next->hosts[next->host_count++] = new->host;
    }
    return true;
}

/* Updates the planner and returns whether another roster, stored in *next,
 * should be proposed now; *next is undefined otherwise. Must be called at
 * least every second in every process that may have to propose a roster, as
 * the times are measured from what was observed in these calls. */
bool
bb_roster_plan_next(struct bb_roster_planner *p,
                    const struct bb_roster_input *in, struct bb_roster *next)
{
    if (in->current->epoch == 0) {
        return plan_first(p, in, next);
    }
    update_epoch(p, in);
    update_known_hosts(p, in);
    if (in->current->previous_count > 0) {
        return plan_settle(p, in, next);
    }
    return plan_change(p, in, next);
}
