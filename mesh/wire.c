/* Conversion between member records and their XDR structs, and the codecs of
 * names and payloads. */
#include "mesh/wire.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

enum { IPV4_BYTES = 4, IPV6_BYTES = MESH_IP_MAX_BYTES, PORT_MAX = 65535 };

_Static_assert(MESH_NAME_MAX_BYTES == BB_NAME_BYTES - 1, "size of a name");
_Static_assert(MESH_DIGEST_BYTES == BB_DIGEST_BYTES, "size of a digest");
_Static_assert(MESH_ZONES_MAX == BB_MEMBER_TABLE_ZONES_MAX,
               "one message holds all zones of a table");
_Static_assert(MESH_RECORDS_MAX == BB_MEMBER_TABLE_ENTRIES_MAX,
               "one message holds all records of a table");

/* Encodes or decodes the bytes of a string or opaque value and the zero bytes
 * that pad it to a multiple of 4. */
static bool_t
xdr_padded_bytes(XDR *x, char *data, u_int length)
{
    char fill[BYTES_PER_XDR_UNIT] = {0};
    u_int fill_length = RNDUP(length) - length;

    if (x->x_op == XDR_ENCODE) {
        return XDR_PUTBYTES(x, data, length) &&
               XDR_PUTBYTES(x, fill, fill_length);
    }
    return XDR_GETBYTES(x, data, length) && XDR_GETBYTES(x, fill, fill_length);
}

/* Encodes, decodes or frees a value of variable length. A decoded value is
 * allocated with malloc and followed by a zero byte. */
static bool_t
xdr_variable_bytes(XDR *x, char **data, u_int *length, u_int max)
{
    if (x->x_op == XDR_FREE) {
        free(*data);
        *data = NULL;
        return TRUE;
    }
    if (!xdr_u_int(x, length) || *length > max) {
        return FALSE;
    }
    if (x->x_op == XDR_DECODE) {
        *data = calloc(1, *length + 1U);
        if (*data == NULL) {
            return FALSE;
        }
    }
    return xdr_padded_bytes(x, *data, *length);
}

/* The codec of a name: string<MESH_NAME_MAX_BYTES>. */
bool_t
xdr_mesh_name(XDR *x, mesh_name *name)
{
    u_int length = 0;

    if (x->x_op == XDR_ENCODE) {
        if (*name == NULL) {
            return FALSE;
        }
        length = (u_int)strlen(*name);
    }
    /* Refuse zero bytes: two encodings would decode to one name. */
    return xdr_variable_bytes(x, name, &length, MESH_NAME_MAX_BYTES) &&
           (x->x_op != XDR_DECODE || strlen(*name) == length);
}

/* The codec of a payload: opaque<MESH_PAYLOAD_MAX_BYTES>. */
bool_t
xdr_mesh_bytes(XDR *x, mesh_bytes *bytes)
{
    return xdr_variable_bytes(x, &bytes->val, &bytes->len,
                              MESH_PAYLOAD_MAX_BYTES);
}

/* Returns the XDR struct of an address, which points into the storage. */
static mesh_address
encode_address(const struct bb_address *a, char *storage)
{
    mesh_address out = {.ip.ip_val = storage, .port = a->port};

    if (inet_pton(AF_INET, a->ip, storage) == 1) {
        out.ip.ip_len = IPV4_BYTES;
    }
    else if (inet_pton(AF_INET6, a->ip, storage) == 1) {
        out.ip.ip_len = IPV6_BYTES;
    }
    return out;
}

/* Decodes an address. Returns false if it is malformed. */
static bool
decode_address(const mesh_address *w, struct bb_address *out)
{
    int family = w->ip.ip_len == IPV4_BYTES ? AF_INET : AF_INET6;

    *out = (struct bb_address){0};
    if (w->port > PORT_MAX) {
        return false;
    }
    out->port = (uint16_t)w->port;
    if (w->ip.ip_len == 0) {
        return w->port == 0;
    }
    if (w->ip.ip_len != IPV4_BYTES && w->ip.ip_len != IPV6_BYTES) {
        return false;
    }
    return inet_ntop(family, w->ip.ip_val, out->ip, sizeof(out->ip)) != NULL;
}

/* Casts a string to an XDR name, which is not const although encoding does not
 * write to it. */
mesh_name
bb_wire_text_to_xdr(const char *text)
{
    return (mesh_name)text;
}

/* Fills the XDR struct of a record, which points into the record and into the
 * storage. */
void
bb_wire_member_to_xdr(const struct bb_member *r, struct mesh_record *out,
                      struct bb_wire_address_buffers *storage)
{
    *out = (struct mesh_record){
        .host = bb_wire_text_to_xdr(r->host),
        .zone = bb_wire_text_to_xdr(r->zone),
        .region = bb_wire_text_to_xdr(r->region),
        .role = r->role,
        .http_address = encode_address(&r->http_address, storage->http),
        .rpc_address = encode_address(&r->rpc_address, storage->rpc),
        .gossip_address = encode_address(&r->gossip_address, storage->gossip),
        .incarnation = r->incarnation,
        .sequence = r->sequence,
        .state = r->state,
        .held_revision = r->held_revision,
        .applied_revision = r->applied_revision,
        .service = bb_wire_text_to_xdr(r->service),
        .upstream_state = r->upstream_state,
        .slots = r->slots,
        .connections = r->connections,
    };
}

/* Converts the XDR struct of a record. Returns false if a value is out of
 * range, an address is malformed, or the host, zone or region is empty. */
bool
bb_wire_member_from_xdr(const struct mesh_record *w, struct bb_member *out)
{
    *out = (struct bb_member){0};
    if (w->role > BB_ROLE_CONTROL || w->state > BB_MEMBER_LEFT ||
        w->upstream_state > BB_UPSTREAM_LEAVING || w->host[0] == '\0' ||
        w->zone[0] == '\0' || w->region[0] == '\0') {
        return false;
    }
    if (!decode_address(&w->http_address, &out->http_address) ||
        !decode_address(&w->rpc_address, &out->rpc_address) ||
        !decode_address(&w->gossip_address, &out->gossip_address)) {
        return false;
    }
    (void)g_strlcpy(out->host, w->host, sizeof(out->host));
    (void)g_strlcpy(out->zone, w->zone, sizeof(out->zone));
    (void)g_strlcpy(out->region, w->region, sizeof(out->region));
    (void)g_strlcpy(out->service, w->service, sizeof(out->service));
    out->role = (enum bb_member_role)w->role;
    out->state = (enum bb_member_state)w->state;
    out->upstream_state = (enum bb_upstream_state)w->upstream_state;
    out->incarnation = w->incarnation;
    out->sequence = w->sequence;
    out->held_revision = w->held_revision;
    out->applied_revision = w->applied_revision;
    out->slots = w->slots;
    out->connections = w->connections;
    out->is_reachable = true;
    return true;
}

/* Replaces the address bytes by a copy on the heap. */
static void
copy_address(mesh_address *w)
{
    char *copy = malloc(w->ip.ip_len + 1U);

    if (copy != NULL) {
        memcpy(copy, w->ip.ip_val, w->ip.ip_len);
    }
    else {
        w->ip.ip_len = 0;
    }
    w->ip.ip_val = copy;
}

/* Returns the XDR structs of a list, allocated on the heap; they are freed by
 * xdr_free of the message that contains them. Returns NULL if memory
 * allocation fails. */
mesh_record *
bb_wire_members_to_xdr(const struct bb_member_list *list)
{
    mesh_record *out = calloc(list->count + 1, sizeof(*out));

    for (size_t i = 0; out != NULL && i < list->count; i++) {
        struct bb_wire_address_buffers storage;

        bb_wire_member_to_xdr(&list->items[i], &out[i], &storage);
        out[i].host = strdup(out[i].host);
        out[i].zone = strdup(out[i].zone);
        out[i].region = strdup(out[i].region);
        out[i].service = strdup(out[i].service);
        copy_address(&out[i].http_address);
        copy_address(&out[i].rpc_address);
        copy_address(&out[i].gossip_address);
    }
    return out;
}

/* Encodes a value to at most max bytes. Returns the size in bytes, or 0 if the
 * value does not fit or is not valid. */
size_t
bb_wire_encode(xdrproc_t codec, void *value, char *out, size_t max)
{
    XDR x;
    size_t size_bytes = 0;

    xdrmem_create(&x, out, (u_int)max, XDR_ENCODE);
    if (codec(&x, value)) {
        size_bytes = xdr_getpos(&x);
    }
    xdr_destroy(&x);
    return size_bytes;
}

/* Decodes a value. Returns false unless it is valid and takes up the data
 * exactly. The caller must zero the value first, and free it with xdr_free in
 * either case. */
bool
bb_wire_decode(xdrproc_t codec, void *value, const char *data,
               size_t size_bytes)
{
    XDR x;
    bool is_valid;

    xdrmem_create(&x, (char *)data, (u_int)size_bytes, XDR_DECODE);
    is_valid = codec(&x, value) && xdr_getpos(&x) == size_bytes;
    xdr_destroy(&x);
    return is_valid;
}
