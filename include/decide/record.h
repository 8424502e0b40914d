/* A gatekeeper's record of request ids, for at-most-once execution: a request
 * id that was seen or permanently refused does not run again in this
 * incarnation (process lifetime) of the gatekeeper until the retention time
 * after its end or refusal has passed.
 *
 * Idempotent requests are recorded too while they run, so that a query can
 * tell a long-running request from a lost one. They are forgotten when they
 * end, and run unrecorded if the table is full.
 *
 * Times are microseconds of one clock. The caller serialises the calls. */
#ifndef BB_DECIDE_RECORD_H
#define BB_DECIDE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "decide/id_table.h"

/* Of a request that may run in any incarnation. */
enum { BB_INCARNATION_ANY = 0 };

enum bb_record_state {
    BB_RECORD_RUNNING,
    BB_RECORD_DONE,
    BB_RECORD_REFUSED /* permanently: did not and will not run here */
};

struct bb_record_entry {
    struct bb_id_slot slot;
    enum bb_record_state state;
    uint64_t response_handle; /* of the stored response; 0: none stored */
};

/* Faults injected by tests, which the explorer must detect. */
enum bb_record_fault {
    BB_RECORD_FAULT_NONE,
    BB_RECORD_FAULT_QUERY_NOT_RECORDED, /* a query does not record its refusal
                                         */
    BB_RECORD_FAULT_ANY_INCARNATION     /* incarnations are not compared */
};

struct bb_record {
    enum bb_record_fault fault;
    uint64_t incarnation;
    uint64_t retention_us; /* how long finished and refused ids are kept */
    struct bb_id_table table;
};

enum bb_begin_result {
    BB_BEGIN_RUN,
    BB_BEGIN_DUPLICATE_RUNNING, /* the same id is running */
    BB_BEGIN_DUPLICATE_DONE,    /* the same id has finished */
    BB_BEGIN_REFUSED,           /* permanently; did not run here */
    BB_BEGIN_FULL,              /* no space in the record; did not run here */
    BB_BEGIN_OTHER_INCARNATION  /* the request names another one */
};

enum bb_query_result {
    BB_QUERY_NEVER_SEEN, /* now recorded as permanently refused */
    BB_QUERY_RUNNING,
    BB_QUERY_DONE,
    BB_QUERY_REFUSED,
    BB_QUERY_OTHER_INCARNATION, /* the query names another one */
    BB_QUERY_FULL /* never seen, but the refusal could not be recorded */
};

void bb_record_init(struct bb_record *r, uint64_t incarnation,
                    uint64_t retention_us, struct bb_record_entry *entries,
                    uint32_t entry_count);
enum bb_begin_result bb_record_begin(struct bb_record *r,
                                     const struct bb_request_id *id,
                                     uint64_t incarnation,
                                     uint64_t *response_handle,
                                     uint64_t now_us);
bool bb_record_finish(struct bb_record *r, const struct bb_request_id *id,
                      enum bb_record_state state, uint64_t response_handle,
                      uint64_t now_us);
bool bb_record_remove_running(struct bb_record *r,
                              const struct bb_request_id *id, uint64_t now_us);
enum bb_query_result bb_record_query(struct bb_record *r,
                                     const struct bb_request_id *id,
                                     uint64_t incarnation,
                                     uint64_t *response_handle,
                                     uint64_t now_us);
bool bb_record_expire(struct bb_record *r, uint64_t now_us,
                      uint64_t *response_handle);

#endif
