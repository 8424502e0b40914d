/* baobabctl check FOLDER: reports all faults of a folder, with the code that
 * control hosts use to validate it. */
#include <glib.h>
#include <inttypes.h>

#include "common/registry.h"
#include "ctl.h"

/* Prints the result as JSON. config is NULL if there are faults; if so,
 * returns BB_EXIT_FAILED. */
static enum bb_exit
print_json(const struct bb_ctl_context *c, const struct bb_folder *f,
           const struct bb_config *config,
           const struct bb_config_faults *faults)
{
    char digest[BB_DIGEST_TEXT_BYTES];
    json_t *j = json_pack(
        "{s:b, s:s, s:I, s:o, s:I}", "valid", config != NULL, "digest",
        bb_digest_format(&f->digest, digest), "version",
        (json_int_t)(config != NULL ? config->version : 0), "faults",
        bb_ctl_faults_json(faults), "omitted", (json_int_t)faults->omitted);
    enum bb_exit result =
        bb_ctl_print_json(c, j, config != NULL ? BB_EXIT_OK : BB_EXIT_FAILED);

    json_decref(j);
    return result;
}

/* Prints the result as text. config is NULL if there are faults; if so,
 * returns BB_EXIT_FAILED. */
static enum bb_exit
print_text(const struct bb_ctl_context *c, const struct bb_folder *f,
           const struct bb_config *config,
           const struct bb_config_faults *faults)
{
    char digest[BB_DIGEST_TEXT_BYTES];
    char *text;

    if (config == NULL) {
        text = bb_config_faults_format(faults);
        (void)fprintf(c->out, "%sfaults: %u\n", text,
                      faults->count + faults->omitted);
        g_free(text);
        return BB_EXIT_FAILED;
    }
    (void)fprintf(c->out,
                  "valid: %u files, %u services, %u routes, version %" PRIu64
                  "\ndigest %s\n",
                  f->file_count, config->service_count, config->route_count,
                  config->version, bb_digest_format(&f->digest, digest));
    return BB_EXIT_OK;
}

/* Runs `baobabctl check`. Returns BB_EXIT_FAILED if the folder has a fault or
 * cannot be read. */
static enum bb_exit
run_check(const struct bb_ctl_context *c)
{
    struct bb_config_faults faults = {0};
    struct bb_folder *f = NULL;
    struct bb_config *config;
    enum bb_exit result = bb_ctl_read_folder(c, c->operand, &f);

    if (result != BB_EXIT_OK) {
        return result;
    }
    config = bb_config_compile(f, &faults);
    result = c->is_json ? print_json(c, f, config, &faults)
                        : print_text(c, f, config, &faults);
    bb_config_destroy(config);
    bb_config_faults_clear(&faults);
    bb_folder_destroy(f);
    return result;
}

static const struct bb_ctl_command command = {
    .operand_name = "FOLDER",
    .help = "report all faults of a folder",
    .run = run_check,
};

BB_PLUGIN(check, BB_PLUGIN_CTL_COMMAND, "check", &command);
