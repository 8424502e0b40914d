/* Settings of baobab-core. */
#include "settings.h"

/* Reads the settings from flags and environment variables. See
 * bb_settings_read for the results. */
enum bb_settings_result
cored_settings_read(struct cored_settings *s, int argc, char **argv,
                    struct bb_error *e)
{
    const struct bb_setting table[] = {
        BB_DAEMON_SETTING_ROWS(&s->common, "names used by operators",
                               "of control hosts, for nodes and each other"),
        BB_SETTING_REQUIRED_TEXT("data", "FOLDER",
                                 "where the durable state is stored",
                                 &s->data_folder),
        {.name = "first-start",
         .value_name = "true|false",
         .help = "true: bootstrap the cluster if all seed hosts have "
                 "empty disks",
         .kind = BB_SETTING_TEXT,
         .default_value = "false",
         .to.text = &s->first_start},
        BB_SETTING_REQUIRED_ADDRESS("listen-operators", "for operators",
                                    &s->operator_address),
        {.name = "lost-hosts",
         .value_name = "COUNT",
         .help = "control hosts that may be lost at the same time",
         .kind = BB_SETTING_NUMBER,
         .default_value = "1",
         .max = 3,
         .to.number = &s->tolerated_host_losses},
        {.name = "lost-zones",
         .value_name = "COUNT",
         .help = "availability zones that may be lost at the same time",
         .kind = BB_SETTING_NUMBER,
         .default_value = "0",
         .max = 3,
         .to.number = &s->tolerated_zone_losses},
    };

    return bb_settings_read(
        "baobab-core", "Control host: replicates the configuration by quorum.",
        table, sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);
}
