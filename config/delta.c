/* Differences between two bundles, by file. */
#include <string.h>

#include "bundle_codec.h"
#include "config/bundle.h"

/* Front of a delta's body. Removed names follow, then changed files. */
struct delta_front {
    struct bb_digest from_digest;
    struct bb_digest to_digest;
    uint64_t revision;
    uint64_t version;
    uint32_t removed_count;
    uint32_t changed_count;
};

/* Writes or reads the front. */
static bool
code_front(XDR *x, struct delta_front *f)
{
    return bb_codec_digest(x, &f->from_digest) &&
           bb_codec_digest(x, &f->to_digest) &&
           xdr_uint64_t(x, &f->revision) && xdr_uint64_t(x, &f->version) &&
           xdr_uint32_t(x, &f->removed_count) &&
           xdr_uint32_t(x, &f->changed_count);
}

/* Tells whether the other folder has no such file, or with other content. */
static bool
is_changed(const struct bb_file *f, const struct bb_folder *other)
{
    const struct bb_file *old = bb_folder_find(other, f->name);

    return old == NULL || !bb_digest_equal(&old->digest, &f->digest);
}

/* Encodes the difference that turns one bundle into another. The caller frees
 * the bytes with g_free. */
void
bb_delta_encode(const struct bb_bundle *from, const struct bb_bundle *to,
                uint8_t **bytes, size_t *size_bytes)
{
    uint8_t *body = g_malloc(BB_EXPANDED_MAX_BYTES);
    const struct bb_folder *a = from->folder;
    const struct bb_folder *b = to->folder;
    struct delta_front front = {.from_digest = from->digest,
                                .to_digest = to->digest,
                                .revision = to->revision,
                                .version = to->version};
    bool ok;
    XDR x;

    for (uint32_t i = 0; i < a->file_count; i++) {
        front.removed_count += bb_folder_find(b, a->files[i].name) == NULL;
    }
    for (uint32_t i = 0; i < b->file_count; i++) {
        front.changed_count += is_changed(&b->files[i], a);
    }
    xdrmem_create(&x, (char *)body, BB_EXPANDED_MAX_BYTES, XDR_ENCODE);
    ok = code_front(&x, &front);
    for (uint32_t i = 0; ok && i < a->file_count; i++) {
        if (bb_folder_find(b, a->files[i].name) == NULL) {
            ok = bb_codec_put_name(&x, a->files[i].name);
        }
    }
    for (uint32_t i = 0; ok && i < b->file_count; i++) {
        if (is_changed(&b->files[i], a)) {
            ok = bb_codec_put_file(&x, &b->files[i]);
        }
    }
    /* Two folders within their limits fit into the buffer. */
    g_assert(ok);
    bb_codec_pack(BB_MAGIC_DELTA, body, xdr_getpos(&x), bytes, size_bytes);
    XDR_DESTROY(&x);
    g_free(body);
}

/* Reads the removed names into a set; each must be in the base. */
static bool
read_removed(XDR *x, const struct delta_front *front,
             const struct bb_folder *base, GHashTable *removed)
{
    char name[BB_FILE_NAME_MAX_BYTES + 1];

    for (uint32_t i = 0; i < front->removed_count; i++) {
        if (!bb_codec_get_name(x, name) ||
            bb_folder_find(base, name) == NULL ||
            !g_hash_table_add(removed, g_strdup(name))) {
            return false;
        }
    }
    return true;
}

/* Adds the files of the base that are neither removed nor changed. */
static bool
add_kept(struct bb_folder_builder *b, const struct bb_folder *base,
         GHashTable *removed, const struct bb_folder *changed,
         struct bb_error *e)
{
    for (uint32_t i = 0; i < base->file_count; i++) {
        const struct bb_file *f = &base->files[i];

        if (!g_hash_table_contains(removed, f->name) &&
            bb_folder_find(changed, f->name) == NULL &&
            !bb_folder_builder_add(b, f->name, f->data, f->size_bytes, e)) {
            return false;
        }
    }
    return true;
}

/* Reads the body of a delta and builds the resulting folder, whose digest is
 * checked. */
static struct bb_folder *
apply_body(XDR *x, const struct bb_folder *base, struct delta_front *front,
           struct bb_error *e)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    GHashTable *removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct bb_folder *changed = NULL;
    struct bb_folder *result = NULL;

    if (!read_removed(x, front, base, removed)) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                     "the delta has a wrong list of removed files");
        goto out;
    }
    for (uint32_t i = 0; i < front->changed_count; i++) {
        if (!bb_codec_get_file(x, b, e)) {
            goto out;
        }
    }
    changed = bb_folder_builder_finish(b, e);
    if (changed == NULL || !add_kept(b, base, removed, changed, e)) {
        goto out;
    }
    for (uint32_t i = 0; i < changed->file_count; i++) {
        const struct bb_file *f = &changed->files[i];

        if (!bb_folder_builder_add(b, f->name, f->data, f->size_bytes, e)) {
            goto out;
        }
    }
    result = bb_folder_builder_finish(b, e);
    if (result != NULL &&
        !bb_digest_equal(&result->digest, &front->to_digest)) {
        bb_error_set(e, BB_CONFIG_ERROR_DIGEST,
                     "the delta does not lead to the digest it names");
        bb_folder_destroy(result);
        result = NULL;
    }
out:
    bb_folder_destroy(changed);
    g_hash_table_destroy(removed);
    bb_folder_builder_destroy(b);
    return result;
}

/* Applies a delta. Returns NULL with BB_CONFIG_ERROR_BASE if it is against
 * another base, or with another error of enum bb_config_error if anything in
 * it does not match. */
struct bb_bundle *
bb_delta_apply(const struct bb_bundle *from, const uint8_t *bytes,
               size_t size_bytes, struct bb_error *e)
{
    struct bb_bundle *bundle = NULL;
    struct bb_folder *folder = NULL;
    struct delta_front front = {0};
    size_t size = 0;
    XDR x;
    uint8_t *body =
        bb_codec_unpack(BB_MAGIC_DELTA, bytes, size_bytes, &size, e);

    if (body == NULL) {
        return NULL;
    }
    xdrmem_create(&x, (char *)body, (u_int)size, XDR_DECODE);
    if (!code_front(&x, &front) || front.removed_count > BB_FOLDER_MAX_FILES ||
        front.changed_count > BB_FOLDER_MAX_FILES) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT, "the delta is damaged");
        goto out;
    }
    if (!bb_digest_equal(&front.from_digest, &from->digest)) {
        bb_error_set(e, BB_CONFIG_ERROR_BASE,
                     "the delta is not against the revision held");
        goto out;
    }
    folder = apply_body(&x, from->folder, &front, e);
    if (folder == NULL) {
        goto out;
    }
    if (xdr_getpos(&x) != size) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                     "the delta has bytes left over");
        bb_folder_destroy(folder);
        goto out;
    }
    bundle = bb_bundle_create(front.revision, front.version, folder);
out:
    XDR_DESTROY(&x);
    g_free(body);
    return bundle;
}
