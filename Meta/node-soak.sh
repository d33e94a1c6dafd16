#!/usr/bin/env bash
# Meta/node-soak.sh BUILD SECONDS SEED
# Builds the node as deploy/system.toml says, and runs its processes under
# callers, faults of endpoints, stops, restarts and changes that follow from
# SEED. Fails if a caller or an endpoint saw a broken rule.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="$1"
shift
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" > /dev/null
cmake --build "$BUILD" --target acaciavale-node-soak > /dev/null
exec "$BUILD/Tests/Platform/Soak/acaciavale-node-soak" "$@"
