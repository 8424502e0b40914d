#define G_LOG_DOMAIN "baobabshed"

#include "common/log.h"

#include <glib.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/clock.h"
#include "common/event_log.h"

enum { TIME_TEXT_BYTES = 40 };

static const char *program_name = "baobabshed";
static char *host_name;
static bool json_lines;

/* Returns the value of a field of a log entry, or an empty string. */
static const char *
field_value(const GLogField *fields, gsize n, const char *key)
{
    for (gsize i = 0; i < n; i++) {
        if (strcmp(fields[i].key, key) == 0) {
            return fields[i].value;
        }
    }
    return "";
}

/* Formats the current time in UTC with milliseconds, as in
 * "2024-01-31T12:00:00.000Z". */
static void
format_time(char text[TIME_TEXT_BYTES])
{
    uint64_t now_us = bb_clock_wall_now_us();
    time_t now_s = (time_t)(now_us / BB_US_PER_S);
    struct tm parts = {0};
    char seconds[TIME_TEXT_BYTES - 8];

    (void)gmtime_r(&now_s, &parts);
    (void)strftime(seconds, sizeof(seconds), "%Y-%m-%dT%H:%M:%S", &parts);
    (void)snprintf(text, TIME_TEXT_BYTES, "%s.%03uZ", seconds,
                   (unsigned)(now_us % BB_US_PER_S / BB_US_PER_MS));
}

/* Writes a line to the event log, which never blocks. */
static void
write_to_event_log(GLogLevelFlags level, const char *line)
{
    char *whole = g_strconcat(line != NULL ? line : "{}", "\n", NULL);

    bb_event_log_write(level <= G_LOG_LEVEL_WARNING ? BB_EVENT_FAILURE
                                                    : BB_EVENT_ORDINARY,
                       whole, strlen(whole));
    g_free(whole);
}

/* Writes one log entry as a line of text or JSON to standard error. Lines of
 * JSON go to the event log instead if that is started. */
static GLogWriterOutput
write_entry(GLogLevelFlags level, const GLogField *fields, gsize n, void *data)
{
    const char *event = field_value(fields, n, "BAOBAB_EVENT");
    const char *message = field_value(fields, n, "MESSAGE");
    const char *name = level <= G_LOG_LEVEL_WARNING ? "warning" : "info";
    char time_text[TIME_TEXT_BYTES];

    (void)data;
    format_time(time_text);
    if (json_lines) {
        json_t *entry = json_pack(
            "{s:s,s:s,s:s,s:s,s:s,s:s}", "time", time_text, "level", name,
            "program", program_name, "host", host_name ? host_name : "",
            "event", event, "message", message);
        char *line = entry ? json_dumps(entry, JSON_COMPACT) : NULL;

        if (bb_event_log_is_started()) {
            write_to_event_log(level, line);
        }
        else {
            (void)fprintf(stderr, "%s\n", line ? line : "{}");
        }
        free(line);
        json_decref(entry);
    }
    else {
        (void)fprintf(stderr, "%s %s %s %s: %s: %s\n", time_text, name,
                      program_name, host_name ? host_name : "-", event,
                      message);
    }
    return G_LOG_WRITER_HANDLED;
}

/* Initialises logging for the process. Call once, before threads start.
 * `program` is not copied. `json` selects JSON lines instead of text. */
void
bb_log_init(const char *program, const char *host, bool json)
{
    program_name = program;
    g_free(host_name);
    host_name = g_strdup(host);
    json_lines = json;
    g_log_set_writer_func(write_entry, NULL, NULL);
}

/* Formats a message and logs it with its event name through GLib. */
static void
log_at(GLogLevelFlags level, const char *event, const char *format,
       va_list args)
{
    char *message = g_strdup_vprintf(format, args);
    const GLogField fields[] = {
        {.key = "MESSAGE", .value = message, .length = -1},
        {.key = "BAOBAB_EVENT", .value = event, .length = -1},
    };

    g_log_structured_array(level, fields, G_N_ELEMENTS(fields));
    g_free(message);
}

/* Logs a normal change of state. `event` is a dotted name, such as
 * "core.leader". */
void
bb_log_info(const char *event, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    log_at(G_LOG_LEVEL_MESSAGE, event, format, args);
    va_end(args);
}

/* Logs a change of state that an operator may have to act on. */
void
bb_log_warning(const char *event, const char *format, ...)
{
    va_list args;

    va_start(args, format);
    log_at(G_LOG_LEVEL_WARNING, event, format, args);
    va_end(args);
}
