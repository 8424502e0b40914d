/* State of the upstream on this host, from its announcements and withdrawals.
 * Without I/O. Times in microseconds are on the monotonic clock
 * (bb_clock_now_us). */
#ifndef BB_PATH_UPSTREAM_H
#define BB_PATH_UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/instances.h"
#include "path/dialect.h"

/* Longer than an announcement is late. */
enum { BB_UPSTREAM_TRUST_MS = 5000 };

enum bb_announce_result {
    BB_ANNOUNCE_ACCEPTED,     /* applied */
    BB_ANNOUNCE_STALE,        /* older than the known state; ignored */
    BB_ANNOUNCE_UNORDERED,    /* a drain of another upstream that cannot be
                                 ordered before or after it; ignored */
    BB_ANNOUNCE_WRONG_ADDRESS /* the address is not that of this host's
                                 upstream; ignored */
};

enum bb_withdraw_result {
    BB_WITHDRAW_APPLIED,   /* also if the upstream was draining before */
    BB_WITHDRAW_STALE,     /* of an earlier run, which gets no requests */
    BB_WITHDRAW_UNORDERED, /* of another upstream that cannot be ordered before
                              or after the known one; ignored */
};

struct bb_upstream {
    char id[BB_DIALECT_ID_BYTES];
    char service[BB_DIALECT_TEXT_BYTES];
    uint64_t started_ms; /* wall clock at its start; 0: not stated */
    uint64_t sequence;   /* of the latest announcement */
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
};

enum bb_announce_result bb_upstream_announce(struct bb_upstream *u,
                                             const char *id,
                                             const struct bb_announcement *a,
                                             const char *address,
                                             uint64_t now_us);
enum bb_withdraw_result bb_upstream_withdraw(struct bb_upstream *u,
                                             const char *id,
                                             uint64_t started_ms);
void bb_upstream_confirm(struct bb_upstream *u);
void bb_upstream_apply_report(struct bb_upstream *u,
                              const struct bb_upstream_report *r);

#endif
