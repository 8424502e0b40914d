/* What a node knows of the upstream next to it, from its own calls. Plain
 * data without I/O. */
#ifndef BB_PATH_UPSTREAM_H
#define BB_PATH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/instances.h"
#include "path/dialect.h"

enum bb_announce_result {
    BB_ANNOUNCE_TAKEN,
    BB_ANNOUNCE_OLD,    /* of an earlier time or incarnation; no effect */
    BB_ANNOUNCE_FOREIGN /* of another upstream than the one here */
};

struct bb_upstream {
    char id[BB_DIALECT_ID_BYTES];
    char service[BB_DIALECT_TEXT_BYTES];
    uint64_t born_ms;
    uint64_t sequence;
    enum bb_instance_state state;
    uint32_t slots;
    uint64_t cold_until_us;
    uint64_t heard_us;
};

enum bb_announce_result bb_upstream_announce(struct bb_upstream *u,
                                             const char *id,
                                             const struct bb_announcement *a,
                                             const char *address,
                                             uint64_t now_us);
bool bb_upstream_withdraw(struct bb_upstream *u, const char *id,
                          uint64_t born_ms);

#endif
