#!/usr/bin/env bash
# Builds the programs of the cases 6 and later into target/review-2/. They hold all stand-ins that a script starts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O2 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
