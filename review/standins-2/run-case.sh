#!/usr/bin/env bash
# Usage: run-case.sh NAME RECORD
#
# Runs one case and exits with 1 if its rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out. The servers write into a temporary folder; whatever the driver has left running
# is ended. KEEP_LOGS names a folder that gets the servers' logs.
set -u
name=$1 record=$2
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
driver=$here/target/release/review-case
for program in "$driver" "$root/target/release/hazelspur-server"; do
    if [ ! -x "$program" ]; then
        echo "$name: ${program#"$root"/} is missing: run the build of deploy/balancer.toml and review/build-2.sh"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
driver_pid=
finish() {
    [ -z "$driver_pid" ] || kill -TERM "$driver_pid" 2>/dev/null
    # Servers that the driver did not see end; an id that belongs to another process by now is left alone.
    if [ -e "$folder/pids" ]; then
        while read -r pid; do
            if grep -qa "ROUTER_CONFIG=$folder/" "/proc/$pid/environ" 2>/dev/null; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$folder/pids"
    fi
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 1 115 "$driver" "$name" "$root" "$folder" "$record" &
driver_pid=$!
wait "$driver_pid"
status=$?
driver_pid=
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"/
[ "$status" -le 2 ] || status=2
exit "$status"
