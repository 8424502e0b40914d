/* Tests of parsing --control. A wrong list of control hosts could allow two
 * quorums, so any mistake must be refused, with an error that names the
 * setting. */
#include <string.h>

#include "mesh/control_list.h"
#include "unit.h"

/* Guards against a valid list that is refused or loses a host or its region,
 * and against finding a host that is not listed. */
static void
test_valid_list_is_parsed(void)
{
    struct bb_control_list list;
    struct bb_error e = {0};

    CU_ASSERT_TRUE_FATAL(bb_control_list_parse(
        "c0/a/west/127.0.0.1:1,c1/b/west/127.0.0.1:2,c2/c/east/[::1]:3", &list,
        &e));
    CU_ASSERT_EQUAL(list.count, 3);
    CU_ASSERT_STRING_EQUAL(bb_control_list_find(&list, "c2")->region, "east");
    CU_ASSERT_PTR_NULL(bb_control_list_find(&list, "c3"));
}

static const char nine_hosts[] =
    "a/z/r/1.1.1.1:1,b/z/r/1.1.1.1:1,c/z/r/1.1.1.1:1,d/z/r/1.1.1.1:1,"
    "e/z/r/1.1.1.1:1,f/z/r/1.1.1.1:1,g/z/r/1.1.1.1:1,h/z/r/1.1.1.1:1,"
    "i/z/r/1.1.1.1:1";

/* Lists that are empty, lack a field or the port, have port 0, an empty host
 * name or an empty entry, have two or nine hosts, or name a host twice. */
static void
test_invalid_lists_are_refused(void)
{
    const char *texts[] = {
        "",
        "c0",
        "c0/a/west/127.0.0.1",
        "c0/a/west/127.0.0.1:0",
        "/a/west/127.0.0.1:1",
        "c0/a/west/127.0.0.1:1,",
        "c0/a/west/127.0.0.1:1,c1/a/west/127.0.0.1:2",
        "c0/a/w/127.0.0.1:1,c0/a/w/127.0.0.1:2,c2/a/w/127.0.0.1:3",
        nine_hosts,
    };

    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        struct bb_control_list list = {.count = 99};
        struct bb_error e = {0};

        CU_ASSERT_FALSE(bb_control_list_parse(texts[i], &list, &e));
        CU_ASSERT_EQUAL(list.count, 99);
        CU_ASSERT_PTR_NOT_NULL(strstr(e.message, "setting control"));
    }
}

static const struct bb_unit_test tests[] = {
    {"a valid list is parsed", test_valid_list_is_parsed},
    {"invalid lists are refused", test_invalid_lists_are_refused},
};

BB_UNIT_MAIN("control list", tests)
