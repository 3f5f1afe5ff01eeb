#!/usr/bin/env bash
# Builds the stand-ins and callers of the review's scripts into review/target/. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p target
flags=(-std=c++20 -fcoroutines -O1 -Wall -Wextra)
g++ "${flags[@]}" -c standin/world.cpp -o target/world.o
for source in */case.cpp; do
    number="${source%%/*}"
    g++ "${flags[@]}" "$source" target/world.o -o "target/case-$number" -lpthread
done
echo "review: built"
