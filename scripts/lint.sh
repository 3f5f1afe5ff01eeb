#!/usr/bin/env bash
# Checks formatting and runs the linter; with --fix, formats in place. Requires a configured build directory.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${BUILD_DIR:-build}"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.cc' '*.hpp')
if [[ "${1:-}" == "--fix" ]]; then
    clang-format -i "${sources[@]}"
    exit 0
fi
echo "lint: names of the users' platform outside platform/"
names='X-Fencing-Token|X-Lease-Holder|X-Tenant-Id|rows-tx|rows-feed|rows-get|target-latency-ms|max-staleness-ms'
names+='|bounded_staleness|db-role|cold-remaining-ms|tx-idle-ms|STEPDOWN|CONNLIMIT|MISROUTED|DATAROW'
if git grep -nE "$names" -- include src; then
    echo "lint: these names belong in platform/" >&2
    exit 1
fi
echo "lint: clang-format on ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files --cached --others --exclude-standard 'src/*.cpp')
echo "lint: clang-tidy on ${#units[@]} files"
printf '%s\0' "${units[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build" 2>/dev/null
echo "lint: clean"
