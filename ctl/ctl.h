/* Internal to baobabctl. Each command is a plug-in of kind
 * BB_PLUGIN_CTL_COMMAND in a file of its own. */
#ifndef BB_CTL_CTL_H
#define BB_CTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/address.h"
#include "common/settings.h"
#include "config/compile.h"
#include "config/folder.h"

/* The options of one call of baobabctl and the streams it prints to. Text
 * points into argv or the environment. */
struct bb_ctl_context {
    struct bb_address admin; /* administration API to read from */
    const char *folder;      /* NULL if not given */
    const char *method;
    const char *host; /* NULL if not given */
    const char *team; /* NULL if not given */
    const char *log;  /* file with log lines, "-" for standard input */
    bool is_json;
    const char *operand; /* NULL if not given */
    FILE *out;
    FILE *err;
};

struct bb_ctl_command {
    const char *operand_name; /* NULL: the command takes no operand */
    const char *help;
    enum bb_exit (*run)(const struct bb_ctl_context *c);
};

enum bb_exit bb_ctl_run(int argc, char **argv, FILE *out, FILE *err);

/* Requests to the administration API. */
enum bb_exit bb_ctl_fetch(const struct bb_ctl_context *c, const char *path,
                          json_t **response);
enum bb_exit bb_ctl_fetch_folder(const struct bb_ctl_context *c,
                                 json_t **response, struct bb_folder **folder);

/* Members of JSON objects. One that is missing or of another type counts as an
 * empty text, 0 or false. */
const char *bb_ctl_get_text(const json_t *j, const char *member);
uint64_t bb_ctl_get_number(const json_t *j, const char *member);
bool bb_ctl_get_boolean(const json_t *j, const char *member);

/* Output. */
enum bb_exit bb_ctl_print_json(const struct bb_ctl_context *c, const json_t *j,
                               enum bb_exit result);
void bb_ctl_print_error(const struct bb_ctl_context *c, const char *format,
                        ...) __attribute__((format(printf, 2, 3)));
json_t *bb_ctl_faults_json(const struct bb_config_faults *faults);

/* Folders on disk. */
enum bb_exit bb_ctl_read_folder(const struct bb_ctl_context *c,
                                const char *path, struct bb_folder **folder);

#endif
