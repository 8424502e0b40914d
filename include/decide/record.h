/* A gatekeeper's record of request ids, which makes "not run" true and lets a
 * request run at most once. Idempotent requests are recorded too while they
 * run, so that a query can tell a long run from a lost request; they are
 * forgotten at their end, and run unrecorded if the table is full. */
#ifndef BB_DECIDE_RECORD_H
#define BB_DECIDE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/id_table.h"

enum { BB_INCARNATION_ANY = 0 };

enum bb_record_state {
    BB_RECORD_RUNNING,
    BB_RECORD_DONE,
    BB_RECORD_REFUSED /* for good: it did not and will not run here */
};

struct bb_record_entry {
    struct bb_id_slot slot;
    enum bb_record_state state;
    uint64_t answer; /* handle of the stored answer, 0: not kept */
};

/* Seeded faults that the explorer must find; set by tests only. */
enum bb_record_fault {
    BB_RECORD_FAULT_NONE,
    BB_RECORD_FAULT_FORGETS,        /* a query drops what it recorded */
    BB_RECORD_FAULT_ANY_INCARNATION /* incarnations are not compared */
};

struct bb_record {
    enum bb_record_fault fault;
    uint64_t incarnation;
    uint64_t retention_us;
    struct bb_id_table table;
};

enum bb_begin_result {
    BB_BEGIN_RUN,
    BB_BEGIN_DUPLICATE_RUNNING,
    BB_BEGIN_DUPLICATE_DONE,
    BB_BEGIN_REFUSED, /* for good; ran: no */
    BB_BEGIN_FULL,    /* ran: no */
    BB_BEGIN_OTHER_INCARNATION
};

enum bb_query_result {
    BB_QUERY_NEVER_SEEN, /* now recorded as refused for good */
    BB_QUERY_RUNNING,
    BB_QUERY_DONE,
    BB_QUERY_REFUSED,
    BB_QUERY_OTHER_INCARNATION,
    BB_QUERY_FULL /* never seen, but the refusal could not be recorded */
};

void bb_record_init(struct bb_record *r, uint64_t incarnation,
                    uint64_t retention_us, struct bb_record_entry *entries,
                    uint32_t entry_count);
enum bb_begin_result bb_record_begin(struct bb_record *r,
                                     const struct bb_request_id *id,
                                     uint64_t incarnation, uint64_t *answer,
                                     uint64_t now_us);
bool bb_record_finish(struct bb_record *r, const struct bb_request_id *id,
                      enum bb_record_state state, uint64_t answer,
                      uint64_t now_us);
bool bb_record_forget(struct bb_record *r, const struct bb_request_id *id,
                      uint64_t now_us);
enum bb_query_result bb_record_query(struct bb_record *r,
                                     const struct bb_request_id *id,
                                     uint64_t incarnation, uint64_t *answer,
                                     uint64_t now_us);
bool bb_record_expire(struct bb_record *r, uint64_t now_us, uint64_t *answer);

#endif
