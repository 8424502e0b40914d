/* Quotas at a control host. */
#include <glib.h>
#include <math.h>

#include "decide/quota.h"

enum { US_PER_MS = 1000, US_PER_S = 1000000, MILLI = 1000 };

/* Time over which the demand is averaged. 0.5 s let windows exceed their bound
 * by 8% when demand at the rate jumped to 4.7 times of it, 0.3 s by 2%. */
static const double DEMAND_S = 0.3;
/* Time over which the level is spent; above the time from a request to the
 * ratio that it causes, so that the ratio does not oscillate. */
static const double SPEND_S = 0.5;
/* Part of the tolerance of a window that enlarges the bucket. */
static const double SLACK_PART = 0.015;
static const double SLACK_REQUESTS = 10;
static const double WINDOW_S = 5; /* for that part */
/* Part of the burst that is spread over the window. The rest covers a jump of
 * the demand, which is known only some 0.1 to 0.3 s later. */
static const double SPREAD_PART = 0.5;
/* Part of the bucket below which a team counts as over its rate. */
static const double LOW_PART = 0.1;
/* Usage of nodes that is held back from other control hosts, as a part of the
 * bucket, and its longest delay. */
static const double HELD_PART = 0.1;
/* Random demand of small teams is no jump. */
enum { JUMP_REQUESTS = 6 };
enum { HELD_MAX_MS = 1000 };
enum { RAISE_MS = 1500 }; /* above HELD_MAX_MS, as held totals are late */
/* A bucket above this part of its size, with the demand below the rate, is far
 * from its limit. */
static const double FAR_PART = 0.7;

/* Bounds the estimate of what the other side of a partition has used. */
static const double SHARE_MIN = 0.1;

/* A team at a control host. Levels are in requests, rates in requests a
 * second. */
struct core_team {
    uint64_t id;        /* key */
    uint32_t rate_mrps; /* in force */
    uint32_t burst;
    uint64_t stated_us; /* when this limit or a lower one was reported last */
    uint32_t own_rate_mrps; /* as the own nodes reported last */
    uint32_t own_burst;
    double level; /* below 0: overdrawn */
    /* Over its rate for a whole window, and not below it for one since: the
     * burst is spread over the window. */
    bool is_sustained;
    uint64_t steady_since_us; /* since when a change of that is due, 0: not */
    double demand_rate;
    double admitted_rate;
    double interval_admitted; /* since the last tick */
    double interval_demand;
    int64_t held_admitted; /* of own nodes, not in totals yet */
    int64_t held_refused;
    uint64_t held_since_us; /* 0: nothing held */
    bool is_announced;      /* the other control hosts know of it */
    uint64_t used_us;
    uint32_t admitted_ppm;
};

struct core_peer_count {
    uint64_t id;
    uint32_t node_count;
    uint64_t heard_us;
};

struct bb_quota_core {
    /* A team may use rate x window + burst in any window; 0: a token bucket of
     * the burst, filled at the rate. */
    double window_s;
    GHashTable *teams;
    struct core_peer_count peers[BB_QUOTA_PEERS_MAX];
    uint32_t peer_count;
    uint32_t connected;
    uint32_t known;
    uint32_t reachable_hosts;
    double share;   /* n / N */
    bool is_urgent; /* a team's demand has jumped since the last tick */
    uint64_t started_us;
    uint64_t begin_us;  /* of the first team after none */
    uint64_t active_us; /* last tick with a team; 0: none yet */
    uint64_t tick_us;
};

/* Creates the state of a control host. Nothing is known of earlier usage, so
 * all buckets are empty at now_us. window_ms is the time over which quotas are
 * granted, 0: none is stated. */
struct bb_quota_core *
bb_quota_core_create(uint32_t window_ms, uint64_t now_us)
{
    struct bb_quota_core *q = g_new0(struct bb_quota_core, 1);

    q->window_s = (double)window_ms / MILLI;
    q->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    q->share = 1;
    q->reachable_hosts = 1;
    q->started_us = now_us;
    q->tick_us = now_us;
    return q;
}

/* Frees the state. NULL is allowed. */
void
bb_quota_core_destroy(struct bb_quota_core *q)
{
    if (q != NULL) {
        g_hash_table_destroy(q->teams);
        g_free(q);
    }
}

/* Sets how many nodes are connected here and how many are known to the fleet.
 */
void
bb_quota_core_set_nodes(struct bb_quota_core *q, uint32_t connected,
                        uint32_t known)
{
    q->connected = connected;
    q->known = known;
}

static double
team_rate(const struct core_team *t)
{
    return (double)t->rate_mrps / MILLI;
}

/* Returns the part of the burst that is spread over the window: a team may
 * send that much more than its rate without a break and is within its quota in
 * each window. */
static double
burst_rate(const struct bb_quota_core *q, const struct core_team *t)
{
    return q->window_s > 0 ? SPREAD_PART * t->burst / q->window_s : 0;
}

/* Returns the rate at which a team's bucket is filled. */
static double
fill_rate(const struct bb_quota_core *q, const struct core_team *t)
{
    return team_rate(t) + (t->is_sustained ? burst_rate(q, t) : 0);
}

/* Returns the size of a team's bucket for all nodes together. What is filled
 * in addition while a team is over its rate does not become a burst. */
static double
capacity(const struct core_team *t)
{
    return (t->is_sustained ? 0 : t->burst) + SLACK_REQUESTS +
           SLACK_PART * (WINDOW_S * team_rate(t) + t->burst);
}

static double
seconds(uint64_t us)
{
    return (double)us / US_PER_S;
}

/* Returns whether a team is or was lately known, so that the other control
 * hosts need the number of nodes here, and nodes the ratios. */
bool
bb_quota_core_is_active(const struct bb_quota_core *q, uint64_t now_us)
{
    return g_hash_table_size(q->teams) > 0 ||
           (q->active_us != 0 &&
            now_us - q->active_us < (uint64_t)BB_QUOTA_LINGER_MS * US_PER_MS);
}

/* Returns a team, added if it is new: it has used nothing since this host
 * started. Returns NULL if there are too many. */
static struct core_team *
get_team(struct bb_quota_core *q, const struct bb_quota_usage *u,
         uint64_t now_us)
{
    struct core_team *t = g_hash_table_lookup(q->teams, &u->team_id);
    double size;

    if (t == NULL) {
        if (g_hash_table_size(q->teams) >= BB_QUOTA_TEAMS_MAX) {
            return NULL;
        }
        if (!bb_quota_core_is_active(q, now_us)) {
            q->begin_us = now_us;
        }
        t = g_new0(struct core_team, 1);
        t->id = u->team_id;
        t->rate_mrps = u->rate_mrps;
        t->burst = u->burst;
        t->admitted_ppm = BB_QUOTA_PPM;
        size = capacity(t) * q->share;
        t->level = MIN(size, team_rate(t) * q->share *
                                 seconds(now_us - q->started_us));
        g_hash_table_insert(q->teams, &t->id, t);
    }
    return t;
}

/* Applies the limit of a report. A lower one holds at once. A higher one holds
 * once the lower one has not been reported for RAISE_MS: nodes get a
 * configuration one after the other. */
static void
update_limit(struct core_team *t, const struct bb_quota_usage *u,
             uint64_t now_us)
{
    bool is_higher = u->rate_mrps > t->rate_mrps ||
                     (u->rate_mrps == t->rate_mrps && u->burst > t->burst);

    if (is_higher && now_us - t->stated_us < (uint64_t)RAISE_MS * US_PER_MS) {
        return;
    }
    t->rate_mrps = u->rate_mrps;
    t->burst = u->burst;
    t->stated_us = now_us;
}

/* Returns whether a team has sent more since the last tick than its rate, or
 * its demand if it is limited, allows in two intervals. */
static bool
has_jumped(const struct core_team *t)
{
    double usual_rate = t->admitted_ppm == BB_QUOTA_PPM
                            ? team_rate(t)
                            : MAX(team_rate(t), t->demand_rate);

    return t->interval_demand >=
           JUMP_REQUESTS + 2 * usual_rate * BB_QUOTA_INTERVAL_MS / MILLI;
}

/* Returns whether a tick, totals and ratios are due at once. */
bool
bb_quota_core_is_urgent(const struct bb_quota_core *q)
{
    return q->is_urgent;
}

/* Charges usage to a team. `is_own_node`: reported by a node of this host, so
 * that the other control hosts have to get it. */
void
bb_quota_core_add_usage(struct bb_quota_core *q,
                        const struct bb_quota_usage *u, bool is_own_node,
                        uint64_t now_us)
{
    struct core_team *t = get_team(q, u, now_us);

    if (t == NULL) {
        return;
    }
    update_limit(t, u, now_us);
    t->level -= u->admitted;
    t->interval_admitted += u->admitted;
    t->interval_demand += (double)u->admitted + u->refused;
    t->used_us = now_us;
    q->is_urgent = q->is_urgent || has_jumped(t);
    if (is_own_node) {
        t->own_rate_mrps = u->rate_mrps;
        t->own_burst = u->burst;
        t->held_admitted += u->admitted;
        t->held_refused += u->refused;
        if (t->held_since_us == 0) {
            t->held_since_us = now_us;
        }
    }
}

/* Records that totals of another control host arrived, to which node_count
 * nodes are connected. */
void
bb_quota_core_heard_peer(struct bb_quota_core *q, uint64_t peer_id,
                         uint32_t node_count, uint64_t now_us)
{
    uint32_t i = 0;
    uint32_t oldest = 0;

    while (i < q->peer_count && q->peers[i].id != peer_id) {
        if (q->peers[i].heard_us < q->peers[oldest].heard_us) {
            oldest = i;
        }
        i++;
    }
    if (i == BB_QUOTA_PEERS_MAX) {
        i = oldest;
    }
    else if (i == q->peer_count) {
        q->peer_count++;
    }
    q->peers[i] = (struct core_peer_count){
        .id = peer_id, .node_count = node_count, .heard_us = now_us};
}

/* Computes the share of the nodes that report to reachable control hosts. */
static void
update_share(struct bb_quota_core *q, uint64_t now_us)
{
    uint32_t reporting = q->connected;

    q->reachable_hosts = 1;
    for (uint32_t i = 0; i < q->peer_count; i++) {
        if (now_us - q->peers[i].heard_us <
            (uint64_t)BB_QUOTA_PEER_TIMEOUT_MS * US_PER_MS) {
            reporting += q->peers[i].node_count;
            q->reachable_hosts++;
        }
    }
    q->share =
        reporting >= q->known ||
                now_us - q->begin_us < (uint64_t)BB_QUOTA_BEGIN_MS * US_PER_MS
            ? 1
            : (double)reporting / (double)q->known;
}

static double
average(double old, double sample, double elapsed_s)
{
    return old + (sample - old) * (1 - exp(-elapsed_s / DEMAND_S));
}

/* Computes the ratio of a team. */
static uint32_t
compute_ratio(const struct bb_quota_core *q, const struct core_team *t)
{
    double allowed = fill_rate(q, t) * q->share + t->level / SPEND_S;

    if (allowed >= t->demand_rate) {
        return BB_QUOTA_PPM;
    }
    return allowed <= 0 ? 0
                        : (uint32_t)(allowed / t->demand_rate * BB_QUOTA_PPM);
}

/* Leaves the other side its part of a team's bucket when the share falls. What
 * the other side has used since it was heard last is charged too, estimated
 * from the usage of this side. */
static void
split_bucket(const struct bb_quota_core *q, struct core_team *t,
             double last_share)
{
    double silence_s = (double)BB_QUOTA_PEER_TIMEOUT_MS / MILLI;

    t->level -= t->admitted_rate *
                (last_share / MAX(q->share, SHARE_MIN) - 1) * silence_s;
    if (t->level > 0) {
        t->level *= q->share / last_share;
    }
}

/* Decides whether a team's burst is spread over the window. A bucket that is
 * filled at the rate alone would refuse a team that uses rate x window + burst
 * in each window. The level has been low for a whole window before, so that no
 * window contains a burst as well. */
static void
update_sustained(const struct bb_quota_core *q, struct core_team *t)
{
    bool is_over = t->is_sustained
                       ? t->demand_rate >= team_rate(t) * q->share
                       : t->level < LOW_PART * capacity(t) * q->share;

    if (is_over == t->is_sustained) {
        t->steady_since_us = 0;
    }
    else if (t->steady_since_us == 0) {
        t->steady_since_us = q->tick_us;
    }
    else if (seconds(q->tick_us - t->steady_since_us) >= q->window_s) {
        t->is_sustained = !t->is_sustained;
        t->steady_since_us = 0;
    }
}

/* Fills the bucket of a team and updates its demand and ratio. */
static void
update_team(const struct bb_quota_core *q, struct core_team *t,
            double elapsed_s, double last_share)
{
    double rate = fill_rate(q, t) * q->share;
    double debt_max = WINDOW_S * rate + t->burst;

    if (q->share < last_share) {
        split_bucket(q, t, last_share);
    }
    t->level += rate * elapsed_s;
    t->level = MIN(t->level, capacity(t) * q->share);
    t->level = MAX(t->level, -debt_max);
    t->demand_rate =
        average(t->demand_rate, t->interval_demand / elapsed_s, elapsed_s);
    t->admitted_rate =
        average(t->admitted_rate, t->interval_admitted / elapsed_s, elapsed_s);
    t->interval_demand = 0;
    t->interval_admitted = 0;
    if (q->window_s > 0) {
        update_sustained(q, t);
    }
    t->admitted_ppm = compute_ratio(q, t);
}

/* Updates all teams. Call it every BB_QUOTA_INTERVAL_MS, before the totals and
 * the ratios are taken. Teams without requests for BB_QUOTA_IDLE_MS are
 * forgotten once their bucket is full. */
void
bb_quota_core_tick(struct bb_quota_core *q, uint64_t now_us)
{
    double elapsed_s = seconds(now_us - q->tick_us);
    double last_share = q->share;
    GHashTableIter it;
    gpointer value;

    if (now_us <= q->tick_us) {
        return;
    }
    q->tick_us = now_us;
    q->is_urgent = false;
    update_share(q, now_us);
    if (g_hash_table_size(q->teams) > 0) {
        q->active_us = now_us;
    }
    g_hash_table_iter_init(&it, q->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_team *t = value;

        update_team(q, t, elapsed_s, last_share);
        if (now_us - t->used_us >= (uint64_t)BB_QUOTA_IDLE_MS * US_PER_MS &&
            t->held_since_us == 0 &&
            (t->level >= capacity(t) * q->share ||
             now_us - t->used_us >=
                 (uint64_t)10 * BB_QUOTA_IDLE_MS * US_PER_MS)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Returns the part of the quotas that the reachable nodes may use. */
uint32_t
bb_quota_core_share_permille(const struct bb_quota_core *q)
{
    return (uint32_t)(q->share * MILLI);
}

/* Returns whether held usage of a team may wait: it is far from its limit and
 * all control hosts together hold back little. */
static bool
can_hold(const struct bb_quota_core *q, const struct core_team *t,
         uint64_t now_us)
{
    double size = capacity(t) * q->share;

    return t->is_announced && t->level >= FAR_PART * size &&
           t->demand_rate < team_rate(t) * q->share &&
           (double)(t->held_admitted + t->held_refused) <=
               HELD_PART * size / q->reachable_hosts &&
           now_us - t->held_since_us <
               (uint64_t)(HELD_MAX_MS - BB_QUOTA_INTERVAL_MS / 2) * US_PER_MS;
}

/* Takes up to `max` sums of the own nodes for the other control hosts; returns
 * their number. Usage of teams far from their limit is held back for up to a
 * second. */
uint32_t
bb_quota_core_take_totals(struct bb_quota_core *q, struct bb_quota_usage *out,
                          uint32_t max, uint64_t now_us)
{
    uint32_t count = 0;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, q->teams);
    while (count < max && g_hash_table_iter_next(&it, NULL, &value)) {
        struct core_team *t = value;

        if (t->held_since_us == 0 || can_hold(q, t, now_us)) {
            continue;
        }
        out[count++] = (struct bb_quota_usage){
            .team_id = t->id,
            .rate_mrps = t->own_rate_mrps,
            .burst = t->own_burst,
            .admitted = (int32_t)CLAMP(t->held_admitted, INT32_MIN, INT32_MAX),
            .refused = (uint32_t)MIN(t->held_refused, UINT32_MAX)};
        t->held_admitted = 0;
        t->held_refused = 0;
        t->held_since_us = 0;
        t->is_announced = true;
    }
    return count;
}

/* Writes up to `max` ratios of the limited teams; returns their number. */
uint32_t
bb_quota_core_ratios(const struct bb_quota_core *q, struct bb_quota_ratio *out,
                     uint32_t max)
{
    uint32_t count = 0;
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, q->teams);
    while (count < max && g_hash_table_iter_next(&it, NULL, &value)) {
        const struct core_team *t = value;

        if (t->admitted_ppm < BB_QUOTA_PPM) {
            out[count++] = (struct bb_quota_ratio){
                .team_id = t->id, .admitted_ppm = t->admitted_ppm};
        }
    }
    return count;
}
