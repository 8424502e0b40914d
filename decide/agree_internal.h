/* Functions shared by the files of the quorum protocol. */
#ifndef BB_DECIDE_AGREE_INTERNAL_H
#define BB_DECIDE_AGREE_INTERNAL_H

#include "decide/agree.h"

struct agree_step {
    struct bb_agree *a;
    struct bb_agree_output *out;
    uint64_t now_us;
    uint64_t random;
};

/* agree_log.c */
uint64_t agree_last_term(const struct bb_agree *a);
bool agree_term_at(const struct bb_agree *a, uint64_t index, uint64_t *term);
void agree_append(struct agree_step *st, const struct bb_agree_entry *e);
void agree_truncate(struct bb_agree *a, uint64_t last);
void agree_persist(struct agree_step *st, uint64_t from);
void agree_compact(struct agree_step *st);
void agree_apply(struct agree_step *st);
struct bb_agree_config agree_config_before(const struct bb_agree *a,
                                           uint64_t index);
uint64_t agree_label(const struct bb_agree *a);
bool agree_find(const struct bb_agree *a, uint64_t base,
                const struct bb_digest *digest, uint64_t *revision,
                uint64_t *index);

/* agree_member.c */
uint64_t agree_member_pending(const struct bb_agree *a);
void agree_members(const struct bb_agree *a, uint64_t index,
                   uint64_t members[BB_AGREE_HOSTS_MAX]);
bool agree_quorum(const struct bb_agree *a, uint32_t slots);
uint8_t agree_slot_of(const struct bb_agree *a, uint8_t host,
                      uint64_t incarnation);
void agree_refresh_progress(struct bb_agree *a);
void agree_identity_tick(struct agree_step *st);
void agree_on_identity(struct agree_step *st,
                       const struct bb_agree_message *m);
void agree_on_identity_answer(struct agree_step *st,
                              const struct bb_agree_message *m);
void agree_on_form(struct agree_step *st, const struct bb_agree_message *m);
void agree_admit(struct agree_step *st);

/* agree_vote.c */
void agree_follow(struct agree_step *st, uint64_t term, uint8_t leader);
void agree_reset_election(struct agree_step *st);
void agree_start_pre_vote(struct agree_step *st);
void agree_send_votes(struct agree_step *st);
void agree_answer_vote(struct agree_step *st);
void agree_on_vote(struct agree_step *st, const struct bb_agree_message *m);
void agree_on_vote_answer(struct agree_step *st,
                          const struct bb_agree_message *m);

/* agree_append.c */
void agree_lead(struct agree_step *st);
void agree_broadcast(struct agree_step *st);
void agree_answer_append(struct agree_step *st);
void agree_advance_commit(struct agree_step *st);
void agree_set_commit(struct agree_step *st, uint64_t index);
void agree_on_append(struct agree_step *st, const struct bb_agree_message *m);
void agree_on_append_answer(struct agree_step *st,
                            const struct bb_agree_message *m);
void agree_on_snapshot(struct agree_step *st,
                       const struct bb_agree_message *m);

/* agree_propose.c */
void agree_on_proposal(struct agree_step *st,
                       const struct bb_agree_proposal *p);
void agree_on_read(struct agree_step *st, uint64_t ticket);
void agree_answer(struct agree_step *st, uint64_t ticket,
                  enum bb_agree_result result, uint64_t revision);
void agree_answer_committed(struct agree_step *st);
void agree_answer_reads(struct agree_step *st);
void agree_drop_waiting(struct agree_step *st);

/* agree.c */
struct bb_agree_message *
agree_send(struct agree_step *st, enum bb_agree_message_kind kind, uint8_t to);

#endif
