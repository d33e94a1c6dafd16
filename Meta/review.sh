#!/usr/bin/env bash
# Builds the node as deploy/system.toml says and runs the cases of review/. Fails
# if one breaks its rule.
set -euo pipefail
cd "$(dirname "$0")/.."
eval "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" > /dev/null
review/build.sh
review/build-2.sh
failed=0
for case in 1 2 3 4 5 7 8 9 10; do
  review/$case/run.sh || failed=1
done
VARIANT=trailer review/3/run.sh || failed=1
exit $failed
