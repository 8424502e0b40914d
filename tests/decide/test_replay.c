/* Reader of traces: errors are reported with their line number, and malformed
 * or hostile input is refused without a crash. */
#include <stdlib.h>
#include <string.h>

#include "common/random.h"
#include "replay/replay.h"
#include "unit.h"

enum { SEED = 20261204, MUTATIONS = 20000, TRACE_BYTES = 4096 };

static const char header[] =
    "{\"trace\":\"t\",\"module\":\"admission\",\"outcome\":\"o\"}\n";

static const char *const seeds[] = {
    "{\"at_us\":0,\"do\":\"configure\",\"slots\":6,\"queue_length\":3,"
    "\"long_work_percent\":50}\n{\"at_us\":0,\"do\":\"state\",\"state\":"
    "\"ready\"}\n{\"at_us\":7,\"do\":\"arrive\",\"id\":1,\"deadline_ms\":10,"
    "\"expect\":{\"decision\":\"run\"}}\n{\"at_us\":9,\"do\":\"offer\","
    "\"for_ms\":9,\"deadline_ms\":10,\"short_per_s\":900,\"short_us\":99}\n",
    "{\"at_us\":0,\"module\":\"claim\",\"do\":\"claim\",\"key\":\"k\",\"id\":"
    "\"i\",\"gatekeeper\":1}\n{\"at_us\":0,\"module\":\"claim\",\"do\":"
    "\"roster\",\"from\":1,\"to\":3}\n{\"at_us\":0,\"module\":\"claim\","
    "\"do\":\"restart\",\"witness\":7}\n",
    "{\"at_us\":0,\"module\":\"record\",\"do\":\"begin\",\"gatekeeper\":3,"
    "\"id\":\"a\"}\n{\"at_us\":1,\"module\":\"record\",\"do\":\"send\","
    "\"deadline_ms\":9}\n{\"at_us\":1,\"module\":\"routing\",\"do\":\"add\","
    "\"gatekeeper\":1,\"slots\":6}\n{\"at_us\":2,\"module\":\"routing\","
    "\"do\":\"pick\",\"times\":9,\"expect\":{\"chosen\":{\"1\":9}}}\n",
    "{\"at_us\":0,\"module\":\"retry\",\"do\":\"configure\","
    "\"retry_percent\":20,\"hedge_percent\":5}\n{\"at_us\":0,\"module\":"
    "\"retry\",\"do\":\"retry\",\"reason\":\"queue_full\",\"times\":9}\n",
};

enum { SEED_COUNT = sizeof(seeds) / sizeof(seeds[0]) };

static bool
replay(const char *text, size_t length, struct bb_error *e)
{
    struct bb_replay_summary s;
    FILE *in = fmemopen((void *)text, length, "rb");
    bool ok;

    CU_ASSERT_PTR_NOT_NULL_FATAL(in);
    *e = (struct bb_error){0};
    ok = bb_replay_run_trace(in, false, &s, e);
    (void)fclose(in);
    return ok;
}

/* Guards against invalid lines that are accepted, or errors without the number
 * of the line. */
static void
test_errors_name_their_line(void)
{
    static const struct {
        const char *line;
        const char *message;
    } invalid_lines[] = {
        {"{", "line 2: no JSON object"},
        {"[1]", "another value"},
        {"{\"at_us\":1,\"at_us\":2}", "duplicate"},
        {"{\"at_us\":-1,\"do\":\"tick\"}", "no whole number"},
        {"{\"at_us\":1.5,\"do\":\"tick\"}", "no whole number"},
        {"{\"at_us\":99999999999999999,\"do\":\"tick\"}", "no whole number"},
        {"{\"at_us\":1}", "\"do\" is missing"},
        {"{\"at_us\":1,\"do\":\"fly\"}", "no event \"fly\""},
        {"{\"at_us\":1,\"do\":\"tick\",\"x\":1}", "fields that \"tick\""},
        {"{\"at_us\":1,\"do\":\"tick\",\"module\":\"x\"}", "no module \"x\""},
        {"{\"at_us\":1,\"do\":\"tick\",\"expect\":1}", "\"expect\" is no"},
        {"{\"at_us\":1,\"do\":\"tick\",\"expect\":{\"running\":3}}",
         "\"running\" is 0, expected 3"},
        {"{\"at_us\":1,\"do\":\"tick\",\"expect\":{\"x\":{\"min\":3}}}",
         "\"x\" is not in the result"},
        {"{\"at_us\":5,\"do\":\"tick\"}\n{\"at_us\":4,\"do\":\"tick\"}",
         "line 3: \"at_us\" goes back"},
    };
    struct bb_error e;

    for (size_t i = 0; i < sizeof(invalid_lines) / sizeof(invalid_lines[0]);
         i++) {
        char text[TRACE_BYTES];
        int n = snprintf(text, sizeof(text), "%s%s\n", header,
                         invalid_lines[i].line);

        CU_ASSERT_FALSE(replay(text, (size_t)n, &e));
        CU_ASSERT_PTR_NOT_NULL(strstr(e.message, invalid_lines[i].message));
        CU_ASSERT_PTR_NOT_NULL(strstr(e.message, "line "));
    }
    CU_ASSERT_FALSE(replay("\n", 1, &e));
    CU_ASSERT_PTR_NOT_NULL(strstr(e.message, "empty"));
}

/* Guards against a buffer overflow, a stack overflow by deep nesting, and text
 * after a zero byte that is ignored. */
static void
test_long_lines_and_zero_bytes_are_refused(void)
{
    size_t length = BB_REPLAY_LINE_MAX_BYTES + 100;
    char *text = malloc(length);
    struct bb_error e;

    CU_ASSERT_PTR_NOT_NULL(text);
    if (text == NULL) {
        return;
    }
    memset(text, '[', length);
    CU_ASSERT_FALSE(replay(text, length, &e));
    CU_ASSERT_PTR_NOT_NULL(strstr(e.message, "longer than"));
    CU_ASSERT_FALSE(
        replay(text, BB_REPLAY_LINE_MAX_BYTES, &e)); /* deep nesting */
    text[9] = '\0';
    CU_ASSERT_FALSE(replay(text, length, &e));
    CU_ASSERT_PTR_NOT_NULL(strstr(e.message, "zero byte"));
    free(text);
}

/* Fuzz test: changes some bytes of a valid trace. The reader must always
 * return, and an error must have a message with a line number. */
static void
test_mutated_traces_are_handled(void)
{
    static const char special_bytes[] =
        "{}[]\",:0123456789eE+-.\\u\x80\xff \n";
    struct bb_random *random = bb_random_create(SEED);
    uint32_t refused = 0;

    for (int i = 0; i < MUTATIONS; i++) {
        char text[TRACE_BYTES];
        int n = snprintf(text, sizeof(text), "%s%s", header,
                         seeds[bb_random_below(random, SEED_COUNT)]);
        uint64_t changes = bb_random_below(random, 4);
        struct bb_error e;

        for (uint64_t j = 0; j < changes; j++) {
            text[bb_random_below(random, (uint64_t)n)] =
                special_bytes[bb_random_below(random,
                                              sizeof(special_bytes) - 1)];
        }
        if (!replay(text, (size_t)n, &e)) {
            refused++;
            CU_ASSERT_TRUE_FATAL(strncmp(e.message, "line ", 5) == 0);
        }
    }
    CU_ASSERT_TRUE(refused > MUTATIONS / 2 && refused < MUTATIONS);
    bb_random_destroy(random);
}

static const struct bb_unit_test tests[] = {
    {"errors name their line", test_errors_name_their_line},
    {"long lines and zero bytes are refused",
     test_long_lines_and_zero_bytes_are_refused},
    {"mutated traces are handled", test_mutated_traces_are_handled},
};

BB_UNIT_MAIN("replay", tests)
