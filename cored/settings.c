/* Settings of baobab-core. */
#include "settings.h"

#include <glib.h>

enum {
    PERMILLE = 1000,
    CANARY_SLACK_MAX = 1000000,
    ROLLBACK_MAX_MS = 600000,
    DEFAULT_SLACK = 50,
    DEFAULT_ROLLBACK_MS = 5000,
    QUOTA_WINDOW_MAX_S = 3600,
    MS_PER_S = 1000
};

/* Codes of errors that cored_settings_read sets itself. */
enum cored_settings_error { CORED_SETTINGS_ERROR_VALUE = 1 };

/* Parses a number that may be empty, which leaves *value as it is. Returns
 * false and sets the error if it is not a number from 0 to max. */
static bool
parse_optional(const char *name, const char *text, double max, double *value,
               struct bb_error *e)
{
    char *end = NULL;
    double number;

    if (text[0] == '\0') {
        return true;
    }
    number = g_ascii_strtod(text, &end);
    if (*end != '\0' || !(number >= 0 && number <= max)) {
        return bb_error_set(e, CORED_SETTINGS_ERROR_VALUE,
                            "%s: %s is not a number from 0 to %.0f", name,
                            text, max);
    }
    *value = number;
    return true;
}

/* Sets the bounds of rollouts and the window of quotas from their texts. */
static bool
parse_bounds(struct cored_settings *s, struct bb_error *e)
{
    double share = 0;
    double slack = DEFAULT_SLACK;
    double rollback_ms = DEFAULT_ROLLBACK_MS;
    double window_s = 0;

    if (!parse_optional("canary-share", s->canary_share, 1, &share, e) ||
        !parse_optional("canary-slack", s->canary_slack, CANARY_SLACK_MAX,
                        &slack, e) ||
        !parse_optional("rollback", s->rollback_ms, ROLLBACK_MAX_MS,
                        &rollback_ms, e) ||
        !parse_optional("quota-window", s->quota_window_s, QUOTA_WINDOW_MAX_S,
                        &window_s, e)) {
        return false;
    }
    s->quota_window_ms = (uint32_t)(window_s * MS_PER_S);
    s->rollout_bounds = (struct bb_rollout_bounds){
        .canary_permille = (uint32_t)(share * PERMILLE + 0.5),
        .slack_requests = (uint32_t)slack,
        .rollback_ms = (uint32_t)rollback_ms};
    return true;
}

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
        {.name = "canary-share",
         .value_name = "SHARE",
         .help = "requests that a bad version may get in a rollout, from 0 "
                 "to 1; empty: no rollouts",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .may_be_empty = true,
         .to.text = &s->canary_share},
        {.name = "canary-slack",
         .value_name = "COUNT",
         .help = "requests that a bad version may get besides that share",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .may_be_empty = true,
         .to.text = &s->canary_slack},
        {.name = "rollback",
         .value_name = "MS",
         .help = "time from the 50th bad response of a version to its last "
                 "request",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .may_be_empty = true,
         .to.text = &s->rollback_ms},
        {.name = "quota-window",
         .value_name = "SECONDS",
         .help = "a team may use rate x window + burst in any such window; "
                 "empty: a bucket of the burst, filled at the rate",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .may_be_empty = true,
         .to.text = &s->quota_window_s},
    };
    enum bb_settings_result r = bb_settings_read(
        "baobab-core", "Control host: replicates the configuration by quorum.",
        table, sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);

    return r == BB_SETTINGS_RUN && !parse_bounds(s, e) ? BB_SETTINGS_INVALID
                                                       : r;
}
