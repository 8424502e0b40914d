/* Functions shared by the agree*.c files. */
#ifndef BB_DECIDE_AGREE_INTERNAL_H
#define BB_DECIDE_AGREE_INTERNAL_H

#include "decide/agree.h"

/* One call of bb_agree_step. */
struct agree_step {
    struct bb_agree *a;
    struct bb_agree_output *out;
    uint64_t now_us;
    uint64_t random_bits; /* fresh random bits */
};

/* agree_log.c */
uint64_t agree_last_term(const struct bb_agree *a);
bool agree_get_term(const struct bb_agree *a, uint64_t index, uint64_t *term);
void agree_append(struct agree_step *st, const struct bb_agree_entry *e);
void agree_truncate(struct bb_agree *a, uint64_t last);
void agree_request_write(struct agree_step *st, uint64_t from);
void agree_compact(struct agree_step *st);
void agree_apply_committed(struct agree_step *st);
struct bb_agree_config agree_config_at(const struct bb_agree *a,
                                       uint64_t index);
uint64_t agree_highest_version(const struct bb_agree *a);
bool agree_find_proposal(const struct bb_agree *a, uint64_t base,
                         const struct bb_digest *digest, uint64_t *revision,
                         uint64_t *index);

/* agree_voters.c */
uint64_t agree_pending_voter_index(const struct bb_agree *a);
void agree_get_voters(const struct bb_agree *a, uint64_t index,
                      uint64_t voters[BB_AGREE_HOSTS_MAX]);
bool agree_has_quorum(const struct bb_agree *a, uint32_t slots);
uint8_t agree_find_slot(const struct bb_agree *a, uint8_t host,
                        uint64_t disk_id);
void agree_refresh_progress(struct bb_agree *a);
void agree_request_identities(struct agree_step *st);
void agree_on_identity(struct agree_step *st,
                       const struct bb_agree_message *m);
void agree_on_identity_response(struct agree_step *st,
                                const struct bb_agree_message *m);
void agree_on_formation(struct agree_step *st,
                        const struct bb_agree_message *m);
void agree_admit_if_caught_up(struct agree_step *st);

/* agree_vote.c */
void agree_become_follower(struct agree_step *st, uint64_t term,
                           uint8_t leader);
void agree_reset_election_timer(struct agree_step *st);
void agree_become_pre_candidate(struct agree_step *st);
void agree_request_votes(struct agree_step *st);
void agree_send_granted_vote(struct agree_step *st);
void agree_on_vote_request(struct agree_step *st,
                           const struct bb_agree_message *m);
void agree_on_vote_response(struct agree_step *st,
                            const struct bb_agree_message *m);

/* agree_append.c */
void agree_become_leader(struct agree_step *st);
void agree_send_appends(struct agree_step *st);
void agree_send_append_response(struct agree_step *st);
void agree_advance_commit(struct agree_step *st);
void agree_advance_commit_to(struct agree_step *st, uint64_t index);
void agree_on_append(struct agree_step *st, const struct bb_agree_message *m);
void agree_on_append_response(struct agree_step *st,
                              const struct bb_agree_message *m);
void agree_on_snapshot(struct agree_step *st,
                       const struct bb_agree_message *m);

/* agree_propose.c */
void agree_on_proposal(struct agree_step *st,
                       const struct bb_agree_proposal *p);
void agree_on_read(struct agree_step *st, uint64_t ticket);
void agree_add_response(struct agree_step *st, uint64_t ticket,
                        enum bb_agree_result result, uint64_t revision);
void agree_complete_proposals(struct agree_step *st);
void agree_complete_reads(struct agree_step *st);
void agree_fail_pending(struct agree_step *st);

/* agree.c */
struct bb_agree_message *agree_add_message(struct agree_step *st,
                                           enum bb_agree_message_kind kind,
                                           uint8_t to);

#endif
