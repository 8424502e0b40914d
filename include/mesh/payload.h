/* Encodes mesh payloads from the history of configuration bundles. */
#ifndef BB_MESH_PAYLOAD_H
#define BB_MESH_PAYLOAD_H

#include "config/history.h"
#include "mesh/mesh.h"

bool bb_mesh_payload_encode(struct bb_bundle_history *h,
                            uint64_t receiver_revision,
                            struct bb_mesh_payload *out);

#endif
