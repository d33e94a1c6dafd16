#!/usr/bin/env bash
# Demonstrates both deployments in parallel: stand-ins for all systems around
# the router, three VMs that differ in size and failure domain, and the requests
# of the brief. Progress is reported on standard error.
set -euo pipefail
BUILD="$1"
PROGRAM="$BUILD/Programs/acaciavale"

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
  "$PROGRAM" serve --config "$WORK/vm-$1.ini" --announce "$WORK/vm-$1" 2> "$WORK/vm-$1.log" &
  PIDS+=($!)
  LAST_PID=$!
}

run_deployment() { # NAME DOMAIN-PREFIX
  . Meta/processes.sh
  report_progress() { echo "[$SECONDS s] $NAME: $1" >&2; }
  local NAME="$1"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment "$1" --announce "$WORK/stand-ins" --seed 1 2> "$WORK/stand-ins.log" &
  PIDS+=($!)
  wait_for "$WORK/stand-ins" "$WORK/stand-ins.log"
  "$PROGRAM" settings apply --store "$(address "$WORK/stand-ins" key-value)" \
    --author demonstration --reason "first settings" --seen 0 "Examples/$1/settings.ini" > "$WORK/apply.log" 2>&1 ||
    { cat "$WORK/apply.log" >&2; return 1; }
  start_vm 1 "$2-a" 1
  start_vm 2 "$2-b" 2
  start_vm 3 "$2-c" 3
  local vm3_pid="$LAST_PID"
  for vm in 1 2 3; do wait_for "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  report_progress "three VMs are started; waiting until their shares of the limits have settled"
  for vm in 1 2 3; do wait_ready "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  report_progress "the VMs are ready; sending the requests of the brief"
  "$BUILD/Tests/acaciavale-demonstration" "$1" \
    "$(address "$WORK/vm-1" callers)" "$(address "$WORK/vm-2" callers)" "$(address "$WORK/vm-3" callers)" "$vm3_pid"
  report_progress "stopping vm-3: it accepts requests for as long as callers may keep its address"
  wait "$vm3_pid" || { echo "vm-3 did not stop cleanly" >&2; cat "$WORK/vm-3.log" >&2; return 1; }
  echo "vm-3 stopped gracefully and exited 0."
  report_progress "stopping the other VMs, then the stand-ins"
  stop_all
  report_progress "all processes have stopped"
}

OUTPUT="$(mktemp -d)"
trap 'rm -rf "$OUTPUT"' EXIT
(run_deployment gebeta addis) > "$OUTPUT/gebeta" &
gebeta_pid=$!
failed=0
(run_deployment jadran hr-central) || failed=1
wait "$gebeta_pid" || failed=1
cat "$OUTPUT/gebeta"
[ "$failed" = 0 ] || { echo "at least one deployment failed" >&2; exit 1; }
echo
echo "Each outcome is the right one."
