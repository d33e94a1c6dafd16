#!/usr/bin/env bash
# Runs every sh block of the operators' pages as written, each page against
# stand-ins of its own: check-pages.sh BUILD PAGE…
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT="$PWD"
BUILD="$(realpath "$1")"
shift

# Prints the sh blocks of a page, without the indentation of lists.
blocks() {
  awk '/^ *```sh$/ { inside = 1; match($0, /^ */); indent = RLENGTH; next }
       /^ *```$/ { inside = 0 }
       inside { print substr($0, indent + 1) }' "$1"
}

run_page() {
  local page="$1" folder status=0
  folder="$(mktemp -d)"
  cp -r "$ROOT/Examples/jadran" "$folder/settings"
  blocks "$page" > "$folder/page.sh"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment jadran --engines 1 \
    --services 1 --announce "$folder/addresses" 2> "$folder/stand-ins.log" &
  local stand_ins=$!
  until [ -s "$folder/addresses" ]; do sleep 0.1; done
  (
    cd "$folder"
    export PATH="$BUILD/Programs:$PATH"
    STORE="$(sed -n 's/^key-value=//p' addresses)"
    export STORE
    # A VM that has every generation, so that waiting for all ends.
    curl -sf "http://$STORE/v1/kv" -o /dev/null -d '{"key": "vms/vm-1",
      "value": "{\"settings_generation\": 1000000}", "expected_revision": 0}'
    if ! grep -q -- '--seen 0' page.sh; then
      acaciavale settings apply settings/settings.ini --store "$STORE" \
        --seen 0 --author ci --reason "before the page" > /dev/null
    fi
    bash -euo pipefail page.sh > page.log 2>&1
  ) || status=$?
  kill "$stand_ins"
  wait "$stand_ins" 2> /dev/null || true
  if [ "$status" -ne 0 ]; then
    tail -n 20 "$folder/page.log"
    echo "$page: failed, exit code $status"
  else
    echo "$page: every command ran"
  fi
  rm -r "$folder"
  return "$status"
}

result=0
for page in "$@"; do
  run_page "$page" || result=1
done
exit "$result"
