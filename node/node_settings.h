/* Settings of baobab-node. */
#ifndef BB_NODE_SETTINGS_H
#define BB_NODE_SETTINGS_H

#include "common/settings.h"
#include "mesh/control_list.h"

struct bb_node_settings {
    const char *host;
    const char *zone;
    const char *region;
    const char *control_hosts_text; /* as given; parsed into control_hosts */
    struct bb_control_list control_hosts;
    struct bb_address listen_address;
    struct bb_address local_address;
    struct bb_address rpc_address;
    struct bb_address gossip_address;
    struct bb_address admin_address;
    const char *admin_token; /* NULL: requests that change state are refused */
    const char *data_folder; /* NULL: no copy is kept on disk */
    uint64_t workers;        /* concurrent calls at depth 0 */
    uint64_t shutdown_ms;    /* longest wait for requests in flight */
    const char *routing_policy;
    bool ignores_slots; /* for measurements: slots do not limit requests */
    uint64_t seed;      /* 0: taken from the system */
    bool log_json;
};

enum bb_settings_result bb_node_settings_read(int argc, char **argv,
                                              struct bb_node_settings *out,
                                              struct bb_error *e);

#endif
