#!/usr/bin/env bash
# Case 8. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
[[ -x "$root/review/target/trial-8" && -x "$root/target/fuchsiagwd" ]] || exit 2
cd "$root" || exit 2
timeout -k 5 115 review/target/trial-8 "$root" "$folder"
code=$?
((code <= 2)) || code=2
exit "$code"
