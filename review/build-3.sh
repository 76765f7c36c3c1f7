#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -c review/rig-3/rig.cc -o target/review-3/rig.o
for source in review/1[1-5]/driver.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" target/review-3/rig.o -o "target/review-3/case-$number"
done
