#include "decide/record.h"

/* Prepares an empty record of one incarnation of a gatekeeper over the
 * caller's memory; entry_count is a power of two. */
void
bb_record_init(struct bb_record *r, uint64_t incarnation,
               uint64_t retention_us, struct bb_record_entry *entries,
               uint32_t entry_count)
{
    *r = (struct bb_record){.incarnation = incarnation,
                            .retention_us = retention_us};
    bb_id_table_init(&r->table, entries, sizeof(*entries), entry_count);
}

static bool
is_other_incarnation(const struct bb_record *r, uint64_t incarnation)
{
    return incarnation != BB_INCARNATION_ANY &&
           incarnation != r->incarnation &&
           r->fault != BB_RECORD_FAULT_ANY_INCARNATION;
}

/* Finds an entry, also an expired one that has not been removed yet: it is
 * kept until bb_record_expire has given out the handle of its answer. */
static struct bb_record_entry *
find_entry(const struct bb_record *r, const struct bb_request_id *id)
{
    return bb_id_table_find(&r->table, id, 0);
}

/* Begins a request unless its id was seen before. With an incarnation other
 * than BB_INCARNATION_ANY the request is meant for that one only; a request
 * that may run elsewhere or has been sent before must name it. The answer's
 * handle is set for BB_BEGIN_DUPLICATE_DONE. */
enum bb_begin_result
bb_record_begin(struct bb_record *r, const struct bb_request_id *id,
                uint64_t incarnation, uint64_t *answer, uint64_t now_us)
{
    struct bb_record_entry *e;

    *answer = 0;
    if (is_other_incarnation(r, incarnation)) {
        return BB_BEGIN_OTHER_INCARNATION;
    }
    e = find_entry(r, id);
    if (e != NULL) {
        switch (e->state) {
        case BB_RECORD_RUNNING:
            return BB_BEGIN_DUPLICATE_RUNNING;
        case BB_RECORD_DONE:
            *answer = e->answer;
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
 * stored answer (0: not kept), or BB_RECORD_REFUSED if it was refused before
 * it ran. False if it is not recorded as running. */
bool
bb_record_finish(struct bb_record *r, const struct bb_request_id *id,
                 enum bb_record_state state, uint64_t answer, uint64_t now_us)
{
    struct bb_record_entry *e = find_entry(r, id);

    if (e == NULL || e->state != BB_RECORD_RUNNING ||
        state == BB_RECORD_RUNNING) {
        return false;
    }
    e->state = state;
    e->answer = answer;
    e->slot.keep_until_us = now_us + r->retention_us;
    return true;
}

/* Forgets a running request whose end need not be known, because it is
 * idempotent. False if it is not recorded as running. */
bool
bb_record_forget(struct bb_record *r, const struct bb_request_id *id,
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

/* Answers what became of an id that was sent to an incarnation. An id that
 * was never seen is recorded as refused for good first, so the request that
 * may still be on its way will not run. */
enum bb_query_result
bb_record_query(struct bb_record *r, const struct bb_request_id *id,
                uint64_t incarnation, uint64_t *answer, uint64_t now_us)
{
    struct bb_record_entry *e;

    *answer = 0;
    if (is_other_incarnation(r, incarnation)) {
        return BB_QUERY_OTHER_INCARNATION;
    }
    e = find_entry(r, id);
    if (e != NULL) {
        switch (e->state) {
        case BB_RECORD_RUNNING:
            return BB_QUERY_RUNNING;
        case BB_RECORD_DONE:
            *answer = e->answer;
            return BB_QUERY_DONE;
        case BB_RECORD_REFUSED:
            return BB_QUERY_REFUSED;
        }
    }
    if (r->fault == BB_RECORD_FAULT_FORGETS) {
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

/* Removes one expired entry and returns the handle of its answer, to be
 * released. False if none was found now. Call it a few times for each begin.
 */
bool
bb_record_expire(struct bb_record *r, uint64_t now_us, uint64_t *answer)
{
    struct bb_record_entry *e = bb_id_table_expired(&r->table, now_us);

    *answer = 0;
    if (e == NULL) {
        return false;
    }
    *answer = e->answer;
    bb_id_table_remove(&r->table, e);
    return true;
}
