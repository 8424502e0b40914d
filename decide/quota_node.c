/* Quotas at a node. */
#include <glib.h>

#include "decide/quota.h"
#include "decide/upstream_limit.h"

enum {
    US_PER_MS = 1000,
    US_PER_S = 1000000,
    MILLI = 1000,
    JUMP_REQUESTS = 6,
    RETRY_MIN_MS = 100,
    RETRY_MAX_MS = 1000
};

/* Size of the bucket that one node alone may use, beyond the burst; at least
 * that of the control hosts (quota_core.c). */
static const double CEILING_SLACK_PART = 0.015;
static const double CEILING_SLACK_REQUESTS = 11;
static const double WINDOW_S = 5;
/* A quiet node goes on at its usual rate, averaged over this time. */
static const double USUAL_S = 3;
static const double QUIET_FACTOR = 1.25;
static const double QUIET_BURST = 2;

/* A team at a node. Levels are in requests. */
struct node_team {
    uint64_t id; /* key */
    uint32_t rate_mrps;
    uint32_t burst;
    int32_t admitted; /* since the last report */
    uint32_t refused;
    int32_t sent_admitted; /* of the last report */
    uint32_t sent_refused;
    uint32_t admitted_ppm;
    double ceiling_level; /* full quota, used by this node alone */
    double alone_level;   /* part of this node, while it hears nothing */
    double quiet_level;   /* usual rate of this node */
    double usual_rate;    /* average of the admitted requests a second */
    bool is_alone;        /* at the last request */
    bool is_used;         /* had a request; else only its ratio is known */
    uint64_t filled_us;
    uint64_t used_us;
    struct bb_return_schedule returns;
};

struct bb_quota_node {
    GHashTable *teams;
    uint32_t node_count;     /* known nodes with this one; 0: not known */
    uint64_t heard_us;       /* last message of a control host; 0: none */
    uint64_t last_ratios_us; /* last message with ratios */
    uint64_t ratios_us;      /* last ratios; 0: none in force */
    uint64_t running_us;     /* last call that stated the time */
    uint64_t trusted_us;     /* messages before this time may be old */
    bool is_urgent;     /* a team's demand has jumped since the last report */
    uint64_t report_us; /* last report */
    uint64_t expiry_us; /* last search for idle teams */
};

/* Creates the state of a node, which has heard nothing. */
struct bb_quota_node *
bb_quota_node_create(uint64_t now_us)
{
    struct bb_quota_node *q = g_new0(struct bb_quota_node, 1);

    q->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    q->running_us = now_us;
    return q;
}

/* Frees the state. NULL is allowed. */
void
bb_quota_node_destroy(struct bb_quota_node *q)
{
    if (q != NULL) {
        g_hash_table_destroy(q->teams);
        g_free(q);
    }
}

/* Records that the process runs. After a gap, the messages that waited in its
 * sockets may be older than the gap. */
static void
note_running(struct bb_quota_node *q, uint64_t now_us)
{
    if (now_us - q->running_us >= (uint64_t)BB_QUOTA_FROZEN_MS * US_PER_MS) {
        q->heard_us = 0;
        q->trusted_us = now_us + (uint64_t)BB_QUOTA_WAKE_MS * US_PER_MS;
    }
    q->running_us = now_us;
}

/* Returns whether no control host was heard for BB_QUOTA_SILENCE_MS, so that
 * the node admits its own part only. */
bool
bb_quota_node_is_alone(const struct bb_quota_node *q, uint64_t now_us)
{
    return q->heard_us == 0 ||
           now_us - q->heard_us >= (uint64_t)BB_QUOTA_SILENCE_MS * US_PER_MS;
}

/* Returns whether a control host that sent its ratios at each interval has
 * been silent for BB_QUOTA_QUIET_MS: it may not know of a jump of the demand
 * at this node, so that no ratio for it is to be expected. */
static bool
is_quiet(const struct bb_quota_node *q, uint64_t now_us)
{
    uint64_t quiet_us = (uint64_t)BB_QUOTA_QUIET_MS * US_PER_MS;

    return now_us - q->heard_us >= quiet_us &&
           q->heard_us - q->last_ratios_us < quiet_us;
}

/* Sets the number of nodes that are not gone, with this one. */
void
bb_quota_node_set_known(struct bb_quota_node *q, uint32_t node_count)
{
    q->node_count = node_count;
}

/* Ends all ratios. */
static void
clear_ratios(struct bb_quota_node *q)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, q->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        ((struct node_team *)value)->admitted_ppm = BB_QUOTA_PPM;
    }
    q->ratios_us = 0;
}

/* Records a message of the control host, of any kind. Ratios that were not
 * repeated are over: they are from another control host. */
void
bb_quota_node_heard(struct bb_quota_node *q, uint64_t now_us)
{
    note_running(q, now_us);
    if (now_us < q->trusted_us) {
        return;
    }
    q->heard_us = now_us;
    if (q->ratios_us != 0 &&
        now_us - q->ratios_us >=
            (uint64_t)BB_QUOTA_RATIO_VALID_MS * US_PER_MS) {
        clear_ratios(q);
    }
}

/* Fills the buckets of a team. The part of this node begins at a random
 * fraction of one request, so that nodes that lose touch at the same time do
 * not admit at the same time. */
static void
fill(struct bb_quota_node *q, struct node_team *t, uint64_t random_bits,
     uint64_t now_us)
{
    double rate = (double)t->rate_mrps / MILLI;
    double size = t->burst + CEILING_SLACK_REQUESTS +
                  CEILING_SLACK_PART * (WINDOW_S * rate + t->burst);
    double elapsed_s = (double)(now_us - t->filled_us) / US_PER_S;
    double nodes = MAX(q->node_count, 1);
    bool is_alone = bb_quota_node_is_alone(q, now_us);

    t->filled_us = now_us;
    if (!t->is_used) {
        t->is_used = true;
        t->ceiling_level = size;
        t->quiet_level = QUIET_BURST;
    }
    t->ceiling_level = MIN(t->ceiling_level + rate * elapsed_s, size);
    if (is_alone && !t->is_alone) {
        t->alone_level = (double)(random_bits % BB_QUOTA_PPM) / BB_QUOTA_PPM;
    }
    else {
        t->alone_level += rate / nodes * elapsed_s;
    }
    t->alone_level = MIN(t->alone_level, t->burst / nodes);
    t->quiet_level +=
        MAX(t->usual_rate * QUIET_FACTOR, rate / nodes) * elapsed_s;
    t->quiet_level = MIN(t->quiet_level, QUIET_BURST + t->burst / nodes / 2);
    t->is_alone = is_alone;
}

/* Forgets teams without requests since BB_QUOTA_IDLE_MS; looks for them once a
 * second. */
static void
expire_teams(struct bb_quota_node *q, uint64_t now_us)
{
    uint64_t idle_us = (uint64_t)BB_QUOTA_IDLE_MS * US_PER_MS;
    GHashTableIter it;
    gpointer value;

    if (now_us - q->expiry_us < US_PER_S) {
        return;
    }
    q->expiry_us = now_us;
    g_hash_table_iter_init(&it, q->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        const struct node_team *t = value;

        if (now_us - t->used_us >= idle_us && t->admitted == 0 &&
            t->refused == 0 && t->sent_admitted == 0 && t->sent_refused == 0) {
            g_hash_table_iter_remove(&it);
        }
    }
}

/* Returns a team, added if it is new, or NULL if there are too many. */
static struct node_team *
get_team(struct bb_quota_node *q, uint64_t team_id, uint32_t rate_mrps,
         uint32_t burst, uint64_t now_us)
{
    struct node_team *t = g_hash_table_lookup(q->teams, &team_id);

    if (t == NULL) {
        expire_teams(q, now_us);
        if (g_hash_table_size(q->teams) >= BB_QUOTA_TEAMS_MAX) {
            return NULL;
        }
        t = g_new0(struct node_team, 1);
        t->id = team_id;
        t->admitted_ppm = BB_QUOTA_PPM;
        t->filled_us = now_us;
        g_hash_table_insert(q->teams, &t->id, t);
    }
    t->rate_mrps = rate_mrps;
    t->burst = burst;
    t->used_us = now_us;
    return t;
}

/* Returns after how many milliseconds a refused caller finds credit: one after
 * the other at the rate that this node has lately admitted, at least its part
 * of the team's rate. */
static uint32_t
retry_after_ms(const struct bb_quota_node *q, struct node_team *t,
               uint64_t now_us)
{
    uint32_t part_mrps = t->rate_mrps / MAX(q->node_count, 1);
    uint32_t recent_mrps = (uint32_t)MAX(t->sent_admitted, 0) * MILLI *
                           (MILLI / BB_QUOTA_INTERVAL_MS);
    uint64_t wait_ms = RETRY_MAX_MS;

    if (t->admitted_ppm != 0 && !t->is_alone) {
        wait_ms =
            (uint64_t)BB_QUOTA_INTERVAL_MS * BB_QUOTA_PPM / t->admitted_ppm;
    }
    wait_ms = CLAMP(wait_ms, (uint64_t)RETRY_MIN_MS, (uint64_t)RETRY_MAX_MS);
    return (uint32_t)(bb_return_schedule_take(
                          &t->returns, MAX(MAX(part_mrps, recent_mrps), 1),
                          wait_ms * US_PER_MS, now_us) /
                      US_PER_MS);
}

/* Returns whether a team has sent twice its usual requests of an interval and
 * more since the last report: the control hosts should know before the
 * interval ends. Of a limited team, the usual number is what was admitted,
 * divided by the ratio. */
static bool
has_jumped(const struct node_team *t)
{
    double ratio = MAX(t->admitted_ppm, 1) / (double)BB_QUOTA_PPM;
    double usual = t->usual_rate / ratio * BB_QUOTA_INTERVAL_MS / MILLI;

    return (double)t->admitted + t->refused >= JUMP_REQUESTS + 2 * usual;
}

/* Returns whether a report should be sent at once. */
bool
bb_quota_node_is_urgent(const struct bb_quota_node *q)
{
    return q->is_urgent;
}

/* Returns the probability with which a team's next request is admitted, from
 * buckets that are filled up to now. */
static double
admission_chance(const struct bb_quota_node *q, const struct node_team *t,
                 uint64_t now_us)
{
    if (t->is_alone) {
        return CLAMP(t->alone_level, 0, 1);
    }
    return t->ceiling_level >= 1 &&
                   (!is_quiet(q, now_us) || t->quiet_level >= 1)
               ? t->admitted_ppm / (double)BB_QUOTA_PPM
               : 0;
}

/* Returns the probability, in ppm, with which the next request of a team with
 * a rate above 0 would be admitted, and whether the node would decide by its
 * own bucket. Works on copies: nothing is counted or filled. The random start
 * of the own bucket counts as half a request. */
uint32_t
bb_quota_node_chance_ppm(const struct bb_quota_node *q, uint64_t team_id,
                         uint32_t rate_mrps, uint32_t burst, uint64_t now_us,
                         bool *uses_own_bucket)
{
    const struct node_team *known = g_hash_table_lookup(q->teams, &team_id);
    struct bb_quota_node node = *q;
    struct node_team t = {.admitted_ppm = BB_QUOTA_PPM, .filled_us = now_us};

    if (known != NULL) {
        t = *known;
    }
    t.rate_mrps = rate_mrps;
    t.burst = burst;
    note_running(&node, now_us);
    fill(&node, &t, BB_QUOTA_PPM / 2, now_us);
    *uses_own_bucket = t.is_alone;
    return (uint32_t)(admission_chance(&node, &t, now_us) * BB_QUOTA_PPM);
}

/* Decides on a request of a team with a rate above 0 and counts it. `random`
 * bits must be uniform. If it is refused, sets retry_ms to the time after
 * which the caller may find credit.
 *
 * A node that hears nothing admits by its own part of the rate. Below a whole
 * request it admits with the level as probability, so that many nodes with
 * small parts do not save up a request each. */
bool
bb_quota_node_admit(struct bb_quota_node *q, uint64_t team_id,
                    uint32_t rate_mrps, uint32_t burst, uint64_t random_bits,
                    uint64_t now_us, uint32_t *retry_ms)
{
    struct node_team *t = get_team(q, team_id, rate_mrps, burst, now_us);
    double chance = (double)(random_bits >> 11) / (double)(1ULL << 53);
    bool is_admitted;

    note_running(q, now_us);
    if (t == NULL) {
        *retry_ms = RETRY_MAX_MS;
        return false;
    }
    fill(q, t, random_bits, now_us);
    is_admitted = chance < admission_chance(q, t, now_us);
    if (t->is_alone) {
        t->alone_level -= CLAMP(t->alone_level, 0, 1);
    }
    if (is_admitted) {
        t->ceiling_level -= 1;
        t->quiet_level = MAX(t->quiet_level - 1, 0);
        t->admitted += t->admitted < INT32_MAX;
        q->is_urgent = q->is_urgent || has_jumped(t);
        return true;
    }
    t->refused += t->refused < UINT32_MAX;
    q->is_urgent = q->is_urgent || has_jumped(t);
    *retry_ms = retry_after_ms(q, t, now_us);
    return false;
}

/* Gives back the credit of an admitted request that no upstream ran. */
void
bb_quota_node_return(struct bb_quota_node *q, uint64_t team_id)
{
    struct node_team *t = g_hash_table_lookup(q->teams, &team_id);

    if (t == NULL) {
        return; /* forgotten since; its bucket is full */
    }
    t->admitted -= t->admitted > INT32_MIN;
    t->ceiling_level += 1;
    if (t->is_alone) {
        t->alone_level += 1;
    }
}

/* Replaces the ratios in force: a team that is not listed is not limited. */
void
bb_quota_node_set_ratios(struct bb_quota_node *q,
                         const struct bb_quota_ratio *ratios, uint32_t count,
                         uint64_t now_us)
{
    bb_quota_node_heard(q, now_us);
    if (now_us < q->trusted_us) {
        return;
    }
    clear_ratios(q);
    for (uint32_t i = 0; i < count; i++) {
        struct node_team *t =
            g_hash_table_lookup(q->teams, &ratios[i].team_id);

        if (t == NULL) {
            t = get_team(q, ratios[i].team_id, 0, 0, now_us);
        }
        if (t != NULL) {
            t->admitted_ppm = MIN(ratios[i].admitted_ppm, BB_QUOTA_PPM);
        }
    }
    q->ratios_us = now_us;
    q->last_ratios_us = now_us;
}

/* Takes up to `max` sums since the last report; returns their number, 0 if
 * there is nothing to report. */
uint32_t
bb_quota_node_take_report(struct bb_quota_node *q, struct bb_quota_usage *out,
                          uint32_t max, uint64_t now_us)
{
    double elapsed_s = (double)(now_us - q->report_us) / US_PER_S;
    uint32_t count = 0;
    GHashTableIter it;
    gpointer value;

    note_running(q, now_us);
    q->report_us = now_us;
    q->is_urgent = q->is_urgent && max == 0;
    g_hash_table_iter_init(&it, q->teams);
    while (count < max && g_hash_table_iter_next(&it, NULL, &value)) {
        struct node_team *t = value;

        t->usual_rate *= MAX(1 - elapsed_s / USUAL_S, 0);
        t->usual_rate += MAX(t->admitted, 0) / USUAL_S;
        t->sent_admitted = t->admitted;
        t->sent_refused = t->refused;
        if (t->admitted != 0 || t->refused != 0) {
            out[count++] = (struct bb_quota_usage){.team_id = t->id,
                                                   .rate_mrps = t->rate_mrps,
                                                   .burst = t->burst,
                                                   .admitted = t->admitted,
                                                   .refused = t->refused};
        }
        t->admitted = 0;
        t->refused = 0;
    }
    expire_teams(q, now_us);
    return count;
}

/* Adds the last report to the next one, as the connection on which it was sent
 * has ended. If it arrived after all it is charged twice. */
void
bb_quota_node_report_lost(struct bb_quota_node *q)
{
    GHashTableIter it;
    gpointer value;

    g_hash_table_iter_init(&it, q->teams);
    while (g_hash_table_iter_next(&it, NULL, &value)) {
        struct node_team *t = value;

        t->admitted += t->sent_admitted;
        t->refused += t->sent_refused;
        t->sent_admitted = 0;
        t->sent_refused = 0;
    }
}
