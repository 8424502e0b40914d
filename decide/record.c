#include "decide/record.h"

/* Initialises an empty record for one incarnation of a gatekeeper. The caller
 * provides the entries, whose number is a power of two, and frees them. */
void
bb_record_init(struct bb_record *r, uint64_t incarnation,
               uint64_t retention_us, struct bb_record_entry *entries,
               uint32_t entry_count)
{
    *r = (struct bb_record){.incarnation = incarnation,
                            .retention_us = retention_us};
    bb_id_table_init(&r->table, entries, sizeof(*entries), entry_count);
}

/* Returns whether a request was meant for another incarnation than that of the
 * record. False for BB_INCARNATION_ANY, and always under the fault
 * BB_RECORD_FAULT_ANY_INCARNATION. */
static bool
is_other_incarnation(const struct bb_record *r, uint64_t incarnation)
{
    return incarnation != BB_INCARNATION_ANY &&
           incarnation != r->incarnation &&
           r->fault != BB_RECORD_FAULT_ANY_INCARNATION;
}

/* Returns the entry of an id or NULL. Also finds expired entries, which stay
 * until bb_record_expire has returned the handle of their response. */
static struct bb_record_entry *
find_entry(const struct bb_record *r, const struct bb_request_id *id)
{
    return bb_id_table_find(&r->table, id, 0);
}

/* Records a request as running unless its id was seen before. A request that
 * names an incarnation other than BB_INCARNATION_ANY is accepted by that one
 * only; a request that may run elsewhere or has been sent before must name it.
 * Sets *response_handle to the stored response for BB_BEGIN_DUPLICATE_DONE,
 * else to 0. */
enum bb_begin_result
bb_record_begin(struct bb_record *r, const struct bb_request_id *id,
                uint64_t incarnation, uint64_t *response_handle,
                uint64_t now_us)
{
    struct bb_record_entry *e;

    *response_handle = 0;
    if (is_other_incarnation(r, incarnation)) {
        return BB_BEGIN_OTHER_INCARNATION;
    }
    e = find_entry(r, id);
    if (e != NULL) {
        switch (e->state) {
        case BB_RECORD_RUNNING:
            return BB_BEGIN_DUPLICATE_RUNNING;
        case BB_RECORD_DONE:
            *response_handle = e->response_handle;
            return BB_BEGIN_DUPLICATE_DONE;
        case BB_RECORD_REFUSED:
            return BB_BEGIN_REFUSED;
        }
    }
    e = bb_id_table_insert(&r->table, id, now_us);
    if (e == NULL) {
        return BB_BEGIN_FULL;
    }
    e->slot.keep_until_us = BB_KEEP_FOREVER;
    e->state = BB_RECORD_RUNNING;
    return BB_BEGIN_RUN;
}

/* Records the end of a running request: BB_RECORD_DONE with the handle of its
 * stored response (0: none), or BB_RECORD_REFUSED if it was refused before it
 * ran. Returns false if the id is not recorded as running. */
bool
bb_record_finish(struct bb_record *r, const struct bb_request_id *id,
                 enum bb_record_state state, uint64_t response_handle,
                 uint64_t now_us)
{
    struct bb_record_entry *e = find_entry(r, id);

    if (e == NULL || e->state != BB_RECORD_RUNNING ||
        state == BB_RECORD_RUNNING) {
        return false;
    }
    e->state = state;
    e->response_handle = response_handle;
    e->slot.keep_until_us = now_us + r->retention_us;
    return true;
}

/* Removes a running request without a trace, for idempotent requests, which
 * may run again. Returns false if the id is not recorded as running. now_us is
 * unused. */
bool
bb_record_remove_running(struct bb_record *r, const struct bb_request_id *id,
                         uint64_t now_us)
{
    struct bb_record_entry *e = find_entry(r, id);

    (void)now_us;
    if (e == NULL || e->state != BB_RECORD_RUNNING) {
        return false;
    }
    bb_id_table_remove(&r->table, e);
    return true;
}

/* Returns what became of a request id that was sent to an incarnation. An id
 * never seen is first recorded as permanently refused, so that a request still
 * on its way will not run. Sets *response_handle as bb_record_begin does, for
 * BB_QUERY_DONE. */
enum bb_query_result
bb_record_query(struct bb_record *r, const struct bb_request_id *id,
                uint64_t incarnation, uint64_t *response_handle,
                uint64_t now_us)
{
    struct bb_record_entry *e;

    *response_handle = 0;
    if (is_other_incarnation(r, incarnation)) {
        return BB_QUERY_OTHER_INCARNATION;
    }
    e = find_entry(r, id);
    if (e != NULL) {
        switch (e->state) {
        case BB_RECORD_RUNNING:
            return BB_QUERY_RUNNING;
        case BB_RECORD_DONE:
            *response_handle = e->response_handle;
            return BB_QUERY_DONE;
        case BB_RECORD_REFUSED:
            return BB_QUERY_REFUSED;
        }
    }
    if (r->fault == BB_RECORD_FAULT_QUERY_NOT_RECORDED) {
        return BB_QUERY_NEVER_SEEN;
    }
    e = bb_id_table_insert(&r->table, id, now_us);
    if (e == NULL) {
        return BB_QUERY_FULL;
    }
    e->state = BB_RECORD_REFUSED;
    e->slot.keep_until_us = now_us + r->retention_us;
    return BB_QUERY_NEVER_SEEN;
}

/* Removes one expired entry and sets *response_handle to its response, for the
 * caller to release (0: none). Returns false if this scan of part of the table
 * found none. Call it a few times for each bb_record_begin. */
bool
bb_record_expire(struct bb_record *r, uint64_t now_us,
                 uint64_t *response_handle)
{
    struct bb_record_entry *e = bb_id_table_find_expired(&r->table, now_us);

    *response_handle = 0;
    if (e == NULL) {
        return false;
    }
    *response_handle = e->response_handle;
    bb_id_table_remove(&r->table, e);
    return true;
}
