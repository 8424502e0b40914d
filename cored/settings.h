/* Settings of baobab-core. */
#ifndef BB_CORED_SETTINGS_H
#define BB_CORED_SETTINGS_H

#include "path/host.h"

struct core_settings {
    struct bb_daemon_settings common;
    const char *data_folder;
    const char *first_start; /* "true" or "false" */
    struct bb_address operators;
    uint64_t lost_hosts;
    uint64_t lost_zones;
};

enum bb_settings_result core_settings_read(struct core_settings *s, int argc,
                                           char **argv, struct bb_error *e);

#endif
