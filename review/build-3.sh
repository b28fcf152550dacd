#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into build-3/. Needs only the compiler of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-3
for source in review/stand-ins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "build-3/$name"
done
