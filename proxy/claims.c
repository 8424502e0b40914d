#include "proxy/claims.h"

#include <glib.h>
#include <pthread.h>

#include "common/clock.h"

enum { EXPIRED_PER_CLAIM_MAX = 2 };

struct bb_claims {
    pthread_mutex_t lock;
    GHashTable *rosters; /* service name -> struct bb_roster */
    struct bb_witness witness;
    struct bb_claim_entry *entries;
    uint64_t own_host_key;
    uint64_t start_us;
    bool may_have_lost_claims; /* those granted before this start */
};

/* Creates the claims of a node. entries is the capacity of the witness. A
 * witness that restarted without its data may have granted claims before, so
 * it grants none until retention_s has passed. */
struct bb_claims *
bb_claims_create(uint64_t own_host_key, uint32_t entries, uint32_t retention_s,
                 bool restarted_without_data)
{
    struct bb_claims *c = g_new0(struct bb_claims, 1);

    (void)pthread_mutex_init(&c->lock, NULL);
    c->own_host_key = own_host_key;
    c->start_us = bb_clock_now_us();
    c->may_have_lost_claims = restarted_without_data;
    c->rosters =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->entries = g_new0(struct bb_claim_entry, entries);
    bb_witness_init(&c->witness, 0, (uint64_t)retention_s * BB_US_PER_S,
                    restarted_without_data, c->entries, entries, c->start_us);
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

/* Returns whether a roster lists this host. Hosts in the previous list count
 * too: a removed host is still asked until the change is settled. */
static bool
is_own_host_listed(const struct bb_claims *c, const struct bb_roster *r)
{
    for (uint32_t i = 0; i < r->host_count; i++) {
        if (r->hosts[i] == c->own_host_key) {
            return true;
        }
    }
    for (uint32_t i = 0; i < r->previous_count; i++) {
        if (r->previous[i] == c->own_host_key) {
            return true;
        }
    }
    return false;
}

/* After a restart that lost the claims, lets the witness grant none until the
 * retention time has passed since the start. */
static void
delay_grants(struct bb_claims *c)
{
    if (c->may_have_lost_claims) {
        c->witness.grants_from_us = c->start_us + c->witness.retention_us;
    }
}

/* Tells the witness that this host never granted a claim before, so no claims
 * can be lost and it may grant at once. */
void
bb_claims_set_first_start(struct bb_claims *c)
{
    (void)pthread_mutex_lock(&c->lock);
    c->may_have_lost_claims = false;
    c->witness.grants_from_us = 0;
    (void)pthread_mutex_unlock(&c->lock);
}

/* Sets the agreed roster of a service unless its epoch is older than the
 * current one. If the roster lists this host, the witness adopts its epoch and
 * the retention time of the service (retention_s, 0 if unknown). */
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

/* Prepares a claim of a key. Returns false if the service has no roster. */
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

/* Processes a claim at this node's witness and returns its answer. */
struct bb_witness_response
bb_claims_process_claim(struct bb_claims *c, const struct bb_request_id *key,
                        const struct bb_claim *claim, uint64_t epoch)
{
    struct bb_witness_response a;
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
