#include "decide/roster.h"

#include <string.h>

#include "common/digest.h"

/* Hashes a list of hosts. */
static uint64_t
hash_hosts(const uint64_t *hosts, uint32_t count)
{
    return bb_hash64(hosts, count * sizeof(hosts[0]), count);
}

/* Tells whether a list has a host. */
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

/* Returns what is remembered of a host, or NULL. */
static struct bb_roster_seen *
find_seen(struct bb_roster_planner *p, uint64_t host)
{
    for (uint32_t i = 0; i < p->seen_count; i++) {
        if (p->seen[i].host == host) {
            return &p->seen[i];
        }
    }
    return NULL;
}

/* Returns what is remembered of a host, and begins to if there is room. A
 * host without room is left out, which only delays its use. */
static struct bb_roster_seen *
find_or_add(struct bb_roster_planner *p, uint64_t host, uint64_t now_us)
{
    struct bb_roster_seen *s = find_seen(p, host);

    if (s == NULL && p->seen_count < BB_ROSTER_SEEN_MAX) {
        s = &p->seen[p->seen_count++];
        *s = (struct bb_roster_seen){.host = host, .gone_since_us = now_us};
    }
    return s;
}

/* Records what is known of a host now, and since when. */
static void
note_host(struct bb_roster_seen *s, const struct bb_roster_host *h,
          uint64_t epoch, uint64_t now_us)
{
    if (h->is_ready && !s->is_ready) {
        s->ready_since_us = now_us;
    }
    if (!h->is_there && s->is_there) {
        s->gone_since_us = now_us;
    }
    s->is_ready = h->is_ready;
    s->is_there = h->is_there;
    s->is_listed = true;
    /* Kept for the epoch: a host does not return to an earlier one. */
    if (h->has_adopted) {
        s->adopted_epoch = epoch;
    }
}

/* Forgets hosts that are neither there nor in the roster. */
static void
forget_hosts(struct bb_roster_planner *p, const struct bb_roster *r)
{
    uint32_t kept = 0;

    for (uint32_t i = 0; i < p->seen_count; i++) {
        const struct bb_roster_seen *s = &p->seen[i];

        if (s->is_there || has_host(r->hosts, r->host_count, s->host) ||
            has_host(r->previous, r->previous_count, s->host)) {
            p->seen[kept] = *s;
            kept++;
        }
    }
    p->seen_count = kept;
}

/* Takes note of the present roster; one that is new to this process counts as
 * changed now. */
static void
note_roster(struct bb_roster_planner *p, const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->present;
    uint64_t hash = hash_hosts(r->hosts, r->host_count);

    if (r->epoch != p->epoch) {
        if (hash != p->hosts_hash || p->epoch == 0) {
            p->changed_us = in->now_us;
        }
        p->epoch = r->epoch;
        p->hosts_hash = hash;
        p->is_adopted = false;
    }
}

/* Takes note of all hosts. */
static void
note_hosts(struct bb_roster_planner *p, const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->present;

    for (uint32_t i = 0; i < p->seen_count; i++) {
        p->seen[i].is_listed = false;
    }
    /* The roster's hosts come first, so that they have room. */
    for (uint32_t i = 0; i < r->host_count; i++) {
        (void)find_or_add(p, r->hosts[i], in->now_us);
    }
    for (uint32_t i = 0; i < in->host_count; i++) {
        struct bb_roster_seen *s =
            find_or_add(p, in->hosts[i].host, in->now_us);

        if (s != NULL) {
            note_host(s, &in->hosts[i], p->epoch, in->now_us);
        }
    }
    for (uint32_t i = 0; i < p->seen_count; i++) {
        if (!p->seen[i].is_listed) {
            note_host(&p->seen[i], &(struct bb_roster_host){0}, p->epoch,
                      in->now_us);
        }
    }
    forget_hosts(p, r);
}

/* Makes the first roster of all ready hosts once they have been the same for
 * long enough. A roster without a quorum would grant nothing, and the next
 * host could join it only after the retention time. */
static bool
make_first(struct bb_roster_planner *p, const struct bb_roster_input *in,
           struct bb_roster *next)
{
    uint32_t count = 0;
    uint64_t hash = 0;

    *next = (struct bb_roster){.epoch = in->first_epoch};
    for (uint32_t i = 0; i < in->host_count; i++) {
        if (in->hosts[i].is_ready && next->host_count < BB_ROSTER_HOSTS_MAX) {
            next->hosts[next->host_count++] = in->hosts[i].host;
            /* A sum, as the order of the hosts may change. */
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
           in->now_us - p->ready_since_us >= BB_ROSTER_STABLE_US;
}

/* Drops the previous list once no quorum of its hosts can grant under it and
 * the claims granted before are no longer kept. */
static bool
settle(struct bb_roster_planner *p, const struct bb_roster_input *in,
       struct bb_roster *next)
{
    const struct bb_roster *r = in->present;
    uint32_t adopted = 0;

    for (uint32_t i = 0; i < r->previous_count; i++) {
        const struct bb_roster_seen *s = find_seen(p, r->previous[i]);

        adopted += s != NULL && s->adopted_epoch == r->epoch;
    }
    if (adopted + 1 < r->previous_count) {
        return false;
    }
    if (!p->is_adopted) {
        p->is_adopted = true;
        p->adopted_us = in->now_us;
    }
    if (!bb_roster_may_settle(r->previous_count, adopted, p->adopted_us,
                              in->retention_us, in->now_us)) {
        return false;
    }
    *next = *r;
    next->epoch = r->epoch + 1;
    next->previous_count = 0;
    memset(next->previous, 0, sizeof(next->previous));
    return true;
}

/* Returns the host of the roster that has been gone longest, for at least the
 * time that counts, or NULL. */
static const struct bb_roster_seen *
find_gone(struct bb_roster_planner *p, const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->present;
    const struct bb_roster_seen *best = NULL;

    for (uint32_t i = 0; i < r->host_count; i++) {
        const struct bb_roster_seen *s = find_seen(p, r->hosts[i]);

        if (s != NULL && !s->is_there &&
            in->now_us - s->gone_since_us >= BB_ROSTER_GONE_US &&
            (best == NULL || s->gone_since_us < best->gone_since_us)) {
            best = s;
        }
    }
    return best;
}

/* Returns the host outside the roster that has been ready longest, for at
 * least the time that counts, or NULL. */
static const struct bb_roster_seen *
find_new(const struct bb_roster_planner *p, const struct bb_roster_input *in)
{
    const struct bb_roster *r = in->present;
    const struct bb_roster_seen *best = NULL;

    for (uint32_t i = 0; i < p->seen_count; i++) {
        const struct bb_roster_seen *s = &p->seen[i];

        if (s->is_ready && !has_host(r->hosts, r->host_count, s->host) &&
            in->now_us - s->ready_since_us >= BB_ROSTER_NEW_US &&
            (best == NULL || s->ready_since_us < best->ready_since_us)) {
            best = s;
        }
    }
    return best;
}

/* Replaces, adds or removes one host. A host that is gone is not removed
 * from a roster as small as a claim set: the others would be asked for the
 * same grants, and the host could not help when it returns. */
static bool
change(struct bb_roster_planner *p, const struct bb_roster_input *in,
       struct bb_roster *next)
{
    const struct bb_roster *r = in->present;
    const struct bb_roster_seen *gone = find_gone(p, in);
    const struct bb_roster_seen *new = find_new(p, in);
    bool can_add =
        new != NULL && (gone != NULL || r->host_count < BB_ROSTER_HOSTS_MAX);

    if (in->now_us - p->changed_us < in->retention_us ||
        (!can_add && (gone == NULL || r->host_count <= BB_CLAIM_SET))) {
        return false;
    }
    *next = (struct bb_roster){.epoch = r->epoch + 1,
                               .previous_count = r->host_count};
    memcpy(next->previous, r->hosts, sizeof(next->previous));
    for (uint32_t i = 0; i < r->host_count; i++) {
        if (gone == NULL || r->hosts[i] != gone->host) {
            next->hosts[next->host_count++] = r->hosts[i];
        }
    }
    if (can_add) {
        next->hosts[next->host_count++] = new->host;
    }
    return true;
}

/* Takes note of the present state of a service and returns whether another
 * roster should be proposed now. The step has to be repeated, at least every
 * second, on every process that may come to propose. */
bool
bb_roster_step(struct bb_roster_planner *p, const struct bb_roster_input *in,
               struct bb_roster *next)
{
    if (in->present->epoch == 0) {
        return make_first(p, in, next);
    }
    note_roster(p, in);
    note_hosts(p, in);
    if (in->present->previous_count > 0) {
        return settle(p, in, next);
    }
    return change(p, in, next);
}
