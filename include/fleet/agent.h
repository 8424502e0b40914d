/* The connection of a node to the control hosts: announces the upstream next
 * to it and receives the configuration in force and the other upstreams. It
 * holds one connection, to the nearest control host that is in touch with a
 * majority. */
#ifndef BB_FLEET_AGENT_H
#define BB_FLEET_AGENT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/address.h"
#include "common/settings.h"
#include "fleet/content.h"
#include "fleet/instances.h"

enum {
    BB_AGENT_CONNECT_MS = 400,
    /* Without a sign of life for this long, another host is tried; control
     * hosts send one each second. */
    BB_AGENT_SILENCE_MS = 2200,
    /* A host that says it is out of touch is left after this, if another one
     * is known: an election takes about as long. */
    BB_AGENT_OUT_OF_TOUCH_MS = 1500,
    BB_AGENT_RETRY_MS = 100,
    BB_AGENT_RETRY_MAX_MS = 1000,
    /* A host that failed is tried last for this long. */
    BB_AGENT_AVOID_MS = 6000
};

struct bb_agent;

struct bb_agent_events {
    /* A configuration came into force; raw is the operators' text. */
    void (*in_force)(void *context, uint64_t version, GBytes *raw);
    void (*instance)(void *context, const fleet_instance *i);
    /* What the control hosts hold of this node's own gate from before this
     * connection; NULL: nothing. */
    void (*recalled)(void *context, const fleet_instance *earlier);
    /* The seed addresses are to be read again: no host could be reached. */
    void (*lost)(void *context);
};

struct bb_agent_settings {
    const char *ip;
    const char *zone;
    const char *region;
    const char *gate;   /* address of the own gate, as announced */
    uint16_t peer_port; /* of control hosts */
    /* Wall clock at the start of the process. Orders its announcements after
     * those of earlier runs; the clock may have gone back in between. */
    uint64_t started_ms;
    struct bb_address_list seeds;
};

struct bb_agent *bb_agent_create(uv_loop_t *loop,
                                 const struct bb_agent_settings *s,
                                 const struct bb_agent_events *events,
                                 void *context);
void bb_agent_set_seeds(struct bb_agent *a,
                        const struct bb_address_list *seeds);
void bb_agent_announce(struct bb_agent *a, const fleet_instance *own);
void bb_agent_destroy(struct bb_agent *a);

#endif
