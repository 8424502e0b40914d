/* Settings of a binary: one table, filled from flags (argtable2) and
 * environment variables, each value checked. A flag goes before its
 * variable; the variable of "listen-port" is BAOBAB_LISTEN_PORT. */
#ifndef BB_COMMON_SETTINGS_H
#define BB_COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"

enum { BB_SETTINGS_LIST_MAX = 64 };

struct bb_address_list {
    struct bb_address items[BB_SETTINGS_LIST_MAX];
    uint32_t count;
};

enum bb_setting_kind {
    BB_SETTING_FLAG,
    BB_SETTING_TEXT,
    BB_SETTING_NUMBER,
    BB_SETTING_ADDRESS,
    BB_SETTING_ADDRESS_LIST
};

/* One row of the table. The member of `to` that matches the kind receives the
 * value; text points into argv, the environment or the default. */
struct bb_setting {
    const char *name;
    const char *value_name; /* in the help text, with the unit */
    const char *help;
    enum bb_setting_kind kind;
    bool is_required;
    const char *default_value;
    uint64_t min;
    uint64_t max;
    union {
        bool *flag;
        const char **text;
        uint64_t *number;
        struct bb_address *address;
        struct bb_address_list *addresses;
    } to;
};

/* Rows of a table that must be given. */
#define BB_SETTING_TEXT_ROW(name_, value_, help_, to_)                        \
    {                                                                         \
        .name = (name_), .value_name = (value_), .help = (help_),             \
        .kind = BB_SETTING_TEXT, .is_required = true, .to.text = (to_)        \
    }
#define BB_SETTING_ADDRESS_ROW(name_, help_, to_)                             \
    {                                                                         \
        .name = (name_), .value_name = "IP:PORT", .help = (help_),            \
        .kind = BB_SETTING_ADDRESS, .is_required = true, .to.address = (to_)  \
    }

enum bb_settings_result {
    BB_SETTINGS_RUN,
    BB_SETTINGS_EXIT, /* --help or --version was answered */
    BB_SETTINGS_INVALID
};

/* Exit codes of every binary. */
enum bb_exit {
    BB_EXIT_OK = 0,
    BB_EXIT_FAILED = 1,      /* the answer is no: a fault, a difference */
    BB_EXIT_USAGE = 2,       /* a setting is wrong */
    BB_EXIT_UNREACHABLE = 3, /* another process could not be reached */
    BB_EXIT_INTERNAL = 4     /* a system call or library failed */
};

enum bb_settings_result
bb_settings_read(const char *program, const char *purpose,
                 const struct bb_setting *table, size_t count, int argc,
                 char **argv, const char **operands, size_t *operand_count,
                 struct bb_error *e);
bool bb_settings_apply(const struct bb_setting *s, const char *value,
                       struct bb_error *e);

#endif
