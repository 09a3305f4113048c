#!/bin/bash
# Builds the stand-ins of cases 4 to 8 into target/review-2. Needs only the compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
    case_number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/$case_number"
done
