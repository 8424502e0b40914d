/* Store and encoding of replicated states. */
#include "fleet/content.h"

#include <string.h>
#include <zstd.h>

#include "common/digest.h"
#include "common/log.h"

enum {
    COMPRESSION_LEVEL = 3,
    COMPRESSED_CAPACITY = 4,
    /* Base-2 logarithm of the largest zstd window, in bytes, that is accepted.
     * It covers an encoded state of BB_CONTENT_MAX_BYTES and its base. */
    WINDOW_LOG_MAX = 27
};

struct stored_content {
    uint64_t id;
    GBytes *bytes;
};

/* A state as it was sent to hosts that have the same base. */
struct compressed_content {
    uint64_t content_id; /* 0: none */
    uint64_t base_id;
    GBytes *data;
};

struct bb_content_store {
    struct stored_content
        entries[BB_CONTENT_STORE_CAPACITY]; /* the newest first */
    /* Ring of the last results of compression: many hosts need the same. */
    struct compressed_content compressed[COMPRESSED_CAPACITY];
    uint32_t next_compressed;
};

/* Creates an empty store. */
struct bb_content_store *
bb_content_store_create(void)
{
    return g_new0(struct bb_content_store, 1);
}

/* Frees the store. NULL is allowed. */
void
bb_content_store_destroy(struct bb_content_store *c)
{
    for (uint32_t i = 0; c != NULL && i < BB_CONTENT_STORE_CAPACITY; i++) {
        if (c->entries[i].bytes != NULL) {
            g_bytes_unref(c->entries[i].bytes);
        }
    }
    for (uint32_t i = 0; c != NULL && i < COMPRESSED_CAPACITY; i++) {
        if (c->compressed[i].data != NULL) {
            g_bytes_unref(c->compressed[i].data);
        }
    }
    g_free(c);
}

/* Returns the content with an ID, owned by the store, or NULL if the store
 * does not have it. */
GBytes *
bb_content_store_get(const struct bb_content_store *c, uint64_t content_id)
{
    for (uint32_t i = 0; i < BB_CONTENT_STORE_CAPACITY && content_id != 0;
         i++) {
        if (c->entries[i].id == content_id) {
            return c->entries[i].bytes;
        }
    }
    return NULL;
}

/* Adds an encoded state and returns its content ID. If the store is full, the
 * oldest state is removed. */
uint64_t
bb_content_store_add(struct bb_content_store *c, GBytes *content)
{
    gsize size = 0;
    const void *data = g_bytes_get_data(content, &size);
    uint64_t content_id = bb_hash64(data, size, 0) | 1;

    if (bb_content_store_get(c, content_id) != NULL) {
        return content_id;
    }
    if (c->entries[BB_CONTENT_STORE_CAPACITY - 1].bytes != NULL) {
        g_bytes_unref(c->entries[BB_CONTENT_STORE_CAPACITY - 1].bytes);
    }
    memmove(&c->entries[1], &c->entries[0],
            (BB_CONTENT_STORE_CAPACITY - 1) * sizeof(c->entries[0]));
    c->entries[0] = (struct stored_content){.id = content_id,
                                            .bytes = g_bytes_ref(content)};
    return content_id;
}

/* Returns an earlier result of compression, or NULL. */
static GBytes *
find_compressed(const struct bb_content_store *c, uint64_t content_id,
                uint64_t base_id)
{
    for (uint32_t i = 0; i < COMPRESSED_CAPACITY; i++) {
        if (c->compressed[i].content_id == content_id &&
            c->compressed[i].base_id == base_id) {
            return c->compressed[i].data;
        }
    }
    return NULL;
}

/* Keeps a result of compression in place of the oldest one. */
static void
keep_compressed(struct bb_content_store *c,
                const fleet_compressed_content *result)
{
    struct compressed_content *kept = &c->compressed[c->next_compressed];

    if (kept->data != NULL) {
        g_bytes_unref(kept->data);
    }
    *kept = (struct compressed_content){
        .content_id = result->content_id,
        .base_id = result->base_id,
        .data = g_bytes_new(result->data.data_val, result->data.data_len)};
    c->next_compressed = (c->next_compressed + 1) % COMPRESSED_CAPACITY;
}

/* Compresses an encoded state, against the one with `base_id` if the store has
 * that. Returns false if the store does not have the state or compression
 * fails. The caller frees the result with bb_compressed_content_clear. */
bool
bb_content_store_compress(struct bb_content_store *c, uint64_t content_id,
                          uint64_t base_id, fleet_compressed_content *out)
{
    GBytes *content = bb_content_store_get(c, content_id);
    GBytes *prefix = bb_content_store_get(c, base_id);
    gsize size = 0;
    gsize prefix_size = 0;
    const void *data;
    GBytes *kept;
    ZSTD_CCtx *z;
    size_t bound;
    size_t n;

    memset(out, 0, sizeof(*out));
    if (content == NULL) {
        return false;
    }
    data = g_bytes_get_data(content, &size);
    out->content_id = content_id;
    out->base_id = prefix != NULL ? base_id : 0;
    out->uncompressed_bytes = (u_int)size;
    kept = find_compressed(c, content_id, out->base_id);
    if (kept != NULL) {
        out->data.data_len = (u_int)g_bytes_get_size(kept);
        out->data.data_val =
            g_memdup2(g_bytes_get_data(kept, NULL), out->data.data_len);
        return true;
    }
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
        bb_log_warning("content.pack", "cannot compress a configuration: %s",
                       ZSTD_getErrorName(n));
        bb_compressed_content_clear(out);
        return false;
    }
    out->data.data_len = (u_int)n;
    keep_compressed(c, out);
    return true;
}

/* Frees the data of a compressed state. */
void
bb_compressed_content_clear(fleet_compressed_content *c)
{
    g_free(c->data.data_val);
    c->data.data_val = NULL;
    c->data.data_len = 0;
}

/* Decompresses a received state and adds it. Returns false if its base is
 * missing, it is too large, or its hash does not match its content ID. */
bool
bb_content_store_add_compressed(struct bb_content_store *c,
                                const fleet_compressed_content *in)
{
    GBytes *prefix = bb_content_store_get(c, in->base_id);
    gsize prefix_size = 0;
    GBytes *content;
    char *data;
    ZSTD_DCtx *z;
    size_t n;
    bool is_valid;

    if (bb_content_store_get(c, in->content_id) != NULL) {
        return true;
    }
    if ((in->base_id != 0 && prefix == NULL) ||
        in->uncompressed_bytes > BB_CONTENT_MAX_BYTES) {
        return false;
    }
    data = g_malloc(in->uncompressed_bytes + 1);
    z = ZSTD_createDCtx();
    (void)ZSTD_DCtx_setParameter(z, ZSTD_d_windowLogMax, WINDOW_LOG_MAX);
    if (prefix != NULL) {
        const void *p = g_bytes_get_data(prefix, &prefix_size);

        (void)ZSTD_DCtx_refPrefix(z, p, prefix_size);
    }
    n = ZSTD_decompressDCtx(z, data, in->uncompressed_bytes, in->data.data_val,
                            in->data.data_len);
    ZSTD_freeDCtx(z);
    if (ZSTD_isError(n) || n != in->uncompressed_bytes ||
        (bb_hash64(data, n, 0) | 1) != in->content_id) {
        g_free(data);
        return false;
    }
    content = g_bytes_new_take(data, n);
    is_valid = bb_content_store_add(c, content) == in->content_id;
    g_bytes_unref(content);
    if (is_valid && in->base_id == 0) {
        keep_compressed(c, in); /* as it was stored, or sent in full */
    }
    return is_valid;
}

/* Encodes a replicated state. The caller unreferences the result. Returns NULL
 * if a part exceeds its limit. */
GBytes *
bb_replicated_state_encode(fleet_replicated_state *s)
{
    u_long size = xdr_sizeof((xdrproc_t)xdr_fleet_replicated_state, s);
    char *data = g_malloc(size);
    bool is_encoded;
    XDR x;

    xdrmem_create(&x, data, (u_int)size, XDR_ENCODE);
    is_encoded = xdr_fleet_replicated_state(&x, s);
    xdr_destroy(&x);
    if (!is_encoded || size > BB_CONTENT_MAX_BYTES) {
        g_free(data);
        return NULL;
    }
    return g_bytes_new_take(data, size);
}

/* Decodes a state that an earlier release stored, which ends before the list
 * of rollouts. */
static bool
decode_without_rollouts(const void *data, gsize size,
                        fleet_replicated_state *s)
{
    char *extended = g_malloc0(size + BYTES_PER_XDR_UNIT);
    bool is_valid;
    XDR x;

    memcpy(extended, data, size);
    xdrmem_create(&x, extended, (u_int)(size + BYTES_PER_XDR_UNIT),
                  XDR_DECODE);
    is_valid = xdr_fleet_replicated_state(&x, s);
    xdr_destroy(&x);
    g_free(extended);
    return is_valid;
}

/* Decodes a replicated state; NULL decodes to the empty state of a new
 * cluster. Returns false if it is malformed. The caller frees the result with
 * bb_replicated_state_clear. */
bool
bb_replicated_state_decode(GBytes *encoded_state, fleet_replicated_state *s)
{
    gsize size = 0;
    const void *data;
    XDR x;
    bool is_valid;

    memset(s, 0, sizeof(*s));
    if (encoded_state == NULL) {
        return true;
    }
    data = g_bytes_get_data(encoded_state, &size);
    xdrmem_create(&x, (char *)data, (u_int)size, XDR_DECODE);
    is_valid = xdr_fleet_replicated_state(&x, s);
    xdr_destroy(&x);
    if (!is_valid) {
        bb_replicated_state_clear(s);
        is_valid = decode_without_rollouts(data, size, s);
    }
    return is_valid;
}

/* Frees what a decoded state holds and resets it to the empty state. */
void
bb_replicated_state_clear(fleet_replicated_state *s)
{
    xdr_free((xdrproc_t)xdr_fleet_replicated_state, (char *)s);
    memset(s, 0, sizeof(*s));
}
