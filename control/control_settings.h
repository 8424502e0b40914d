/* The settings of baobab-control, from flags and environment. */
#ifndef BB_CONTROL_SETTINGS_H
#define BB_CONTROL_SETTINGS_H

#include "common/settings.h"
#include "mesh/control_list.h"

struct bb_control_settings {
    const char *host; /* name of this host */
    const char *zone;
    const char *region;
    const char *control_hosts_text; /* as given; parsed into control_hosts */
    struct bb_control_list control_hosts;
    const char *config_folder;
    const char *data_folder;
    struct bb_address rpc_address; /* default: from control_hosts */
    struct bb_address gossip_address;
    struct bb_address admin_address;
    const char *admin_token; /* NULL: requests that change state are refused */
    uint64_t first_revision; /* of a new cluster */
    uint64_t seed;           /* 0: taken from the system */
    bool log_json;
};

enum bb_settings_result
bb_control_settings_read(int argc, char **argv,
                         struct bb_control_settings *out, struct bb_error *e);

#endif
