#include "proxy/claims.h"

#include <glib.h>
#include <pthread.h>

#include "common/clock.h"

enum { EXPIRED_PER_CLAIM_MAX = 2 };

struct bb_claims {
    pthread_mutex_t lock;
    GHashTable *rosters; /* service -> struct bb_roster */
    struct bb_witness witness;
    struct bb_claim_entry *entries;
    uint64_t own_key;
    uint64_t started_us;
    bool has_restarted; /* and lost the claims that it granted before */
};

/* Creates the claims of a node. A host that may have granted claims before,
 * and has lost them, confirms none until the retention time has passed. */
struct bb_claims *
bb_claims_create(uint64_t own_key, uint32_t entries, uint32_t retention_s,
                 bool restarted_without_data)
{
    struct bb_claims *c = g_new0(struct bb_claims, 1);

    (void)pthread_mutex_init(&c->lock, NULL);
    c->own_key = own_key;
    c->started_us = bb_clock_now_us();
    c->has_restarted = restarted_without_data;
    c->rosters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->entries = g_new0(struct bb_claim_entry, entries);
    bb_witness_init(&c->witness, 0, (uint64_t)retention_s * BB_US_PER_S,
                    restarted_without_data, c->entries, entries,
                    c->started_us);
    return c;
}

/* Frees the claims; NULL is allowed. */
void
bb_claims_destroy(struct bb_claims *c)
{
    if (c == NULL) {
        return;
    }
    g_hash_table_destroy(c->rosters);
    g_free(c->entries);
    (void)pthread_mutex_destroy(&c->lock);
    g_free(c);
}

/* Tells whether a roster names this node in one of its lists. A host that a
 * change removes is still asked while the previous list counts. */
static bool
is_own_host_listed(const struct bb_claims *c, const struct bb_roster *r)
{
    for (uint32_t i = 0; i < r->host_count; i++) {
        if (r->hosts[i] == c->own_key) {
            return true;
        }
    }
    for (uint32_t i = 0; i < r->previous_count; i++) {
        if (r->previous[i] == c->own_key) {
            return true;
        }
    }
    return false;
}

/* Lets the witness confirm nothing until the retention time has passed since
 * the start, if it lost its claims. */
static void
delay_grants(struct bb_claims *c)
{
    if (c->has_restarted) {
        c->witness.confirms_from_us = c->started_us + c->witness.retention_us;
    }
}

/* Records that this host never granted claims before, so that there are none
 * it could have lost. */
void
bb_claims_set_first_start(struct bb_claims *c)
{
    (void)pthread_mutex_lock(&c->lock);
    c->has_restarted = false;
    c->witness.confirms_from_us = 0;
    (void)pthread_mutex_unlock(&c->lock);
}

/* Adopts the agreed roster of a service; one with an earlier epoch is
 * ignored. The witness follows the roster that names this node, and keeps
 * claims for the retention time of that service, 0 if unknown. */
void
bb_claims_set_roster(struct bb_claims *c, const char *service,
                     const struct bb_roster *r, uint32_t retention_s)
{
    const struct bb_roster *old;

    (void)pthread_mutex_lock(&c->lock);
    old = g_hash_table_lookup(c->rosters, service);
    if (old == NULL || old->epoch <= r->epoch) {
        g_hash_table_replace(c->rosters, g_strdup(service),
                             g_memdup2(r, sizeof(*r)));
        if (is_own_host_listed(c, r)) {
            bb_witness_set_epoch(&c->witness, r->epoch);
            if (retention_s > 0) {
                c->witness.retention_us = (uint64_t)retention_s * BB_US_PER_S;
                delay_grants(c);
            }
        }
    }
    (void)pthread_mutex_unlock(&c->lock);
}

/* Prepares a claim; false if no roster of the service is known. */
bool
bb_claims_try_start(struct bb_claims *c, const char *service,
                    const struct bb_request_id *key,
                    const struct bb_claim *wanted,
                    struct bb_claim_requester *q)
{
    const struct bb_roster *r;

    (void)pthread_mutex_lock(&c->lock);
    r = g_hash_table_lookup(c->rosters, service);
    if (r != NULL) {
        bb_claim_start(q, r, key, wanted);
    }
    (void)pthread_mutex_unlock(&c->lock);
    return r != NULL;
}

/* Answers a claim as the witness of this node. */
struct bb_witness_answer
bb_claims_request(struct bb_claims *c, const struct bb_request_id *key,
                  const struct bb_claim *claim, uint64_t epoch)
{
    struct bb_witness_answer a;
    uint64_t now_us = bb_clock_now_us();

    (void)pthread_mutex_lock(&c->lock);
    for (int i = 0; i < EXPIRED_PER_CLAIM_MAX; i++) {
        if (!bb_witness_expire(&c->witness, now_us)) {
            break;
        }
    }
    a = bb_witness_claim(&c->witness, key, claim, epoch, now_us);
    (void)pthread_mutex_unlock(&c->lock);
    return a;
}
