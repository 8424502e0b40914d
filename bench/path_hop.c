/* Measures the latency and processor time that the entry and the gate of path/
 * add to a call, by comparing calls through both with direct calls to a
 * scripted upstream, at a given rate. Everything runs on one event loop, so
 * the results include client and upstream but not the wake-ups of separate
 * processes. Arguments: calls per second (default 55), number of calls
 * (default 2000). */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "common/clock.h"
#include "fixture.h"

enum {
    WARM_UP_CALLS = 200, /* of each kind */
    PERCENTILES = 3,
    CALL_TIMEOUT_US = 2000000,
    DEFAULT_CALLS_PER_S = 55,
    DEFAULT_CALLS = 2000
};

static const char request[] =
    "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Deadline: 1000\r\n\r\n";

/* Returns the processor time of this process in microseconds. */
static uint64_t
cpu_time_us(void)
{
    struct rusage u;

    (void)getrusage(RUSAGE_SELF, &u);
    return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * BB_US_PER_S +
           (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static int
compare_times(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;

    return left < right ? -1 : left > right;
}

/* Makes a call and returns its latency in microseconds. Exits if there is
 * no response within CALL_TIMEOUT_US. */
static uint64_t
make_call(struct path_fixture *b, struct client *c)
{
    uint64_t start_us = bb_clock_now_us();

    g_string_truncate(c->received, 0);
    client_send(c, request);
    while (strstr(c->received->str, "body") == NULL) {
        if (c->is_ended || bb_clock_now_us() - start_us > CALL_TIMEOUT_US) {
            (void)fprintf(stderr, "a call got no response\n");
            exit(1);
        }
        (void)uv_run(&b->loop, UV_RUN_NOWAIT);
    }
    return bb_clock_now_us() - start_us;
}

/* Makes count calls at a rate and stores their latencies in latencies_us.
 * Returns the processor time per call in microseconds. */
static double
measure(struct path_fixture *b, struct client *c, uint32_t per_s,
        uint32_t count, uint64_t *latencies_us)
{
    uint64_t interval_us = BB_US_PER_S / per_s;
    uint64_t before_us = cpu_time_us();
    uint64_t due_us = bb_clock_now_us();

    for (uint32_t i = 0; i < count; i++) {
        uint64_t now_us = bb_clock_now_us();

        due_us += interval_us;
        if (due_us > now_us) {
            bb_clock_sleep_us(due_us - now_us);
        }
        latencies_us[i] = make_call(b, c);
    }
    return (double)(cpu_time_us() - before_us) / count;
}

int
main(int argc, char **argv)
{
    static const double quantiles[PERCENTILES] = {0.5, 0.9, 0.99};
    uint32_t per_s = argc > 1 ? (uint32_t)atoi(argv[1]) : DEFAULT_CALLS_PER_S;
    uint32_t count = argc > 2 ? (uint32_t)atoi(argv[2]) : DEFAULT_CALLS;
    uint64_t *direct_us;
    uint64_t *proxied_us;
    struct path_fixture b;
    struct client *proxied;
    struct client *direct;
    struct bb_address entry;
    double direct_cpu_us;
    double proxied_cpu_us;

    if (per_s == 0 || count == 0) {
        (void)fprintf(stderr, "usage: bench-path-hop [CALLS_PER_S [CALLS]]\n");
        return 2;
    }
    direct_us = calloc(count, sizeof(*direct_us));
    proxied_us = calloc(count, sizeof(*proxied_us));
    fixture_open(&b);
    fixture_set_rules(&b, 1000, 2);
    proxied = client_open(&b);
    /* client_open connects to entry_address: point it at the upstream for the
     * direct client. */
    entry = b.entry_address;
    b.entry_address = b.upstreams[0].address;
    direct = client_open(&b);
    b.entry_address = entry;
    for (uint32_t i = 0; i < WARM_UP_CALLS; i++) {
        (void)make_call(&b, direct);
        (void)make_call(&b, proxied);
    }
    /* Calls through the entry come first, as it closes a connection that is
     * idle for long. */
    proxied_cpu_us = measure(&b, proxied, per_s, count, proxied_us);
    direct_cpu_us = measure(&b, direct, per_s, count, direct_us);
    qsort(direct_us, count, sizeof(*direct_us), compare_times);
    qsort(proxied_us, count, sizeof(*proxied_us), compare_times);
    (void)printf("%u calls at %u/s\n", count, per_s);
    for (uint32_t i = 0; i < PERCENTILES; i++) {
        uint32_t rank = (uint32_t)(quantiles[i] * (count - 1));

        (void)printf("p%.0f direct %llu us, through entry and gate %llu us, "
                     "added %lld us\n",
                     quantiles[i] * 100, (unsigned long long)direct_us[rank],
                     (unsigned long long)proxied_us[rank],
                     (long long)proxied_us[rank] - (long long)direct_us[rank]);
    }
    (void)printf("processor time a call: direct %.0f us, through %.0f us, "
                 "added %.0f us\n",
                 direct_cpu_us, proxied_cpu_us,
                 proxied_cpu_us - direct_cpu_us);
    client_free(proxied);
    client_free(direct);
    fixture_close(&b);
    free(direct_us);
    free(proxied_us);
    return 0;
}
