/* Settings of baobab-core. */
#ifndef BB_CORED_SETTINGS_H
#define BB_CORED_SETTINGS_H

#include "path/daemon.h"

struct cored_settings {
    struct bb_daemon_settings common;
    const char *data_folder;
    const char *first_start;     /* "true" means true, any other text false */
    struct bb_address operators; /* where operators connect */
    uint64_t lost_hosts;         /* that may be lost at the same time */
    uint64_t lost_zones;         /* that may be lost at the same time */
};

enum bb_settings_result cored_settings_read(struct cored_settings *s, int argc,
                                            char **argv, struct bb_error *e);

#endif
