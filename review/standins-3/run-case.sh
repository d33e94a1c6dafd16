#!/bin/bash
# run-case.sh FOLDER PROGRAM: runs a case in a temporary folder. The program
# writes FOLDER/record.txt, ends the processes that it started, and exits with 1
# if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$1/../.."
program="target/review-3/$2"
if [ ! -x "$program" ] || [ ! -x target/platform/acaciavale-node ]; then
  echo "2: build the deploy file and run review/build-3.sh first"
  exit 2
fi
temporary="$(mktemp -d)"
"$program" "$temporary" "$1/record.txt" &
process=$!
trap 'kill "$process" 2>/dev/null' TERM INT
wait "$process"
code=$?
rm -rf "$temporary"
exit "$code"
