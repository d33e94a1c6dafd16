#!/usr/bin/env bash
# Runs the sh blocks of the given operator pages unchanged, each page against its
# own stand-ins: check-pages.sh BUILD PAGE…
set -euo pipefail
cd "$(dirname "$0")/.."
ROOT="$PWD"
BUILD="$(realpath "$1")"
shift

# Prints the sh blocks of a page without the indentation that lists add.
print_blocks() {
  awk '/^ *```sh$/ { inside = 1; match($0, /^ */); indent = RLENGTH; next }
       /^ *```$/ { inside = 0 }
       inside { print substr($0, indent + 1) }' "$1"
}

run_page() {
  local page="$1" folder status=0
  folder="$(mktemp -d)"
  cp -r "$ROOT/Examples/jadran" "$folder/settings"
  print_blocks "$page" > "$folder/page.sh"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment jadran --engines 1 \
    --services 1 --announce "$folder/addresses" 2> "$folder/stand-ins.log" &
  local stand_ins_pid=$!
  until [ -s "$folder/addresses" ]; do sleep 0.1; done
  (
    cd "$folder"
    export PATH="$BUILD/Programs:$PATH"
    STORE="$(sed -n 's/^key-value=//p' addresses)"
    export STORE
    # Registers a VM with a generation above all others, so that commands that
    # wait for all VMs return.
    curl -sf "http://$STORE/v1/kv" -o /dev/null -d '{"key": "vms/vm-1",
      "value": "{\"settings_generation\": 1000000}", "expected_revision": 0}'
    if ! grep -q -- '--seen 0' page.sh; then
      acaciavale settings apply settings/settings.ini --store "$STORE" \
        --seen 0 --author ci --reason "before the page" > /dev/null
    fi
    bash -euo pipefail page.sh > page.log 2>&1
  ) || status=$?
  kill "$stand_ins_pid"
  wait "$stand_ins_pid" 2> /dev/null || true
  if [ "$status" -ne 0 ]; then
    tail -n 20 "$folder/page.log"
    echo "$page: failed, exit code $status"
  else
    echo "$page: every command ran"
  fi
  rm -r "$folder"
  return "$status"
}

failed=0
for page in "$@"; do
  run_page "$page" || failed=1
done
exit "$failed"
