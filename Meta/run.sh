#!/usr/bin/env bash
# Shows both deployments at work: stand-ins for everything around the router,
# three VMs of different size and failure domain, and the requests of the brief.
set -euo pipefail
BUILD="$1"
PROGRAM="$BUILD/Programs/acaciavale"
. Meta/processes.sh

start_vm() { # NUMBER FAILURE-DOMAIN WEIGHT
  cat > "$WORK/vm-$1.ini" << INI
[vm]
name = vm-$1
failure-domain = $2
weight = $3
threads = $3
[platform]
key-value = $(address "$WORK/stand-ins" key-value)
endpoint-list = $(address "$WORK/stand-ins" endpoint-list)
ratings = $(address "$WORK/stand-ins" ratings)
weights = $(address "$WORK/stand-ins" weights)
INI
  rm -f "$WORK/vm-$1"
  "$PROGRAM" serve --config "$WORK/vm-$1.ini" --announce "$WORK/vm-$1" 2> "$WORK/vm-$1.log" &
  PIDS+=($!)
  LAST=$!
}

deployment() { # NAME DOMAIN-PREFIX
  rm -f "$WORK/stand-ins"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment "$1" --announce "$WORK/stand-ins" --seed 1 2> "$WORK/stand-ins.log" &
  local stand_ins=$!
  PIDS+=("$stand_ins")
  wait_for "$WORK/stand-ins" "$WORK/stand-ins.log"
  "$PROGRAM" settings apply --store "$(address "$WORK/stand-ins" key-value)" \
    --author demonstration --reason "first settings" --seen 0 "Examples/$1/settings.ini" > "$WORK/apply.log" 2>&1 ||
    { cat "$WORK/apply.log" >&2; return 1; }
  start_vm 1 "$2-a" 1
  start_vm 2 "$2-b" 2
  start_vm 3 "$2-c" 3
  local third="$LAST"
  for vm in 1 2 3; do wait_for "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  for vm in 1 2 3; do wait_ready "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  "$BUILD/Tests/acaciavale-demonstration" "$1" \
    "$(address "$WORK/vm-1" callers)" "$(address "$WORK/vm-2" callers)" "$(address "$WORK/vm-3" callers)" "$third"
  wait "$third" || { echo "vm-3 did not stop cleanly" >&2; cat "$WORK/vm-3.log" >&2; return 1; }
  echo "vm-3 stopped gracefully and exited 0."
  stop_all
}

deployment jadran hr-central
deployment gebeta addis
echo
echo "Each outcome is the right one."
