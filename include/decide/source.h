/* Decides when a control host proposes the content of the folder it watches.
 *
 * A folder is proposed when its content changes from what was last settled,
 * never because it differs from the configuration in force: otherwise a host
 * with an old folder would revert changes that others made. The proposal
 * carries the revision that the changed content was based on, and the agreed
 * sequence refuses it if another revision is in force by then. */
#ifndef BB_DECIDE_SOURCE_H
#define BB_DECIDE_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"

enum {
    /* A folder whose content changed must stay the same for this long. */
    BB_SOURCE_STABLE_US = 150 * 1000,
    /* A proposal without an answer is sent again; (base, digest) makes that
     * safe. */
    BB_SOURCE_RESEND_US = 2 * 1000 * 1000,
    /* Proposals against one base whose outcome is not known. More than two
     * need several edits while no control host answers. */
    BB_SOURCE_OPEN_MAX = 4
};

/* What must outlive the process. Stored before a proposal is sent. */
struct bb_source_saved {
    bool has_settled;
    /* Content that was in force, was proposed and answered, or was found
     * first. */
    struct bb_digest settled;
    /* Revision that the settled content is based on; 0: none is known. */
    uint64_t base_revision;
    /* Content proposed against this base, oldest first, that may have been
     * accepted although no answer came. */
    struct bb_digest open[BB_SOURCE_OPEN_MAX];
    uint32_t open_count;
};

enum bb_source_conflict {
    BB_SOURCE_CONFLICT_NONE,
    BB_SOURCE_CONFLICT_STALE_BASE,  /* others changed the configuration */
    BB_SOURCE_CONFLICT_VERSION,     /* equal version, different content */
    BB_SOURCE_CONFLICT_UNKNOWN_BASE /* a differing folder without record */
};

struct bb_source {
    struct bb_source_saved saved;
    bool knows_in_force;
    uint64_t in_force_revision;
    struct bb_digest in_force_digest;
    bool has_candidate; /* content seen in the last scan */
    bool is_stable;
    struct bb_digest candidate;
    uint64_t candidate_since_us;
    bool is_waiting; /* for the answer to the newest proposal */
    struct bb_digest proposed;
    uint64_t proposed_at_us;
    bool is_out; /* no usable, stable content */
    uint64_t out_since_us;
    bool is_invalid; /* the newest proposal was refused as invalid */
    enum bb_source_conflict conflict;
};

enum bb_source_event_kind {
    BB_SOURCE_OBSERVED,
    BB_SOURCE_IN_FORCE,
    BB_SOURCE_ANSWERED
};

enum bb_source_answer {
    BB_SOURCE_ACCEPTED,
    BB_SOURCE_INVALID,
    BB_SOURCE_STALE_BASE,
    BB_SOURCE_VERSION_CONFLICT,
    BB_SOURCE_UNAVAILABLE /* no decision; the proposal is repeated */
};

struct bb_source_event {
    enum bb_source_event_kind kind;
    uint64_t now_us;
    union {
        struct {
            bool is_usable; /* false: an outage, without digest */
            struct bb_digest digest;
        } observed;
        struct {
            uint64_t revision; /* 0: nothing is in force yet */
            struct bb_digest digest;
        } in_force;
        struct {
            struct bb_digest digest;
            uint64_t base_revision;
            enum bb_source_answer answer;
            uint64_t revision; /* if accepted */
        } answered;
    } as;
};

enum bb_source_action_kind { BB_SOURCE_NOTHING, BB_SOURCE_PROPOSE };

struct bb_source_action {
    enum bb_source_action_kind kind;
    struct bb_digest digest;
    uint64_t base_revision;
    bool must_save; /* saved changed: store it before anything else */
};

void bb_source_init(struct bb_source *s, const struct bb_source_saved *saved);
struct bb_source_action bb_source_step(struct bb_source *s,
                                       const struct bb_source_event *e);
const char *bb_source_conflict_name(enum bb_source_conflict c);

#endif
