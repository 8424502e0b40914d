/* Tests that an acknowledged drain holds, with real processes. */
#include "fixture.h"
#include "unit.h"

enum { GRACE_S = 6 };

/* Guards against: a withdrawal that is acknowledged but not applied, as
 * another upstream is known. */
static void
test_withdrawal_of_another_upstream(void)
{
    struct fixture f;

    fixture_open(&f, 1, GRACE_S);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-2", 0), 503);
    CU_ASSERT_EQUAL(fixture_withdraw(&f, "i-1", 0), 200);
    fixture_close(&f);
}

static const struct bb_unit_test tests[] = {
    {"withdrawal of another upstream", test_withdrawal_of_another_upstream}};

BB_UNIT_MAIN("drain", tests)
