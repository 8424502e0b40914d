#include "mesh/payload.h"

/* Encodes the newest revision of a history for a member that holds
 * receiver_revision (0 for none), for use in the encode_payload callback of
 * the mesh. The caller frees out->data. Returns false if there is nothing
 * newer. */
bool
bb_mesh_payload_encode(struct bb_bundle_history *h, uint64_t receiver_revision,
                       struct bb_mesh_payload *out)
{
    struct bb_bundle_history_update p;

    if (!bb_bundle_history_encode_update(h, receiver_revision, &p)) {
        return false;
    }
    *out = (struct bb_mesh_payload){
        .revision = p.revision,
        .digest = p.digest,
        .is_delta = p.is_delta,
        .base_revision = p.base_revision,
        .data = p.bytes,
        .size_bytes = p.size_bytes,
    };
    return true;
}
