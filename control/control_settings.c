#include "control_settings.h"

#include <string.h>

enum {
    PATH_SETTING_MAX_BYTES = 4000,
    TOKEN_SETTING_MAX_BYTES = 256,
    CONTROL_LIST_MAX_BYTES = 4096,
    ERROR_OWN_ENTRY = 1
};

/* Checks that the list of control hosts contains this host with the same zone
 * and region. Sets the RPC address to the one in the list unless it was set
 * explicitly. */
static bool
check_own_entry(struct bb_control_settings *s, struct bb_error *e)
{
    const struct bb_control_host *self =
        bb_control_list_find(&s->control_hosts, s->host);

    if (self == NULL) {
        return bb_error_set(e, ERROR_OWN_ENTRY,
                            "setting host: '%s' is not among the hosts of "
                            "setting control",
                            s->host);
    }
    if (strcmp(self->zone, s->zone) != 0 ||
        strcmp(self->region, s->region) != 0) {
        return bb_error_set(e, ERROR_OWN_ENTRY,
                            "setting control gives zone '%s' and region '%s' "
                            "for this host; settings zone and region say "
                            "'%s' and '%s'",
                            self->zone, self->region, s->zone, s->region);
    }
    if (s->rpc_address.port == 0) {
        s->rpc_address = self->rpc_address;
    }
    return true;
}

/* Reads and checks the settings from flags, environment and defaults. Strings
 * point into argv and the environment. On BB_SETTINGS_INVALID *e has the
 * reason. */
enum bb_settings_result
bb_control_settings_read(int argc, char **argv,
                         struct bb_control_settings *out, struct bb_error *e)
{
    const struct bb_setting table[] = {
        {"host", "NAME", "name of this host, one of --control",
         BB_SETTING_TEXT, true, NULL, 1, BB_NAME_BYTES - 1,
         .to.text = &out->host},
        {"zone", "NAME", "availability zone of this host", BB_SETTING_TEXT,
         true, NULL, 1, BB_NAME_BYTES - 1, .to.text = &out->zone},
        {"region", "NAME", "region of this host", BB_SETTING_TEXT, true, NULL,
         1, BB_NAME_BYTES - 1, .to.text = &out->region},
        {"control", "HOST/ZONE/REGION/IP:PORT,...",
         "all control hosts: 1, 3, 5 or 7", BB_SETTING_TEXT, true, NULL, 1,
         CONTROL_LIST_MAX_BYTES, .to.text = &out->control_hosts_text},
        {"folder", "PATH", "folder of configuration files to watch",
         BB_SETTING_TEXT, true, NULL, 1, PATH_SETTING_MAX_BYTES,
         .to.text = &out->config_folder},
        {"data", "PATH", "folder for the durable state", BB_SETTING_TEXT, true,
         NULL, 1, PATH_SETTING_MAX_BYTES, .to.text = &out->data_folder},
        {"rpc", "IP:PORT", "address for RPC; default: that of --control",
         BB_SETTING_ADDRESS, .to.address = &out->rpc_address},
        {"gossip", "IP:PORT", "UDP address for membership gossip",
         BB_SETTING_ADDRESS, false, "127.0.0.1:8093",
         .to.address = &out->gossip_address},
        {"admin", "IP:PORT", "address of the administration API",
         BB_SETTING_ADDRESS, false, "127.0.0.1:8094",
         .to.address = &out->admin_address},
        {"admin-token", "TEXT", "bearer token for changes of state",
         BB_SETTING_TEXT, false, NULL, 1, TOKEN_SETTING_MAX_BYTES,
         .to.text = &out->admin_token},
        {"first-revision", "N", "first revision of a new cluster",
         BB_SETTING_NUMBER, false, "1", 1, UINT64_MAX / 2,
         .to.number = &out->first_revision},
        {"seed", "NUMBER", "random seed; 0 takes one from the system",
         BB_SETTING_NUMBER, false, "0", 0, UINT64_MAX,
         .to.number = &out->seed},
        {"log-json", NULL, "write log lines as JSON", BB_SETTING_FLAG,
         .to.flag = &out->log_json},
    };
    enum bb_settings_result result = bb_settings_read(
        "baobab-control",
        "watches a configuration folder, replicates accepted revisions among "
        "control hosts and distributes them to nodes",
        table, sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);

    if (result == BB_SETTINGS_RUN &&
        (!bb_control_list_parse(out->control_hosts_text, &out->control_hosts,
                                e) ||
         !check_own_entry(out, e))) {
        result = BB_SETTINGS_INVALID;
    }
    return result;
}
