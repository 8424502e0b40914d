/* Guards against counters that are missing from the metrics page or have a
 * wrong type or value, which would break operators' alerts on their names. */
#include "common/counters.h"
#include "unit.h"

#include <string.h>

BB_COUNTER(hits, "test_hits_total", "Hits");
BB_GAUGE(level, "test_level", "Level");

/* Guards against a page with a wrong type or value, and against a lookup that
 * misses a gauge or ignores the labels. */
static void
test_page_lists_counters_with_type_and_value(void)
{
    GString *page = g_string_new(NULL);

    bb_counter_add(&hits, 3);
    bb_counter_set(&level, 9);
    bb_counters_write(page);
    CU_ASSERT_PTR_NOT_NULL(strstr(page->str, "# TYPE test_hits_total counter"
                                             "\ntest_hits_total 3\n"));
    CU_ASSERT_PTR_NOT_NULL(
        strstr(page->str, "# TYPE test_level gauge\ntest_level 9\n"));
    CU_ASSERT_PTR_EQUAL(bb_counter_find("test_level", NULL), &level);
    CU_ASSERT_PTR_NULL(bb_counter_find("test_level", "x=\"y\""));
    g_string_free(page, TRUE);
}

static const struct bb_unit_test tests[] = {
    {"the page lists counters with type and value",
     test_page_lists_counters_with_type_and_value},
};

BB_UNIT_MAIN("counters", tests)
