#include "config/bundle.h"

#include <string.h>

#include "bundle_codec.h"

/* Creates a bundle with one reference; it takes over the folder. */
struct bb_bundle *
bb_bundle_create(uint64_t revision, uint64_t version, struct bb_folder *folder)
{
    struct bb_bundle *b = g_new0(struct bb_bundle, 1);

    b->revision = revision;
    b->version = version;
    b->digest = folder->digest;
    b->folder = folder;
    atomic_init(&b->reference_count, 1);
    return b;
}

/* Adds a reference and returns the bundle. */
struct bb_bundle *
bb_bundle_ref(struct bb_bundle *b)
{
    atomic_fetch_add_explicit(&b->reference_count, 1, memory_order_relaxed);
    return b;
}

/* Removes a reference and frees the bundle with the last one; NULL is
 * allowed. */
void
bb_bundle_unref(struct bb_bundle *b)
{
    if (b != NULL && atomic_fetch_sub_explicit(&b->reference_count, 1,
                                               memory_order_acq_rel) == 1) {
        bb_folder_destroy(b->folder);
        g_free(b);
    }
}

/* Encodes a whole bundle. The caller frees the bytes with g_free. */
void
bb_bundle_encode(const struct bb_bundle *b, uint8_t **bytes,
                 size_t *size_bytes)
{
    uint8_t *body = g_malloc(BB_EXPANDED_MAX_BYTES);
    uint64_t revision = b->revision;
    uint64_t version = b->version;
    struct bb_digest digest = b->digest;
    uint32_t count = b->folder->file_count;
    bool ok;
    XDR x;

    xdrmem_create(&x, (char *)body, BB_EXPANDED_MAX_BYTES, XDR_ENCODE);
    ok = xdr_uint64_t(&x, &revision) && xdr_uint64_t(&x, &version) &&
         bb_codec_digest(&x, &digest) && xdr_uint32_t(&x, &count);
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_put_file(&x, &b->folder->files[i]);
    }
    /* A folder within its limits fits into the buffer. */
    g_assert(ok);
    bb_codec_pack(BB_MAGIC_BUNDLE, body, xdr_getpos(&x), bytes, size_bytes);
    XDR_DESTROY(&x);
    g_free(body);
}

/* Finishes a folder and makes it a bundle, if its digest is the expected
 * one. */
static struct bb_bundle *
finish_bundle(struct bb_folder_builder *b, uint64_t revision, uint64_t version,
              const struct bb_digest *expected, struct bb_error *e)
{
    struct bb_folder *folder = bb_folder_builder_finish(b, e);

    if (folder == NULL) {
        return NULL;
    }
    if (!bb_digest_equal(&folder->digest, expected)) {
        bb_error_set(e, BB_CONFIG_ERROR_DIGEST,
                     "the decoded configuration does not match its digest");
        bb_folder_destroy(folder);
        return NULL;
    }
    return bb_bundle_create(revision, version, folder);
}

/* Reports a body that ends early or has bytes left over. */
static bool
format_error(struct bb_error *e)
{
    return bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                        "the encoded configuration has a wrong structure");
}

/* Decodes a whole bundle. Returns NULL with an error of enum bb_config_error
 * if anything does not match. */
struct bb_bundle *
bb_bundle_decode(const uint8_t *bytes, size_t size_bytes, struct bb_error *e)
{
    struct bb_folder_builder *b = NULL;
    struct bb_bundle *bundle = NULL;
    struct bb_digest digest;
    uint64_t revision = 0;
    uint64_t version = 0;
    uint32_t count = 0;
    size_t size = 0;
    bool ok = true;
    XDR x;
    uint8_t *body =
        bb_codec_unpack(BB_MAGIC_BUNDLE, bytes, size_bytes, &size, e);

    if (body == NULL) {
        return NULL;
    }
    b = bb_folder_builder_create();
    xdrmem_create(&x, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_uint64_t(&x, &revision) || !xdr_uint64_t(&x, &version) ||
        !bb_codec_digest(&x, &digest) || !xdr_uint32_t(&x, &count) ||
        count > BB_FOLDER_MAX_FILES) {
        format_error(e);
        goto out;
    }
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_get_file(&x, b, e);
    }
    if (!ok) {
        goto out;
    }
    if (xdr_getpos(&x) != size) {
        format_error(e);
        goto out;
    }
    bundle = finish_bundle(b, revision, version, &digest, e);
out:
    XDR_DESTROY(&x);
    bb_folder_builder_destroy(b);
    g_free(body);
    return bundle;
}
