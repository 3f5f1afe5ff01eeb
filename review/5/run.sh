#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x review/target/case-5 ]] || { echo "run review/build.sh first"; exit 2; }
exec review/target/case-5 review/5/record.txt
