#!/bin/sh
# Runs one case: run-case.sh CASE_FOLDER PROGRAM. Exit status: 0 the rule held, 1 it was broken, 2 could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
program="$root/review/standins/target/release/$2"
[ -x "$program" ] || { echo "build first: review/build.sh"; exit 2; }
temp=$(mktemp -d) || exit 2
# shellcheck disable=SC2329
leave() {
    # Only processes that the case started and that still run are in the way.
    [ -f "$temp/pids" ] && while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = hazelspur-serve ] && kill -KILL "$pid" 2>/dev/null
    done <"$temp/pids"
    rm -rf "$temp"
}
trap leave EXIT
trap 'exit 2' INT TERM HUP
timeout -k 2 115 "$program" "$root" "$folder" "$temp"
status=$?
if [ -n "${KEEP_LOGS:-}" ]; then mkdir -p "$KEEP_LOGS" && cp "$temp"/*.log "$KEEP_LOGS"/; fi
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
