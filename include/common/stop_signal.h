/* Waiting for SIGTERM or SIGINT, the signals that stop a process. */
#ifndef BB_COMMON_STOP_SIGNAL_H
#define BB_COMMON_STOP_SIGNAL_H

void bb_stop_signal_block(void);
int bb_stop_signal_wait(void);

#endif
