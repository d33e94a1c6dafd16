#!/usr/bin/env bash
# Checks the Promela specifications: check-specs.sh BUILD [NAME].
# Each model must hold over its whole state space, and each of its BROKEN_…
# variants must violate an assertion.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="${1:?usage: check-specs.sh BUILD [NAME]}"
ONLY="${2:-}"
readonly MAX_DEPTH=200000
readonly MEMORY_MB=1024

# explore SPEC DIRECTORY FLAG… builds and runs the verifier of one variant, and
# writes its report to DIRECTORY/report.
explore() {
  local spec="$1" directory="$2"
  shift 2
  mkdir -p "$directory"
  (
    cd "$directory"
    spin -a "$@" "$spec" > spin.log || { cat spin.log; exit 1; }
    gcc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM="$MEMORY_MB" -o pan pan.c
    ./pan -m"$MAX_DEPTH" -w22 > report || true
  )
}

holds() {
  grep -q 'errors: 0' "$1" && ! grep -qiE 'search not completed|max search depth|memlim|out of memory|error:' "$1"
}

violates_assertion() {
  grep -q 'assertion violated' "$1"
}

failed=0
for spec in "$PWD"/Specs/*.pml; do
  name="$(basename "$spec" .pml)"
  [ -z "$ONLY" ] || [ "$ONLY" = "$name" ] || continue
  directory="$BUILD/specs/$name"
  rm -rf "$directory"
  mkdir -p "$directory"
  directory="$(cd "$directory" && pwd)"
  explore "$spec" "$directory/right"
  if holds "$directory/right/report"; then
    echo "$name: holds, $(grep -oE '[0-9.e+]+ states, stored' "$directory/right/report")"
  else
    echo "$name: FAILED"
    cat "$directory/right/report"
    failed=1
  fi
  for variant in $(grep -oE 'BROKEN_[A-Z_]+' "$spec" | sort -u); do
    explore "$spec" "$directory/$variant" "-D$variant"
    if violates_assertion "$directory/$variant/report"; then
      echo "$name: $variant is caught"
    else
      echo "$name: $variant is NOT caught"
      failed=1
    fi
  done
done
exit "$failed"
