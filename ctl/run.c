/* Reads the command line of baobabctl and runs the command. */
#include <glib.h>
#include <string.h>

#include "common/registry.h"
#include "ctl.h"

enum { METHOD_MAX_BYTES = 16, PATH_MAX_BYTES = 4096 };

/* Prints the commands with their operands and help texts. */
static void
print_command_list(FILE *to)
{
    (void)fprintf(to, "commands:\n");
    for (const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_CTL_COMMAND);
         p != NULL; p = p->next) {
        const struct bb_ctl_command *command = p->operations;
        char *usage = g_strdup_printf(
            "%s %s", p->name,
            command->operand_name != NULL ? command->operand_name : "");

        (void)fprintf(to, "  %-16s %s\n", usage, command->help);
        g_free(usage);
    }
}

/* Returns the command that the operands name and stores its own operand in c.
 * Returns NULL after printing an error if there is no such command, its
 * operand is missing, or there is one too many. */
static const struct bb_ctl_command *
find_command(struct bb_ctl_context *c, const char **operands, size_t count)
{
    const struct bb_ctl_command *command;

    if (count == 0) {
        bb_ctl_print_error(c, "give a command");
        print_command_list(c->err);
        return NULL;
    }
    command = bb_plugin_find(BB_PLUGIN_CTL_COMMAND, operands[0]);
    if (command == NULL) {
        bb_ctl_print_error(c, "there is no command '%s'", operands[0]);
        print_command_list(c->err);
        return NULL;
    }
    if (command->operand_name != NULL && count == 1) {
        bb_ctl_print_error(c, "%s needs %s", operands[0],
                           command->operand_name);
        return NULL;
    }
    if (count > (command->operand_name != NULL ? 2U : 1U)) {
        bb_ctl_print_error(c, "unexpected argument '%s'", operands[count - 1]);
        return NULL;
    }
    c->operand = count > 1 ? operands[1] : NULL;
    return command;
}

/* Runs baobabctl with the arguments of main and returns its exit code. */
enum bb_exit
bb_ctl_run(int argc, char **argv, FILE *out, FILE *err)
{
    struct bb_ctl_context c = {.out = out, .err = err};
    const struct bb_setting table[] = {
        {.name = "admin",
         .value_name = "IP:PORT",
         .help = "administration address of a control host or node",
         .kind = BB_SETTING_ADDRESS,
         .default_value = "127.0.0.1:7080",
         .to.address = &c.admin},
        {.name = "folder",
         .value_name = "FOLDER",
         .help = "explain: use this folder instead of what is in force",
         .kind = BB_SETTING_TEXT,
         .max = PATH_MAX_BYTES,
         .to.text = &c.folder},
        {.name = "method",
         .value_name = "METHOD",
         .help = "explain, place: method of the request (default GET)",
         .kind = BB_SETTING_TEXT,
         .default_value = "GET",
         .max = METHOD_MAX_BYTES,
         .to.text = &c.method},
        {.name = "host",
         .value_name = "HOST",
         .help = "place: host of the request",
         .kind = BB_SETTING_TEXT,
         .max = PATH_MAX_BYTES,
         .to.text = &c.host},
        {.name = "team",
         .value_name = "TEAM",
         .help = "place: name of the team that sends the request",
         .kind = BB_SETTING_TEXT,
         .max = PATH_MAX_BYTES,
         .to.text = &c.team},
        {.name = "log",
         .value_name = "FILE",
         .help = "trace: file with log lines (default standard input)",
         .kind = BB_SETTING_TEXT,
         .default_value = "-",
         .max = PATH_MAX_BYTES,
         .to.text = &c.log},
        {.name = "json",
         .help = "print JSON",
         .kind = BB_SETTING_FLAG,
         .to.flag = &c.is_json},
    };
    const char *operands[BB_SETTINGS_OPERANDS_MAX] = {0};
    const struct bb_ctl_command *command;
    struct bb_error e = {0};
    size_t count = 0;

    switch (bb_settings_read(
        "baobabctl", "check a configuration and see what is in force", table,
        G_N_ELEMENTS(table), argc, argv, operands, &count, &e)) {
    case BB_SETTINGS_EXIT:
        print_command_list(out);
        return BB_EXIT_OK;
    case BB_SETTINGS_INVALID:
        /* Messages of argtable2 begin with the name of the program. */
        if (g_str_has_prefix(e.message, "baobabctl: ")) {
            (void)fprintf(err, "%s\n", e.message);
        }
        else {
            bb_ctl_print_error(&c, "%s", e.message);
        }
        return BB_EXIT_USAGE;
    case BB_SETTINGS_RUN:
        break;
    }
    command = find_command(&c, operands, count);
    return command != NULL ? command->run(&c) : BB_EXIT_USAGE;
}
