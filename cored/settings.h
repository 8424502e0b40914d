/* Settings of baobab-core. */
#ifndef BB_CORED_SETTINGS_H
#define BB_CORED_SETTINGS_H

#include "common/settings.h"

struct core_settings {
    const char *host;
    const char *ip;
    const char *zone;
    const char *region;
    const char *dialect;
    const char *data_folder;
    const char *live_file;
    const char *first_start; /* "true" or "false" */
    struct bb_address operators;
    struct bb_address metrics;
    struct bb_address_list seeds;
    uint64_t control_port;
    uint64_t lost_hosts;
    uint64_t lost_zones;
};

enum bb_settings_result core_settings_read(struct core_settings *s, int argc,
                                           char **argv, struct bb_error *e);

#endif
