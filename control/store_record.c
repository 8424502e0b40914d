/* Encoding of records. The header has a checksum of its own, so that a damaged
 * length is not mistaken for a torn record; the body has another one. */
#include <glib.h>
#include <string.h>

#include "common/digest.h"
#include "store_internal.h"

enum {
    RECORD_MAGIC = 0x42424c31, /* "BBL1" */
    CHECKSUM_SEED = 0x6c6f67   /* "log" */
};

/* In host byte order, followed by the body. */
struct record_header {
    uint32_t magic;
    uint32_t kind;
    uint32_t size_bytes;
    uint32_t unused;
    uint64_t sequence;
    uint64_t body_checksum;
    uint64_t header_checksum; /* of the fields before */
};

/* Returns the checksum of a header without its last field. */
static uint64_t
header_checksum(const struct record_header *h)
{
    return bb_hash64(h, offsetof(struct record_header, header_checksum),
                     CHECKSUM_SEED);
}

/* Encodes a record into memory that the caller frees with g_free; NULL if the
 * value cannot be encoded. codec is the XDR function of the value. */
uint8_t *
store_record_encode(enum store_record_kind kind, uint64_t sequence,
                    xdrproc_t codec, void *value, size_t *size_bytes)
{
    size_t body_bytes = xdr_sizeof(codec, value);
    uint8_t *data = g_malloc0(sizeof(struct record_header) + body_bytes);
    struct record_header h = {.magic = RECORD_MAGIC,
                              .kind = kind,
                              .size_bytes = (uint32_t)body_bytes,
                              .sequence = sequence};
    XDR x;

    xdrmem_create(&x, (char *)data + sizeof(h), (u_int)body_bytes, XDR_ENCODE);
    if (!codec(&x, value)) {
        g_free(data);
        return NULL;
    }
    h.body_checksum = bb_hash64(data + sizeof(h), body_bytes, CHECKSUM_SEED);
    h.header_checksum = header_checksum(&h);
    memcpy(data, &h, sizeof(h));
    *size_bytes = sizeof(h) + body_bytes;
    return data;
}

/* Returns whether a block consists of zeros only, as the end of a file does
 * that was extended but not filled before a crash. */
static bool
is_all_zeros(const uint8_t *data, size_t size_bytes)
{
    for (size_t i = 0; i < size_bytes; i++) {
        if (data[i] != 0) {
            return false;
        }
    }
    return true;
}

/* Parses the record at the start of a block and checks its checksums. *r is
 * filled in for STORE_RECORD_VALID only. */
enum store_record_status
store_record_parse(const uint8_t *data, size_t size_bytes,
                   struct store_record *r)
{
    struct record_header h;

    if (size_bytes == 0) {
        return STORE_RECORD_END;
    }
    if (size_bytes < sizeof(h) || is_all_zeros(data, size_bytes)) {
        return STORE_RECORD_TORN;
    }
    memcpy(&h, data, sizeof(h));
    if (h.magic != RECORD_MAGIC || h.header_checksum != header_checksum(&h) ||
        h.size_bytes > STORE_RECORD_MAX_BYTES) {
        return STORE_RECORD_DAMAGED;
    }
    if (h.size_bytes > size_bytes - sizeof(h)) {
        return STORE_RECORD_TORN;
    }
    if (bb_hash64(data + sizeof(h), h.size_bytes, CHECKSUM_SEED) !=
        h.body_checksum) {
        return STORE_RECORD_DAMAGED;
    }
    *r = (struct store_record){.kind = h.kind,
                               .sequence = h.sequence,
                               .body = data + sizeof(h),
                               .body_bytes = h.size_bytes,
                               .record_bytes = sizeof(h) + h.size_bytes};
    return STORE_RECORD_VALID;
}

/* Decodes the body of a record; false if it is malformed. The caller frees the
 * value with xdr_free in both cases. */
bool
store_record_decode_body(const struct store_record *r, xdrproc_t codec,
                         void *value)
{
    XDR x;

    xdrmem_create(&x, (char *)r->body, r->body_bytes, XDR_DECODE);
    return codec(&x, value) != 0;
}
