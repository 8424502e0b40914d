/* Durable storage of the consensus protocol (decide/agree.h) of a control
 * host, in one data folder:
 *   lock          locked while a process uses the folder
 *   incarnation   the disk ID, a random number, written at first use
 *   log           records: a header {magic, kind, size, sequence, checksums}
 *                 in host byte order, then the body in XDR
 *   snapshot      one such record with the whole state, replaced by rename
 *   payloads/     encoded bundles, each in a file named after its digest
 *
 * When a write function returns true, its data is synced. After the first
 * failure no file is written again. bb_store_is_intact and the payload
 * functions may be called from any thread; the others from one thread only. */
#ifndef BB_CONTROL_STORE_H
#define BB_CONTROL_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "common/error.h"
#include "decide/agree.h"

enum bb_store_error {
    BB_STORE_ERROR_FOLDER = 1, /* the folder or the log cannot be opened */
    BB_STORE_ERROR_IN_USE,     /* another process has it open */
    BB_STORE_ERROR_DAMAGED,    /* readable in part; the host must not vote */
    BB_STORE_ERROR_WRITE,      /* a write or sync failed */
    BB_STORE_ERROR_PAYLOAD     /* payload missing, too large or damaged */
};

/* The system calls that change files, replaced by tests to make them fail. */
struct bb_store_file_operations {
    ssize_t (*write)(int fd, const void *data, size_t size_bytes);
    int (*fdatasync)(int fd);
    int (*fsync)(int fd);
    int (*ftruncate)(int fd, off_t size_bytes);
    int (*rename)(const char *from, const char *to);
};

struct bb_store;

struct bb_store *bb_store_open(const char *folder,
                               const struct bb_store_file_operations *files,
                               uint64_t disk_id, struct bb_agree_durable *d,
                               struct bb_error *e);
void bb_store_close(struct bb_store *s);
bool bb_store_is_intact(struct bb_store *s, char *why, size_t size_bytes);
bool bb_store_append_record(struct bb_store *s,
                            const struct bb_agree_durable *d,
                            uint64_t first_index, struct bb_error *e);
bool bb_store_write_snapshot(struct bb_store *s,
                             const struct bb_agree_durable *d,
                             struct bb_error *e);
bool bb_store_put_payload(struct bb_store *s, const struct bb_digest *digest,
                          const void *data, size_t size_bytes,
                          struct bb_error *e);
bool bb_store_has_payload(struct bb_store *s, const struct bb_digest *digest);
void *bb_store_get_payload(struct bb_store *s, const struct bb_digest *digest,
                           size_t *size_bytes, struct bb_error *e);
void bb_store_remove_unused_payloads(struct bb_store *s,
                                     const struct bb_agree_durable *d);

#endif
