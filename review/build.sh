#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/main.cc; do
  case="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$case" "$source"
done
