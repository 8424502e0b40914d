/* Parser of the --control setting, the list of all control hosts:
 * HOST/ZONE/REGION/IP:PORT, separated by commas. */
#ifndef BB_MESH_CONTROL_LIST_H
#define BB_MESH_CONTROL_LIST_H

#include <stdbool.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"
#include "config/config.h"

enum { BB_CONTROL_HOSTS_MAX = 7 };

enum bb_control_list_error { BB_CONTROL_LIST_ERROR_FORMAT = 1 };

struct bb_control_host {
    char host[BB_NAME_BYTES];
    char zone[BB_NAME_BYTES];
    char region[BB_NAME_BYTES];
    struct bb_address rpc_address;
};

struct bb_control_list {
    struct bb_control_host items[BB_CONTROL_HOSTS_MAX];
    uint32_t count;
};

bool bb_control_list_parse(const char *text, struct bb_control_list *list,
                           struct bb_error *e);
const struct bb_control_host *
bb_control_list_find(const struct bb_control_list *list, const char *host);

#endif
