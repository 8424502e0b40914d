/* Counters of mesh messages and bytes, with those between regions counted
 * separately too. Bytes are the encoded size plus an estimate of the transport
 * headers. */
#ifndef BB_MESH_TRAFFIC_H
#define BB_MESH_TRAFFIC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The first three are in the order of enum mesh_datagram_kind, from which they
 * are converted. */
enum bb_traffic_kind {
    BB_TRAFFIC_PING,
    BB_TRAFFIC_PING_REQUEST,
    BB_TRAFFIC_ACK,
    BB_TRAFFIC_OFFER,
    BB_TRAFFIC_FETCH,
    BB_TRAFFIC_REPORT,
    BB_TRAFFIC_SYNC,
    BB_TRAFFIC_JOIN,
    BB_TRAFFIC_KIND_COUNT
};

enum bb_traffic_direction { BB_TRAFFIC_IN, BB_TRAFFIC_OUT };

void bb_traffic_add_message(enum bb_traffic_kind kind,
                            enum bb_traffic_direction direction,
                            size_t size_bytes, bool is_other_region);

#endif
