/* State of the upstream on this host, from its announcements and withdrawals.
 * Without I/O. Times in microseconds are on the monotonic clock
 * (bb_clock_now_us).
 *
 * A run of an upstream is identified by its id and its start. The known run is
 * the one that gets requests. The starts do not order the runs, as the wall
 * clock may go back, and messages of an ended run may arrive late. So another
 * run replaces the known one only if
 * - it announces that it is ready, its start is not lower, and it was not the
 *   known one before; it may be an ended run all the same, or
 * - the upstream responds with its id, or
 * - it has been heard for BB_UPSTREAM_TAKEOVER_MS while the known run was
 *   silent.
 * If the order turns out wrong, the run that goes on is found in the same way.
 * Until then, a drain of another run is not acknowledged. */
#ifndef BB_PATH_UPSTREAM_H
#define BB_PATH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/instances.h"
#include "path/dialect.h"

enum {
    /* Longer than an announcement is late. */
    BB_UPSTREAM_TRUST_MS = 5000,
    /* Longer than the interval between the announcements of a run. */
    BB_UPSTREAM_TAKEOVER_MS = 3000,
    /* Runs kept besides the known one; the one heard last of longest ago is
     * dropped. */
    BB_UPSTREAM_OTHERS_MAX = 4
};

enum bb_announce_result {
    BB_ANNOUNCE_ACCEPTED,     /* applied */
    BB_ANNOUNCE_STALE,        /* older than the known state, or of a run that
                                 has not replaced the known one; ignored */
    BB_ANNOUNCE_UNORDERED,    /* the same of a drain; not binding */
    BB_ANNOUNCE_WRONG_ADDRESS /* the address is not that of this host's
                                 upstream; ignored */
};

enum bb_withdraw_result {
    BB_WITHDRAW_APPLIED,  /* also if the upstream was draining before */
    BB_WITHDRAW_STALE,    /* of a run that drained before it was replaced */
    BB_WITHDRAW_UNORDERED /* of a run that has not replaced the known one, or
                             of one of two that cannot be distinguished; not
                             binding */
};

/* A run that was heard of besides the known one. */
struct bb_upstream_other {
    char id[BB_DIALECT_ID_BYTES]; /* empty: unused */
    struct bb_announcement latest;
    uint64_t first_heard_us; /* since the known run was heard last; 0: not */
    uint64_t last_heard_us;  /* or when it had ended at the latest */
    bool has_drained;
    bool was_replaced;     /* it was the known run */
    bool is_drain_binding; /* it drained before it was replaced */
};

struct bb_upstream {
    char id[BB_DIALECT_ID_BYTES];
    char service[BB_DIALECT_TEXT_BYTES];
    uint64_t started_ms; /* wall clock at its start; 0: not stated */
    char software_version[BB_DIALECT_TEXT_BYTES]; /* empty: not stated */
    uint64_t sequence; /* of the latest announcement */
    enum bb_instance_state state;
    uint32_t slots;          /* requests that it runs at a time */
    uint64_t warm_at_us;     /* runs slower until then; 0: warm */
    uint64_t first_heard_us; /* time of the first announcement of the run */
    uint64_t last_heard_us;  /* time of the latest announcement */
    /* The run has announced a drain or was withdrawn, which is final. */
    bool has_drained;
    /* The run said last in a response that it leaves. */
    bool is_leaving;
    /* The run takes requests: it said so in a response, or its announcements
     * went on for BB_UPSTREAM_TRUST_MS. A single one may be late. */
    bool is_confirmed;
    /* Another id has announced itself since the upstream last responded with
     * one. */
    bool is_id_disputed;
    struct bb_upstream_other others[BB_UPSTREAM_OTHERS_MAX];
};

enum bb_announce_result bb_upstream_announce(struct bb_upstream *u,
                                             const char *id,
                                             const struct bb_announcement *a,
                                             const char *address,
                                             uint64_t now_us);
enum bb_withdraw_result bb_upstream_withdraw(struct bb_upstream *u,
                                             const char *id,
                                             uint64_t started_ms,
                                             uint64_t now_us);
bool bb_upstream_identify(struct bb_upstream *u, const char *id);
void bb_upstream_confirm(struct bb_upstream *u);
void bb_upstream_apply_report(struct bb_upstream *u,
                              const struct bb_upstream_report *r);

#endif
