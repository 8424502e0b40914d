/* A dialect maps the header fields, HTTP endpoints and bodies of the platform
 * in which Baobab runs to its own types. It translates only and decides
 * nothing. It registers itself as a plug-in of kind BB_PLUGIN_DIALECT. */
#ifndef BB_PATH_DIALECT_H
#define BB_PATH_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "decide/rollout.h"
#include "decide/upstream_limit.h"
#include "net/http.h"
#include "path/rules.h"

/* Sizes of buffers for ids and other texts, with the final zero byte. */
enum { BB_DIALECT_ID_BYTES = 128, BB_DIALECT_TEXT_BYTES = 128 };

enum bb_dialect_error {
    BB_DIALECT_ERROR_SYNTAX = 1,   /* the body cannot be parsed */
    BB_DIALECT_ERROR_INVALID_FIELD /* a field is missing, of another type, or
                              has an unknown value */
};

/* Names of the header fields of requests and responses. */
struct bb_dialect_fields {
    const char *request_id;
    const char *deadline_ms; /* time left for the response, not a date */
    const char *seal;        /* marks a response that the upstream made */
    const char *expected_upstream; /* only this upstream may run the request */
    const char *not_run;           /* the upstream did not run the request */
    const char *base_version;   /* version that a new configuration replaces */
    const char *caller_service; /* service of the caller's host */
    const char *upstream_id;    /* id of the upstream that responds */
    const char *credentials;    /* a scheme and the caller's key */
    const char *credentials_scheme; /* in any case, with the key behind it */
    const char *team;               /* name of the team that sends a request */
};

/* HTTP requests that the platform sends to Baobab itself. */
enum bb_api_request {
    BB_API_UNKNOWN,
    BB_API_READY,    /* asks whether callers may send requests to this
                        host */
    BB_API_ANNOUNCE, /* an upstream sends its state */
    BB_API_WITHDRAW, /* an upstream says that it takes no more requests */
    BB_API_REPLACE_CONFIGURATION, /* an operator replaces the configuration */
    BB_API_READ_CONFIGURATION, /* an operator reads the configuration in force
                                */
    BB_API_BEGIN_ROLLOUT, /* an operator moves a service to another version */
    BB_API_READ_ROLLOUT   /* an operator reads the state of a rollout */
};

/* Request of an operator to begin a rollout. */
struct bb_rollout_request {
    char service[BB_DIALECT_TEXT_BYTES];
    char target[BB_DIALECT_TEXT_BYTES]; /* version of the software */
    uint64_t duration_ms;
};

/* State of an upstream as it announces it. */
struct bb_announcement {
    char address[BB_DIALECT_TEXT_BYTES]; /* IP:PORT */
    char service[BB_DIALECT_TEXT_BYTES];
    char zone[BB_DIALECT_TEXT_BYTES];
    bool is_draining;
    uint32_t slots;      /* requests that it runs at a time */
    uint32_t warmup_ms;  /* remaining time until it is warm after its start; 0:
                            warm */
    uint64_t sequence;   /* orders the announcements of one run */
    uint64_t started_ms; /* wall clock at its start, which orders its runs;
                            0: not stated */
    char software_version[BB_DIALECT_TEXT_BYTES]; /* empty: not stated */
};

/* What an upstream says of itself in each of its responses. */
struct bb_upstream_report {
    bool is_leaving; /* it takes no new requests */
    struct bb_limit_report limit;
};

struct bb_dialect {
    struct bb_dialect_fields fields;
    /* Reads the report in the head of a response. Fields that are missing or
     * invalid say nothing. */
    void (*read_report)(const struct bb_http_head *h,
                        struct bb_upstream_report *out);
    /* Parses the id of the parent request out of that of a nested one. Returns
     * false if the id does not have the form of a nested request's. */
    bool (*parse_parent_id)(const char *id, char parent[BB_DIALECT_ID_BYTES]);
    /* Returns which request this is; id is set to that of the upstream for
     * BB_API_ANNOUNCE and BB_API_WITHDRAW, to the service for
     * BB_API_READ_ROLLOUT. */
    enum bb_api_request (*classify_request)(enum http_method method,
                                            const char *target,
                                            char id[BB_DIALECT_ID_BYTES]);
    /* Returns false and sets the error if the body is invalid. */
    bool (*decode_announcement)(const char *body, size_t size_bytes,
                                struct bb_announcement *out,
                                struct bb_error *e);
    /* Returns the start of the run of the upstream (milliseconds on the wall
     * clock) from the body of a withdrawal, 0 if the body is empty, invalid or
     * states none. */
    uint64_t (*decode_start_ms)(const char *body, size_t size_bytes);
    /* Returns rules after bb_rules_finalize, with a reference that the caller
     * releases, or NULL and sets the error. Routes with the same text as in
     * the rules `earlier`, which may be NULL, are not decoded again. */
    struct bb_rules *(*decode_rules)(const char *body, size_t size_bytes,
                                     const struct bb_rules *earlier,
                                     struct bb_error *e);
    /* Returns false and sets the error if the body is invalid. */
    bool (*decode_rollout)(const char *body, size_t size_bytes,
                           struct bb_rollout_request *out, struct bb_error *e);
    /* Returns the body that states a rollout, to be freed with g_free. */
    char *(*encode_rollout)(enum bb_rollout_state state, const char *target);
    const char *content_type;         /* of bodies in responses */
    const char *acknowledgement_body; /* response to accepted announcements
                                         and withdrawals */
};

#endif
