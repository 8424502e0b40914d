/* baobab-upstream: simulated upstream for tests and the demo. */
#include <microhttpd.h>
#include <ne_socket.h>
#include <signal.h>
#include <stdio.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/settings.h"
#include "upstream/server.h"

enum {
    MS_MAX = 3600 * 1000,
    IDLE_TIMEOUT_MAX_S = 3600 * 1000,
    SERVICE_MAX_US = 1000000000,
    DRAIN_CHECK_INTERVAL_MS = 20
};

struct upstream_settings {
    struct bb_upstream_sim upstream;
    struct bb_behaviour_values values;
    bool is_exponential;
    bool log_json;
    uint64_t seed;
    uint64_t drain_ms;
};

#define NUMBER_ROW(name_, unit_, help_, default_, min_, max_, target_)        \
    {                                                                         \
        .name = (name_), .value_name = (unit_), .help = (help_),              \
        .kind = BB_SETTING_NUMBER, .default_value = (default_),               \
        .min = (min_), .max = (max_), .to.number = (target_)                  \
    }

/* Reads the settings from flags and environment variables. */
static enum bb_settings_result
read_settings(struct upstream_settings *s, int argc, char **argv,
              struct bb_error *e)
{
    struct bb_upstream_sim *u = &s->upstream;
    struct bb_behaviour_values *v = &s->values;
    const struct bb_setting table[] = {
        {.name = "listen",
         .value_name = "IP:PORT",
         .help = "address to serve on",
         .kind = BB_SETTING_ADDRESS,
         .is_required = true,
         .to.address = &u->listen_address},
        {.name = "host",
         .value_name = "NAME",
         .help = "host name in responses",
         .kind = BB_SETTING_TEXT,
         .default_value = "upstream",
         .to.text = &u->host},
        {.name = "service",
         .value_name = "NAME",
         .help = "name of its service",
         .kind = BB_SETTING_TEXT,
         .is_required = true,
         .to.text = &u->service},
        {.name = "announce",
         .value_name = "IP:PORT",
         .help = "local address of its node, for announcements; port 0: none",
         .kind = BB_SETTING_ADDRESS,
         .default_value = "127.0.0.1:0",
         .to.address = &u->announce_address},
        {.name = "node",
         .value_name = "IP:PORT",
         .help = "caller address of its node, for nested calls",
         .kind = BB_SETTING_ADDRESS,
         .default_value = "127.0.0.1:0",
         .to.address = &u->node_address},
        {.name = "exponential",
         .help = "exponential service times",
         .kind = BB_SETTING_FLAG,
         .to.flag = &s->is_exponential},
        {.name = "log-json",
         .help = "log in JSON",
         .kind = BB_SETTING_FLAG,
         .to.flag = &s->log_json},
        {.name = "shedding",
         .help = "refuse all requests",
         .kind = BB_SETTING_FLAG,
         .to.flag = &v->is_shedding},
        NUMBER_ROW("lifetime-ms", "MS", "lifetime of an announcement", "1500",
                   30, MS_MAX, &u->lifetime_ms),
        NUMBER_ROW("idle-timeout-s", "S",
                   "idle time after which connections are closed", "60", 1,
                   IDLE_TIMEOUT_MAX_S, &u->idle_timeout_s),
        NUMBER_ROW("slots", "N", "maximum concurrent requests", "6", 1, 100000,
                   &v->slots),
        NUMBER_ROW("connections", "N", "maximum connections", "130", 1, 100000,
                   &v->connections),
        NUMBER_ROW("service-us", "US", "mean service time", "1000", 0,
                   SERVICE_MAX_US, &v->service_us),
        NUMBER_ROW("long-permille", "N",
                   "requests with long work, in permille", "0", 0, 1000,
                   &v->long_permille),
        NUMBER_ROW("long-factor", "N",
                   "factor by which long work takes longer", "50", 1, 100000,
                   &v->long_factor),
        NUMBER_ROW("cold-start-ms", "MS", "duration of the cold start", "0", 0,
                   MS_MAX, &v->cold_start_ms),
        NUMBER_ROW("cold-factor", "N", "slowdown during the cold start", "4",
                   1, 1000, &v->cold_factor),
        NUMBER_ROW("slow-period-ms", "MS", "period of slow phases; 0: none",
                   "0", 0, MS_MAX, &v->slow_period_ms),
        NUMBER_ROW("slow-ms", "MS", "duration of a slow phase", "2000", 0,
                   MS_MAX, &v->slow_ms),
        NUMBER_ROW("slow-factor", "N", "slowdown in a slow phase", "10", 1,
                   1000, &v->slow_factor),
        NUMBER_ROW("load-lag-ms", "MS", "age of the reported load", "0", 0,
                   MS_MAX, &v->load_lag_ms),
        NUMBER_ROW("load-percent", "N",
                   "reported load, in percent of the true load", "100", 0,
                   1000, &v->load_percent),
        NUMBER_ROW("seed", "N", "seed of the random source", "1", 0,
                   UINT64_MAX, &s->seed),
        NUMBER_ROW("drain-ms", "MS",
                   "maximum wait for running requests at shutdown", "10000", 0,
                   MS_MAX, &s->drain_ms),
    };
    enum bb_settings_result result = bb_settings_read(
        "baobab-upstream", "Simulated upstream for tests and the demo.", table,
        sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);

    v->distribution = s->is_exponential ? BB_UPSTREAM_DISTRIBUTION_EXPONENTIAL
                                        : BB_UPSTREAM_DISTRIBUTION_FIXED;
    return result;
}

/* Announces the upstream three times per lifetime of an announcement until
 * SIGTERM or SIGINT arrives. */
static void
announce_until_signal(struct bb_upstream_sim *u, const sigset_t *signals)
{
    struct timespec interval =
        bb_clock_to_timespec(u->lifetime_ms * BB_US_PER_MS / 3);

    do {
        if (u->announce_address.port != 0) {
            bb_upstream_sim_send_announcement(u);
        }
    } while (sigtimedwait(signals, NULL, &interval) < 0);
}

/* Refuses new requests, waits up to drain_ms for those in flight, then
 * announces that the upstream is leaving. */
static void
drain(struct bb_upstream_sim *u, uint64_t drain_ms)
{
    uint64_t end_us = bb_clock_now_us() + drain_ms * BB_US_PER_MS;

    bb_log_info("upstream.drain", "draining, %u requests in flight",
                bb_runs_active_count(u->runs));
    atomic_store(&u->state, BB_UPSTREAM_DRAINING);
    if (u->announce_address.port != 0) {
        bb_upstream_sim_send_announcement(u);
    }
    while (bb_runs_active_count(u->runs) > 0 && bb_clock_now_us() < end_us) {
        bb_clock_sleep_us((uint64_t)DRAIN_CHECK_INTERVAL_MS * BB_US_PER_MS);
    }
    atomic_store(&u->state, BB_UPSTREAM_LEAVING);
    if (u->announce_address.port != 0) {
        bb_upstream_sim_send_announcement(u);
    }
}

int
main(int argc, char **argv)
{
    struct upstream_settings s = {0};
    struct bb_upstream_sim *u = &s.upstream;
    struct bb_error e = {0};
    struct MHD_Daemon *daemon;
    char text[BB_ADDRESS_TEXT_BYTES];
    sigset_t signals;

    switch (read_settings(&s, argc, argv, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-upstream: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    (void)sigemptyset(&signals);
    (void)sigaddset(&signals, SIGTERM);
    (void)sigaddset(&signals, SIGINT);
    (void)pthread_sigmask(SIG_BLOCK, &signals, NULL);
    (void)ne_sock_init();
    bb_log_init("baobab-upstream", u->host, s.log_json);
    bb_behaviour_init(&u->behaviour, &s.values, s.seed);
    u->runs = bb_runs_create(&u->behaviour);
    atomic_store(&u->state, BB_UPSTREAM_READY);
    daemon = bb_upstream_sim_start_server(u, &e);
    if (daemon == NULL) {
        (void)fprintf(stderr, "baobab-upstream: %s\n", e.message);
        return BB_EXIT_INTERNAL;
    }
    bb_log_info("upstream.start", "service %s on %s", u->service,
                bb_address_format(&u->listen_address, text));
    announce_until_signal(u, &signals);
    drain(u, s.drain_ms);
    MHD_stop_daemon(daemon);
    bb_runs_destroy(u->runs);
    bb_behaviour_clear(&u->behaviour);
    return BB_EXIT_OK;
}
