/* baobab-replay: replays trace files against the decision modules. */
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "common/settings.h"
#include "replay/replay.h"

enum { TRACES_MAX = 16 /* most operands that bb_settings_read stores */ };

/* Replays one file. Prints a summary to stdout, or the first error to stderr.
 */
static enum bb_exit
replay_file(const char *path, bool is_verbose)
{
    struct bb_replay_summary s;
    struct bb_error e = {0};
    FILE *in = fopen(path, "rb");
    bool ok;

    if (in == NULL) {
        (void)fprintf(stderr, "baobab-replay: %s: %s\n", path,
                      strerror(errno));
        return BB_EXIT_INTERNAL;
    }
    ok = bb_replay_run_trace(in, is_verbose, &s, &e);
    (void)fclose(in);
    if (!ok) {
        (void)fprintf(stderr, "baobab-replay: %s: %s\n", path, e.message);
        return e.code == BB_REPLAY_ERROR_READ ? BB_EXIT_INTERNAL
                                              : BB_EXIT_FAILED;
    }
    printf("%s: %" PRIu32 " events, %" PRIu32 " expectations met\n", path,
           s.event_count, s.expectation_count);
    return BB_EXIT_OK;
}

int
main(int argc, char **argv)
{
    bool is_verbose = false;
    const struct bb_setting table[] = {
        {.name = "verbose",
         .help = "print the result of each event",
         .kind = BB_SETTING_FLAG,
         .to.flag = &is_verbose},
    };
    const char *paths[TRACES_MAX];
    size_t count = 0;
    enum bb_exit result = BB_EXIT_OK;
    struct bb_error e = {0};

    switch (bb_settings_read(
        "baobab-replay", "replay traces against the decision modules", table,
        sizeof(table) / sizeof(table[0]), argc, argv, paths, &count, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-replay: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    if (count == 0) {
        (void)fprintf(stderr, "baobab-replay: no trace file given\n");
        return BB_EXIT_USAGE;
    }
    for (size_t i = 0; i < count; i++) {
        enum bb_exit one = replay_file(paths[i], is_verbose);

        if (one > result) {
            result = one;
        }
    }
    return result;
}
