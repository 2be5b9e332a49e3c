#!/usr/bin/env bash
# Plays the case once. Ends with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the cut out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[[ -x $root/review/bin/case-3 && -x $root/target/bin/graniteseam-platform-router ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 3 115 "$root/review/bin/case-3" "$root" "$folder" "$here/record.txt"
code=$?
[[ $code -eq 0 || $code -eq 1 ]] || code=2
exit "$code"
