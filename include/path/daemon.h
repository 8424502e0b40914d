/* Event loop, signals, log and metrics of a long-running program, and settings
 * that are read again while it runs. */
#ifndef BB_PATH_DAEMON_H
#define BB_PATH_DAEMON_H

#include <stdbool.h>
#include <uv.h>

#include "common/address.h"
#include "common/error.h"
#include "common/settings.h"
#include "net/http_server.h"

/* Settings that all long-running programs have. */
struct bb_daemon_settings {
    const char *host;
    const char *ip;
    const char *zone;
    const char *region;
    const char *dialect;
    const char *live_settings_file; /* empty: none */
    struct bb_address metrics;
    struct bb_address_list seeds;
    uint64_t control_port;
};

enum { BB_PORT_MAX = 65535 };

/* Rows of these settings for a program's table of settings. dialect_help_
 * and port_help_ are the help texts of the dialect and of the control port. */
#define BB_DAEMON_SETTING_ROWS(settings_, dialect_help_, port_help_)          \
    BB_SETTING_REQUIRED_TEXT("host", "NAME", "name of this host",             \
                             &(settings_)->host),                             \
        BB_SETTING_REQUIRED_TEXT("ip", "IP", "address of this host",          \
                                 &(settings_)->ip),                           \
        BB_SETTING_REQUIRED_TEXT("zone", "NAME", "availability zone",         \
                                 &(settings_)->zone),                         \
        BB_SETTING_REQUIRED_TEXT("region", "NAME", "region",                  \
                                 &(settings_)->region),                       \
        {.name = "dialect",                                                   \
         .value_name = "NAME",                                                \
         .help = (dialect_help_),                                             \
         .kind = BB_SETTING_TEXT,                                             \
         .default_value = "platform",                                         \
         .to.text = &(settings_)->dialect},                                   \
        {.name = "live-settings",                                             \
         .value_name = "FILE",                                                \
         .help = "file with settings that may change, read again on SIGHUP",  \
         .kind = BB_SETTING_TEXT,                                             \
         .default_value = "",                                                 \
         .may_be_empty = true,                                                \
         .to.text = &(settings_)->live_settings_file},                        \
        BB_SETTING_REQUIRED_ADDRESS("listen-metrics",                         \
                                    "metrics in the Prometheus text format",  \
                                    &(settings_)->metrics),                   \
        {.name = "seeds",                                                     \
         .value_name = "IP:PORT,...",                                         \
         .help = "operator addresses of up to three control hosts",           \
         .kind = BB_SETTING_ADDRESS_LIST,                                     \
         .is_required = true,                                                 \
         .to.addresses = &(settings_)->seeds},                                \
    {                                                                         \
        .name = "control-port", .value_name = "PORT", .help = (port_help_),   \
        .kind = BB_SETTING_NUMBER, .is_required = true, .min = 1,             \
        .max = BB_PORT_MAX, .to.number = &(settings_)->control_port           \
    }

/* Event loop, signal handling, log and metrics; one for each process. */
struct bb_daemon;

struct bb_daemon_events {
    void (*stop)(void *context);   /* SIGTERM or SIGINT, once */
    void (*reload)(void *context); /* SIGHUP */
};

struct bb_daemon *bb_daemon_create(const char *program, const char *host_name,
                                   const struct bb_daemon_events *events,
                                   void *context);
/* Responds to a request on the metrics address. */
typedef void bb_daemon_page(void *context, struct bb_http_exchange *x);

uv_loop_t *bb_daemon_loop(struct bb_daemon *d);
bool bb_daemon_serve_metrics(struct bb_daemon *d, const struct bb_address *at,
                             struct bb_error *e);
void bb_daemon_set_page(struct bb_daemon *d, const char *path,
                        bb_daemon_page *serve, void *context);
void bb_daemon_run(struct bb_daemon *d);
void bb_daemon_stop(struct bb_daemon *d);
void bb_daemon_destroy(struct bb_daemon *d);
bool bb_daemon_read_seeds(const char *file, struct bb_address_list *seeds);

#endif
