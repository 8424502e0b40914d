/* The components of a running control host, and how they are connected:
 *
 *   source watch --propose--> proposer thread --> replicate
 *   members --> roster keeper --propose--> replicate, on the leader
 *   replicate --committed--> history, source watch, mesh --> relays
 *
 * For relays see mesh/mesh.h. */
#ifndef BB_CONTROL_DAEMON_H
#define BB_CONTROL_DAEMON_H

#include <glib.h>
#include <pthread.h>

#include "admin/admin.h"
#include "config/history.h"
#include "control/proposal.h"
#include "control/replicate.h"
#include "control/source_watch.h"
#include "control_settings.h"
#include "mesh/mesh.h"
#include "mesh/payload.h"
#include "mesh/rpc.h"
#include "roster_keeper.h"

/* Zero-initialise, and set settings, before bb_control_start. */
struct bb_control {
    struct bb_control_settings settings;
    struct bb_rpc_server *rpc_server;
    struct bb_bundle_history *history; /* accepted revisions */
    struct bb_mesh *mesh;
    struct bb_replicate *replicate;
    struct bb_source_watch *source_watch;
    struct bb_admin_server *admin;
    struct bb_proposal_target proposal_target;
    struct bb_roster_keeper *roster_keeper;
    GAsyncQueue *proposal_queue; /* of struct queued_proposal *, owned */
    pthread_t proposer_thread;
    bool has_proposer_thread;
};

bool bb_control_start(struct bb_control *c, struct bb_error *e);
void bb_control_stop(struct bb_control *c);

#endif
