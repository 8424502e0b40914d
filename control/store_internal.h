/* Internal to the store_*.c files. */
#ifndef BB_CONTROL_STORE_INTERNAL_H
#define BB_CONTROL_STORE_INTERNAL_H

#include <pthread.h>
#include <rpc/rpc.h>

#include "control/store.h"

enum {
    STORE_PATH_BYTES = 4096,
    STORE_RECORD_MAX_BYTES = 64 * 1024 /* of a record's body */
};

enum store_record_kind { STORE_LOG_RECORD = 1, STORE_SNAPSHOT_RECORD = 2 };

struct bb_store {
    char folder[STORE_PATH_BYTES - 256]; /* leaves room for a file name */
    struct bb_store_file_operations operations;
    pthread_mutex_t payload_lock; /* held while a payload is written */
    /* Guards first_failure; if both locks are needed, taken after
     * payload_lock. */
    pthread_mutex_t lock;
    struct bb_error first_failure;
    int folder_fd;
    int lock_fd;
    int log_fd;
    uint64_t sequence; /* of the last record */
};

/* The result of reading a record. */
enum store_record_status {
    STORE_RECORD_VALID,
    STORE_RECORD_END,    /* the block is empty */
    STORE_RECORD_TORN,   /* incomplete: the write never returned true */
    STORE_RECORD_DAMAGED /* a checksum or the header is wrong */
};

struct store_record {
    enum store_record_kind kind;
    uint64_t sequence;
    const uint8_t *body; /* within the block that was parsed */
    uint32_t body_bytes;
    size_t record_bytes; /* header and body */
};

/* store_record.c */
uint8_t *store_record_encode(enum store_record_kind kind, uint64_t sequence,
                             xdrproc_t codec, void *value, size_t *size_bytes);
enum store_record_status store_record_parse(const uint8_t *data,
                                            size_t size_bytes,
                                            struct store_record *r);
bool store_record_decode_body(const struct store_record *r, xdrproc_t codec,
                              void *value);

/* store_recover.c */
bool store_recover(struct bb_store *s, struct bb_agree_durable *d,
                   struct bb_error *e);

/* store.c */
void store_build_path(const struct bb_store *s, const char *name,
                      char path[STORE_PATH_BYTES]);
bool store_set_first_failure(struct bb_store *s, uint32_t code,
                             const char *file_name, struct bb_error *e);
bool store_has_failed(struct bb_store *s, struct bb_error *e);
bool store_write_all(struct bb_store *s, int fd, const void *data,
                     size_t size_bytes);
bool store_replace_file(struct bb_store *s, const char *name, const void *data,
                        size_t size_bytes, struct bb_error *e);

#endif
