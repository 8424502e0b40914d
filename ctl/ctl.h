/* Inside baobabctl: commands register as plug-ins of kind
 * BB_PLUGIN_CTL_COMMAND, one in each file. */
#ifndef BB_CTL_CTL_H
#define BB_CTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>

#include "common/address.h"
#include "common/settings.h"
#include "config/compile.h"
#include "config/folder.h"

struct bb_ctl {
    struct bb_address admin;
    const char *folder; /* NULL if not given */
    const char *method;
    const char *log; /* file with log lines, - for standard input */
    bool is_json;
    const char *operand; /* NULL if not given */
    FILE *out;
    FILE *err;
};

struct bb_ctl_command {
    const char *operand_name; /* NULL: the command takes none */
    const char *help;
    enum bb_exit (*run)(const struct bb_ctl *c);
};

enum bb_exit bb_ctl_run(int argc, char **argv, FILE *out, FILE *err);

/* Fetching. */
enum bb_exit bb_ctl_get(const struct bb_ctl *c, const char *path,
                        json_t **answer);
enum bb_exit bb_ctl_get_folder(const struct bb_ctl *c, json_t **answer,
                               struct bb_folder **folder);

/* Members of JSON answers; a missing one is empty, 0, false or an empty
 * list. */
const char *bb_ctl_text(const json_t *j, const char *member);
uint64_t bb_ctl_number(const json_t *j, const char *member);
bool bb_ctl_boolean(const json_t *j, const char *member);

/* Output. */
enum bb_exit bb_ctl_print_json(const struct bb_ctl *c, const json_t *j,
                               enum bb_exit result);
void bb_ctl_error(const struct bb_ctl *c, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
json_t *bb_ctl_faults_json(const struct bb_faults *faults);
enum bb_exit bb_ctl_read_folder(const struct bb_ctl *c, const char *path,
                                struct bb_folder **folder);

#endif
