#include "common/error.h"

#include <stdarg.h>
#include <stdio.h>

/* Stores a code and a formatted message, which is truncated to
 * BB_ERROR_MESSAGE_BYTES. Does nothing if e is NULL. Always returns false, so
 * that a failing caller can return the result. */
bool
bb_error_set(struct bb_error *e, uint32_t code, const char *format, ...)
{
    va_list args;

    if (e == NULL) {
        return false;
    }
    e->code = code;
    va_start(args, format);
    (void)vsnprintf(e->message, sizeof(e->message), format, args);
    va_end(args);
    return false;
}

/* Stores an error with a code of the caller's own enum and the message
 * "context: message of cause". e may be NULL or equal to cause. Always returns
 * false. */
bool
bb_error_wrap(struct bb_error *e, uint32_t code, const struct bb_error *cause,
              const char *context)
{
    /* Copied, as e and cause may be the same object. */
    struct bb_error copy = *cause;

    return bb_error_set(e, code, "%s: %s", context, copy.message);
}

/* Resets an error to code 0 and an empty message. */
void
bb_error_clear(struct bb_error *e)
{
    *e = (struct bb_error){0};
}
