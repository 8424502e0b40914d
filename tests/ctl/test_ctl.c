/* baobabctl must give operators the same verdict as a control host, exit
 * codes that scripts can rely on, and an error instead of trust for an answer
 * that does not hold together. A server here answers as docs/admin-api.md
 * says. */
#include <stdlib.h>

#include "../config/fixture.h"
#include "admin/admin.h"
#include "admin/answers.h"
#include "ctl.h"

#define EXAMPLES BB_SOURCE_FOLDER "/examples/"

static struct bb_admin *server;
static char admin_flag[64];
static struct bb_bundle *in_force;
static bool is_damaged;
static const char *const no_problems = "[]";
static const char *problems;

static const struct bb_member members[] = {
    {.host = "node-a", .zone = "accra-1", .service = "proofdesk"},
    {.host = "node-b", .zone = "kumasi-1", .state = BB_MEMBER_SUSPECT},
};

static void
handle_in_force(void *context, const struct bb_admin_request *request,
                struct bb_admin_answer *answer)
{
    (void)context;
    (void)request;
    answer->json = bb_admin_in_force_json(in_force, true);
    bb_admin_add_holder(answer->json, &members[0], 5);
    bb_admin_add_holder(answer->json, &members[1], 4);
    if (is_damaged) {
        (void)json_array_remove(json_object_get(answer->json, "files"), 0);
    }
}

static void
handle_status(void *context, const struct bb_admin_request *request,
              struct bb_admin_answer *answer)
{
    (void)context;
    (void)request;
    answer->json = json_pack(
        "{s:s, s:s, s:i, s:b, s:o, s:{s:s, s:s, s:{s:s, s:I, s:s}}}", "host",
        "control-1", "role", "control", "revision", 5, "quorum", 1, "problems",
        json_loads(problems, 0, NULL), "source", "folder", "/etc/x",
        "conflict", "stale-base", "outage", "kind", "missing", "since_ms",
        (json_int_t)1700000000000, "message", "gone");
}

static void
handle_members(void *context, const struct bb_admin_request *request,
               struct bb_admin_answer *answer)
{
    (void)context;
    (void)request;
    answer->json =
        json_pack("{s:[o, o]}", "members", bb_admin_member_json(&members[0]),
                  bb_admin_member_json(&members[1]));
}

static const struct bb_admin_endpoint in_force_endpoint = {
    .handle = handle_in_force};
static const struct bb_admin_endpoint status_endpoint = {.handle =
                                                             handle_status};
static const struct bb_admin_endpoint members_endpoint = {.handle =
                                                              handle_members};

BB_PLUGIN(in_force_plugin, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/in-force",
          &in_force_endpoint);
BB_PLUGIN(status_plugin, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/status",
          &status_endpoint);
BB_PLUGIN(members_plugin, BB_PLUGIN_ADMIN_ENDPOINT, "GET /v1/members",
          &members_endpoint);

static void
start_server(void)
{
    struct bb_admin_options options = {0};
    struct bb_folder *folder = NULL;
    struct bb_error e = {0};

    problems = no_problems;
    is_damaged = false;
    if (server != NULL) {
        return;
    }
    CU_ASSERT_EQUAL_FATAL(bb_folder_read(EXAMPLES "adinkra", &folder, &e),
                          BB_OUTAGE_NONE);
    in_force = bb_bundle_create(5, 1, folder);
    CU_ASSERT_TRUE_FATAL(bb_address_parse("127.0.0.1:0", &options.listen));
    server = bb_admin_create(&options, &e);
    fixture_require(server);
    (void)g_snprintf(admin_flag, sizeof(admin_flag), "--admin=127.0.0.1:%u",
                     bb_admin_port(server));
}

/* Runs baobabctl with words that each follow a blank, against the server;
 * checks the exit code and words of the output. */
static void
check(const char *words, enum bb_exit expected, const char *in_output)
{
    char *line = g_strdup_printf("baobabctl %s%s", admin_flag, words);
    char **argv = g_strsplit(line, " ", -1);
    char *text = NULL;
    size_t size = 0;
    FILE *out = open_memstream(&text, &size);
    enum bb_exit result = bb_ctl_run((int)g_strv_length(argv), argv, out, out);

    (void)fclose(out);
    if (result != expected || strstr(text, in_output) == NULL) {
        printf("\n%s: exit %d\n%s", words, (int)result, text);
    }
    CU_ASSERT_EQUAL(result, expected);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, in_output));
    free(text);
    g_strfreev(argv);
    g_free(line);
}

static void
test_examples_are_valid(void)
{
    start_server();
    check(" check " EXAMPLES "adinkra", BB_EXIT_OK, "4 services, 9 routes");
    check(" check " EXAMPLES "stakenwerk", BB_EXIT_OK, "4 services, 6 routes");
    check(" explain /sign-offs/7 --method POST --folder " EXAMPLES "adinkra",
          BB_EXIT_OK, "idempotent      false");
    check(" explain /photos/archive/x --folder " EXAMPLES "adinkra",
          BB_EXIT_OK, "class           long");
    check(" explain /orders --json --method POST --folder " EXAMPLES
          "stakenwerk",
          BB_EXIT_OK, "\"idempotent\": false");
}

static void
test_check_reports_all_faults(void)
{
    char *d = fixture_directory();
    char *words = g_strdup_printf(" check %s", d);
    char *json = g_strdup_printf(" check --json %s", d);

    start_server();
    check(words, BB_EXIT_FAILED, "(empty)");
    check(json, BB_EXIT_FAILED, "\"outage\": \"empty\"");
    fixture_write(d, "a",
                  "[zone z]\nregion=moon\nx=1\n[limits]\nmax-depth=a\n", -1);
    check(words, BB_EXIT_FAILED, "a: [zone z] x: unknown key");
    check(words, BB_EXIT_FAILED, "a: [limits] max-depth: ");
    check(words, BB_EXIT_FAILED, "faults: 3");
    check(json, BB_EXIT_FAILED, "\"section\": \"zone z\"");
    g_free(json);
    g_free(words);
    fixture_remove(d);
}

static void
test_diff_shows_values_and_files(void)
{
    char *d = fixture_directory();
    char *words = g_strdup_printf(" diff %s", d);
    char *json = g_strdup_printf(" diff --json %s", d);

    start_server();
    check(" diff " EXAMPLES "adinkra", BB_EXIT_OK, "equal");
    fixture_write(d, "10-places.conf", "[region accra]\n[region volta]\n", -1);
    check(words, BB_EXIT_FAILED, "- [limits] link-bytes-per-s = 1800000");
    check(words, BB_EXIT_FAILED, "+ [region volta]  =   # from 10-places");
    check(words, BB_EXIT_FAILED, "removed file 50-orders.conf");
    check(words, BB_EXIT_FAILED, "changed file 10-places.conf");
    check(json, BB_EXIT_FAILED, "\"equal\": false");
    g_free(json);
    g_free(words);
    fixture_remove(d);
}

static void
test_reading_commands(void)
{
    start_server();
    check(" in-force", BB_EXIT_OK, "revision 5, version 1, confirmed");
    check(" in-force", BB_EXIT_OK, "# from 50-orders.conf\ntimeout-ms=15000");
    check(" in-force", BB_EXIT_OK, "revision 4 suspect");
    check(" in-force --json", BB_EXIT_OK, "\"holders\"");
    check(" explain /proofs/1", BB_EXIT_OK, "proof-pages");
    check(" explain /proofs/1 --method DELETE", BB_EXIT_FAILED,
          "GET would take route proof-pages");
    check(" members", BB_EXIT_OK, "proofdesk");
    check(" members --json", BB_EXIT_OK, "\"state\": \"suspect\"");
    check(" status", BB_EXIT_OK, "outage since 2023-11-14 22:13:20 UTC");
    problems = "[\"disk full\"]";
    check(" status", BB_EXIT_FAILED, "problem: disk full");
    check(" status --json", BB_EXIT_FAILED, "\"disk full\"");
    is_damaged = true;
    check(" in-force", BB_EXIT_FAILED, "do not match the digest");
    check(" explain /proofs/1", BB_EXIT_FAILED, "do not match the digest");
}

static void
test_wrong_use_and_missing_server(void)
{
    start_server();
    check("", BB_EXIT_USAGE, "give a command");
    check(" destroy", BB_EXIT_USAGE, "no command 'destroy'");
    check(" check", BB_EXIT_USAGE, "needs FOLDER");
    check(" status now", BB_EXIT_USAGE, "unexpected argument 'now'");
    check(" explain x", BB_EXIT_USAGE, "begins with '/'");
    check(" explain / --method BREW", BB_EXIT_USAGE, "PATCH");
    bb_admin_destroy(server);
    server = NULL;
    check(" status", BB_EXIT_UNREACHABLE, "cannot read /v1/status");
    check(" diff " EXAMPLES "adinkra", BB_EXIT_UNREACHABLE, "/v1/in-force");
    bb_bundle_unref(in_force);
}

static const struct bb_unit_test tests[] = {
    {"examples are valid", test_examples_are_valid},
    {"check reports all faults", test_check_reports_all_faults},
    {"diff shows values and files", test_diff_shows_values_and_files},
    {"reading commands", test_reading_commands},
    {"wrong use and a missing server", test_wrong_use_and_missing_server},
};

BB_UNIT_MAIN("ctl", tests)
