/* A team of the configuration: who sends requests, by which keys, with which
 * priority and quota. */
#ifndef BB_PATH_TEAM_H
#define BB_PATH_TEAM_H

#include <glib.h>
#include <stdint.h>

enum {
    /* Priority of a team that states none; leaves 0 and 1 for more urgent
     * ones. */
    BB_TEAM_DEFAULT_PRIORITY = 2
};

struct bb_team {
    char *name;
    uint64_t id;        /* 64-bit hash of the name, the same on all hosts */
    uint32_t priority;  /* 0: most urgent */
    uint32_t rate_mrps; /* thousandths of a request a second; 0: no limit */
    uint32_t burst;     /* requests beyond the rate */
    GPtrArray *keys;    /* char *, may be empty */
};

struct bb_team *bb_team_create(const char *name);
void bb_team_add_key(struct bb_team *t, const char *key);
void bb_team_destroy(struct bb_team *t);

#endif
