/* Decides when a control host proposes the content of the configuration folder
 * that it watches, its source of configurations. Content is known by its
 * digest. Times are microseconds of one clock that never goes back.
 *
 * Content is proposed when it differs from the settled content, which is the
 * last one known to need no proposal. It is never proposed only because it
 * differs from the configuration in force: otherwise a host with an old folder
 * would revert changes that others made. A proposal carries the base, the
 * revision that the content was made from, and the control hosts
 * (decide/agree.h) refuse it if there is a newer revision by then. */
#ifndef BB_DECIDE_SOURCE_H
#define BB_DECIDE_SOURCE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/digest.h"

enum {
    /* Changed content must stay the same for this long before it is proposed.
     * With a scan every 100 ms, that takes three equal scans. */
    BB_SOURCE_STABLE_US = 150 * 1000,
    /* A proposal without an answer is sent again after this time. Repeating it
     * is safe, because it is recognised by base and digest. */
    BB_SOURCE_RESEND_INTERVAL_US = 2 * 1000 * 1000,
    /* Proposals with one base whose outcome is not known. More than two need
     * several edits while no control host answers. */
    BB_SOURCE_OPEN_PROPOSALS_MAX = 4
};

/* The state that must survive a restart. Must be stored before a proposal is
 * sent. */
struct bb_source_saved {
    bool has_settled;
    /* Content that needs no proposal: it was in force, it was proposed and
     * answered, or it was found without a record of an earlier run. */
    struct bb_digest settled;
    /* Revision that changes of the settled content are based on; 0: unknown or
     * none is in force yet. */
    uint64_t base_revision;
    /* Open proposals: content proposed with this base, oldest first, that may
     * have been accepted although no answer arrived. */
    struct bb_digest open_proposals[BB_SOURCE_OPEN_PROPOSALS_MAX];
    uint32_t open_proposal_count;
};

enum bb_source_conflict {
    BB_SOURCE_CONFLICT_NONE,
    BB_SOURCE_CONFLICT_STALE_BASE, /* others changed the configuration */
    BB_SOURCE_CONFLICT_VERSION,    /* the version is not above earlier ones */
    /* The folder differs from the configuration in force, and there is no
     * record of which revision it was made from. */
    BB_SOURCE_CONFLICT_UNKNOWN_BASE
};

/* The state for one folder. */
struct bb_source {
    struct bb_source_saved saved;
    bool knows_in_force;
    uint64_t in_force_revision; /* 0: nothing is in force */
    struct bb_digest in_force_digest;
    bool has_candidate; /* the last scan found usable content */
    /* The candidate was the same for at least BB_SOURCE_STABLE_US. */
    bool is_stable;
    struct bb_digest candidate; /* content found by the last scan */
    uint64_t candidate_since_us;
    bool is_awaiting_response; /* for the answer to the last proposal */
    struct bb_digest proposed; /* content of the last proposal */
    uint64_t proposed_at_us;
    bool is_in_outage;        /* outage: the folder has no stable content */
    uint64_t outage_since_us; /* start of the last outage */
    bool is_invalid;          /* the last proposal was refused as invalid */
    enum bb_source_conflict conflict;
};

enum bb_source_event_kind {
    BB_SOURCE_EVENT_SCANNED,  /* the folder was scanned */
    BB_SOURCE_EVENT_IN_FORCE, /* the configuration in force is known or changed
                               */
    BB_SOURCE_EVENT_RESPONSE  /* an answer to a proposal arrived */
};

enum bb_source_result {
    BB_SOURCE_RESULT_ACCEPTED,
    BB_SOURCE_RESULT_INVALID,
    BB_SOURCE_RESULT_STALE_BASE,
    BB_SOURCE_RESULT_VERSION_CONFLICT,
    BB_SOURCE_RESULT_UNKNOWN /* the outcome is unknown; the proposal is
                              * repeated
                              */
};

struct bb_source_event {
    enum bb_source_event_kind kind;
    uint64_t now_us;
    union {
        struct {
            bool is_usable; /* false: no usable content, digest is not set */
            struct bb_digest digest;
        } scanned;
        struct {
            uint64_t revision; /* 0: nothing is in force yet */
            struct bb_digest digest;
        } in_force;
        struct {
            struct bb_digest digest;
            uint64_t base_revision;
            enum bb_source_result result;
            uint64_t revision; /* if accepted */
        } response;
    } as;
};

enum bb_source_action_kind { BB_SOURCE_ACTION_NONE, BB_SOURCE_ACTION_PROPOSE };

struct bb_source_action {
    enum bb_source_action_kind kind;
    struct bb_digest digest; /* propose: of the content */
    uint64_t base_revision;  /* propose: revision it was made from */
    /* The saved state changed: store it before all else. Possible with either
     * kind. */
    bool must_save;
};

void bb_source_init(struct bb_source *s, const struct bb_source_saved *saved);
struct bb_source_action bb_source_step(struct bb_source *s,
                                       const struct bb_source_event *e);
const char *bb_source_conflict_name(enum bb_source_conflict c);

#endif
