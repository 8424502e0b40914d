/* Internal to control/: the last refusals, outages and conflicts of the
 * source, shown as "history" by the status. Not thread-safe. */
#ifndef BB_CONTROL_SOURCE_INCIDENTS_H
#define BB_CONTROL_SOURCE_INCIDENTS_H

#include <jansson.h>
#include <stdint.h>

#include "common/digest.h"
#include "control/source_watch.h"

struct bb_source_incident {
    uint64_t occurred_wall_us;
    char kind[16]; /* "outage", "invalid", or the name of a conflict */
    char digest[BB_DIGEST_TEXT_BYTES]; /* of the folder, or empty */
    char *message;
};

/* Oldest first. Zero-initialise before use. */
struct bb_source_incidents {
    struct bb_source_incident items[BB_SOURCE_INCIDENTS_MAX];
    uint32_t count;
};

void bb_source_incidents_add(struct bb_source_incidents *n, const char *kind,
                             const struct bb_digest *digest,
                             const char *message);
json_t *bb_source_incidents_json(const struct bb_source_incidents *n);
void bb_source_incidents_clear(struct bb_source_incidents *n);
const char *bb_source_conflict_text(enum bb_source_conflict c);

#endif
