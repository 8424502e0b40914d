/* The sections [configuration] and [limits], which have no name. */
#include <string.h>

#include "common/registry.h"
#include "merge.h"

static const struct bb_key_spec configuration_keys[] = {
    {.name = "version", .default_text = "0", .max = INT64_MAX},
    {.name = "files"},
};

static const struct bb_key_spec limits_keys[] = {
    {.name = "max-depth", .default_text = "16", .min = 1, .max = 64},
    /* 4 GiB; the largest known transfer is a photo archive of 1 GB. */
    {.name = "max-body-bytes",
     .default_text = "4294967296",
     .min = 1024,
     .max = 1ULL << 40},
    {.name = "retry-budget-percent", .default_text = "20", .max = 100},
    {.name = "hedge-budget-percent", .default_text = "5", .max = 100},
    {.name = "ejection-percent", .default_text = "33", .max = 100},
    /* Bytes per second; about a quarter of the 30 Mbit/s between regions. */
    {.name = "link-bytes-per-s", .default_text = "1000000", .max = 1ULL << 40},
};

/* Reads [configuration]. The key "files" is used by bb_folder_read, before
 * compilation. */
static void
read_configuration(struct bb_compilation *c, struct bb_section *s)
{
    c->config->version = bb_section_get_number(c, s, "version");
}

/* Stores the limits of the section in the configuration. */
static void
read_limits(struct bb_compilation *c, struct bb_section *s)
{
    c->config->limits = (struct bb_limits){
        .max_depth = (uint32_t)bb_section_get_number(c, s, "max-depth"),
        .max_body_bytes = bb_section_get_number(c, s, "max-body-bytes"),
        .retry_budget_percent =
            (uint32_t)bb_section_get_number(c, s, "retry-budget-percent"),
        .hedge_budget_percent =
            (uint32_t)bb_section_get_number(c, s, "hedge-budget-percent"),
        .max_ejected_percent =
            (uint32_t)bb_section_get_number(c, s, "ejection-percent"),
        .link_bytes_per_s = bb_section_get_number(c, s, "link-bytes-per-s"),
    };
}

static const struct bb_section_operations configuration_operations = {
    .keys = configuration_keys,
    .key_count = G_N_ELEMENTS(configuration_keys),
    .read = read_configuration,
};

static const struct bb_section_operations limits_operations = {
    .keys = limits_keys,
    .key_count = G_N_ELEMENTS(limits_keys),
    .read = read_limits,
};

BB_PLUGIN(configuration, BB_PLUGIN_CONFIG_SECTION, "configuration",
          &configuration_operations);
BB_PLUGIN(limits, BB_PLUGIN_CONFIG_SECTION, "limits", &limits_operations);
