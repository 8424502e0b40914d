#include "unit.h"

#include <stdlib.h>

/* Runs the tests as one suite. Returns the exit code of the process: a failure
 * if a check fails or a test does not run. */
int
bb_unit_run(const char *suite, const struct bb_unit_test *tests, size_t count)
{
    CU_pSuite s;
    unsigned failures;

    if (CU_initialize_registry() != CUE_SUCCESS) {
        return EXIT_FAILURE;
    }
    s = CU_add_suite(suite, NULL, NULL);
    for (size_t i = 0; i < count; i++) {
        if (CU_add_test(s, tests[i].name, tests[i].run) == NULL) {
            return EXIT_FAILURE;
        }
    }
    CU_basic_set_mode(CU_BRM_VERBOSE);
    (void)CU_basic_run_tests();
    failures =
        CU_get_number_of_failures() + (CU_get_number_of_tests_run() != count);
    CU_cleanup_registry();
    return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
