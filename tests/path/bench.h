/* A loop with raw HTTP clients and a scripted upstream, for tests of entry and
 * gate on loopback addresses. */
#ifndef BB_TESTS_PATH_BENCH_H
#define BB_TESTS_PATH_BENCH_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "net/http.h"
#include "net/stream.h"
#include "path/directory.h"
#include "path/entry.h"
#include "path/gate.h"

/* Fields of the dialect that the tests use; no platform's names. */
#define T_ID "T-Id"
#define T_DEADLINE "T-Deadline"
#define T_SEAL "T-Seal"
#define T_EXPECT "T-Expect"
#define T_NOT_RUN "T-Not-Run"
#define T_CALLER "T-Caller"

enum script_end { SCRIPT_KEEP, SCRIPT_CLOSE, SCRIPT_RESET, SCRIPT_SILENT };

/* What the upstream does with a request; "{id}" in the text is replaced by
 * the id of the request. */
struct script {
    const char *text; /* NULL: no answer */
    uint32_t delay_ms;
    enum script_end end;
};

struct upstream;

typedef struct script (*upstream_script)(struct upstream *u, uint32_t number,
                                         const struct bb_head *h);

struct upstream {
    uv_loop_t *loop;
    struct bb_address at;
    struct bb_listener *listener;
    upstream_script script;
    uint32_t requests;
    uint32_t cut;  /* connections ended by the gate before the answer */
    uint32_t open; /* connections */
    /* Resets a connection that was idle for longer when more comes on it. */
    uint32_t forgets_ms;
    uint32_t forgot;
    char last_id[64];
    GString *last_head; /* fields of the last request, "name: value\n" */
    GString *last_body;
};

struct client {
    struct bb_stream *stream;
    GString *received;
    bool is_ended;
};

/* Two gates, each with its own upstream, and one entry. */
struct bench {
    uv_loop_t loop;
    struct bb_directory *directory;
    struct bb_entry *entry;
    struct bb_gate *gates[2];
    struct upstream upstreams[2];
    struct bb_address entry_at;
    struct bb_rules *rules;
};

extern const char good_answer[];
struct script answer_well(struct upstream *u, uint32_t number,
                          const struct bb_head *h);

void bench_open(struct bench *b);
void bench_close(struct bench *b);
void bench_set_rules(struct bench *b, uint32_t timeout_ms, uint32_t attempts);
/* Ends a gate and opens it anew; it knows no upstream then. */
void bench_restart_gate(struct bench *b, uint32_t which);
void bench_announce(struct bench *b, uint32_t which, bool is_draining);
void bench_run(struct bench *b, uint32_t ms);
bool bench_wait(struct bench *b, const bool *flag, uint32_t ms);
bool bench_wait_text(struct bench *b, struct client *c, const char *text,
                     uint32_t ms);

struct client *client_open(struct bench *b);
void client_send(struct client *c, const char *text);
void client_leave(struct client *c);
void client_close(struct client *c);
uint32_t client_count(const struct client *c, const char *text);

#endif
