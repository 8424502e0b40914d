/* Inside the control layer: the last refusals, outages and conflicts of the
 * source. The caller guards it with its lock. */
#ifndef BB_CONTROL_SOURCE_NOTES_H
#define BB_CONTROL_SOURCE_NOTES_H

#include <jansson.h>
#include <stdint.h>

#include "common/digest.h"
#include "control/source_watch.h"

struct bb_source_note {
    uint64_t at_wall_us;
    char kind[16]; /* "outage", "invalid", or the name of a conflict */
    char digest[BB_DIGEST_TEXT_BYTES];
    char *message;
};

/* Zero-initialise before use. */
struct bb_source_notes {
    struct bb_source_note items[BB_SOURCE_HISTORY_MAX];
    uint32_t count;
};

void bb_source_notes_add(struct bb_source_notes *n, const char *kind,
                         const struct bb_digest *digest, const char *message);
json_t *bb_source_notes_json(const struct bb_source_notes *n);
void bb_source_notes_clear(struct bb_source_notes *n);
const char *bb_source_conflict_text(enum bb_source_conflict c);

#endif
