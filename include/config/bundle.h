/* A revision of the configuration as it is stored and sent: whole, or as the
 * difference from another revision. Bundles are immutable and counted. */
#ifndef BB_CONFIG_BUNDLE_H
#define BB_CONFIG_BUNDLE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "config/folder.h"

struct bb_bundle {
    uint64_t revision;
    uint64_t version; /* operator label, 0 if none */
    struct bb_digest digest;
    struct bb_folder *folder;
    _Atomic uint32_t reference_count;
};

struct bb_bundle *bb_bundle_create(uint64_t revision, uint64_t version,
                                   struct bb_folder *folder);
struct bb_bundle *bb_bundle_ref(struct bb_bundle *b);
void bb_bundle_unref(struct bb_bundle *b);

void bb_bundle_encode(const struct bb_bundle *b, uint8_t **bytes,
                      size_t *size_bytes);
struct bb_bundle *bb_bundle_decode(const uint8_t *bytes, size_t size_bytes,
                                   struct bb_error *e);

void bb_delta_encode(const struct bb_bundle *from, const struct bb_bundle *to,
                     uint8_t **bytes, size_t *size_bytes);
struct bb_bundle *bb_delta_apply(const struct bb_bundle *from,
                                 const uint8_t *bytes, size_t size_bytes,
                                 struct bb_error *e);

#endif
