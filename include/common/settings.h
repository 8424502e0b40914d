/* Settings of a program, described by a table and read from flags (argtable2)
 * and environment variables. A flag takes precedence over its variable, and
 * that over the default; the variable of "listen-port" is
 * BAOBAB_LISTEN_PORT. */
#ifndef BB_COMMON_SETTINGS_H
#define BB_COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/address.h"
#include "common/error.h"

enum { BB_SETTINGS_LIST_MAX = 64 /* addresses in a list */ };

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
 * value. A text is not copied: it points into argv, the environment or the
 * default. */
struct bb_setting {
    const char *name;
    const char *value_name; /* in the help text, with the unit */
    const char *help;
    enum bb_setting_kind kind;
    bool is_required;
    /* NULL: the target stays unchanged. Any other default is checked as a
     * given value is. */
    const char *default_value;
    uint64_t min; /* of a number */
    /* Of a number, or of the bytes of a text (0: no limit). */
    uint64_t max;
    bool may_be_empty; /* of a text, or of a number, which is then 0 */
    union {
        bool *flag;
        const char **text;
        uint64_t *number;
        struct bb_address *address;
        struct bb_address_list *addresses;
    } to;
};

/* Rows for required settings. */
#define BB_SETTING_REQUIRED_TEXT(name_, value_, help_, to_)                   \
    {                                                                         \
        .name = (name_), .value_name = (value_), .help = (help_),             \
        .kind = BB_SETTING_TEXT, .is_required = true, .to.text = (to_)        \
    }
#define BB_SETTING_REQUIRED_ADDRESS(name_, help_, to_)                        \
    {                                                                         \
        .name = (name_), .value_name = "IP:PORT", .help = (help_),            \
        .kind = BB_SETTING_ADDRESS, .is_required = true, .to.address = (to_)  \
    }

enum bb_settings_result {
    BB_SETTINGS_RUN,
    BB_SETTINGS_EXIT, /* --help or --version was printed; exit with success */
    BB_SETTINGS_INVALID /* the error is set */
};

enum { BB_SETTINGS_OPERANDS_MAX = 16 /* that bb_settings_read accepts */ };

/* Exit codes of every binary. */
enum bb_exit {
    BB_EXIT_OK = 0,
    BB_EXIT_FAILED = 1,      /* a command found a fault or a difference, or no
                                result */
    BB_EXIT_USAGE = 2,       /* a setting is missing or invalid */
    BB_EXIT_UNREACHABLE = 3, /* another process could not be reached */
    BB_EXIT_INTERNAL = 4 /* any other failure, such as a port in use or a data
                            folder that cannot be used */
};

/* operands must have space for BB_SETTINGS_OPERANDS_MAX texts, or be NULL. */
enum bb_settings_result
bb_settings_read(const char *program, const char *purpose,
                 const struct bb_setting *table, size_t count, int argc,
                 char **argv, const char **operands, size_t *operand_count,
                 struct bb_error *e);
bool bb_settings_apply(const struct bb_setting *s, const char *value,
                       struct bb_error *e);

#endif
