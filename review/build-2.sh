#!/bin/bash
# Builds the stand-ins of cases 6 to 10 into target/review-2, with the compiler
# and the JSON library that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$(basename "$source" .cc)" &
done
for job in $(jobs -p); do
  wait "$job"
done
