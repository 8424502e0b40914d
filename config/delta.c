/* Deltas: the difference between two bundles, by whole files and rosters. */
#include <string.h>

#include "bundle_codec.h"
#include "config/bundle.h"

/* Header of a delta's body. After it come the names of removed files, the
 * changed files, the services of removed rosters and the changed rosters, as
 * many as counted here. New files and rosters count as changed. */
struct delta_header {
    struct bb_digest base_digest;
    struct bb_digest to_digest;
    uint64_t revision;
    uint64_t version;
    uint32_t removed_file_count;
    uint32_t changed_file_count;
    uint32_t removed_roster_count;
    uint32_t changed_roster_count;
};

/* Encodes or decodes the header, by the direction of the stream. */
static bool
xdr_delta_header(XDR *x, struct delta_header *f)
{
    return bb_codec_xdr_digest(x, &f->base_digest) &&
           bb_codec_xdr_digest(x, &f->to_digest) &&
           xdr_uint64_t(x, &f->revision) && xdr_uint64_t(x, &f->version) &&
           xdr_uint32_t(x, &f->removed_file_count) &&
           xdr_uint32_t(x, &f->changed_file_count) &&
           xdr_uint32_t(x, &f->removed_roster_count) &&
           xdr_uint32_t(x, &f->changed_roster_count);
}

/* Returns whether a file is missing in the other folder or has other content
 * there. */
static bool
is_file_changed(const struct bb_folder_file *f, const struct bb_folder *other)
{
    const struct bb_folder_file *old = bb_folder_find_file(other, f->name);

    return old == NULL || !bb_digest_equal(&old->digest, &f->digest);
}

/* Returns whether the other set has no roster of this service or a different
 * one. */
static bool
is_roster_changed(const struct bb_service_roster *r,
                  const struct bb_rosters *other)
{
    const struct bb_service_roster *old = bb_rosters_find(other, r->service);

    return old == NULL || !bb_service_roster_equal(old, r);
}

/* Fills in the counts of the header. */
static void
count_differences(const struct bb_bundle *base, const struct bb_bundle *to,
                  struct delta_header *header)
{
    const struct bb_folder *base_folder = base->folder;
    const struct bb_folder *to_folder = to->folder;

    for (uint32_t i = 0; i < base_folder->file_count; i++) {
        header->removed_file_count +=
            bb_folder_find_file(to_folder, base_folder->files[i].name) == NULL;
    }
    for (uint32_t i = 0; i < to_folder->file_count; i++) {
        header->changed_file_count +=
            is_file_changed(&to_folder->files[i], base_folder);
    }
    for (uint32_t i = 0; i < base->rosters->count; i++) {
        header->removed_roster_count +=
            bb_rosters_find(to->rosters, base->rosters->items[i].service) ==
            NULL;
    }
    for (uint32_t i = 0; i < to->rosters->count; i++) {
        header->changed_roster_count +=
            is_roster_changed(&to->rosters->items[i], base->rosters);
    }
}

/* Writes the names of removed files, then the changed files. */
static bool
put_file_changes(XDR *x, const struct bb_folder *base,
                 const struct bb_folder *to)
{
    bool ok = true;

    for (uint32_t i = 0; ok && i < base->file_count; i++) {
        if (bb_folder_find_file(to, base->files[i].name) == NULL) {
            ok = bb_codec_put_file_name(x, base->files[i].name);
        }
    }
    for (uint32_t i = 0; ok && i < to->file_count; i++) {
        if (is_file_changed(&to->files[i], base)) {
            ok = bb_codec_put_file(x, &to->files[i]);
        }
    }
    return ok;
}

/* Writes the services of removed rosters, then the changed rosters. */
static bool
put_roster_changes(XDR *x, const struct bb_rosters *base,
                   const struct bb_rosters *to)
{
    bool ok = true;

    for (uint32_t i = 0; ok && i < base->count; i++) {
        if (bb_rosters_find(to, base->items[i].service) == NULL) {
            ok = bb_codec_put_name(x, base->items[i].service);
        }
    }
    for (uint32_t i = 0; ok && i < to->count; i++) {
        if (is_roster_changed(&to->items[i], base)) {
            ok = bb_codec_put_roster(x, &to->items[i]);
        }
    }
    return ok;
}

/* Encodes the difference that turns the base into another bundle. The result
 * is not compared with BB_BUNDLE_MAX_BYTES. The caller frees *bytes with
 * g_free. */
void
bb_bundle_encode_delta(const struct bb_bundle *base,
                       const struct bb_bundle *to, uint8_t **bytes,
                       size_t *size_bytes)
{
    uint8_t *body = g_malloc(BB_UNCOMPRESSED_MAX_BYTES);
    struct delta_header header = {.base_digest = base->digest,
                                  .to_digest = to->digest,
                                  .revision = to->revision,
                                  .version = to->version};
    bool ok;
    XDR x;

    count_differences(base, to, &header);
    xdrmem_create(&x, (char *)body, BB_UNCOMPRESSED_MAX_BYTES, XDR_ENCODE);
    ok = xdr_delta_header(&x, &header) &&
         put_file_changes(&x, base->folder, to->folder) &&
         put_roster_changes(&x, base->rosters, to->rosters);
    /* BB_UNCOMPRESSED_MAX_BYTES covers any two bundles within their limits. */
    g_assert(ok);
    bb_codec_pack(BB_MAGIC_DELTA, body, xdr_getpos(&x), bytes, size_bytes);
    XDR_DESTROY(&x);
    g_free(body);
}

/* Reads the names of removed files into a set. Returns false if one is
 * damaged, listed twice or not in the base. */
static bool
read_removed_files(XDR *x, const struct delta_header *header,
                   const struct bb_folder *base, GHashTable *removed)
{
    char name[BB_FOLDER_FILE_NAME_MAX_BYTES + 1];

    for (uint32_t i = 0; i < header->removed_file_count; i++) {
        if (!bb_codec_get_file_name(x, name) ||
            bb_folder_find_file(base, name) == NULL ||
            !g_hash_table_add(removed, g_strdup(name))) {
            return false;
        }
    }
    return true;
}

/* Adds the files of the base that are neither removed nor changed. Returns
 * false with an error of bb_folder_builder_add. */
static bool
add_unchanged_files(struct bb_folder_builder *b, const struct bb_folder *base,
                    GHashTable *removed, const struct bb_folder *changed,
                    struct bb_error *e)
{
    for (uint32_t i = 0; i < base->file_count; i++) {
        const struct bb_folder_file *f = &base->files[i];

        if (!g_hash_table_contains(removed, f->name) &&
            bb_folder_find_file(changed, f->name) == NULL &&
            !bb_folder_builder_add(b, f->name, f->data, f->size_bytes, e)) {
            return false;
        }
    }
    return true;
}

/* Reads the removed and changed files of a delta and returns the resulting
 * folder, or NULL with an error. */
static struct bb_folder *
apply_files(XDR *x, const struct bb_folder *base,
            const struct delta_header *header, struct bb_error *e)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    GHashTable *removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct bb_folder *changed = NULL;
    struct bb_folder *result = NULL;

    if (!read_removed_files(x, header, base, removed)) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the delta has a wrong list of removed files");
        goto out;
    }
    for (uint32_t i = 0; i < header->changed_file_count; i++) {
        if (!bb_codec_get_file(x, b, e)) {
            goto out;
        }
    }
    changed = bb_folder_builder_finish(b, e);
    if (changed == NULL ||
        !add_unchanged_files(b, base, removed, changed, e)) {
        goto out;
    }
    for (uint32_t i = 0; i < changed->file_count; i++) {
        const struct bb_folder_file *f = &changed->files[i];

        if (!bb_folder_builder_add(b, f->name, f->data, f->size_bytes, e)) {
            goto out;
        }
    }
    result = bb_folder_builder_finish(b, e);
out:
    bb_folder_destroy(changed);
    g_hash_table_destroy(removed);
    bb_folder_builder_destroy(b);
    return result;
}

/* Reads the services of removed rosters into a set. Returns false if one is
 * damaged, listed twice or not in the base. */
static bool
read_removed_rosters(XDR *x, const struct delta_header *header,
                     const struct bb_rosters *base, GHashTable *removed)
{
    char name[BB_NAME_BYTES];

    for (uint32_t i = 0; i < header->removed_roster_count; i++) {
        if (!bb_codec_get_name(x, name) ||
            bb_rosters_find(base, name) == NULL ||
            !g_hash_table_add(removed, g_strdup(name))) {
            return false;
        }
    }
    return true;
}

/* Reads the removed and changed rosters of a delta and returns the resulting
 * set, or NULL with an error. */
static struct bb_rosters *
apply_rosters(XDR *x, const struct bb_rosters *base,
              const struct delta_header *header, struct bb_error *e)
{
    GHashTable *removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct bb_rosters *result = bb_rosters_create();
    bool ok = read_removed_rosters(x, header, base, removed);

    if (!ok) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the delta has a wrong list of removed rosters");
    }
    /* Rosters of the base that have changed are replaced below. */
    for (uint32_t i = 0; ok && i < base->count; i++) {
        if (!g_hash_table_contains(removed, base->items[i].service)) {
            ok = bb_rosters_put(result, &base->items[i], e);
        }
    }
    for (uint32_t i = 0; ok && i < header->changed_roster_count; i++) {
        ok = bb_codec_get_roster(x, result, e);
    }
    g_hash_table_destroy(removed);
    if (!ok) {
        bb_rosters_destroy(result);
        result = NULL;
    }
    return result;
}

/* Returns whether the counts of the header are within their limits. */
static bool
is_header_valid(const struct delta_header *f)
{
    return f->removed_file_count <= BB_FOLDER_FILES_MAX &&
           f->changed_file_count <= BB_FOLDER_FILES_MAX &&
           f->removed_roster_count <= BB_ROSTERS_MAX &&
           f->changed_roster_count <= BB_ROSTERS_MAX;
}

/* Applies a delta to its base and returns the resulting bundle with one
 * reference; the base stays as it is. Returns NULL with BB_CONFIG_ERROR_BASE
 * if the delta has another base, or with another error of enum bb_config_error
 * if it is damaged, exceeds a limit or leads to another digest. */
struct bb_bundle *
bb_bundle_apply_delta(const struct bb_bundle *base, const uint8_t *bytes,
                      size_t size_bytes, struct bb_error *e)
{
    struct bb_bundle *bundle = NULL;
    struct bb_folder *folder = NULL;
    struct bb_rosters *rosters = NULL;
    struct delta_header header = {0};
    size_t size = 0;
    XDR x;
    uint8_t *body =
        bb_codec_unpack(BB_MAGIC_DELTA, bytes, size_bytes, &size, e);

    if (body == NULL) {
        return NULL;
    }
    xdrmem_create(&x, (char *)body, (u_int)size, XDR_DECODE);
    if (!xdr_delta_header(&x, &header) || !is_header_valid(&header)) {
        bb_error_set(
            e, BB_CONFIG_ERROR_DAMAGED,
            "the delta has a truncated header or counts over a limit");
        goto out;
    }
    if (!bb_digest_equal(&header.base_digest, &base->digest)) {
        bb_error_set(e, BB_CONFIG_ERROR_BASE,
                     "the delta has another base than the bundle that it is "
                     "applied to");
        goto out;
    }
    folder = apply_files(&x, base->folder, &header, e);
    if (folder == NULL) {
        goto out;
    }
    rosters = apply_rosters(&x, base->rosters, &header, e);
    if (rosters == NULL) {
        bb_folder_destroy(folder);
        goto out;
    }
    if (xdr_getpos(&x) != size) {
        bb_error_set(e, BB_CONFIG_ERROR_DAMAGED,
                     "the delta has bytes left over");
        bb_folder_destroy(folder);
        bb_rosters_destroy(rosters);
        goto out;
    }
    bundle = bb_codec_create_bundle(header.revision, header.version, folder,
                                    rosters, &header.to_digest, e);
out:
    XDR_DESTROY(&x);
    g_free(body);
    return bundle;
}
