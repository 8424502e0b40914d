/* Conversion between member records and their XDR structs, and encoding of XDR
 * structs to bytes. */
#ifndef BB_MESH_WIRE_H
#define BB_MESH_WIRE_H

#include <stdbool.h>
#include <stddef.h>

#include "mesh/member.h"
#include "mesh/members.h"
#include <mesh_protocol.h> /* generated from mesh/mesh_protocol.x */

/* Buffers for the binary addresses of one record's XDR struct. */
struct bb_wire_address_buffers {
    char http[MESH_IP_MAX_BYTES];
    char rpc[MESH_IP_MAX_BYTES];
    char gossip[MESH_IP_MAX_BYTES];
};

void bb_wire_member_to_xdr(const struct bb_member *r, struct mesh_record *out,
                           struct bb_wire_address_buffers *storage);
bool bb_wire_member_from_xdr(const struct mesh_record *w,
                             struct bb_member *out);
mesh_name bb_wire_text_to_xdr(const char *text);
mesh_record *bb_wire_members_to_xdr(const struct bb_member_list *list);
size_t bb_wire_encode(xdrproc_t codec, void *value, char *out, size_t max);
bool bb_wire_decode(xdrproc_t codec, void *value, const char *data,
                    size_t size_bytes);

#endif
