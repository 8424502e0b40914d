/* How the world around a deployment names things: header fields, calls and
 * bodies. A dialect translates and decides nothing; it registers itself as a
 * plug-in of kind BB_PLUGIN_DIALECT. */
#ifndef BB_PATH_DIALECT_H
#define BB_PATH_DIALECT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/error.h"
#include "net/http.h"
#include "path/rules.h"

enum { BB_DIALECT_ID_BYTES = 128, BB_DIALECT_TEXT_BYTES = 128 };

enum bb_dialect_error {
    BB_DIALECT_ERROR_SYNTAX = 1, /* the body cannot be read */
    BB_DIALECT_ERROR_FIELD       /* a field is missing, of another type, or
                                    has an unknown value */
};

/* Names of the header fields of a request and its answer. */
struct bb_dialect_fields {
    const char *request_id;
    const char *deadline_ms;     /* time that the caller still waits */
    const char *seal;            /* marks an answer as the upstream's own */
    const char *expect_instance; /* run only by this upstream */
    const char *not_run;         /* the upstream did not run the request */
    const char *base_version;    /* an order builds on this version */
    const char *caller_service;  /* service of the host of the caller */
    const char *instance;        /* which upstream answers */
};

enum bb_call {
    BB_CALL_UNKNOWN,
    BB_CALL_READY,
    BB_CALL_ANNOUNCE,
    BB_CALL_WITHDRAW,
    BB_CALL_ORDER,
    BB_CALL_IN_FORCE
};

/* What an upstream says of itself. */
struct bb_announcement {
    char address[BB_DIALECT_TEXT_BYTES];
    char service[BB_DIALECT_TEXT_BYTES];
    char zone[BB_DIALECT_TEXT_BYTES];
    bool is_draining;
    uint32_t slots;
    uint32_t cold_ms;  /* how much longer it is slow after its start */
    uint64_t sequence; /* orders the calls of one incarnation */
    uint64_t born_ms;  /* wall clock at its start: orders incarnations */
};

struct bb_dialect {
    struct bb_dialect_fields fields;
    /* Reads the id of the request that made this one out of its id. Returns
     * false if a client made it, as far as the id tells. */
    bool (*read_parent)(const char *id, char parent[BB_DIALECT_ID_BYTES]);
    /* Names a call; id receives that of the upstream, if it names one. */
    enum bb_call (*classify)(enum http_method method, const char *target,
                             char id[BB_DIALECT_ID_BYTES]);
    bool (*decode_announcement)(const char *body, size_t size_bytes,
                                struct bb_announcement *out,
                                struct bb_error *e);
    /* Body of a withdrawal: born_ms, if it is given; 0 otherwise. */
    uint64_t (*decode_born_ms)(const char *body, size_t size_bytes);
    /* Returns sealed rules, or NULL and an error. */
    struct bb_rules *(*decode_rules)(const char *body, size_t size_bytes,
                                     struct bb_error *e);
    const char *content_type; /* of bodies */
    const char *done_body;    /* of an acknowledgement without content */
};

#endif
