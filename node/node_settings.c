#include "node_settings.h"

#include "common/registry.h"

enum {
    WORKERS_MIN = 4,
    WORKERS_MAX = 1024,
    SHUTDOWN_MAX_MS = 10 * 60 * 1000,
    FOLDER_MAX_BYTES = 4000,
    TOKEN_MAX_BYTES = 256,
    CONTROL_LIST_MAX_BYTES = 4096,
    ERROR_UNKNOWN_POLICY = 1
};

/* Reads the settings from flags, environment and defaults, and validates them.
 * On BB_SETTINGS_INVALID sets an error. */
enum bb_settings_result
bb_node_settings_read(int argc, char **argv, struct bb_node_settings *out,
                      struct bb_error *e)
{
    const struct bb_setting table[] = {
        {"host", "NAME", "name of this host, unique in the mesh",
         BB_SETTING_TEXT, true, NULL, 1, BB_NAME_BYTES - 1,
         .to.text = &out->host},
        {"zone", "NAME", "availability zone of this host", BB_SETTING_TEXT,
         true, NULL, 1, BB_NAME_BYTES - 1, .to.text = &out->zone},
        {"region", "NAME", "region of this host", BB_SETTING_TEXT, true, NULL,
         1, BB_NAME_BYTES - 1, .to.text = &out->region},
        {"control", "HOST/ZONE/REGION/IP:PORT,...", "the control hosts",
         BB_SETTING_TEXT, true, NULL, 1, CONTROL_LIST_MAX_BYTES,
         .to.text = &out->control_hosts_text},
        {"listen", "IP:PORT", "address for callers and other nodes",
         BB_SETTING_ADDRESS, false, "127.0.0.1:8080",
         .to.address = &out->listen_address},
        {"local", "IP:PORT", "address for the upstream of this host",
         BB_SETTING_ADDRESS, false, "127.0.0.1:8081",
         .to.address = &out->local_address},
        {"rpc", "IP:PORT", "address for RPC", BB_SETTING_ADDRESS, false,
         "127.0.0.1:8082", .to.address = &out->rpc_address},
        {"gossip", "IP:PORT", "UDP address for membership", BB_SETTING_ADDRESS,
         false, "127.0.0.1:8083", .to.address = &out->gossip_address},
        {"admin", "IP:PORT", "address of the administration API",
         BB_SETTING_ADDRESS, false, "127.0.0.1:8084",
         .to.address = &out->admin_address},
        {"admin-token", "TEXT", "bearer token for changes of state",
         BB_SETTING_TEXT, false, NULL, 1, TOKEN_MAX_BYTES,
         .to.text = &out->admin_token},
        {"data", "FOLDER", "keep a copy of the configuration here",
         BB_SETTING_TEXT, false, NULL, 1, FOLDER_MAX_BYTES,
         .to.text = &out->data_folder},
        {"workers", "N", "calls at depth 0 at a time", BB_SETTING_NUMBER,
         false, "256", WORKERS_MIN, WORKERS_MAX, .to.number = &out->workers},
        {"shutdown-ms", "MILLISECONDS", "longest wait for requests in flight",
         BB_SETTING_NUMBER, false, "30000", 0, SHUTDOWN_MAX_MS,
         .to.number = &out->shutdown_ms},
        {"seed", "NUMBER", "random seed; 0 takes one from the system",
         BB_SETTING_NUMBER, false, "0", 0, UINT64_MAX,
         .to.number = &out->seed},
        {"routing-policy", "NAME", "least_wait or round_robin",
         BB_SETTING_TEXT, false, "least_wait", 1, BB_NAME_BYTES - 1,
         .to.text = &out->routing_policy},
        {"ignore-slots", NULL, "measurements only: no limit by slots",
         BB_SETTING_FLAG, .to.flag = &out->ignores_slots},
        {"log-json", NULL, "write log lines as JSON", BB_SETTING_FLAG,
         .to.flag = &out->log_json},
    };
    enum bb_settings_result result = bb_settings_read(
        "baobab-node", "entry point and admission control of an upstream host",
        table, sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);

    if (result == BB_SETTINGS_RUN &&
        !bb_control_list_parse(out->control_hosts_text, &out->control_hosts,
                               e)) {
        result = BB_SETTINGS_INVALID;
    }
    if (result == BB_SETTINGS_RUN &&
        bb_plugin_find(BB_PLUGIN_ROUTING_POLICY, out->routing_policy) ==
            NULL) {
        bb_error_set(e, ERROR_UNKNOWN_POLICY,
                     "setting routing-policy: value '%s' is not allowed; use "
                     "least_wait or round_robin",
                     out->routing_policy);
        result = BB_SETTINGS_INVALID;
    }
    return result;
}
