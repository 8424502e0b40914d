/* Inside the administration layer. */
#ifndef BB_ADMIN_INTERNAL_H
#define BB_ADMIN_INTERNAL_H

#include "admin/admin.h"

struct bb_admin_dispatch {
    char *token; /* NULL: none is configured */
    void *context;
    void (*add_health)(void *context, json_t *health);
};

bool bb_admin_authorize(const struct bb_admin_dispatch *d, const char *method,
                        const char *authorization,
                        struct bb_admin_answer *answer);
void bb_admin_dispatch(const struct bb_admin_dispatch *d,
                       const struct bb_admin_request *request,
                       struct bb_admin_answer *answer);
void bb_admin_answer_clear(struct bb_admin_answer *answer);

#endif
