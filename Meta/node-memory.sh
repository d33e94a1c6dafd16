#!/usr/bin/env bash
# Meta/node-memory.sh BUILD MEMORY_MB [FORM...]
# Builds the node as deploy/system.toml says, and plays forms of bytes without
# end at its processes, four forms at a time. Without FORM, plays all. Fails if a
# process needed more than MEMORY_MB, or other callers were not served.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="$1"
MEMORY_MB="$2"
shift 2
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" > /dev/null
cmake --build "$BUILD" --target acaciavale-node-memory > /dev/null
program="$BUILD/Tests/Platform/Memory/acaciavale-node-memory"
if [ "$#" -eq 0 ]; then
  mapfile -t forms < <("$program" --list)
  set -- "${forms[@]}"
fi
printf '%s\n' "$@" | xargs -P 4 -I FORM "$program" "$MEMORY_MB" FORM
