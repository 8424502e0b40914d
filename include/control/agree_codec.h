/* Converts the structs of the consensus protocol (decide/agree.h) to and from
 * their XDR form (control/agree.x). What an encode function fills in is freed
 * with xdr_free. The decode functions return false for malformed input, after
 * which the output must not be used. */
#ifndef BB_CONTROL_AGREE_CODEC_H
#define BB_CONTROL_AGREE_CODEC_H

#include "agree.h"
#include "decide/agree.h"

void bb_agree_encode_message(const struct bb_agree_message *m,
                             agree_message *out);
bool bb_agree_decode_message(const agree_message *in,
                             struct bb_agree_message *m);
void bb_agree_encode_log_record(const struct bb_agree_durable *d,
                                uint64_t first_index, agree_log_record *out);
bool bb_agree_apply_log_record(const agree_log_record *in,
                               struct bb_agree_durable *d);
void bb_agree_encode_state_record(const struct bb_agree_durable *d,
                                  agree_state_record *out);
bool bb_agree_decode_state_record(const agree_state_record *in,
                                  struct bb_agree_durable *d);

#endif
