/* Program log through GLib, to standard error or to the event log. It is for
 * changes of state only; frequent events are counted by metrics instead. */
#ifndef BB_COMMON_LOG_H
#define BB_COMMON_LOG_H

#include <stdbool.h>

void bb_log_init(const char *program, const char *host, bool json);
void bb_log_info(const char *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void bb_log_warning(const char *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
