/* baobab-control: runs one control host until a signal. */
#include <stdio.h>

#include "common/log.h"
#include "common/random.h"
#include "common/stop_signal.h"
#include "daemon.h"

int
main(int argc, char **argv)
{
    struct bb_control c = {0};
    struct bb_error e = {0};
    int result = BB_EXIT_INTERNAL;

    switch (bb_control_settings_read(argc, argv, &c.settings, &e)) {
    case BB_SETTINGS_EXIT:
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        (void)fprintf(stderr, "baobab-control: %s\n", e.message);
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    if (c.settings.seed == 0) {
        c.settings.seed = bb_random_system_seed();
    }
    bb_stop_signal_block();
    bb_log_init("baobab-control", c.settings.host, c.settings.log_json);
    if (!bb_control_start(&c, &e)) {
        bb_log_warning("control.start_failed", "%s", e.message);
        goto out;
    }
    bb_log_info("control.started", "zone %s, region %s", c.settings.zone,
                c.settings.region);
    (void)bb_stop_signal_wait();
    bb_log_info("control.stopping", "signal received");
    result = BB_EXIT_OK;
out:
    bb_control_stop(&c);
    return result;
}
