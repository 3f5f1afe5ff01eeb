#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review (review/6 to review/10) into review/target/. Needs only the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p target
for source in */trial.cpp; do
    number="${source%%/*}"
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/trial-$number" -lpthread
done
echo "review: built"
