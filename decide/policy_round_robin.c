/* Routing policy round_robin: takes each usable candidate in turn. Serves as
 * the baseline for comparing other policies. */
#include "common/registry.h"
#include "decide/route_pick.h"

/* Returns the next position in usable[] in turn; usable_count is 1 or more. */
static uint32_t
choose(struct bb_route_state *s,
       const struct bb_route_candidate *const *candidates,
       const uint32_t *usable, uint32_t usable_count,
       const struct bb_route_request *r, uint64_t random_bits, uint64_t now_us)
{
    (void)candidates;
    (void)usable;
    (void)r;
    (void)random_bits;
    (void)now_us;
    return (uint32_t)(s->round_robin_next++ % usable_count);
}

static const struct bb_routing_policy round_robin = {.choose = choose};

BB_PLUGIN(round_robin, BB_PLUGIN_ROUTING_POLICY, "round_robin", &round_robin);
