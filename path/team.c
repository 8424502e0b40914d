/* Teams of the configuration. */
#include "path/team.h"

#include <string.h>

#include "common/digest.h"

/* Creates a team without keys and without a limit. The name is copied. */
struct bb_team *
bb_team_create(const char *name)
{
    struct bb_team *t = g_new0(struct bb_team, 1);

    t->name = g_strdup(name);
    t->id = bb_hash64(name, strlen(name), 0);
    t->priority = BB_TEAM_DEFAULT_PRIORITY;
    t->keys = g_ptr_array_new_with_free_func(g_free);
    return t;
}

/* Adds a key, which is copied. */
void
bb_team_add_key(struct bb_team *t, const char *key)
{
    g_ptr_array_add(t->keys, g_strdup(key));
}

/* Frees a team. NULL is allowed. */
void
bb_team_destroy(struct bb_team *t)
{
    if (t != NULL) {
        g_ptr_array_free(t->keys, TRUE);
        g_free(t->name);
        g_free(t);
    }
}
