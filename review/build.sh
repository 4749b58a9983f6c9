#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/bin. Needs g++ and the Boost headers that the project's build needs.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++20 -O1 -Istandin "$source" -o "bin/${source%%/*}" -pthread &
done
for job in $(jobs -p); do wait "$job"; done
