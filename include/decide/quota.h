/* Quotas of teams: each node admits or refuses requests by itself, with a
 * probability that its control host computes from the use of all nodes.
 *
 * A node (struct bb_quota_node) counts what it admits and refuses and reports
 * it at an interval. A control host (struct bb_quota_core) passes the sums of
 * its nodes on to the other control hosts, keeps a token bucket for each team
 * that all usage is charged to, and derives the ratio from the level and the
 * demand. The ratio is the same for all nodes, so that what one node does not
 * use is available to all others at once.
 *
 * In any window of 5 s a team may run (rate x 5 + burst) x 1.1 + 20 requests;
 * the bucket is larger than the burst by a part of that tolerance, as one of
 * exactly the burst would refuse random demand that is within the rate.
 *
 * Times are microseconds of a clock that counts suspended time: what a node
 * heard before it was frozen is old when it wakes. Rates are thousandths of a
 * request a second (mrps). The caller serialises the calls. */
#ifndef BB_DECIDE_QUOTA_H
#define BB_DECIDE_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

enum {
    /* Interval of the messages of nodes and control hosts. */
    BB_QUOTA_INTERVAL_MS = 200,
    /* Least time between two reports, totals or ratios if a team's demand has
     * jumped. */
    BB_QUOTA_URGENT_MS = 50,
    /* Teams that a node or a control host keeps. */
    BB_QUOTA_TEAMS_MAX = 4096,
    /* A node that has heard nothing for this long admits by its own bucket. */
    BB_QUOTA_SILENCE_MS = 1500,
    /* A node that has heard nothing for this long admits no more than usual. A
     * control host sends its ratios at each interval. */
    BB_QUOTA_QUIET_MS = 500,
    /* Ratios that are not repeated for this long, while the control host sends
     * other messages, have ended. */
    BB_QUOTA_RATIO_VALID_MS = 900,
    /* A node that was not running for this long is taken as frozen; for the
     * second time after that, what it reads may be old. */
    BB_QUOTA_FROZEN_MS = 1000,
    BB_QUOTA_WAKE_MS = 300,
    /* A control host that has sent no totals for this long does not count as
     * reachable. */
    BB_QUOTA_PEER_TIMEOUT_MS = 500,
    BB_QUOTA_PEERS_MAX = 64,
    /* A team without requests for this long is forgotten. Its bucket is full
     * again by then, or the usage is out of every window. */
    BB_QUOTA_IDLE_MS = 15000,
    /* A control host without teams goes on to send for this long, as the other
     * hosts may forget the last team a little later. */
    BB_QUOTA_LINGER_MS = 5000,
    /* All nodes count as reachable for this long after the first team: the
     * other control hosts have to learn of it before they send. */
    BB_QUOTA_BEGIN_MS = 1000,
    BB_QUOTA_PPM = 1000000
};

/* Use of a team's quota since the last report. */
struct bb_quota_usage {
    uint64_t team_id;
    uint32_t rate_mrps; /* of the configuration of the reporting node */
    uint32_t burst;
    int32_t admitted; /* less those that gave their credit back */
    uint32_t refused;
};

/* Share of a team's requests that each node admits. */
struct bb_quota_ratio {
    uint64_t team_id;
    uint32_t admitted_ppm;
};

struct bb_quota_node;

struct bb_quota_node *bb_quota_node_create(uint64_t now_us);
void bb_quota_node_destroy(struct bb_quota_node *q);
bool bb_quota_node_admit(struct bb_quota_node *q, uint64_t team_id,
                         uint32_t rate_mrps, uint32_t burst,
                         uint64_t random_bits, uint64_t now_us,
                         uint32_t *retry_ms);
uint32_t bb_quota_node_chance_ppm(const struct bb_quota_node *q,
                                  uint64_t team_id, uint32_t rate_mrps,
                                  uint32_t burst, uint64_t now_us,
                                  bool *uses_own_bucket);
void bb_quota_node_return(struct bb_quota_node *q, uint64_t team_id);
void bb_quota_node_set_known(struct bb_quota_node *q, uint32_t node_count);
void bb_quota_node_heard(struct bb_quota_node *q, uint64_t now_us);
void bb_quota_node_set_ratios(struct bb_quota_node *q,
                              const struct bb_quota_ratio *ratios,
                              uint32_t count, uint64_t now_us);
uint32_t bb_quota_node_take_report(struct bb_quota_node *q,
                                   struct bb_quota_usage *out, uint32_t max,
                                   uint64_t now_us);
bool bb_quota_node_is_urgent(const struct bb_quota_node *q);
void bb_quota_node_report_lost(struct bb_quota_node *q);
bool bb_quota_node_is_alone(const struct bb_quota_node *q, uint64_t now_us);

struct bb_quota_core;

struct bb_quota_core *bb_quota_core_create(uint32_t window_ms,
                                           uint64_t now_us);
void bb_quota_core_destroy(struct bb_quota_core *q);
void bb_quota_core_set_nodes(struct bb_quota_core *q, uint32_t connected,
                             uint32_t known);
void bb_quota_core_add_usage(struct bb_quota_core *q,
                             const struct bb_quota_usage *u, bool is_own_node,
                             uint64_t now_us);
void bb_quota_core_heard_peer(struct bb_quota_core *q, uint64_t peer_id,
                              uint32_t node_count, uint64_t now_us);
void bb_quota_core_tick(struct bb_quota_core *q, uint64_t now_us);
bool bb_quota_core_is_urgent(const struct bb_quota_core *q);
bool bb_quota_core_is_active(const struct bb_quota_core *q, uint64_t now_us);
uint32_t bb_quota_core_share_permille(const struct bb_quota_core *q);
uint32_t bb_quota_core_take_totals(struct bb_quota_core *q,
                                   struct bb_quota_usage *out, uint32_t max,
                                   uint64_t now_us);
uint32_t bb_quota_core_ratios(const struct bb_quota_core *q,
                              struct bb_quota_ratio *out, uint32_t max);

#endif
