/* Runs the tests of one file with CUnit. */
#ifndef BB_TESTS_UNIT_H
#define BB_TESTS_UNIT_H

#include <CUnit/Basic.h>
#include <stddef.h>
#include <stdlib.h>

/* CUnit leaves a failed test by longjmp, which clang's static analyser does
 * not follow. During analysis the fatal checks end the program instead. */
#ifdef __clang_analyzer__
#undef CU_ASSERT_PTR_NOT_NULL_FATAL
#define CU_ASSERT_PTR_NOT_NULL_FATAL(pointer)                                 \
    do {                                                                      \
        if ((pointer) == NULL) {                                              \
            abort();                                                          \
        }                                                                     \
    } while (0)
#undef CU_ASSERT_TRUE_FATAL
#define CU_ASSERT_TRUE_FATAL(condition)                                       \
    do {                                                                      \
        if (!(condition)) {                                                   \
            abort();                                                          \
        }                                                                     \
    } while (0)
#endif

struct bb_unit_test {
    const char *name;
    void (*run)(void);
};

int bb_unit_run(const char *suite, const struct bb_unit_test *tests,
                size_t count);

/* Defines main, which runs an array of tests. */
#define BB_UNIT_MAIN(suite_, tests_)                                          \
    int main(void)                                                            \
    {                                                                         \
        return bb_unit_run((suite_), (tests_),                                \
                           sizeof(tests_) / sizeof((tests_)[0]));             \
    }

#endif
