/* Measures what entry and gate add to a call: calls through both and calls
 * straight to a scripted upstream, at a given rate. All of it runs on one
 * loop: the figures contain client and upstream, and lack the wake-ups of
 * separate processes. Arguments: calls a second, calls. */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "bench.h"
#include "common/clock.h"

enum { WARM_UP = 200, PERCENTILES = 3, CALL_MAX_US = 2000000 };

static const char request[] =
    "GET /safe/x HTTP/1.1\r\nHost: h\r\nT-Id: a\r\nT-Deadline: 1000\r\n\r\n";

/* Processor time of this process. */
static uint64_t
used_us(void)
{
    struct rusage u;

    (void)getrusage(RUSAGE_SELF, &u);
    return (uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * BB_US_PER_S +
           (uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec);
}

static int
compare(const void *a, const void *b)
{
    uint64_t left = *(const uint64_t *)a;
    uint64_t right = *(const uint64_t *)b;

    return left < right ? -1 : left > right;
}

/* Makes one call and returns how long it took. */
static uint64_t
call(struct bench *b, struct client *c)
{
    uint64_t start_us = bb_clock_now_us();

    g_string_truncate(c->received, 0);
    client_send(c, request);
    while (strstr(c->received->str, "body") == NULL) {
        if (c->is_ended || bb_clock_now_us() - start_us > CALL_MAX_US) {
            (void)fprintf(stderr, "a call got no answer\n");
            exit(1);
        }
        (void)uv_run(&b->loop, UV_RUN_NOWAIT);
    }
    return bb_clock_now_us() - start_us;
}

/* Makes calls at a rate; fills in the times and returns the processor time a
 * call. */
static double
measure(struct bench *b, struct client *c, uint32_t per_s, uint32_t count,
        uint64_t *took_us)
{
    uint64_t gap_us = BB_US_PER_S / per_s;
    uint64_t before_us = used_us();
    uint64_t due_us = bb_clock_now_us();

    for (uint32_t i = 0; i < count; i++) {
        uint64_t now_us = bb_clock_now_us();

        due_us += gap_us;
        if (due_us > now_us) {
            bb_clock_sleep_us(due_us - now_us);
        }
        took_us[i] = call(b, c);
    }
    return (double)(used_us() - before_us) / count;
}

int
main(int argc, char **argv)
{
    static const double shares[PERCENTILES] = {0.5, 0.9, 0.99};
    uint32_t per_s = argc > 1 ? (uint32_t)atoi(argv[1]) : 55;
    uint32_t count = argc > 2 ? (uint32_t)atoi(argv[2]) : 2000;
    uint64_t *direct_us;
    uint64_t *through_us;
    struct bench b;
    struct client *through;
    struct client *direct;
    struct bb_address entry;
    double direct_cpu_us;
    double through_cpu_us;

    if (per_s == 0 || count == 0) {
        (void)fprintf(stderr, "path_hop CALLS_PER_S CALLS\n");
        return 2;
    }
    direct_us = calloc(count, sizeof(*direct_us));
    through_us = calloc(count, sizeof(*through_us));
    bench_open(&b);
    bench_set_rules(&b, 1000, 2);
    through = client_open(&b);
    entry = b.entry_address;
    b.entry_address = b.upstreams[0].address;
    direct = client_open(&b);
    b.entry_address = entry;
    for (uint32_t i = 0; i < WARM_UP; i++) {
        (void)call(&b, direct);
        (void)call(&b, through);
    }
    /* In this order: the entry closes a connection that is idle for long. */
    through_cpu_us = measure(&b, through, per_s, count, through_us);
    direct_cpu_us = measure(&b, direct, per_s, count, direct_us);
    qsort(direct_us, count, sizeof(*direct_us), compare);
    qsort(through_us, count, sizeof(*through_us), compare);
    (void)printf("%u calls at %u/s\n", count, per_s);
    for (uint32_t i = 0; i < PERCENTILES; i++) {
        uint32_t at = (uint32_t)(shares[i] * (count - 1));

        (void)printf("p%.0f direct %llu us, through entry and gate %llu us, "
                     "added %lld us\n",
                     shares[i] * 100, (unsigned long long)direct_us[at],
                     (unsigned long long)through_us[at],
                     (long long)through_us[at] - (long long)direct_us[at]);
    }
    (void)printf("processor time a call: direct %.0f us, through %.0f us, "
                 "added %.0f us\n",
                 direct_cpu_us, through_cpu_us,
                 through_cpu_us - direct_cpu_us);
    client_free(through);
    client_free(direct);
    bench_close(&b);
    free(direct_us);
    free(through_us);
    return 0;
}
