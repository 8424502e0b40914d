/* Settings of baobab-core. */
#ifndef BB_CORED_SETTINGS_H
#define BB_CORED_SETTINGS_H

#include "decide/rollout.h"
#include "path/daemon.h"

struct cored_settings {
    struct bb_daemon_settings common;
    const char *data_folder;
    const char *first_start; /* "true" means true, any other text false */
    struct bb_address operator_address; /* where operators connect */
    /* Control hosts, and availability zones, that may be lost at the same
     * time; 0 to 3. */
    uint64_t tolerated_host_losses;
    uint64_t tolerated_zone_losses;
    /* As texts, which may be empty. */
    const char *canary_share;
    const char *canary_slack;
    const char *rollback_ms;
    const char *quota_window_s;
    struct bb_rollout_bounds rollout_bounds; /* canary_permille 0: off */
    uint32_t quota_window_ms;                /* 0: none is stated */
};

enum bb_settings_result cored_settings_read(struct cored_settings *s, int argc,
                                            char **argv, struct bb_error *e);

#endif
