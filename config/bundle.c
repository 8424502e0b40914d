#include "config/bundle.h"

#include <string.h>

#include "bundle_codec.h"

/* Creates a bundle without rosters and with one reference. It takes ownership
 * of the folder. */
struct bb_bundle *
bb_bundle_create(uint64_t revision, uint64_t version, struct bb_folder *folder)
{
    return bb_bundle_create_with_rosters(revision, version, folder,
                                         bb_rosters_create());
}

/* Creates a bundle with one reference. It takes ownership of the folder and
 * the rosters. */
struct bb_bundle *
bb_bundle_create_with_rosters(uint64_t revision, uint64_t version,
                              struct bb_folder *folder,
                              struct bb_rosters *rosters)
{
    struct bb_bundle *b = g_new0(struct bb_bundle, 1);

    b->revision = revision;
    b->version = version;
    b->digest = bb_rosters_digest(rosters, &folder->digest);
    b->folder = folder;
    b->rosters = rosters;
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

/* Drops a reference and frees the bundle with the last one; NULL is allowed.
 */
void
bb_bundle_unref(struct bb_bundle *b)
{
    if (b != NULL && atomic_fetch_sub_explicit(&b->reference_count, 1,
                                               memory_order_acq_rel) == 1) {
        bb_folder_destroy(b->folder);
        bb_rosters_destroy(b->rosters);
        g_free(b);
    }
}

/* Encodes a whole bundle. The result is not compared with
 * BB_BUNDLE_MAX_BYTES. The caller frees *bytes with g_free. */
void
bb_bundle_encode(const struct bb_bundle *b, uint8_t **bytes,
                 size_t *size_bytes)
{
    uint8_t *body = g_malloc(BB_UNCOMPRESSED_MAX_BYTES);
    uint64_t revision = b->revision;
    uint64_t version = b->version;
    struct bb_digest digest = b->digest;
    uint32_t count = b->folder->file_count;
    bool ok;
    XDR x;

    xdrmem_create(&x, (char *)body, BB_UNCOMPRESSED_MAX_BYTES, XDR_ENCODE);
    ok = xdr_uint64_t(&x, &revision) && xdr_uint64_t(&x, &version) &&
         bb_codec_xdr_digest(&x, &digest) && xdr_uint32_t(&x, &count);
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_put_file(&x, &b->folder->files[i]);
    }
    count = b->rosters->count;
    ok = ok && xdr_uint32_t(&x, &count);
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_put_roster(&x, &b->rosters->items[i]);
    }
    /* BB_UNCOMPRESSED_MAX_BYTES covers any folder and rosters within their
     * limits. */
    g_assert(ok);
    bb_codec_pack(BB_MAGIC_BUNDLE, body, xdr_getpos(&x), bytes, size_bytes);
    XDR_DESTROY(&x);
    g_free(body);
}

/* Creates a bundle of a decoded folder and rosters. Returns NULL with
 * BB_CONFIG_ERROR_DIGEST if their digest is not the expected one. Takes
 * ownership of folder and rosters in both cases. */
struct bb_bundle *
bb_codec_create_bundle(uint64_t revision, uint64_t version,
                       struct bb_folder *folder, struct bb_rosters *rosters,
                       const struct bb_digest *expected, struct bb_error *e)
{
    struct bb_bundle *b =
        bb_bundle_create_with_rosters(revision, version, folder, rosters);

    if (!bb_digest_equal(&b->digest, expected)) {
        bb_error_set(e, BB_CONFIG_ERROR_DIGEST,
                     "the decoded configuration does not match its digest");
        bb_bundle_unref(b);
        b = NULL;
    }
    return b;
}

/* Sets the error for a body that ends early, counts too many items or has
 * bytes left over. Returns false. */
static bool
report_format_error(struct bb_error *e)
{
    return bb_error_set(
        e, BB_CONFIG_ERROR_DAMAGED,
        "the encoded configuration is truncated, has counts over "
        "a limit or bytes left over");
}

/* Reads all files into a builder. */
static bool
get_files(XDR *x, struct bb_folder_builder *b, struct bb_error *e)
{
    uint32_t count = 0;
    bool ok = true;

    if (!xdr_uint32_t(x, &count) || count > BB_FOLDER_FILES_MAX) {
        return report_format_error(e);
    }
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_get_file(x, b, e);
    }
    return ok;
}

/* Reads all rosters. Two of the same service are an error. */
static bool
get_rosters(XDR *x, struct bb_rosters *rosters, struct bb_error *e)
{
    uint32_t count = 0;
    bool ok = true;

    if (!xdr_uint32_t(x, &count) || count > BB_ROSTERS_MAX) {
        return report_format_error(e);
    }
    for (uint32_t i = 0; ok && i < count; i++) {
        ok = bb_codec_get_roster(x, rosters, e);
    }
    return ok && (rosters->count == count || report_format_error(e));
}

/* Decodes a whole bundle and returns it with one reference. Returns NULL with
 * an error of enum bb_config_error if the bytes are damaged, exceed a limit or
 * do not match the digest in them. */
struct bb_bundle *
bb_bundle_decode(const uint8_t *bytes, size_t size_bytes, struct bb_error *e)
{
    struct bb_folder_builder *b = NULL;
    struct bb_rosters *rosters = NULL;
    struct bb_folder *folder = NULL;
    struct bb_bundle *bundle = NULL;
    struct bb_digest digest;
    uint64_t revision = 0;
    uint64_t version = 0;
    size_t size = 0;
    XDR x;
    uint8_t *body =
        bb_codec_unpack(BB_MAGIC_BUNDLE, bytes, size_bytes, &size, e);

    if (body == NULL) {
        return NULL;
    }
    b = bb_folder_builder_create();
    rosters = bb_rosters_create();
    xdrmem_create(&x, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_uint64_t(&x, &revision) || !xdr_uint64_t(&x, &version) ||
        !bb_codec_xdr_digest(&x, &digest)) {
        report_format_error(e);
        goto out;
    }
    if (!get_files(&x, b, e) || !get_rosters(&x, rosters, e)) {
        goto out;
    }
    if (xdr_getpos(&x) != size) {
        report_format_error(e);
        goto out;
    }
    folder = bb_folder_builder_finish(b, e);
    if (folder != NULL) {
        bundle = bb_codec_create_bundle(revision, version, folder, rosters,
                                        &digest, e);
        rosters = NULL;
    }
out:
    XDR_DESTROY(&x);
    bb_folder_builder_destroy(b);
    bb_rosters_destroy(rosters);
    g_free(body);
    return bundle;
}
