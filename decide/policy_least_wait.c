/* Routing policy least_wait (power of two choices): draws two candidates by
 * weight and takes the one with the lower expected duration. */
#include "common/registry.h"
#include "decide/route_pick.h"

enum { HALF_BITS = 32 };

/* Returns the weight of a candidate. An ejected one has weight 0 and is
 * offered only when all others are full; it gets the weight of a probe. */
static uint32_t
weight_of(const struct bb_route_candidate *c)
{
    return c->weight_permille > 0 ? c->weight_permille
                                  : (uint32_t)BB_ROUTE_WEIGHT_PROBE_PERMILLE;
}

/* Returns a random position in usable[], in proportion to the weights. */
static uint32_t
draw_by_weight(const struct bb_route_candidate *const *candidates,
               const uint32_t *usable, uint32_t usable_count,
               uint32_t random_bits)
{
    uint64_t sum = 0;
    uint64_t offset;

    for (uint32_t i = 0; i < usable_count; i++) {
        sum += weight_of(candidates[usable[i]]);
    }
    if (usable_count == 0) {
        return 0;
    }
    if (sum == 0) {
        return 0;
    }
    offset = random_bits % sum;
    for (uint32_t i = 0; i < usable_count; i++) {
        uint32_t weight = weight_of(candidates[usable[i]]);

        if (offset < weight) {
            return i;
        }
        offset -= weight;
    }
    return usable_count - 1;
}

/* Returns the position in usable[] of the better of two draws; usable_count is
 * 1 or more. If one of the two has a reduced weight after an ejection, the
 * first draw is taken without a comparison: the old latency of that candidate
 * would always lose. */
static uint32_t
choose(struct bb_route_state *s,
       const struct bb_route_candidate *const *candidates,
       const uint32_t *usable, uint32_t usable_count,
       const struct bb_route_request *r, uint64_t random_bits, uint64_t now_us)
{
    uint32_t first = draw_by_weight(candidates, usable, usable_count,
                                    (uint32_t)random_bits);
    uint32_t second = draw_by_weight(candidates, usable, usable_count,
                                     (uint32_t)(random_bits >> HALF_BITS));
    const struct bb_route_candidate *a = candidates[usable[first]];
    const struct bb_route_candidate *b;

    (void)s;
    if (first == second) {
        second = (second + 1) % usable_count;
    }
    b = candidates[usable[second]];
    if (a->weight_permille < BB_ROUTE_WEIGHT_FULL_PERMILLE) {
        return first;
    }
    if (b->weight_permille < BB_ROUTE_WEIGHT_FULL_PERMILLE) {
        return first;
    }
    return bb_route_candidate_expected_duration_us(b, r->work_class, now_us) <
                   bb_route_candidate_expected_duration_us(a, r->work_class,
                                                           now_us)
               ? second
               : first;
}

static const struct bb_routing_policy least_wait = {.choose = choose};

BB_PLUGIN(least_wait, BB_PLUGIN_ROUTING_POLICY, "least_wait", &least_wait);
