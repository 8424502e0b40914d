/* Tests decide/silence in a simulation of one upstream and its gate. Each
 * comment names the failure that a test guards against. */
#include "decide/silence.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "unit.h"

enum {
    US_PER_MS = 1000,
    STEP_US = 1000,
    SLOTS = 24,
    ACCEPTED = 8, /* by an upstream that drops others */
    RUNNING_MAX = 64,
    DEADLINE_MS = 4000,
    MEAN_MS = 40,
    CLASSES = 8,
    PAUSE_MS = 3000,
    S = 1000 /* milliseconds */
};

/* The simulated upstream and its load, which a test changes between runs. */
struct model {
    struct bb_silence silence;
    GRand *random;
    uint64_t now_us;
    uint64_t next_id;
    struct {
        uint64_t id;
        uint64_t sent_us;
        uint64_t end_us; /* UINT64_MAX: never */
    } running[RUNNING_MAX];
    uint32_t running_count;
    uint32_t accepted; /* more at once are dropped in silence */
    double slowdown;   /* of requests that start */
    double tail;       /* exponent of Pareto durations; 0: short tail */
    double rate_per_ms;
    bool is_dead;
    uint64_t pause_end_us; /* nothing runs before */
    uint32_t answered;
    uint32_t cut_running; /* would have been answered */
    uint32_t cut_stalled;
    uint32_t expired_stalled; /* waited until the deadline */
    uint32_t dropped;
};

static void
model_open(struct model *m, uint32_t seed)
{
    memset(m, 0, sizeof(*m));
    bb_silence_init(&m->silence);
    m->random = g_rand_new_with_seed(seed);
    m->now_us = 1000000;
    m->accepted = RUNNING_MAX;
    m->slowdown = 1;
    m->rate_per_ms = 0.15;
}

static void
model_close(struct model *m)
{
    g_rand_free(m->random);
}

/* Returns a duration: log-normal, or Pareto with the given exponent. Classes
 * differ by up to a factor of 2.4. */
static uint64_t
draw_duration_us(struct model *m, uint32_t class_index)
{
    double u = 1 - g_rand_double(m->random);
    double ms = m->tail > 0
                    ? MEAN_MS / 3.0 * pow(u, -1 / m->tail)
                    : MEAN_MS * exp(0.5 * sqrt(-2 * log(u)) *
                                    cos(6.2832 * g_rand_double(m->random)));

    ms *= 0.6 + 0.2 * class_index;
    return (uint64_t)(ms * m->slowdown * US_PER_MS);
}

/* Sends a request if a slot is free. */
static void
model_send(struct model *m)
{
    uint32_t live = 0;
    uint32_t n = m->running_count;
    uint32_t class_index = g_rand_int(m->random) % CLASSES;

    if (n >= bb_silence_slots(&m->silence, SLOTS, m->now_us)) {
        return;
    }
    for (uint32_t i = 0; i < n; i++) {
        live += m->running[i].end_us != UINT64_MAX;
    }
    m->running[n].id = ++m->next_id;
    m->running[n].sent_us = m->now_us;
    m->running[n].end_us =
        MAX(m->now_us, m->pause_end_us) + draw_duration_us(m, class_index);
    if (m->is_dead || live >= m->accepted) {
        m->running[n].end_us = UINT64_MAX;
        m->dropped++;
    }
    m->running_count++;
    bb_silence_send(&m->silence, m->next_id, class_index, m->now_us);
}

static void
model_remove(struct model *m, uint32_t i)
{
    m->running[i] = m->running[--m->running_count];
}

/* Answers and cancels what is due. */
static void
model_end(struct model *m)
{
    for (uint32_t i = m->running_count; i-- > 0;) {
        if (m->running[i].end_us <= m->now_us) {
            bb_silence_answer(&m->silence, m->running[i].id, m->now_us);
            m->answered++;
            model_remove(m, i);
        }
        else if (m->now_us - m->running[i].sent_us >=
                 (uint64_t)DEADLINE_MS * US_PER_MS) {
            bb_silence_expire(&m->silence, m->running[i].id, m->now_us);
            m->expired_stalled += m->running[i].end_us == UINT64_MAX;
            model_remove(m, i);
        }
    }
}

static void
model_cut(struct model *m)
{
    uint64_t id;

    while (bb_silence_take_stalled(&m->silence, m->now_us, &id)) {
        for (uint32_t i = 0; i < m->running_count; i++) {
            if (m->running[i].id == id) {
                m->cut_stalled += m->running[i].end_us == UINT64_MAX;
                m->cut_running += m->running[i].end_us != UINT64_MAX;
                model_remove(m, i);
                break;
            }
        }
    }
}

static void
model_run(struct model *m, uint32_t ms)
{
    uint64_t end_us = m->now_us + (uint64_t)ms * US_PER_MS;

    for (; m->now_us < end_us; m->now_us += STEP_US) {
        model_end(m);
        model_cut(m);
        if (g_rand_double(m->random) < m->rate_per_ms) {
            model_send(m);
        }
    }
}

static void
print_model(const struct model *m, const char *name)
{
    printf("\n  %s: answered %u dropped %u cut %u, wrongly %u, expired %u, "
           "limit %u\n",
           name, m->answered, m->dropped, m->cut_stalled, m->cut_running,
           m->expired_stalled, m->silence.limit);
}

/* Guards against: requests that an upstream drops in silence and that wait
 * until their deadline, again and again; and a limit that is not learned. */
static void
test_overflow(void)
{
    struct model m;

    model_open(&m, 1);
    m.rate_per_ms = 0.3; /* wants 12 at once */
    m.accepted = ACCEPTED;
    model_run(&m, 10 * S);
    CU_ASSERT_TRUE(m.silence.is_silent);
    m.expired_stalled = 0;
    m.dropped = 0;
    model_run(&m, 30 * S);
    print_model(&m, "overflow");
    CU_ASSERT_EQUAL(m.expired_stalled, 0);
    CU_ASSERT_EQUAL(m.cut_running, 0);
    CU_ASSERT_TRUE(m.dropped < 100);
    CU_ASSERT_TRUE(m.silence.limit >= ACCEPTED - 2 &&
                   m.silence.limit <= ACCEPTED + 4);
    model_close(&m);
}

/* Guards against: a limit that stays after the upstream accepts all requests
 * again. */
static void
test_recovery(void)
{
    struct model m;

    model_open(&m, 2);
    m.rate_per_ms = 0.3;
    m.accepted = ACCEPTED;
    model_run(&m, 15 * S);
    CU_ASSERT_TRUE(m.silence.limit != 0);
    m.accepted = RUNNING_MAX;
    model_run(&m, 90 * S);
    print_model(&m, "recovery");
    CU_ASSERT_EQUAL(m.cut_running, 0);
    CU_ASSERT_EQUAL(bb_silence_slots(&m.silence, SLOTS, m.now_us), SLOTS);
    model_close(&m);
}

/* Guards against: running requests cut, or fewer admitted, while an upstream
 * is slower by a factor of ten for some seconds. */
static void
test_slow_upstream(void)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        struct model m;

        model_open(&m, seed);
        for (uint32_t i = 0; i < 5; i++) {
            model_run(&m, 10 * S);
            m.slowdown = 10;
            model_run(&m, 3 * S);
            m.slowdown = 1;
        }
        CU_ASSERT_EQUAL(m.cut_running, 0);
        CU_ASSERT_EQUAL(m.silence.limit, 0);
        model_close(&m);
    }
}

/* Guards against: running requests cut after the upstream was paused for some
 * seconds, while those that it runs get old. */
static void
test_paused_upstream(void)
{
    for (uint32_t seed = 1; seed <= 20; seed++) {
        struct model m;

        model_open(&m, seed);
        for (uint32_t i = 0; i < 5; i++) {
            model_run(&m, 5 * S);
            for (uint32_t k = 0; k < m.running_count; k++) {
                m.running[k].end_us += (uint64_t)PAUSE_MS * US_PER_MS;
            }
            m.pause_end_us = m.now_us + (uint64_t)PAUSE_MS * US_PER_MS;
        }
        model_run(&m, 10 * S);
        CU_ASSERT_EQUAL(m.cut_running, 0);
        CU_ASSERT_EQUAL(m.silence.limit, 0);
        model_close(&m);
    }
}

/* Guards against: rare requests cut that take a hundred times as long as
 * others of their class, of which many run at the same time. */
static void
test_slow_kind(void)
{
    struct model m;

    model_open(&m, 6);
    for (uint32_t i = 0; i < 10; i++) {
        model_run(&m, 5 * S);
        for (uint32_t k = 0; k < 10; k++) {
            m.slowdown = 50; /* about 2 s */
            model_send(&m);
        }
        m.slowdown = 1;
    }
    model_run(&m, 5 * S);
    print_model(&m, "slow kind");
    CU_ASSERT_EQUAL(m.cut_running, 0);
    model_close(&m);
}

/* Guards against: slow runs cut because callers gave up others that were
 * slower still, though the number of requests has nothing to do with it. */
static void
test_slow_kind_cancelled(void)
{
    struct model m;

    model_open(&m, 7);
    for (uint32_t i = 0; i < 20; i++) {
        model_run(&m, 3 * S);
        for (uint32_t k = 0; k < 8; k++) {
            m.slowdown = k < 3 ? 200 : 40; /* about 8 s and 1.6 s */
            model_send(&m);
        }
        m.slowdown = 1;
    }
    model_run(&m, 5 * S);
    print_model(&m, "slow kind, cancelled");
    CU_ASSERT_TRUE(m.cut_running <= 20 * 8 / 20);
    model_close(&m);
}

/* Guards against: long runs cut, as durations have a heavy tail. */
static void
test_heavy_tail(void)
{
    static const double tails[] = {1.1, 1.5, 2.5};

    for (uint32_t seed = 1; seed <= 30; seed++) {
        struct model m;

        model_open(&m, seed);
        m.tail = tails[seed % G_N_ELEMENTS(tails)];
        model_run(&m, 120 * S);
        CU_ASSERT_EQUAL(m.cut_running, 0);
        CU_ASSERT_EQUAL(m.silence.limit, 0);
        model_close(&m);
    }
}

/* Guards against: many running requests cut at an upstream with a heavy tail
 * that also drops requests. */
static void
test_heavy_tail_overflow(void)
{
    struct model m;

    model_open(&m, 4);
    m.tail = 1.5;
    m.rate_per_ms = 0.4;
    m.accepted = ACCEPTED;
    model_run(&m, 60 * S);
    print_model(&m, "heavy tail and overflow");
    CU_ASSERT_TRUE(m.cut_running * 500 < m.answered);
    model_close(&m);
}

/* Guards against: requests cut while nothing is answered, as an upstream that
 * is paused for seconds looks the same as a dead one. */
static void
test_all_silent(void)
{
    struct model m;

    model_open(&m, 5);
    model_run(&m, 20 * S);
    m.is_dead = true;
    model_run(&m, 30 * S);
    print_model(&m, "all silent");
    CU_ASSERT_EQUAL(m.cut_running + m.cut_stalled, 0);
    m.is_dead = false;
    m.answered = 0;
    model_run(&m, 10 * S);
    CU_ASSERT_TRUE(m.answered > 500);
    CU_ASSERT_EQUAL(m.cut_running, 0);
    model_close(&m);
}

static const struct bb_unit_test tests[] = {
    {"silent overflow", test_overflow},
    {"recovery", test_recovery},
    {"slow upstream", test_slow_upstream},
    {"paused upstream", test_paused_upstream},
    {"slow kind", test_slow_kind},
    {"slow kind, cancelled", test_slow_kind_cancelled},
    {"heavy tail", test_heavy_tail},
    {"heavy tail and overflow", test_heavy_tail_overflow},
    {"all silent", test_all_silent},
};

BB_UNIT_MAIN("silence", tests)
