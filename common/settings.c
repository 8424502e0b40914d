#include "common/settings.h"

#include <argtable2.h>
#include <ctype.h>
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ERRORS_SHOWN_MAX = 8, VARIABLE_BYTES = 96 };

enum settings_error {
    SETTINGS_ERROR_VALUE = 1,
    SETTINGS_ERROR_MISSING,
    SETTINGS_ERROR_USAGE
};

/* Formats the name of a setting's environment variable into `text` and returns
 * it. */
static const char *
variable_name(const char *name, char text[VARIABLE_BYTES])
{
    (void)snprintf(text, VARIABLE_BYTES, "BAOBAB_%s", name);
    for (char *c = text; *c != '\0'; c++) {
        *c = *c == '-' ? '_' : (char)toupper((unsigned char)*c);
    }
    return text;
}

/* Parses and stores a decimal number from min to max. */
static bool
apply_number(const struct bb_setting *s, const char *value, struct bb_error *e)
{
    char *end = NULL;
    uint64_t number;

    errno = 0;
    number = strtoull(value, &end, 10);
    if (!isdigit((unsigned char)value[0]) || *end != '\0' || errno != 0 ||
        number < s->min || number > s->max) {
        return bb_error_set(
            e, SETTINGS_ERROR_VALUE,
            "setting %s: value '%s' is not allowed; use a whole number "
            "from %" PRIu64 " to %" PRIu64 " (%s)",
            s->name, value, s->min, s->max, s->value_name);
    }
    *s->to.number = number;
    return true;
}

/* Parses and stores a comma-separated list of addresses. An empty text is an
 * empty list. */
static bool
apply_address_list(const struct bb_setting *s, const char *value,
                   struct bb_error *e)
{
    struct bb_address_list list = {0};
    char **parts = g_strsplit(value, ",", -1);
    bool ok = true;

    for (size_t i = 0; ok && parts[i] != NULL; i++) {
        if (list.count == BB_SETTINGS_LIST_MAX) {
            ok = bb_error_set(e, SETTINGS_ERROR_VALUE,
                              "setting %s: more than %d addresses", s->name,
                              BB_SETTINGS_LIST_MAX);
        }
        else if (!bb_address_parse(parts[i], &list.items[list.count])) {
            ok = bb_error_set(
                e, SETTINGS_ERROR_VALUE,
                "setting %s: value '%s' is not allowed; use IP:PORT, "
                "separated by commas",
                s->name, parts[i]);
        }
        else {
            list.count++;
        }
    }
    g_strfreev(parts);
    if (ok) {
        *s->to.addresses = list;
    }
    return ok;
}

/* Checks one value and stores it. On failure returns false and sets the error,
 * which names the setting, the value and what is allowed; nothing is stored.
 */
bool
bb_settings_apply(const struct bb_setting *s, const char *value,
                  struct bb_error *e)
{
    switch (s->kind) {
    case BB_SETTING_FLAG:
        if (strcmp(value, "1") != 0 && strcmp(value, "0") != 0) {
            return bb_error_set(e, SETTINGS_ERROR_VALUE,
                                "setting %s: value '%s' is not allowed; use "
                                "0 or 1",
                                s->name, value);
        }
        *s->to.flag = value[0] == '1';
        return true;
    case BB_SETTING_TEXT:
        if ((value[0] == '\0' && !s->may_be_empty) ||
            (s->max > 0 && strlen(value) > s->max)) {
            return bb_error_set(
                e, SETTINGS_ERROR_VALUE,
                "setting %s: value '%s' is not allowed; use at "
                "least %d byte and at most %" PRIu64 " (0: no limit)",
                s->name, value, s->may_be_empty ? 0 : 1, s->max);
        }
        *s->to.text = value;
        return true;
    case BB_SETTING_NUMBER:
        return apply_number(s, value, e);
    case BB_SETTING_ADDRESS:
        if (!bb_address_parse(value, s->to.address)) {
            return bb_error_set(
                e, SETTINGS_ERROR_VALUE,
                "setting %s: value '%s' is not allowed; use "
                "IP:PORT with a numeric IP address, not a host "
                "name; IPv6 as [IP]:PORT",
                s->name, value);
        }
        return true;
    case BB_SETTING_ADDRESS_LIST:
        return apply_address_list(s, value, e);
    }
    return false;
}

/* Applies the environment variable of a setting, or else its default. Fails if
 * a required setting has neither. */
static bool
apply_fallback(const struct bb_setting *s, struct bb_error *e)
{
    char variable[VARIABLE_BYTES];
    const char *value = getenv(variable_name(s->name, variable));

    if (value == NULL) {
        value = s->default_value;
    }
    if (value != NULL) {
        return bb_settings_apply(s, value, e);
    }
    if (s->is_required) {
        return bb_error_set(e, SETTINGS_ERROR_MISSING,
                            "setting %s is required: give --%s or %s", s->name,
                            s->name, variable);
    }
    return true;
}

/* Creates the argtable entry of a setting. */
static void *
create_option(const struct bb_setting *s)
{
    if (s->kind == BB_SETTING_FLAG) {
        return arg_lit0(NULL, s->name, s->help);
    }
    return arg_str0(NULL, s->name, s->value_name, s->help);
}

/* Copies the arguments without those that give a text that may be empty as
 * "--name=", which argtable refuses; is_empty[i] is set for their settings.
 * Returns the number of the others. */
static int
take_empty_texts(const struct bb_setting *table, size_t count, int argc,
                 char **argv, char **others, bool *is_empty)
{
    int kept = 0;

    for (int a = 0; a < argc; a++) {
        bool is_taken = false;

        for (size_t i = 0; i < count && a > 0 && !is_taken; i++) {
            size_t length = strlen(table[i].name);

            is_taken = table[i].may_be_empty &&
                       strncmp(argv[a], "--", 2) == 0 &&
                       strncmp(argv[a] + 2, table[i].name, length) == 0 &&
                       strcmp(argv[a] + 2 + length, "=") == 0;
            is_empty[i] = is_empty[i] || is_taken;
        }
        if (!is_taken) {
            others[kept++] = argv[a];
        }
    }
    return kept;
}

/* Stores all settings: each from its flag, or else by apply_fallback. */
static bool
apply_all(const struct bb_setting *table, size_t count, void **options,
          const bool *is_empty, struct bb_error *e)
{
    for (size_t i = 0; i < count; i++) {
        const struct bb_setting *s = &table[i];
        bool ok;

        if (s->kind == BB_SETTING_FLAG) {
            const struct arg_lit *o = options[i];

            ok = o->count > 0 ? bb_settings_apply(s, "1", e)
                              : apply_fallback(s, e);
        }
        else {
            const struct arg_str *o = options[i];

            ok = o->count > 0  ? bb_settings_apply(s, o->sval[0], e)
                 : is_empty[i] ? bb_settings_apply(s, "", e)
                               : apply_fallback(s, e);
        }
        if (!ok) {
            return false;
        }
    }
    return true;
}

/* Prints the help text: purpose, usage and a line for each setting. */
static void
print_help(const char *program, const char *purpose, void **options)
{
    printf("%s: %s\n\nUsage: %s", program, purpose, program);
    arg_print_syntax(stdout, options, "\n\n");
    arg_print_glossary(stdout, options, "  %-34s %s\n");
    printf(
        "\nEach setting can also be given as an environment variable: "
        "--listen-port\nas BAOBAB_LISTEN_PORT. A flag takes precedence over "
        "its variable.\n");
}

/* Reads all settings of the table from flags, environment and defaults.
 * Operands (arguments that are not flags), at most BB_SETTINGS_OPERANDS_MAX,
 * are stored in `operands`, or are an error if it is NULL. Prints the texts of
 * --help and --version, and then returns BB_SETTINGS_EXIT. Returns
 * BB_SETTINGS_RUN on success; *e is set for BB_SETTINGS_INVALID. */
enum bb_settings_result
bb_settings_read(const char *program, const char *purpose,
                 const struct bb_setting *table, size_t count, int argc,
                 char **argv, const char **operands, size_t *operand_count,
                 struct bb_error *e)
{
    enum bb_settings_result result = BB_SETTINGS_INVALID;
    int operands_max = operands != NULL ? BB_SETTINGS_OPERANDS_MAX : 0;
    void **options = g_new0(void *, count + 4);
    char **others = g_new0(char *, (gsize)argc + 1);
    bool *is_empty = g_new0(bool, count + 1);
    struct arg_lit *help = arg_lit0("h", "help", "show this text");
    struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
    struct arg_str *operand_entry =
        arg_strn(NULL, NULL, operands_max > 0 ? "COMMAND" : NULL, 0,
                 operands_max > 0 ? operands_max : 1, NULL);
    struct arg_end *end = arg_end(ERRORS_SHOWN_MAX);

    for (size_t i = 0; i < count; i++) {
        options[i] = create_option(&table[i]);
    }
    options[count] = help;
    options[count + 1] = version;
    options[count + 2] = operand_entry;
    options[count + 3] = end;
    argc = take_empty_texts(table, count, argc, argv, others, is_empty);
    int errors = arg_parse(argc, others, options);

    if (help->count > 0) {
        print_help(program, purpose, options);
        result = BB_SETTINGS_EXIT;
        goto out;
    }
    if (version->count > 0) {
        printf("%s %s\n", program, BB_VERSION);
        result = BB_SETTINGS_EXIT;
        goto out;
    }
    if (errors > 0) {
        char *text = NULL;
        size_t size = 0;
        FILE *stream = open_memstream(&text, &size);

        arg_print_errors(stream, end, program);
        (void)fclose(stream);
        bb_error_set(e, SETTINGS_ERROR_USAGE, "%s", g_strchomp(text));
        free(text);
        goto out;
    }
    if (operand_entry->count > operands_max) {
        bb_error_set(e, SETTINGS_ERROR_USAGE, "unexpected argument '%s'",
                     operand_entry->sval[0]);
        goto out;
    }
    if (!apply_all(table, count, options, is_empty, e)) {
        goto out;
    }
    for (int i = 0; i < operand_entry->count; i++) {
        operands[i] = operand_entry->sval[i];
    }
    if (operand_count != NULL) {
        *operand_count = (size_t)operand_entry->count;
    }
    result = BB_SETTINGS_RUN;
out:
    arg_freetable(options, count + 4);
    g_free(options);
    g_free(others);
    g_free(is_empty);
    return result;
}
