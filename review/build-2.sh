#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review into target/review-2/. It needs the
# packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -I/usr/include/jsoncpp "$source" \
        -o "target/review-2/case-$number" -ljsoncpp -pthread
done
