#include "common/registry.h"

#include <string.h>

static struct bb_plugin *first_by_kind[BB_PLUGIN_KIND_COUNT];

/* Adds a plug-in, sorted by name, so that listings do not depend on the link
 * order. */
void
bb_plugin_register(struct bb_plugin *p)
{
    struct bb_plugin **at = &first_by_kind[p->kind];

    while (*at != NULL && strcmp((*at)->name, p->name) < 0) {
        at = &(*at)->next;
    }
    p->next = *at;
    *at = p;
}

/* Returns the first plug-in of a kind, or NULL; the others follow by `next`.
 */
const struct bb_plugin *
bb_plugin_first(enum bb_plugin_kind kind)
{
    return first_by_kind[kind];
}

/* Returns the operations of the plug-in with a kind and a name, or NULL. */
const void *
bb_plugin_find(enum bb_plugin_kind kind, const char *name)
{
    const struct bb_plugin *p = first_by_kind[kind];

    while (p != NULL && strcmp(p->name, name) != 0) {
        p = p->next;
    }
    return p == NULL ? NULL : p->operations;
}
