/* Which versions of a service's upstreams may get a request. Without a rollout
 * that is the version in use, the baseline; a rollout adds its target, with a
 * share of the first attempts. Without I/O. */
#ifndef BB_PATH_VERSION_CHOICE_H
#define BB_PATH_VERSION_CHOICE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "decide/rollout.h"
#include "fleet/instances.h"

enum {
    BB_VERSION_BYTES = FLEET_TEXT_MAX_BYTES + 1,
    /* Upstreams of the target that get requests at any share, if there are as
     * many: fewer could not be compared with each other. */
    BB_VERSION_TARGETS_MIN = 3,
    /* The baseline of a service without a rollout is kept once it has been in
     * use for this long and has an upstream. Before that, as when a node
     * starts, records of older upstreams may still arrive. */
    BB_VERSION_SETTLED_MS = 10000
};

enum bb_version_pick {
    BB_VERSION_ANY, /* versions are ignored */
    BB_VERSION_BASELINE,
    BB_VERSION_TARGET
};

/* Versions of one service. */
struct bb_version_choice {
    bool has_rollout;
    enum bb_rollout_state state;
    char baseline[BB_VERSION_BYTES];
    char target[BB_VERSION_BYTES];
    uint32_t share_permille; /* of the target */
    /* Smallest share above 0 that was known in this rollout. */
    uint32_t smaller_share_permille;
    uint32_t credit_permille; /* of the target, for the selection */
    uint64_t baseline_us;     /* without a rollout: since when; 0: none */
    /* Upstreams of the target with a hash up to this get requests. */
    uint64_t target_hash_limit;
};

void bb_version_choice_apply(struct bb_version_choice *v,
                             const fleet_rollout *r, uint32_t random_permille);
enum bb_version_pick bb_version_choice_first(struct bb_version_choice *v,
                                             bool is_in_touch);
enum bb_version_pick
bb_version_choice_retry(const struct bb_version_choice *v);
uint32_t bb_version_choice_share(const struct bb_version_choice *v,
                                 bool is_in_touch);
bool bb_version_choice_permits(const struct bb_version_choice *v,
                               enum bb_version_pick pick);
bool bb_version_choice_allows(const struct bb_version_choice *v,
                              enum bb_version_pick pick, const char *version,
                              uint64_t upstream_hash);
uint32_t bb_version_choice_use_count(uint32_t share_permille,
                                     uint32_t targets);
void bb_version_choice_refresh(struct bb_version_choice *v,
                               const GPtrArray *gates, uint64_t now_us);

#endif
