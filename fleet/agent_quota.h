/* Messages of the quotas of teams at a node: reports what its entry admits and
 * refuses, and applies the ratios of the control host. */
#ifndef BB_FLEET_AGENT_QUOTA_H
#define BB_FLEET_AGENT_QUOTA_H

#include <uv.h>

#include "decide/quota.h"
#include "fleet/frame.h"

struct agent_quota;

struct agent_quota *agent_quota_create(uv_loop_t *loop,
                                       struct bb_quota_node *node);
void agent_quota_destroy(struct agent_quota *q);
void agent_quota_set_connection(struct agent_quota *q,
                                struct bb_fleet_connection *f);
void agent_quota_set_known(struct agent_quota *q, uint32_t node_count);
void agent_quota_receive(struct agent_quota *q, const fleet_message *m);

#endif
