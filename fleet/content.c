/* Content-addressed store and encoding of replicated states. */
#include "fleet/content.h"

#include <string.h>
#include <zstd.h>

#include "common/digest.h"
#include "common/log.h"

enum {
    COMPRESSION_LEVEL = 3,
    /* Largest zstd window that is decoded. It covers a content of
     * BB_CONTENT_MAX_BYTES and its base. */
    WINDOW_LOG_MAX = 27
};

struct stored_content {
    uint64_t id;
    GBytes *raw;
};

struct bb_contents {
    struct stored_content entries[BB_CONTENTS_KEPT]; /* the newest first */
};

/* Creates an empty store. */
struct bb_contents *
bb_contents_create(void)
{
    return g_new0(struct bb_contents, 1);
}

/* Frees the store. NULL is allowed. */
void
bb_contents_destroy(struct bb_contents *c)
{
    for (uint32_t i = 0; c != NULL && i < BB_CONTENTS_KEPT; i++) {
        if (c->entries[i].raw != NULL) {
            g_bytes_unref(c->entries[i].raw);
        }
    }
    g_free(c);
}

/* Returns the content with an ID, owned by the store, or NULL if the store
 * does not have it. */
GBytes *
bb_contents_get(const struct bb_contents *c, uint64_t content)
{
    for (uint32_t i = 0; i < BB_CONTENTS_KEPT && content != 0; i++) {
        if (c->entries[i].id == content) {
            return c->entries[i].raw;
        }
    }
    return NULL;
}

/* Adds a content and returns its ID. If the store is full, the oldest one is
 * removed. */
uint64_t
bb_contents_add(struct bb_contents *c, GBytes *raw)
{
    gsize size = 0;
    const void *data = g_bytes_get_data(raw, &size);
    uint64_t content = bb_hash64(data, size, 0) | 1;

    if (bb_contents_get(c, content) != NULL) {
        return content;
    }
    if (c->entries[BB_CONTENTS_KEPT - 1].raw != NULL) {
        g_bytes_unref(c->entries[BB_CONTENTS_KEPT - 1].raw);
    }
    memmove(&c->entries[1], &c->entries[0],
            (BB_CONTENTS_KEPT - 1) * sizeof(c->entries[0]));
    c->entries[0] =
        (struct stored_content){.id = content, .raw = g_bytes_ref(raw)};
    return content;
}

/* Compresses a content, against `base` if the store has that. Returns false if
 * the store does not have the content or compression fails. The caller frees
 * the result with bb_content_clear. */
bool
bb_contents_pack(const struct bb_contents *c, uint64_t content, uint64_t base,
                 fleet_content *out)
{
    GBytes *raw = bb_contents_get(c, content);
    GBytes *prefix = bb_contents_get(c, base);
    gsize size = 0;
    gsize prefix_size = 0;
    const void *data;
    ZSTD_CCtx *z;
    size_t bound;
    size_t n;

    memset(out, 0, sizeof(*out));
    if (raw == NULL) {
        return false;
    }
    data = g_bytes_get_data(raw, &size);
    z = ZSTD_createCCtx();
    (void)ZSTD_CCtx_setParameter(z, ZSTD_c_compressionLevel,
                                 COMPRESSION_LEVEL);
    if (prefix != NULL) {
        const void *p = g_bytes_get_data(prefix, &prefix_size);

        (void)ZSTD_CCtx_refPrefix(z, p, prefix_size);
    }
    bound = ZSTD_compressBound(size);
    out->data.data_val = g_malloc(bound);
    n = ZSTD_compress2(z, out->data.data_val, bound, data, size);
    ZSTD_freeCCtx(z);
    if (ZSTD_isError(n)) {
        bb_log_warning("content.pack", "%s", ZSTD_getErrorName(n));
        bb_content_clear(out);
        return false;
    }
    out->data.data_len = (u_int)n;
    out->content = content;
    out->base = prefix != NULL ? base : 0;
    out->raw_bytes = (u_int)size;
    return true;
}

/* Frees the data of a compressed content. */
void
bb_content_clear(fleet_content *c)
{
    g_free(c->data.data_val);
    c->data.data_val = NULL;
    c->data.data_len = 0;
}

/* Decompresses a received content and adds it. Returns false if its base is
 * missing, it is too large, or its hash does not match its ID. */
bool
bb_contents_unpack(struct bb_contents *c, const fleet_content *in)
{
    GBytes *prefix = bb_contents_get(c, in->base);
    gsize prefix_size = 0;
    GBytes *raw;
    char *data;
    ZSTD_DCtx *z;
    size_t n;
    bool is_valid;

    if (bb_contents_get(c, in->content) != NULL) {
        return true;
    }
    if ((in->base != 0 && prefix == NULL) ||
        in->raw_bytes > BB_CONTENT_MAX_BYTES) {
        return false;
    }
    data = g_malloc(in->raw_bytes + 1);
    z = ZSTD_createDCtx();
    (void)ZSTD_DCtx_setParameter(z, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
    if (prefix != NULL) {
        const void *p = g_bytes_get_data(prefix, &prefix_size);

        (void)ZSTD_DCtx_refPrefix(z, p, prefix_size);
    }
    n = ZSTD_decompressDCtx(z, data, in->raw_bytes, in->data.data_val,
                            in->data.data_len);
    ZSTD_freeDCtx(z);
    if (ZSTD_isError(n) || n != in->raw_bytes ||
        (bb_hash64(data, n, 0) | 1) != in->content) {
        g_free(data);
        return false;
    }
    raw = g_bytes_new_take(data, n);
    is_valid = bb_contents_add(c, raw) == in->content;
    g_bytes_unref(raw);
    return is_valid;
}

/* Encodes a replicated state. The caller unreferences the result. */
GBytes *
bb_state_encode(fleet_state *s)
{
    u_long size = xdr_sizeof((xdrproc_t)xdr_fleet_state, s);
    char *data = g_malloc(size);
    XDR x;

    xdrmem_create(&x, data, (u_int)size, XDR_ENCODE);
    (void)xdr_fleet_state(&x, s);
    xdr_destroy(&x);
    return g_bytes_new_take(data, size);
}

/* Decodes a replicated state; NULL decodes to the empty state of a new
 * cluster. Returns false if it is malformed. The caller frees the result with
 * bb_state_clear. */
bool
bb_state_decode(GBytes *raw, fleet_state *s)
{
    gsize size = 0;
    const void *data;
    XDR x;
    bool is_valid;

    memset(s, 0, sizeof(*s));
    if (raw == NULL) {
        return true;
    }
    data = g_bytes_get_data(raw, &size);
    xdrmem_create(&x, (char *)data, (u_int)size, XDR_DECODE);
    is_valid = xdr_fleet_state(&x, s);
    xdr_destroy(&x);
    return is_valid;
}

/* Frees what a decoded state holds and resets it to the empty state. */
void
bb_state_clear(fleet_state *s)
{
    xdr_free((xdrproc_t)xdr_fleet_state, (char *)s);
    memset(s, 0, sizeof(*s));
}
