/* Differences between two bundles, by file and by roster. */
#include <string.h>

#include "bundle_codec.h"
#include "config/bundle.h"

/* Front of a delta's body. Removed files, changed files, services whose roster
 * is removed and changed rosters follow. */
struct delta_front {
    struct bb_digest from_digest;
    struct bb_digest to_digest;
    uint64_t revision;
    uint64_t version;
    uint32_t removed_count;
    uint32_t changed_count;
    uint32_t removed_rosters;
    uint32_t changed_rosters;
};

/* Writes or reads the front. */
static bool
code_front(XDR *x, struct delta_front *f)
{
    return bb_codec_digest(x, &f->from_digest) &&
           bb_codec_digest(x, &f->to_digest) &&
           xdr_uint64_t(x, &f->revision) && xdr_uint64_t(x, &f->version) &&
           xdr_uint32_t(x, &f->removed_count) &&
           xdr_uint32_t(x, &f->changed_count) &&
           xdr_uint32_t(x, &f->removed_rosters) &&
           xdr_uint32_t(x, &f->changed_rosters);
}

/* Tells whether the other folder has no such file, or with other content. */
static bool
is_changed(const struct bb_file *f, const struct bb_folder *other)
{
    const struct bb_file *old = bb_folder_find(other, f->name);

    return old == NULL || !bb_digest_equal(&old->digest, &f->digest);
}

/* Tells whether the other set has no such roster, or a different one. */
static bool
is_roster_changed(const struct bb_service_roster *r,
                  const struct bb_rosters *other)
{
    const struct bb_service_roster *old = bb_rosters_find(other, r->service);

    return old == NULL || !bb_service_roster_equal(old, r);
}

/* Counts what differs between two bundles. */
static void
count_differences(const struct bb_bundle *from, const struct bb_bundle *to,
                  struct delta_front *front)
{
    const struct bb_folder *a = from->folder;
    const struct bb_folder *b = to->folder;

    for (uint32_t i = 0; i < a->file_count; i++) {
        front->removed_count += bb_folder_find(b, a->files[i].name) == NULL;
    }
    for (uint32_t i = 0; i < b->file_count; i++) {
        front->changed_count += is_changed(&b->files[i], a);
    }
    for (uint32_t i = 0; i < from->rosters->count; i++) {
        front->removed_rosters +=
            bb_rosters_find(to->rosters, from->rosters->items[i].service) ==
            NULL;
    }
    for (uint32_t i = 0; i < to->rosters->count; i++) {
        front->changed_rosters +=
            is_roster_changed(&to->rosters->items[i], from->rosters);
    }
}

/* Writes the removed and changed files. */
static bool
put_files(XDR *x, const struct bb_folder *a, const struct bb_folder *b)
{
    bool ok = true;

    for (uint32_t i = 0; ok && i < a->file_count; i++) {
        if (bb_folder_find(b, a->files[i].name) == NULL) {
            ok = bb_codec_put_name(x, a->files[i].name);
        }
    }
    for (uint32_t i = 0; ok && i < b->file_count; i++) {
        if (is_changed(&b->files[i], a)) {
            ok = bb_codec_put_file(x, &b->files[i]);
        }
    }
    return ok;
}

/* Writes the services of removed rosters and the changed rosters. */
static bool
put_rosters(XDR *x, const struct bb_rosters *a, const struct bb_rosters *b)
{
    bool ok = true;

    for (uint32_t i = 0; ok && i < a->count; i++) {
        if (bb_rosters_find(b, a->items[i].service) == NULL) {
            ok = bb_codec_put_short_name(x, a->items[i].service);
        }
    }
    for (uint32_t i = 0; ok && i < b->count; i++) {
        if (is_roster_changed(&b->items[i], a)) {
            ok = bb_codec_put_roster(x, &b->items[i]);
        }
    }
    return ok;
}

/* Encodes the difference that turns one bundle into another. The caller frees
 * the bytes with g_free. */
void
bb_delta_encode(const struct bb_bundle *from, const struct bb_bundle *to,
                uint8_t **bytes, size_t *size_bytes)
{
    uint8_t *body = g_malloc(BB_EXPANDED_MAX_BYTES);
    struct delta_front front = {.from_digest = from->digest,
                                .to_digest = to->digest,
                                .revision = to->revision,
                                .version = to->version};
    bool ok;
    XDR x;

    count_differences(from, to, &front);
    xdrmem_create(&x, (char *)body, BB_EXPANDED_MAX_BYTES, XDR_ENCODE);
    ok = code_front(&x, &front) && put_files(&x, from->folder, to->folder) &&
         put_rosters(&x, from->rosters, to->rosters);
    /* Two bundles within their limits fit into the buffer. */
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

/* Reads the files of a delta and builds the resulting folder. */
static struct bb_folder *
apply_files(XDR *x, const struct bb_folder *base,
            const struct delta_front *front, struct bb_error *e)
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
out:
    bb_folder_destroy(changed);
    g_hash_table_destroy(removed);
    bb_folder_builder_destroy(b);
    return result;
}

/* Reads the names of the services whose rosters are removed; each must be in
 * the base. */
static bool
read_removed_rosters(XDR *x, const struct delta_front *front,
                     const struct bb_rosters *base, GHashTable *removed)
{
    char name[BB_NAME_BYTES];

    for (uint32_t i = 0; i < front->removed_rosters; i++) {
        if (!bb_codec_get_short_name(x, name) ||
            bb_rosters_find(base, name) == NULL ||
            !g_hash_table_add(removed, g_strdup(name))) {
            return false;
        }
    }
    return true;
}

/* Reads the rosters of a delta and builds the resulting set. */
static struct bb_rosters *
apply_rosters(XDR *x, const struct bb_rosters *base,
              const struct delta_front *front, struct bb_error *e)
{
    GHashTable *removed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    struct bb_rosters *result = bb_rosters_create();
    bool ok = read_removed_rosters(x, front, base, removed);

    if (!ok) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                     "the delta has a wrong list of removed rosters");
    }
    /* The changed ones follow. A kept one that is read again is replaced. */
    for (uint32_t i = 0; ok && i < base->count; i++) {
        if (!g_hash_table_contains(removed, base->items[i].service)) {
            ok = bb_rosters_put(result, &base->items[i], e);
        }
    }
    for (uint32_t i = 0; ok && i < front->changed_rosters; i++) {
        ok = bb_codec_get_roster(x, result, e);
    }
    g_hash_table_destroy(removed);
    if (!ok) {
        bb_rosters_destroy(result);
        result = NULL;
    }
    return result;
}

/* Tells whether the counts of the front are within their limits. */
static bool
is_front_valid(const struct delta_front *f)
{
    return f->removed_count <= BB_FOLDER_MAX_FILES &&
           f->changed_count <= BB_FOLDER_MAX_FILES &&
           f->removed_rosters <= BB_ROSTERS_MAX &&
           f->changed_rosters <= BB_ROSTERS_MAX;
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
    struct bb_rosters *rosters = NULL;
    struct delta_front front = {0};
    size_t size = 0;
    XDR x;
    uint8_t *body =
        bb_codec_unpack(BB_MAGIC_DELTA, bytes, size_bytes, &size, e);

    if (body == NULL) {
        return NULL;
    }
    xdrmem_create(&x, (char *)body, (u_int)size, XDR_DECODE);
    if (!code_front(&x, &front) || !is_front_valid(&front)) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT, "the delta is damaged");
        goto out;
    }
    if (!bb_digest_equal(&front.from_digest, &from->digest)) {
        bb_error_set(e, BB_CONFIG_ERROR_BASE,
                     "the delta is not against the revision held");
        goto out;
    }
    folder = apply_files(&x, from->folder, &front, e);
    if (folder == NULL) {
        goto out;
    }
    rosters = apply_rosters(&x, from->rosters, &front, e);
    if (rosters == NULL) {
        bb_folder_destroy(folder);
        goto out;
    }
    if (xdr_getpos(&x) != size) {
        bb_error_set(e, BB_CONFIG_ERROR_FORMAT,
                     "the delta has bytes left over");
        bb_folder_destroy(folder);
        bb_rosters_destroy(rosters);
        goto out;
    }
    bundle = bb_codec_finish(front.revision, front.version, folder, rosters,
                             &front.to_digest, e);
out:
    XDR_DESTROY(&x);
    g_free(body);
    return bundle;
}
