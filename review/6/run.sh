#!/bin/bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. FOR_S=600 waits longer, by hand.
set -u
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$top/deploy/service.toml")
scenario=$top/target/review-2/$(basename "$here")
[ -x "$scenario" ] || { echo "run review/build-2.sh first"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$scenario" "$top/$program" "$folder" "$here/record.txt"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/*.log "$KEEP_LOGS"
[ "$status" -le 1 ] || exit 2
exit "$status"
