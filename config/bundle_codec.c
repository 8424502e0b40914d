#include "bundle_codec.h"

#include <string.h>
#include <zstd.h>

enum {
    HEADER_BYTES = 4 + 4 + 8, /* magic, size and hash, before the frame */
    HASH_SEED = 0x6262,       /* arbitrary, but part of the format */
    /* Above the default of 3: a bundle is compressed once per change but sent
     * over the paid link between regions, which is billed by the byte. */
    COMPRESSION_LEVEL = 9
};

/* Encodes or decodes a digest, by the direction of the stream. */
bool
bb_codec_xdr_digest(XDR *x, struct bb_digest *d)
{
    return xdr_opaque(x, (char *)d->bytes, BB_DIGEST_BYTES);
}

/* Writes the name of a file. */
bool
bb_codec_put_file_name(XDR *x, const char *name)
{
    char *text = (char *)(uintptr_t)name;

    return xdr_string(x, &text, BB_FOLDER_FILE_NAME_MAX_BYTES);
}

/* Reads the name of a file. Returns false for one that contains a zero byte.
 */
bool
bb_codec_get_file_name(XDR *x, char name[BB_FOLDER_FILE_NAME_MAX_BYTES + 1])
{
    u_int length = 0;

    if (!xdr_u_int(x, &length) || length > BB_FOLDER_FILE_NAME_MAX_BYTES ||
        !xdr_opaque(x, name, length)) {
        return false;
    }
    name[length] = '\0';
    return strlen(name) == length;
}

/* Writes one file: name and content. */
bool
bb_codec_put_file(XDR *x, const struct bb_folder_file *f)
{
    char *data = f->data;
    u_int size = (u_int)f->size_bytes;

    return bb_codec_put_file_name(x, f->name) &&
           xdr_bytes(x, &data, &size, BB_FOLDER_FILE_MAX_BYTES);
}

/* Reads one file into a builder. Returns false with BB_CONFIG_ERROR_DAMAGED or
 * an error of bb_folder_builder_add. */
bool
bb_codec_get_file(XDR *x, struct bb_folder_builder *b, struct bb_error *e)
{
    char name[BB_FOLDER_FILE_NAME_MAX_BYTES + 1];
    char *data = NULL;
    u_int size = 0;
    bool ok;

    if (!bb_codec_get_file_name(x, name) ||
        !xdr_bytes(x, &data, &size, BB_FOLDER_FILE_MAX_BYTES)) {
        free(data);
        return bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                            "a file in the encoded configuration is damaged");
    }
    ok = bb_folder_builder_add(b, name, data, size, e);
    free(data);
    return ok;
}

/* Computes the hash of all bytes but the hash field itself. */
static uint64_t
compute_packed_hash(const uint8_t *packed, size_t size_bytes)
{
    uint64_t header_hash = bb_hash64(packed, HEADER_BYTES - 8, HASH_SEED);

    return bb_hash64(packed + HEADER_BYTES, size_bytes - HEADER_BYTES,
                     header_hash);
}

/* Compresses an encoded body and puts magic, size and hash before it. The
 * caller frees *packed with g_free. */
void
bb_codec_pack(uint32_t magic, const uint8_t *uncompressed, size_t size_bytes,
              uint8_t **packed, size_t *packed_size_bytes)
{
    size_t capacity = ZSTD_compressBound(size_bytes);
    uint8_t *bytes = g_malloc(HEADER_BYTES + capacity);
    size_t length = ZSTD_compress(bytes + HEADER_BYTES, capacity, uncompressed,
                                  size_bytes, COMPRESSION_LEVEL);
    uint32_t size = (uint32_t)size_bytes;
    uint64_t hash;
    XDR x;

    /* Compression fails only if memory runs out, and then g_malloc aborts
     * too. */
    g_assert(!ZSTD_isError(length));
    xdrmem_create(&x, (char *)bytes, HEADER_BYTES, XDR_ENCODE);
    (void)xdr_uint32_t(&x, &magic);
    (void)xdr_uint32_t(&x, &size);
    hash = compute_packed_hash(bytes, HEADER_BYTES + length);
    (void)xdr_uint64_t(&x, &hash);
    XDR_DESTROY(&x);
    *packed = bytes;
    *packed_size_bytes = HEADER_BYTES + length;
}

/* Checks magic, size and hash and returns the decompressed body, which the
 * caller frees with g_free. Returns NULL with BB_CONFIG_ERROR_DAMAGED if a
 * byte is damaged, the magic is that of another kind or version, or the size
 * is over the limit. */
uint8_t *
bb_codec_unpack(uint32_t magic, const uint8_t *packed,
                size_t packed_size_bytes, size_t *size_bytes,
                struct bb_error *e)
{
    uint32_t found_magic = 0;
    uint32_t size = 0;
    uint64_t hash = 0;
    uint8_t *uncompressed;
    size_t length;
    XDR x;

    if (packed_size_bytes <= HEADER_BYTES) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the encoded configuration is truncated");
        return NULL;
    }
    xdrmem_create(&x, (char *)(uintptr_t)packed, HEADER_BYTES, XDR_DECODE);
    (void)xdr_uint32_t(&x, &found_magic);
    (void)xdr_uint32_t(&x, &size);
    (void)xdr_uint64_t(&x, &hash);
    XDR_DESTROY(&x);
    if (found_magic != magic || size > BB_UNCOMPRESSED_MAX_BYTES ||
        hash != compute_packed_hash(packed, packed_size_bytes)) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the encoded configuration has a wrong magic, size or "
                     "hash");
        return NULL;
    }
    uncompressed = g_malloc(size + 1);
    length = ZSTD_decompress(uncompressed, size, packed + HEADER_BYTES,
                             packed_size_bytes - HEADER_BYTES);
    if (ZSTD_isError(length) || length != size) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the encoded configuration does not decompress to %u "
                     "bytes",
                     size);
        g_free(uncompressed);
        return NULL;
    }
    *size_bytes = size;
    return uncompressed;
}
