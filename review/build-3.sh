#!/bin/bash
# Builds the stand-ins of the cases from 11 on into target/review-3, with the
# compiler and the JSON library that the deploy file names. They use
# review/standins-2/kit.hh.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-3/$(basename "$source" .cc)"
done
