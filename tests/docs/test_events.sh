#!/usr/bin/env bash
# Guards against: an event in the logs that docs/events.md does not explain,
# and a row of the table that no program writes.
set -euo pipefail
cd "$(dirname "$0")/../.."
code=$(cat common/event_log.c net/*.c fleet/*.c path/*.c platform/*.c \
    proxyd/*.c cored/*.c |
    grep -oE '"(entry|gate|upstream|announce|proxy|agent|core|content|order|store|fleet|server|host|log)\.[a-z_]+' |
    tr -d '"' | sort -u)
code="$code
$(grep -oE '\\"event\\":\\"log\.[a-z]+' common/event_log.c |
    grep -oE 'log\.[a-z]+' || true)" # lines written without the common form
code=$(grep -vE '^$|\.(h|c|toml)$' <<<"$code" | sort -u)
table=$(grep -oE '^\| `[a-z]+\.[a-z_]+`' docs/events.md | tr -d '|` ' | sort -u)
diff <(echo "$code") <(echo "$table")
