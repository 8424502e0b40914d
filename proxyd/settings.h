/* Settings of baobab-proxy. */
#ifndef BB_PROXYD_SETTINGS_H
#define BB_PROXYD_SETTINGS_H

#include "common/settings.h"

struct proxy_settings {
    const char *host;
    const char *ip;
    const char *zone;
    const char *region;
    const char *service;
    const char *dialect;
    const char *upstream;
    const char *live_file;
    struct bb_address upstream_address;
    struct bb_address entry;
    struct bb_address gate;
    struct bb_address ready;
    struct bb_address announce;
    struct bb_address metrics;
    struct bb_address_list seeds;
    uint64_t control_port;
    uint64_t grace_s;
    uint64_t retry_window_s;
    uint64_t retry_allowance;
    const char *retry_ratio;
    uint32_t retry_ratio_permille;
};

enum bb_settings_result proxy_settings_read(struct proxy_settings *s, int argc,
                                            char **argv, struct bb_error *e);

#endif
