/* Quotas of teams at the entry. A request counts once, when it is admitted;
 * retries and hedges do not count again. */
#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "common/random.h"
#include "entry_internal.h"

enum {
    /* A team without a refusal for this long is no longer over its quota, as
     * far as the log is concerned. */
    LOG_QUIET_S = 10,
    LOG_TEAMS_MAX = BB_QUOTA_TEAMS_MAX
};

BB_COUNTER(admitted_total, "baobab_entry_quota_admitted_total",
           "Requests of teams with a quota that were within it");
BB_COUNTER(returned_total, "baobab_entry_quota_returned_total",
           "Requests of teams whose credit was returned, as none ran");

/* Logs that a team begins to be refused. */
static void
log_refusal(struct bb_entry *n, const struct bb_team *team, uint64_t now_us)
{
    uint64_t *last_us = g_hash_table_lookup(n->quota_refusals, &team->id);

    if (last_us == NULL) {
        uint64_t *id = g_new(uint64_t, 1);

        if (g_hash_table_size(n->quota_refusals) >= LOG_TEAMS_MAX) {
            g_hash_table_remove_all(n->quota_refusals);
        }
        *id = team->id;
        last_us = g_new0(uint64_t, 1);
        g_hash_table_insert(n->quota_refusals, id, last_us);
    }
    if (*last_us == 0 ||
        now_us - *last_us >= (uint64_t)LOG_QUIET_S * BB_US_PER_S) {
        bb_log_info("entry.quota", "team %s is over its quota", team->name);
    }
    *last_us = now_us;
}

/* Takes credit for a request; returns true also if it needs none, as it has no
 * team or the team has no rate. If it is refused, sets retry_ms to the time
 * until there is credit. now_us counts suspended time. */
bool
entry_quota_take(struct entry_request *rq, uint64_t random_bits,
                 uint64_t now_us, uint32_t *retry_ms)
{
    struct bb_entry *n = rq->entry;
    const struct bb_team *team = rq->team;

    if (team == NULL || team->rate_mrps == 0 || n->settings.quota == NULL ||
        rq->has_quota_credit) {
        return true;
    }
    if (!bb_quota_node_admit(n->settings.quota, team->id, team->rate_mrps,
                             team->burst, random_bits, now_us, retry_ms)) {
        log_refusal(n, team, now_us);
        return false;
    }
    rq->has_quota_credit = true;
    bb_counter_add(&admitted_total, 1);
    return true;
}

/* Admits a request, or responds with 429, destroys it and returns false. */
bool
entry_quota_admit(struct entry_request *rq)
{
    uint32_t retry_ms = 0;

    if (entry_quota_take(rq, bb_random_global_u64(), bb_clock_boot_now_us(),
                         &retry_ms)) {
        return true;
    }
    request_respond_locally(rq, 429, "quota", retry_ms);
    return false;
}

/* Returns the credit of a request that ends without having run, once. Does
 * nothing if it may have run. */
void
entry_quota_return(struct entry_request *rq)
{
    if (rq->has_quota_credit && !rq->may_have_run) {
        rq->has_quota_credit = false;
        bb_quota_node_return(rq->entry->settings.quota, rq->team->id);
        bb_counter_add(&returned_total, 1);
    }
}
