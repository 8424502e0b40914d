/* The witness rosters of a revision: for each service, the hosts whose
 * gatekeepers may be witnesses, which record the claims of its idempotency
 * keys. They are the part of a bundle that the control hosts write; the folder
 * is the operators' part. */
#ifndef BB_CONFIG_ROSTERS_H
#define BB_CONFIG_ROSTERS_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"
#include "common/error.h"
#include "config/config.h"
#include "decide/claim.h"

enum {
    BB_ROSTERS_MAX = 256, /* services */
    /* Host names of all rosters together: twice the 2048 members that the
     * mesh allows, as a host can be in one current and one previous list. */
    BB_ROSTERS_HOST_NAMES_MAX = 4096
};

/* Host names in ascending order, without duplicates. */
struct bb_host_list {
    char (*names)[BB_NAME_BYTES];
    uint32_t count;
};

struct bb_service_roster {
    char service[BB_NAME_BYTES];
    uint64_t epoch; /* from 1, rises with every change of the lists */
    struct bb_host_list hosts;
    /* Hosts before the last change; empty once that change is settled. Until
     * then a claim needs a quorum in both lists. */
    struct bb_host_list previous_hosts;
};

/* A set of rosters, in ascending order of the services. */
struct bb_rosters {
    struct bb_service_roster *items;
    uint32_t count;
};

struct bb_rosters *bb_rosters_create(void);
struct bb_rosters *bb_rosters_copy(const struct bb_rosters *r);
void bb_rosters_destroy(struct bb_rosters *r);
bool bb_rosters_put(struct bb_rosters *r, const struct bb_service_roster *item,
                    struct bb_error *e);
const struct bb_service_roster *bb_rosters_find(const struct bb_rosters *r,
                                                const char *service);
bool bb_service_roster_equal(const struct bb_service_roster *a,
                             const struct bb_service_roster *b);
struct bb_digest bb_rosters_digest(const struct bb_rosters *r,
                                   const struct bb_digest *folder);
uint64_t bb_roster_host_key(const char *host);
void bb_service_roster_to_hashes(const struct bb_service_roster *s,
                                 struct bb_roster *out);

#endif
