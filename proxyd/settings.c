/* Settings of baobab-proxy. */
#include "settings.h"

#include <glib.h>

#include "net/buffers.h"

enum {
    PERMILLE = 1000,
    /* Below the first value, a lease would not last from one question to the
     * answer of the next. */
    REVOKE_MIN_MS = 500,
    REVOKE_MAX_MS = 3600 * 1000
};

/* Codes of errors that proxyd_settings_read sets itself. */
enum proxyd_settings_error { PROXYD_SETTINGS_ERROR_VALUE = 1 };

/* Reads whether revocation is strict; empty means false, as the template of a
 * deployment may lack the value. Returns false and sets the error if it is
 * neither true nor false, or the time for revocation is not given. */
static bool
read_revocation(struct proxyd_settings *s, struct bb_error *e)
{
    if (g_ascii_strcasecmp(s->strict_revoke, "true") == 0) {
        s->is_revoke_strict = true;
    }
    else if (g_ascii_strcasecmp(s->strict_revoke, "false") != 0 &&
             s->strict_revoke[0] != '\0') {
        return bb_error_set(e, PROXYD_SETTINGS_ERROR_VALUE,
                            "strict-revoke: %s is neither true nor false",
                            s->strict_revoke);
    }
    if (s->is_revoke_strict && s->revoke_ms == 0) {
        return bb_error_set(e, PROXYD_SETTINGS_ERROR_VALUE,
                            "strict-revoke is true, but revoke is not given");
    }
    return true;
}

/* Parses a share from 0 to 1; an empty text is 0. Returns false and sets the
 * error if it is none. */
static bool
parse_share(const char *name, const char *text, double *share,
            struct bb_error *e)
{
    char *end = NULL;

    *share = g_ascii_strtod(text, &end);
    if (*end != '\0' || !(*share >= 0 && *share <= 1)) {
        return bb_error_set(e, PROXYD_SETTINGS_ERROR_VALUE,
                            "%s: %s is not a number from 0 to 1", name, text);
    }
    return true;
}

/* Sets the settings that are given as texts. Returns false and sets the error
 * if one is invalid. */
static bool
parse_texts(struct proxyd_settings *s, struct bb_error *e)
{
    double ratio = 0;
    double share = 0;

    if (!parse_share("retry-ratio", s->retry_ratio, &ratio, e) ||
        !parse_share("canary-share", s->canary_share, &share, e)) {
        return false;
    }
    s->retry_ratio_permille = (uint32_t)(ratio * PERMILLE);
    s->uses_versions = share > 0;
    if (!bb_address_parse(s->upstream_address_text, &s->upstream_address)) {
        return bb_error_set(e, PROXYD_SETTINGS_ERROR_VALUE,
                            "upstream: %s is not of the form IP:PORT",
                            s->upstream_address_text);
    }
    return read_revocation(s, e);
}

/* Reads flags and environment variables. Returns whether the program is to run
 * or to exit, or BB_SETTINGS_INVALID and sets the error. */
enum bb_settings_result
proxyd_settings_read(struct proxyd_settings *s, int argc, char **argv,
                     struct bb_error *e)
{
    const struct bb_setting table[] = {
        BB_DAEMON_SETTING_ROWS(
            &s->common, "header fields and formats of callers and upstreams",
            "port of control hosts for nodes"),
        BB_SETTING_REQUIRED_TEXT("service", "NAME",
                                 "service of the upstream on this host",
                                 &s->service),
        BB_SETTING_REQUIRED_TEXT("upstream", "IP:PORT",
                                 "address of the upstream on this host",
                                 &s->upstream_address_text),
        BB_SETTING_REQUIRED_ADDRESS("listen-entry",
                                    "address for callers on this host",
                                    &s->listen_entry),
        BB_SETTING_REQUIRED_ADDRESS("listen-gate", "address for other nodes",
                                    &s->listen_gate),
        BB_SETTING_REQUIRED_ADDRESS("listen-ready",
                                    "address for the ready check of callers",
                                    &s->listen_ready),
        BB_SETTING_REQUIRED_ADDRESS(
            "listen-announce", "address for announcements of the upstream",
            &s->listen_announce),
        {.name = "grace",
         .value_name = "SECONDS",
         .help = "longest time from SIGTERM to the end of the process",
         .kind = BB_SETTING_NUMBER,
         .default_value = "6",
         .min = 1,
         .max = 600,
         .to.number = &s->grace_s},
        {.name = "retry-window",
         .value_name = "SECONDS",
         .help = "period over which the retry budget counts",
         .kind = BB_SETTING_NUMBER,
         .default_value = "10",
         .min = 1,
         .max = 600,
         .to.number = &s->retry_window_s},
        {.name = "retry-ratio",
         .value_name = "SHARE",
         .help = "retries per request, over all hosts, from 0 to 1",
         .kind = BB_SETTING_TEXT,
         .default_value = "0.2",
         .to.text = &s->retry_ratio},
        {.name = "retry-allowance",
         .value_name = "COUNT",
         .help = "retries of all hosts in each window besides the ratio",
         .kind = BB_SETTING_NUMBER,
         .default_value = "60",
         .max = 1000000,
         .to.number = &s->retry_allowance},
        {.name = "buffers",
         .value_name = "MIB",
         .help = "bytes held for callers and upstreams from which on new "
                 "requests are refused",
         .kind = BB_SETTING_NUMBER,
         .default_value = G_STRINGIFY(BB_BUFFERS_DEFAULT_MIB),
         .min = BB_BUFFERS_MIN_MIB,
         .max = BB_BUFFERS_MAX_MIB,
         .to.number = &s->buffers_mib},
        {.name = "strict-revoke",
         .value_name = "BOOLEAN",
         .help = "whether requests with a key need a lease: true or false; "
                 "empty: false",
         .kind = BB_SETTING_TEXT,
         .may_be_empty = true,
         .default_value = "",
         .to.text = &s->strict_revoke},
        {.name = "revoke",
         .value_name = "MS",
         .help = "time after which a revoked key must be refused; needed for "
                 "strict-revoke, else it may be empty",
         .kind = BB_SETTING_NUMBER,
         .may_be_empty = true,
         .default_value = "",
         .min = REVOKE_MIN_MS,
         .max = REVOKE_MAX_MS,
         .to.number = &s->revoke_ms},
        {.name = "canary-share",
         .value_name = "SHARE",
         .help = "requests that a bad version may get in a rollout, from 0 "
                 "to 1; empty: versions of upstreams are ignored",
         .kind = BB_SETTING_TEXT,
         .default_value = "",
         .may_be_empty = true,
         .to.text = &s->canary_share},
    };
    enum bb_settings_result r = bb_settings_read(
        "baobab-proxy", "Entry and gate of one host with an upstream.", table,
        sizeof(table) / sizeof(table[0]), argc, argv, NULL, NULL, e);

    return r == BB_SETTINGS_RUN && !parse_texts(s, e) ? BB_SETTINGS_INVALID
                                                      : r;
}
