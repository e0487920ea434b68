#!/usr/bin/env bash
# Builds the stand-ins of the cases in this folder into target/review, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in review/*.cpp; do
    name=$(basename "$program" .cpp)
    [[ $name == deployment ]] && continue
    g++ -std=c++20 -O1 -Wall -Wextra -Wno-mismatched-new-delete -Iinclude -isystem /usr/include/jsoncpp \
        review/deployment.cpp "$program" target/libteaseltally.a -ljsoncpp -lxxhash -pthread \
        -o "target/review/$name"
done
