#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
case="target/review/case-$(basename "$folder")"
[ -x "$case" ] || { echo "run review/build.sh first"; exit 2; }
exec "$case" "$folder"
