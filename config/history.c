#include "config/history.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

struct bb_bundle_history {
    pthread_mutex_t lock;
    struct bb_bundle *bundles[BB_BUNDLE_HISTORY_MAX]; /* newest last */
    uint32_t count;
    /* The last encoding and the revision it was encoded for: all members of a
     * zone usually ask for the same one. cached.bytes come from g_malloc,
     * which uses malloc, so that free is right for them as well. */
    uint64_t cached_receiver_revision;
    struct bb_bundle_history_update cached;
};

/* Creates an empty history. */
struct bb_bundle_history *
bb_bundle_history_create(void)
{
    struct bb_bundle_history *h = g_new0(struct bb_bundle_history, 1);

    (void)pthread_mutex_init(&h->lock, NULL);
    return h;
}

/* Frees a history and drops its references; NULL is allowed. */
void
bb_bundle_history_destroy(struct bb_bundle_history *h)
{
    if (h == NULL) {
        return;
    }
    for (uint32_t i = 0; i < h->count; i++) {
        bb_bundle_unref(h->bundles[i]);
    }
    free(h->cached.bytes);
    (void)pthread_mutex_destroy(&h->lock);
    g_free(h);
}

/* Frees the cached encoding. */
static void
clear_cache(struct bb_bundle_history *h)
{
    free(h->cached.bytes);
    h->cached = (struct bb_bundle_history_update){0};
}

/* Adds a bundle and a reference to it, and drops the oldest bundle if there
 * are more than BB_BUNDLE_HISTORY_MAX. Returns false and changes nothing if
 * the revision is not higher than the newest one. */
bool
bb_bundle_history_add(struct bb_bundle_history *h, struct bb_bundle *b)
{
    bool is_newer;

    (void)pthread_mutex_lock(&h->lock);
    is_newer =
        h->count == 0 || b->revision > h->bundles[h->count - 1]->revision;
    if (is_newer) {
        if (h->count == BB_BUNDLE_HISTORY_MAX) {
            bb_bundle_unref(h->bundles[0]);
            memmove(&h->bundles[0], &h->bundles[1],
                    (BB_BUNDLE_HISTORY_MAX - 1) * sizeof(h->bundles[0]));
            h->count--;
        }
        h->bundles[h->count] = bb_bundle_ref(b);
        h->count++;
        clear_cache(h);
    }
    (void)pthread_mutex_unlock(&h->lock);
    return is_newer;
}

/* Returns a new reference to the newest bundle, or NULL if there is none. */
struct bb_bundle *
bb_bundle_history_newest(struct bb_bundle_history *h)
{
    struct bb_bundle *b = NULL;

    (void)pthread_mutex_lock(&h->lock);
    if (h->count > 0) {
        b = bb_bundle_ref(h->bundles[h->count - 1]);
    }
    (void)pthread_mutex_unlock(&h->lock);
    return b;
}

/* Returns the bundle of a revision without adding a reference, or NULL. The
 * lock must be held. */
static struct bb_bundle *
find_without_reference(const struct bb_bundle_history *h, uint64_t revision)
{
    for (uint32_t i = h->count; i > 0; i--) {
        if (h->bundles[i - 1]->revision == revision) {
            return h->bundles[i - 1];
        }
    }
    return NULL;
}

/* Returns a new reference to the bundle of a revision, or NULL if the history
 * does not have it. */
struct bb_bundle *
bb_bundle_history_find(struct bb_bundle_history *h, uint64_t revision)
{
    struct bb_bundle *b;

    (void)pthread_mutex_lock(&h->lock);
    b = find_without_reference(h, revision);
    if (b != NULL) {
        (void)bb_bundle_ref(b);
    }
    (void)pthread_mutex_unlock(&h->lock);
    return b;
}

/* Encodes the newest bundle into the cache, for a receiver that has a
 * revision. The lock must be held. */
static void
encode_into_cache(struct bb_bundle_history *h, uint64_t receiver_revision)
{
    const struct bb_bundle *newest = h->bundles[h->count - 1];
    const struct bb_bundle *base =
        find_without_reference(h, receiver_revision);

    clear_cache(h);
    h->cached_receiver_revision = receiver_revision;
    h->cached.revision = newest->revision;
    h->cached.digest = newest->digest;
    if (base != NULL) {
        h->cached.is_delta = true;
        h->cached.base_revision = base->revision;
        bb_bundle_encode_delta(base, newest, &h->cached.bytes,
                               &h->cached.size_bytes);
    }
    else {
        bb_bundle_encode(newest, &h->cached.bytes, &h->cached.size_bytes);
    }
}

/* Encodes the newest revision for a receiver that has receiver_revision, 0 for
 * none: as a delta if the history still has that revision, else as a whole
 * bundle. Returns false and leaves *out as it is if there is nothing newer. */
bool
bb_bundle_history_encode_update(struct bb_bundle_history *h,
                                uint64_t receiver_revision,
                                struct bb_bundle_history_update *out)
{
    bool is_newer;

    (void)pthread_mutex_lock(&h->lock);
    is_newer =
        h->count > 0 && h->bundles[h->count - 1]->revision > receiver_revision;
    if (is_newer) {
        if (h->cached.bytes == NULL ||
            h->cached_receiver_revision != receiver_revision) {
            encode_into_cache(h, receiver_revision);
        }
        *out = h->cached;
        out->bytes = malloc(out->size_bytes);
        if (out->bytes == NULL) {
            abort();
        }
        memcpy(out->bytes, h->cached.bytes, out->size_bytes);
    }
    (void)pthread_mutex_unlock(&h->lock);
    return is_newer;
}
