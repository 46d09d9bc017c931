#!/bin/sh
# Plays case 10: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. `review/build-2.sh` builds the program.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
temp=$(mktemp -d) || exit 2
trap 'kill "$case" 2>/dev/null; rm -rf "$temp"; exit 2' INT TERM HUP
"$root/target/review-2/lost_version" "$root" "$here" "$temp" &
case=$!
wait "$case"
code=$?
rm -rf "$temp"
[ "$code" -le 2 ] || code=2
exit "$code"
