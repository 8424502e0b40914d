#include "common/random.h"

#include <glib.h>
#include <pthread.h>
#include <sys/random.h>

#include "common/clock.h"

enum { SEED_WORDS = 2, WORD_BITS = 32 };

struct bb_random {
    pthread_mutex_t lock;
    GRand *source;
};

/* Creates a generator whose sequence depends only on the seed. */
struct bb_random *
bb_random_create(uint64_t seed)
{
    struct bb_random *r = g_new0(struct bb_random, 1);
    guint32 words[SEED_WORDS] = {(guint32)seed, (guint32)(seed >> WORD_BITS)};

    (void)pthread_mutex_init(&r->lock, NULL);
    r->source = g_rand_new_with_seed_array(words, SEED_WORDS);
    return r;
}

/* Frees a generator. NULL is allowed. */
void
bb_random_destroy(struct bb_random *r)
{
    if (r == NULL) {
        return;
    }
    g_rand_free(r->source);
    (void)pthread_mutex_destroy(&r->lock);
    g_free(r);
}

/* Returns 64 random bits. */
uint64_t
bb_random_u64(struct bb_random *r)
{
    uint64_t high;
    uint64_t low;

    (void)pthread_mutex_lock(&r->lock);
    high = g_rand_int(r->source);
    low = g_rand_int(r->source);
    (void)pthread_mutex_unlock(&r->lock);
    return high << WORD_BITS | low;
}

/* Returns a number from 0 to bound - 1, or 0 if bound is 0. */
uint64_t
bb_random_below(struct bb_random *r, uint64_t bound)
{
    return bound == 0 ? 0 : bb_random_u64(r) % bound;
}

/* Returns a seed from the kernel, or from the clock if that fails. */
uint64_t
bb_random_system_seed(void)
{
    uint64_t seed = 0;

    if (getrandom(&seed, sizeof(seed), 0) != (ssize_t)sizeof(seed)) {
        seed = bb_clock_wall_now_us();
    }
    return seed;
}

/* Returns 64 random bits of the process's global generator, for uses that need
 * not be reproducible. */
uint64_t
bb_random_global_u64(void)
{
    return (uint64_t)g_random_int() << WORD_BITS | g_random_int();
}
