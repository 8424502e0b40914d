/* Explains where an entry would send a request now, and why, without sending
 * it and without any effect on the state of the entry. */
#ifndef BB_PATH_EXPLAIN_H
#define BB_PATH_EXPLAIN_H

#include <jansson.h>

#include "common/error.h"
#include "path/entry.h"

/* Path of the explanation on the metrics address. */
#define BB_EXPLAIN_PATH "/placement"

enum {
    /* Random choices of which the explanation shows the shares. */
    BB_EXPLAIN_DRAWS = 64
};

json_t *bb_explain_request(const struct bb_entry *n, const char *query,
                           struct bb_error *e);
void bb_explain_serve(void *context, struct bb_http_exchange *x);

#endif
