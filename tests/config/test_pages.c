/* The manual page must describe every key, with the limits and the default
 * that the code has. */
#include <inttypes.h>
#include <stdlib.h>

#include "common/registry.h"
#include "fixture.h"

/* Internal header of config/, for struct bb_key_spec. */
#include "../../config/merge.h"

enum { KEYS_MIN = 21 };

/* Returns the line that begins with "*key* (" under the title of a section, or
 * NULL. The caller frees it with g_free. */
static char *
find_key_line(const char *page, const char *section, const char *key)
{
    char *title = g_strdup_printf("\n## [%s", section);
    char *start = g_strdup_printf("\n*%s* (", key);
    const char *at = strstr(page, title);
    const char *end = at != NULL ? strstr(at + 1, "\n## ") : NULL;
    const char *found = at != NULL ? strstr(at, start) : NULL;
    char *line = NULL;

    if (found != NULL && (end == NULL || found < end)) {
        line = g_strndup(found + 1, strcspn(found + 1, "\n"));
    }
    g_free(title);
    g_free(start);
    return line;
}

/* Checks that the page has the limits and the default of one key. */
static void
check_key_line(const char *page, const char *section,
               const struct bb_key_spec *k)
{
    char *line = find_key_line(page, section, k->name);
    char *limits = k->max > 0 ? g_strdup_printf("(%" PRIu64 " to %" PRIu64,
                                                k->min, k->max)
                              : g_strdup("(");
    char *text = k->default_text != NULL
                     ? g_strdup_printf("default %s", k->default_text)
                 : k->is_required ? g_strdup("required")
                                  : g_strdup("");

    if (line == NULL || strstr(line, limits) == NULL ||
        strstr(line, text) == NULL) {
        printf("\n[%s] %s: %s, %s\n", section, k->name, limits, text);
    }
    fixture_require_not_null(line);
    CU_ASSERT_PTR_NOT_NULL(strstr(line, limits));
    CU_ASSERT_PTR_NOT_NULL(strstr(line, text));
    g_free(line);
    g_free(limits);
    g_free(text);
}

/* Guards against a key that is missing from the manual page, or whose limits
 * or default differ from it. */
static void
test_manual_page_gives_every_key(void)
{
    char *page = NULL;
    uint32_t count = 0;

    CU_ASSERT_TRUE_FATAL(g_file_get_contents(BB_SOURCE_FOLDER
                                             "/man/baobab-configuration.5.scd",
                                             &page, NULL, NULL));
    for (const struct bb_plugin *p = bb_plugin_first(BB_PLUGIN_CONFIG_SECTION);
         p != NULL; p = p->next) {
        const struct bb_section_operations *o = p->operations;

        for (size_t i = 0; i < o->key_count; i++) {
            check_key_line(page, p->name, &o->keys[i]);
            count++;
        }
    }
    /* Without registered sections the loop would check nothing. */
    CU_ASSERT_TRUE(count >= KEYS_MIN);
    g_free(page);
}

static const struct bb_unit_test tests[] = {
    {"the manual page gives every key", test_manual_page_gives_every_key},
};

BB_UNIT_MAIN("pages", tests)
