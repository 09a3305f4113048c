#!/bin/bash
# Builds the stand-ins and the scenarios of the cases, after the build of the deploy file, whose library they use.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/[0-9]/scenario.cc; do
    number=$(basename "$(dirname "$scenario")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -DSPDLOG_FMT_EXTERNAL -I src -I review/standins \
        "$scenario" review/standins/site.cc target/libhareshore_lib.a -lhttp_parser -o "target/review/case-$number"
done
