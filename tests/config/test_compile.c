/* Validation must report every fault with its file, section and key, and must
 * never accept a reference to a service, team or region that does not exist.
 */
#include "common/random.h"
#include "fixture.h"

/* Internal header of config/, for BB_SECTIONS_MAX. */
#include "../../config/merge.h"

enum {
    MUTATION_ROUNDS = 5000,
    UNKNOWN_SECTIONS = 30000, /* of which BB_CONFIG_FAULTS_MAX are listed */
    LARGE_FILES = 5, /* once encoded, together over the limit of a folder */
    PRINTABLE_CHARACTERS = 94 /* from '!' to '~' */
};

_Static_assert(BB_SECTIONS_MAX == 4096,
               "limit of sections that the tests were written for");

static const char base[] = "[team press]\nmax-in-flight=9\n"
                           "[region accra]\n[zone accra-1]\nregion=accra\n"
                           "[service proofdesk]\nteam=press\n"
                           "calls=photovault\n[service photovault]\n";

/* Compiles base and a second file, and returns the faults as text. A length of
 * -1 means that the text ends with a zero byte. */
static char *
compile_and_list_faults(const char *text, ssize_t length)
{
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_config_faults faults = {0};
    struct bb_config *c;
    struct bb_folder *f;
    struct bb_error e = {0};
    char *result;

    (void)bb_folder_builder_add(b, "10.conf", base, strlen(base), &e);
    (void)bb_folder_builder_add(
        b, "20.conf", text, length < 0 ? strlen(text) : (size_t)length, &e);
    f = bb_folder_builder_finish(b, &e);
    c = bb_config_compile(f, &faults);
    CU_ASSERT_EQUAL(c == NULL, faults.count > 0);
    result = bb_config_faults_format(&faults);
    bb_config_destroy(c);
    bb_config_faults_clear(&faults);
    bb_folder_destroy(f);
    bb_folder_builder_destroy(b);
    return result;
}

/* Checks that a file leads to exactly one fault, which contains the words. */
static void
check_single_fault(const char *text, ssize_t length, const char *words)
{
    char *faults = compile_and_list_faults(text, length);
    size_t lines = 0;

    for (const char *p = faults; *p != '\0'; p++) {
        lines += *p == '\n';
    }
    CU_ASSERT_EQUAL(lines, 1);
    if (lines != 1 || strstr(faults, words) == NULL) {
        printf("\ntext: %s\nwanted: %s\nfaults: %s", text, words, faults);
    }
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, words));
    g_free(faults);
}

/* Guards against a fault that is not found, is reported more than once, or has
 * a message that does not show its cause. */
static void
test_each_fault_is_found(void)
{
    static const char *const cases[][2] = {
        {"[unknown x]\n", "20.conf: [unknown x] unknown section"},
        {"[service a b]\n", "needs a name"},
        {"[service]\n", "needs a name"},
        {"[limits x]\n", "has no name"},
        {"[limits]\nmax-dept=1\n", "[limits] max-dept: unknown key"},
        {"[service photovault]\ncalls[de]=x\n", "calls[de]: unknown key"},
        {"[limits]\nmax-depth=0\n", "'0' is not a whole number from 1 to 64"},
        {"[limits]\nmax-depth=+5\n", "not a whole number"},
        {"[limits]\nmax-depth=5 x\n", "not a whole number"},
        {"[limits]\nmax-body-bytes=99999999999999999999\n", "whole number"},
        {"[configuration]\nversion=-1\n", "version: '-1'"},
        {"[route r]\nservice=photovault\n", "path: is missing"},
        {"[route r]\npath=/\n", "service: is missing"},
        {"[route r]\npath=/\nservice=none\n", "no section [service none]"},
        {"[route r]\npath=x\nservice=photovault\n", "begin with '/'"},
        {"[route r]\npath=/a/../b\nservice=photovault\n", "components"},
        {"[route r]\npath=/a b\nservice=photovault\n", "white space"},
        {"[route r]\npath=/\nservice=photovault\nmethods=GET;TRACE\n",
         "'TRACE'"},
        {"[route r]\npath=/\nservice=photovault\nclass=huge\n", "'huge'"},
        {"[route r]\npath=/\nservice=photovault\nidempotent=yes\n", "'yes'"},
        {"[route r]\npath=/\nservice=photovault\nhedge-limit=1\n",
         "only short idempotent"},
        {"[route r]\npath=/\nservice=photovault\ntimeout-ms=5\n"
         "hedge-after-ms=5\n",
         "below timeout-ms"},
        {"[route r]\npath=/\nservice=photovault\nmethods=GET;POST\n"
         "[route s]\npath=/\nservice=photovault\nmethods=PUT;POST\n",
         "POST / is already matched by [route r]"},
        {"[service photovault]\ncalls=proofdesk\n",
         "form a loop: proofdesk -> photovault -> proofdesk"},
        {"[service photovault]\ncalls=photovault\n", "form a loop"},
        {"[service photovault]\ncalls=none\n", "no section [service none]"},
        {"[service x]\ncalls=photovault;photovault\n", "twice"},
        {"[team other]\n[service proofdesk]\nteam=other\n",
         "contradicts 'press' in file 10.conf"},
        {"[zone z]\nregion=moon\n", "no section [region moon]"},
        {"[zone z]\n", "region: is missing"},
        {"key=before any section\n", "20.conf"},
        {"[limits]\nmax-depth=\\q\n", "max-depth"},
        {"[limits\n", "20.conf"},
        {"[drain \xff]\n", "not valid UTF-8 at byte 7"},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        check_single_fault(cases[i][0], -1, cases[i][1]);
    }
    check_single_fault("[limits]\0\n", 10, "zero byte");
}

/* Guards against validation that stops at the first fault. */
static void
test_three_faults_are_reported_at_once(void)
{
    char *faults = compile_and_list_faults("[route r]\npath=/\nservice=none\n"
                                           "[limits]\nmax-depth=99\n"
                                           "[zone z]\nregion=moon\n",
                                           -1);

    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "20.conf: [route r] service: "));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "20.conf: [limits] max-depth: "));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "20.conf: [zone z] region: "));
    g_free(faults);
}

/* Guards against a list of faults or a configuration that grows without limit
 * with the input. */
static void
test_hostile_input_stays_bounded(void)
{
    GString *text = g_string_new(NULL);
    char *faults;

    for (int i = 0; i < UNKNOWN_SECTIONS; i++) {
        g_string_append_printf(text, "[s%d]\n", i);
    }
    faults = compile_and_list_faults(text->str, -1);
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "and 29000 more faults"));
    g_free(faults);
    /* A key of 100 KB. */
    g_string_assign(text, "[limits]\n");
    for (int i = 0; i < 50000; i++) {
        g_string_append(text, "a.");
    }
    g_string_append(text, "=1\n");
    check_single_fault(text->str, -1, "unknown key");
    g_string_truncate(text, 0);
    for (int i = 0; i < BB_SECTIONS_MAX + 1; i++) {
        g_string_append_printf(text, "[region r%d]\n", i);
    }
    faults = compile_and_list_faults(text->str, -1);
    CU_ASSERT_PTR_NOT_NULL(strstr(faults, "more than 4096 sections"));
    g_free(faults);
    g_string_free(text, TRUE);
}

/* A folder within the limits of struct bb_folder can still be too large to be
 * sent once it is encoded. The text is random so that it does not compress. */
static void
test_folder_that_cannot_be_sent_is_a_fault(void)
{
    struct bb_random *r = bb_random_create(7);
    GString *text = g_string_new("#");
    struct bb_folder_builder *b = bb_folder_builder_create();
    struct bb_config_faults faults = {0};
    struct bb_error e = {0};
    struct bb_folder *f;

    g_string_set_size(text, BB_FOLDER_FILE_MAX_BYTES);
    for (int i = 0; i < LARGE_FILES; i++) {
        char name[2] = {(char)('a' + i), '\0'};

        for (gsize k = 1; k < text->len; k++) {
            text->str[k] =
                (char)('!' + bb_random_below(r, PRINTABLE_CHARACTERS));
        }
        text->str[text->len - 1] = '\n';
        CU_ASSERT_TRUE(
            bb_folder_builder_add(b, name, text->str, text->len, &e));
    }
    f = bb_folder_builder_finish(b, &e);
    CU_ASSERT_PTR_NULL(bb_config_compile(f, &faults));
    CU_ASSERT_EQUAL(faults.count, 1);
    bb_config_faults_clear(&faults);
    bb_folder_destroy(f);
    bb_folder_builder_destroy(b);
    g_string_free(text, TRUE);
    bb_random_destroy(r);
}

/* No mutation of a valid file may crash the parser or the checks. Each must
 * either compile or be refused with at least one fault. */
static void
test_mutated_text_never_breaks_compilation(void)
{
    struct bb_random *r = bb_random_create(11);
    uint32_t valid_count = 0;

    for (int round = 0; round < MUTATION_ROUNDS; round++) {
        char text[] = "[service a]\ncalls=b\n[service b]\nteam=press\n"
                      "[route r]\npath=/a\nservice=b\nmethods=GET;PUT\n"
                      "[zone z]\nregion=accra\n[limits]\nmax-depth=9\n";
        char *faults;

        for (uint64_t i = bb_random_below(r, 4) + 1; i > 0; i--) {
            char *at = &text[bb_random_below(r, sizeof(text) - 2)];

            *at = bb_random_below(r, 2) == 0
                      ? (char)bb_random_below(r, 256)
                      : text[bb_random_below(r, sizeof(text) - 2)];
        }
        faults = compile_and_list_faults(text, sizeof(text) - 1);
        valid_count += faults[0] == '\0';
        g_free(faults);
    }
    CU_ASSERT_TRUE(valid_count > 0 && valid_count < MUTATION_ROUNDS);
    bb_random_destroy(r);
}

/* Guards against an earlier file that overrides a later one, and against a
 * wrong file name in the merged text. */
static void
test_later_file_overrides_and_origin_is_kept(void)
{
    static const char *const files[] = {
        "10.conf", "[limits]\nmax-depth=3\nejection-percent=20\n", "20.conf",
        "[limits]\nmax-depth=5\n[region r]\n", NULL};
    struct bb_folder *f = fixture_create_folder(files);
    struct bb_config_faults faults = {0};
    struct bb_config *c = bb_config_compile(f, &faults);
    char *text = bb_config_format_merged(f);

    fixture_require_not_null(c);
    CU_ASSERT_EQUAL(c->limits.max_depth, 5);
    CU_ASSERT_EQUAL(c->limits.max_ejected_percent, 20);
    CU_ASSERT_EQUAL(c->limits.retry_budget_percent, 20);
    CU_ASSERT_STRING_EQUAL(text, "[limits]\n# from 20.conf\nmax-depth=5\n"
                                 "# from 10.conf\nejection-percent=20\n"
                                 "\n[region r]\n# from 20.conf\n");
    g_free(text);
    bb_config_destroy(c);
    bb_folder_destroy(f);
}

/* A prefix that matched in the middle of a path component would send requests
 * to another service. Also checks the defaults: only routes whose methods are
 * all safe are idempotent, and only those are hedged. */
static void
test_routes_match_longest_prefix_at_boundary(void)
{
    static const char *const files[] = {
        "10.conf",
        "[service a]\n[service b]\ncalls=a\n"
        "[route all]\npath=/\nservice=a\n"
        "[route long]\npath=/p\nservice=b\nmethods=GET;HEAD\n"
        "[route sign]\npath=/p\nservice=a\nmethods=POST\ntimeout-ms=5\n",
        NULL};
    struct bb_folder *f = fixture_create_folder(files);
    struct bb_config_faults faults = {0};
    struct bb_config *c = bb_config_compile(f, &faults);

    fixture_require_not_null(c);
    CU_ASSERT_STRING_EQUAL(
        bb_config_find_route(c, "/p/1", BB_METHOD_GET)->name, "long");
    CU_ASSERT_STRING_EQUAL(
        bb_config_find_route(c, "/p?x", BB_METHOD_POST)->name, "sign");
    CU_ASSERT_STRING_EQUAL(bb_config_find_route(c, "/p2", BB_METHOD_GET)->name,
                           "all");
    CU_ASSERT_PTR_NULL(bb_config_find_route(c, "x", BB_METHOD_GET));
    CU_ASSERT_STRING_EQUAL(c->routes[0].name, "long");
    CU_ASSERT_TRUE(c->routes[0].is_idempotent);
    CU_ASSERT_EQUAL(c->routes[0].hedge_limit, 1);
    CU_ASSERT_FALSE(c->routes[1].is_idempotent);
    CU_ASSERT_EQUAL(c->routes[1].hedge_limit, 0);
    CU_ASSERT_EQUAL(c->services[1].callees[0], 0);
    bb_config_destroy(c);
    bb_folder_destroy(f);
}

static const struct bb_unit_test tests[] = {
    {"each fault is found", test_each_fault_is_found},
    {"three faults are reported at once",
     test_three_faults_are_reported_at_once},
    {"hostile input stays bounded", test_hostile_input_stays_bounded},
    {"a folder that cannot be sent is a fault",
     test_folder_that_cannot_be_sent_is_a_fault},
    {"mutated text never breaks compilation",
     test_mutated_text_never_breaks_compilation},
    {"a later file overrides and the origin is kept",
     test_later_file_overrides_and_origin_is_kept},
    {"routes match the longest prefix at a boundary",
     test_routes_match_longest_prefix_at_boundary},
};

BB_UNIT_MAIN("compile", tests)
