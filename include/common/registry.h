/* Registry of the plug-ins of a program, which register themselves by
 * constructor before main runs. Read-only afterwards, so it needs no lock. */
#ifndef BB_COMMON_REGISTRY_H
#define BB_COMMON_REGISTRY_H

#include <stddef.h>

enum bb_plugin_kind {
    BB_PLUGIN_CONFIG_SECTION,
    BB_PLUGIN_ROUTING_POLICY,
    BB_PLUGIN_ADMIN_ENDPOINT,
    BB_PLUGIN_CTL_COMMAND,
    BB_PLUGIN_REPLAY_MODULE,
    BB_PLUGIN_DIALECT, /* HTTP interface of a platform, see path/dialect.h */
    BB_PLUGIN_KIND_COUNT
};

struct bb_plugin {
    enum bb_plugin_kind kind;
    const char *name;
    const void *operations; /* structure whose type depends on the kind */
    struct bb_plugin *next; /* of the same kind, in the order of names */
};

void bb_plugin_register(struct bb_plugin *p);
const struct bb_plugin *bb_plugin_first(enum bb_plugin_kind kind);
const void *bb_plugin_find(enum bb_plugin_kind kind, const char *name);

/* Defines a plug-in that is registered by constructor before main runs. */
#define BB_PLUGIN(identifier, kind_, name_, operations_)                      \
    static struct bb_plugin identifier##_plugin = {                           \
        .kind = (kind_), .name = (name_), .operations = (operations_)};       \
    __attribute__((constructor)) static void identifier##_register(void)      \
    {                                                                         \
        bb_plugin_register(&identifier##_plugin);                             \
    }                                                                         \
    struct bb_plugin

#endif
