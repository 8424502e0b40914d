/* Internal to admin/: between the HTTP server and the dispatch of requests. */
#ifndef BB_ADMIN_INTERNAL_H
#define BB_ADMIN_INTERNAL_H

#include "admin/admin.h"

/* The settings of the server that are needed for every request. */
struct bb_admin_request_settings {
    char *token; /* NULL: none is configured */
    void *context;
    void (*add_health)(void *context, json_t *health);
};

bool bb_admin_authorize(const struct bb_admin_request_settings *o,
                        const char *method, const char *authorization,
                        struct bb_admin_response *response);
void bb_admin_dispatch(const struct bb_admin_request_settings *o,
                       const struct bb_admin_request *request,
                       struct bb_admin_response *response);
void bb_admin_response_clear(struct bb_admin_response *response);

#endif
