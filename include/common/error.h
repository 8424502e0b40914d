/* Errors with a numeric code and a message for people. */
#ifndef BB_COMMON_ERROR_H
#define BB_COMMON_ERROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { BB_ERROR_MESSAGE_BYTES = 512 /* with the terminating zero byte */ };

/* Code 0 means no error. Each source folder has its own enum of codes from 1,
 * such as enum bb_net_error; codes of different enums may be equal. */
struct bb_error {
    uint32_t code;
    char message[BB_ERROR_MESSAGE_BYTES];
};

bool bb_error_set(struct bb_error *e, uint32_t code, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
bool bb_error_wrap(struct bb_error *e, uint32_t code,
                   const struct bb_error *cause, const char *context);
void bb_error_clear(struct bb_error *e);

#endif
