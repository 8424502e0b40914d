/* baobab-load: sends open-loop load as a workload file defines it. */
#include <errno.h>
#include <ne_socket.h>
#include <stdio.h>
#include <string.h>

#include "common/settings.h"
#include "load/engine.h"

enum { MS_MAX = 24 * 3600 * 1000, RATE_MAX = 1000000, THREADS_MAX = 4096 };

struct load_settings {
    struct bb_load_run run;
    const char *workload;
    const char *record;
    uint64_t rate;
    bool is_json;
};

/* Reads the settings from flags and environment variables. */
static enum bb_settings_result
read_settings(struct load_settings *s, int argc, char **argv,
              struct bb_error *e)
{
    struct bb_load_run *run = &s->run;
    const struct bb_setting table[] = {
        {.name = "targets",
         .value_name = "IP:PORT,...",
         .help = "nodes, used in round-robin order",
         .kind = BB_SETTING_ADDRESS_LIST,
         .is_required = true,
         .to.addresses = &run->targets},
        {.name = "workload",
         .value_name = "FILE",
         .help = "workload in JSON",
         .kind = BB_SETTING_TEXT,
         .is_required = true,
         .to.text = &s->workload},
        {.name = "paired",
         .value_name = "IP:PORT",
         .help =
             "pair each call with a direct one to this upstream; port 0: no",
         .kind = BB_SETTING_ADDRESS,
         .default_value = "127.0.0.1:0",
         .to.address = &run->direct},
        {.name = "record",
         .value_name = "FILE",
         .help = "write a JSON line for each call to this file; -: no",
         .kind = BB_SETTING_TEXT,
         .default_value = "-",
         .to.text = &s->record},
        {.name = "json",
         .help = "report in JSON",
         .kind = BB_SETTING_FLAG,
         .to.flag = &s->is_json},
        {.name = "rate",
         .value_name = "N",
         .help = "calls per second; 0: rate of the workload",
         .kind = BB_SETTING_NUMBER,
         .default_value = "0",
         .min = 0,
         .max = RATE_MAX,
         .to.number = &s->rate},
        {.name = "duration-ms",
         .value_name = "MS",
         .help = "duration of the run",
         .kind = BB_SETTING_NUMBER,
         .default_value = "10000",
         .min = 1,
         .max = MS_MAX,
         .to.number = &run->duration_ms},
        {.name = "threads",
         .value_name = "N",
         .help = "maximum concurrent calls, each with a connection per target",
         .kind = BB_SETTING_NUMBER,
         .default_value = "64",
         .min = 1,
         .max = THREADS_MAX,
         .to.number = &run->threads},
        {.name = "timeout-s",
         .value_name = "S",
         .help = "read timeout of one call",
         .kind = BB_SETTING_NUMBER,
         .default_value = "30",
         .min = 1,
         .max = 3600,
         .to.number = &run->timeout_s},
        {.name = "seed",
         .value_name = "N",
         .help = "random seed of the calls and their times",
         .kind = BB_SETTING_NUMBER,
         .default_value = "1",
         .min = 0,
         .max = UINT64_MAX,
         .to.number = &run->seed},
    };

    return bb_settings_read("baobab-load",
                            "Open-loop load; latency counts from the planned "
                            "time of each call.",
                            table, sizeof(table) / sizeof(table[0]), argc,
                            argv, NULL, NULL, e);
}

/* Reads the workload, plans the calls, sends them and prints the report.
 * Returns the exit code, which is BB_EXIT_FAILED if a response didn't belong
 * to its call. */
static int
run_load(struct load_settings *s, struct bb_error *e)
{
    struct bb_load_run *run = &s->run;
    struct bb_workload workload;
    struct bb_load_call *calls = NULL;
    struct bb_load_stats *stats;
    int code = BB_EXIT_OK;

    if (!bb_workload_read(&workload, s->workload, e)) {
        return BB_EXIT_USAGE;
    }
    s->rate = s->rate > 0 ? s->rate : workload.rate;
    if (s->rate == 0 || run->targets.count == 0) {
        bb_error_set(e, 1,
                     "the rate is 0 (set --rate or the rate of the workload) "
                     "or --targets is empty");
        code = BB_EXIT_USAGE;
        goto out;
    }
    if (strcmp(s->record, "-") != 0 &&
        (run->record_file = fopen(s->record, "we")) == NULL) {
        bb_error_set(e, 1, "%s: %s", s->record, g_strerror(errno));
        code = BB_EXIT_INTERNAL;
        goto out;
    }
    calls = bb_workload_plan(&workload, run->seed, s->rate, run->duration_ms,
                             run->direct.port != 0, &run->call_count);
    run->workload = &workload;
    run->calls = calls;
    (void)pthread_mutex_init(&run->record_lock, NULL);
    stats = bb_load_run_execute(run);
    bb_load_write_report(run, stats, s->is_json, stdout);
    code = stats->result_counts[BB_LOAD_WRONG_RESPONSE] > 0 ? BB_EXIT_FAILED
                                                            : BB_EXIT_OK;
    bb_load_stats_destroy(stats);
    if (run->record_file != NULL && fclose(run->record_file) != 0) {
        code = BB_EXIT_INTERNAL;
    }
out:
    g_free(calls);
    bb_workload_clear(&workload);
    return code;
}

int
main(int argc, char **argv)
{
    struct load_settings s = {0};
    struct bb_error e = {0};
    int code;

    switch (read_settings(&s, argc, argv, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-load: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    (void)ne_sock_init();
    code = run_load(&s, &e);
    if (e.code != 0) {
        (void)fprintf(stderr, "baobab-load: %s\n", e.message);
    }
    return code;
}
