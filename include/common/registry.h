/* The kernel: a registry of plug-ins that register themselves by constructor
 * before main runs. Read-only afterwards, so it needs no lock. */
#ifndef BB_COMMON_REGISTRY_H
#define BB_COMMON_REGISTRY_H

#include <stddef.h>

enum bb_plugin_kind {
    BB_PLUGIN_CONFIG_SECTION,
    BB_PLUGIN_ROUTING_POLICY,
    BB_PLUGIN_ADMIN_ENDPOINT,
    BB_PLUGIN_CTL_COMMAND,
    BB_PLUGIN_REPLAY_MODULE,
    BB_PLUGIN_DIALECT,
    BB_PLUGIN_KINDS
};

struct bb_plugin {
    enum bb_plugin_kind kind;
    const char *name;
    const void *operations;
    struct bb_plugin *next;
};

void bb_registry_add(struct bb_plugin *p);
const struct bb_plugin *bb_registry_first(enum bb_plugin_kind kind);
const void *bb_registry_find(enum bb_plugin_kind kind, const char *name);

/* Registers operations_ under a kind and a name when the program starts. */
#define BB_PLUGIN(identifier, kind_, name_, operations_)                      \
    static struct bb_plugin identifier##_plugin = {                           \
        .kind = (kind_), .name = (name_), .operations = (operations_)};       \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_registry_add(&identifier##_plugin);                                \
    }                                                                         \
    struct bb_plugin

#endif
