#!/usr/bin/env bash
# Meta/fuzz.sh BUILD SECONDS SEED [TARGET]
# Builds the fuzz targets with the sanitizers for addresses and undefined
# behaviour, and runs them on inputs that follow from SEED. An input that fails
# is written to fuzz-TARGET.bin.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="$1-fuzz"
shift
cmake -S . -B "$BUILD" -G Ninja -DACACIAVALE_NODE_ONLY=ON -DACACIAVALE_SANITIZE=ON > /dev/null
cmake --build "$BUILD" --target acaciavale-fuzz > "$BUILD/build.log" || { cat "$BUILD/build.log"; exit 1; }
exec "$BUILD/Tests/Platform/Fuzz/acaciavale-fuzz" "$@"
