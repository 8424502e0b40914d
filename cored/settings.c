/* Settings of baobab-core. */
#include "settings.h"

enum { PORT_MAX = 65535 };

/* Reads flags and environment variables; returns what the program is to do
 * next. */
enum bb_settings_result
core_settings_read(struct core_settings *s, int argc, char **argv,
                   struct bb_error *e)
{
    const struct bb_setting table[] = {
        BB_SETTING_TEXT_ROW("host", "NAME", "name of this host", &s->host),
        BB_SETTING_TEXT_ROW("ip", "IP", "address of this host", &s->ip),
        BB_SETTING_TEXT_ROW("zone", "NAME", "availability zone", &s->zone),
        BB_SETTING_TEXT_ROW("region", "NAME", "region", &s->region),
        {.name = "dialect",
         .value_name = "NAME",
         .help = "names used by operators",
         .kind = BB_SETTING_TEXT,
         .default_value = "platform",
         .to.text = &s->dialect},
        BB_SETTING_TEXT_ROW("data", "FOLDER", "where the agreed state is kept",
                            &s->data_folder),
        {.name = "live-settings",
         .value_name = "FILE",
         .help = "file with settings that may change, read again on SIGHUP",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .to.text = &s->live_file},
        {.name = "first-start",
         .value_name = "true|false",
         .help = "the whole system starts for the first time",
         .kind = BB_SETTING_TEXT,
         .default_value = "false",
         .to.text = &s->first_start},
        BB_SETTING_ADDRESS_ROW("listen-operators", "for operators",
                               &s->operators),
        BB_SETTING_ADDRESS_ROW("listen-metrics",
                               "counters in the Prometheus text format",
                               &s->metrics),
        {.name = "seeds",
         .value_name = "IP:PORT,...",
         .help = "operator addresses of up to three control hosts",
         .kind = BB_SETTING_ADDRESS_LIST,
         .is_required = true,
         .to.addresses = &s->seeds},
        {.name = "control-port",
         .value_name = "PORT",
         .help = "of control hosts, for nodes and each other",
         .kind = BB_SETTING_NUMBER,
         .is_required = true,
         .min = 1,
         .max = PORT_MAX,
         .to.number = &s->control_port},
        {.name = "lost-hosts",
         .value_name = "COUNT",
         .help = "control hosts whose loss at a time is survived",
         .kind = BB_SETTING_NUMBER,
         .default_value = "1",
         .max = 3,
         .to.number = &s->lost_hosts},
        {.name = "lost-zones",
         .value_name = "COUNT",
         .help = "availability zones whose loss at a time is survived",
         .kind = BB_SETTING_NUMBER,
         .default_value = "0",
         .max = 3,
         .to.number = &s->lost_zones},
    };

    return bb_settings_read(
        "baobab-core", "Control host: agrees on the configuration.", table,
        sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);
}
