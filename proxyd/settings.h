/* Settings of baobab-proxy. */
#ifndef BB_PROXYD_SETTINGS_H
#define BB_PROXYD_SETTINGS_H

#include "path/daemon.h"

struct proxyd_settings {
    struct bb_daemon_settings common;
    const char *service;
    const char *upstream_address_text;
    struct bb_address upstream_address;
    struct bb_address listen_entry;
    struct bb_address listen_gate;
    struct bb_address listen_ready;
    struct bb_address listen_announce;
    uint64_t grace_s; /* from SIGTERM to the end of the process */
    uint64_t retry_window_s;
    uint64_t retry_allowance; /* retries of all hosts in a window */
    uint64_t buffers_mib;     /* held for callers and upstreams */
    const char *retry_ratio;  /* retries per request, as text */
    uint32_t retry_ratio_permille;
    const char *strict_revoke; /* as text */
    bool is_revoke_strict;     /* requests with a key need a lease */
    uint64_t revoke_ms;        /* until a revoked key must be refused */
    const char *canary_share;  /* as text; empty: versions are ignored */
    bool uses_versions;
};

enum bb_settings_result proxyd_settings_read(struct proxyd_settings *s,
                                             int argc, char **argv,
                                             struct bb_error *e);

#endif
